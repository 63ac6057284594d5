"""Measure what one control process costs among generated members.

Starts the platform stand-in, members in two helper processes, and one real
control process with an entry's link; reads processor time and memory of that one
process from /proc, and its bytes from a packet socket on the loopback device (IP
headers included; needs the right to open one). Prints one JSON line a size.

    python samples/measure_membership.py --sizes 5,10,20 --seconds 30
"""

import asyncio
import json
import os
import pathlib
import socket
import subprocess
import sys
import threading

import capnp
import typer
from membership_fakes import ZONES

from sassafrasdoor import rendezvous, settings as settings_module
from sassafrasdoor.admission.grants import Report, Usage
from sassafrasdoor.clock import now
from sassafrasdoor.cluster import PEER_KEY, Cluster
from sassafrasdoor.control import messages
from sassafrasdoor.control.link import ControlLink
from sassafrasdoor.events import EVENTS
from sassafrasdoor.peers.link import PeerLink
from sassafrasdoor.security import key_hash
from sassafrasdoor.support import ROOT, Process, until

HELPERS = 3
SETTLE = 8.0
# At 400 instances: 600 backend servers, 300 rows, one instance replaced each 24 s
# (89 a day at 10), leases renewed each 2 s, weights announced each 60 s.
BACKENDS_FOR_EACH = 1.5
ROWS_FOR_EACH = 0.75
REPLACED_EACH = 24.0 * 400
LEASES = 2
RENEWAL = 2.0
ANNOUNCED_EACH = 60.0
INCOMING = 0
UDP, TCP = 17, 6
SO_RCVBUFFORCE = 33


class Script(Process):
    """A sample as a child process, with its ready line read."""

    def __init__(self, path, *arguments):
        popen = subprocess.Popen

        def start(command, **options):
            return popen([sys.executable, path, *command[3:]], **options)

        subprocess.Popen = start
        try:
            super().__init__(path, *arguments)
        finally:
            subprocess.Popen = popen


class Bytes:
    """Counts the bytes of one process on the loopback device, by protocol.

    The ports of its sockets are read anew several times a second. Calls to the
    helpers' control ports are counted too: short connections would be missed.
    """

    def __init__(self, pid, also):
        self._pid = pid
        self._also = set(also)
        self._ports = set()
        self._stop = threading.Event()
        self.sent = {UDP: 0, TCP: 0}
        self.received = {UDP: 0, TCP: 0}
        self._socket = socket.socket(
            socket.AF_PACKET, socket.SOCK_DGRAM, socket.htons(0x0800)
        )
        self._socket.setsockopt(socket.SOL_SOCKET, SO_RCVBUFFORCE, 1 << 24)
        self._socket.bind(("lo", 0))
        self._socket.settimeout(0.1)
        self._threads = [
            threading.Thread(target=job, daemon=True)
            for job in (self._watch_ports, self._count)
        ]
        for thread in self._threads:
            thread.start()

    def _watch_ports(self):
        while not self._stop.wait(0.2):
            self._ports = ports_of(self._pid)

    def _count(self):
        packet = bytearray(64)
        while not self._stop.is_set():
            try:
                size, source = self._socket.recvfrom_into(packet, 0, socket.MSG_TRUNC)
            except TimeoutError:
                continue
            if source[2] == INCOMING and packet[9] in self.sent:
                self._add(packet, size)

    def _add(self, packet, size):
        head = (packet[0] & 15) * 4
        near = (packet[9], int.from_bytes(packet[head : head + 2], "big"))
        far = (packet[9], int.from_bytes(packet[head + 2 : head + 4], "big"))
        if near in self._ports or far in self._also:
            self.sent[packet[9]] += size
        if far in self._ports or near in self._also:
            self.received[packet[9]] += size

    def close(self):
        """Stop counting; return how many packets were missed."""
        self._stop.set()
        for thread in self._threads:
            thread.join()
        statistics = self._socket.getsockopt(263, 6, 8)
        self._socket.close()
        return int.from_bytes(statistics[4:8], sys.byteorder)


def ports_of(pid):
    """Return ``(protocol, port)`` of the sockets of a process."""
    inodes = set()
    for entry in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        try:
            inodes.add(os.readlink(entry).removeprefix("socket:[").rstrip("]"))
        except OSError:
            continue
    ports = set()
    for protocol, name in ((TCP, "tcp"), (UDP, "udp")):
        for line in pathlib.Path(f"/proc/net/{name}").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[9] in inodes:
                ports.add((protocol, int(fields[1].rpartition(":")[2], 16)))
    return ports


def processor_seconds(pid):
    """Return the processor time that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    """Return resident and peak resident memory."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text().splitlines()
    fields = dict(line.split(":", 1) for line in lines)
    return [int(fields[name].split()[0]) / 1024 for name in ("VmRSS", "VmHWM")]


def name_of_measured(members, poller):
    """Return a name that is (or is not) among its zone's pollers."""
    zone = [
        f"fake{h}-{n:04}" for h in range(HELPERS) for n in range(members // HELPERS)
    ]
    zone = [name for name in zone if int(name[-4:]) % len(ZONES) == 0]
    for number in range(1000):
        name = f"measured-{number}"
        if (name in rendezvous.chosen([*zone, name], "poller", 3)) == poller:
            return name
    return "measured-0"


def table_of(rows):
    """Return a table of that many rows."""
    return {
        "rows": [
            {
                "name": f"row-{number}",
                "kind": "trainer" if number % 2 else "application",
                "service": "assistant",
                "model": "assistant-model",
                "key_hashes": [key_hash(f"key-{number}")],
            }
            for number in range(rows)
        ]
    }


async def load(cluster):
    """Renew leases and announce weights as a live system does."""
    replaced, version = dict.fromkeys(range(LEASES), 0), 1
    announce_at = now()
    while True:
        for lease in replaced:
            body = {"kind": "lease", "name": f"lease-{lease}", "holder": "someone"}
            claim = {**body, "replaces": replaced[lease], "id": f"{lease}-{now()}"}
            replaced[lease] = await cluster.append(claim)
        if now() >= announce_at:
            version += 1
            announce_at += ANNOUNCED_EACH
            await cluster.announce("assistant-model", version)
        await asyncio.sleep(RENEWAL)


async def prepare(cluster, members):
    """Fill the platform: table, weights and backend servers."""
    cluster.start_platform()
    await cluster.propose(table_of(max(8, int(members * ROWS_FOR_EACH))))
    address = cluster.platform_url.removeprefix("http://")
    for number in range(int(members * BACKENDS_FOR_EACH)):
        engine = {
            "kind": "engine",
            "service": "assistant",
            "address": f"127.0.0.1:{20000 + number}",
            "availability_zone": ZONES[number % 3],
            "region": "region-1",
            "capacity": 8,
            "checks_fencing": True,
            "models": ["assistant-model"],
            "state": "alive",
        }
        path = f"/instances/engine-{number}"
        await cluster.call("PUT", address, path, document=engine)


def settings_of(cluster, name, seeds, values):
    """Write the settings file of one process; defaults but for the addresses."""
    document = {
        "instance": {"name": name, "availability_zone": ZONES[0]},
        "platform": {
            "log_url": cluster.platform_url,
            "instances_url": cluster.platform_url,
        },
        "membership": {"seeds": seeds, "peer_keys": [PEER_KEY], **values},
    }
    return cluster.processes.write_json(f"{name}.json", document)


def start_fakes(cluster, members, values):
    """Start the helper processes, and have their members know each other."""
    helpers = []
    named = pathlib.Path(cluster.processes.write_json("unnamed.json", []))
    named = named.with_name("members.json")
    for number in range(HELPERS):
        count = (members - 1 + number) // HELPERS
        path = settings_of(cluster, f"helper{number}", [], values)
        arguments = ["--settings", path, "--prefix", f"fake{number}"]
        churn = REPLACED_EACH / members * HELPERS
        arguments += ["--count", str(max(1, count)), "--churn", str(churn)]
        arguments += ["--pollers", str(len(ZONES)), "--members", str(named)]
        helper = Script(str(ROOT / "samples" / "membership_fakes.py"), *arguments)
        cluster.processes.all.append(helper)
        helper.wait_ready()
        helpers.append(helper)
    members = sum((helper.ready["members"] for helper in helpers), [])
    cluster.processes.write_json("members.part", members)
    named.with_name("members.part").rename(named)
    return helpers


async def measure(members, seconds, poller, values):
    """Return the figures of one control process among ``members``."""
    async with Cluster() as cluster:
        await prepare(cluster, members)
        helpers = await asyncio.to_thread(start_fakes, cluster, members, values)
        renewing = asyncio.create_task(load(cluster))
        name = name_of_measured(members, poller)
        seeds = [helper.ready["gossip"] for helper in helpers]
        path = settings_of(cluster, name, seeds, values)
        serve = cluster.processes.serve
        control = await asyncio.to_thread(serve, "control", "--settings", path)
        options = settings_module.load(path)
        link = ControlLink(options, control.ready["control"])
        following = asyncio.create_task(link.run())
        link.set_addresses("127.0.0.1:9", "127.0.0.1:9")
        await until(lambda: len(link.view.members) >= members - 2, 180, "all members")
        await until(lambda: link.view.table, 60, "the table")
        await asyncio.sleep(SETTLE)
        figures = await observe(control.pid, helpers, link, seconds)
        renewing.cancel()
        following.cancel()
        await asyncio.gather(renewing, following, return_exceptions=True)
        return {"members": members, "poller": poller, **figures}


async def observe(pid, helpers, link, seconds):
    """Return the figures of one process over a time."""
    also = [(TCP, int(h.ready["control"].rpartition(":")[2])) for h in helpers]
    counted = Bytes(pid, also)
    await asyncio.sleep(0.5)
    before = processor_seconds(pid)
    sent, received = dict(counted.sent), dict(counted.received)
    helper_before = sum(processor_seconds(helper.pid) for helper in helpers)
    begin, ages, seen = now(), [], []
    while now() < begin + seconds:
        await asyncio.sleep(0.5)
        ages.append(link.view.age)
        seen.append(len(link.view.members))
    took = now() - begin
    used = processor_seconds(pid) - before
    helpers_used = sum(processor_seconds(h.pid) for h in helpers) - helper_before
    rates = {}
    for protocol, label in ((UDP, "udp"), (TCP, "tcp")):
        rates[f"{label}_sent"] = (counted.sent[protocol] - sent[protocol]) / took
        rates[f"{label}_received"] = (
            counted.received[protocol] - received[protocol]
        ) / took
    resident, peak = memory_mb(pid)
    return {
        "seconds": round(took, 1),
        "core_percent": round(100 * used / took, 2),
        "resident_mb": round(resident, 1),
        "peak_mb": round(peak, 1),
        **{label: round(rate) for label, rate in rates.items()},
        "bytes_per_second": round(sum(rates.values())),
        "oldest_confirmation": round(max(ages), 1),
        "members_seen": [min(seen), max(seen)],
        "packets_missed": counted.close(),
        "helpers_core_percent": round(100 * helpers_used / took),
    }


async def measure_holder(members, seconds, values):
    """Return the figures of one that holds the quota, by so many reporters."""
    async with Cluster() as cluster:
        await prepare(cluster, members)
        path = settings_of(cluster, "measured", [], values)
        serve = cluster.processes.serve
        control = await asyncio.to_thread(serve, "control", "--settings", path)
        options = settings_module.load(path)
        link = ControlLink(options, control.ready["control"])
        tasks = [asyncio.create_task(link.run())]
        await until(lambda: link.view.table, 60, "the table")
        await asyncio.sleep(SETTLE)
        granted = set()
        for number in range(members):
            job = report_forever(options, control.ready["control"], number, granted)
            tasks.append(asyncio.create_task(job))
        await until(lambda: len(granted) == members, 60, "grants for all")
        figures = await observe(control.pid, [], link, seconds)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return {"holder_of_quota_for": members, **figures}


async def report_forever(options, address, number, granted):
    """Report as one instance, three times in the life of its grants."""
    link = PeerLink(options, address, messages.SCHEMA.Control)
    rows = {f"row-{2 * number % 8 + one}": Usage(wanted=3, in_use=2) for one in (0, 1)}
    report = Report(f"fake-{number}", "life", 0, rows)
    while True:
        if not link.connected:
            await link.open()
        answer = await link.call(
            "report",
            service="assistant",
            report=messages.report_message(report),
            stamp=EVENTS.clock.stamp(),
        )
        pause = 1.0
        if answer and answer.granted:
            granted.add(number)
            report.number = answer.grants.number
            pause = max(pause, answer.grants.remainingMs / 3000)
        await asyncio.sleep(pause)


async def _run(sizes, seconds, poller, holder, values):
    async with capnp.kj_loop():
        for members in sizes:
            if holder:
                figures = await measure_holder(members, seconds, values)
            else:
                figures = await measure(members, seconds, poller, values)
            print(json.dumps(figures), flush=True)


def main(
    sizes: str = typer.Option("5,10,20,40,80,200,400"),
    seconds: float = typer.Option(30.0),
    poller: bool = typer.Option(False, help="Measure one that reads the log itself."),
    holder: bool = typer.Option(False, help="Measure the holder of a quota instead."),
    membership: str = typer.Option("{}", help="JSON over the settings' section."),
):
    """Measure one control process among members of each size."""
    numbers = [int(size) for size in sizes.split(",")]
    asyncio.run(_run(numbers, seconds, poller, holder, json.loads(membership)))


if __name__ == "__main__":
    typer.run(main)
