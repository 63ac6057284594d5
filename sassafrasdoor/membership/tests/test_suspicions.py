"""When a suspicion expires, and when a partition postpones it."""

import unittest
from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.membership import suspicions as module
from sassafrasdoor.membership.suspicions import Suspicions
from sassafrasdoor.view import Member

TIMEOUT, INTERVAL = 10.0, 1.0


class FakeRegions:
    """Returns one time of contact for all regions."""

    def __init__(self):
        self.contact_at = 0.0

    def last_contact_at(self, region):
        return self.contact_at


class RegionPartitionTest(unittest.TestCase):
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
        membership_settings = settings.from_document({"membership": options}).membership
        self.regions = FakeRegions()
        self.suspicions = Suspicions(membership_settings, "here", self.regions)
        self.member = Member("f1", region="there", availability_zone="z")
        self.suspicions.begin("f1")

    def expired_after(self, contact_after, waited=TIMEOUT + 0.1):
        self.regions.contact_at = self.time + contact_after
        self.time += waited
        return self.suspicions.pop_expired({"f1": self.member}, others=3)

    def test_message_in_flight_at_a_partition_causes_no_death(self):
        """Guards against a message in flight that counts as contact after a partition."""
        self.assertEqual(self.expired_after(contact_after=0.1), [])

    def test_member_of_a_silent_region_is_not_declared_dead(self):
        self.assertEqual(self.expired_after(contact_after=-5.0), [])

    def test_member_of_a_reachable_region_is_declared_dead(self):
        self.assertEqual(self.expired_after(contact_after=TIMEOUT / 2), [self.member])

    def test_member_gets_the_full_timeout_after_reconnection(self):
        self.assertEqual(self.expired_after(contact_after=0.1), [])
        self.assertEqual(
            self.expired_after(contact_after=TIMEOUT / 2, waited=TIMEOUT / 2), []
        )
        self.assertEqual(self.expired_after(contact_after=0.0), [self.member])


if __name__ == "__main__":
    unittest.main()
