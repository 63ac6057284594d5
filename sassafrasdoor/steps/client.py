"""Trainer client: submits a step and iterates its samples, with failover.

    trainer = Trainer(["127.0.0.1:8000"], row="signs", key="...")
    run = trainer.run(step_document)
    async for sample in run.samples():
        ...
    print(run.report.as_dict(), run.failure)

Each sample is yielded once. A trainer stores ``run.state()`` with its checkpoint, so
that ``trainer.run(document, state)`` resumes the step after a restart.
"""

import asyncio
import json
import math
import random
from collections import deque
from urllib.parse import urlencode

from tornado.httpclient import HTTPError

from sassafrasdoor.clock import deadline_in, now, passed, remaining
from sassafrasdoor.curl import CurlClient
from sassafrasdoor.fetch import entry_request
from sassafrasdoor.outcomes import Finding, Rejected, Unavailable
from sassafrasdoor.steps.report import Report
from sassafrasdoor.steps.spec import DEFAULT_DEADLINE_MS
from sassafrasdoor.steps.token import DeliveryToken

CONNECT_TIMEOUT = 2.0  # seconds
CALL_TIMEOUT = 5.0  # seconds
FETCH_WAIT = 2.0  # seconds
RETRY_DELAY = 0.1  # seconds
MAX_RETRY_DELAY = 1.0  # seconds
NO_REPLY = 599  # status of calls without a usable reply
MAX_CLIENTS = 64
MAX_REPLY_BYTES = 100 * 1024 * 1024  # of all samples that are ready at a time


class Trainer:
    """A client for one row; ``newest_version`` is the last version it published.

    A fetch waits up to ``wait`` seconds for samples; an instance that does not reply
    within ``reply_timeout`` seconds beyond that counts as failed. With ``ca_file``
    (PEM) the instances are called over TLS.
    """

    __slots__ = (
        "_ca_file",
        "_discovered",
        "_http",
        "_key",
        "_seeds",
        "_zone",
        "newest_version",
        "row",
    )
    __slots__ += ("reply_timeout", "valid_until", "wait")

    def __init__(
        self,
        addresses,
        row,
        key,
        zone="",
        newest_version=0,
        wait=FETCH_WAIT,
        reply_timeout=CALL_TIMEOUT,
        ca_file="",
    ):
        self._seeds = list(addresses)
        self._discovered = []
        self._key = key
        self._zone = zone
        self._ca_file = ca_file
        self.row = row
        self.newest_version = newest_version
        self.wait = wait
        self.reply_timeout = reply_timeout
        self.valid_until = math.inf
        self._http = CurlClient(
            force_instance=True,
            max_clients=MAX_CLIENTS,
            max_body_size=MAX_REPLY_BYTES,
        )

    def close(self):
        """Close the connections."""
        self._http.close()

    def run(self, document, state=None):
        """Return the ``StepRun`` of a step (the JSON of a submit, less ``attach``)."""
        return StepRun(self, document, state)

    async def addresses(self):
        """Return the discovered addresses, or all known ones if no instance answers.

        Previously discovered instances are asked too: the seeds may all be replaced.
        """
        query = urlencode({"row": self.row, "zone": self._zone})
        candidates = list(dict.fromkeys([*self._discovered, *self._seeds]))
        for address in random.sample(candidates, len(candidates)):
            status, answer = await self.call("GET", address, f"/v1/addresses?{query}")
            if status == 200 and answer.get("addresses"):
                self.valid_until = deadline_in(answer["valid_for_ms"] / 1000)
                self._discovered = [entry["address"] for entry in answer["addresses"]]
                return list(self._discovered)
        return candidates

    async def call(self, method, address, path, document=None, wait=0.0):
        """Call one instance once; return ``(status, document)``, 599 for no reply."""
        request = entry_request(
            address,
            path,
            self._ca_file,
            method=method,
            headers={"Authorization": f"Bearer {self._key}"},
            body=None if document is None else json.dumps(document),
            connect_timeout=CONNECT_TIMEOUT,
            request_timeout=wait + self.reply_timeout,
            follow_redirects=False,
            allow_nonstandard_methods=True,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except (HTTPError, OSError):
            return NO_REPLY, {}
        try:
            return response.code, json.loads(response.body)
        except (TypeError, ValueError):
            # A truncated or foreign body is no reply; the token makes a retry safe.
            return (response.code if response.code >= 400 else NO_REPLY), {}


class StepRun:
    """A running step; ``failure`` is the reason if ``samples`` ended early."""

    __slots__ = (
        "_address",
        "_addresses",
        "_attach",
        "_deadline",
        "_document",
        "_left_address",
        "_received",
        "_trainer",
        "_yielded",
        "failure",
        "report",
        "token",
    )

    def __init__(self, trainer, document, state=None):
        state = state or {"attach": 0, "token": ""}
        size = len(document["groups"]) * document["samples_per_group"]
        self._trainer = trainer
        self._document = document
        self._attach = state["attach"]
        self._address = self._left_address = None
        self._addresses = []
        self._deadline = deadline_in(
            document.get("deadline_ms", DEFAULT_DEADLINE_MS) / 1000
        )
        self.token = DeliveryToken.parse(state["token"], size)
        self._received = deque()
        self._yielded = self.token.union([])
        self.failure = None
        self.report = Report()

    @property
    def complete(self):
        """Whether every sample has arrived."""
        return self.token.complete

    def state(self):
        """Return the state to resume from after a restart, JSON-ready.

        Its token names only the samples yielded so far: received ones that were not
        yielded are lost with the process and have to be delivered again.
        """
        return {"attach": self._attach, "token": self._yielded.encode()}

    async def samples(self):
        """Yield each sample once, as it arrives."""
        started_at = now()
        while self._received or not (self.complete or self.failure is not None):
            requested_at = now()
            if not self._received:
                self._received += await self._fetch_samples()
            self.report.idle += now() - requested_at
            while self._received:
                sample = self._received.popleft()
                self._yielded.add(self._position(sample))
                yield sample
        self.report.duration = now() - started_at
        if self.complete and self._address:
            await self._fetch(wait=0.0)  # acknowledges all, so the step is removed

    async def cancel(self):
        """Cancel the step; an unreachable instance ends it by its deadline."""
        self.failure = Unavailable("cancelled")
        path = f"/v1/steps/{self._trainer.row}/{self._document['step']}"
        if self._address:
            await self._trainer.call("DELETE", self._address, path)

    async def _fetch_samples(self):
        if passed(self._deadline):
            self.failure = Unavailable("the step's deadline has passed")
            return []
        if self._address is None and not await self._attach_to_next():
            return []
        status, reply = await self._fetch(
            min(self._trainer.wait, remaining(self._deadline))
        )
        if status != 200:
            self._leave_instance(status, reply)
            return []
        if reply["moved"]:
            self._left_address, self._address = self._address, None
        return self._accept(reply)

    async def _fetch(self, wait):
        path = f"/v1/steps/{self._trainer.row}/{self._document['step']}/fetch"
        fetch = {
            "attach": self._attach,
            "token": self.token.encode(),
            "newest_version": self._trainer.newest_version,
            "wait_ms": int(wait * 1000),
        }
        return await self._trainer.call("POST", self._address, path, fetch, wait)

    async def _attach_to_next(self):
        """Attach to the next instance; return whether it accepted the step."""
        if not self._addresses or passed(self._trainer.valid_until):
            # The instance just left may still be listed; it is tried last.
            addresses = await self._trainer.addresses()
            self._addresses = sorted(
                addresses, key=lambda address: address == self._left_address
            )
        address = self._addresses.pop(0)
        self._attach += 1
        document = {
            **self._document,
            "attach": self._attach,
            "token": self.token.encode(),
            "deadline_ms": max(1, int(remaining(self._deadline) * 1000)),
        }
        path = f"/v1/steps/{self._trainer.row}"
        status, reply = await self._trainer.call("POST", address, path, document)
        self._address = address
        if status == 202:
            self.report.attachments += 1
            return True
        self._leave_instance(status, reply)
        await asyncio.sleep(RETRY_DELAY * random.uniform(0.5, 1.0))
        return False

    def _leave_instance(self, status, reply):
        """Leave the instance after a refusal or failed call, or end the run."""
        self._left_address, self._address = self._address, None
        if reply.get("attach"):
            self._attach = max(self._attach, reply["attach"])
        elif status in (400, 401, 409, 413):
            findings = [Finding(**finding) for finding in reply.get("findings", [])]
            self.failure = Rejected(reply.get("reason", f"status {status}"), findings)

    def _accept(self, reply):
        """Add samples that are new and not stale to the token, and return them.

        The trainer may have published newer weights while the reply was in flight, so
        the bound is checked again; a sample left out of the token is regenerated.
        """
        trainer, report = self._trainer, self.report
        trainer.newest_version = max(trainer.newest_version, reply["newest_version"])
        report.counts = reply["counts"]
        accepted = []
        for sample in reply["samples"]:
            behind = trainer.newest_version - sample["oldest_version"]
            if behind > reply["staleness_bound"]:
                report.too_old_on_arrival += 1
                continue
            if not self.token.add(self._position(sample)):
                report.duplicates += 1
                continue
            report.samples += 1
            behind = max(0, behind)
            report.staleness[behind] = report.staleness.get(behind, 0) + 1
            accepted.append(sample)
        return accepted

    def _position(self, sample):
        return sample["group"] * self._document["samples_per_group"] + sample["index"]
