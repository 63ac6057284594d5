"""Endpoint that tells callers which entry instances to use.

An answer is valid for ``discovery_valid`` seconds. It is computed by rendezvous hashing
of caller and members, so that all instances give the same answer and connections do not
grow as callers times instances.
"""

from operator import attrgetter

import tornado.web

from sassafrasdoor import metrics
from sassafrasdoor.callers.queries import query_value
from sassafrasdoor.rendezvous import ranked
from sassafrasdoor.view import State

name_of = attrgetter("name")

MAX_ARGUMENT_LENGTH = 64
RETRY_AFTER = 1  # seconds

ANSWERS = metrics.counter("sassafrasdoor_discovery_answers_total", "Answers given.")


def addresses_for(settings, view, caller, zone):
    """Return the members that a caller should use, the preferred first.

    Suspect and leaving members are excluded. Members of the caller's zone come first,
    but the last one is of another zone: a caller that knows one zone only would be cut
    off together with it.
    """
    alive = [
        member
        for member in view.members
        if member.state is State.ALIVE and member.entry_address
    ]
    order = ranked(alive, caller, name_of)
    own_zone = [member for member in order if member.availability_zone == zone]
    other_zones = [member for member in order if member.availability_zone != zone]
    size = settings.routing.discovery_size
    chosen = own_zone[: size - 1] if other_zones and size > 1 else own_zone[:size]
    return chosen + other_zones[: size - len(chosen)]


# Tornado would decode a form.
@tornado.web.stream_request_body
class AddressesHandler(tornado.web.RequestHandler):
    """``GET /v1/addresses?row=R&zone=Z``."""

    def initialize(self, settings, view_getter, requests):
        self._settings = settings
        self._view_getter = view_getter
        self._requests = requests

    def data_received(self, chunk):
        """Discard a piece of a body."""

    def write_error(self, status_code, **kwargs):
        """Send an error without a traceback."""
        self._refuse("rejected", self._reason)

    def _refuse(self, outcome, reason):
        self.set_header("X-Outcome", outcome)
        self.finish({"outcome": outcome, "reason": reason, "findings": []})

    def get(self):
        """Send the addresses, their validity and a prefix for request keys."""
        query = self.request.connection.query
        row = query_value(query, "row")[:MAX_ARGUMENT_LENGTH]
        zone = query_value(query, "zone")[:MAX_ARGUMENT_LENGTH]
        caller = f"{row}/{self.request.remote_ip}"
        members = addresses_for(self._settings, self._view_getter(), caller, zone)
        if not members:
            self.set_status(503)
            self.set_header("Retry-After", str(RETRY_AFTER))
            self._refuse("not-run", "no instance known yet")
            return
        ANSWERS.inc({})
        self.finish(
            {
                "addresses": [_address(member) for member in members],
                "valid_for_ms": int(self._settings.routing.discovery_valid * 1000),
                "key_prefix": self._requests.key_prefix(),
            }
        )


def handlers(settings, view_getter, requests):
    """Return the discovery handlers for the application."""
    arguments = {
        "settings": settings,
        "view_getter": view_getter,
        "requests": requests,
    }
    return [("/v1/addresses", AddressesHandler, arguments)]


def _address(member):
    return {
        "instance": member.name,
        "availability_zone": member.availability_zone,
        "address": member.entry_address,
    }
