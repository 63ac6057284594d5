import json
import unittest

from sassafrasdoor.outcomes import Rejected
from sassafrasdoor.steps.spec import (
    MAX_ELEMENTS,
    MAX_GROUPS,
    FetchSpec,
    Identity,
    StepSpec,
    parse_input,
)

GOOD = {
    "step": "s1",
    "attach": 1,
    "groups": [{"prompt": "one"}, {"prompt": "two"}],
    "samples_per_group": 3,
    "max_tokens": 16,
    "deadline_ms": 1000,
    "seed": 7,
}


def step(**changes):
    return parse_input(StepSpec, json.dumps({**GOOD, **changes}).encode())


class SpecTest(unittest.TestCase):
    def test_bad_steps_are_findings_with_their_places(self):
        table = [
            ({"step": "a/b"}, ["step"]),
            ({"step": ""}, ["step"]),
            ({"attach": 0}, ["attach"]),
            ({"attach": "1"}, ["attach"]),
            ({"groups": []}, ["groups"]),
            ({"groups": [{"prompt": "x"}] * 4097}, ["groups"]),
            ({"groups": [{"prompt": "x" * 65_537}]}, ["groups.0.prompt"]),
            ({"groups": [{"prompt": "x"}, {}]}, ["groups.1.prompt"]),
            ({"samples_per_group": 8193}, ["(root)"]),
            ({"max_tokens": 0}, ["max_tokens"]),
            ({"deadline_ms": 10**9}, ["deadline_ms"]),
            ({"more": 1}, ["more"]),
            ({"seed": -1, "max_tokens": 0}, ["max_tokens", "seed"]),
            ({"groups": [{}] * MAX_ELEMENTS}, ["(root)"]),
        ]
        for changes, places in table:
            with self.subTest(places=places):
                result = step(**changes)
                self.assertIsInstance(result, Rejected)
                self.assertEqual(
                    sorted(finding.place for finding in result.findings), places
                )

    def test_largest_step_is_accepted(self):
        """Guards against a limit of elements that a legal step meets."""
        reward = {"service": "a,b", "path": "/{[", "body": '{"a": [1, 2, 3]}' * 100}
        groups = [{"prompt": "[[{{,,", "reward": reward}] * MAX_GROUPS
        self.assertIsInstance(step(groups=groups), StepSpec)

    def test_bad_fetches_are_findings(self):
        for body in (b"", b"[]", b"{", b'{"attach": 1, "wait_ms": 60001}', b"\xff"):
            with self.subTest(body):
                self.assertIsInstance(parse_input(FetchSpec, body), Rejected)

    def test_identity_is_the_same_on_every_instance(self):
        first, second = Identity("row", step()), Identity("row", step(attach=9))
        stream = first.stream(5, 2)
        self.assertEqual(stream, second.stream(5, 2))
        self.assertEqual(first.seed(5, 2), second.seed(5, 2))
        self.assertEqual(first.parse(stream), (5, 2))
        self.assertEqual(first.place(5), (1, 2))

    def test_seeds_are_distinct(self):
        identity = Identity("row", step())
        seeds = {
            identity.seed(position, generation)
            for position in range(6)
            for generation in range(3)
        }
        self.assertEqual(len(seeds), 18)

    def test_parse_rejects_streams_of_other_steps(self):
        stream = Identity("row", step(seed=8)).stream(0, 0)
        identity = Identity("row", step())
        for foreign in (stream, f"{identity.prefix}6.0", f"{identity.prefix}x.0"):
            self.assertIsNone(identity.parse(foreign))
