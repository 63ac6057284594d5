"""Running items: where they go, what is resumed, when they are given up."""

import asyncio
import unittest
from unittest import mock

from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.backends.replicas import SampleFailed, WrongReplica
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.routing import placement
from sassafrasdoor.steps.durable import records, runner as module
from sassafrasdoor.steps.durable.records import COMPLETED, ERRORED
from sassafrasdoor.steps.durable.runner import Runner
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import (
    MODEL,
    ScriptedClient,
    replicas,
    route,
    routes_in_force,
    spec,
)
from sassafrasdoor.table.routes import RoutesInForce

BROKEN = Broken("connection lost", began=True)


async def nobody_listens(replica):
    return Refused("nobody listens")


class Outbox:
    """Collects the records that a runner writes."""

    def __init__(self):
        self.records = []

    def put(self, data):
        self.records.append(records.decode(data))

    @property
    def samples(self):
        return [one for one in self.records if isinstance(one, records.Sample)]


class RunnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # A stream that nobody ends must not end by itself while a test waits.
        for where, name in (
            (module, "FIRST_EVENT_TIMEOUT"),
            (placement, "UNRESPONSIVE_AFTER"),
        ):
            self.addCleanup(setattr, where, name, getattr(where, name))
            setattr(where, name, 1000.0)

    async def start(self, client, found=None, routes=None, **step):
        self.client = client
        self.outbox = Outbox()
        self.steps = Steps()
        self.replicas = found or replicas()
        self.runner = Runner(
            client,
            self.replicas,
            routes or routes_in_force(),
            self.steps,
            [self.outbox],
        )
        for offset, data in enumerate(records.encode_step(spec(**step), 10_000)):
            self.steps.fold(0, offset, data)
        self.runner.own(0)
        task = asyncio.ensure_future(self.runner.run())
        self.addCleanup(task.cancel)

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition never came true")
            await asyncio.sleep(0.005)

    async def samples(self, count):
        await self.until(lambda: len(self.outbox.samples) >= count)
        return self.outbox.samples

    async def test_items_become_samples(self):
        await self.start(ScriptedClient())
        found = await self.samples(2)
        self.assertEqual({one.item_id for one in found}, {"i0", "i1"})
        self.assertEqual({one.state for one in found}, {COMPLETED})

    async def test_broken_stream_goes_on_after_its_last_event(self):
        """Guards against repeated or missing events in a resumed stream."""
        first = ([(0, "a", 1), (1, "b", 1)], BROKEN)
        await self.start(ScriptedClient(first, [(2, "c", 1)]), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.text, "a\nb\nc")
        self.assertEqual([after for _, _, after in self.client.sent], [None, 1])

    async def test_labels_name_every_version_of_the_text(self):
        first = ([(0, "a", 3)], BROKEN)
        await self.start(
            ScriptedClient(first, [(1, "b", 4)]), replicas(version=3), items=1
        )
        (sample,) = await self.samples(1)
        self.assertEqual(sample.versions, [3, 4])

    async def test_event_of_too_old_weights_is_not_listed(self):
        """Guards against an event of weights older than its step allows."""
        old = ([(0, "old", 1)], True)
        await self.start(
            ScriptedClient(old, [(0, "new", 2)]),
            replicas(2, version=2),
            items=1,
            min_version=2,
        )
        (sample,) = await self.samples(1)
        self.assertEqual((sample.text, sample.versions), ("new", [2]))
        self.assertNotEqual(self.client.sent[0][0], self.client.sent[1][0])

    async def test_one_version_is_kept_where_it_is_asked_for(self):
        mixed = [(0, "a", 1), (1, "b", 2)]
        await self.start(
            ScriptedClient(mixed, [(0, "c", 2)]),
            routes=routes_in_force(route(one_version=True)),
            items=1,
        )
        (sample,) = await self.samples(1)
        self.assertEqual((sample.text, sample.versions), ("c", [2]))

    async def test_failures_end_an_item_after_the_attempts_allowed(self):
        failed = SampleFailed("status 500", final=False)
        await self.start(ScriptedClient(failed, failed, failed), replicas(3), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, ERRORED)
        self.assertEqual(len(self.client.sent), 3)
        written = [type(one) for one in self.outbox.records]
        self.assertEqual(written, [records.Failure, records.Failure, records.Sample])

    async def test_failures_of_a_former_runner_count(self):
        """Guards against failures counted in one runner's memory only."""
        failed = SampleFailed("status 500", final=False)
        await self.start(ScriptedClient(failed), items=1, step_id="s1")
        self.steps.by_id["s1"].failed["i0"] = {"t1", "t2"}
        self.runner.disown(0)
        self.client.script = [failed]
        self.client.sent.clear()
        self.outbox.records.clear()
        self.runner.own(0)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, len(self.client.sent)), (ERRORED, 1))

    async def test_final_failure_is_not_tried_again(self):
        final = SampleFailed("status 422", final=True)
        await self.start(ScriptedClient(final), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, len(self.client.sent)), (ERRORED, 1))

    async def test_refusals_are_no_failures(self):
        """Guards against refusals during a load of weights counted as failures."""
        refused = [NotRun("loading")] * 2 + [WrongReplica("gone")] * 2
        await self.start(ScriptedClient(*refused), replicas(2), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, COMPLETED)

    async def test_item_waits_for_a_replica_with_new_enough_weights(self):
        await self.start(ScriptedClient(), items=1, min_version=2)
        await asyncio.sleep(0)
        self.assertEqual(self.client.sent, [])
        self.replicas.get("e0").record_version(MODEL, 2)
        self.client.script = [[(0, "x", 2)]]
        await self.samples(1)

    async def test_no_route_known_waits(self):
        """Guards against a runner that ends for want of a configuration."""
        routes = RoutesInForce()
        await self.start(ScriptedClient(), routes=routes, items=1)
        await asyncio.sleep(3 * module.TICK)
        self.assertEqual(self.client.sent, [])
        routes.take(routes_in_force().current)
        await self.samples(1)

    async def test_removed_route_ends_its_items(self):
        other = route(prefix="/other/")
        await self.start(ScriptedClient(), routes=routes_in_force(other), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, self.client.sent), (ERRORED, []))

    async def test_end_of_a_step_ends_its_streams(self):
        """Guards against streams that go on after their step has ended."""
        hang = ScriptedClient.HANG
        await self.start(ScriptedClient(([], hang), ([], hang)))
        await self.until(lambda: len(self.client.sent) == 2)
        self.steps.fold(0, 9, records.encode(records.End("s1")))
        await self.until(lambda: self.client.cancelled == 2)
        self.assertEqual(self.outbox.records, [])

    async def test_lost_shard_ends_its_streams(self):
        hang = ScriptedClient.HANG
        await self.start(ScriptedClient(([], hang)), items=1)
        await self.until(lambda: len(self.client.sent) == 1)
        self.runner.disown(0)
        await self.until(lambda: self.client.cancelled == 1)

    async def test_silent_stream_goes_on_elsewhere(self):
        """Guards against a silent stream that holds its item."""
        gap, module.GAP_TIMEOUT = module.GAP_TIMEOUT, 0.2
        self.addCleanup(setattr, module, "GAP_TIMEOUT", gap)
        silent = ([(0, "a", 1)], ScriptedClient.HANG)
        await self.start(ScriptedClient(silent, [(1, "b", 1)]), replicas(2), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.text, "a\nb")

    async def test_item_at_a_dark_replica_goes_elsewhere(self):
        placement.UNRESPONSIVE_AFTER = 0.2
        dark = ([], ScriptedClient.HANG)
        await self.start(ScriptedClient(dark), replicas(2), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.text, "text")
        self.assertNotEqual(self.client.sent[0][0], self.client.sent[1][0])

    async def test_sample_moves_away_from_a_slow_replica(self):
        """Guards against samples that stay at a slow replica."""
        slow = ([(0, "a", 1)], ScriptedClient.HANG)
        found = replicas(2)
        await self.start(ScriptedClient(slow, [(1, "b", 1)]), found, items=1)
        await self.until(lambda: self.client.sent)
        begun, other = self.client.sent[0][0], {"e0": "e1", "e1": "e0"}
        found.get(begun).pace = 0.2
        found.get(other[begun]).pace = 0.05
        (sample,) = await self.samples(1)
        self.assertEqual(sample.text, "a\nb")
        sent = [(name, after) for name, _, after in self.client.sent]
        self.assertEqual(sent, [(begun, None), (other[begun], 0)])
        self.assertFalse(found.get(begun).state.is_suspect)

    async def test_item_that_is_placed_is_not_moved_before_it_has_begun(self):
        """Guards against an item lost by cancelling an attempt that has not begun."""
        found = replicas(2, slots=1)
        found.get("e0").pace, found.get("e1").pace = 0.2, 0.04
        found.get("e1").state.started()
        await self.start(ScriptedClient(), found, items=1)
        self.runner._dispatch()
        found.get("e1").state.finished()
        self.runner._move_slow()
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, COMPLETED)
        self.assertEqual([one.load for one in found.of_service("engines")], [0, 0])

    async def test_items_wait_for_places(self):
        hang = ScriptedClient.HANG
        script = [([], hang)] * 3
        await self.start(ScriptedClient(*script), replicas(1, slots=3), items=5)
        await self.until(lambda: len(self.client.sent) == 3)
        await asyncio.sleep(3 * module.TICK)
        self.assertEqual(len(self.client.sent), 3)

    async def test_item_that_crashes_replicas_is_held_between_attempts(self):
        """One item takes down replica after replica, as fast as they come."""
        client = ScriptedClient(*[BROKEN] * 6)
        client.reach = nobody_listens
        await self.start(client, replicas(8), items=1)
        await self.until(lambda: len(client.sent) >= 3)
        await asyncio.sleep(1.0)
        # The crash that tells may be known only after the next attempt has begun.
        self.assertLessEqual(len(client.sent), 4)
        with mock.patch.object(module, "HELD_FOR", 0.0):
            await self.samples(1)
        self.assertEqual(self.outbox.samples[0].state, COMPLETED)
