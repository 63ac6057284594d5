"""Hints about which engines hold a prefix."""

import unittest

from sassafrasdoor.backends.affinity import Affinity
from sassafrasdoor.backends.interface import CacheEvent, prefix_key
from sassafrasdoor.backends.tests.fixtures import BackendsTestCase, stream_order
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.support import until
from sassafrasdoor.view import Backend, View


class ScriptedEvents:
    """Replies to ``cache_events`` by script and records the requested numbers."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    async def cache_events(self, backend, first):
        self.asked.append(first)
        return self.answers.pop(0)


class AffinityTest(BackendsTestCase):
    async def test_delayed_event_updates_the_hint(self):
        _, backend = self.start_engine(cache_delay=0.05, cache_loss=0.0)
        affinity = Affinity(self.engine, lambda: View(backends=[backend]))
        prefix = prefix_key(stream_order().prompt)
        await affinity.poll()
        self.assertEqual(affinity.engines_with(prefix), [])
        await self.read(backend, stream_order())

        async def has_hint():
            await affinity.poll()
            return affinity.engines_with(prefix) == [backend.name]

        await until(has_hint, what="the event")

    async def test_event_gaps_outages_and_restarts(self):
        """Guards against stale hints after lost events or an engine's restart."""
        script = ScriptedEvents(
            ([CacheEvent(1, "a", True)], 2),
            Unavailable("down"),
            ([CacheEvent(4, "b", True), CacheEvent(5, "a", False)], 6),
            ([], 6),
            ([CacheEvent(1, "c", True)], 2),
        )
        backend = Backend("e", "127.0.0.1:9", "engine", "engines")
        affinity = Affinity(script, lambda: View(backends=[backend]))
        for prefix, holders in (("a", ["e"]), ("a", ["e"]), ("a", []), ("b", ["e"])):
            await affinity.poll()
            self.assertEqual(affinity.engines_with(prefix), holders)
        affinity._caches["e"].resync_deadline = 0.0
        await affinity.poll()
        self.assertEqual(affinity.engines_with("c"), ["e"])
        self.assertEqual(script.asked, [0, 2, 2, 6, 0])
        affinity.record_use("e", "d")
        affinity.record_use("unknown", "d")
        self.assertEqual(affinity.engines_with("d"), ["e"])


if __name__ == "__main__":
    unittest.main()
