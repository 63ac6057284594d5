"""Tests of what is known of trainers, and of the services that it applies to."""

import unittest
from math import inf
from unittest import mock

from sassafrasdoor.steps.durable import trainers as module
from sassafrasdoor.steps.durable.records import (
    COMPLETED,
    End,
    Sample,
    encode,
    encode_step,
)
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import (
    MODEL,
    SERVICE,
    replicas,
    routes_in_force,
    spec,
)
from sassafrasdoor.steps.durable.trainers import PART, Trainers
from sassafrasdoor.weights.shares import DEFAULT_INTERVAL


class Settings:
    disabled_parts = frozenset()


class TrainersTest(unittest.TestCase):
    def setUp(self):
        self.steps, self.settings, self.replicas = Steps(), Settings(), replicas()
        routes = routes_in_force()
        self.trainers = Trainers(self.settings, self.steps, self.replicas, routes)

    def fold(self, *data):
        for record in data:
            self.steps.fold(0, 0, record)

    def test_part_applies_where_replicas_report_their_pace(self):
        """Guards against another order of the items of services as they were before."""
        self.fold(*encode_step(spec(), 10_000))
        (step,) = self.steps.by_id.values()
        cases = [
            (None, frozenset(), False),
            (1.0, frozenset(), True),
            (1.0, {PART}, False),
        ]
        for pace, disabled_parts, is_active in cases:
            with self.subTest(pace=pace, disabled_parts=disabled_parts):
                self.settings.disabled_parts = disabled_parts
                self.replicas.get("e0").record_load(0, 0, pace)
                self.assertIs(self.trainers.is_active(SERVICE), is_active)
                expected = step.seen_at + DEFAULT_INTERVAL if is_active else None
                self.assertEqual(self.trainers.due_at(step), expected)

    def test_load_follows_the_samples_where_hints_are_wrong(self):
        """Guards against engines divided by hints that are right at the median only."""
        for model in ("long", "short", "new"):
            self.fold(*encode_step(spec(model, model=model), 10_000))
        for model, events in (("long", 30), ("short", 10)):
            text = "\n".join("e" * events)
            self.fold(
                encode(Sample(model, "i0", COMPLETED, text, [1])), encode(End(model))
            )
        loads = self.trainers.loads(["long", "short", "new"], set())
        usual = [load.usual for load in loads.values()]
        self.assertEqual(usual, [60.0, 20.0, 40.0])
        self.assertEqual([load.left for load in loads.values()], [0, 0, 40.0])

    def test_steps_of_models_that_do_not_exist_are_forgotten(self):
        """Guards against memory that callers fill with names of models."""
        with mock.patch.object(module, "MAX_MODELS", 2):
            for model in (MODEL, "x", "y"):
                self.fold(*encode_step(spec(model, model=model), 10_000))
        self.assertEqual(list(self.trainers._steps), [MODEL])

    def test_model_that_returns_to_the_configuration_has_no_old_schedule(self):
        """Guards against a controller that fails on the schedule of forgotten steps."""
        for number in range(4):
            step = spec(f"s{number}")
            step.number = number
            self.fold(*encode_step(step, 10_000))
            self.steps.by_id[f"s{number}"].seen_at = 4.0 * number
            self.trainers._steps[MODEL][-1].times.submitted_at = 4.0 * number
        self.trainers.report([MODEL])
        service_models = self.trainers._routes.current.service_models
        service_models[SERVICE] = []
        self.trainers._forget_unknown_models()
        service_models[SERVICE] = [MODEL]
        self.trainers.report([MODEL])
        self.assertEqual(self.trainers._steps, {})

    def test_hints_are_bounded(self):
        """Guards against engines that are assigned no more after a wrong hint."""
        for hint in (-(10**6), int(1e308)):
            with self.subTest(hint=hint):
                step = spec(f"s{hint}", model=f"m{hint}")
                for item in step.items:
                    item.expected = hint
                self.fold(*encode_step(step, 10_000))
                loads = self.trainers.loads([step.model], set())
                load = loads[step.model]
                self.assertTrue(0 < load.usual <= load.left < inf)

    def test_newest_step_of_a_model_is_open_until_its_end(self):
        self.fold(*encode_step(spec(items=2), 10_000))
        self.fold(encode(Sample("s1", "i0", COMPLETED, "a", [1])))
        self.assertEqual(self.trainers.loads([MODEL], set())[MODEL].left, 100.0)
        self.fold(encode(End("s1")))
        self.assertEqual(self.trainers.loads([MODEL], set())[MODEL].left, 0)


if __name__ == "__main__":
    unittest.main()
