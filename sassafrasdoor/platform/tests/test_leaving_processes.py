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
    async def test_server_that_leaves_after_a_cut_gets_nothing_soon(self):
        """Symptom: a request reached a server 2,336 ms after it had left, bound 2,000.

        An instance was cut off from the platform's store and came back to it; 2 s
        later a server's entry ended, without a word before, and the instance sent it a
        request 2.3 s after that.
        """
        first, *others = self.instances
        for instance in others:
            instance.kill()
        self.proxy.freeze()
        await asyncio.sleep(CUT_SECONDS)
        self.proxy.thaw()
        await self.until(lambda: self.lines(configuration.SERVERS_TOPIC, "log.regain"))
        await asyncio.sleep(BACK_SECONDS)
        left, stays = self.plain
        await self.plain_is(first, 200)
        self.assertTrue(left.runs)
        await self.store.put(configuration.SERVERS_TOPIC, left.identity, None)
        await asyncio.sleep(DRAIN_SECONDS)
        runs = len(left.runs)
        limit = deadline_in(WATCHED_SECONDS)
        while not passed(limit):
            self.assertTrue(await self.plain_is(first, 200))
        self.assertEqual(len(left.runs), runs)
        self.assertTrue(stays.runs)


if __name__ == "__main__":
    unittest.main()
