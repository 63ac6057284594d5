"""How sure an instance is of the routes in force."""

import unittest
from unittest import mock

from sassafrasdoor.clock import now
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.steps.durable.service import NotFound
from sassafrasdoor.table import routes as module
from sassafrasdoor.table.routes import Configuration, Limits, RoutesInForce


class RoutesAgeTest(unittest.TestCase):
    def setUp(self):
        self.confirmed_at = now()
        self.routes = RoutesInForce(lambda: self.confirmed_at, lambda: 2.0)
        self.routes.take(Configuration(1, [], {}, Limits(1, 1, 1.0)))
        self.missing = NotFound("no such route")

    def looks(self):
        """Return the line that a look writes, or None."""
        with mock.patch.object(module, "note") as line:
            self.routes.look()
        return line.call_args.args[0] if line.called else None

    def test_unknown_route_is_sure_within_the_bound(self):
        self.assertIs(self.routes.unknown(self.missing), self.missing)

    def test_unknown_route_is_not_sure_beyond_the_bound(self):
        """Guards against a 404 for a route that was added since."""
        self.confirmed_at -= 2.1
        outcome = self.routes.unknown(self.missing)
        self.assertIsInstance(outcome, NotRun)
        self.assertGreater(outcome.retry_after, 0)

    def test_routes_of_another_instance_are_never_sure(self):
        """Guards against a 404 by what another instance knew at the own start."""
        self.confirmed_at = None
        self.assertIsInstance(self.routes.unknown(self.missing), NotRun)

    def test_line_is_written_when_the_bound_is_passed_either_way(self):
        self.assertIsNone(self.looks())
        self.confirmed_at -= 2.1
        self.assertEqual(self.looks(), "routes.old")
        self.assertIsNone(self.looks())
        self.confirmed_at = now()
        self.assertEqual(self.looks(), "routes.current_again")
        self.assertIsNone(self.looks())

    def test_start_without_a_configuration_is_not_old(self):
        self.assertEqual(RoutesInForce(lambda: None, lambda: 2.0).look(), None)
