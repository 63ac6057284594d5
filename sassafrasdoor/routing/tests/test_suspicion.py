"""Replays of servers whose connections break, in virtual time."""

import unittest

from sassafrasdoor.routing.placement import (
    Candidate,
    Requirement,
    place,
    select_probe,
)
from sassafrasdoor.routing.replicas import SUSPECT_DURATION, Listing, Replica
from sassafrasdoor.routing.suspicion import PROBE_INTERVAL, Suspicion

SLOTS = 8
STEP = 0.1  # seconds between passes over the queue
FIRST_EVENT_AFTER = 0.2  # seconds from the start of an attempt
# Seconds of calm after which an item without an attempt counts as lost.
LOST_AFTER = 5.0
# Of these, those allowed here: a probe, its first event, and a pass over the queue.
PLACED_WITHIN = 1.5


class Server:
    """A server and the moments at which its running attempts were sent."""

    def __init__(self, name):
        listing = Listing("s", f"{name}:80", "z", SLOTS, False, {"m": 1})
        self.replica = Replica(name, listing)
        self.suspicion = Suspicion()
        self.running = []

    def candidate(self, moment):
        suspicion = self.suspicion
        return Candidate(
            self.replica,
            len(self.running),
            suspicion.is_active(moment),
            set(),
            suspicion.may_probe(moment),
        )

    def break_all(self, moment):
        """Break all connections; return the number of items that ran here."""
        count, self.running = len(self.running), []
        for _ in range(count):
            self.suspicion.failed(SUSPECT_DURATION, moment)
        return count


class Fleet:
    """Servers and a queue of items, all alike and longer than the replay."""

    def __init__(self, servers, items):
        self.servers = {f"e{at}": Server(f"e{at}") for at in range(servers)}
        self.queued = items
        self.moment = 100.0

    def step(self):
        """Place queued items and deliver first events, then let a pass go by."""
        for server in self.servers.values():
            for sent_at in server.running:
                if self.moment >= sent_at + FIRST_EVENT_AFTER:
                    server.suspicion.data_received(sent_at, self.moment)
        candidates = [row.candidate(self.moment) for row in self.servers.values()]
        required = Requirement("m", 1)
        while self.queued:
            chosen = place(candidates, required)
            if chosen is None:
                chosen = select_probe(candidates, required)
                if chosen is None:
                    break
                self.servers[chosen.identity].suspicion.probe_started(self.moment)
            chosen.load += 1
            self.servers[chosen.identity].running.append(self.moment)
            self.queued -= 1
        self.moment += STEP

    def break_all(self, names=None):
        for name in names or self.servers:
            self.queued += self.servers[name].break_all(self.moment)

    def seconds_until_placed(self):
        """Return the seconds of calm until no item is queued."""
        began = self.moment
        while self.queued and self.moment < began + 4 * LOST_AFTER:
            self.step()
        return self.moment - began


class BurstTest(unittest.TestCase):
    def test_all_connections_break_once_then_calm(self):
        """Guards against items placed nowhere since each broken one counted."""
        fleet = Fleet(servers=3, items=2 * SLOTS)
        fleet.step()
        fleet.break_all()
        self.assertLess(fleet.seconds_until_placed(), PLACED_WITHIN)

    def test_burst_of_crashes_then_calm(self):
        """Guards against items placed nowhere after servers broke in a row."""
        fleet = Fleet(servers=3, items=2 * SLOTS)
        for _ in range(40):
            fleet.step()
            fleet.break_all()
        self.assertLess(fleet.seconds_until_placed(), PLACED_WITHIN)

    def test_few_sound_servers_full_beside_suspects(self):
        """Guards against items that wait for slots while suspects are idle."""
        fleet = Fleet(servers=4, items=3 * SLOTS)
        fleet.step()
        fleet.break_all(["e1", "e2", "e3"])
        self.assertLess(fleet.seconds_until_placed(), PLACED_WITHIN)

    def test_dead_servers_get_one_item_in_an_interval(self):
        """Guards against a hot loop of items over servers that all break them."""
        fleet = Fleet(servers=2, items=2 * SLOTS)
        fleet.step()
        fleet.break_all()
        sent = 0
        began = fleet.moment
        while fleet.moment < began + 6.0:
            fleet.step()
            sent += sum(len(server.running) for server in fleet.servers.values())
            fleet.break_all()
        self.assertLessEqual(sent, 2 * 6.0 / PROBE_INTERVAL)

    def test_sound_server_with_a_free_slot_is_preferred(self):
        """Guards against probes of suspects where a sound server has room."""
        fleet = Fleet(servers=2, items=SLOTS)
        fleet.step()
        fleet.break_all(["e0"])
        for _ in range(20):
            fleet.step()
            self.assertEqual(fleet.servers["e0"].running, [])

    def test_data_of_an_earlier_attempt_lifts_no_suspicion(self):
        """Guards against broken servers that are trusted by events sent before."""
        suspicion = Suspicion()
        suspicion.failed(SUSPECT_DURATION, 10.0)
        suspicion.data_received(9.9, 10.1)
        self.assertTrue(suspicion.is_active(10.1))
        suspicion.data_received(10.2, 10.3)
        self.assertFalse(suspicion.is_active(10.3))


if __name__ == "__main__":
    unittest.main()
