import asyncio
import unittest

from sassafrasdoor import settings
from sassafrasdoor.admission.grants import Report, Usage
from sassafrasdoor.clock import deadline_in, now
from sassafrasdoor.control import messages
from sassafrasdoor.control.link import IDLE_WAIT, ControlLink
from sassafrasdoor.control.service import ControlService
from sassafrasdoor.control.source import MAX_REMOVED_NAMES, ViewSource
from sassafrasdoor.peers.server import PeerServer
from sassafrasdoor.peers.tests.test_link import on_kj_loop
from sassafrasdoor.standin.proxy import Proxy
from sassafrasdoor.support import until
from sassafrasdoor.view import Backend, Grant, Member

REPORT = Report("entry-1", "life", 5, {"row": Usage(3, 2, 1)})
TABLE = '{"rows": []}'


class FakeControl:
    """The part of ``ControlProcess`` that ``ControlService`` uses."""

    def __init__(self):
        self.source = ViewSource()
        self.received = None
        self.has_left = False

    def handle_entry_report(self, *words):
        self.received = words

    def leave(self):
        self.has_left = True

    async def confirm(self, seconds):
        self.source.set_table(TABLE, 8)
        self.source.confirmed_at = now()


class ControlLinkTests(unittest.IsolatedAsyncioTestCase):
    async def serve(self, port=0, weights=None):
        self.control = FakeControl()
        self.control.source.set_weights(weights or {})
        server = PeerServer(
            self.settings, "127.0.0.1", port, ControlService(self.control)
        )
        await server.start()
        return server

    def setUp(self):
        self.settings = settings.from_document({})

    async def connect(self):
        server = await self.serve()
        link = ControlLink(self.settings, server.address)
        task = asyncio.create_task(link.run())
        await until(lambda: link.connected, what="the first update")
        return server, link, task

    async def stop(self, server, task):
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await server.close()

    @on_kj_loop
    async def test_control_metrics_are_readable(self):
        """Guards against metrics of control that nothing exposes."""
        server, link, task = await self.connect()
        self.assertIn("control_updates_total", await link.metrics())
        await self.stop(server, task)
        self.assertFalse(await link.metrics())

    @on_kj_loop
    async def test_confirmed_view_is_as_new_as_the_call(self):
        """Guards against calls refused by a table that is older than they are."""
        server, link, task = await self.connect()
        called_at = now()
        for waiting in ([link.confirm(0.5)], [link.confirm(0.5), link.confirm(0.5)]):
            await asyncio.gather(*waiting)
            self.assertEqual(link.view.revision, 8)
            self.assertGreaterEqual(link.view.confirmed_at, called_at)
            called_at = now()
            link._confirm_link.close()
        await self.stop(server, task)
        await link.confirm(0.5)
        self.assertLess(link.view.confirmed_at, now())

    @on_kj_loop
    async def test_parts_arrive_and_stay(self):
        server, link, task = await self.connect()
        seen = []
        link.on_change(seen.append)
        link.set_addresses("127.0.0.1:1", "127.0.0.1:2")
        link.set_report(REPORT)
        source = self.control.source
        source.set_members([Member("a", incarnation=2, region="r")])
        source.set_backends([Backend("e", "127.0.0.1:3", "engine", "llm", models="m")])
        source.set_table(TABLE, 7)
        source.confirmed_at = now()
        await until(lambda: link.view.table, what="the table")
        source.set_grants({"row": Grant(2, deadline_in(9), 1, 77)})
        await until(lambda: link.view.grants, what="the grants")
        view = link.view
        self.assertEqual(view.revision, 7)
        self.assertEqual(view.members[0].incarnation, 2)
        self.assertEqual(view.backends[0].models, ("m",))
        self.assertLess(view.age, 5)
        grant = view.grants["row"]
        self.assertGreater(grant.deadline, now())
        self.assertEqual((grant.slots, grant.fallback, grant.number), (2, 1, 77))
        self.assertIs(seen[-1], view)
        received = ["127.0.0.1:1", "127.0.0.1:2", link._known["number"]]
        await until(
            lambda: (
                self.control.received
                and list(self.control.received[:2]) == received[:2]
            ),
            what="addresses and report",
        )
        self.assertEqual(self.control.received[2].rows["row"].wanted, 3)
        await until(lambda: self.control.received[3] == received[2], what="its number")
        self.assertTrue(await link.leave())
        self.assertTrue(self.control.has_left)
        await self.stop(server, task)

    @on_kj_loop
    async def test_restart_of_control_keeps_the_view(self):
        """Guards against a restarted control process that reverts to an older view."""
        server, link, task = await self.connect()
        self.control.source.set_table(TABLE, 7)
        self.control.source.set_weights({"m": 4})
        self.control.source.set_backends([Backend("e", "127.0.0.1:3", "engine", "llm")])
        self.control.source.set_grants({"row": Grant(2, deadline_in(9), 1, 77)})
        await until(lambda: link.view.grants, what="the grants")
        await until(lambda: link.view.revision == 7, what="the table")
        port = int(server.address.rpartition(":")[2])
        await server.close()
        await until(lambda: not link.connected, what="the loss")
        self.assertEqual(link.view.revision, 7)
        server = await self.serve(port)
        numbers = [link.view.number]
        await until(lambda: link.connected, what="the new session")
        self.assertIsNotNone(link.view.table)
        self.assertEqual(link.view.weights, {"m": 4})
        self.assertEqual(link.view.grants["row"].number, 77)
        self.assertEqual([b.name for b in link.view.backends], ["e"])
        self.control.source.set_table(TABLE, 5)
        self.control.source.set_members([Member("b")])
        await until(lambda: link.view.members, what="the members")
        numbers.append(link.view.number)
        self.assertEqual(link.view.revision, 7)
        self.control.source.set_table(TABLE, 9)
        await until(lambda: link.view.revision == 9, what="revision 9")
        self.assertEqual(link.view.grants["row"].number, 77)
        self.control.source.set_grants({"row": Grant(3, deadline_in(9), 1, 78)})
        await until(lambda: link.view.grants["row"].number == 78, what="the new grants")
        self.assertEqual(sorted(numbers), numbers)
        await server.close()
        server = await self.serve(port, weights={"m": 9})
        await until(lambda: link.view.weights == {"m": 9}, what="a third session")
        await self.stop(server, task)

    @on_kj_loop
    async def test_only_what_changed_is_sent(self):
        """Guards against full lists sent at each change, and lost removals."""
        server, link, task = await self.connect()
        source = self.control.source

        def named(names, **fields):
            return [Member(name, **fields) for name in names]

        steps = [
            named("abc"),
            named("ab", incarnation=2) + named("d"),
            named("d"),
            named("cd"),
            [],
        ]
        for members in steps:
            with self.subTest([(m.name, m.incarnation) for m in members]):
                source.set_members(members)
                expected = {(m.name, m.incarnation) for m in members}
                await until(
                    lambda expected=expected: (
                        expected == {(m.name, m.incarnation) for m in link.view.members}
                    ),
                    what="these members",
                )
        source.set_members(named("abc"))
        number = source.number
        source.set_members([*named("ab"), Member("c", incarnation=3)])
        update = source.update(number)
        self.assertEqual([m["name"] for m in update["members"]], ["c"])
        source.set_members([*named("ab"), Member("c", incarnation=3)])
        self.assertEqual(source.number, number + 1, "nothing had changed")
        source.set_backends([Backend("e", "127.0.0.1:3", "engine", "llm")])
        await until(lambda: link.view.backends, what="the backend server")
        source.set_backends([])
        await until(lambda: not link.view.backends, what="its end")
        await self.stop(server, task)

    def test_entry_far_behind_is_sent_everything(self):
        source = ViewSource()
        source.set_members([Member("stays")])
        known = source.number
        for number in range(MAX_REMOVED_NAMES + 1):
            source.set_members([Member("stays"), Member(f"m{number}")])
        source.set_members([Member("stays")])
        update = source.update(known)
        self.assertTrue(update["allMembers"])
        self.assertEqual([m["name"] for m in update["members"]], ["stays"])
        self.assertFalse(source.update(source.number)["allMembers"])

    @on_kj_loop
    async def test_confirmation_ages_while_it_is_under_way(self):
        """Guards against samples delivered by a confirmation that arrived late."""
        server = await self.serve()
        proxy = await Proxy(server.address).open()
        link = ControlLink(self.settings, proxy.address)
        task = asyncio.create_task(link.run())
        await until(lambda: link.connected, what="the first update")
        for is_changed in (False, True):
            with self.subTest(is_changed=is_changed):
                # The reply to the exchange in progress is written while it is held up.
                self.control.received = None
                await until(lambda: self.control.received, what="an exchange")
                proxy.freeze()
                confirmed_at = self.control.source.confirmed_at = now()
                if is_changed:
                    self.control.source.set_members([Member("a")])
                await asyncio.sleep(IDLE_WAIT + 0.2)
                number = link.view.number
                self.control.source.confirmed_at = None
                proxy.thaw()
                await until(lambda: link.view.age < 30, what="the late reply")
                self.assertEqual(link.view.number, number + is_changed)
                self.assertAlmostEqual(link.view.confirmed_at, confirmed_at, places=6)
                link.view.confirmed_at = float("-inf")
        await self.stop(server, task)
        await proxy.close()

    def test_confirmation_of_an_earlier_control_process_counts_from_the_call(self):
        """Guards against a late reply that makes the view seem recent in an upgrade."""
        link = ControlLink(self.settings, "127.0.0.1:1")
        update = messages.SCHEMA.Update.new_message(
            session=1, number=1, confirmed=True, confirmedAgeMs=2000
        )
        link._apply(update, sent_at=now() - 1.5)
        self.assertGreaterEqual(link.view.age, 3.5)

    @on_kj_loop
    async def test_confirmation_without_change(self):
        server, link, task = await self.connect()
        self.assertEqual(link.view.age, float("inf"))
        number = link.view.number
        self.control.source.confirmed_at = now()
        await until(lambda: link.view.age < 5, what="the confirmation")
        self.assertEqual(link.view.number, number)
        await self.stop(server, task)
