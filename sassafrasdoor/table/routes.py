"""Routes: the services of a request, its timeout and its number of attempts.

The operator's configuration maps hosts and path prefixes to routes, next to the rows
of the table. ``RoutesInForce`` holds the newest version seen, never an older one.
"""

import math
import random
from enum import StrEnum

from sassafrasdoor.clock import LONG_AGO, boot_now, now
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import NotRun

# Seconds; while the operator's records can't be read, a read is attempted at least
# this often.
STALE_RETRY_AFTER = 1.0

AGE = gauge("routes_age_seconds", "Seconds since the routes were last found current.")
STALE_REFUSALS = counter(
    "routes_unsure_total", "Unknown routes refused since the routes may be old."
)


class Repeat(StrEnum):
    """How a request of the route may be repeated."""

    SAFE = "safe"
    ONCE = "once"
    RESUME = "resume"
    """A stream that another replica can resume after its last event."""
    STEP = "step"


class Route:
    """One route; times are in seconds.

    ``services`` are ``(service, weight)`` pairs. ``timeout`` bounds how long a
    caller waits, ``target`` is the latency that the operator wants.
    ``streams`` means that answers are event streams, relayed as they arrive.
    ``public`` routes ask for no key of a client account. ``priority`` is the route's
    rank, 0 the most urgent.
    ``due_after`` is the time after its submission in which a step is due, None if it is
    not stated.
    ``keep_for`` is how long a sample of a step runs before it may be abandoned,
    ``one_version`` forbids samples of several weight versions.
    """

    __slots__ = (
        "attempts",
        "due_after",
        "host",
        "keep_for",
        "name",
        "one_version",
        "prefix",
        "priority",
        "public",
        "repeat",
        "services",
        "streams",
        "target",
        "timeout",
    )

    def __init__(self, **fields):
        fields = {"due_after": None, "priority": 0, "public": False, **fields}
        for name in self.__slots__:
            setattr(self, name, fields[name])

    def pick_service(self):
        """Return a random service, by weight."""
        names = [name for name, _ in self.services]
        if len(names) == 1:
            return names[0]
        weights = [weight for _, weight in self.services]
        return random.choices(names, weights)[0]


class Limits:
    """Limits for callers: sizes in bytes, and seconds that a connection may be idle."""

    __slots__ = ("body_bytes", "header_bytes", "idle_timeout")

    def __init__(self, header_bytes, body_bytes, idle_timeout):
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.idle_timeout = idle_timeout


class Scaling:
    """Bounds for the replicas of a service in one availability zone.

    ``interruptible_price`` is the price of an interruptible replica as a share of
    another's, None if there are none.
    """

    __slots__ = ("interruptible_price", "least", "most")

    def __init__(self, least, most, interruptible_price=None):
        self.interruptible_price = interruptible_price
        self.least = least
        self.most = most


class Configuration:
    """One version of the operator's configuration.

    ``accounts`` are the client accounts, None if requests need no key. ``scaling`` maps
    services whose replicas may be ordered to their ``Scaling``, ``engine_memory`` services
    to the memory of one of their engines in tokens.
    """

    __slots__ = (
        "_by_host",
        "accounts",
        "engine_memory",
        "limits",
        "routes",
        "scaling",
        "service_models",
        "version",
    )

    def __init__(
        self,
        version,
        routes,
        service_models,
        limits,
        accounts=None,
        scaling=(),
        engine_memory=(),
    ):
        self.accounts = accounts
        self.engine_memory = dict(engine_memory)
        self.scaling = dict(scaling)
        self.version = version
        self.routes = routes
        self.service_models = service_models
        self.limits = limits
        self._by_host = {}
        for route in routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes_of_host in self._by_host.values():
            routes_of_host.sort(key=lambda route: len(route.prefix), reverse=True)

    def match(self, host, path):
        """Return the route with the longest prefix of ``path``, or None."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def has_public_steps(self, host):
        """Return whether steps of a host may be submitted without a key."""
        return any(
            route.public and route.repeat is Repeat.STEP
            for route in self._by_host.get(host.lower(), ())
        )


class RoutesInForce:
    """The newest configuration seen; ``current`` is None before the first.

    ``confirmed_at()`` returns when the last check that found nothing newer was sent, or
    None; ``max_age()`` the seconds until a new version must be in force. The time is that
    of ``boot_now``, since an instance that was suspended has missed what happened.

    ``read_at()`` returns the same time by the monotonic clock, and ``request_read()``
    starts another check. Both order the routes against what else this process has learned.
    """

    __slots__ = (
        "_callbacks",
        "_confirmed_at",
        "_is_stale",
        "_is_unreadable",
        "_max_age",
        "_read_at",
        "_request_read",
        "current",
        "taken_at",
    )

    def __init__(
        self,
        confirmed_at=boot_now,
        max_age=lambda: math.inf,
        read_at=now,
        request_read=lambda: None,
    ):
        self._confirmed_at = confirmed_at
        self._max_age = max_age
        self._read_at = read_at
        self._request_read = request_read
        self._is_stale = False
        self._is_unreadable = False
        self.current = None
        self.taken_at = None
        self._callbacks = []

    @property
    def age(self):
        """Seconds since a check last found nothing newer; infinite before the first."""
        confirmed_at = self._confirmed_at()
        return boot_now() - (LONG_AGO if confirmed_at is None else confirmed_at)

    @property
    def are_stale(self):
        """Whether a newer version may have to be in force."""
        return self.age > self._max_age()

    def is_known_since(self, moment):
        """Whether the routes are as new as all that were acknowledged before a moment.

        ``moment`` is a monotonic time. Whatever this process had learned by then was
        written before the check that found nothing newer was sent, and so were the routes
        that its writer knew. No clock of another machine is compared.
        """
        read_at = self._read_at()
        if read_at is None or self._is_unreadable:
            return False
        return read_at >= moment

    def require_known_since(self, moment):
        """Return ``is_known_since(moment)``; start a check of the routes if it is false."""
        if self.is_known_since(moment):
            return True
        self._request_read()
        return False

    def report_age(self):
        """Update the age metric; log when the routes become stale or current again."""
        age = self.age
        AGE.set({}, age)
        is_stale = self.current is not None and age > self._max_age()
        if is_stale == self._is_stale:
            return
        self._is_stale = is_stale
        if is_stale:
            note("routes.old", version=self.current.version, age=rounded_age(age))
        else:
            note("routes.current_again", version=self.current.version)

    def resolve_unknown(self, outcome, arrived_at=LONG_AGO):
        """Return ``outcome`` for an unknown route or key, ``NotRun`` if it may be new.

        It may be if the routes are stale, or older than the request that came at the
        monotonic time ``arrived_at``; its caller should retry then.
        """
        if not self.are_stale and self.is_known_since(arrived_at):
            return outcome
        STALE_REFUSALS.inc({})
        note("request.route_unsure", age=rounded_age(self.age))
        return NotRun("the routes may be old", STALE_RETRY_AFTER)

    def mark_unreadable(self):
        """Record that the newest version cannot be read here, until another one can.

        The version in force stays, but does not tell what is missing in the newest.
        """
        self._is_unreadable = True

    def on_change(self, callback):
        """Call ``callback(configuration)`` for each new version."""
        self._callbacks.append(callback)

    def take(self, configuration):
        """Put a version in force if it is newer; return whether it was.

        A delayed record, or a page that is not a snapshot, may contain an older
        version, with which requests would run that the operator has forbidden since.
        """
        self._is_unreadable = False
        before = self.current.version if self.current else 0
        if configuration.version <= before:
            return False
        self.current = configuration
        self.taken_at = now()
        note("routes.in_force", version=configuration.version, before=before)
        for callback in self._callbacks:
            callback(configuration)
        return True


def rounded_age(age):
    """Return an age for a log line, None if it is infinite."""
    return None if math.isinf(age) else round(age, 3)
