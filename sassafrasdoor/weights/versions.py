"""Announcement of weight versions by records on the agreed stream."""


async def announce(settings, log, model, version):
    """Append a record that ``version`` of ``model`` is in the weight store.

    Returns the record's offset, ``Unavailable`` or ``ReplyLost``. It may be repeated after
    either outcome, since readers ignore records of the same or an older version.
    """
    body = {"kind": "weights", "model": model, "version": version}
    return await log.append(settings.platform.agreed_stream, body)
