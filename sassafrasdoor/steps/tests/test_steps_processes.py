"""Steps with real processes, compared to the engines' own records."""

import asyncio
import unittest

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.cluster import KEYS, MODEL, Cluster
from sassafrasdoor.standin.batch import word_at
from sassafrasdoor.standin.proxy import Proxy
from sassafrasdoor.steps.client import Trainer
from sassafrasdoor.steps.spec import Identity, StepSpec
from sassafrasdoor.support import until

ROW = "trainer"
BOUND = 2
GENERATIONS = 30
PLACES = {(group, index) for group in range(4) for index in range(4)}
SETTINGS = {
    "steps": {"view_confirm": 1.0, "attach_idle": 8.0},
    "requests": {"gap_timeout": 1.0},
}
ENGINE = ("--token-rate", "60", "--swap-seconds", "0.1")


def document(step, **changes):
    return {
        "step": step,
        "groups": [{"prompt": f"tell the truth about level {n}"} for n in range(4)],
        "samples_per_group": 4,
        "max_tokens": 160,
        "deadline_ms": 60_000,
        "seed": 11,
        **changes,
    }


class FixedAddressTrainer(Trainer):
    """Uses the given addresses in order, without discovery."""

    __slots__ = ("statuses",)

    async def call(self, *arguments, **options):
        status, reply = await super().call(*arguments, **options)
        self.statuses = {*getattr(self, "statuses", ()), status}
        return status, reply

    async def addresses(self):
        return list(self._seeds)


class EngineRecords:
    """The version that made each token, from all engines, also stopped ones."""

    def __init__(self, cluster):
        self._cluster = cluster
        self._records = {}

    async def collect(self, *names):
        """Read the records of engines, before they stop."""
        for name in names:
            state = await self._cluster.truth(name)
            for stream, record in state["streams"].items():
                for number, execution in enumerate(record["executions"]):
                    self._records[name, stream, number] = execution["spans"]

    def versions_of(self, stream):
        """Return ``{token number: versions}`` of a stream over all engines."""
        versions = {}
        for (_, name, _), spans in self._records.items():
            for version, first, last in spans if name == stream else []:
                for token in range(first, last):
                    versions.setdefault(token, set()).add(version)
        return versions


class StepsProcessesTest(unittest.IsolatedAsyncioTestCase):
    async def cluster(self, instances=2, engines=2, services=0):
        cluster = Cluster(SETTINGS)
        self.addAsyncCleanup(cluster.__aexit__)
        await cluster.start(instances, engines, services, engine_options=ENGINE)
        self.records = EngineRecords(cluster)
        return cluster

    def trainer(self, *addresses):
        trainer = FixedAddressTrainer(
            addresses, ROW, KEYS[ROW], newest_version=1, reply_timeout=2
        )
        self.addCleanup(trainer.close)
        return trainer

    async def read(self, run, after=1, inject_fault=None):
        """Read a run to its end; call ``inject_fault`` after ``after`` samples."""
        samples = {}
        async for sample in run.samples():
            place = sample["group"], sample["index"]
            self.assertNotIn(place, samples, "a sample was delivered twice")
            samples[place] = sample
            if len(samples) == after and inject_fault is not None:
                await inject_fault()
        return samples

    def assert_matches_engines(self, run, samples, step, **changes):
        """Assert that the run is complete and its labels match the engines' records."""
        self.assertIsNone(run.failure)
        self.assertEqual(set(samples), PLACES)
        spec = StepSpec.model_validate({**document(step, **changes), "attach": 1})
        identity = Identity(ROW, spec)
        for (group, index), sample in samples.items():
            labelled = {}
            for version, first, last in sample["spans"]:
                for token in range(first, last):
                    self.assertNotIn(token, labelled)
                    labelled[token] = version
            stream = self._stream_of(identity, group * 4 + index, sample, len(labelled))
            versions = self.records.versions_of(stream)
            for token, version in labelled.items():
                self.assertIn(version, versions[token], (stream, token))
            self.assertEqual(sample["oldest_version"], min(labelled.values()))

    def _stream_of(self, identity, position, sample, length):
        """Return the id of the stream that has the sample's text."""
        for generation in range(GENERATIONS):
            stream = identity.stream(position, generation)
            seed = identity.seed(position, generation)
            text = "".join(word_at(seed, stream, token) for token in range(length))
            if text == sample["text"]:
                return stream
        raise AssertionError(f"no stream has the text of {sample}")

    async def test_scores_survive_faults_of_the_service_and_of_the_owner(self):
        """Guards against missing or exchanged scores after faults."""
        cluster = await self.cluster(services=1)
        await cluster.faults(
            "service-1", delay=0.3, fail=1, hang_up=2, hang_up_middle=1
        )
        first, second = cluster.instances
        reward = {"service": "occupancy", "path": "/score", "body": "{}"}
        groups = [{"prompt": f"level {at}", "reward": reward} for at in range(4)]
        changes = {"groups": groups}
        run = self.trainer(first.address, second.address).run(
            document("scored", **changes)
        )

        async def killed():
            await self.records.collect("engine-1", "engine-2")
            first.kill()

        samples = await self.read(run, 2, killed)
        await self.records.collect("engine-1", "engine-2")
        self.assert_matches_engines(run, samples, "scored", **changes)
        spec = StepSpec.model_validate({**document("scored", **changes), "attach": 1})
        identity = Identity(ROW, spec)
        for (group, index), sample in samples.items():
            length = sample["spans"][-1][2]
            stream = self._stream_of(identity, group * 4 + index, sample, length)
            self.assertEqual(sample["score"]["request_id"], f"{stream}.reward")

    async def test_instance_fails_during_a_step(self):
        """Guards against step state that is lost with its owner."""
        cluster = await self.cluster(instances=3)
        first, second, third = cluster.instances

        async def frozen():
            first.freeze()

        async def killed():
            second.kill()

        for fault, owner, other in ((frozen, first, second), (killed, second, third)):
            with self.subTest(fault.__name__):
                run = self.trainer(owner.address, other.address).run(
                    document(fault.__name__, deadline_ms=90_000)
                )
                samples = await self.read(run, 3, fault)
                first.thaw()
                await self.records.collect("engine-1", "engine-2")
                self.assert_matches_engines(run, samples, fault.__name__)
                self.assertEqual(run.report.attachments, 2)
                self.assertGreater(run.report.counts["resumed"], 0)

    async def test_planned_stop_during_a_step(self):
        """Guards against a drain that truncates fetches or streams."""
        cluster = await self.cluster()
        first, second = cluster.instances
        stops = []

        async def stop():
            stops.append(asyncio.ensure_future(asyncio.to_thread(first.stop)))

        trainer = self.trainer(first.address, second.address)
        long = {"max_tokens": 400}
        run = trainer.run(document("stop", **long))
        samples = await self.read(run, 1, stop)
        await self.records.collect("engine-1", "engine-2")
        self.assert_matches_engines(run, samples, "stop", **long)
        self.assertEqual(run.report.attachments, 2)
        self.assertEqual(run.report.counts["regenerated"], 0)
        self.assertGreater(run.report.counts["resumed"], 0)
        self.assertLessEqual(trainer.statuses, {200, 202})
        self.assertEqual(await stops[0], (0, 0))

    async def test_replies_are_lost(self):
        """Guards against a batch that counts as delivered once it is sent."""
        cluster = await self.cluster(instances=1)
        proxy = await Proxy(cluster.instances[0].address).open()
        self.addAsyncCleanup(proxy.close)

        async def cut():
            proxy.faults.truncate = 700
            proxy.cut()
            asyncio.get_running_loop().call_later(1.0, proxy.faults.clear)

        run = self.trainer(proxy.address).run(document("lost"))
        samples = await self.read(run, 2, cut)
        await self.records.collect("engine-1", "engine-2")
        self.assert_matches_engines(run, samples, "lost")
        self.assertGreater(run.report.attachments, 1)

    async def test_concurrent_attachments(self):
        """Guards against two owners of a step that start separate streams."""
        cluster = await self.cluster()
        old = self.trainer(cluster.instances[0].address).run(document("twice"))
        new = self.trainer(cluster.instances[1].address).run(
            document("twice"), {"attach": 1, "token": ""}
        )
        reads = await asyncio.gather(self.read(old), self.read(new))
        await self.records.collect("engine-1", "engine-2")
        for run, samples in zip((old, new), reads, strict=True):
            self.assert_matches_engines(run, samples, "twice")

    async def test_engine_crashes(self):
        """Guards against a resumed stream that is accepted without a final report."""
        cluster = await self.cluster()

        async def crash():
            await cluster.faults("engine-1", freeze=True)
            await self.records.collect("engine-1")
            cluster.backends["engine-1"].kill()

        run = self.trainer(cluster.instances[0].address).run(document("crash"))
        samples = await self.read(run, 2, crash)
        await self.records.collect("engine-2")
        self.assert_matches_engines(run, samples, "crash")
        self.assertGreater(run.report.counts["regenerated"], 0)

    async def test_combined_faults(self):
        """Guards against recovery that fails under a second fault."""
        cluster = await self.cluster(instances=3, engines=3)
        first, second, third = cluster.instances
        stops = []

        async def inject_fault():
            await cluster.faults("engine-1", freeze=True)
            await self.records.collect("engine-1")
            cluster.backends["engine-1"].kill()
            first.kill()
            await cluster.announce(MODEL, 2)

        async def stop():
            stops.append(asyncio.ensure_future(asyncio.to_thread(second.stop)))

        trainer = self.trainer(first.address, second.address, third.address)
        long = {"max_tokens": 400}
        run = trainer.run(document("many", **long))
        samples = {}
        async for sample in run.samples():
            place = sample["group"], sample["index"]
            self.assertNotIn(place, samples)
            samples[place] = sample
            if len(samples) in (2, 4):
                await {2: inject_fault, 4: stop}[len(samples)]()
        await self.records.collect("engine-2", "engine-3")
        self.assert_matches_engines(run, samples, "many", **long)
        self.assertEqual(await stops[0], (0, 0))

    async def test_engine_connections_fall_silent(self):
        """Guards against silent connections that count as live."""
        cluster = await self.cluster(engines=1)

        async def silence():
            await cluster.faults("engine-1", silence=True)

        run = self.trainer(cluster.instances[0].address).run(document("silence"))
        samples = await self.read(run, 1, silence)
        await self.records.collect("engine-1")
        self.assert_matches_engines(run, samples, "silence")
        self.assertGreater(run.report.counts["resumed"], 0)
        self.assertEqual(run.report.counts["regenerated"], 0)

    async def test_weight_swap_during_a_step(self):
        """Guards against a label that omits the version swapped to during the step."""
        cluster = await self.cluster()

        async def swap():
            await cluster.announce(MODEL, 2)
            await until(self._has_swapped(cluster, 2), what="engines at version 2")

        run = self.trainer(cluster.instances[0].address).run(document("swap"))
        samples = await self.read(run, 1, swap)
        await self.records.collect("engine-1", "engine-2")
        self.assert_matches_engines(run, samples, "swap")
        labelled = {span[0] for sample in samples.values() for span in sample["spans"]}
        self.assertIn(2, labelled)

    def _has_swapped(self, cluster, version):
        async def swapped():
            states = [await cluster.truth(name) for name in cluster.backends]
            return all(state["versions"].get(MODEL) == version for state in states)

        return swapped

    async def test_weights_announced_between_last_token_and_delivery(self):
        """Guards against staleness checked before delivery."""
        cluster = await self.cluster(instances=1)
        address = cluster.instances[0].address
        path = f"/v1/steps/{ROW}"
        body = {**document("late"), "attach": 1}
        status, _ = await cluster.post(address, path, body, KEYS[ROW])
        self.assertEqual(status, 202)
        await until(
            lambda: self._all_samples_ready(cluster, address), what="ready samples"
        )
        await cluster.platform_faults(down=True)
        # Confirmations sent before the outage may arrive during it, and count until then.
        unconfirmed_at = deadline_in(SETTINGS["steps"]["view_confirm"])
        await until(lambda: passed(unconfirmed_at))
        self.assertTrue(await self._is_view_unconfirmed(cluster, address))
        fetch = {"attach": 1, "wait_ms": 0}
        table = [({}, 0), ({"newest_version": BOUND + 2}, 0)]
        for stated, delivered in table:
            with self.subTest(stated):
                _, reply = await cluster.post(
                    address, f"{path}/late/fetch", {**fetch, **stated}, KEYS[ROW]
                )
                self.assertEqual(len(reply["samples"]), delivered)
        self.assertEqual(reply["counts"]["stale_dropped"], len(PLACES))
        await cluster.platform_faults(down=False)
        await cluster.announce(MODEL, BOUND + 2)
        trainer = self.trainer(address)
        trainer.newest_version = BOUND + 2
        run = trainer.run(document("late"), {"attach": 1, "token": ""})
        samples = await self.read(run)
        await self.records.collect("engine-1", "engine-2")
        self.assert_matches_engines(run, samples, "late")
        self.assertGreaterEqual(min(s["oldest_version"] for s in samples.values()), 2)

    async def _all_samples_ready(self, cluster, address):
        _, status = await cluster.get(address, "/v1/status")
        return status["steps"][0]["ready"] == len(PLACES)

    async def _is_view_unconfirmed(self, cluster, address):
        _, status = await cluster.get(address, "/v1/status")
        return status["unconfirmed_seconds"] > SETTINGS["steps"]["view_confirm"]
