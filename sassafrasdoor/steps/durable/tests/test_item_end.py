"""Replay in virtual time of a runner that is paused while routes come and go."""

import random
import unittest

from sassafrasdoor.steps.durable.item_end import ItemFacts, find_end
from sassafrasdoor.steps.durable.tests.fixtures import HOST, route, routes_in_force
from sassafrasdoor.table.routes import RoutesInForce

TICK = 0.01  # seconds
LONG_POLL, LATENCY = 1.0, 0.01  # seconds
LENGTH, SEEDS = 30.0, 100
# Seconds for an end to be found once the runner runs and the route is removed.
END_TIME = 0.1


class Reader:
    """Follows a list of (time, entry) as a partition is read, by long polls.

    ``read_at`` is when the last read that reached the end was sent.
    """

    def __init__(self, entries, on_entry):
        self.read_at = None
        self._entries = entries
        self._on_entry = on_entry
        self._known = 0
        self._pending = [(0.0, LONG_POLL)]

    def confirm(self, current):
        """Send a read that does not wait, unless one is pending."""
        if len(self._pending) == 1:
            self._pending.append((current, 0.0))

    def handle_answers(self, current):
        """Handle the answers that have arrived; send the next long poll."""
        for sent_at, wait in list(self._pending):
            new = [at for at, _ in self._entries[self._known :] if at <= sent_at + wait]
            answered_at = max(sent_at, new[0]) if new else sent_at + wait
            if answered_at + LATENCY > current:
                continue
            self._pending.remove((sent_at, wait))
            if wait:
                self._pending.append((current, LONG_POLL))
            read = [entry for at, entry in self._entries if at <= answered_at]
            for entry in read[self._known :]:
                self._on_entry(entry, current)
            self._known = max(self._known, len(read))
            self.read_at = max(sent_at, self.read_at or 0.0)


class Replay:
    """An operator, trainers at instances in touch, and the runner of their steps.

    ``failed`` has ``(time, prefix)`` of each item that the runner fails.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.pauses = self.spans(5, 0.3, 1.5)
        self.routes_by_prefix = {
            f"/{number}/": span for number, span in enumerate(self.spans(6, 1.0, 15.0))
        }
        self.items, self.failed = [], []
        self.configuration = Reader(self.configurations(), self.apply)
        self.routes = RoutesInForce(
            read_at=lambda: self.configuration.read_at,
            request_read=lambda: self.configuration.confirm(self.current),
        )
        self.steps = Reader(self.submissions(), self.learn)
        self.current = 0.0

    def spans(self, count, shortest, longest):
        starts = (self.random.uniform(1.0, LENGTH - 5.0) for _ in range(count))
        return [(at, at + self.random.uniform(shortest, longest)) for at in starts]

    def configurations(self):
        moments = sorted({at for span in self.routes_by_prefix.values() for at in span})
        return [(at, (number, at)) for number, at in enumerate([0.0, *moments], 1)]

    def submissions(self):
        """Return steps that are submitted some time after their route was added."""
        steps = []
        for prefix, (added_at, removed_at) in self.routes_by_prefix.items():
            at = added_at + self.random.choice([0.02, 0.1, 0.5])
            steps.append((min(at, removed_at - TICK), prefix))
        return sorted(steps)

    def exists(self, prefix, at):
        added_at, removed_at = self.routes_by_prefix[prefix]
        return added_at <= at < removed_at

    def apply(self, configuration, current):
        version, at = configuration
        known = [name for name in self.routes_by_prefix if self.exists(name, at)]
        rows = [route(prefix=prefix) for prefix in ["/other/", *known]]
        self.routes.take(routes_in_force(*rows, version=version).current)

    def learn(self, prefix, current):
        self.items.append((prefix, current))

    def play(self):
        while self.current < LENGTH + 10.0:
            self.current += TICK
            if any(start <= self.current < end for start, end in self.pauses):
                continue
            self.steps.handle_answers(self.current)
            self.judge_items()
            self.configuration.handle_answers(self.current)
        return self

    def judge_items(self):
        for prefix, seen_at in list(self.items):
            matched = self.routes.current and self.routes.current.match(HOST, prefix)
            end = find_end(matched, ItemFacts(seen_at), self.current)
            if end and self.routes.require_known_since(end.decided_about):
                self.items.remove((prefix, seen_at))
                self.failed.append((self.current, prefix))

    def due_at(self, prefix):
        """Return by when an item of a removed route must be failed."""
        due = self.routes_by_prefix[prefix][1]
        for start, end in sorted(self.pauses):
            due = max(due, end) if start <= due + END_TIME else due
        return due + END_TIME


class ItemEndTest(unittest.TestCase):
    def test_runner_paused_while_routes_come_and_go(self):
        """Guards against items failed by older routes, and items that wait for good."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                replay = Replay(seed).play()
                self.assertEqual(len(replay.failed), len(replay.routes_by_prefix))
                for at, prefix in replay.failed:
                    self.assertGreaterEqual(at, replay.routes_by_prefix[prefix][1])
                    self.assertLessEqual(at, replay.due_at(prefix))


if __name__ == "__main__":
    unittest.main()
