"""Measure leased quota against static slices and none, and goodput under overload.

The allocator, the allowance and the queues are the real ones; instances and
engines are small models, the first two parts on a virtual clock.

    PYTHONPATH=. python samples/measure_quota.py > quota.txt
"""

import asyncio
import random
import statistics
import time
from collections import Counter, deque

from sassafrasdoor import clock, settings
from sassafrasdoor.admission import grants as grants_module, queues
from sassafrasdoor.admission.allocator import REPORTS_PER_SECOND, Allocator
from sassafrasdoor.admission.grants import Report, Usage
from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.admission.quota import allowance, equal_slice
from sassafrasdoor.admission.shares import hard_limit
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.view import Backend, Grant, Member, View

SEEDS = range(1, 6)
INSTANCES, ENGINES, SLOTS = 10, 5, 16
CAPACITY = ENGINES * SLOTS
STEP, EXCHANGE = 0.01, 0.6
BACKLOG = 16  # streams that each trainer keeps waiting or running at an instance
BURST_AT, CUT_AT, HOLDER_DIES_AT, HOLDER_BACK_AT, END = 20.0, 35.0, 40.0, 46.0, 70.0
# The burst comes to the instances that discovery named to the callers.
BURST_INSTANCES, BURST_CALLS = 4, 24
STREAM_MEAN, CALL_MEAN = 2.0, 0.2
HASH = ["0" * 64]
MADE = settings.from_document({})


def row(name, **fields):
    """Return a row document."""
    base = {"name": name, "kind": "application", "service": "s", "key_hashes": HASH}
    return {**base, **fields}


TABLE = table_from(
    {
        "rows": [
            row("gate", priority=1, limit=0.5),
            row("first", kind="trainer", model="m", weight=2),
            row("second", kind="trainer", model="m", limit=0.4),
        ]
    }
)
MEAN = {"gate": CALL_MEAN, "first": STREAM_MEAN, "second": STREAM_MEAN}
VIEW = View(
    table=TABLE,
    members=[Member(f"e{number}") for number in range(INSTANCES)],
    backends=[
        Backend(f"b{number}", "", "engine", "s", capacity=SLOTS)
        for number in range(ENGINES)
    ],
)


class VirtualClock:
    """Time as the model has it."""

    time = 0.0

    def __call__(self):
        return self.time


CLOCK = VirtualClock()
REAL = clock.now


def use_clock(source):
    """Have the modules under measurement read this clock."""
    clock.now = grants_module.now = queues.now = source


class Instance:
    """Calls waiting and in progress at one entry instance."""

    def __init__(self, name):
        self.name = name
        self.waiting = Counter()
        self.in_use = Counter()
        self.view = View(
            table=TABLE, members=VIEW.members, backends=VIEW.backends, grants={}
        )
        self.reachable = True

    def report(self):
        """Return the report for the holder."""
        held = self.view.grants
        rows = {
            one.name: Usage(
                self.waiting[one.name] + self.in_use[one.name],
                self.in_use[one.name],
                held[one.name].fallback if one.name in held else 0,
            )
            for one in TABLE.rows
        }
        number = max((grant.number for grant in held.values()), default=0)
        return Report(self.name, "1", number, rows)

    def adopt(self, made):
        """Use new grants."""
        if made is not None:
            self.view.grants = {
                name: Grant(
                    slots, made.deadline, made.fallback.get(name, 0), made.number
                )
                for name, slots in made.slots.items()
            }


def leased(instance, one):
    """Leased quota: the real allowance."""
    return allowance(MADE, instance.view, one)


def static(instance, one):
    """Every instance has an equal slice of each row's limit."""
    return equal_slice(instance.view, one)


def none(instance, one):
    """Everything is let through."""
    return 10**9


class Model:
    """One run of one policy."""

    def __init__(self, policy, seed):
        self._policy = policy
        self._random = random.Random(seed)
        self._instances = [Instance(member.name) for member in VIEW.members]
        self._holder, self._fence = None, 0
        self._next_exchange = 0.0
        self._running, self._queue = [], deque()
        self.overshoot = Counter()
        self.lent, self.busy, self.faulty = [], [], []
        self.reclaimed = None

    def run(self):
        """Run and return the figures."""
        self._new_holder()
        while CLOCK.time < END:
            self._faults()
            self._arrivals()
            self._finish()
            self._exchange()
            self._admit()
            self._watch()
            CLOCK.time += STEP
        reclaimed = self.reclaimed - BURST_AT if self.reclaimed else float("inf")
        most = max(self.overshoot.values(), default=0)
        uses = [statistics.mean(part) for part in (self.lent, self.busy, self.faulty)]
        return (*uses, most, reclaimed)

    def _new_holder(self):
        self._fence += 1
        self._holder = Allocator(MADE)
        names = [instance.name for instance in self._instances]
        self._holder.take_over(self._fence, names)
        self._holder.plan(TABLE.rows, CAPACITY)

    def _faults(self):
        now = CLOCK.time
        self._instances[0].reachable = now < CUT_AT
        if HOLDER_DIES_AT <= now < HOLDER_BACK_AT:
            self._holder = None
        elif self._holder is None:
            self._new_holder()

    def _arrivals(self):
        for instance in self._instances:
            for name in ("first", "second"):
                instance.waiting[name] = max(0, BACKLOG - instance.in_use[name])
        if CLOCK.time < BURST_AT:
            return
        for instance in self._instances[-BURST_INSTANCES:]:
            wanted = BURST_CALLS // BURST_INSTANCES
            instance.waiting["gate"] = wanted - instance.in_use["gate"]

    def _finish(self):
        for call in [call for call in self._running if call[0] <= CLOCK.time]:
            self._running.remove(call)
            _, instance, name = call
            instance.in_use[name] -= 1
        while self._queue and len(self._running) < CAPACITY:
            self._start(*self._queue.popleft())

    def _start(self, instance, name):
        ends = CLOCK.time + self._random.expovariate(1 / MEAN[name])
        self._running.append((ends, instance, name))

    def _exchange(self):
        if CLOCK.time < self._next_exchange:
            return
        self._next_exchange = CLOCK.time + EXCHANGE
        if self._holder is None or self._policy is not leased:
            return
        for instance in self._random.sample(self._instances, len(self._instances)):
            if instance.reachable:
                instance.adopt(self._holder.report(instance.report()))

    def _admit(self):
        for instance in self._random.sample(self._instances, len(self._instances)):
            for one in TABLE.rows:
                room = self._policy(instance, one) - instance.in_use[one.name]
                for _ in range(min(room, instance.waiting[one.name])):
                    instance.waiting[one.name] -= 1
                    instance.in_use[one.name] += 1
                    if len(self._running) < CAPACITY:
                        self._start(instance, one.name)
                    else:
                        self._queue.append((instance, one.name))

    def _watch(self):
        total = Counter()
        for instance in self._instances:
            total.update(instance.in_use)
        for one in TABLE.rows:
            over = total[one.name] - hard_limit(one, CAPACITY)
            self.overshoot[one.name] = max(self.overshoot[one.name], over)
        parts = ((BURST_AT, self.lent), (CUT_AT, self.busy), (END, self.faulty))
        part = next(part for until, part in parts if CLOCK.time < until)
        if CLOCK.time > BURST_AT / 2:
            part.append(len(self._running) / CAPACITY)
        gates = sum(1 for _, _, name in self._running if name == "gate")
        if self.reclaimed is None and gates >= 0.9 * BURST_CALLS:
            self.reclaimed = CLOCK.time


def spread(values, digits=2):
    """Return the median and the range of some runs."""
    middle = statistics.median(values)
    return f"{middle:.{digits}f} ({min(values):.{digits}f}-{max(values):.{digits}f})"


def measure_policies():
    """Print utilisation, overshoot and reclaim time by policy."""
    print("### Shares at ten instances\n")
    print("| policy | use, trainers only | all | faults | overshoot | reclaim s |")
    print("|---|---|---|---|---|---|")
    for policy in (leased, static, none):
        runs = []
        for seed in SEEDS:
            CLOCK.time = 0.0
            runs.append(Model(policy, seed).run())
        *uses, over, reclaim = zip(*runs, strict=True)
        cells = [*map(spread, uses), spread(over, 0), spread(reclaim)]
        print(f"| {policy.__name__} | {' | '.join(cells)} |", flush=True)


def measure_cost():
    """Print the holder's processor time by the number of instances."""
    print("\n### Processor time of a holder, 30 rows of one service\n")
    print("| instances | reports/s | ms a report | share of a core, % |")
    print("|---|---|---|---|")
    rows = table_from({"rows": [row(f"r{number}") for number in range(30)]}).rows
    for count in (10, 50, 100, 200, 400):
        costs = [_cost(rows, count, seed) for seed in SEEDS]
        rate = min(count / EXCHANGE, REPORTS_PER_SECOND)
        each = spread([cost * 1000 for cost in costs], 3)
        share = spread([cost * rate * 100 for cost in costs])
        print(f"| {count} | {rate:.0f} | {each} | {share} |", flush=True)


def _cost(rows, count, seed):
    chance = random.Random(seed)
    CLOCK.time = 0.0
    allocator = Allocator(MADE)
    allocator.plan(rows, 16 * count)
    CLOCK.time = 1000.0
    numbers = Counter()
    reports = 0
    began = time.process_time()
    while reports < 2000:
        for number in range(count):
            CLOCK.time += max(EXCHANGE / count, 1 / REPORTS_PER_SECOND)
            used = {
                one.name: Usage(chance.randrange(4), chance.randrange(2))
                for one in chance.sample(rows, 8)
            }
            report = Report(f"e{number}", "1", numbers[number], used)
            numbers[number] = allocator.report(report).number
            reports += 1
    return (time.process_time() - began) / reports


HOLD, DEADLINE, OVERLOAD_SLOTS, OVERLOAD_FOR = 0.05, 0.4, 20, 4.0


class UnboundedQueue:
    """A queue with neither bound nor deadline, as if all were admitted late."""

    def __init__(self, made):
        self._places = asyncio.Semaphore(OVERLOAD_SLOTS)

    async def admit(self, view, one, deadline):
        """Wait for a place, however long."""
        await self._places.acquire()
        return self

    def release(self):
        """Give the place back."""
        self._places.release()


class BoundedQueue(Admission):
    """The real queues without any thought of how long calls take."""

    async def admit(self, view, one, deadline):
        """Admit, forgetting how long calls take."""
        for queue in self._queues.values():
            queue._mean_service_time = 0.0
        return await super().admit(view, one, deadline)


async def _overload(kind, factor, seed):
    chance = random.Random(seed)
    admission = kind(MADE)
    one = TABLE.row("gate")
    far = clock.deadline_in(1000)
    seen = View(table=TABLE, grants={"gate": Grant(OVERLOAD_SLOTS, far)})
    served, refused, wasted, tasks = [], [], [], []

    async def call():
        began = REAL()
        permit = await admission.admit(seen, one, began + DEADLINE)
        if not permit:
            refused.append(REAL() - began)
            return
        await asyncio.sleep(HOLD)
        permit.release()
        (served if REAL() - began <= DEADLINE else wasted).append(REAL() - began)

    ends = REAL() + OVERLOAD_FOR
    rate = factor * OVERLOAD_SLOTS / HOLD
    due = REAL()
    while REAL() < ends:
        due += chance.expovariate(rate)
        if due > REAL():
            await asyncio.sleep(due - REAL())
        tasks.append(asyncio.ensure_future(call()))
    await asyncio.gather(*tasks)
    told = statistics.median(refused) * 1000 if refused else 0.0
    good = len(served) / (OVERLOAD_FOR * OVERLOAD_SLOTS / HOLD)
    return good, len(wasted) / len(tasks), told


def measure_overload():
    """Print goodput under overload, in real time."""
    print("\n### Goodput under overload (share of capacity, calls in time)\n")
    print("| queue | load | goodput | too late, share of calls | refusal, median ms |")
    print("|---|---|---|---|---|")
    kinds = (("real", Admission), ("bounded", BoundedQueue), ("none", UnboundedQueue))
    for factor in (1.5, 3.0):
        for name, kind in kinds:
            runs = [asyncio.run(_overload(kind, factor, seed)) for seed in SEEDS]
            good, late, told = zip(*runs, strict=True)
            cells = [spread(good), spread(late), spread(told, 1)]
            print(f"| {name} | {factor} | {' | '.join(cells)} |", flush=True)


def main():
    """Measure all three parts."""
    use_clock(CLOCK)
    measure_policies()
    measure_cost()
    use_clock(REAL)
    measure_overload()


main()
