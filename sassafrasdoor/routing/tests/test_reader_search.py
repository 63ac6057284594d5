"""Tests of the order in which peers are asked for steps."""

import unittest

from sassafrasdoor.routing.reader_search import MAX_PEERS_TRIED, ReaderSearch


class FakeInstances:
    """Candidates as ``Instances`` orders them: known readers, probable ones, others."""

    def __init__(self, readers=(), probable=(), others=()):
        self.readers = list(readers)
        self.one_by_one = [*probable, *others]

    @property
    def knows_reader(self):
        return bool(self.readers)

    def reader_candidates(self, limit, excluded):
        readers = [peer for peer in self.readers if peer not in excluded]
        rest = [peer for peer in self.one_by_one if peer not in excluded]
        return readers[:limit] or rest[:1]


class ReaderSearchTest(unittest.TestCase):
    def tried(self, instances, reached=()):
        """Return the peers tried when only those in ``reached`` are, in vain."""
        search = ReaderSearch(instances, max_asked=3)
        for peer in search:
            if peer not in reached:
                search.record_unreached()
        return search.tried

    def test_peer_that_has_ended_does_not_end_the_search(self):
        """Guards against refusals because the only candidate has just ended."""
        for instances in (
            FakeInstances(readers=["dead"], probable=["alive"]),
            FakeInstances(probable=["dead", "alive"]),
            FakeInstances(probable=["dead"], others=["alive"]),
        ):
            self.assertEqual(self.tried(instances), ["dead", "alive"])

    def test_one_peer_is_asked_while_nobody_has_read(self):
        """Guards against three calls for each one after a start of all instances."""
        instances = FakeInstances(probable=["dead", "alive", "next"], others=["other"])
        self.assertEqual(self.tried(instances, ["alive"]), ["dead", "alive"])

    def test_three_peers_are_asked_beside_known_readers(self):
        """Guards against a call forwarded to every instance in turn."""
        instances = FakeInstances(["r1", "r2"], ["p1", "p2"])
        self.assertEqual(
            self.tried(instances, ["r1", "r2", "p1", "p2"]), ["r1", "r2", "p1"]
        )

    def test_loss_of_most_instances_bounds_the_search(self):
        """Guards against one call that tries hundreds of dead instances."""
        instances = FakeInstances(probable=range(1, 400))
        self.assertEqual(len(self.tried(instances)), MAX_PEERS_TRIED)


if __name__ == "__main__":
    unittest.main()
