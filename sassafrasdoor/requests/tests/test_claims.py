"""Caller-chosen keys: one claim wins despite faults of the log and of instances."""

import asyncio
import unittest
from unittest import mock

import capnp

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests import claims as claims_module
from sassafrasdoor.requests.claims import ClaimStream, Owner
from sassafrasdoor.requests.messages import Conflict, keyed_request_id
from sassafrasdoor.requests.tests.fakes import (
    FakeService,
    row_document,
    settings,
    view,
)
from sassafrasdoor.requests.tests.test_issued import Instance, request
from sassafrasdoor.support import until

KEY = "order-7"


class LaggingLog(MemoryLog):
    """Hides records during the first ``lag`` reads and counts appends."""

    def __init__(self, lag=0):
        super().__init__()
        self.lag = lag
        self.appends = 0

    async def append(self, stream, body):
        """Append and count."""
        self.appends += 1
        return await super().append(stream, body)

    async def read(self, stream, offset, limit, wait):
        """Read, without new records while the log lags."""
        if self.lag:
            self.lag -= 1
            records = self._batch(stream, offset, [], limit)
            records.next_offset = offset
            return records
        return await super().read(stream, offset, limit, wait)


def stream_of(log, name="a", **sections):
    """Return a claim stream of one instance."""
    return ClaimStream(settings(**sections), log, "claims-0", Owner(name, f"{name}-1"))


class ClaimStreamTest(unittest.IsolatedAsyncioTestCase):
    async def claim(self, stream, name="k", within=5.0):
        """Claim a name; return the owner's instance or the outcome."""
        owner = await stream.claim(name, deadline_in(within))
        return getattr(owner, "instance", owner)

    async def test_first_offset_wins_for_all_instances(self):
        log = MemoryLog(stride=3)
        streams = [stream_of(log, name) for name in "abc"]
        owners = await asyncio.gather(*[self.claim(stream) for stream in streams])
        self.assertEqual(len(set(owners)), 1)
        late = stream_of(log, "late")
        self.assertEqual(await self.claim(late), owners[0])

    async def test_faults_of_the_log(self):
        """Guards against a key that runs twice or is always refused after a log fault.

        The reply of an append is lost, a record is duplicated, or reads lag. The append
        must not be repeated blindly, and its reply alone must not be trusted.
        """
        cases = [
            ("reply lost", {"lose_replies": 1}, "a"),
            ("written twice", {"duplicates": 1}, "a"),
            ("both", {"lose_replies": 1, "duplicates": 1}, "a"),
            ("read lags", {"lag": 3}, "a"),
            ("down", {"down": True}, NotRun),
        ]
        for name, faults, expected in cases:
            with self.subTest(name):
                log = LaggingLog()
                for fault, value in faults.items():
                    setattr(log, fault, value)
                owner = await self.claim(stream_of(log))
                if expected is NotRun:
                    self.assertIsInstance(owner, NotRun)
                else:
                    self.assertEqual(owner, expected)
                    self.assertEqual(await self.claim(stream_of(log, "b")), expected)
                    self.assertEqual(log.appends, 2)

    async def test_lost_reply_of_a_second_claim_keeps_the_owner(self):
        log = MemoryLog()
        await self.claim(stream_of(log, "a"))
        log.lose_replies = 1
        self.assertEqual(await self.claim(stream_of(log, "b")), "a")

    async def test_append_that_cannot_be_read_is_not_run(self):
        log = LaggingLog(lag=10**9)
        with mock.patch.object(claims_module, "FIND_TIMEOUT", 0.05):
            stream = stream_of(log)
            self.assertIsInstance(await self.claim(stream), NotRun)
            log.lag = 0
            self.assertEqual(await self.claim(stream), "a")

    async def test_many_claims_share_appends(self):
        log = LaggingLog()
        stream = stream_of(log)
        names = [f"k{number}" for number in range(300)]
        await asyncio.gather(*[self.claim(stream, name) for name in names])
        self.assertLess(log.appends, 10)

    async def test_expired_and_malformed_records_are_skipped(self):
        log = MemoryLog()
        for body in (None, [], {"kind": "claims"}, {"kind": "claims", "names": [1]}):
            await log.append("claims-0", body)
        log.expire("claims-0", 3)
        self.assertEqual(await self.claim(stream_of(log)), "a")

    async def test_claims_expire_so_that_memory_is_bounded(self):
        log = MemoryLog()
        stream = stream_of(log, requests={"key_lifetime": 0.02})
        for number in range(50):
            await self.claim(stream, f"k{number}")
        await until(lambda: stream.owner("k0") is None and not stream._owners)


class ClaimNameTest(unittest.TestCase):
    def test_row_and_key_both_count(self):
        pairs = [("a", "bc"), ("ab", "c"), ("a", "c"), ("b", "bc")]
        names = {claims_module.claim_name(*pair) for pair in pairs}
        self.assertEqual(len(names), len(pairs))


class ClaimedKeysTest(unittest.IsolatedAsyncioTestCase):
    async def cluster(self, log=None, **script):
        """Return two instances that are peers and share a log."""
        log = log or MemoryLog()
        service = FakeService(**script)
        rows = [row_document(name, repeatable=False) for name in ("once", "other")]
        current_view = view(*rows, count=2)
        instances = [Instance(name, service, current_view, log) for name in ("a", "b")]
        current_view.members = [await instance.listen() for instance in instances]
        return log, service, instances

    async def close(self, instances):
        """Close the listeners."""
        for instance in instances:
            await instance.peers.close()

    async def test_same_key_everywhere_at_once_runs_once(self):
        async with capnp.kj_loop():
            _, service, instances = await self.cluster()
            pending = [instance.send_request(KEY) for instance in instances * 3]
            outcomes = await asyncio.gather(*pending)
            bodies = {outcome.body for outcome in outcomes}
            self.assertEqual(bodies, {keyed_request_id("once", KEY).encode()})
            self.assertEqual(sum(service.ran.values()), 1)
            await self.close(instances)

    async def test_log_outage_refuses_new_keys_and_returns_kept_answers(self):
        async with capnp.kj_loop():
            log, service, instances = await self.cluster()
            await instances[0].send_request(KEY)
            log.down = True
            self.assertIsInstance(await instances[0].send_request(KEY), Answer)
            self.assertIsInstance(await instances[1].send_request("new"), NotRun)
            self.assertEqual(sum(service.ran.values()), 1)
            await self.close(instances)

    async def test_claimant_gone_is_unknown(self):
        async with capnp.kj_loop():
            _, service, instances = await self.cluster()
            await instances[0].send_request(KEY)
            await instances[0].peers.close()
            self.assertIsInstance(await instances[1].send_request(KEY), Unknown)
            self.assertEqual(sum(service.ran.values()), 1)
            await instances[1].peers.close()

    async def test_rows_and_bodies_do_not_mix(self):
        async with capnp.kj_loop():
            _, service, instances = await self.cluster()
            first = await instances[0].send_request(KEY, row="once")
            second = await instances[1].send_request(KEY, row="other")
            self.assertNotEqual(first.body, second.body)
            conflict = await instances[1].send_request(KEY, row="once", body=b"other")
            self.assertIsInstance(conflict, Conflict)
            self.assertEqual(len(service.calls), 2)
            await self.close(instances)

    async def test_frozen_between_claim_and_dispatch(self):
        """Guards against a call that runs long after its caller was answered unknown.

        Instance a claims a key and is paused before dispatch. The caller repeats the
        request at b, which finds the claim but gets no answer. When a resumes, it must
        check the deadline again and run the key only for a new request.
        """
        async with capnp.kj_loop():
            _, service, instances = await self.cluster()
            first, second = instances
            late = request(KEY, within=60.0)
            claim = first.requests._claims.claim

            async def frozen(*arguments):
                owner = await claim(*arguments)
                late.deadline = deadline_in(0)
                return owner

            with mock.patch.object(claims_module.Claims, "claim", side_effect=frozen):
                outcome = await first.requests.run(first.current_view.row("once"), late)
            self.assertIsInstance(outcome, NotRun)
            self.assertEqual(service.calls, [])
            self.assertIsInstance(await second.send_request(KEY), Answer)
            self.assertIsInstance(await first.send_request(KEY), Answer)
            self.assertEqual(len(service.calls), 1)
            await self.close(instances)


if __name__ == "__main__":
    unittest.main()
