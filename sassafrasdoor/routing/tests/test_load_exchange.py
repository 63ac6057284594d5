"""Tests of the exchange of load reports, in virtual time and over UDP."""

import asyncio
import contextlib
import random
import socket
import unittest
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.routing import backend_state, replicas as replicas_module
from sassafrasdoor.routing.load_datagrams import LoadDatagrams
from sassafrasdoor.routing.load_exchange import (
    MAX_DATAGRAM_BYTES,
    SEND_INTERVAL,
    LoadExchange,
    decode,
)
from sassafrasdoor.routing.replicas import Listing, Replicas
from sassafrasdoor.support import until

SERVICE, SLOTS = "s", 6


class Member:
    """An entry point with its view of the replicas x and y, and its exchange."""

    def __init__(self, now=0.0):
        self.replicas = Replicas("a")
        self.exchange = LoadExchange(0, now)
        for identity in "xy":
            self.listed(identity, 1000)
        self.replicas.choose(SERVICE)

    def listed(self, identity, born):
        listing = Listing(SERVICE, f"{identity}:1", "a", SLOTS, False, {}, born)
        self.replicas.update_listing(identity, listing)

    def replica(self, identity="x"):
        return self.replicas.get(identity)

    def datagram(self, now, is_in_use=True):
        if is_in_use:
            self.replicas.choose(SERVICE)
        self.exchange.begin_round(now)
        return self.exchange.next_datagram(self.replicas.observed_loads(), now)

    def receive(self, data, now):
        reports, results = self.exchange.receive(data, now, self.replicas.load_state)
        for report in reports:
            self.replica(report.identity).record_neighbour_load(report)
        return results


class ExchangeTest(unittest.TestCase):
    def setUp(self):
        self.time = 100.0
        stack = contextlib.ExitStack()
        self.addCleanup(stack.close)
        for module in (clock, backend_state, replicas_module):
            stack.enter_context(mock.patch.object(module, "now", lambda: self.time))
        self.sender, self.receiver = Member(self.time), Member(self.time)
        self.receiver.replica("y").record_load(0, 0, 1.0)
        self.elapse(1.5)

    def elapse(self, seconds):
        """Advance the time, with rounds of both members that send nothing."""
        end = self.time + seconds
        while self.time < end:
            self.time = min(end, self.time + SEND_INTERVAL)
            for member in (self.sender, self.receiver):
                member.exchange.begin_round(self.time)

    def sent(self, *report):
        self.sender.replica().record_load(*report)
        return self.sender.datagram(self.time)

    def play(self, loss):
        """Return the share of calls that are sent to x, which others keep full."""
        draw = random.Random(1)
        sent_to_x = 0
        rounds = 200
        for _ in range(rounds):
            self.elapse(SEND_INTERVAL)
            data = self.sent(SLOTS, 5, 1.0)
            if data and draw.random() >= loss:
                self.receiver.receive(data, self.time)
            sent_to_x += self.receiver.replicas.choose(SERVICE).identity == "x"
        return sent_to_x / rounds

    def test_calls_avoid_a_replica_that_neighbours_know_to_be_full(self):
        """Guards against calls that wait at a replica which only others know to be full.

        The share without the exchange is that of all datagrams lost.
        """
        self.assertEqual(self.play(loss=1.0), 1.0)
        self.assertLessEqual(self.play(loss=0.0), 0.02)
        self.assertLessEqual(self.play(loss=0.3), 0.15)

    def test_total_of_a_neighbour_includes_own_calls(self):
        """Guards against own calls in flight that are counted twice, or not at all."""
        replica = self.receiver.replica()
        replica.state.started()
        replica.state.started()
        self.elapse(0.1)
        self.sender.replica().record_load(4, 1, 2.5)
        self.time += 0.01
        replica.state.finished()
        replica.state.started()
        replica.state.started()
        self.time += 0.04
        data = self.sender.datagram(self.time)
        self.assertEqual(self.receiver.receive(data, self.time), ["accepted"])
        self.assertEqual((replica.load, replica.pace), (3 + 3, 2.5))
        self.assertFalse(replica.reports_pace)
        self.time += 0.26
        self.assertEqual(replica.pace, 1.0)

    def test_only_newer_reports_are_accepted(self):
        data = self.sent(5, 0, 1.0)
        self.time += 0.01
        self.receiver.replica().record_load(1, 0, 1.0)
        self.assertEqual(self.receiver.receive(data, self.time), ["older"])
        self.assertEqual(self.receiver.replica().load, 1)

    def test_report_of_a_former_incarnation_is_dropped(self):
        """Guards against the load of a replica before its restart."""
        data = self.sent(SLOTS, 9, 1.0)
        self.receiver.listed("x", 2000)
        self.receiver.listed("y", 1000)
        self.assertEqual(self.receiver.receive(data, self.time), ["other_incarnation"])
        self.assertEqual(self.receiver.replica().load, 0)

    def test_reports_of_a_frozen_process_do_not_count(self):
        """Guards against old reports that a process takes for new after it was frozen."""
        data = self.sent(SLOTS, 9, 1.0)
        self.time += 3.0
        with self.subTest("the receiver was frozen"):
            self.assertEqual(self.receiver.receive(data, self.time), ["late"])
            self.receiver.exchange.begin_round(self.time)
            self.assertEqual(self.receiver.receive(data, self.time), ["late"])
        with self.subTest("the sender was frozen, the answer waited"):
            self.assertEqual(self.sent(SLOTS, 9, 1.0), b"")
        with self.subTest("the report is old"):
            self.elapse(1.0)
            self.assertEqual(self.sender.datagram(self.time), b"")
        self.assertEqual(self.receiver.replica().load, 0)

    def test_unknown_services_and_malformed_datagrams_have_no_effect(self):
        """Guards against datagrams of other programs, and for services not in use."""
        data = self.sent(SLOTS, 9, 1.0)
        stranger = Member(self.time)
        self.assertEqual(stranger.receive(data, self.time), ["unknown"])
        draw = random.Random(2)
        for size in (*range(len(data)), MAX_DATAGRAM_BYTES + 1):
            for wrong in ((data + data[2:] * 99)[:size], draw.randbytes(size)):
                self.assertEqual(self.receiver.receive(wrong, self.time), ["malformed"])
        self.assertEqual(self.receiver.replica().load, 0)

    def test_nothing_is_sent_in_calm_time(self):
        self.assertEqual(self.sent(2, 0, 1.0), b"")
        self.sender.replica("y").record_load(0, 0)
        self.sender.replica().count_refusal()
        (report,) = decode(self.sent(2, 0, 1.0), self.time)
        self.assertEqual((report.total, report.refusals), (2, 1))

    def test_services_without_calls_are_left_out(self):
        """Guards against datagrams about engines that only a step's runner uses."""
        self.elapse(replicas_module.SERVICE_USE_PERIOD)
        self.sender.replica().record_load(SLOTS, 9, 1.0)
        self.assertEqual(self.sender.datagram(self.time, is_in_use=False), b"")
        data = self.sender.datagram(self.time)
        self.assertEqual(self.receiver.receive(data, self.time), ["unknown"])

    def test_refusal_makes_a_replica_full_until_a_newer_report(self):
        self.sender.replica().count_refusal()
        self.receiver.receive(self.sent(2, 0, 1.0), self.time)
        self.assertEqual(self.receiver.replica().free_slots, 0)
        self.time += 0.01
        self.receiver.replica().record_load(2, 0, 1.0)
        self.assertEqual(self.receiver.replica().free_slots, 4)

    def test_replica_that_is_listed_again_starts_with_no_refusals(self):
        """Guards against a process that ends since a count of refusals is negative."""
        for _ in range(2):
            self.sender.replica().count_refusal()
        self.assertEqual(decode(self.sent(SLOTS, 0, 1.0), self.time)[0].refusals, 2)
        self.sender.replicas.discard("x")
        self.sender.listed("x", 1000)
        self.sender.replica().count_refusal()
        self.time += SEND_INTERVAL
        data = self.sent(SLOTS, 3, 1.0)
        self.assertEqual(decode(data, self.time)[0].refusals, 1)

    def test_unchanged_load_is_sent_rarely(self):
        """Guards against datagrams that tell nothing new."""
        sent = 0
        for _ in range(20):
            self.elapse(SEND_INTERVAL)
            sent += bool(self.sent(SLOTS, 9, 1.0))
        self.assertLessEqual(sent, 11)

    def test_datagram_and_receivers_are_bounded(self):
        for number in range(100):
            identity = f"replica-{number:03}"
            self.sender.listed(identity, 1000)
            self.sender.replica(identity).record_load(SLOTS, 9, 1.0)
        data = self.sent(SLOTS, 9, 1.0)
        self.assertLessEqual(len(data), MAX_DATAGRAM_BYTES)
        self.assertGreater(len(decode(data, self.time)), 30)
        near, far = [f"n{at}" for at in range(3)], [f"f{at}" for at in range(12)]
        reached = set()
        for _ in range(6):
            self.sender.exchange.begin_round(self.time)
            receivers = self.sender.exchange.receivers(near, far)
            self.assertEqual(len(receivers), 5)
            reached.update(receivers)
        self.assertEqual(reached, {*near, *far})


class DatagramsTest(unittest.IsolatedAsyncioTestCase):
    def start(self, host, others, port):
        member = Member()
        datagrams = LoadDatagrams(
            f"{host}:80", port, member.replicas, lambda: (others, [])
        )
        task = asyncio.ensure_future(datagrams.run())
        self.addAsyncCleanup(asyncio.wait, [task])
        self.addCleanup(task.cancel)
        return member, task

    async def test_reports_arrive_and_a_taken_port_is_survived(self):
        """Guards against a process that ends since its port is in use."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as taken:
            taken.bind(("127.0.0.4", 0))
            port = taken.getsockname()[1]
            hosts = ["127.0.0.2", "127.0.0.3", "127.0.0.4"]
            addresses = [f"{host}:80" for host in (*hosts, "a.name")]
            members = [self.start(host, addresses, port) for host in hosts]
            (sender, _), (receiver, task), (_, ended) = members
            receiver.replica("y").record_load(0, 0, 1.0)
            await ended

            def has_arrived():
                sender.replica().record_load(SLOTS, 3, 1.0)
                for member in (sender, receiver):
                    member.replicas.choose(SERVICE)
                return receiver.replica().load == SLOTS + 3

            await until(has_arrived)
        task.cancel()
        await asyncio.wait([task])
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
            free.bind(("127.0.0.3", port))


if __name__ == "__main__":
    unittest.main()
