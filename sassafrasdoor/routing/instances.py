"""The entry instances that callers may use, kept in a keyed topic of the log.

Each instance writes its own record again and again, and drops it when it leaves. A
record that is no longer renewed is left out of answers; while the log cannot be read
nothing lapses, since nobody could have renewed it.

Load pattern: each instance reads the whole list. So those in reserve, to which no
caller is sent, renew their records less often than the entry points.
"""

import asyncio
import contextlib
import itertools
import json
import random

from sassafrasdoor.clock import LONG_AGO, deadline_in, now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.log.partitioned import keyed_record
from sassafrasdoor.log.tail import KeyedTail
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.rendezvous import ranked
from sassafrasdoor.routing.instance_view import InstanceRecord, InstanceView, Shortages

TOPIC = "keyed.instances"
RENEW_INTERVAL = 1.0
"""Seconds between renewals."""
FIRST_INTERVAL = 0.1
"""Seconds between looks whether the process serves: it claims nothing before it is
listed, and after a start of all instances nothing runs until one of them has claimed."""
RESERVE_INTERVAL = 5.0
"""Seconds between renewals of an instance in reserve."""
CUT_OFF_AFTER = 0.6
"""Seconds of failing reads, after the first was waited for in vain for 1.5."""
READ_PAUSE = 0.7
"""Seconds between reads of the list: renewals are gathered in one answer."""
WRITE_TIMEOUT = 1.5
MOST_ADDRESSES = 64
FEW = 12
"""Entry points among which calls are handed on at random also after the own start."""
READERS_KEY = "shards"
"""Orders the instances that read and run the steps."""
YOUNG_FOR = 5.0
"""Seconds after the own start in which calls are handed to the first of each zone: where
many instances started together only these have read what the log keeps, and the last of
five in a zone begins after four."""
HEARD_WITHIN = 2.0
"""Seconds after the own start within which each living entry point is heard of: it
renews its record each second, and the list is read 0.7 s apart."""
MALFORMED = (ValueError, KeyError, TypeError, OverflowError, RecursionError)
"""What reading a record raises that another writer may have written."""
LOOK_PAUSE = 0.1
"""Seconds between looks whether an instance has started again, after the own start."""
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


class Instances:
    """Knows the instances that serve, and says that this one does.

    ``process`` is the name of this process, another one after each start; ``is_listed``
    says whether the log has acknowledged a record with it. ``in_reserve`` is what the
    last record said of this instance. ``has_read`` is set from outside: whether this
    process has read the steps to their end and follows them.
    """

    __slots__ = (
        "_address",
        "_control",
        "_cores",
        "_has_read",
        "_heard_by",
        "_key",
        "_leaving",
        "_log",
        "_looking",
        "_news",
        "_process",
        "_renew_at",
        "_seen",
        "_settings",
        "_short",
        "_short_steps",
        "_told_read",
        "_view",
        "_young_until",
        "in_reserve",
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
        way=None,
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
        self._short = Shortages()
        self._short_steps = {}
        self._looking = None
        self.is_listed = False
        self.in_reserve = False
        self._renew_at = LONG_AGO
        self._has_read = self._told_read = False
        self._news = asyncio.Event()
        self._young_until = deadline_in(YOUNG_FOR)
        self._heard_by = deadline_in(HEARD_WITHIN)
        self.tail = KeyedTail(log, TOPIC, self._take, READ_PAUSE, elsewhere, way)

    @property
    def has_read(self):
        """Whether this process has read the steps to their end and follows them."""
        return self._has_read

    @has_read.setter
    def has_read(self, value):
        if value != self._has_read:
            self._has_read = value
            self._news.set()

    async def renew(self, is_ready):
        """Write the own record for as long as the process serves."""
        while True:
            serves = is_ready() and not self._leaving
            if serves and self._is_due:
                self.in_reserve = not self.is_entry_point
                pause = RESERVE_INTERVAL if self.in_reserve else RENEW_INTERVAL
                self._renew_at = deadline_in(pause)
                self._told_read = self._has_read
                await self._write(self._document())
            await self._rest(RENEW_INTERVAL if serves else FIRST_INTERVAL)

    async def _rest(self, seconds):
        """Wait until the own record may be due."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._news.wait()
        self._news.clear()

    @property
    def _is_due(self):
        """Whether the own record is to be written now."""
        has_changed = self._told_read != self._has_read
        is_misplaced = self.in_reserve == self.is_entry_point
        return passed(self._renew_at) or has_changed or is_misplaced

    async def leave(self):
        """Drop the own record: callers get other addresses from now on."""
        self._leaving = True
        self._seen.pop(self._key, None)
        self._view = None
        await self._write(b"")

    def addresses(self, zone):
        """Return the addresses for a caller in ``zone``, its own zone's first."""
        points = self._current.entry_points
        if self._is_cut_off:
            points = {
                name: [one for one in part if one != self._address]
                for name, part in points.items()
            }
        near = points.get(zone, [])
        if len(near) >= FEWEST_IN_ZONE:
            return near[:MOST_ADDRESSES]
        names = sorted(points, key=lambda name: name != zone)
        found = [address for name in names for address in points[name]]
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
        points = view.all_entry_points
        found = [one for one in points if one in zones]
        if passed(self._young_until) or len(points) <= FEW:
            random.shuffle(found)
        else:
            found.sort(key=self._order(view, READERS_KEY).index)
        found.sort(key=lambda address: zones[address] != zone)
        return found

    def peers_to_ask(self, most):
        """Return the peers that may answer for steps which this instance has not read.

        The second is of another zone: all of one may be late together. Where none is
        known to have read the steps it is one: after a start of all, calls that reach
        nobody who knows would be multiplied.
        """
        others = [one for one in self._current.alive if one.address != self._address]
        random.shuffle(others)
        known = self._by_turns_of_zones([one for one in others if one.is_reader])
        # Said before this process follows the list, it is true unless all have ended.
        likely = self._by_turns_of_zones([one for one in others if one.has_read])
        return known[:most] or (likely or self.peers())[:1]

    def _by_turns_of_zones(self, found):
        """Return the addresses, one of this zone and one of another by turns."""
        zone = self._settings.availability_zone
        near = [one.address for one in found if one.zone == zone]
        far = [one.address for one in found if one.zone != zone]
        pairs = itertools.zip_longest(near, far)
        return [one for pair in pairs for one in pair if one is not None]

    def unread_before(self, key):
        """Return how many entry points come before this one for ``key`` and may still
        have to read the steps.

        Those that nothing was heard of since the own start, and those that do not tell,
        are not waited for.
        """
        view = self._current
        order = self._order(view, key)
        before = view.all_entry_points.intersection(order[: order.index(self._address)])
        return sum(
            one.address in before and self._may_have_to_read(one) for one in view.alive
        )

    def _may_have_to_read(self, one):
        if one.has_read is None:
            return False
        if one.is_renewed:
            return not one.has_read
        return not passed(self._heard_by)

    def controls(self):
        """Return where those peers serve other instances, by turns of this zone and of
        another."""
        # The list may change between two looks at it: the peers' addresses come first.
        peers = self.peers()
        by_address = {one.address: one for one in self._current.alive}
        found = [by_address[one] for one in peers if one in by_address]
        order = self._by_turns_of_zones(found)
        return [by_address[one].control for one in order if by_address[one].control]

    @property
    def is_entry_point(self):
        """Whether callers are, or are to be, sent here; also while no other is known.

        Only entry points follow the steps: where many instances would, the log
        could not send every record to all of them.
        """
        view = self._current
        known = any(one.address == self._address for one in view.alive)
        if not known or self._address in view.called:
            return True
        return self._address in view.all_entry_points

    @property
    def entry_points(self):
        """How many instances callers are sent to."""
        return len(self._current.all_entry_points)

    @property
    def alive(self):
        """How many instances there are, as far as is known."""
        return len(self._current.alive)

    @property
    def _current(self):
        if self._view is not None and self._view.holds:
            return self._view
        alive = [one for one in self._seen.values() if self._is_alive(one)]
        steps = self._short.all_steps()
        is_same = self._view is not None and self._view.alive == alive
        if is_same and steps == self._short_steps:
            self._view.confirm()
        else:
            self._view = InstanceView(alive, self._short)
            self._short_steps = self._short.all_steps()
        return self._view

    @property
    def _is_cut_off(self):
        """Whether this instance cannot reach the log by itself.

        If it alone cannot, callers are better served elsewhere: it can neither keep
        a step nor say what is new. If nobody can, all others are named just as well.
        """
        failing_since = self.tail.failing_since
        if failing_since is None:
            return self._log.is_cut_off
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
        if seen is None or seen.process == "":
            return False
        confirmed_at = self.tail.confirmed_at or LONG_AGO
        is_other = seen.process != process
        if is_other and confirmed_at >= since:
            return True
        # After a start of all instances the record that tells is about to be written.
        is_awaited = not passed(self._young_until) and passed(confirmed_at + LOOK_PAUSE)
        if is_other or is_awaited:
            self._look()
        return False

    def _look(self):
        """Read the list to its end, once at a time."""
        if self._looking is None or self._looking.done():
            look = self.tail.confirm(deadline_in(LOOK_TIMEOUT))
            self._looking = asyncio.ensure_future(look)

    def ranking(self, key):
        """Return this instance's place among the living for ``key``, 0 for the first.

        Entry points come first, and of these the ones with the most processor: what
        ``key`` stands for is done by one of them. All agree on the order as far as
        they agree on who lives.
        """
        return self._order(self._current, key).index(self._address)

    def _order(self, view, key):
        if key not in view.rankings:
            view.rankings[key] = self._ranked(view, key)
        return view.rankings[key]

    def _ranked(self, view, key):
        cores = {one.address: one.cores for one in view.alive}
        cores[self._address] = self._cores
        points = view.all_entry_points
        order = ranked(cores, key)
        order.sort(key=lambda address: (address not in points, -cores[address]))
        return order

    def _is_alive(self, one):
        """Say whether an instance had renewed its record when the list was last read.

        Since then nobody could see it: a read that the log does not answer fails only
        seconds later. Whoever lived when the log went away has as long from its return
        on as from a renewal. Whoever had lapsed before stays so: after each lost read
        callers would be sent to instances that ended long ago.
        """
        if self.tail.ended_at - one.at < one.lapses_after:
            return True
        silence = self.tail.last_outage
        if silence is None or passed(silence.until + one.lapses_after):
            return False
        return silence.since - one.at < one.lapses_after

    def _document(self):
        document = {
            "address": self._address,
            "zone": self._settings.availability_zone,
            "region": self._settings.region,
            "cores": self._cores,
            "control": self._control,
            "process": self._process,
            "reserve": self.in_reserve,
            "read": self._has_read,
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
        known = self._seen.get(key)
        if known is not None and known.data == value:
            known.at = now()
            known.is_renewed = known.is_renewed or self.tail.loaded
            return
        try:
            self._seen[key] = InstanceRecord(value, is_renewed=self.tail.loaded)
        except MALFORMED as error:
            note("instance.record_unreadable", key=key, reason=repr(error)[:200])
            return
        self._view = None
