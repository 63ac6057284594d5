"""The callers and trainers of the platform's soak test; they record what they observe."""

import asyncio
import base64
import json

from tornado.httpclient import HTTPRequest

from sassafrasdoor.backends.connections import OutgoingRequest, Reply
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.fetch import fetch_response
from sassafrasdoor.platform import wire
from sassafrasdoor.soak import checks
from sassafrasdoor.soak.checks import Call, StepObservation

HOST = "h.example"
MODEL, ENGINES, PLAIN = "m", "engines", "plain"
ITEM_COUNT = 6
CALL_INTERVAL, STEP_INTERVAL, READ_INTERVAL = 0.05, 1.0, 0.4  # seconds
# Calls of a burst, at twenty times the usual rate, in each so many calls.
BURST_CALLS, BURST_PERIOD, BURST_INTERVAL = 300, 400, 0.0025  # calls, calls, seconds
ROUTE_TIMEOUT = 3.0  # seconds
CALL_TIMEOUT = 4.0  # seconds; above ROUTE_TIMEOUT, so that callers see its answer


class Callers:
    """Base class of ``Soak`` that sends calls and steps."""

    def _random_instance(self):
        return self._rng.choice(self._instances)

    async def _fetch(self, address, path, method="GET", body=None, **headers):
        request = HTTPRequest(
            f"http://{address}{path}",
            method=method,
            body=body,
            headers={"Host": HOST, **headers},
            request_timeout=CALL_TIMEOUT,
            connect_timeout=1.0,
        )
        return await fetch_response(self._client, request)

    async def _generate_calls(self):
        number = 0
        while True:
            number += 1
            self._spawn(self._call(f"r{number}", number % 3 == 0))
            if number % 10 == 0:
                self._spawn(self._probe())
            in_burst = self._has_shared_machines and number % BURST_PERIOD < BURST_CALLS
            await asyncio.sleep(BURST_INTERVAL if in_burst else CALL_INTERVAL)

    async def _call(self, request_id, once, instance=None):
        """Send a call, on a pooled connection if one is open."""
        clock = asyncio.get_running_loop().time
        instance = instance or self._random_instance()
        headers = {
            "Host": HOST,
            wire.REQUEST_ID: request_id,
            wire.DEADLINE: str(int(ROUTE_TIMEOUT * 1000)),
        }
        request = OutgoingRequest(
            "POST",
            "/plain/once/x" if once else "/plain/x",
            headers,
            b"b",
            deadline_in(CALL_TIMEOUT),
        )
        call = Call(request_id, once, clock(), instance.name)
        reply = await self._connections.send(instance.front, request)
        is_own_failure = isinstance(reply, Reply) and wire.STAMP not in reply.headers
        call.record_outcome(reply, is_own_failure, clock())
        if isinstance(reply, Reply):
            call.stamp = reply.headers.get(wire.STAMP)
        self._calls.append(call)

    async def _probe(self):
        """Call the route that only the newest configuration version has.

        An instance that served it once must not fall back to an older version.
        """
        instance, version = self._random_instance(), self._version
        process_key = (instance.name, instance.process.pid)
        headers = {wire.REQUEST_ID: f"probe-{process_key}-{self._rng.random()}"}
        path = f"/plain/only-{version}/x"
        newest_seen = self._newest_seen.get(process_key, 0)
        reply = await self._fetch(instance.front, path, "POST", "b", **headers)
        if reply.code == checks.OK:
            self._newest_seen[process_key] = max(
                version, self._newest_seen.get(process_key, 0)
            )
        if reply.code == 404 and newest_seen >= version and version == self._version:
            self.violations.add(
                "configuration never back", f"{process_key} before {version}"
            )

    async def _generate_steps(self):
        number = 0
        while True:
            number += 1
            self._spawn(self._train_step(f"s{number}"))
            await asyncio.sleep(STEP_INTERVAL)

    async def _train_step(self, step_id):
        items = [f"{step_id}-{index}" for index in range(ITEM_COUNT)]
        await self._train(StepObservation(step_id, items, rewarded=items[1::2]), "/s/")

    async def _train_on(self, prefix, stays):
        """Submit a step on a route that was just added; a refusal for good is wrong."""
        step_id = prefix.strip("/").replace("/", "-")
        items = [f"{step_id}-{index}" for index in range(ITEM_COUNT)]
        await self._train(StepObservation(step_id, items, route_stays=stays), prefix)

    async def _train(self, step, prefix):
        self._steps.append(step)
        items = [
            self._item_document(step, prefix, index) for index in range(ITEM_COUNT)
        ]
        document = {"Step": 1, "Model": MODEL, "MinVersion": 1, "Desired": 2}
        body = json.dumps({**document, "Items": items})
        headers = {wire.REQUEST_ID: step.step_id}
        for _ in range(3):
            reply = await self._fetch(
                self._random_instance().front, prefix, "POST", body, **headers
            )
            if reply.code == 202:
                step.accepted = True
                break
            if reply.code == checks.NOT_FOUND and step.route_stays:
                self.violations.add("routes in force are found", step.step_id)
            if reply.code == checks.REFUSED:
                step.refusals += 1
            else:
                step.unknown += 1
        if step.accepted:
            await self._read_step(step)

    def _item_document(self, step, prefix, index):
        item = step.items[index]
        document = {
            "Id": item,
            "Path": f"{prefix}{index}",
            "Headers": {},
            "Body": base64.b64encode(item.encode()).decode(),
            "Tokens": 10,
            "Group": f"g{index // 2}",
        }
        if item in step.rewarded:
            path, call_id = f"/plain/{index}", checks.reward_call_id(item)
            document["Scorer"] = {"Id": call_id, "Host": HOST, "Path": path, "Body": ""}
        return document

    async def _read_step(self, step):
        ends_early = self._rng.random() < 0.3
        deadline = deadline_in(self._seconds)
        while not passed(deadline):
            page = await self._read_page(step.step_id, self._random_instance())
            if page is not None:
                step.pages.append(page)
                if len(page) == ITEM_COUNT or (ends_early and len(page) >= 2):
                    break
            await asyncio.sleep(READ_INTERVAL)
        if ends_early:
            await self._end_step(step)

    async def _end_step(self, step):
        """Request the end of a step, once."""
        step.asked_to_end = True
        path = f"/-/lots/{step.step_id}"
        reply = await self._fetch(self._random_instance().front, path, "DELETE")
        if reply.code == checks.OK:
            step.ended_at = asyncio.get_running_loop().time()

    async def _read_page(self, step_id, instance):
        reply = await self._fetch(instance.front, f"/-/lots/{step_id}?After=0")
        if reply.code == 404:
            return None
        try:
            return json.loads(reply.body)["Results"] if reply.code == 200 else None
        except ValueError:
            self.violations.add("whole pages", step_id)
            return None
