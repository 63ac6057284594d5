"""Instances that share a lease over one in-memory log, on a manual clock."""

from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.lease.holder import Holder
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.memory import MemoryLog

LEASE_DURATION, RENEW_INTERVAL, ORDER_TIMEOUT = 6.0, 2.0, 10.0
STREAM = "agreed"


class ManualClock:
    """The monotonic clock of all nodes; patches ``clock.now``."""

    def __init__(self, case):
        self.time = 1000.0
        case.enterContext(mock.patch("sassafrasdoor.clock.now", lambda: self.time))

    def advance(self, seconds):
        """Advance the clock of all nodes."""
        self.time += seconds


class Node:
    """One instance: a follower and a holder, run step by step."""

    def __init__(self, name, log, max_order_duration=None):
        document = {"instance": {"name": name}}
        self.settings = settings.from_document(document)
        self.log = log
        self.follower = Follower(self.settings, log, agreed.fold, agreed.Agreed())
        self.holder = Holder(
            self.settings,
            log,
            self.follower,
            "plan",
            max_order_duration=max_order_duration,
        )

    async def poll_and_claim(self):
        """Read the log, claim if due and read again; return the fencing number."""
        await self.follower.poll(0)
        if self.holder.claim_due:
            await self.holder.claim()
            await self.follower.poll(0)
        return self.holder.fence


class LeaseCluster:
    """Nodes with a shared log and clock."""

    def __init__(self, case, names="ab"):
        self.clock = ManualClock(case)
        self.log = MemoryLog()
        self.nodes = [Node(name, self.log) for name in names]

    async def run(self, seconds, *nodes, step=1.0):
        """Advance the clock in steps, and poll the given nodes after each."""
        while seconds > 0:
            self.clock.advance(min(step, seconds))
            seconds -= step
            for node in nodes:
                await node.poll_and_claim()
