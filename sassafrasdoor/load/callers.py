"""Callers of a load: cached discovery, one task for each request."""

import asyncio
import json
import random
import uuid
from collections import Counter

from hdrh.histogram import HdrHistogram

from sassafrasdoor.clock import deadline_in, now, passed, remaining
from sassafrasdoor.fetch import NO_REPLY, entry_request, fetch_response
from sassafrasdoor.load.arrivals import arrivals

MIN_LATENCY_MICROSECONDS = 1
MAX_LATENCY_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3
MICROSECONDS_PER_SECOND = 1_000_000
DISCOVERY_TIMEOUT = 2.0  # seconds
CONNECT_TIMEOUT = 1.0  # seconds
REPLY_TIMEOUT_MARGIN = 5.0  # seconds beyond the request's deadline
RETRY_INTERVAL = 0.05  # seconds
OUTCOME_OF_STATUS = {NO_REPLY: "no-reply", 502: "unknown", 503: "not-run"}


class CallerResult:
    """Results of one row's requests: outcomes, latency, late answers."""

    __slots__ = ("answered_at", "histogram", "late", "outcomes", "row")

    def __init__(self, row):
        self.row = row
        self.outcomes = Counter()
        self.late = 0
        self.answered_at = []
        self.histogram = HdrHistogram(
            MIN_LATENCY_MICROSECONDS, MAX_LATENCY_MICROSECONDS, SIGNIFICANT_DIGITS
        )

    def note(self, outcome, seconds, late_after):
        """Record one finished request, ``seconds`` after its arrival."""
        self.outcomes[outcome] += 1
        if outcome != "answered":
            return
        self.histogram.record_value(max(1, int(seconds * MICROSECONDS_PER_SECOND)))
        self.answered_at.append(now())
        self.late += seconds > late_after


class Addresses:
    """The discovered addresses of one row, refreshed when they expire.

    An instance that does not reply is left out until then, as by a caller that
    received several addresses.
    """

    __slots__ = (
        "_ca_file",
        "_expires_at",
        "_generator",
        "_http",
        "_discovered",
        "_key_prefix",
        "_row",
        "_seeds",
    )

    def __init__(self, http, row, seeds, seed, ca_file=""):
        self._http = http
        self._ca_file = ca_file
        self._row = row
        self._seeds = list(seeds)
        self._generator = random.Random(seed)
        self._discovered = []
        self._key_prefix = ""
        self._expires_at = 0.0

    async def pick(self):
        """Return a random address, after a refresh if the addresses have expired."""
        if not self._discovered or passed(self._expires_at):
            await self._discover()
        return self._generator.choice(self._discovered or self._seeds)

    def key(self, suffix):
        """Return an idempotency key with the issued prefix, if there is one."""
        return self._key_prefix + suffix

    def drop(self, address):
        """Leave out an address that did not reply."""
        self._discovered = [other for other in self._discovered if other != address]

    async def _discover(self):
        seeds = self._discovered + self._seeds
        self._generator.shuffle(seeds)
        for seed in seeds:
            discovery_request = entry_request(
                seed,
                f"/v1/addresses?row={self._row}",
                self._ca_file,
                request_timeout=DISCOVERY_TIMEOUT,
            )
            reply = await fetch_response(self._http, discovery_request)
            if reply.code == 200:
                answer = json.loads(reply.body)
                self._discovered = [entry["address"] for entry in answer["addresses"]]
                self._key_prefix = answer["key_prefix"]
                self._expires_at = deadline_in(answer["valid_for_ms"] / 1000)
                return


class CallerLoad:
    """Sends the requests of one row at their arrival times and collects the result."""

    __slots__ = ("_addresses", "_ca_file", "_http", "_profile", "_seed", "result")

    def __init__(self, http, profile, seeds, seed, ca_file=""):
        self._http = http
        self._ca_file = ca_file
        self._profile = profile
        self._seed = seed
        self._addresses = Addresses(http, profile.row, seeds, seed, ca_file)
        self.result = CallerResult(profile.row)

    async def run(self, duration):
        """Send all requests at their arrival times; return the ``CallerResult``."""
        await self._addresses.pick()  # The first arrivals need a key prefix.
        started = now()
        async with asyncio.TaskGroup() as tasks:
            for offset in arrivals(self._profile.rate, duration, self._seed):
                await asyncio.sleep(remaining(started + offset))
                tasks.create_task(self._send_request(started + offset))
        return self.result

    async def _send_request(self, arrived_at):
        key = self._addresses.key(uuid.uuid4().hex)
        reply = await self._fetch_reply(
            key, arrived_at + self._profile.deadline_ms / 1000
        )
        outcome = reply.headers.get("X-Outcome") or OUTCOME_OF_STATUS.get(
            reply.code, "rejected"
        )
        late_after = self._profile.late_after_ms / 1000
        self.result.note(outcome, now() - arrived_at, late_after)

    async def _fetch_reply(self, key, deadline):
        """Send until an instance replies; by the key, any of them finds the run."""
        while True:
            address = await self._addresses.pick()
            request = self._request(address, key, deadline)
            reply = await fetch_response(self._http, request)
            if reply.code != NO_REPLY or passed(deadline):
                return reply
            self._addresses.drop(address)
            await asyncio.sleep(RETRY_INTERVAL)

    def _request(self, address, key, deadline):
        profile = self._profile
        headers = {
            "Authorization": f"Bearer {profile.key}",
            "X-Deadline-Ms": str(max(1, int(remaining(deadline) * 1000))),
            "X-Repeatable": "yes" if profile.repeatable else "no",
        }
        if not profile.repeatable:
            headers["Idempotency-Key"] = key
        body = {"request": key}
        if profile.shape == "generate":
            body = {"prompt": "How full is the car park?", "stream": False}
            body["max_tokens"] = profile.max_tokens
        path = f"/v1/{profile.shape}/{profile.row}"
        if profile.shape == "call":
            path += f"/{profile.path}"
        return entry_request(
            address,
            path,
            self._ca_file,
            method="POST",
            headers=headers,
            body=json.dumps(body),
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=profile.deadline_ms / 1000 + REPLY_TIMEOUT_MARGIN,
        )
