"""The duties of one process: those that the platform's settings name."""

from sassafrasdoor.duties.reporter import UsageReporter
from sassafrasdoor.duties.scaler import ReplicaScaler
from sassafrasdoor.duties.turn import Turn
from sassafrasdoor.table.routes import Repeat

USAGE, SCALE = "usage", "scale"


class Duties:
    """Builds, runs and ends the duties; each has a turn of its own under one lease.

    ``usage`` counts requests, None where no usage is reported. ``settings.duties`` has
    the names of the duties. ``lease`` and ``handover()`` are those of ``Turn``, ``steps``
    the ``Steps`` that this process reads. ``process`` names this process.
    """

    __slots__ = ("_client", "_routes", "_scaler", "usage")

    def __init__(
        self, client, log, lease, handover, settings, process, replicas, routes, steps
    ):
        self._client = client
        self._routes = routes
        self.usage = self._scaler = None
        if USAGE in settings.duties:
            self.usage = UsageReporter(
                log,
                client,
                Turn(lease, handover),
                settings,
                process,
                self._longest_counted_request,
            )
        if SCALE in settings.duties:
            turn = Turn(lease, handover)
            self._scaler = ReplicaScaler(
                log, client, turn, replicas, routes, steps.recent
            )

    def jobs(self):
        """Return the coroutines that run as long as the process."""
        jobs = []
        for duty in (self.usage, self._scaler):
            if duty is not None:
                jobs += [duty.run(), duty.tail.run()]
        if self.usage is not None:
            jobs.append(self.usage.flush())
        return jobs

    async def flush_once(self, deadline):
        """Write what was counted so far."""
        if self.usage is not None:
            await self.usage.flush_once(deadline)

    async def end(self, deadline):
        """Write what was counted last, and close the connections."""
        if self.usage is not None:
            await self.usage.end(deadline)
        self._client.close()

    def _longest_counted_request(self):
        configuration = self._routes.current
        routes = () if configuration is None else configuration.routes
        return max(
            (
                route.timeout
                for route in routes
                if route.repeat is not Repeat.STEP and not route.public
            ),
            default=0.0,
        )
