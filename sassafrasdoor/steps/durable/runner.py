"""Running the items of the shards that this process owns.

An item waits in the queue until a replica with the right weights has room, then one
attempt runs it. What an attempt received is kept: the next one goes on after the
last whole event, at any replica.
"""

import asyncio

from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.backends.replicas import SampleFailed, SampleOrder, WrongReplica
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.decisions import note, note_routine
from sassafrasdoor.metrics import counter, histogram
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.requests.attempts import fingerprint
from sassafrasdoor.requests.crash_watch import CrashWatch
from sassafrasdoor.requests.direct import DirectService
from sassafrasdoor.routing import placement
from sassafrasdoor.routing.replicas import SUSPECT_FOR
from sassafrasdoor.steps.durable.jobs import Job
from sassafrasdoor.steps.durable.order import ordered
from sassafrasdoor.steps.durable.records import (
    COMPLETED,
    ERRORED,
    Failure,
    Sample,
    Text,
    encode,
)
from sassafrasdoor.steps.durable.rewards import RewardDispatcher

TICK = 0.1
"""Seconds between looks at the queue when nothing wakes the runner."""
FIRST_EVENT_TIMEOUT = 4.0
"""Seconds without a first event after which an item goes elsewhere: a load of
weights takes 0.9 s, a full queue some seconds."""
GAP_TIMEOUT = 1.5
"""Seconds without a further event: ten times the usual pause of 150 ms."""
SILENT, MOVED, OLD = "silent", "moved", "old version"
ENDED_HERE = {
    SILENT: "stream went silent",
    MOVED: "moved from a slow replica",
    OLD: "weights older than the step allows",
}
"""Why an attempt was given up here, and what is said of it."""
KEEP_INTERVAL = 1.2
"""Seconds between records of an unfinished sample, and before its first: most samples
end sooner and need none. Long ones run for six seconds; one that began anew with the
next runner would come after its step's deadline."""
HELD_FOR = 4.0
"""Seconds between attempts at an item that crashes the replicas that run it. It may not
be given up, and one that is at no replica for five seconds counts as forgotten."""
REFUSED_PAUSE = 0.15
"""Seconds that a replica which refused an item gets no other one of that model."""

SAMPLES = counter("steps_samples_total", "Samples made by this process, by result.")
ATTEMPTS = counter("steps_attempts_total", "Attempts at items, by result.")
SECONDS = histogram(
    "steps_item_seconds",
    "Seconds from the step's acceptance to an item's sample.",
    buckets=[0.25, 0.5, 1, 2, 3, 4, 5, 7.5, 10, 15, 30],
)


class _ItemRun:
    """An item as the requests that crash replicas are known: by what is sent."""

    __slots__ = ("_job",)

    def __init__(self, job):
        self._job = job

    @property
    def request_id(self):
        return self._job.item.item_id

    @property
    def fingerprint(self):
        item = self._job.item
        headers = [("Host", self._job.step.spec.host), *item.headers.items()]
        return fingerprint(headers, "POST", item.path, item.body)


class Runner:
    """Runs the open items of owned shards; results go to the shards' outboxes."""

    __slots__ = (
        "_candidates",
        "_client",
        "_crashes",
        "_jobs",
        "_outboxes",
        "_owned",
        "_queue",
        "_replicas",
        "_rewards",
        "_routes",
        "_steps",
        "_wake",
    )

    def __init__(self, client, replicas, routes, steps, outboxes, crashes=None):
        self._client = client
        self._crashes = crashes or CrashWatch(client, replicas)
        self._replicas = replicas
        self._routes = routes
        self._steps = steps
        self._outboxes = outboxes
        self._owned = set()
        self._jobs = {}
        self._queue = []
        self._candidates = {}
        self._wake = asyncio.Event()
        self._rewards = RewardDispatcher(
            DirectService(client, replicas, self._crashes),
            replicas,
            routes,
            outboxes,
            self._wake.set,
            self._scored,
            lambda job, reason: self._list(job, ERRORED, reason),
        )
        steps.on_change(self._step_changed)
        replicas.on_change(self._wake.set)

    async def run(self):
        """Hand out items until cancelled."""
        while True:
            try:
                async with asyncio.timeout(TICK if self._jobs else 10 * TICK):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._replicas.sweep()
            self._end_silent()
            self._keep_progress()
            self._dispatch()
            self._score_texts()
            self._move_slow()

    def waiting(self, model):
        """Return how many items of a model wait here for a replica."""
        return sum(job.step.spec.model == model for job in self._queue)

    def oldest_allowed(self, model):
        """Return the newest version that an open step here asks for, 0 for none."""
        asked = [
            job.step.spec.min_version
            for job in self._jobs.values()
            if job.step.spec.model == model
        ]
        return max(asked, default=0)

    def own(self, shard):
        """Run the open steps of a shard from now on."""
        self._owned.add(shard)
        for step in self._steps.by_id.values():
            if step.shard == shard:
                self._add(step)

    def disown(self, shard):
        """Run nothing of a shard any more; keep what was received for the next."""
        self._owned.discard(shard)
        for job in list(self._jobs.values()):
            if job.step.shard == shard:
                self._keep(job)
                self._drop(job)

    def _keep_progress(self):
        for job in self._jobs.values():
            if job.keep_at is not None and passed(job.keep_at):
                self._keep(job)

    def _keep(self, job):
        job.keep_at = deadline_in(KEEP_INTERVAL)
        progress = job.progress()
        if progress is not None:
            self._outboxes[job.step.shard].put(encode(progress))

    def _step_changed(self, step):
        if step.shard not in self._owned:
            return
        if step.is_new:
            self._add(step)
        for job in [one for one in self._jobs.values() if one.step is step]:
            if not step.is_open(job.item.item_id):
                self._drop(job)
            elif job.item.item_id in step.texts and not job.text_kept_at:
                self._score(job)

    def _add(self, step):
        for item in ordered(step.spec):
            job = Job(step, item)
            if not step.is_open(item.item_id) or job.key in self._jobs:
                continue
            self._jobs[job.key] = job
            if item.item_id in step.texts:
                self._score(job)
            else:
                self._queue.append(job)
        self._wake.set()

    def _score(self, job):
        """Send the reward call of a text that the log keeps.

        A former runner may have kept it while this one still makes its own: only the
        first record of a text counts, so the other is made in vain.
        """
        self._stop(job)
        job.score_next()
        self._rewards.add(job)

    def _score_texts(self):
        for job in self._rewards.waiting:
            self._gave_up(job)
        self._rewards.dispatch()

    def _drop(self, job):
        self._jobs.pop(job.key, None)
        self._rewards.drop(job)
        self._stop(job)

    def _stop(self, job):
        if job in self._queue:
            self._queue.remove(job)
        if job.task is not None:
            job.task.cancel()

    def _dispatch(self):
        waiting, self._queue = self._queue, []
        full = set()
        self._candidates.clear()
        for job in waiting:
            if job.key not in self._jobs:
                continue
            if self._gave_up(job):
                continue
            if self._is_held(job):
                self._queue.append(job)
                continue
            kind = (job.step.spec.model, job.step.spec.min_version, job.avoid)
            found = None if kind in full else self._place(job)
            if found is None:
                full.add(kind)
                # Whoever took the better place is gone with it: any will do now.
                job.avoid = ""
                self._queue.append(job)
                continue
            found.load += 1
            self._start(job, found.replica)

    def _is_held(self, job):
        """Say whether an item that crashes replicas is to wait before its next try."""
        if job.broke_at is None or passed(job.broke_at + HELD_FOR):
            return False
        return self._crashes.is_quarantined(_ItemRun(job))

    def _gave_up(self, job):
        route = self._route(job)
        configuration = self._routes.current
        if route is None:
            if configuration is None:
                return False
            self._list(job, ERRORED, "route removed")
            return True
        # Counted from when this process learned of the step, so never too early,
        # whatever the clocks of the instance that accepted it say.
        if passed(job.step.seen_at + route.keep_for):
            self._list(job, ERRORED, "kept long enough")
            return True
        return False

    def _route(self, job):
        configuration = self._routes.current
        if configuration is None:
            return None
        return configuration.match(job.step.spec.host, job.item.path)

    def _place(self, job):
        """Return the ``Candidate`` that gets an item now, or None."""
        route = self._route(job)
        if route is None:
            return None
        spec = job.step.spec
        required = placement.Requirement(spec.model, spec.min_version, job.avoid)
        return placement.place(self._candidates_of(route.pick_service()), required)

    def _candidates_of(self, service):
        """Return the ``Candidate``s of a service, the same for one pass."""
        if service not in self._candidates:
            found = self._replicas.of_service(service)
            self._candidates[service] = [one.candidate() for one in found]
        return self._candidates[service]

    def _move_slow(self):
        """Move samples away from replicas that are much slower than one with room.

        A step waits for its last samples. One that is left on a replica that turned
        slow takes several times as long; going on elsewhere costs reading what it
        has reached, some ten milliseconds.
        """
        waiting = {job.step.spec.model for job in self._queue}
        self._candidates.clear()
        for job in list(self._jobs.values()):
            if job.task is None or job.scoring or job.why:
                continue
            # An attempt that has not begun yet would not see its cancellation, and the
            # item would wait for ever with its replica counted as one fuller.
            if job.last_event_at is None:
                continue
            if job.moves >= placement.MAX_MIGRATIONS or job.step.spec.model in waiting:
                continue
            job.avoid = job.replica.identity
            better = self._place(job)
            if not placement.should_migrate(job.replica, better):
                job.avoid = ""
                continue
            better.load += 1
            job.moves += 1
            job.why = MOVED
            job.task.cancel()

    def _start(self, job, replica):
        job.attempts += 1
        job.begun_at = job.begun_at or now()
        job.avoid = ""
        job.replica = replica
        job.last_event_at = job.sent_at = None
        if job.keep_at is None:
            job.keep_at = deadline_in(KEEP_INTERVAL)
        job.task = asyncio.ensure_future(self._attempt(job, replica))

    def _end_silent(self):
        for job in self._jobs.values():
            if job.task is None or job.why or job.sent_at is None:
                continue
            if self._is_silent(job):
                job.why = SILENT
                job.task.cancel()

    def _is_silent(self, job):
        if job.last_event_at is not None:
            return passed(job.last_event_at + GAP_TIMEOUT)
        one = job.replica
        return placement.is_unresponsive(job.sent_at, one.heard_at, one.loading, now())

    async def _attempt(self, job, replica):
        replica.state.started()
        job.sent_at = now()
        route = self._route(job)
        order = SampleOrder(job.item, job.step.spec.host, None, job.last_number)
        job.why = ""
        try:
            async with asyncio.timeout(FIRST_EVENT_TIMEOUT) as timeout:
                result = await self._client.generate(
                    replica, order, lambda event: self._event(job, event, timeout)
                )
        except TimeoutError:
            result = Broken("no first event", began=True)
        except asyncio.CancelledError:
            # Ended from here: the item is listed, its step ended, or the attempt is
            # given up. Only in the last case is there something left to do.
            if job.why not in ENDED_HERE:
                raise
            result = Broken(ENDED_HERE[job.why], began=True)
        finally:
            replica.state.finished()
            self._wake.set()
        if self._jobs.get(job.key) is not job or job.scoring:
            return
        job.task = None
        self._judge(job, replica, route, result)

    def _event(self, job, event, timeout):
        """Take one event; return whether the stream is to go on."""
        if event.version and event.version < job.step.spec.min_version:
            job.why = OLD
            job.replica.told_version(job.step.spec.model, event.version)
            job.task.cancel()
            return False
        timeout.reschedule(None)
        if job.last_event_at is not None:
            job.replica.told_gap(now() - job.last_event_at)
        job.take(event)
        job.replica.heard_at = job.last_event_at
        return True

    def _judge(self, job, replica, route, result):
        """Act on what became of an attempt."""
        ATTEMPTS.inc({"result": type(result).__name__})
        if job.why == OLD:
            self._again(job, replica, ENDED_HERE[OLD])
        elif result is True:
            replica.state.answered()
            self._crashes.record_result(_ItemRun(job), replica, result)
            self._completed(job, replica, route)
        elif isinstance(result, SampleFailed):
            self._failed(job, replica, route, result)
        elif isinstance(result, NotRun):
            self._refused(job, replica, result)
        else:
            if job.why != MOVED:
                replica.state.failed(SUSPECT_FOR)
            if job.why not in ENDED_HERE:
                job.broke_at = now()
                self._crashes.record_result(_ItemRun(job), replica, result)
            self._again(job, replica, result.reason)

    def _completed(self, job, replica, route):
        if route is not None and route.one_version and len(set(job.versions)) > 1:
            job.restart()
            self._again(job, replica, "several versions where one is asked for")
            return
        if job.item.reward is None:
            self._list(job, COMPLETED, "")
            return
        spec = job.step.spec
        versions = sorted(set(job.versions))
        text = Text(spec.step_id, job.item.item_id, "\n".join(job.texts), versions)
        self._outboxes[job.step.shard].put(encode(text))
        job.score_next()

    def _failed(self, job, replica, route, result):
        job.failures += 1
        allowed = route.attempts if route is not None else 1
        if result.final or job.failures >= allowed:
            self._list(job, ERRORED, result.reason)
            return
        record = Failure(job.step.spec.step_id, job.item.item_id)
        self._outboxes[job.step.shard].put(encode(record))
        job.restart()
        self._again(job, replica, result.reason)

    def _refused(self, job, replica, result):
        model = job.step.spec.model
        replica.refused_until[model] = deadline_in(REFUSED_PAUSE)
        if isinstance(result, WrongReplica):
            replica.state.failed(SUSPECT_FOR)
        self._again(job, replica, result.reason)

    def _again(self, job, replica, reason):
        note(
            "item.try_failed",
            step=job.step.spec.step_id,
            item=job.item.item_id,
            replica=replica.identity,
            attempts=job.attempts,
            events=len(job.texts),
            reason=reason,
        )
        self._queue.insert(0, job)
        self._wake.set()

    def _list(self, job, state, reason):
        spec = job.step.spec
        text = "\n".join(job.texts) if state == COMPLETED else ""
        versions = sorted(set(job.versions)) if state == COMPLETED else []
        sample = Sample(spec.step_id, job.item.item_id, state, text, versions)
        self._outboxes[job.step.shard].put(encode(sample))
        self._made(job, state, versions, reason)

    def _scored(self, job):
        kept = job.step.texts.get(job.item.item_id)
        self._made(job, COMPLETED, kept.versions if kept else [], "")

    def _made(self, job, state, versions, reason):
        """Forget a job whose sample is on its way into the log."""
        self._jobs.pop(job.key, None)
        self._rewards.drop(job)
        SAMPLES.inc({"result": state})
        if state == COMPLETED:
            SECONDS.observe({}, now() - job.step.seen_at)
        write = note_routine if state == COMPLETED else note
        write(
            "item.made",
            step=job.step.spec.step_id,
            item=job.item.item_id,
            reward=job.item.reward.call_id if job.item.reward else "",
            replica=job.replica.identity if job.replica else "",
            attempts=job.attempts,
            moves=job.moves,
            begun_whole_listed=job.seconds(),
            versions=versions,
            state=state,
            reason=reason,
        )
