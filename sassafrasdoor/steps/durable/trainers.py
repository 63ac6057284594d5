"""What is known of each trainer from the records of its steps.

The same records give the same values on every process, apart from the moments at which
it learned of them, so a new holder of the lease needs no other state.
"""

from collections import deque

from sassafrasdoor.clock import now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import gauge
from sassafrasdoor.routing.prompt_cache import MAX_TOKENS
from sassafrasdoor.steps.durable.lateness import StepTimes, schedules
from sassafrasdoor.steps.durable.records import COMPLETED
from sassafrasdoor.weights.shares import DEFAULT_INTERVAL, ModelLoad

PART = "trainer-shares"
RECENT_STEPS = 16  # of a trainer, which show its schedule
MAX_MODELS = 256  # callers name the models of their steps, also ones that do not exist
USUAL_STEPS = 4  # of a trainer, whose mean is its usual step
LATE_AFTER = 2.0  # seconds from which a trainer counts as late in the log lines
ON_TIME_AFTER = 0.5  # seconds below which it counts as on time again

LATENESS = gauge(
    "trainers_late_seconds", "Seconds by which a trainer is late, by model."
)


class _TrainerStep:
    """The times and the sizes of one step.

    ``hinted`` are the hinted tokens of its items. ``made`` are the events of its
    samples once it is over, ``made_hinted`` the hinted tokens of the same items.
    ``step`` is the ``Step`` until then, None after.
    """

    __slots__ = ("hinted", "made", "made_hinted", "step", "times")

    def __init__(self, step):
        self.step = step
        self.times = StepTimes(step.spec.number, step.seen_at, None)
        self.hinted = sum(map(_hinted_tokens, step.spec.items))
        self.made = self.made_hinted = 0

    @property
    def left(self):
        """Hinted tokens of the items without a text."""
        if self.step is None:
            return 0
        step = self.step
        return sum(
            _hinted_tokens(item)
            for item_id, item in step.items.items()
            if step.is_open(item_id) and item_id not in step.texts
        )

    def end(self):
        """Record the lengths of the samples; the ``Step`` may be discarded after."""
        for sample in self.step.listed:
            if sample.state == COMPLETED:
                self.made += sample.text.count("\n") + 1
                self.made_hinted += _hinted_tokens(self.step.items[sample.item_id])
        self.times.ended_at = self.step.ended_at or now()
        self.step = None


class Trainers:
    """The schedules and the work of the trainers, by model.

    It applies to services under load control, unless ``PART`` is among the
    disabled parts of ``settings``.
    """

    __slots__ = ("_late", "_replicas", "_routes", "_schedules", "_settings", "_steps")

    def __init__(self, settings, steps, replicas, routes):
        self._settings = settings
        self._replicas = replicas
        self._routes = routes
        self._steps = {}
        self._schedules = None
        self._late = set()
        steps.on_change(self._handle_step_change)

    def is_active(self, service):
        """Return whether engines and queue of a service follow the trainers' lateness."""
        return PART not in self._settings.disabled_parts and any(
            replica.uses_load_control for replica in self._replicas.of_service(service)
        )

    def due_at(self, step):
        """Return when the step after this one is due, None if its service is not active.

        Without a known schedule it is due after ``DEFAULT_INTERVAL``.
        """
        model = step.spec.model
        service = self._service_of(model)
        if service is None or not self.is_active(service):
            return None
        schedule = self._schedule(model)
        if schedule is None:
            return step.seen_at + DEFAULT_INTERVAL
        return schedule.due_at(step.spec.number + 1)

    def loads(self, models, joinable):
        """Return the ``ModelLoad`` by model; ``joinable`` have a newly named version."""
        ratios = self._length_ratios(models)
        return {
            model: self._load(model, ratios[model], model in joinable)
            for model in models
        }

    def report(self, models):
        """Update the gauge of lateness; log which trainers are late or on time again."""
        for model in models:
            schedule = self._schedule(model)
            if schedule is None:
                continue
            late = schedule.lateness(self._steps[model][-1].times, now())
            LATENESS.set({"model": model}, round(late, 2))
            if late > LATE_AFTER and model not in self._late:
                self._late.add(model)
                note("trainer.late", model=model, seconds=round(late, 2))
            elif late < ON_TIME_AFTER and model in self._late:
                self._late.discard(model)
                note("trainer.on_time", model=model)

    def _handle_step_change(self, step):
        model = step.spec.model
        if not model:
            return
        recent = self._steps.setdefault(model, deque(maxlen=RECENT_STEPS))
        if len(self._steps) > MAX_MODELS:
            self._forget_unknown_models()
        if step.is_new:
            recent.append(_TrainerStep(step))
            self._schedules = None
        if not step.is_done:
            return
        for known in recent:
            if known.step is step:
                known.end()
                self._schedules = None

    def _forget_unknown_models(self):
        for model in list(self._steps):
            if self._service_of(model) is None:
                del self._steps[model]
        self._schedules = None

    def _service_of(self, model):
        configuration = self._routes.current
        if configuration is None:
            return None
        for service, models in configuration.service_models.items():
            if model in models:
                return service
        return None

    def _schedule(self, model):
        if self._schedules is None and self._routes.current is not None:
            self._schedules = {}
            for models in self._routes.current.service_models.values():
                times = {
                    model: [known.times for known in self._steps[model]]
                    for model in models
                    if model in self._steps
                }
                self._schedules.update(schedules(times))
        return (self._schedules or {}).get(model)

    def _load(self, model, ratio, is_joinable):
        recent = list(self._steps.get(model, ()))
        if not recent:
            return ModelLoad(0, None, is_joinable=is_joinable)
        usual = [known.hinted for known in recent[-USUAL_STEPS:]]
        load = ModelLoad(
            ratio * sum(known.left for known in recent),
            ratio * sum(usual) / len(usual),
            is_joinable=is_joinable,
        )
        schedule = self._schedule(model)
        if schedule is not None:
            load.interval = schedule.interval
            load.due_in = schedule.next_due_in(recent[-1].times, now())
        return load

    def _length_ratios(self, models):
        """Return the events made for each hinted token, by model.

        Hints are right at the median only, so the long samples of some models take more
        than hinted. A model without samples has the ratio of all others.
        """
        sums = {}
        for model in models:
            recent = self._steps.get(model, ())
            made = sum(known.made for known in recent)
            hinted = sum(known.made_hinted for known in recent)
            sums[model] = (made, hinted)
        all_made = sum(made for made, _ in sums.values())
        all_hinted = sum(hinted for _, hinted in sums.values())
        usual = all_made / all_hinted if all_hinted else 1.0
        return {
            model: made / hinted if hinted else usual
            for model, (made, hinted) in sums.items()
        }


def _hinted_tokens(item):
    # Trainers state these: a negative sum or one that fits into no float would end the
    # assignment of engines to all models.
    return min(max(1, item.expected or item.tokens), MAX_TOKENS)
