"""Selection of the members to probe, to probe through and to gossip to."""

from sassafrasdoor.view import State


class TargetSelector:
    """Selects among the members of ``roster`` other than this process.

    Members of the own region are probed in random order, each once a round, which
    bounds the time between two probes of one; those of other regions are probed
    occasionally, and more often while a region has failed probes.
    """

    __slots__ = ("_own", "_regions", "_rng", "_roster", "_round", "_settings")

    def __init__(self, settings, own, roster, regions, rng):
        self._settings = settings
        self._own = own
        self._roster = roster
        self._regions = regions
        self._rng = rng
        self._round = []

    def others(self):
        """Return all members but this one that are not dead."""
        return [m for m in self._roster.living() if m.name != self._own.name]

    def local_and_remote(self):
        """Return the others of the own region, and those of other regions."""
        local, remote = [], []
        for member in self.others():
            (local if member.region == self._own.region else remote).append(member)
        return local, remote

    def add_to_round(self, member):
        """Add a new member to the current round of probes.

        The next round may be minutes away.
        """
        if member.name != self._own.name and member.region == self._own.region:
            position = self._rng.randrange(len(self._round) + 1)
            self._round.insert(position, member.name)

    def next_probe_target(self):
        """Return the member to probe now, or None if there is none."""
        for name in self._regions.members_to_reprobe():
            member = self._get_living(name)
            if member is not None:
                return member
        local, remote = self.local_and_remote()
        silent = self._regions.regions_with_failed_probes()
        if remote and silent and self._rng.random() < 0.5:
            candidates = [m for m in remote if m.region in silent]
            return self._rng.choice(candidates or remote)
        if remote and self._rng.random() < self._settings.remote_share:
            return self._rng.choice(remote)
        return self._next_in_round(local) or (
            self._rng.choice(remote) if remote else None
        )

    def _next_in_round(self, local):
        while local:
            if not self._round:
                self._round = [member.name for member in local]
                self._rng.shuffle(self._round)
            member = self._get_living(self._round.pop())
            if member is not None:
                return member
        return None

    def _get_living(self, name):
        member = self._roster.get(name)
        gone = member is None or member.state is State.DEAD
        return None if gone else member

    def indirect_probers(self, member):
        """Return members for indirect probes of ``member``, one of each zone first.

        A partition between two zones must not look like a failed member.
        """
        local, _ = self.local_and_remote()
        local = [m for m in local if m.name != member.name]
        self._rng.shuffle(local)
        names_by_zone = {}
        for prober in local:
            names_by_zone.setdefault(prober.availability_zone, []).append(prober.name)
        local.sort(key=lambda m: names_by_zone[m.availability_zone].index(m.name))
        return local[: self._settings.indirect_probes]

    def gossip_targets(self):
        """Return the members to gossip to now, at most one of another region."""
        local, remote = self.local_and_remote()
        chosen = self._rng.sample(local, min(self._settings.gossip_fanout, len(local)))
        if remote and (not local or self._rng.random() < self._settings.remote_share):
            chosen.append(self._rng.choice(remote))
        return chosen
