"""Injects each kind of fault into a soak's processes, network paths and stand-ins."""

import asyncio
import signal

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.soak.checks import (
    DISRUPTION_GRACE_PERIOD,
    LEAVE_GRACE_PERIOD,
    Departure,
    Disruption,
)
from sassafrasdoor.soak.schedule import (
    ON_ALL,
    ON_INSTANCES,
    ON_PATHS,
    PARTITION_COUNT,
    Kind,
)
from sassafrasdoor.steps.durable.service import TOPIC

VERSIONS_GAP = 0.33  # seconds between two versions of a configuration
STOP_CALL_INTERVAL = 0.08  # seconds; below the duration of a call, 0.1 s
# While a replica stutters: the share of its answers with surplus bytes, and seconds
# between its own failures.
STUTTER_SHARE, FAILURE_INTERVAL = 0.5, 0.25
SETTLE_TIMEOUT = 45.0  # seconds for recovery after the last fault


class FaultInjector:
    """Base class of ``Soak`` that injects the faults.

    ``Soak`` implements access to the list of replicas: ``_entry(replica, leaving)``
    returns a replica's entry, ``_put_entry(replica, entry)`` writes it,
    ``_drop_entry(replica)`` deletes it and returns whether that succeeded, and
    ``_put_foreign_entries(replica)`` writes malformed entries of another writer. Routes are
    changed by ``_add_step_route()``, which returns a new route's prefix,
    ``_remove_step_route(prefix)``, and ``_train_on(prefix, stays)``, which submits a step on
    it; ``stays`` says whether the route is kept.
    """

    async def _inject(self, fault):
        print(f"seed {self._seed}: {fault}", flush=True)
        begin = asyncio.get_running_loop().time()
        disruption = Disruption(self._disrupted_instance(fault), begin, float("inf"))
        self._update_gaps.append(disruption)
        await _INJECT[fault.kind](self, fault)
        disruption.end = asyncio.get_running_loop().time()

    def _disrupted_instance(self, fault):
        """Return the name of the instance that may miss updates; "" for all."""
        if fault.kind in ON_INSTANCES | ON_PATHS:
            return self._instances[fault.target].name
        return "" if fault.kind in ON_ALL else None

    def _kill_instance(self, index):
        """Kill an instance and record from when its calls may be cut."""
        begin = asyncio.get_running_loop().time()
        self._instances[index].kill()
        self._record_disruption(index, begin)

    def _record_disruption(self, index, begin):
        end = asyncio.get_running_loop().time() + DISRUPTION_GRACE_PERIOD
        self._disruptions.append(Disruption(self._instances[index].name, begin, end))

    async def _kill(self, fault):
        self._kill_instance(fault.target)
        await asyncio.sleep(fault.duration)
        self._restart_if_ended(fault.target)

    async def _kill_all(self, fault):
        for index in range(self._instance_count):
            self._kill_instance(index)
        await asyncio.sleep(fault.duration)
        for index in range(self._instance_count):
            self._restart_if_ended(index)

    def _restart_if_ended(self, index):
        if not self._instances[index].running:
            self._instances[index].start()

    async def _terminate(self, fault):
        instance = self._instances[fault.target]
        self._spawn_call(instance)
        await asyncio.sleep(STOP_CALL_INTERVAL)
        instance.signal(signal.SIGTERM)
        deadline = deadline_in(SETTLE_TIMEOUT)
        while instance.running and not passed(deadline):
            # Some callers keep using open connections until the process has exited.
            self._spawn_call(instance)
            await asyncio.sleep(STOP_CALL_INTERVAL)
        if instance.running:
            self.violations.add("planned stop ends", instance.name)
            self._kill_instance(fault.target)
        self._restart_if_ended(fault.target)

    def _spawn_call(self, instance):
        self._spawn(self._call(f"stop-{self._rng.random()}", False, instance))

    async def _pause(self, fault):
        instance = self._instances[fault.target]
        begin = asyncio.get_running_loop().time()
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.duration)
        instance.signal(signal.SIGCONT)
        self._record_disruption(fault.target, begin)

    async def _cut_off(self, fault):
        await self._path_fault(fault, {"freeze": True})

    async def _delay(self, fault):
        await self._path_fault(fault, {"delay": 0.2})

    async def _one_way(self, fault):
        await self._path_fault(fault, {"blackhole": "down"})

    async def _path_fault(self, fault, document):
        proxy = self._proxies[fault.target]
        proxy.set(document)
        await asyncio.sleep(fault.duration)
        proxy.set({"clear": True, "cut": "blackhole" in document})

    async def _reset(self, fault):
        self._proxies[fault.target].cut()

    async def _log_down(self, fault):
        self._store.log.down = True
        await asyncio.sleep(fault.duration)
        self._store.log.down = False

    async def _log_loses(self, fault):
        self._store.log.lose_replies, self._store.log.land_late = 3, None

    async def _log_late(self, fault):
        self._store.log.lose_replies, self._store.log.land_late = 3, fault.duration

    async def _log_silent(self, fault):
        """Let calls to the store wait; they are handled when it answers again."""
        await self._silence(fault, [self._store.answering])

    async def _partitions_refuse(self, fault):
        await self._fail_partitions(fault, self._store.log.refused_parts)

    async def _partitions_silent(self, fault):
        await self._fail_partitions(fault, self._store.log.silent_parts)

    async def _fail_partitions(self, fault, failing):
        """Let partitions fail for the fault's time; outages of one kind may overlap."""
        partitions = [(TOPIC, part) for part in range(fault.target, PARTITION_COUNT)]
        outages = self._partition_outages
        outages.update((fault.kind, one) for one in partitions)
        failing.update(partitions)
        await asyncio.sleep(fault.duration)
        outages.subtract((fault.kind, one) for one in partitions)
        failing.difference_update(
            one for one in partitions if not outages[fault.kind, one]
        )

    async def _engines_silent(self, fault):
        await self._silence(fault, [engine.sending for engine in self._engines])

    async def _silence(self, fault, events):
        """Clear events for the fault's time; silences of one kind may overlap."""
        self._silences[fault.kind] += 1
        for event in events:
            event.clear()
        await asyncio.sleep(fault.duration)
        self._silences[fault.kind] -= 1
        if not self._silences[fault.kind]:
            for event in events:
                event.set()

    async def _full(self, fault):
        replica = self._replica(fault)
        replica.full = True
        await asyncio.sleep(fault.duration)
        replica.full = False

    async def _break(self, fault):
        self._engines[fault.target].break_after += [0, 2, 4]

    async def _fail(self, fault):
        self._plain[fault.target].failures += [500, 503, 500]

    async def _leave(self, fault):
        """Mark a replica as leaving for a while, then list it again."""
        replica = self._engines[fault.target]
        await self._put_entry(replica, self._entry(replica, leaving=True))
        await asyncio.sleep(fault.duration)
        await self._put_entry(replica, self._entry(replica))

    async def _gone(self, fault):
        """Drop a replica's entry unannounced, then list it again; it serves throughout."""
        replica = self._plain[fault.target]
        if any(
            earlier.replica is replica and earlier.returned_at is None
            for earlier in self._departures
        ):
            return
        if not await self._drop_entry(replica):
            return
        departure = Departure(replica, asyncio.get_running_loop().time())
        self._departures.append(departure)
        await asyncio.sleep(LEAVE_GRACE_PERIOD + fault.duration)
        if departure.returned_at is None:
            departure.returned_at = asyncio.get_running_loop().time()
            await self._put_entry(replica, self._entry(replica))

    async def _reborn(self, fault):
        """Restart an engine under the same identity; its list entry follows late."""
        replica = self._engines[fault.target]
        previous_entry = self._entry(replica)
        replica.restart()
        await asyncio.sleep(fault.duration / 4)
        await self._put_entry(replica, self._entry(replica))
        await self._put_entry(replica, previous_entry)
        await asyncio.sleep(fault.duration / 4)
        await self._put_entry(replica, self._entry(replica))

    async def _foreign(self, fault):
        """Write entries of another writer, one of them under an engine's key."""
        replica = self._engines[fault.target]
        await self._put_foreign_entries(replica)
        await asyncio.sleep(fault.duration)
        await self._put_entry(replica, self._entry(replica))

    async def _stutter_for_a_while(self, fault):
        """Let an engine and a plain replica stutter, and fail from time to time."""
        replicas = self._engines[fault.target], self._plain[fault.target]
        for replica in replicas:
            replica.stutter.change_manner()
            replica.stutter.share += STUTTER_SHARE
        await self._fail_for(fault.duration, replicas)
        for replica in replicas:
            replica.stutter.share -= STUTTER_SHARE

    async def _fail_for(self, seconds, replicas):
        """Let replicas fail from time to time."""
        deadline = deadline_in(seconds)
        while not passed(deadline):
            for replica in replicas:
                replica.failures = replica.failures or [500]
            await asyncio.sleep(FAILURE_INTERVAL)

    async def _reconfigure(self, fault):
        if not self._store.log.down:
            self._version += 1
            self._configure()

    async def _add_routes(self, fault):
        """Add two routes during a pause, and submit a step on the second."""
        await self._change_routes(fault, stays=True)

    async def _remove_route(self, fault):
        """Add two routes during a pause, submit a step on the second and remove that."""
        await self._change_routes(fault, stays=False)

    async def _change_routes(self, fault, stays):
        pause = self._spawn(self._pause(fault))
        self._add_step_route()
        await asyncio.sleep(VERSIONS_GAP)
        prefix = self._add_step_route()
        training = self._spawn(self._train_on(prefix, stays))
        await asyncio.wait([training], timeout=fault.duration)
        if not stays:
            self._remove_step_route(prefix)
        await pause

    def _replica(self, fault):
        return (self._engines + self._plain)[fault.target]


_INJECT = {
    Kind.KILL: FaultInjector._kill,
    Kind.KILL_ALL: FaultInjector._kill_all,
    Kind.STOP: FaultInjector._terminate,
    Kind.PAUSE: FaultInjector._pause,
    Kind.CUT_OFF: FaultInjector._cut_off,
    Kind.DELAY: FaultInjector._delay,
    Kind.RESET: FaultInjector._reset,
    Kind.ONE_WAY: FaultInjector._one_way,
    Kind.LOG_DOWN: FaultInjector._log_down,
    Kind.LOG_LOSES: FaultInjector._log_loses,
    Kind.LOG_LATE: FaultInjector._log_late,
    Kind.FULL: FaultInjector._full,
    Kind.BREAK: FaultInjector._break,
    Kind.FAIL: FaultInjector._fail,
    Kind.LEAVE: FaultInjector._leave,
    Kind.CONFIGURE: FaultInjector._reconfigure,
    Kind.REBORN: FaultInjector._reborn,
    Kind.FOREIGN: FaultInjector._foreign,
    Kind.GONE: FaultInjector._gone,
    Kind.LOG_SILENT: FaultInjector._log_silent,
    Kind.ENGINES_SILENT: FaultInjector._engines_silent,
    Kind.ROUTES_ADDED: FaultInjector._add_routes,
    Kind.ROUTES_REMOVED: FaultInjector._remove_route,
    Kind.STUTTER: FaultInjector._stutter_for_a_while,
    Kind.PARTITIONS_REFUSE: FaultInjector._partitions_refuse,
    Kind.PARTITIONS_SILENT: FaultInjector._partitions_silent,
}
