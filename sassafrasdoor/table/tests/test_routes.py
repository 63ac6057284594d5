"""When the routes in force are stale, and unknown routes then."""

import unittest
from unittest import mock

from sassafrasdoor.clock import boot_now
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.steps.durable.service import NotFound
from sassafrasdoor.table import routes as module
from sassafrasdoor.table.routes import Configuration, Limits, RoutesInForce


class RoutesAgeTest(unittest.TestCase):
    def setUp(self):
        self.confirmed_at = boot_now()
        self.routes = RoutesInForce(lambda: self.confirmed_at, lambda: 2.0)
        self.routes.take(Configuration(1, [], {}, Limits(1, 1, 1.0)))
        self.missing = NotFound("no such route")

    def reported_event(self):
        """Return the event that ``report_age`` logs, or None."""
        with mock.patch.object(module, "note") as line:
            self.routes.report_age()
        return line.call_args.args[0] if line.called else None

    def test_unknown_route_is_not_found_while_routes_are_current(self):
        self.assertIs(self.routes.resolve_unknown(self.missing), self.missing)

    def test_unknown_route_is_retryable_when_routes_are_stale(self):
        """Guards against a 404 for a route that was added since the last check."""
        self.confirmed_at -= 2.1
        outcome = self.routes.resolve_unknown(self.missing)
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after, 0)

    def test_unknown_route_is_retryable_before_the_first_confirmation(self):
        """Guards against a 404 from routes that were adopted from another instance."""
        self.confirmed_at = None
        self.assertIsInstance(self.routes.resolve_unknown(self.missing), NotRun)

    def test_change_between_current_and_stale_is_logged_once(self):
        self.assertIsNone(self.reported_event())
        self.confirmed_at -= 2.1
        self.assertEqual(self.reported_event(), "routes.old")
        self.assertIsNone(self.reported_event())
        self.confirmed_at = boot_now()
        self.assertEqual(self.reported_event(), "routes.current_again")
        self.assertIsNone(self.reported_event())

    def test_routes_without_a_configuration_are_not_stale(self):
        self.assertEqual(RoutesInForce(lambda: None, lambda: 2.0).report_age(), None)
