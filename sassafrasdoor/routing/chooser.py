"""Choice of a backend server for one call or stream.

Load reports lag. If all instances sent their work to the least loaded server, they would
overload it until the next report (herding). So two servers are drawn at random, and the
less loaded one is used; the load is the report plus what this process started since.
"""

import random
from functools import singledispatch
from operator import attrgetter

from sassafrasdoor import logs, metrics
from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.rendezvous import ranked
from sassafrasdoor.routing.backend_state import BackendState

name_of = attrgetter("name")

# Shares of capacity by which a server may be busier and still be preferred: one of the
# own zone, and one that probably has the prompt prefix in its cache.
ZONE_SLACK = 0.1
AFFINITY_SLACK = 0.25
DRAW_COUNT = 2
RETRY_AFTER = 1.0  # seconds
LEAVING_REASON = "leaving"

CHOSEN = metrics.counter("sassafrasdoor_routing_chosen_total", "Choices made.")
NO_BACKEND = metrics.counter(
    "sassafrasdoor_routing_none_total", "Choices for which no server was left."
)
FAILURES = metrics.counter(
    "sassafrasdoor_routing_failures_total", "Failures seen of backend servers."
)


class Chooser:
    """Chooses backend servers; one for each entry process."""

    __slots__ = ("_random", "_settings", "_states", "_subsets", "_view")

    def __init__(self, settings, source=None):
        self._settings = settings
        self._random = source or random.Random()
        self._states = {}
        self._subsets = {}
        self._view = None

    def choose(self, view, service, model="", affinity="", exclude=()):
        """Return the ``Backend`` to use, or ``NotRun`` if there is none.

        ``affinity`` names a prompt prefix; ``exclude`` holds the names of servers that
        were tried already.
        """
        usable = [
            backend
            for backend in self.subset(view, service, model)
            if backend.name not in exclude and not self._state(backend).leaving
        ]
        healthy = [backend for backend in usable if not self._state(backend).is_suspect]
        # If all are suspect, one is used nevertheless: one failure of the only server
        # must not cause all calls to be refused.
        candidates = healthy or usable
        if not candidates:
            NO_BACKEND.inc({})
            return NotRun(f"no backend server of {service} is available", RETRY_AFTER)
        CHOSEN.inc({})
        return self._pick(candidates, affinity)

    def subset(self, view, service, model=""):
        """Return the servers that this instance uses, of those alive in the view.

        The bounded subset keeps connections and load polls from growing as instances
        times servers.
        """
        if view is not self._view:
            self._update_view(view)
        key = (service, model)
        if key not in self._subsets:
            self._subsets[key] = self._make_subset(view, service, model)
        return self._subsets[key]

    def backends_in_use(self, view):
        """Return every server of all subsets, each once."""
        keys = {
            (backend.service, model)
            for backend in view.backends
            for model in (*backend.models, "")
        }
        backends = {
            backend.name: backend
            for service, model in sorted(keys)
            for backend in self.subset(view, service, model)
        }
        return list(backends.values())

    def started(self, backend):
        """Count a call or stream that begins on ``backend``."""
        self._state(backend).started()

    def finished(self, backend, outcome):
        """Count one that ended, with its ``outcome``, or None if cancelled."""
        state = self._state(backend)
        state.finished()
        if outcome is not None:
            _record_outcome(outcome, state, backend, self._settings)

    def report(self, backend, load):
        """Apply a load report, which lags by its ``age``."""
        state = self._state(backend)
        if load.leaving and not state.leaving:
            logs.changed("routing:leaving", backend=backend.name, by="report")
        state.record_report(load)

    def record_missed_report(self, backend):
        """Record that a load report was not received."""
        self._state(backend).record_missed_report()

    def load_of(self, backend):
        """Return the estimated load as a share of capacity."""
        return self._state(backend).score

    def in_flight(self, backend):
        """Return the number of calls and streams of this process on the server."""
        return self._state(backend).in_flight

    def leaving(self, backend):
        """Return whether the server itself has announced that it is leaving."""
        return self._state(backend).leaving

    def status(self, backend):
        """Return the state of a server as seen by this process, JSON-ready."""
        return self._state(backend).status()

    def _pick(self, candidates, affinity):
        best = min(self._draw_candidates(candidates), key=self._cost)
        if not affinity:
            return best
        preferred = ranked(candidates, affinity, name_of)[0]
        slack = self._cost(preferred) - self._cost(best)
        return preferred if slack <= AFFINITY_SLACK else best

    def _draw_candidates(self, candidates):
        """Draw two servers of the own zone and one of the others.

        With more draws the choice approaches the least loaded server of the reports, and
        with it herding, all the more the longer the reports lag.
        """
        own_zone = [backend for backend in candidates if self._is_near(backend)]
        other_zones = [backend for backend in candidates if not self._is_near(backend)]
        drawn = self._sample(own_zone, DRAW_COUNT)
        return drawn + self._sample(other_zones, max(1, DRAW_COUNT - len(drawn)))

    def _sample(self, candidates, count):
        return self._random.sample(candidates, min(count, len(candidates)))

    def _is_near(self, backend):
        return backend.availability_zone == self._settings.instance.availability_zone

    def _cost(self, backend):
        slack = 0.0 if self._is_near(backend) else ZONE_SLACK
        return self._state(backend).score + slack

    def _state(self, backend):
        # A server with the same name at another address is a new one.
        key = (backend.name, backend.address)
        if key not in self._states:
            self._states[key] = BackendState(backend.capacity)
        return self._states[key]

    def _update_view(self, view):
        self._view = view
        self._subsets = {}
        known = {(backend.name, backend.address) for backend in view.backends}
        for key in [key for key in self._states if key not in known]:
            if not self._states[key].in_flight:
                del self._states[key]

    def _make_subset(self, view, service, model):
        serving = [
            backend
            for backend in view.serving(service)
            if not model or model in backend.models
        ]
        size = self._settings.routing.subset_size
        if len(serving) <= size:
            return serving
        return ranked(serving, self._settings.instance.name, name_of)[:size]


@singledispatch
def _record_outcome(outcome, state, backend, settings):
    """Update ``state`` by the outcome of a call; complete ones count as answers."""
    state.answered()


@_record_outcome.register
def _(outcome: NotRun, state, backend, settings):
    if LEAVING_REASON in outcome.reason:
        logs.changed("routing:leaving", backend=backend.name, by="refusal")
        state.leaving = True
        return
    state.record_refusal()


@_record_outcome.register(Broken)
@_record_outcome.register(Unknown)
def _(outcome, state, backend, settings):
    FAILURES.inc({})
    if not state.failures:
        logs.changed("routing:suspect", backend=backend.name, reason=outcome.reason)
    state.failed(settings.routing.suspect_backend_for)
