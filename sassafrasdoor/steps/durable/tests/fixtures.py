"""Steps, routes and a scripted replica client for tests."""

import asyncio

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.backends.replicas import Event
from sassafrasdoor.routing.replicas import Listing, Replicas
from sassafrasdoor.steps.durable.records import Item, RewardCall, StepSpec
from sassafrasdoor.table.routes import (
    Configuration,
    Limits,
    Repeat,
    Route,
    RoutesInForce,
)

HOST, PREFIX, MODEL, SERVICE = "train.example", "/rollout/", "m", "engines"
SCORING, SCORING_PREFIX, SCORER = "score.example", "/score/", "scorers"


def route(**changes):
    """Return a route for steps; ``changes`` replace its fields."""
    fields = {
        "name": "r",
        "host": HOST,
        "prefix": PREFIX,
        "repeat": Repeat.STEP,
        "services": [(SERVICE, 1)],
        "timeout": 5.0,
        "target": 0.5,
        "attempts": 3,
        "keep_for": 30.0,
        "one_version": False,
        "streams": False,
    }
    return Route(**{**fields, **changes})


def reward_route(**changes):
    """Return a route for reward calls; ``changes`` replace its fields."""
    fields = {
        "host": SCORING,
        "prefix": SCORING_PREFIX,
        "repeat": Repeat.SAFE,
        "services": [(SCORER, 1)],
    }
    return route(**{**fields, **changes})


def routes_in_force(*routes, version=1):
    """Return ``RoutesInForce`` with these routes, or with the step route."""
    in_force = RoutesInForce()
    limits = Limits(16384, 1_000_000, 15.0)
    rows = list(routes) or [route()]
    in_force.take(Configuration(version, rows, {SERVICE: [MODEL]}, limits))
    return in_force


def spec(step_id="s1", items=2, min_version=1, model=MODEL, rewarded=False):
    """Return a step with items ``i0``, ``i1``, ..., ``rewarded`` by calls ``r0``, ..."""
    rows = [
        Item(f"i{at}", f"{PREFIX}{at}", {}, b"body %d" % at, 100, 0, "g", model)
        for at in range(items)
    ]
    if rewarded:
        for at, item in enumerate(rows):
            path = f"{SCORING_PREFIX}{at}"
            item.reward = RewardCall(f"r{at}", SCORING, path, b"score %d" % at)
    return StepSpec(step_id, HOST, PREFIX, 1, model, min_version, 1, rows)


def replicas(count=1, slots=4, version=1):
    """Return ``Replicas`` with engines ``e0``, ``e1``, ... at a version."""
    replica_set = Replicas("zone-a")
    for at in range(count):
        listing = Listing(
            SERVICE, f"10.0.0.{at}:80", "zone-a", slots, False, {MODEL: version}
        )
        replica_set.update_listing(f"e{at}", listing)
    return replica_set


def add_scorers(replica_set, count=1, slots=4):
    """Add replicas ``s0``, ``s1``, ... of the scoring service to ``Replicas``."""
    for at in range(count):
        address = f"10.0.1.{at}:80"
        listing = Listing(SCORER, address, "zone-a", slots, False, {})
        replica_set.update_listing(f"s{at}", listing)
    return replica_set


class ScriptedClient:
    """Generates samples by a script; ``sent`` are ``(replica, item, after)``.

    ``calls`` are the ``(replica, DirectCall)`` of reward calls, answered with a
    signed 200 or by the entries of ``answers``: outcomes or ``HANG``.

    A script is a list of outcomes, one for each send: a list of ``(number, text,
    version)`` events ends well, an ``Outcome`` is returned, and a pair
    ``(events, outcome)`` delivers the events first. ``HANG`` never returns.
    """

    HANG = "hang"

    def __init__(self, *script):
        self.script = list(script)
        self.sent = []
        self.answers = []
        self.calls = []
        self.cancelled = 0

    async def try_connect(self, replica):
        """Report every replica as reachable."""
        return True

    async def call(self, replica, call):
        """Answer a reward call."""
        self.calls.append((replica.identity, call))
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            answer = Answer(200, [], b"", f"stamp {call.request_id}")
        await asyncio.sleep(0)
        if answer == self.HANG:
            await self._hang()
        return answer

    async def _hang(self):
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled += 1

    async def generate(self, replica, order, on_event):
        """Play the next entry of the script."""
        self.sent.append((replica.identity, order.item_id, order.after))
        entry = self.script.pop(0) if self.script else [(0, "text", 1)]
        events, outcome = entry if isinstance(entry, tuple) else (entry, True)
        if not isinstance(events, list):
            events, outcome = [], events
        for number, text, version in events:
            if not on_event(Event(number, text, version)):
                return outcome
        await asyncio.sleep(0)
        if outcome == self.HANG:
            await self._hang()
        return outcome
