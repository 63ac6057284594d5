"""Replays of planned stops in virtual time, and the rules of the decision."""

import unittest

from sassafrasdoor.requests.stop_policy import (
    ANSWER_MARGIN,
    MAX_KINDS,
    MIN_DURATIONS,
    RequestKind,
    StopPolicy,
    StopTimes,
    retry_after,
)

GRACES = (3.0, 8.0, 30.0)  # seconds for a stop
CALL, STREAM = 0.05, 4.4  # seconds that a request takes
ROUTE_TIMEOUT = 60.0
ARRIVAL_INTERVAL = 0.1
# Seconds before the end in which a short call may be refused.
CALL_END = ANSWER_MARGIN + 2 * CALL + ARRIVAL_INTERVAL
CALLS = RequestKind("calls", is_repeatable=True, target=0.2)
ONCE = RequestKind("once")
STREAMS = RequestKind("streams", output_limit=60)


def stop_times(grace):
    return StopTimes(min(3.0, grace * 3 / 8), grace, grace)


class Replay:
    """A stop that begins at 0; requests of each kind arrive at a steady rate."""

    def __init__(self, grace, policy=None):
        self.times = stop_times(grace)
        self.policy = policy or StopPolicy()
        self.served, self.refused, self.cut = [], [], []

    def measure(self, kind, seconds, count=MIN_DURATIONS):
        for _ in range(count):
            self.end(self.policy.begin(kind, -seconds), 0.0)
        return self

    def end(self, run, at, is_whole=True):
        run.is_whole = is_whole
        self.policy.end(run, at)

    def offer(self, kind, seconds, deadline_in=ROUTE_TIMEOUT):
        at = 0.0
        while at < self.times.finish_deadline:
            if not self.policy.can_finish(self.times, kind, at + deadline_in, at):
                self.refused.append(at)
            elif at + min(seconds, deadline_in) > self.times.finish_deadline:
                self.cut.append(at)
            else:
                self.served.append(at)
            at += ARRIVAL_INTERVAL
        return self


class StopReplayTest(unittest.TestCase):
    def test_streams_beyond_the_end_among_short_calls(self):
        """Guards against streams cut off by a stop, and stops that refuse all."""
        for grace in GRACES:
            with self.subTest(grace=grace):
                replay = Replay(grace).measure(CALLS, CALL).measure(STREAMS, STREAM)
                replay.offer(CALLS, CALL)
                self.assertEqual(replay.cut, [])
                self.assertGreater(max(replay.served), grace - CALL_END)
                streams = Replay(grace, replay.policy).offer(STREAMS, STREAM)
                self.assertEqual(streams.cut, [])
                self.assertEqual(bool(streams.served), grace > STREAM)

    def test_short_streams_of_replicas_that_turn_busy(self):
        """Guards against cut streams whose replicas are busier than before the stop."""
        replay = Replay(8.0).measure(STREAMS, 0.3)
        replay.offer(STREAMS, 0.3 + 0.4, deadline_in=1.5)
        self.assertEqual(replay.cut, [])
        self.assertGreater(max(replay.served), 6.0)

    def test_long_streams_among_many_short_ones(self):
        """Guards against streams cut off at the end of a stop since others were short."""
        for grace in GRACES:
            for kind in (STREAMS, ONCE):
                for factor in (1.5, 5, 50):
                    with self.subTest(grace=grace, kind=kind.name, factor=factor):
                        replay = Replay(grace).measure(kind, 0.02 * grace, count=128)
                        replay.offer(kind, 0.02 * grace * factor)
                        first_late = replay.times.estimate_deadline
                        late = [at for at in replay.cut if at >= first_late]
                        self.assertEqual(late, [])

    def test_requests_whose_deadlines_fit_are_all_served(self):
        """Guards against a stop that refuses what it can answer."""
        for kind in (CALLS, STREAMS, ONCE):
            with self.subTest(kind.name):
                replay = (
                    Replay(8.0).measure(kind, 3.0).offer(kind, 1.0, deadline_in=2.0)
                )
                self.assertEqual(replay.cut, [])
                self.assertGreater(max(replay.served), 8.0 - 2.0 - CALL_END)
                self.assertGreater(min(replay.refused), 8.0 - 2.0 - CALL_END)

    def test_unknown_streams_late_in_a_stop(self):
        """Guards against cut streams of an instance that has not served any before."""
        for grace in GRACES:
            with self.subTest(grace=grace):
                replay = Replay(grace).offer(STREAMS, STREAM)
                late = [at for at in replay.cut if at >= replay.times.estimate_deadline]
                self.assertEqual(late, [])
                self.assertIn(0.0, replay.served + replay.cut)

    def test_stuck_calls_do_not_have_all_calls_refused(self):
        """Guards against one silent replica that ends all service during a stop."""
        replay = Replay(8.0).measure(CALLS, CALL, count=30)
        replay.policy.begin(CALLS, -7.0)
        self.end_failed(replay, CALLS, 8.0)
        replay.offer(CALLS, CALL)
        self.assertEqual(replay.cut, [])
        self.assertGreater(min(replay.refused), 8.0 - CALL_END)

    def test_calls_without_an_answer_yet_that_take_long(self):
        """Guards against calls judged by their target while slower ones are in progress."""
        for grace, seconds, first_at in ((8.0, 2.5, 3.0), (20.0, 6.0, 9.0)):
            with self.subTest(grace=grace):
                replay, runs, at = Replay(grace), [], first_at
                while at < first_at + seconds:
                    oldest = at - runs[0].started_at if runs else 0.0
                    if self.accepts(replay, CALLS, at):
                        self.assertLessEqual(at + oldest, replay.times.answer_deadline)
                        runs.append(replay.policy.begin(CALLS, at))
                    at += ARRIVAL_INTERVAL
                self.assertGreater(len(runs), 1)
                for run in runs:
                    replay.end(run, run.started_at + seconds)
                self.assertFalse(self.accepts(replay, CALLS, grace - seconds))

    def end_failed(self, replay, kind, seconds):
        run = replay.policy.begin(kind, -seconds)
        replay.end(run, 0.0, is_whole=False)

    def test_stream_in_progress_shows_how_long_others_take(self):
        """Guards against judging streams by the short ones that have ended first."""
        replay = Replay(8.0).measure(STREAMS, 0.5)
        self.assertTrue(self.accepts(replay, STREAMS, 2.0))
        replay.policy.begin(STREAMS, -3.5)
        self.assertFalse(self.accepts(replay, STREAMS, 2.0))

    def accepts(self, replay, kind, at, deadline_in=ROUTE_TIMEOUT):
        return replay.policy.can_finish(replay.times, kind, at + deadline_in, at)


class StopPolicyTest(unittest.TestCase):
    def accepts(self, policy, kind, at, deadline_in=ROUTE_TIMEOUT):
        return policy.can_finish(stop_times(8.0), kind, at + deadline_in, at)

    def test_deadline_within_the_stop_is_always_accepted(self):
        policy = Replay(8.0).measure(STREAMS, 20.0).policy
        self.assertTrue(self.accepts(policy, STREAMS, 4.0, deadline_in=3.9))
        self.assertFalse(self.accepts(policy, STREAMS, 4.0, deadline_in=4.0))

    def test_nothing_is_accepted_without_time_for_the_answer(self):
        at = 8.0 - ANSWER_MARGIN
        self.assertFalse(self.accepts(StopPolicy(), CALLS, at, deadline_in=0.0))

    def test_kinds_of_other_sizes_are_judged_apart(self):
        longer = RequestKind("streams", output_limit=4 * 60)
        policy = Replay(8.0).measure(STREAMS, 0.5).measure(longer, 5.0).policy
        self.assertTrue(self.accepts(policy, STREAMS, 2.0))
        self.assertFalse(self.accepts(policy, longer, 2.0))

    def test_one_answer_shows_what_a_repeatable_call_takes(self):
        policy = Replay(8.0).measure(CALLS, CALL, count=1).policy
        self.assertTrue(self.accepts(policy, CALLS, 7.8))
        policy = Replay(8.0).measure(STREAMS, CALL, count=1).policy
        self.assertFalse(self.accepts(policy, STREAMS, 7.8))

    def test_unmeasured_calls_are_judged_by_their_target(self):
        self.assertTrue(self.accepts(StopPolicy(), CALLS, 7.5))
        self.assertFalse(self.accepts(StopPolicy(), CALLS, 7.8))
        without = RequestKind("calls", is_repeatable=True)
        self.assertFalse(self.accepts(StopPolicy(), without, 7.5))

    def test_number_of_kinds_is_bounded(self):
        """Guards against memory that grows with each route that ever was."""
        policy = StopPolicy()
        first = policy.begin(RequestKind("first"), 0.0)
        for number in range(MAX_KINDS):
            policy.end(policy.begin(RequestKind(f"r{number}"), 0.0), 1.0)
        policy.end(first, 1.0)
        self.assertEqual(len(policy._durations), MAX_KINDS)

    def test_retry_after_suits_the_caller(self):
        times = stop_times(8.0)
        self.assertEqual(retry_after(times, True, 10.0, 2.0), 0.0)
        self.assertEqual(retry_after(times, False, 100.0, 2.0), 6.0)
        self.assertEqual(retry_after(times, False, 5.0, 2.0), 1.0)


if __name__ == "__main__":
    unittest.main()
