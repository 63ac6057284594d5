"""Tests of the instance registry: lapses, forwarding, entry points, reserve."""

import asyncio
import json
import unittest
from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.clock import LONG_AGO, deadline_in, now
from sassafrasdoor.log import tail
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import keyed_record, split_keyed
from sassafrasdoor.log.tail import Outage
from sassafrasdoor.routing import instance_view, instances as module
from sassafrasdoor.routing.instances import Instances


def make_instance(log, name, zone, cores=1.0):
    location = {"name": name, "availability_zone": zone}
    configuration = settings.from_document({"instance": location})
    return Instances(configuration, log, f"{name}:80", f"{name}:80", cores)


class InstancesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = MemoryPartitionedLog()
        self.instances = [
            make_instance(self.log, f"i{at}", "ab"[at % 2]) for at in range(5)
        ]
        for instance in self.instances:
            await instance._write(instance._document())
        await self.read()

    async def read(self):
        for instance in self.instances:
            await instance.tail.poll(0)
            await instance.tail.poll(0)

    async def test_callers_stay_in_their_zone_where_it_has_enough(self):
        self.assertEqual(set(self.instances[0].addresses("b")), {"i1:80", "i3:80"})

    async def test_load_reports_go_to_the_other_entry_points(self):
        """Guards against reports to this instance, or from one that is no entry point."""
        near, far = self.instances[0].other_entry_points
        self.assertEqual(
            (set(near), set(far)), ({"i2:80", "i4:80"}, {"i1:80", "i3:80"})
        )
        self.assertEqual(len(self.instances[0].zone_entry_points), 3)
        await self.instances[0].leave()
        self.assertEqual(self.instances[0].other_entry_points, ([], []))

    async def test_callers_of_a_small_zone_are_sent_to_all_zones(self):
        self.assertEqual(len(self.instances[0].addresses("c")), 5)

    async def test_leaving_instance_is_not_returned_to_callers(self):
        await self.instances[1].leave()
        await self.read()
        self.assertNotIn("i1:80", self.instances[0].addresses("c"))

    async def test_deletion_that_the_log_refuses_is_tried_again(self):
        """Guards against callers sent to an instance that has ended in an outage."""
        self.log.down = True
        leaving = asyncio.ensure_future(self.instances[1].leave())
        self.addCleanup(leaving.cancel)
        await asyncio.sleep(0.05)
        self.log.down = False
        async with asyncio.timeout(10):
            await leaving
        await self.read()
        self.assertNotIn("i1:80", self.instances[0].addresses("c"))

    async def test_renewal_that_lands_after_the_deletion_is_deleted(self):
        """Guards against callers sent to an instance until its late record lapses."""
        left = self.instances[1]
        self.log.lose_replies, self.log.land_late = 1, 0.05
        left._renewal_deadline = LONG_AGO
        renewing = asyncio.ensure_future(left.renew(lambda: not left._leaving))
        self.addCleanup(renewing.cancel)
        await asyncio.sleep(0)
        await left.leave()
        await asyncio.sleep(0.1)
        await self.read()
        self.assertIn("i1:80", self.instances[0].addresses("c"))
        async with asyncio.timeout(10):
            # The addresses would lack it too once the record has lapsed.
            while "i1:80" in self.instances[0]._records:
                await asyncio.sleep(0.05)
                await self.read()

    async def test_instance_that_stopped_renewing_is_left_out(self):
        self.instances[0]._records["i1:80"].renewed_at = LONG_AGO
        self.assertNotIn("i1:80", self.instances[0].addresses("c"))

    async def test_no_record_lapses_while_the_log_is_unreachable(self):
        """Guards against callers sent to one instance or none in a long log outage.

        Records were treated as lapsed although none could be renewed.
        """
        tail = self.instances[0].tail
        for record in self.instances[0]._records.values():
            record.renewed_at = now() - instance_view.LAPSE_TIMEOUT + 0.5
        tail.failing_since = now()
        await asyncio.sleep(0.6)
        others = {"i1:80", "i2:80", "i3:80", "i4:80"}
        self.assertLessEqual(others, set(self.instances[0].addresses("c")))
        tail.failing_since = None
        tail.last_outage = Outage(now() - 1.2, now())
        self.assertEqual(len(self.instances[0].addresses("c")), 5)

    async def test_no_record_lapses_before_an_outage_is_detected(self):
        """Guards against needless new entry points at the start of a log outage."""
        tail, peers = self.instances[0].tail, {f"i{at}:80" for at in range(1, 5)}
        tail.end_reached_at = now() - 2.0
        for record in self.instances[0]._records.values():
            record.renewed_at = tail.end_reached_at - instance_view.LAPSE_TIMEOUT + 0.5
        for tail.failing_since in (None, now()):
            self.instances[0]._view = None
            self.assertLessEqual(peers, set(self.instances[0].addresses("c")))
        tail.failing_since = None
        await tail.poll(0)
        self.instances[0]._view = None
        self.assertFalse(peers & set(self.instances[0].addresses("c")))

    async def test_partial_read_after_an_outage_lapses_no_record(self):
        """Guards against peers that lapse by the first of several answers after an outage."""
        tail, peers = self.instances[0].tail, {f"i{at}:80" for at in range(1, 5)}
        for record in self.instances[0]._records.values():
            record.renewed_at = tail.end_reached_at - instance_view.LAPSE_TIMEOUT + 0.1
        for instance in self.instances:
            await instance._write(instance._document())
        await asyncio.sleep(0.2)
        tail.failing_since = now()
        await tail.poll(0)
        tail.last_outage = None
        self.instances[0]._view = None
        self.assertLessEqual(peers, set(self.instances[0].addresses("c")))

    async def test_answer_that_waited_during_a_pause_lapses_no_record(self):
        """Guards against an instance that after a pause takes all others for gone."""
        first, pause = self.instances[0], 10.0
        read, offset = first._log.read, [0.0]

        async def read_before_a_pause(*arguments):
            result = await read(*arguments)
            offset[0] = pause
            return result

        with (
            mock.patch.object(first._log, "read", read_before_a_pause),
            mock.patch.object(tail, "now", lambda: now() + offset[0]),
        ):
            await first.tail.poll(0)
        self.assertEqual(first.alive_count, 5)

    async def test_end_of_an_outage_does_not_restore_lapsed_records(self):
        """Guards against callers sent to an instance that ended a minute ago.

        After a single lost read of the list, every instance ever listed counted as alive
        for three seconds.
        """
        tail = self.instances[0].tail
        self.instances[0]._records["i1:80"].renewed_at = now() - 60.0
        self.assertNotIn("i1:80", self.instances[0].addresses("c"))
        tail.last_outage = Outage(now() - 2.0, now())
        tail.restored_at = tail.last_outage.until
        self.instances[0]._view = None
        self.assertNotIn("i1:80", self.instances[0].addresses("c"))

    async def test_instance_that_is_cut_off_sends_callers_elsewhere(self):
        """Guards against a trainer that stalls at an instance without access to the log.

        Cut off from the log but not from callers, it still returned its own address, as
        its failing reads were not considered.
        """
        self.instances[0].tail.failing_since = now() - module.READ_FAILURE_TIMEOUT - 0.1
        self.assertNotIn("i0:80", self.instances[0].addresses("c"))
        self.assertNotIn("i0:80", self.instances[0].addresses("a"))

    async def test_all_agree_on_one_ranking(self):
        ranks = sorted(instance.rank("x") for instance in self.instances)
        self.assertEqual(ranks, [0, 1, 2, 3, 4])

    async def test_calls_after_startup_are_forwarded_to_the_first_ranked_of_a_zone(
        self,
    ):
        """Guards against reads refused for seconds after a restart of all instances.

        One instance of a zone reads the steps first, but the others forwarded reads to a
        random peer, which had not read them either.
        """
        saved, module.MAX_SHUFFLED_ENTRY_POINTS = module.MAX_SHUFFLED_ENTRY_POINTS, 0
        self.addCleanup(setattr, module, "MAX_SHUFFLED_ENTRY_POINTS", saved)
        zones = {"a": [0, 2, 4], "b": [1, 3]}
        for members in zones.values():
            first = min(members, key=lambda at: self.instances[at].rank("shards"))
            for at in set(members) - {first}:
                self.assertEqual(self.instances[at].peers()[0], f"i{first}:80")

    async def publish_has_read(self, *ats):
        for at in ats:
            self.instances[at].has_read = True
            await self.instances[at]._write(self.instances[at]._document())
        await self.read()

    async def test_calls_are_forwarded_to_readers(self):
        """Guards against forwarding to peers without the steps although one has them."""
        await self.publish_has_read(1)
        for at in (0, 2, 3, 4):
            for _ in range(5):
                self.assertEqual(self.instances[at].reader_candidates(3), ["i1:80"])

    async def test_excluded_reader_is_replaced_by_another_peer(self):
        """Guards against calls that end at a reader which is no longer reachable."""
        await self.publish_has_read(1)
        for _ in range(5):
            (candidate,) = self.instances[0].reader_candidates(3, ["i1:80"])
            self.assertIn(candidate, {"i2:80", "i3:80", "i4:80"})
        everyone = [f"i{at}:80" for at in range(5)]
        self.assertEqual(self.instances[0].reader_candidates(3, everyone), [])

    async def test_calls_are_forwarded_to_another_zone_too(self):
        """Guards against refusals in a zone whose instances all lag."""
        await self.publish_has_read(1, 2, 3, 4)
        for _ in range(5):
            near, far, *rest = self.instances[0].reader_candidates(3)
            self.assertIn(near, ("i2:80", "i4:80"))
            self.assertIn(far, ("i1:80", "i3:80"))
            self.assertEqual(len(rest), 1)

    async def test_control_addresses_of_lapsed_records_are_kept(self):
        """Guards against a cut-off instance that forgets whom it could ask."""
        instance = self.instances[0]
        for peer in instance._records.values():
            peer.control = peer.address.replace(":80", ":81")
        self.assertEqual(instance.lapsed_control_addresses(), [])
        for name in ("i0:80", "i1:80", "i2:80"):
            instance._records[name].renewed_at = LONG_AGO
        instance._view = None
        self.assertCountEqual(instance.lapsed_control_addresses(), ["i1:81", "i2:81"])
        self.assertCountEqual(instance.peer_control_addresses(), ["i3:81", "i4:81"])

    async def test_reserve_instance_that_has_read_is_a_reader_candidate(self):
        """Guards against a sole known reader that is never asked."""
        self.instances[1].in_reserve = True
        await self.publish_has_read(1)
        self.assertNotIn("i1:80", self.instances[0].peers())
        self.assertEqual(self.instances[0].reader_candidates(3), ["i1:80"])

    async def test_submissions_are_not_all_forwarded_to_the_only_reader(self):
        """Guards against retries that all reach the same instance."""
        await self.publish_has_read(1)
        firsts = {self.instances[0].peers()[0] for _ in range(50)}
        self.assertEqual(firsts, {"i2:80", "i4:80"})

    async def test_calls_are_not_multiplied_while_there_is_no_reader(self):
        """Guards against three calls for each one after a start of all instances."""
        self.assertEqual(len(self.instances[0].reader_candidates(3)), 1)
        await self.publish_has_read(1, 2, 3)
        self.assertEqual(len(self.instances[0].reader_candidates(3)), 3)

    async def test_has_read_of_records_from_before_startup_is_ignored(self):
        """Guards against use of records from before a restart of all instances."""
        await self.publish_has_read(0, 1, 2, 3, 4)
        started = make_instance(self.log, "i4", "a")
        await started.tail.poll(0)
        self.assertEqual(len(started.reader_candidates(3)), 1)
        self.assertEqual(started.unread_entry_points_before("x"), started.rank("x"))
        document = json.loads(self.instances[2]._document())
        record = keyed_record("i2:80", json.dumps({**document, "read": False}).encode())
        await self.log.append(module.TOPIC, 0, [record], deadline_in(1))
        await started.tail.poll(0)
        asked = {started.reader_candidates(3)[0] for _ in range(30)}
        self.assertEqual(asked, {"i0:80"})
        await self.publish_has_read(1)
        await started.tail.poll(0)
        self.assertEqual(started.reader_candidates(3), ["i1:80"])

    async def test_readers_do_not_count_as_unread(self):
        """Guards against a restarted instance that waits for finished readers."""
        by_rank = sorted(self.instances, key=lambda instance: instance.rank("x"))
        for instance in self.instances:
            await instance._write(instance._document())
        await self.read()
        self.assertEqual(
            [instance.unread_entry_points_before("x") for instance in by_rank],
            [0, 1, 2, 3, 4],
        )
        await self.publish_has_read(
            self.instances.index(by_rank[0]), self.instances.index(by_rank[2])
        )
        self.assertEqual(
            [instance.unread_entry_points_before("x") for instance in by_rank],
            [0, 0, 1, 1, 2],
        )

    async def test_instances_that_do_not_renew_do_not_count_as_unread(self):
        """Guards against waits for instances without power."""
        by_rank = sorted(self.instances, key=lambda instance: instance.rank("x"))
        last = by_rank[-1]
        for record in last._records.values():
            record.is_renewed = False
        self.assertEqual(last.unread_entry_points_before("x"), 4)
        last._first_renewal_deadline = LONG_AGO
        self.assertEqual(last.unread_entry_points_before("x"), 0)

    async def test_records_of_earlier_versions_do_not_count_as_unread(self):
        """Guards against an upgrade that waits for instances without the field."""
        by_rank = sorted(self.instances, key=lambda instance: instance.rank("x"))
        first = by_rank[0]
        document = json.loads(first._document())
        del document["read"]
        await first._write(json.dumps(document).encode())
        await self.read()
        self.assertEqual(by_rank[1].unread_entry_points_before("x"), 0)

    async def test_change_of_has_read_is_published_at_once(self):
        """Guards against callers refused until the next renewal."""
        instance = self.instances[0]
        task = asyncio.ensure_future(instance.renew(lambda: True))
        self.addCleanup(task.cancel)
        records = self.log.partition(module.TOPIC, 0).records
        written = len(records)
        while len(records) == written:  # noqa: ASYNC110
            await asyncio.sleep(0)
        for value in (True, False):
            written, instance.has_read = len(records), value
            async with asyncio.timeout(module.RENEW_INTERVAL / 2):
                while len(records) == written:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            document = json.loads(split_keyed(records[-1])[1])
            self.assertIs(document["read"], value)

    async def test_process_is_listed_as_soon_as_it_is_ready(self):
        """Guards against an idle second after a restart of all processes.

        They have read the steps after a third of a second and claim work once listed, but
        a process not ready at first checked again only after a whole renewal interval.
        """
        interval, module.RENEW_INTERVAL = module.RENEW_INTERVAL, 1000.0
        self.addCleanup(setattr, module, "RENEW_INTERVAL", interval)
        instance, checks = self.instances[0], []
        instance.is_listed = False

        def is_ready():
            checks.append(now())
            return len(checks) > 2

        renewing = asyncio.ensure_future(instance.renew(is_ready))
        self.addCleanup(renewing.cancel)
        deadline = now() + 20
        while not instance.is_listed:
            self.assertLess(now(), deadline)
            await asyncio.sleep(0.01)

    async def test_list_may_change_within_one_call(self):
        """Guards against a trainer's call that fails with an internal error after a start.

        The peers were taken from one view and sorted by the next, in which one of them
        had lapsed; the view is rebuilt every fifth of a second.
        """
        saved_limit, module.MAX_SHUFFLED_ENTRY_POINTS = (
            module.MAX_SHUFFLED_ENTRY_POINTS,
            0,
        )
        self.addCleanup(setattr, module, "MAX_SHUFFLED_ENTRY_POINTS", saved_limit)
        saved_lifetime, instance_view.VIEW_LIFETIME = instance_view.VIEW_LIFETIME, 0.0
        self.addCleanup(setattr, instance_view, "VIEW_LIFETIME", saved_lifetime)
        instance = self.instances[0]
        alive = [True] * 4 + [False] * 100
        with mock.patch.object(Instances, "_is_alive", lambda _, record: alive.pop(0)):
            self.assertEqual(len(instance.peers()), 3)
        alive = [True] * 5 + [False] * 100
        with mock.patch.object(Instances, "_is_alive", lambda _, record: alive.pop(0)):
            self.assertLessEqual(instance.unread_entry_points_before("shards"), 3)

    async def test_process_has_ended_once_its_instance_lists_another_process(self):
        """Guards against a running process taken for ended, and the reverse.

        A list read before the last sign of a process says nothing about its end.
        """
        old, reader = self.instances[0], self.instances[1]
        old._process = "i0:80/first"
        await old._write(old._document())
        await self.read()
        heard_at = now()
        self.assertFalse(reader.has_ended("i0:80", "i0:80/second", heard_at))
        self.assertFalse(reader.has_ended("i0:80", "i0:80/first", LONG_AGO))
        old._process = "i0:80/second"
        await old._write(old._document())
        self.assertFalse(reader.has_ended("i0:80", "i0:80/first", heard_at))
        await self.read()
        self.assertTrue(reader.has_ended("i0:80", "i0:80/first", heard_at))
        self.assertFalse(reader.has_ended("i0:80", "i0:80/second", heard_at))
        self.assertFalse(reader.has_ended("elsewhere:80", "x", heard_at))

    async def test_started_instance_checks_for_restarts_of_others(self):
        """Guards against duties that wait for the next read of the list during startup."""
        old, reader = self.instances[0], self.instances[1]
        old._process = "i0:80/first"
        await old._write(old._document())
        await self.read()
        old._process = "i0:80/second"
        await old._write(old._document())
        deadline = now() + 20
        while not reader.has_ended("i0:80", "i0:80/first", reader.tail.confirmed_at):
            self.assertLess(now(), deadline)
            await asyncio.sleep(0.01)
        reader._startup_deadline = LONG_AGO
        reader.has_ended("i0:80", "i0:80/second", reader.tail.confirmed_at)
        self.assertTrue(reader._restart_check.done())

    async def test_ranking_is_cached(self):
        """Guards against a list that is ranked anew on each use.

        With 300 instances and seven shards that check their rank ten times a second, this
        took a seventh of a core.
        """
        ordering = mock.Mock(wraps=module.ranked)
        with (
            mock.patch.object(module, "ranked", ordering),
            mock.patch.object(instance_view, "ranked", ordering),
        ):
            for _ in range(100):
                self.instances[0].rank("x")
                self.assertTrue(self.instances[0].is_entry_point)
        self.assertLess(ordering.call_count, 100)

    async def test_different_keys_rank_different_instances_first(self):
        firsts = {
            next(
                at
                for at, instance in enumerate(self.instances)
                if instance.rank(f"x-{key}") == 0
            )
            for key in range(20)
        }
        self.assertGreater(len(firsts), 1)

    async def test_largest_instances_come_first(self):
        self.instances[3]._cores = 2.0
        await self.instances[3]._write(self.instances[3]._document())
        await self.read()
        self.assertEqual(self.instances[3].rank("x"), 0)
        self.assertEqual(
            sorted(instance.rank("x") for instance in self.instances), [0, 1, 2, 3, 4]
        )

    async def test_callers_of_a_large_zone_share_some_instances(self):
        """Guards against a new connection to a replica for each call.

        Callers were sent to all twenty instances of a zone, so none used the same replica
        again before the connection's idle timeout.
        """
        for at in range(10, 30):
            instance = make_instance(self.log, f"i{at}", "d")
            await instance._write(instance._document())
        await self.read()
        named = [tuple(instance.addresses("d")) for instance in self.instances]
        self.assertEqual(len(named[0]), instance_view.MIN_ENTRY_POINTS)
        self.assertEqual(len(set(named)), 1)
        self.assertLessEqual(set(named[0]), {*self.instances[0].peers()})
        self.assertTrue(all(instance.is_entry_point for instance in self.instances))
        newcomers = [make_instance(self.log, f"i{at}", "d") for at in range(10, 30)]
        for instance in newcomers:
            await instance.tail.poll(0)
        entries = [
            instance._address for instance in newcomers if instance.is_entry_point
        ]
        self.assertEqual(set(entries), set(named[0]))
        self.assertTrue(
            all(
                instance.rank("x") >= 9
                for instance in newcomers
                if not instance.is_entry_point
            )
        )

    async def test_entry_points_have_a_fifth_of_a_zones_cores(self):
        sizes = [4.0] * 5 + [0.5] * 30
        for at, cores in enumerate(sizes):
            instance = make_instance(self.log, f"i{10 + at}", "d", cores)
            await instance._write(instance._document())
        await self.read()
        self.assertEqual(
            len(self.instances[0].addresses("d")), instance_view.MIN_ENTRY_POINTS
        )

    async def test_single_instance_returns_itself(self):
        alone = make_instance(MemoryPartitionedLog(), "x", "a")
        self.assertEqual(alone.addresses("a"), ["x:80"])
        self.assertEqual(alone.rank("x"), 0)


class ReserveTest(unittest.IsolatedAsyncioTestCase):
    """A zone of twelve instances, four of them entry points."""

    async def asyncSetUp(self):
        self.log = MemoryPartitionedLog()
        self.instances = [make_instance(self.log, f"i{at}", "a") for at in range(12)]
        for where, name in (
            (module, "RENEW_INTERVAL"),
            (instance_view, "VIEW_LIFETIME"),
        ):
            self.addCleanup(setattr, where, name, getattr(where, name))
            setattr(where, name, 0.0)
        for instance in self.instances:
            await instance._write(instance._document())
        await self.read()
        self.tasks = {
            instance: asyncio.ensure_future(instance.renew(lambda: True))
            for instance in self.instances
        }
        for task in self.tasks.values():
            self.addCleanup(task.cancel)
        await self.read_until(
            lambda: sum(instance.in_reserve for instance in self.instances) == 8
        )

    async def read(self):
        for instance in self.instances:
            await instance.tail.poll(0)
            await instance.tail.poll(0)

    async def read_until(self, condition):
        deadline = now() + 20
        while not condition():
            self.assertLess(now(), deadline)
            await asyncio.sleep(0)
            await self.read()

    async def end_instance(self, instance):
        """End an instance without leaving; its record lapses everywhere."""
        self.tasks[instance].cancel()
        await asyncio.sleep(0)
        await self.read()
        for other in self.instances:
            other._records[instance._address].renewed_at = LONG_AGO

    async def test_reserve_instances_renew_less_often(self):
        """Guards against read costs of the list that grow with the square of the fleet."""
        records = self.log.partition(module.TOPIC, 0).records
        first = len(records)
        await self.read_until(lambda: len(records) > first + 100)
        writers = {split_keyed(record)[0] for record in records[first:]}
        self.assertEqual(
            writers,
            {instance._key for instance in self.instances if not instance.in_reserve},
        )

    async def test_reserve_instance_replaces_an_ended_entry_point(self):
        """Guards against a zone that loses its entry points one by one."""
        for _ in range(3):
            ended = next(
                instance for instance in self.instances if not instance.in_reserve
            )
            await self.end_instance(ended)
            self.instances.remove(ended)
            await self.read_until(lambda: self.all_return_living_entry_points(4))

    def promoted_instances(self):
        """Return the instances in reserve that are to become entry points."""
        for instance in self.instances:
            instance._view = None
        points = [instance for instance in self.instances if instance.is_entry_point]
        return [instance for instance in points if instance.in_reserve]

    async def stop_renewals(self):
        """Stop all renewals; return an entry point."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.sleep(0)
        await self.read()
        return next(instance for instance in self.instances if not instance.in_reserve)

    async def test_one_ended_entry_point_promotes_one_instance(self):
        """Guards against a whole reserve that reads all steps at once."""
        await self.end_instance(await self.stop_renewals())
        self.assertEqual(len(self.promoted_instances()), 1)

    async def test_promotions_double_while_an_entry_point_is_missing(self):
        """Guards against a shortage that waits for an instance that has ended."""
        await self.end_instance(await self.stop_renewals())
        counts = []
        for _ in range(4):
            counts.append(len(self.promoted_instances()))
            for instance in self.instances:
                instance._shortages._since["a"] -= instance_view.PROMOTION_INTERVAL
        self.assertEqual(counts, [1, 2, 4, 8])

    async def test_promotion_rounds_restart_after_a_shortage_ends(self):
        """Guards against promotions counted from an earlier shortage."""
        ended = await self.stop_renewals()
        await self.end_instance(ended)
        self.promoted_instances()
        for instance in self.instances:
            instance._shortages._since["a"] -= 3 * instance_view.PROMOTION_INTERVAL
        self.assertGreater(len(self.promoted_instances()), 1)
        for instance in self.instances:
            instance._records[ended._address].renewed_at = now()
        self.assertEqual(self.promoted_instances(), [])
        await self.end_instance(ended)
        self.assertEqual(len(self.promoted_instances()), 1)

    def all_return_living_entry_points(self, count):
        alive = {
            instance._address for instance in self.instances if not instance.in_reserve
        }
        return all(
            len(instance.addresses("a")) == count
            and set(instance.addresses("a")) == alive
            for instance in self.instances
        )

    async def test_reserve_instance_is_not_returned_before_it_has_renewed(self):
        """Guards against callers sent to a reserve instance that ended seconds before."""
        dead, *others = [instance for instance in self.instances if instance.in_reserve]
        self.tasks[dead].cancel()
        entry = next(instance for instance in self.instances if not instance.in_reserve)
        for instance in [*others, entry]:
            await self.end_instance(instance)
        self.assertNotIn(dead._address, self.instances[0].addresses("a"))


if __name__ == "__main__":
    unittest.main()
