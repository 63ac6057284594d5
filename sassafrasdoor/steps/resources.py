"""What all steps of an entry process share: engines, admission, counters."""

import asyncio
import contextlib
from collections import defaultdict

from sassafrasdoor import metrics
from sassafrasdoor.clock import remaining
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.scoring import Scorer

CANCEL_RETRY_DELAY = 1.0
MAX_CONCURRENT_CANCELS = 4
MAX_CANCEL_ATTEMPTS = 5

SAMPLE_EVENTS = metrics.counter(
    "sassafrasdoor_samples_total", "What became of samples, by kind and row."
)
WASTED_TOKENS = metrics.counter(
    "sassafrasdoor_sample_tokens_wasted_total", "Tokens made and thrown away, by row."
)


class Counts:
    """Counters of one step, as its trainer sees them."""

    __slots__ = (
        "cut_early",
        "delivered",
        "duplicated",
        "moved",
        "redelivered",
        "regenerated",
        "resumed",
        "stale_dropped",
        "tokens_wasted",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)

    def as_dict(self):
        """Return the counters as a JSON-ready mapping."""
        return {name: getattr(self, name) for name in self.__slots__}


class StreamLocation:
    """A stream and the engine that may hold it.

    Each view brings its own ``Backend`` objects, so engines are told apart by
    their addresses.
    """

    __slots__ = ("backend", "stream")

    def __init__(self, backend, stream):
        self.backend = backend
        self.stream = stream

    def __eq__(self, other):
        return self._key == other._key

    def __hash__(self):
        return hash(self._key)

    @property
    def _key(self):
        return (self.backend.address, self.stream)


class Resources:
    """Passed whole to every step's owner.

    ``newest`` holds the newest version that any engine reported for a model:
    it may be ahead of the view, which lags.
    """

    __slots__ = (
        "admission",
        "chooser",
        "cleaner",
        "engine",
        "newest",
        "scorer",
        "settings",
        "view",
    )

    def __init__(self, settings, view, admission, chooser, engine, service=None):
        self.settings = settings
        self.view = view
        self.admission = admission
        self.chooser = chooser
        self.engine = engine
        self.newest = {}
        self.scorer = Scorer(view, chooser, service)
        self.cleaner = Cleaner(engine)

    def record_version(self, model, version):
        """Note a version that an engine reported."""
        if version > self.newest.get(model, 0):
            self.newest[model] = version

    def newest_of(self, model):
        """Return the newest version known here, announced or reported."""
        return max(self.view().newest(model), self.newest.get(model, 0))


class Cleaner:
    """Cancels streams that nobody wants, again while an engine is away.

    A cancel that is lost leaves a stream that holds the engine's memory; one
    would notice engines filling up with done streams.
    """

    __slots__ = ("_engine", "_permits", "_tasks")

    def __init__(self, engine):
        self._engine = engine
        # For each engine its own: a frozen one must not hold up the others.
        self._permits = defaultdict(lambda: asyncio.Semaphore(MAX_CONCURRENT_CANCELS))
        self._tasks = set()

    def cancel(self, streams):
        """Cancel every ``StreamLocation`` in the background."""
        for location in streams:
            self._spawn(self._cancel(location))

    def cancel_at(self, streams, deadline):
        """Cancel them once ``deadline`` has passed."""
        self._spawn(self._cancel_after(list(streams), deadline))

    async def close(self):
        """Give up what is not cancelled yet."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel_after(self, streams, deadline):
        await asyncio.sleep(remaining(deadline))
        self.cancel(streams)

    async def _cancel(self, location):
        for _ in range(MAX_CANCEL_ATTEMPTS):
            async with self._permits[location.backend.address]:
                result = await self._engine.cancel(location.backend, location.stream)
            if not isinstance(result, Outcome):
                return
            await asyncio.sleep(CANCEL_RETRY_DELAY)


class Signal:
    """Lets many tasks wait for the next change of something."""

    __slots__ = ("_event",)

    def __init__(self):
        self._event = asyncio.Event()

    def changed(self):
        """Wake all that wait."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, deadline):
        """Wait for the next change, at most until ``deadline``."""
        # Not ``wait_for``: on Python 3.11 it swallows a cancellation that comes in
        # the same turn as the event, and the task goes on for ever.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining(deadline)):
                await self._event.wait()
