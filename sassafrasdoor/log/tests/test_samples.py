"""The library samples run unchanged, without a daemon or a settings file."""

import subprocess
import sys
import unittest

from sassafrasdoor.support import ROOT

PRINTED = {
    "library_accepted_state.py": "in force: revision 1\n"
    "accepted: True - the second: revision 1 by anna is in force\n",
    "library_lease.py": "holding: fencing number 1\nreleased: 0\n",
}


class SamplesTest(unittest.TestCase):
    def test_samples_print_what_they_say(self):
        for name, printed in PRINTED.items():
            with self.subTest(name):
                done = subprocess.run(
                    [sys.executable, ROOT / "samples" / name],
                    cwd=ROOT,
                    env={"PYTHONPATH": str(ROOT)},
                    capture_output=True,
                    text=True,
                    timeout=60,
                )
                self.assertEqual(done.stderr, "")
                self.assertEqual(done.stdout, printed)
