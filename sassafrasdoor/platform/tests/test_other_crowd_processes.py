"""Tests of crowds at the addresses of an instance that are not for requests."""

import unittest

from sassafrasdoor.crowds import Place
from sassafrasdoor.platform import configuration
from sassafrasdoor.platform.tests.crowd_cases import InstanceCase
from sassafrasdoor.tests.crowd_cases import CrowdRows


class ReadyTest(CrowdRows, InstanceCase):
    def places(self):
        yield Place(self.process.ready, "/-/ready", "GET")


class DirectoryTest(CrowdRows, InstanceCase):
    def places(self):
        yield Place(self.process.directory, "/-/resolve", "GET")


class ControlTest(CrowdRows, InstanceCase):
    def bodies(self):
        # Records without content, of four bytes each.
        return [(bytes(self.bounds.large_body_bytes), b"application/octet-stream")]

    def places(self):
        control = self.process.control
        topic = configuration.OPERATOR_TOPIC
        yield Place(control, f"/-/log-newest?Topic={topic}", "GET")
        yield Place(control, "/-/log-append?Topic=crowd&part=0")


class MetricsTest(CrowdRows, InstanceCase):
    def places(self):
        yield Place(self.process.metrics, "/metrics", "GET")


if __name__ == "__main__":
    unittest.main()
