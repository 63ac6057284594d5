"""Publishing: the fold decides, and a lost reply is resolved by reading the log."""

import asyncio
import unittest

from sassafrasdoor import settings
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.outcomes import Rejected, ReplyLost, Unavailable
from sassafrasdoor.table.publisher import LostRace, propose
from sassafrasdoor.table.tests.test_accepted import table

SETTINGS = settings.from_document({"platform": {"poll_interval": 0.01}})
STREAM = SETTINGS.platform.agreed_stream
TIMEOUT = 20


class DroppingLog(MemoryLog):
    """Loses every append and its reply."""

    async def append(self, stream, body):
        return ReplyLost("connection broke")


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.log = MemoryLog(stride=2)

    def propose(self, base, weight=1.0, author="anna", log=None, seconds=TIMEOUT):
        deadline = deadline_in(seconds)
        document = table(weight)
        return propose(SETTINGS, log or self.log, document, base, author, deadline)

    def proposals(self):
        return len(self.log._records[STREAM])

    async def test_an_accepted_table_returns_its_revision(self):
        first = await self.propose(0)
        second = await self.propose(first.offset, 2.0)
        self.assertTrue(second.accepted)
        self.assertGreater(second.offset, first.offset)

    async def test_lost_reply_is_resolved_by_reading_the_log(self):
        """Guards against a lost reply that is treated as a failed append."""
        self.log.lose_replies = 1
        decision = await self.propose(0)
        self.assertTrue(decision.accepted)
        self.assertEqual(self.proposals(), 1)

    async def test_duplicated_record_is_accepted(self):
        self.log.duplicates = 1
        self.assertTrue((await self.propose(0)).accepted)

    async def test_one_of_eighty_concurrent_proposals_wins(self):
        """Guards against a decision that is dropped before its publisher reads it."""
        calls = [self.propose(0, n + 1.0, f"operator-{n}") for n in range(80)]
        results = await asyncio.gather(*calls)
        winners = [result for result in results if result]
        self.assertEqual(len(winners), 1)
        for lost in results:
            if not lost:
                self.assertIsInstance(lost, LostRace)
                self.assertEqual(lost.winner, winners[0].offset)
                self.assertEqual(lost.winner_author, winners[0].author)

    async def test_outcomes_without_effect(self):
        cases = [
            ("a bad table", {"weight": -1.0}, Rejected, 1),
            ("a stale base", {}, LostRace, 1),
        ]
        await self.propose(0)
        for name, arguments, outcome, records in cases:
            with self.subTest(name):
                result = await self.propose(0, **arguments)
                self.assertIsInstance(result, outcome)
                self.assertEqual(self.proposals(), records)
        self.log.down = True
        self.assertIsInstance(await self.propose(0, seconds=0), Unavailable)

    async def test_missing_proposal_is_a_lost_reply(self):
        result = await self.propose(0, log=DroppingLog(), seconds=0.05)
        self.assertIsInstance(result, ReplyLost)

    async def test_missing_proposal_whose_base_was_replaced_has_lost(self):
        """Guards against waiting for a proposal that can no longer be accepted."""
        log = DroppingLog()
        task = asyncio.create_task(self.propose(0, log=log, seconds=0.5))
        await asyncio.sleep(0)
        body = {"kind": "proposal", "id": "b", "base": 0, "author": "ben"}
        await MemoryLog.append(log, STREAM, {**body, "table": table()})
        lost = await task
        self.assertIsInstance(lost, LostRace)
        self.assertEqual(lost.winner_author, "ben")
