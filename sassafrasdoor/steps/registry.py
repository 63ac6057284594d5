"""The steps that this instance owns, by row and step."""

import asyncio
import contextlib

from sassafrasdoor import logs
from sassafrasdoor.clock import deadline_in, now, passed
from sassafrasdoor.events import EVENTS
from sassafrasdoor.outcomes import Finding, NotRun, Rejected
from sassafrasdoor.steps.delivery import Delivery
from sassafrasdoor.steps.owner import StepOwner
from sassafrasdoor.steps.resources import Resources, Signal
from sassafrasdoor.steps.token import DeliveryToken

MAX_STEPS_PER_ROW = 64
SWEEP_INTERVAL = 0.1  # seconds
BUSY_RETRY_AFTER = 1.0  # seconds


class Conflict(Rejected):
    """The request conflicts with a newer attachment or a step of the same name.

    ``attach`` is the current attachment number, or 0 if the steps differ.
    """

    __slots__ = ("attach",)

    def __init__(self, reason, findings, attach=0):
        super().__init__(reason, findings)
        self.attach = attach


class NoSuchStep(Rejected):
    """This instance does not own the step; a submission attaches it here."""

    __slots__ = ()


class Submitted:
    """A submission was accepted; this instance owns the step."""

    __slots__ = ("resumed", "samples")

    def __init__(self, samples, resumed):
        self.samples = samples
        self.resumed = resumed


class OwnedStep:
    """A step's owner, its delivery and whether its trainer has been redirected."""

    __slots__ = ("delivery", "is_trainer_redirected", "owner")

    def __init__(self, settings, owner):
        self.owner = owner
        self.delivery = Delivery(settings, owner)
        self.is_trainer_redirected = False


class StepsService:
    """All steps of this instance; needs a running event loop."""

    __slots__ = (
        "_drain_progress",
        "_draining",
        "_resources",
        "_settings",
        "_steps",
        "_sweeper",
    )

    def __init__(self, settings, view_getter, admission, chooser, engine, service=None):
        self._settings = settings
        self._resources = Resources(
            settings, view_getter, admission, chooser, engine, service
        )
        self._steps = {}
        self._draining = False
        self._drain_progress = Signal()
        self._sweeper = None

    def submit(self, row, spec):
        """Own a step, or attach to it; return ``Submitted`` or an ``Outcome``."""
        token = DeliveryToken.parse(spec.token, spec.sample_count)
        if isinstance(token, Rejected):
            return token
        step = self._steps.get((row.name, spec.step))
        if step is not None:
            return self._attach(step.owner, row, spec, token)
        refusal = self._refusal(row)
        if refusal is not None:
            return refusal
        owner = StepOwner(self._resources, row, spec, token)
        self._steps[row.name, spec.step] = OwnedStep(self._settings, owner)
        self._sweeper = self._sweeper or asyncio.ensure_future(self._sweep())
        owner.start()
        return Submitted(spec.sample_count, resumed=spec.attach > 1)

    async def fetch(self, row, name, fetch):
        """Return the reply to a fetch, JSON-ready, or ``Rejected``.

        Staleness is checked without an await before the return; the caller must write
        the reply without awaiting anything in between.
        """
        arrived_at = now()
        step = self._steps.get((row.name, name))
        if step is None:
            return no_such_step()
        owner = step.owner
        token = DeliveryToken.parse(fetch.token, owner.spec.sample_count)
        refusal = self._apply_fetch(owner, row, fetch, token)
        if refusal is not None:
            return refusal
        if token.complete:
            await self._remove_step(step, cancel=True)
            return step.delivery.build_reply(token, [])
        await self._wait_until_reply_due(step, fetch, token)
        if owner.attach != fetch.attach:
            return _superseded(owner)
        if owner.closed:
            return no_such_step()
        return self._reply(step, fetch, token, arrived_at)

    def handle_reply_sent(self, row, name):
        """Record that a reply to the step's trainer was written completely.

        Counting it earlier would let a drain end the process and truncate the reply.
        """
        step = self._steps.get((row.name, name))
        if step is not None and step.owner.stopping:
            step.is_trainer_redirected = True
        self._drain_progress.changed()

    def handle_disconnect(self, row_name, name):
        """Handle a trainer that disconnected while waiting for samples.

        It is probably attaching to another instance, which would start the same streams
        as this one; so none are started until activity of the trainer is recorded.
        """
        step = self._steps.get((row_name, name))
        if step is not None:
            step.owner.is_trainer_connected = False

    async def cancel(self, row, name):
        """Cancel a step and its streams; return whether this instance owned it."""
        step = self._steps.get((row.name, name))
        if step is not None:
            await self._remove_step(step, cancel=True)
        return step is not None

    def status(self):
        """Return the status of all steps for operators, JSON-ready."""
        return [step.owner.status() for step in self._steps.values()]

    async def drain(self):
        """Refuse new steps and wait until all trainers have been redirected.

        Streams are not cancelled: engines keep them and the next owner resumes them.
        """
        self._draining = True
        EVENTS.add("steps-draining", steps=len(self._steps))
        for step in self._steps.values():
            step.owner.stop_dispatch()
        deadline = deadline_in(self._settings.drain.deadline)
        while self._has_attached_trainers() and not passed(deadline):
            await self._drain_progress.wait(deadline)
        await self.close()

    async def close(self):
        """End all tasks; streams are left to the next owners of the steps."""
        if self._sweeper is not None:
            self._sweeper.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._sweeper
            self._sweeper = None
        for step in list(self._steps.values()):
            await self._remove_step(step, cancel=False)
        await self._resources.cleaner.close()

    def _attach(self, owner, row, spec, token):
        if spec.attach < owner.attach:
            return _superseded(owner)
        if spec.digest() != owner.spec.digest():
            return Conflict(
                "another step stands under that name",
                [Finding("step", f"{spec.step!r} was submitted with other content")],
            )
        owner.row = row
        owner.record_trainer_activity()
        if spec.attach > owner.attach:
            owner.reattach(spec.attach, token)
        return Submitted(spec.sample_count, resumed=True)

    def _refusal(self, row):
        if self._draining:
            return NotRun("this instance is leaving", BUSY_RETRY_AFTER)
        owned = sum(name == row.name for name, _ in self._steps)
        if owned >= MAX_STEPS_PER_ROW:
            return NotRun(f"row has {owned} steps here already", BUSY_RETRY_AFTER)
        return None

    def _apply_fetch(self, owner, row, fetch, token):
        if isinstance(token, Rejected):
            return token
        if fetch.attach < owner.attach:
            return _superseded(owner)
        owner.row = row
        owner.record_trainer_activity()
        owner.trainer_version = max(owner.trainer_version, fetch.newest_version or 0)
        if fetch.attach > owner.attach:
            owner.reattach(fetch.attach, token)
        else:
            owner.acknowledge(token)
        return None

    async def _wait_until_reply_due(self, step, fetch, token):
        owner, attach = step.owner, step.owner.attach
        settings = self._settings.steps
        deadline = deadline_in(min(fetch.wait_ms / 1000, settings.fetch_wait))
        activity_interval = settings.attach_idle / 2
        while not (
            self._has_deliverable_samples(step, fetch, token)
            or owner.is_expired
            or owner.stopping
            or owner.closed
            or owner.attach != attach
            or passed(deadline)
        ):
            await owner.changes.wait(min(deadline, deadline_in(activity_interval)))
            owner.record_trainer_activity()

    def _has_deliverable_samples(self, step, fetch, token):
        # A trainer that stated a version is answered even if that is outdated by now,
        # so that it states a current one; without one, only the view can confirm it.
        can_deliver = fetch.newest_version is not None
        can_deliver = can_deliver or step.delivery.is_version_confirmed(
            self._resources.view(), fetch, now()
        )
        return can_deliver and step.delivery.select_positions(token)

    def _reply(self, step, fetch, token, arrived_at):
        confirmed = step.delivery.is_version_confirmed(
            self._resources.view(), fetch, arrived_at
        )
        positions = step.delivery.select_positions(token) if confirmed else []
        return {**step.delivery.build_reply(token, positions), "confirmed": confirmed}

    def _has_attached_trainers(self):
        return any(
            not (step.is_trainer_redirected or step.owner.is_abandoned)
            for step in self._steps.values()
        )

    async def _remove_step(self, step, cancel):
        owner = step.owner
        self._steps.pop((owner.row.name, owner.spec.step), None)
        await owner.close(cancel)
        self._drain_progress.changed()
        owner.event("step-forgotten", cancel=int(cancel))

    async def _sweep(self):
        """Remove abandoned steps and check the others for stragglers."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            for step in list(self._steps.values()):
                try:
                    await self._sweep_step(step)
                except Exception as error:
                    # An exception in one step must not end the sweep, or abandoned
                    # steps would never be removed.
                    logs.changed("steps:fault", error=repr(error))

    async def _sweep_step(self, step):
        if step.owner.is_abandoned:
            logs.changed("steps:abandoned", row=step.owner.row.name)
            await self._remove_step(step, cancel=step.owner.is_expired)
        else:
            step.owner.check_stragglers()


def _superseded(owner):
    reason = f"attachment {owner.attach} is newer"
    return Conflict(reason, [Finding("attach", reason)], owner.attach)


def no_such_step():
    """Return the refusal for a step that this instance does not own."""
    return NoSuchStep("this instance does not own that step")
