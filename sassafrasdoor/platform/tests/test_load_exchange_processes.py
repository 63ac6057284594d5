"""The port of the exchange of load reports, with real processes."""

import signal

from sassafrasdoor.platform import wire
from sassafrasdoor.platform.local import PORTS
from sassafrasdoor.platform.tests.cases import ProcessCase


class PortTest(ProcessCase):
    """All instances have one host here, so only one of them can bind the port."""

    async def asyncSetUp(self):
        port = next(PORTS)
        self.more_settings = f"PortRange={port},{port + 9}\n"
        await super().asyncSetUp()

    def line_count(self, name):
        logs = [instance.log_path.read_text("utf-8") for instance in self.instances]
        return sum(f'"load_exchange.{name}"' in log for log in logs)

    async def test_instances_serve_and_end_without_the_port(self):
        """Guards against processes that fail, or do not end, if the port is taken."""
        await self.wait_until(lambda: self.line_count("on") == 1)
        await self.wait_until(lambda: self.line_count("off") == 2)
        for number, instance in enumerate(self.instances):
            headers = {wire.REQUEST_ID: f"r{number}"}
            reply = await self.fetch(instance.front, "/plain/x", "POST", "b", **headers)
            self.assertEqual(reply.code, 200)
        for instance in self.instances:
            instance.signal(signal.SIGTERM)
        await self.wait_until(
            lambda: not any(instance.running for instance in self.instances)
        )
        codes = [instance.process.returncode for instance in self.instances]
        self.assertEqual(codes, [0, 0, 0])
