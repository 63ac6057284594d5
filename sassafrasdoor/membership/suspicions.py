"""Members under suspicion, and when they count as dead."""

from sassafrasdoor.clock import deadline_in, now, passed

# Hearing nobody for this many probe intervals, a process is itself cut off.
SILENT_ROUNDS = 3


class _Suspicion:
    __slots__ = ("deadline", "first", "since")

    def __init__(self, timeout, first=None):
        self.since = now()
        self.first = first or self.since
        self.deadline = deadline_in(timeout)


class Suspicions:
    """Suspicions by name; each ends by a refutation, or in death.

    Unless the way to the member may be at fault, and not the member. If this
    process hears nobody at all, it is the one that is cut off: to declare all
    others dead would flood them with updates to refute when it is back, and one
    would see a storm of incarnations. A region that nobody of ours hears is
    judged likewise.
    """

    __slots__ = ("_by_name", "_region", "_regions", "_settings", "last_heard")

    def __init__(self, settings, region, regions):
        self._settings = settings
        self._region = region
        self._regions = regions
        self._by_name = {}
        self.last_heard = now()

    def begin(self, name):
        """The member is suspect from now on."""
        self._by_name[name] = _Suspicion(self._settings.suspicion_timeout)

    def end(self, name):
        """The member is suspect no more."""
        self._by_name.pop(name, None)

    def restart(self):
        """Give all their full time again: this process was paused."""
        for name in self._by_name:
            self.begin(name)

    def expired(self, roster, others):
        """Take out and return the members that count as dead now.

        ``others`` is how many members there are besides this process.
        """
        dead = []
        for name, suspicion in list(self._by_name.items()):
            member = roster.get(name)
            if self._is_held(suspicion) and self._is_cut_off(member, suspicion, others):
                # Begin anew: once the way is back, the member gets its full
                # time to refute.
                timeout = self._settings.suspicion_timeout
                self._by_name[name] = _Suspicion(timeout, suspicion.first)
            elif passed(suspicion.deadline):
                del self._by_name[name]
                dead.append(member)
        return dead

    def _is_held(self, suspicion):
        return now() - suspicion.first < self._settings.silence_timeout

    def _is_cut_off(self, member, suspicion, others):
        silence = min(
            SILENT_ROUNDS * self._settings.probe_interval,
            self._settings.suspicion_timeout / 2,
        )
        if member.region != self._region:
            # What the region sent before its way was cut may arrive, or be read,
            # after the suspicion began: it does not show that the way is there.
            heard_at = self._regions.heard_at(member.region)
            unheard = heard_at < suspicion.since + silence
            return unheard and passed(suspicion.deadline)
        return now() - self.last_heard > silence and others > 1
