"""The follower: monotonic state, the same for every reader, and checkpoints."""

import asyncio
import contextlib
import unittest

from sassafrasdoor import settings
from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.log import agreed, checkpoints
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.interface import Record
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.support import until
from sassafrasdoor.table.tests.test_accepted import proposal

CATCH_UP_TIMEOUT = 20


def settings_with(**platform):
    """Return settings with a short poll interval."""
    return settings.from_document({"platform": {"poll_interval": 0.01, **platform}})


SETTINGS = settings_with()
STREAM = SETTINGS.platform.agreed_stream


class FollowerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = MemoryLog(stride=2)

    def follower(self, with_settings=SETTINGS, log=None, **options):
        log = log or self.log
        return Follower(with_settings, log, agreed.fold, agreed.Agreed(), **options)

    async def append(self, **body):
        return await self.log.append(STREAM, body)

    async def propose(self, name, base, **options):
        return await self.append(kind="proposal", **proposal(name, base, **options))

    async def caught_up(self, follower=None):
        follower = follower or self.follower()
        self.assertTrue(await follower.catch_up(deadline_in(CATCH_UP_TIMEOUT)))
        return follower

    async def checkpoint(self, follower):
        body = checkpoints.body(follower.state, follower.as_of)
        return await self.log.append(STREAM, body)

    async def test_all_kinds_of_record_are_folded(self):
        revision = await self.propose("a", 0)
        await self.append(kind="weights", model="m", version=4)
        await self.append(kind="weights", model="m", version=3)
        await self.append(kind="weights", model="m", version="9")
        await self.append(kind="lease", name="plan", holder="x", replaces=0, id="1")
        await self.append(kind="gossip")
        state = (await self.caught_up()).state
        self.assertEqual(state.revision, revision)
        self.assertEqual(state.weights, {"m": 4})
        self.assertEqual(state.leases["plan"].holder, "x")
        document = state.as_document()
        self.assertEqual(agreed.Agreed.from_document(document).as_document(), document)

    async def test_a_delayed_checkpoint_reverts_no_reader(self):
        """Guards against a starting instance that uses a replaced table.

        An instance is paused between creating and appending a checkpoint. Meanwhile a
        table is accepted and another checkpoint written; then the old checkpoint is
        appended, and old records expire. The last checkpoint was taken for the newest.
        """
        first = await self.propose("a", 0)
        paused = await self.caught_up()
        late = checkpoints.body(paused.state, paused.as_of)
        second = await self.propose("b", first, weight=2.0)
        up_to_date = await self.caught_up()
        newest = up_to_date.as_of
        await self.checkpoint(up_to_date)
        await self.log.append(STREAM, late)
        for everything_kept in (True, False):
            with self.subTest(everything_kept=everything_kept):
                reader = await self.caught_up()
                self.assertEqual(reader.state.revision, second)
                self.assertEqual(up_to_date.state.revision, second)
                checkpoint = await checkpoints.newest_usable(
                    self.log, STREAM, agreed.Agreed, 1
                )
                self.assertEqual(checkpoint.as_of, newest)
            self.log.expire(STREAM, before=newest)

    async def test_a_checkpoint_followed_by_a_gap_is_not_used(self):
        """Guards against an instance whose state differs from all others permanently.

        A checkpoint is appended late, and records between its ``as_of`` and its offset
        have expired. A start from it skipped those records.
        """
        first = await self.propose("a", 0)
        paused = await self.caught_up()
        late = checkpoints.body(paused.state, paused.as_of)
        await self.propose("b", first)
        end = await self.log.end(STREAM)
        await self.log.append(STREAM, late)
        self.log.expire(STREAM, before=end)
        reader = self.follower()
        self.assertIsInstance(await reader.catch_up(deadline_in(0)), Unavailable)
        self.assertIsNone(reader.state.table)

    async def test_an_invalid_checkpoint_is_not_used(self):
        await self.propose("a", 0)
        state = (await self.caught_up()).state.as_document()
        bodies = [
            {"as_of": 99, "state": state},
            {"as_of": -1, "state": state},
            {"as_of": "1", "state": state},
            {"as_of": 1},
            {"as_of": 1, "state": {**state, "accepted": None}},
            {"as_of": 1, "state": {**state, "leases": {"plan": {"holder": 1}}}},
        ]
        for body in bodies:
            with self.subTest(body):
                record = Record(7, {"kind": "checkpoint", **body})
                self.assertIsNone(checkpoints.decode(record, agreed.Agreed))

    async def test_empty_polls_are_paced(self):
        """Guards against thousands of reads a second from each instance.

        If the log is down or does not support long polls, each poll ends at once
        without records, and the next one followed immediately.
        """
        follower = self.follower(settings_with(poll_interval=1000))
        reads = 0

        async def down(*arguments):
            nonlocal reads
            reads += 1
            return Unavailable("down")

        self.log.end = self.log.read = down
        running = asyncio.create_task(follower.run())
        for _ in range(100):
            await asyncio.sleep(0)
        self.assertEqual(reads, 1)
        running.cancel()

    async def test_an_unconfirmed_checkpoint_is_not_written_again(self):
        """Guards against a slow log that is filled with copies of one checkpoint.

        An appended checkpoint cannot be read yet, and only checkpoints that had been
        read were considered.
        """
        await self.append(kind="weights", model="m", version=1)
        eager_settings = settings_with(checkpoint_every=1)
        writer = await self.caught_up(
            self.follower(eager_settings, may_checkpoint=lambda: True)
        )
        for _ in range(3):
            await writer._write_checkpoint_if_due()
        self.assertEqual(len(self.log._records[STREAM]), 2)

    async def test_records_that_expire_under_a_slow_reader_are_not_skipped(self):
        """Guards against a slow instance that keeps a replaced table.

        The two records after the one it has read expire, and it continued from the first
        kept offset.
        """
        first = await self.propose("a", 0)
        slow = await self.caught_up()
        second = await self.propose("b", first)
        up_to_date = await self.caught_up()
        await self.checkpoint(up_to_date)
        self.log.expire(STREAM, before=up_to_date.as_of)
        await self.append(kind="weights", model="m", version=1)
        await self.caught_up(slow)
        self.assertEqual(slow.state.revision, second)
        self.assertEqual(slow.state.weights, {"m": 1})

    async def test_a_start_publishes_no_old_revision(self):
        """Guards against use of a table replaced long ago just after a start.

        The initial read takes several batches, and the state after each was published.
        """
        base = 0
        for number in range(1, 700):
            base = await self.propose(f"p{number}", base)
        reader = self.follower(settings_with(checkpoint_every=10_000))
        seen = []
        reader.on_change(lambda state: seen.append(state.revision))
        await self.caught_up(reader)
        self.assertEqual(seen, [base])

    async def test_a_peers_state_is_adopted_only_forward(self):
        first = await self.propose("a", 0)
        behind = await self.caught_up()
        await self.propose("b", first)
        ahead = await self.caught_up()
        self.log.down = True
        seen = []
        behind.on_change(lambda state: seen.append(state.revision))
        old = (behind.state, behind.as_of)
        self.assertTrue(behind.adopt(ahead.state, ahead.as_of, ahead.confirmed_at))
        self.assertFalse(behind.adopt(*old, now() + 100))
        self.assertEqual(seen, [ahead.state.revision])
        self.assertEqual(behind.confirmed_at, ahead.confirmed_at)
        self.log.down = False
        third = await self.propose("c", ahead.state.revision)
        await self.caught_up(behind)
        self.assertEqual(behind.state.revision, third)

    async def test_a_peers_newer_state_outlives_a_start_from_a_checkpoint(self):
        """Guards against a starting instance that briefly returns to an earlier table.

        It adopts the state of a peer first; then the log answers, and its newest
        checkpoint is older. Recovery always replaced the state.
        """
        first = await self.propose("a", 0)
        await self.checkpoint(await self.caught_up())
        await self.propose("b", first)
        peer = await self.caught_up()
        starting = self.follower()
        starting.adopt(peer.state, peer.as_of)
        await starting._start()
        self.assertEqual(starting.as_of, peer.as_of)
        self.assertIs(starting.state, peer.state)

    async def test_a_batch_older_than_an_adopted_state_is_not_folded(self):
        """Guards against records that are read twice or for ever.

        A newer state of a peer is adopted while a read is pending. Its batch was taken
        to follow the new state.
        """
        first = await self.propose("a", 0)
        reader = await self.caught_up()
        await self.propose("b", first)
        batch = await self.log.read(STREAM, reader.as_of, 1, 0)
        await self.append(kind="weights", model="m", version=1)
        peer = await self.caught_up()
        reader.adopt(peer.state, peer.as_of)
        await reader._apply_result(batch, now())
        self.assertEqual(reader.as_of, peer.as_of)
        self.assertIs(reader.state, peer.state)

    async def test_a_start_with_the_log_down_adopts_a_peers_state(self):
        await self.propose("a", 0)
        peer = await self.caught_up()
        self.log.down = True
        starting = self.follower()
        seen = []
        starting.on_change(seen.append)
        self.assertFalse(await starting.poll(0))
        starting.adopt(peer.state, peer.as_of)
        self.assertEqual(seen, [peer.state])
        self.assertIsNone(starting.confirmed_at)

    async def test_an_outage_confirms_nothing(self):
        reader = await self.caught_up()
        confirmed = reader.confirmed_at
        self.log.down = True
        self.assertFalse(await reader.poll(0))
        self.assertEqual(reader.confirmed_at, confirmed)

    async def test_when_a_checkpoint_is_due(self):
        table = [
            ("enough records", {"checkpoint_every": 3}, 20, 3, 0, True),
            ("too few records", {"checkpoint_every": 3}, 20, 2, 0, False),
            ("long ago", {"checkpoint_interval": 1e-6}, 20, 0, 0, True),
            ("in the upper half of all", {}, 20, 10, 0, False),
            ("in the lower half of all", {}, 4, 6, 0, True),
            ("in the lower half of what is kept", {}, 20, 10, 15, True),
            ("no longer kept", {}, 20, 10, 25, True),
        ]
        for name, platform, before, after, expired, due in table:
            with self.subTest(name):
                self.log = MemoryLog()
                for version in range(before):
                    await self.append(kind="weights", model="m", version=version)
                await self.checkpoint(await self.caught_up())
                for version in range(after):
                    await self.append(kind="weights", model="n", version=version)
                reader = await self.caught_up(self.follower(settings_with(**platform)))
                self.log.expire(STREAM, expired)
                await self.caught_up(reader)
                self.assertEqual(reader.is_checkpoint_due, due)

    async def test_a_checkpoint_that_expires_in_an_idle_log_is_renewed(self):
        """Guards against instances that start without a table after an idle period.

        Nothing is appended for longer than the log keeps records, and checkpoints became
        due only by the number of records since the last one.
        """
        await self.propose("a", 0)
        writer = await self.caught_up(self.follower(may_checkpoint=lambda: True))
        await self.checkpoint(writer)
        await self.caught_up(writer)
        self.assertFalse(writer.is_checkpoint_due)
        self.log.expire(STREAM, await self.log.end(STREAM))
        await self.caught_up(writer)
        await writer._write_checkpoint_if_due()
        self.assertTrue((await self.caught_up()).state.table)
        await self.caught_up(writer)
        self.assertFalse(writer.is_checkpoint_due)

    async def test_state_outlives_every_record_of_it(self):
        """Guards against the loss of a table that was not withdrawn.

        Many announcements expire the table's record and all checkpoints but the newest.
        Checkpoints were too rare for the retention of the log.
        """
        revision = await self.propose("a", 0)
        writer = self.follower(may_checkpoint=lambda: True)
        running = asyncio.create_task(writer.run())
        for version in range(1, 120):
            await self.append(kind="weights", model="m", version=version)
            await until(
                lambda v=version: writer.state.weights.get("m") == v, what="folded"
            )
            kept = self.log._records[STREAM][-20:]
            self.log.expire(STREAM, kept[0].offset)
        running.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await running
        reader = await self.caught_up()
        self.assertEqual(reader.state.revision, revision)
        self.assertEqual(reader.state.as_document(), writer.state.as_document())
        written = [
            record for record in self.log._records[STREAM] if record.body.get("as_of")
        ]
        self.assertLess(len(written), 6)
