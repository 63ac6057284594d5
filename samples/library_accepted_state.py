"""Follow the agreed state with no daemon: publish a table, read what is in force."""

import asyncio

from sassafrasdoor import settings
from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.memory import MemoryLog
from sassafrasdoor.table.publisher import propose

ROW = {"name": "boards", "kind": "application", "service": "occupancy"}


async def main():
    configured = settings.from_document({})
    log = MemoryLog()  # or sassafrasdoor.log.http.HttpLog(configured)
    follower = Follower(configured, log, agreed.fold, agreed.Agreed())
    follower.on_change(lambda state: print("in force: revision", state.revision))
    table = {"rows": [{**ROW, "key_hashes": ["0" * 64]}]}
    first = await propose(configured, log, table, 0, "anna", deadline_in(5))
    await follower.catch_up(deadline_in(5))
    late = await propose(configured, log, table, 0, "ben", deadline_in(5))
    print("accepted:", first.accepted, "- the second:", late.reason)


asyncio.run(main())
