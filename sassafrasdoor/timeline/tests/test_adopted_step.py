"""The time line of a killed instance: who noticed, and where its step went on."""

import asyncio
import contextlib
import unittest

import capnp

from sassafrasdoor.cluster import KEYS, PEER_KEY, Cluster
from sassafrasdoor.settings import from_document
from sassafrasdoor.steps.client import Trainer
from sassafrasdoor.timeline.collector import Collector, Filter
from sassafrasdoor.timeline.sources import ControlSource, EntrySource

STEP = "walk"
SLOW = ("--capacity", "24", "--token-rate", "60")


class AdoptedStepTest(unittest.IsolatedAsyncioTestCase):
    async def test_timeline_shows_the_adoption_of_a_step(self):
        """Guards against events of a step's adoption without the step's name."""
        async with capnp.kj_loop(), Cluster() as cluster:
            await cluster.start(engine_options=SLOW)
            collector = self._collector(cluster)
            events = await collector.collect()
            killed = await self._step_with_a_kill(cluster, collector, events)
            events += await collector.collect()
            collector.close()
        events.sort(key=lambda event: event.stamp)
        of_step = [event for event in events if Filter(step=STEP).matches(event)]
        walk = [
            (event.kind, event.process.partition("/")[0] == killed) for event in of_step
        ]
        expected = [
            ("step-started", True),
            ("step-started", False),
            ("step-adopted", False),
            ("step-forgotten", False),
        ]
        self.assertEqual([one for one in walk if one in expected], expected)
        self.assertEqual(of_step[0].fields["attach"], 1)
        adopted = next(event for event in of_step if event.kind == "step-adopted")
        self.assertGreater(adopted.fields["streams"], 0)
        kinds = {event.kind for event in events}
        self.assertLessEqual(
            {
                "member",
                "lease",
                "table-accepted",
                "table-in-force",
                "weights-announced",
            },
            kinds,
        )

    def _collector(self, cluster):
        configured = from_document({"membership": {"peer_keys": [PEER_KEY]}})
        entries = [EntrySource(one.address) for one in cluster.instances]
        controls = [
            ControlSource(configured, one.control.ready["control"])
            for one in cluster.instances
        ]
        return Collector(entries + controls)

    async def _step_with_a_kill(self, cluster, collector, events):
        """Run the step, kill its owner on the way; return the owner's name."""
        addresses = [one.address for one in cluster.instances]
        trainer = Trainer(addresses, "trainer", KEYS["trainer"], newest_version=1)
        step = trainer.run(
            {
                "step": STEP,
                "groups": [{"prompt": f"prompt {number}"} for number in range(8)],
                "samples_per_group": 4,
                "max_tokens": 120,
                "deadline_ms": 60_000,
                "seed": 3,
            }
        )
        killed = ""
        async with contextlib.aclosing(step.samples()) as samples:
            async for _ in samples:
                if not killed:
                    # The ring of a killed process is gone with it.
                    events += await collector.collect()
                    killed = await asyncio.to_thread(self._kill_owner, cluster, events)
        trainer.close()
        self.assertTrue(step.complete, step.failure)
        return killed

    def _kill_owner(self, cluster, events):
        started = next(event for event in events if event.kind == "step-started")
        name = started.process.partition("/")[0]
        next(one for one in cluster.instances if one.name == name).kill()
        return name
