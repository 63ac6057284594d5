"""Tests that a record of another writer neither stops a reader nor misleads it."""

import asyncio
import json
import unittest
import zlib

from sassafrasdoor import documents, settings
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.memory_partitioned import MemoryPartitionedLog
from sassafrasdoor.log.partitioned import NewestKeys, keyed_record
from sassafrasdoor.outcomes import Expired, ReplyLost, Unavailable
from sassafrasdoor.platform import configuration
from sassafrasdoor.platform.store import Store
from sassafrasdoor.platform.tests import odd_records
from sassafrasdoor.platform.tests.test_foreign_records import BODIES
from sassafrasdoor.platform.tests.test_translation import DOCUMENT, ENTRY
from sassafrasdoor.requests.crash_watch import CrashWatch
from sassafrasdoor.routing.instances import Instances
from sassafrasdoor.routing.load_exchange import LoadExchange
from sassafrasdoor.routing.replicas import Replicas, Subset
from sassafrasdoor.steps.durable import records
from sassafrasdoor.steps.durable.state import Steps
from sassafrasdoor.steps.durable.tests.fixtures import spec
from sassafrasdoor.table.routes import RoutesInForce

INSTANCE = {
    "address": "h:1",
    "zone": "a",
    "region": "r",
    "cores": 1.0,
    "control": "h:2",
    "process": "p",
}
SERVICE = ENTRY["Service"]


def value_of(metric, topic):
    """Return the value of a counter by topic, 0 before its first use."""
    try:
        return metric.get({"topic": topic})
    except KeyError:
        return 0


class DocumentsTest(unittest.TestCase):
    def test_bounds(self):
        """Guards against values that fail where they are used first."""
        deepest = b"[" * documents.MAX_DEPTH + b"]" * documents.MAX_DEPTH
        documents.parse_document(deepest)
        documents.parse_document(b'{"a": "' + b"[" * 1000 + b'\\"[["}')
        largest = str(documents.MAX_INTEGER).encode()
        self.assertEqual(documents.parse_document(largest), documents.MAX_INTEGER)
        self.assertEqual(documents.parse_document(b'"\\ud83d\\ude00"'), "\U0001f600")
        bad = [
            b"[" + deepest + b"]",
            b'"\\ud800"',
            b'{"\\uDC00": 1}',
            b'"\xed\xa0\x80"',
        ]
        bad += [odd.encode() for odd in odd_records.LARGE_NUMBERS if odd != "-1"]
        bad += [str(documents.MAX_INTEGER + 1).encode(), b"\xff", b""]
        bad += [b"[" * depth + b"]" * depth for depth in odd_records.DEPTHS[1:]]
        bad += [b'{"a":' * depth for depth in odd_records.DEPTHS]
        for data in bad:
            with self.subTest(data[:40]), self.assertRaises(ValueError):
                documents.parse_document(data)

    def test_brackets_are_counted_in_linear_time(self):
        for data in (
            b'"\\' * 500_000,
            b'"' * 1_000_001,
            b"[]" * 500_000,
            b'"' + b"\\" * 10**6,
        ):
            with self.subTest(data[:10]), self.assertRaises(ValueError):
                documents.parse_document(data)


class ReplicaListTest(unittest.TestCase):
    def setUp(self):
        self.replicas = Replicas("palermo", has_load_control=True)
        self.replicas.subset = Subset("h:1", lambda: ["h:1"], lambda replica: False)
        self.topic = configuration.ServersTopicReader(self.replicas)

    def identities(self):
        usable = self.replicas.of_service(SERVICE)
        return {replica.identity for replica in usable}

    def use(self):
        """Use the entries as calls, items and the exchange of loads do."""
        exchange = LoadExchange(0, 0.0)
        for _ in range(3):
            replica = self.replicas.choose(SERVICE)
            replica.candidate()
            replica.record_load(3, 1, 1.5)
            replica.record_event_interval(0.1)
        exchange.begin_round(0.0)
        exchange.next_datagram(self.replicas.observed_loads(), 0.0)

    def test_odd_entry_gets_no_requests(self):
        """Guards against processes that end by an entry, again after each start.

        A slot count too large for a float ended all of them at the next call.
        """
        counted = configuration.UNREADABLE_RECORDS, configuration.SERVERS_TOPIC
        for number, (name, value) in enumerate(odd_records.odd_entries(ENTRY)):
            with self.subTest(name):
                before = value_of(*counted)
                self.topic.apply("before", json.dumps(ENTRY).encode())
                self.topic.apply(f"odd-{number}", value)
                self.topic.apply(f"odd-{number}", value)
                self.topic.apply("after", json.dumps(ENTRY).encode())
                self.use()
                self.assertEqual(self.identities(), {"before", "after"})
                self.assertEqual(value_of(*counted), before + 1)

    def test_entry_with_odd_identity_gets_no_requests(self):
        """Guards against an identity that cannot be sent in a header or kept in the log."""
        for identity in odd_records.ODD_IDENTITIES:
            with self.subTest(identity):
                self.topic.apply("before", json.dumps(ENTRY).encode())
                self.topic.apply(identity, json.dumps(ENTRY).encode())
                self.use()
                self.assertEqual(self.identities(), {"before"})
                self.topic.apply(identity, b"")

    def test_entry_after_an_odd_one_of_its_replica_is_used(self):
        for name, value in odd_records.odd_entries(ENTRY):
            with self.subTest(name):
                self.topic.apply("i", json.dumps(ENTRY).encode())
                self.topic.apply("i", value)
                self.assertEqual(self.identities(), set())
                self.topic.apply("i", json.dumps(ENTRY).encode())
                self.assertEqual(self.identities(), {"i"})

    def test_fields_that_are_not_read_stop_nobody(self):
        for name, value in odd_records.unread_fields(ENTRY):
            with self.subTest(name):
                self.topic.apply("odd", value)
                self.topic.apply("after", json.dumps(ENTRY).encode())
                self.use()
                self.assertIn("after", self.identities())

    def test_record_of_a_crash_fits_into_its_key(self):
        """Guards against a process that ends as it reports the crash of a replica.

        A long identity, or a time of birth of many digits, made the key too long.
        """
        longest = "i" * 200
        entry = {**ENTRY, "born": documents.MAX_INTEGER}
        self.topic.apply(longest, json.dumps(entry).encode())
        crashes = CrashWatch(None, self.replicas, MemoryPartitionedLog())
        crashes._record_crash(self.replicas.get(longest), {"f" * 32: "r"})
        (key,) = crashes._pending_records
        keyed_record(key, b"h")


class OperatorTopicTest(unittest.TestCase):
    def setUp(self):
        self.routes = RoutesInForce()
        self.named = []
        self.topic = configuration.OperatorTopicReader(
            self.routes, lambda *named: self.named.append(named)
        )

    def test_odd_configuration_is_not_applied(self):
        """Guards against routes that fail with the first call that uses them."""
        self.topic.apply("config", json.dumps(DOCUMENT).encode())
        for name, value in (
            *odd_records.odd_documents(DOCUMENT),
            *odd_records.odd_fields(DOCUMENT),
        ):
            with self.subTest(name):
                self.topic.apply("config", value)
                self.assertEqual(self.routes.current.version, DOCUMENT["Version"])
        newer = {**DOCUMENT, "Version": DOCUMENT["Version"] + 1}
        self.topic.apply("config", json.dumps(newer).encode())
        self.assertEqual(self.routes.current.version, newer["Version"])

    def test_odd_named_version_is_not_applied(self):
        named = {"Model": "m", "Version": 2}
        for name, value in (
            *odd_records.odd_documents(named),
            *odd_records.odd_fields(named, ("Version",), ("Model",)),
        ):
            with self.subTest(name):
                self.topic.apply("version/m", value)
                self.assertEqual(self.named, [])
        self.topic.apply("version/m", json.dumps(named).encode())
        self.assertEqual(self.named, [("m", 2)])


class InstancesTest(unittest.TestCase):
    def test_odd_instance_is_not_listed(self):
        """Guards against rankings that fail, or differ, by the record of an instance."""
        place = settings.from_document({"instance": {"name": "i"}})
        instances = Instances(place, MemoryPartitionedLog(), "i:1", "i:1")
        sound = json.dumps(INSTANCE).encode()
        numbers = [
            (f"cores {number}", odd_records.with_field(INSTANCE, "cores", number))
            for number in (*odd_records.LARGE_NUMBERS, "[]", "null")
        ]
        names = [name for name in INSTANCE if name != "cores"]
        for name, value in (
            *odd_records.odd_documents(INSTANCE),
            *odd_records.odd_fields(INSTANCE, (), names),
            *numbers,
        ):
            with self.subTest(name):
                instances._apply_record("h:1", sound)
                instances._apply_record("odd", value)
                self.assertEqual(instances.alive_count, 1)
                self.assertEqual(instances.addresses("a"), ["h:1"])
                instances.peers()
                instances.peer_control_addresses()
                instances.rank("shards")


class StepTopicTest(unittest.TestCase):
    def test_odd_records_of_steps_are_folded(self):
        """Guards against processes that end by a record, again after each start."""
        (step,) = records.encode_step(spec("s1"), 10_000)
        header, _, packed = step.partition(b"\n")
        document = json.loads(zlib.decompress(packed))
        odd = [
            (header[:1] + b'["odd", 0, 1]\n' + zlib.compress(value), name)
            for name, value in self.variants(document)
        ]
        for kind, body in BODIES.items():
            odd += [(kind + value, name) for name, value in self.variants(body)]
        for record, name in odd:
            with self.subTest(name, kind=record[:1]):
                steps = Steps()
                steps.fold(0, 0, step)
                for offset in (1, 2):
                    steps.fold(0, offset, record)
                steps.by_id["s1"].longest_partial_sample("i0")

    def variants(self, document):
        numbers = [name for name in document if type(document[name]) is int]
        texts = [name for name in document if type(document[name]) is str]
        return [
            *odd_records.odd_documents(document),
            *odd_records.odd_fields(document, numbers, texts),
        ]


class StoreTest(unittest.IsolatedAsyncioTestCase):
    async def answer(self, status, body):
        async def serve(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            length = head.lower().partition(b"content-length: ")[2].split(b"\r\n")[0]
            await reader.readexactly(int(length or 0))
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        store = Store(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.addCleanup(store.close)
        return store

    async def test_odd_answers_are_failures(self):
        """Guards against a process that ends by an answer without the right fields."""
        page = {"Items": [{"Key": "k", "Value": "dg=="}], "HasMore": False, "End": 3}
        answers = [
            *odd_records.odd_documents(page),
            *odd_records.odd_fields(page, ("End",)),
            *odd_records.odd_fields({"Offset": 1, "End": 2}, ("Offset",)),
            *odd_records.odd_fields({"First": 1}, ("First",)),
        ]
        items = [[1], [{}], [{"Key": 1, "Value": ""}], [{"Key": "k", "Value": 7}]]
        items += [[{"Key": "k", "Value": "\N{SUPERSCRIPT TWO}"}], {}, "x"]
        answers += [
            (f"Items {rows}", json.dumps({**page, "Items": rows}).encode())
            for rows in items
        ]
        for name, body in answers:
            if len(body) > 500_000:
                continue
            with self.subTest(name):
                store = await self.answer(200, body)
                result = await store.append("t", 0, [b"r"], deadline_in(5))
                if b"Offset" not in body:
                    self.assertIsInstance(result, ReplyLost)
                if name not in ("HasMore nested 10",):
                    self.assertIsInstance(await store.newest("t"), Unavailable)
                store = await self.answer(410, body)
                self.assertIsInstance(await store.read("t", 0, 0, 0), Unavailable)

    async def test_sound_answers(self):
        page = {"Items": [{"Key": "k", "Value": "dg=="}], "HasMore": False, "End": 3}
        newest = await (await self.answer(200, json.dumps(page).encode())).newest("t")
        self.assertEqual((newest.values, newest.end), ({"k": b"v"}, 3))
        store = await self.answer(200, b'{"Offset": 4, "End": 6}')
        appended = await store.append("t", 0, [b"r"], deadline_in(5))
        self.assertEqual((appended.first, appended.end), (4, 6))
        store = await self.answer(410, b'{"First": 7}')
        expired = await store.read("t", 0, 0, 0)
        self.assertIsInstance(expired, Expired)
        self.assertEqual(expired.first, 7)

    async def test_odd_key_among_the_newest_values(self):
        """Guards against a list that cannot be read because of one key."""
        keys = [b"i-1", b"\\udc80", b"\xed\xa0\x80", b"i-\xff", b"i-2"]
        rows = b",".join(b'{"Key": "%b", "Value": "e30="}' % key for key in keys)
        body = b'{"Items": [%b], "HasMore": false, "End": 5}' % rows
        before = value_of(configuration.UNREADABLE_RECORDS, "t")
        newest = await (await self.answer(200, body)).newest("t")
        self.assertEqual(newest.values, {"i-1": b"{}", "i-2": b"{}"})
        self.assertEqual(newest.end, 5)
        counted = value_of(configuration.UNREADABLE_RECORDS, "t") - before
        self.assertEqual(counted, 3)

    async def test_page_that_ends_with_an_odd_key(self):
        """Guards against a page that is asked for after a key that cannot be sent."""
        odd = {"Key": "\udc80", "Value": "e30="}
        pages = {
            "": ["i-1", odd],
            "i-1": [odd, "i-2"],
        }

        async def serve(reader, writer):
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            after = target.partition("After=")[2]
            rows = [
                row if row is odd else {"Key": row, "Value": "e30="}
                for row in pages[after]
            ]
            page = {"Items": rows, "HasMore": not after, "End": 5}
            body = json.dumps(page).encode()
            writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body))
            writer.write(body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        store = Store(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        self.addCleanup(store.close)
        newest = await store.newest("t")
        self.assertEqual(list(newest.values), ["i-1", "i-2"])

    async def test_page_of_odd_keys_alone_is_no_end(self):
        """Guards against a list cut short where a page has no key to continue after."""
        row = {"Key": "\udc80", "Value": "e30="}
        for has_more, outcome in ((True, Unavailable), (False, NewestKeys)):
            page = {"Items": [row], "HasMore": has_more, "End": 5}
            store = await self.answer(200, json.dumps(page).encode())
            self.assertIsInstance(await store.newest("t"), outcome)

    async def test_pages_that_repeat_end(self):
        """Guards against a reader that asks for the same page for ever."""
        page = {"Items": [{"Key": "k", "Value": "dg=="}], "HasMore": True, "End": 3}
        store = await self.answer(200, json.dumps(page).encode())
        async with asyncio.timeout(20):
            self.assertIsInstance(await store.newest("t"), Unavailable)


if __name__ == "__main__":
    unittest.main()
