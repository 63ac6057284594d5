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
        "_engine_costs",
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
        self._engine_costs = {}
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
        self._free = [row for row in self._free if row.load < row.slots]
        if not self._free or (
            cached_only and not self._any_has_read(self._free, request.prompt)
        ):
            return None
        chosen = self._choose(request)
        return None if cached_only and chosen.missing_tokens else chosen

    @property
    def has_free_slots(self):
        """Whether an engine had a free slot when the last item was placed."""
        return bool(self._free)

    def is_read(self, prompt):
        """Return whether some engine has the shared parts of a prompt, free or not."""
        return self._any_has_read(self._eligible, prompt)

    def _any_has_read(self, candidates, prompt):
        # In a loop, since this is called for each queued item in each pass.
        model = self._model
        for candidate in candidates:
            version = candidate.versions.get(model, 0)
            if candidate.replica.prompts.has_shared(model, version, prompt):
                return True
        return False

    def _choose(self, request):
        """Return the ``Estimate`` of the best engine with a free slot.

        An engine without memory for the item is chosen only if no other one is free. The
        memory of all is determined only if the preferred one lacks it.
        """
        _, preferred, missing_tokens = min(self._costs(request))
        excess_tokens = self._excess_tokens(preferred, request.prompt)
        if not excess_tokens:
            return Estimate(preferred, missing_tokens, 0, False)
        excess_tokens, _, chosen, missing_tokens = min(
            (
                self._excess_tokens(candidate, request.prompt),
                cost_there,
                candidate,
                missing,
            )
            for cost_there, candidate, missing in self._costs(request)
        )
        is_diverted = chosen is not preferred
        return Estimate(chosen, missing_tokens, excess_tokens, is_diverted)

    def _costs(self, request):
        """Yield the cost, the candidate and the missing tokens of each free engine.

        The cost is the delay with the worth of the read, then the load; no two are equal.
        Where slots are scarce, loads become equal soon whichever engine an item goes to,
        so that only what ends after the longest item is a delay.
        """
        prompt = request.prompt
        longest_finish = self._usual_cost * request.longest
        for candidate in self._free:
            costs = self._costs_of(candidate)
            missing_tokens = prompt.shared_tokens - costs.prompts.known_tokens(
                self._model, costs.version, prompt
            )
            finish = request.expected * costs.load_cost[0]
            if not self._are_slots_scarce:
                delay = self._delay(costs, request, finish, longest_finish)
            else:
                delay = finish if finish > longest_finish else longest_finish
            read_seconds = missing_tokens / READ_TOKENS_PER_SECOND
            load_cost = costs.yielding_load_cost if request.yields else costs.load_cost
            yield (
                (delay + READ_WEIGHT * read_seconds, load_cost),
                candidate,
                missing_tokens,
            )

    def _costs_of(self, candidate):
        """Return the ``_EngineCosts`` of a candidate at its present load."""
        costs = self._engine_costs.get(candidate.identity)
        if costs is None or costs.load != candidate.load:
            costs = _EngineCosts(candidate, self._median, self._model)
            self._engine_costs[candidate.identity] = costs
        return costs

    def _excess_tokens(self, candidate, prompt):
        """Return by how many tokens an item is estimated to exceed an engine's memory."""
        if not self._memory:
            return 0
        version = candidate.versions.get(self._model, 0)
        needed_tokens = candidate.replica.prompts.tokens_needed(
            self._model, version, prompt
        )
        return max(0, needed_tokens - self._memory)

    def _delay(self, costs, request, finish, longest_finish):
        """Return the estimated seconds to an item's end, as far as its step ends later.

        An engine with more items than others also delays the long ones that it runs; only
        one on which all end in time, even if full, may get more.
        """
        in_time = IN_TIME_SHARE * longest_finish
        longest = max(request.expected, costs.prompts.longest_output)
        return in_time if longest * costs.full_cost <= in_time else in_time + finish


class _EngineCosts:
    """What the cost of an item at a candidate with a ``load`` depends on besides the item.

    It is kept between items, since a pass estimates each item at every free engine.
    """

    __slots__ = (
        "full_cost",
        "load",
        "load_cost",
        "prompts",
        "version",
        "yielding_load_cost",
    )

    def __init__(self, candidate, median, model):
        self.load = candidate.load
        self.prompts = candidate.replica.prompts
        self.version = candidate.versions.get(model, 0)
        self.load_cost = cost(candidate, median)
        self.yielding_load_cost = cost(candidate, median, yields=True)
        self.full_cost = (candidate.event_interval or median) * (1 + LOAD_WEIGHT)


class Estimate:
    """A candidate for an item, and what its placement there costs.

    ``missing_tokens`` are the shared tokens that the engine would have to read,
    ``excess_tokens`` by how many the item is estimated to exceed the engine's memory, 0 if
    it fits. ``is_diverted`` says that another engine was preferred but lacks memory.
    """

    __slots__ = ("candidate", "excess_tokens", "is_diverted", "missing_tokens")

    def __init__(self, candidate, missing_tokens, excess_tokens, is_diverted):
        self.candidate = candidate
        self.missing_tokens = missing_tokens
        self.excess_tokens = excess_tokens
        self.is_diverted = is_diverted


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
