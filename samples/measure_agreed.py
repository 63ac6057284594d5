"""Measure the agreed state: cost of folding and polling, and time to spread.

Starts the platform stand-in as a process and runs followers in this one; prints a
Markdown table. ``python samples/measure_agreed.py [followers ...]``
"""

import asyncio
import resource
import statistics
import sys
import time

from sassafrasdoor import settings
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log import agreed, checkpoints
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.http import BYTES, HttpLog
from sassafrasdoor.log.interface import Record
from sassafrasdoor.support import Processes, until
from sassafrasdoor.table.publisher import propose

ROWS = 300
RECORDS = 5000
IDLE_POLLS = 300
ROUNDS = 8
SIZES = (10, 40, 100, 200)
STREAM = "agreed"


def table(rows=ROWS, weight=1.0):
    """Return a table document of that many rows."""
    row = {"kind": "application", "service": "occupancy", "weight": weight}
    hashes = ["a" * 64]
    return {
        "rows": [{"name": f"row-{n}", **row, "key_hashes": hashes} for n in range(rows)]
    }


def proposal(offset, base, rows=ROWS):
    """Return the record of a proposal."""
    body = {"kind": "proposal", "id": f"p{offset}", "base": base, "table": table(rows)}
    return Record(offset, body)


def renewal(offset):
    """Return the record of a renewal of a lease."""
    body = {"kind": "lease", "name": "plan", "holder": "x", "id": f"c{offset}"}
    return Record(offset, {**body, "replaces": offset - 1})


def announcement(offset):
    """Return the record of a weight version."""
    return Record(offset, {"kind": "weights", "model": "m", "version": offset})


def fold_rates():
    """Print records folded a second, by kind."""
    kinds = [
        ("weights", announcement, RECORDS),
        ("lease renewal", renewal, RECORDS),
        ("proposal, 300 rows", lambda n: proposal(n, n - 1), 200),
    ]
    for name, make, count in kinds:
        records = [make(offset) for offset in range(1, count + 1)]
        state, started = agreed.Agreed(), time.process_time()
        for record in records:
            state = agreed.fold(state, record)
        spent = time.process_time() - started
        line(f"fold: {name}", f"{count / spent:,.0f} records/s of CPU")


def checkpoint_cost():
    """Print the size of a checkpoint and the cost of reading one."""
    state = agreed.fold(agreed.Agreed(), proposal(1, 0))
    started = time.process_time()
    for _ in range(20):
        body = checkpoints.body(state, 2)
        checkpoints.decode(Record(2, body), agreed.Agreed)
    spent = (time.process_time() - started) / 20
    line("checkpoint of 300 rows: make and read", f"{spent * 1000:.1f} ms of CPU")


def line(name, value):
    """Print one line of the table."""
    print(f"| {name} | {value} |", flush=True)


def follower(configured):
    """Return a follower with a client of its own, as in a process of its own."""
    return Follower(configured, HttpLog(configured), agreed.fold, agreed.Agreed())


def bytes_read():
    """Return the body bytes read from the log so far."""
    return BYTES.get({})


async def polling_cost(configured):
    """Print the cost of catching up over HTTP and of polls that bring nothing."""
    log = HttpLog(configured)
    for offset in range(1, RECORDS + 1):
        await log.append(STREAM, announcement(offset).body)
    await log.end(STREAM)
    reader = follower(configured)
    before, cpu, wall = bytes_read(), time.process_time(), time.monotonic()
    await reader.catch_up(deadline_in(60))
    spent, took = time.process_time() - cpu, time.monotonic() - wall
    size = (bytes_read() - before) / RECORDS
    line(
        "catch up over HTTP, weights records",
        f"{RECORDS / took:,.0f} records/s, {spent / RECORDS * 1e6:.0f} µs of CPU "
        f"and {size:.0f} bytes a record",
    )
    before, cpu = bytes_read(), time.process_time()
    for _ in range(IDLE_POLLS):
        await reader.poll(0)
    spent = (time.process_time() - cpu) / IDLE_POLLS
    size = (bytes_read() - before) / IDLE_POLLS
    line("idle poll", f"{spent * 1000:.2f} ms of CPU, {size:.0f} body bytes")
    log.close()


async def start_cost(configured):
    """Print the time of a start from a checkpoint after all those records."""
    log = HttpLog(configured)
    writer = follower(configured)
    state = await writer.catch_up(deadline_in(60))
    decision = await propose(
        configured, log, table(), state.revision, "measure", deadline_in(30)
    )
    assert decision, decision
    await writer.catch_up(deadline_in(60))
    await log.append(STREAM, checkpoints.body(writer.state, writer.as_of))
    wall = time.monotonic()
    starting = follower(configured)
    await starting.catch_up(deadline_in(60))
    assert starting.state.revision == decision.offset
    took = time.monotonic() - wall
    line(f"start from a checkpoint, {RECORDS} records kept", f"{took * 1000:.0f} ms")
    log.close()


async def spread(configured, count):
    """Print the time from accepted to folded with that many followers polling."""
    log = HttpLog(configured)
    followers = [follower(configured) for _ in range(count)]
    seen = {}

    def watch(index):
        return lambda state: seen.setdefault((index, state.revision), time.monotonic())

    for index, one in enumerate(followers):
        one.on_change(watch(index))
    for one in followers:
        await one.catch_up(deadline_in(60))
    tasks = [asyncio.create_task(one.run()) for one in followers]
    base = followers[0].state.revision
    last, typical = [], []
    cpu, wall = time.process_time(), time.monotonic()
    for number in range(ROUNDS):
        body = proposal(0, base).body | {"id": f"spread-{count}-{number}"}
        accepted_at = time.monotonic()
        base = await log.append(STREAM, body)
        await until(
            lambda revision=base: all((n, revision) in seen for n in range(count)),
            what="all",
        )
        times = [seen[index, base] - accepted_at for index in range(count)]
        last.append(max(times))
        typical.append(statistics.median(times))
    spent, took = time.process_time() - cpu, time.monotonic() - wall
    line(
        f"append sent to folded, 300 rows, {count} followers in one process",
        f"median {statistics.median(typical) * 1000:.0f} ms, last "
        f"{statistics.median(last) * 1000:.0f} ms (worst of {ROUNDS} "
        f"{max(last) * 1000:.0f}); {spent / took:.0%} of a core",
    )
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    for one in followers:
        one._log.close()
    log.close()


async def one_reader(configured):
    """Measure one reader over HTTP."""
    await polling_cost(configured)
    await start_cost(configured)


def with_platform(job, *arguments):
    """Run ``job(settings, ...)`` against a platform stand-in of its own."""
    with Processes() as processes:
        url = processes.serve("standin", "platform").ready["url"]
        configured = settings.from_document({"platform": {"log_url": url}})
        asyncio.run(job(configured, *arguments))


def main():
    """Print the table."""
    sizes = [int(size) for size in sys.argv[1:]] or SIZES
    print("| what | measured |\n|---|---|")
    fold_rates()
    checkpoint_cost()
    with_platform(one_reader)
    for count in sizes:
        with_platform(spread, count)
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    line("peak memory of the measuring process", f"{peak:.0f} MB")


if __name__ == "__main__":
    main()
