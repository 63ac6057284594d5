"""Handing a call on to other instances until one of them has an answer."""

import asyncio

from sassafrasdoor.clock import passed, remaining


async def first_answer(peers, call, is_answer, hedge_after, deadline):
    """Return the first result of ``call(peer, deadline)`` that is an answer, or None.

    ``is_answer(result)`` tells. The next peer is asked once one has failed, or beside
    it after ``hedge_after`` seconds: one that has lost power or stands still says
    nothing.
    """
    uncalled, tasks = list(peers), set()
    try:
        while (uncalled or tasks) and not passed(deadline):
            if uncalled:
                tasks.add(asyncio.ensure_future(call(uncalled.pop(0), deadline)))
            timeout = remaining(deadline)
            done, tasks = await asyncio.wait(
                tasks,
                timeout=min(timeout, hedge_after) if uncalled else timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                if is_answer(task.result()):
                    return task.result()
        return None
    finally:
        for task in tasks:
            task.cancel()
