"""Instances that share a lease over one log in memory, on a clock set by hand."""

from unittest import mock

from sassafrasdoor import settings
from sassafrasdoor.lease.holder import Holder
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.memory import MemoryLog

DURATION, RENEWAL, ORDER = 6.0, 2.0, 10.0
STREAM = "agreed"


class HandClock:
    """The monotonic clock of every process here; patches ``clock.now``."""

    def __init__(self, case):
        self.time = 1000.0
        case.enterContext(mock.patch("sassafrasdoor.clock.now", lambda: self.time))

    def advance(self, seconds):
        """Let time pass for everybody."""
        self.time += seconds


class Node:
    """One instance: a follower and a holder, run turn by turn."""

    def __init__(self, name, log, settle=None):
        document = {"instance": {"name": name}}
        self.settings = settings.from_document(document)
        self.log = log
        self.follower = Follower(self.settings, log, agreed.fold, agreed.Agreed())
        self.holder = Holder(self.settings, log, self.follower, "plan", settle=settle)

    async def turn(self):
        """Read the log, claim if due, read again; return the fencing number."""
        await self.follower.poll(0)
        if self.holder.claim_due:
            await self.holder.claim()
            await self.follower.poll(0)
        return self.holder.fence


class Bench:
    """A log, a clock and nodes."""

    def __init__(self, case, names="ab"):
        self.clock = HandClock(case)
        self.log = MemoryLog()
        self.nodes = [Node(name, self.log) for name in names]

    async def run(self, seconds, *nodes, step=1.0):
        """Let time pass in steps in which the given nodes take turns."""
        while seconds > 0:
            self.clock.advance(min(step, seconds))
            seconds -= step
            for node in nodes:
                await node.turn()
