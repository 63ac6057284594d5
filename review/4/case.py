"""Case 4: see claim.txt. Exits with 1 if the rule was broken, 0 if not, 2 if not run."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SHORT_STREAMS = 16
SHORT_EVENTS, LONG_EVENTS, PAUSE_S = 8, 40, 0.1
# Seconds after the SIGTERM at which the long streams are sent, by callers that keep the
# directory's answer (TtlS 2) for up to three times as long.
SENT_AFTER_S = (3.6, 4.0, 4.4)
DEADLINE_MS = 12000
CONFIGURATION = {
    "Version": 7,
    "Routes": [
        {
            "Name": "r-o",
            "Host": lab.HOST,
            lab.WIRE.PREFIX: "/dialogue/",
            "Kind": "streaming",
            lab.WIRE.TIMEOUT: 12000,
            lab.WIRE.TARGET: 400,
            "Priority": 1,
            "Service": "engines",
            lab.WIRE.ATTEMPTS: 3,
        }
    ],
    "Services": [{"Name": "engines", "Engine": {"Models": []}}],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 33554432,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


async def send_later(seconds, node, request_id, record):
    await asyncio.sleep(seconds)
    return await lab.read_stream(
        node.front, "/dialogue/1", request_id, DEADLINE_MS, record
    )


async def main(folder):
    record = lab.Record(os.environ.get("RECORD", HERE / "record.txt"))
    store, expiry = lab.new_store(300)
    client = lab.Client(record)
    replicas = [lab.Replica(record, f"i-{at}", "engines") for at in range(3)]
    nodes = [
        lab.Node(folder, name, f"zone-{name}", store.address, True) for name in "ab"
    ]
    long_ids = [f"long-{number}" for number in range(len(SENT_AFTER_S))]
    for replica in replicas:
        replica.events, replica.pause = SHORT_EVENTS, PAUSE_S
        replica.lengths = dict.fromkeys(long_ids, LONG_EVENTS)
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
        await asyncio.sleep(3.0)
        node = nodes[0]
        shorts = [
            await lab.read_stream(
                node.front, "/dialogue/1", f"short-{number}", DEADLINE_MS, record
            )
            for number in range(SHORT_STREAMS)
        ]
        if not all(stream.is_complete for stream in shorts):
            return 2
        if TROUBLE:
            node.signal(signal.SIGTERM)
            record.line("SIGTERM of a")
        results = await asyncio.gather(
            *(
                send_later(seconds, node, request_id, record)
                for seconds, request_id in zip(SENT_AFTER_S, long_ids, strict=True)
            )
        )
        run_ids = {request_id for row in replicas for _, request_id in row.runs}
        lost = [
            request_id
            for request_id, result in zip(long_ids, results, strict=True)
            if request_id in run_ids and not result.is_complete
        ]
        for request_id in lost:
            record.line(f"LOST broken: {request_id} was passed on and cut")
        return 1 if lost else 0
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
