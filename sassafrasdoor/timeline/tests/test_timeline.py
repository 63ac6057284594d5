import asyncio
import json
import subprocess
import sys
import unittest

from sassafrasdoor import settings
from sassafrasdoor.control.service import ControlService
from sassafrasdoor.events import EVENTS, Event, EventRing
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers.server import PeerServer
from sassafrasdoor.peers.tests.test_link import on_kj_loop
from sassafrasdoor.support import ROOT, until
from sassafrasdoor.timeline import export
from sassafrasdoor.timeline.collector import Collector, Filter
from sassafrasdoor.timeline.sources import ControlSource, event_from

MS = 1 << 16


class FakeSource:
    """Returns pages of two events; ``down`` makes it fail."""

    def __init__(self, name, *events):
        self.name = name
        self.events = list(events)
        self.down = False

    async def read(self, since):
        if self.down:
            return Unavailable("down")
        return [event for event in self.events if event.stamp > since][:2]

    def close(self):
        pass


def event(stamp, process="a/entry", kind="x", **fields):
    return Event(stamp, process, kind, fields)


class CollectorTests(unittest.IsolatedAsyncioTestCase):
    async def test_merges_pages_in_order_and_reports_unavailable_sources(self):
        first = FakeSource("one", *map(event, (1, 4, 5, 9)))
        second = FakeSource("two", *map(event, (2, 3, 7)))
        collector = Collector([first, second])
        stamps = [item.stamp for item in await collector.collect()]
        self.assertEqual(stamps, [1, 2, 3, 4, 5, 7, 9])
        self.assertEqual(await collector.collect(), [])
        second.down = True
        first.events.append(event(10))
        self.assertEqual([item.stamp for item in await collector.collect()], [10])
        self.assertEqual(collector.unavailable, {"two": "down"})
        second.down = False
        second.events.append(event(11))
        self.assertEqual([item.stamp for item in await collector.collect()], [11])
        self.assertEqual(collector.unavailable, {})

    async def test_following_waits_for_late_older_events(self):
        """Guards against an effect that is printed before its cause."""
        ring = EventRing()
        first, second = FakeSource("one"), FakeSource("two")
        collector = Collector([first, second])
        stamps = []

        async def follow():
            async for events in collector.follow():
                stamps.extend(item.stamp for item in events)

        task = asyncio.create_task(follow())
        cause = ring.clock.stamp() - 100 * MS
        effect = cause + 1
        second.events.append(event(effect))
        await until(
            lambda: collector._last_stamps[second] == effect, what="the effect read"
        )
        first.events.append(event(cause))
        await until(lambda: len(stamps) == 2, what="both events")
        self.assertEqual(stamps, [cause, effect])
        task.cancel()

    def test_filters(self):
        events = [
            event(1, "a/entry", "request-started", request="r1"),
            event(2, "a/control", "member", member="b"),
            event(3, "b/entry", "step-started", step="s1"),
            event(4, "b/entry", "stream-broken", stream="row/s1/0/3"),
            event(5, "b/entry", "step-started", step="s11"),
        ]
        cases = [
            ({}, [1, 2, 3, 4, 5]),
            ({"request": "r1"}, [1]),
            ({"step": "s1"}, [3, 4]),
            ({"instance": "a"}, [1, 2]),
            ({"kind": "st"}, [3, 4, 5]),
            ({"kind": "step", "step": "s11"}, [5]),
            ({"request": "nobody"}, []),
        ]
        for criteria, expected in cases:
            with self.subTest(criteria):
                matches = Filter(**criteria).matches
                self.assertEqual(
                    [item.stamp for item in events if matches(item)], expected
                )


class ExportTests(unittest.TestCase):
    def test_trace_events(self):
        events = [
            event(5 * MS, "a/entry", "request-started", request="r"),
            event(5 * MS + 1, "b/entry", "request-passed", request="r"),
            event(7 * MS, "a/entry", "request-ended", request="r"),
        ]
        document = json.loads(json.dumps(export.trace(events)))
        records = document["traceEvents"]
        phases = [record["ph"] for record in records]
        self.assertEqual(phases, ["M", "M", "i", "i", "i", "b", "e"])
        self.assertEqual([record["ts"] for record in records[2:5]], [5000, 5001, 7000])
        self.assertEqual([record["pid"] for record in records[2:5]], [1, 2, 1])
        self.assertEqual([record["ts"] for record in records[5:]], [5000, 7000])

    def test_events_round_trip_through_json(self):
        original = event(9, "a/entry", "x", request="r", left=0)
        copy = event_from(json.loads(json.dumps(original.as_dict())))
        self.assertEqual(copy.as_dict(), original.as_dict())
        self.assertIn("request=r", export.format_event(copy))


class ToolTests(unittest.IsolatedAsyncioTestCase):
    async def run_program(self, *arguments):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "sassafrasdoor.tools.timeline", *arguments),
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        output, errors = await process.communicate()
        return process.returncode, output.decode(), errors.decode()

    @on_kj_loop
    async def test_control_events_through_the_program(self):
        options = settings.from_document({})
        server = PeerServer(options, "127.0.0.1", 0, ControlService(None))
        await server.start()
        marker = EVENTS.clock.stamp()
        EVENTS.add("marked", request=str(marker), number=3)
        source = ControlSource(options, server.address)
        events = await source.read(marker)
        self.assertEqual(events[0].fields, {"request": str(marker), "number": 3})
        source.close()
        arguments = ["--control", server.address, "--request", str(marker), "--json"]
        code, output, errors = await self.run_program(*arguments)
        self.assertEqual((code, errors), (0, ""))
        self.assertEqual(json.loads(output)["kind"], "marked")
        code, _, errors = await self.run_program(*arguments, "--entry", "127.0.0.1:1")
        self.assertEqual(code, 1)
        self.assertIn("not read: entry 127.0.0.1:1", errors)
        code, _, errors = await self.run_program()
        self.assertEqual(code, 2)
        self.assertIn("--discover", errors)
        await server.close()
