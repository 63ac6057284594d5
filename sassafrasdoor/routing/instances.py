"""The entry instances that callers may use, kept in a keyed topic of the log.

Each instance writes its own record again and again, and drops it when it leaves. A
record that is no longer renewed is left out of answers; while the log cannot be read
nothing lapses, since nobody could have renewed it.
"""

import asyncio
import json
import random

from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.tail import KeyedTail
from sassafrasdoor.log.turns import FEW
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.rendezvous import ranked

TOPIC = "keyed.instances"
RENEW_INTERVAL = 1.0
"""Seconds between renewals."""
FIRST_INTERVAL = 0.1
"""Seconds between looks whether the process serves: it claims nothing before it is
listed, and after a start of all instances nothing runs until one of them has claimed."""
LAPSE_AFTER = 3.2
"""Seconds without renewal after which callers are not sent there: three missed."""
CUT_OFF_AFTER = 0.6
"""Seconds of failing reads, after the first was waited for in vain for 1.5."""
READ_PAUSE = 0.7
"""Seconds between reads of the list: renewals are gathered in one answer."""
WRITE_TIMEOUT = 1.5
MOST_ADDRESSES = 64
USUAL_IN_ZONE, ZONE_PARTS = 4, 5
"""Callers of a zone are sent to four instances, or a fifth of many: each instance that
serves a service keeps connections of its own to its replicas, and they cost most when
they are seldom used."""
ENTRY_KEY = "entry"
READERS_KEY = "shards"
"""Orders the instances that read and run the steps."""
YOUNG_FOR = 5.0
"""Seconds after the own start in which calls are handed to the first of each zone: where
many instances started together only these have read what the log keeps, and the last of
five in a zone begins after four."""
VIEW_HOLDS = 0.2
"""Seconds that what was worked out of the list is used again: to order many instances
for each question takes a part of the processor that grows with their number."""
MALFORMED = (ValueError, KeyError, TypeError, OverflowError, RecursionError)
"""What reading a record raises that another writer may have written."""
LOOK_TIMEOUT = 0.5
"""Seconds for a look whether an instance has started again; a slow log answers within
0.25 s."""
FEWEST_IN_ZONE = 2
"""With fewer instances in the caller's zone it is sent to all zones."""


class InstancePlace:
    """Who and where an instance is; the product's settings have the same fields."""

    __slots__ = ("availability_zone", "host", "name", "region")

    def __init__(self, name, host, availability_zone, region):
        self.name = name
        self.host = host
        self.availability_zone = availability_zone
        self.region = region


class _Seen:
    __slots__ = ("address", "at", "control", "cores", "process", "region", "zone")

    def __init__(self, document):
        self.address = _text(document, "address")
        self.zone = _text(document, "zone")
        self.region = _text(document, "region")
        self.cores = float(document["cores"])
        # Records of an earlier program name none.
        self.control = _text({"control": "", **document}, "control")
        self.process = _text({"process": "", **document}, "process")
        self.at = now()


def _text(document, name):
    if not isinstance(document[name], str):
        raise TypeError(f"{name} is not text")
    return document[name]


class _View:
    """What follows from the list at one moment; ``rankings``, the addresses in order by
    key, are filled as asked."""

    __slots__ = ("_deadline", "alive", "entry_points", "rankings")

    def __init__(self, alive, deadline):
        zones = {}
        for one in alive:
            zones.setdefault(one.zone, []).append(one)
        self._deadline = deadline
        self.alive = alive
        self.entry_points = {
            address for part in zones.values() for address in _entry_points(part)
        }
        self.rankings = {}

    @property
    def holds(self):
        """Whether it is recent enough."""
        return not passed(self._deadline)


class Instances:
    """Knows the instances that serve, and says that this one does.

    ``process`` is the name of this process, another one after each start; ``is_listed``
    says whether the log has acknowledged a record with it.
    """

    __slots__ = (
        "_address",
        "_control",
        "_cores",
        "_key",
        "_leaving",
        "_log",
        "_looking",
        "_process",
        "_seen",
        "_settings",
        "_view",
        "_young_until",
        "is_listed",
        "tail",
    )

    def __init__(
        self,
        settings,
        log,
        address,
        key,
        cores=1.0,
        elsewhere=None,
        control="",
        process="",
    ):
        self._control = control
        self._process = process
        self._settings = settings.instance
        self._cores = cores
        self._log = log
        self._address = address
        self._key = key
        self._leaving = False
        self._seen = {}
        self._view = None
        self._looking = None
        self.is_listed = False
        self._young_until = deadline_in(YOUNG_FOR)
        self.tail = KeyedTail(log, TOPIC, self._take, READ_PAUSE, elsewhere)

    async def renew(self, is_ready):
        """Write the own record for as long as the process serves."""
        while True:
            serves = is_ready() and not self._leaving
            if serves:
                await self._write(self._document())
            await asyncio.sleep(RENEW_INTERVAL if serves else FIRST_INTERVAL)

    async def leave(self):
        """Drop the own record: callers get other addresses from now on."""
        self._leaving = True
        self._seen.pop(self._key, None)
        self._view = None
        await self._write(b"")

    def addresses(self, zone):
        """Return the addresses for a caller in ``zone``, its own zone's first."""
        alive = self._current.alive
        if self._is_cut_off and len(alive) > 1:
            alive = [one for one in alive if one.address != self._address]
        near = [one for one in alive if one.zone == zone]
        if len(near) >= FEWEST_IN_ZONE:
            return _entry_points(near)[:MOST_ADDRESSES]
        zones = sorted({one.zone for one in alive}, key=lambda name: name != zone)
        found = []
        for name in zones:
            found += _entry_points([one for one in alive if one.zone == name])
        if not found and not self._leaving:
            found = [self._address]
        return found[:MOST_ADDRESSES]

    def peers(self):
        """Return the addresses of other entry points, those of this zone first."""
        zone = self._settings.availability_zone
        view = self._current
        zones = {
            one.address: one.zone for one in view.alive if one.address != self._address
        }
        found = [one for one in view.entry_points if one in zones]
        if passed(self._young_until) or len(view.entry_points) <= FEW:
            random.shuffle(found)
        else:
            found.sort(key=self._order(view, READERS_KEY).index)
        found.sort(key=lambda address: zones[address] != zone)
        return found

    def controls(self):
        """Return where those peers serve other instances, in the same order."""
        # The list may change between two looks at it: the peers' addresses come first.
        peers = self.peers()
        by_address = {one.address: one.control for one in self._current.alive}
        return [by_address[one] for one in peers if by_address.get(one)]

    @property
    def is_entry_point(self):
        """Whether callers are sent here; also while no other instance is known.

        Only entry points follow the steps: where many instances would, the log
        could not send every record to all of them.
        """
        view = self._current
        known = any(one.address == self._address for one in view.alive)
        return not known or self._address in view.entry_points

    @property
    def entry_points(self):
        """How many instances callers are sent to."""
        return len(self._current.entry_points)

    @property
    def _current(self):
        if self._view is None or not self._view.holds:
            alive = [one for one in self._seen.values() if self._is_alive(one)]
            self._view = _View(alive, deadline_in(VIEW_HOLDS))
        return self._view

    @property
    def _is_cut_off(self):
        """Whether this instance cannot reach the log by itself.

        If it alone cannot, callers are better served elsewhere: it can neither keep
        a step nor say what is new. If nobody can, all others are named just as well.
        """
        failing_since = self.tail.failing_since
        if failing_since is None:
            return self._log.is_away
        return passed(failing_since + CUT_OFF_AFTER)

    def has_ended(self, address, process, since):
        """Say whether an instance is known to run another process than ``process``.

        The list must have been read to its end after ``since`` (monotonic), when that
        process was last heard of: it was listed before, so what names another one is
        newer. (A record of before that lands late shows the former one for a second;
        that may move a duty, which its fencing numbers allow.) Without this, whoever
        takes over waits for a lapse although all know that the former one is gone.
        """
        seen = self._seen.get(address)
        if seen is None or seen.process in ("", process):
            return False
        confirmed_at = self.tail.confirmed_at
        if confirmed_at is not None and confirmed_at >= since:
            return True
        if self._looking is None or self._looking.done():
            look = self.tail.confirm(deadline_in(LOOK_TIMEOUT))
            self._looking = asyncio.ensure_future(look)
        return False

    def ranking(self, key):
        """Return this instance's place among the living for ``key``, 0 for the first.

        Entry points come first, and of these the ones with the most processor: what
        ``key`` stands for is done by one of them. All agree on the order as far as
        they agree on who lives.
        """
        return self._order(self._current, key).index(self._address)

    def place_in_zone(self, key):
        """Return this instance's place among those of its zone in that order."""
        view = self._current
        zones = {one.address: one.zone for one in view.alive}
        zone = zones[self._address] = self._settings.availability_zone
        near = [one for one in self._order(view, key) if zones[one] == zone]
        return near.index(self._address)

    def _order(self, view, key):
        if key not in view.rankings:
            view.rankings[key] = self._ranked(view, key)
        return view.rankings[key]

    def _ranked(self, view, key):
        cores = {one.address: one.cores for one in view.alive}
        cores[self._address] = self._cores
        points = view.entry_points
        order = ranked(cores, key)
        order.sort(key=lambda address: (address not in points, -cores[address]))
        return order

    def _is_alive(self, one):
        """Say whether an instance renewed its record of late, as far as could be seen.

        While the log is away nobody can; whoever lived when it went away has as long
        from its return on as from a renewal. Whoever had lapsed before stays so: after
        each lost read callers would be sent to instances that ended long ago.
        """
        failing_since = self.tail.failing_since
        reference = now() if failing_since is None else failing_since
        if reference - one.at < LAPSE_AFTER:
            return True
        silence = self.tail.silence
        if silence is None or passed(silence.until + LAPSE_AFTER):
            return False
        return silence.since - one.at < LAPSE_AFTER

    def _document(self):
        document = {
            "address": self._address,
            "zone": self._settings.availability_zone,
            "region": self._settings.region,
            "cores": self._cores,
            "control": self._control,
            "process": self._process,
        }
        return json.dumps(document).encode()

    async def _write(self, value):
        record = keyed_record(self._key, value)
        result = await self._log.append(TOPIC, 0, [record], deadline_in(WRITE_TIMEOUT))
        if isinstance(result, Outcome):
            note("instance.not_renewed", reason=result.reason)
        elif value:
            self.is_listed = True

    def _take(self, key, value):
        if not value:
            self._seen.pop(key, None)
            self._view = None
            return
        try:
            seen = _Seen(json.loads(value))
        except MALFORMED as error:
            note("instance.record_unreadable", key=key, reason=repr(error)[:200])
            return
        if key not in self._seen:
            self._view = None
        self._seen[key] = seen


def _entry_points(near):
    """Return the addresses in one zone that callers are sent to, the largest first."""
    most = max(USUAL_IN_ZONE, len(near) // ZONE_PARTS)
    cores = {one.address: one.cores for one in near}
    order = ranked(cores, ENTRY_KEY)
    order.sort(key=lambda address: -cores[address])
    return order[:most]
