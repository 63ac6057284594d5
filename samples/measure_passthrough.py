"""Processor time of one plain service call: entry process against a bare handler.

    python samples/measure_passthrough.py [--calls 2000] [--rounds 5]

Both pass the same POST through to the same service stand-in, in turn, within one
run. The bare handler is a Tornado handler with the curl client and nothing else.
Processor time is read from the operating system for each process alone.
"""

import asyncio
import json
import os
import statistics
import sys
import tempfile

import typer
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.fetch import fetch_response
from sassafrasdoor.support import until

AT_ONCE = 8
TICKS = os.sysconf("SC_CLK_TCK")
BARE = """
import asyncio, sys
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.netutil import bind_sockets
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

class Pass(RequestHandler):
    client = None
    async def post(self):
        reply = await self.client.fetch(
            "http://" + sys.argv[1] + "/work", method="POST", body=self.request.body)
        self.set_status(reply.code)
        self.write(reply.body)

async def main():
    Pass.client = CurlAsyncHTTPClient(force_instance=True, max_clients=100)
    sockets = bind_sockets(0, "127.0.0.1")
    HTTPServer(Application([("/work", Pass)], log_function=lambda h: None)).add_sockets(
        sockets)
    print(sockets[0].getsockname()[1], flush=True)
    await asyncio.Event().wait()

asyncio.run(main())
"""


def processor_seconds(pid):
    """Return the processor seconds a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


async def drive(client, address, path, headers, calls):
    """Send ``calls`` POSTs, a few at once."""
    left = iter(range(calls))

    async def lane():
        for number in left:
            request = HTTPRequest(
                f"http://{address}{path}",
                method="POST",
                headers=headers,
                body=json.dumps({"number": number}),
            )
            reply = await fetch_response(client, request)
            assert reply.code == 200, (reply.code, reply.body)

    await asyncio.gather(*(lane() for _ in range(AT_ONCE)))


async def cost(client, pid, address, path, headers, calls):
    """Return the processor milliseconds a call cost the process ``pid``."""
    before = processor_seconds(pid)
    await drive(client, address, path, headers, calls)
    return (processor_seconds(pid) - before) * 1000 / calls


async def measure(calls, rounds):
    """Run both in turn; print medians, spread and the ratio."""
    client = CurlAsyncHTTPClient(force_instance=True, max_clients=AT_ONCE)
    async with Cluster() as cluster:
        await cluster.start(instances=1, engines=0, services=1)
        service = cluster.backends["service-1"].ready["address"]
        with tempfile.NamedTemporaryFile("w", suffix=".py", delete=False) as file:
            file.write(BARE)
        bare = await asyncio.create_subprocess_exec(
            sys.executable, file.name, service, stdout=asyncio.subprocess.PIPE
        )
        port = int(await bare.stdout.readline())
        entry = cluster.instances[0]
        await until(lambda: cluster.get(entry.address, "/readyz"))
        key = {"Authorization": f"Bearer {KEYS['idempotent']}"}
        sides = {
            "bare handler": (bare.pid, f"127.0.0.1:{port}", "/work", {}),
            "entry": (entry.entry.pid, entry.address, "/v1/call/idempotent/work", key),
        }
        figures = {name: [] for name in sides}
        for _ in range(rounds):
            for name, side in sides.items():
                figures[name].append(await cost(client, *side, calls))
        bare.kill()
        await bare.wait()
        os.unlink(file.name)
    client.close()
    return figures


def run(calls: int = 2000, rounds: int = 5):
    """Measure the pass-through and print the result."""
    figures = asyncio.run(measure(calls, rounds))
    for name, values in figures.items():
        low, high = min(values), max(values)
        print(
            f"{name}: median {statistics.median(values):.3f} ms a call "
            f"({low:.3f} to {high:.3f}, {rounds} rounds of {calls})"
        )
    bare, entry = (statistics.median(values) for values in figures.values())
    print(f"ratio: {entry / bare:.2f}")


if __name__ == "__main__":
    typer.run(run)
