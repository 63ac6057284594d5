"""Issued keys: only one process runs them, whichever instance gets the request."""

import asyncio
import unittest

import capnp

from sassafrasdoor.admission.queues import Admission
from sassafrasdoor.backends.interface import Answer, Broken
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.peers.server import PeerServer
from sassafrasdoor.requests import issued as issued_module
from sassafrasdoor.requests.executions import Executions
from sassafrasdoor.requests.issued import Issuer, parse
from sassafrasdoor.requests.messages import Conflict, Request, keyed_request_id
from sassafrasdoor.requests.peer import capability
from sassafrasdoor.requests.service import RequestsService
from sassafrasdoor.requests.stop_policy import StopTimes
from sassafrasdoor.requests.tests.fakes import (
    FakeEngine,
    FakeService,
    row_document,
    settings,
    view,
)
from sassafrasdoor.routing.chooser import Chooser
from sassafrasdoor.support import until
from sassafrasdoor.view import Member, State

CUT = Broken("cut")
REFUSED = Broken("refused", began=False)


def request(key, row="once", body=b"", within=10.0, repeatable=False):
    """Return a keyed request."""
    return Request(
        "POST",
        "/x",
        body=body,
        key=key,
        repeatable=repeatable,
        request_id=keyed_request_id(row, key),
        deadline=deadline_in(within),
    )


class Instance:
    """The requests service of one instance, over a service shared by all."""

    def __init__(self, name, service, current_view, log=None):
        self.settings = settings(instance={"name": name})
        self.service = service
        self.current_view = current_view
        shared = (self.settings, lambda: self.current_view, Admission(self.settings))
        parts = (Chooser(self.settings), FakeEngine(), service, log)
        self.requests = RequestsService(*shared, *parts)
        self.peers = None

    async def listen(self):
        """Start the peers' listener and return the member's entry."""
        self.peers = PeerServer(
            self.settings, "127.0.0.1", 0, capability(self.requests)
        )
        await self.peers.start()
        name = self.settings.instance.name
        return Member(name, peer_address=self.peers.address)

    async def send_request(self, key, row="once", **fields):
        """Run a keyed request here."""
        return await self.requests.run(
            self.current_view.row(row), request(key, row=row, **fields)
        )


class IssuedKeysTest(unittest.IsolatedAsyncioTestCase):
    async def cluster(self, count=2, **script):
        """Return instances that are peers of each other."""
        service = FakeService(**script)
        rows = [row_document(name, repeatable=False) for name in ("once", "other")]
        current_view = view(*rows, count=2)
        instances = [
            Instance(f"entry-{number}", service, current_view)
            for number in range(count)
        ]
        current_view.members = [await instance.listen() for instance in instances]
        return service, instances

    async def test_repeated_key_returns_the_answer_of_the_first_run(self):
        """Guards against a payment that is booked twice.

        The caller gets no reply in time and repeats the request at the same and at
        another instance, during and after the first run. The key must be known at each
        of them.
        """
        async with capnp.kj_loop():
            service, (first, second) = await self.cluster()
            service.gate = asyncio.Event()
            key = first.requests.key_prefix() + "1"
            pending = [
                asyncio.ensure_future(instance.send_request(key))
                for instance in (first, second, second, first)
            ]
            await until(lambda: service.calls)
            service.gate.set()
            outcomes = [*await asyncio.gather(*pending), await second.send_request(key)]
            bodies = {outcome.body for outcome in outcomes}
            self.assertEqual(bodies, {keyed_request_id("once", key).encode()})
            self.assertEqual(sum(service.ran.values()), 1)
            for instance in (first, second):
                await instance.peers.close()

    async def test_owner_frozen_dead_or_restarted(self):
        """Guards against a second run after an instance has failed.

        The key's owner is silent, gone or restarted under its name, and the caller
        repeats the request at another instance, which must not run it.
        """

        async def silent(first):
            # Accepts connections and never replies, like a frozen process.
            server = await asyncio.start_server(lambda *ends: None, "127.0.0.1", 0)
            self.addCleanup(server.close)
            host, port = server.sockets[0].getsockname()
            first.current_view.members[0].peer_address = f"{host}:{port}"

        async def dead(first):
            await first.peers.close()

        async def forgotten(first):
            first.current_view.members = first.current_view.members[1:]

        async def restarted(first):
            first.requests._issuer.incarnation = "f" * 16

        for fault in (silent, dead, forgotten, restarted):
            with self.subTest(fault.__name__):
                async with capnp.kj_loop():
                    service, (first, second) = await self.cluster()
                    key = first.requests.key_prefix() + "1"
                    await fault(first)
                    outcome = await second.send_request(key, within=0.3)
                    self.assertIsInstance(outcome, Unknown)
                    self.assertEqual(service.calls, [])
                    for instance in (first, second):
                        await instance.peers.close()

    async def test_forwarded_call_on_a_row_not_known_yet_is_not_run(self):
        """Guards against an unknown outcome of a call that its older table refuses."""
        async with capnp.kj_loop():
            service, (first, second) = await self.cluster()
            key = first.requests.key_prefix() + "1"
            older = view(row_document("other"), count=2)
            first.current_view, newer = older, first.current_view
            outcome = await second.send_request(key)
            self.assertIsInstance(outcome, NotRun)
            self.assertEqual(service.calls, [])
            first.current_view = newer
            self.assertIsInstance(await second.send_request(key), Answer)
            first.current_view = older
            self.assertIsInstance(await second.send_request(key), Unknown)
            for instance in (first, second):
                await instance.peers.close()

    async def test_outcomes_that_are_kept(self):
        cases = [
            ("cut", {"b0": CUT, "b1": CUT}, Unknown, 1),
            ("refused", {"b0": REFUSED, "b1": REFUSED}, NotRun, 0),
        ]
        for name, script, kind, runs in cases:
            with self.subTest(name):
                async with capnp.kj_loop():
                    service, (first, second) = await self.cluster(**script)
                    key = first.requests.key_prefix() + "1"
                    for instance in (first, second, first):
                        self.assertIsInstance(await instance.send_request(key), kind)
                    self.assertEqual(sum(service.ran.values()), runs)
                    service.script = {}
                    again = await second.send_request(key)
                    expected = Answer if kind is NotRun else Unknown
                    self.assertIsInstance(again, expected)
                    for instance in (first, second):
                        await instance.peers.close()

    async def test_same_key_other_body_is_a_conflict(self):
        async with capnp.kj_loop():
            service, (first, second) = await self.cluster()
            key = first.requests.key_prefix() + "1"
            await first.send_request(key, body=b"one")
            for instance in (first, second):
                outcome = await instance.send_request(key, body=b"two")
                self.assertIsInstance(outcome, Conflict)
            self.assertEqual(len(service.calls), 1)
            for instance in (first, second):
                await instance.peers.close()

    async def test_rows_with_the_same_key_never_mix(self):
        """Guards against a member who sees another member's balance.

        Callers of two rows use the same key, so answers must be kept by row and key.
        """
        async with capnp.kj_loop():
            service, (first, second) = await self.cluster()
            key = first.requests.key_prefix() + "1"
            bodies = [
                (await instance.send_request(key, row=row)).body
                for instance in (first, second)
                for row in ("once", "other")
            ]
            self.assertEqual(len(set(bodies)), 2)
            self.assertEqual(len(service.calls), 2)
            for instance in (first, second):
                await instance.peers.close()

    async def test_run_continues_when_its_caller_disconnects(self):
        service = FakeService()
        service.gate = asyncio.Event()
        instance = Instance(
            "entry-1", service, view(row_document("once", repeatable=False))
        )
        key = instance.requests.key_prefix() + "1"
        pending = asyncio.ensure_future(instance.send_request(key))
        await until(lambda: service.calls)
        pending.cancel()
        await asyncio.gather(pending, return_exceptions=True)
        self.assertEqual(instance.requests.in_progress(), 1)
        service.gate.set()
        self.assertIsInstance(await instance.send_request(key), Answer)
        self.assertEqual(len(service.calls), 1)

    async def test_leaving_instance_issues_no_keys(self):
        """Guards against calls that end as unknown at each restart without having run.

        An instance announces that it is leaving, still answers discovery, and ends.
        Keys issued in between would reach other instances.
        """
        instance = Instance("entry-1", FakeService(), view(row_document("once")))
        self.assertTrue(instance.requests.key_prefix())
        instance.current_view.members[0].state = State.LEAVING
        self.assertEqual(instance.requests.key_prefix(), "")

    def begin_stop(self, instance, seconds):
        """Begin a planned stop that cuts requests off after ``seconds``."""
        times = StopTimes(deadline_in(0), deadline_in(0), deadline_in(seconds))
        instance.requests.stop_admission.begin_stop(times)

    async def test_stopping_owner_serves_its_keys(self):
        """Guards against a stop that refuses what no other instance can run.

        A key that has run is answered as before, through a peer too. A new one runs if
        it can end in time, and is refused as not run otherwise.
        """
        async with capnp.kj_loop():
            service, (first, second) = await self.cluster()
            prefix = first.requests.key_prefix()
            done = await first.send_request(prefix + "done")
            self.begin_stop(first, 5.0)
            for instance in (first, second):
                repeated = await instance.send_request(prefix + "done")
                self.assertEqual(repeated.body, done.body)
                name = f"{prefix}{instance.settings.instance.name}"
                answer = await instance.send_request(name, within=3.0)
                self.assertIsInstance(answer, Answer)
                refusal = await instance.send_request(f"{name}-late", within=10.0)
                self.assertIsInstance(refusal, NotRun)
                self.assertGreater(refusal.retry_after, 3.0)
            self.assertEqual(sum(service.ran.values()), 3)
            for instance in (first, second):
                await instance.peers.close()

    async def test_stopping_owner_does_not_deny_a_lapsed_key(self):
        """Guards against "not run" for a key whose outcome is no longer kept."""
        instance = Instance(
            "entry-1", FakeService(), view(row_document("once", repeatable=False))
        )
        key = instance.requests.key_prefix() + "1"
        instance.requests._issuer._started -= 601
        self.begin_stop(instance, 5.0)
        self.assertIsInstance(await instance.send_request(key), Unknown)

    async def test_lapsed_key_is_not_run(self):
        """Guards against an old key that runs again after its record has expired.

        Without its record, an old key looks like one that was never used.
        """
        service = FakeService()
        instance = Instance(
            "entry-1", service, view(row_document("once", repeatable=False))
        )
        key = instance.requests.key_prefix() + "1"
        instance.requests._issuer._started -= 601
        self.assertIsInstance(await instance.send_request(key), Unknown)
        future = instance.requests.key_prefix().replace("~601~", "~9999~") + "1"
        self.assertIsInstance(await instance.send_request(future), Unknown)
        self.assertEqual(service.calls, [])


class ExecutionsTest(unittest.IsolatedAsyncioTestCase):
    async def run_key(self, executions, number, size=0):
        """Run one key and return its answer."""

        async def run():
            return Answer(200, {}, b"x" * size)

        return await executions.run_once(("row", number), request(str(number)), run)

    async def test_memory_is_bounded_by_expiry_and_bytes(self):
        executions = Executions(settings(requests={"key_lifetime": 0.02}))
        for number in range(50):
            await self.run_key(executions, number)
        await until(lambda: self.expired(executions))
        self.assertLessEqual(len(executions), 1)

    async def expired(self, executions):
        """Trigger expiry; return whether at most one key is left."""
        await self.run_key(executions, "last")
        return len(executions) <= 1

    async def test_answers_are_dropped_but_never_run_again(self):
        executions = Executions(settings())
        size = 40_000_000
        for number in range(3):
            self.assertTrue(await self.run_key(executions, number, size))
        dropped = await self.run_key(executions, 0, size)
        self.assertIsInstance(dropped, Unknown)
        self.assertTrue(await self.run_key(executions, 2, size))


class ParseTest(unittest.TestCase):
    def test_only_what_an_instance_issued(self):
        issuer = Issuer(settings())
        self.assertTrue(issuer.owns(parse(issuer.prefix() + "order-7")))
        self.assertFalse(Issuer(settings()).owns(parse(issuer.prefix() + "order-7")))
        for text in ("", "order-7", issuer.prefix(), "sd~a~b~c~d", issuer.prefix()[1:]):
            with self.subTest(text):
                self.assertIsNone(parse(text))
        self.assertEqual(issued_module.PREFIX, issuer.prefix()[:2])


if __name__ == "__main__":
    unittest.main()
