"""Handing a call on to other instances until one of them has an answer."""

import asyncio

from sassafrasdoor.clock import passed, remaining


async def first_answer(peers, ask, is_answer, hedge_after, deadline):
    """Return the first result of ``ask(peer, deadline)`` that is an answer, or None.

    ``is_answer(result)`` tells. The next peer is asked once one has failed, or beside
    it after ``hedge_after`` seconds: one that has lost power or stands still says
    nothing.
    """
    left, asked = list(peers), set()
    try:
        while (left or asked) and not passed(deadline):
            if left:
                asked.add(asyncio.ensure_future(ask(left.pop(0), deadline)))
            timeout = remaining(deadline)
            done, asked = await asyncio.wait(
                asked,
                timeout=min(timeout, hedge_after) if left else timeout,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                if is_answer(task.result()):
                    return task.result()
        return None
    finally:
        for task in asked:
            task.cancel()
