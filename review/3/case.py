"""A request that many callers send is refused for good after its replicas have crashed."""

import asyncio
import pathlib
import sys
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
sys.path.insert(0, str(FOLDER.parent.parent))

import harness  # noqa: E402

PLAIN, PREFIX = "wuno96b", "/lohu930/"
PATH, BODY = f"{PREFIX}2f", b"free spaces on level 3"
REPLICAS, SLOTS = 3, 6
WORK = 0.0375  # seconds that a replica takes
CALLERS, ROUND = 9, 3.0  # sign controllers, seconds between their questions: 3 a second
DEADLINE_MS = 800
CALM_ROUNDS = 5  # before the crash
SPREAD = 0.005  # seconds between the questions of two callers of an instance
CRASHED_AFTER = 0.025  # seconds after the beginning of a round
REPLICAS_AWAY = 4.5  # seconds
CLOSING_AFTER = 2.0  # seconds from the crash to the final fault
MACHINES_AWAY = 1.2  # seconds
RECOVERY = 12.0  # seconds, RecoveryS
JUDGED_ROUNDS = 8
OWED_SHARE = 0.25  # of RECOVER
ROUTE = {
    "Name": "r-x73d3zj",
    "Host": harness.HOST,
    "PathPrefix": PREFIX,
    "Kind": "safe",
    "TimeoutMs": 800,
    "TargetLatencyMs": 192,
    "Priority": 2,
    "Service": PLAIN,
    "MaxAttempts": 2,
}


def build():
    """Return the deployment: three instances before three plain replicas."""
    case = harness.Case(FOLDER, more=["Bounds.RequireFencing=true"])
    configure(case, 3)
    for number in range(REPLICAS):
        case.add_replica(f"i-{number}", PLAIN, SLOTS).pause = WORK
    return case


def configure(case, version):
    """Write a version of the configuration."""
    document = harness.configuration(version, [ROUTE], PLAIN, [])
    document["Services"][0].pop("Engine")
    case.store.configure(document)


async def ask(case, number, answers):
    """Ask what all ask, at two instances at most; note whether it was answered."""
    await asyncio.sleep(SPREAD * (number // 3))
    sent_at = harness.time.monotonic()
    until = sent_at + DEADLINE_MS / 1000
    statuses = []
    for instance in (case.instances[number % 3], case.instances[(number + 1) % 3]):
        left = until - harness.time.monotonic()
        if left <= 0:
            break
        (request_id,) = harness.new_ids(1)
        headers = {harness.ID: request_id, harness.DEADLINE: str(int(left * 1000) + 1)}
        status, body, _ = await case.fetch(
            instance.front, PATH, "POST", BODY, timeout=left, **headers
        )
        case.record.write(
            "client.answer", id=request_id, at=instance.name, status=status
        )
        statuses.append(status)
        if status == 200 and body == b"answer to " + request_id.encode():
            break
    answers.append((sent_at, statuses[-1] == 200, statuses[-1]))


def start_round(case, answers):
    """Let all callers ask at nearly the same moment."""
    for number in range(CALLERS):
        case.spawn(ask(case, number, answers))


async def rounds(case, count, answers):
    """Play some rounds, and wait for the answers of the last."""
    for _ in range(count):
        start_round(case, answers)
        await asyncio.sleep(ROUND)


async def crash_replicas(case):
    """Crash all replicas of the service; they come back as new incarnations."""
    for replica in case.replicas:
        case.record.write("replica.crash", replica=replica.identity)
        replica.crash()
    await asyncio.sleep(REPLICAS_AWAY)
    for number, replica in enumerate(case.replicas, REPLICAS):
        replica.start_again(f"i-{number}")
        case.record.write("replica.back", replica=replica.identity)


async def play(case):
    """Crash all replicas while they run the request, then the final fault."""
    for instance in case.instances:
        case.start(instance)
    await case.wait_ready()
    await asyncio.sleep(3.0)
    answers = []
    await rounds(case, CALM_ROUNDS, answers)
    start_round(case, answers)
    await asyncio.sleep(CRASHED_AFTER)
    if case.trouble:
        case.spawn(crash_replicas(case))
    await asyncio.sleep(CLOSING_AFTER)
    configure(case, 5)
    fault_at = harness.time.monotonic()
    for instance in case.instances:
        case.kill(instance)
    await asyncio.sleep(MACHINES_AWAY)
    for instance in case.instances:
        case.start(instance)
    await case.wait_ready()
    back_at = harness.time.monotonic()
    while harness.time.monotonic() < back_at + RECOVERY:
        await rounds(case, 1, answers)
    judged_at = harness.time.monotonic()
    await rounds(case, JUDGED_ROUNDS, answers)
    before = [served for sent_at, served, _ in answers if sent_at < fault_at]
    later = [served for sent_at, served, _ in answers if sent_at >= judged_at]
    statuses = Counter(status for sent_at, _, status in answers if sent_at >= judged_at)
    case.record.write(
        "served",
        before=f"{sum(before)} of {len(before)}",
        later=f"{sum(later)} of {len(later)}",
        later_statuses=dict(statuses),
    )
    if sum(before) < OWED_SHARE * len(before):
        raise harness.CannotRun("too few were served before the final fault")
    if sum(later) >= OWED_SHARE * len(later):
        return []
    return [
        f"later than {RECOVERY:g} s after the machines were back {sum(later)} of "
        f"{len(later)} requests were served, before {sum(before)} of {len(before)}; "
        f"answers: {dict(statuses)}"
    ]


if __name__ == "__main__":
    harness.main(build, play)
