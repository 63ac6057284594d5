"""One HTTP call whose failure is a reply, not an exception."""

from tornado.httpclient import HTTPError, HTTPResponse

NO_REPLY = 599


async def reply_to(client, request):
    """Return the response to ``request``; code 599 stands for no whole reply.

    Tornado raises when there is no response at all, even with
    ``raise_error=False``; callers of ours treat that as one more status.
    """
    try:
        return await client.fetch(request, raise_error=False)
    except (HTTPError, OSError) as error:
        return HTTPResponse(request, NO_REPLY, error=error)
