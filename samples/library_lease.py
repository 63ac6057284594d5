"""Hold a fenced lease with no daemon: act only while ``fence`` is above zero."""

import asyncio

from sassafrasdoor import settings
from sassafrasdoor.lease.holder import Holder
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.log.memory import MemoryLog


async def main():
    configured = settings.from_document({})
    log = MemoryLog()  # or sassafrasdoor.log.http.HttpLog(configured)
    follower = Follower(configured, log, agreed.fold, agreed.Agreed())
    holder = Holder(configured, log, follower, "plan")
    tasks = [asyncio.create_task(one.run()) for one in (follower, holder)]
    while not holder.fence:  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    print("holding: fencing number", holder.fence)
    await holder.release()
    print("released:", holder.fence)
    for task in tasks:
        task.cancel()


asyncio.run(main())
