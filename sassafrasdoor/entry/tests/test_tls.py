"""TLS for callers: all tools work with it, none without."""

import asyncio
import json
import pathlib
import tempfile
import unittest

import trustme
from tornado.curl_httpclient import CurlAsyncHTTPClient

from sassafrasdoor import settings as settings_module
from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.fetch import NO_REPLY, entry_request, fetch_response
from sassafrasdoor.load import run as runs
from sassafrasdoor.load.profile import CallerProfile, Profile, TrainerProfile
from sassafrasdoor.support import until
from sassafrasdoor.timeline.sources import EntrySource
from sassafrasdoor.tools.in_force import StatusClient

CALL = "/v1/call/idempotent/work"
PROMPTS = ["How full is the car park?", "Which level is free?"]


class TlsTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="sassafrasdoor-tls-")
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)
        self.ca_file, certificate, key = self.issue("ca", "127.0.0.1")
        self.tls = {"certificate": certificate, "private_key": key}

    def issue(self, name, identity):
        """Issue a certificate of a new CA; return the paths of CA, certificate and key."""
        ca = trustme.CA()
        issued = ca.issue_cert(identity)
        parts = {
            "ca": ca.cert_pem,
            "certificate": issued.cert_chain_pems[0],
            "key": issued.private_key_pem,
        }
        paths = [self.folder / f"{name}-{part}.pem" for part in parts]
        for path, blob in zip(paths, parts.values(), strict=True):
            blob.write_to_path(path)
        return [str(path) for path in paths]

    async def test_listener_and_tools_use_tls(self):
        """Guards against plain HTTP where TLS is set."""
        cluster = Cluster({"tls": self.tls}, self.ca_file)
        async with cluster:
            await cluster.start(instances=1, engines=1)
            self.address = cluster.instances[0].address
            foreign = self.issue("foreign", "127.0.0.1")[0]
            for ca_file, code in ((self.ca_file, 200), (foreign, 599), ("", 599)):
                with self.subTest(ca_file=ca_file):
                    self.assertEqual(await self.call(ca_file), code)
            await self.load_tool()
            await asyncio.to_thread(self.trainer, cluster)
            self.assertTrue(await EntrySource(self.address, None, self.ca_file).read(0))
            self.assertFalse(await EntrySource(self.address).read(0))
            await self.table_tool(cluster)

    async def call(self, ca_file):
        http = CurlAsyncHTTPClient(force_instance=True)
        headers = {"Authorization": f"Bearer {KEYS['idempotent']}"}
        request = entry_request(
            self.address, CALL, ca_file, method="POST", body="{}", headers=headers
        )
        reply = await fetch_response(http, request)
        http.close()
        self.assertTrue(reply.code == 200 or reply.code == NO_REPLY)
        return reply.code

    async def load_tool(self):
        caller = CallerProfile(row="idempotent", key=KEYS["idempotent"], rate=10)
        trainer = TrainerProfile(row="trainer", key=KEYS["trainer"], groups=1)
        profile = Profile(duration=0.5, callers=[caller], trainers=[trainer])
        results, document = await runs.run(profile, [self.address], self.ca_file)
        self.assertEqual(set(results[0].outcomes), {"answered"})
        self.assertEqual(document["trainers"][0]["missing"], 0)

    def trainer(self, cluster):
        prompts = cluster.processes.write_json("prompts.json", PROMPTS)
        options = ["--address", self.address, "--row", "trainer", "--json"]
        options += ["--key", KEYS["trainer"], "--samples", "2", "--max-tokens", "8"]
        run = cluster.processes.start(
            "trainer", prompts, *options, "--ca-file", self.ca_file
        )
        self.assertEqual(run.wait(60), 0, run.output)
        self.assertTrue(json.loads(run.output[-1])["complete"])

    async def table_tool(self, cluster):
        platform = {"instances_url": cluster.platform_url}
        for ca_file, is_trusted in ((self.ca_file, True), ("", False)):
            document = {"platform": platform, "tls": {"ca_certificate": ca_file}}
            client = StatusClient(settings_module.from_document(document))
            # The instance list is delayed: at first it lacks the address.
            if is_trusted:
                result = await until(lambda client=client: self.all_seen(client))
            else:
                result = await client.query(1)
            client.close()
            self.assertEqual(result.is_everywhere, is_trusted)

    async def all_seen(self, client):
        result = await client.query(1)
        return result if result and result.is_everywhere else None

    def test_invalid_files_are_reported_as_findings(self):
        """Guards against TLS files that are not read before the port is bound."""
        other_key = self.issue("other", "127.0.0.1")[2]
        text = self.folder / "text.pem"
        text.write_text("no certificate")
        certificate, key = self.tls.values()
        cases = [
            ({"certificate": "/no/such", "private_key": key}, ["tls.certificate"]),
            ({"certificate": certificate, "private_key": ""}, ["tls.private_key"]),
            ({"certificate": "", "private_key": key}, ["tls.certificate"]),
            (
                {"certificate": certificate, "private_key": other_key},
                ["tls.private_key"],
            ),
            ({"certificate": str(text), "private_key": key}, ["tls.private_key"]),
            (
                {"certificate": "/no", "private_key": "\0", "ca_certificate": "/no"},
                ["tls.certificate", "tls.private_key", "tls.ca_certificate"],
            ),
            ({"certificate": 1}, ["tls.certificate"]),
            (self.tls, []),
        ]
        for tls, places in cases:
            with self.subTest(tls=tls):
                path = self.folder / "settings.json"
                path.write_text(json.dumps({"tls": tls}))
                loaded = settings_module.load(path, has_listener=True)
                reported = [
                    finding.place for finding in getattr(loaded, "findings", ())
                ]
                self.assertEqual(reported, places)
