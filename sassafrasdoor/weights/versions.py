"""Announcing weight versions: one record on the agreed stream."""


async def announce(settings, log, model, version):
    """Append that ``version`` of ``model`` is in the weight store.

    Returns the record's offset, ``Unavailable`` or ``ReplyLost``. Versions only
    grow, and the fold drops a second copy and an older one; so it may be called
    again after either outcome.
    """
    body = {"kind": "weights", "model": model, "version": version}
    return await log.append(settings.platform.agreed_stream, body)
