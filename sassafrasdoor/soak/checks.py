"""Checks the service's guarantees against what callers and replicas observed."""

from sassafrasdoor.backends.interface import Broken

# Seconds after the acknowledged end of a step; no run of the step may start later.
CANCEL_GRACE_PERIOD = 3.0
# Seconds after a replica announced that it leaves; it may get no new work later.
LEAVE_GRACE_PERIOD = 2.0
# Seconds after a disruption within which an instance must know which replicas left.
CATCH_UP_PERIOD = 3.0
# Seconds after a kill or pause that still count as part of it: a planned stop may have
# run out of time because of a pause.
DISRUPTION_GRACE_PERIOD = 1.0
REFUSED, FAILED, NOT_FOUND, OK, TIMED_OUT = 503, 500, 404, 200, 504
REWARD_SUFFIX = "-reward"


def reward_call_id(item_id):
    """Return the id of an item's reward call."""
    return item_id + REWARD_SUFFIX


class Call:
    """A request to ``instance`` as observed by its caller.

    ``status`` is None without an answer. ``cut`` is true if the connection ended after
    the request was sent, or if the instance itself failed with status 500. ``stamp`` is
    that of the run whose answer it is, None in an answer of the instance itself.
    """

    __slots__ = (
        "body",
        "cut",
        "ended_at",
        "instance",
        "once",
        "request_id",
        "sent_at",
        "stamp",
        "status",
    )

    def __init__(self, request_id, once, sent_at, instance):
        self.request_id = request_id
        self.once = once
        self.sent_at = sent_at
        self.instance = instance
        self.ended_at = self.status = self.stamp = None
        self.body = b""
        self.cut = False

    def record_outcome(self, reply, is_own_failure, at):
        """Record the ``Reply`` or ``Broken`` received at the time ``at``.

        ``is_own_failure``: the answer comes from the instance, not from a replica.
        """
        self.ended_at = at
        if isinstance(reply, Broken):
            self.cut = reply.began and reply.reason != "timeout"
        else:
            self.status, self.body = reply.status, reply.body
            self.cut = is_own_failure and reply.status == FAILED


class Disruption:
    """A period in which an instance could not work normally; "" stands for all."""

    __slots__ = ("begin", "end", "instance")

    def __init__(self, instance, begin, end):
        self.instance = instance
        self.begin = begin
        self.end = end

    def covers(self, call):
        """Return whether a call to the instance was open during the disruption."""
        is_same_instance = call.instance == self.instance
        return (
            is_same_instance
            and call.sent_at <= self.end
            and call.ended_at >= self.begin
        )


class Departure:
    """The period for which a replica's entry was missing from the list.

    ``left_at`` is the time at which the log acknowledged the removal.
    """

    __slots__ = ("left_at", "replica", "returned_at")

    def __init__(self, replica, left_at):
        self.replica = replica
        self.left_at = left_at
        self.returned_at = None


class StepObservation:
    """A step as observed by its trainer; ``pages`` are the listings that were read.

    ``rewarded`` are the ids of the items whose texts need a score.

    ``route_stays`` says whether its route is in force from before its submission to the end.

    ``refusals`` counts submissions answered with "not run", ``unknown`` those without
    a conclusive answer: after one of these the step may run, whatever the answers to
    the others. ``asked_to_end`` is set once an end was requested, ``ended_at`` when one
    was acknowledged; a request without an answer may have taken effect.
    """

    __slots__ = (
        "accepted",
        "asked_to_end",
        "ended_at",
        "items",
        "pages",
        "refusals",
        "rewarded",
        "route_stays",
        "step_id",
        "unknown",
    )

    def __init__(self, step_id, items, rewarded=(), route_stays=True):
        self.route_stays = route_stays
        self.step_id = step_id
        self.items = items
        self.rewarded = frozenset(rewarded)
        self.accepted = False
        self.refusals = 0
        self.unknown = 0
        self.asked_to_end = False
        self.ended_at = None
        self.pages = []


class Violations:
    """The violated guarantees with the ids concerned, as ``messages``."""

    def __init__(self):
        self.messages = []

    def add(self, guarantee, text):
        """Record one violation."""
        self.messages.append(f"{guarantee}: {text}")


def check_calls(calls, runs, expected, violations):
    """Check that answers match their calls, and that calls run as often as allowed.

    A call answered 200 has its own complete answer and was run by a replica. A call of
    the kind ``once`` runs at most once, and never if it was refused. ``runs`` are the
    replicas' runs by request id; ``expected(id)`` is the correct answer.
    """
    for call in calls:
        call_runs = runs.get(call.request_id, [])
        if call.status == OK and call.body != expected(call.request_id):
            violations.add("own whole answer", f"{call.request_id}: {call.body!r}")
        if call.status == OK and not call_runs:
            violations.add("answers come from replicas", call.request_id)
        if call.once and len(call_runs) > 1:
            violations.add(
                "at most once", f"{call.request_id} ran {len(call_runs)} times"
            )
        if call.once and call.status == REFUSED and call_runs:
            violations.add("not run is true", call.request_id)


def check_answers(calls, runs, violations):
    """Check that each answer is the own answer of the run whose stamp it bears.

    A success needs a stamp; a failure without one is the instance's. ``runs`` are the
    replicas' runs by request id.
    """
    for call in calls:
        if call.status is None or (call.stamp is None and call.status != OK):
            continue
        own = [
            run.answer
            for run in runs.get(call.request_id, ())
            if run.stamp == call.stamp and run.answer is not None
        ]
        is_own = any(
            answer.status == call.status
            and (answer.body == call.body or not answer.is_success)
            for answer in own
        )
        if not is_own:
            sent = [(answer.status, answer.body) for answer in own]
            violations.add(
                "answers are their runs' own",
                f"{call.request_id} at {call.instance}: {call.status} {call.body!r} "
                f"of {call.stamp}, which sent {sent}",
            )


def unserved_calls(calls, runs):
    """Return the repeatable calls that ended with 503 or 504, and those of them that a
    replica ran with success."""
    unserved = [
        call for call in calls if not call.once and call.status in (REFUSED, TIMED_OUT)
    ]
    return unserved, [
        call
        for call in unserved
        if any(_has_succeeded(run) for run in runs.get(call.request_id, ()))
    ]


def _has_succeeded(run):
    return run.answer is not None and run.answer.is_success


def check_cuts(calls, runs, disruptions, violations):
    """Check that no call run by a replica is cut, except by a kill or a pause.

    A planned stop is no excuse: callers keep using open connections until the process
    has exited.
    """
    for call in calls:
        is_cut_run = call.cut and runs.get(call.request_id)
        if is_cut_run and not any(
            disruption.covers(call) for disruption in disruptions
        ):
            violations.add("nothing is cut", f"{call.request_id} at {call.instance}")


def check_departures(departures, calls, disruptions, violations):
    """Check that replicas that have left get no calls from instances that could know.

    ``disruptions`` are those that keep an instance from reading the list of replicas,
    for all instances (such as a log outage) under the name "".
    """
    senders = {call.request_id: call.instance for call in calls}
    for departure in departures:
        if _was_disrupted(disruptions, "", departure.left_at):
            continue
        for run in departure.replica.runs:
            is_late = (
                departure.left_at + LEAVE_GRACE_PERIOD < run.at < departure.returned_at
            )
            sender = senders.get(run.request_id)
            if not is_late or sender is None:
                continue
            if not _was_disrupted(disruptions, sender, run.at) and not _was_disrupted(
                disruptions, "", run.at
            ):
                after = f"{run.at - departure.left_at:.2f} s after its end"
                message = f"{departure.replica.identity} {after}, {run.request_id} at {sender}"
                violations.add("leaving gets no work", message)


def _was_disrupted(disruptions, instance, at):
    """Return whether an instance was disrupted at ``at`` or shortly before."""
    return any(
        disruption.instance == instance
        and disruption.begin <= at <= disruption.end + CATCH_UP_PERIOD
        for disruption in disruptions
    )


def check_steps(steps, runs, text, violations):
    """Check the listings of steps, and that refused or ended steps are not run."""
    for step in steps:
        _check_pages(step, text, violations)
        starts = [run.at for item in step.items for run in runs.get(item, [])]
        refused = step.refusals and not step.unknown and not step.accepted
        if refused and starts:
            violations.add("not run is true", f"step {step.step_id}")
        if step.ended_at is not None:
            late_starts = [
                at for at in starts if at > step.ended_at + CANCEL_GRACE_PERIOD
            ]
            if late_starts:
                violations.add("ended means ended", f"step {step.step_id}")


def check_routes(steps, runs, max_attempts, violations):
    """Check that no item is given up whose route stays and that replicas have not failed.

    An item has failed with ``max_attempts`` runs that the replicas themselves answered
    with 500. Reward calls may fail, so items that need a score are left out.
    """
    for step in steps:
        for sample in max(step.pages, key=len, default=[]):
            is_given_up = sample["State"] != "completed"
            if not is_given_up or not step.route_stays or sample["Id"] in step.rewarded:
                continue
            failed = sum(_has_failed(run) for run in runs.get(sample["Id"], ()))
            if failed < max_attempts:
                message = f"{sample['Id']} after {failed} failed runs"
                violations.add("routes in force end no item", message)


def _has_failed(run):
    return run.answer is not None and run.answer.status == FAILED


def check_scores(steps, runs, violations):
    """Check that each required score is the stamp of an own successful run."""
    for step in steps:
        for sample in max(step.pages, key=len, default=[]):
            if sample["State"] != "completed" or sample["Id"] not in step.rewarded:
                continue
            call_runs = runs.get(reward_call_id(sample["Id"]), ())
            stamps = {run.stamp for run in call_runs if _has_succeeded(run)}
            if sample.get("Score") not in stamps:
                sent = [
                    (run.stamp, run.answer and run.answer.status) for run in call_runs
                ]
                message = f"{sample['Id']}: {sample.get('Score')} of runs {sent}"
                violations.add("own score", message)


def _check_pages(step, text, violations):
    longest = max(step.pages, key=len, default=[])
    names = [sample["Id"] for sample in longest]
    if len(names) != len(set(names)):
        violations.add("samples exactly once", f"step {step.step_id}")
    for page in step.pages:
        if page != longest[: len(page)]:
            violations.add("positions stay", f"step {step.step_id}")
    for sample in longest:
        if sample["State"] == "completed" and sample["Output"] != text(sample["Id"]):
            violations.add("whole samples", f"{step.step_id} {sample['Id']}")
        if sample["State"] == "completed" and sample["Versions"] != [1]:
            violations.add("right labels", f"{step.step_id} {sample['Id']}")


def check_accepted_readable(steps, readable, violations):
    """Check that every accepted step is readable at every instance after the run."""
    for step in steps:
        if step.accepted and not readable(step.step_id):
            violations.add("accepted is kept", f"step {step.step_id}")
