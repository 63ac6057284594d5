"""Choice of backend servers: lagging loads, failures, leavers, subsets."""

import asyncio
import random
import unittest
from collections import Counter
from unittest import mock

from sassafrasdoor.backends.interface import Answer, Broken, Load
from sassafrasdoor.outcomes import NotRun, Unavailable
from sassafrasdoor.requests.tests.fakes import backends, settings, view
from sassafrasdoor.routing import backend_state
from sassafrasdoor.routing.chooser import Chooser
from sassafrasdoor.routing.loads import LoadPoller
from sassafrasdoor.support import until
from sassafrasdoor.view import State, View

DONE = Answer(200, {}, b"")
ZONED = {"instance": {"availability_zone": "zone-a"}}


def chooser_of(seed=1, **sections):
    """Return a chooser with a seeded source of chance."""
    return Chooser(settings(**{**ZONED, **sections}), random.Random(seed))


class ChoiceTest(unittest.TestCase):
    def spread(self, chooser, seen, count=400, **fields):
        """Return how often each server was chosen, with nothing in flight."""
        return Counter(
            chooser.choose(seen, "desk", **fields).name for _ in range(count)
        )

    def test_busier_server_gets_less(self):
        seen = view(count=4)
        chooser = chooser_of()
        for backend, running in zip(seen.backends, (8, 0, 0, 0), strict=True):
            chooser.report(backend, Load(running, capacity=8))
        self.assertLess(self.spread(chooser, seen)["b0"], 40)

    def test_own_work_since_the_report_counts(self):
        """Guards against choices by an outdated load report alone."""
        seen = view(count=4)
        chooser = chooser_of()
        for backend, running in zip(seen.backends, (0, 1, 1, 1), strict=True):
            chooser.report(backend, Load(running, capacity=8))
        chosen = Counter()
        for _ in range(60):
            backend = chooser.choose(seen, "desk")
            chooser.started(backend)
            chosen[backend.name] += 1
        self.assertLess(max(chosen.values()) - min(chosen.values()), 6)

    def test_report_of_the_past_does_not_forget_what_started_after_it(self):
        seen = view(count=1)
        chooser = chooser_of()
        backend = seen.backends[0]
        chooser.report(backend, Load(4, capacity=8, age=0.0))
        for _ in range(3):
            chooser.started(backend)
        chooser.report(backend, Load(4, capacity=8, age=100.0))
        self.assertEqual(chooser.load_of(backend), 7 / 8)
        chooser.finished(backend, DONE)
        self.assertEqual(chooser.load_of(backend), 6 / 8)

    def test_report_forgets_only_what_it_has_seen(self):
        seen = view(count=1)
        chooser = chooser_of()
        backend = seen.backends[0]
        chooser.report(backend, Load(0, capacity=8))
        with mock.patch.object(backend_state, "now") as now:
            for now.return_value in (1000.0, 1010.0):
                chooser.started(backend)
            now.return_value = 1011.0
            chooser.report(backend, Load(4, capacity=8, age=5.0))
        self.assertEqual(chooser.load_of(backend), 5 / 8)

    def test_server_that_fails_fast_attracts_nothing(self):
        """Guards against a failing server that looks least loaded."""
        seen = view(count=3)
        # So short that no rest after a failure hides what failures count as load.
        chooser = chooser_of(routing={"suspect_backend_for": 1e-9})
        tries = Counter()
        for _ in range(300):
            backend = chooser.choose(seen, "desk")
            chooser.started(backend)
            tries[backend.name] += 1
            broken = backend.name == "b0"
            chooser.finished(backend, Broken("refused", False) if broken else DONE)
        self.assertLess(tries["b0"], 30)

    def test_failed_server_rests_and_comes_back(self):
        seen = view(count=2)
        chooser = chooser_of(routing={"suspect_backend_for": 60.0})
        first = seen.backends[0]
        chooser.started(first)
        chooser.finished(first, Broken("cut"))
        self.assertEqual(self.spread(chooser, seen)["b0"], 0)
        chooser.finished(first, DONE)
        self.assertGreater(self.spread(chooser, seen)["b0"], 100)

    def test_lone_suspect_is_still_tried(self):
        seen = view(count=1)
        chooser = chooser_of(routing={"suspect_backend_for": 60.0})
        chooser.finished(seen.backends[0], Broken("cut"))
        self.assertEqual(chooser.choose(seen, "desk").name, "b0")

    def test_who_gets_no_work(self):
        """Guards against calls to a server that one source reports as leaving."""
        leaving = view(count=2)
        leaving.backends[0].state = State.LEAVING
        dead = view(count=2)
        dead.backends[0].state = State.DEAD
        cases = [
            ("instance list says leaving", leaving, lambda chooser, one: None),
            ("instance list says dead", dead, lambda chooser, one: None),
            (
                "its load report says leaving",
                view(count=2),
                lambda chooser, one: chooser.report(one, Load(0, leaving=True)),
            ),
            (
                "it refuses because it is leaving",
                view(count=2),
                lambda chooser, one: chooser.finished(one, NotRun("leaving")),
            ),
            (
                "three load reports did not come",
                view(count=2),
                lambda chooser, one: [
                    chooser.record_missed_report(one) for _ in range(3)
                ],
            ),
        ]
        for name, seen, tell in cases:
            with self.subTest(name):
                chooser = chooser_of()
                tell(chooser, seen.backends[0])
                self.assertEqual(self.spread(chooser, seen)["b0"], 0)

    def test_full_server_is_avoided_until_its_next_report(self):
        seen = view(count=2)
        chooser = chooser_of()
        chooser.finished(seen.backends[0], NotRun("queue full"))
        self.assertEqual(self.spread(chooser, seen)["b0"], 0)
        chooser.report(seen.backends[0], Load(0, capacity=8))
        self.assertGreater(self.spread(chooser, seen)["b0"], 100)

    def test_nothing_left_is_not_run(self):
        seen = view(count=2)
        outcome = chooser_of().choose(seen, "desk", exclude=["b0", "b1"])
        self.assertIsInstance(outcome, NotRun)
        self.assertIsInstance(chooser_of().choose(seen, "other"), NotRun)
        self.assertIsInstance(chooser_of().choose(seen, "desk", "none"), NotRun)

    def test_own_zone_first_while_it_is_not_much_busier(self):
        near = backends(2, availability_zone="zone-a")
        far = backends(4, availability_zone="zone-b")[2:]
        seen = View(backends=near + far)
        chooser = chooser_of()
        self.assertEqual(set(self.spread(chooser, seen)), {"b0", "b1"})
        for backend in near:
            chooser.report(backend, Load(4, capacity=8))
        self.assertLess(sum(self.spread(chooser, seen)[one.name] for one in near), 100)

    def test_prefix_keeps_to_its_server_unless_that_is_busy(self):
        seen = view(count=6)
        chooser = chooser_of()
        kept = self.spread(chooser, seen, affinity="prefix")
        self.assertEqual(len(kept), 1)
        favourite = next(one for one in seen.backends if one.name in kept)
        chooser.report(favourite, Load(8, capacity=8))
        self.assertNotIn(favourite.name, self.spread(chooser, seen, affinity="prefix"))

    def test_subset_is_stable_and_bounded(self):
        seen = view(count=100)
        one = chooser_of(routing={"subset_size": 10})
        again = chooser_of(routing={"subset_size": 10})
        names = [backend.name for backend in one.subset(seen, "desk")]
        self.assertEqual(len(names), 10)
        self.assertEqual(names, [each.name for each in again.subset(seen, "desk")])
        fewer = View(backends=[each for each in seen.backends if each.name != names[0]])
        rest = {backend.name for backend in one.subset(fewer, "desk")}
        self.assertEqual(len(rest & set(names)), 9)


class _Loads:
    """Answers of ``/load`` by backend name; a missing one never comes."""

    def __init__(self, **loads):
        self.loads = loads

    async def load(self, backend):
        load = self.loads.get(backend.name)
        if load is None:
            await asyncio.Event().wait()
        return load


class LoadPollerTest(unittest.IsolatedAsyncioTestCase):
    async def test_frozen_server_does_not_hold_up_the_others(self):
        """Guards against one frozen server that delays all load reports."""
        chooser = chooser_of(routing={"load_interval": 0.02})
        seen = view(count=3)
        engine = _Loads(b1=Load(4, capacity=8), b2=Unavailable("refused"))
        poller = LoadPoller(
            settings(routing={"load_interval": 0.02}), lambda: seen, engine, chooser
        )
        task = asyncio.ensure_future(poller.run())
        first, second, third = seen.backends
        await until(lambda: chooser.load_of(second) == 0.5)
        engine.loads["b1"] = Load(8, capacity=8)
        await until(lambda: chooser.load_of(second) == 1.0)
        silent = [first.name, third.name]
        await until(
            lambda: {chooser.choose(seen, "desk").name for _ in range(50)} == {"b1"},
            what=f"{silent} to be left alone",
        )
        task.cancel()


if __name__ == "__main__":
    unittest.main()
