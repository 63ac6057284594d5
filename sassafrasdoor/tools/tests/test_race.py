"""Operators' tools as real processes: concurrent edits, a lost reply, an outage, expiry."""

import json
import unittest
import urllib.request

from sassafrasdoor import settings
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log import agreed, checkpoints
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.http import HttpLog
from sassafrasdoor.support import Processes, until
from sassafrasdoor.table.publisher import propose
from sassafrasdoor.table.tests.test_accepted import table

OPERATOR_COUNT = 5
TIMEOUT = 30


class PlatformCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.processes = self.enterContext(Processes())
        self.url = self.processes.serve("standin", "platform").ready["url"]
        section = {"log_url": self.url, "poll_interval": 0.05}
        self.settings = settings.from_document({"platform": section})
        self.stream = self.settings.platform.agreed_stream
        self.log = HttpLog(self.settings)
        self.addCleanup(self.log.close)

    def faults(self, **faults):
        data = json.dumps(faults).encode()
        with urllib.request.urlopen(self.url + "/standin/faults", data, 20):
            pass

    def records(self, kind):
        with urllib.request.urlopen(self.url + "/standin/truth", timeout=20) as reply:
            streams = json.loads(reply.read())["streams"]
        return [
            record
            for record in streams.get(self.stream, ())
            if record["body"]["kind"] == kind
        ]

    def start_apply(self, name, weight, base):
        """Start a tool that publishes a table; return its process."""
        document = {**table(weight), "revision": base}
        sheet = self.processes.write_json(f"{name}.json", document)
        options = ("--platform", self.url, "--json")
        return self.processes.start("table", *options, "apply", sheet, "--author", name)

    async def result_of(self, process):
        """Wait for a tool; return its exit code and the JSON that it printed."""
        await until(lambda: process.returncode is not None, what="tool to end")
        await until(lambda: process.output, what="its output")
        return process.returncode, json.loads(process.output[-1])


class ConcurrentOperatorsTest(PlatformCase):
    async def test_one_of_many_proposals_on_one_base_is_accepted(self):
        """Guards against two accepted proposals on one base."""
        self.faults(lose_reply=1)
        tools = [self.start_apply(f"op-{n}", n + 1.0, 0) for n in range(OPERATOR_COUNT)]
        results = [await self.result_of(tool) for tool in tools]
        accepted = [document for code, document in results if code == 0]
        self.assertEqual(len(accepted), 1, results)
        winner = min(record["offset"] for record in self.records("proposal"))
        self.assertEqual(accepted[0]["revision"], winner)
        for code, document in results:
            if code:
                self.assertEqual((code, document["winner"]), (1, winner))
                self.assertTrue(document["winner_author"].startswith("op-"))

    async def test_outage_after_an_append_with_a_lost_reply(self):
        """Guards against an unreachable log reported as a failed proposal."""
        self.faults(lose_reply=1, then_down=True)
        tool = self.start_apply("anna", 1.0, 0)
        await until(lambda: self.records("proposal"), what="the append")
        self.assertIsNone(tool.returncode)
        self.faults(down=False)
        code, document = await self.result_of(tool)
        self.assertEqual((code, document["outcome"]), (0, "accepted"))
        self.assertEqual(len(self.records("proposal")), 1)


class RetentionTest(PlatformCase):
    def follower(self):
        return Follower(self.settings, self.log, agreed.fold, agreed.Agreed())

    async def caught_up(self, follower):
        self.assertTrue(await follower.catch_up(deadline_in(TIMEOUT)))
        return follower

    async def publish(self, base, weight):
        decision = await propose(
            self.settings, self.log, table(weight), base, "anna", deadline_in(TIMEOUT)
        )
        self.assertTrue(decision)
        return decision.offset

    async def test_expiry_with_a_slow_reader_and_a_late_checkpoint(self):
        """Guards against readers that skip a gap or use an outdated checkpoint."""
        first_revision = await self.publish(0, 1.0)
        slow_reader = await self.caught_up(self.follower())
        outdated_checkpoint = checkpoints.body(slow_reader.state, slow_reader.as_of)
        third_revision = await self.publish(
            await self.publish(first_revision, 2.0), 3.0
        )
        current_reader = await self.caught_up(self.follower())
        newer_checkpoint = checkpoints.body(current_reader.state, current_reader.as_of)
        await self.log.append(self.stream, newer_checkpoint)
        await self.log.append(self.stream, outdated_checkpoint)
        self.faults(retain=2)
        self.assertFalse(await self.log.read(self.stream, slow_reader.as_of, 1, 0))
        for name, reader in (("slow", slow_reader), ("new", self.follower())):
            with self.subTest(name):
                await self.caught_up(reader)
                self.assertEqual(reader.state.revision, third_revision)
                document = current_reader.state.as_document()
                self.assertEqual(reader.state.as_document(), document)
