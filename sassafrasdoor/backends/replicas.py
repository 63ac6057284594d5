"""The interface to one replica, independent of its protocol."""

from abc import ABC, abstractmethod

from sassafrasdoor.outcomes import NotRun, Outcome


class WrongReplica(NotRun):
    """Another replica has the address now; the request did not run there."""

    __slots__ = ()


class SampleFailed(Outcome):
    """A replica failed to generate a sample; ``final`` if a retry can't succeed."""

    __slots__ = ("final",)

    def __init__(self, reason, final):
        super().__init__(reason)
        self.final = final


class OrderRefused(Outcome):
    """A replica refused an order temporarily, for example while another one runs."""

    __slots__ = ()


class OrderMisdirected(OrderRefused):
    """Another replica has the address: the one that was named has carried out nothing."""

    __slots__ = ()


class DirectCall:
    """A caller's request to a replica; ``headers`` is a list of pairs.

    ``after`` is the number of the last event that the caller has received, None for
    none; ``deadline`` is monotonic, ``fresh`` forbids a reused connection. ``account``
    names the caller's client account, empty for none. ``earlier_exchanges`` counts those
    that its connection had carried before; ``signature`` is that of its answer, empty
    for none.
    """

    __slots__ = (
        "account",
        "after",
        "body",
        "deadline",
        "earlier_exchanges",
        "fresh",
        "headers",
        "method",
        "path",
        "request_id",
        "signature",
    )

    def __init__(
        self,
        method,
        path,
        headers,
        body,
        request_id,
        deadline,
        fresh=False,
        account="",
    ):
        self.account = account
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.request_id = request_id
        self.deadline = deadline
        self.fresh = fresh
        self.after = None
        self.earlier_exchanges = 0
        self.signature = ""


class SampleOrder:
    """A sample to generate, or to resume.

    ``after`` is the number of the last event already received, None for none;
    ``account`` names the client account of the step, empty for none. ``priority`` is the
    rank at the replica, 0 the first and 9 the last, None to state none.
    ``earlier_exchanges`` and ``signature`` are as in ``DirectCall``.
    """

    __slots__ = (
        "account",
        "after",
        "body",
        "deadline",
        "earlier_exchanges",
        "headers",
        "host",
        "item_id",
        "path",
        "priority",
        "signature",
    )

    def __init__(self, item, host, deadline, after, account="", priority=None):
        self.account = account
        self.priority = priority
        self.item_id = item.item_id
        self.path = item.path
        self.headers = item.headers
        self.body = item.body
        self.host = host
        self.deadline = deadline
        self.after = after
        self.earlier_exchanges = 0
        self.signature = ""


class Event:
    """One event of a sample's stream; ``version`` generated it (0: unknown)."""

    __slots__ = ("data", "number", "version")

    def __init__(self, number, data, version):
        self.number = number
        self.data = data
        self.version = version


class VersionOrder:
    """An order to load a version of a model, with the sender's fencing number.

    With ``finish_first`` running samples finish with the weights they started with.
    """

    __slots__ = ("deadline", "fence", "finish_first", "holder", "model", "version")

    def __init__(self, model, version, holder, fence, finish_first, deadline):
        self.model = model
        self.version = version
        self.holder = holder
        self.fence = fence
        self.finish_first = finish_first
        self.deadline = deadline


class ReplicaClient(ABC):
    """Calls to replicas. Cancelling a call ends it at the replica."""

    @abstractmethod
    async def call(self, replica, call):
        """Return the ``Answer``, ``NotRun``, ``WrongReplica`` or ``Broken``."""

    @abstractmethod
    async def try_connect(self, replica):
        """Return True if it accepts a connection, else ``Refused`` or ``Broken``."""

    @abstractmethod
    async def stream(self, replica, call, relay):
        """Relay events; return True when complete, else an outcome as ``call`` does.

        ``relay.head(pairs)`` receives the headers of a stream that succeeds, and
        ``await relay.event(number, block)`` each complete event unchanged.
        """

    @abstractmethod
    async def generate(self, replica, order, on_event):
        """Pass events to ``on_event(event)``, which returns False to end the stream.

        Return the version, ``SampleFailed``, ``NotRun`` or ``Broken``.
        """

    @abstractmethod
    async def order(self, replica, order):
        """Return True, ``Stale``, ``OrderRefused``, ``Unavailable`` or ``ReplyLost``."""
