"""No decision uses the wall clock: it may jump by seconds in both directions."""

import ast
import unittest

from sassafrasdoor.support import ROOT

SOURCE = ROOT / "sassafrasdoor"
WALL_CLOCK_NAMES = {
    "time.time",
    "time.time_ns",
    "datetime",
    "CLOCK_REALTIME",
    "localtime",
}
ALLOWED = {
    "clock.py": "the hybrid clock that orders events of the time line",
    "duties/reporter.py": "windows of the usage report, which are cut in true time",
    "membership/node.py": "an incarnation's number, compared with its own only",
}


def wall_clock_modules():
    """Yield the modules other than tests that read the wall clock."""
    for path in sorted(SOURCE.rglob("*.py")):
        if "tests" in path.parts:
            continue
        names = {ast.unparse(node) for node in ast.walk(ast.parse(path.read_text()))}
        if any(
            wall in name.split(".")[0] or wall == name
            for name in names
            for wall in WALL_CLOCK_NAMES
        ):
            yield str(path.relative_to(SOURCE))


class TimeOfDayTest(unittest.TestCase):
    def test_only_allowed_modules_read_the_wall_clock(self):
        """Guards against deadlines computed from the wall clock."""
        self.assertEqual(set(wall_clock_modules()), set(ALLOWED))


if __name__ == "__main__":
    unittest.main()
