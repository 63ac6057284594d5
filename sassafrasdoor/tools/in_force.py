"""Queries all instances for the table revision that they use."""

import asyncio
import json

import pycurl
from tornado.httpclient import HTTPError, HTTPRequest

from sassafrasdoor.clock import passed, remaining
from sassafrasdoor.curl import CurlClient
from sassafrasdoor.outcomes import Unavailable

MAX_CLIENTS = 50
CALL_TIMEOUT = 2.0
QUERY_INTERVAL = 0.2
CALL_ERRORS = (HTTPError, OSError, ValueError, KeyError, TypeError, AttributeError)


class RevisionCoverage:
    """The revision that each instance uses, by name; None if it did not answer."""

    __slots__ = ("revision", "revisions")

    def __init__(self, revision, revisions):
        self.revision = revision
        self.revisions = revisions

    @property
    def count(self):
        """The number of instances on which ``revision`` or a later one is in force."""
        return sum(
            (revision or 0) >= self.revision for revision in self.revisions.values()
        )

    @property
    def is_everywhere(self):
        """Whether ``revision`` is in force on all listed instances."""
        return self.count == len(self.revisions)

    @property
    def missing(self):
        """The names of the instances on which ``revision`` is not in force."""
        return sorted(
            name
            for name, revision in self.revisions.items()
            if (revision or 0) < self.revision
        )


class StatusClient:
    """Reads the status of the instances that the platform lists; close it after use."""

    __slots__ = ("_client", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._client = CurlClient(force_instance=True, max_clients=MAX_CLIENTS)

    def close(self):
        """Close the client and its connections."""
        self._client.close()

    async def wait(self, revision, deadline):
        """Return the coverage once it is complete, or as it is at ``deadline``."""
        while True:
            coverage = await self.query(revision)
            if (coverage and coverage.is_everywhere) or passed(deadline):
                return coverage
            await asyncio.sleep(min(QUERY_INTERVAL, remaining(deadline)))

    async def query(self, revision):
        """Return the current coverage, or ``Unavailable`` without an instance list."""
        try:
            listing = await self._get(
                f"{self._settings.platform.instances_url}/instances"
            )
            entries = {
                str(instance["name"]): instance["address"]
                for instance in listing["instances"]
                if instance.get("kind") == "entry"
                and instance.get("state", "alive") == "alive"
            }
        except CALL_ERRORS as error:
            return Unavailable(f"no instance list: {error}")
        revisions = await asyncio.gather(*map(self._revision, entries.values()))
        return RevisionCoverage(revision, dict(zip(entries, revisions, strict=True)))

    async def status(self, address):
        """Return the status page of an instance, or ``Unavailable``."""
        scheme = "https" if self._settings.tls.trusted_ca_file else "http"
        try:
            return await self._get(f"{scheme}://{address}/v1/status")
        except CALL_ERRORS as error:
            return Unavailable(f"no status from {address}: {error}")

    async def _revision(self, address):
        try:
            return int((await self.status(address))["revision"])
        except CALL_ERRORS:
            return None

    async def _get(self, url):
        request = HTTPRequest(
            url,
            follow_redirects=False,
            connect_timeout=CALL_TIMEOUT,
            request_timeout=CALL_TIMEOUT,
            ca_certs=self._settings.tls.trusted_ca_file or None,
            prepare_curl_callback=lambda curl: curl.setopt(pycurl.NOPROXY, "*"),
        )
        return json.loads((await self._client.fetch(request)).body)
