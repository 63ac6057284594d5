"""HTTP handlers for trainers: submit, fetch and cancel steps."""

from functools import singledispatch

import tornado.web

from sassafrasdoor.outcomes import NotRun, Rejected
from sassafrasdoor.steps.registry import (
    Conflict,
    NoSuchStep,
    StepsService,
    no_such_step,
)
from sassafrasdoor.steps.spec import FetchSpec, StepSpec, parse_input

__all__ = ["StepsService", "handlers"]

NAME_PATTERN = r"([A-Za-z0-9_.-]{1,64})"


def handlers(steps_service):
    """Return the URL specs of the step handlers."""
    arguments = {"steps": steps_service}
    return [
        (f"/v1/steps/{NAME_PATTERN}", SubmitHandler, arguments),
        (f"/v1/steps/{NAME_PATTERN}/{NAME_PATTERN}/fetch", FetchHandler, arguments),
        (f"/v1/steps/{NAME_PATTERN}/{NAME_PATTERN}", StepHandler, arguments),
    ]


# Tornado would decode a form.
@tornado.web.stream_request_body
class StepsHandler(tornado.web.RequestHandler):
    """Base of the step handlers: authorization by row, and refusals."""

    def initialize(self, steps):
        self._body = b""
        self._steps = steps

    def data_received(self, chunk):
        """Take a piece of the body."""
        self._body += bytes(chunk)

    async def authorized_row(self, row_name):
        """Return the caller's row, or None after writing a refusal."""
        return await self.application.settings["authorize"](self, row_name)

    def refuse(self, outcome):
        """Finish with an ``Outcome`` and its findings."""
        status, kind = refusal_of(outcome)
        self.set_status(status)
        self.set_header("X-Outcome", kind)
        if isinstance(outcome, NotRun):
            self.set_header("Retry-After", str(max(1, round(outcome.retry_after))))
        findings = [finding.as_dict() for finding in getattr(outcome, "findings", ())]
        document = {"outcome": kind, "reason": outcome.reason, "findings": findings}
        if isinstance(outcome, Conflict):
            document["attach"] = outcome.attach
        self.finish(document)

    def write_error(self, status_code, **kwargs):
        """Write an error reply without a traceback."""
        self.set_header("X-Outcome", "rejected")
        self.finish({"outcome": "rejected", "reason": self._reason, "findings": []})


class SubmitHandler(StepsHandler):
    """``POST /v1/steps/{row}``."""

    async def post(self, row_name):
        """Submit the step to this instance, or attach to it."""
        row = await self.authorized_row(row_name)
        if row is None:
            return
        spec = parse_input(StepSpec, self._body)
        result = self._steps.submit(row, spec) if spec else spec
        if not result:
            self.refuse(result)
            return
        self.set_status(202)
        self.finish({"samples": result.samples, "resumed": result.resumed})


class FetchHandler(StepsHandler):
    """``POST /v1/steps/{row}/{step}/fetch``."""

    def on_connection_close(self):
        """Handle a trainer that disconnected during a fetch."""
        super().on_connection_close()
        self._steps.handle_disconnect(*self.path_args)

    async def post(self, row_name, step):
        """Reply with samples that the trainer lacks."""
        row = await self.authorized_row(row_name)
        if row is None:
            return
        fetch = parse_input(FetchSpec, self._body)
        result = await self._steps.fetch(row, step, fetch) if fetch else fetch
        # Nothing may be awaited here: staleness was checked just now.
        if not result:
            self.refuse(result)
            return
        await self.finish(result)
        self._steps.handle_reply_sent(row, step)


class StepHandler(StepsHandler):
    """``DELETE /v1/steps/{row}/{step}``."""

    async def delete(self, row_name, step):
        """Cancel the step."""
        row = await self.authorized_row(row_name)
        if row is None:
            return
        if await self._steps.cancel(row, step):
            self.finish({"cancelled": True})
        else:
            self.refuse(no_such_step())


@singledispatch
def refusal_of(outcome):
    """Return the HTTP status and the ``X-Outcome`` value of an outcome."""
    raise TypeError(f"no HTTP status for the outcome {outcome!r}")


@refusal_of.register
def _(outcome: Rejected):
    return 400, "rejected"


@refusal_of.register
def _(outcome: Conflict):
    return 409, "rejected"


@refusal_of.register
def _(outcome: NoSuchStep):
    return 404, "rejected"


@refusal_of.register
def _(outcome: NotRun):
    return 503, "not-run"
