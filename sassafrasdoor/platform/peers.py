"""Help between instances while the store is unavailable to all or one of them.

An instance that starts during an outage has no configuration and no list of replicas or
instances. It loads them from the control addresses in its settings: instances there may
have loaded them earlier. An instance that alone is cut off from the store appends and
reads through another one. Both use the store's protocol, so the same client serves all.
"""

import random

from sassafrasdoor.clock import deadline_in
from sassafrasdoor.log.demand import RELAY, call_purpose
from sassafrasdoor.outcomes import Expired, Outcome, ReplyLost, Unavailable
from sassafrasdoor.platform.handlers import WireHandler
from sassafrasdoor.platform.store import (
    GONE,
    UNAVAILABLE,
    Store,
    batch_document,
    newest_document,
    unpack_records,
)

NEWEST_PATH, READ_PATH, APPEND_PATH = (
    "/-/log-newest",
    "/-/log-read",
    "/-/log-append",
)
# Query parameter: load the list from the store, not from the memory of the instance.
FROM_STORE_PARAMETER = "Store"
MAX_RELAYED_READ_WAIT = 1.0  # seconds; an instance's own reads wait as long
# Seconds for the store's answer after that wait; as for the instance's own appends.
RELAY_TIMEOUT = 0.8
UNPACKED_FACTOR = 9  # by which records of a single byte grow when they are unpacked
# Reports an append that may have landed; ``Store`` treats any such status that way.
UNKNOWN_OUTCOME_STATUS = 504


class Peers:
    """Clients of the control addresses of other instances."""

    __slots__ = ("_addresses", "_relay_clients", "_peer_clients")

    def __init__(self, addresses):
        self._addresses = list(addresses)
        self._peer_clients = [Store(address) for address in addresses]
        self._relay_clients = {}

    def relays(self, alive, lapsed=()):
        """Return clients of the control addresses of the instances that are alive.

        If there are none, they are clients of those in the settings and of ``lapsed``
        ones, in random order: some of them may serve.
        """
        addresses = alive
        if not addresses:
            candidates = {*self._addresses, *lapsed}
            addresses = random.sample(sorted(candidates), len(candidates))
        for address in addresses:
            if address not in self._relay_clients:
                # A relay that is paused would append complete records when it resumes.
                client = Store(
                    address,
                    newest_query={FROM_STORE_PARAMETER: 1},
                    awaits_continue=True,
                )
                self._relay_clients[address] = client
        return [self._relay_clients[address] for address in addresses]

    async def newest(self, topic):
        """Return the ``NewestKeys`` of a topic that a peer has, or None."""
        for client in random.sample(self._peer_clients, len(self._peer_clients)):
            newest_keys = await client.newest(topic)
            if not isinstance(newest_keys, Unavailable):
                return newest_keys
        return None

    def close(self):
        """Close all connections."""
        for client in [*self._peer_clients, *self._relay_clients.values()]:
            client.close()


class PeerHandler(WireHandler):
    """Returns the newest values of a keyed topic to another instance."""

    async def get(self):
        tail = self._parts.lists.get(self._query_value("Topic"))
        if tail is None:
            newest = None
        elif self._query_value(FROM_STORE_PARAMETER):
            newest = await self._load_from_store(tail)
        else:
            newest = tail.newest
        if newest is None or isinstance(newest, Outcome):
            self._reply(UNAVAILABLE)
        else:
            self._reply_json(200, newest_document(newest))

    async def _load_from_store(self, tail):
        if tail.failing_since is not None:
            return None
        with call_purpose(RELAY):
            return await self._while_connected(self._parts.store.newest(tail.topic))


class RelayHandler(WireHandler):
    """Relays appends and reads of an instance that is cut off from the store."""

    def prepare(self):
        super().prepare()
        # While the store is unavailable to all, relaying would only make every call
        # wait for a second timeout.
        if any(tail.failing_since is not None for tail in self._parts.lists.values()):
            self._reply(UNAVAILABLE)

    async def get(self):
        """Read from the store; never answers from this instance's memory."""
        with call_purpose(RELAY):
            await self._read()

    async def _read(self):
        wait = min(MAX_RELAYED_READ_WAIT, int(self._query_value("WaitMs", "0")) / 1000)
        offset = int(self._query_value("From"))
        store = self._parts.store
        max_bytes = int(self._query_value("MaxKb", "0")) * 1024 or None
        result = await self._while_connected(
            store.read(*self._partition(), offset, wait, RELAY_TIMEOUT, max_bytes)
        )
        if isinstance(result, Expired):
            self._reply_json(GONE, {"First": result.first})
        elif isinstance(result, Outcome):
            self._reply(UNAVAILABLE)
        elif result is not None:
            self._reply(200, [], batch_document(result))

    async def post(self):
        """Append; ``ReplyLost`` is never reported as an append without effect."""
        size = UNPACKED_FACTOR * len(self._body)
        if not self.request.connection.hold_decoded(size):
            self._reply(UNAVAILABLE)
            return
        records = unpack_records(self._body)
        if not records:
            self._reply(400)
            return
        with call_purpose(RELAY):
            result = await self._parts.store.append(
                *self._partition(), records, deadline_in(RELAY_TIMEOUT)
            )
        if isinstance(result, ReplyLost):
            self._reply(UNKNOWN_OUTCOME_STATUS)
        elif isinstance(result, Outcome):
            self._reply(UNAVAILABLE)
        else:
            self._reply_json(200, {"Offset": result.first, "End": result.end})

    def _partition(self):
        return self._query_value("Topic"), int(self._query_value("part"))
