"""The soak test of the product's own interface: entry and control as processes.

An instance that has exited is replaced by one with a new name, as a deployment replaces
machines. Steps are not covered.
"""

import asyncio
import json
import random

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.requests.messages import keyed_request_id
from sassafrasdoor.soak import checks
from sassafrasdoor.soak.checks import Call, Violations
from sassafrasdoor.soak.schedule import Kind, schedule

SERVICE_COUNT = 2
CALL_INTERVAL = 0.05  # seconds
MAX_ATTEMPTS = 3
DEADLINE_MS = "3000"
SLOW_SERVICE_DELAY = 2.0  # seconds; most of a caller's deadline
POLL_INTERVAL = 0.1  # seconds between checks of a process or instance
# Seconds for a planned stop, and for calls to be answered again after the last fault.
SETTLE_TIMEOUT = 60.0
SETTINGS = {
    "requests": {"first_byte_timeout": 1.5, "gap_timeout": 0.7},
    "admission": {"grant_duration": 1.5},
}


class OwnSoak:
    """One run: a cluster, its callers, the faults and the violations found."""

    def __init__(self, seed, seconds, instances):
        self._seed = seed
        self._seconds = seconds
        self._instance_count = instances
        self._rng = random.Random(seed)
        self._cluster = None
        self._calls = []
        self._last_instance_number = instances
        self._tasks = set()
        self.violations = Violations()
        drawn = schedule(seed, seconds, instances, SERVICE_COUNT)
        self.faults = [fault for fault in drawn if fault.kind in _INJECT]

    async def run(self):
        """Inject the scheduled faults, check the guarantees and return a summary."""
        async with Cluster(SETTINGS) as self._cluster:
            counts = {
                "instances": self._instance_count,
                "engines": 1,
                "services": SERVICE_COUNT,
            }
            await self._cluster.start(**counts)
            await self._wait_until_served()
            call_generator = self._spawn(self._generate_calls())
            started = asyncio.get_running_loop().time()
            for fault in self.faults:
                begin_at = started + fault.at
                await asyncio.sleep(
                    max(0, begin_at - asyncio.get_running_loop().time())
                )
                print(f"seed {self._seed}: {fault}", flush=True)
                self._spawn(_INJECT[fault.kind](self, fault))
            remaining = started + self._seconds - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0, remaining))
            call_generator.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._wait_until_served()
            await self._check()
        return self._summary()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task):
        """Remove a task; a failed one is a violation, as its fault or call is missing."""
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.violations.add("the soak runs", repr(task.exception()))

    @property
    def _running_instances(self):
        instances = self._cluster.instances
        return [instance for instance in instances if instance.entry.returncode is None]

    # Callers.

    async def _generate_calls(self):
        number = 0
        while True:
            number += 1
            row = "once" if number % 2 else "idempotent"
            self._spawn(self._call(row, number))
            await asyncio.sleep(CALL_INTERVAL)

    async def _call(self, row, number):
        """Call random instances with one key until one answers 200 or attempts run out."""
        clock = asyncio.get_running_loop().time
        key = f"key-{number}"
        call = Call(keyed_request_id(row, key), row == "once", clock(), key)
        statuses = set()
        for _ in range(MAX_ATTEMPTS):
            reply = await self._send_call(row, key, number)
            statuses.add(reply.code)
            if reply.code == checks.OK:
                call.status, call.body = checks.OK, _answered_key(reply.body)
                break
        if statuses == {checks.REFUSED}:
            call.status = checks.REFUSED
        call.ended_at = clock()
        self._calls.append(call)

    async def _send_call(self, row, key, number):
        instance = self._rng.choice(self._running_instances or self._cluster.instances)
        headers = {"Idempotency-Key": key, "X-Deadline-Ms": DEADLINE_MS}
        path = f"/v1/call/{row}/do"
        body = {"mine": number}
        address = instance.address
        return await self._cluster.raw("POST", address, path, KEYS[row], body, headers)

    # Faults.

    async def _kill(self, fault):
        (await self._target_instance(fault)).kill()
        await self._replace(fault.duration)

    async def _stop(self, fault):
        instance = await self._target_instance(fault)
        instance.entry.signal(15)
        deadline = deadline_in(SETTLE_TIMEOUT)
        while instance.entry.returncode is None and not passed(deadline):  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL)
        if instance.entry.returncode is None:
            self.violations.add("planned stop ends", instance.name)
        instance.kill()
        await self._replace(0)

    async def _replace(self, seconds):
        """Start a new instance, in a thread, as the start blocks until it is ready."""
        await asyncio.sleep(seconds)
        self._last_instance_number += 1
        name = f"entry-{self._last_instance_number}"
        await asyncio.to_thread(self._cluster.start_instance, name)

    async def _pause(self, fault):
        instance = await self._target_instance(fault)
        instance.freeze()
        await asyncio.sleep(fault.duration)
        instance.thaw()

    async def _log_down(self, fault):
        await self._cluster.platform_faults(down=True)
        await asyncio.sleep(fault.duration)
        await self._cluster.platform_faults(down=False)

    async def _log_loses(self, fault):
        await self._cluster.platform_faults(lose_reply=3)

    async def _break(self, fault):
        await self._set_service_faults(
            fault, hang_up=2, hang_up_middle=2, hang_up_before=1
        )

    async def _fail(self, fault):
        await self._set_service_faults(fault, fail=3)

    async def _full(self, fault):
        """Slow a service down so that calls queue for its slots."""
        await self._set_service_faults(fault, delay=SLOW_SERVICE_DELAY)
        await asyncio.sleep(fault.duration)
        await self._set_service_faults(fault, delay=0.0)

    async def _set_service_faults(self, fault, **faults):
        await self._cluster.faults(f"service-{fault.target + 1}", **faults)

    async def _target_instance(self, fault):
        """Return the running instance that a fault targets; wait while none runs.

        Kills overlap with starts, so for a moment no instance may be running.
        """
        while not self._running_instances:  # noqa: ASYNC110
            await asyncio.sleep(POLL_INTERVAL)
        running = self._running_instances
        return running[fault.target % len(running)]

    # Checks.

    async def _wait_until_served(self):
        deadline = deadline_in(SETTLE_TIMEOUT)
        for instance in self._running_instances:
            row, served = "idempotent", False
            while not served and not passed(deadline):
                path = f"/v1/call/{row}/do"
                address, key = instance.address, KEYS[row]
                reply = await self._cluster.raw("POST", address, path, key, {})
                served = reply.code == checks.OK
                await asyncio.sleep(0 if served else POLL_INTERVAL)
            if not served:
                self.violations.add("comes back", instance.name)

    async def _check(self):
        runs = {}
        for number in range(SERVICE_COUNT):
            truth = await self._cluster.truth(f"service-{number + 1}")
            for name, count in truth["by_request"].items():
                runs[name] = runs.get(name, 0) + count
        runs_by_request = {name: [name] * count for name, count in runs.items()}
        for call in self._calls:
            if not call.once:
                # A repeatable call reaches the service under a new id with each attempt.
                runs_by_request[call.request_id] = [call.request_id]
        keys = {call.request_id: call.instance for call in self._calls}
        checks.check_calls(self._calls, runs_by_request, keys.get, self.violations)

    def _summary(self):
        answered = sum(call.status == checks.OK for call in self._calls)
        refused = sum(call.status == checks.REFUSED for call in self._calls)
        return (
            f"{len(self.faults)} faults, {len(self._calls)} keys ({answered} answered, "
            f"{refused} refused), {len(self.violations.messages)} violations"
        )


def _answered_key(body):
    """Return the key with the number in an answer, or the answer if it has none."""
    try:
        return f"key-{json.loads(json.loads(body)['body'])['mine']}"
    except (ValueError, KeyError, TypeError):
        return repr(body)


_INJECT = {
    Kind.KILL: OwnSoak._kill,
    Kind.STOP: OwnSoak._stop,
    Kind.PAUSE: OwnSoak._pause,
    Kind.LOG_DOWN: OwnSoak._log_down,
    Kind.LOG_LOSES: OwnSoak._log_loses,
    Kind.BREAK: OwnSoak._break,
    Kind.FAIL: OwnSoak._fail,
    Kind.FULL: OwnSoak._full,
}
