"""Which other regions can be reached from ours.

When the way to a region is cut, each probe into it fails. To suspect each of
its members and then declare it dead would empty the view of half the system in
seconds, and flood the wire with refutations when the way is back. So a failed
probe into another region is at first a doubt, kept here and told to nobody. Once
somebody in our region hears from that region after the doubt began, the member
is probed again, and a second failure makes it suspect. Until then the region,
not the member, is what is silent.
"""

from sassafrasdoor.clock import now


class Regions:
    """When our region last heard from each other one, and the open doubts."""

    __slots__ = ("_direct", "_failed_probes", "_reported", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._direct = {}
        self._reported = {}
        self._failed_probes = {}

    @property
    def failed_probes(self):
        """Names doubted, with their region and since when."""
        return dict(self._failed_probes)

    def record_contact(self, region):
        """Note that this process heard from ``region`` just now."""
        self._direct[region] = now()
        self._reported.pop(region, None)

    def record_reported_contact(self, region, age):
        """Note that a member of our region heard from ``region`` ``age`` s ago."""
        at = now() - age
        self._reported[region] = max(self._reported.get(region, at), at)

    def last_contact_at(self, region):
        """Return when ``region`` was last heard (monotonic), -inf if never."""
        never = float("-inf")
        return max(self._direct.get(region, never), self._reported.get(region, never))

    def contact_ages(self):
        """Return ``(region, seconds)`` since this process itself heard a region.

        What others told is not passed on. Each hop makes an age too young by
        the way's latency: told round and round, a region cut for long would
        seem to have been heard a moment ago.
        """
        current = now()
        return [(region, current - at) for region, at in self._direct.items()]

    def record_failed_probe(self, member, began):
        """A probe of a member of another region, begun at ``began``, failed.

        Return True if one failed before, and its region was heard between the
        two: then the member is at fault, and not the way to its region.
        """
        region, since = self._failed_probes.get(member.name, (member.region, None))
        if since is None:
            self._failed_probes[member.name] = (region, now())
            return False
        if not since < self.last_contact_at(region) <= began:
            return False
        del self._failed_probes[member.name]
        return True

    def clear_failed_probe(self, name):
        """The member answered."""
        self._failed_probes.pop(name, None)

    def members_to_reprobe(self):
        """Return the doubted whose region was heard since: the doubt can end."""
        return [
            name
            for name, (region, since) in self._failed_probes.items()
            if self.last_contact_at(region) > since
        ]

    def silent_since(self, region):
        """Return since when the region is silent, or None if it can be reached."""
        since = [
            at
            for failed_region, at in self._failed_probes.values()
            if failed_region == region
        ]
        if not since or now() - min(since) < self._settings.suspicion_timeout:
            return None
        return min(since)

    def regions_with_failed_probes(self):
        """Return the regions that have an open doubt."""
        return {region for region, _ in self._failed_probes.values()}

    def reset(self):
        """Forget all doubts: this process was paused, and they are void."""
        self._failed_probes.clear()
