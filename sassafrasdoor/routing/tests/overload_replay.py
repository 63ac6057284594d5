"""Virtual-time model of instances, callers and replicas under many times the usual calls.

Fourteen instances decide independently for the same three replicas. The present policy
(ask every replica in turn, fixed time to come back) is kept for comparison.
"""

import heapq
import itertools
import random
from functools import partial

from sassafrasdoor.admission.retries import RetryBudget
from sassafrasdoor.routing.overload import (
    MIN_RETRY_AFTER,
    AdmissionControl,
    Call,
    LoadReport,
    Refuse,
    ReplicaLoad,
    Send,
    Wait,
)

SLOTS, QUEUE_SIZE = 6, 24
WORK_TIMES = (0.025, 0.038)  # seconds
TARGET, DEADLINE = 0.192, 1.507  # seconds
ZONE_DELAY = 0.0014  # seconds, one way between two zones
HEDGE_FRACTION = 0.55
LATEST_RETURN = 1 / 3  # of a caller's remaining time
USUAL_CALLS_PER_SECOND = 6.0
ATTEMPTS = 3


class Caller:
    """A call from its first attempt on; ``answered_at`` is None until it is answered."""

    def __init__(self, account, arrived_at):
        self.account = account
        self.arrived_at = arrived_at
        self.answered_at = None
        self.sends = 0
        self.ran = False
        self.refusal_delays = []

    @property
    def is_on_time(self):
        return self.answered_at is not None and self.answered_at <= (
            self.arrived_at + TARGET
        )


class ModelledReplica:
    """Six slots and a FIFO queue of 24; ``pace`` multiplies the work time."""

    def __init__(self, replay, identity, zone, pace=1.0):
        self._replay = replay
        self.identity = identity
        self.zone = zone
        self.pace = pace
        self.running = 0
        self.queue = []

    @property
    def report(self):
        pace = self.pace if self._replay.reports_pace else None
        return self.running, len(self.queue), pace

    def receive(self, job):
        job.caller.sends += 1
        if job.cancelled:
            return
        if self.running < SLOTS:
            self._begin(job)
        elif len(self.queue) < QUEUE_SIZE:
            self.queue.append(job)
        else:
            self._replay.after(job.delay, job.refused, self.report)

    def _begin(self, job):
        self.running += 1
        job.caller.ran = True
        work = self._replay.random.uniform(*WORK_TIMES) * self.pace
        self._replay.after(work, self._end, job)

    def _end(self, job):
        self.running -= 1
        while self.queue and self.running < SLOTS:
            queued = self.queue.pop(0)
            if not queued.cancelled:
                self._begin(queued)
        self._replay.after(job.delay, job.answered, self.report)


class Job:
    """One send of a call to a replica."""

    def __init__(self, caller, delay, answered, refused):
        self.caller = caller
        self.delay = delay
        self.answered = answered
        self.refused = refused
        self.cancelled = False


class Replay:
    """Runs the calls of ``seconds`` through instances made by ``make_instance``.

    ``reports_pace`` says whether the replicas report their pace.
    """

    def __init__(
        self,
        make_instance,
        paces=(1.0, 1.0, 4.0),
        instances=14,
        seed=1,
        reports_pace=True,
    ):
        self.reports_pace = reports_pace
        self.random = random.Random(seed)
        self.now = 0.0
        self._events = []
        self._order = itertools.count()
        self.replicas = [
            ModelledReplica(self, f"p{zone}", zone, pace)
            for zone, pace in enumerate(paces)
        ]
        self.instances = [make_instance(self, at % 3) for at in range(instances)]
        self.callers = []

    def after(self, seconds, action, *arguments):
        """Run ``action(*arguments)`` at a later virtual time."""
        entry = (self.now + seconds, next(self._order), action, arguments)
        heapq.heappush(self._events, entry)

    def delay(self, zone, replica):
        """Return the seconds of one way to a replica."""
        return ZONE_DELAY if zone != replica.zone else 0.0002

    def run(self, load_factor, seconds=6.0, accounts=None):
        """Let calls arrive at random; return the callers, in the order of arrival.

        ``accounts`` maps names to weights of the demand.
        """
        names, weights = zip(*(accounts or {"": 1}).items(), strict=True)
        at = 0.0
        while True:
            at += self.random.expovariate(load_factor * USUAL_CALLS_PER_SECOND)
            if at > seconds:
                break
            caller = Caller(self.random.choices(names, weights)[0], at)
            self.callers.append(caller)
            self.after(at, self._attempt, caller, True)
        while self._events:
            self.now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self.callers

    def _attempt(self, caller, may_return):
        started_at = self.now

        def refused(retry_after):
            caller.refusal_delays.append(self.now - started_at)
            left = caller.arrived_at + DEADLINE - self.now
            if may_return and left > 0:
                pause = min(retry_after, left * LATEST_RETURN)
                self.after(pause, self._attempt, caller, False)

        instance = self.random.choice(self.instances)
        instance.receive(caller, refused)


class PresentInstance:
    """Asks the least loaded replica by the last reports, then each other one in turn."""

    def __init__(self, replay, zone):
        self.replay = replay
        self.zone = zone
        self.in_flight = dict.fromkeys((p.identity for p in replay.replicas), 0)
        self._others_load = {}

    def receive(self, caller, refused):
        """Handle an attempt of a caller; ``refused(retry_after)`` ends it."""
        attempt = Attempt(self, caller, refused)
        attempt.send(self.choose(()))

    def choose(self, avoid):
        """Return the replica that is least loaded, as ``Replicas.choose`` does."""

        def cost(replica):
            load, until = self._others_load.get(replica.identity, (0, 0.0))
            load = load if self.replay.now < until else 0
            share = (self.in_flight[replica.identity] + load) / SLOTS
            return share + (0.25 if replica.zone != self.zone else 0.0)

        rest = [p for p in self.replay.replicas if p.identity not in avoid]
        return min(rest, key=cost, default=None)

    def record_report(self, replica, report):
        running, waiting, _ = report
        load = max(0, running + waiting - self.in_flight[replica.identity])
        self._others_load[replica.identity] = (load, self.replay.now + 1.0)

    def sent(self, attempt, replica):
        """Record a send; return what ``ended`` gets."""

    def ended(self, sent, replica, was_answered):
        """Record the end of a send."""

    def after_refusal(self, attempt):
        """Return the replica asked next, or the seconds after which to come back."""
        return self.choose(attempt.tried) or 0.1

    def hedge(self, attempt):
        """Return the replica of a second send, or None."""
        return self.choose(attempt.tried)


class Attempt:
    """One attempt of a caller at an instance."""

    def __init__(self, instance, caller, refused, call=None):
        self._instance = instance
        self._replay = instance.replay
        self.caller = caller
        self.call = call
        self.refuse = refused
        self.tried = set()
        self._jobs = set()

    def send(self, replica):
        """Send to a replica."""
        instance, identity = self._instance, replica.identity
        self.tried.add(identity)
        instance.in_flight[identity] += 1
        sent = instance.sent(self, replica)

        def ended(was_answered, report):
            instance.in_flight[identity] -= 1
            instance.record_report(replica, report)
            self._jobs.discard(job)
            instance.ended(sent, replica, was_answered)
            (self._answered if was_answered else self._refused)()

        delay = self._replay.delay(instance.zone, replica)
        job = Job(self.caller, delay, partial(ended, True), partial(ended, False))
        self._jobs.add(job)
        self._replay.after(delay, replica.receive, job)
        if len(self.tried) < ATTEMPTS:
            self._replay.after(TARGET * HEDGE_FRACTION, self._hedge, job)

    def _hedge(self, job):
        replica = self._instance.hedge(self) if job in self._jobs else None
        if replica is not None:
            self.send(replica)

    def _answered(self):
        if self.caller.answered_at is None:
            self.caller.answered_at = self._replay.now
        for other in self._jobs:
            other.cancelled = True

    def _refused(self):
        if self._jobs or self.caller.answered_at is not None:
            return
        following = self._instance.after_refusal(self)
        if isinstance(following, ModelledReplica):
            self.send(following)
        else:
            self.refuse(following)


class Instance(PresentInstance):
    """Decides with ``AdmissionControl``."""

    def __init__(self, replay, zone):
        super().__init__(replay, zone)
        self._control = AdmissionControl(replay.random.random)
        self._budget = RetryBudget(ratio=0.1)
        self._reports = {}
        self._waiting = {}

    def receive(self, caller, refused):
        now, arrived_at = self.replay.now, caller.arrived_at
        call = Call(
            caller.account,
            TARGET,
            arrived_at + TARGET,
            arrived_at + DEADLINE,
            now - arrived_at >= MIN_RETRY_AFTER,
        )
        attempt = Attempt(self, caller, refused, call)
        usual = self.choose(()).identity
        decision = self._control.decide(call, usual, self._loads(), now)
        if isinstance(decision, Wait):
            self._waiting[call] = attempt
            self.replay.after(decision.deadline - now, self._release)
        else:
            self._apply(decision, attempt)

    def record_report(self, replica, report):
        super().record_report(replica, report)
        at = self.replay.now - self.replay.delay(self.zone, replica)
        self._reports[replica.identity] = LoadReport(*report, at)

    def sent(self, attempt, replica):
        load = self._loads()[replica.zone]
        return self._control.record_send(attempt.call, load, self.replay.now)

    def ended(self, sent, replica, was_answered):
        load, now = self._loads()[replica.zone], self.replay.now
        self._control.record_end(sent, now, load if was_answered else None)
        if not was_answered:
            self._control.record_refusal(load, now)
        self._release()

    def after_refusal(self, attempt):
        now, call = self.replay.now, attempt.call
        others = self._loads(attempt.tried)
        refusals = len(attempt.tried)
        decision = self._control.decide_again(call, others, refusals, now)
        if isinstance(decision, Send):
            return self._replica(decision) or self.choose(attempt.tried)
        return decision.retry_after

    def hedge(self, attempt):
        decision = self._control.decide_second(
            attempt.call,
            self._loads(),
            self._loads(attempt.tried),
            self._budget,
            self.replay.now,
        )
        if decision is None:
            return None
        return self._replica(decision) or self.choose(attempt.tried)

    def _loads(self, avoid=()):
        return [
            ReplicaLoad(p.identity, SLOTS, self._reports.get(p.identity))
            for p in self.replay.replicas
            if p.identity not in avoid
        ]

    def _replica(self, decision):
        known = {p.identity: p for p in self.replay.replicas}
        return known.get(decision.identity)

    def _apply(self, decision, attempt):
        if isinstance(decision, Refuse):
            attempt.refuse(decision.retry_after)
        else:
            self._budget.deposit()
            attempt.send(self._replica(decision) or self.choose(()))

    def _release(self):
        while released := self._control.release(self._loads(), self.replay.now):
            call, decision = released
            self._apply(decision, self._waiting.pop(call))
