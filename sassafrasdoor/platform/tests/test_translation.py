"""Tests of parsing settings, configurations, entries of replicas and submissions."""

import json
import pathlib
import tempfile
import unittest

from sassafrasdoor.callers.budget import CallerLimits
from sassafrasdoor.clock import now
from sassafrasdoor.outcomes import Rejected
from sassafrasdoor.platform import configuration, settings, steps
from sassafrasdoor.routing.replicas import Replicas
from sassafrasdoor.steps.durable.records import COMPLETED, Sample, StepSpec
from sassafrasdoor.steps.durable.service import Page
from sassafrasdoor.table.routes import Repeat, RoutesInForce

LINES = """
NodeName=front-1
Zone=palermo
Region=sicilia
Ip=10.1.0.10
Listen.Front=10.1.0.10:8161
Listen.Ready=10.1.0.10:8167
Listen.Directory=10.1.0.10:8164
Platform.Address=10.200.1.7:8169
Bounds.RequireFencing=true
Bounds.LeaseMs=3000
Something.New=1
not a line
"""
ROUTE = {
    "Name": "r",
    "Host": "H.example",
    "PathPrefix": "/a/",
    "Kind": "safe",
    "TimeoutMs": 800,
    "TargetLatencyMs": 191,
    "TrafficSplit": [{"Service": "x", "Weight": 9}, {"Service": "y", "Weight": 1}],
    "MaxAttempts": 2,
}
DOCUMENT = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [{"Name": "x", "Engine": {"Models": [{"Name": "m"}]}}, {"Name": "y"}],
    "Limits": {"MaxBodyBytes": 5, "IdleTimeoutMs": 1500},
}
ENTRY = {
    "Service": "x",
    "Address": "10.0.0.1:80",
    "Zone": "palermo",
    "Slots": 12,
    "State": "ready",
    "Models": [{"Name": "m", "Version": 3}],
    "born": 1000,
}


class SettingsTest(unittest.TestCase):
    def fields(self, **changes):
        return {**settings.parse_lines(LINES), **changes}

    def test_settings_are_translated(self):
        loaded = settings.from_fields(self.fields())
        self.assertEqual((loaded.lease, loaded.fenced), (3.0, True))
        self.assertEqual(loaded.instance.availability_zone, "palermo")

    def test_contract_of_pressure_asks_for_load_control(self):
        """Guards against load control where the settings do not call for it."""
        cases = [("base,pressure,platform", True), ("base,pool", False), ("", False)]
        for contracts, expected in cases:
            loaded = settings.from_fields(self.fields(Contracts=contracts))
            self.assertIs(loaded.has_load_control, expected)

    def test_every_finding_is_reported_with_its_place(self):
        broken = {
            "Zone": "",
            "Listen.Front": "nowhere",
            "Bounds.GraceS": "soon",
            "Platform.parts": "1",
            "PortRange": "9000",
        }
        rejected = settings.from_fields(self.fields(**broken))
        self.assertIsInstance(rejected, Rejected)
        places = {finding.place for finding in rejected.findings}
        self.assertEqual(places, set(broken))

    def test_limits_of_callers_are_translated(self):
        stated = {"Limits.MemoryMb": "320", "Limits.MaxFds": "8200"}
        loaded = settings.from_fields(self.fields(**stated))
        expected = CallerLimits(memory_bytes=320_000_000, descriptors=8200)
        self.assertEqual(loaded.caller_limits, expected)
        changed = {"Callers.StallMs": "500", "Callers.ProcessMb": "40"}
        limits = settings.from_fields(self.fields(**changed)).caller_limits
        self.assertEqual((limits.memory_bytes, limits.descriptors), (0, 0))
        self.assertEqual((limits.process_bytes, limits.stall_time), (40_000_000, 0.5))
        for text in ("-0.1", "1.1", "half"):
            with self.subTest(text):
                fields = self.fields(**{"Callers.MemoryShare": text})
                self.assertIsInstance(settings.from_fields(fields), Rejected)

    def test_port_range(self):
        """Guards against a port range that is read as absent although it is wrong."""
        self.assertIsNone(settings.from_fields(self.fields()).port_range)
        for text in ("9000,9010", " 9000 , 9010 "):
            loaded = settings.from_fields(self.fields(PortRange=text))
            self.assertEqual(loaded.port_range, (9000, 9010))
        for text in ("9010,9000", "0,5", "9000,70000", "a,b", "1,2,3", ","):
            with self.subTest(text):
                rejected = settings.from_fields(self.fields(PortRange=text))
                self.assertIsInstance(rejected, Rejected)

    def test_reload_applies_bounds_only(self):
        running = settings.from_fields(self.fields())
        changed = {"Bounds.GraceS": "5", "Listen.Front": "10.1.0.10:1", "Unknown": "1"}
        applied, deferred = running.take_over(
            settings.from_fields(self.fields(**changed))
        )
        self.assertEqual((applied, deferred), (["stop_within"], ["front"]))
        self.assertEqual(running.stop_within, 5.0)
        self.assertNotEqual(running.front, "10.1.0.10:1")

    def test_unreadable_file_is_refused(self):
        missing = pathlib.Path(tempfile.gettempdir()) / "no-such-file"
        self.assertIsInstance(settings.load(missing), Rejected)


class ConfigurationTest(unittest.TestCase):
    def setUp(self):
        self.routes = RoutesInForce()
        self.named = []
        self.keys = configuration.OperatorTopicReader(
            self.routes, lambda *pair: self.named.append(pair)
        )

    def apply(self, document, key="config"):
        self.keys.apply(key, json.dumps(document).encode())

    def test_route_is_translated(self):
        self.apply(DOCUMENT)
        route = self.routes.current.match("h.example", "/a/b")
        self.assertEqual((route.repeat, route.attempts), (Repeat.SAFE, 2))
        self.assertEqual((route.timeout, route.target), (0.8, 0.191))
        self.assertEqual(route.services, [("x", 9), ("y", 1)])
        self.assertEqual(self.routes.current.service_models, {"x": ["m"]})
        self.assertEqual(self.routes.current.limits.idle_timeout, 1.5)

    def test_unknown_kind_runs_once_at_most(self):
        self.apply({**DOCUMENT, "Routes": [{**ROUTE, "Kind": "new"}]})
        self.assertIs(self.routes.current.routes[0].repeat, Repeat.ONCE)

    def test_longest_prefix_matches(self):
        longer = {**ROUTE, "Name": "longer", "PathPrefix": "/a/b/"}
        self.apply({**DOCUMENT, "Routes": [ROUTE, longer]})
        current = self.routes.current
        self.assertEqual(current.match("h.example", "/a/b/c").name, "longer")
        self.assertEqual(current.match("h.example", "/a/x").name, "r")
        self.assertIsNone(current.match("other", "/a/x"))
        self.assertIsNone(current.match("h.example", "/x"))

    def test_older_configuration_is_ignored(self):
        """Guards against removed routes being served again.

        A read that started before a change may return after it; the configuration read
        last was applied instead of the newest.
        """
        self.apply(DOCUMENT)
        self.apply({**DOCUMENT, "Version": 6, "Routes": []})
        self.assertEqual(self.routes.current.version, 7)

    def test_malformed_records_are_ignored(self):
        self.apply(DOCUMENT)
        for bad in (b"{", b"[]", b"null", b'{"Version": 9}', b'{"Version": "x"}'):
            self.keys.apply("config", bad)
            self.keys.apply("version/m", bad)
        self.keys.apply("config", b"")
        self.assertEqual((self.routes.current.version, self.named), (7, []))

    def test_routes_are_not_current_while_the_newest_cannot_be_read(self):
        """Guards against ends by routes that are old since a newer version is unreadable."""
        self.apply(DOCUMENT)
        self.assertTrue(self.routes.is_known_since(now()))
        self.keys.apply("config", b'{"Version": 9}')
        self.assertFalse(self.routes.is_known_since(now()))
        self.keys.apply("version/m", b"{")
        self.apply({**DOCUMENT, "Version": 10})
        self.assertTrue(self.routes.is_known_since(now()))

    def test_named_version_is_reported(self):
        self.apply({"Model": "m", "Version": 4}, "version/m")
        self.assertEqual(self.named, [("m", 4)])


class EntryTest(unittest.TestCase):
    def setUp(self):
        self.replicas = Replicas("palermo")
        self.keys = configuration.ServersTopicReader(self.replicas)

    def test_entry_is_translated(self):
        self.keys.apply("i-1", json.dumps(ENTRY).encode())
        (replica,) = self.replicas.of_service("x")
        self.assertEqual(replica.versions, {"m": 3})
        self.assertEqual((replica.identity, replica.free_slots), ("i-1", 12))

    def test_draining_replica_is_not_selectable(self):
        self.keys.apply("i-1", json.dumps({**ENTRY, "State": "draining"}).encode())
        self.assertEqual(self.replicas.of_service("x"), [])

    def test_heartbeat_alone_changes_nothing(self):
        """Guards against parsing every heartbeat, which took a tenth of the CPU time
        of 300 instances.

        Each replica writes its entry every second with a higher sequence number.
        """
        changes = []
        self.replicas.on_change(lambda: changes.append(None))
        for number, state in ((1, "ready"), (2, "ready"), (3, "draining"), (4, "x")):
            entry = {**ENTRY, "State": state, "Sequence": number}
            self.keys.apply("i-1", json.dumps(entry).encode())
        self.assertEqual(len(changes), 3)
        self.keys.apply("i-1", b"")
        self.keys.apply("i-1", json.dumps({**ENTRY, "Sequence": 5}).encode())
        self.assertEqual(len(self.replicas.of_service("x")), 1)

    def test_malformed_entry_removes_only_its_replica(self):
        """Guards against requests to an address at which no replica listens.

        Another writer leaves an entry under a replica's key in which a field is
        missing, has another type or an unknown state; the understood fields were used.
        """
        other = json.dumps({**ENTRY, "Address": "10.0.0.2:80"}).encode()
        self.keys.apply("i-2", other)
        for bad in bad_entries():
            with self.subTest(bad):
                self.keys.apply("i-1", json.dumps(ENTRY).encode())
                self.assertEqual(len(self.replicas.of_service("x")), 2)
                self.keys.apply("i-1", bad)
                identities = [
                    replica.identity for replica in self.replicas.of_service("x")
                ]
                self.assertEqual(identities, ["i-2"])

    def test_entry_is_used_again_after_a_malformed_one(self):
        good = json.dumps(ENTRY).encode()
        for value in (good, b"{", good):
            self.keys.apply("i-1", value)
        self.assertEqual(len(self.replicas.of_service("x")), 1)

    def test_restarted_replica_uses_its_new_entry(self):
        """Guards against ignoring the first entries of a restarted replica.

        It keeps its identity, but its sequence numbers start again; the lower number
        was taken for that of an older entry.
        """
        for number, born, version in ((9, 1000, 3), (1, 2000, 1)):
            models = [{"Name": "m", "Version": version}]
            entry = {**ENTRY, "Sequence": number, "born": born, "Models": models}
            self.keys.apply("i-1", json.dumps(entry).encode())
        self.assertEqual(self.replicas.get("i-1").versions, {"m": 1})


def bad_entries():
    """Yield malformed entries, as bytes."""
    yield from (b"{", b"[]", b"{}", b"null", b"7", b'"text"', b"\xff\xfe", b"[" * 9999)
    others = {str: 7, int: "7", list: {}}
    for name, value in ENTRY.items():
        yield json.dumps({**ENTRY, name: others[type(value)]}).encode()
        yield json.dumps({**ENTRY, name: None}).encode()
        if name not in ("Models", "born"):
            yield json.dumps({key: ENTRY[key] for key in ENTRY if key != name}).encode()
    changes = [
        {"State": "parked"},
        {"Slots": 0},
        {"Slots": True},
        {"Slots": 1.5},
        {"Address": "nowhere"},
        {"Address": "10.0.0.1:http"},
        {"born": 1.5},
        {"Models": ["m"]},
        {"Models": [{"Name": "m"}]},
        {"Models": [{"Name": 1, "Version": 1}]},
    ]
    for change in changes:
        yield json.dumps({**ENTRY, **change}).encode()


class SubmissionTest(unittest.TestCase):
    REWARD = {"Id": "r", "Host": "h", "Path": "/a/1", "Body": "YWI="}

    def spec(self, *rewards):
        rows = [
            {"Id": f"i{at}", "Path": "/p", "Tokens": 1, "Scorer": reward}
            for at, reward in enumerate(rewards)
        ]
        body = json.dumps({"Model": "m", "Items": rows})
        return steps.parse_step_spec("s", "h", "/p", body)

    def test_reward_call_is_translated(self):
        spec = self.spec(self.REWARD, None)
        reward = spec.items[0].reward
        self.assertEqual(
            (reward.call_id, reward.host, reward.path, reward.body),
            ("r", "h", "/a/1", b"ab"),
        )
        self.assertIsNone(spec.items[1].reward)

    def test_malformed_reward_calls_are_refused_with_their_places(self):
        """Guards against accepting samples that can never be scored.

        A reward call without a path was accepted, since only the items themselves were
        validated; the trainer then waited for the samples.
        """
        cases = [
            ("Id", {**self.REWARD, "Id": ""}),
            ("Host", {**self.REWARD, "Host": 7}),
            ("Path", {**self.REWARD, "Path": "a/1"}),
            ("Body", {**self.REWARD, "Body": "%"}),
            ("Body", {**self.REWARD, "Body": 3}),
        ]
        for name, reward in cases:
            with self.subTest(name):
                rejected = self.spec(self.REWARD, reward)
                self.assertIsInstance(rejected, Rejected)
                places = [finding.place for finding in rejected.findings]
                self.assertEqual(places, [f"Items.1.Scorer.{name}"])
        rejected = self.spec("text", {})
        places = [finding.place for finding in rejected.findings]
        wanted = [f"Items.1.Scorer.{name}" for name in ("Id", "Host", "Path")]
        self.assertEqual(places, ["Items.0.Scorer", *wanted])

    def test_step_unreadable_from_the_log_is_rejected(self):
        """Guards against accepted steps whose records every reader skips."""
        cases = [
            ("Id", 5),
            ("Id", None),
            ("Path", None),
            ("Group", None),
            ("Group", 5),
        ]
        good = {"Id": "i", "Path": "/p", "Headers": {}, "Body": "", "Group": "g"}
        bad = [
            {"Model": "m", "Items": [{**good, name: value}]} for name, value in cases
        ]
        bad += [{"Model": value, "Items": [good]} for value in (None, 5)]
        for step in bad:
            with self.subTest(step):
                result = steps.parse_step_spec("s", "h", "/", json.dumps(step).encode())
                self.assertIsInstance(result, Rejected)
        result = steps.parse_step_spec(
            "s", "h", "/", json.dumps({"Model": "m", "Items": [good]}).encode()
        )
        self.assertIsInstance(result, StepSpec)

    def test_score_is_included_if_present(self):
        samples = [
            Sample("s", "i0", COMPLETED, "t", [1], "mark"),
            Sample("s", "i1", COMPLETED, "t", [1]),
        ]
        document = json.loads(steps.page_document(Page(0, samples, 2)))
        scores = [result.get("Score") for result in document["Results"]]
        self.assertEqual(scores, ["mark", None])
