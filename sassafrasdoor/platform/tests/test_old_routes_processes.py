"""Steps and requests in real processes that hold an older configuration than others."""

import asyncio
import signal
import unittest

from sassafrasdoor.platform.configuration import OPERATOR_TOPIC
from sassafrasdoor.platform.tests.cases import ROUTES, ProcessCase

READ_SECONDS = 0.4  # to read one record of the operator's topic
PAUSE = 0.3  # seconds, too short for others to take over the steps
FIRST_PREFIX, NEW_PREFIX = "/first/", "/new/"
FIRST_ROUTE = {**ROUTES[1], "Name": "f", "PathPrefix": FIRST_PREFIX}
NEW_ROUTE = {**ROUTES[1], "Name": "n", "PathPrefix": NEW_PREFIX}


class OldRoutesTest(ProcessCase):
    async def pause_runner(self):
        """Pause the runner of a step that is done; return it and another's number."""
        self.assertEqual((await self.submit("first", at=0)).code, 202)
        await self.wait_until(lambda: self.all_results("first"))
        await self.wait_until(lambda: self.lists_instances(0))
        runner = self.runner_instance()
        other = next(
            at for at, instance in enumerate(self.instances) if instance is not runner
        )
        runner.signal(signal.SIGSTOP)
        return runner, other

    async def add_routes(self, at):
        """Add two routes in two versions; wait until an instance knows each."""
        routes = list(ROUTES)
        for version, added in enumerate((FIRST_ROUTE, NEW_ROUTE), 2):
            routes.append(added)
            await self.configure(version, routes)
            await self.wait_until(
                lambda prefix=added["PathPrefix"]: self.knows(at, prefix)
            )

    async def knows(self, at, prefix):
        """Return whether an instance routes a prefix; a step without items is invalid."""
        reply = await self.fetch(self.instances[at].front, prefix, "POST", "{}")
        return reply.code == 400

    async def test_step_on_a_route_added_during_a_pause_of_its_runner(self):
        """Guards against a whole step errored by a runner with older routes.

        The paused runner finds the step at once, and of two new versions only the first.
        """
        runner, other = await self.pause_runner()
        await self.add_routes(other)
        self.store.record_read_seconds[OPERATOR_TOPIC] = READ_SECONDS
        reply = await self.submit("s", at=other, prefix=NEW_PREFIX)
        self.assertEqual(reply.code, 202)
        await asyncio.sleep(PAUSE)
        runner.signal(signal.SIGCONT)
        results = await self.wait_until(lambda: self.all_results("s", other))
        self.assertEqual({one["State"] for one in results}, {"completed"})
        self.check_texts(results)

    async def test_request_on_a_route_added_during_a_pause(self):
        """Guards against a 404 from an instance that has not read the route yet."""
        paused, other = await self.pause_runner()
        await self.add_routes(other)
        self.store.record_read_seconds[OPERATOR_TOPIC] = READ_SECONDS / 2
        paused.signal(signal.SIGCONT)
        self.assertEqual(
            (
                await self.submit(
                    "s", prefix=NEW_PREFIX, at=self.instances.index(paused)
                )
            ).code,
            202,
        )


if __name__ == "__main__":
    unittest.main()
