"""Keys of client accounts with real processes."""

import asyncio

from sassafrasdoor.clock import now
from sassafrasdoor.platform import wire
from sassafrasdoor.platform.tests.cases import ROUTES, SERVICES, ProcessCase

KEYS = {"a": ["key-a-1", "key-a-2"], "b": ["key-b"]}
REVOKE_WITHIN = 5.0  # seconds, the default of the settings
MAX_REVOKE_SECONDS = REVOKE_WITHIN + 0.5  # with the time that one call takes


def authorization(key):
    return {wire.AUTHORIZATION: f"Bearer {key}"}


class AccountsTest(ProcessCase):
    keys = KEYS

    async def configure(self, version, routes=ROUTES):
        tenants = [
            {"Name": name, "ApiKeys": keys, "Priority": 1}
            for name, keys in self.keys.items()
        ]
        document = {"Version": version, "Routes": routes, "Services": SERVICES}
        await self.store.configure({**document, "Tenants": tenants})

    async def take_away(self, key, version=2):
        self.keys = {
            name: [held for held in keys if held != key]
            for name, keys in self.keys.items()
        }
        await self.configure(version)

    async def call(self, key=None, at=0, request_id="r", **headers):
        headers[wire.REQUEST_ID] = request_id
        if key is not None:
            headers |= authorization(key)
        front = self.instances[at].front
        return (await self.fetch(front, "/plain/x", "POST", "b", **headers)).code

    def plain_runs(self, request_id):
        runs = [run for replica in self.plain for run in replica.runs]
        return [run for run in runs if run.request_id == request_id]

    def log_texts(self):
        return [
            instance.log_path.read_text("utf-8", "replace")
            for instance in self.instances
        ]

    async def test_key_selects_the_account_that_replicas_see(self):
        """Guards against callers that name an account, and keys that replicas see."""
        claimed = {wire.ACCOUNT: "b"}
        self.assertEqual(await self.call("key-a-1", request_id="r1", **claimed), 200)
        for run in self.plain_runs("r1"):
            self.assertEqual(run.headers.get_list(wire.ACCOUNT), ["a"])
            self.assertNotIn(wire.AUTHORIZATION, run.headers)
        self.assertEqual(await self.call("other", request_id="r2"), 401)
        self.assertEqual(await self.call(None, request_id="r3"), 401)
        self.assertEqual(self.plain_runs("r2") + self.plain_runs("r3"), [])

    async def test_step_belongs_to_its_account_beyond_its_key(self):
        """Guards against steps lost with a key, and read by other accounts."""
        self.caller_headers = authorization("key-a-1")
        self.assertEqual((await self.submit("s")).code, 202)
        await self.wait_until(lambda: self.all_results("s", at=1))
        for run in self.all_runs():
            self.assertEqual(run.headers.get_list(wire.ACCOUNT), ["a"])
            self.assertNotIn(wire.AUTHORIZATION, run.headers)
        await self.take_away("key-a-1")
        await self.wait_until(lambda: self.is_refused("key-a-1"))
        self.caller_headers = authorization("key-a-2")
        self.assertIsNotNone(await self.all_results("s", at=2))
        for key, status in (("key-b", 404), ("key-a-1", 401), ("key-a-2", 200)):
            reply = await self.fetch(
                self.instances[1].front, "/-/lots/s", "DELETE", **authorization(key)
            )
            self.assertEqual(reply.code, status, key)

    async def is_refused(self, key):
        codes = [await self.call(key, at) for at in range(len(self.instances))]
        return set(codes) == {401}

    async def test_key_is_refused_in_time_by_an_instance_that_is_cut_off(self):
        """Guards against keys that work for ever where nobody says they were taken."""
        self.assertEqual(await self.call("key-a-1", at=0), 200)
        for instance in self.instances[1:]:
            instance.kill()
        self.proxy.freeze()
        await self.take_away("key-a-1")
        acknowledged_at = now()
        await self.wait_until(lambda: self.returns("key-a-1", 503))
        self.assertLess(now() - acknowledged_at, MAX_REVOKE_SECONDS)
        reply = await self.fetch(self.instances[0].ready, "/-/ready")
        self.assertEqual(reply.code, 503)
        self.proxy.thaw()
        await self.wait_until(lambda: self.returns("key-a-1", 401))
        self.assertEqual(await self.call("key-a-2", at=0), 200)

    async def returns(self, key, status):
        return await self.call(key, at=0) == status

    async def test_key_is_refused_in_time_by_an_instance_that_was_frozen(self):
        """Guards against requests that a frozen process finds waiting when it wakes."""
        self.assertEqual(await self.call("key-a-1", at=0), 200)
        self.instances[0].signal(19)
        await self.take_away("key-a-1")
        await asyncio.sleep(REVOKE_WITHIN + 0.2)
        late = asyncio.ensure_future(self.call("key-a-1", at=0, request_id="late"))
        await asyncio.sleep(0.2)
        self.instances[0].signal(18)
        self.assertIn(await late, (401, 503))
        self.assertEqual(self.plain_runs("late"), [])

    async def test_started_into_an_outage_serves_no_key(self):
        """Guards against old accounts taken from another instance during an outage."""
        await self.wait_until(lambda: self.returns("key-a-1", 200))
        self.store.answering.clear()
        await asyncio.sleep(REVOKE_WITHIN)
        self.instances[0].kill()
        self.instances[0].start()
        codes = set()
        for _ in range(20):
            codes.add(await self.call("key-a-1", at=0))
            await asyncio.sleep(0.1)
        self.assertLessEqual(codes, {503, 599})
        self.store.answering.set()
        await self.wait_until(lambda: self.returns("key-a-1", 200))

    async def test_no_key_in_logs_metrics_or_records(self):
        """Guards against secrets in what the system writes."""
        self.caller_headers = authorization("key-a-1")
        self.assertEqual((await self.submit("s")).code, 202)
        await self.wait_until(lambda: self.all_results("s"))
        for key in ("key-a-1", "unknown-secret"):
            await self.call(key)
        reply = await self.fetch(self.instances[0].ready, "/metrics")
        texts = [*self.log_texts(), reply.body.decode()]
        for topic, records in self.store.log.all_records():
            if topic != "keyed.op":
                texts += [record.decode("latin-1") for record in records]
        for key in ("key-a-1", "key-a-2", "key-b", "unknown-secret"):
            for text in texts:
                self.assertNotIn(key, text)

    async def test_accounts_change_often_without_delaying_calls(self):
        """Guards against configurations that take the loop's time away from calls."""
        self.keys = {
            f"t{at}": [f"k{at}-{number}" for number in range(2)] for at in range(300)
        }
        self.keys["a"] = KEYS["a"]
        slowest = 0.0
        for version in range(2, 22):
            await self.configure(version)
            started_at = now()
            self.assertEqual(await self.call("key-a-1"), 200)
            slowest = max(slowest, now() - started_at)
            await asyncio.sleep(0.1)
        self.assertLess(slowest, 0.5)
