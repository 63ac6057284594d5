"""Dispatches the reward calls of complete texts that are in the log.

A reward call is idempotent: it keeps its id, path and body over all tries. Only a
replica's own failures count, and they are logged, so that they add up over runners.
"""

import asyncio

from sassafrasdoor.backends.interface import Answer
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, histogram
from sassafrasdoor.outcomes import Unknown
from sassafrasdoor.requests.attempts import SERVER_ERROR, Attempts, DirectRequest
from sassafrasdoor.steps.durable import reward_order
from sassafrasdoor.steps.durable.records import RewardFailure, Score, encode

SUCCESSES = range(200, 300)
METHOD = "POST"

CALLS = counter("steps_reward_calls_total", "Reward calls, by result.")
SECONDS = histogram(
    "steps_reward_seconds",
    "Seconds from a text's record to its score's.",
    buckets=[0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2, 4, 8],
)


class RewardDispatcher:
    """Scores texts: ``add`` a job whose text is in the log, ``drop`` one that ended.

    Calls ``on_scored(job)`` or ``on_failed(job, reason)`` when a job ends.
    """

    __slots__ = (
        "_direct",
        "_on_failed",
        "_jobs",
        "_outboxes",
        "_replicas",
        "_routes",
        "_on_scored",
        "_in_flight",
        "_wake",
    )

    def __init__(self, direct, replicas, routes, outboxes, wake, on_scored, on_failed):
        self._direct = direct
        self._replicas = replicas
        self._routes = routes
        self._outboxes = outboxes
        self._wake = wake
        self._on_scored = on_scored
        self._on_failed = on_failed
        self._jobs = {}
        self._in_flight = {}

    def add(self, job):
        """Queue the reward call of a job."""
        job.next_reward_call_at = job.text_logged_at = now()
        self._jobs[job.key] = job
        self._wake()

    def drop(self, job):
        """Remove a job; the caller cancels its task."""
        self._jobs.pop(job.key, None)

    @property
    def pending(self):
        """Jobs whose call is not in flight."""
        return [job for job in self._jobs.values() if job.task is None]

    def dispatch(self):
        """Send the calls that are due, as far as slots are free."""
        configuration = self._routes.current
        if configuration is None:
            return
        due = [job for job in self.pending if passed(job.next_reward_call_at)]
        for job in reward_order.ordered(due):
            call = job.item.reward
            route = configuration.match(call.host, call.path)
            if route is None:
                job.next_reward_call_at = deadline_in(reward_order.NO_ROUTE_RETRY_DELAY)
                note("reward.no_route", request=call.call_id, item=job.item.item_id)
                continue
            if job.failed_at is not None and self._is_exhausted(job, route):
                self._fail_when_known(job)
                continue
            job.failed_at = None
            request = self._request(job, route, configuration)
            attempts = Attempts(request)
            if self._free_slots(attempts.service):
                coroutine = self._call(job, attempts)
                job.task = asyncio.ensure_future(coroutine)

    def _free_slots(self, service):
        slots = sum(
            replica.listing.slots
            for replica in self._replicas.of_service(service)
            if not replica.state.is_suspect
        )
        return reward_order.free_slots(slots, self._in_flight.get(service, 0))

    def _request(self, job, route, configuration):
        call = job.item.reward
        timeout = reward_order.call_timeout(route, job.unanswered_calls)
        return DirectRequest(
            route=route,
            method=METHOD,
            path=call.path,
            headers=[("Host", call.host)],
            body=call.body,
            request_id=call.call_id,
            deadline=deadline_in(timeout),
            version=configuration.version,
        )

    async def _call(self, job, attempts):
        service = attempts.service
        self._in_flight[service] = self._in_flight.get(service, 0) + 1
        try:
            result = await self._direct.run_attempts(attempts)
        finally:
            self._in_flight[service] -= 1
            self._wake()
        if self._jobs.get(job.key) is not job:
            return
        job.task = None
        self._handle_result(job, attempts, result)

    def _handle_result(self, job, attempts, result):
        """Handle the result of a reward call."""
        label = type(result).__name__
        if isinstance(result, Answer):
            label = f"{result.status // 100}xx"
            if result.status in SUCCESSES and result.signature:
                CALLS.inc({"result": label})
                self._append_score(job, result)
                return
        CALLS.inc({"result": label})
        job.unanswered_calls += isinstance(result, Unknown)
        if attempts.failures:
            self._handle_failure(job, attempts)
        else:
            job.next_reward_call_at = deadline_in(reward_order.LOST_RETRY_DELAY)

    def _append_score(self, job, answer):
        SECONDS.observe({}, now() - job.text_logged_at)
        self.drop(job)
        spec = job.step.spec
        score = Score(spec.step_id, job.item.item_id, answer.signature)
        self._outboxes[job.step.shard].put(encode(score))
        self._on_scored(job)

    def _handle_failure(self, job, attempts):
        spec = job.step.spec
        for _ in range(attempts.failures):
            record = RewardFailure(spec.step_id, job.item.item_id)
            self._outboxes[job.step.shard].put(encode(record))
        job.reward_failures += attempts.failures
        job.failed_at = now()
        note(
            "reward.failed",
            request=job.item.reward.call_id,
            item=job.item.item_id,
            step=spec.step_id,
            failures=job.reward_failures,
            allowed=self._allowed_failures(job, attempts.request.route),
        )
        if self._is_exhausted(job, attempts.request.route):
            self._fail_when_known(job)
        else:
            job.failed_at = None
            job.next_reward_call_at = deadline_in(reward_order.FAILED_RETRY_DELAY)

    def _allowed_failures(self, job, reward_route):
        item_route = self._routes.current.match(job.step.spec.host, job.item.path)
        return reward_order.allowed_failures(item_route, reward_route)

    def _is_exhausted(self, job, reward_route):
        """Return whether no further call of a job is allowed by the routes in force."""
        return job.reward_failures >= self._allowed_failures(job, reward_route)

    def _fail_when_known(self, job):
        """Fail a job without calls left, unless newer routes may allow more."""
        if self._routes.require_known_since(job.failed_at):
            self.drop(job)
            self._on_failed(job, f"reward calls failed with status {SERVER_ERROR}")
        else:
            job.next_reward_call_at = deadline_in(reward_order.FAILED_RETRY_DELAY)
