"""When a suspicion ends in death, and when the way is at fault."""

import unittest
from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.membership import suspicions as module
from sassafrasdoor.membership.suspicions import Suspicions
from sassafrasdoor.view import Member

TIMEOUT, INTERVAL = 10.0, 1.0


class Regions:
    """Says when each region was last heard."""

    def __init__(self):
        self.at = 0.0

    def heard_at(self, region):
        return self.at


class RegionTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        for name, fake in {
            "now": lambda: self.time,
            "deadline_in": lambda seconds: self.time + seconds,
            "passed": lambda deadline: self.time >= deadline,
        }.items():
            patch = mock.patch.object(module, name, fake)
            patch.start()
            self.addCleanup(patch.stop)
        options = {"suspicion_timeout": TIMEOUT, "probe_interval": INTERVAL}
        found = settings.from_document({"membership": options}).membership
        self.regions = Regions()
        self.suspicions = Suspicions(found, "here", self.regions)
        self.member = Member("f1", region="there", availability_zone="z")
        self.suspicions.begin("f1")

    def dead(self, heard_after, waited=TIMEOUT + 0.1):
        self.regions.at = self.time + heard_after
        self.time += waited
        return self.suspicions.expired({"f1": self.member}, others=3)

    def test_message_under_way_at_the_cut_kills_nobody(self):
        """Guards against a message in flight at a partition taken for connectivity."""
        self.assertEqual(self.dead(heard_after=0.1), [])

    def test_silent_region_kills_nobody(self):
        self.assertEqual(self.dead(heard_after=-5.0), [])

    def test_region_that_is_heard_on_leaves_the_member_dead(self):
        self.assertEqual(self.dead(heard_after=TIMEOUT / 2), [self.member])

    def test_member_gets_its_full_time_once_the_way_is_back(self):
        self.assertEqual(self.dead(heard_after=0.1), [])
        self.assertEqual(self.dead(heard_after=TIMEOUT / 2, waited=TIMEOUT / 2), [])
        self.assertEqual(self.dead(heard_after=0.0), [self.member])


if __name__ == "__main__":
    unittest.main()
