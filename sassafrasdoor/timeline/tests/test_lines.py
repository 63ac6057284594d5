"""One id followed over the log lines of all processes."""

import json
import pathlib
import tempfile
import unittest

from typer.testing import CliRunner

from sassafrasdoor.timeline.lines import select
from sassafrasdoor.tools.timeline import app


def line(at, process, kind, **fields):
    document = {"timestamp": at, "process": process, "message_type": kind, **fields}
    return json.dumps(document)


TEXTS = [
    "  1.20 host " + line(3.0, "two", "request.not_served", request="r1", status=503),
    line(1.0, "one", "request.try_failed", request="r1", replica="e1"),
    line(2.0, "one", "request.given_up", request="r1", replicas=["e1", "e2"]),
    line(2.5, "one", "request.answered", request="r2"),
    "no line of ours",
    "{broken",
    json.dumps({"timestamp": 1}),
]


class LinesTest(unittest.TestCase):
    def test_one_request_over_all_processes_in_order(self):
        found = select(TEXTS, "r1")
        self.assertEqual([one.at for one in found], [1.0, 2.0, 3.0])
        self.assertEqual([one.process for one in found], ["one", "one", "two"])

    def test_an_id_inside_a_list_is_found(self):
        self.assertEqual([one.at for one in select(TEXTS, "e2")], [2.0])

    def test_kinds_are_selected_by_their_beginning(self):
        self.assertEqual(len(select(TEXTS, kind="request.")), 4)

    def test_the_program_reads_files_and_standard_input(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(TEXTS), "utf-8")
            for arguments, given in (([str(path)], ""), (["-"], "\n".join(TEXTS))):
                words = ["--request", "r1", "--lines", *arguments]
                result = CliRunner().invoke(app, words, input=given)
                self.assertEqual(result.exit_code, 0)
                self.assertEqual(len(result.output.splitlines()), 3)
