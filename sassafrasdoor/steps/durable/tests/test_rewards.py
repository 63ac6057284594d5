"""Tests of reward calls: sending, repetition, counted failures and errored items."""

import asyncio
import unittest

from sassafrasdoor.backends.interface import Answer, Broken, Refused
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.steps.durable import records
from sassafrasdoor.steps.durable.records import (
    COMPLETED,
    ERRORED,
    End,
    RewardFailure,
    Score,
    Text,
    encode,
)
from sassafrasdoor.steps.durable.runner import Runner
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import (
    ScriptedClient,
    add_scorers,
    replicas,
    reward_route,
    route,
    routes_in_force,
    spec,
)
from sassafrasdoor.table.routes import RoutesInForce

FAILED = Answer(500, [], b"", "stamp of a failure")


async def refuse_connection(replica):
    return Refused("nobody listens")


class FoldingOutbox:
    """An outbox whose records are folded as if appended, unless ``held``."""

    def __init__(self, steps):
        self.steps = steps
        self.records = []
        self.held = False
        self._offset = 100

    def put(self, data):
        self.records.append(records.decode(data))
        if not self.held:
            self.fold(data)

    def fold(self, data):
        self._offset += 1
        self.steps.fold(0, self._offset, data)


class RewardTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = ScriptedClient()
        self.steps = Steps()
        self.outbox = FoldingOutbox(self.steps)
        self.replicas = add_scorers(replicas(), 2)
        self.routes = routes_in_force(route(), reward_route())

    async def submit(self, items=1, **step):
        data = records.encode_step(spec(items=items, rewarded=True, **step), 10_000)
        for record in data:
            self.outbox.fold(record)

    async def run_shard(self):
        self.runner = Runner(
            self.client, self.replicas, self.routes, self.steps, [self.outbox]
        )
        self.runner.start_shard(0)
        self.task = asyncio.ensure_future(self.runner.run())
        self.addCleanup(self.task.cancel)

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition not met within 20 s")
            await asyncio.sleep(0.005)

    @property
    def listed(self):
        return self.steps.by_id["s1"].listed

    async def sample(self):
        await self.until(lambda: self.listed)
        return self.listed[0]

    def record_types(self):
        return [type(record) for record in self.outbox.records]

    async def test_text_is_listed_with_its_score(self):
        await self.submit()
        await self.run_shard()
        sample = await self.sample()
        self.assertEqual(
            (sample.state, sample.text, sample.score, sample.versions),
            (COMPLETED, "text", "stamp r0", [1]),
        )
        self.assertEqual(self.record_types(), [Text, Score])

    async def test_call_is_sent_unchanged(self):
        await self.submit()
        await self.run_shard()
        await self.sample()
        ((_, call),) = self.client.calls
        self.assertEqual(
            (call.request_id, call.method, call.path, call.body, call.headers),
            ("r0", "POST", "/score/0", b"score 0", [("Host", "score.example")]),
        )

    async def test_text_is_not_scored_before_it_is_logged(self):
        """Guards against a score of a text that is not in the log."""
        self.outbox.held = True
        await self.submit()
        await self.run_shard()
        await self.until(lambda: self.record_types() == [Text])
        for _ in range(20):
            await asyncio.sleep(0.01)
        self.assertEqual(self.client.calls, [])
        self.outbox.held = False
        self.outbox.fold(encode(self.outbox.records[0]))
        self.assertEqual((await self.sample()).score, "stamp r0")

    async def test_next_runner_does_not_regenerate_a_logged_text(self):
        """Guards against a logged text that is generated again."""
        await self.submit()
        self.outbox.fold(encode(Text("s1", "i0", "kept", [1])))
        await self.run_shard()
        self.assertEqual((await self.sample()).text, "kept")
        self.assertEqual(self.client.sent, [])

    async def test_first_text_counts_while_another_is_generated(self):
        """Guards against a later text that replaces the one that was scored."""
        self.client.script = [([(0, "other", 1)], ScriptedClient.HANG)]
        await self.submit()
        await self.run_shard()
        await self.until(lambda: self.client.sent)
        self.outbox.fold(encode(Text("s1", "i0", "first", [1])))
        self.outbox.fold(encode(Text("s1", "i0", "second", [1])))
        self.assertEqual((await self.sample()).text, "first")
        await self.until(lambda: self.client.cancelled == 1)

    async def test_item_is_errored_after_allowed_failed_calls(self):
        self.client.answers = [FAILED] * 9
        await self.submit()
        await self.run_shard()
        sample = await self.sample()
        self.assertEqual((sample.state, sample.text, sample.score), (ERRORED, "", ""))
        failures = self.record_types().count(RewardFailure)
        self.assertEqual(failures, len(self.client.calls))
        # The last round of tries may exceed the limit by one: two replicas are called.
        self.assertIn(failures, (3, 4))

    async def test_failures_of_a_previous_runner_count(self):
        """Guards against failed reward calls counted in one runner's memory only."""
        self.client.answers = [FAILED] * 9
        await self.submit()
        self.outbox.fold(encode(Text("s1", "i0", "kept", [1])))
        for _ in range(2):
            self.outbox.fold(encode(RewardFailure("s1", "i0")))
        await self.run_shard()
        self.assertEqual((await self.sample()).state, ERRORED)
        self.assertLessEqual(len(self.client.calls), 3)

    async def test_refusals_lost_and_unsigned_answers_do_not_count_as_failures(self):
        """Guards against refused or lost reward calls counted as failures."""
        self.client.answers = [
            *[NotRun("full", 0.1)] * 6,
            *[Broken("cut", began=True)] * 4,
            Answer(200, [], b"", ""),
        ]
        await self.submit()
        await self.run_shard()
        sample = await self.sample()
        self.assertEqual((sample.state, sample.score), (COMPLETED, "stamp r0"))
        self.assertNotIn(RewardFailure, self.record_types())

    async def test_call_is_sent_again_after_crashes_of_its_replicas(self):
        """Guards against owed reward calls that are refused as causes of crashes."""
        crashes = 6
        self.replicas = add_scorers(replicas(), 2 * crashes)
        self.client.answers = [Broken("cut", began=True)] * crashes
        self.client.try_connect = refuse_connection
        await self.submit()
        await self.run_shard()
        sample = await self.sample()
        self.assertEqual((sample.state, sample.score), (COMPLETED, "stamp r0"))
        self.assertEqual(len(self.client.calls), crashes + 1)

    async def test_ending_a_step_cancels_its_calls(self):
        self.client.answers = [ScriptedClient.HANG] * 9
        await self.submit(items=2)
        await self.run_shard()
        await self.until(lambda: len(self.client.calls) >= 2)
        self.outbox.fold(encode(End("s1")))
        await self.until(lambda: self.client.cancelled >= 2)
        sent = len(self.client.calls)
        for _ in range(20):
            await asyncio.sleep(0.01)
        self.assertEqual(len(self.client.calls), sent)
        self.assertEqual(self.listed, [])

    async def test_call_without_a_route_waits_for_one(self):
        self.routes = routes_in_force()
        await self.submit()
        await self.run_shard()
        await self.until(lambda: self.record_types() == [Text])
        self.assertEqual(self.client.calls, [])
        current = self.routes.current
        newer = routes_in_force(route(), reward_route(), version=current.version + 1)
        self.routes.take(newer.current)
        self.assertEqual((await self.sample()).score, "stamp r0")

    async def test_call_is_repeated_after_attempts_that_were_raised(self):
        """Guards against items errored by the fewer attempts of older routes."""
        read_at = now()
        self.routes = RoutesInForce(read_at=lambda: read_at)
        old = [route(attempts=1), reward_route(attempts=1)]
        self.routes.take(routes_in_force(*old).current)
        self.client.answers = [FAILED]
        await self.submit()
        await self.run_shard()
        await self.until(lambda: RewardFailure in self.record_types())
        await asyncio.sleep(0.3)
        self.assertEqual((self.listed, len(self.client.calls)), ([], 1))
        new = routes_in_force(route(), reward_route(), version=2)
        self.routes.take(new.current)
        self.assertEqual((await self.sample()).state, COMPLETED)

    async def test_item_is_errored_after_its_retention(self):
        self.routes = routes_in_force(route(keep_for=0.3))
        await self.submit()
        await self.run_shard()
        self.assertEqual((await self.sample()).state, ERRORED)


class OldRecordTest(unittest.TestCase):
    def test_step_without_reward_calls_is_readable(self):
        (data,) = records.encode_step(spec(), 10_000)
        part = records.decode(data)
        step = records.unpack_step([part.piece])
        self.assertEqual([item.reward for item in step.items], [None, None])

    def test_rows_of_an_earlier_version_have_no_reward_call(self):
        row = ["i", "/p", {}, "", 1, 0, "g"]
        self.assertIsNone(records._decode_item(row, "m").reward)

    def test_reward_call_round_trip(self):
        (data,) = records.encode_step(spec(rewarded=True), 10_000)
        step = records.unpack_step([records.decode(data).piece])
        reward = step.items[1].reward
        self.assertEqual(
            (reward.call_id, reward.host, reward.path, reward.body),
            ("r1", "score.example", "/score/1", b"score 1"),
        )
