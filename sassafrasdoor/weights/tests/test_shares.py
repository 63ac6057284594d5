"""How engines are divided among trainers, replayed in virtual time."""

import random
import statistics
import unittest

from sassafrasdoor.steps.durable.lateness import StepTimes, schedules
from sassafrasdoor.steps.durable.order import latest_first, ordered
from sassafrasdoor.steps.durable.records import Item, StepSpec
from sassafrasdoor.weights import load_policy
from sassafrasdoor.weights.shares import JOIN_WINDOW, ModelLoad, allocate

ENGINES, SLOTS, MODELS = 23, 8, "abcd"
# Groups, items of a group, spread of the lengths around their hints.
TRAINERS = {"a": (7, 8, 0.6), "b": (6, 16, 0.6), "c": (11, 8, 0.9), "d": (5, 16, 0.9)}
INTERVAL, DAY, TICK = 4.0, 40.0, 0.1  # seconds
LOAD_TIME, TRAINING_TIME = 0.9, 0.75  # seconds
MAX_LOADS = 9  # at a time
# Seconds of a sample at a full engine, the median and the longest.
USUAL_HINT, MAX_LENGTH = 0.75, 2.1
MAX_DIFFERENCE = 2.0  # seconds between the latest trainer and the earliest
SEEDS = range(24)  # single days differ by more than a second by chance


class Engine:
    def __init__(self, identity, speed):
        self.identity, self.speed = identity, speed
        self.model = None
        self.versions = dict.fromkeys(MODELS, 1)
        self.loading, self.ready_at, self.runs = None, 0.0, []

    def serves(self, job):
        model = job.step.model
        return len(self.runs) < SLOTS and self.loading != model and job.can_use(self)

    def advance(self, at):
        if at < self.ready_at:
            return
        self.loading = None
        rate = 2 * TICK * self.speed / (1 + len(self.runs) / SLOTS)
        for job in self.runs:
            job.left -= rate
            if job.left <= 0:
                job.step.missing[job.item.group] -= 1
                job.step.left_hints -= job.item.expected
                job.step.made += job.length
        self.runs = [job for job in self.runs if job.left > 0 and not job.step.is_over]


def length(chance, hint, spread):
    return min(MAX_LENGTH, hint * chance.lognormvariate(0, spread))


class RunningStep:
    def __init__(self, chance, model, number, at):
        groups, size, spread = TRAINERS[model]
        self.model, self.min_version = model, number
        self.times = StepTimes(number, at, None)
        self.wanted = -(-groups * 9 // 10)
        items = []
        for group in range(groups):
            usual = USUAL_HINT * chance.lognormvariate(0, 0.4)
            for at in range(size):
                hint = usual * chance.lognormvariate(0, 0.3)
                items.append(Item(f"{group}-{at}", "", {}, b"", 0, hint, group, model))
        self.made = 0.0
        self.missing = dict.fromkeys(range(groups), size)
        self.hints = self.left_hints = sum(item.expected for item in items)
        spec = StepSpec("s", "", "", number, model, number, self.wanted, items)
        self.jobs = [
            Job(self, item, length(chance, item.expected, spread))
            for item in ordered(spec)
        ]

    @property
    def is_over(self):
        return sum(not count for count in self.missing.values()) >= self.wanted


class Job:
    priority = 0

    def __init__(self, step, item, seconds):
        self.step, self.item, self.left, self.length = step, item, seconds, seconds

    def can_use(self, engine):
        return engine.versions[self.step.model] >= self.step.min_version


class Day:
    """Four trainers on 23 engines; ``divide(day)`` returns the engines by model."""

    def __init__(self, seed, divide, in_order=True, lost=0, outage=None):
        self.chance = random.Random(seed)
        self.divide, self.in_order = divide, in_order
        self.lost, self.outage = lost, outage
        self.engines = [Engine(f"e{at:02}", 1.0) for at in range(ENGINES)]
        self.steps = {model: [] for model in MODELS}
        self.targets = dict.fromkeys(MODELS, 1)
        self.named_at = dict.fromkeys(MODELS, 0.0)
        self.may_submit_at = dict.fromkeys(MODELS, 0.0)
        self.queue, self.at, self.moves, self.loads = [], 0.0, 0, 0

    def play(self):
        """Return how late each trainer is at the end."""
        while self.at < DAY:
            if self.lost and self.at >= 16.0:
                gone = self.chance.sample(self.engines, self.lost)
                self.lost = 0
                self.engines = [one for one in self.engines if one not in gone]
                self.queue[:0] = [job for one in gone for job in one.runs]
            for model in MODELS:
                self.run_trainer(model)
            self.assign()
            self.order_loads()
            self.dispatch()
            for engine in self.engines:
                engine.advance(self.at)
            self.at += TICK
        return {model: self.lateness(model) for model in MODELS}

    def lateness(self, model):
        newest = self.steps[model][-1].times
        submitted_late = newest.submitted_at - newest.number * INTERVAL
        return max(submitted_late, DAY - (newest.number + 1) * INTERVAL, 0.0)

    def run_trainer(self, model):
        steps = self.steps[model]
        if steps and steps[-1].times.ended_at is None and steps[-1].is_over:
            steps[-1].times.ended_at = self.at
            self.may_submit_at[model] = self.at + TRAINING_TIME
            if (model, len(steps)) == self.outage:
                self.may_submit_at[model] += 3.0
        if steps and steps[-1].times.ended_at is None:
            return
        if self.at >= max(self.may_submit_at[model], len(steps) * INTERVAL):
            step = RunningStep(self.chance, model, len(steps), self.at)
            steps.append(step)
            self.queue += step.jobs
            self.targets[model] = len(steps)
            self.named_at[model] = self.at

    def assign(self):
        counts = self.divide(self)
        kept = dict.fromkeys(MODELS, 0)
        free = []
        for engine in self.engines:
            if engine.model and kept[engine.model] < counts[engine.model]:
                kept[engine.model] += 1
            else:
                free.append(engine)
        for model in MODELS:
            free.sort(key=lambda one: (one.versions[model], one.identity))
            for _ in range(counts[model] - kept[model]):
                engine = free.pop()
                self.moves += engine.model is not None
                engine.model = model

    def order_loads(self):
        for engine in sorted(self.engines, key=lambda one: len(one.runs)):
            model = engine.model
            target = self.targets[model]
            if engine.loading or engine.versions[model] >= target:
                continue
            loading = [one.loading for one in self.engines if one.loading]
            open_steps = [one for one in self.steps[model] if not one.times.ended_at]
            oldest = max((one.min_version for one in open_steps), default=0)
            serves = engine.versions[model] >= oldest
            is_queued = any(job.step.model == model for job in self.queue)
            count = sum(one.model == model for one in self.engines)
            if len(loading) >= MAX_LOADS or load_policy.should_defer(
                self.named_at[model], self.at, is_queued, serves
            ):
                continue
            if load_policy.may_load(count, loading.count(model), serves):
                engine.loading, engine.ready_at = model, self.at + LOAD_TIME
                engine.versions[model] = target
                self.loads += 1

    def dispatch(self):
        queue = [job for job in self.queue if not job.step.is_over]
        if self.in_order:
            known = schedules({one: self.times(one) for one in MODELS})
            queue = latest_first(queue, lambda job: due_at(known, job.step))
        self.queue, full = [], set()
        for job in queue:
            able = job.step not in full and [
                one for one in self.engines if one.serves(job)
            ]
            if able:
                min(able, key=lambda one: len(one.runs)).runs.append(job)
            else:
                full.add(job.step)
                self.queue.append(job)

    def times(self, model):
        return [step.times for step in self.steps[model]]


def due_at(known, step):
    schedule = known[step.model]
    if schedule is None:
        return step.times.submitted_at + INTERVAL
    return schedule.due_at(step.times.number + 1)


def shares_of_trainers(day):
    known = schedules({model: day.times(model) for model in MODELS})
    loads = {}
    for model, steps in day.steps.items():
        schedule, newest = known[model], steps[-1]
        left = sum(one.left_hints for one in steps if one.times.ended_at is None)
        ended = [one for one in steps if one.times.ended_at]
        made_hints = sum(one.hints - one.left_hints for one in ended)
        ratio = sum(one.made for one in ended) / made_hints if ended else 1.0
        usual = statistics.mean(one.hints for one in steps[-4:])
        loads[model] = ModelLoad(left * ratio, usual * ratio)
        loads[model].is_joinable = day.at < day.named_at[model] + JOIN_WINDOW
        if schedule is not None:
            loads[model].interval = schedule.interval
            loads[model].due_in = schedule.next_due_in(newest.times, day.at)
    assigned = {engine.identity: engine.model for engine in day.engines}
    return allocate(assigned, dict.fromkeys(assigned), loads)


def differences(**day):
    """Return the seconds between the latest and the earliest trainer, of each day."""
    ends = [Day(seed, shares_of_trainers, **day).play() for seed in SEEDS]
    return [max(end.values()) - min(end.values()) for end in ends]


class ReplayTest(unittest.TestCase):
    """The bounds fail with the division by the hinted tokens of the last steps."""

    def test_no_trainer_falls_behind_while_others_are_on_time(self):
        """Guards against a division that follows inaccurate hints."""
        for seed, difference in zip(SEEDS, differences(), strict=True):
            with self.subTest(seed=seed):
                self.assertLessEqual(difference, MAX_DIFFERENCE)

    def test_trainers_share_the_loss_of_a_quarter_of_the_engines(self):
        """Guards against one trainer that bears what all have lost."""
        self.assertLessEqual(statistics.mean(differences(lost=6)), MAX_DIFFERENCE)

    def test_trainer_catches_up_after_an_outage(self):
        """Guards against a trainer that stays behind by the seconds that it lost."""
        days = differences(outage=("c", 3))
        self.assertLessEqual(statistics.mean(days), MAX_DIFFERENCE)


class AllocateTest(unittest.TestCase):
    def setUp(self):
        self.assigned = {f"e{at}": "ab"[at % 2] for at in range(8)}
        self.intervals = dict.fromkeys(self.assigned)

    def counts(self, **loads):
        return allocate(self.assigned, self.intervals, loads)

    def test_small_differences_move_no_engine(self):
        """Guards against loads of weights for each change of demand."""
        self.assertEqual(
            self.counts(a=ModelLoad(0, 100, 4.0, 4.0), b=ModelLoad(0, 115, 4.0, 4.0)),
            {"a": 4, "b": 4},
        )

    def test_late_trainer_gets_engines_with_its_next_version(self):
        """Guards against engines that load one version more in the middle of a step."""
        on_time = ModelLoad(100, 100, 4.0, 4.0)
        late = ModelLoad(100, 100, 4.0, 2.0)
        self.assertEqual(self.counts(a=late, b=on_time), {"a": 5, "b": 3})
        late.is_joinable = False
        self.assertEqual(self.counts(a=late, b=on_time), {"a": 4, "b": 4})

    def test_slow_engines_count_for_less(self):
        for identity, model in self.assigned.items():
            self.intervals[identity] = 0.22 if model == "a" else 0.1
        equal = ModelLoad(0, 100, 4.0, 4.0)
        counts = self.counts(a=equal, b=equal)
        self.assertGreater(counts["a"], counts["b"])

    def test_every_model_has_an_engine(self):
        """Guards against a trainer without engines, however late others are."""
        stuck = ModelLoad(1000, 1000, 4.0, -60.0)
        self.assertEqual(self.counts(a=stuck, b=ModelLoad(0, 1, 4.0, 4.0))["b"], 1)
        self.assigned = {"e0": "a", "e1": "a"}
        self.assertEqual(self.counts(a=stuck, b=ModelLoad(0, None)), {"a": 1, "b": 1})
        self.assigned = {"e0": None}
        self.assertEqual(self.counts(a=stuck, b=stuck), {"a": 1, "b": 1})


if __name__ == "__main__":
    unittest.main()
