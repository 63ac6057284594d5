"""An entry process's view of the system: one immutable snapshot at a time.

The control process of the same instance sends each new view; decisions on the hot
path read ``View`` and refer to its table revision. Its members and backend servers
are hints; the table, the weights and their offsets are agreed.
"""

from enum import StrEnum

from sassafrasdoor.clock import now


class State(StrEnum):
    """Last known state of an instance or a backend server."""

    ALIVE = "alive"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    DEAD = "dead"


class BackendKind(StrEnum):
    """Kind of a backend server."""

    ENGINE = "engine"
    SERVICE = "service"


class Member:
    """An instance of this service. Addresses are ``host:port`` strings."""

    __slots__ = (
        "availability_zone",
        "control_address",
        "entry_address",
        "gossip_address",
        "incarnation",
        "name",
        "peer_address",
        "region",
        "state",
    )

    def __init__(
        self,
        name,
        incarnation=0,
        availability_zone="",
        region="",
        state=State.ALIVE,
        gossip_address="",
        control_address="",
        entry_address="",
        peer_address="",
    ):
        self.name = name
        self.incarnation = incarnation
        self.availability_zone = availability_zone
        self.region = region
        self.state = state
        self.gossip_address = gossip_address
        self.control_address = control_address
        self.entry_address = entry_address
        self.peer_address = peer_address


class Backend:
    """A backend server from the instance list.

    ``capacity`` is its number of concurrent streams or calls; ``checks_fencing`` is
    whether it rejects orders with an old fencing number.
    """

    __slots__ = (
        "address",
        "availability_zone",
        "capacity",
        "checks_fencing",
        "kind",
        "models",
        "name",
        "region",
        "service",
        "state",
    )

    def __init__(
        self,
        name,
        address,
        kind,
        service,
        availability_zone="",
        region="",
        capacity=1,
        checks_fencing=False,
        models=(),
        state=State.ALIVE,
    ):
        self.name = name
        self.address = address
        self.kind = BackendKind(kind)
        self.service = service
        self.availability_zone = availability_zone
        self.region = region
        self.capacity = capacity
        self.checks_fencing = checks_fencing
        self.models = tuple(models)
        self.state = State(state)


class View:
    """An immutable snapshot; ``number`` increases with each one.

    ``table`` is None until a table is known; ``revision`` is the log offset of
    the table in force; ``weights`` maps a model to its newest announced version
    (an integer); ``confirmed_at`` is the monotonic time at which the log last
    confirmed the agreed part; ``grants`` maps a row to its leased ``Grant`` and is
    None if no quota is distributed.
    """

    __slots__ = (
        "backends",
        "confirmed_at",
        "grants",
        "members",
        "number",
        "revision",
        "table",
        "weights",
    )

    def __init__(
        self,
        number=0,
        table=None,
        revision=0,
        weights=None,
        members=(),
        backends=(),
        confirmed_at=None,
        grants=None,
    ):
        self.number = number
        self.table = table
        self.revision = revision
        self.weights = dict(weights or {})
        self.members = tuple(members)
        self.backends = tuple(backends)
        self.confirmed_at = now() if confirmed_at is None else confirmed_at
        self.grants = None if grants is None else dict(grants)

    @property
    def age(self):
        """Seconds since the log last confirmed the agreed part."""
        return now() - self.confirmed_at

    def row(self, name):
        """Return the table's row of that name, or None."""
        return self.table.row(name) if self.table else None

    def newest(self, model):
        """Return the newest announced version of ``model``, 0 if none."""
        return self.weights.get(model, 0)

    def serving(self, service):
        """Return the backend servers of a service that are alive."""
        return [
            backend
            for backend in self.backends
            if backend.service == service and backend.state is State.ALIVE
        ]


class Grant:
    """A leased share: ``slots`` concurrent calls until ``deadline`` (monotonic).

    After the deadline ``fallback`` of them may be used until the next grant.
    ``number`` identifies the set of grants to which it belongs.
    """

    __slots__ = ("deadline", "fallback", "number", "slots")

    def __init__(self, slots, deadline, fallback=0, number=0):
        self.slots = slots
        self.deadline = deadline
        self.fallback = fallback
        self.number = number
