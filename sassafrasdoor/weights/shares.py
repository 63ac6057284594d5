"""Divides the engines of a service among the models of its trainers.

Load pattern: several trainers submit steps of different size at the same interval, and
their steps take nearly all of it. Engines divided by the hinted tokens of the last steps
leave a trainer behind whose samples are longer than hinted, whose engines are slow, or
which has lost seconds in an outage; it never catches up. So the engines are divided such
that all trainers are predicted to be equally late after their next step. An engine that
changes its model loads one more version, so it does so only for a noticeable gain.
"""

from math import inf
from statistics import median

# Seconds by which a change must reduce the largest predicted lateness. One engine of
# six changes the time of a step by 0.7 s. An engine that joins a model as its version is
# named loads that version in place of another; one that joins later loads one version
# more, for 0.9 s.
MIN_GAIN, MIN_LATE_GAIN = 0.6, 1.5
JOIN_WINDOW = 1.0  # seconds after a version was named, in which its step arrives
# Intervals between steps; the predicted lateness of open steps counts up to this, so that
# a trainer whose step is stuck does not take the engines of all others.
MAX_LATENESS = 2.0
DEFAULT_INTERVAL = 4.0  # seconds between steps, while no trainer's interval is known
# Of an engine; engines differ by a factor of 2.2 for good, more is short-lived.
MIN_SPEED, MAX_SPEED = 0.4, 2.5


class ModelLoad:
    """The work of one trainer.

    ``left`` are the expected tokens of its open steps that are missing, ``usual`` those of
    a whole step, None while unknown. ``interval`` are the seconds between its steps when
    it is on time, ``due_in`` those until its next step is due; None while unknown.
    ``is_joinable`` says that its newest version was named within ``JOIN_WINDOW``.
    """

    __slots__ = ("due_in", "interval", "is_joinable", "left", "usual")

    def __init__(self, left, usual, interval=None, due_in=None, is_joinable=True):
        self.is_joinable = is_joinable
        self.left = left
        self.usual = usual
        self.interval = interval
        self.due_in = due_in


class _Prediction:
    """Predicts lateness, as if all engines together finish the usual steps in time."""

    __slots__ = ("_loads", "_rate", "_usual")

    def __init__(self, loads, capacity):
        known = [load.usual for load in loads.values() if load.usual]
        default = sum(known) / len(known) if known else 1.0
        self._loads = loads
        self._usual = {model: load.usual or default for model, load in loads.items()}
        needed = sum(
            self._usual[model] / (load.interval or DEFAULT_INTERVAL)
            for model, load in loads.items()
        )
        self._rate = needed / capacity

    def lateness(self, model, capacity, held):
        """Return the seconds by which the step after the next one will be late.

        Engines that leave finish their samples first, so the open steps end with the
        capacity ``held`` before.
        """
        if capacity <= 0.0:
            return inf
        load = self._loads[model]
        interval = load.interval or DEFAULT_INTERVAL
        late = 0.0
        if load.due_in is not None:
            late = max(0.0, load.left / (held * self._rate) - load.due_in)
        return (
            min(late, MAX_LATENESS * interval)
            + self._usual[model] / (capacity * self._rate)
            - interval
        )


class _Division:
    """The number and capacity of the engines of each model."""

    __slots__ = ("_capacities", "_held", "_loads", "_prediction", "counts")

    def __init__(self, loads, capacity):
        self._loads = loads
        self._prediction = _Prediction(loads, capacity)
        self._capacities = dict.fromkeys(loads, 0.0)
        self._held = dict.fromkeys(loads, 0.0)
        self.counts = dict.fromkeys(loads, 0)

    @property
    def latest(self):
        """The model that is predicted to be latest."""
        return max(self.counts, key=lambda model: (self._lateness(model), model))

    def add(self, model, speed):
        """Add an engine."""
        self.counts[model] += 1
        self._capacities[model] += speed
        self._held[model] += speed

    def move(self, donor, receiver):
        """Move one engine of average speed."""
        speed = self._average_speed(donor)
        self.counts[donor] -= 1
        self._capacities[donor] -= speed
        self.counts[receiver] += 1
        self._capacities[receiver] += speed

    def best_move(self):
        """Return the donor and the receiver of the best move, or None."""
        receiver = self.latest
        lateness = self._lateness(receiver)
        donors = [
            model
            for model, count in self.counts.items()
            if model != receiver and count > 1
        ]
        if not donors:
            return None
        after, donor = min((self._lateness_after(one, receiver), one) for one in donors)
        is_joinable = self._loads[receiver].is_joinable
        if lateness - after < (MIN_GAIN if is_joinable else MIN_LATE_GAIN):
            return None
        return donor, receiver

    def _lateness(self, model, change=0.0):
        capacity = self._capacities[model] + change
        return self._prediction.lateness(
            model, capacity, max(capacity, self._held[model])
        )

    def _lateness_after(self, donor, receiver):
        speed = self._average_speed(donor)
        return max(self._lateness(donor, -speed), self._lateness(receiver, speed))

    def _average_speed(self, model):
        return self._capacities[model] / self.counts[model]


def allocate(assigned, intervals, loads):
    """Return the number of engines of each model; every model gets at least one.

    ``assigned`` maps the engines to their present model, None for none; ``intervals`` to
    their event interval, None while unknown; ``loads`` maps the models to ``ModelLoad``s.
    """
    if len(assigned) < len(loads):
        return dict.fromkeys(loads, 1)
    speeds = _relative_speeds(intervals)
    division = _Division(loads, sum(speeds[identity] for identity in assigned))
    unassigned = []
    for identity, model in assigned.items():
        if model in loads:
            division.add(model, speeds[identity])
        else:
            unassigned.append(speeds[identity])
    for speed in sorted(unassigned, reverse=True):
        division.add(division.latest, speed)
    while (move := division.best_move()) is not None:
        division.move(*move)
    return division.counts


def _relative_speeds(intervals):
    """Return the speed of each engine, 1.0 for the median and the unknown ones."""
    known = [seconds for seconds in intervals.values() if seconds]
    usual = median(known) if known else 1.0
    return {
        identity: min(MAX_SPEED, max(MIN_SPEED, usual / seconds)) if seconds else 1.0
        for identity, seconds in intervals.items()
    }
