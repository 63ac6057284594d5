"""Replays of engines of different and changing speed, in virtual time."""

import random
import unittest
from types import SimpleNamespace

from sassafrasdoor.routing import pace, placement
from sassafrasdoor.routing.engine_speed import EngineSpeed, load_slowdown
from sassafrasdoor.routing.placement import MAX_MIGRATIONS, Candidate, Requirement

TICK = 0.02  # seconds
FAST, USUAL = 0.55 * 0.06, 1.2 * 0.06  # seconds an event takes on an idle engine
ENGINES, SLOTS, STEPS, ITEMS = 23, 6, 18, 54
STEP_INTERVAL, FAULT_AT = 4 / 3, 9.0  # seconds


class Engine:
    """An engine with short slowdowns for 0.15 of the time, reported late."""

    def __init__(self, at, seed):
        self.at, self.identity, self.versions = at, f"e{at:02}", {}
        self.listing = SimpleNamespace(slots=SLOTS)
        self.usual = FAST if at % 4 == 0 else USUAL
        self.load, self.event_interval, self.speed = 0, None, EngineSpeed()
        self.spike_until, self.pace = 0.0, 1.0
        self.source = random.Random(100 * seed + at)  # the same under each rule

    def advance(self, moment, fault):
        """Set the interval of its samples in this tick."""
        starts = 0.15 / 0.85 / 0.3 * TICK  # chance of a slowdown of 0.3 s on average
        if moment >= self.spike_until and self.source.random() < starts:
            self.spike_until = moment + self.source.uniform(0.1, 0.5)
        factor = (2.5 if moment < self.spike_until else 1.0) * fault
        self.interval = self.usual * factor * (1 + self.load / SLOTS)
        if self.source.random() < 4 * TICK:
            self.pace = factor

    def record(self, seconds, moment):
        self.event_interval = self.event_interval or seconds
        self.event_interval += 0.03 * (seconds - self.event_interval)
        slowdown = load_slowdown(self.load, SLOTS)
        self.speed.record(seconds, slowdown, self.pace, moment)


class Sample:
    """An item with its true length in events and its hint in tokens."""

    def __init__(self, step, source):
        self.step, self.engine, self.cuts = step, None, 0
        self.length = max(3, round(source.lognormvariate(2.6, 0.7)))
        self.expected = 20 * self.length * source.lognormvariate(0, 0.4)
        self.done, self.received, self.last_event_at = 0.0, 0, None


class Replay:
    """Steps of three trainers under a rule: "none" (no migration), "ratio" or "pace".

    A third of the engines is ``fault`` times slower for 8 s from ``FAULT_AT`` on.
    """

    def __init__(self, rule, seed, fault=1.0):
        self.source = random.Random(seed)
        self.engines = [Engine(at, seed) for at in range(ENGINES)]
        self.rule, self.fault, self.lengths = rule, fault, pace.LengthEstimate()
        self.queue, self.running, self.samples, self.left = [], [], [], []
        self.ends, ticks, self.moment = {}, 0, 0.0
        while len(self.samples) < STEPS * ITEMS or self.queue or self.running:
            step = len(self.samples) // ITEMS
            if step < STEPS and step * STEP_INTERVAL <= self.moment:
                self.submit(step)
            self.advance()
            self.dispatch()
            if self.rule != "none" and not self.queue and ticks % 5 == 0:
                self.migrate()
            ticks += 1
            self.moment = ticks * TICK

    def submit(self, step):
        items = [Sample(step, self.source) for _ in range(ITEMS)]
        long_from = pace.long_from(items)
        for sample in items:
            sample.yields = self.rule == "pace" and sample.expected < long_from
        self.queue += sorted(items, key=lambda sample: -sample.expected)
        self.samples += items

    @property
    def cut_share(self):
        return sum(sample.cuts > 0 for sample in self.samples) / len(self.samples)

    @property
    def mean_step(self):
        return (
            sum(end - step * STEP_INTERVAL for step, end in self.ends.items()) / STEPS
        )

    def advance(self):
        for at, engine in enumerate(self.engines):
            faulty = at % 3 == 1 and 0 <= self.moment - FAULT_AT < 8.0
            engine.advance(self.moment, self.fault if faulty else 1.0)
        for sample in self.running[:]:
            engine = sample.engine
            sample.done += TICK / engine.interval
            if sample.done < sample.received + 1:
                continue
            if sample.last_event_at is not None:
                engine.record(self.moment - sample.last_event_at, self.moment)
            sample.received, sample.last_event_at = sample.received + 1, self.moment
            if sample.received >= sample.length:
                self.stop(sample)
                self.lengths.record(sample.expected, sample.length)
                self.ends[sample.step] = self.moment

    def stop(self, sample):
        self.running.remove(sample)
        sample.engine.load -= 1

    def candidates(self):
        rows = [Candidate(engine, engine.load, False, ()) for engine in self.engines]
        if self.rule == "pace":
            for row in rows:
                row.event_interval = row.replica.speed.interval(self.moment)
                row.by_speed = True
                row.is_slow = row.replica.speed.is_slow(self.moment)
        return rows

    def start(self, sample, candidate, delay=0.0):
        candidate.load += 1
        candidate.replica.load += 1
        sample.engine, sample.last_event_at = candidate.replica, None
        sample.done = sample.received - delay / candidate.replica.usual
        self.running.append(sample)

    def dispatch(self):
        rows = self.candidates()
        while self.queue:
            required = Requirement("", 0, yields=self.queue[0].yields)
            row = placement.place(rows, required)
            if row is None:
                return
            self.start(self.queue.pop(0), row)

    def reason(self, sample, own, better, outlooks):
        if self.rule == "ratio":
            return placement.should_migrate(sample.engine, better)
        left = self.lengths.events_left(sample.expected, sample.received)
        return pace.migration_reason(own, better, left, outlooks[sample.step])

    def migrate(self):
        rows = self.candidates()
        own = {row.replica: row for row in rows}
        outlooks = {sample.step: pace.StepOutlook(ITEMS) for sample in self.running}
        for sample in self.running:
            left = self.lengths.events_left(sample.expected, sample.received)
            outlooks[sample.step].add(own[sample.engine], left)
        for sample in self.running[:]:
            if sample.cuts >= MAX_MIGRATIONS or sample.last_event_at is None:
                continue
            row = own[sample.engine]
            better = placement.place(rows, Requirement("", 0, row.identity))
            reason = self.reason(sample, row, better, outlooks)
            if reason:
                self.left.append((self.moment, reason, row.replica))
                sample.cuts += 1
                self.stop(sample)
                self.start(sample, better, delay=0.1)


class ReplayTest(unittest.TestCase):
    def replays(self, rule, fault=1.0):
        """Return the replays of three seeds and their mean step."""
        replays = [Replay(rule, seed, fault) for seed in range(3)]
        return replays, sum(replay.mean_step for replay in replays) / 3

    def test_calm_day_of_uneven_engines_has_few_migrations(self):
        """Guards against samples that leave engines that are slower for good."""
        by_ratio, ratio_step = self.replays("ratio")
        by_pace, pace_step = self.replays("pace")
        self.assertGreater(min(replay.cut_share for replay in by_ratio), 0.3)
        self.assertLess(max(replay.cut_share for replay in by_pace), 0.05)
        self.assertLessEqual(pace_step, ratio_step)

    def test_samples_leave_engines_that_turn_slow(self):
        """Guards against steps that wait for engines three times slower for 8 s."""
        _, kept_step = self.replays("none", fault=3.0)
        by_pace, pace_step = self.replays("pace", fault=3.0)
        self.assertLess(pace_step, 0.97 * kept_step)
        for replay in by_pace:
            left = {
                engine
                for moment, reason, engine in replay.left
                if reason == pace.SLOW_ENGINE and engine.at % 3 == 1
                if FAULT_AT <= moment <= FAULT_AT + 1.5
            }
            self.assertGreaterEqual(len(left), 5)  # of 8; at others, none is long


class EngineSpeedTest(unittest.TestCase):
    def setUp(self):
        self.speed, self.moment = EngineSpeed(), 0.0

    def record(self, interval, duration, reported_pace=1.0):
        end = self.moment + duration
        while self.moment < end:
            self.moment += interval
            self.speed.record(interval, 1.0, reported_pace, self.moment)

    def test_load_of_weights_is_not_a_lasting_speed(self):
        """Guards against a new incarnation that is judged by its first load."""
        self.record(0.05, 0.2)
        self.record(0.95, 0.9)
        self.assertIsNone(self.speed.interval(self.moment))
        self.record(0.05, 1.5)
        self.assertAlmostEqual(self.speed.lasting_interval, 0.05)
        self.record(0.95, 0.9)
        self.assertFalse(self.speed.is_slow(self.moment + 0.5))
        self.assertAlmostEqual(self.speed.interval(self.moment), 0.05)

    def test_slowdown_counts_only_while_it_lasts(self):
        """Guards against short slowdowns and outdated reports taken for lasting ones."""
        self.record(0.05, 3.0)
        for interval, duration, reported, is_slow in (
            (0.125, 0.5, 1.0, False),
            (0.05, 0.5, 2.5, False),
            (0.15, 1.3, 1.0, True),
            (0.15, 6.0, 3.0, True),
            (0.05, 0.5, 3.0, False),
        ):
            self.record(interval, duration, reported)
            self.assertIs(self.speed.is_slow(self.moment), is_slow)
            self.assertAlmostEqual(self.speed.lasting_interval, 0.05, 3)
        self.record(0.15, 21.0)
        self.assertFalse(self.speed.is_slow(self.moment))
        self.assertAlmostEqual(self.speed.lasting_interval, 0.15)
