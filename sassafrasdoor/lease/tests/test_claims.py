"""The fold over claims: log order decides, not clocks."""

import unittest

from sassafrasdoor.lease.claims import fold
from sassafrasdoor.log.interface import Record


def claim(holder, replaces, **more):
    """Return the body of a claim on the lease ``plan``."""
    body = {"name": "plan", "holder": holder, "replaces": replaces}
    return {**body, "id": f"{holder}-{replaces}", **more}


def fold_records(*pairs):
    """Fold ``(offset, body)`` pairs; return the lease, or None."""
    leases = {}
    for offset, body in pairs:
        leases = fold(leases, Record(offset, body))
    return leases.get("plan")


class ClaimsTest(unittest.TestCase):
    def test_claims(self):
        first, second = claim("x", 0), claim("y", 0)
        renewal = claim("x", 3)
        table = [
            ("first of a race", [(3, first), (4, second)], ("x", 3, 3)),
            ("duplicate changes nothing", [(3, first), (4, first)], ("x", 3, 3)),
            ("renewal keeps the epoch", [(3, first), (5, renewal)], ("x", 3, 5)),
            ("successor", [(3, first), (6, claim("y", 3))], ("y", 6, 6)),
            (
                "renewal beats a successor that has not seen it",
                [(3, first), (5, renewal), (6, claim("y", 3))],
                ("x", 3, 5),
            ),
            (
                "holder paused during a change",
                [(3, first), (6, claim("y", 3)), (7, renewal)],
                ("y", 6, 6),
            ),
            (
                "release by another holder",
                [(3, first), (4, claim("y", 3, release=True))],
                ("x", 3, 3),
            ),
            (
                "claim after a release gets a new epoch",
                [(3, first), (4, claim("x", 3, release=True)), (9, claim("x", 4))],
                ("x", 9, 9),
            ),
            ("offset zero is no epoch", [(0, first), (2, second)], ("y", 2, 2)),
            ("replaces is not a number", [(3, claim("x", "0"))], None),
            ("no holder", [(3, claim("", 0))], None),
        ]
        for name, records, expected in table:
            with self.subTest(name):
                lease = fold_records(*records)
                actual = lease and (lease.holder, lease.epoch, lease.offset)
                self.assertEqual(actual, expected)
