"""Guards against decisions that read a clock or do input or output."""

import ast
import unittest

from sassafrasdoor.support import ROOT

SOURCE = ROOT / "sassafrasdoor"
DECISIONS = {
    "answer_heads.py": "which bytes are the head of an answer",
    "backends/attribution.py": "which send on a connection an answer belongs to",
    "backends/limits.py": "which answer is given up when too many bytes arrive",
    "callers/budget.py": "what is held for callers, and which connection yields",
    "callers/decoding.py": "how much a JSON document takes once it is decoded",
    "duties/scaling.py": "how many replicas of a service are ordered in a zone",
    "duties/usage.py": "what a usage report says and when its counts are fixed",
    "duties/watermarks.py": "for which processes the counts of a window wait",
    "log/partition_retry.py": "when a partition whose reads fail is read again",
    "log/turns.py": "who reads first after all instances started together",
    "requests/buffers.py": "whether a replica may get a further large request",
    "requests/stop_policy.py": "which requests are still served during a planned stop",
    "routing/engine_speed.py": "which speed of an engine lasts, when it is slow",
    "routing/pace.py": "which samples leave an engine of another speed",
    "routing/overload.py": "which calls are sent, wait or are refused under overload",
    "routing/placement.py": "which replica gets an item, which samples leave a slow one",
    "routing/load_exchange.py": "which load reports entry points send each other, when",
    "routing/silence.py": "whether a silent attempt at an item is given up",
    "routing/suspicion.py": "how long a failed server gets no work, who probes it",
    "routing/subsets.py": "which replica gets a call, so that few connections open",
    "routing/reader_search.py": "which peers are asked for steps not read here",
    "steps/durable/order.py": "in which order the items of a step begin",
    "steps/durable/item_end.py": "whether an item is failed because of its route",
    "steps/durable/lateness.py": "how late trainers are, from their submission times",
    "weights/shares.py": "how many engines of a service each trainer's model gets",
    "routing/prompt_cache.py": "which engine has read which prompt, memory in use there",
    "routing/prompt_placement.py": "which engine reads a prompt, which item starts there",
    "steps/durable/urgency.py": "which items engines admit first",
    "weights/load_policy.py": "how many replicas of a model load at the same time",
    "steps/durable/reward_order.py": "which reward calls are sent, when, for how long",
}
# Modules of the standard library without input, output or clocks.
PURE_LIBRARIES = {
    "bisect",
    "collections",
    "enum",
    "json",
    "math",
    "re",
    "statistics",
    "struct",
}
ALLOWED = PURE_LIBRARIES | {
    "sassafrasdoor.duties.usage",
    "sassafrasdoor.duties.watermarks",
    "sassafrasdoor.gaps",
    "sassafrasdoor.outcomes",
    "sassafrasdoor.routing.engine_speed",
    "sassafrasdoor.rendezvous",
    "sassafrasdoor.steps.durable.lateness",
    "sassafrasdoor.routing.placement",
    "sassafrasdoor.steps.durable.records",
}


def imported(path):
    """Yield the modules that a file imports."""
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            yield from (name.name for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield node.module


class PureDecisionsTest(unittest.TestCase):
    def test_decisions_import_only_allowed_modules(self):
        for name in DECISIONS:
            with self.subTest(name):
                self.assertLessEqual(set(imported(SOURCE / name)), ALLOWED)

    def test_each_docstring_describes_the_load(self):
        for name in DECISIONS:
            with self.subTest(name):
                text = ast.get_docstring(ast.parse((SOURCE / name).read_text("utf-8")))
                self.assertGreater(len(text.splitlines()), 3)


if __name__ == "__main__":
    unittest.main()
