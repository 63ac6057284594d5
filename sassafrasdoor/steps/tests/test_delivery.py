import asyncio
import unittest
from unittest import mock

from sassafrasdoor.clock import now
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.steps.owner import StepOwner
from sassafrasdoor.steps.registry import Conflict, NoSuchStep, Submitted
from sassafrasdoor.steps.tests.fakes import Bench
from sassafrasdoor.support import until


def versions(reply):
    return {sample["oldest_version"] for sample in reply["samples"]}


def places(reply):
    return sorted((sample["group"], sample["index"]) for sample in reply["samples"])


class DeliveryTest(unittest.IsolatedAsyncioTestCase):
    def bench(self, *arguments, **options):
        bench = Bench(*arguments, **options)
        self.addAsyncCleanup(bench.close)
        return bench

    async def ready(self, **steps):
        bench = self.bench()
        service = bench.instance(**steps)
        service.submit(bench.row, bench.spec())
        await bench.ready(service, 4)
        return bench, service

    async def test_staleness_is_checked_at_delivery(self):
        """Guards against staleness checked too early or by one version source only."""

        async def announced(bench, service):
            bench.announced = 3
            return {}

        async def stated(bench, service):
            return {"newest_version": 3}

        async def reported(bench, service):
            service._resources.record_version("signs", 3)
            return {}

        async def nothing(bench, service):
            return {}

        async def within(bench, service):
            return {"newest_version": 2}

        table = [
            (announced, 0, 4),
            (stated, 0, 4),
            (reported, 0, 4),
            (within, 4, 0),
            (nothing, 4, 0),
        ]
        for source, delivered, dropped in table:
            with self.subTest(source.__name__):
                bench, service = await self.ready()
                reply = await bench.fetch(service, **await source(bench, service))
                self.assertEqual(len(reply["samples"]), delivered)
                self.assertEqual(reply["counts"]["stale_dropped"], dropped)
                if dropped:
                    bench.engines.set_version(3)
                    samples = await bench.collect(service, newest_version=3)
                    self.assertEqual(
                        {sample["oldest_version"] for sample in samples.values()}, {3}
                    )

    async def test_weights_announced_while_a_fetch_waits(self):
        bench = self.bench(length_of=lambda stream: 1)
        service = bench.instance()
        service.submit(bench.row, bench.spec())
        owner = await bench.running(service, 4)
        bench.announced = 3
        bench.engines.tick()
        await until(lambda: owner.counts.cut_early >= 4)
        reply = await bench.fetch(service)
        self.assertEqual(reply["samples"], [])

    async def test_unconfirmed_view_delivers_only_with_a_stated_version(self):
        """Guards against stale samples from an instance partitioned from the log."""
        bench, service = await self.ready()
        bench.confirmed_at = now() - 60
        reply = await bench.fetch(service)
        self.assertEqual((reply["samples"], reply["confirmed"]), ([], False))
        self.assertEqual(
            len((await bench.fetch(service, newest_version=1))["samples"]), 4
        )

    async def test_version_stated_before_a_pause_is_not_confirmed(self):
        """Guards against staleness checked by a version stated before a pause."""
        bench, service = await self.ready()
        bench.confirmed_at = now() - 60
        step = service._steps["trainer", "s1"]
        fetch = type("Stated", (), {"newest_version": 1})
        self.assertTrue(
            step.delivery.is_version_confirmed(bench.view(), fetch, now() - 1)
        )
        self.assertFalse(
            step.delivery.is_version_confirmed(bench.view(), fetch, now() - 60)
        )

    async def test_lost_reply_is_resent_for_the_same_token(self):
        """Guards against a reply that counts as delivered once it is sent."""
        bench = self.bench()
        service = bench.instance(batch_size=2)
        service.submit(bench.row, bench.spec())
        await bench.running(service, 4)
        bench.engines["e1"].frozen = True
        await bench.ready(service, 2)
        lost = await bench.fetch(service)
        bench.engines["e1"].frozen = False
        await bench.ready(service, 4)
        again = await bench.fetch(service)
        self.assertEqual(again["samples"], lost["samples"])
        self.assertEqual(again["counts"]["redelivered"], 2)
        rest = await bench.fetch(service, again["token"])
        self.assertEqual(
            sorted(places(again) + places(rest)), [(0, 0), (0, 1), (1, 0), (1, 1)]
        )

    async def test_late_fetch_regenerates_nothing(self):
        bench, service = await self.ready()
        reply = await bench.fetch(service)
        partial_token = bench.owner(service).acknowledged.union([0, 1]).encode()
        await bench.fetch(service, partial_token)
        late = await bench.fetch(service)
        self.assertEqual(late["counts"]["regenerated"], 0)
        self.assertEqual(places(late), [(1, 0), (1, 1)])
        self.assertEqual(reply["remaining"], 0)

    async def test_an_older_attachment_acknowledges_nothing(self):
        """Guards against an acknowledgement by a trainer's former process."""
        bench, service = await self.ready()
        reply = await bench.fetch(service)
        service.submit(bench.row, bench.spec(attach=2))
        partial_token = bench.owner(service).acknowledged.union([0, 1]).encode()
        self.assertIsInstance(await bench.fetch(service, partial_token), Conflict)
        self.assertEqual(len((await bench.fetch(service, attach=2))["samples"]), 4)
        self.assertEqual(reply["remaining"], 0)

    async def test_drain_completes_replies_to_waiting_fetches(self):
        """Guards against a drain that truncates a reply."""
        bench = self.bench(length_of=lambda stream: 8)
        service = bench.instance()
        service.submit(bench.row, bench.spec())
        await bench.running(service, 4)
        waiting = asyncio.ensure_future(bench.fetch(service, wait_ms=30_000))
        await asyncio.sleep(0)
        drain = asyncio.ensure_future(service.drain())
        reply = await waiting
        self.assertEqual((reply["moved"], reply["samples"]), (True, []))
        self.assertIsInstance(service.submit(bench.row, bench.spec(step="s2")), NotRun)
        self.assertFalse(drain.done())
        service.handle_reply_sent(bench.row, "s1")
        await drain
        self.assertEqual(len(bench.engine_streams()), 4)

    async def test_no_stream_is_started_after_the_trainer_disconnects(self):
        """Guards against streams started for a trainer that has moved away."""
        bench = self.bench(length_of=lambda stream: 2)
        service = bench.instance()
        service._resources.admission.slots = 1
        service.submit(bench.row, bench.spec())
        owner = await bench.running(service, 1)
        service.handle_disconnect("trainer", "s1")
        await bench.ready(service, 1)
        await until(
            lambda: owner.dispatcher.is_idle and not any(s.tasks for s in owner.samples)
        )
        self.assertEqual(len(bench.engine_streams()), 1)
        self.assertEqual(len(await bench.collect(service)), 4)

    async def test_restarted_trainer_receives_lost_samples_again(self):
        bench, service = await self.ready()
        partial_token = bench.owner(service).acknowledged.union([0, 1]).encode()
        await bench.fetch(service, partial_token)
        samples = await bench.collect(service, attach=2)
        self.assertEqual(len(samples), 4)

    async def test_attachment_numbers(self):
        bench, service = await self.ready()
        self.assertIsInstance(
            service.submit(bench.row, bench.spec(attach=3)), Submitted
        )
        table = [
            (bench.spec(attach=2), Conflict),
            (bench.spec(attach=3), Submitted),
            (bench.spec(attach=4, seed=9), Conflict),
        ]
        for spec, expected in table:
            self.assertIsInstance(service.submit(bench.row, spec), expected)
        self.assertIsInstance(await bench.fetch(service, attach=2), Conflict)
        self.assertEqual(len((await bench.fetch(service, attach=3))["samples"]), 4)

    async def test_newer_attachment_ends_a_waiting_fetch(self):
        bench = self.bench()
        service = bench.instance()
        service.submit(bench.row, bench.spec())
        waiting = asyncio.ensure_future(bench.fetch(service, wait_ms=30_000))
        await bench.running(service, 4)
        service.submit(bench.row, bench.spec(attach=2))
        self.assertIsInstance(await waiting, Conflict)

    async def test_abandoned_step_is_removed_without_cancelling_streams(self):
        """Guards against an abandoned owner that cancels its successor's streams."""
        bench = self.bench(length_of=lambda stream: 8)
        service = bench.instance(attach_idle=0.3)
        service.submit(bench.row, bench.spec())
        await bench.running(service, 4)
        await until(lambda: not service.status())
        stream_count = len(bench.engine_streams())
        self.assertEqual(stream_count, 4)
        self.assertIsInstance(await bench.fetch(service), NoSuchStep)

    async def test_concurrent_trainers(self):
        """Guards against samples exchanged between rows or steps of the same name."""
        bench = self.bench()
        service = bench.instance()
        other = bench.row.model_copy(update={"name": "other"})
        runs = [(bench.row, "s1"), (bench.row, "s2"), (other, "s1")]
        for row, step in runs:
            service.submit(row, bench.spec(step=step))
        collected = await asyncio.gather(
            *(bench.collect(service, row=row, step=step) for row, step in runs)
        )
        for (row, step), samples in zip(runs, collected, strict=True):
            self.assertEqual(len(samples), 4)
            for sample in samples.values():
                self.assertTrue(sample["text"].startswith(f"{row.name}:{step}:"))

    async def test_exception_in_one_step_does_not_stop_the_sweep(self):
        bench = self.bench()
        service = bench.instance(attach_idle=0.3)
        for step in ("s1", "s2"):
            service.submit(bench.row, bench.spec(step=step))
        with mock.patch.object(StepOwner, "check_stragglers", side_effect=ValueError):
            await until(lambda: not service.status(), what="removal of both steps")

    async def test_fetch_wait_is_bounded_by_settings(self):
        bench = self.bench()
        service = bench.instance(fetch_wait=0.05)
        service.submit(bench.row, bench.spec())
        reply = await asyncio.wait_for(bench.fetch(service, wait_ms=60_000), 10)
        self.assertEqual((reply["samples"], reply["remaining"]), ([], 4))

    async def test_cancel_cancels_the_streams(self):
        bench = self.bench(length_of=lambda stream: 8)
        service = bench.instance()
        service.submit(bench.row, bench.spec())
        await bench.running(service, 4)
        self.assertTrue(await service.cancel(bench.row, "s1"))
        await until(lambda: not bench.engine_streams())
        self.assertFalse(await service.cancel(bench.row, "s1"))
