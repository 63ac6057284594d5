"""Prints what outages of partitions cost a fleet, and when it has read what follows them.

    python -m sassafrasdoor.log.tests.partition_outages --instances 400 --reads 6000

In virtual time: the figures do not depend on the machine. A fifth of the instances follow
the steps, as entry points do; one of them appends claims. Reads are counted a second.
"""

import argparse
import asyncio
import contextlib
import itertools
from unittest import mock

from sassafrasdoor import clock
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log import partition_retry
from sassafrasdoor.log.partition_retry import Evidence, Intervals
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.sharing import (
    ReadCoordinator,
    answer_pause,
    backlog_share,
    follower_pause,
    list_retry_pause,
)
from sassafrasdoor.log.tail import Tail
from sassafrasdoor.log.tests.test_return import (
    ALL_PARTITIONS,
    LIST_INTERVALS,
    LISTS,
    PARTITION,
    SHARDS,
    Instance,
)
from sassafrasdoor.log.tests.virtual import MEGABYTE, BoundedLog, run

FOLLOWER_SHARE = 0.2
RATE = 80 * MEGABYTE  # bytes a second
RECORD_BYTES = 262_144
WARM_UP, OUTAGE, AFTER = 4.0, 5.5, 12.0  # seconds
UNOWNED_PAUSE = 0.4  # seconds between reads of a shard that an instance does not run
FLAP_PERIOD = 1.0  # seconds


def bounded_pause_only():
    """No read follows an acknowledged append."""
    return mock.patch.object(Tail, "record_append", lambda tail, end: None)


def acknowledged_appends_only():
    """Pauses grow although the lists are answered."""
    grows = {
        **partition_retry._DUE,
        Evidence.LISTS_ANSWERED: partition_retry._DUE[Evidence.NONE],
    }
    return mock.patch.object(partition_retry, "_DUE", grows)


def without_a_share():
    """The pauses do not grow with the number of followers."""
    unlimited = Intervals()
    return mock.patch(f"{__name__}.Intervals", lambda *arguments: unlimited)


WAYS = {
    "both": contextlib.nullcontext,
    "bounded pause only": bounded_pause_only,
    "acknowledged appends only": acknowledged_appends_only,
    "both, no share of the reads": without_a_share,
}


class Fleet:
    """Instances that follow the lists, some of which follow the steps."""

    def __init__(self, instances, reads_per_second):
        self.log = BoundedLog(RATE, reads_per_second)
        followers = max(2, int(instances * FOLLOWER_SHARE))
        share = backlog_share(instances, RATE, RECORD_BYTES)
        list_pause = list_retry_pause(instances, reads_per_second)
        self.pause = follower_pause(followers, SHARDS, reads_per_second)
        intervals = Intervals(self.pause, answer_pause(followers, RATE, RECORD_BYTES))

        def coordinator():
            return ReadCoordinator(lambda: share, lambda: list_pause, lambda: intervals)

        self.followers = [
            Instance(self.log, number == 0, coordinator())
            for number in range(followers)
        ]
        for instance in self.followers:
            for tail in instance.steps:
                tail._pause = lambda: max(self.pause, UNOWNED_PAUSE)
        self.others = [
            Instance(self.log, False, coordinator())
            for _ in range(instances - followers)
        ]

    def start(self):
        """Start all tails; return the tasks."""
        jobs = [tail.run() for instance in self.others for tail in instance.lists]
        tasks = [asyncio.ensure_future(job) for job in jobs]
        return tasks + [task for one in self.followers for task in one.start()]


async def write_lists(log):
    """Change the lists periodically."""

    async def write(topic, interval):
        for number in itertools.count():
            record = keyed_record(f"k{number % 4}", b"%f" % clock.now())
            await log.storage.append(topic, 0, [record], deadline_in(1))
            await asyncio.sleep(interval)

    await asyncio.gather(*map(write, LISTS, LIST_INTERVALS))


async def fail(log, kind, scope):
    """Let partitions fail for the time of the outage."""
    partitions = log.silent_parts if kind == "silent" else log.refused_parts
    if kind != "flapping":
        partitions |= scope
        await asyncio.sleep(OUTAGE)
    else:
        for _ in range(int(OUTAGE / FLAP_PERIOD)):
            partitions |= scope
            await asyncio.sleep(FLAP_PERIOD / 2)
            partitions.clear()
            await asyncio.sleep(FLAP_PERIOD / 2)
    partitions.clear()


async def measure(instances, reads_per_second, kind, scope):
    """Return reads a second before and during the outage, and delays after it."""
    fleet = Fleet(instances, reads_per_second)
    tasks = fleet.start() + [asyncio.ensure_future(write_lists(fleet.log))]
    await asyncio.sleep(WARM_UP)
    reads = fleet.log.sent_reads
    await asyncio.sleep(WARM_UP)
    before = (fleet.log.sent_reads - reads) / WARM_UP
    reads = fleet.log.sent_reads
    await fail(fleet.log, kind, scope)
    during = (fleet.log.sent_reads - reads) / OUTAGE
    returned_at = clock.now()
    await fleet.log.storage.append(*PARTITION, [b"end"], deadline_in(1))
    await asyncio.sleep(AFTER)
    for task in tasks:
        task.cancel()
    delays = [
        instance.read_at.get(b"end", returned_at + AFTER) - returned_at
        for instance in fleet.followers
    ]
    return before, during, delays[0], max(delays)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--instances", type=int, default=400)
    parser.add_argument("--reads", type=int, default=6000)
    parser.add_argument("--way", choices=WAYS, default="both")
    options = parser.parse_args()
    print("| outage | reads before | during | runner, s | others, s |")
    for kind in ("refused", "silent", "flapping"):
        for name, scope in (("one", {PARTITION}), ("all", ALL_PARTITIONS)):
            with WAYS[options.way]():
                row = run(
                    lambda loop, kind=kind, scope=scope: measure(
                        options.instances, options.reads, kind, scope
                    )
                )
            before, during, runner, others = row
            print(
                f"| {name} {kind} | {before:.0f} | {during:.0f} | {runner:.2f} |"
                f" {others:.2f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
