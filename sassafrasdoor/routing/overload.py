"""Decides whether a call is sent, waits or is refused while callers compete for replicas.

Load pattern: 60 times the usual calls for seconds while one of three replicas is four
times slower. About fourteen instances decide independently for the same replicas, each
sees a fourteenth of the calls, and the newest load report of a replica is up to 0.2 s
old. An instance that asks one full replica after the other multiplies the sends; callers
that are all told to come back in 0.1 s come back together.

A call goes to a replica where it is expected to end within its target latency. Without
such a replica it waits here if one is expected in time, or else is refused at once.
"""

import math
from collections import Counter

# Seconds in which the reports of a replica count. Own answers arrive every 0.1 s and
# others several times a second; older reports describe another queue.
REPORT_LIFETIME = 0.5
# Share of the target latency for which a call waits here at most. A refusal is cheap for
# callers within a quarter of it; the rest is for the way of the refusal.
MAX_WAIT_SHARE = 0.2
# Share of the target latency that accounts above their fair share leave to the others.
HEADROOM_SHARE = 0.25
# Share of a replica's queue that is filled. The rest absorbs what other instances send
# before their reports show it; filled to the end, a quarter of the sends are refused.
ROOM_SHARE = 0.9
# Share of the target latency that a call's expected end leaves for reports that lag.
MARGIN_SHARE = 0.1
# Share of the target latency that a call takes before the first is observed.
INITIAL_WORK_SHARE = 0.2
MIN_WORK_TIME = 0.001  # seconds; a clock may not advance between send and answer
# Weight of one work time in the smoothed one, which follows a change within 50 calls.
WORK_TIME_WEIGHT = 0.05
# Ratio to the smoothed one up to which a work time counts. Where the queue changed during
# a call, its work time is far off and would raise the smoothed one by half.
MAX_WORK_RATIO = 1.5
# Weight of one answer in the pace of a replica that reports none. An instance gets few
# answers of a slow replica, so the weight exceeds that of the usual work time. With a
# rise of more weight than a fall, queues that changed during a call pass for slowness.
OBSERVED_PACE_WEIGHT = 0.2
# Ratio to the usual work time up to which an answer counts for a replica's pace, so that
# one call that takes long does not pass for a replica that is useless.
MAX_OBSERVED_PACE = 8.0
# Seconds after the last answer in which an observed pace counts. A replica that gets no
# calls since it was slow is tried again after it.
OBSERVED_PACE_LIFETIME = 1.0
# Factor by which the longest wait exceeds the expected one. Other instances compete for
# the same room; with 2 instead, some calls are held and then refused.
WAIT_SAFETY = 4.0
MAX_REFUSALS = 1  # by replicas while calls queue, after which the caller is refused
MIN_RETRY_AFTER = 0.05  # seconds
# A caller honours Retry-After up to this share of its remaining time.
MAX_RETRY_SHARE = 1 / 3
RETRY_JITTER = 0.2  # share by which callers refused together return at different times
# Share of the estimated finish by which the choice among replicas is randomized, so that
# instances with the same reports choose different ones.
FINISH_SPREAD = 0.5
DEADLINE_PERIOD = 10.0  # seconds in which callers of a route are seen to arrive
# Seconds in which the service counted for an account halves: an instance sends only a few
# calls of a small account in this time, so a shorter one tells accounts apart by chance.
SHARE_HALF_LIFE = 2.0
DECAY_INTERVAL = 0.1  # seconds between two decays, which visit all active accounts
MIN_COUNTED_SERVICE = 0.05  # calls; accounts with less are no longer active
USUAL_PACE = 1.0


class LoadReport:
    """What a replica stated about its load; ``at`` is the time of the report.

    ``states_pace`` says whether the replica reports its pace.
    """

    __slots__ = ("at", "pace", "running", "states_pace", "waiting")

    def __init__(self, running, waiting, pace, at):
        self.running = running
        self.waiting = waiting
        self.pace = pace or USUAL_PACE
        self.states_pace = pace is not None
        self.at = at


class ReplicaLoad:
    """A replica that may be chosen; ``report`` is its newest ``LoadReport`` or None."""

    __slots__ = ("identity", "report", "slots")

    def __init__(self, identity, slots, report):
        self.identity = identity
        self.slots = max(1, slots)
        self.report = report


class Call:
    """A caller's call; times are those of the clock of the reports.

    ``target`` is the target latency in seconds, ``target_at`` the time at which it
    passes, counted from the caller's first attempt. ``returned`` says that the caller
    came back after a refusal. ``wait_deadline`` is set while the call waits.
    """

    __slots__ = (
        "account",
        "deadline",
        "returned",
        "target",
        "target_at",
        "wait_deadline",
    )

    def __init__(self, account, target, target_at, deadline, returned=False):
        self.account = account
        self.target = target
        self.target_at = target_at
        self.deadline = deadline
        self.returned = returned
        self.wait_deadline = None


class Send:
    """The call is sent to the replica; ``identity`` None leaves the choice."""

    __slots__ = ("identity",)

    def __init__(self, identity):
        self.identity = identity


class Wait:
    """The call waits here until ``deadline`` at the latest."""

    __slots__ = ("deadline",)

    def __init__(self, deadline):
        self.deadline = deadline


class Refuse:
    """The call is refused; the caller may return after ``retry_after`` seconds."""

    __slots__ = ("retry_after",)

    def __init__(self, retry_after):
        self.retry_after = retry_after


class Sent:
    """A send that has not ended."""

    __slots__ = ("at", "identity")

    def __init__(self, identity, at):
        self.identity = identity
        self.at = at


class ObservedPace:
    """The pace of a replica that reports none, from its answers."""

    __slots__ = ("_observed_at", "_pace")

    def __init__(self):
        self._pace = USUAL_PACE
        self._observed_at = -math.inf

    def record(self, pace, now):
        """Record the ratio of an answer's work time to the usual one."""
        before = self.at(now)
        pace = min(pace, MAX_OBSERVED_PACE)
        self._pace = before + OBSERVED_PACE_WEIGHT * (pace - before)
        self._observed_at = now

    def at(self, now):
        """Return the pace, the usual one some time after the last answer."""
        if now - self._observed_at > OBSERVED_PACE_LIFETIME:
            return USUAL_PACE
        return self._pace


class Estimate:
    """The estimated load and pace of one replica at one time."""

    __slots__ = ("identity", "load", "pace", "slots")

    def __init__(self, identity, slots, load, pace):
        self.identity = identity
        self.slots = slots
        self.load = load
        self.pace = pace

    @property
    def has_free_slot(self):
        """Whether a call that arrives now does not have to wait."""
        return self.load < self.slots

    @property
    def waiting(self):
        """Calls in the queue."""
        return max(0.0, self.load - self.slots)

    def drain_rate(self, work_time):
        """Return the calls that end there in a second while no slot is free."""
        return self.slots / (work_time * self.pace)

    def finish(self, work_time):
        """Return the seconds until a call that is sent now has ended."""
        work = work_time * self.pace
        if self.has_free_slot:
            return work
        return (self.waiting + 1) / self.drain_rate(work_time) + work


class FirstAttempts:
    """Tells since when a caller has tried, from the time that its deadline leaves.

    Callers of a route have the same deadline, and one that comes back has less time left
    than the others. The longest time left of the last one or two periods is that of
    first attempts.
    """

    __slots__ = ("_longest", "_period_end", "_previous")

    def __init__(self):
        self._longest = 0.0
        self._previous = 0.0
        self._period_end = 0.0

    def elapsed(self, left, target, now):
        """Return the seconds since the first attempt, 0 for a first attempt.

        ``left`` are the seconds until the caller's deadline. With less time than a caller
        can have after Retry-After, the deadline is the caller's own.
        """
        if now >= self._period_end:
            self._period_end = now + DEADLINE_PERIOD
            self._previous, self._longest = self._longest, 0.0
        self._longest = max(self._longest, left)
        longest = max(self._longest, self._previous)
        elapsed = longest - left
        latest = longest * MAX_RETRY_SHARE + target
        return elapsed if MIN_RETRY_AFTER <= elapsed <= latest else 0.0


class FairShares:
    """Decaying count of the service that each client account got here."""

    __slots__ = ("_decayed_at", "_service")

    def __init__(self):
        self._service = Counter()
        self._decayed_at = 0.0

    def record(self, account, now):
        """Count one call that is sent for an account."""
        self._decay(now)
        self._service[account] += 1.0

    def is_below_share(self, account, now):
        """Return whether an account got less than an equal share of the active ones."""
        self._decay(now)
        active = len(self._service) + (account not in self._service)
        # The call itself counts: a single account is always below its share.
        return self._service[account] * active < self._service.total() + 1

    def _decay(self, now):
        elapsed = now - self._decayed_at
        if elapsed < DECAY_INTERVAL:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed / SHARE_HALF_LIFE)
        kept = {
            account: service * factor
            for account, service in self._service.items()
            if service * factor >= MIN_COUNTED_SERVICE
        }
        self._service = Counter(kept)


class AdmissionControl:
    """Decides for the calls of one service at one instance.

    ``random()`` returns a random number from 0 to 1. ``work_time`` is the smoothed time
    that a call takes at the usual pace, None before the first answer. ``waiting`` are
    the calls that wait here.
    """

    __slots__ = (
        "_observed",
        "_paces",
        "_queue_sizes",
        "_random",
        "_refused_at",
        "_returns",
        "_sends",
        "_shares",
        "waiting",
        "work_time",
    )

    def __init__(self, random):
        self._random = random
        self._returns = []
        self._sends = {}
        self._observed = 0
        self._paces = {}
        self._queue_sizes = {}
        self._refused_at = None
        self._shares = FairShares()
        self.work_time = None
        self.waiting = []

    def decide(self, call, usual, replicas, now):
        """Return ``Send``, ``Wait`` or ``Refuse`` for a call that has not been sent.

        ``usual`` is the identity of the replica that would get the call without this
        part; ``replicas`` are those that may be chosen.
        """
        estimates = self._estimates(replicas, now)
        if not estimates or not self._is_pressed(estimates, now):
            return Send(usual)
        if self._suits(estimates.get(usual), call, now):
            return Send(usual)
        chosen = None
        if self._is_next(call, now):
            chosen = self._earliest_on_time(estimates, call, now)
            chosen = chosen or self._unreported(replicas, estimates)
        chosen = chosen or self._without_harm(estimates, call, now)
        if chosen is not None:
            return Send(chosen)
        deadline = self._wait_deadline(estimates, call, now)
        if deadline is not None:
            call.wait_deadline = deadline
            self.waiting.append(call)
            return Wait(deadline)
        return Refuse(self.retry_after(replicas, call, now))

    def release(self, replicas, now):
        """Remove a waiting call that can be sent or waits in vain.

        Return it with ``Send`` or ``Refuse``, or None. The send is to be recorded before
        the next call is released.
        """
        if not self.waiting:
            return None
        call = min(self.waiting, key=lambda call: self._rank(call, now))
        estimates = self._estimates(replicas, now)
        if replicas and not (estimates and self._is_pressed(estimates, now)):
            decision = Send(None)
        elif chosen := self._earliest_on_time(estimates, call, now):
            decision = Send(chosen)
        else:
            call = min(self.waiting, key=lambda call: call.wait_deadline)
            if replicas and now < call.wait_deadline:
                return None
            decision = self._last_decision(call, estimates, replicas, now)
        self.waiting.remove(call)
        return call, decision

    def _last_decision(self, call, estimates, replicas, now):
        chosen = self._without_harm(estimates, call, now)
        if chosen is not None:
            return Send(chosen)
        return Refuse(self.retry_after(replicas, call, now))

    def decide_again(self, call, replicas, refusals, now):
        """Return ``Send`` or ``Refuse`` for a call that did not run where it was sent.

        ``replicas`` are those that have not been asked, ``refusals`` says how many
        refused the call. While calls queue, it is sent once more after a refusal.
        """
        estimates = self._estimates(replicas, now)
        if not self._is_pressed(estimates, now):
            return Send(None)
        chosen = None
        if refusals <= MAX_REFUSALS:
            chosen = self._earliest_on_time(estimates, call, now)
            chosen = chosen or self._unreported(replicas, estimates)
            chosen = chosen or self._without_harm(estimates, call, now)
        if chosen is not None:
            return Send(chosen)
        return Refuse(self.retry_after(replicas, call, now))

    def decide_second(self, call, replicas, others, budget, now):
        """Return ``Send`` or None for a second send of a call that may be running.

        ``replicas`` are those of the service, ``others`` the ones not asked. While calls
        queue, a second send needs a token of the retry ``budget``, and a replica with a
        free slot, where it is expected on time, or without a fresh report that may have
        room. Over capacity there is none.
        """
        if not self._is_pressed(self._estimates(replicas, now), now):
            return Send(None)
        estimates = self._estimates(others, now)
        free = [e for e in estimates.values() if e.has_free_slot]
        chosen = self._earliest(estimates.values(), call.target_at - now, call)
        chosen = chosen or self._earliest(free, math.inf, call)
        chosen = chosen or self._unreported(others, estimates)
        if chosen is None or not budget.try_withdraw():
            return None
        return Send(chosen)

    def record_send(self, call, replica, now):
        """Count a send to a ``ReplicaLoad``; return the ``Sent`` for ``record_end``."""
        sent = Sent(replica.identity, now)
        self._sends.setdefault(replica.identity, set()).add(sent)
        self._shares.record(call.account, now)
        return sent

    def record_end(self, sent, now, replica=None):
        """Record the end of a send; ``replica`` is the ``ReplicaLoad`` after an answer."""
        sends = self._sends.get(sent.identity, set())
        sends.discard(sent)
        if not sends:
            self._sends.pop(sent.identity, None)
        report = replica.report if replica is not None else None
        if report is None or report.at < sent.at:
            return
        slots = replica.slots
        if report.waiting > self._queue_sizes.get(sent.identity, math.inf):
            self._queue_sizes[sent.identity] = report.waiting
        # The queue in front of the call was about as long as the one behind it.
        queued = (report.waiting + 1) / slots if report.waiting else 0.0
        work_time = max(MIN_WORK_TIME, (now - sent.at) / (report.pace * (1 + queued)))
        self._observed += 1
        if self.work_time is None:
            self.work_time = work_time
        if not report.states_pace:
            pace = self._paces.setdefault(sent.identity, ObservedPace())
            pace.record(work_time / self.work_time, now)
        work_time = min(work_time, MAX_WORK_RATIO * self.work_time)
        work_time = max(work_time, self.work_time / MAX_WORK_RATIO)
        weight = max(WORK_TIME_WEIGHT, 1 / self._observed)
        self.work_time += weight * (work_time - self.work_time)

    def record_refusal(self, replica, now):
        """Record that a replica refused a call; its report states how much waits there.

        One that refuses with free slots is about to leave, which is no overload.
        """
        report = replica.report
        if report is None or now - report.at > REPORT_LIFETIME:
            return
        if report.running >= replica.slots:
            self._refused_at = now
        if report.waiting:
            self._queue_sizes[replica.identity] = report.waiting

    def retain(self, identities):
        """Forget the replicas that are not among ``identities``."""
        for known in (self._queue_sizes, self._paces):
            for identity in known.keys() - identities:
                del known[identity]

    def retry_after(self, replicas, call, now):
        """Return the seconds until the work ahead of a call is done, with jitter.

        Ahead are the calls in the queues and the callers who were told to come back here
        earlier. The latter get the share of the drain rate that the own sends have of
        the load.
        """
        work_time = self._work_time(call)
        estimates = self._estimates(replicas, now).values()
        rate = sum(estimate.drain_rate(work_time) for estimate in estimates)
        seconds = 0.0
        self._returns = [at for at in self._returns if at > now]
        if rate:
            share = self._share(estimates)
            waiting = sum(e.waiting for e in estimates) + len(self.waiting) + 1
            seconds = (waiting + len(self._returns) / share) / rate
        seconds = max(seconds, MIN_RETRY_AFTER)
        longest = max(0.0, call.deadline - now) * MAX_RETRY_SHARE / (1 + RETRY_JITTER)
        seconds = min(seconds, longest) * (1 + RETRY_JITTER * self._random())
        seconds = max(MIN_RETRY_AFTER, seconds)
        if not call.returned:
            self._returns.append(now + seconds)
        return seconds

    def _work_time(self, call):
        if self.work_time is None:
            return call.target * INITIAL_WORK_SHARE
        return self.work_time

    def _estimates(self, replicas, now):
        """Return the ``Estimate`` of each replica with a fresh report, by identity."""
        estimates = (self._estimate(replica, now) for replica in replicas)
        return {e.identity: e for e in estimates if e is not None}

    def _estimate(self, replica, now):
        report = replica.report
        if report is None or now - report.at > REPORT_LIFETIME:
            return None
        sends = self._sends.get(replica.identity, ())
        newer = sum(sent.at > report.at for sent in sends)
        load = max(len(sends), report.running + report.waiting + newer)
        pace = report.pace
        if not report.states_pace and replica.identity in self._paces:
            pace = self._paces[replica.identity].at(now)
        return Estimate(replica.identity, replica.slots, load, pace)

    def _is_pressed(self, estimates, now):
        """Return whether a fresh report shows a full replica, or one has refused."""
        if self._refused_at is not None and now - self._refused_at <= REPORT_LIFETIME:
            return True
        return any(not estimate.has_free_slot for estimate in estimates.values())

    def _suits(self, estimate, call, now):
        """Return whether the usual replica serves a call without queue and hedge."""
        if estimate is None or not estimate.has_free_slot:
            return False
        finish = estimate.finish(self._work_time(call))
        return finish <= min(call.target / 2, call.target_at - now)

    def _earliest_on_time(self, estimates, call, now):
        return self._earliest(estimates.values(), self._time_left(call, now), call)

    def _time_left(self, call, now):
        """Return the seconds in which a call that is sent now must be expected to end.

        A margin allows for reports that lag. Accounts above their share leave headroom
        to the others.
        """
        left = call.target_at - now - MARGIN_SHARE * call.target
        if call.returned or self._shares.is_below_share(call.account, now):
            return left
        return left - HEADROOM_SHARE * call.target

    def _earliest(self, estimates, limit, call):
        work_time = self._work_time(call)
        scores = [
            (
                estimate.finish(work_time) * (1 + FINISH_SPREAD * self._random()),
                estimate.identity,
            )
            for estimate in estimates
            if estimate.finish(work_time) <= limit and self._has_room(estimate)
        ]
        return min(scores)[1] if scores else None

    def _has_room(self, estimate):
        size = self._queue_sizes.get(estimate.identity)
        return size is None or estimate.waiting < ROOM_SHARE * size

    def _unreported(self, replicas, estimates):
        """Return a replica without a fresh report that may have room, or None.

        One without an own call gets one, which finds out how long its queue is. Another
        gets as many as the slots that were free by its last report.
        """
        others = [r for r in replicas if r.identity not in estimates]
        in_flight = {r.identity: len(self._sends.get(r.identity, ())) for r in others}
        for replica in others:
            if not in_flight[replica.identity]:
                return replica.identity
        for replica in others:
            report = replica.report
            load = report.running + report.waiting if report else replica.slots
            if load + in_flight[replica.identity] < replica.slots:
                return replica.identity
        return None

    def _without_harm(self, estimates, call, now):
        """Return a replica where a late call delays no call that can be on time."""
        work_time = self._work_time(call)
        free, slow = [], []
        for estimate in estimates.values():
            if estimate.has_free_slot:
                free.append(estimate)
            elif work_time * estimate.pace > call.target:
                slow.append(estimate)
        return self._earliest(free, math.inf, call) or self._earliest(
            slow, call.deadline - now, call
        )

    def _wait_deadline(self, estimates, call, now):
        """Return until when a call may wait for room in a queue, None if in vain.

        Where the queue is too long for the target latency, waiting does not help: queue
        and time left get shorter alike. It helps where the call would be on time, but
        the queue is full.
        """
        work_time = self._work_time(call)
        left = self._time_left(call, now)
        share = self._share(estimates.values())
        for estimate in estimates.values():
            longest = min(
                MAX_WAIT_SHARE * call.target, left - estimate.finish(work_time)
            )
            size = self._queue_sizes.get(estimate.identity)
            if longest <= 0 or size is None:
                continue
            excess = (
                max(0.0, estimate.waiting - ROOM_SHARE * size) + len(self.waiting) + 1
            )
            if WAIT_SAFETY * excess <= longest * share * estimate.drain_rate(work_time):
                return now + longest
        return None

    def _share(self, estimates):
        """Return the share of the load, and so of the drain rate, that is own sends'."""
        load = sum(estimate.load for estimate in estimates)
        in_flight = sum(len(sends) for sends in self._sends.values())
        return min(1.0, max(1, in_flight) / max(1.0, load))

    def _is_next(self, call, now):
        """Return whether a call goes before all that wait here."""
        rank = self._rank(call, now)
        return all(rank < self._rank(other, now) for other in self.waiting)

    def _rank(self, call, now):
        """Return the sort key of a waiting call."""
        is_below = self._shares.is_below_share(call.account, now)
        return (not is_below, not call.returned, call.deadline)
