"""Registry of the instances that callers may use, in a keyed topic of the log.

Each instance renews its own record periodically and deletes it when it leaves. Instances
whose record has lapsed are not returned to callers. While the log is unavailable no
record lapses, since none can be renewed.

Load pattern: each instance reads all records. So instances in reserve, to which no
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
RENEW_INTERVAL = 1.0  # seconds between renewals of an entry point's record
# Seconds between readiness checks while not ready: a process claims no work before it is
# listed, and after a start of all instances nothing runs until one has claimed it.
READINESS_POLL_INTERVAL = 0.1
RESERVE_INTERVAL = 5.0  # seconds between renewals of an instance in reserve
# Seconds of failed reads before this instance counts as cut off; the first read has
# failed after a timeout of 1.5 s.
READ_FAILURE_TIMEOUT = 0.6
LIST_READ_INTERVAL = 0.7  # seconds; one read returns the renewals of several instances
WRITE_TIMEOUT = 1.5  # seconds
LEAVE_RETRY_DELAY = 0.25  # seconds between attempts to delete the own record
MAX_ADDRESSES = 64
# Up to this number of entry points, calls are forwarded in random order during startup
# too.
MAX_SHUFFLED_ENTRY_POINTS = 12
STEP_READERS_KEY = "shards"  # ranks the instances that read and run the steps
# Seconds after the own start in which calls are forwarded to the first-ranked instance
# of each zone: after a simultaneous start only these have read the log. The last of five
# in a zone begins to read after 4 s.
STARTUP_PERIOD = 5.0
# Seconds after the own start within which the record of each living entry point is
# renewed: it is written every second, and the list is read every 0.7 s.
FIRST_RENEWAL_TIMEOUT = 2.0
# Raised for malformed records, which other programs may have written.
RECORD_ERRORS = (ValueError, KeyError, TypeError, OverflowError, RecursionError)
RESTART_CHECK_INTERVAL = 0.1  # seconds between reads for restarts, during startup
RESTART_CHECK_TIMEOUT = 0.5  # seconds; a slow log answers within 0.25 s
MIN_INSTANCES_IN_ZONE = 2  # a caller whose zone has fewer is sent to all zones


class InstanceLocation:
    """Name and location of an instance; the product's settings have the same fields."""

    __slots__ = ("availability_zone", "host", "name", "region")

    def __init__(self, name, host, availability_zone, region):
        self.name = name
        self.host = host
        self.availability_zone = availability_zone
        self.region = region


class Instances:
    """Tracks the instances that serve, and publishes the record of this one.

    ``process`` is the name of this process, which is new after each start; ``is_listed``
    says whether the log has acknowledged a record with it. ``in_reserve`` is the state
    in the last own record. ``has_read`` is set by the process.
    """

    __slots__ = (
        "_address",
        "_control",
        "_cores",
        "_has_read",
        "_first_renewal_deadline",
        "_is_deleted",
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
        newest_from_peer=None,
        control="",
        process="",
        read_coordinator=None,
    ):
        self._control = control
        self._process = process
        self._settings = settings.instance
        self._cores = cores
        self._log = log
        self._address = address
        self._key = key
        self._leaving = self._is_deleted = False
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
            log,
            TOPIC,
            self._apply_record,
            LIST_READ_INTERVAL,
            newest_from_peer,
            read_coordinator,
        )

    @property
    def has_read(self):
        """Whether this process has read all steps and follows new ones."""
        return self._has_read

    @has_read.setter
    def has_read(self, value):
        if value != self._has_read:
            self._has_read = value
            self._renewal_requested.set()

    async def renew(self, is_ready):
        """Renew the own record while the process is ready, until cancelled."""
        while True:
            serves = is_ready() and not self._leaving
            if serves and self._is_due:
                self.in_reserve = not self.is_entry_point
                interval = RESERVE_INTERVAL if self.in_reserve else RENEW_INTERVAL
                self._renewal_deadline = deadline_in(interval)
                self._published_has_read = self._has_read
                await self._write(self._document())
            elif self._is_deleted and self._key in self._records:
                # A renewal sent before the deletion may land after it.
                await self._write(b"")
            await self._wait_for_renewal(
                RENEW_INTERVAL if serves else READINESS_POLL_INTERVAL
            )

    async def _wait_for_renewal(self, timeout):
        """Wait until the own record may be due, for ``timeout`` seconds at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout):
                await self._renewal_requested.wait()
        self._renewal_requested.clear()

    @property
    def _is_due(self):
        """Whether the own record must be written now."""
        has_changed = self._published_has_read != self._has_read
        has_wrong_role = self.in_reserve == self.is_entry_point
        return passed(self._renewal_deadline) or has_changed or has_wrong_role

    async def leave(self):
        """Delete the own record, so that callers get other addresses from now on.

        Tries until the deletion is acknowledged or this is cancelled. Until the process
        ends, ``renew`` deletes a record that lands later.
        """
        self._leaving = True
        self._records.pop(self._key, None)
        self._view = None
        while not await self._write(b""):  # noqa: ASYNC110
            await asyncio.sleep(LEAVE_RETRY_DELAY)
        self._is_deleted = True

    def addresses(self, zone, serves=True):
        """Return the addresses for a caller in ``zone``, those of its zone first.

        This instance is left out if it is cut off or not ``serves``.
        """
        entry_points = self._current_view.entry_points
        if self._is_cut_off or not serves:
            entry_points = {
                zone_name: [
                    address for address in zone_addresses if address != self._address
                ]
                for zone_name, zone_addresses in entry_points.items()
            }
        own_zone = entry_points.get(zone, [])
        if len(own_zone) >= MIN_INSTANCES_IN_ZONE:
            return own_zone[:MAX_ADDRESSES]
        zones = sorted(entry_points, key=lambda zone_name: zone_name != zone)
        addresses = [
            address for zone_name in zones for address in entry_points[zone_name]
        ]
        if not addresses and not self._leaving:
            addresses = [self._address]
        return addresses[:MAX_ADDRESSES]

    def peers(self):
        """Return the addresses of the other entry points, those of this zone first."""
        zone = self._settings.availability_zone
        view = self._current_view
        zones = {
            record.address: record.zone
            for record in view.alive
            if record.address != self._address
        }
        entry_points = view.all_entry_points
        addresses = [address for address in entry_points if address in zones]
        if (
            passed(self._startup_deadline)
            or len(entry_points) <= MAX_SHUFFLED_ENTRY_POINTS
        ):
            random.shuffle(addresses)
        else:
            addresses.sort(key=self._ranking(view, STEP_READERS_KEY).index)
        addresses.sort(key=lambda address: zones[address] != zone)
        return addresses

    @property
    def knows_reader(self):
        """Whether another running process is known to have read the steps."""
        return any(
            record.is_reader and record.address != self._address
            for record in self._current_view.alive
        )

    def reader_candidates(self, limit, excluded=()):
        """Return up to ``limit`` peers to ask for steps not read here.

        The second one is in another zone, since a whole zone may lag. If no peer is known
        to have read the steps, only one is returned: after a start of all instances more
        would multiply calls that no peer can answer. ``excluded`` are addresses that are
        not returned, for example of peers that were not reached.
        """
        others = [
            record
            for record in self._current_view.alive
            if record.address != self._address and record.address not in excluded
        ]
        random.shuffle(others)
        readers = self._alternate_zones(
            [record for record in others if record.is_reader]
        )
        # Records from before the own start are valid unless all instances have restarted.
        probable_readers = self._alternate_zones(
            [record for record in others if record.has_read]
        )
        if readers:
            return readers[:limit]
        return (
            probable_readers or [peer for peer in self.peers() if peer not in excluded]
        )[:1]

    def _alternate_zones(self, records):
        """Return the addresses, alternating between this zone and others."""
        zone = self._settings.availability_zone
        own_zone = [record.address for record in records if record.zone == zone]
        other_zones = [record.address for record in records if record.zone != zone]
        pairs = itertools.zip_longest(own_zone, other_zones)
        return [address for pair in pairs for address in pair if address is not None]

    def unread_entry_points_before(self, key):
        """Return how many entry points ranked before this one may not have read the steps.

        ``key`` determines the ranking. Entry points that have not renewed their record
        within ``FIRST_RENEWAL_TIMEOUT`` of the own start are not counted, nor are those
        of earlier versions, whose records lack ``read``.
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
        """Return the control addresses of the peers, alternating between zones."""
        # The view may be rebuilt between the two calls: peers may be missing in the second.
        peers = self.peers()
        by_address = {record.address: record for record in self._current_view.alive}
        records = [by_address[address] for address in peers if address in by_address]
        order = self._alternate_zones(records)
        return [
            by_address[address].control
            for address in order
            if by_address[address].control
        ]

    def lapsed_control_addresses(self):
        """Return the control addresses of listed instances whose records have lapsed.

        Unless they left as planned they may have been restarted at the same address, and
        an instance that is cut off from the log does not see their new records.
        """
        alive = {record.address for record in self._current_view.alive}
        return [
            record.control
            for record in self._records.values()
            if record.control and record.address not in alive | {self._address}
        ]

    @property
    def is_entry_point(self):
        """Whether this instance is an entry point or should become one.

        True also while its own record is not listed. Only entry points follow the steps:
        the log could not send every record to many instances.
        """
        view = self._current_view
        is_recorded = any(record.address == self._address for record in view.alive)
        if not is_recorded or self._address in view.promoted:
            return True
        return self._address in view.all_entry_points

    @property
    def entry_point_count(self):
        """Number of instances that callers are sent to."""
        return len(self._current_view.all_entry_points)

    @property
    def zone_entry_points(self):
        """The addresses of the entry points in this instance's zone."""
        zone = self._settings.availability_zone
        return self._current_view.entry_points.get(zone, [])

    @property
    def other_entry_points(self):
        """The addresses of the other entry points, of this zone and of all others.

        Both are empty while this instance is no entry point.
        """
        entry_points = self._current_view.entry_points
        zone = self._settings.availability_zone
        near = entry_points.get(zone, [])
        if self._address not in near:
            return [], []
        far = [
            address
            for name, addresses in entry_points.items()
            if name != zone
            for address in addresses
        ]
        return [address for address in near if address != self._address], far

    @property
    def alive_count(self):
        """Number of instances known to be alive."""
        return len(self._current_view.alive)

    @property
    def _current_view(self):
        if self._view is not None and self._view.is_fresh:
            return self._view
        alive = [record for record in self._records.values() if self._is_alive(record)]
        rounds = self._shortages.all_promotion_rounds()
        is_unchanged = self._view is not None and self._view.alive == alive
        if is_unchanged and rounds == self._promotion_rounds:
            self._view.extend()
        else:
            self._view = InstanceView(alive, self._shortages)
            self._promotion_rounds = self._shortages.all_promotion_rounds()
        return self._view

    @property
    def _is_cut_off(self):
        """Whether this instance cannot reach the log.

        It can then neither store steps nor return new results, so callers are sent to
        others. If no instance can reach the log, this does no harm.
        """
        failing_since = self.tail.failing_since
        if failing_since is None:
            return self._log.is_cut_off
        return passed(failing_since + READ_FAILURE_TIMEOUT)

    def has_ended(self, address, process, since):
        """Return whether ``process`` at ``address`` is known to have been replaced.

        ``since`` (monotonic) is when that process was last active. If the list has been
        read to its end after it, a record with another process is the newer one, as
        processes are listed before they act. A delayed record may show the former process
        for a second and move a duty, which fencing numbers make safe. Without this check
        a takeover would wait until the record lapses.
        """
        record = self._records.get(address)
        if record is None or record.process == "":
            return False
        confirmed_at = self.tail.confirmed_at or LONG_AGO
        is_different = record.process != process
        if is_different and confirmed_at >= since:
            return True
        # After a start of all instances the new record may not have been read yet.
        is_starting = not passed(self._startup_deadline) and passed(
            confirmed_at + RESTART_CHECK_INTERVAL
        )
        if is_different or is_starting:
            self._check_restarts()
        return False

    def _check_restarts(self):
        """Start reading the list to its end, unless such a read is in progress."""
        if self._restart_check is None or self._restart_check.done():
            check = self.tail.confirm(deadline_in(RESTART_CHECK_TIMEOUT))
            self._restart_check = asyncio.ensure_future(check)

    def rank(self, key):
        """Return this instance's rank among the living ones for ``key``, from 0.

        Entry points rank before others, then more cores before fewer. The first-ranked
        instance performs the duty of ``key``; instances with the same view agree on it.
        """
        return self._ranking(self._current_view, key).index(self._address)

    def _ranking(self, view, key):
        if key not in view.rankings:
            view.rankings[key] = self._compute_ranking(view, key)
        return view.rankings[key]

    def _compute_ranking(self, view, key):
        cores = {record.address: record.cores for record in view.alive}
        cores[self._address] = self._cores
        entry_points = view.all_entry_points
        order = ranked(cores, key)
        order.sort(key=lambda address: (address not in entry_points, -cores[address]))
        return order

    def _is_alive(self, record):
        """Return whether a record had not lapsed when the list was last read.

        The current time is not used, since it takes seconds until an unanswered read
        fails. A record that was alive when an outage of the log began lapses as if it had
        been renewed at the outage's end. One that had lapsed before stays lapsed:
        otherwise each lost read would send callers to instances that ended long ago.
        """
        if self.tail.end_reached_at - record.renewed_at < record.lapse_timeout:
            return True
        outage = self.tail.last_outage
        if outage is None or passed(outage.until + record.lapse_timeout):
            return False
        return outage.since - record.renewed_at < record.lapse_timeout

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
        """Write the own record; return whether that was acknowledged."""
        record = keyed_record(self._key, value)
        result = await self._log.append(TOPIC, 0, [record], deadline_in(WRITE_TIMEOUT))
        if isinstance(result, Outcome):
            note("instance.not_renewed", reason=result.reason)
            return False
        if value:
            self.is_listed = True
        return True

    def _apply_record(self, key, value):
        if not value:
            self._records.pop(key, None)
            self._view = None
            return
        record = self._records.get(key)
        if record is not None and record.data == value:
            record.renewed_at = now()
            record.is_renewed = record.is_renewed or self.tail.loaded
            return
        try:
            self._records[key] = InstanceRecord(value, is_renewed=self.tail.loaded)
        except RECORD_ERRORS as error:
            note("instance.record_unreadable", key=key, reason=repr(error)[:200])
            return
        self._view = None
