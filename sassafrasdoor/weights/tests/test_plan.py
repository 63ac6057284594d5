"""Tests of the choice of engines that swap next."""

import math
import unittest

from hypothesis import given, settings as hypothesis_settings, strategies as st

from sassafrasdoor import settings
from sassafrasdoor.table.rows import Preference, table_from
from sassafrasdoor.view import Backend, View
from sassafrasdoor.weights.plan import (
    EngineState,
    Phase,
    max_concurrent_swaps,
    next_swaps,
    preference,
)

KEY = "0" * 64


def engine(name, version=1, in_flight=0, model="model", phase=Phase.IDLE):
    """Return an engine with a report, or without one if ``version`` is None."""
    state = EngineState(Backend(name, "", "engine", "engines", models=[model]))
    state.versions = None if version is None else {model: version}
    state.in_flight = in_flight
    state.phase = phase
    state.check_deadline = math.inf
    return state


def table(*prefers):
    """Return a table of trainers, each given as ``(preference, weight)``."""
    rows = [
        {
            "name": f"row-{index}",
            "kind": "trainer",
            "service": "engines",
            "model": "model",
            "prefers": preferred,
            "weight": weight,
            "key_hashes": [KEY],
        }
        for index, (preferred, weight) in enumerate(prefers)
    ]
    return table_from({"rows": rows})


def configured(**weights):
    """Return settings with the given ``weights`` section."""
    return settings.from_document({"weights": weights})


class PlanTest(unittest.TestCase):
    def test_least_busy_first_within_store_concurrency(self):
        engines = [engine(f"e{n}", in_flight=9 - n) for n in range(10)]
        view = View(weights={"model": 2})
        swaps = next_swaps(configured(store_concurrency=3), view, engines)
        self.assertEqual([s.engine.backend.name for s in swaps], ["e9", "e8", "e7"])

    def test_engines_that_get_no_order(self):
        for reason, state in (
            ("at the version", engine("e", 2)),
            ("ahead of our view", engine("e", 3)),
            ("without a report", engine("e", None)),
            ("of another model", engine("e", model="other")),
            ("busy swapping", engine("e", phase=Phase.SWAPPING)),
            ("not confirmed yet", engine("e", phase=Phase.CONFIRMING)),
        ):
            with self.subTest(reason):
                view = View(weights={"model": 2})
                self.assertEqual(next_swaps(configured(), view, [state]), [])

    def test_the_share_that_serves_follows_the_tables_preference(self):
        engines = [engine(f"e{n}") for n in range(10)]
        for rows, wanted, allowed in (
            ([("staleness", 1.0)], Preference.STALENESS, 5),
            ([("idle", 1.0)], Preference.IDLE, 2),
            ([("staleness", 1.0), ("idle", 3.0)], Preference.IDLE, 2),
            ([], Preference.STALENESS, 5),
        ):
            with self.subTest(rows=rows):
                trainers = table(*rows)
                self.assertEqual(preference(trainers, "model"), wanted)
                view = View(table=trainers, weights={"model": 2})
                swaps = next_swaps(configured(store_concurrency=99), view, engines)
                self.assertEqual(len(swaps), allowed)

    def test_one_swap_is_allowed_however_few_engines_answer(self):
        """Guards against a rollout that stops when few engines are alive."""
        engines = [engine(f"e{n}", None) for n in range(9)] + [engine("e9")]
        self.assertEqual(
            max_concurrent_swaps(configured(), Preference.IDLE, engines), 1
        )
        view = View(weights={"model": 2})
        self.assertEqual(len(next_swaps(configured(), view, engines)), 1)

    @hypothesis_settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from([None, 1, 2]),
                st.sampled_from(list(Phase)),
                st.sampled_from(["model", "other"]),
            ),
            max_size=40,
        ),
        st.integers(1, 8),
    )
    def test_limits_hold_in_every_state(self, described, concurrency):
        configuration = configured(store_concurrency=concurrency)
        engines = [
            engine(f"e{index}", version, model=model, phase=phase)
            for index, (version, phase, model) in enumerate(described)
        ]
        view = View(weights={"model": 2, "other": 2})
        swaps = next_swaps(configuration, view, engines)
        swapping = sum(engine_state.phase is Phase.SWAPPING for engine_state in engines)
        self.assertLessEqual(len(swaps), max(0, concurrency - swapping))
        self.assertEqual(len({id(swap.engine) for swap in swaps}), len(swaps))
        for model in ("model", "other"):
            model_engines = [
                engine_state
                for engine_state in engines
                if model in engine_state.backend.models
            ]
            started = sum(swap.model == model for swap in swaps)
            out_of_service = sum(
                engine_state.phase is not Phase.IDLE for engine_state in model_engines
            )
            allowed = max_concurrent_swaps(
                configuration, Preference.STALENESS, model_engines
            )
            self.assertLessEqual(started, max(0, allowed - out_of_service))


if __name__ == "__main__":
    unittest.main()
