"""The operators' tool against a real platform stand-in: output and exit codes."""

import http.server
import json
import pathlib
import threading
import unittest
import urllib.request

from typer.testing import CliRunner

from sassafrasdoor.support import Processes
from sassafrasdoor.table import sheets
from sassafrasdoor.table.rows import table_from
from sassafrasdoor.table.tests.test_accepted import table
from sassafrasdoor.tools.table import app
from sassafrasdoor.tools.table_changes import changes

SHEET = """name,kind,service,weight,limit,key_hashes
boards,application,occupancy,1,,{hash}
wording,application,occupancy,3,0.5,{hash} {hash}
""".replace("{hash}", "a" * 64)


class SheetsTest(unittest.TestCase):
    def test_both_formats_restore_the_same_table(self):
        before = table_from(sheets.from_csv(SHEET).document)
        self.assertEqual(before.rows[0].limit, 1.0)
        for parse, text in (
            (sheets.from_csv, sheets.to_csv(before, 7)),
            (sheets.from_json, sheets.to_json(before, 7)),
        ):
            sheet = parse(text)
            self.assertEqual(sheet.revision, 7)
            self.assertEqual(table_from(sheet.document), before)

    def test_invalid_sheets_report_the_place(self):
        cases = [
            (sheets.from_json, "{", "(root)"),
            (sheets.from_json, "[]", "(root)"),
            (sheets.from_json, '{"revision": "x"}', "revision"),
            (sheets.from_csv, "# revision x\nname\n", "revision"),
            (sheets.from_csv, "name\na\nb,c\n", "rows.1"),
            (sheets.from_csv, 'name\n"a', "(root)"),
        ]
        for parse, text, place in cases:
            with self.subTest(text):
                self.assertEqual(parse(text).findings[0].place, place)


class ChangesTest(unittest.TestCase):
    def test_row_with_a_changed_share_is_a_change(self):
        new = table_from(sheets.from_csv(SHEET).document)
        old = new.model_copy(update={"rows": new.rows[:1]})
        row_changes = {change.name: change for change in changes(old, new)}
        self.assertEqual(row_changes["boards"].fields, {})
        self.assertEqual(row_changes["boards"].old_share, 1.0)
        self.assertAlmostEqual(row_changes["boards"].new_share, 0.5)
        self.assertAlmostEqual(row_changes["wording"].new_share, 0.5)
        self.assertEqual(row_changes["wording"].fields["weight"], (None, 3.0))
        self.assertEqual(changes(new, new), [])


class StatusHandler(http.server.BaseHTTPRequestHandler):
    """The status page of an instance, with only its revision."""

    def do_GET(self):
        body = json.dumps({"revision": self.server.revision}).encode()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *arguments):
        """Log nothing."""


class ToolTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.processes = cls.enterClassContext(Processes())

    def setUp(self):
        self.url = self.processes.serve("standin", "platform").ready["url"]
        self.sheet = self.write(table())

    def write(self, document, name="sheet.json"):
        return self.processes.write_json(name, document)

    def run_tool(self, *arguments):
        """Run the tool; return its exit code and the JSON that it printed."""
        command = ["--platform", self.url, "--json", *map(str, arguments)]
        result = CliRunner().invoke(app, command)
        if result.exit_code == 2:
            return 2, None
        self.assertTrue(result.stdout, result.output)
        return result.exit_code, json.loads(result.stdout)

    def call(self, method, path, document):
        data = json.dumps(document).encode()
        request = urllib.request.Request(self.url + path, data, method=method)
        with urllib.request.urlopen(request, timeout=20) as response:
            return json.loads(response.read())

    def serve_instance(self, name, revision):
        """Serve an instance and register it."""
        server = http.server.ThreadingHTTPServer(("127.0.0.1", 0), StatusHandler)
        server.revision = revision
        threading.Thread(target=server.serve_forever, daemon=True).start()
        self.addCleanup(server.server_close)
        self.addCleanup(server.shutdown)
        address = f"127.0.0.1:{server.server_address[1]}"
        self.call("PUT", f"/instances/{name}", {"kind": "entry", "address": address})
        return server

    def test_edit_from_show_to_in_force(self):
        code, first = self.run_tool("apply", self.sheet, "--author", "anna")
        self.assertEqual((code, first["outcome"]), (0, "accepted"))
        path = pathlib.Path(self.sheet).with_name("edited.csv")
        result = CliRunner().invoke(
            app, ["--platform", self.url, "show", "--output", str(path)]
        )
        self.assertEqual(result.exit_code, 0)
        path.write_text(path.read_text().replace(",1.0,", ",2.0,", 1))
        code, difference = self.run_tool("diff", path)
        self.assertEqual(difference["changes"][0]["fields"], {"weight": [1.0, 2.0]})
        code, second = self.run_tool("apply", path)
        self.assertEqual(code, 0)
        self.assertGreater(second["revision"], first["revision"])
        self.assertEqual(self.run_tool("show")[1]["rows"][0]["weight"], 2.0)

    def test_second_of_two_operators_is_rejected_with_the_winner(self):
        """Guards against overwriting a revision that the operator did not edit."""
        base = self.run_tool("apply", self.sheet)[1]["revision"]
        second = self.write({**table(2.0), "revision": base}, "mine.json")
        first = self.write({**table(3.0), "revision": base}, "theirs.json")
        accepted = self.run_tool("apply", first, "--author", "ben")[1]
        code, rejected = self.run_tool("apply", second, "--author", "anna")
        self.assertEqual((code, rejected["outcome"]), (1, "rejected"))
        self.assertEqual(rejected["winner"], accepted["revision"])
        self.assertEqual(rejected["winner_author"], "ben")
        self.assertEqual(self.run_tool("show")[1]["rows"][0]["weight"], 3.0)
        code, rejected = self.run_tool("apply", self.sheet)
        self.assertEqual((code, rejected["findings"][0]["place"]), (1, "revision"))

    def test_in_force_counts_the_instances_with_the_revision(self):
        self.serve_instance("one", 10**9)
        self.serve_instance("two", 0)
        code, result = self.run_tool("apply", self.sheet, "--timeout", 1)
        self.assertEqual((code, result["in_force"], result["instances"]), (4, 1, 2))
        self.assertEqual(result["missing"], ["two"])

    def test_exit_codes(self):
        bad = self.write(table(-1.0), "bad.json")
        cases = [
            (("check", self.sheet), 0, "valid"),
            (("check", bad), 1, "rejected"),
            (("apply", bad), 1, "rejected"),
            (("apply", self.sheet, "--base", 5), 1, "rejected"),
            (("check",), 2, None),
            (("announce", "m", 3), 0, "announced"),
            (("announce", "m", 3), 1, "rejected"),
            (("show", "--timeout", 0), 3, "unavailable"),
            (("apply", self.sheet, "--timeout", 0), 3, "unavailable"),
            (("status", "--address", "127.0.0.1:1"), 3, "unavailable"),
        ]
        for arguments, code, outcome in cases:
            with self.subTest(arguments):
                down = code == 3
                self.call("POST", "/standin/faults", {"down": down})
                exit_code, document = self.run_tool(*arguments)
                self.assertEqual(exit_code, code)
                self.assertEqual(document and document["outcome"], outcome)

    def test_lost_reply_publishes_once(self):
        self.call("POST", "/standin/faults", {"lose_reply": 1})
        code, result = self.run_tool("apply", self.sheet)
        self.assertEqual((code, result["outcome"]), (0, "accepted"))
        with urllib.request.urlopen(self.url + "/standin/truth") as response:
            records = json.loads(response.read())["streams"]["agreed"]
        self.assertEqual(len(records), 1)

    def test_history_lists_every_decision(self):
        self.run_tool("apply", self.sheet, "--author", "anna")
        decisions = self.run_tool("history")[1]["decisions"]
        self.assertEqual([decision["author"] for decision in decisions], ["anna"])

    def test_text_output_has_tables_and_findings(self):
        self.run_tool("apply", self.sheet, "--author", "[anna]")
        shown = CliRunner().invoke(app, ["--platform", self.url, "show"])
        self.assertIn("boards", shown.stdout)
        self.assertIn("by [anna]", shown.stdout)
        edited = table(5.0)
        edited["rows"] += [{**edited["rows"][0], "name": "wording", "model": ""}]
        path = self.write(edited, "more.json")
        compared = CliRunner().invoke(app, ["--platform", self.url, "diff", path])
        self.assertIn("weight: 1.0 -> 5.0", compared.stdout)
        self.assertIn("new row: kind application", compared.stdout)
        self.assertNotIn("None", compared.stdout)
        bad = self.write(table(-1.0), "bad.json")
        refused = CliRunner().invoke(app, ["check", bad])
        self.assertEqual(refused.exit_code, 1)
        self.assertIn("rows.0.weight", refused.output)
