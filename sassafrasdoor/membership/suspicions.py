"""Members under suspicion, and when they count as dead."""

from sassafrasdoor.clock import deadline_in, now, passed

# Hearing nobody for this many probe intervals, a process is itself cut off.
ISOLATION_PROBE_INTERVALS = 3


class _Suspicion:
    __slots__ = ("deadline", "first_suspected_at", "suspected_at")

    def __init__(self, timeout, first_suspected_at=None):
        self.suspected_at = now()
        self.first_suspected_at = first_suspected_at or self.suspected_at
        self.deadline = deadline_in(timeout)


class Suspicions:
    """Suspicions by name; each ends by a refutation, or in death.

    Unless the way to the member may be at fault, and not the member. If this
    process hears nobody at all, it is the one that is cut off: to declare all
    others dead would flood them with updates to refute when it is back, and one
    would see a storm of incarnations. A region that nobody of ours hears is
    judged likewise.
    """

    __slots__ = ("_by_name", "_region", "_regions", "_settings", "last_received_at")

    def __init__(self, settings, region, regions):
        self._settings = settings
        self._region = region
        self._regions = regions
        self._by_name = {}
        self.last_received_at = now()

    def begin(self, name):
        """The member is suspect from now on."""
        self._by_name[name] = _Suspicion(self._settings.suspicion_timeout)

    def end(self, name):
        """The member is suspect no more."""
        self._by_name.pop(name, None)

    def restart_timers(self):
        """Give all their full time again: this process was paused."""
        for name in self._by_name:
            self.begin(name)

    def pop_expired(self, roster, others):
        """Take out and return the members that count as dead now.

        ``others`` is how many members there are besides this process.
        """
        dead = []
        for name, suspicion in list(self._by_name.items()):
            member = roster.get(name)
            if self._may_be_postponed(suspicion) and self._is_partitioned(
                member, suspicion, others
            ):
                # Begin anew: once the way is back, the member gets its full
                # time to refute.
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
            # What the region sent before its way was cut may arrive, or be read,
            # after the suspicion began: it does not show that the way is there.
            last_contact_at = self._regions.last_contact_at(member.region)
            is_unreachable = (
                last_contact_at < suspicion.suspected_at + isolation_timeout
            )
            return is_unreachable and passed(suspicion.deadline)
        return now() - self.last_received_at > isolation_timeout and others > 1
