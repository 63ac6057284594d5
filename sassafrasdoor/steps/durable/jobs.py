"""The state of one item that a runner processes: events received, events logged."""

import uuid

from sassafrasdoor.clock import now
from sassafrasdoor.steps.durable.item_end import ItemFacts
from sassafrasdoor.steps.durable.records import Progress


class Job:
    """An item in progress: its events and its current attempt. Times are monotonic.

    ``sent_at`` is when the current attempt was sent, ``started_at`` when the first one
    started, ``completed_at`` when the text was complete; None before.
    ``avoid`` is the identity of the slow replica that it migrates from, until its next
    attempt. ``appended`` counts its events in the log, under the run id ``run``; the next
    ones are logged at ``progress_due_at``.
    ``priority`` is its rank in the queue, 0 the first; ``is_short`` says whether it is one
    of the shorter items of its step. Once ``scoring``, ``task`` is the reward call, not sent before ``next_reward_call_at``;
    ``text_logged_at`` is when the text was found in the log, ``unanswered_calls`` the
    number of reward calls without an answer. ``prompt`` is the ``Prompt`` of its item,
    None if it is not placed by prompt; ``prompt_use`` that of the current attempt.
    ``longest`` are the expected tokens of its step's longest item, ``is_spare`` says that
    its trainer does not wait for its group. Before ``overtaking_deadline``, None while
    unset, shorter items may be placed first. ``pending_end`` is the ``ItemEnd`` that newer
    routes must confirm, None if there is none. ``failed_at`` is when the last of its
    ``failures`` or ``reward_failures`` was learned of, None unless it is still to be decided
    whether that one ends the item; ``failure_reason`` is that of the last failed attempt.
    ``last_order`` is the ``SampleOrder`` of the last attempt, None before.
    """

    __slots__ = (
        "attempts",
        "avoid",
        "started_at",
        "failed_at",
        "failure_reason",
        "failures",
        "is_short",
        "is_spare",
        "item",
        "last_order",
        "longest",
        "overtaking_deadline",
        "pending_end",
        "progress_due_at",
        "prompt",
        "prompt_use",
        "appended",
        "last_event_at",
        "migrations",
        "numbers",
        "priority",
        "replica",
        "reward_failures",
        "next_reward_call_at",
        "run",
        "scoring",
        "sent_at",
        "step",
        "task",
        "text_logged_at",
        "texts",
        "unanswered_calls",
        "versions",
        "completed_at",
        "abort_reason",
    )

    def __init__(self, step, item, priority=0, is_short=False):
        self.priority = priority
        self.is_short = is_short
        self.step = step
        self.item = item
        self.task = None
        self.replica = self.last_order = None
        self.attempts = 0
        self.migrations = 0
        self.avoid = ""
        self.prompt = self.prompt_use = self.overtaking_deadline = None
        self.pending_end = None
        self.longest = 0
        self.is_spare = False
        self.failures = len(step.failed_attempts.get(item.item_id, ()))
        self.reward_failures = len(step.failed_reward_calls.get(item.item_id, ()))
        self.failed_at = None
        self.failure_reason = ""
        self.unanswered_calls = 0
        self.next_reward_call_at = self.text_logged_at = 0.0
        self.scoring = False
        self.sent_at = self.started_at = self.completed_at = None
        self.restart()
        self._resume(step)

    @property
    def key(self):
        """The job's key; the same item may belong to several steps."""
        return (self.step.spec.step_id, self.item.item_id)

    @property
    def expected(self):
        """The expected tokens of its item, 0 if unknown."""
        return self.item.expected

    def restart(self):
        """Discard the events received."""
        self.texts = []
        self.versions = []
        self.numbers = []
        self.last_event_at = None
        self.abort_reason = ""
        self.run = uuid.uuid4().hex[:12]
        self.appended = 0
        self.progress_due_at = None

    @property
    def last_number(self):
        """The number of the last event received, or None."""
        return self.numbers[-1] if self.numbers else None

    def _resume(self, step):
        """Resume from a previous runner's progress, if its weights are new enough.

        The events are logged again under this run's name, as the previous runner
        may still append to its own.
        """
        partial = step.longest_partial_sample(self.item.item_id)
        if partial is None or min(partial.versions) < step.spec.min_version:
            return
        self.texts = list(partial.texts)
        self.versions = list(partial.versions)
        self.numbers = list(partial.numbers)

    def record_failure(self, reason):
        """Count an attempt that its replica failed."""
        self.failures += 1
        self.failed_at = now()
        self.failure_reason = reason

    def continue_after_failure(self):
        """Record that its route does not end the item."""
        self.pending_end = None
        if not self.scoring:
            self.failed_at = None

    def end_facts(self):
        """Return the ``ItemFacts`` by which its route may end the item."""
        if self.scoring:
            return ItemFacts(self.step.seen_at)
        return ItemFacts(
            self.step.seen_at, self.failures, self.failed_at, self.failure_reason
        )

    def begin_scoring(self):
        """Start scoring the complete text; no progress is logged any more."""
        self.scoring = True
        self.completed_at = self.completed_at or now()
        self.task = None
        self.last_event_at = self.sent_at = None
        self.progress_due_at = None

    def timings(self):
        """Return the seconds from its step's record to its first attempt, to its
        complete text and to now; None for what has not happened."""
        times = (self.started_at, self.completed_at, now())
        seen_at = self.step.seen_at
        return [None if at is None else round(at - seen_at, 2) for at in times]

    def exchange_fields(self):
        """Return log fields that tell the exchange of the last attempt."""
        if self.last_order is None:
            return {}
        return {
            "earlier_exchanges": self.last_order.earlier_exchanges,
            "signature": self.last_order.signature,
        }

    def progress(self):
        """Return the ``Progress`` of the events not yet logged, or None."""
        if self.scoring or self.appended >= len(self.numbers):
            return None
        first, self.appended = self.appended, len(self.numbers)
        return Progress(
            self.step.spec.step_id,
            self.item.item_id,
            self.run,
            first,
            self.numbers[first:],
            self.texts[first:],
            self.versions[first:],
        )

    def append_event(self, event):
        """Append one event's text, number and weight version."""
        self.texts.append(event.data)
        self.numbers.append(event.number)
        self.versions.append(event.version)
        self.last_event_at = now()
