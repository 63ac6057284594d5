"""Decides which engine reads the prompt of an item, and which item a free slot gets.

Load pattern: trainers submit steps whose items come in groups of 8 or 16 that share a
prompt of some 1,000 tokens, more items than there are slots. Placed by load alone, the
items of a group reach nearly as many engines as there are items, and each of them reads
the shared prompt again: three quarters of all prompt tokens on a busy day.

An item goes to an engine that has its shared parts, or is reading them, unless it would
end later there by more than the read is worth. Where slots are scarce, an item whose
prompt is on the free engine may start before a somewhat longer one of its step. No slot
stays free while an item that it can serve is queued.
"""

from collections import deque

from sassafrasdoor.routing.placement import (
    LOAD_WEIGHT,
    cost,
    is_eligible,
    median_event_interval,
)

READ_TOKENS_PER_SECOND = 300_000  # prompt tokens; engines read 303 to 340 in a ms
# Seconds of delay of one item that are accepted per second of reading avoided. A read
# delays all of up to 8 streams of its engine, and each copy takes memory for as long as
# the group runs. With half of it more than a third of the shared tokens are read again.
READ_WEIGHT = 64
# An item may start before one of its step that is longer, if it is at least this share
# as long: the longest items determine when the step ends, so they must not start last.
MIN_LENGTH_SHARE = 0.5
# Share of the time of a step's longest item at a usual engine within which a shorter one
# may end without making the step later, while slots stay free; the rest allows for wrong
# hints. From 0.7 on, single steps end later than by load alone.
IN_TIME_SHARE = 0.6
# Seconds for which slots count as scarce once items have filled them: the interval of
# the trainers' steps, so that the next ones soon fill what becomes free.
SCARCE_DURATION = 4.0


class PromptRequest:
    """An item to place: its ``Prompt``, and the expected tokens of it and its step.

    ``longest`` are the expected tokens of the longest item of its step. An item that
    ``yields`` leaves fast engines to longer ones where several suit it equally.
    """

    __slots__ = ("expected", "longest", "prompt", "yields")

    def __init__(self, prompt, longest, yields=False):
        self.prompt = prompt
        self.yields = yields
        self.expected = max(1, prompt.output_tokens)
        self.longest = max(self.expected, longest)


class PromptPlacement:
    """Places items with the same ``Requirement`` by the prompts that engines have read.

    Valid for one pass over the queue, in which only loads change. ``memory`` is that of
    an engine in tokens, None if unknown; ``queued`` is the number of items to place.
    ``scarce_deadlines`` maps engines to the moment until which their slots count as
    scarce, since items filled them; it is updated.
    """

    __slots__ = (
        "_are_slots_scarce",
        "_eligible",
        "_free",
        "_median",
        "_memory",
        "_model",
        "_usual_cost",
    )

    def __init__(
        self, candidates, requirement, memory, queued, scarce_deadlines, moment
    ):
        self._median = median_event_interval(candidates)
        self._memory = memory
        self._model = requirement.model
        self._eligible = [
            candidate for candidate in candidates if is_eligible(candidate, requirement)
        ]
        self._free = self._eligible
        self._are_slots_scarce = self._count_scarce(queued, scarce_deadlines, moment)
        costs = [cost(candidate, self._median)[0] for candidate in self._eligible]
        self._usual_cost = sorted(costs)[len(costs) // 2] if costs else 0.0

    def _count_scarce(self, queued, scarce_deadlines, moment):
        """Return whether slots are scarce at most of the engines, now or recently."""
        slots = sum(candidate.slots for candidate in self._eligible)
        load = sum(candidate.load for candidate in self._eligible)
        if load + queued >= slots:
            for candidate in self._eligible:
                scarce_deadlines[candidate.identity] = moment + SCARCE_DURATION
        scarce = sum(
            scarce_deadlines.get(candidate.identity, moment) > moment
            for candidate in self._eligible
        )
        return 2 * scarce > len(self._eligible)

    def place(self, request, cached_only):
        """Return the ``Estimate`` of the engine for an item, or None.

        With ``cached_only`` only if that engine has its shared prompt.
        """
        self._free = [candidate for candidate in self._free if candidate.free_slots > 0]
        if not self._free or (
            cached_only and not self._any_has_read(self._free, request.prompt)
        ):
            return None
        estimates = [self._estimate(candidate, request) for candidate in self._free]
        chosen = choose(estimates)
        return None if cached_only and chosen.missing_tokens else chosen

    def is_read(self, prompt):
        """Return whether some engine has the shared parts of a prompt, free or not."""
        return self._any_has_read(self._eligible, prompt)

    def _any_has_read(self, candidates, prompt):
        return any(
            candidate.replica.prompts.has_shared(
                self._model, candidate.versions.get(self._model, 0), prompt
            )
            for candidate in candidates
        )

    def _estimate(self, candidate, request):
        cache, prompt = candidate.replica.prompts, request.prompt
        version = candidate.versions.get(self._model, 0)
        known_tokens = cache.known_tokens(self._model, version, prompt)
        needed_tokens = cache.tokens_needed(self._model, version, prompt)
        return Estimate(
            candidate,
            self._delay(candidate, request),
            cost(candidate, self._median, request.yields),
            prompt.shared_tokens - known_tokens,
            needed_tokens - self._memory if self._memory else 0,
        )

    def _delay(self, candidate, request):
        """Return the estimated seconds to an item's end that can make its step later.

        Where slots are scarce, loads become equal soon whichever engine an item goes to.
        Otherwise an engine with more items than others also delays the long ones that it
        runs; only one on which all end in time, even if full, may get more.
        """
        longest_finish = self._usual_cost * request.longest
        finish = request.expected * cost(candidate, self._median)[0]
        if self._are_slots_scarce:
            return max(finish, longest_finish)
        in_time = IN_TIME_SHARE * longest_finish
        longest = max(request.expected, candidate.replica.prompts.longest_output)
        full_cost = (candidate.event_interval or self._median) * (1 + LOAD_WEIGHT)
        return in_time if longest * full_cost <= in_time else in_time + finish


class Estimate:
    """A candidate for an item, and what its placement there costs.

    ``delay`` are the estimated seconds to the item's end, as far as they can make its
    step later; ``load_cost`` decides between equal ones. ``missing_tokens`` are the shared
    tokens that the engine would have to read, ``excess_tokens`` by how many the item is
    estimated to exceed the engine's memory, 0 if it fits. ``is_diverted`` says that
    another engine was preferred but lacks memory.
    """

    __slots__ = (
        "candidate",
        "delay",
        "excess_tokens",
        "is_diverted",
        "load_cost",
        "missing_tokens",
    )

    def __init__(self, candidate, delay, load_cost, missing_tokens, excess_tokens):
        self.candidate = candidate
        self.delay = delay
        self.load_cost = load_cost
        self.missing_tokens = missing_tokens
        self.excess_tokens = max(0, excess_tokens)
        self.is_diverted = False

    @property
    def cost(self):
        """The delay with the worth of the read, then the load."""
        read_seconds = self.missing_tokens / READ_TOKENS_PER_SECOND
        return (self.delay + READ_WEIGHT * read_seconds, self.load_cost)


def choose(estimates):
    """Return the ``Estimate`` of the engine for an item; ``estimates`` are not empty.

    An engine without memory for it is chosen only if no other one is free.
    """
    preferred = min(estimates, key=lambda estimate: estimate.cost)
    if not preferred.excess_tokens:
        return preferred
    chosen = min(
        estimates, key=lambda estimate: (estimate.excess_tokens, estimate.cost)
    )
    chosen.is_diverted = chosen is not preferred
    return chosen


def assign(jobs, place, moment):
    """Place the queued jobs of one step; return those left, in their order.

    ``place(job, cached_only)`` returns whether it has placed the job. ``jobs`` have the
    attributes ``expected`` (tokens), ``prompt`` and ``overtaking_deadline`` (until when
    others may be placed before, None before the first was). ``moment`` is monotonic.
    """
    postponed, left = deque(), []
    for job in jobs:
        while postponed and not _may_overtake(job, postponed[0], moment):
            first = postponed.popleft()
            if not place(first, False):
                left.append(first)
        if not place(job, True):
            postponed.append(job)
        elif postponed and postponed[0].overtaking_deadline is None:
            postponed[0].overtaking_deadline = moment + _read_worth(postponed[0].prompt)
    return left + [job for job in postponed if not place(job, False)]


def _may_overtake(job, first, moment):
    """Say whether ``job`` may be placed before ``first``, which precedes it."""
    if first.overtaking_deadline is not None and moment >= first.overtaking_deadline:
        return False
    # A longer one that comes later belongs to a group for which the trainer does not wait.
    return MIN_LENGTH_SHARE * first.expected <= job.expected <= first.expected


def _read_worth(prompt):
    """Return the seconds of delay that are accepted to avoid a read of a prompt."""
    return READ_WEIGHT * prompt.shared_tokens / READ_TOKENS_PER_SECOND
