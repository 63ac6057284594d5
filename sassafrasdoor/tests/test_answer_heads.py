"""The rules of an answer's head, and replays of servers that send none."""

import unittest

from hypothesis import given, settings as run_settings, strategies as st

from sassafrasdoor.answer_heads import (
    MAX_HEAD_BYTES,
    Flaw,
    Head,
    read_head,
    read_number,
)
from sassafrasdoor.tests.broken_answers import (
    BROKEN_ANSWERS,
    BROKEN_FIELDS,
    BROKEN_FRAMING,
    BROKEN_HEADS,
    BROKEN_STATUSES,
    CUT_BODIES,
    TWO_IN_ONE,
    filled,
)

END = b"\r\n\r\n"
SOUND = (
    # head, status, fields
    (b"HTTP/1.1 200 OK\r\n\r\n", 200, []),
    (b"HTTP/1.1 204 \r\n\r\n", 204, []),
    (b"HTTP/1.0 599 \xe9\r\nA:\r\n\r\n", 599, [("A", "")]),
    (b"HTTP/1.1 100 Continue\r\n\r\n", 100, []),
    (b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", 103, [("Link", "</a>")]),
    (b"HTTP/1.1 299 ?\r\nA: b \t\r\nA:c\r\n\r\n", 299, [("A", "b"), ("A", "c")]),
    (b"HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", 304, None),
    (b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, None),
    (b"HTTP/1.1 200 OK\r\nContent-Length: 007 , 7\r\n\r\n", 200, None),
    (b"HTTP/1.1 200 OK\r\ntransfer-encoding: Chunked\r\n\r\n", 200, None),
    (b"HTTP/1.1 200 OK\r\nX-Content-Length: -1\r\n\r\n", 200, None),
    (b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n", 200, None),
    (b"HTTP/1.1 200 OK\r\nAge: 504\r\nUpgrade: HTTP/2.0\r\n\r\n", 200, None),
    (b"\r\nHTTP/1.1 200 OK\r\n\r\n", 200, []),
)
REFUSED = (
    (b"", Flaw.CUT),
    (b"HTTP/1.1 200 OK\r\n", Flaw.CUT),
    (b"HTTP/1.1 200 OK\r\nA: b", Flaw.CUT),
    (b"HTTP/1.1 200 OK\r\nA: b\r\n", Flaw.CUT),
    (b"HTTP/1.1 200\r\n\r\n", Flaw.STATUS_LINE),
    (b"HTTP/1.1 000 None\r\n\r\n", Flaw.STATUS),
    (b"HTTP/1.1 101 Switching Protocols\r\n\r\n", Flaw.STATUS),
    (b"HTTP/1.1 200 OK\nA: b\n\n", Flaw.LINE_END),
    (b"HTTP/1.1 200 OK\r\nA: b\nC: d\r\n\r\n", Flaw.LINE_END),
    (b"HTTP/1.1 200 OK\r\nA: b\rC: d\r\n\r\n", Flaw.LINE_END),
    (b"HTTP/1.1 200 OK\r\nA b: c\r\n\r\n", Flaw.NAME),
    (b"HTTP/1.1 200 OK\r\nA\x01b: c\r\n\r\n", Flaw.NAME),
    (b"HTTP/1.1 200 OK\r\nA b\r\n\r\n", Flaw.FIELD),
    (b"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n", Flaw.FOLDED),
    (b"HTTP/1.1 200 OK\r\nA: b\x00\r\n\r\n", Flaw.VALUE),
    (
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
        Flaw.FRAMING,
    ),
    (b"HTTP/1.1 200 OK\r\nContent-Length: " + b"9" * 19 + END, Flaw.FRAMING),
    (b"HTTP/1.1 204 No Content\r\nContent-Length: 1\r\n\r\n", Flaw.FRAMING),
    (b"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", Flaw.FRAMING),
    (b"HTTP/1.1 200 OKHTTP/1.1 504 Gateway Timeout\r\n\r\n", Flaw.TWO_ANSWERS),
    (b"HTTP/1.1 200 OK\r\nServer: sHTTP/1.1 504 Late\r\n\r\n", Flaw.TWO_ANSWERS),
    (b"HTTP/1.1 200 OK\r\nServer: http/1.1 504\r\n\r\n", Flaw.TWO_ANSWERS),
    (b"HTTP/1.1 200 OK\r\nA: " + b"x" * MAX_HEAD_BYTES + END, Flaw.TOO_LONG),
)
FLAWS = {
    Flaw.STATUS: BROKEN_STATUSES,
    Flaw.STATUS_LINE: BROKEN_STATUSES,
    Flaw.NAME: BROKEN_FIELDS,
    Flaw.FIELD: BROKEN_FIELDS,
    Flaw.FOLDED: BROKEN_FIELDS,
    Flaw.VALUE: BROKEN_FIELDS,
    Flaw.LINE_END: BROKEN_FIELDS,
    Flaw.FRAMING: BROKEN_FRAMING,
    Flaw.TWO_ANSWERS: TWO_IN_ONE,
}
FIELDS = b"X-Request-Id: r1\r\nKeep-Alive: timeout=9\r\nContent-Length: 3\r\n"
ANSWER = b"HTTP/1.1 500 Internal Server Error\r\n" + FIELDS + b"\r\n"
NEXT = b"HTTP/1.1 200 OK\r\n" + FIELDS.replace(b"r1", b"r2") + b"\r\n"

fuzzed = run_settings(derandomize=True, deadline=None, max_examples=300)


def first_head(data):
    """Return the bytes of the first head as a protocol reader finds them."""
    head, end, _ = data.partition(END)
    return head + end


def encoded(head):
    lines = [f"{name}: {value}\r\n" for name, value in head.fields]
    return "".join(lines).encode("latin-1")


class HeadReplayTest(unittest.TestCase):
    def test_replica_that_sends_each_kind_of_broken_head(self):
        """Guards against bytes that count as an answer."""
        for name, data in BROKEN_HEADS.items():
            with self.subTest(name):
                head = read_head(first_head(filled(data, FIELDS[:18])))
                self.assertFalse(head)
                self.assertIn(name, FLAWS[head.flaw])

    def test_answers_cut_in_front_of_sound_ones(self):
        """Guards against the status of one answer beside the fields of another."""
        for size in range(1, len(ANSWER)):
            with self.subTest(size):
                head = read_head(first_head(ANSWER[:size] + NEXT))
                self.assertFalse(head)

    def test_head_with_one_wrong_byte(self):
        """Guards against a wrong byte that moves the end of a line, a name or a body."""
        sound = read_head(ANSWER)
        for position in range(len(ANSWER)):
            for byte in range(256):
                data = bytearray(ANSWER)
                data[position] = byte
                head = read_head(first_head(bytes(data)))
                if head:
                    self.assertIn(head.status, range(100, 600))
                    self.assertEqual(len(head.fields), len(sound.fields))
                    size = len(encoded(head))
                    self.assertLessEqual(abs(size - len(FIELDS)), 1)

    def test_sound_bodies_are_not_looked_at(self):
        for name, data in CUT_BODIES.items():
            with self.subTest(name):
                self.assertTrue(read_head(first_head(filled(data))))


class HeadTest(unittest.TestCase):
    def test_sound_heads(self):
        for data, status, fields in SOUND:
            with self.subTest(data):
                head = read_head(data)
                self.assertIsInstance(head, Head)
                self.assertEqual(head.status, status)
                if fields is not None:
                    self.assertEqual(head.fields, fields)

    def test_refused_heads(self):
        for data, flaw in REFUSED:
            with self.subTest(data[:80]):
                head = read_head(data)
                self.assertFalse(head)
                self.assertIs(head.flaw, flaw)

    def test_status_of_all_three_digits(self):
        """Guards against statuses that RFC 9110, section 15, calls invalid."""
        for status in range(1000):
            with self.subTest(status):
                head = read_head(b"HTTP/1.1 %03d Reason\r\n\r\n" % status)
                is_valid = 100 <= status <= 599 and status != 101
                self.assertEqual(bool(head), is_valid)
                if head:
                    self.assertEqual(head.status, status)
                    self.assertEqual(head.is_interim, status < 200)

    @fuzzed
    @given(st.binary(max_size=200))
    def test_any_bytes_are_read_without_an_exception(self, data):
        for text in (data, b"HTTP/1.1 200 OK\r\n" + data + END):
            read_head(text)

    def test_long_heads_are_read_in_linear_time(self):
        """Guards against an event loop that one head blocks."""
        for part in (b"A: b\r\n", b"A", b"A:\r\n ", b"HTTP/", b"\r\n", b" \t"):
            data = b"HTTP/1.1 200 OK\r\nA: " + part * (MAX_HEAD_BYTES // len(part))
            read_head(data[: MAX_HEAD_BYTES - 4] + END)


class NumberTest(unittest.TestCase):
    def test_numbers(self):
        cases = [
            ("0", 0), ("000", 0), ("7", 7), (" 07\t", 7), ("9" * 18, 10**18 - 1),
            ("9" * 19, None), ("9" * 5000, None), ("", None), (" ", None), ("-1", None),
            ("+1", None), ("1.0", None), ("1e3", None), ("1_0", None), ("0x1", None),
            ("5\xb2", None), ("\xb2", None), ("\u0663", None), ("1 2", None), ("a", None),
        ]  # fmt: skip
        for text, number in cases:
            with self.subTest(text[:20]):
                self.assertEqual(read_number(text), number)
        self.assertIsNone(read_number("1000", 999))
        self.assertEqual(read_number("999", 999), 999)

    @fuzzed
    @given(st.text())
    def test_any_text_is_read_without_an_exception(self, text):
        read_number(text)


class TablesTest(unittest.TestCase):
    def test_tables_have_no_name_twice(self):
        tables = (BROKEN_STATUSES, BROKEN_FIELDS, BROKEN_FRAMING, TWO_IN_ONE)
        self.assertEqual(len(BROKEN_HEADS), sum(map(len, tables)))
        self.assertGreater(len(BROKEN_ANSWERS), len(BROKEN_HEADS))


if __name__ == "__main__":
    unittest.main()
