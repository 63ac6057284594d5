"""The soak test of the platform's interface: real processes, stand-ins, seeded faults.

    python3 -m sassafrasdoor.platform.soak --seed 1 --seconds 20 --instances 3

Ends only processes that it started. Exit code 1 if a guarantee was violated.
"""

import asyncio
import json
import pathlib
import random
import signal
import tempfile
from collections import Counter

import typer
from tornado.httpclient import AsyncHTTPClient

from sassafrasdoor.backends.connections import Connections
from sassafrasdoor.clock import deadline_in, passed
from sassafrasdoor.log.partitioned import Appended, keyed_record
from sassafrasdoor.platform import configuration
from sassafrasdoor.platform.local import LocalInstance
from sassafrasdoor.platform.soak_callers import (
    ENGINES,
    HOST,
    ITEM_COUNT,
    MODEL,
    PLAIN,
    Callers,
)
from sassafrasdoor.platform.standin import ReplicaStandin, StoreStandin
from sassafrasdoor.platform.stutter import Stutter
from sassafrasdoor.soak import checks
from sassafrasdoor.soak.checks import Violations
from sassafrasdoor.soak.faults import SETTLE_TIMEOUT, FaultInjector
from sassafrasdoor.soak.own import OwnSoak
from sassafrasdoor.soak.schedule import schedule
from sassafrasdoor.standin.proxy import Proxy
from sassafrasdoor.tools.options import VersionOption

EVENT_COUNT = 6
REPLICA_COUNT = 3
CALL_DURATION = 0.1  # seconds; above the interval of calls to a stopping instance
PLAIN_SLOTS = 20
FINAL_CALL_COUNT = 20
PACES = (1.0, 1.0, 1.0, 2.5)  # multiples of the usual work time on a shared machine
PACE_INTERVAL = 0.3  # seconds between changes of the pace
LOG_TIMEOUT = 1.0  # seconds for an append by the soak itself
VIOLATION_EXIT_CODE = 1

ROUTE = {
    "Host": HOST,
    "TimeoutMs": 3000,
    "TargetLatencyMs": 500,
    "MaxAttempts": 3,
    "RetentionS": 300,
}


def routes(version):
    """Return the routes of a configuration; one path prefix is unique to its version."""
    return [
        {
            **ROUTE,
            "Name": "p",
            "PathPrefix": "/plain/",
            "Kind": "safe",
            "Service": PLAIN,
        },
        {
            **ROUTE,
            "Name": "o",
            "PathPrefix": "/plain/once/",
            "Kind": "unsafe",
            "Service": PLAIN,
        },
        step_route("/s/"),
        {
            **ROUTE,
            "Name": "n",
            "PathPrefix": f"/plain/only-{version}/",
            "Kind": "safe",
            "Service": PLAIN,
        },
    ]


def step_route(prefix):
    """Return a route for steps under a prefix."""
    return {
        **ROUTE,
        "Name": prefix,
        "PathPrefix": prefix,
        "Kind": "rollout",
        "Service": ENGINES,
    }


def expected_answer(request_id):
    """Return the complete answer of a plain replica."""
    return b"answer to " + request_id.encode()


def item_text(item_id):
    """Return the complete text of an item."""
    return "\n".join(f"{item_id}.{number}" for number in range(EVENT_COUNT))


class Soak(Callers, FaultInjector):
    """One run: a cluster, its callers, the faults and the violations found."""

    def __init__(
        self,
        seed,
        seconds,
        instances,
        folder,
        replicas=REPLICA_COUNT,
        stutters_throughout=False,
    ):
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(seed)
        self._folder = pathlib.Path(folder)
        self._instance_count = instances
        self._client = AsyncHTTPClient(force_instance=True, max_clients=500)
        self._connections = Connections()
        self._calls, self._steps = [], []
        self._version = 1
        self._step_prefixes = []
        self._newest_seen = {}
        self._tasks = set()
        self._disruptions, self._update_gaps, self._departures = [], [], []
        self._silences, self._partition_outages = Counter(), Counter()
        self.violations = Violations()
        self._replica_count = replicas
        self._stutters_throughout = stutters_throughout
        self.faults = schedule(seed, seconds, instances, replicas)

    async def run(self):
        """Inject the scheduled faults, check the guarantees and return a summary."""
        await self._start()
        jobs = [
            self._spawn(job)
            for job in (
                self._generate_calls(),
                self._generate_steps(),
                self._vary_paces(),
                self._stutter(),
            )
        ]
        try:
            started = asyncio.get_running_loop().time()
            for fault in self.faults:
                begin_at = started + fault.at
                await asyncio.sleep(
                    max(0, begin_at - asyncio.get_running_loop().time())
                )
                self._spawn(self._inject(fault))
            remaining = started + self._seconds - asyncio.get_running_loop().time()
            await asyncio.sleep(max(0, remaining))
            for job in jobs:
                job.cancel()
            await self._settle()
            await self._check_leaving_after_faults()
            await self._check()
        finally:
            await self._stop()
        return self._summary()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _start(self):
        self._store = StoreStandin()
        self._engines = [
            ReplicaStandin(f"e{index}", events=EVENT_COUNT, pause=0.05)
            for index in range(self._replica_count)
        ]
        self._plain = [
            ReplicaStandin(f"p{index}", slots=PLAIN_SLOTS, pause=CALL_DURATION)
            for index in range(self._replica_count)
        ]
        for replica in self._replicas:
            replica.stutter = Stutter(f"{self._seed} {replica.identity}")
        self._configure()
        await self._list_replicas()
        self._proxies, self._instances = [], []
        for index in range(self._instance_count):
            proxy = await Proxy(self._store.address).open()
            self._proxies.append(proxy)
            name = f"i{index}"
            instance = LocalInstance(self._folder, name, proxy.address)
            self._instances.append(instance)
        await self._wait_until_ready()

    async def _vary_paces(self):
        """Change the pace of all replicas from time to time, with even seeds only.

        Replicas that share their machines report it, and calls and items are then placed
        by it; with odd seeds the replicas have their machines to themselves.
        """
        rng = random.Random(self._seed)
        while self._has_shared_machines:
            for replica in self._replicas:
                replica.pace = rng.choice(PACES)
            await asyncio.sleep(PACE_INTERVAL)

    async def _stutter(self):
        """Let all replicas stutter throughout the run if it is asked for."""
        if self._stutters_throughout:
            for replica in self._replicas:
                replica.stutter.change_manner()
                replica.stutter.share = 1.0
            await self._fail_for(self._seconds, self._replicas)

    @property
    def _has_shared_machines(self):
        return self._seed % 2 == 0

    async def _stop(self):
        for task in list(self._tasks):
            task.cancel()
        for instance in self._instances:
            instance.close()
        for proxy in self._proxies:
            await proxy.close()
        for replica in self._replicas:
            replica.stop()
        self._store.stop()
        self._client.close()
        self._connections.close()

    def _configure(self):
        """Write the configuration; the operator's own writes are always acknowledged.

        One that landed late would bring an older version back.
        """
        services = [
            {"Name": PLAIN},
            {"Name": ENGINES, "Engine": {"Models": [{"Name": MODEL}]}},
        ]
        version = self._version
        rows = routes(version) + [step_route(prefix) for prefix in self._step_prefixes]
        document = {"Version": version, "Routes": rows, "Services": services}
        record = keyed_record(
            configuration.CONFIGURATION_KEY, json.dumps(document).encode()
        )
        partition = self._store.log.partition(configuration.OPERATOR_TOPIC, 0)
        partition.add([record], keyed=True)

    def _add_step_route(self):
        """Add a route for steps with the next version; return its prefix."""
        self._version += 1
        prefix = f"/added-{self._version}/"
        self._step_prefixes.append(prefix)
        self._configure()
        return prefix

    def _remove_step_route(self, prefix):
        """Remove a route for steps with the next version."""
        self._version += 1
        self._step_prefixes.remove(prefix)
        self._configure()

    async def _list_replicas(self):
        for replica in self._replicas:
            await self._put_entry(replica, self._entry(replica))

    def _entry(self, replica, leaving=False):
        state = "draining" if leaving else "ready"
        service, models = (PLAIN, []) if replica in self._plain else (ENGINES, [MODEL])
        return replica.entry(service, models, state)

    async def _put_entry(self, replica, entry):
        await self._store.put(configuration.SERVERS_TOPIC, replica.identity, entry)

    async def _drop_entry(self, replica):
        """Drop a replica's entry; return whether the log acknowledged it."""
        dropped, deadline = keyed_record(replica.identity), deadline_in(LOG_TIMEOUT)
        topic = configuration.SERVERS_TOPIC
        result = await self._store.log.append(topic, 0, [dropped], deadline)
        return isinstance(result, Appended)

    async def _put_foreign_entries(self, replica):
        """Write malformed entries, one of them under a replica's key."""
        entry = self._entry(replica)
        for number, name in enumerate(entry):
            document = {**entry, "Address": "127.0.0.1:9", name: {}}
            await self._store.put(configuration.SERVERS_TOPIC, f"x{number}", document)
        await self._put_entry(replica, {**entry, "State": "parked"})

    async def _wait_until_ready(self):
        deadline = deadline_in(SETTLE_TIMEOUT)
        for instance in self._instances:
            while not passed(deadline):
                if not instance.running:
                    instance.start()
                reply = await self._fetch(instance.ready, "/-/ready")
                if reply.code == checks.OK:
                    break
                await asyncio.sleep(0.1)
            else:
                self.violations.add("comes back", instance.name)

    async def _settle(self):
        for instance in self._instances:
            instance.signal(signal.SIGCONT)
        for proxy in self._proxies:
            proxy.set({"clear": True, "cut": True})
        self._store.log.down, self._store.log.lose_replies = False, 0
        self._store.log.refused_parts.clear()
        self._store.log.silent_parts.clear()
        self._store.answering.set()
        for engine in self._engines:
            engine.sending.set()
        for replica in self._replicas:
            replica.full = False
        await asyncio.sleep(1.0)
        await self._wait_until_ready()
        for departure in self._departures:
            departure.returned_at = (
                departure.returned_at or asyncio.get_running_loop().time()
            )
        await self._list_replicas()
        deadline = deadline_in(SETTLE_TIMEOUT)
        for step in self._steps:
            if step.accepted and not await self._finish_step(step, deadline):
                self.violations.add("accepted steps are run", step.step_id)

    async def _finish_step(self, step, deadline):
        """Return whether a step finishes: all samples, or an acknowledged end.

        An end request without an answer may have taken effect, and then the step lists
        no more samples. It is repeated, as real trainers do. Each step is read at least
        once, also after ``deadline``: one that hangs must not count against later ones.
        """
        while True:
            if step.asked_to_end and step.ended_at is None:
                await self._end_step(step)
            if step.ended_at is not None:
                return True
            page = await self._read_page(step.step_id, self._random_instance())
            if page is not None:
                step.pages.append(page)
                if len(page) == ITEM_COUNT and not step.asked_to_end:
                    return True
            if passed(deadline):
                return False
            await asyncio.sleep(0.1)

    async def _check_leaving_after_faults(self):
        """Have one replica of each kind leave, and check that it gets no more work."""
        leaving = self._engines[0], self._plain[0]
        for replica in leaving:
            await self._put_entry(replica, self._entry(replica, leaving=True))
        await asyncio.sleep(checks.LEAVE_GRACE_PERIOD)
        runs_before = [len(replica.runs) for replica in leaving]
        calls = [
            self._call(f"calm-{index}", False) for index in range(FINAL_CALL_COUNT)
        ]
        await asyncio.gather(self._train_step("calm"), *calls)
        for replica, run_count in zip(leaving, runs_before, strict=True):
            if len(replica.runs) > run_count:
                self.violations.add("leaving gets no work", replica.identity)

    @property
    def _runs_by_request(self):
        runs = {}
        for replica in self._replicas:
            for run in replica.runs:
                runs.setdefault(run.request_id, []).append(run)
        return runs

    async def _check(self):
        runs = self._runs_by_request
        checks.check_calls(self._calls, runs, expected_answer, self.violations)
        checks.check_answers(self._calls, runs, self.violations)
        checks.check_cuts(self._calls, runs, self._disruptions, self.violations)
        checks.check_departures(
            self._departures, self._calls, self._update_gaps, self.violations
        )
        readable = set()
        for step in self._steps:
            pages = [
                await self._read_page(step.step_id, instance)
                for instance in self._instances
                if step.accepted
            ]
            if pages and all(page is not None for page in pages):
                readable.add(step.step_id)
                step.pages += pages
        checks.check_accepted_readable(
            self._steps, readable.__contains__, self.violations
        )
        checks.check_steps(self._steps, runs, item_text, self.violations)
        checks.check_scores(self._steps, runs, self.violations)
        max_attempts = ROUTE["MaxAttempts"]
        checks.check_routes(self._steps, runs, max_attempts, self.violations)

    @property
    def _replicas(self):
        return self._engines + self._plain

    def _summary(self):
        answered = sum(call.status == checks.OK for call in self._calls)
        refused = sum(call.status == checks.REFUSED for call in self._calls)
        accepted = sum(step.accepted for step in self._steps)
        surplus = sum(replica.stutter.surplus_count for replica in self._replicas)
        requests = sum(replica.request_count for replica in self._replicas)
        opened = sum(replica.connection_count for replica in self._replicas)
        connections = 100 * opened / max(1, requests)
        unserved, run = checks.unserved_calls(self._calls, self._runs_by_request)
        return (
            f"{len(self.faults)} faults, {len(self._calls)} calls ({answered} answered, "
            f"{refused} refused), {len(self._steps)} steps ({accepted} accepted), "
            f"{len(self.violations.messages)} violations; {surplus} surplus answers, "
            f"{connections:.1f} connections per 100 requests at replicas, "
            f"{len(unserved)} repeatable calls without an answer, {len(run)} of them run"
        )


def main(
    seed: int = typer.Option(1, help="The first seed."),
    seeds: int = typer.Option(1, help="Number of seeds, run one after the other."),
    seconds: float = typer.Option(20.0, help="Duration of each seed's run in seconds."),
    instances: int = typer.Option(3, help="Number of instances."),
    replicas: int = typer.Option(
        REPLICA_COUNT, help="Number of engines, and of plain replicas; not with --own."
    ),
    keep: str = typer.Option(
        "", help="Folder for the logs of failed seeds; not with --own."
    ),
    stutter: bool = typer.Option(
        False, help="Let all replicas answer twice throughout the run; not with --own."
    ),
    own: bool = typer.Option(
        False, help="Test the product's own interface instead of the platform's."
    ),
    version: bool = VersionOption,
):
    """Inject seeded faults into real processes and check the service's guarantees.

    Exit codes: 0 no violation, 1 a guarantee was violated, 2 usage.
    """
    has_violations = False
    for current_seed in range(seed, seed + seeds):
        if own:
            messages = _run_own_seed(current_seed, seconds, instances)
        else:
            with tempfile.TemporaryDirectory() as folder:
                soak = Soak(current_seed, seconds, instances, folder, replicas, stutter)
                messages = _run_seed(soak, current_seed, folder, keep)
        has_violations |= bool(messages)
    raise typer.Exit(VIOLATION_EXIT_CODE if has_violations else 0)


def _run_own_seed(seed, seconds, instances):
    """Run one seed on the product's own interface; return its violations."""
    soak = OwnSoak(seed, seconds, instances)
    _report(seed, soak, asyncio.run(soak.run()))
    return soak.violations.messages


def _report(seed, soak, summary):
    print(f"seed {seed}: {summary}", flush=True)
    for message in dict.fromkeys(soak.violations.messages):
        print(f"seed {seed}: BROKEN {message}", flush=True)


def _run_seed(soak, seed, folder, keep):
    """Run one seed and report it; return its violations."""
    _report(seed, soak, asyncio.run(soak.run()))
    if soak.violations.messages and keep:
        for path in pathlib.Path(folder).glob("*.log"):
            target = pathlib.Path(keep) / f"{seed}-{path.name}"
            target.parent.mkdir(parents=True, exist_ok=True)
            target.write_bytes(path.read_bytes())
    return soak.violations.messages


def run():
    """Run the program."""
    typer.run(main)


if __name__ == "__main__":
    run()
