"""Tests of running items: placement, resumption, migration and failures."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from sassafrasdoor.backends.interface import Broken, Refused
from sassafrasdoor.backends.replicas import SampleFailed, WrongReplica
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.routing import placement, silence
from sassafrasdoor.routing.replicas import Listing
from sassafrasdoor.steps.durable import records, runner as module
from sassafrasdoor.steps.durable.records import COMPLETED, ERRORED
from sassafrasdoor.steps.durable.runner import Runner
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import (
    MODEL,
    PREFIX,
    ScriptedClient,
    replicas,
    route,
    routes_in_force,
    spec,
)
from sassafrasdoor.table.routes import RoutesInForce

BROKEN = Broken("connection lost", began=True)


async def refuse_connection(replica):
    return Refused("nobody listens")


class Outbox:
    """Collects the records that a runner writes."""

    def __init__(self):
        self.records = []

    def put(self, data):
        self.records.append(records.decode(data))

    @property
    def samples(self):
        return [record for record in self.records if isinstance(record, records.Sample)]


class RunnerTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        # Hanging streams must not time out while a test waits.
        for target, name in (
            (module, "FIRST_EVENT_TIMEOUT"),
            (placement, "UNRESPONSIVE_AFTER"),
        ):
            self.addCleanup(setattr, target, name, getattr(target, name))
            setattr(target, name, 1000.0)

    async def start(self, client, replica_set=None, routes=None, settings=None, **step):
        self.client = client
        self.outbox = Outbox()
        self.steps = Steps()
        self.replicas = replica_set or replicas()
        self.runner = Runner(
            client,
            self.replicas,
            routes or routes_in_force(),
            self.steps,
            [self.outbox],
            settings=settings,
        )
        for offset, data in enumerate(records.encode_step(spec(**step), 10_000)):
            self.steps.fold(0, offset, data)
        self.runner.start_shard(0)
        task = asyncio.ensure_future(self.runner.run())
        self.addCleanup(task.cancel)

    async def until(self, condition):
        limit = deadline_in(20)
        while not condition():
            self.assertFalse(passed(limit), "condition not met within 20 s")
            await asyncio.sleep(0.005)

    async def samples(self, count):
        await self.until(lambda: len(self.outbox.samples) >= count)
        return self.outbox.samples

    async def test_items_become_samples(self):
        await self.start(ScriptedClient())
        samples = await self.samples(2)
        self.assertEqual({sample.item_id for sample in samples}, {"i0", "i1"})
        self.assertEqual({sample.state for sample in samples}, {COMPLETED})

    async def test_items_of_a_late_trainer_go_first(self):
        """Guards against a late trainer's items behind those that came before."""
        client = ScriptedClient(ScriptedClient.HANG)
        await self.start(client, replicas(slots=1), items=2)
        await self.until(lambda: client.sent)
        due = {"s1": 9.0, "late": 5.0}
        self.runner._trainers = mock.Mock(due_at=lambda step: due[step.spec.step_id])
        for data in records.encode_step(spec("late", items=1), 10_000):
            self.steps.fold(0, 3, data)
        jobs = self.runner._jobs
        jobs["s1", "i0"].task.cancel()
        self.runner._remove(jobs["s1", "i0"])
        await self.samples(2)
        finished = [sample.step_id for sample in self.outbox.samples]
        self.assertEqual(finished, ["late", "s1"])

    async def test_broken_stream_resumes_after_its_last_event(self):
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

    async def test_mixed_sample_is_regenerated_on_a_single_version_route(self):
        mixed = [(0, "a", 1), (1, "b", 2)]
        await self.start(
            ScriptedClient(mixed, [(0, "c", 2)]),
            routes=routes_in_force(route(one_version=True)),
            items=1,
        )
        (sample,) = await self.samples(1)
        self.assertEqual((sample.text, sample.versions), ("c", [2]))

    async def test_item_is_errored_after_allowed_attempts(self):
        failed = SampleFailed("status 500", final=False)
        await self.start(ScriptedClient(failed, failed, failed), replicas(3), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, ERRORED)
        self.assertEqual(len(self.client.sent), 3)
        record_types = [type(record) for record in self.outbox.records]
        self.assertEqual(
            record_types, [records.Failure, records.Failure, records.Sample]
        )

    async def test_failures_of_a_previous_runner_count(self):
        """Guards against failures counted in one runner's memory only."""
        failed = SampleFailed("status 500", final=False)
        await self.start(ScriptedClient(failed), items=1, step_id="s1")
        self.steps.by_id["s1"].failed_attempts["i0"] = {"t1", "t2"}
        self.runner.stop_shard(0)
        self.client.script = [failed]
        self.client.sent.clear()
        self.outbox.records.clear()
        self.runner.start_shard(0)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, len(self.client.sent)), (ERRORED, 1))

    async def test_final_failure_is_not_retried(self):
        final = SampleFailed("status 422", final=True)
        await self.start(ScriptedClient(final), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, len(self.client.sent)), (ERRORED, 1))

    async def test_refusals_do_not_count_as_failures(self):
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

    async def test_item_waits_for_a_configuration(self):
        """Guards against a runner that fails without a configuration."""
        routes = RoutesInForce()
        await self.start(ScriptedClient(), routes=routes, items=1)
        await asyncio.sleep(3 * module.DISPATCH_INTERVAL)
        self.assertEqual(self.client.sent, [])
        routes.take(routes_in_force().current)
        await self.samples(1)

    async def test_step_on_a_route_that_is_not_read_yet_is_run(self):
        """Guards against a whole step errored by a runner with older routes."""
        read_at, reads = now(), []
        new = route(prefix="/new/")
        routes = RoutesInForce(
            read_at=lambda: read_at, request_read=lambda: reads.append(now())
        )
        routes.take(routes_in_force(new).current)
        await self.start(ScriptedClient(), routes=routes)
        await self.until(lambda: len(reads) >= 4)
        self.assertEqual((self.outbox.samples, self.client.sent), ([], []))
        routes.take(routes_in_force(route(), new, version=2).current)
        samples = await self.samples(2)
        self.assertEqual({sample.state for sample in samples}, {COMPLETED})

    async def start_with_old_routes(self, client, old, *replica_set, **step):
        """Start with routes that were read before the step; return them."""
        read_at = now()
        routes = RoutesInForce(read_at=lambda: read_at)
        routes.take(routes_in_force(old).current)
        await self.start(client, *replica_set, routes=routes, items=1, **step)
        return routes

    async def test_item_is_not_given_up_after_a_retention_that_was_raised(self):
        """Guards against items errored by the shorter retention of older routes."""
        routes = await self.start_with_old_routes(
            ScriptedClient([(0, "x", 2)]), route(keep_for=0.2), min_version=2
        )
        await self.until(lambda: self.runner._jobs["s1", "i0"].pending_end)
        self.assertEqual(self.outbox.samples, [])
        routes.take(routes_in_force(version=2).current)
        self.replicas.get("e0").record_version(MODEL, 2)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, COMPLETED)

    async def test_item_is_not_failed_after_attempts_that_were_raised(self):
        """Guards against items errored by the fewer attempts of older routes."""
        client = ScriptedClient(SampleFailed("status 500", final=False))
        routes = await self.start_with_old_routes(client, route(attempts=1))
        await self.until(lambda: self.runner._jobs["s1", "i0"].pending_end)
        await asyncio.sleep(3 * module.DISPATCH_INTERVAL)
        self.assertEqual([type(one) for one in self.outbox.records], [records.Failure])
        self.assertEqual(len(client.sent), 1)
        routes.take(routes_in_force(version=2).current)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, len(client.sent)), (COMPLETED, 2))

    async def test_mixed_sample_waits_for_routes_that_may_forbid_it(self):
        """Guards against mixed versions on a route that is not read yet.

        The item's path has a route already, and a longer one that allows one version.
        """
        mixed = [(0, "a", 1), (1, "b", 2)]
        client = ScriptedClient(mixed, [(0, "c", 2)])
        routes = await self.start_with_old_routes(client, route())
        await asyncio.sleep(3 * module.DISPATCH_INTERVAL)
        self.assertEqual((self.outbox.samples, len(client.sent)), ([], 1))
        longer = route(prefix=f"{PREFIX}0", one_version=True)
        routes.take(routes_in_force(route(), longer, version=2).current)
        routes._read_at = now
        (sample,) = await self.samples(1)
        self.assertEqual((sample.text, sample.versions), ("c", [2]))

    async def test_mixed_sample_is_listed_once_the_routes_are_read(self):
        """Guards against a complete sample that waits for newer routes for good."""
        mixed = [(0, "a", 1), (1, "b", 2)]
        routes = await self.start_with_old_routes(ScriptedClient(mixed), route())
        await asyncio.sleep(3 * module.DISPATCH_INTERVAL)
        self.assertEqual(self.outbox.samples, [])
        routes._read_at = now
        (sample,) = await self.samples(1)
        self.assertEqual((sample.text, sample.versions), ("a\nb", [1, 2]))

    async def test_item_is_failed_once_its_attempts_are_known_to_be_used_up(self):
        """Guards against a failing item that waits for newer routes for good."""
        read_at = now()
        routes = RoutesInForce(read_at=lambda: read_at)
        routes.take(routes_in_force(route(attempts=1)).current)
        client = ScriptedClient(SampleFailed("status 500", final=False))
        await self.start(client, routes=routes, items=1)
        await self.until(lambda: self.runner._jobs["s1", "i0"].pending_end)
        read_at = now()
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, len(client.sent)), (ERRORED, 1))

    async def test_attempts_lowered_later_end_no_item(self):
        """Guards against items errored for a failure that was allowed when it came."""
        failed = SampleFailed("status 500", final=False)
        client = ScriptedClient(failed, NotRun("full"))
        routes = routes_in_force()
        await self.start(client, routes=routes, items=1)
        await self.until(lambda: len(client.sent) == 2)
        routes.take(routes_in_force(route(attempts=1), version=2).current)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, COMPLETED)

    async def test_items_of_a_removed_route_end_once_the_routes_are_read(self):
        """Guards against items that wait for a removed route for good."""
        read_at = now()
        routes = RoutesInForce(read_at=lambda: read_at)
        routes.take(routes_in_force(route(prefix="/other/")).current)
        await self.start(ScriptedClient(), routes=routes)
        await self.until(lambda: self.runner._jobs["s1", "i0"].pending_end)
        self.assertEqual(self.outbox.samples, [])
        read_at = now()
        samples = await self.samples(2)
        self.assertEqual({sample.state for sample in samples}, {ERRORED})
        self.assertEqual(self.client.sent, [])

    async def test_item_that_waits_for_routes_delays_no_other(self):
        """Guards against a step on an unknown route that stops its model."""
        read_at = now()
        routes = RoutesInForce(read_at=lambda: read_at)
        routes.take(routes_in_force().current)
        await self.start(ScriptedClient(), routes=routes, items=1)
        await self.samples(1)
        unknown = spec("unknown", items=1)
        unknown.items[0].path = "/new/0"
        for step in (unknown, spec("known", items=1)):
            for data in records.encode_step(step, 10_000):
                self.steps.fold(0, 9, data)
        await self.samples(2)
        self.assertEqual([one.step_id for one in self.outbox.samples], ["s1", "known"])
        self.assertEqual(self.runner.queued_items(MODEL), 0)

    async def test_items_of_a_removed_route_are_errored(self):
        other = route(prefix="/other/")
        await self.start(ScriptedClient(), routes=routes_in_force(other), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.state, self.client.sent), (ERRORED, []))

    async def test_ending_a_step_cancels_its_streams(self):
        """Guards against streams that continue after their step has ended."""
        hang = ScriptedClient.HANG
        await self.start(ScriptedClient(([], hang), ([], hang)))
        await self.until(lambda: len(self.client.sent) == 2)
        self.steps.fold(0, 9, records.encode(records.End("s1")))
        await self.until(lambda: self.client.cancelled == 2)
        self.assertEqual(self.outbox.records, [])

    async def test_ended_step_sends_nothing_whatever_its_items_wait_for(self):
        """Guards against items of an ended step that are sent once more."""
        hang, mixed = ScriptedClient.HANG, ([(0, "a", 1), (1, "b", 2)], True)
        unread = routes_in_force(route(one_version=True))
        unread._read_at, unread._request_read = (lambda: None), (lambda: None)
        # state, script, slots, routes, sends until the item waits
        cases = [
            ("queued", [([], hang)], 1, None, 1),
            ("on its way", [([], hang), ([], hang)], 2, None, 2),
            ("failed once", [BROKEN, ([], hang), ([], hang)], 2, None, 3),
            ("refused", [NotRun("full", 0.1)] * 40, 2, None, 4),
            ("awaits newer routes", [mixed, mixed], 2, unread, 2),
        ]
        for state, script, slots, routes, sends in cases:
            with self.subTest(state):
                await self.start(ScriptedClient(*script), replicas(slots=slots), routes)
                await self.until(lambda sends=sends: len(self.client.sent) >= sends)
                await asyncio.sleep(0.05)
                self.steps.fold(0, 9, records.encode(records.End("s1")))
                sent = len(self.client.sent)
                await asyncio.sleep(4 * module.REFUSAL_DELAY)
                self.assertEqual(len(self.client.sent), sent)
                self.assertEqual(self.runner._jobs, {})
                self.assertEqual(self.outbox.samples, [])

    async def test_items_of_an_ended_step_run_in_the_step_that_repeats_them(self):
        """Guards against an end that also stops the same items of a later step."""
        hang = ScriptedClient.HANG
        await self.start(ScriptedClient(([], hang), ([], hang)))
        await self.until(lambda: len(self.client.sent) == 2)
        for data in records.encode_step(spec("s2"), 10_000):
            self.steps.fold(0, 8, data)
        self.steps.fold(0, 9, records.encode(records.End("s1")))
        await self.samples(2)
        self.assertEqual({one.step_id for one in self.outbox.samples}, {"s2"})

    async def test_losing_a_shard_cancels_its_streams(self):
        hang = ScriptedClient.HANG
        await self.start(ScriptedClient(([], hang)), items=1)
        await self.until(lambda: len(self.client.sent) == 1)
        self.runner.stop_shard(0)
        await self.until(lambda: self.client.cancelled == 1)

    async def test_silent_stream_resumes_at_another_replica(self):
        """Guards against a silent stream that blocks its item."""
        gap, module.GAP_TIMEOUT = module.GAP_TIMEOUT, 0.2
        self.addCleanup(setattr, module, "GAP_TIMEOUT", gap)
        silent = ([(0, "a", 1)], ScriptedClient.HANG)
        await self.start(ScriptedClient(silent, [(1, "b", 1)]), replicas(2), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.text, "a\nb")

    async def test_items_stay_while_all_replicas_are_silent(self):
        """Guards against items that run twice since everybody was silent at once."""
        for target, name, value in (
            (module, "GAP_TIMEOUT", 0.2),
            (silence, "MIN_SHARED_SILENCE", 0.05),
        ):
            self.addCleanup(setattr, target, name, getattr(target, name))
            setattr(target, name, value)
        silent = ([(0, "a", 1)], ScriptedClient.HANG)
        await self.start(ScriptedClient(silent, silent), replicas(2), items=2)
        await asyncio.sleep(1.6)
        self.assertEqual({name for name, _, _ in self.client.sent}, {"e0", "e1"})
        self.assertEqual(len(self.client.sent), 2)

    async def test_item_leaves_an_unresponsive_replica(self):
        placement.UNRESPONSIVE_AFTER = 0.2
        hanging = ([], ScriptedClient.HANG)
        await self.start(ScriptedClient(hanging), replicas(2), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.text, "text")
        self.assertNotEqual(self.client.sent[0][0], self.client.sent[1][0])

    async def test_sample_migrates_from_a_slow_replica(self):
        """Guards against samples that stay at a slow replica."""
        slow = ([(0, "a", 1)], ScriptedClient.HANG)
        replica_set = replicas(2)
        await self.start(ScriptedClient(slow, [(1, "b", 1)]), replica_set, items=1)
        await self.until(lambda: self.client.sent)
        origin, other = self.client.sent[0][0], {"e0": "e1", "e1": "e0"}
        replica_set.get(origin).event_interval = 0.2
        replica_set.get(other[origin]).event_interval = 0.05
        (sample,) = await self.samples(1)
        self.assertEqual(sample.text, "a\nb")
        sent = [(name, after) for name, _, after in self.client.sent]
        self.assertEqual(sent, [(origin, None), (other[origin], 0)])
        self.assertFalse(replica_set.get(origin).state.is_suspect)

    async def start_at_slower_replica(self, disabled=()):
        """Start one sample at a replica that takes 4 times as long as the other one."""
        slow = ([(0, "a", 1)], ScriptedClient.HANG)
        replica_set = replicas(2)
        settings = SimpleNamespace(disabled_parts=frozenset(disabled))
        client = ScriptedClient(slow, [(1, "b", 1)])
        await self.start(client, replica_set, settings=settings, items=1)
        await self.until(lambda: client.sent)
        origin = replica_set.get(client.sent[0][0])
        for replica in replica_set.of_service("engines"):
            replica.event_interval = 0.2 if replica is origin else 0.05
            replica.reports_pace = True
            for at in range(30):
                moment = now() - 9.0 + 0.25 * at
                replica.speed.record(replica.event_interval, 1.0, 1.0, moment)
        return origin

    async def test_sample_stays_at_a_replica_that_is_slower_for_good(self):
        """Guards against migrations between replicas of different lasting speed."""
        origin = await self.start_at_slower_replica()
        await asyncio.sleep(3 * module.DISPATCH_INTERVAL)
        self.assertEqual(len(self.client.sent), 1)
        for at in range(8):
            origin.speed.record(0.6, 1.0, 1.0, now() - 1.4 + 0.2 * at)
        (sample,) = await self.samples(1)
        self.assertEqual((sample.text, len(self.client.sent)), ("a\nb", 2))
        self.assertFalse(origin.state.is_suspect)  # it migrated, it did not fall silent

    async def test_ratio_decides_without_the_part_for_speeds(self):
        await self.start_at_slower_replica(disabled=["pace"])
        (sample,) = await self.samples(1)
        self.assertEqual((sample.text, len(self.client.sent)), ("a\nb", 2))

    async def test_attempt_that_has_not_started_is_not_migrated(self):
        """Guards against an item lost by cancelling an attempt that has not begun."""
        replica_set = replicas(2, slots=1)
        replica_set.get("e0").event_interval, replica_set.get("e1").event_interval = (
            0.2,
            0.04,
        )
        replica_set.get("e1").state.started()
        await self.start(ScriptedClient(), replica_set, items=1)
        self.runner._dispatch()
        replica_set.get("e1").state.finished()
        self.runner._migrate_slow_samples()
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, COMPLETED)
        self.assertEqual(
            [replica.load for replica in replica_set.of_service("engines")], [0, 0]
        )

    async def test_sample_does_not_migrate_to_a_slot_that_was_just_filled(self):
        """Guards against a sample that is cut and then waits for a slot."""
        hang = ([(0, "a", 1)], ScriptedClient.HANG)
        replica_set = replicas(2, slots=1)
        await self.start(ScriptedClient(hang, hang), replica_set, items=1)
        (job,) = self.runner._jobs.values()
        await self.until(lambda: job.last_event_at)
        for replica in replica_set.of_service("engines"):
            replica.event_interval = 0.2 if replica is job.replica else 0.05
        for data in records.encode_step(spec("s2", items=1), 10_000):
            self.steps.fold(0, 3, data)
        self.runner._dispatch()
        self.runner._migrate_slow_samples()
        self.assertEqual(job.abort_reason, "")

    async def test_items_wait_for_free_slots(self):
        hang = ScriptedClient.HANG
        script = [([], hang)] * 3
        await self.start(ScriptedClient(*script), replicas(1, slots=3), items=5)
        await self.until(lambda: len(self.client.sent) == 3)
        await asyncio.sleep(3 * module.DISPATCH_INTERVAL)
        self.assertEqual(len(self.client.sent), 3)

    async def test_items_are_placed_after_all_connections_broke(self):
        """Guards against owed items that find no replica though all is calm."""
        broken = 8
        client = ScriptedClient(*[BROKEN] * broken)
        with mock.patch.object(module, "SUSPECT_DURATION", 60.0):
            await self.start(client, replicas(2), items=broken)
            samples = await self.samples(broken)
        self.assertEqual({sample.state for sample in samples}, {COMPLETED})

    async def test_full_service_beside_one_with_room(self):
        """Guards against items that wait since those of another service found no slot."""
        other = "/other/"
        routes = routes_in_force(route(), route(prefix=other, services=[("others", 1)]))
        replica_set = replicas(1, slots=1)
        listing = Listing("others", "10.0.1.0:80", "zone-a", 4, False, {MODEL: 1})
        replica_set.update_listing("o0", listing)
        replica_set.get("e0").state.started()
        client = ScriptedClient()
        await self.start(client, replica_set, routes, items=2)
        step = spec("s2", items=2)
        for item in step.items:
            item.path = f"{other}{item.item_id}"
        for data in records.encode_step(step, 10_000):
            self.steps.fold(0, 3, data)
        samples = await self.samples(2)
        self.assertEqual({sample.step_id for sample in samples}, {"s2"})

    async def test_item_is_placed_again_at_once_after_crashes(self):
        """Guards against an owed item that waits since replicas crashed under it."""
        crashes = 11
        client = ScriptedClient(*[BROKEN] * crashes)
        client.try_connect = refuse_connection
        await self.start(client, replicas(crashes + 1), items=1)
        (sample,) = await self.samples(1)
        self.assertEqual(sample.state, COMPLETED)
        self.assertEqual(len(client.sent), crashes + 1)
