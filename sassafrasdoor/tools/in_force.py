"""Asking every instance which revision of the table it uses."""

import asyncio
import json

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError, HTTPRequest

from sassafrasdoor.clock import passed, remaining
from sassafrasdoor.outcomes import Unavailable

MAX_CLIENTS = 50
CALL_TIMEOUT = 2.0
ASK_AGAIN = 0.2
NO_ANSWER = (HTTPError, OSError, ValueError, KeyError, TypeError, AttributeError)


class InForce:
    """Instances by name, with the revision each one uses; None: it did not say."""

    __slots__ = ("revision", "revisions")

    def __init__(self, revision, revisions):
        self.revision = revision
        self.revisions = revisions

    @property
    def count(self):
        """On how many instances the revision, or a later one, is in force."""
        return sum((used or 0) >= self.revision for used in self.revisions.values())

    @property
    def everywhere(self):
        """Whether it is in force on all instances listed."""
        return self.count == len(self.revisions)

    @property
    def missing(self):
        """The names of the others."""
        return sorted(
            name for name, used in self.revisions.items() if (used or 0) < self.revision
        )


class Survey:
    """Asks the instances in the platform's list; close it after use."""

    __slots__ = ("_client", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    def close(self):
        """Close the client and its connections."""
        self._client.close()

    async def wait(self, revision, deadline):
        """Return ``InForce`` once true everywhere, or as it is at ``deadline``."""
        while True:
            found = await self.ask(revision)
            if (found and found.everywhere) or passed(deadline):
                return found
            await asyncio.sleep(min(ASK_AGAIN, remaining(deadline)))

    async def ask(self, revision):
        """Return ``InForce`` as of now, or ``Unavailable``: no instance list."""
        try:
            listed = await self._get(
                f"{self._settings.platform.instances_url}/instances"
            )
            entries = {
                str(one["name"]): one["address"]
                for one in listed["instances"]
                if one.get("kind") == "entry" and one.get("state", "alive") == "alive"
            }
        except NO_ANSWER as error:
            return Unavailable(f"no instance list: {error}")
        used = await asyncio.gather(*map(self._revision, entries.values()))
        return InForce(revision, dict(zip(entries, used, strict=True)))

    async def status(self, address):
        """Return the status page of an instance, or ``Unavailable``."""
        scheme = "https" if self._settings.tls.trusted else "http"
        try:
            return await self._get(f"{scheme}://{address}/v1/status")
        except NO_ANSWER as error:
            return Unavailable(f"no status from {address}: {error}")

    async def _revision(self, address):
        try:
            return int((await self.status(address))["revision"])
        except NO_ANSWER:
            return None

    async def _get(self, url):
        request = HTTPRequest(
            url,
            follow_redirects=False,
            connect_timeout=CALL_TIMEOUT,
            request_timeout=CALL_TIMEOUT,
            ca_certs=self._settings.tls.trusted or None,
            prepare_curl_callback=lambda curl: curl.setopt(pycurl.NOPROXY, "*"),
        )
        return json.loads((await self._client.fetch(request)).body)
