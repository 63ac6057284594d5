"""Runs the items of the shards that this process owns.

An item is queued until a replica with new enough weights has a free slot; then an
attempt streams its sample. The events received are kept: the next attempt, at any
replica, resumes after the last complete event.
"""

import asyncio
import functools
from itertools import groupby

from sassafrasdoor.backends.interface import Broken
from sassafrasdoor.backends.replicas import SampleFailed, SampleOrder, WrongReplica
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.decisions import note, note_routine
from sassafrasdoor.metrics import counter, histogram
from sassafrasdoor.outcomes import NotRun
from sassafrasdoor.requests.crash_watch import NoCrashWatch
from sassafrasdoor.requests.direct import DirectService
from sassafrasdoor.routing import pace, placement, prompt_placement
from sassafrasdoor.routing.replicas import SUSPECT_DURATION
from sassafrasdoor.steps.durable import item_end
from sassafrasdoor.steps.durable.jobs import Job
from sassafrasdoor.steps.durable.order import (
    enqueue,
    latest_first,
    ordered,
    priority,
    requeue,
)
from sassafrasdoor.steps.durable.prompts import Prompts
from sassafrasdoor.steps.durable.records import (
    COMPLETED,
    ERRORED,
    Failure,
    Sample,
    Text,
    encode,
)
from sassafrasdoor.steps.durable.rewards import RewardDispatcher
from sassafrasdoor.table.routes import rounded_age

DISPATCH_INTERVAL = 0.1  # seconds between passes over the queue without a wake-up
# Seconds; covers a load of weights (0.9 s) and some seconds in a replica's full queue.
FIRST_EVENT_TIMEOUT = 4.0
GAP_TIMEOUT = 1.5  # seconds between events; ten times the usual 150 ms
SILENT, LATE, MIGRATED, OUTDATED = "silent", "late", "moved", "old version"
# Log texts by ``Job.abort_reason``, which is set when this process cancels an attempt.
ABORT_REASONS = {
    SILENT: "no events from the replica",
    LATE: "no first event within the timeout",
    MIGRATED: "migrated from a slow replica",
    OUTDATED: "weights older than the step's minimum version",
}
# Seconds between progress records of a sample, and before its first: most samples end
# sooner and need none. Long ones take 6 s; one that the next runner restarted from its
# beginning would miss its step's deadline.
PROGRESS_INTERVAL = 1.2
REFUSAL_DELAY = 0.15  # seconds without items of a model for a replica that refused one

SAMPLES = counter("steps_samples_total", "Samples made by this process, by result.")
ATTEMPTS = counter("steps_attempts_total", "Attempts at items, by result.")
WAITS = counter(
    "steps_items_awaiting_routes_total",
    "Items whose end waited for newer routes, by the reason of the end.",
)
MIGRATIONS = counter("steps_migrations_total", "Samples that migrated, by reason.")
SECONDS = histogram(
    "steps_item_seconds",
    "Seconds from the step's acceptance to an item's sample.",
    buckets=[0.25, 0.5, 1, 2, 3, 4, 5, 7.5, 10, 15, 30],
)


class Runner:
    """Runs the open items of owned shards and puts their records into the outboxes.

    Items and reward calls are owed however many replicas crashed while they ran there, so
    they are exempt from the quarantine of requests.

    ``prompt_of(item)`` returns the ``Prompt`` of an item, or None; without it and the
    instance's ``settings`` items are placed by load alone.
    """

    __slots__ = (
        "_candidates",
        "_client",
        "_idle",
        "_jobs",
        "_lengths",
        "_outboxes",
        "_owned_shards",
        "_prompts",
        "_queue",
        "_replicas",
        "_rewards",
        "_routes",
        "_settings",
        "_steps",
        "_trainers",
        "_unlisted",
        "_wake",
    )

    def __init__(
        self,
        client,
        replicas,
        routes,
        steps,
        outboxes,
        settings=None,
        trainers=None,
        prompt_of=None,
    ):
        self._trainers = trainers
        self._client = client
        self._settings = settings
        self._lengths = {}
        self._idle = {}
        self._replicas = replicas
        self._routes = routes
        self._steps = steps
        self._outboxes = outboxes
        self._prompts = Prompts(replicas, routes, settings, prompt_of)
        self._owned_shards = set()
        self._jobs = {}
        self._queue = []
        self._unlisted = {}
        self._candidates = {}
        self._wake = asyncio.Event()
        self._rewards = RewardDispatcher(
            DirectService(client, replicas, NoCrashWatch()),
            replicas,
            routes,
            outboxes,
            self._wake.set,
            self._handle_score,
            lambda job, reason: self._append_sample(job, ERRORED, reason),
        )
        steps.on_change(self._handle_step_change)
        replicas.on_change(self._wake.set)
        routes.on_change(lambda configuration: self._wake.set())

    async def run(self):
        """Dispatch items until cancelled."""
        while True:
            try:
                async with asyncio.timeout(
                    DISPATCH_INTERVAL if self._jobs else 10 * DISPATCH_INTERVAL
                ):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._replicas.remove_lapsed()
            self._abort_silent_attempts()
            self._append_due_progress()
            self._handle_unlisted()
            self._dispatch()
            self._dispatch_reward_calls()
            self._migrate_slow_samples()

    def queued_items(self, model):
        """Return the number of queued items of a model that a replica could run."""
        return sum(
            job.step.spec.model == model and job.pending_end is None
            for job in self._queue
        )

    def oldest_allowed(self, model):
        """Return the oldest version that serves a model's open steps, 0 for none."""
        versions = [
            job.step.spec.min_version
            for job in self._jobs.values()
            if job.step.spec.model == model
        ]
        return max(versions, default=0)

    def start_shard(self, shard):
        """Start running the open steps of a shard."""
        self._owned_shards.add(shard)
        for step in self._steps.by_id.values():
            if step.shard == shard:
                self._add_items(step)

    def stop_shard(self, shard):
        """Stop the items of a shard; record their progress for the next runner."""
        self._owned_shards.discard(shard)
        for job in list(self._jobs.values()):
            if job.step.shard == shard:
                self._append_progress(job)
                self._remove(job)

    def _append_due_progress(self):
        for job in self._jobs.values():
            if job.progress_due_at is not None and passed(job.progress_due_at):
                self._append_progress(job)

    def _append_progress(self, job):
        job.progress_due_at = deadline_in(PROGRESS_INTERVAL)
        progress = job.progress()
        if progress is not None:
            self._outboxes[job.step.shard].put(encode(progress))

    def _handle_step_change(self, step):
        if step.shard not in self._owned_shards:
            return
        if step.is_new:
            self._add_items(step)
        jobs = [job for job in self._jobs.values() if job.step is step]
        if step.ended and jobs:
            note(
                "step.end_read",
                step=step.spec.step_id,
                shard=step.shard,
                items=len(jobs),
                running=sum(job.task is not None for job in jobs),
            )
        for job in jobs:
            if not step.is_open(job.item.item_id):
                self._remove(job)
            elif job.item.item_id in step.texts and not job.text_logged_at:
                self._start_scoring(job)

    def _add_items(self, step):
        configuration = self._routes.current
        rank = 0 if configuration is None else priority(configuration, step.spec)
        long_from = pace.long_from(step.spec.items)
        jobs = [
            Job(step, item, rank, item.expected < long_from)
            for item in ordered(step.spec)
        ]
        self._prompts.prepare(jobs)
        for job in jobs:
            item = job.item
            if not step.is_open(item.item_id) or job.key in self._jobs:
                continue
            self._jobs[job.key] = job
            if item.item_id in step.texts:
                self._start_scoring(job)
            else:
                enqueue(self._queue, job)
        self._wake.set()

    def _start_scoring(self, job):
        """Queue the reward call of a text that is in the log.

        A previous runner may have appended it while an attempt runs here. Only the
        first record of a text counts, so that attempt is cancelled.
        """
        self._cancel(job)
        job.begin_scoring()
        self._rewards.add(job)

    def _dispatch_reward_calls(self):
        for job in self._rewards.pending:
            self._fail_if_ended(job)
        self._rewards.dispatch()

    def _remove(self, job):
        self._jobs.pop(job.key, None)
        self._rewards.drop(job)
        self._cancel(job)

    def _cancel(self, job):
        if job in self._queue:
            self._queue.remove(job)
        if job.task is not None:
            job.task.cancel()

    def _dispatch(self):
        queue, self._queue = self._latest_first(self._queue), []
        unplaceable = set()
        self._candidates.clear()
        self._prompts.begin_pass()
        for (_, service), jobs in groupby(queue, key=self._batch_key):
            jobs = [job for job in jobs if job.key in self._jobs]
            jobs = [job for job in jobs if not self._fail_if_ended(job)]
            if service is None:
                left = [job for job in jobs if not self._place(job, unplaceable)]
            else:
                place = functools.partial(self._place_by_prompt, service, len(jobs))
                left = prompt_placement.assign(jobs, place, now())
            self._queue += left

    def _batch_key(self, job):
        """Return a queued job's step, and its service if it is placed by prompt."""
        service = None
        if job.prompt is not None and self._prompts.is_in_use:
            service = self._prompts.service_for(self._route(job))
        return job.step.spec.step_id if service else "", service

    def _place(self, job, unplaceable):
        """Start an attempt at the replica with the least load; return whether there is one.

        ``unplaceable`` collects the requirements that no replica meets in this pass.
        """
        if job.pending_end is not None:
            return False
        service, spec = self._pick_service(job), job.step.spec
        requirement = (service, spec.model, spec.min_version, job.avoid)
        candidate = None
        if requirement not in unplaceable:
            candidate = self._select_candidate(job, service)
            if candidate is None and service is not None:
                candidate = self._select_probe(job, service)
        if candidate is None:
            unplaceable.add(requirement)
            # A migrating item has lost its slot to another: any replica will do.
            job.avoid = ""
            return False
        candidate.load += 1
        self._start_attempt(job, candidate.replica)
        return True

    def _place_by_prompt(self, service, queued, job, cached_only):
        """Start an attempt at the replica that suits the prompt, as ``_place`` does."""
        if job.pending_end is not None:
            return False
        spec = job.step.spec
        required = placement.Requirement(spec.model, spec.min_version, job.avoid)
        candidates = self._candidates_for(service)
        if job.avoid:
            # It migrates to end earlier, which a replica with its prompt may not achieve.
            candidate = placement.place(candidates, required)
        else:
            candidate = self._prompts.choose(
                job, service, required, candidates, queued, cached_only
            )
        if candidate is None and not cached_only:
            candidate = self._select_probe(job, service)
        if candidate is None:
            if not cached_only:
                job.avoid = ""
            return False
        candidate.load += 1
        self._start_attempt(job, candidate.replica)
        return True

    def _latest_first(self, queue):
        """Return the queue with the items of the trainers that are latest first."""
        if self._trainers is None or len(queue) < 2:
            return queue
        steps = {job.step.spec.step_id: job.step for job in queue}
        due = {step_id: self._trainers.due_at(step) for step_id, step in steps.items()}
        return latest_first(queue, lambda job: due[job.step.spec.step_id])

    def _fail_if_ended(self, job):
        """Fail an item that its route has ended; return whether that was done.

        If the routes may be too old to tell, the item waits, and they are read.
        """
        if self._routes.current is None:
            return False
        end = item_end.find_end(self._route(job), job.end_facts(), now())
        if end is None:
            job.continue_after_failure()
            return False
        if not self._routes.require_known_since(end.decided_about):
            self._wait_for_routes(job, end)
            return False
        self._append_sample(job, ERRORED, end.reason)
        return True

    def _wait_for_routes(self, job, end):
        """Let an item wait until newer routes show whether it has ended."""
        if job.pending_end is None:
            WAITS.inc({"reason": end.reason})
            note(
                "item.waits_for_routes",
                step=job.step.spec.step_id,
                item=job.item.item_id,
                reason=end.reason,
                **self._routes_fields(job),
            )
        job.pending_end = end

    def _route(self, job):
        configuration = self._routes.current
        if configuration is None:
            return None
        return configuration.match(job.step.spec.host, job.item.path)

    def _pick_service(self, job):
        """Return the service to which an item goes now, None without a route."""
        route = self._route(job)
        return None if route is None else route.pick_service()

    def _select_candidate(self, job, service):
        """Return the ``Candidate`` of a service to send an item to, or None."""
        if service is None:
            return None
        spec = job.step.spec
        # A sample that migrates determines the end of its step.
        yields = job.is_short and not job.avoid
        required = placement.Requirement(
            spec.model, spec.min_version, job.avoid, yields
        )
        return placement.place(self._candidates_for(service), required)

    def _select_probe(self, job, service):
        """Return the ``Candidate`` of a suspect replica that an item may probe, or None."""
        spec = job.step.spec
        required = placement.Requirement(spec.model, spec.min_version, job.avoid)
        candidate = placement.select_probe(self._candidates_for(service), required)
        if candidate is not None:
            candidate.replica.state.probe_started()
        return candidate

    def _candidates_for(self, service):
        """Return the ``Candidate``s of a service, cached for one pass."""
        if service not in self._candidates:
            replicas = self._replicas.of_service(service)
            by_speed = self._uses_speed and any(
                row.uses_load_control for row in replicas
            )
            self._candidates[service] = [
                replica.candidate_by_speed() if by_speed else replica.candidate()
                for replica in replicas
            ]
        return self._candidates[service]

    @property
    def _uses_speed(self):
        """Whether lasting speeds count, for services under load control."""
        return self._settings is None or "pace" not in self._settings.disabled_parts

    def _migrate_slow_samples(self):
        """Migrate samples from replicas much slower than one with a free slot.

        A step waits for its last samples, and on a replica that became slow they take
        several times as long. Resuming elsewhere costs reading the text so far, some
        ten milliseconds.
        """
        queued_models = {
            job.step.spec.model for job in self._queue if job.pending_end is None
        }
        jobs = [
            job
            for job in self._jobs.values()
            if self._is_migratable(job) and job.step.spec.model not in queued_models
        ]
        if not jobs:
            return
        # The candidates of this pass count the attempts that it has begun; the load of
        # their replicas does so only once their tasks run.
        by_service = self._candidates_by_speed(jobs)
        outlooks = self._step_outlooks(by_service)
        for job in jobs:
            job.avoid = job.replica.identity
            reason, better = self._find_migration(job, by_service, outlooks)
            if not reason:
                job.avoid = ""
                continue
            MIGRATIONS.inc({"reason": reason})
            better.load += 1
            job.migrations += 1
            job.abort_reason = MIGRATED
            job.task.cancel()

    def _is_migratable(self, job):
        if job.task is None or job.scoring or job.abort_reason:
            return False
        # The task of an attempt without events may not have started. If cancelled
        # then, it handles no result: its item would never be queued again, and its
        # replica would be counted as one fuller.
        if job.last_event_at is None:
            return False
        return job.migrations < placement.MAX_MIGRATIONS

    def _find_migration(self, job, by_service, outlooks):
        """Return the reason to migrate and the ``Candidate``, or an empty reason."""
        candidates = by_service.get(job.replica.listing.service)
        if candidates is None:
            better = self._select_candidate(job, self._pick_service(job))
            migrates = placement.should_migrate(job.replica, better)
            return (placement.FASTER_REPLICA if migrates else ""), better
        own, outlook = candidates.get(job.replica), outlooks[job.step]
        if own is None or not pace.may_leave(own, outlook):
            return "", None
        better = self._select_candidate(job, self._pick_service(job))
        left = self._events_left(job)
        return pace.migration_reason(own, better, left, outlook), better

    def _candidates_by_speed(self, jobs):
        """Return the ``Candidate``s by service and replica where pace is reported."""
        by_service = {}
        for service in {job.replica.listing.service for job in jobs}:
            rows = self._candidates_for(service)
            if any(row.by_speed for row in rows):
                by_service[service] = {row.replica: row for row in rows}
        return by_service

    def _step_outlooks(self, by_service):
        """Return the ``StepOutlook`` of each step, if any service is under load control."""
        outlooks = {}
        for job in self._jobs.values() if by_service else ():
            if job.scoring:
                continue
            if job.step not in outlooks:
                outlooks[job.step] = pace.StepOutlook(len(job.step.items))
            own = None
            if job.replica is not None:
                own = by_service.get(job.replica.listing.service, {}).get(job.replica)
            outlooks[job.step].add(own, self._events_left(job))
        return outlooks

    def _events_left(self, job):
        """Return the estimated events left of a job's sample, or None if unknown."""
        lengths = self._lengths.get(job.step.spec.model)
        if lengths is None:
            return None
        return lengths.events_left(job.item.expected, len(job.texts))

    def _start_attempt(self, job, replica):
        self._replicas.silences.record_start(replica.listing.service, now())
        job.attempts += 1
        job.started_at = job.started_at or now()
        job.avoid = ""
        job.replica = replica
        job.last_event_at = job.sent_at = None
        if job.progress_due_at is None:
            job.progress_due_at = deadline_in(PROGRESS_INTERVAL)
        job.overtaking_deadline = None
        job.task = asyncio.ensure_future(self._run_attempt(job, replica))
        self._prompts.record_start(job, replica, job.task)

    def _abort_silent_attempts(self):
        self._idle.clear()
        for job in self._jobs.values():
            if job.task is None or job.abort_reason or job.sent_at is None:
                continue
            reason = self._silence_reason(job)
            if reason:
                job.abort_reason = reason
                job.task.cancel()

    def _silence_reason(self, job):
        """Return why an attempt is given up because of silence, or an empty string."""
        replica, moment = job.replica, now()
        if job.last_event_at is not None:
            silences = [(SILENT, job.last_event_at, GAP_TIMEOUT)]
        else:
            silences = [(LATE, job.sent_at, FIRST_EVENT_TIMEOUT)]
            if placement.is_unresponsive(
                job.sent_at, replica.last_received_at, replica.is_loading, moment
            ):
                since = max(job.sent_at, replica.last_received_at)
                silences.append((SILENT, since, placement.UNRESPONSIVE_AFTER))
        for reason, since, limit in silences:
            if moment - since >= limit and self._is_given_up(job, since, limit):
                return reason
        return ""

    def _is_given_up(self, job, since, limit):
        """Return whether an attempt that is silent since then is repeated."""
        return self._replicas.silences.is_given_up(
            job.replica.listing.service,
            since,
            now(),
            limit,
            self._has_idle_replica(job),
        )

    def _has_idle_replica(self, job):
        """Return whether a replica without attempts could serve an item.

        Cached for one pass.
        """
        service, spec = job.replica.listing.service, job.step.spec
        key = (service, spec.model, spec.min_version)
        if key not in self._idle:
            busy = self._busy_replicas
            required = placement.Requirement(spec.model, spec.min_version)
            self._idle[key] = any(
                placement.is_eligible(replica.candidate(), required)
                for replica in self._replicas.of_service(service)
                if replica not in busy
            )
        return self._idle[key]

    @property
    def _busy_replicas(self):
        """The replicas with attempts at items in progress."""
        return {
            job.replica
            for job in self._jobs.values()
            if job.task is not None and not job.scoring
        }

    async def _run_attempt(self, job, replica):
        replica.state.started()
        prompt_use = job.prompt_use
        job.sent_at = now()
        route = self._route(job)
        job.last_order = order = SampleOrder(
            job.item,
            job.step.spec.host,
            None,
            job.last_number,
            job.step.spec.account,
            self._prompts.priority(job, route, replica.listing.service),
        )
        job.abort_reason = ""
        try:
            result = await self._client.generate(
                replica, order, lambda event: self._handle_event(job, event)
            )
        except asyncio.CancelledError:
            # Cancelled by this process: its item is listed, its step ended, its shard
            # lost, or the attempt aborted. Only an aborted attempt is repeated.
            if job.abort_reason not in ABORT_REASONS:
                raise
            result = Broken(ABORT_REASONS[job.abort_reason], began=True)
        finally:
            replica.state.finished()
            self._prompts.record_end(replica, prompt_use)
            self._wake.set()
        if self._jobs.get(job.key) is not job or job.scoring:
            return
        job.task = None
        self._handle_result(job, replica, route, result)

    def _handle_event(self, job, event):
        """Handle one event; return whether to continue the stream."""
        if event.version and event.version < job.step.spec.min_version:
            job.abort_reason = OUTDATED
            job.replica.record_version(job.step.spec.model, event.version)
            job.task.cancel()
            return False
        if job.last_event_at is None:
            job.replica.state.data_received(job.sent_at)
            self._prompts.record_first_event(job)
        elif not self._spans_shared_silence(job):
            job.replica.record_event_interval(now() - job.last_event_at)
        job.append_event(event)
        job.replica.last_received_at = job.last_event_at
        self._replicas.silences.record_data(
            job.replica.listing.service, job.last_event_at
        )
        return True

    def _spans_shared_silence(self, job):
        """Return whether all busy replicas were silent since an attempt's last event.

        The interval then says nothing of the replica's speed, unless it is the only one.
        """
        service = job.replica.listing.service
        return (
            self._replicas.silences.spans_shared(service, job.last_event_at, now())
            and len(self._busy_replicas) > 1
        )

    def _handle_result(self, job, replica, route, result):
        """Handle the result of an attempt."""
        ATTEMPTS.inc({"result": type(result).__name__})
        if job.abort_reason == OUTDATED:
            self._requeue(job, replica, ABORT_REASONS[OUTDATED])
        elif result is True:
            replica.state.answered()
            self._handle_completion(job, replica, route)
        elif isinstance(result, SampleFailed):
            self._handle_failure(job, replica, result)
        elif isinstance(result, NotRun):
            self._handle_refusal(job, replica, result)
        else:
            if job.abort_reason != MIGRATED:
                replica.state.failed(SUSPECT_DURATION)
            self._requeue(job, replica, result.reason)

    def _handle_completion(self, job, replica, route):
        if len(set(job.versions)) > 1:
            if not self._routes.require_known_since(job.step.seen_at):
                # The route, or a longer prefix of it, may forbid several versions.
                self._unlisted[job.key] = (job, replica)
                return
            route = self._route(job) or route
            if route is not None and route.one_version:
                job.restart()
                self._requeue(
                    job, replica, "several weight versions on a single-version route"
                )
                return
        spec = job.step.spec
        lengths = self._lengths.setdefault(spec.model, pace.LengthEstimate())
        lengths.record(job.item.expected, len(job.texts))
        if job.item.reward is None:
            self._append_sample(job, COMPLETED, "")
            return
        versions = sorted(set(job.versions))
        text = Text(spec.step_id, job.item.item_id, "\n".join(job.texts), versions)
        self._outboxes[job.step.shard].put(encode(text))
        job.begin_scoring()

    def _handle_unlisted(self):
        """Look again at the complete texts that newer routes may forbid."""
        unlisted, self._unlisted = self._unlisted, {}
        for key, (job, replica) in unlisted.items():
            if self._jobs.get(key) is job and not job.scoring:
                self._handle_completion(job, replica, self._route(job))

    def _handle_failure(self, job, replica, result):
        job.record_failure(result.reason)
        if result.final:
            self._append_sample(job, ERRORED, result.reason)
            return
        if self._fail_if_ended(job):
            return
        record = Failure(job.step.spec.step_id, job.item.item_id)
        self._outboxes[job.step.shard].put(encode(record))
        job.restart()
        self._requeue(job, replica, result.reason)

    def _handle_refusal(self, job, replica, result):
        model = job.step.spec.model
        replica.refusal_deadlines[model] = deadline_in(REFUSAL_DELAY)
        if isinstance(result, WrongReplica):
            replica.state.failed(SUSPECT_DURATION)
        self._requeue(job, replica, result.reason)

    def _requeue(self, job, replica, reason):
        note(
            "item.try_failed",
            step=job.step.spec.step_id,
            item=job.item.item_id,
            replica=replica.identity,
            attempts=job.attempts,
            events=len(job.texts),
            reason=reason,
            **job.exchange_fields(),
        )
        requeue(self._queue, job)
        self._wake.set()

    def _append_sample(self, job, state, reason):
        spec = job.step.spec
        text = "\n".join(job.texts) if state == COMPLETED else ""
        versions = sorted(set(job.versions)) if state == COMPLETED else []
        sample = Sample(spec.step_id, job.item.item_id, state, text, versions)
        self._outboxes[job.step.shard].put(encode(sample))
        self._finish(job, state, versions, reason)

    def _handle_score(self, job):
        text = job.step.texts.get(job.item.item_id)
        self._finish(job, COMPLETED, text.versions if text else [], "")

    def _finish(self, job, state, versions, reason):
        """Remove a job whose sample or score is in the outbox."""
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
            moves=job.migrations,
            begun_whole_listed=job.timings(),
            versions=versions,
            state=state,
            reason=reason,
            **job.exchange_fields(),
            **self._routes_fields(job) if state == ERRORED else {},
        )

    def _routes_fields(self, job):
        """Return log fields that tell by how old routes an item was judged.

        Routes older than the step were read before this process learned of it.
        """
        configuration = self._routes.current
        return {
            "routes_version": None if configuration is None else configuration.version,
            "routes_age": rounded_age(self._routes.age),
            "step_age": round(now() - job.step.seen_at, 3),
        }
