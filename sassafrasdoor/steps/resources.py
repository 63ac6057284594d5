"""Resources shared by all steps of an entry process, and its sample counters."""

import asyncio
import contextlib
from collections import defaultdict

from sassafrasdoor import metrics
from sassafrasdoor.clock import remaining
from sassafrasdoor.outcomes import Outcome
from sassafrasdoor.steps.scoring import Scorer

CANCEL_RETRY_DELAY = 1.0  # seconds
MAX_CONCURRENT_CANCELS = 4  # per engine
MAX_CANCEL_ATTEMPTS = 5

SAMPLE_EVENTS = metrics.counter(
    "sassafrasdoor_samples_total", "What became of samples, by kind and row."
)
WASTED_TOKENS = metrics.counter(
    "sassafrasdoor_sample_tokens_wasted_total", "Tokens made and thrown away, by row."
)


class Counts:
    """Counters of one step, reported to its trainer."""

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

    Engines are compared by address, as each view has its own ``Backend`` objects.
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
    """Resources that all step owners share.

    ``newest`` holds the newest version that any engine reported for a model, which may
    be ahead of the lagging view.
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
        """Record a version that an engine reported."""
        if version > self.newest.get(model, 0):
            self.newest[model] = version

    def newest_of(self, model):
        """Return the newest version known here, announced or reported."""
        return max(self.view().newest(model), self.newest.get(model, 0))


class Cleaner:
    """Cancels unneeded streams, with retries while an engine does not answer.

    A stream whose cancel is lost keeps holding engine memory, and finished streams
    accumulate.
    """

    __slots__ = ("_engine", "_permits", "_tasks")

    def __init__(self, engine):
        self._engine = engine
        # One semaphore per engine: a frozen one must not block the others.
        self._permits = defaultdict(lambda: asyncio.Semaphore(MAX_CONCURRENT_CANCELS))
        self._tasks = set()

    def cancel(self, streams):
        """Cancel ``StreamLocation``s in the background."""
        for location in streams:
            self._spawn(self._cancel(location))

    def cancel_at(self, streams, deadline):
        """Cancel ``StreamLocation``s once ``deadline`` has passed."""
        self._spawn(self._cancel_after(list(streams), deadline))

    async def close(self):
        """Stop all pending cancels."""
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
    """Notifies all waiting tasks of the next change."""

    __slots__ = ("_event",)

    def __init__(self):
        self._event = asyncio.Event()

    def changed(self):
        """Wake all waiting tasks."""
        self._event.set()
        self._event = asyncio.Event()

    async def wait(self, deadline):
        """Wait for the next change, at most until ``deadline``."""
        # Not ``wait_for``: on Python 3.11 it swallows a cancellation in the same loop
        # iteration as the event, and the task never ends.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(remaining(deadline)):
                await self._event.wait()
