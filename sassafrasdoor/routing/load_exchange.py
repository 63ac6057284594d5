"""Which load reports the entry points send each other, when, and which they accept.

Load pattern: an instance learns a replica's load only from its own answers. While calls
compete for few slots, its last report of a replica that it rarely uses is too old, and
instances that overflow from their first replica meet at the same next one. So entry
points exchange the reports of their own answers while a service is at least half full.
Reports are hints: a lost, late or false one may cost time, never correctness.
"""

import struct

SEND_INTERVAL = 0.2  # seconds; the shortest between two datagrams to one receiver
LOAD_REPORT_LIFETIME = 1.0  # seconds; calls last less
# Seconds after which a report of unchanged load is sent again: every second round, so
# that two lost datagrams in a row are needed for it to expire.
REPEAT_INTERVAL = 0.35
# Share of the slots by which load must differ from the last report sent, to be news.
CHANGE_SHARE = 0.25
HALF_FULL_SHARE = 0.5
# As ``subsets.SLOW_PACE``, a percentage: the change of pace that the choice depends on.
SLOW_PERCENT = 150
# Receivers of one round. Bytes between zones are priced, so only two get them; the
# receivers change each round, and the four entry points of a zone send to eight others.
NEAR_RECEIVERS, FAR_RECEIVERS = 4, 2
# Seconds by which a round may be late. If it is later, the process was stopped, and what
# was received since is older than it seems by up to the length of the stop.
MAX_LATENESS = 0.3
# Seconds after a stop in which datagrams and answers that waited for it are read.
SETTLE_PERIOD = 0.1
MAX_DATAGRAM_BYTES = 1200
MAX_IDENTITY_BYTES = 255
MAX_BORN = 2**64 - 1
MAX_COUNT = 2**16 - 1
MAX_REFUSALS = 2**8 - 1

_PREFIX = b"L\x01"  # the protocol and its version
_FIGURES = struct.Struct("!QHHHHB")  # born, running, waiting, percent, age, refusals


class Report:
    """The load of one incarnation of a replica at ``taken_at``.

    ``percent`` is the pace, ``refusals`` is how many calls it has refused since the
    report before.
    """

    __slots__ = (
        "born",
        "identity",
        "percent",
        "refusals",
        "running",
        "taken_at",
        "waiting",
    )

    def __init__(self, identity, born, running, waiting, percent, taken_at, refusals=0):
        self.identity = identity
        self.born = born
        self.running = running
        self.waiting = waiting
        self.percent = percent
        self.taken_at = taken_at
        self.refusals = refusals

    @property
    def total(self):
        """Calls that run or wait at the replica, of all callers."""
        return self.running + self.waiting


class Observed:
    """A report of an own answer; ``refusals`` is the count since the replica is known."""

    __slots__ = ("refusals", "refused_at", "report", "service", "slots")

    def __init__(self, service, slots, report, refusals, refused_at):
        self.service = service
        self.slots = slots
        self.report = report
        self.refusals = refusals
        self.refused_at = refused_at

    def is_under_load(self, now):
        """Whether the replica is at least half full or has refused a call."""
        is_half_full = self.report.total >= self.slots * HALF_FULL_SHARE
        return is_half_full or now - self.refused_at < LOAD_REPORT_LIFETIME


class _Sent:
    """What was last sent about a replica."""

    __slots__ = ("observed", "sent_at")

    def __init__(self, observed, sent_at):
        self.observed = observed
        self.sent_at = sent_at

    def is_outdated_by(self, observed, now):
        """Whether ``observed`` must be sent, given this."""
        before, after = self.observed.report, observed.report
        if before.born != after.born:
            return True
        if after.taken_at <= before.taken_at:
            return False
        change = abs(after.total - before.total)
        is_slow = after.percent >= SLOW_PERCENT
        return (
            now - self.sent_at >= REPEAT_INTERVAL
            or change >= observed.slots * CHANGE_SHARE
            or is_slow != (before.percent >= SLOW_PERCENT)
            or observed.refusals > self.observed.refusals
        )


class LoadExchange:
    """What one entry point sends to the others and accepts from them.

    ``offset`` is a random number: with the same one, all entry points would send to the
    same receivers.
    """

    __slots__ = ("_last_round", "_rounds", "_sent", "_settled_at")

    def __init__(self, offset, now):
        self._rounds = offset
        self._sent = {}
        self._last_round = now
        self._settled_at = now

    def begin_round(self, now):
        """Begin a round; there is one each ``SEND_INTERVAL``."""
        if self._is_late(now):
            self._settled_at = now + SETTLE_PERIOD
        self._last_round = now
        self._rounds += 1

    def _is_late(self, now):
        return now - self._last_round > SEND_INTERVAL + MAX_LATENESS

    def receivers(self, near, far):
        """Return the addresses of this round, of this zone's and the other zones'."""
        return [
            address
            for addresses, count in ((near, NEAR_RECEIVERS), (far, FAR_RECEIVERS))
            for address in self._next(sorted(addresses), count)
        ]

    def _next(self, addresses, count):
        if len(addresses) <= count:
            return addresses
        start = self._rounds * count % len(addresses)
        return (addresses + addresses)[start : start + count]

    def next_datagram(self, observed, now):
        """Return the datagram of this round, empty if there is nothing to send."""
        fresh = [
            item
            for item in observed
            if now - item.report.taken_at < LOAD_REPORT_LIFETIME
            and item.report.taken_at >= self._settled_at
        ]
        services = {item.service for item in fresh if item.is_under_load(now)}
        self._sent = {
            item.report.identity: self._sent[item.report.identity]
            for item in observed
            if item.report.identity in self._sent
        }
        datagram = _PREFIX
        for item in sorted(fresh, key=lambda item: -item.report.taken_at):
            if item.service not in services or not self._is_due(item, now):
                continue
            entry = _encode(item.report, now, self._unsent_refusals(item))
            if entry and len(datagram) + len(entry) <= MAX_DATAGRAM_BYTES:
                datagram += entry
                self._sent[item.report.identity] = _Sent(item, now)
        return datagram if datagram != _PREFIX else b""

    def _is_due(self, observed, now):
        last = self._sent.get(observed.report.identity)
        return last is None or last.is_outdated_by(observed, now)

    def _unsent_refusals(self, observed):
        last = self._sent.get(observed.report.identity)
        if last is None or last.observed.report.born != observed.report.born:
            return observed.refusals
        unsent = observed.refusals - last.observed.refusals
        # The count starts again if the replica's entry lapsed and returned.
        return observed.refusals if unsent < 0 else unsent

    def receive(self, data, now, known):
        """Return the accepted reports of a datagram, and the results to count.

        ``known(identity)`` returns ``(born, taken_at)`` of the newest report of a replica
        of a service in use here, or None. A datagram that waited while this process was
        stopped is dropped, as its age is unknown.
        """
        if self._is_late(now) or now < self._settled_at:
            return [], ["late"]
        reports = decode(data, now)
        if reports is None:
            return [], ["malformed"]
        accepted, results = {}, []
        for report in reports:
            before = accepted.get(report.identity)
            state = (before.born, before.taken_at) if before else known(report.identity)
            results.append(_verdict(report, now, state))
            if results[-1] == "accepted":
                accepted[report.identity] = report
        return list(accepted.values()), results


def _verdict(report, now, known):
    """Return whether a received report is accepted, or why not."""
    if known is None:
        return "unknown"
    born, taken_at = known
    if report.born != born:
        return "other_incarnation"
    if now - report.taken_at >= LOAD_REPORT_LIFETIME:
        return "expired"
    return "accepted" if report.taken_at > taken_at else "older"


def _encode(report, now, refusals):
    """Return the bytes of a report, empty if it cannot be encoded."""
    identity = report.identity.encode()
    if len(identity) > MAX_IDENTITY_BYTES or not 0 <= report.born <= MAX_BORN:
        return b""
    # Rounded up: an age that is too low would make an old report the newer one.
    age_ms = int((now - report.taken_at) * 1000) + 1
    figures = (report.running, report.waiting, report.percent, age_ms)
    return (
        bytes([len(identity)])
        + identity
        + _FIGURES.pack(
            report.born,
            *(min(figure, MAX_COUNT) for figure in figures),
            min(refusals, MAX_REFUSALS),
        )
    )


def decode(data, now):
    """Return the reports of a datagram received at ``now``, or None if malformed."""
    if not data.startswith(_PREFIX) or data == _PREFIX:
        return None
    if len(data) > MAX_DATAGRAM_BYTES:
        return None
    reports, at = [], len(_PREFIX)
    while at < len(data):
        start = at + 1
        end = start + data[at]
        at = end + _FIGURES.size
        if end == start or at > len(data):
            return None
        try:
            identity = data[start:end].decode()
        except UnicodeDecodeError:
            return None
        born, running, waiting, percent, age, refusals = _FIGURES.unpack(data[end:at])
        if not percent:
            return None
        taken_at = now - age / 1000
        reports.append(
            Report(identity, born, running, waiting, percent, taken_at, refusals)
        )
    return reports
