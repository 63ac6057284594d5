"""The timeline of a killed instance shows which instance adopted its step."""

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
        step_events = [event for event in events if Filter(step=STEP).matches(event)]
        history = [
            (event.kind, event.process.partition("/")[0] == killed)
            for event in step_events
        ]
        expected = [
            ("step-started", True),
            ("step-started", False),
            ("step-adopted", False),
            ("step-forgotten", False),
        ]
        self.assertEqual([entry for entry in history if entry in expected], expected)
        self.assertEqual(step_events[0].fields["attach"], 1)
        adopted = next(event for event in step_events if event.kind == "step-adopted")
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
        entries = [EntrySource(instance.address) for instance in cluster.instances]
        controls = [
            ControlSource(configured, instance.control.ready["control"])
            for instance in cluster.instances
        ]
        return Collector(entries + controls)

    async def _step_with_a_kill(self, cluster, collector, events):
        """Run the step and kill its owner meanwhile; return the owner's name."""
        addresses = [instance.address for instance in cluster.instances]
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
                    # The event ring of a killed process is lost.
                    events += await collector.collect()
                    killed = await asyncio.to_thread(self._kill_owner, cluster, events)
        trainer.close()
        self.assertTrue(step.complete, step.failure)
        return killed

    def _kill_owner(self, cluster, events):
        started = next(event for event in events if event.kind == "step-started")
        name = started.process.partition("/")[0]
        next(instance for instance in cluster.instances if instance.name == name).kill()
        return name
