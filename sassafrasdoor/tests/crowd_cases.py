"""Test cases for crowds of callers at one real process."""

import asyncio
import unittest
from collections import deque

from tornado.httpclient import AsyncHTTPClient, HTTPRequest

from sassafrasdoor import crowds
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.crowds import Crowd, PressingCrowd
from sassafrasdoor.failures import keep_failure
from sassafrasdoor.fetch import fetch_response

CONDITION_TIMEOUT = 60.0  # seconds
DESCRIPTORS_OF_TEST = 4096
ORDINARY_BODY = b"b" * 1_000_000  # of an ordinary caller with a large body
MAX_SHOWN_LINES = 40


class CrowdCase(unittest.TestCase):
    """One process with small limits; the tests of a class share it.

    So each crowd also meets what the ones before have left. A process at which a test has
    failed is replaced.
    """

    bounds = None
    has_failed = False

    @classmethod
    def setUpClass(cls):
        crowds.allow_descriptors(DESCRIPTORS_OF_TEST)
        cls.runner = asyncio.Runner()
        cls.addClassCleanup(cls.runner.close)
        cls.answers = deque(maxlen=5)
        cls.process = None  # what the tests are about: ``pid``, ``running``, ``lines``
        cls.runner.run(cls.start())
        cls.addClassCleanup(lambda: cls.runner.run(cls.stop()))

    @classmethod
    async def start(cls):
        """Start what all tests of the class use."""
        cls.client = AsyncHTTPClient(force_instance=True, max_clients=50)

    @classmethod
    async def stop(cls):
        """Stop what ``start`` and ``start_process`` have started."""
        cls.client.close()

    @classmethod
    async def start_process(cls):
        """Set ``process`` to a new one."""
        raise NotImplementedError

    async def check_ordinary_callers(self):
        """Check that ordinary callers are served at all addresses, also large bodies."""
        raise NotImplementedError

    def setUp(self):
        if self.process is None or self.has_failed or not self.process.running:
            self.runner.run(self.start_process())
            type(self).has_failed = False

    async def wait_for_answer(self, status, address, path, method="GET", body=None):
        """Call again until an answer has the status."""
        deadline = deadline_in(CONDITION_TIMEOUT)
        while True:
            request = HTTPRequest(
                f"http://{address}{path}",
                method=method,
                body=body,
                headers=self.ordinary_headers,
                request_timeout=10,
            )
            reply = await fetch_response(self.client, request)
            if reply.code == status:
                return
            self.answers.append((address, path, reply.code, reply.body[:200]))
            if passed(deadline) or not self.process.running:
                self.fail(f"no ordinary answer to {method} {path}\n{self.report()}")
            await asyncio.sleep(0.05)

    def check_bounds(self):
        self.assertTrue(self.process.running, self.report())
        descriptors = crowds.descriptor_count(self.process.pid)
        memory_mb = crowds.peak_memory_mb(self.process.pid)
        self.assertLess(memory_mb, self.bounds.memory_mb, "memory")
        self.assertLess(descriptors, self.bounds.descriptors, "descriptors")

    def run_check(self, check):
        """Run a coroutine; after a failure keep the lines of the process."""
        try:
            self.runner.run(check)
        except AssertionError:
            type(self).has_failed = True
            texts = {"lines": "\n".join(self.process.lines)}
            print(f"lines: {keep_failure(self.id().rpartition('.')[2], texts)}")
            raise

    def check_crowd(self, crowd, *places):
        """Check the bounds and ordinary callers beside a crowd and after it."""
        self.run_check(self._check_crowd(crowd, places))

    async def _check_crowd(self, crowd, places):
        await self.check_ordinary_callers()
        pressing = PressingCrowd(crowd, places)
        try:
            await pressing.press()
            self.check_bounds()
            await self.check_ordinary_callers()
        finally:
            await pressing.release()
        await self.check_ordinary_callers()
        self.check_bounds()

    def report(self):
        answers = f"last other answers: {list(self.answers)}"
        return "\n".join([answers, *self.process.lines[-MAX_SHOWN_LINES:]])


class CrowdRows:
    """One test for each kind of crowd; a class for each place has ``places()``.

    ``unread`` yields a request whose answer is not read.
    """

    unread = staticmethod(crowds.unread_answer)

    def places(self):
        raise NotImplementedError

    def bodies(self):
        """Return bodies of very many short fields with their content types."""
        size = self.bounds.large_body_bytes
        return [crowds.form(size), crowds.multipart(size)]

    def check(self, size, pieces, pause=0.0, read_bytes=0):
        crowd = Crowd(size, pieces, pause, read_bytes)
        self.check_crowd(crowd, *self.places())

    def test_bodies_in_one_piece(self):
        """Guards against bodies that are each too small to count."""
        pieces = crowds.short_body(crowds.SMALL_BODY_BYTES)
        self.check(self.bounds.connections, pieces)

    def test_bodies_in_small_pieces(self):
        """Guards against small bodies that take more memory in small pieces."""
        pieces = crowds.short_body(crowds.SMALL_BODY_BYTES, 1300)
        self.check(self.bounds.connections, pieces)

    def test_bodies_in_chunks(self):
        """Guards against small bodies that state no length."""
        pieces = crowds.chunked_body(crowds.SMALL_BODY_BYTES, 100)
        self.check(self.bounds.connections, pieces)

    def test_large_bodies(self):
        """Guards against large bodies that lack their last byte."""
        pieces = crowds.short_body(self.bounds.large_body_bytes)
        self.check(self.bounds.large_bodies, pieces)

    def test_large_bodies_in_chunks(self):
        """Guards against large bodies that state no length."""
        pieces = crowds.chunked_body(self.bounds.large_body_bytes, 5000)
        self.check(self.bounds.large_bodies, pieces)

    def test_announced_bodies(self):
        """Guards against room that is kept for bodies which never come."""
        pieces = crowds.announced_body(self.bounds.large_body_bytes)
        self.check(self.bounds.large_bodies, pieces)

    def test_bodies_over_the_limit(self):
        """Guards against bodies that are kept although they are too long."""
        kinds = crowds.mixed(crowds.oversized_body, crowds.endless_chunks)
        self.check(12, kinds)

    def test_fields_in_heads(self):
        """Guards against the memory of very many decoded headers."""
        self.check(self.bounds.connections, crowds.head_fields)

    def test_fields_in_queries(self):
        """Guards against the memory of very many decoded arguments."""
        self.check(self.bounds.connections, crowds.query_fields)

    def test_fields_in_bodies(self):
        """Guards against the memory of very many decoded fields."""
        kinds = [crowds.whole_body(*body) for body in self.bodies()]
        self.check(self.bounds.large_bodies, crowds.mixed(*kinds))

    def test_requests_ahead(self):
        """Guards against requests that are read before earlier answers are."""
        self.check(60, crowds.requests_ahead)

    def test_slow_senders(self):
        """Guards against callers that send heads and bodies byte by byte."""
        kinds = crowds.mixed(crowds.slow_head, crowds.slow_body, crowds.half_head)
        self.check(self.bounds.connections, kinds, crowds.DROP_INTERVAL)

    def test_silent_connections(self):
        """Guards against connections that take up all descriptors."""
        self.check(self.bounds.connections, crowds.nothing)

    def test_unread_answers(self):
        """Guards against answers that their callers do not read."""
        self.check(self.bounds.connections, self.unread)

    def test_fields_of_unread_answers(self):
        """Guards against the decoded headers of requests that are being answered."""
        self.check(self.bounds.connections, crowds.unread_fields)

    def test_slow_readers(self):
        """Guards against answers that are read a few bytes at a time."""
        self.check(
            self.bounds.connections,
            self.unread,
            crowds.DROP_INTERVAL,
            crowds.READ_BYTES,
        )

    def test_mixed_crowd(self):
        """Guards against kinds of crowds that are each bounded, but not together."""
        kinds = crowds.mixed(
            crowds.short_body(crowds.SMALL_BODY_BYTES),
            crowds.head_fields,
            crowds.query_fields,
            crowds.half_head,
            self.unread,
            crowds.announced_body(self.bounds.large_body_bytes),
        )
        self.check(self.bounds.connections, kinds)
