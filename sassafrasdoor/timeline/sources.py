"""Where the time line's events come from: entry and control processes."""

import json

from tornado.httpclient import HTTPError
from tornado.simple_httpclient import SimpleAsyncHTTPClient

from sassafrasdoor.control import messages
from sassafrasdoor.events import EVENTS, Event
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.peers.link import PeerLink

READ_TIMEOUT = 5.0
OWN_FIELDS = ("stamp", "process", "kind")


class EntrySource:
    """The ring of an entry process, over HTTP."""

    __slots__ = ("_address", "_client")

    def __init__(self, address, client=None):
        self._address = address
        self._client = client or SimpleAsyncHTTPClient(force_instance=True)

    @property
    def name(self):
        """What messages call this source."""
        return f"entry {self._address}"

    async def read(self, since):
        """Return a page of events above a stamp, or ``Unavailable``."""
        url = f"http://{self._address}/v1/events?since={since}"
        try:
            response = await self._client.fetch(url, request_timeout=READ_TIMEOUT)
            documents = json.loads(response.body)["events"]
            return [event_from(document) for document in documents]
        except (HTTPError, OSError) as error:
            return Unavailable(str(error))
        except (ValueError, KeyError, TypeError) as error:
            return Unavailable(f"unreadable: {type(error).__name__}")

    def close(self):
        """Close the HTTP client."""
        self._client.close()


class ControlSource:
    """The ring of a control process, over a peer link; needs a ``kj_loop``."""

    __slots__ = ("_link",)

    def __init__(self, settings, address):
        self._link = PeerLink(settings, address, messages.SCHEMA.Control)

    @property
    def name(self):
        """What messages call this source."""
        return f"control {self._link.address}"

    async def read(self, since):
        """Return a page of events above a stamp, or ``Unavailable``."""
        if not self._link.connected:
            failed = await self._link.open()
            if failed is not None:
                return failed
        stamp = EVENTS.clock.stamp()
        answer = await self._link.call("events", since=since, stamp=stamp)
        if not answer:
            return answer
        return [
            Event(event.stamp, event.process, event.kind, json.loads(event.fields))
            for event in answer.events
        ]

    def close(self):
        """Close the connection."""
        self._link.close()


def event_from(document):
    """Return the ``Event`` in a mapping made by its ``as_dict``."""
    fields = {key: item for key, item in document.items() if key not in OWN_FIELDS}
    return Event(document["stamp"], document["process"], document["kind"], fields)
