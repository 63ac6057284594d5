"""Tests of the choice of replicas by which few connections are opened."""

import contextlib
import heapq
import itertools
import random
import statistics
import unittest
from collections import deque
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.routing import backend_state, replicas as replicas_module, subsets
from sassafrasdoor.routing.replicas import Listing, Replicas, Subset

SERVICE, ZONES, INSTANCES = "s", "abcd", 16
WORK_TIME = 0.032  # seconds
SLOTS, QUEUE = 6, 24
IDLE_TIMEOUT = 4.4  # seconds
USUAL_SPELL, SLOW_SPELL, SLOW_PACE = 0.85, 0.15, 2.5  # mean seconds, and the pace
NEAR_DELAY, FAR_DELAY = 0.0003, 0.0014  # seconds
# Calls a second of all instances: one in about three seconds for each pair.
CALM_RATE = 24
BUSY_RATE = 400  # two thirds of what the replicas can do


class Server:
    """A replica with slots and a queue, on a machine that it shares."""

    def __init__(self, seed):
        self.running = 0
        self.waiting = deque()
        self._random = random.Random(seed)
        self._spell_end = 0.0
        self._is_slow = True

    def pace(self, time):
        while self._spell_end <= time:
            self._is_slow = not self._is_slow
            mean = SLOW_SPELL if self._is_slow else USUAL_SPELL
            self._spell_end += self._random.expovariate(1 / mean)
        return SLOW_PACE if self._is_slow else 1.0


class Caller:
    """An instance with its view of the replicas and its kept connections."""

    def __init__(self, replay, at, replica_zones, has_subset):
        self.zone = ZONES[at % len(ZONES)]
        self.idle = {}
        self.replicas = Replicas(self.zone)
        names = [f"10.0.0.{other}:80" for other in range(INSTANCES)]
        if has_subset:
            self.replicas.subset = Subset(
                names[at],
                lambda: names[at % len(ZONES) :: len(ZONES)],
                lambda replica: self.has_idle(replica, replay.time),
            )
        for number, zone in enumerate(replica_zones):
            listing = Listing(SERVICE, f"r{number}:1", zone, SLOTS, False, {})
            self.replicas.update_listing(f"r{number}", listing)
            self.idle[f"r{number}"] = deque()

    def has_idle(self, replica, time):
        pool = self.idle[replica.identity]
        while pool and pool[0] <= time:
            pool.popleft()
        return bool(pool)


class Replay:
    """Calls of 16 instances to four replicas in virtual time, with or without the part."""

    def __init__(self, has_subset, replica_zones=ZONES):
        self.time = 0.0
        self.opened = 0
        self.seconds = []
        self._has_subset = has_subset
        self._servers = {f"r{at}": Server(at) for at in range(len(replica_zones))}
        self._callers = [
            Caller(self, at, replica_zones, has_subset) for at in range(INSTANCES)
        ]
        self._random = random.Random(1)
        self._events = []
        self._numbers = itertools.count()

    @property
    def opened_per_call(self):
        return self.opened / len(self.seconds)

    def run(self, *rates):
        """Play Poisson calls; ``rates`` are (end, calls a second of all instances)."""
        start = 0.0
        for end, rate in rates:
            while (start := start + self._random.expovariate(rate)) < end:
                self._at(start, self._call, self._random.choice(self._callers))
            start = end
        with contextlib.ExitStack() as stack:
            for module in (clock, backend_state, replicas_module):
                stack.enter_context(mock.patch.object(module, "now", lambda: self.time))
            while self._events:
                self.time, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
        return self

    def _at(self, time, action, *arguments):
        heapq.heappush(self._events, (time, next(self._numbers), action, arguments))

    def _call(self, caller):
        replica = caller.replicas.choose(SERVICE)
        if caller.has_idle(replica, self.time):
            pool = caller.idle[replica.identity]
            pool.popleft() if self._has_subset else pool.pop()
        else:
            self.opened += 1
        replica.state.started()
        is_near = replica.listing.zone == caller.zone
        delay = NEAR_DELAY if is_near else FAR_DELAY
        call = (self.time, delay, caller, replica)
        self._at(self.time + delay, self._arrive, call)

    def _arrive(self, call):
        server = self._servers[call[-1].identity]
        if server.running < SLOTS:
            self._begin(server, call)
        else:
            assert len(server.waiting) < QUEUE, "the load is beyond this replay"
            server.waiting.append(call)

    def _begin(self, server, call):
        server.running += 1
        work = WORK_TIME * server.pace(self.time)
        self._at(self.time + work, self._end, server, call)

    def _end(self, server, call):
        report = (server.running, len(server.waiting), server.pace(self.time))
        self._at(self.time + call[1], self._receive, call, report)
        server.running -= 1
        if server.waiting:
            self._begin(server, server.waiting.popleft())

    def _receive(self, call, report):
        sent_at, _, caller, replica = call
        self.seconds.append(self.time - sent_at)
        replica.record_load(*report)
        replica.state.finished()
        caller.idle[replica.identity].append(self.time + IDLE_TIMEOUT)


class ReplayTest(unittest.TestCase):
    def test_calm_calls_open_half_of_the_connections(self):
        """Guards against calls that change replicas although one has free capacity."""
        for zones in ("abcd", "aabb", "aaaa"):
            with self.subTest(replica_zones=zones):
                rates = (100.0, CALM_RATE)
                before = Replay(False, zones).run(rates)
                after = Replay(True, zones).run(rates)
                self.assertLessEqual(after.opened_per_call, before.opened_per_call / 2)

    def test_burst_stays_balanced(self):
        """Guards against queues at the first replicas while others have free slots."""
        for zones in ("abcd", "aabb", "aaaa"):
            with self.subTest(replica_zones=zones):
                rates = ((10.0, CALM_RATE), (20.0, BUSY_RATE), (25.0, CALM_RATE))
                before = Replay(False, zones).run(*rates)
                after = Replay(True, zones).run(*rates)
                for share in (94, 98):
                    bound = statistics.quantiles(before.seconds, n=100)[share] * 1.05
                    seconds = statistics.quantiles(after.seconds, n=100)[share]
                    self.assertLessEqual(seconds, bound)
                self.assertLessEqual(after.opened, before.opened)


class OrderTest(unittest.TestCase):
    def test_entry_points_are_spread_evenly(self):
        """Guards against a replica that most entry points of a zone use first."""
        names = [f"10.0.0.{at}:80" for at in range(12)]
        replicas = [f"r{at}" for at in range(4)]
        orders = [
            subsets.replica_order(name, names, replicas, ["far"], SERVICE)
            for name in names
        ]
        for place in range(subsets.EVEN_PLACES):
            users = [order[place] for order in orders]
            counts = [users.count(replica) for replica in replicas]
            self.assertLessEqual(max(counts) - min(counts), 2 if place else 0)
        self.assertEqual({order[-1] for order in orders}, {"far"})

    def test_one_change_moves_few_orders(self):
        """Guards against all entry points changing replicas when one of them ends."""
        names = [f"10.0.0.{at}:80" for at in range(12)]
        replicas = [f"r{at}" for at in range(4)]

        def firsts(instances):
            return {
                name: subsets.replica_order(name, instances, replicas, [], SERVICE)[0]
                for name in instances
            }

        before = firsts(names)
        changed = 0
        for ended in names:
            after = firsts([name for name in names if name != ended])
            changed += sum(after[name] != before[name] for name in after)
        self.assertLessEqual(changed / len(names), len(names) / 3)


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.replicas = Replicas("a")
        self.idle = {"x", "y", "z"}
        self.replicas.subset = Subset(
            "me", lambda: ["me"], lambda replica: replica.identity in self.idle
        )
        for identity in "xyz":
            listing = Listing(SERVICE, f"{identity}:1", "a", SLOTS, False, {})
            self.replicas.update_listing(identity, listing)
            self.replicas.get(identity).record_load(0, 0, 1.0)
        usable = self.replicas.of_service(SERVICE)
        order = self.replicas.subset.order(SERVICE, usable, "a")
        self.first, self.second, self.third = map(self.replicas.get, order)

    def chosen(self):
        return self.replicas.choose(SERVICE)

    def test_first_replica_passes_the_call_on(self):
        """Guards against calls that wait at one replica while another has free slots."""
        self.assertIs(self.chosen(), self.first)
        causes = {
            "at its slots": lambda: self.first.record_load(SLOTS, 3, 1.0),
            "slow": lambda: self.first.record_load(1, 0, SLOW_PACE),
            "suspect": lambda: self.first.state.failed(60.0),
        }
        for name, cause in causes.items():
            with self.subTest(name):
                cause()
                self.assertIs(self.chosen(), self.second)
                self.first.record_load(0, 0, 1.0)

    def test_kept_connection_is_preferred(self):
        self.idle = {self.third.identity}
        self.assertIs(self.chosen(), self.third)
        self.third.record_load(SLOTS, 0, 1.0)
        self.assertIs(self.chosen(), self.first)

    def test_full_replicas_are_chosen_by_load(self):
        """Guards against an overload that one replica bears alone."""
        for replica, waiting in ((self.first, 9), (self.second, 2), (self.third, 5)):
            replica.record_load(SLOTS, waiting, 1.0)
        self.assertIs(self.chosen(), self.second)

    def test_other_services_are_served_as_before(self):
        """Guards against the part acting where replicas do not report their pace."""
        for identity in "xyz":
            self.replicas.get(identity).record_load(0, 0)
        self.idle = set()
        self.assertEqual(self.chosen().identity, "x")
        self.replicas.get("x").record_load(2, 0)
        self.assertEqual(self.chosen().identity, "y")


if __name__ == "__main__":
    unittest.main()
