"""Which instances callers are sent to."""

import asyncio
import json
import unittest
from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.clock import LONG_AGO, deadline_in, now
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import keyed_record, split_keyed
from sassafrasdoor.log.tail import Outage
from sassafrasdoor.routing import instance_view, instances as module
from sassafrasdoor.routing.instances import Instances


def instance(log, name, zone, cores=1.0):
    place = {"name": name, "availability_zone": zone}
    found = settings.from_document({"instance": place})
    return Instances(found, log, f"{name}:80", f"{name}:80", cores)


class InstancesTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.log = MemoryPartitionedLog()
        self.all = [instance(self.log, f"i{at}", "ab"[at % 2]) for at in range(5)]
        for one in self.all:
            await one._write(one._document())
        await self.read()

    async def read(self):
        for one in self.all:
            await one.tail.poll(0)
            await one.tail.poll(0)

    async def test_callers_stay_in_their_zone_where_it_has_enough(self):
        self.assertEqual(set(self.all[0].addresses("b")), {"i1:80", "i3:80"})

    async def test_callers_of_a_thin_zone_are_sent_everywhere(self):
        self.assertEqual(len(self.all[0].addresses("c")), 5)

    async def test_leaving_instance_is_named_no_more(self):
        await self.all[1].leave()
        await self.read()
        self.assertNotIn("i1:80", self.all[0].addresses("c"))

    async def test_instance_that_stopped_renewing_is_left_out(self):
        self.all[0]._seen["i1:80"].at = LONG_AGO
        self.assertNotIn("i1:80", self.all[0].addresses("c"))

    async def test_nobody_lapses_while_the_log_is_away(self):
        """Symptom: callers are sent to one instance only, or to none.

        Sequence: the log is away for longer than a record lives. Cause: records
        were taken for lapsed although nobody could renew them.
        """
        tail = self.all[0].tail
        for one in self.all[0]._seen.values():
            one.at = now() - instance_view.LAPSE_AFTER + 0.5
        tail.failing_since = now()
        await asyncio.sleep(0.6)
        others = {"i1:80", "i2:80", "i3:80", "i4:80"}
        self.assertLessEqual(others, set(self.all[0].addresses("c")))
        tail.failing_since = None
        tail.last_outage = Outage(now() - 1.2, now())
        self.assertEqual(len(self.all[0].addresses("c")), 5)

    async def test_nobody_lapses_before_the_silence_is_noticed(self):
        """Guards against new entry points that read all steps as the log falls silent."""
        tail, peers = self.all[0].tail, {f"i{at}:80" for at in range(1, 5)}
        tail.ended_at = now() - 2.0
        for one in self.all[0]._seen.values():
            one.at = tail.ended_at - instance_view.LAPSE_AFTER + 0.5
        for tail.failing_since in (None, now()):
            self.all[0]._view = None
            self.assertLessEqual(peers, set(self.all[0].addresses("c")))
        tail.failing_since = None
        await tail.poll(0)
        self.all[0]._view = None
        self.assertFalse(peers & set(self.all[0].addresses("c")))

    async def test_part_of_what_came_in_a_silence_makes_nobody_lapse(self):
        """Guards against peers that lapse by the first of several answers."""
        tail, peers = self.all[0].tail, {f"i{at}:80" for at in range(1, 5)}
        for one in self.all[0]._seen.values():
            one.at = tail.ended_at - instance_view.LAPSE_AFTER + 0.1
        for one in self.all:
            await one._write(one._document())
        await asyncio.sleep(0.2)
        tail.failing_since = now()
        await tail.poll(0)
        tail.last_outage = None
        self.all[0]._view = None
        self.assertLessEqual(peers, set(self.all[0].addresses("c")))

    async def test_log_that_returns_brings_nobody_back(self):
        """Symptom: callers are sent to an instance that is gone for minutes.

        Sequence: an instance ends without a word and lapses; a minute later one read
        of the list is lost. Cause: after each return of the log all that were ever
        heard of counted as living for three seconds.
        """
        tail = self.all[0].tail
        self.all[0]._seen["i1:80"].at = now() - 60.0
        self.assertNotIn("i1:80", self.all[0].addresses("c"))
        tail.last_outage = Outage(now() - 2.0, now())
        tail.restored_at = tail.last_outage.until
        self.all[0]._view = None
        self.assertNotIn("i1:80", self.all[0].addresses("c"))

    async def test_instance_that_is_cut_off_sends_callers_elsewhere(self):
        """Symptom: a trainer stands still while one instance cannot reach the log.

        Sequence: the instance is cut off from the log, not from callers, and goes on
        naming itself. Cause: its own reads were not looked at.
        """
        self.all[0].tail.failing_since = now() - module.CUT_OFF_AFTER - 0.1
        self.assertNotIn("i0:80", self.all[0].addresses("c"))
        self.assertNotIn("i0:80", self.all[0].addresses("a"))

    async def test_all_agree_on_one_ranking(self):
        ranks = sorted(one.ranking("x") for one in self.all)
        self.assertEqual(ranks, [0, 1, 2, 3, 4])

    async def test_each_zone_has_a_first_and_calls_are_handed_to_it_after_a_start(self):
        """Symptom: reads are refused for seconds after all instances started again.

        Sequence: all instances of a zone start; one of them reads the steps first, and
        the others hand a trainer's reads on. Cause: they handed them to a neighbour
        picked at random, which had not read the steps either.
        """
        few, module.FEW = module.FEW, 0
        self.addCleanup(setattr, module, "FEW", few)
        zones = {"a": [0, 2, 4], "b": [1, 3]}
        for members in zones.values():
            first = min(members, key=lambda at: self.all[at].ranking("shards"))
            for at in set(members) - {first}:
                self.assertEqual(self.all[at].peers()[0], f"i{first}:80")

    async def tell_read(self, *ats):
        for at in ats:
            self.all[at].has_read = True
            await self.all[at]._write(self.all[at]._document())
        await self.read()

    async def test_calls_are_handed_to_those_that_have_read(self):
        """Guards against steps that nobody reads although one instance has."""
        await self.tell_read(1)
        for at in (0, 2, 3, 4):
            for _ in range(5):
                self.assertEqual(self.all[at].peers_to_ask(3), ["i1:80"])

    async def test_calls_are_handed_to_another_zone_too(self):
        """Guards against callers of a zone whose instances are all late."""
        await self.tell_read(1, 2, 3, 4)
        for _ in range(5):
            near, far, *rest = self.all[0].peers_to_ask(3)
            self.assertIn(near, ("i2:80", "i4:80"))
            self.assertIn(far, ("i1:80", "i3:80"))
            self.assertEqual(len(rest), 1)

    async def test_instance_in_reserve_that_runs_steps_is_asked_too(self):
        """Guards against the one reader that is known and asked by nobody."""
        self.all[1].in_reserve = True
        await self.tell_read(1)
        self.assertNotIn("i1:80", self.all[0].peers())
        self.assertEqual(self.all[0].peers_to_ask(3), ["i1:80"])

    async def test_submissions_are_not_all_handed_to_the_one_reader(self):
        """Guards against retries that all meet the same instance."""
        await self.tell_read(1)
        firsts = {self.all[0].peers()[0] for _ in range(50)}
        self.assertEqual(firsts, {"i2:80", "i4:80"})

    async def test_calls_are_not_multiplied_while_nobody_has_read(self):
        """Guards against three calls for each one after a start of all instances."""
        self.assertEqual(len(self.all[0].peers_to_ask(3)), 1)
        await self.tell_read(1, 2, 3)
        self.assertEqual(len(self.all[0].peers_to_ask(3)), 3)

    async def test_record_of_before_the_start_tells_nothing_of_reading(self):
        """Guards against trust in what instances had read before all lost power."""
        await self.tell_read(0, 1, 2, 3, 4)
        started = instance(self.log, "i4", "a")
        await started.tail.poll(0)
        self.assertEqual(len(started.peers_to_ask(3)), 1)
        self.assertEqual(started.unread_before("x"), started.ranking("x"))
        document = json.loads(self.all[2]._document())
        record = keyed_record("i2:80", json.dumps({**document, "read": False}).encode())
        await self.log.append(module.TOPIC, 0, [record], deadline_in(1))
        await started.tail.poll(0)
        asked = {started.peers_to_ask(3)[0] for _ in range(30)}
        self.assertEqual(asked, {"i0:80"})
        await self.tell_read(1)
        await started.tail.poll(0)
        self.assertEqual(started.peers_to_ask(3), ["i1:80"])

    async def test_those_that_have_read_are_not_waited_for(self):
        """Guards against turns that a restarted instance waits for in vain."""
        by_rank = sorted(self.all, key=lambda one: one.ranking("x"))
        for one in self.all:
            await one._write(one._document())
        await self.read()
        self.assertEqual([one.unread_before("x") for one in by_rank], [0, 1, 2, 3, 4])
        await self.tell_read(self.all.index(by_rank[0]), self.all.index(by_rank[2]))
        self.assertEqual([one.unread_before("x") for one in by_rank], [0, 0, 1, 1, 2])

    async def test_those_that_say_nothing_are_not_waited_for(self):
        """Guards against a fleet that waits for instances without power."""
        by_rank = sorted(self.all, key=lambda one: one.ranking("x"))
        last = by_rank[-1]
        for seen in last._seen.values():
            seen.is_renewed = False
        self.assertEqual(last.unread_before("x"), 4)
        last._heard_by = LONG_AGO
        self.assertEqual(last.unread_before("x"), 0)

    async def test_records_of_an_earlier_program_are_not_waited_for(self):
        """Guards against an update that waits for instances which cannot tell."""
        by_rank = sorted(self.all, key=lambda one: one.ranking("x"))
        first = by_rank[0]
        document = json.loads(first._document())
        del document["read"]
        await first._write(json.dumps(document).encode())
        await self.read()
        self.assertEqual(by_rank[1].unread_before("x"), 0)

    async def test_reading_is_told_at_once(self):
        """Guards against callers that are refused for the time between renewals."""
        one = self.all[0]
        task = asyncio.ensure_future(one.renew(lambda: True))
        self.addCleanup(task.cancel)
        records = self.log.partition(module.TOPIC, 0).records
        written = len(records)
        while len(records) == written:  # noqa: ASYNC110
            await asyncio.sleep(0)
        for value in (True, False):
            written, one.has_read = len(records), value
            async with asyncio.timeout(module.RENEW_INTERVAL / 2):
                while len(records) == written:  # noqa: ASYNC110
                    await asyncio.sleep(0.01)
            told = json.loads(split_keyed(records[-1])[1])
            self.assertIs(told["read"], value)

    async def test_process_is_listed_as_soon_as_it_is_ready(self):
        """Symptom: nothing runs for a second and more after all processes have ended.

        Sequence: all restart, and have read the steps after a third of a second; each
        claims only once it is listed. Cause: a start that was not ready at once looked
        again a whole renewal later.
        """
        interval, module.RENEW_INTERVAL = module.RENEW_INTERVAL, 1000.0
        self.addCleanup(setattr, module, "RENEW_INTERVAL", interval)
        one, looks = self.all[0], []
        one.is_listed = False

        def is_ready():
            looks.append(now())
            return len(looks) > 2

        renewing = asyncio.ensure_future(one.renew(is_ready))
        self.addCleanup(renewing.cancel)
        limit = now() + 20
        while not one.is_listed:
            self.assertLess(now(), limit)
            await asyncio.sleep(0.01)

    async def test_list_that_changes_between_two_looks_breaks_nothing(self):
        """Symptom: a trainer's call ends with an error of ours after a start.

        Sequence: the peers are taken from the list, an instance lapses, the peers are
        put in the order of the list as it is now. Cause: two looks at a list that is
        worked out anew each fifth of a second.
        """
        few, module.FEW = module.FEW, 0
        self.addCleanup(setattr, module, "FEW", few)
        holds, instance_view.VIEW_HOLDS = instance_view.VIEW_HOLDS, 0.0
        self.addCleanup(setattr, instance_view, "VIEW_HOLDS", holds)
        one = self.all[0]
        alive = [True] * 4 + [False] * 100
        with mock.patch.object(Instances, "_is_alive", lambda _, seen: alive.pop(0)):
            self.assertEqual(len(one.peers()), 3)
        alive = [True] * 5 + [False] * 100
        with mock.patch.object(Instances, "_is_alive", lambda _, seen: alive.pop(0)):
            self.assertLessEqual(one.unread_before("shards"), 3)

    async def test_process_has_ended_once_its_instance_lists_another(self):
        """Symptom: a living process is taken for ended, or an ended one waited for.

        Sequence: an instance lists a process, then another one. Cause: a list that was
        read before the process was heard of says nothing about it.
        """
        old, reader = self.all[0], self.all[1]
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

    async def test_whoever_has_just_started_looks_whether_others_have_too(self):
        """Guards against duties that wait for the next read of the list after a start."""
        old, reader = self.all[0], self.all[1]
        old._process = "i0:80/first"
        await old._write(old._document())
        await self.read()
        old._process = "i0:80/second"
        await old._write(old._document())
        limit = now() + 20
        while not reader.has_ended("i0:80", "i0:80/first", reader.tail.confirmed_at):
            self.assertLess(now(), limit)
            await asyncio.sleep(0.01)
        reader._young_until = LONG_AGO
        reader.has_ended("i0:80", "i0:80/second", reader.tail.confirmed_at)
        self.assertTrue(reader._looking.done())

    async def test_one_order_serves_many_questions(self):
        """Symptom: with 300 instances each spends a seventh of a core on nothing.

        Sequence: seven shards ask ten times a second who is in front. Cause: the
        whole list is put in order for each question.
        """
        ordering = mock.Mock(wraps=module.ranked)
        with (
            mock.patch.object(module, "ranked", ordering),
            mock.patch.object(instance_view, "ranked", ordering),
        ):
            for _ in range(100):
                self.all[0].ranking("x")
                self.assertTrue(self.all[0].is_entry_point)
        self.assertLess(ordering.call_count, 100)

    async def test_different_duties_have_different_first_places(self):
        firsts = {
            next(at for at, one in enumerate(self.all) if one.ranking(f"x-{key}") == 0)
            for key in range(20)
        }
        self.assertGreater(len(firsts), 1)

    async def test_largest_instances_come_first(self):
        self.all[3]._cores = 2.0
        await self.all[3]._write(self.all[3]._document())
        await self.read()
        self.assertEqual(self.all[3].ranking("x"), 0)
        self.assertEqual(sorted(one.ranking("x") for one in self.all), [0, 1, 2, 3, 4])

    async def test_callers_of_a_large_zone_share_some_instances(self):
        """Symptom: each call opens a connection to a replica.

        Sequence: a zone has twenty instances, and callers spread over all. Cause:
        each was named, and none met the same replica twice in its idle time.
        """
        for at in range(10, 30):
            one = instance(self.log, f"i{at}", "d")
            await one._write(one._document())
        await self.read()
        named = [tuple(one.addresses("d")) for one in self.all]
        self.assertEqual(len(named[0]), instance_view.USUAL_IN_ZONE)
        self.assertEqual(len(set(named)), 1)
        self.assertLessEqual(set(named[0]), {*self.all[0].peers()})
        self.assertTrue(all(one.is_entry_point for one in self.all))
        newcomers = [instance(self.log, f"i{at}", "d") for at in range(10, 30)]
        for one in newcomers:
            await one.tail.poll(0)
        entries = [one._address for one in newcomers if one.is_entry_point]
        self.assertEqual(set(entries), set(named[0]))
        self.assertTrue(
            all(one.ranking("x") >= 9 for one in newcomers if not one.is_entry_point)
        )

    async def test_few_large_instances_have_a_fifth_of_a_zones_processor(self):
        sizes = [4.0] * 5 + [0.5] * 30
        for at, cores in enumerate(sizes):
            one = instance(self.log, f"i{10 + at}", "d", cores)
            await one._write(one._document())
        await self.read()
        self.assertEqual(len(self.all[0].addresses("d")), instance_view.USUAL_IN_ZONE)

    async def test_lonely_instance_names_itself(self):
        alone = instance(MemoryPartitionedLog(), "x", "a")
        self.assertEqual(alone.addresses("a"), ["x:80"])
        self.assertEqual(alone.ranking("x"), 0)


class ReserveTest(unittest.IsolatedAsyncioTestCase):
    """A zone of twelve instances, of which callers are sent to four."""

    async def asyncSetUp(self):
        self.log = MemoryPartitionedLog()
        self.all = [instance(self.log, f"i{at}", "a") for at in range(12)]
        for where, name in ((module, "RENEW_INTERVAL"), (instance_view, "VIEW_HOLDS")):
            self.addCleanup(setattr, where, name, getattr(where, name))
            setattr(where, name, 0.0)
        for one in self.all:
            await one._write(one._document())
        await self.read()
        self.tasks = {
            one: asyncio.ensure_future(one.renew(lambda: True)) for one in self.all
        }
        for task in self.tasks.values():
            self.addCleanup(task.cancel)
        await self.settled(lambda: sum(one.in_reserve for one in self.all) == 8)

    async def read(self):
        for one in self.all:
            await one.tail.poll(0)
            await one.tail.poll(0)

    async def settled(self, condition):
        limit = now() + 20
        while not condition():
            self.assertLess(now(), limit)
            await asyncio.sleep(0)
            await self.read()

    async def ends(self, one):
        """Let an instance end without a word, and its record lapse at all."""
        self.tasks[one].cancel()
        await asyncio.sleep(0)
        await self.read()
        for other in self.all:
            other._seen[one._address].at = LONG_AGO

    async def test_instances_in_reserve_renew_seldom(self):
        """Guards against a list whose reading costs grow with the square of a fleet."""
        records = self.log.partition(module.TOPIC, 0).records
        first = len(records)
        await self.settled(lambda: len(records) > first + 100)
        writers = {split_keyed(record)[0] for record in records[first:]}
        self.assertEqual(writers, {one._key for one in self.all if not one.in_reserve})

    async def test_one_in_reserve_takes_the_place_of_one_that_ended(self):
        """Guards against a zone that runs out of entry points one death after another."""
        for _ in range(3):
            gone = next(one for one in self.all if not one.in_reserve)
            await self.ends(gone)
            self.all.remove(gone)
            await self.settled(lambda: self.named_are_alive(4))

    def called(self):
        """Return those in reserve that take themselves for entry points."""
        for one in self.all:
            one._view = None
        points = [one for one in self.all if one.is_entry_point]
        return [one for one in points if one.in_reserve]

    async def stops(self):
        """Nobody writes a record any more; return an entry point."""
        for task in self.tasks.values():
            task.cancel()
        await asyncio.sleep(0)
        await self.read()
        return next(one for one in self.all if not one.in_reserve)

    async def test_one_is_called_where_one_has_ended(self):
        """Guards against a zone whose whole reserve reads all steps at once."""
        await self.ends(await self.stops())
        self.assertEqual(len(self.called()), 1)

    async def test_more_are_called_while_a_place_stays_free(self):
        """Guards against a place that waits for an instance that is gone."""
        await self.ends(await self.stops())
        found = []
        for _ in range(4):
            found.append(len(self.called()))
            for one in self.all:
                one._short._since["a"] -= instance_view.CALL_STEP
        self.assertEqual(found, [1, 2, 4, 8])

    async def test_calls_begin_anew_once_a_zone_has_had_enough(self):
        """Guards against a reserve that is called by what was missing before."""
        ended = await self.stops()
        await self.ends(ended)
        self.called()
        for one in self.all:
            one._short._since["a"] -= 3 * instance_view.CALL_STEP
        self.assertGreater(len(self.called()), 1)
        for one in self.all:
            one._seen[ended._address].at = now()
        self.assertEqual(self.called(), [])
        await self.ends(ended)
        self.assertEqual(len(self.called()), 1)

    def named_are_alive(self, count):
        alive = {one._address for one in self.all if not one.in_reserve}
        return all(
            len(one.addresses("a")) == count and set(one.addresses("a")) == alive
            for one in self.all
        )

    async def test_one_in_reserve_is_not_named_before_it_has_said_that_it_lives(self):
        """Guards against callers sent to an instance that ended seconds before."""
        dead, *others = [one for one in self.all if one.in_reserve]
        self.tasks[dead].cancel()
        entry = next(one for one in self.all if not one.in_reserve)
        for one in [*others, entry]:
            await self.ends(one)
        self.assertNotIn(dead._address, self.all[0].addresses("a"))


if __name__ == "__main__":
    unittest.main()
