"""A stand-in's replica that stutters sends what the soak's checks are to find."""

import asyncio
import unittest

from sassafrasdoor.platform import wire
from sassafrasdoor.platform.standin import ReplicaStandin
from sassafrasdoor.platform.stutter import CUT, SECOND_ANSWERS, SentAnswer, Stutter

CONNECTION_COUNT, CALL_COUNT = 40, 3
REQUEST = (
    "POST /plain/x HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n"
    f"{wire.REQUEST_ID}: r\r\n{wire.EXPECT_INSTANCE}: p\r\n\r\n"
).encode()
OWN_ANSWER_BODY = b"answer to r"


class SecondAnswerTest(unittest.TestCase):
    def test_second_answers_of_a_success_and_a_failure(self):
        stamp = (wire.STAMP, "p.1")
        statuses = {
            status: [
                change(SentAnswer(status, [stamp], b"own")).status
                for change in SECOND_ANSWERS
            ]
            for status in (200, 500)
        }
        self.assertEqual(
            statuses, {200: [200, 500, 503, 421], 500: [500, 200, 503, 421]}
        )

    def test_answer_is_encoded_with_a_length_or_in_a_chunk(self):
        answer = SentAnswer(200, [("A", "b"), ("Content-Length", "9")], b"own")
        head = b"HTTP/1.1 200 OK\r\nA: b\r\n"
        self.assertEqual(answer.encode(), head + b"Content-Length: 3\r\n\r\nown")
        chunked = b"Transfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n"
        self.assertEqual(answer.encode(chunked=True), head + chunked)

    def test_second_answer_that_is_cut_ends_anywhere(self):
        answer = SentAnswer(200, [(wire.STAMP, "p.1")], b"own")
        stutter = Stutter(1)
        stutter.manner = CUT
        cuts = {stutter._second_answer(answer) for _ in range(500)}
        self.assertTrue(any(cut.endswith(b"HTTP/1.1 500 Int") for cut in cuts))
        self.assertTrue(any(cut.endswith(b"\r\n\r\nlate ans") for cut in cuts))


class StutterTest(unittest.IsolatedAsyncioTestCase):
    async def received(self, share):
        """Return the replica, and the bytes received on each of its connections."""
        replica = ReplicaStandin("p", slots=CONNECTION_COUNT, pause=0.0)
        replica.stutter.share = share
        self.addCleanup(replica.stop)
        host, port = replica.address.split(":")
        connections = [self.call(host, port) for _ in range(CONNECTION_COUNT)]
        return replica, await asyncio.gather(*connections)

    async def call(self, host, port):
        reader, writer = await asyncio.open_connection(host, port)
        received = b""
        for _ in range(CALL_COUNT):
            writer.write(REQUEST)
            received += await reader.readuntil(OWN_ANSWER_BODY)
        writer.close()
        return received

    async def test_own_answers_are_recorded_beside_surplus_ones(self):
        replica, received = await self.received(1.0)
        own = {(run.answer.status, run.answer.body) for run in replica.runs}
        self.assertEqual(own, {(200, OWN_ANSWER_BODY)})
        self.assertEqual(replica.connection_count, CONNECTION_COUNT)
        text = b"".join(received)
        for part in (b" 102 ", b" 421 ", b" 503 ", b" 500 ", b"no answer", b"chunked"):
            self.assertIn(part, text)

    async def test_replica_that_does_not_stutter_sends_each_answer_once(self):
        replica, received = await self.received(0.0)
        self.assertEqual(replica.request_count, CONNECTION_COUNT * CALL_COUNT)
        text = b"".join(received)
        self.assertEqual(text.count(b"HTTP/1.1 "), replica.request_count)


if __name__ == "__main__":
    unittest.main()
