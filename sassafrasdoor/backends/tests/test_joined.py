"""The search for the head of an answer in the body of another one."""

import time
import tracemalloc
import unittest

from sassafrasdoor.backends.joined import data_holds_answer

ROW = b'{"status":"HTTP/1.1 200 OK","url":"https://example.org/page"},'
SIZE = 4 * 1024 * 1024  # bytes
MAX_PROCESSOR_TIME = 0.5  # seconds
HEAD = b"HTTP/1.1 200 OK\r\nServer: s\r\nId: r1\r\n\r\n"


def identify(status, headers):
    return headers.get("Id"), False


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
                data = row * (SIZE // len(row))
                began = time.process_time()
                self.assertFalse(data_holds_answer(data, identify))
                self.assertLess(time.process_time() - began, MAX_PROCESSOR_TIME)

    def test_long_body_is_not_copied(self):
        """Guards against memory that the limits of received bytes do not count."""
        for data in (b"x" * 4_000_000, ROW * 60_000):
            body = bytearray(data)
            tracemalloc.start()
            self.assertFalse(data_holds_answer(body, identify, b"HTTP/1.1 200 OK\r\n"))
            _, peak = tracemalloc.get_traced_memory()
            tracemalloc.stop()
            self.assertLess(peak, 1_000_000)

    def test_head_that_begins_in_the_body_may_end_behind_it(self):
        """Guards against a joined body whose second head is not whole in it."""
        data = ROW * 5000 + HEAD
        for end in range(len(data) - len(HEAD) + 1, len(data) + 1):
            body, following = data[:end], data[end:]
            self.assertTrue(data_holds_answer(bytearray(body), identify, following))

    def test_answer_behind_a_body_is_not_a_part_of_it(self):
        """Guards against a whole answer refused for an extra one behind it."""
        for body in (ROW * 5000, b"ok", b"HTTP/1.1 200 OK"):
            self.assertFalse(data_holds_answer(bytearray(body), identify, HEAD))


if __name__ == "__main__":
    unittest.main()
