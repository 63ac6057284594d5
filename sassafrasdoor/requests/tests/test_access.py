"""Which requests may run, by the keys of client accounts."""

import unittest

from sassafrasdoor.clock import boot_now
from sassafrasdoor.outcomes import NotRun, Outcome
from sassafrasdoor.requests.access import PUBLIC, Access, Unauthorized
from sassafrasdoor.requests.attempts import denial, fingerprint
from sassafrasdoor.requests.tests.fixtures import direct_request
from sassafrasdoor.security import key_hash
from sassafrasdoor.steps.durable.tests.fixtures import route
from sassafrasdoor.table.accounts import Account, Accounts
from sassafrasdoor.table.routes import Configuration, Limits, RoutesInForce

REVOKE_WITHIN = 5.0
CONFIG_APPLY = 3.0


class Settings:
    fail_closed = True
    revoke_within = REVOKE_WITHIN


def accounts(**keys):
    """Return ``Accounts`` with the given keys by name."""
    return Accounts([Account(name, map(key_hash, held)) for name, held in keys.items()])


class AccessTest(unittest.TestCase):
    def setUp(self):
        self.age = 0.0
        self.routes = RoutesInForce(lambda: boot_now() - self.age, lambda: CONFIG_APPLY)
        self.settings = Settings()
        self.access = Access(self.routes, self.settings)
        self.configure(a=["k1", "k2"], b=["k3"])

    def configure(self, **keys):
        self.take(accounts(**keys))

    def take(self, held):
        before = self.routes.current.version if self.routes.current else 0
        self.routes.take(Configuration(before + 1, [], {}, Limits(1, 1, 1.0), held))

    def test_configuration_without_accounts_asks_no_key(self):
        self.take(None)
        for key in (None, "k1", "other"):
            self.assertIs(self.access.grant(key, False), PUBLIC)

    def test_key_selects_its_account(self):
        for key, name in (("k1", "a"), ("k2", "a"), ("k3", "b")):
            self.assertEqual(self.access.grant(key, False).account, name)

    def test_public_route_asks_no_key(self):
        self.age = 2 * REVOKE_WITHIN
        self.assertIs(self.access.grant(None, True), PUBLIC)

    def test_request_without_a_known_key_is_unauthorized(self):
        for key in (None, "other"):
            self.assertIsInstance(self.access.grant(key, False), Unauthorized)

    def test_unknown_key_is_retryable_when_accounts_may_be_old(self):
        """Guards against a 401 for a key that was added since the last check."""
        self.age = CONFIG_APPLY + 0.1
        refused = self.access.grant("new", False)
        self.assertIsInstance(refused, NotRun)
        self.assertGreater(refused.retry_after, 0)

    def test_known_key_is_refused_when_it_may_have_been_taken_away(self):
        """Guards against requests of a taken key at an instance that nobody tells."""
        self.age = REVOKE_WITHIN * 0.8
        self.assertEqual(self.access.grant("k1", False).account, "a")
        self.assertFalse(self.access.is_expired)
        self.age = REVOKE_WITHIN
        self.assertIsInstance(self.access.grant("k1", False), NotRun)
        self.assertTrue(self.access.is_expired)

    def test_known_key_stays_valid_where_access_does_not_fail_closed(self):
        self.settings.fail_closed = False
        self.age = 10 * REVOKE_WITHIN
        self.assertEqual(self.access.grant("k1", False).account, "a")

    def test_waiting_request_is_not_sent_after_its_key_was_taken_away(self):
        """Guards against a send that a request has waited for while its key went."""
        request = direct_request(route(), grant=self.access.grant("k1", False))
        self.assertIsNone(denial(self.access, request))
        self.configure(a=["k2"], b=["k3"])
        self.assertIsInstance(denial(self.access, request), Unauthorized)

    def test_waiting_request_is_not_sent_after_the_accounts_expired(self):
        """Guards against a process that was suspended between check and send."""
        request = direct_request(route(), grant=self.access.grant("k1", False))
        self.age = REVOKE_WITHIN
        self.assertIsInstance(denial(self.access, request), NotRun)

    def test_key_that_moved_to_another_account_is_not_used_for_the_former(self):
        grant = self.access.grant("k1", False)
        self.configure(a=["k2"], b=["k1"])
        self.assertIsInstance(self.access.check(grant), Unauthorized)

    def test_no_key_is_in_a_refusal(self):
        """Guards against keys in logs: reasons of refusals are logged."""
        secret = "s3cret-key-of-somebody"
        refused = self.access.grant(secret, False)
        self.assertIsInstance(refused, Outcome)
        self.assertNotIn(secret, repr(refused))
        self.assertNotIn(key_hash(secret), repr(refused))

    def test_fingerprint_tells_accounts_apart_without_their_keys(self):
        """Guards against one account's crashing request quarantining another's."""
        prints = {fingerprint([], "POST", "/p", b"b", name) for name in ("", "a", "b")}
        self.assertEqual(len(prints), 3)


if __name__ == "__main__":
    unittest.main()
