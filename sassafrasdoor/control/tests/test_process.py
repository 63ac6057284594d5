import asyncio
import unittest

from sassafrasdoor import settings
from sassafrasdoor.admission.grants import Report, Usage
from sassafrasdoor.cluster import MODEL, PEER_KEY, TABLE, Cluster
from sassafrasdoor.control.link import ControlLink
from sassafrasdoor.peers.tests.test_link import on_kj_loop
from sassafrasdoor.support import until
from sassafrasdoor.view import State

SERVICE = "assistant"
ROW = next(row["name"] for row in TABLE["rows"] if row["service"] == SERVICE)
OWN = settings.from_document({"membership": {"peer_keys": [PEER_KEY]}})


class ControlCluster(Cluster):
    """Control processes, each with a ``ControlLink`` in place of its entry."""

    def __init__(self, settings=None):
        super().__init__(settings)
        self.controls = {}
        self.links = {}
        self._tasks = {}

    async def __aexit__(self, *exception):
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)
        await super().__aexit__(*exception)

    def _seeds(self):
        live = [c for c in self.controls.values() if c.returncode is None]
        return [control.ready["gossip"] for control in live][:2]

    async def start_all(self, names, table=True):
        self.start_platform()
        if table:
            await self.announce(MODEL, 1)
            await self.propose(TABLE)
        for name in names:
            await self.start_control(name)
        await self.wait_until_alive(names)

    async def start_control(self, name, region="region-1", **instance):
        document = self.settings_for(name, f"zone-{name[-1]}")
        document["instance"].update(region=region, **instance)
        path = self.processes.write_json(f"{name}.json", document)
        serve = self.processes.serve
        control = await asyncio.to_thread(serve, "control", "--settings", path)
        self.controls[name] = control
        if name not in self.links:
            self.links[name] = ControlLink(OWN, control.ready["control"])
            self._tasks[name] = asyncio.create_task(self.links[name].run())
        return control

    async def stop_control(self, name):
        code = await asyncio.to_thread(self.controls.pop(name).stop)
        self._tasks.pop(name).cancel()
        del self.links[name]
        return code

    def sees_alive(self, viewer, *names):
        members = self.links[viewer].view.members
        alive = {m.name for m in members if m.state is State.ALIVE}
        return alive == set(names)

    async def wait_until_alive(self, names, viewers=None):
        """Wait until exactly ``names`` are alive in the views of all ``viewers``."""
        await until(
            lambda: all(self.sees_alive(viewer, *names) for viewer in viewers or names),
            what=f"{names} to be seen alive",
        )

    async def add_engine(self, name, capacity=1):
        """Add a backend server to the platform's list."""
        engine = {
            "name": name,
            "kind": "engine",
            "service": SERVICE,
            "address": "127.0.0.1:9",
            "capacity": capacity,
            "models": [MODEL],
            "state": "alive",
        }
        address = self.platform_url.removeprefix("http://")
        await self.call("PUT", address, f"/instances/{name}", document=engine)

    async def platform_truth(self):
        """Return the state of the platform."""
        address = self.platform_url.removeprefix("http://")
        return (await self.get(address, "/standin/truth"))[1]

    async def holder(self, lease):
        """Return the instance that made the last claim on a lease in the log."""
        records = (await self.platform_truth())["streams"]["agreed"]
        claims = [r["body"] for r in records if r["body"].get("name") == lease]
        return claims[-1]["holder"].partition("/")[0]

    def all_granted(self):
        """Return every instance's grant of ``ROW`` once all have slots."""
        grants = [link.view.grants.get(ROW) for link in self.links.values()]
        return all(grant and grant.slots for grant in grants) and grants

    async def wait_for_revision(self, revision, *names):
        """Wait until the views of ``names`` have the revision."""
        await until(
            lambda: all(
                self.links[name].view.revision == revision
                and self.links[name].view.table is not None
                for name in names
            ),
            what=f"revision {revision} at {names}",
        )


class ControlProcessTests(unittest.IsolatedAsyncioTestCase):
    @on_kj_loop
    async def test_view_follows_table_weights_list_and_planned_stop(self):
        async with ControlCluster() as cluster:
            await cluster.start_all(["c1", "c2", "c3"])
            await cluster.wait_for_revision(2, "c1", "c2", "c3")
            link = cluster.links["c1"]
            self.assertEqual(link.view.weights, {MODEL: 1})
            self.assertLess(link.view.age, 30)
            link.set_addresses("127.0.0.1:1", "127.0.0.1:2")
            await cluster.add_engine("engine-1")
            await cluster.announce(MODEL, 2)
            views = [cluster.links[name] for name in ("c2", "c3")]
            await until(
                lambda: all(
                    [b.name for b in viewer.view.backends] == ["engine-1"]
                    and viewer.view.weights == {MODEL: 2}
                    and any(
                        m.entry_address == "127.0.0.1:1" for m in viewer.view.members
                    )
                    for viewer in views
                ),
                what="backends, weights and addresses in all views",
            )
            self.assertTrue(await link.leave())
            await until(
                lambda: any(m.state is State.LEAVING for m in views[0].view.members),
                what="the leaving instance",
            )
            self.assertEqual(await cluster.stop_control("c1"), 0)
            await cluster.wait_until_alive(["c2", "c3"])
            self.assertNotIn("c1", (await cluster.platform_truth())["instances"])

    @on_kj_loop
    async def test_killed_and_frozen_instances_leave_the_view(self):
        """Guards against unresponsive instances that stay in the view."""
        async with ControlCluster() as cluster:
            names = ["c1", "c2", "c3", "c4"]
            await cluster.start_all(names)
            cluster.controls["c4"].kill()
            survivors = ["c1", "c2", "c3"]
            await cluster.wait_until_alive(survivors, survivors)
            cluster.controls["c3"].freeze()
            await cluster.wait_until_alive(["c1", "c2"], ["c1", "c2"])
            cluster.controls["c3"].thaw()
            await cluster.wait_until_alive(survivors, survivors)

    @on_kj_loop
    async def test_region_that_is_silent_is_suspect_until_it_returns(self):
        """Guards against an unreachable region whose members are declared dead."""
        async with ControlCluster({"membership": {"remote_share": 0.5}}) as cluster:
            near, far = ["c1", "c2"], ["f1", "f2"]
            cluster.start_platform()
            await cluster.propose(TABLE)
            for name in near:
                await cluster.start_control(name)
            for name in far:
                await cluster.start_control(name, region="region-2")
            await cluster.wait_until_alive([*near, *far])
            for name in far:
                cluster.controls[name].freeze()
            await cluster.wait_until_alive(near, near)
            seen = {m.name: m.state for m in cluster.links["c1"].view.members}
            self.assertEqual([seen.get(name) for name in far], [State.SUSPECT] * 2)
            for name in far:
                cluster.controls[name].thaw()
            await cluster.wait_until_alive([*near, *far])

    @on_kj_loop
    async def test_started_while_the_log_is_down_learns_the_table_from_peers(self):
        """Guards against instances without a table if started in an outage of the log."""
        async with ControlCluster() as cluster:
            await cluster.start_all(["a1", "a2", "a3"])
            await cluster.wait_for_revision(2, "a1", "a2", "a3")
            await cluster.add_engine("engine-1")
            await until(lambda: cluster.links["a3"].view.backends, what="the engine")
            await until(lambda: cluster.links["a2"].view.backends, what="the engine")
            await cluster.platform_faults(down=True)
            names = ["a1", "a2", "a3"]
            ages = []
            for old, new in (("a1", "b1"), ("a2", "b2"), ("a3", "b3")):
                await cluster.start_control(new)
                await cluster.wait_for_revision(2, new)
                view = cluster.links[new]
                await until(lambda view=view: view.view.backends, what="the engine")
                ages.append(cluster.links[new].view.age)
                self.assertEqual(await cluster.stop_control(old), 0)
                names = [name for name in [*names, new] if name != old]
                await cluster.wait_until_alive(names)
            self.assertEqual(sorted(ages), ages, "the confirmation grew younger")
            await cluster.platform_faults(down=False)
            second = await cluster.propose(TABLE, base=2, proposal="second")
            await cluster.wait_for_revision(second, *names)

    @on_kj_loop
    async def test_entry_keeps_its_view_while_control_restarts(self):
        async with ControlCluster() as cluster:
            await cluster.start_all(["c1", "c2"])
            await cluster.wait_for_revision(2, "c1", "c2")
            link = cluster.links["c1"]
            port = int(cluster.controls["c1"].ready["control"].rpartition(":")[2])
            cluster.controls["c1"].kill()
            await until(lambda: not link.connected, what="the loss")
            self.assertEqual(link.view.revision, 2)
            self.assertIsNotNone(link.view.table)
            await cluster.start_control("c1", control_port=port)
            await until(lambda: link.connected, what="the new process")
            await cluster.wait_until_alive(["c1", "c2"])
            self.assertEqual(link.view.revision, 2)

    @on_kj_loop
    async def test_quota_is_shared_and_outlives_its_holder(self):
        """Guards against quota that is lost or counted twice when its holder dies."""
        quick = {
            "lease": {"duration": 1.5, "renew_interval": 0.4},
            "weights": {"order_timeout": 0.5},
            "admission": {"grant_duration": 1.0, "fallback_duration": 2.0},
        }
        async with ControlCluster(quick) as cluster:
            await cluster.start_all(["c1", "c2"])
            await cluster.add_engine("engine-1", capacity=10)
            for name, link in cluster.links.items():
                wanted = {ROW: Usage(wanted=10)}
                link.set_report(Report(name, f"life of {name}", 0, wanted))
            grants = await until(cluster.all_granted, what="grants for both")
            self.assertLessEqual(sum(grant.slots for grant in grants), 10)
            holder = await cluster.holder(f"quota/{SERVICE}")
            survivor = "c2" if holder == "c1" else "c1"
            old = cluster.links[survivor].view.grants[ROW]
            cluster.controls[holder].kill()
            await until(
                lambda: (
                    cluster.links[survivor].view.grants[ROW].number >> 32
                    > old.number >> 32
                ),
                what="a grant of the new holder",
            )
            self.assertEqual(await cluster.holder(f"quota/{SERVICE}"), survivor)
            await until(
                lambda: cluster.links[survivor].view.grants[ROW].slots == 10,
                what="all slots, once the dead instance's have lapsed",
            )

    @on_kj_loop
    async def test_no_table_without_log_and_peers(self):
        async with ControlCluster() as cluster:
            cluster.start_platform()
            await cluster.propose(TABLE)
            await cluster.platform_faults(down=True)
            await cluster.start_control("c1")
            await until(lambda: cluster.links["c1"].connected, what="the link")
            await until(lambda: cluster.links["c1"].view.members, what="itself")
            self.assertIsNone(cluster.links["c1"].view.table)
            await cluster.platform_faults(down=False)
            await cluster.wait_for_revision(1, "c1")
