"""At most one holder in any sequence of polls, pauses, restarts and faulty claims."""

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

from sassafrasdoor.lease.tests.fixtures import ORDER_TIMEOUT, STREAM, LeaseCluster, Node
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.outcomes import ReplyLost

NAMES = "abc"
NODE = st.integers(0, len(NAMES) - 1)


class DelayedLog(MemoryLog):
    """Delays appends while ``is_delaying`` is set, until the test delivers them."""

    def __init__(self):
        super().__init__()
        self.is_delaying = False
        self.delayed = []

    async def append(self, stream, body):
        if not self.is_delaying:
            return await super().append(stream, body)
        self.delayed.append(body)
        return ReplyLost("append in flight")


class LeaseMachine(RuleBasedStateMachine):
    @initialize()
    def start(self):
        self.case = unittest.TestCase()
        self.runner = asyncio.Runner()
        self.cluster = LeaseCluster(self.case, ())
        self.log = DelayedLog()
        self.nodes = [Node(name, self.log) for name in NAMES]
        self.orders = []
        self.used_fences = []

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
    def advance_time(self, seconds, awake, ordering, outage):
        """Advance the clock; only the nodes in ``awake`` run."""
        self.cluster.clock.advance(seconds)
        self.log.down = outage
        for node in sorted(awake):
            self.runner.run(self.nodes[node].poll_and_claim())
            if ordering:
                self.send_order(self.nodes[node].holder)
        self.log.down = False

    def send_order(self, holder):
        """Check the fence and send an order that takes ``ORDER_TIMEOUT``."""
        fence = holder.fence
        if fence:
            order_end = self.cluster.clock.time + ORDER_TIMEOUT
            self.orders.append((holder.identity, order_end))
            self.used_fences.append(fence)

    @rule(node=NODE)
    def stop_gracefully(self, node):
        """Release the lease, only if no order of the node is in flight."""
        holder = self.nodes[node].holder
        time = self.cluster.clock.time
        if all(
            identity != holder.identity or order_end <= time
            for identity, order_end in self.orders
        ):
            self.runner.run(holder.release())

    @rule(node=NODE)
    def restart(self, node):
        self.nodes[node] = Node(NAMES[node], self.log)

    @rule(node=NODE)
    def delay_claim(self, node):
        """Delay a claim; its sender gets no reply."""
        self.log.is_delaying = True
        self.runner.run(self.nodes[node].poll_and_claim())
        self.log.is_delaying = False

    @precondition(lambda self: self.log.delayed)
    @rule(index=st.integers(0, 100))
    def deliver_delayed_append(self, index):
        body = self.log.delayed.pop(index % len(self.log.delayed))
        self.runner.run(MemoryLog.append(self.log, STREAM, body))

    @rule(fault=st.sampled_from(["lose_replies", "duplicates"]))
    def make_next_append_faulty(self, fault):
        setattr(self.log, fault, 1)

    @invariant()
    def at_most_one_acts_and_no_other_order_is_in_flight(self):
        nodes = getattr(self, "nodes", ())
        acting = [node.holder for node in nodes if node.holder.fence]
        assert len(acting) <= 1
        time = self.cluster.clock.time if nodes else 0
        for holder in acting:
            for identity, order_end in self.orders:
                assert identity == holder.identity or order_end <= time

    @invariant()
    def fencing_numbers_never_decrease(self):
        used_fences = getattr(self, "used_fences", [])
        assert used_fences == sorted(used_fences)


LeaseMachine.TestCase.settings = hypothesis_settings(
    derandomize=True, max_examples=500, stateful_step_count=40, deadline=None
)
LeaseMachineTest = LeaseMachine.TestCase
