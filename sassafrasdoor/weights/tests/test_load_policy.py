"""Tests of how many replicas load at once, and the delay of the step that follows."""

import unittest

from sassafrasdoor.weights.load_policy import MAX_DEFERRAL, may_load, should_defer

REPLICAS, SLOTS = 8, 8
LOAD = 0.9  # seconds
STEP_DELAY = 0.1  # seconds from an announced version to the step that follows it
# Seconds of a step's samples, longest first, in the order of their placement.
SAMPLES = (6.5, 5.0, 4.5) + (2.0,) * 10 + (0.7,) * 47


def step_duration(rule):
    """Return the seconds from a step's submission to the end of its last sample.

    A version is announced at 0; ``rule`` has the parameters and result of ``may_load``.
    """
    free_at = [[0.0] * SLOTS for _ in range(REPLICAS)]
    loading = 0
    for slots in free_at:
        if rule(REPLICAS, loading, True):
            loading += 1
            slots[:] = [LOAD] * SLOTS
    finished_at = 0.0
    for seconds in SAMPLES:
        slots = min(free_at, key=min)
        started_at = max(STEP_DELAY, min(slots))
        slots[slots.index(min(slots))] = started_at + seconds
        finished_at = max(finished_at, started_at + seconds)
    return finished_at - STEP_DELAY


class LoadPolicyTest(unittest.TestCase):
    def test_step_that_follows_a_version_begins_at_once(self):
        """Guards against a step that waits while all replicas load the new version."""
        longest = max(SAMPLES)
        without_limit = step_duration(lambda replicas, loading, serves_open_steps: True)
        self.assertAlmostEqual(without_limit, longest + LOAD - STEP_DELAY)
        self.assertAlmostEqual(step_duration(may_load), longest)

    def test_load_is_deferred_for_the_step_that_follows(self):
        """Guards against loads that begin just before the step that follows."""
        self.assertTrue(
            should_defer(10.0, 10.0, has_queued_items=False, serves_open_steps=True)
        )
        step_at = 10.0 + STEP_DELAY
        self.assertTrue(
            should_defer(10.0, step_at, has_queued_items=True, serves_open_steps=True)
        )
        self.assertTrue(
            should_defer(
                10.0,
                step_at + LOAD,
                has_queued_items=True,
                serves_open_steps=True,
            )
        )

    def test_deferral_is_bounded(self):
        late = 10.0 + MAX_DEFERRAL
        self.assertFalse(
            should_defer(10.0, late, has_queued_items=True, serves_open_steps=True)
        )
        self.assertFalse(
            should_defer(10.0, 10.5, has_queued_items=False, serves_open_steps=True)
        )
        self.assertFalse(
            should_defer(10.0, 10.0, has_queued_items=True, serves_open_steps=False)
        )

    def test_replicas_that_serve_no_step_all_load(self):
        self.assertTrue(all(may_load(4, loading, False) for loading in range(4)))

    def test_a_single_replica_loads(self):
        self.assertTrue(may_load(1, 0, True))
        self.assertFalse(may_load(1, 1, True))


if __name__ == "__main__":
    unittest.main()
