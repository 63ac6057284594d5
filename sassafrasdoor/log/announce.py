"""Announcing a weight version on the agreed stream."""

import asyncio

from sassafrasdoor.clock import passed, remaining
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.outcomes import Rejected, ReplyLost, Unavailable

RETRY_INTERVAL = 0.1  # seconds


async def announce(settings, log, model, version, deadline):
    """Announce a version once; return the model's newest agreed version or an outcome.

    ``Rejected``: this or a newer version is already announced. ``ReplyLost``: the record
    was not read back by ``deadline``; repeating the announcement is harmless, as the fold
    ignores versions that are not newer.
    """
    follower = Follower(settings, log, agreed.fold, agreed.Agreed())
    state = await follower.catch_up(deadline)
    if not state:
        return state
    newest = state.weights.get(model, 0)
    if newest >= version:
        return Rejected(f"version {newest} of {model} is announced already")
    body = {"kind": "weights", "model": model, "version": version}
    result = await log.append(settings.platform.agreed_stream, body)
    if isinstance(result, Unavailable):
        return result
    while follower.state.weights.get(model, 0) < version:
        if passed(deadline):
            return ReplyLost("the announcement has not been seen in the log yet")
        if not await follower.poll(remaining(deadline)):
            await asyncio.sleep(min(RETRY_INTERVAL, remaining(deadline)))
    return follower.state.weights[model]
