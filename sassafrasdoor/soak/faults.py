"""Injects each kind of fault into a soak's processes, network paths and stand-ins."""

import asyncio
import signal

from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.soak.checks import HARM_LASTS, LEAVE_WITHIN, Harm, Left
from sassafrasdoor.soak.schedule import ON_ALL, ON_INSTANCES, ON_PATHS, Kind

CALLS_IN_STOP = 0.08  # seconds between calls; less than one takes
SETTLE = 45.0  # seconds for recovery after the last fault


class Faults:
    """The part of a soak that injects faults; its ``Soak`` has the rest.

    ``Soak`` translates what concerns the list of replicas: ``_entry(replica, leaving)``
    returns a replica's entry, ``_put_entry(replica, entry)`` writes it,
    ``_drop_entry(replica)`` says whether it was dropped, and
    ``_put_foreign_entries(replica)`` writes entries of another writer.
    """

    async def _inject(self, fault):
        print(f"seed {self._seed}: {fault}", flush=True)
        begin = asyncio.get_running_loop().time()
        harm = Harm(self._harmed_by(fault), begin, float("inf"))
        self._unsettled.append(harm)
        await _INJECT[fault.kind](self, fault)
        harm.end = asyncio.get_running_loop().time()

    def _harmed_by(self, fault):
        """Return the instance that may miss updates by a fault; "" for all."""
        if fault.kind in ON_INSTANCES | ON_PATHS:
            return self._instances[fault.target].name
        return "" if fault.kind in ON_ALL else None

    def _kill_at_once(self, at):
        """Kill an instance and note since when its calls may be cut."""
        begin = asyncio.get_running_loop().time()
        self._instances[at].kill()
        self._harm(at, begin)

    def _harm(self, at, begin):
        end = asyncio.get_running_loop().time() + HARM_LASTS
        self._harmed.append(Harm(self._instances[at].name, begin, end))

    async def _kill(self, fault):
        self._kill_at_once(fault.target)
        await asyncio.sleep(fault.lasts)
        self._again(fault.target)

    async def _kill_all(self, fault):
        for at in range(self._count):
            self._kill_at_once(at)
        await asyncio.sleep(fault.lasts)
        for at in range(self._count):
            self._again(at)

    def _again(self, at):
        if not self._instances[at].running:
            self._instances[at].start()

    async def _terminate(self, fault):
        instance = self._instances[fault.target]
        self._call_soon(instance)
        await asyncio.sleep(CALLS_IN_STOP)
        instance.signal(signal.SIGTERM)
        limit = deadline_in(SETTLE)
        while instance.running and not passed(limit):
            # Some callers keep using open connections until it has ended.
            self._call_soon(instance)
            await asyncio.sleep(CALLS_IN_STOP)
        if instance.running:
            self.violations.add("planned stop ends", instance.name)
            self._kill_at_once(fault.target)
        self._again(fault.target)

    def _call_soon(self, instance):
        self._spawn(self._call(f"stop-{self._draw.random()}", False, instance))

    async def _pause(self, fault):
        instance = self._instances[fault.target]
        begin = asyncio.get_running_loop().time()
        instance.signal(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        instance.signal(signal.SIGCONT)
        self._harm(fault.target, begin)

    async def _cut_off(self, fault):
        await self._path_fault(fault, {"freeze": True})

    async def _delay(self, fault):
        await self._path_fault(fault, {"delay": 0.2})

    async def _one_way(self, fault):
        await self._path_fault(fault, {"blackhole": "down"})

    async def _path_fault(self, fault, document):
        proxy = self._proxies[fault.target]
        proxy.set(document)
        await asyncio.sleep(fault.lasts)
        proxy.set({"clear": True, "cut": "blackhole" in document})

    async def _reset(self, fault):
        self._proxies[fault.target].cut()

    async def _log_down(self, fault):
        self._store.log.down = True
        await asyncio.sleep(fault.lasts)
        self._store.log.down = False

    async def _log_loses(self, fault):
        self._store.log.lose_replies, self._store.log.land_late = 3, None

    async def _log_late(self, fault):
        self._store.log.lose_replies, self._store.log.land_late = 3, fault.lasts

    async def _full(self, fault):
        replica = self._replica(fault)
        replica.full = True
        await asyncio.sleep(fault.lasts)
        replica.full = False

    async def _break(self, fault):
        self._engines[fault.target].break_after += [0, 2, 4]

    async def _fail(self, fault):
        self._plain[fault.target].failures += [500, 503, 500]

    async def _leave(self, fault):
        """A replica announces that it leaves, and is listed again later."""
        replica = self._engines[fault.target]
        await self._put_entry(replica, self._entry(replica, leaving=True))
        await asyncio.sleep(fault.lasts)
        await self._put_entry(replica, self._entry(replica))

    async def _gone(self, fault):
        """A replica's entry is dropped unannounced; it serves on and is listed again."""
        replica = self._plain[fault.target]
        if any(one.replica is replica and one.until is None for one in self._left):
            return
        if not await self._drop_entry(replica):
            return
        left = Left(replica, asyncio.get_running_loop().time())
        self._left.append(left)
        await asyncio.sleep(LEAVE_WITHIN + fault.lasts)
        if left.until is None:
            left.until = asyncio.get_running_loop().time()
            await self._put_entry(replica, self._entry(replica))

    async def _reborn(self, fault):
        """An engine restarts under its identity; the list shows it with a delay."""
        replica = self._engines[fault.target]
        before = self._entry(replica)
        replica.restart()
        await asyncio.sleep(fault.lasts / 4)
        await self._put_entry(replica, self._entry(replica))
        await self._put_entry(replica, before)
        await asyncio.sleep(fault.lasts / 4)
        await self._put_entry(replica, self._entry(replica))

    async def _foreign(self, fault):
        """Another writer leaves entries, one of them under an engine's key."""
        replica = self._engines[fault.target]
        await self._put_foreign_entries(replica)
        await asyncio.sleep(fault.lasts)
        await self._put_entry(replica, self._entry(replica))

    async def _reconfigure(self, fault):
        if not self._store.log.down:
            self._version += 1
            await self._configure()

    def _replica(self, fault):
        return (self._engines + self._plain)[fault.target]


_INJECT = {
    Kind.KILL: Faults._kill,
    Kind.KILL_ALL: Faults._kill_all,
    Kind.STOP: Faults._terminate,
    Kind.PAUSE: Faults._pause,
    Kind.CUT_OFF: Faults._cut_off,
    Kind.DELAY: Faults._delay,
    Kind.RESET: Faults._reset,
    Kind.ONE_WAY: Faults._one_way,
    Kind.LOG_DOWN: Faults._log_down,
    Kind.LOG_LOSES: Faults._log_loses,
    Kind.LOG_LATE: Faults._log_late,
    Kind.FULL: Faults._full,
    Kind.BREAK: Faults._break,
    Kind.FAIL: Faults._fail,
    Kind.LEAVE: Faults._leave,
    Kind.CONFIGURE: Faults._reconfigure,
    Kind.REBORN: Faults._reborn,
    Kind.FOREIGN: Faults._foreign,
    Kind.GONE: Faults._gone,
}
