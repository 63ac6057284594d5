"""Measures how late trainers are, from the submission times of their steps.

Load pattern: each trainer submits a step at a fixed interval. One whose step takes
longer submits the next as soon as it can, so it is late until its steps take less than
the interval. A trainer is never early: the earliest of its recent steps, each counted
back by the interval, shows its schedule. One that has been late from its first step on
shows no interval of its own; the others show it.
"""

from statistics import median

# Seconds between two steps below which they were read at once from the log's history.
MIN_STEP_INTERVAL = 0.5
MIN_INTERVALS = 2  # between steps of a trainer, to know how often it submits one
# Seconds from the end of a step until a trainer that is late submits the next: it
# trains for up to 1 s. One that takes longer has waited for its schedule.
MAX_TRAINING_TIME = 1.2


class StepTimes:
    """When a step was submitted and ended, None while it is open; ``number`` counts."""

    __slots__ = ("ended_at", "number", "submitted_at")

    def __init__(self, number, submitted_at, ended_at):
        self.number = number
        self.submitted_at = submitted_at
        self.ended_at = ended_at


class Schedule:
    """When the steps of a trainer are due: one each ``interval`` seconds."""

    __slots__ = ("_zero_due_at", "interval")

    def __init__(self, interval, steps):
        self.interval = interval
        self._zero_due_at = min(
            step.submitted_at - step.number * interval for step in steps
        )

    def due_at(self, number):
        """Return when a step is due."""
        return self._zero_due_at + number * self.interval

    def next_due_in(self, newest, at):
        """Return the seconds until the step after ``newest`` is due, negative if late.

        A trainer that has ended a step counts as late only until it can have trained:
        it may have none left to submit.
        """
        if newest.ended_at is not None:
            at = min(at, newest.ended_at + MAX_TRAINING_TIME)
        return self.due_at(newest.number + 1) - at

    def lateness(self, newest, at):
        """Return by how many seconds a trainer is late."""
        submitted_late = newest.submitted_at - self.due_at(newest.number)
        return max(0.0, submitted_late, -self.next_due_in(newest, at))


def step_intervals(submission_times):
    """Return the seconds between steps, except those read at once from the log."""
    pairs = zip(submission_times, submission_times[1:], strict=False)
    intervals = [later - earlier for earlier, later in pairs]
    return [seconds for seconds in intervals if seconds >= MIN_STEP_INTERVAL]


def schedules(trainers):
    """Return the ``Schedule`` by model, None while too few steps are known.

    ``trainers`` maps models to the ``StepTimes`` of their last steps, in log order.
    """
    trainers = {model: _since_restart(steps) for model, steps in trainers.items()}
    usual = {model: _own_interval(steps) for model, steps in trainers.items()}
    known = [seconds for seconds in usual.values() if seconds is not None]
    found = {}
    for model, steps in trainers.items():
        interval = usual[model]
        if interval is not None and not _waiting_intervals(steps):
            interval = min(known)
        found[model] = None if interval is None else Schedule(interval, steps)
    return found


def _own_interval(steps):
    """Return the median interval of a trainer, while on time if it ever waited."""
    intervals = step_intervals([step.submitted_at for step in steps])
    if len(intervals) < MIN_INTERVALS:
        return None
    return median(_waiting_intervals(steps) or intervals)


def _waiting_intervals(steps):
    """Return the intervals between steps for which the trainer had to wait."""
    pairs = list(zip(steps, steps[1:], strict=False))
    has_waited = [
        former.ended_at is not None
        and later.submitted_at > former.ended_at + MAX_TRAINING_TIME
        for former, later in pairs
    ]
    return [
        later.submitted_at - former.submitted_at
        for (former, later), before, after in zip(
            pairs[1:], has_waited, has_waited[1:], strict=False
        )
        if before and after and later.number == former.number + 1
    ]


def _since_restart(steps):
    """Return the steps since the numbers last began again."""
    first = 0
    for index, (former, later) in enumerate(zip(steps, steps[1:], strict=False)):
        if later.number < former.number:
            first = index + 1
    return steps[first:]
