"""HTTP calls that return a failure as a response instead of raising it."""

from tornado.httpclient import HTTPError, HTTPRequest, HTTPResponse

NO_REPLY = 599


def entry_request(address, path, ca_file="", **options):
    """Return the ``HTTPRequest`` of a call to an entry instance.

    ``ca_file`` is the PEM file of the CA that signs the instances' certificates;
    with it the call goes over TLS, without it over plain TCP.
    """
    scheme = "https" if ca_file else "http"
    return HTTPRequest(
        f"{scheme}://{address}{path}", ca_certs=ca_file or None, **options
    )


async def fetch_response(client, request):
    """Return the response to ``request``; status 599 means no complete response.

    Tornado raises if there is no response at all, even with ``raise_error=False``;
    callers of this function handle that case as one more status.
    """
    try:
        return await client.fetch(request, raise_error=False)
    except (HTTPError, OSError) as error:
        return HTTPResponse(request, NO_REPLY, error=error)
