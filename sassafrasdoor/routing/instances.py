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
from sassafrasdoor.routing.instance_view import (
    InstanceRecord,
    InstanceView,
    ZoneShortages,
)

TOPIC = "keyed.instances"
RENEW_INTERVAL = 1.0
"""Seconds between renewals."""
READINESS_POLL_INTERVAL = 0.1
"""Seconds between looks whether the process serves: it claims nothing before it is
listed, and after a start of all instances nothing runs until one of them has claimed."""
RESERVE_INTERVAL = 5.0
"""Seconds between renewals of an instance in reserve."""
READ_FAILURE_TIMEOUT = 0.6
"""Seconds of failing reads, after the first was waited for in vain for 1.5."""
LIST_READ_INTERVAL = 0.7
"""Seconds between reads of the list: renewals are gathered in one answer."""
WRITE_TIMEOUT = 1.5
MAX_ADDRESSES = 64
MAX_SHUFFLED_ENTRY_POINTS = 12
"""Entry points among which calls are handed on at random also after the own start."""
STEP_READERS_KEY = "shards"
"""Orders the instances that read and run the steps."""
STARTUP_PERIOD = 5.0
"""Seconds after the own start in which calls are handed to the first of each zone: where
many instances started together only these have read what the log keeps, and the last of
five in a zone begins after four."""
FIRST_RENEWAL_TIMEOUT = 2.0
"""Seconds after the own start within which each living entry point is heard of: it
renews its record each second, and the list is read 0.7 s apart."""
RECORD_ERRORS = (ValueError, KeyError, TypeError, OverflowError, RecursionError)
"""What reading a record raises that another writer may have written."""
RESTART_CHECK_INTERVAL = 0.1
"""Seconds between looks whether an instance has started again, after the own start."""
RESTART_CHECK_TIMEOUT = 0.5
"""Seconds for a look whether an instance has started again; a slow log answers within
0.25 s."""
MIN_INSTANCES_IN_ZONE = 2
"""With fewer instances in the caller's zone it is sent to all zones."""


class InstanceLocation:
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
        "_first_renewal_deadline",
        "_key",
        "_leaving",
        "_log",
        "_restart_check",
        "_renewal_requested",
        "_process",
        "_renewal_deadline",
        "_records",
        "_settings",
        "_shortages",
        "_promotion_rounds",
        "_published_has_read",
        "_view",
        "_startup_deadline",
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
        self._records = {}
        self._view = None
        self._shortages = ZoneShortages()
        self._promotion_rounds = {}
        self._restart_check = None
        self.is_listed = False
        self.in_reserve = False
        self._renewal_deadline = LONG_AGO
        self._has_read = self._published_has_read = False
        self._renewal_requested = asyncio.Event()
        self._startup_deadline = deadline_in(STARTUP_PERIOD)
        self._first_renewal_deadline = deadline_in(FIRST_RENEWAL_TIMEOUT)
        self.tail = KeyedTail(
            log, TOPIC, self._apply_record, LIST_READ_INTERVAL, elsewhere, way
        )

    @property
    def has_read(self):
        """Whether this process has read the steps to their end and follows them."""
        return self._has_read

    @has_read.setter
    def has_read(self, value):
        if value != self._has_read:
            self._has_read = value
            self._renewal_requested.set()

    async def renew(self, is_ready):
        """Write the own record for as long as the process serves."""
        while True:
            serves = is_ready() and not self._leaving
            if serves and self._is_due:
                self.in_reserve = not self.is_entry_point
                pause = RESERVE_INTERVAL if self.in_reserve else RENEW_INTERVAL
                self._renewal_deadline = deadline_in(pause)
                self._published_has_read = self._has_read
                await self._write(self._document())
            await self._wait_for_renewal(
                RENEW_INTERVAL if serves else READINESS_POLL_INTERVAL
            )

    async def _wait_for_renewal(self, seconds):
        """Wait until the own record may be due."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._renewal_requested.wait()
        self._renewal_requested.clear()

    @property
    def _is_due(self):
        """Whether the own record is to be written now."""
        has_changed = self._published_has_read != self._has_read
        is_misplaced = self.in_reserve == self.is_entry_point
        return passed(self._renewal_deadline) or has_changed or is_misplaced

    async def leave(self):
        """Drop the own record: callers get other addresses from now on."""
        self._leaving = True
        self._records.pop(self._key, None)
        self._view = None
        await self._write(b"")

    def addresses(self, zone):
        """Return the addresses for a caller in ``zone``, its own zone's first."""
        points = self._current_view.entry_points
        if self._is_cut_off:
            points = {
                name: [
                    address for address in zone_addresses if address != self._address
                ]
                for name, zone_addresses in points.items()
            }
        own_zone = points.get(zone, [])
        if len(own_zone) >= MIN_INSTANCES_IN_ZONE:
            return own_zone[:MAX_ADDRESSES]
        names = sorted(points, key=lambda name: name != zone)
        addresses = [address for name in names for address in points[name]]
        if not addresses and not self._leaving:
            addresses = [self._address]
        return addresses[:MAX_ADDRESSES]

    def peers(self):
        """Return the addresses of other entry points, those of this zone first."""
        zone = self._settings.availability_zone
        view = self._current_view
        zones = {
            record.address: record.zone
            for record in view.alive
            if record.address != self._address
        }
        points = view.all_entry_points
        addresses = [address for address in points if address in zones]
        if passed(self._startup_deadline) or len(points) <= MAX_SHUFFLED_ENTRY_POINTS:
            random.shuffle(addresses)
        else:
            addresses.sort(key=self._ranking(view, STEP_READERS_KEY).index)
        addresses.sort(key=lambda address: zones[address] != zone)
        return addresses

    def reader_candidates(self, limit):
        """Return the peers that may answer for steps which this instance has not read.

        The second is of another zone: all of one may be late together. Where none is
        known to have read the steps it is one: after a start of all, calls that reach
        nobody who knows would be multiplied.
        """
        others = [
            record
            for record in self._current_view.alive
            if record.address != self._address
        ]
        random.shuffle(others)
        readers = self._alternate_zones(
            [record for record in others if record.is_reader]
        )
        # Said before this process follows the list, it is true unless all have ended.
        likely = self._alternate_zones([record for record in others if record.has_read])
        return readers[:limit] or (likely or self.peers())[:1]

    def _alternate_zones(self, records):
        """Return the addresses, one of this zone and one of another by turns."""
        zone = self._settings.availability_zone
        own_zone = [record.address for record in records if record.zone == zone]
        other_zones = [record.address for record in records if record.zone != zone]
        pairs = itertools.zip_longest(own_zone, other_zones)
        return [address for pair in pairs for address in pair if address is not None]

    def unread_entry_points_before(self, key):
        """Return how many entry points come before this one for ``key`` and may still
        have to read the steps.

        Those that nothing was heard of since the own start, and those that do not tell,
        are not waited for.
        """
        view = self._current_view
        order = self._ranking(view, key)
        preceding = view.all_entry_points.intersection(
            order[: order.index(self._address)]
        )
        return sum(
            record.address in preceding and self._may_still_be_reading(record)
            for record in view.alive
        )

    def _may_still_be_reading(self, record):
        if record.has_read is None:
            return False
        if record.is_renewed:
            return not record.has_read
        return not passed(self._first_renewal_deadline)

    def peer_control_addresses(self):
        """Return where those peers serve other instances, by turns of this zone and of
        another."""
        # The list may change between two looks at it: the peers' addresses come first.
        peers = self.peers()
        by_address = {record.address: record for record in self._current_view.alive}
        records = [by_address[address] for address in peers if address in by_address]
        order = self._alternate_zones(records)
        return [
            by_address[address].control
            for address in order
            if by_address[address].control
        ]

    @property
    def is_entry_point(self):
        """Whether callers are, or are to be, sent here; also while no other is known.

        Only entry points follow the steps: where many instances would, the log
        could not send every record to all of them.
        """
        view = self._current_view
        is_recorded = any(record.address == self._address for record in view.alive)
        if not is_recorded or self._address in view.called:
            return True
        return self._address in view.all_entry_points

    @property
    def entry_point_count(self):
        """How many instances callers are sent to."""
        return len(self._current_view.all_entry_points)

    @property
    def alive_count(self):
        """How many instances there are, as far as is known."""
        return len(self._current_view.alive)

    @property
    def _current_view(self):
        if self._view is not None and self._view.is_fresh:
            return self._view
        alive = [record for record in self._records.values() if self._is_alive(record)]
        rounds = self._shortages.all_promotion_rounds()
        is_same = self._view is not None and self._view.alive == alive
        if is_same and rounds == self._promotion_rounds:
            self._view.extend()
        else:
            self._view = InstanceView(alive, self._shortages)
            self._promotion_rounds = self._shortages.all_promotion_rounds()
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
        return passed(failing_since + READ_FAILURE_TIMEOUT)

    def has_ended(self, address, process, since):
        """Say whether an instance is known to run another process than ``process``.

        The list must have been read to its end after ``since`` (monotonic), when that
        process was last heard of: it was listed before, so what names another one is
        newer. (A record of before that lands late shows the former one for a second;
        that may move a duty, which its fencing numbers allow.) Without this, whoever
        takes over waits for a lapse although all know that the former one is gone.
        """
        record = self._records.get(address)
        if record is None or record.process == "":
            return False
        confirmed_at = self.tail.confirmed_at or LONG_AGO
        is_other = record.process != process
        if is_other and confirmed_at >= since:
            return True
        # After a start of all instances the record that tells is about to be written.
        is_awaited = not passed(self._startup_deadline) and passed(
            confirmed_at + RESTART_CHECK_INTERVAL
        )
        if is_other or is_awaited:
            self._check_restarts()
        return False

    def _check_restarts(self):
        """Read the list to its end, once at a time."""
        if self._restart_check is None or self._restart_check.done():
            look = self.tail.confirm(deadline_in(RESTART_CHECK_TIMEOUT))
            self._restart_check = asyncio.ensure_future(look)

    def rank(self, key):
        """Return this instance's place among the living for ``key``, 0 for the first.

        Entry points come first, and of these the ones with the most processor: what
        ``key`` stands for is done by one of them. All agree on the order as far as
        they agree on who lives.
        """
        return self._ranking(self._current_view, key).index(self._address)

    def _ranking(self, view, key):
        if key not in view.rankings:
            view.rankings[key] = self._compute_ranking(view, key)
        return view.rankings[key]

    def _compute_ranking(self, view, key):
        cores = {record.address: record.cores for record in view.alive}
        cores[self._address] = self._cores
        points = view.all_entry_points
        order = ranked(cores, key)
        order.sort(key=lambda address: (address not in points, -cores[address]))
        return order

    def _is_alive(self, record):
        """Say whether an instance had renewed its record when the list was last read.

        Since then nobody could see it: a read that the log does not answer fails only
        seconds later. Whoever lived when the log went away has as long from its return
        on as from a renewal. Whoever had lapsed before stays so: after each lost read
        callers would be sent to instances that ended long ago.
        """
        if self.tail.ended_at - record.renewed_at < record.lapse_timeout:
            return True
        silence = self.tail.silence
        if silence is None or passed(silence.until + record.lapse_timeout):
            return False
        return silence.since - record.renewed_at < record.lapse_timeout

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

    def _apply_record(self, key, value):
        if not value:
            self._records.pop(key, None)
            self._view = None
            return
        known = self._records.get(key)
        if known is not None and known.data == value:
            known.renewed_at = now()
            known.is_renewed = known.is_renewed or self.tail.loaded
            return
        try:
            self._records[key] = InstanceRecord(value, is_renewed=self.tail.loaded)
        except RECORD_ERRORS as error:
            note("instance.record_unreadable", key=key, reason=repr(error)[:200])
            return
        self._view = None
