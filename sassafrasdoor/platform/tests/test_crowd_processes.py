"""Tests that crowds of callers stay within the bounds of a real process."""

import asyncio
import signal
import unittest

from sassafrasdoor import crowds
from sassafrasdoor.crowds import Bounds, Crowd, Place, PressingCrowd
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.crowd_cases import (
    LARGE_ANSWER,
    LARGE_STREAM,
    STEP_ID,
    InstanceCase,
    step_fields,
    step_of_short_headers,
)
from sassafrasdoor.tests.crowd_cases import CrowdRows

STARTS_OF_CROWD, START_INTERVAL = 5, 0.4  # seconds
STOP_TIMEOUT = 30.0  # seconds
STEP_BYTES = 1_000_000  # of a single step in calm
JSON_TYPE = wire.JSON_TYPE.encode()


class RouteTest(CrowdRows, InstanceCase):
    def places(self):
        yield Place(self.process.front, LARGE_ANSWER, id_header=wire.REQUEST_ID)


class StreamTest(CrowdRows, InstanceCase):
    def places(self):
        yield Place(self.process.front, LARGE_STREAM, id_header=wire.REQUEST_ID)


class SmallStepsTest(InstanceCase):
    def test_steps_of_short_fields(self):
        """Guards against accepted steps that fill the memory of every instance."""
        body = step_of_short_headers(crowds.SMALL_BODY_BYTES)
        place = Place(self.process.front, "/s/x", id_header=wire.REQUEST_ID)
        crowd = Crowd(self.bounds.connections, crowds.whole_body(body, JSON_TYPE))
        self.check_crowd(crowd, place)


class LifetimeTest(InstanceCase):
    """Crowds that come while the process starts, reloads its settings and stops."""

    def press(self):
        pieces = crowds.mixed(
            crowds.short_body(crowds.SMALL_BODY_BYTES),
            crowds.head_fields,
            crowds.half_head,
            crowds.unread_answer,
        )
        crowd = Crowd(self.bounds.connections, pieces)
        front = Place(self.process.front, LARGE_ANSWER, id_header=wire.REQUEST_ID)
        return PressingCrowd(crowd, [front, Place(self.process.ready, "/-/ready")])

    def test_crowd_during_a_start(self):
        """Guards against callers that come before the limits are known."""
        self.run_check(self._check_start())

    async def _check_start(self):
        await self.check_ordinary_callers()
        await self.start_process()
        pressing = []
        try:
            # Some come before the process listens.
            for _ in range(STARTS_OF_CROWD):
                pressing.append(self.press())
                await pressing[-1].press()
                await asyncio.sleep(START_INTERVAL)
            self.check_bounds()
            await self.check_ordinary_callers()
        finally:
            for crowd in pressing:
                await crowd.release()
        await self.check_ordinary_callers()
        self.check_bounds()

    def test_crowd_during_a_reload(self):
        """Guards against limits that are lost with changed settings."""
        self.run_check(self._check_reload())

    async def _check_reload(self):
        await self.check_ordinary_callers()
        pressing = self.press()
        try:
            self.process.signal(signal.SIGHUP)
            await pressing.press()
            self.process.signal(signal.SIGHUP)
            await self.check_ordinary_callers()
            self.check_bounds()
        finally:
            await pressing.release()
        await self.check_ordinary_callers()

    def test_crowd_during_a_stop(self):
        """Guards against a planned stop that does not end, or not as planned."""
        self.run_check(self._check_stop())

    async def _check_stop(self):
        await self.check_ordinary_callers()
        pressing = self.press()
        try:
            await pressing.press()
            self.process.signal(signal.SIGTERM)
            again = self.press()
            await again.press()
            await again.release()
            code = await asyncio.to_thread(self.process.process.wait, STOP_TIMEOUT)
            self.assertEqual(code, 0, self.report())
        finally:
            await pressing.release()


class CalmTest(InstanceCase):
    bounds = Bounds(memory_mb=128, descriptors=800, large_body_bytes=33_554_432)

    def test_body_of_the_limit(self):
        """Guards against a legal body that is refused by the smallest instances."""
        body = b"b" * self.bounds.large_body_bytes
        self.run_check(self._check_call(200, "/plain/x", body))

    def test_step_of_short_fields(self):
        """Guards against a legal step that is refused for its number of fields."""
        body = step_of_short_headers(STEP_BYTES)
        self.run_check(self._check_call(202, "/s/x", body))

    async def _check_call(self, status, path, body):
        await self.wait_for_answer(status, self.process.front, path, "POST", body)
        self.check_bounds()


class NoRouteTest(CrowdRows, InstanceCase):
    def places(self):
        yield Place(self.process.front, "/none/x", id_header=wire.REQUEST_ID)


class StepsTest(CrowdRows, InstanceCase):
    def bodies(self):
        size = self.bounds.large_body_bytes
        kinds = (step_fields, step_of_short_headers)
        return [(kind(size), JSON_TYPE) for kind in kinds]

    def places(self):
        front = self.process.front
        yield Place(front, "/s/x", id_header=wire.REQUEST_ID)
        yield Place(front, f"/-/lots/{STEP_ID}", "GET")
        yield Place(front, f"/-/items/{STEP_ID}", "GET")


if __name__ == "__main__":
    unittest.main()
