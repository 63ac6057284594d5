"""Tests that crowds of callers stay within the bounds of a real entry process."""

import unittest

from sassafrasdoor import crowds
from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.crowds import Bounds, Place
from sassafrasdoor.tests.crowd_cases import ORDINARY_BODY, CrowdCase, CrowdRows

KEY = f"Authorization: Bearer {KEYS['idempotent']}\r\n".encode()
TRAINER_KEY = f"Authorization: Bearer {KEYS['trainer']}\r\n".encode()


class _Entry:
    """The entry process of an instance of a cluster."""

    def __init__(self, instance):
        self.instance = instance
        self.pid = instance.entry.pid

    @property
    def running(self):
        return self.instance.entry.returncode is None

    @property
    def lines(self):
        return self.instance.entry.output


class OwnFrontTest(CrowdRows, CrowdCase):
    bounds = Bounds(memory_mb=144, descriptors=800, large_body_bytes=3_900_000)
    ordinary_headers = {"Authorization": f"Bearer {KEYS['idempotent']}"}

    @classmethod
    async def start(cls):
        await super().start()
        limits = {
            "memory_mb": cls.bounds.memory_mb,
            "descriptors": cls.bounds.descriptors,
        }
        cls.cluster = await Cluster({"limits": limits}).start(instances=1)
        cls.process = _Entry(cls.cluster.instances[0])

    @classmethod
    async def start_process(cls):
        for instance in cls.cluster.instances:
            instance.kill()
        cls.cluster.instances = []
        cls.process = _Entry(cls.cluster.start_instance("entry"))
        await cls.cluster.wait_ready()

    @classmethod
    async def stop(cls):
        await super().stop()
        await cls.cluster.__aexit__()

    def bodies(self):
        size = self.bounds.large_body_bytes
        groups = b'{"groups":[' + b'{"prompt":"a"},' * (size // 15) + b"0]}"
        return [*super().bodies(), (groups, b"application/json")]

    @property
    def address(self):
        return self.process.instance.address

    def places(self):
        yield Place(self.address, "/v1/call/idempotent/x", headers=KEY)
        yield Place(self.address, "/v1/call/idempotent/x")
        yield Place(self.address, "/v1/generate/chat", headers=KEY)
        yield Place(self.address, "/v1/steps/trainer", headers=TRAINER_KEY)
        yield Place(self.address, "/v1/steps/trainer/s/fetch", headers=TRAINER_KEY)
        yield Place(self.address, "/v1/addresses", "GET")
        yield Place(self.address, "/readyz", "GET")
        yield Place(self.address, "/metrics", "GET")
        yield Place(self.address, "/metrics/control", "GET")
        yield Place(self.address, "/none/x")

    @staticmethod
    def unread(place):
        """Yield a request whose answer, which repeats its body, is not read."""
        yield crowds.sized_head(place, len(ORDINARY_BODY)) + ORDINARY_BODY

    async def check_ordinary_callers(self):
        for call in (
            ("/v1/call/idempotent/x", "POST", b"b"),
            ("/readyz",),
            ("/metrics",),
            ("/v1/addresses?row=idempotent",),
            ("/v1/call/idempotent/x", "POST", ORDINARY_BODY),
        ):
            await self.wait_for_answer(200, self.address, *call)


if __name__ == "__main__":
    unittest.main()
