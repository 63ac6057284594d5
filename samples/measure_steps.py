"""Measure training steps side by side: straggler handling, handover, preference.

Four engines of the stand-in's batch model (16 places each, no HTTP between),
64 slots, 128 samples in 16 groups, lengths long-tailed by prompt and by
sample. The trainer takes 5 ms a sample. Every variant makes the same samples
of the same seeds; figures are the median and the least and largest of them.

    PYTHONPATH=. python samples/measure_steps.py > steps.txt
    PYTHONPATH=. python samples/measure_steps.py stragglers --repeats 5
"""

import argparse
import asyncio
import os
import pathlib
import random
import statistics
from contextlib import contextmanager
from heapq import heappop, heappush

from sassafrasdoor import settings
from sassafrasdoor.backends.interface import (
    Chunk,
    Engine,
    Finished,
    Load,
    Span,
    StreamState,
)
from sassafrasdoor.clock import now
from sassafrasdoor.cluster import KEYS, Cluster
from sassafrasdoor.outcomes import Unavailable
from sassafrasdoor.routing.chooser import Chooser
from sassafrasdoor.security import key_hash
from sassafrasdoor.standin.batch import Batch
from sassafrasdoor.standin.engine import EngineOptions
from sassafrasdoor.steps import owner as owner_module
from sassafrasdoor.steps.adoption import find_streams
from sassafrasdoor.steps.client import Trainer
from sassafrasdoor.steps.dispatch import PendingQueue
from sassafrasdoor.steps.registry import StepsService
from sassafrasdoor.steps.spec import FetchSpec, StepSpec
from sassafrasdoor.steps.token import DeliveryToken
from sassafrasdoor.table.rows import Preference, table_from
from sassafrasdoor.view import Backend, View

MODEL, SERVICE, ROW = "signs", "engines", "trainer"
ENGINES, PLACES, SLOTS = 4, 16, 64
GROUPS, PER_GROUP, MAX_TOKENS = 16, 8, 600
TOKEN_RATE = 400.0
MEDIAN_LENGTH, PROMPT_TAIL, SAMPLE_TAIL = 60, 0.6, 0.7
TRAIN_SECONDS = 0.005
WAIT_MS = 2000
BUSY_STREAMS = 14
LOAD_INTERVAL = 0.2
SWAP_EVERY = 0.5
BOUND = 4
FAST = ("--token-rate", "2000", "--capacity", "64")
TIGHT_SWAP, TIGHT_BOUND = 0.8, 1
BACKGROUND = "background"


def length_of(seed, position):
    """Return a sample's length: a factor of its prompt times one of its own."""
    group = random.Random(f"{seed}/{position // PER_GROUP}")
    own = random.Random(f"{seed}/{position}/own")
    length = MEDIAN_LENGTH * group.lognormvariate(0, PROMPT_TAIL)
    length *= own.lognormvariate(0, SAMPLE_TAIL)
    return max(1, min(MAX_TOKENS, round(length)))


class LocalEngines(Engine):
    """The stand-in's batch model called directly."""

    def __init__(self, seed):
        self._seed = seed
        options = EngineOptions(
            capacity=PLACES, token_rate=TOKEN_RATE, models=(MODEL,), initial_version=1
        )
        self.batches = {f"e{n}": Batch(options, f"e{n}") for n in range(ENGINES)}
        self.backends = [
            Backend(
                name, f"{name}:1", "engine", SERVICE, capacity=PLACES, models=[MODEL]
            )
            for name in self.batches
        ]

    async def stream(self, backend, order):
        batch = self.batches[backend.name]
        held = batch.streams.get(order.stream) or self._start(batch, order)
        sent = 0
        while True:
            update_event = held.update_event
            while sent < len(held.chunks):
                first, text, tokens, version = held.chunks[sent]
                sent += 1
                skipped = max(0, order.offset - first)
                if skipped < tokens:
                    words = text.split(" ")[skipped:]
                    yield Chunk(
                        first + skipped, " ".join(words), tokens - skipped, version
                    )
            if held.done:
                yield Finished(held.length, [Span(*span) for span in held.spans])
                return
            await update_event.wait()

    def _start(self, batch, order):
        held = batch.start(
            {
                "stream": order.stream,
                "model": MODEL,
                "prompt": order.prompt,
                "max_tokens": MAX_TOKENS,
                "priority": order.priority,
                "offset": order.offset,
                "seed": order.seed,
            }
        )
        position = int(order.stream.rsplit(":", 1)[1].split(".")[0])
        held.length = max(held.start, length_of(self._seed, position))
        return held

    async def streams(self, backend, prefix):
        streams = self.batches[backend.name].streams
        return [
            StreamState(name, held.offset, held.done)
            for name, held in streams.items()
            if name.startswith(prefix)
        ]

    async def cancel(self, backend, stream):
        self.batches[backend.name].cancel(stream)

    async def export_kv(self, backend, stream):
        kv = self.batches[backend.name].export_kv(stream)
        return kv or Unavailable("no such stream")

    async def import_kv(self, backend, stream, kv):
        self.batches[backend.name].imported.add(stream)

    async def load(self, backend):
        batch = self.batches[backend.name]
        return Load(len(batch.running), batch.queued, PLACES)

    async def order(self, backend, order):
        raise NotImplementedError

    async def cache_events(self, backend, first):
        raise NotImplementedError

    def occupy(self, name, streams):
        """Fill places of an engine with another row's long streams."""
        for number in range(streams):
            document = {"stream": f"{BACKGROUND}{number}", "model": MODEL}
            document |= {"prompt": BACKGROUND, "max_tokens": 10, "priority": 1}
            self.batches[name].start(document).length = 10**6

    def made(self):
        """Return how many tokens the engines made for steps."""
        return sum(
            held.offset - held.start
            for batch in self.batches.values()
            for name, streams in batch.history.items()
            if not name.startswith(BACKGROUND)
            for held in streams
        )


class Permit:
    """A slot."""

    def __init__(self, slots):
        self._slots = slots

    def release(self):
        """Give it back."""
        self._slots.release()


class Admission:
    """A fixed number of slots, first come first served."""

    def __init__(self):
        self._slots = asyncio.Semaphore(SLOTS)

    async def admit(self, view, row, deadline):
        """Wait for a slot."""
        await self._slots.acquire()
        return Permit(self._slots)


class WithoutAffinity(Chooser):
    """Chooses with no regard to cached prefixes."""

    def choose(self, view, service, model="", affinity="", exclude=()):
        """Return a backend server."""
        return super().choose(view, service, model, "", exclude)


class LongestGroupFirst(PendingQueue):
    """An idea on trial: one sample of each group first, then by its length."""

    __slots__ = ("_groups", "_owner", "_probes", "_rest")

    def __init__(self, owner):
        super().__init__()
        self._owner = owner
        self._probes, self._rest = [], {}

    def __len__(self):
        return len(self._probes) + sum(map(len, self._rest.values()))

    def add(self, sample, group):
        """Add a sample of ``group``."""
        if group not in self._rest:
            self._rest[group] = []
            heappush(self._probes, (group, sample.position, sample))
        else:
            self._rest[group].append(sample)

    def pop(self):
        """Return a probe, else a sample of the group that seems longest."""
        if self._probes:
            return heappop(self._probes)[-1]
        group = max(
            (group for group, rest in self._rest.items() if rest),
            key=self._seen,
            default=None,
        )
        return None if group is None else self._rest[group].pop(0)

    def _seen(self, group):
        first = group * PER_GROUP
        samples = self._owner.samples[first : first + PER_GROUP]
        return max(one.attempt.offset if one.attempt else one.tokens for one in samples)


class Result:
    """What one step cost: seconds, and tokens that no trainer got."""

    def __init__(self, step, idle, wasted, staleness):
        self.step = step
        self.idle = idle
        self.wasted = wasted
        self.staleness = staleness


class World:
    """Engines and instances of one repeat."""

    def __init__(
        self, seed, chooser=Chooser, mode="off", prefers="staleness", bound=BOUND
    ):
        self.seed = seed
        self.version = 1
        self.engines = LocalEngines(seed)
        row = {"name": ROW, "kind": "trainer", "service": SERVICE, "model": MODEL}
        row |= {"staleness_bound": bound, "prefers": prefers}
        self.table = table_from({"rows": [{**row, "key_hashes": [key_hash("k")]}]})
        self.row = self.table.rows[0]
        self.settings = settings.from_document({"steps": {"stragglers": mode}})
        self._chooser, self._admission = chooser, Admission()
        self._random = random.Random(seed)
        self._tasks = [
            asyncio.ensure_future(batch.run())
            for batch in self.engines.batches.values()
        ]
        self.services = []

    def view(self):
        """Return the view of all instances."""
        return View(
            table=self.table,
            weights={MODEL: self.version},
            backends=self.engines.backends,
        )

    def instance(self):
        """Return the steps of one more instance."""
        chooser = self._chooser(self.settings, random.Random(self.seed))
        service = StepsService(
            self.settings, self.view, self._admission, chooser, self.engines
        )
        self._tasks.append(asyncio.ensure_future(self._report(chooser)))
        self.services.append(service)
        return service

    async def _report(self, chooser):
        while True:
            for backend in self.engines.backends:
                chooser.report(backend, await self.engines.load(backend))
            await asyncio.sleep(LOAD_INTERVAL)

    async def swap(self, seconds):
        """Announce new weights again and again; all engines swap at once."""
        while True:
            await asyncio.sleep(seconds)
            self.version += 1
            for batch in self.engines.batches.values():
                batch.versions[MODEL] = self.version

    def start(self, job):
        """Run a job until the world ends."""
        self._tasks.append(asyncio.ensure_future(job))

    async def close(self):
        """End everything."""
        for service in self.services:
            await service.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def spec(self, attach=1, token=""):
        """Return the step."""
        prompts = [" ".join([f"prompt-{n}"] * 40) for n in range(GROUPS)]
        document = {"step": "s", "attach": attach, "seed": self.seed, "token": token}
        document |= {"groups": [{"prompt": prompt} for prompt in prompts]}
        document |= {"samples_per_group": PER_GROUP, "max_tokens": MAX_TOKENS}
        return StepSpec.model_validate({**document, "deadline_ms": 600_000})

    async def step(self, order=None, die_at=None):
        """Make one step; the instance dies once ``die_at`` samples are in."""
        service, attach = self.instance(), 1
        service.submit(self.row, self.spec())
        if order is not None:
            owner = service._steps[ROW, "s"].owner
            owner.dispatcher.pending = order(owner)
        token, started, idle, tokens, staleness = "", now(), 0.0, 0, []
        while True:
            asked = now()
            fetch = FetchSpec(token=token, attach=attach, wait_ms=WAIT_MS)
            reply = await service.fetch(self.row, "s", fetch)
            idle += now() - asked
            for sample in reply["samples"]:
                tokens += sample["spans"][-1][2]
                staleness.append(self.version - sample["oldest_version"])
                await asyncio.sleep(TRAIN_SECONDS)
            token = reply["token"]
            if not reply["remaining"]:
                break
            if die_at and len(DeliveryToken.parse(token, GROUPS * PER_GROUP)) >= die_at:
                die_at, attach = None, 2
                await service.close()
                service = self.instance()
                service.submit(self.row, self.spec(attach, token))
        step = now() - started
        wasted = self.engines.made() - tokens
        return Result(step, idle, wasted, statistics.fmean(staleness))


@contextmanager
def patched(target, name, value):
    """Replace an attribute for a while."""
    before = getattr(target, name)
    setattr(target, name, value)
    try:
        yield
    finally:
        setattr(target, name, before)


async def regenerate(resources, owner):
    """Stand in for adoption: cancel what an earlier owner left."""
    found = await find_streams(resources, owner.row.service, owner.identity)
    for held in (one for streams in found.values() for one in streams):
        await resources.engine.cancel(held.backend, held.stream)


def even(world):
    """All engines alike and empty."""


def uneven(world):
    """One engine nearly full of another row's streams, one three times slower."""
    world.engines.occupy("e0", BUSY_STREAMS)
    world.engines.batches["e1"].slowdown = 3.0


async def one(seed, arrange, swap=None, order=None, die_at=None, **options):
    """Make one step in a fresh world; return its ``Result``."""
    world = World(seed, **options)
    arrange(world)
    if swap:
        world.start(world.swap(swap))
    try:
        return await world.step(order, die_at)
    finally:
        await world.close()


def show(title, variants):
    """Print a table of ``{variant: [Result]}``."""
    print(f"\n{title}\n")
    print("| variant | step s | trainer idle s | wasted tokens | mean staleness |")
    print("|---|---|---|---|---|")
    for variant, results in variants.items():
        cells = [
            spread([getattr(one, name) for one in results], form)
            for name, form in (
                ("step", ".2f"),
                ("idle", ".2f"),
                ("wasted", ".0f"),
                ("staleness", ".2f"),
            )
        ]
        print(f"| {variant} | {' | '.join(cells)} |")


def spread(values, form):
    """Return the median with the least and the largest."""
    low, high = min(values), max(values)
    return f"{statistics.median(values):{form}} ({low:{form}}..{high:{form}})"


async def gather(repeats, variants, **common):
    """Run all variants side by side, seed by seed."""
    results = {name: [] for name in variants}
    for seed in range(1, repeats + 1):
        for name, options in variants.items():
            results[name].append(await one(seed, **{**common, **options}))
    return results


async def stragglers(repeats):
    """First-come dispatch against the ways of handling the last few."""
    variants = {
        "first come": {"chooser": WithoutAffinity},
        "first come, by cached prefix": {},
        "duplicate the last": {"mode": "duplicate"},
        "move the last": {"mode": "move"},
        "longest group first, move": {"mode": "move", "order": LongestGroupFirst},
    }
    for arrange in (even, uneven):
        title = f"Stragglers, {arrange.__name__} engines"
        show(title, await gather(repeats, variants, arrange=arrange))


async def handover(repeats):
    """An instance dies with half of the samples delivered."""
    common = {"arrange": even, "die_at": GROUPS * PER_GROUP // 2, "mode": "move"}
    resumed = await gather(repeats, {"resume (new)": {}}, **common)
    with patched(owner_module, "adopt", regenerate):
        anew = await gather(repeats, {"make anew (old)": {}}, **common)
    show("Death of an instance at half of the step", {**anew, **resumed})


async def preference(repeats):
    """Weights change every half second; how much of a young stream to give up."""
    results = {}
    for share in (0.0, 0.1, 0.25, 0.5):
        shares = {Preference.STALENESS: share, Preference.IDLE: 0.0}
        with patched(owner_module, "RESTART_THRESHOLDS", shares):
            name = f"restart below {share} of a sample"
            variants = {name: {"mode": "move"}}
            results |= await gather(repeats, variants, arrange=even, swap=SWAP_EVERY)
    show("Weights every half second", results)


async def early(repeats):
    """Streams that hold too old tokens are cut at once, or dropped when done."""
    common = {"mode": "move", "arrange": even, "swap": TIGHT_SWAP, "bound": TIGHT_BOUND}
    common["prefers"] = "idle"
    cut = await gather(repeats, {"cut early (new)": {}}, **common)
    with patched(owner_module.StepOwner, "should_restart", lambda *_: False):
        late = await gather(repeats, {"drop when done (old)": {}}, **common)
    show(f"Bound {TIGHT_BOUND}, weights every {TIGHT_SWAP} s", {**late, **cut})


async def cost(repeats):
    """Processor time of an entry process for a sample, through real processes."""
    async with Cluster() as cluster:
        await cluster.start(instances=1, engines=3, services=0, engine_options=FAST)
        entry = cluster.instances[0]
        trainer = Trainer([entry.address], ROW, KEYS[ROW])
        print("\nCost at the entry, streams of 16 tokens at the median\n")
        print("| samples | samples a second | processor ms a sample |")
        print("|---|---|---|")
        for groups in (64, 256):
            runs = [
                await _cost_of(entry, trainer, f"{groups}-{repeat}", groups)
                for repeat in range(repeats + 1)
            ][1:]  # the first waits for its first grant of quota
            speed, time = (spread(column, ".2f") for column in zip(*runs, strict=True))
            print(f"| {groups * PER_GROUP} | {speed} | {time} |")
        trainer.close()


async def _cost_of(entry, trainer, name, groups):
    prompts = [{"prompt": f"write the sign of level {n}"} for n in range(groups)]
    document = {"step": name, "groups": prompts, "samples_per_group": PER_GROUP}
    run = trainer.run({**document, "max_tokens": 64})
    before, started = processor_time(entry.entry.pid), now()
    count = len([sample async for sample in run.samples()])
    elapsed, spent = now() - started, processor_time(entry.entry.pid) - before
    return count / elapsed, 1000 * spent / count


def processor_time(pid):
    """Return the seconds of processor time a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


PARTS = {
    "cost": cost,
    "stragglers": stragglers,
    "handover": handover,
    "preference": preference,
    "early": early,
}


async def main(parts, repeats):
    """Run the parts named."""
    for part in parts or PARTS:
        await PARTS[part](repeats)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", choices=[*PARTS, []])
    parser.add_argument("--repeats", type=int, default=5)
    options = parser.parse_args()
    asyncio.run(main(options.parts, options.repeats))
