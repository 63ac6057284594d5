"""Processes neither print nor serve secrets."""

import asyncio
import pathlib
import tempfile
import unittest

import trustme

from sassafrasdoor.cluster import KEYS, MODEL, Cluster
from sassafrasdoor.support import until

PEER_KEYS = ["marker-of-the-new-peer-key", "marker-of-the-old-peer-key"]
WRONG_KEY = "marker-of-a-wrong-key"
PAGES = ("/metrics", "/v1/status", "/v1/events", "/healthz", "/readyz")
CALLS = [
    ("GET", "/no/such/path"),
    ("POST", "/v1/events"),
    ("POST", "/v1/call/idempotent/work"),
    ("POST", "/v1/call/nobody/work"),
    ("POST", "/v1/generate/chat"),
    ("POST", "/v1/steps/trainer"),
    ("GET", "/v1/addresses?row=%ff"),
]


class SecretsTest(unittest.IsolatedAsyncioTestCase):
    async def test_secrets_are_not_exposed(self):
        """Guards against keys in logs, metrics or answers."""
        folder = tempfile.TemporaryDirectory(prefix="sassafrasdoor-secrets-")
        self.addCleanup(folder.cleanup)
        ca = trustme.CA()
        ca_file = str(pathlib.Path(folder.name) / "ca.pem")
        ca.cert_pem.write_to_path(ca_file)
        issued = ca.issue_cert("127.0.0.1")
        pem = pathlib.Path(folder.name) / "both.pem"
        issued.private_key_and_cert_chain_pem.write_to_path(pem)
        tls = {"certificate": str(pem), "private_key": str(pem)}
        tls["ca_certificate"] = ca_file
        extra = {"tls": tls, "membership": {"peer_keys": PEER_KEYS}}
        lines = issued.private_key_pem.bytes().decode().splitlines()
        secrets = [*PEER_KEYS, WRONG_KEY, *KEYS.values(), *lines[1:-1]]
        async with Cluster(extra, ca_file) as cluster:
            await cluster.start(instances=2, engines=1)
            first, second = cluster.instances
            for key in (*KEYS.values(), WRONG_KEY):
                for address in (first.address, second.address):
                    for method, path in CALLS:
                        await cluster.call(method, address, path, key, {"prompt": 1})
            first.kill()
            await cluster.announce(MODEL, 2)
            await until(lambda: self.noticed(cluster, second), what="the death")
            texts = [
                line for process in cluster.processes.all for line in process.output
            ]
            for page in PAGES:
                reply = await cluster.raw("GET", second.address, page)
                self.assertEqual(reply.code, 200, page)
                texts.append(reply.body.decode())
            texts += await asyncio.to_thread(self.timeline, cluster, second)
        self.assertGreater(len(texts), len(PAGES))
        for text in texts:
            for secret in secrets:
                self.assertNotIn(secret, text)

    async def noticed(self, cluster, instance):
        _, status = await cluster.get(instance.address, "/v1/status")
        states = {member["name"]: member["state"] for member in status["members"]}
        return states.get("entry-1") != "alive" and status["weights"][MODEL] == 2

    def timeline(self, cluster, instance):
        options = ["--settings", instance.settings_path, "--json"]
        options += ["--control", instance.control.ready["control"]]
        run = cluster.processes.start("timeline", *options, "--entry", instance.address)
        self.assertEqual(run.wait(60), 0, run.output)
        self.assertGreater(len(run.output), 2)
        return run.output
