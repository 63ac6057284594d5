"""Tests of discovery: which instances are returned to callers, in which order."""

import json
import unittest

import tornado.testing
import tornado.web

from sassafrasdoor.callers.budget import CallerBudget
from sassafrasdoor.callers.requests import CountedRequests
from sassafrasdoor.requests.tests.fakes import settings
from sassafrasdoor.routing import discovery
from sassafrasdoor.view import Member, State, View

ZONES = ("zone-a", "zone-b", "zone-c")


def members(count, **states):
    """Return members in three zones; ``states`` by name."""
    return [
        Member(
            f"e{number}",
            availability_zone=ZONES[number % 3],
            entry_address=f"127.0.0.1:{8000 + number}",
            state=states.get(f"e{number}", State.ALIVE),
        )
        for number in range(count)
    ]


class AddressesForTest(unittest.TestCase):
    def names(self, current_view, caller="caller", zone="zone-a", size=4):
        """Return the names of the members chosen."""
        configuration = settings(routing={"discovery_size": size})
        chosen = discovery.addresses_for(configuration, current_view, caller, zone)
        return [member.name for member in chosen]

    def test_own_zone_first_and_one_of_another(self):
        current_view = View(members=members(12))
        names = self.names(current_view)
        zones = [ZONES[int(name[1:]) % 3] for name in names]
        self.assertEqual(zones[:3], ["zone-a"] * 3)
        self.assertNotEqual(zones[3], "zone-a")

    def test_answer_does_not_depend_on_order_and_callers_are_spread(self):
        current_view = View(members=members(60))
        mixed = View(members=list(reversed(current_view.members)))
        self.assertEqual(self.names(current_view), self.names(mixed))
        used = {
            name
            for number in range(200)
            for name in self.names(current_view, f"c{number}")
        }
        self.assertGreater(len(used), 50)

    def test_only_living_members_with_an_address_are_returned(self):
        for state in (State.SUSPECT, State.LEAVING, State.DEAD):
            with self.subTest(state=state):
                current_view = View(members=members(3, e0=state))
                self.assertNotIn("e0", self.names(current_view))
        silent = Member("e9", availability_zone="zone-a")
        self.assertNotIn("e9", self.names(View(members=[*members(3), silent])))

    def test_zone_without_members_gets_those_of_others(self):
        current_view = View(members=members(2))
        self.assertEqual(len(self.names(current_view, zone="zone-c")), 2)


class _Requests:
    def key_prefix(self):
        return "sd~e0~0123456789abcdef~0~"


class AddressesHandlerTest(tornado.testing.AsyncHTTPTestCase):
    def get_app(self):
        self.seen = View(members=members(3))
        arguments = (settings(), lambda: self.seen, _Requests())
        application = tornado.web.Application(discovery.handlers(*arguments))
        return CountedRequests(application, CallerBudget())

    def test_answer(self):
        answer = json.loads(self.fetch("/v1/addresses?row=r&zone=zone-b").body)
        first = {
            "instance": "e1",
            "availability_zone": "zone-b",
            "address": "127.0.0.1:8001",
        }
        self.assertEqual(answer["addresses"][0], first)
        self.assertEqual(answer["valid_for_ms"], 5000)
        self.assertEqual(answer["key_prefix"], _Requests().key_prefix())

    def test_no_known_instance(self):
        self.seen = View()
        response = self.fetch("/v1/addresses")
        self.assertEqual(response.code, 503)
        self.assertEqual(response.headers["Retry-After"], "1")


if __name__ == "__main__":
    unittest.main()
