"""Heads of answers that go on with another answer's."""

import unittest

from tornado.httputil import HTTPHeaders

from sassafrasdoor.headers import holds_status_line


class CutHeadTest(unittest.TestCase):
    def test_head_that_goes_on_with_another_answer(self):
        """Guards against the status of one answer beside the headers of another."""
        cases = [
            ("OK", [("Server", "s"), ("Via", "HTTP/1.1 proxy")], False),
            ("OK", [("Upgrade", "HTTP/2.0"), ("Age", "504")], False),
            ("OKHTTP/1.1 504 Gateway Timeout", [], True),
            ("OK", [("Server", "sHTTP/1.1 504 Gateway Timeout")], True),
            ("OK", [("Server", "HTTP/1.1 504")], True),
        ]
        for reason, headers, is_cut in cases:
            with self.subTest(reason=reason, headers=headers):
                self.assertIs(
                    holds_status_line(reason, HTTPHeaders(dict(headers))), is_cut
                )
