"""Announcing a weight version on the agreed stream."""

import asyncio

from sassafrasdoor.clock import passed, remaining
from sassafrasdoor.log import agreed
from sassafrasdoor.log.follower import Follower
from sassafrasdoor.outcomes import Rejected, ReplyLost, Unavailable

RETRY_INTERVAL = 0.1


async def announce(settings, log, model, version, deadline):
    """Announce a version once; return the newest agreed one or an outcome.

    ``Rejected``: one as new or newer is announced already. ``ReplyLost``: the log
    did not say in time; announcing again is harmless, the fold takes newer ones.
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
