"""A planned stop cuts streams that were begun after it."""

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
PREFIX = "/lohu930/"
GRACE = 8.0  # seconds, GraceS
EXCUSED_AFTER = 3.0  # seconds after the SIGTERM; requests sent until then may be cut
SENT_AFTER = (3.5, 4.0, 4.5, 5.0, 5.5)  # seconds after the SIGTERM
EVENTS, PAUSE = 40, 0.11  # a stream takes 4.4 s, below the sheet's pauses of 120 ms
DEADLINE_MS = 10000
ROUTE = harness.route("stream_route", "r-x73d3zj", PREFIX, ENGINES)


def build():
    """Return the deployment: three instances before three engines."""
    case = harness.Case(FOLDER, more=["Bounds.RequireFencing=true"])
    case.store.configure(harness.configuration(3, [ROUTE], ENGINES, [MODEL]))
    for number in range(3):
        replica = case.add_replica(f"i-{number}", ENGINES, 12, [MODEL])
        replica.events, replica.pause = EVENTS, PAUSE
    return case


async def resolve(case, instance):
    """Return the addresses and the TTL that a directory states."""
    path = f"{harness.PATHS['resolve']}?Name={harness.HOST}&Region=r-a&Zone=z-a"
    status, body, _ = await case.fetch(instance.addresses["Directory"], path)
    if status != 200:
        raise harness.CannotRun(f"the directory answered {status}")
    document = json.loads(body)
    return document["Addresses"], min(document["TtlS"], 5)


async def call(case, instance, request_id, stopped_at):
    """Send a request; return its fields."""
    sent_after = harness.time.monotonic() - stopped_at
    case.record.write("client.send", id=request_id, after=round(sent_after, 3))
    headers = {
        harness.ID: request_id,
        harness.DEADLINE: str(DEADLINE_MS),
        **harness.token_headers(MODEL, f"1:255,{request_id}:16"),
    }
    status, body, _ = await case.fetch(
        instance.front, PREFIX + "2f", "POST", request_id, timeout=11, **headers
    )
    ended_after = harness.time.monotonic() - stopped_at
    case.record.write(
        "client.answer",
        id=request_id,
        status=status,
        after=round(ended_after, 3),
        events=body.count(b"\n\n"),
    )
    return request_id, sent_after, status, ended_after


async def play(case):
    """Stop an instance as planned; callers that cached its address go on to use it."""
    for instance in case.instances:
        case.start(instance)
    await case.wait_ready()
    await asyncio.sleep(4.0)
    stopping, asked = case.instances[0], case.instances[1]
    addresses, ttl = await resolve(case, asked)
    if stopping.front not in addresses:
        raise harness.CannotRun("the directory does not list the instance")
    stopped_at = harness.time.monotonic()
    case.record.write("directory.answer", addresses=addresses, ttl=ttl)
    if case.trouble:
        case.record.write("process.term", instance=stopping.name)
        stopping.signal(signal.SIGTERM)
    calls = []
    for seconds, request_id in zip(
        SENT_AFTER, harness.new_ids(len(SENT_AFTER)), strict=True
    ):
        # Some callers keep a directory's answer three times as long as it says.
        if seconds >= 3 * ttl:
            raise harness.CannotRun(f"the answer is valid for {ttl} s only")
        await asyncio.sleep(max(0, stopped_at + seconds - harness.time.monotonic()))
        calls.append(
            asyncio.ensure_future(call(case, stopping, request_id, stopped_at))
        )
    answers = await asyncio.gather(*calls)
    # The replicas notice the end of the connections.
    await asyncio.sleep(2 * PAUSE)
    runs = {run["id"]: run for replica in case.replicas for run in replica.runs}
    return [
        f"request {request_id}, sent {sent:.2f} s after the SIGTERM, ran at "
        f"{runs[request_id]['replica']}; its connection ended without an answer "
        f"{ended:.2f} s after the SIGTERM"
        for request_id, sent, status, ended in answers
        if status == harness.NO_ANSWER
        and request_id in runs
        and sent > EXCUSED_AFTER
        and ended < sent + DEADLINE_MS / 1000
        and ended <= GRACE + 1.0
    ]


if __name__ == "__main__":
    harness.main(build, play)
