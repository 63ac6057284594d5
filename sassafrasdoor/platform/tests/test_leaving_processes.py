"""Tests of a backend server that leaves just after an outage of the list of servers."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.platform import configuration
from sassafrasdoor.platform.tests.cases import ProcessCase

CUT_SECONDS = 4.0  # long enough for entries to lapse, which takes three heartbeats
BACK_SECONDS = 1.0  # from the end of the outage to the removal of the entry
DRAIN_SECONDS = 2.0  # within which a server that has left stops getting calls
WATCHED_SECONDS = 1.0


class LeavingTest(ProcessCase):
    async def test_server_leaving_after_a_list_outage_gets_no_calls(self):
        """Guards against calls to a server more than 2,000 ms after it has left.

        A call reached a server 2,336 ms after its entry had been removed without having
        been marked as draining. The instance had regained the platform's store 2 s
        before the removal and read the removal at once. Within 2.6 s of the end of an
        outage a missing entry is taken for one that lapsed in the outage, and its
        server is used for a grace period of 2.6 s. That period was counted from the
        removal of the entry instead of from the end of the outage.

        Log lines after all instances were cut off for four seconds; the removal was
        acknowledged at 10.009 s, and calls reached the server from 12.028 s on:

             8.483 log.regained topic=keyed.servers away_seconds=2.922
            10.198 replica.absent
            12.828 replica.gone

        With the period counted from the end of the outage the last call was answered at
        10.756 s:

            10.199 replica.absent tried_seconds=0.584 list_back_seconds=1.716
        """
        first, *others = self.instances
        for instance in others:
            instance.kill()
        self.proxy.freeze()
        await asyncio.sleep(CUT_SECONDS)
        self.proxy.thaw()
        await self.wait_until(
            lambda: self.lines(configuration.SERVERS_TOPIC, "log.regain")
        )
        await asyncio.sleep(BACK_SECONDS)
        left, stays = self.plain
        await self.plain_call_returns(first, 200)
        self.assertTrue(left.runs)
        await self.store.put(configuration.SERVERS_TOPIC, left.identity, None)
        await asyncio.sleep(DRAIN_SECONDS)
        runs = len(left.runs)
        limit = deadline_in(WATCHED_SECONDS)
        while not passed(limit):
            self.assertTrue(await self.plain_call_returns(first, 200))
        self.assertEqual(len(left.runs), runs)
        self.assertTrue(stays.runs)


if __name__ == "__main__":
    unittest.main()
