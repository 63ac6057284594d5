"""Case 4: see claim.txt. Exits with 1 if the rule was broken, 0 if not, 2 if not run."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

from sassafrasdoor.platform.process import SHARD_COUNT, TOPIC  # noqa: E402
from sassafrasdoor.steps.durable.records import Claim, encode  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The settings' own; another value is for trials only.
RETENTION_S = float(os.environ.get("RETENTION_S", "300"))
# Seconds for which the system had run before the script begins; 0: it starts anew.
RAN_FOR_S = float(os.environ.get("RAN_FOR_S", "298"))
CLAIM_INTERVAL_S = 0.5
KILL_AT_S = float(os.environ.get("KILL_AT_S", "14"))
MODELS = ["model-a", "model-b"]
VERSION_INTERVAL_S = 4.0
VERSIONS = 6
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": f"r-{model}",
            "Host": lab.HOST,
            "PathPrefix": f"/{model}/",
            "Kind": "rollout",
            "TimeoutMs": 10000,
            "TargetLatencyMs": 400,
            "Priority": 1,
            "Service": "engines",
            "MaxAttempts": 3,
            "RetentionS": 40.0,
            "RunDeadlineMs": 7500,
            "Resumable": True,
            "Sticky": True,
        }
        for model in MODELS
    ],
    "Services": [
        {"Name": "engines", "Engine": {"Models": [{"Name": name} for name in MODELS]}}
    ],
}


def write_history(log, front):
    """Append what the holder of the lease has written: a claim each half second.

    All processes ended right before the script begins, and are started by it.
    """
    partition = log.partition(TOPIC, SHARD_COUNT)
    replaces, moment = -1, time.monotonic() - RAN_FOR_S
    while moment < time.monotonic() - CLAIM_INTERVAL_S:
        claim = Claim(f"{front}/00000000", replaces, False)
        replaces = partition.add([encode(claim)], False, moment)
        moment += CLAIM_INTERVAL_S
    return partition.end


def broken(replicas, record):
    """Return the orders with a lower fencing token after a higher one, as texts."""
    texts = []
    for replica in replicas:
        highest = None
        for order in replica.orders:
            if highest is not None and order.token < highest.token:
                texts.append(
                    f"{replica.identity}: token {order.token} of {order.holder} at"
                    f" {order.at} after token {highest.token} of {highest.holder}"
                    f" at {highest.at}"
                )
            if highest is None or order.token > highest.token:
                highest = order
    for text in texts:
        record.line(f"ONE broken at {text}")
    return texts


async def main(folder):
    record = lab.Record(os.environ.get("RECORD", HERE / "record.txt"))
    store, expiry = lab.new_store(RETENTION_S)
    client = lab.Client(record)
    replicas = [lab.Replica(record, f"i-{at}", "engines", MODELS) for at in range(4)]
    nodes = [
        lab.Node(folder, name, f"zone-{name}", store.address, False, int(RETENTION_S))
        for name in "abc"
    ]
    tasks = [expiry, *(asyncio.ensure_future(row.beat(store)) for row in replicas)]
    try:
        await store.configure(CONFIGURATION)
        count = write_history(store.log, nodes[0].front) if RAN_FOR_S else 0
        record.line(f"the store holds {count} claims of the last {RAN_FOR_S:g} s")
        for node in nodes:
            node.configure(nodes, not RAN_FOR_S)
            node.start()
        for node in nodes:
            if not await lab.wait_until(lambda node=node: client.is_ready(node), 30):
                return 2
        record.line("all nodes are ready")
        await asyncio.sleep(max(0.0, KILL_AT_S - record.seconds()))
        if TROUBLE:
            record.line(f"SIGKILL of {nodes[2].name}")
            nodes[2].kill()
            await asyncio.sleep(0.5)
            nodes[2].start()
            record.line(f"{nodes[2].name} is started again")
        await asyncio.sleep(12.0)
        for version in range(2, 2 + VERSIONS):
            for model in MODELS:
                document = {"Model": model, "Version": version}
                await store.put("keyed.op", f"version/{model}", document)
                record.line(f"trainer names version {version} of {model}")
            await asyncio.sleep(VERSION_INTERVAL_S)
        for node in nodes:
            for line in node.log_lines("shard.gained"):
                record.line(f"log of {node.name}: shard gained {line}")
        orders = [order for replica in replicas for order in replica.orders]
        holders = sorted({order.holder for order in orders})
        record.line(f"{len(orders)} orders by {holders}")
        if not orders:
            return 2
        return 1 if broken(replicas, record) else 0
    finally:
        for node in nodes:
            node.kill()
        for task in tasks:
            task.cancel()
        for replica in replicas:
            replica.stop()
        store.stop()
        client.close()
        record.line("all processes ended")
        record.close()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        sys.exit(asyncio.run(main(temporary)))
