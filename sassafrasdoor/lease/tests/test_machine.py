"""Any interleaving of turns, pauses, restarts, lost and late claims: one holder."""

import asyncio
import unittest

from hypothesis import settings as hypothesis_settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from sassafrasdoor.lease.tests.bench import ORDER, STREAM, Bench, Node
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.outcomes import ReplyLost

NAMES = "abc"
NODE = st.integers(0, len(NAMES) - 1)


class LateLog(MemoryLog):
    """Holds appends back while ``late`` is set: they arrive when let go."""

    def __init__(self):
        super().__init__()
        self.late = False
        self.held = []

    async def append(self, stream, body):
        if not self.late:
            return await super().append(stream, body)
        self.held.append(body)
        return ReplyLost("still under way")


class LeaseMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.case = unittest.TestCase()
        self.runner = asyncio.Runner()
        self.bench = Bench(self.case, ())
        self.log = LateLog()
        self.nodes = [Node(name, self.log) for name in NAMES]
        self.orders = []
        self.used = []

    def teardown(self):
        if hasattr(self, "runner"):
            self.runner.close()
            self.case.doCleanups()

    @rule(
        seconds=st.sampled_from([0.9, 1.9, 3.0, 7.0]),
        awake=st.sets(NODE, min_size=1),
        ordering=st.booleans(),
        outage=st.sampled_from([False, False, False, True]),
    )
    def time_passes(self, seconds, awake, ordering, outage):
        """Those not ``awake`` are stopped meanwhile; the others take a turn."""
        self.bench.clock.advance(seconds)
        self.log.down = outage
        for node in sorted(awake):
            self.runner.run(self.nodes[node].turn())
            if ordering:
                self.send_an_order(self.nodes[node].holder)
        self.log.down = False

    def send_an_order(self, holder):
        """Check and send at once; it may take the longest that an order takes."""
        fence = holder.fence
        if fence:
            until = self.bench.clock.time + ORDER
            self.orders.append((holder.identity, until))
            self.used.append(fence)

    @rule(node=NODE)
    def stop_as_planned(self, node):
        """Release, as its contract says, only with no order of ours under way."""
        holder = self.nodes[node].holder
        time = self.bench.clock.time
        if all(who != holder.identity or until <= time for who, until in self.orders):
            self.runner.run(holder.release())

    @rule(node=NODE)
    def restart(self, node):
        self.nodes[node] = Node(NAMES[node], self.log)

    @rule(node=NODE)
    def a_claim_is_slow(self, node):
        """Its sender knows only that no reply came."""
        self.log.late = True
        self.runner.run(self.nodes[node].turn())
        self.log.late = False

    @precondition(lambda self: self.log.held)
    @rule(which=st.integers(0, 100))
    def a_late_append_arrives(self, which):
        body = self.log.held.pop(which % len(self.log.held))
        self.runner.run(MemoryLog.append(self.log, STREAM, body))

    @rule(fault=st.sampled_from(["lose_replies", "duplicates"]))
    def next_append_is_faulty(self, fault):
        setattr(self.log, fault, 1)

    @invariant()
    def one_may_act_and_only_when_no_order_of_another_is_under_way(self):
        nodes = getattr(self, "nodes", ())
        acting = [node.holder for node in nodes if node.holder.fence]
        assert len(acting) <= 1
        time = self.bench.clock.time if nodes else 0
        for holder in acting:
            for who, until in self.orders:
                assert who == holder.identity or until <= time

    @invariant()
    def fencing_numbers_never_fall(self):
        used = getattr(self, "used", [])
        assert used == sorted(used)


LeaseMachine.TestCase.settings = hypothesis_settings(
    derandomize=True, max_examples=500, stateful_step_count=40, deadline=None
)
LeaseMachineTest = LeaseMachine.TestCase
