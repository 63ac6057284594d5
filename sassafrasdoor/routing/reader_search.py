"""Order in which peers are asked for steps that this instance has not read.

Load patterns: an instance that has ended stays listed until its record lapses, so the
peers named first may all be dead or silent. After a start of all instances no peer has
read the steps, and calls forwarded to several would multiply the load.
"""

MAX_PEERS_TRIED = 8  # peers tried for one call, including those that do not reply


class ReaderSearch:
    """Iterates over the peers to ask for one call, the known readers first.

    While too few peers have replied, the next ones follow. ``record_reply`` is called
    for each peer that replied without what was asked for: as many as ``max_replies`` may
    do so if a peer is known to have read the steps, otherwise one.
    """

    __slots__ = ("_instances", "_max_replies", "_replies", "_untried", "tried")

    def __init__(self, instances, max_replies):
        self._instances = instances
        self._max_replies = max_replies if instances.knows_reader else 1
        self._replies = 0
        self._untried = []
        self.tried = []

    def __iter__(self):
        return self

    def __next__(self):
        if self._replies >= self._max_replies or len(self.tried) >= MAX_PEERS_TRIED:
            raise StopIteration
        if not self._untried:
            self._untried = self._instances.reader_candidates(
                self._max_replies, self.tried
            )
        if not self._untried:
            raise StopIteration
        peer = self._untried.pop(0)
        self.tried.append(peer)
        return peer

    def record_reply(self):
        """Record that a peer replied, as opposed to one that could not be reached."""
        self._replies += 1
