"""Places the items of a step by the prompts that engines have read.

In use for services under load control; the items of all other services are
placed by load alone and state no priority.
"""

from sassafrasdoor.clock import now, passed
from sassafrasdoor.decisions import note
from sassafrasdoor.metrics import counter, gauge
from sassafrasdoor.routing.prompt_cache import Prompt
from sassafrasdoor.routing.prompt_placement import PromptPlacement, PromptRequest
from sassafrasdoor.steps.durable.order import spare_groups
from sassafrasdoor.steps.durable.urgency import urgency

PART = "prompts"  # its name among the parts that an operator may switch off

PLACEMENTS = counter(
    "steps_prompt_placements_total",
    "Items placed by prompt, by where their shared prompt was: cached, first, again, none.",
)
TOKENS = counter(
    "steps_prompt_tokens_total",
    "Shared prompt tokens of items placed by prompt, by result: cached, read.",
)
MEMORY_LIMITED = counter(
    "steps_memory_limited_total",
    "Items whose preferred engine lacked memory, by result: diverted, exceeded.",
)
MEMORY_IN_USE = gauge(
    "steps_engine_memory_share",
    "Largest estimated share of an engine's memory that runs here, by service.",
)


class Prompts:
    """Reads the prompts of items and chooses engines by them.

    ``settings`` are those of the instance; ``prompt_of(item)`` returns an item's
    ``Prompt`` or None. Without them nothing is placed by prompt.
    """

    __slots__ = (
        "_active",
        "_placements",
        "_prompt_of",
        "_replicas",
        "_routes",
        "_scarce_deadlines",
    )

    def __init__(self, replicas, routes, settings=None, prompt_of=None):
        is_disabled = settings is None or PART in settings.disabled_parts
        self._prompt_of = None if is_disabled else prompt_of
        self._replicas = replicas
        self._routes = routes
        self._active = {}
        self._placements = {}
        self._scarce_deadlines = {}

    @property
    def is_in_use(self):
        """Whether items of any service are placed by prompt."""
        return any(self._active.values())

    def prepare(self, jobs):
        """Set the prompt of new jobs of one step, and what their placement needs."""
        if self._prompt_of is None or not jobs:
            return
        spare = spare_groups(jobs[0].step.spec)
        lengths = [job.expected for job in jobs if job.item.group not in spare]
        for job in jobs:
            job.prompt = self._prompt_of(job.item) or Prompt((), 0, job.expected)
            job.is_spare = job.item.group in spare
            job.longest = max(lengths, default=0)

    def begin_pass(self):
        """Begin a pass over the queue."""
        self._placements.clear()
        if self._prompt_of is None:
            return
        self._scarce_deadlines = {
            identity: deadline
            for identity, deadline in self._scarce_deadlines.items()
            if not passed(deadline)
        }
        services = (
            self._routes.current.service_models
            if self._routes.current is not None
            else ()
        )
        for service in services:
            self._update_active(service)

    def _update_active(self, service):
        replicas = self._replicas.of_service(service)
        is_active = any(replica.uses_load_control for replica in replicas)
        if is_active != self._active.get(service, False):
            note("prompts.in_use", service=service, in_use=is_active)
        self._active[service] = is_active
        memory = self._memory(service)
        if is_active and memory:
            in_use = max(replica.prompts.tokens_in_use for replica in replicas)
            MEMORY_IN_USE.set({"service": service}, round(in_use / memory, 3))

    def _memory(self, service):
        configuration = self._routes.current
        return configuration and configuration.engine_memory.get(service)

    def is_active(self, service):
        """Return whether items of a service are placed by prompt."""
        return self._active.get(service, False)

    def service_for(self, route):
        """Return the service of a route if its items are placed by prompt, else None."""
        if route is None:
            return None
        # In a loop, since this is called for each queued item in each pass.
        for name, _ in route.services:
            if not self._active.get(name):
                return None
        return route.pick_service()

    def choose(self, job, service, required, candidates, queued, cached_only):
        """Return the ``Candidate`` for a job, or None; ``queued`` jobs wait beside it."""
        key = (service, required.model, required.min_version, required.avoid)
        placement = self._placements.get(key)
        if placement is None:
            placement = self._placements[key] = PromptPlacement(
                candidates,
                required,
                self._memory(service),
                queued,
                self._scarce_deadlines,
                now(),
            )
        if not placement.has_free_slots:
            return None
        yields = job.is_short and not job.avoid
        request = PromptRequest(job.prompt, job.longest, yields)
        chosen = placement.place(request, cached_only)
        if chosen is None:
            return None
        _count(job.prompt, chosen, placement)
        return chosen.candidate

    def record_start(self, job, replica, task):
        """Record that an attempt at a job starts at a replica, until its task ends."""
        if job.prompt is None:
            return
        model = job.step.spec.model
        use = replica.prompts.start(
            model,
            replica.versions.get(model, 0),
            job.prompt,
            self._memory(replica.listing.service),
        )
        job.prompt_use = use
        # A task that is cancelled before its first step runs none of its code.
        task.add_done_callback(lambda _: replica.prompts.finish(use))

    def record_end(self, replica, use):
        """Record that the attempt of a ``PromptUse``, or of None, has ended.

        The callbacks of its task run later than the pass over the queue that its end
        starts.
        """
        if use is not None:
            replica.prompts.finish(use)

    def record_first_event(self, job):
        """Record that the replica of a job has read its prompt."""
        if job.prompt_use is not None:
            job.replica.prompts.mark_read(job.prompt_use)

    def priority(self, job, route, service):
        """Return the priority of a job at its engine, None to state none."""
        if job.prompt is None or route is None or route.due_after is None:
            return None
        if not self.is_active(service):
            return None
        step = job.step
        missing = len(step.items) - len(step.listed_ids)
        age = now() - step.seen_at
        return urgency(age, route.due_after, missing, len(step.items), job.is_spare)


def _count(prompt, chosen, placement):
    """Count a placement."""
    if not prompt.shared:
        where = "none"
    elif not chosen.missing_tokens:
        where = "cached"
    else:
        where = "again" if placement.is_read(prompt) else "first"
    PLACEMENTS.inc({"prompt": where})
    cached = prompt.shared_tokens - chosen.missing_tokens
    if cached:
        TOKENS.add({"result": "cached"}, cached)
    if chosen.missing_tokens:
        TOKENS.add({"result": "read"}, chosen.missing_tokens)
    if chosen.excess_tokens or chosen.is_diverted:
        MEMORY_LIMITED.inc(
            {"result": "exceeded" if chosen.excess_tokens else "diverted"}
        )
