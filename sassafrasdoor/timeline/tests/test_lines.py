"""Selecting the log lines of one id over all processes."""

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
        selected = select(TEXTS, "r1")
        self.assertEqual([entry.at for entry in selected], [1.0, 2.0, 3.0])
        self.assertEqual([entry.process for entry in selected], ["one", "one", "two"])

    def test_an_id_inside_a_list_is_found(self):
        self.assertEqual([entry.at for entry in select(TEXTS, "e2")], [2.0])

    def test_kinds_are_selected_by_prefix(self):
        self.assertEqual(len(select(TEXTS, kind="request.")), 4)

    def test_tool_reads_files_and_standard_input(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "log"
            path.write_text("\n".join(TEXTS), "utf-8")
            for arguments, standard_input in (
                ([str(path)], ""),
                (["-"], "\n".join(TEXTS)),
            ):
                options = ["--request", "r1", "--lines", *arguments]
                result = CliRunner().invoke(app, options, input=standard_input)
                self.assertEqual(result.exit_code, 0)
                self.assertEqual(len(result.output.splitlines()), 3)

    def test_wall_clock_jump_keeps_the_order(self):
        """Guards against lines ordered by the wall clock alone."""
        clocks = [(1.0, 51.0), (2.0, 52.0), (3.0, 50.0), (4.0, 54.0)]
        texts = [
            line(at, "one", f"k{number}", steady=steady, request="r")
            for number, (steady, at) in enumerate(clocks)
        ]
        kinds = [entry.kind for entry in select(texts[::-1], "r")]
        self.assertEqual(kinds, ["k0", "k1", "k2", "k3"])

    def test_ids_without_a_reason_are_counted(self):
        """Guards against failed requests without a line that gives the reason."""
        texts = [*TEXTS, line(4.0, "two", "request.failed", request="r1", reason="x")]
        with tempfile.TemporaryDirectory() as folder:
            log, ids = pathlib.Path(folder) / "log", pathlib.Path(folder) / "ids"
            log.write_text("\n".join(texts), "utf-8")
            for wanted, unexplained, code in (("r1\nr2\nr3", 2, 1), ("r1\n", 0, 0)):
                ids.write_text(wanted, "utf-8")
                options = ["--lines", str(log), "--reasons-for", str(ids)]
                result = CliRunner().invoke(app, options)
                *_, last = result.output.splitlines()
                count = len(wanted.split())
                self.assertEqual(last, f"{unexplained} of {count} without a reason")
                self.assertEqual(result.exit_code, code)
