"""A server that leaves just after the list of servers was out of reach."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.platform import configuration
from sassafrasdoor.platform.tests.cases import ProcessCase

CUT_SECONDS = 4.0
"""Long enough for entries to lapse: three heartbeats."""
BACK_SECONDS = 1.0
"""From the list's return to the end of the entry."""
DRAIN_SECONDS = 2.0
"""Within which a server that has left gets nothing any more."""
WATCHED_SECONDS = 1.0


class LeavingTest(ProcessCase):
    async def test_server_leaving_after_a_list_outage_gets_no_calls(self):
        """A request reached a server 2,336 ms after it had left; the bound is 2,000.

        An instance was cut off from the platform's store and came back to it; 2 s
        later a server's entry ended, without a word before, and the instance sent it a
        request 2.3 s after that. The end of the entry was read at once and not
        believed: within 2.6 s of the list's return it was taken for one that had
        lapsed meanwhile, and its server was used for 2.6 s more, counted from the
        entry's end instead of from the return.

        Another day of that kind showed it, with all instances cut off for four seconds:

             8.483 log.regained topic=keyed.servers away_seconds=2.922
            10.198 replica.absent
            12.828 replica.gone

        The server's leaving was acknowledged at 10.009 s; calls reached it from 12.028 s
        on. With the grace counted from the return the same day has

            10.199 replica.absent tried_seconds=0.584 list_back_seconds=1.716

        and the last call that the server answered was answered at 10.756 s.
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
