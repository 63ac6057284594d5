"""Tests of prompts and priorities at the boundary to the platform."""

import unittest

from sassafrasdoor.backends.connections import OutgoingRequest
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.backends.replicas import SampleOrder
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.configuration import parse_configuration
from sassafrasdoor.platform.prompts import MAX_PARTS, prompt_of
from sassafrasdoor.platform.servers import WireReplicas
from sassafrasdoor.routing.prompt_cache import MAX_TOKENS
from sassafrasdoor.routing.replicas import Listing, Replica
from sassafrasdoor.steps.durable.records import Item


def make_item(expected=0, tokens=500, **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return Item("i", "/p", headers, b"", tokens, expected, "g", "m")


class PromptTest(unittest.TestCase):
    def item(self, counts="1016,400", parts="sys:200,g1:800,own:16", **options):
        headers = {wire.TOKEN_COUNT: counts, wire.PROMPT_PREFIX: parts}
        return make_item(**options, **headers)

    def test_parts_and_counts_are_read(self):
        prompt = prompt_of(self.item(expected=150))
        shared = [(("sys",), 200), (("sys", "g1"), 800)]
        self.assertEqual(prompt.shared, shared)
        self.assertEqual((prompt.shared_tokens, prompt.tokens), (1000, 1016))
        self.assertEqual(prompt.output_tokens, 150)

    def test_output_is_at_most_what_the_item_allows(self):
        self.assertEqual(prompt_of(self.item(expected=900)).output_tokens, 400)
        self.assertEqual(prompt_of(self.item()).output_tokens, 400)
        self.assertEqual(prompt_of(self.item("1016,0")).output_tokens, 500)

    def test_names_of_headers_in_any_case(self):
        item = make_item(**{wire.PROMPT_PREFIX.lower(): "a:10,b:1"})
        self.assertEqual(prompt_of(item).shared_tokens, 10)

    def test_malformed_headers_state_no_prompt(self):
        """Guards against a step that its runner fails on for good.

        A trainer's headers are in the log as they were sent.
        """
        cases = [{"counts": counts} for counts in ("", "x", "1", "1,2,3", "-1,2", 7)]
        cases += [{"parts": parts} for parts in ("a", "a:", "a:-1", "a:1,", 7, ["a"])]
        for case in cases:
            with self.subTest(case):
                self.assertIsNone(prompt_of(self.item(**case)))
        self.assertIsNone(prompt_of(make_item()))

    def test_counts_are_bounded(self):
        """Guards against a runner that fails on counts that fit into no float."""
        huge = "9" * 400
        prompt = prompt_of(self.item(f"{huge},{huge}", f"a:{huge},b:1", tokens=-1))
        self.assertLessEqual(prompt.shared_tokens / 1.0, MAX_TOKENS)
        self.assertLessEqual(prompt.own_tokens / 1.0, 3 * MAX_TOKENS)
        prompt = prompt_of(self.item("1016,0", tokens=-10))
        self.assertEqual(prompt.output_tokens, 0)

    def test_number_of_parts_is_bounded(self):
        """Guards against a header of 40 KB that takes 400 MB at each runner."""
        parts = [f"p{number}:1" for number in range(2 * MAX_PARTS)]
        self.assertIsNone(prompt_of(self.item(parts=",".join(parts))))
        prompt = prompt_of(self.item(parts=",".join(parts[:MAX_PARTS])))
        self.assertEqual(len(prompt.shared), MAX_PARTS - 1)


class ConfigurationTest(unittest.TestCase):
    def test_memory_of_engines_by_service(self):
        services = [
            {"Name": "x", "Engine": {"Models": [], "KvCacheTokens": 72254}},
            {"Name": "y", "Engine": {"Models": []}},
            {"Name": "z"},
        ]
        document = {"Version": 1, "Routes": [], "Services": services}
        self.assertEqual(parse_configuration(document).engine_memory, {"x": 72254})


class RecordingConnections:
    """Keeps the requests and answers none."""

    def __init__(self):
        self.requests = []

    async def send(self, address, request, accept, on_data, oldest_first):
        self.requests.append(request)
        return Broken("not sent")


class PriorityTest(unittest.IsolatedAsyncioTestCase):
    async def sent_headers(self, item, priority):
        client = WireReplicas()
        client._connections = RecordingConnections()
        replica = Replica("i-1", Listing("s", "h:1", "z", 4, False, {}))
        order = SampleOrder(item, "h.example", None, None, priority=priority)
        await client.generate(replica, order, lambda event: True)
        (request,) = client._connections.requests
        self.assertIsInstance(request, OutgoingRequest)
        return request.headers

    async def test_priority_is_stated(self):
        headers = await self.sent_headers(make_item(), 1)
        self.assertEqual(headers[wire.PRIORITY], "1")
        headers = await self.sent_headers(make_item(), 0)
        self.assertEqual(headers[wire.PRIORITY], "0")

    async def test_no_priority_adds_no_header(self):
        headers = await self.sent_headers(make_item(), None)
        self.assertNotIn(wire.PRIORITY, headers)

    async def test_priority_of_the_trainer_is_kept(self):
        """Guards against two headers of one name in different case."""
        for name in (wire.PRIORITY, wire.PRIORITY.lower()):
            with self.subTest(name):
                headers = await self.sent_headers(make_item(**{name: "3"}), 7)
                values = [
                    value
                    for key, value in headers.items()
                    if key.lower() == wire.PRIORITY.lower()
                ]
                self.assertEqual(values, ["3"])
