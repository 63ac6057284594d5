"""Measure routing policies side by side on a small model with a virtual clock.

Ten entry instances send calls to sixteen servers of eight slots. Load reports
lag. The last policy is the real ``Chooser``; the others are what it replaces.

    PYTHONPATH=. python samples/measure_routing.py > routing.txt
"""

import heapq
import itertools
import random
import statistics
import sys
from collections import Counter, deque

from sassafrasdoor import clock, settings
from sassafrasdoor.backends.interface import Answer, Broken, Load
from sassafrasdoor.routing import backend_state, chooser
from sassafrasdoor.view import Backend, View

ENTRIES, SERVERS, SLOTS = 10, 16, 8
MEAN_SERVICE = 1.0
UTILISATION = 0.75
DURATION, WARM_UP = 120.0, 20.0
POLL = 0.5
LAGS = (0.5, 1.0, 2.0, 5.0)
SEEDS = range(1, 6)
SLOW_FACTOR = 4.0
FAIL_AFTER = 0.002
DONE, FAILED = Answer(200, {}, b""), Broken("fails at once")
FAULTS = ("none", "slow", "failing")


class VirtualClock:
    """Time as the model has it."""

    def __init__(self):
        self.time = 0.0

    def __call__(self):
        return self.time


CLOCK = VirtualClock()
clock.now = backend_state.now = CLOCK


class RoundRobin:
    """Each entry goes round all servers."""

    def __init__(self, view, seed):
        self._servers = itertools.cycle(random.Random(seed).sample(view, len(view)))

    def choose(self):
        """Return the next server."""
        return next(self._servers)

    def started(self, backend):
        """Nothing is kept."""

    def finished(self, backend, outcome):
        """Nothing is kept."""

    def report(self, backend, load):
        """Nothing is kept."""


class LeastReported(RoundRobin):
    """The least load in the newest reports, ties at random."""

    def __init__(self, view, seed):
        self._view = view
        self._random = random.Random(seed)
        self._loads = dict.fromkeys((one.name for one in view), 0)

    def choose(self):
        """Return the least loaded server."""
        return min(self._view, key=self._cost)

    def _cost(self, one):
        return self._loads[one.name], self._random.random()

    def report(self, backend, load):
        """Keep the newest report."""
        self._loads[backend.name] = load.running + load.queued


class TwoReported(LeastReported):
    """The less loaded of two at random, by the reports alone."""

    def choose(self):
        """Return the better of two."""
        return min(self._random.sample(self._view, 2), key=self._cost)


class LeastWithOwn(LeastReported):
    """The least of report and own work since: no chance in the choice."""

    def __init__(self, view, seed):
        super().__init__(view, seed)
        self._own = Counter()

    def _cost(self, one):
        return self._loads[one.name] + self._own[one.name], self._random.random()

    def started(self, backend):
        """Count own work since the report."""
        self._own[backend.name] += 1

    def report(self, backend, load):
        """Begin to count anew."""
        super().report(backend, load)
        self._own[backend.name] = 0


class Chosen:
    """The real ``Chooser``."""

    draws = chooser.DRAW_COUNT

    def __init__(self, view, seed):
        self._view = View(backends=view)
        made = settings.from_document({"instance": {"availability_zone": "zone-a"}})
        self._chooser = chooser.Chooser(made, random.Random(seed))
        self.started = self._chooser.started
        self.finished = self._chooser.finished
        self.report = self._chooser.report

    def choose(self):
        """Return the chooser's choice."""
        chooser.DRAW_COUNT = self.draws
        return self._chooser.choose(self._view, "s")


class ChosenOfFour(Chosen):
    """The real ``Chooser`` drawing four servers in place of two."""

    draws = 4


POLICIES = {
    "round robin": RoundRobin,
    "least reported": LeastReported,
    "two, reports only": TwoReported,
    "least + own work": LeastWithOwn,
    "chooser (two + own)": Chosen,
    "chooser drawing four": ChosenOfFour,
}


class Server:
    """A server of ``SLOTS`` slots with a queue; its report lags."""

    def __init__(self, fault):
        self.running = 0
        self.queue = deque()
        self.report = (0.0, 0, 0)
        self.slow = SLOW_FACTOR if fault == "slow" else 1.0
        self.failing = fault == "failing"


class Model:
    """One run of one policy."""

    def __init__(self, policy, lag, fault, seed):
        self._random = random.Random(seed)
        self._events, self._order = [], itertools.count()
        self._lag = lag
        self._view = [
            Backend(f"b{number}", "", "service", "s", "zone-a", capacity=SLOTS)
            for number in range(SERVERS)
        ]
        self._servers = {
            one.name: Server(fault if one is self._view[0] else "")
            for one in self._view
        }
        self._entries = [
            policy(self._view, seed * 1000 + each) for each in range(ENTRIES)
        ]
        self.times, self.failures, self.calls = [], 0, 0

    def run(self):
        """Run and return (p50, p99, failed share)."""
        CLOCK.time = 0.0
        self._at(0.0, self._arrive)
        for name in self._servers:
            self._at(self._random.random() * self._lag, self._sample, name)
        for entry in self._entries:
            self._at(self._random.random() * POLL, self._poll, entry)
        while self._events and self._events[0][0] < DURATION:
            CLOCK.time, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        cuts = statistics.quantiles(self.times, n=100)
        return cuts[49], cuts[98], self.failures / self.calls

    def _at(self, after, action, *arguments):
        event = (CLOCK.time + after, next(self._order), action, arguments)
        heapq.heappush(self._events, event)

    def _arrive(self):
        rate = UTILISATION * SERVERS * SLOTS / MEAN_SERVICE
        self._at(self._random.expovariate(rate), self._arrive)
        entry = self._random.choice(self._entries)
        backend = entry.choose()
        entry.started(backend)
        server = self._servers[backend.name]
        call = (CLOCK.time, entry, backend)
        if server.failing:
            self._at(FAIL_AFTER, self._end, call, FAILED)
        elif server.running < SLOTS:
            self._serve(server, call)
        else:
            server.queue.append(call)

    def _serve(self, server, call):
        server.running += 1
        work = self._random.expovariate(1 / MEAN_SERVICE) * server.slow
        self._at(work, self._served, server, call)

    def _served(self, server, call):
        server.running -= 1
        if server.queue:
            self._serve(server, server.queue.popleft())
        self._end(call, DONE)

    def _end(self, call, outcome):
        arrived, entry, backend = call
        entry.finished(backend, outcome)
        if arrived < WARM_UP:
            return
        self.calls += 1
        if outcome:
            self.times.append(CLOCK.time - arrived)
        else:
            self.failures += 1

    def _sample(self, name):
        server = self._servers[name]
        server.report = (CLOCK.time, server.running, len(server.queue))
        self._at(self._lag, self._sample, name)

    def _poll(self, entry):
        for backend in self._view:
            taken, running, queued = self._servers[backend.name].report
            age = CLOCK.time - taken
            entry.report(backend, Load(running, queued, SLOTS, age))
        self._at(POLL, self._poll, entry)


def spread(values, scale=1.0, digits=2):
    """Return the median and the range of some runs."""
    values = [value * scale for value in values]
    middle = statistics.median(values)
    return f"{middle:.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


def main():
    """Print a table for each fault."""
    for fault in FAULTS:
        print(f"\n### Fault: {fault}\n")
        print("| policy | lag s | p50 s | p99 s | failed % |")
        print("|---|---|---|---|---|")
        for lag in LAGS:
            for name, policy in POLICIES.items():
                runs = [Model(policy, lag, fault, seed).run() for seed in SEEDS]
                p50, p99, failed = zip(*runs, strict=True)
                cells = [spread(p50), spread(p99), spread(failed, 100.0)]
                print(f"| {name} | {lag} | {' | '.join(cells)} |")
                sys.stdout.flush()


main()
