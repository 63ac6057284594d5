"""Streams from engines: resumed at their offset, never restarted unnoticed."""

import asyncio
import unittest

from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.admission.retries import RetryBudget
from sassafrasdoor.backends.interface import Broken, Chunk, Finished
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests.streams import GenerateRequest, Restart, StreamRunner
from sassafrasdoor.requests.tests.fakes import FakeEngine, settings, view
from sassafrasdoor.routing.chooser import Chooser
from sassafrasdoor.support import until

CUT = Broken("cut")
REFUSED = Broken("refused", began=False)
FULL = NotRun("queue full")
WRONG_END = Finished(7, [])


class StreamsTest(unittest.IsolatedAsyncioTestCase):
    def streams(self, engine, current_view):
        """Return a ``StreamRunner`` over a fake engine."""
        test_settings = settings()
        self.admission, self.chooser = Admission(test_settings), Chooser(test_settings)
        shared = (
            test_settings,
            lambda: current_view,
            self.admission,
            self.chooser,
            engine,
        )
        return StreamRunner(*shared, RetryBudget(test_settings))

    async def collect(
        self, engine, count=1, repeatable=False, restartable=False, within=20.0
    ):
        """Run a stream of five tokens; return the valid text and the last item."""
        current_view = view(count=count)
        generate = GenerateRequest("s", "a prompt", 5, repeatable, restartable)
        items = self.streams(engine, current_view).run(
            current_view.row("app"), generate, deadline_in(within)
        )
        tokens, last = [], None
        async for last in items:
            if isinstance(last, Chunk):
                tokens.append(last.text)
            elif isinstance(last, Restart):
                tokens.clear()
        return "".join(tokens), last

    async def test_table_of_faults(self):
        """Guards against answers that are truncated, repeat a part or mix two runs.

        The connection to the engine breaks before, between or after the chunks. The
        stream must not start again, and its part must not be taken for complete.
        """
        whole = "w0 w1 w2 w3 w4 "
        # (faults of the engine, whether it loses the stream) -> text, last item, starts
        cases = [
            ([], False, whole, Finished, 1),
            ([(2, CUT)], False, whole, Finished, 1),
            ([(2, CUT), (4, CUT)], False, whole, Finished, 1),
            ([(0, CUT)], False, whole, Finished, 1),
            ([(2, CUT), (2, REFUSED)], False, whole, Finished, 1),
            ([(2, CUT)], True, "w0 w1 ", Unknown, 1),
            ([(0, CUT)], True, "", Unknown, 1),
            ([(5, WRONG_END)], False, whole, Unknown, 1),
            ([(3, Finished(5, []))], False, "w0 w1 w2 ", Unknown, 1),
            ([(0, REFUSED)], False, "", NotRun, 0),
            ([(0, FULL)], False, "", NotRun, 0),
        ]
        for faults, forgets, text, kind, starts in cases:
            with self.subTest(faults=faults, forgets=forgets):
                engine = FakeEngine({"b0": faults}, ["b0"] if forgets else [])
                received_text, last = await self.collect(engine)
                self.assertEqual(received_text, text)
                self.assertIsInstance(last, kind)
                self.assertEqual(engine.starts["s"], starts)
                self.assertEqual(self.admission.in_use(), {})

    async def test_expired_stream_is_not_run(self):
        engine = FakeEngine()
        _, last = await self.collect(engine, within=0)
        self.assertIsInstance(last, NotRun)
        self.assertEqual(engine.offsets, [])

    async def test_resumes_name_the_offset_received(self):
        engine = FakeEngine({"b0": [(2, CUT), (4, CUT)]})
        await self.collect(engine)
        self.assertEqual(engine.offsets, [0, 2, 4])

    async def test_another_engine_takes_over_when_that_is_safe(self):
        # (fault of every first try, repeatable, restartable) -> last item
        cases = [
            ((0, REFUSED), False, False, Finished),
            ((0, FULL), False, False, Finished),
            ((2, CUT), True, True, Finished),
            ((2, CUT), True, False, Unknown),
            ((2, CUT), False, True, Unknown),
            ((0, CUT), True, False, Finished),
        ]
        for fault, repeatable, restartable, kind in cases:
            with self.subTest(fault=fault, repeatable=repeatable, whole=restartable):
                failing_engine = _FirstFails(fault)
                text, last = await self.collect(
                    failing_engine, 2, repeatable, restartable
                )
                self.assertIsInstance(last, kind)
                if kind is Finished:
                    self.assertEqual(text, "w0 w1 w2 w3 w4 ")

    async def test_disconnected_caller_cancels_the_stream_at_the_engine(self):
        """Guards against engines that are busy with streams without a reader.

        A caller disconnects in the middle of a stream. The engine must be told to
        cancel it, otherwise it continues to generate.
        """
        engine = FakeEngine()
        engine.gate = asyncio.Event()
        current_view = view(count=1)
        streams = self.streams(engine, current_view)
        generate = GenerateRequest("s", "a prompt", 5, True, False)
        received = []

        async def read():
            async for item in streams.run(
                current_view.row("app"), generate, deadline_in(60)
            ):
                received.append(item)

        task = asyncio.ensure_future(read())
        await until(lambda: received)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await until(lambda: engine.cancelled, what="the cancel order")
        self.assertEqual(set(engine.cancelled), {("b0", "s")})
        self.assertEqual(engine.closed, 1)
        self.assertEqual(self.chooser.in_flight(current_view.backends[0]), 0)
        self.assertEqual(self.admission.in_use(), {})

    async def test_caller_disconnects_before_the_first_chunk(self):
        """Guards against an engine that generates for no reader (seen in 1 of 4 runs).

        The caller disconnects after the engine has started and before its first chunk
        arrives. A stream without a chunk must also count as started.
        """
        engine = FakeEngine()
        engine.before_first = asyncio.Event()
        current_view = view(count=1)
        streams = self.streams(engine, current_view)
        generate = GenerateRequest("s", "a prompt", 5, True, False)

        async def read():
            async for _ in streams.run(
                current_view.row("app"), generate, deadline_in(60)
            ):
                pass

        task = asyncio.ensure_future(read())
        await until(lambda: engine.starts["s"])
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await until(lambda: engine.cancelled, what="the cancel order")
        self.assertEqual(set(engine.cancelled), {("b0", "s")})


class _FirstFails(FakeEngine):
    """The engine that is tried first fails once and loses the stream."""

    def __init__(self, fault):
        super().__init__()
        self.fault = fault

    def stream(self, backend, order):
        if self.fault is not None:
            self.faults[backend.name] = [self.fault]
            self.forgets.add(backend.name)
            self.fault = None
        return super().stream(backend, order)


if __name__ == "__main__":
    unittest.main()
