"""The search for the head of an answer in the body of another one."""

import time
import tracemalloc
import unittest

from sassafrasdoor.backends.joined import data_holds_answer

ROW = b'{"status":"HTTP/1.1 200 OK","url":"https://example.org/page"},'
ROW_END = b"\n\n"
SIZE = 4 * 1024 * 1024  # bytes
MAX_PROCESSOR_TIME = 0.5  # seconds
HEAD = b"HTTP/1.1 200 OK\r\nServer: s\r\nId: r1\r\n\r\n"


def names_request(headers):
    return "Id" in headers


class JoinedTest(unittest.TestCase):
    def test_search_for_a_second_answer_blocks_no_other_task(self):
        """Guards against a search that takes quadratic time in a body of one line."""
        kinds = {
            "one line": ROW,
            "status lines": b"HTTP/1.1 200 OK\r\n",
            "heads": b"HTTP/1.1 200 OK\r\nServer: s\r\n",
            "names": b"HTTP/1.1 200 OK\r\n" + b"n" * 100,
            "fields": b"HTTP/1.1 200 OK\r\nServer: HTTP/1.1 200 ",
        }
        for kind, row in kinds.items():
            with self.subTest(kind):
                data = row * (SIZE // len(row)) + ROW_END
                began = time.process_time()
                self.assertFalse(data_holds_answer(data, names_request))
                self.assertLess(time.process_time() - began, MAX_PROCESSOR_TIME)

    def test_long_body_is_not_copied(self):
        """Guards against memory that the limits of received bytes do not count."""
        for data in (b"x" * 4_000_000, ROW * 60_000):
            body = bytearray(data)
            tracemalloc.start()
            self.assertFalse(
                data_holds_answer(body, names_request, b"HTTP/1.1 200 OK\r\n")
            )
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(peak, 1_000_000)

    def test_head_that_begins_in_the_body_may_end_behind_it(self):
        """Guards against a joined body whose second head is not whole in it."""
        data = ROW * 5000 + HEAD
        for end in range(len(data) - len(HEAD) + 1, len(data) + 1):
            body, following = data[:end], data[end:]
            self.assertTrue(
                data_holds_answer(bytearray(body), names_request, following)
            )

    def test_answer_behind_a_body_is_not_a_part_of_it(self):
        """Guards against a whole answer refused for an extra one behind it."""
        for body in (ROW * 5000, b"ok", b"HTTP/1.1 200 OK"):
            self.assertFalse(data_holds_answer(bytearray(body), names_request, HEAD))

    def test_head_that_is_cut_by_the_end_of_the_data(self):
        """Guards against a body that ends with a part of another answer's head."""
        begin = HEAD.index(b"\r\n") + 3
        for end in range(begin, len(HEAD)):
            for data, following in ((HEAD[:end], b""), (HEAD[:9], HEAD[9:end])):
                with self.subTest(end=end, following=following):
                    body = b"own" + data
                    self.assertTrue(data_holds_answer(body, names_request, following))

    def test_head_that_lacks_its_empty_line(self):
        """Guards against a joined body whose second head ends in bytes of the protocol."""
        for rest in (b"abc", b"abc: \x00", b" abc: 1\r\n", 300 * b"abc"):
            self.assertTrue(data_holds_answer(HEAD[:-2] + rest, names_request))

    def test_quoted_status_lines_are_no_answer(self):
        """Guards against an own answer refused for the text in its body."""
        texts = (
            b"HTTP/1.1 200 OK",
            b"HTTP/1.1 200 OK\r\n",
            b"HTTP/1.1 200 OK\n",
            b"HTTP/1.1 200 OK\nServer: s\nVary",
            b"HTTP/1.1 200 OK\r\nServer: s\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nServer: s\r\n\r\nbody",
            b"HTTP/1.1 200 OK\r\nNo field of a head",
            b"GET / HTTP/1.1\r\nId: 1\r\n\r\n",
            b"HTTP/1.1 200 OK Id: 1",
            b'{"status":"HTTP/1.1 200 OK","id":1}',
        )
        for text in texts:
            with self.subTest(text):
                self.assertFalse(data_holds_answer(text, names_request))
                self.assertFalse(data_holds_answer(text, names_request, HEAD))


if __name__ == "__main__":
    unittest.main()
