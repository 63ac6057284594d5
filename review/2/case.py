"""Items of a step on a new route are given up by a runner with the former routes."""

import asyncio
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.path.insert(0, str(FOLDER.parent.parent))

import harness  # noqa: E402

MODEL, ENGINES = "daka510000", "huvo11a"
OLD_PREFIX, NEW_PREFIX = "/pufi791/", "/qexo127/"
OLD_ROUTE = harness.route("rollout_route", "r-i9n73hh", OLD_PREFIX, ENGINES)
NEW_ROUTE = harness.route("rollout_route", "r-k2m81aa", NEW_PREFIX, ENGINES)
ITEMS = 8
FREEZE_SECONDS = 0.8
# Seconds for which the runner's reads have waited at the store when it is frozen.
MIN_AGE, MAX_AGES = 0.03, {"steps": 0.2, "configuration": 0.5}
CHANGED_AFTER = 0.03  # seconds after the freeze
VERSIONS_GAP = 0.33  # seconds between two configurations, as in a ``config_storm``
APPLY_SECONDS = 0.1  # after the acknowledgement of the configuration
RETENTION = 40.0  # seconds, the retention of the routes


def build():
    """Return the deployment, with one route."""
    case = harness.Case(FOLDER, more=["Bounds.RequireFencing=true"])
    case.store.configure(harness.configuration(3, [OLD_ROUTE], ENGINES, [MODEL]))
    for number in range(3):
        case.add_replica(f"i-{number}", ENGINES, 12, [MODEL])
    return case


async def submit(case, instance, step, prefix, items):
    """Submit a batch job at an instance; return its id."""
    (job,) = harness.new_ids(1)
    body = harness.batch_job(step, MODEL, 1, prefix, items)
    headers = {harness.ID: job, "Content-Type": "application/json"}
    status, _, _ = await case.fetch(
        instance.front, prefix + job, "POST", body, **headers
    )
    case.record.write(
        "client.submit", job=job, at=instance.name, prefix=prefix, status=status
    )
    if status != 202:
        raise harness.CannotRun(f"the batch job was answered {status}")
    return job


async def read(case, instance, job, count, seconds):
    """Read a batch job until it has ``count`` results; return them."""
    until = harness.time.monotonic() + seconds
    results = []
    while len(results) < count and harness.time.monotonic() < until:
        path = f"{harness.PATHS['batch_jobs']}{job}?After={len(results)}"
        wait = {harness.HEADERS["wait"]: "1000"}
        status, body, _ = await case.fetch(instance.front, path, **wait)
        page = json.loads(body) if status == 200 else {"Results": []}
        for result in page["Results"]:
            case.record.write(
                "client.result", job=job, item=result["Id"], state=result["State"]
            )
        results += page["Results"]
        await asyncio.sleep(0.2)
    return results


def runner(case):
    """Return the instance that runs the steps, and the partition in which they lie.

    The last claim in the store names it; as the disruption ``leader`` finds the machine
    that wrote last under a condition.
    """
    for (topic, part), partition in case.store.partitions.items():
        if topic != "steps" or not any(row[:1] == b"S" for row in partition.records):
            continue
        claims = [json.loads(row[1:]) for row in partition.records if row[:1] == b"C"]
        if claims:
            address = claims[-1]["runner"].partition("/")[0]
            named = [row for row in case.instances if row.front == address]
            return named[0], part
    raise harness.CannotRun("nobody runs the steps")


async def both_reads_wait(case, instance, part):
    """Wait until an instance waits at the store for configurations and for steps.

    Neither read is old, so that none ends before the instance runs again, and no claim of
    the instance is on its way, which would end its read of the steps.
    """
    begun = {}
    names = {(harness.TOPICS["operator"], 0): "configuration", ("steps", part): "steps"}

    def observe(handler, call, topic, number):
        if (handler.caller, call) == (instance.name, "read"):
            begun[names.get((topic, number))] = harness.time.monotonic()

    case.store.fault = observe
    until = harness.time.monotonic() + 20
    while harness.time.monotonic() < until:
        await asyncio.sleep(0.005)
        ages = {name: harness.time.monotonic() - at for name, at in begun.items()}
        if all(
            MIN_AGE <= ages.get(name, 0) <= limit for name, limit in MAX_AGES.items()
        ):
            return
    raise harness.CannotRun("the reads never waited together")


async def play(case):
    """Freeze the runner while the route is added and its first step is submitted."""
    for instance in case.instances:
        case.start(instance)
    await case.wait_ready()
    first = await submit(case, case.instances[0], 0, OLD_PREFIX, harness.new_ids(4))
    if len(await read(case, case.instances[0], first, 4, 20)) < 4:
        raise harness.CannotRun("the first batch job was not done")
    # By then the last claim is a renewal of the holder.
    await asyncio.sleep(4.0)
    holder, part = runner(case)
    other = next(row for row in case.instances if row is not holder)
    await both_reads_wait(case, holder, part)
    frozen_at = harness.time.monotonic()
    if case.trouble:
        case.record.write("process.freeze", instance=holder.name)
        holder.signal(signal.SIGSTOP)
    await asyncio.sleep(CHANGED_AFTER)
    changed = {**OLD_ROUTE, harness.FIELDS["timeout"]: 9000}
    case.store.configure(harness.configuration(5, [changed], ENGINES, [MODEL]))
    await asyncio.sleep(VERSIONS_GAP)
    both = [changed, NEW_ROUTE]
    case.store.configure(harness.configuration(6, both, ENGINES, [MODEL]))
    await asyncio.sleep(APPLY_SECONDS)
    items = harness.new_ids(ITEMS)
    submitted_at = harness.time.monotonic()
    job = await submit(case, other, 1, NEW_PREFIX, items)
    await asyncio.sleep(max(0, frozen_at + FREEZE_SECONDS - harness.time.monotonic()))
    if case.trouble:
        case.record.write("process.thaw", instance=holder.name)
        holder.signal(signal.SIGCONT)
    results = await read(case, other, job, ITEMS, 20)
    age = harness.time.monotonic() - submitted_at
    if len(results) < ITEMS:
        raise harness.CannotRun(f"only {len(results)} of {ITEMS} items were listed")
    if age >= RETENTION:
        raise harness.CannotRun("the items may be given up by now")
    # No replica of this case answers 422 or 500, the job is open and so is its route.
    runs = {run["id"] for replica in case.replicas for run in replica.runs}
    return [
        f"item {result['Id']} of job {job} is listed as errored after {age:.1f} s "
        f"at most; runs at replicas: {int(result['Id'] in runs)}"
        for result in results
        if result["State"] != "completed"
    ]


if __name__ == "__main__":
    harness.main(build, play)
