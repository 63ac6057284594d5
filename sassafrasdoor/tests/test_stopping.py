"""A daemon exits when a critical task fails, and by the deadline of its stop."""

import asyncio
import contextlib
import socket
import subprocess
import sys
import unittest

from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from sassafrasdoor.clock import deadline_in
from sassafrasdoor.stopping import (
    TASK_FAILURE_EXIT_CODE,
    cancel_all_tasks,
    stop_listening,
)
from sassafrasdoor.support import ROOT

DAEMON = """
import asyncio
from sassafrasdoor import logs
from sassafrasdoor.stopping import start_critical_tasks

async def follower():
    raise ValueError("a record of a newer version")

async def main():
    logs.start("daemon")
    start_critical_tasks([follower(), asyncio.sleep(0)])
    await asyncio.sleep(60)

asyncio.run(main())
"""

# Blocks its event loop after the timer of its stop was started.
BLOCKED = """
from sassafrasdoor import decisions
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.stopping import force_exit_at, run_and_exit

async def main():
    decisions.start("daemon")
    force_exit_at(deadline_in(0.1))
    while True:
        pass

run_and_exit(main())
"""
# Ends while one thread and one task that swallows its cancellation still run.
BUSY = """
import asyncio, time
from sassafrasdoor.stopping import run_and_exit

async def swallow():
    while True:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            pass

async def main():
    asyncio.get_running_loop().run_in_executor(None, time.sleep, 60)
    task = asyncio.ensure_future(swallow())
    await asyncio.sleep(0.1)

run_and_exit(main())
"""
EXIT_TIMEOUT = 20.0  # seconds; a process that waits does so for longer


class CriticalTasksTest(unittest.TestCase):
    def test_failed_task_ends_the_process(self):
        """Guards against a process that continues after one of its tasks has failed."""
        done = subprocess.run(
            [sys.executable, "-c", DAEMON], cwd=ROOT, capture_output=True, text=True
        )
        self.assertEqual(done.returncode, TASK_FAILURE_EXIT_CODE, done.stderr)
        self.assertIn("a record of a newer version", done.stdout)


class StopTest(unittest.TestCase):
    def run_daemon(self, text):
        return subprocess.run(
            [sys.executable, "-c", text],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=EXIT_TIMEOUT,
        )

    def test_blocked_event_loop_does_not_delay_the_exit(self):
        """Guards against a process that is killed as its loop was busy during the stop."""
        done = self.run_daemon(BLOCKED)
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("process.stop_overran", done.stdout)

    def test_exit_waits_for_no_task_and_no_thread(self):
        """Guards against a process that is killed while it waits for its own tasks."""
        self.assertEqual(self.run_daemon(BUSY).returncode, 0)

    def test_task_that_swallows_its_cancellation_is_not_waited_for(self):
        """Guards against a stop that waits for a cancelled task that goes on."""

        async def swallow(may_end):
            while not may_end.is_set():
                with contextlib.suppress(asyncio.CancelledError):
                    await may_end.wait()

        async def stop():
            may_end = asyncio.Event()
            swallowing = asyncio.ensure_future(swallow(may_end))
            ended = asyncio.ensure_future(may_end.wait())
            await asyncio.sleep(0)
            unfinished = await cancel_all_tasks(deadline_in(0.05))
            self.assertEqual(unfinished, {swallowing})
            self.assertTrue(ended.cancelled())
            may_end.set()

        asyncio.run(stop())


REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
CONNECT_TIMEOUT = 0.2  # seconds


class Answering(RequestHandler):
    def get(self):
        self.finish(b"answered")


class LateCaller:
    """Calls a server whose listener is about to be closed."""

    def __init__(self, server, port):
        self._close = server.stop
        self._port = port
        self.connection = None
        server.stop = self._call_and_close

    def _call_and_close(self):
        with contextlib.suppress(TimeoutError):
            address = ("127.0.0.1", self._port)
            self.connection = socket.create_connection(address, CONNECT_TIMEOUT)
            self.connection.sendall(REQUEST)
        self._close()


class StopListeningTest(unittest.IsolatedAsyncioTestCase):
    async def test_connections_that_wait_to_be_accepted_are_served(self):
        """Guards against requests reset by the end of a listener, as if they had run."""
        sock, port = bind_unused_port()
        server = HTTPServer(Application([(r"/", Answering)]))
        server.add_sockets([sock])
        callers = []
        for _ in range(5):
            caller = socket.create_connection(("127.0.0.1", port))
            self.addCleanup(caller.close)
            caller.sendall(REQUEST)
            callers.append(caller)
        await stop_listening([(server, sock)])
        for caller in callers:
            caller.settimeout(5)
            self.assertTrue(caller.recv(4096).startswith(b"HTTP/1.1 200"))
        with self.assertRaises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port))

    async def test_no_connection_is_completed_at_the_close(self):
        """Guards against requests reset as they were sent between accept and close."""
        sock, port = bind_unused_port()
        server = HTTPServer(Application([(r"/", Answering)]))
        server.add_sockets([sock])
        caller = LateCaller(server, port)
        await stop_listening([(server, sock)])
        if caller.connection is not None:
            self.addCleanup(caller.connection.close)
            self.assertTrue(caller.connection.recv(4096).startswith(b"HTTP/1.1 200"))
