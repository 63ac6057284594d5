"""Reachability of the other regions from this one.

During a partition between regions every probe across it fails. Suspecting each member
and declaring it dead would empty the view of half the system within seconds and flood
the network with refutations afterwards. A failed probe into another region is therefore
only recorded here at first and not gossiped. Once a member of this region has received
a message from that region after the failure, the member is probed again, and a second
failure makes it suspect. Until then the region counts as silent, not the member.
"""

from sassafrasdoor.clock import now


class Regions:
    """The last contact with each other region, and unconfirmed failed probes."""

    __slots__ = ("_direct", "_failed_probes", "_reported", "_settings")

    def __init__(self, settings):
        self._settings = settings
        self._direct = {}
        self._reported = {}
        self._failed_probes = {}

    @property
    def failed_probes(self):
        """``(region, failed at)`` of each member with a failed probe, by name."""
        return dict(self._failed_probes)

    def record_contact(self, region):
        """Record that this process received a message from ``region`` now."""
        self._direct[region] = now()
        self._reported.pop(region, None)

    def record_reported_contact(self, region, age):
        """Record a contact ``age`` s ago that another local member reported."""
        at = now() - age
        self._reported[region] = max(self._reported.get(region, at), at)

    def last_contact_at(self, region):
        """Return the (monotonic) time of the last contact, -inf if there was none."""
        never = float("-inf")
        return max(self._direct.get(region, never), self._reported.get(region, never))

    def contact_ages(self):
        """Return ``(region, seconds)`` since this process's own last contact.

        Contacts that others reported are not relayed: each hop understates the age
        by the network latency, and through repeated relaying a region partitioned
        long ago would seem to have been in contact a moment ago.
        """
        current = now()
        return [(region, current - at) for region, at in self._direct.items()]

    def record_failed_probe(self, member, began):
        """Record that a probe into another region, begun at ``began``, failed.

        Return True if an earlier one failed too and there was contact with the region
        between the two: then the member has failed, and not the path to its region.
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
        """Discard the failed probe of a member that has answered."""
        self._failed_probes.pop(name, None)

    def members_to_reprobe(self):
        """Return members with a failed probe and a later contact with their region."""
        return [
            name
            for name, (region, since) in self._failed_probes.items()
            if self.last_contact_at(region) > since
        ]

    def silent_since(self, region):
        """Return since when the region is silent, or None if it is reachable."""
        since = [
            at
            for failed_region, at in self._failed_probes.values()
            if failed_region == region
        ]
        if not since or now() - min(since) < self._settings.suspicion_timeout:
            return None
        return min(since)

    def regions_with_failed_probes(self):
        """Return the regions of all members with a failed probe."""
        return {region for region, _ in self._failed_probes.values()}

    def reset(self):
        """Discard all failed probes, after a pause of this process."""
        self._failed_probes.clear()
