"""Order in which peers are asked for steps that this instance has not read.

Load patterns: an instance that has ended stays listed until its record lapses, so the
peers named first may all be dead or silent. After a start of all instances no peer has
read the steps, and calls forwarded to several would multiply the load.
"""

MAX_PEERS_TRIED = 8  # peers tried for one call, including those not reached


class ReaderSearch:
    """Iterates over the peers to ask for one call, the known readers first.

    As many as ``max_asked`` are asked if a peer is known to have read the steps,
    otherwise one. Those to which no connection could be opened, for which
    ``record_unreached`` is called, do not count.
    """

    __slots__ = ("_instances", "_max_asked", "_unreached", "_untried", "tried")

    def __init__(self, instances, max_asked):
        self._instances = instances
        self._max_asked = max_asked if instances.knows_reader else 1
        self._unreached = 0
        self._untried = []
        self.tried = []

    def __iter__(self):
        return self

    def __next__(self):
        asked = len(self.tried) - self._unreached
        if asked >= self._max_asked or len(self.tried) >= MAX_PEERS_TRIED:
            raise StopIteration
        if not self._untried:
            self._untried = self._instances.reader_candidates(
                self._max_asked, self.tried
            )
        if not self._untried:
            raise StopIteration
        peer = self._untried.pop(0)
        self.tried.append(peer)
        return peer

    def record_unreached(self):
        """Record that no connection to a peer could be opened."""
        self._unreached += 1
