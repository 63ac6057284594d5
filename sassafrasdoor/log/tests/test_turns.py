"""Which instances read first if all start together."""

import unittest

from sassafrasdoor.log.turns import MAX_CONCURRENT_READERS, MAX_WAIT, ReadSlot, may_read

BACKLOG_MB = 9.0  # read by each reader
PROPAGATION_DELAY = 0.8  # seconds until the others know that a reader has finished
READERS = 20
STEP = 0.01


class ReadSimulation:
    """Readers that share a log's bandwidth of ``rate`` MB a second.

    ``done`` maps readers to the times at which they finished; ``max_concurrent`` is the
    largest number of concurrent ones.
    """

    def __init__(self, rate, limited=True):
        self.done = {}
        self.max_concurrent = 0
        self._rate = rate
        self._limited = limited
        self._remaining = dict.fromkeys(range(READERS), BACKLOG_MB)
        self._reading = set()
        at = 0.0
        while self._remaining:
            self._begin(at)
            at += STEP
            self._send(at)

    def _begin(self, at):
        known_done = {
            reader
            for reader, done in self.done.items()
            if done + PROPAGATION_DELAY <= at
        }
        for reader in set(self._remaining) - self._reading:
            ahead = sum(other not in known_done for other in range(reader))
            if not self._limited or may_read(ahead, 0.0, at):
                self._reading.add(reader)
        self.max_concurrent = max(self.max_concurrent, len(self._reading))

    def _send(self, at):
        for reader in list(self._reading):
            self._remaining[reader] -= self._rate * STEP / len(self._reading)
            if self._remaining[reader] <= 0:
                del self._remaining[reader]
                self._reading.discard(reader)
                self.done[reader] = at


class ReadSlotTest(unittest.TestCase):
    def test_first_readers_finish_before_the_others_start(self):
        """Guards against a runner that finishes only when all readers do."""
        for rate in (10.0, 40.0):
            at_once = ReadSimulation(rate, limited=False)
            self.assertGreater(at_once.done[0], (READERS - 1) * BACKLOG_MB / rate)
            done = ReadSimulation(rate).done
            for reader in range(MAX_CONCURRENT_READERS):
                self.assertLess(
                    done[reader], MAX_CONCURRENT_READERS * BACKLOG_MB / rate + 2 * STEP
                )

    def test_concurrent_readers_are_limited(self):
        """Guards against answers that arrive after the reads have timed out."""
        self.assertEqual(ReadSimulation(40.0).max_concurrent, MAX_CONCURRENT_READERS)

    def test_limit_adds_little_to_the_total_time(self):
        """Guards against instances that forward their callers for long."""
        for rate in (10.0, 40.0):
            rounds = READERS / MAX_CONCURRENT_READERS
            last = max(ReadSimulation(rate).done.values())
            self.assertLess(
                last, READERS * BACKLOG_MB / rate + rounds * PROPAGATION_DELAY
            )

    def test_wait_is_bounded(self):
        """Guards against an endless wait while other instances join and leave."""
        self.assertFalse(may_read(MAX_CONCURRENT_READERS, 7.0, 7.0 + MAX_WAIT / 2))
        self.assertTrue(may_read(100, 7.0, 7.0 + MAX_WAIT))

    def test_first_readers_never_wait(self):
        for ahead in range(MAX_CONCURRENT_READERS):
            self.assertTrue(may_read(ahead, 7.0, 7.0))

    def test_slot_is_acquired_once_and_again_after_a_reset(self):
        """Guards against a reserve instance that reads at once when it is needed."""
        slot = ReadSlot()
        self.assertIsNone(slot.try_acquire(MAX_CONCURRENT_READERS, 10.0))
        self.assertEqual(slot.try_acquire(0, 11.5), 1.5)
        self.assertTrue(slot.has_come)
        self.assertIsNone(slot.try_acquire(MAX_CONCURRENT_READERS, 12.0))
        self.assertTrue(slot.has_come)
        slot.reset()
        self.assertIsNone(slot.try_acquire(MAX_CONCURRENT_READERS, 100.0))
        self.assertFalse(slot.has_come)
        self.assertEqual(
            slot.try_acquire(MAX_CONCURRENT_READERS, 100.0 + MAX_WAIT), MAX_WAIT
        )


if __name__ == "__main__":
    unittest.main()
