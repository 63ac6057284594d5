"""Hedged calls to other instances until one of them answers."""

import asyncio

from sassafrasdoor.clock import passed, remaining


async def first_answer(peers, ask, is_answer, hedge_after, deadline):
    """Return the first result of ``ask(peer, deadline)`` that is an answer, or None.

    ``is_answer(result)`` decides. The next peer is asked once one has failed, or beside
    it after ``hedge_after`` seconds: one without power or frozen does not reply. It is
    taken from ``peers`` only then, so an iterator may choose it by earlier results.
    """
    peers, tasks = iter(peers), set()
    try:
        while not passed(deadline):
            peer = next(peers, None)
            if peer is not None:
                tasks.add(asyncio.ensure_future(ask(peer, deadline)))
            elif not tasks:
                return None
            timeout = remaining(deadline)
            done, tasks = await asyncio.wait(
                tasks,
                timeout=timeout if peer is None else min(timeout, hedge_after),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                if is_answer(task.result()):
                    return task.result()
        return None
    finally:
        for task in tasks:
            task.cancel()
