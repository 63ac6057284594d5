"""Case 5: see claim.txt. Exits with 1 if the rule was broken, 0 if not, 2 if not run."""

import asyncio
import base64
import json
import os
import pathlib
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

from sassafrasdoor.steps.durable.service import TOPIC, shard_of  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MODEL = "model-a"
ITEMS = 300
SLOTS, EVENTS, PAUSE_S = 6, 5, 0.1  # two replicas run 24 items a second
OUTAGES = 8
DOWN_S = 5.5
STABLE_WINDOW_S, CANCEL_S = 3.0, 3.0
WATCHED_S = 4.6  # after the end of a job
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-a",
            "Host": lab.HOST,
            lab.WIRE.PREFIX: f"/{MODEL}/",
            "Kind": "rollout",
            lab.WIRE.TIMEOUT: 10000,
            lab.WIRE.TARGET: 400,
            "Priority": 1,
            "Service": "engines",
            lab.WIRE.ATTEMPTS: 3,
            lab.WIRE.RETENTION: 40.0,
            lab.WIRE.DUE: 7500,
            "Resumable": True,
            "Sticky": True,
        }
    ],
    "Services": [{"Name": "engines", "Engine": {"Models": [{"Name": MODEL}]}}],
}


def job_document(job):
    items = [
        {
            "Id": f"{job}.{number}",
            "Path": f"/{MODEL}/3/{number}",
            "Headers": {
                lab.WIRE.MODEL: MODEL,
                lab.WIRE.TOKENS: "271,400",
            },
            "Body": base64.b64encode(b"prompt").decode(),
            "Tokens": 671,
            "Group": f"g{number // 4}",
        }
        for number in range(ITEMS)
    ]
    return json.dumps(
        {"Step": 1, "Model": MODEL, "MinVersion": 1, "Desired": 75, "Items": items}
    )


async def end_job(client, nodes, job, record):
    """End a job as a trainer does, at one node after the other; return when that was
    acknowledged."""
    for attempt in range(200):
        node = nodes[attempt % len(nodes)]
        status, _ = await client.call(
            node.front, f"{lab.WIRE.JOBS}{job}", "DELETE", timeout=2
        )
        if status == 200:
            return record.seconds()
        await asyncio.sleep(0.1)
    return None


async def play_outage(number, client, nodes, store, replicas, record):
    """Return the number of items that reached a replica too late, None if not run."""
    job = f"job-{number}"
    status, _ = await client.call(
        nodes[number % len(nodes)].front,
        f"/{MODEL}/{job}",
        "POST",
        job_document(job),
        **{lab.WIRE.REQUEST_ID: job},
    )
    if status != 202:
        return None
    await asyncio.sleep(1.0)
    partition = (TOPIC, shard_of(MODEL))
    if TROUBLE:
        store.log.refused.add(partition)
        record.line(f"the store answers 503 for partition {partition}")
    await asyncio.sleep(DOWN_S)
    store.log.refused.clear()
    back_at = record.seconds()
    record.line("the store answers again")
    ended_at = await end_job(client, nodes, job, record)
    if ended_at is None:
        return None
    record.line(f"the end of {job} is acknowledged")
    await asyncio.sleep(WATCHED_S)
    allowed_until = max(ended_at + CANCEL_S, back_at + STABLE_WINDOW_S)
    late = [
        (at, item)
        for row in replicas
        for at, item in row.runs
        if item.startswith(f"{job}.") and at > allowed_until
    ]
    if late:
        last_at, item = max(late)
        record.line(
            f"UNASKED broken: {len(late)} items of {job} reached a replica later than"
            f" {CANCEL_S:g} s after its end, the last ({item}) at {last_at}, ended at"
            f" {ended_at}, the store was back at {back_at}"
        )
    return len(late)


async def main(folder):
    record = lab.Record(os.environ.get("RECORD", HERE / "record.txt"))
    store, expiry = lab.new_store(300)
    client = lab.Client(record)
    replicas = [
        lab.Replica(record, f"i-{at}", "engines", [MODEL], SLOTS) for at in range(2)
    ]
    for replica in replicas:
        replica.events, replica.pause = EVENTS, PAUSE_S
    nodes = [
        lab.Node(folder, name, f"zone-{name}", store.address, True) for name in "abc"
    ]
    tasks = [expiry, *(asyncio.ensure_future(row.beat(store)) for row in replicas)]
    try:
        await store.configure(CONFIGURATION)
        for node in nodes:
            node.configure(nodes, True)
            node.start()
        for node in nodes:
            if not await lab.wait_until(lambda node=node: client.is_ready(node), 30):
                return 2
        record.line("all nodes are ready")
        await asyncio.sleep(3.5)
        broken = 0
        for number in range(OUTAGES):
            late = await play_outage(number, client, nodes, store, replicas, record)
            if late is None:
                return 2
            broken += late > 0
            if broken:
                break
            await asyncio.sleep(1.0)
        record.line(f"{broken} of {number + 1} jobs with items that came too late")
        return 1 if broken else 0
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
