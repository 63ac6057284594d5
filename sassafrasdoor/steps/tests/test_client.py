import asyncio
import sys
import tempfile
import unittest
from asyncio.subprocess import PIPE

import tornado.httpserver
import tornado.netutil
import tornado.web

from sassafrasdoor.security import key_matches
from sassafrasdoor.steps.client import Trainer
from sassafrasdoor.steps.handlers import FetchHandler, handlers
from sassafrasdoor.steps.tests.fakes import KEY, Bench
from sassafrasdoor.support import until

ALL_PLACES = {(group, index) for group in range(2) for index in range(2)}


class AddressesHandler(tornado.web.RequestHandler):
    def initialize(self, servers):
        self._servers = servers

    def get(self):
        addresses = [{"address": server.address} for server in self._servers]
        self.finish({"addresses": addresses, "valid_for_ms": 0})


class Server:
    """An instance's HTTP server; the next ``replies_to_cut`` fetch replies are cut."""

    def __init__(self, bench, servers, **steps):
        self.steps = bench.instance(**steps)
        self.replies_to_cut = 0
        self.bench = bench
        pages = [("/v1/addresses", AddressesHandler, {"servers": servers})]
        application = tornado.web.Application(
            pages + [self._with_cut_replies(page) for page in handlers(self.steps)],
            authorize=self._authorize,
            log_function=lambda handler: None,
        )
        self._http = tornado.httpserver.HTTPServer(application)
        sockets = tornado.netutil.bind_sockets(0, "127.0.0.1")
        self._http.add_sockets(sockets)
        self.address = f"127.0.0.1:{sockets[0].getsockname()[1]}"
        servers.append(self)

    async def _authorize(self, handler, row_name):
        key = handler.request.headers.get("Authorization", "").removeprefix("Bearer ")
        row = self.bench.table.row(row_name)
        if row is None or not key_matches(key, row.key_hashes):
            handler.set_status(401)
            handler.finish({"outcome": "rejected", "reason": "key", "findings": []})
            return None
        return row

    def _with_cut_replies(self, page):
        pattern, handler, arguments = page
        server = self

        class ReplyCuttingHandler(handler):
            def finish(self, chunk=None):
                if server.replies_to_cut and isinstance(self, FetchHandler):
                    server.replies_to_cut -= 1
                    self.request.connection.stream.close()
                    return server._done()
                return super().finish(chunk)

        return pattern, ReplyCuttingHandler, arguments

    @staticmethod
    def _done():
        future = asyncio.get_running_loop().create_future()
        future.set_result(None)
        return future

    async def close(self):
        self._http.stop()
        await self._http.close_all_connections()


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bench = Bench(length_of=lambda stream: 8)
        self.addAsyncCleanup(self.bench.close)
        self.servers = []
        self.ticker = asyncio.ensure_future(self._tick())
        self.addCleanup(self.ticker.cancel)

    async def _tick(self):
        while True:
            self.bench.engines.tick()
            await asyncio.sleep(0.005)

    def serve(self, **steps):
        server = Server(self.bench, self.servers, **steps)
        self.addAsyncCleanup(server.close)
        return server

    def trainer(self, key=KEY):
        trainer = Trainer([self.servers[0].address], "trainer", key)
        self.addCleanup(trainer.close)
        return trainer

    def document(self, **changes):
        document = self.bench.spec(**changes).model_dump()
        del document["attach"], document["token"]
        return document

    async def samples_of(self, run, each=lambda count: None):
        """Read a run to its end; assert that no sample is yielded twice."""
        places = []
        async for sample in run.samples():
            places.append((sample["group"], sample["index"]))
            result = each(len(places))
            if result is not None:
                await result
        self.assertEqual(len(places), len(set(places)))
        return set(places)

    async def test_step_end_to_end(self):
        server = self.serve()
        run = self.trainer().run(self.document())
        self.assertEqual(await self.samples_of(run), ALL_PLACES)
        self.assertTrue(run.complete)
        self.assertEqual(run.report.samples, 4)
        self.assertEqual(run.report.staleness, {0: 4})
        self.assertGreater(run.report.idle, 0)
        self.assertLessEqual(run.report.idle, run.report.duration)
        await until(lambda: server.steps.status() == [])

    async def test_faults_between_trainer_and_instances(self):
        """Guards against samples lost or repeated by network or instance faults."""

        async def replies_lost(first, second):
            first.replies_to_cut = second.replies_to_cut = 2

        async def instance_gone(first, second):
            await first.close()

        async def step_forgotten(first, second):
            await first.steps.close()

        async def drained(first, second):
            self.drained = asyncio.ensure_future(first.steps.drain())

        async def attached_elsewhere(first, second):
            second.steps.submit(self.bench.row, self.bench.spec(attach=7))

        faults = [
            replies_lost,
            instance_gone,
            step_forgotten,
            drained,
            attached_elsewhere,
        ]
        for fault in faults:
            with self.subTest(fault.__name__):
                self.servers.clear()
                servers = self.serve(batch_size=1), self.serve(batch_size=1)

                def inject_fault(count, fault=fault, servers=servers):
                    if count > 1:
                        return None
                    owner = next(server for server in servers if server.steps.status())
                    other = next(server for server in servers if server is not owner)
                    return fault(owner, other)

                run = self.trainer().run(self.document(step=fault.__name__))
                self.assertEqual(await self.samples_of(run, inject_fault), ALL_PLACES)
                self.assertIsNone(run.failure)

    async def test_drain_waits_until_trainers_are_redirected(self):
        first, second = self.serve(), self.serve()
        run = self.trainer().run(self.document())
        reading = asyncio.ensure_future(self.samples_of(run))
        await until(lambda: first.steps.status() or second.steps.status())
        leaving = first if first.steps.status() else second
        await leaving.steps.drain()
        self.assertEqual(leaving.steps.status(), [])
        self.assertEqual(await reading, ALL_PLACES)
        self.assertEqual(run.report.counts["regenerated"], 0)

    async def test_restarted_trainer_resumes_from_its_state(self):
        """Guards against samples lost at a restart of the trainer."""
        server = self.serve()
        server.steps.submit(self.bench.row, self.bench.spec())
        await self.bench.ready(server.steps, 4)
        run = self.trainer().run(self.document())
        first = [await anext(run.samples()) for _ in range(2)]
        again = self.trainer().run(self.document(), run.state())
        self.assertEqual(len(await self.samples_of(run)), 2)
        rest = await self.samples_of(again)
        self.assertEqual(rest, ALL_PLACES - {(s["group"], s["index"]) for s in first})

    async def test_weights_published_while_a_reply_is_in_flight(self):
        """Guards against a sample that becomes stale while its reply is in flight."""
        self.serve()
        engines = self.bench.engines

        class PublishingTrainer(Trainer):
            async def call(self, *arguments, **options):
                status, reply = await super().call(*arguments, **options)
                if "token" in reply and reply["samples"] and self.newest_version < 3:
                    self.newest_version = 3
                    engines.set_version(3)
                return status, reply

        trainer = PublishingTrainer([self.servers[0].address], "trainer", KEY)
        self.addCleanup(trainer.close)
        run, versions = trainer.run(self.document()), set()
        async for sample in run.samples():
            versions.add(sample["oldest_version"])
        self.assertEqual(versions, {3})
        self.assertGreater(run.report.too_old_on_arrival, 0)

    async def test_refusals_end_the_run_with_their_findings(self):
        self.serve()
        table = [
            (self.trainer("wrong"), self.document(), "key"),
            (self.trainer(), {**self.document(), "more": 1}, "input invalid"),
        ]
        for trainer, document, reason in table:
            with self.subTest(reason):
                run = trainer.run(document)
                self.assertEqual(await self.samples_of(run), set())
                self.assertEqual(run.failure.reason, reason)
        self.assertEqual([finding.place for finding in run.failure.findings], ["more"])

    async def run_command(self, prompts, *options):
        """Run the trainer command; return its exit code and output."""
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(prompts)
            file.flush()
            address = ("--address", self.servers[0].address, "--row", "trainer")
            module = ("-m", "sassafrasdoor.tools.trainer", file.name)
            process = await asyncio.create_subprocess_exec(
                sys.executable, *module, *address, *options, stdout=PIPE, stderr=PIPE
            )
            output, _ = await process.communicate()
        return process.returncode, output.decode()

    async def test_command_line(self):
        self.serve()
        good, bad = '["one", "two"]', '{"one": 2}'
        table = [
            (good, (), 0, '"complete": true'),
            (good, ("--key", "wrong"), 1, '"failure": "key"'),
            (bad, (), 2, ""),
        ]
        for prompts, options, code, text in table:
            with self.subTest(code=code):
                more = ("--key", KEY, "--samples", "2", "--json", *options)
                actual, output = await self.run_command(prompts, *more)
                self.assertEqual(actual, code)
                self.assertIn(text, output)

    async def test_statuses_of_refusals(self):
        server = self.serve()
        trainer = self.trainer()
        server.steps.submit(self.bench.row, self.bench.spec(attach=5))
        fetch = {"attach": 5, "token": ""}
        table = [
            ("/v1/steps/trainer", {}, 400, "rejected"),
            ("/v1/steps/trainer", {**self.document(), "attach": 4}, 409, "rejected"),
            ("/v1/steps/nobody", self.document(), 401, "rejected"),
            ("/v1/steps/trainer/s1/fetch", {**fetch, "token": "?"}, 400, "rejected"),
            ("/v1/steps/trainer/s1/fetch", {**fetch, "attach": 4}, 409, "rejected"),
            ("/v1/steps/trainer/s2/fetch", fetch, 404, "rejected"),
        ]
        for path, document, status, outcome in table:
            with self.subTest(path=path, status=status):
                actual, reply = await trainer.call(
                    "POST", server.address, path, document
                )
                self.assertEqual((actual, reply["outcome"]), (status, outcome))
        await server.steps.close()
        server.steps._draining = True
        document = {**self.document(), "attach": 1}
        actual, reply = await trainer.call(
            "POST", server.address, "/v1/steps/trainer", document
        )
        self.assertEqual((actual, reply["outcome"]), (503, "not-run"))
