"""Contract tests of the adapter to engines: streams, version labels, orders."""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

from sassafrasdoor.backends import transfer
from sassafrasdoor.backends.interface import (
    Broken,
    Chunk,
    Finished,
    Order,
    Stale,
    prefix_key,
)
from sassafrasdoor.backends.stream import StreamReader
from sassafrasdoor.backends.tests.fixtures import (
    MODEL,
    BackendsTestCase,
    joined_text,
    span_lists,
    stream_order,
)
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.outcomes import NotRun, ReplyLost, Unavailable
from sassafrasdoor.support import until
from sassafrasdoor.view import Backend

COMPLETE = Finished
STREAM_CONTRACT = (
    # faults, type of the outcome, its reason, whether chunks precede it
    ({}, COMPLETE, None, True),
    ({"fail_before": 1}, Broken, "connection closed without a reply", False),
    ({"fail_after": 1}, Broken, "reply cut", True),
    ({"truncate": 1}, Broken, "reply ended without its last line", True),
    ({"freeze": True}, Broken, "silent", False),
    ({"leaving": True}, NotRun, "leaving", False),
)
ORDER_CONTRACT = (
    # faults, fencing number, type of the outcome, version afterwards
    ({}, 7, dict, 3),
    ({}, 5, Stale, 2),
    ({"fail_swaps": 1}, 7, Unavailable, 2),
    ({"lost_order_replies": 1}, 7, ReplyLost, 3),
    ({"late_swaps": 1}, 7, ReplyLost, 3),
    ({"false_swaps": 1}, 7, dict, 2),
)


class StreamContractTest(BackendsTestCase):
    async def test_each_fault_ends_the_stream_with_its_outcome(self):
        """Guards against a truncated stream taken for a complete one."""
        for faults, kind, reason, has_chunks in STREAM_CONTRACT:
            with self.subTest(faults=faults):
                stand_in, backend = self.start_engine()
                stand_in.set_faults(faults)
                order = stream_order(max_tokens=80, first_byte_timeout=0.5)
                chunks, end = await self.read(backend, order)
                self.assertIsInstance(end, kind)
                self.assertEqual(getattr(end, "reason", None), reason)
                self.assertEqual(bool(chunks), has_chunks)
                self.assertTrue(getattr(end, "began", True))

    async def test_a_refused_connection_never_began(self):
        stand_in, backend = self.start_engine()
        await stand_in.close()
        _, end = await self.read(backend, stream_order())
        self.assertEqual((end.reason, end.began), ("connection refused", False))

    async def test_a_full_queue_refuses_and_runs_nothing(self):
        stand_in, backend = self.start_engine(capacity=1, queue_size=1)
        stand_in.set_faults({"freeze": True})
        admitted = [
            asyncio.create_task(self.read(backend, stream_order(f"s/{number}")))
            for number in range(2)
        ]
        await until(lambda: len(stand_in.batch.streams) == 2)
        _, end = await self.read(backend, stream_order("s/3"))
        self.assertEqual(end, NotRun("queue full"))
        self.assertNotIn("s/3", stand_in.truth()["streams"])
        stand_in.set_faults({"freeze": False})
        for _, end in await asyncio.gather(*admitted):
            self.assertIsInstance(end, Finished)

    async def test_resumed_stream_neither_repeats_nor_loses_tokens(self):
        """Guards against repeated or missing tokens in a resumed stream."""
        for faults in ({"fail_after": 1}, {"silence": True}):
            with self.subTest(faults=faults):
                stand_in, backend = self.start_engine()
                complete, _ = await self.read(backend, stream_order("w/1", 200))
                stand_in.batch.cancel("w/1")
                received, end = await self._read_until_broken(stand_in, backend, faults)
                self.assertFalse(end)
                offset = received[-1].offset + received[-1].tokens
                rest, end = await self.read(
                    backend, stream_order("w/1", 200, offset=offset)
                )
                self.assertEqual(joined_text(received + rest), joined_text(complete))
                truth = stand_in.truth()["streams"]["w/1"]
                self.assertEqual(span_lists(end), truth["spans"])
                self.assertEqual((truth["starts"], truth["connections"]), (2, 2))

    async def _read_until_broken(self, stand_in, backend, faults):
        """Read the first chunk, set the faults, read until the stream breaks."""
        if "fail_after" in faults:
            stand_in.set_faults(faults)
        chunks = []
        order = stream_order("w/1", 200, gap_timeout=0.3)
        async with contextlib.aclosing(self.engine.stream(backend, order)) as items:
            async for item in items:
                if not isinstance(item, Chunk):
                    return chunks, item
                chunks.append(item)
                if "silence" in faults and len(chunks) == 1:
                    stand_in.set_faults(faults)
        return chunks, None

    async def test_completed_stream_can_be_read_again(self):
        _, backend = self.start_engine()
        first_read, _ = await self.read(backend, stream_order("s/1", 200))
        second_read, end = await self.read(backend, stream_order("s/1", 200, offset=2))
        self.assertEqual(
            joined_text(first_read).split()[2:], joined_text(second_read).split()
        )
        self.assertEqual(end.spans[0].first, 0)

    async def test_weight_swap_within_a_stream_yields_both_versions(self):
        """Guards against a label that omits the version of a swap in the stream."""
        stand_in, backend = self.start_engine(initial_version=1, swap_seconds=0.05)
        reading = asyncio.create_task(self.read(backend, stream_order("s/1", 400)))
        await until(lambda: stand_in.batch.streams and stand_in.batch.running)
        await until(lambda: stand_in.batch.streams["s/1"].offset)
        await self.engine.order(backend, Order(1, MODEL, 2, "", deadline_in(20)))
        chunks, end = await reading
        spans = span_lists(end)
        self.assertEqual([span[0] for span in spans], [1, 2])
        self.assertEqual(spans, stand_in.truth()["streams"]["s/1"]["spans"])
        labels = {(chunk.version, chunk.offset) for chunk in chunks}
        for version, first, last in spans:
            versions = {v for v, offset in labels if first <= offset < last}
            self.assertEqual(versions, {version})

    async def test_closing_the_iterator_ends_the_transfer(self):
        """Guards against a transfer that continues after its iterator is closed."""
        patcher = mock.patch.object(transfer, "CONNECT_TIMEOUT", 600.0)
        patcher.start()
        self.addCleanup(patcher.stop)
        stand_in, backend = self.start_engine()
        items = self.engine.stream(backend, stream_order("s/1", 4000))
        self.assertIsInstance(await anext(items), Chunk)
        stand_in.set_faults({"freeze": True})
        await items.aclose()
        await until(
            lambda: not stand_in.batch.streams["s/1"].open_connections,
            timeout=3,
            what="close",
        )
        self.assertIsNone(await self.engine.cancel(backend, "s/1"))
        self.assertEqual(await self.engine.streams(backend, "s/"), [])

    async def test_cancellation_of_a_reader_is_not_lost(self):
        """Guards against ``asyncio.wait_for`` of Python 3.11 losing a cancellation."""
        for loop_iterations in range(5):
            with self.subTest(loop_iterations=loop_iterations):
                reader = StreamReader(None, None, stream_order())
                self.addCleanup(reader._received.release)
                task = asyncio.create_task(reader._next_data(20))
                await asyncio.sleep(0)
                reader._received.put_nowait(b"chunk")
                for _ in range(loop_iterations):
                    await asyncio.sleep(0)
                if task.cancel():
                    with self.assertRaises(asyncio.CancelledError):
                        await task

    async def test_inconsistent_lines_end_the_stream(self):
        """Guards against chunks joined despite a gap between their offsets."""
        start = b'{"offset":0,"text":"a ","tokens":1,"version":1}\n'
        for lines, reason in (
            (b'{"offset":5,"text":"b","tokens":1,"version":1}\n', "gap in the stream"),
            (b'{"done":true,"length":9,"spans":[]}\n', "end before the last token"),
            (b'{"done":tr\n', "line not understood"),
            (b"[1]\n", "line not understood"),
            (b'{"offset":1}\n', "line not understood"),
        ):
            with self.subTest(reason=reason):
                end = await self._raw_reply(start + lines)
                self.assertEqual(end.reason, reason)

    async def _raw_reply(self, body):
        server, backend = await start_raw_server(body)
        _, end = await self.read(backend, stream_order())
        server.close()
        return end


async def start_raw_server(body):
    """Start a server that answers any request with ``body``."""

    async def reply(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(reply, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    return server, Backend("raw", address, "engine", "engines")


class OrderContractTest(BackendsTestCase):
    async def test_each_fault_has_its_outcome(self):
        """Guards against a reply to an order taken for the engine's state."""
        for faults, fence, kind, version in ORDER_CONTRACT:
            with self.subTest(faults=faults, fence=fence):
                stand_in, backend = self.start_engine(swap_seconds=0.01)
                first = Order(6, MODEL, 2, "", deadline_in(20))
                self.assertTrue(await self.engine.order(backend, first))
                stand_in.set_faults(faults)
                seconds = 0.5 if "late_swaps" in faults else 20
                order = Order(fence, MODEL, 3, "", deadline_in(seconds))
                outcome = await self.engine.order(backend, order)
                self.assertIsInstance(outcome, kind)
                self.assertEqual(stand_in.batch.versions[MODEL], version)
                await until(lambda b=backend, v=version: self._is_reported(b, v))

    async def _is_reported(self, backend, version):
        return (await self.engine.load(backend)).versions[MODEL] == version

    async def test_malformed_replies_are_unavailable(self):
        """Guards against a malformed reply that ends the task polling the engine."""
        for body in (b'{"versions": 7}', b"[]", b"{}", b"not JSON"):
            with self.subTest(body=body):
                server, backend = await start_raw_server(body)
                order = Order(1, MODEL, 3, "", deadline_in(20))
                for outcome in (
                    await self.engine.load(backend),
                    await self.engine.streams(backend, ""),
                    await self.engine.cache_events(backend, 0),
                    await self.engine.export_kv(backend, "s"),
                    await self.engine.order(backend, order),
                ):
                    self.assertIsInstance(outcome, Unavailable)
                server.close()

    async def test_late_answer_on_a_kept_connection_is_not_that_of_a_stream(self):
        """Guards against a stream that goes on with the KV cache of another one."""

        async def serve(reader, writer):
            late = b""
            with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
                while True:
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = head.partition(b"Content-Length: ")[2].split(b"\r\n")[0]
                    sent = await reader.readexactly(int(length or 0))
                    name = json.loads(sent)["stream"] if sent else ""
                    status = 404 if name == "gone" else 200
                    body = json.dumps({"kv": name, "streams": []})
                    lines = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}"
                    answer = f"{lines}\r\n\r\n{body}".encode()
                    writer.write(late + answer)
                    late = answer
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        backend = Backend("raw", address, "engine", "engine")
        for name in ("s/1", "s/2"):
            self.assertEqual(await self.engine.streams(backend, ""), [])
            self.assertEqual(await self.engine.export_kv(backend, name), name)
            imported = await self.engine.import_kv(backend, "gone", "kv")
            self.assertEqual(imported, Unavailable("status 404"))
            self.assertIsNone(await self.engine.cancel(backend, name))

    async def test_calls_to_a_stopped_engine_are_unavailable(self):
        stand_in, backend = self.start_engine()
        await stand_in.close()
        order = Order(1, MODEL, 3, "", deadline_in(20))
        self.assertIsInstance(await self.engine.order(backend, order), Unavailable)
        self.assertIsInstance(await self.engine.load(backend), Unavailable)
        self.assertIsInstance(await self.engine.cancel(backend, "s"), Unavailable)

    async def test_cache_events_are_delayed_and_cached_prefixes_skip_prefill(self):
        stand_in, backend = self.start_engine(
            prefill_per_token=0.05, cache_delay=0.05, cache_loss=0.0
        )
        prefix = prefix_key(stream_order().prompt)
        self.assertEqual(await self.engine.cache_events(backend, 0), ([], 0))
        order = stream_order()
        document = {"model": MODEL, "prompt": order.prompt, "max_tokens": 4}
        for name, cached in (("s/1", False), ("s/2", True)):
            stream = stand_in.admit({"stream": name, **document})
            self.assertEqual(passed(stream.prefill_deadline), cached)
        await until(lambda: stand_in.batch.cache.events(0))
        events, next_number = await self.engine.cache_events(backend, 0)
        received = [(event.number, event.prefix, event.stored) for event in events]
        self.assertEqual((received, next_number), ([(1, prefix, True)], 2))

    async def test_stream_resumes_on_another_engine_with_its_kv_cache(self):
        source, backend = self.start_engine("engine-1")
        target, other = self.start_engine("engine-2")
        await self.read(backend, stream_order("s/1"))
        kv = await self.engine.export_kv(backend, "s/1")
        self.assertIsNone(await self.engine.import_kv(other, "s/1", kv))
        self.assertIn("s/1", target.batch.imported)
        missing = await self.engine.export_kv(backend, "unknown")
        self.assertEqual(missing, Unavailable("status 404"))
        complete = joined_text((await self.read(backend, stream_order("s/1")))[0])
        rest, end = await self.read(other, stream_order("s/1", offset=3))
        self.assertEqual(joined_text(rest).split(), complete.split()[3:])
        self.assertEqual(end.spans[0].first, 3)
        self.assertEqual(source.truth()["streams"]["s/1"]["starts"], 1)


if __name__ == "__main__":
    unittest.main()
