"""Readers that ask again do not hold a log at a standstill when its cause has gone."""

import asyncio
import math
import unittest

from sassafrasdoor.clock import now
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.sharing import Way, backlog_share, retry_pause
from sassafrasdoor.log.tail import KeyedTail, Tail
from sassafrasdoor.log.tests.virtual import MEGABYTE, BoundedLog, run

RATE = 40 * MEGABYTE
"""Half of what the log is said to send."""
CALLS = 1000
"""Reads a second, above what the instances make in calm."""
SHARDS = 5
RECORD = 50_000
KEPT = 48
"""Records of each shard that a new reader has to read, 2.4 MB."""
FOLLOWERS, NEWCOMERS = 24, 24
SERVERS, SERVER = 90, 300
STEPS_EVERY, SERVERS_EVERY, TABLE_EVERY = 0.5, 0.2, 2.0


class Instance:
    """What one instance follows."""

    def __init__(self, log, readers):
        reader = log.reader()
        share = backlog_share(readers, 2 * RATE, 4 * RECORD)
        pause = retry_pause(readers, log.calls)
        way = Way(lambda: share, lambda: pause)
        self.table = KeyedTail(reader, "keyed.table", self._put_in_force, way=way)
        self.servers = KeyedTail(reader, "keyed.list", self._listed, 0.35, way=way)
        self.steps = [
            Tail(
                reader,
                "steps",
                shard,
                lambda offset, data: None,
                lambda: 0.4,
                way=way,
            )
            for shard in range(SHARDS)
        ]
        self.version = 0
        self.late = 0.0
        self._log = log

    def _listed(self, key, value):
        pass

    def _put_in_force(self, key, value):
        version, written_at = value.split(b" ")[:2]
        if int(version) > self.version:
            self.version = int(version)
            self.late = now() - float(written_at)

    def follow_lists(self):
        """Return the tasks that follow the lists."""
        return [asyncio.ensure_future(one.run()) for one in (self.table, self.servers)]

    def follow_steps(self):
        """Return the tasks that follow the steps."""
        return [asyncio.ensure_future(one.run()) for one in self.steps]

    @property
    def knows_all(self):
        """Whether it has read everything that the log keeps, but the latest."""
        kept = self._log.kept
        return all(
            kept.partition("steps", shard).end - tail.offset <= 2
            for shard, tail in enumerate(self.steps)
        )


class Fleet:
    """Instances at one log with its writers; ``cause()`` is over when it returns."""

    def __init__(self, followers, newcomers, calls):
        self.log = BoundedLog(RATE, calls)
        self.all = [
            Instance(self.log, followers + newcomers)
            for _ in range(followers + newcomers)
        ]
        self.newcomers = self.all[followers:]
        self.following = self.all[:followers]
        self._tasks = []
        self._version = 0

    async def begin(self):
        """Let the followers read to the end, one by one."""
        self._tasks = [
            asyncio.ensure_future(self._write(every, write))
            for every, write in (
                (STEPS_EVERY, self._step),
                (SERVERS_EVERY, self._beat),
                (TABLE_EVERY, self._change),
            )
        ]
        for shard in range(SHARDS):
            await self._put("steps", shard, [bytes(RECORD)] * KEPT)
        for one in self.all:
            self._tasks += one.follow_lists()
        for one in self.all[: len(self.all) - len(self.newcomers)]:
            self._tasks += one.follow_steps()
            await asyncio.sleep(0.5)
        await asyncio.sleep(2.0)

    async def newcomers_read(self):
        """All newcomers begin to read the steps at the same moment."""
        self.following = self.all
        for one in self.newcomers:
            self._tasks += one.follow_steps()

    async def silence(self, seconds):
        """Nothing that is asked is answered, for that long."""
        self.log.silent = True
        await asyncio.sleep(seconds)
        self.log.silent = False

    async def refusal(self, seconds):
        """Everything that is asked is refused at once, for that long."""
        self.log.refuses = True
        await asyncio.sleep(seconds)
        self.log.refuses = False

    def end(self):
        """End all."""
        for task in self._tasks:
            task.cancel()

    async def _write(self, every, write):
        while True:
            await write()
            await asyncio.sleep(every)

    async def _put(self, topic, part, records):
        await self.log.kept.append(topic, part, records, now() + 1)

    async def _step(self):
        for shard in range(SHARDS):
            await self._put("steps", shard, [bytes(5_000)])

    async def _beat(self):
        for at in range(SERVERS):
            if int(now() / SERVERS_EVERY) % 6 == at % 6:
                record = keyed_record(f"i-{at}", b"%f" % now() + bytes(SERVER))
                await self._put("keyed.list", 0, [record])

    async def _change(self):
        self._version += 1
        value = b"%d %f " % (self._version, now()) + bytes(40_000)
        await self._put("keyed.table", 0, [keyed_record("config", value)])


class StandstillTest(unittest.TestCase):
    """Each sum of bytes fits the log's rate well, once the cause has gone."""

    def play(self, newcomers, cause, rest, calls=math.inf):
        """Check the fleet ``rest`` seconds after the cause has gone."""

        async def main(loop):
            fleet = Fleet(FOLLOWERS, newcomers, calls)
            await fleet.begin()
            self.assertTrue(all(one.knows_all for one in fleet.all[:FOLLOWERS]))
            self.assertLess(fleet.log.backlog, 0.3)
            await cause(fleet)
            await asyncio.sleep(rest)
            fleet.end()
            self.check(fleet)

        run(main)

    def check(self, fleet):
        """The log's answers come soon, and all know what it keeps."""
        self.assertLess(fleet.log.backlog, 0.5)
        behind = sum(not one.knows_all for one in fleet.following)
        self.assertEqual(behind, 0)
        self.assertLess(max(one.late for one in fleet.all), 2.0)

    def test_newcomers_that_read_all_steps_at_once_get_done(self):
        """Guards against reads that are given up and made again for good."""
        self.play(NEWCOMERS, Fleet.newcomers_read, 30.0)

    def test_newcomers_of_a_larger_fleet_get_done(self):
        """Guards against a bound that holds for one size of the fleet only."""
        self.play(4 * NEWCOMERS, Fleet.newcomers_read, 60.0)

    def test_fleet_reads_on_after_a_refusal(self):
        """Guards against refused reads that are repeated faster than they are taken."""
        self.play(4 * NEWCOMERS, lambda fleet: fleet.refusal(3.0), 10.0, calls=CALLS)

    def test_fleet_reads_on_after_a_silence(self):
        """Guards against a fleet whose repeats outlive the log's silence."""
        self.play(0, lambda fleet: fleet.silence(6.0), 10.0)


if __name__ == "__main__":
    unittest.main()
