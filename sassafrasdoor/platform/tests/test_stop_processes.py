"""Tests of the planned stop of real processes while the store answers nothing."""

import asyncio
import contextlib
import json
import signal
import unittest

from sassafrasdoor.clock import deadline_in, now, passed, remaining
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.cases import HOST, ProcessCase
from sassafrasdoor.platform.tests.test_duties_processes import DutiesCase

GRACE_SECONDS = 8.0  # the platform kills processes that have not ended by then
HELD_RENEWAL = 1.5  # seconds; the record is renewed every second
LANDS_AFTER = 1.0  # seconds after the deletion
OUTCOME_UNKNOWN = 504
HELD_BEFORE, HELD_AT = 0.5, 4.0  # seconds before and after SIGTERM
SILENT_AT = 5.0  # seconds after SIGTERM, before the listeners are closed
# Seconds from the close of the listeners until nothing is in progress any more, and from
# a request then until the store answers, on which the process ends.
SETTLED_AFTER, ANSWERS_AFTER = 0.15, 0.1
REFUSAL_TIMEOUT = 0.5  # seconds
CONNECT_TIMEOUT = 0.05  # seconds; a listener that drops handshakes is being closed
HEAD_BYTES = 64 * 1024
REFUSED = 503
STREAM_EVENTS = 40
STREAM_PATHS = "/o/x", "/r/x"
# Shares of the time for a stop: what a long stream takes, and when requests are sent.
STREAM_SHARE = 0.55
SENT_EARLY, SENT_LATE = 0.05, (0.44, 0.56, 0.69)
MEASURED_STREAMS = 10
# The rules of docs/design/planned-stop.md: the share of the time for a stop, less seconds,
# by which answers are complete.
ANSWER_SHARE, ANSWER_MARGIN = 0.94, 0.05
ARRIVAL_TIME = 0.15  # seconds in which a request reaches its instance
BEYOND_THE_STOP = 9.5  # seconds
MAX_ATTEMPTS = 8  # on a machine whose pauses make the streams too long for the case


class StopTest(DutiesCase):
    window, due, grace = 5.0, 10.0, GRACE_SECONDS

    async def asyncSetUp(self):
        self.held = []
        self.addCleanup(lambda: [task.cancel() for task in self.held])
        await super().asyncSetUp()

    def hold_calls(self):
        """Begin a call at each instance that its replica does not answer."""
        for instance in self.instances:
            headers = {
                wire.REQUEST_ID: f"held-{len(self.held)}",
                wire.AUTHORIZATION: "Bearer key-a",
            }
            call = self.fetch(instance.front, "/plain/x", "POST", "b", **headers)
            self.held.append(asyncio.ensure_future(call))

    async def test_stop_ends_in_time_while_the_store_is_silent(self):
        """Guards against processes that are killed when the time for a stop runs out.

        The release of the shards, a call in progress and counts that were not written
        filled the time up to 0.12 s, and the process needed 0.14 s more to exit.
        """
        await self.make_calls(range(6))
        self.store.answering.clear()
        for replica in self.plain:
            replica.may_answer.clear()
        self.hold_calls()
        await asyncio.sleep(HELD_BEFORE)
        deadline = deadline_in(GRACE_SECONDS)
        for instance in self.instances:
            instance.signal(signal.SIGTERM)
        await asyncio.sleep(HELD_AT)
        self.hold_calls()
        running = list(self.instances)
        while running and not passed(deadline):
            await asyncio.sleep(0.01)
            running = [instance for instance in running if instance.running]
        self.assertEqual([one.name for one in running], [], self.report())
        for instance in self.instances:
            self.assertEqual(instance.process.returncode, 0)
        statuses = [(await call).code for call in self.held]
        self.assertEqual(statuses, [OUTCOME_UNKNOWN] * 6, "cut calls may have run")
        stopped = self.lines("", "process.stopped")
        self.assertEqual([line.fields["unfinished"] for line in stopped], [[]] * 3)

    async def test_request_on_a_kept_connection_is_not_cut_off_at_the_end(self):
        """Guards against requests that are accepted once a stop waits for no other one."""
        await self.make_calls((0,))
        instance = self.instances[0]
        kept = await self.connect(instance.front)
        self.assertEqual(await self.status_on(kept, "kept-1"), 200)
        stopped_at = now()
        instance.signal(signal.SIGTERM)
        await asyncio.sleep(remaining(stopped_at + SILENT_AT))
        self.store.answering.clear()
        self.assertTrue(await self.call(0))
        await self.wait_until(lambda: self.refuses_connections(instance.front))
        await asyncio.sleep(SETTLED_AFTER)
        for replica in self.plain:
            replica.may_answer.clear()
        answer = asyncio.ensure_future(self.status_on(kept, "kept-2"))
        await asyncio.sleep(ANSWERS_AFTER)
        self.store.answering.set()
        self.assertEqual(await answer, REFUSED)
        await self.wait_until(lambda: not instance.running)
        self.assertEqual(self.lines("", "request.cut_by_stop"), [])

    async def connect(self, address):
        """Open a connection that is kept; return its reader and writer."""
        reader, writer = await asyncio.open_connection(*address.split(":"))
        self.addCleanup(writer.close)
        return reader, writer

    async def status_on(self, connection, request_id):
        """Call on a kept connection; return the status, or None if it ends without one."""
        reader, writer = connection
        writer.write(
            f"POST /plain/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 1\r\n"
            f"{wire.REQUEST_ID}: {request_id}\r\n"
            f"{wire.AUTHORIZATION}: Bearer key-a\r\n\r\nb".encode()
        )
        head = await reader.read(HEAD_BYTES)
        return int(head.split()[1]) if head else None

    async def refuses_connections(self, address):
        with contextlib.suppress(OSError, TimeoutError):
            connecting = asyncio.open_connection(*address.split(":"))
            _, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT)
            writer.close()
            return False
        return True


class StopAdmissionTest(ProcessCase):
    grace = GRACE_SECONDS

    @property
    def more_settings(self):
        return f"Bounds.GraceS={self.grace}\n"

    def stream(self, path, seconds=BEYOND_THE_STOP):
        """Begin a stream at the first instance, for which its caller waits ``seconds``."""
        self.sent += 1
        deadline = str(int(seconds * 1000))
        headers = {wire.REQUEST_ID: f"stream-{self.sent}", wire.DEADLINE: deadline}
        call = self.fetch(self.instances[0].front, path, "POST", "", **headers)
        return asyncio.ensure_future(call)

    async def asyncSetUp(self):
        self.sent = 0
        await super().asyncSetUp()
        for engine in self.engines:
            engine.events = STREAM_EVENTS
            engine.pause = STREAM_SHARE * self.grace / STREAM_EVENTS

    def stop_first(self):
        """Begin the planned stop of the first instance; return the time."""
        self.instances[0].signal(signal.SIGTERM)
        return now()

    async def until_share(self, stopped_at, share):
        """Wait until a share of the time for the stop has passed."""
        await asyncio.sleep(remaining(stopped_at + share * self.grace))

    def check_whole(self, reply):
        self.assertEqual(reply.code, 200)
        self.assertEqual(reply.body.count(b"\n\n"), self.engines[0].events)

    async def test_stop_refuses_streams_that_would_be_cut_off(self):
        """Guards against streams that are accepted in a stop and cut off at its end."""
        stopped_at = self.stop_first()
        await self.until_share(stopped_at, SENT_EARLY)
        early = [self.stream(path) for path in STREAM_PATHS]
        for share in SENT_LATE:
            await self.until_share(stopped_at, share)
            for path in STREAM_PATHS:
                reply = await self.stream(path)
                self.assertEqual(reply.code, REFUSED)
                self.assertEqual(reply.headers["Retry-After"], "0")
                self.assertEqual(reply.headers["Connection"], "close")
        for stream in early:
            self.check_whole(await stream)
        runs = [run.request_id for run in self.all_runs()]
        self.assertEqual(sorted(runs), ["stream-1", "stream-2"])
        await self.wait_until(lambda: not self.instances[0].running)
        self.assertEqual(self.lines("", "request.cut_by_stop"), [])

    async def test_stop_serves_what_can_be_answered(self):
        """Guards against a stop that refuses all requests with late deadlines."""
        for engine in self.engines:
            engine.events = 4
        for _ in range(MAX_ATTEMPTS):
            if await self.late_streams_were_short():
                break
            self.instances[0].start()
            await self.wait_until_ready()
        else:
            self.fail("streams took too long for the case in all attempts")
        self.assertEqual(self.lines("", "request.cut_by_stop"), [])

    async def test_stop_refuses_long_streams_among_short_ones(self):
        """Guards against streams cut off at the end of a stop since others were short."""
        for engine in self.engines:
            engine.events = 4
        for path in STREAM_PATHS * MEASURED_STREAMS:
            self.check_whole(await self.stream(path))
        for engine in self.engines:
            engine.events = STREAM_EVENTS
        stopped_at = self.stop_first()
        count = len(self.all_runs())
        for share in SENT_LATE:
            await self.until_share(stopped_at, share)
            for path in STREAM_PATHS:
                reply, sent_at, ended_at = await self.timed_stream(path)
                self.assertEqual(reply.code, REFUSED)
                self.assertEqual(reply.headers["Retry-After"], "0")
                self.assertLess(ended_at - sent_at, REFUSAL_TIMEOUT)
        await self.wait_until(lambda: not self.instances[0].running)
        self.assertEqual(len(self.all_runs()), count)
        self.assertEqual(self.lines("", "request.cut_by_stop"), [])

    async def late_streams_were_short(self):
        """Check what a stop serves; return whether all streams could be served.

        The callers wait until the stop's end at most. A refusal is allowed only if the
        request came so late that by the rules its deadline lay beyond that.
        """
        for path in STREAM_PATHS * MEASURED_STREAMS:
            self.check_whole(await self.stream(path))
        stopped_at = self.stop_first()
        answered_by = stopped_at + ANSWER_SHARE * self.grace - ANSWER_MARGIN
        were_short = True
        for share in SENT_LATE:
            await self.until_share(stopped_at, share)
            seconds = answered_by - now() - ARRIVAL_TIME
            is_answered, submission, *streams = await asyncio.gather(
                self.plain_call_returns(self.instances[0], 200),
                self.submit(f"step-{share}-{self.sent}"),
                *(self.timed_stream(path, seconds) for path in STREAM_PATHS),
            )
            self.assertTrue(is_answered)
            self.assertEqual(submission.code, 202)
            for reply, sent_at, ended_at in streams:
                is_late = reply.code == REFUSED and ended_at + seconds > answered_by
                if is_late or ended_at - sent_at > seconds:
                    were_short = False
                    continue
                self.check_whole(reply)
        await self.wait_until(lambda: not self.instances[0].running)
        return were_short

    async def timed_stream(self, path, seconds=BEYOND_THE_STOP):
        """Return the reply to a stream, and when it was sent and had ended."""
        sent_at = now()
        reply = await self.stream(path, seconds)
        return reply, sent_at, now()


class ShortStopAdmissionTest(StopAdmissionTest):
    grace = 4.0


class LateRenewalTest(ProcessCase):
    async def test_renewal_that_lands_late_does_not_bring_an_ended_instance_back(self):
        """Guards against callers sent to an instance that has ended as planned.

        Its path to the store stops, so that a renewal is held up there; its deletion is
        relayed and lands first.
        """
        first, second, _ = self.instances
        await self.wait_until(lambda: self.lists_instances(1))
        self.proxy.freeze()
        await asyncio.sleep(HELD_RENEWAL)
        first.signal(signal.SIGTERM)
        await self.wait_until(lambda: self.lists_instances(1, 2))
        await asyncio.sleep(LANDS_AFTER)
        self.proxy.thaw()
        await self.wait_until(lambda: not first.running)
        reply = await self.fetch(second.directory, "/-/resolve?Zone=z")
        self.assertNotIn(first.front, json.loads(reply.body)["Addresses"])


if __name__ == "__main__":
    unittest.main()
