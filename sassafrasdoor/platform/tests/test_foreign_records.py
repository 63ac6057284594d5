"""Tests that malformed records do not stop the reader of any topic.

Another or a faulty writer may append arbitrary bytes. A reader that raised an
unexpected exception stopped following its topic, again after each restart.
"""

import json
import unittest

from hypothesis import example, given, strategies as st

from sassafrasdoor import settings
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.platform import configuration
from sassafrasdoor.platform.tests.test_translation import DOCUMENT, ENTRY
from sassafrasdoor.routing.instances import Instances
from sassafrasdoor.routing.replicas import Replicas
from sassafrasdoor.steps.durable import records
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import spec
from sassafrasdoor.table.routes import RoutesInForce
from sassafrasdoor.tests.test_fuzz import JSON, fuzzed, nearly

INSTANCE = {"address": "h:1", "zone": "a", "region": "r", "cores": 1.0}
SAMPLE = {
    "step_id": "s1",
    "item_id": "i0",
    "state": "completed",
    "text": "t",
    "versions": [1],
    "score": "",
}
PROGRESS = {
    "step_id": "s1",
    "item_id": "i0",
    "run": "r",
    "first": 0,
    "numbers": [0],
    "texts": ["t"],
    "versions": [1],
}
CLAIM = {"runner": "h/1", "replaces": -1, "released": False}
BODIES = {
    records.SAMPLE: SAMPLE,
    records.TEXT: {key: SAMPLE[key] for key in SAMPLE if key not in ("state", "score")},
    records.SCORE: {"step_id": "s1", "item_id": "i0", "score": "x"},
    records.FAILURE: {"step_id": "s1", "item_id": "i0"},
    records.REWARD_FAILURE: {"step_id": "s1", "item_id": "i0"},
    records.END: {"step_id": "s1"},
    records.CLAIM: CLAIM,
    records.PROGRESS: PROGRESS,
}


def nearly_records():
    """Return a strategy for bytes that are, or nearly are, a record of a step."""
    made = [
        nearly(body).map(
            lambda document, kind=kind: kind + json.dumps(document).encode()
        )
        for kind, body in BODIES.items()
    ]
    (step,) = records.encode_step(spec("s1"), 10_000)
    return st.one_of(*made) | st.binary(max_size=60) | st.just(step)


class KeyedTopicsTest(unittest.TestCase):
    @fuzzed
    @given(JSON | nearly(ENTRY))
    @example({**ENTRY, "Models": [{"Name": [], "Version": 1}]})
    def test_replicas(self, document):
        replicas = Replicas("palermo")
        keys = configuration.ServersTopicReader(replicas)
        keys.apply("good", json.dumps(ENTRY).encode())
        keys.apply("other", json.dumps(document).encode())
        self.assertIn(
            "good", [replica.identity for replica in replicas.of_service("x")]
        )
        for replica in replicas.of_service("x"):
            self.assertIsInstance(replica.load + replica.free_slots, int)
            host, _, port = replica.listing.address.rpartition(":")
            self.assertTrue(host and port.isdigit())

    @fuzzed
    @given(JSON | nearly(DOCUMENT), st.sampled_from(["config", "version/m", "x"]))
    def test_operator_records(self, document, key):
        routes = RoutesInForce()
        keys = configuration.OperatorTopicReader(routes, lambda model, version: None)
        keys.apply("config", json.dumps(DOCUMENT).encode())
        keys.apply(key, json.dumps(document).encode())
        self.assertGreaterEqual(routes.current.version, DOCUMENT["Version"])
        routes.current.match("h.example", "/a/b")

    @fuzzed
    @given(JSON | nearly(INSTANCE))
    def test_instances(self, document):
        place = settings.from_document({"instance": {"name": "i"}})
        instances = Instances(place, MemoryPartitionedLog(), "i:1", "i:1")
        instances._apply_record("h:1", json.dumps(INSTANCE).encode())
        instances._apply_record("other", json.dumps(document).encode())
        self.assertIn("h:1", instances.addresses("a"))
        instances.peers()
        instances.rank("shards")


class StepTopicTest(unittest.TestCase):
    @fuzzed
    @given(st.lists(nearly_records(), max_size=6))
    def test_steps(self, data):
        steps = Steps()
        for offset, record in enumerate(data):
            steps.fold(0, offset, record)
        (whole,) = records.encode_step(spec("s2"), 10_000)
        sample = records.Sample("s2", "i1", records.COMPLETED, "t", [1])
        steps.fold(0, 90, whole)
        steps.fold(0, 91, records.encode(sample))
        self.assertEqual(steps.by_id["s2"].listed[0].text, "t")
        for step in steps.by_id.values():
            step.longest_partial_sample("i0")
            for sample in step.listed:
                self.assertIsInstance(sample.text, str)
                self.assertTrue(
                    all(type(version) is int for version in sample.versions)
                )
