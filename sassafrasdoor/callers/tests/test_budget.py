"""Replays of crowds in virtual time: what is held for them, and who yields."""

import unittest

from sassafrasdoor.callers.budget import (
    Caller,
    CallerBudget,
    CallerLimits,
    Kind,
    Phase,
)

MB = 1_000_000
MEMORY = 180 * MB
CONNECTION = 36_000  # bytes
HEAD = 5_000  # bytes of a decoded head of ten fields
SMALL_BODY = 65_000
CHUNK = 16 * 1024


class Replay:
    """Callers of one budget; ``time`` is virtual, in seconds."""

    def __init__(self, test, **limits):
        self.time = 0.0
        self.limits = CallerLimits(**{"memory_bytes": MEMORY, **limits})
        self.budget = CallerBudget(self.limits, self.free_ended)
        self.yielded = []
        self._test = test

    def free_ended(self):
        # As it happens a few turns of the event loop later.
        unfreed, self.budget.unfreed_bytes = self.budget.unfreed_bytes, 0
        self._test.assertLessEqual(unfreed, self.limits.unfreed_bytes + 40 * MB)

    def connect(self):
        """Return a connected ``Caller``, or None."""
        caller = Caller(lambda phase: self.yielded.append((caller, phase)))
        is_open = self.budget.connect(caller, CONNECTION, self.time)
        self.check()
        return caller if is_open else None

    def send_head(self, caller, size=HEAD):
        """Return whether a head of ``size`` decoded bytes found room."""
        is_held = self.budget.hold(caller, Kind.HEAD, size, self.time)
        self.check()
        return is_held

    def send_body(self, caller, size, announced=None):
        """Send the next ``size`` bytes of a body; return whether they found room."""
        if caller.phase is Phase.WAITING:
            caller.announced_bytes = announced or size
            self.budget.enter(caller, Phase.READING, self.time)
        while size > 0:
            part = min(size, CHUNK)
            if not self.budget.hold(caller, Kind.BODY, part, self.time):
                return False
            self.budget.record_progress(caller, part, self.time)
            self.check()
            size -= part
        return True

    def stall_in_body(self, count, size=SMALL_BODY, gap=0.0):
        """Let ``count`` callers send a body up to its last byte and stay connected."""
        for _ in range(count):
            caller = self.connect()
            if caller is not None and self.send_head(caller):
                self.send_body(caller, size - 1, announced=size)
            self.time += gap

    def serve(self, caller, answer):
        """Answer a whole request with ``answer`` bytes that are not taken yet."""
        self.budget.enter(caller, Phase.SERVING, self.time)
        self.budget.hold_answer(caller, answer, self.time)
        self.check()

    def is_served(self, body=4, answer=4):
        """Return whether an ordinary caller is served now."""
        caller = self.connect()
        if caller is None or not self.send_head(caller):
            return False
        if body > SMALL_BODY and not self.budget.may_announce(caller, body, self.time):
            return False
        if not self.send_body(caller, body):
            return False
        self.serve(caller, answer)
        self.budget.free(caller, Kind.ANSWER, answer, self.time)
        self.budget.end_request(caller, self.time)
        return caller.phase is Phase.WAITING

    def check(self):
        budget = self.budget
        self._test.assertLessEqual(budget.held_bytes, budget.total_limit)


class CrowdTest(unittest.TestCase):
    def test_crowd_of_small_bodies_up_to_their_last_byte(self):
        """Guards against bodies that are each too small to count."""
        replay = Replay(self)
        replay.stall_in_body(3500)
        replay.time += 1.0
        self.assertTrue(replay.is_served())
        self.assertTrue(replay.is_served(body=MB))

    def test_crowd_of_large_bodies_up_to_their_last_byte(self):
        """Guards against stalled holders that starve an ordinary large body."""
        replay = Replay(self)
        replay.stall_in_body(60, 8 * MB)
        replay.time += 1.0
        self.assertTrue(replay.is_served(body=8 * MB))

    def test_body_that_makes_progress_is_completed_beside_a_crowd_that_comes_again(
        self,
    ):
        """Guards against a sound body that yields to a crowd."""
        replay = Replay(self)
        replay.stall_in_body(1000)
        replay.time += 1.0
        size = 20 * MB
        sound = replay.connect()
        self.assertTrue(replay.send_head(sound))
        self.assertTrue(replay.budget.may_announce(sound, size, replay.time))
        for _ in range(size // CHUNK):
            self.assertTrue(replay.send_body(sound, CHUNK, announced=size))
            replay.stall_in_body(3)
            replay.time += 0.02
        self.assertNotIn(sound, [caller for caller, _ in replay.yielded])

    def test_announced_bodies_take_no_room(self):
        """Guards against room that is kept for bodies which never come."""
        replay = Replay(self)
        for _ in range(30):
            caller = replay.connect()
            replay.send_head(caller)
            caller.announced_bytes = 30 * MB
            replay.budget.enter(caller, Phase.READING, replay.time)
        self.assertTrue(replay.is_served(body=30 * MB))

    def test_large_body_is_refused_at_once_beside_those_that_make_progress(self):
        """Guards against sound large bodies that are read and then given up."""
        replay = Replay(self)
        progressing = []
        for _ in range(3):
            caller = replay.connect()
            replay.send_head(caller)
            replay.send_body(caller, 8 * MB, announced=16 * MB)
            progressing.append(caller)
        newcomer = replay.connect()
        self.assertFalse(replay.budget.may_announce(newcomer, 10 * MB, replay.time))
        self.assertEqual(replay.yielded, [])

    def test_bodies_of_slow_callers(self):
        """Guards against a process killed for memory held by slow callers."""
        replay = Replay(self)
        admitted = sum(replay.send_body(replay.connect(), 4 * MB) for _ in range(60))
        self.assertEqual(admitted, 12)
        self.assertTrue(replay.is_served(body=600))

    def test_unread_answers_leave_less_for_bodies(self):
        """Guards against bodies that fill the memory beside unread answers."""
        replay = Replay(self)
        reader, sender = replay.connect(), replay.connect()
        replay.serve(reader, 26 * MB)
        self.assertFalse(replay.budget.may_announce(sender, 30 * MB, replay.time))
        self.assertFalse(replay.send_body(sender, 30 * MB))
        replay.budget.end_request(sender, replay.time)
        replay.budget.free(reader, Kind.ANSWER, 26 * MB, replay.time)
        self.assertTrue(replay.is_served(body=30 * MB))

    def test_sender_of_single_bytes_counts_as_stalled(self):
        """Guards against callers that keep their room by a byte now and then."""
        replay = Replay(self)
        dripping = replay.connect()
        replay.send_head(dripping)
        replay.send_body(dripping, 30_000, announced=SMALL_BODY)
        for _ in range(10):
            replay.time += 0.1
            replay.send_body(dripping, 1)
        replay.stall_in_body(1000)
        self.assertEqual(replay.yielded[0], (dripping, Phase.READING))

    def test_heads_of_many_fields(self):
        """Guards against decoded fields that take the memory of ordinary requests."""
        replay = Replay(self)
        for _ in range(600):
            caller = replay.connect()
            if caller is not None and replay.send_head(caller, MB):
                replay.budget.enter(caller, Phase.READING, replay.time)
        held = replay.budget.held_by_kind()[Kind.HEAD]
        self.assertLessEqual(held, replay.limits.head_bytes)
        self.assertTrue(replay.is_served())

    def test_answers_that_are_not_read(self):
        """Guards against unread answers that leave no room for other requests."""
        replay = Replay(self)
        last = None
        for _ in range(500):
            caller = replay.connect()
            replay.send_head(caller)
            replay.send_body(caller, 4)
            replay.serve(caller, MB)
            replay.time += 0.01
            last = caller
        held = replay.budget.held_by_kind()[Kind.ANSWER]
        self.assertLessEqual(held, replay.limits.answer_bytes)
        self.assertIs(last.phase, Phase.SENDING)
        self.assertTrue(replay.is_served(answer=MB))

    def test_answer_that_is_taken_slowly_is_delivered(self):
        """Guards against a ready answer given up while others do not read at all."""
        replay = Replay(self)
        slow = replay.connect()
        replay.send_head(slow)
        replay.send_body(slow, 4)
        replay.serve(slow, 2 * MB)
        for _ in range(100):
            replay.budget.record_progress(slow, CHUNK, replay.time)
            caller = replay.connect()
            replay.send_head(caller)
            replay.send_body(caller, 4)
            replay.serve(caller, MB)
            replay.time += 0.02
        self.assertIs(slow.phase, Phase.SENDING)

    def test_silent_connections(self):
        """Guards against connections that send nothing and take all descriptors."""
        replay = Replay(self, descriptors=1000)
        silent = [replay.connect() for _ in range(2000)]
        self.assertEqual(replay.budget.connections, replay.limits.connections)
        self.assertEqual(silent[600:], [None] * 1400)
        replay.time += 1.0
        self.assertTrue(replay.is_served())

    def test_kept_connections_yield_before_new_ones(self):
        """Guards against new callers refused for connections that are only kept."""
        replay = Replay(self, descriptors=1000)
        kept = [replay.connect() for _ in range(600)]
        replay.time += 5.0
        for _ in range(100):
            self.assertIsNotNone(replay.connect())
        yielded = [(caller, Phase.WAITING) for caller in kept[:100]]
        self.assertEqual(replay.yielded, yielded)

    def test_requests_that_are_served_never_yield(self):
        """Guards against a request that runs and whose caller gets no answer."""
        replay = Replay(self)
        served = []
        while True:
            caller = replay.connect()
            if caller is None or not replay.send_body(caller, SMALL_BODY):
                break
            replay.budget.enter(caller, Phase.SERVING, replay.time)
            served.append(caller)
        replay.time += 60.0
        self.assertFalse(replay.is_served(body=SMALL_BODY))
        self.assertTrue(all(caller.phase is Phase.SERVING for caller in served))

    def test_nobody_yields_while_all_make_progress(self):
        """Guards against sound callers that push each other out."""
        replay = Replay(self)
        replay.stall_in_body(3500)
        self.assertEqual(replay.yielded, [])

    def test_small_requests_find_room_beside_large_ones(self):
        """Guards against large bodies that leave nothing for small requests."""
        replay = Replay(self)
        while replay.send_body(replay.connect(), 2 * MB):
            pass
        self.assertTrue(replay.is_served())

    def test_bytes_of_ended_connections_count_until_they_are_freed(self):
        """Guards against a crowd that is replaced faster than its memory is freed."""
        budget = CallerBudget(CallerLimits(memory_bytes=MEMORY))
        callers = [Caller(lambda phase: None) for _ in range(20)]
        for caller in callers:
            self.assertTrue(budget.connect(caller, MB, 0.0))
            budget.abandon(caller)
            if budget.unfreed_bytes > budget.limits.unfreed_bytes:
                break
        newcomer = Caller(lambda phase: None)
        self.assertFalse(budget.connect(newcomer, MB, 0.0))
        budget.record_freed(budget.unfreed_bytes)
        self.assertTrue(budget.connect(newcomer, MB, 0.0))

    def test_answers_on_their_way_leave_room_for_callers(self):
        """Guards against callers refused while servers send without end."""
        replay = Replay(self)
        replay.budget.change_received(500 * MB, replay.time)
        self.assertTrue(replay.is_served(body=MB))

    def test_steps_leave_the_least_to_callers(self):
        """Guards against accepted steps that leave no room for requests."""
        replay = Replay(self)
        self.assertTrue(replay.limits.may_reserve(90 * MB))
        self.assertFalse(replay.limits.may_reserve(110 * MB))
        replay.budget.reserved = lambda: 200 * MB
        self.assertEqual(replay.budget.total_limit, 18 * MB)
        self.assertTrue(replay.is_served(body=MB))

    def test_legal_body_of_the_limit_fits_into_the_smallest_memory(self):
        """Guards against a single legal request that is refused in calm."""
        replay = Replay(self, memory_bytes=128 * MB)
        self.assertTrue(replay.is_served(body=32 * 1024 * 1024))

    def test_no_bound_without_a_stated_memory(self):
        budget = CallerBudget()
        caller = Caller(lambda phase: None)
        self.assertTrue(budget.connect(caller, CONNECTION, 0.0))
        budget.enter(caller, Phase.READING, 0.0)
        self.assertTrue(budget.may_announce(caller, 500 * MB, 0.0))
        self.assertTrue(budget.hold(caller, Kind.BODY, 500 * MB, 0.0))
        self.assertTrue(budget.limits.may_reserve(500 * MB))


if __name__ == "__main__":
    unittest.main()
