"""Sources of the timeline's events: entry and control processes."""

import json

from tornado.httpclient import HTTPError

from sassafrasdoor.control import messages
from sassafrasdoor.curl import CurlClient
from sassafrasdoor.events import EVENTS, Event
from sassafrasdoor.fetch import entry_request
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers.link import PeerLink

READ_TIMEOUT = 5.0  # seconds
ENVELOPE_FIELDS = ("stamp", "process", "kind")
PARSE_ERRORS = (ValueError, KeyError, TypeError, AttributeError, RecursionError)


class EntrySource:
    """The event ring of an entry process, over HTTP."""

    __slots__ = ("_address", "_ca_file", "_client")

    def __init__(self, address, client=None, ca_file=""):
        self._address = address
        self._ca_file = ca_file
        self._client = client or CurlClient(force_instance=True)

    @property
    def name(self):
        """The name of this source in messages."""
        return f"entry {self._address}"

    async def read(self, since):
        """Return a page of events above a stamp, or ``Unavailable``."""
        request = entry_request(
            self._address,
            f"/v1/events?since={since}",
            self._ca_file,
            request_timeout=READ_TIMEOUT,
        )
        try:
            response = await self._client.fetch(request)
            documents = json.loads(response.body)["events"]
            return [event_from(document) for document in documents]
        except (HTTPError, OSError) as error:
            return Unavailable(str(error))
        except PARSE_ERRORS as error:
            return Unavailable(f"unreadable: {type(error).__name__}")

    def close(self):
        """Close the HTTP client."""
        self._client.close()


class ControlSource:
    """The event ring of a control process, over a peer link; needs a ``kj_loop``."""

    __slots__ = ("_link",)

    def __init__(self, settings, address):
        self._link = PeerLink(settings, address, messages.SCHEMA.Control)

    @property
    def name(self):
        """The name of this source in messages."""
        return f"control {self._link.address}"

    async def read(self, since):
        """Return a page of events above a stamp, or ``Unavailable``."""
        if not self._link.connected:
            failure = await self._link.open()
            if failure is not None:
                return failure
        stamp = EVENTS.clock.stamp()
        reply = await self._link.call("events", since=since, stamp=stamp)
        if not reply:
            return reply
        try:
            return [
                event_from(
                    {
                        **json.loads(event.fields),
                        "stamp": event.stamp,
                        "process": event.process,
                        "kind": event.kind,
                    }
                )
                for event in reply.events
            ]
        except PARSE_ERRORS as error:
            return Unavailable(f"unreadable: {type(error).__name__}")

    def close(self):
        """Close the connection."""
        self._link.close()


def event_from(document):
    """Return the ``Event`` of a mapping made by its ``as_dict``.

    Raises one of ``PARSE_ERRORS`` if it is malformed: events could not be sorted by
    a stamp that is no integer.
    """
    if type(document["stamp"]) is not int:
        raise TypeError("stamp")
    fields = {
        key: value for key, value in document.items() if key not in ENVELOPE_FIELDS
    }
    return Event(
        document["stamp"], str(document["process"]), str(document["kind"]), fields
    )
