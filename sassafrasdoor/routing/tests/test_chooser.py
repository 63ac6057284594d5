"""Tests of the choice of backend servers: load reports, failures, subsets."""

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
    """Return a chooser with a seeded random generator."""
    return Chooser(settings(**{**ZONED, **sections}), random.Random(seed))


class ChoiceTest(unittest.TestCase):
    def count_choices(self, chooser, current_view, count=400, **fields):
        """Return how often each server is chosen with nothing in flight."""
        return Counter(
            chooser.choose(current_view, "desk", **fields).name for _ in range(count)
        )

    def test_busier_server_gets_less(self):
        current_view = view(count=4)
        chooser = chooser_of()
        for backend, running in zip(current_view.backends, (8, 0, 0, 0), strict=True):
            chooser.report(backend, Load(running, capacity=8))
        self.assertLess(self.count_choices(chooser, current_view)["b0"], 40)

    def test_own_work_since_the_report_counts(self):
        """Guards against choices by an outdated load report alone."""
        current_view = view(count=4)
        chooser = chooser_of()
        for backend, running in zip(current_view.backends, (0, 1, 1, 1), strict=True):
            chooser.report(backend, Load(running, capacity=8))
        chosen = Counter()
        for _ in range(60):
            backend = chooser.choose(current_view, "desk")
            chooser.started(backend)
            chosen[backend.name] += 1
        self.assertLess(max(chosen.values()) - min(chosen.values()), 6)

    def test_lagging_report_keeps_work_started_after_it(self):
        current_view = view(count=1)
        chooser = chooser_of()
        backend = current_view.backends[0]
        chooser.report(backend, Load(4, capacity=8, age=0.0))
        for _ in range(3):
            chooser.started(backend)
        chooser.report(backend, Load(4, capacity=8, age=100.0))
        self.assertEqual(chooser.load_of(backend), 7 / 8)
        chooser.finished(backend, DONE)
        self.assertEqual(chooser.load_of(backend), 6 / 8)

    def test_report_replaces_only_work_that_it_includes(self):
        current_view = view(count=1)
        chooser = chooser_of()
        backend = current_view.backends[0]
        chooser.report(backend, Load(0, capacity=8))
        with mock.patch.object(backend_state, "now") as now:
            for now.return_value in (1000.0, 1010.0):
                chooser.started(backend)
            now.return_value = 1011.0
            chooser.report(backend, Load(4, capacity=8, age=5.0))
        self.assertEqual(chooser.load_of(backend), 5 / 8)

    def test_server_that_fails_fast_gets_little_work(self):
        """Guards against a failing server that looks least loaded."""
        current_view = view(count=3)
        # So short that suspicion does not hide that failures count as load.
        chooser = chooser_of(routing={"suspect_backend_for": 1e-9})
        tries = Counter()
        for _ in range(300):
            backend = chooser.choose(current_view, "desk")
            chooser.started(backend)
            tries[backend.name] += 1
            broken = backend.name == "b0"
            chooser.finished(backend, Broken("refused", False) if broken else DONE)
        self.assertLess(tries["b0"], 30)

    def test_failed_server_gets_no_work_until_it_answers(self):
        current_view = view(count=2)
        chooser = chooser_of(routing={"suspect_backend_for": 60.0})
        first = current_view.backends[0]
        chooser.started(first)
        chooser.finished(first, Broken("cut"))
        self.assertEqual(self.count_choices(chooser, current_view)["b0"], 0)
        chooser.finished(first, DONE)
        self.assertGreater(self.count_choices(chooser, current_view)["b0"], 100)

    def test_lone_suspect_is_still_tried(self):
        current_view = view(count=1)
        chooser = chooser_of(routing={"suspect_backend_for": 60.0})
        chooser.finished(current_view.backends[0], Broken("cut"))
        self.assertEqual(chooser.choose(current_view, "desk").name, "b0")

    def test_leaving_dead_and_silent_servers_get_no_work(self):
        """Guards against calls to a server that any source reports as unavailable."""
        leaving = view(count=2)
        leaving.backends[0].state = State.LEAVING
        dead = view(count=2)
        dead.backends[0].state = State.DEAD
        cases = [
            ("instance list says leaving", leaving, lambda chooser, backend: None),
            ("instance list says dead", dead, lambda chooser, backend: None),
            (
                "its load report says leaving",
                view(count=2),
                lambda chooser, backend: chooser.report(backend, Load(0, leaving=True)),
            ),
            (
                "it refuses because it is leaving",
                view(count=2),
                lambda chooser, backend: chooser.finished(backend, NotRun("leaving")),
            ),
            (
                "three load reports were missed",
                view(count=2),
                lambda chooser, backend: [
                    chooser.record_missed_report(backend) for _ in range(3)
                ],
            ),
        ]
        for name, current_view, apply in cases:
            with self.subTest(name):
                chooser = chooser_of()
                apply(chooser, current_view.backends[0])
                self.assertEqual(self.count_choices(chooser, current_view)["b0"], 0)

    def test_full_server_is_avoided_until_its_next_report(self):
        current_view = view(count=2)
        chooser = chooser_of()
        chooser.finished(current_view.backends[0], NotRun("queue full"))
        self.assertEqual(self.count_choices(chooser, current_view)["b0"], 0)
        chooser.report(current_view.backends[0], Load(0, capacity=8))
        self.assertGreater(self.count_choices(chooser, current_view)["b0"], 100)

    def test_no_usable_server_is_not_run(self):
        current_view = view(count=2)
        outcome = chooser_of().choose(current_view, "desk", exclude=["b0", "b1"])
        self.assertIsInstance(outcome, NotRun)
        self.assertIsInstance(chooser_of().choose(current_view, "other"), NotRun)
        self.assertIsInstance(chooser_of().choose(current_view, "desk", "none"), NotRun)

    def test_own_zone_first_while_it_is_not_much_busier(self):
        own_zone = backends(2, availability_zone="zone-a")
        other_zone = backends(4, availability_zone="zone-b")[2:]
        current_view = View(backends=own_zone + other_zone)
        chooser = chooser_of()
        self.assertEqual(set(self.count_choices(chooser, current_view)), {"b0", "b1"})
        for backend in own_zone:
            chooser.report(backend, Load(4, capacity=8))
        self.assertLess(
            sum(
                self.count_choices(chooser, current_view)[backend.name]
                for backend in own_zone
            ),
            100,
        )

    def test_prefix_stays_with_its_server_unless_that_is_busy(self):
        current_view = view(count=6)
        chooser = chooser_of()
        chosen = self.count_choices(chooser, current_view, affinity="prefix")
        self.assertEqual(len(chosen), 1)
        preferred = next(
            backend for backend in current_view.backends if backend.name in chosen
        )
        chooser.report(preferred, Load(8, capacity=8))
        self.assertNotIn(
            preferred.name, self.count_choices(chooser, current_view, affinity="prefix")
        )

    def test_subset_is_stable_and_bounded(self):
        current_view = view(count=100)
        chooser = chooser_of(routing={"subset_size": 10})
        other = chooser_of(routing={"subset_size": 10})
        names = [backend.name for backend in chooser.subset(current_view, "desk")]
        self.assertEqual(len(names), 10)
        self.assertEqual(
            names, [backend.name for backend in other.subset(current_view, "desk")]
        )
        fewer = View(
            backends=[
                backend for backend in current_view.backends if backend.name != names[0]
            ]
        )
        remaining = {backend.name for backend in chooser.subset(fewer, "desk")}
        self.assertEqual(len(remaining & set(names)), 9)


class _LoadReports:
    """Load reports by backend name; a missing one is never answered."""

    def __init__(self, **loads):
        self.loads = loads

    async def load(self, backend):
        load = self.loads.get(backend.name)
        if load is None:
            await asyncio.Event().wait()
        return load


class LoadPollerTest(unittest.IsolatedAsyncioTestCase):
    async def test_frozen_server_does_not_delay_other_reports(self):
        """Guards against one frozen server that delays all load reports."""
        chooser = chooser_of(routing={"load_interval": 0.02})
        current_view = view(count=3)
        engine = _LoadReports(b1=Load(4, capacity=8), b2=Unavailable("refused"))
        poller = LoadPoller(
            settings(routing={"load_interval": 0.02}),
            lambda: current_view,
            engine,
            chooser,
        )
        task = asyncio.ensure_future(poller.run())
        first, second, third = current_view.backends
        await until(lambda: chooser.load_of(second) == 0.5)
        engine.loads["b1"] = Load(8, capacity=8)
        await until(lambda: chooser.load_of(second) == 1.0)
        silent = [first.name, third.name]
        await until(
            lambda: (
                {chooser.choose(current_view, "desk").name for _ in range(50)} == {"b1"}
            ),
            what=f"{silent} to get no work",
        )
        task.cancel()


if __name__ == "__main__":
    unittest.main()
