"""Whom to probe next, and whom to ask for help with it."""

from sassafrasdoor.view import State


class Targets:
    """Chooses among the members of ``roster`` but this process itself.

    Members of the own region are probed in random order, each once a round, so
    that none waits for long; those of other regions now and then, and more
    often while one is in doubt.
    """

    __slots__ = ("_chance", "_own", "_regions", "_roster", "_round", "_settings")

    def __init__(self, settings, own, roster, regions, chance):
        self._settings = settings
        self._own = own
        self._roster = roster
        self._regions = regions
        self._chance = chance
        self._round = []

    def others(self):
        """Return all members that are not dead."""
        return [m for m in self._roster.living() if m.name != self._own.name]

    def near_and_far(self):
        """Return the others of the own region, and those of other regions."""
        near, far = [], []
        for member in self.others():
            (near if member.region == self._own.region else far).append(member)
        return near, far

    def joined(self, member):
        """Probe a new member within the running round.

        Waiting for the next one could leave it unprobed for minutes.
        """
        if member.name != self._own.name and member.region == self._own.region:
            at = self._chance.randrange(len(self._round) + 1)
            self._round.insert(at, member.name)

    def next(self):
        """Return the member to probe now, or None if there is nobody."""
        for name in self._regions.to_ask_again():
            member = self._living(name)
            if member is not None:
                return member
        near, far = self.near_and_far()
        silent = self._regions.silent()
        if far and silent and self._chance.random() < 0.5:
            in_silence = [m for m in far if m.region in silent]
            return self._chance.choice(in_silence or far)
        if far and self._chance.random() < self._settings.remote_share:
            return self._chance.choice(far)
        return self._next_of_round(near) or (self._chance.choice(far) if far else None)

    def _next_of_round(self, near):
        while near:
            if not self._round:
                self._round = [member.name for member in near]
                self._chance.shuffle(self._round)
            member = self._living(self._round.pop())
            if member is not None:
                return member
        return None

    def _living(self, name):
        member = self._roster.get(name)
        gone = member is None or member.state is State.DEAD
        return None if gone else member

    def helpers(self, member):
        """Return the members to ask to probe ``member``, one of each zone first.

        A cut between two zones must not look like the death of the member
        behind it.
        """
        near, _ = self.near_and_far()
        near = [m for m in near if m.name != member.name]
        self._chance.shuffle(near)
        seen = {}
        for helper in near:
            seen.setdefault(helper.availability_zone, []).append(helper.name)
        near.sort(key=lambda m: seen[m.availability_zone].index(m.name))
        return near[: self._settings.indirect_probes]

    def for_gossip(self):
        """Return the members to send updates to now, few of other regions."""
        near, far = self.near_and_far()
        chosen = self._chance.sample(near, min(self._settings.gossip_fanout, len(near)))
        if far and (not near or self._chance.random() < self._settings.remote_share):
            chosen.append(self._chance.choice(far))
        return chosen
