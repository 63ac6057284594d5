"""Suspected members, and when a suspicion expires."""

from sassafrasdoor.clock import deadline_in, now, passed

# A process that has received nothing for this many probe intervals is isolated.
ISOLATION_PROBE_INTERVALS = 3


class _Suspicion:
    __slots__ = ("deadline", "first_suspected_at", "suspected_at")

    def __init__(self, timeout, first_suspected_at=None):
        self.suspected_at = now()
        self.first_suspected_at = first_suspected_at or self.suspected_at
        self.deadline = deadline_in(timeout)


class Suspicions:
    """Suspicions by name; a suspicion that is not refuted in time means death.

    It is postponed while the network path to the member may have failed. A process
    that receives nothing is itself isolated: if it declared all others dead, it
    would flood them with updates to refute on its return, and incarnations would
    rise everywhere. The same holds for a region without contact.
    """

    __slots__ = ("_by_name", "_region", "_regions", "_settings", "last_received_at")

    def __init__(self, settings, region, regions):
        self._settings = settings
        self._region = region
        self._regions = regions
        self._by_name = {}
        self.last_received_at = now()

    def begin(self, name):
        """Start the suspicion timeout of a member."""
        self._by_name[name] = _Suspicion(self._settings.suspicion_timeout)

    def end(self, name):
        """Remove the suspicion of a member, if there is one."""
        self._by_name.pop(name, None)

    def restart_timers(self):
        """Restart every suspicion timeout, after a pause of this process."""
        for name in self._by_name:
            self.begin(name)

    def pop_expired(self, roster, others):
        """Remove and return the members whose suspicion has expired.

        ``others`` is the number of members besides this process.
        """
        dead = []
        for name, suspicion in list(self._by_name.items()):
            member = roster.get(name)
            if self._may_be_postponed(suspicion) and self._is_partitioned(
                member, suspicion, others
            ):
                # Restarted, so that the member has the full timeout to refute once
                # it can be reached again.
                timeout = self._settings.suspicion_timeout
                self._by_name[name] = _Suspicion(timeout, suspicion.first_suspected_at)
            elif passed(suspicion.deadline):
                del self._by_name[name]
                dead.append(member)
        return dead

    def _may_be_postponed(self, suspicion):
        return now() - suspicion.first_suspected_at < self._settings.silence_timeout

    def _is_partitioned(self, member, suspicion, others):
        isolation_timeout = min(
            ISOLATION_PROBE_INTERVALS * self._settings.probe_interval,
            self._settings.suspicion_timeout / 2,
        )
        if member.region != self._region:
            # Messages sent before a partition may arrive, or be read, after the
            # suspicion began: they do not show that the region is reachable.
            last_contact_at = self._regions.last_contact_at(member.region)
            is_unreachable = (
                last_contact_at < suspicion.suspected_at + isolation_timeout
            )
            return is_unreachable and passed(suspicion.deadline)
        return now() - self.last_received_at > isolation_timeout and others > 1
