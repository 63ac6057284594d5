"""The soak's callers and trainers on the users' wire, and what they saw."""

import asyncio
import base64
import json

from tornado.httpclient import HTTPRequest

from sassafrasdoor.backends.connections import OutgoingRequest, Reply
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.fetch import fetch_response
from sassafrasdoor.platform import wire
from sassafrasdoor.soak import checks
from sassafrasdoor.soak.checks import Call, StepSeen

HOST = "h.example"
MODEL, ENGINES, PLAIN = "m", "engines", "plain"
ITEMS = 6
CALL_EVERY, STEP_EVERY, READ_EVERY = 0.05, 1.0, 0.4
ROUTE_TIME = 3.0
CALL_TIMEOUT = 4.0
"""Seconds a caller waits: longer than the route's time, so that it hears the end."""


class Callers:
    """The part of a soak that asks; ``Soak`` has the rest."""

    def _any(self):
        return self._draw.choice(self._instances)

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

    async def _call_on(self):
        number = 0
        while True:
            number += 1
            self._spawn(self._call(f"r{number}", number % 3 == 0))
            if number % 10 == 0:
                self._spawn(self._probe())
            await asyncio.sleep(CALL_EVERY)

    async def _call(self, request_id, once, instance=None):
        """Call on a kept connection, where there is one, as long as it is open."""
        clock = asyncio.get_running_loop().time
        instance = instance or self._any()
        headers = {
            "Host": HOST,
            wire.REQUEST_ID: request_id,
            wire.DEADLINE: str(int(ROUTE_TIME * 1000)),
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
        own = isinstance(reply, Reply) and wire.STAMP not in reply.headers
        call.take(reply, own, clock())
        self._calls.append(call)

    async def _probe(self):
        """Ask one instance for the route that the newest version alone has."""
        instance, number = self._any(), self._version
        life = (instance.name, instance.process.pid)
        headers = {wire.REQUEST_ID: f"probe-{life}-{self._draw.random()}"}
        path = f"/plain/only-{number}/x"
        before = self._newest_seen.get(life, 0)
        reply = await self._fetch(instance.front, path, "POST", "b", **headers)
        if reply.code == checks.OK:
            self._newest_seen[life] = max(number, self._newest_seen.get(life, 0))
        if reply.code == 404 and before >= number and number == self._version:
            self.violations.add("configuration never back", f"{life} before {number}")

    async def _submit_on(self):
        number = 0
        while True:
            number += 1
            self._spawn(self._train(f"s{number}"))
            await asyncio.sleep(STEP_EVERY)

    async def _train(self, step_id):
        items = [f"{step_id}-{at}" for at in range(ITEMS)]
        step = StepSeen(step_id, items, rewarded=items[1::2])
        self._steps.append(step)
        body = json.dumps(
            {
                "Step": 1,
                "Model": MODEL,
                "MinVersion": 1,
                "Desired": 2,
                "Items": [self._row(item, at) for at, item in enumerate(step.items)],
            }
        )
        headers = {wire.REQUEST_ID: step_id}
        for _ in range(3):
            reply = await self._fetch(self._any().front, "/s/", "POST", body, **headers)
            if reply.code == 202:
                step.accepted = True
                break
            if reply.code == checks.REFUSED:
                step.refusals += 1
            else:
                step.unknown += 1
        if step.accepted:
            await self._read(step)

    def _row(self, item, at):
        row = {
            "Id": item,
            "Path": f"/s/{at}",
            "Headers": {},
            "Body": base64.b64encode(item.encode()).decode(),
            "Tokens": 10,
            "Group": f"g{at // 2}",
        }
        if at % 2:
            path, call_id = f"/plain/{at}", checks.reward_of(item)
            row["Scorer"] = {"Id": call_id, "Host": HOST, "Path": path, "Body": ""}
        return row

    async def _read(self, step):
        ends = self._draw.random() < 0.3
        limit = deadline_in(self._seconds)
        while not passed(limit):
            page = await self._page(step.step_id, self._any())
            if page is not None:
                step.pages.append(page)
                if len(page) == ITEMS or (ends and len(page) >= 2):
                    break
            await asyncio.sleep(READ_EVERY)
        if ends:
            await self._end(step)

    async def _end(self, step):
        """Ask for the end of a step, once."""
        step.asked_to_end = True
        path = f"/-/lots/{step.step_id}"
        reply = await self._fetch(self._any().front, path, "DELETE")
        if reply.code == checks.OK:
            step.ended_at = asyncio.get_running_loop().time()

    async def _page(self, step_id, instance):
        reply = await self._fetch(instance.front, f"/-/lots/{step_id}?After=0")
        if reply.code == 404:
            return None
        try:
            return json.loads(reply.body)["Results"] if reply.code == 200 else None
        except ValueError:
            self.violations.add("whole pages", step_id)
            return None
