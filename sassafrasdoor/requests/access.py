"""Decides which callers' requests may run, by the keys of client accounts.

Load pattern: keys are taken away while this instance is cut off from the log, frozen or
just restarted into an outage, so that nothing tells it. What counts is how long ago a
check of the configuration that found nothing newer was sent.
"""

from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.outcomes import NotRun, Outcome
from sassafrasdoor.security import key_hash

# Seconds until a refused caller should try again. Another instance may know at once, and
# callers that are refused by one go to another.
RETRY_AFTER = 0.2
# Share of the revocation bound up to which the accounts are relied on. The rest covers
# clocks of different speed and the way of a request from its caller.
REVOCATION_SHARE = 0.9
# Characters of a key's hash in a log line.
LOGGED_HASH_LENGTH = 8

REFUSALS = counter(
    "access_refused_total", "Requests refused for their key, by account and reason."
)
AGE = gauge("access_age_seconds", "Seconds since the accounts were last confirmed.")


class Unauthorized(Outcome):
    """The request has no key, or one that no client account holds."""

    __slots__ = ()


class Grant:
    """A caller's permission: the name of its account, empty on public routes.

    ``hashed`` is the hash of its key, ``priority`` that of the account or None.
    """

    __slots__ = ("account", "hashed", "priority")

    def __init__(self, account="", hashed="", priority=None):
        self.account = account
        self.hashed = hashed
        self.priority = priority


PUBLIC = Grant()


class Access:
    """Grants and checks access by the accounts of the configuration in force.

    ``routes`` are the ``RoutesInForce``; ``settings`` has ``fail_closed``, whether keys
    expire without confirmation, ``revoke_within``, the seconds within which a key that
    was taken away must be refused, and ``config_apply``, those within which a new one
    must be known.
    """

    __slots__ = ("_routes", "_settings")

    def __init__(self, routes, settings):
        self._routes = routes
        self._settings = settings

    @property
    def fails_closed(self):
        """Whether nothing may be served for which a key may be needed and unknown."""
        return self._settings.fail_closed

    @property
    def is_expired(self):
        """Whether requests with a key are refused until the accounts are confirmed."""
        configuration = self._routes.current
        if configuration is None or configuration.accounts is None:
            return False
        age = self._routes.age
        AGE.set({}, age)
        return self.fails_closed and age > self._max_age

    @property
    def _max_age(self):
        return self._settings.revoke_within * REVOCATION_SHARE

    def grant(self, key, is_public):
        """Return the ``Grant`` for a request, ``NotRun`` or ``Unauthorized``.

        ``key`` is None for a request without one.
        """
        accounts = self._routes.current.accounts
        if accounts is None or is_public:
            return PUBLIC
        if key is None:
            return self._refuse("", Unauthorized("no key"))
        hashed = key_hash(key)
        account = accounts.find_hash(hashed)
        if account is None:
            # A key may have been added since the last check.
            unknown = Unauthorized(
                f"no client account holds the key {hashed[:LOGGED_HASH_LENGTH]}..."
            )
            return self._refuse("", self._routes.resolve_unknown(unknown))
        grant = Grant(account.name, hashed, account.priority)
        return self._unless_expired(grant)

    def check(self, grant):
        """Return ``grant`` if it is still valid, ``NotRun`` or ``Unauthorized``."""
        accounts = self._routes.current.accounts
        if not grant.account or accounts is None:
            return grant
        account = accounts.find_hash(grant.hashed)
        if account is None or account.name != grant.account:
            taken = Unauthorized("the key was taken away")
            return self._refuse(grant.account, taken)
        return self._unless_expired(grant)

    def _unless_expired(self, grant):
        if not self.is_expired:
            return grant
        reason = (
            f"client accounts not confirmed for {self._routes.age:.1f} s, "
            f"more than {self._max_age:.1f} s"
        )
        return self._refuse(grant.account, NotRun(reason, RETRY_AFTER))

    def _refuse(self, account, outcome):
        REFUSALS.inc({"account": account, "reason": type(outcome).__name__})
        return outcome
