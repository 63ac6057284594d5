"""The requests service of an entry process."""

import contextlib
import json

from sassafrasdoor.admission.retries import RetryBudget
from sassafrasdoor.backends.interface import Answer, Chunk, Finished
from sassafrasdoor.clock import passed
from sassafrasdoor.outcomes import NotRun, Unknown
from sassafrasdoor.requests import messages, peer
from sassafrasdoor.requests.attempts import SERVER_ERROR
from sassafrasdoor.requests.calls import CallRunner
from sassafrasdoor.requests.claims import Claims
from sassafrasdoor.requests.executions import Executions
from sassafrasdoor.requests.issued import Issuer, parse
from sassafrasdoor.requests.stop_admission import StopAdmission
from sassafrasdoor.requests.stop_policy import RequestKind
from sassafrasdoor.requests.streams import GenerateRequest, Restart, StreamRunner
from sassafrasdoor.view import State

REFUSING_RETRY_AFTER = 0.5
JSON_HEADERS = {"Content-Type": "application/json"}


class RequestsService:
    """Runs requests of callers and keeps the outcomes of keyed ones."""

    __slots__ = (
        "_admission",
        "_calls",
        "_claims",
        "_executions",
        "_in_progress",
        "_issuer",
        "_streams",
        "_view_getter",
        "settings",
        "stop_admission",
    )

    def __init__(
        self, settings, view_getter, admission, chooser, engine, service, log=None
    ):
        budget = RetryBudget(settings)
        shared = (settings, view_getter, admission, chooser)
        self.settings = settings
        self._view_getter = view_getter
        self._admission = admission
        self._calls = CallRunner(*shared, service, budget)
        self._streams = StreamRunner(*shared, engine, budget)
        self._issuer = Issuer(settings)
        self._claims = Claims(settings, log, self._issuer.incarnation) if log else None
        self._executions = Executions(settings)
        self._in_progress = 0
        self.stop_admission = StopAdmission(self._knows_others)

    @property
    def view(self):
        """The current view."""
        return self._view_getter()

    def key_prefix(self):
        """Return a prefix for keys that only this process runs.

        Empty once this instance has announced that it is leaving. A key issued after
        that could reach another instance after this one has ended, which would answer
        unknown although the key never ran.
        """
        is_leaving = self.stop_admission.is_stopping or self._is_leaving()
        return "" if is_leaving else self._issuer.prefix()

    def _is_leaving(self):
        name = self.settings.instance.name
        return any(
            member.name == name and member.state is State.LEAVING
            for member in self.view.members
        )

    def _knows_others(self):
        name = self.settings.instance.name
        return any(
            member.name != name and member.state is State.ALIVE
            for member in self.view.members
        )

    def in_progress(self):
        """Return the number of requests in progress."""
        return self._in_progress

    def status(self):
        """Return the status of requests as a JSON-ready mapping."""
        return {
            "in_progress": self._in_progress,
            "refusing": self.stop_admission.is_refusing,
            "keys": len(self._executions),
            "slots": self._admission.allowed(),
        }

    @contextlib.contextmanager
    def track_progress(self):
        """Count a request as in progress while the context is open."""
        self._in_progress += 1
        try:
            yield
        finally:
            self._in_progress -= 1

    def refuse_new(self):
        """Refuse new requests; those in progress continue."""
        self.stop_admission.end_intake()

    def refusal(self, row, request, is_streamed=False, is_movable=True):
        """Return ``NotRun`` if the request cannot be accepted, else None.

        ``is_movable`` says whether another instance may run it.
        """
        if passed(request.deadline):
            return NotRun("deadline passed", REFUSING_RETRY_AFTER)
        if not self.stop_admission.is_stopping or self._is_settled(row, request):
            return None
        return self.stop_admission.refusal(
            _kind(row, request, is_streamed),
            request.deadline,
            request.request_id,
            is_movable,
        )

    def _is_settled(self, row, request):
        """Return whether a keyed request is answered without a new run here."""
        if not request.is_deduplicated:
            return False
        issued = parse(request.key)
        is_own = issued is not None and self._issuer.owns(issued)
        is_lapsed = is_own and self._issuer.has_lapsed(issued)
        return is_lapsed or (row.name, request.key) in self._executions

    async def run(self, row, request):
        """Run a request that is not streamed and return its outcome."""
        issued = parse(request.key) if request.is_deduplicated else None
        is_own_key = issued is not None and self._issuer.owns(issued)
        refusal = self.refusal(row, request, is_movable=not is_own_key)
        if refusal is not None:
            return refusal
        if not request.is_deduplicated:
            return await self._run_here(row, request)
        if issued is None:
            return await self._run_claimed(row, request)
        if is_own_key:
            return await self._run_issued(row, request, issued)
        return await self._forward(issued, row, request)

    async def run_for_peer(self, incarnation, row_name, request):
        """Run a keyed request that another instance forwarded."""
        if incarnation != self._issuer.incarnation:
            return Unknown("the key's owner is gone")
        row = self.view.row(row_name)
        issued = parse(request.key)
        is_claimed = self._claims and self._claims.owns_key(row_name, request.key)
        if issued is None and not is_claimed:
            return Unknown("the key was not claimed here")
        if row is None:
            return self._unknown_row_outcome(row_name, request.key, issued)
        refusal = self.refusal(row, request, is_movable=False)
        if refusal is not None:
            return refusal
        with self.track_progress():
            if issued is not None:
                return await self._run_issued(row, request, issued)
            return await self._run_once(row, request)

    def _unknown_row_outcome(self, row_name, key, issued):
        """Return the outcome of a forwarded request whose row is not known here.

        The forwarding instance may have a newer table, with a row that was just added. A
        key that was claimed here is older than that.
        """
        may_have_run = (
            issued is None
            or self._issuer.has_lapsed(issued)
            or (row_name, key) in self._executions
        )
        if may_have_run:
            return Unknown("the row was removed; whether the key ran is not known")
        return NotRun("the row is not known here", REFUSING_RETRY_AFTER)

    async def generate(self, row, request, deadline):
        """Yield the items of ``Streams.run`` for a streamed answer."""
        kind = RequestKind(row.name, request.max_tokens)
        items = self._streams.run(row, request, deadline)
        with self.stop_admission.track(kind) as run:
            async with contextlib.aclosing(items):
                async for item in items:
                    run.is_whole = isinstance(item, Finished)
                    yield item

    async def _run_issued(self, row, request, issued):
        if self._issuer.has_lapsed(issued):
            return Unknown("the key has lapsed; whether it ran is not kept")
        return await self._run_once(row, request)

    async def _run_claimed(self, row, request):
        if (row.name, request.key) in self._executions:
            return await self._run_once(row, request)
        if self._claims is None:
            return NotRun("caller-chosen keys are not taken here", REFUSING_RETRY_AFTER)
        owner = await self._claims.claim(row.name, request.key, request.deadline)
        if isinstance(owner, NotRun):
            return owner
        if self._claims.owns(owner):
            return await self._run_once(row, request)
        return await self._forward(owner, row, request)

    async def _run_once(self, row, request):
        return await self._executions.run_once(
            (row.name, request.key), request, lambda: self._run_counted(row, request)
        )

    async def _run_counted(self, row, request):
        # A planned stop waits for the run even if its caller has disconnected.
        with self.track_progress():
            return await self._run_here(row, request)

    async def _forward(self, owner, row, request):
        """Forward the request to the key's owner (an ``IssuedKey`` or ``Owner``)."""
        members = self.view.members
        member = next(
            (member for member in members if member.name == owner.instance), None
        )
        if member is None or not member.peer_address:
            return Unknown("the key's owner is gone")
        return await peer.forward(
            self.settings, member.peer_address, owner.incarnation, row, request
        )

    async def _run_here(self, row, request):
        return await self._RUNNERS[request.kind](self, row, request)

    async def _run_call(self, row, request):
        with self.stop_admission.track(RequestKind(row.name)) as run:
            outcome = await self._calls.run(row, request)
            run.is_whole = isinstance(outcome, Answer) and outcome.status < SERVER_ERROR
        return outcome

    async def _run_generate(self, row, request):
        document = json.loads(request.body)
        generate_request = GenerateRequest(
            request.request_id,
            document["prompt"],
            document["max_tokens"],
            repeatable=request.repeatable,
            restartable=True,
        )
        chunks, last = [], None
        async with contextlib.aclosing(
            self.generate(row, generate_request, request.deadline)
        ) as items:
            async for last in items:
                if isinstance(last, Chunk):
                    chunks.append(last)
                elif isinstance(last, Restart):
                    chunks.clear()
        if not isinstance(last, Finished):
            return last
        return _complete_answer(chunks, last, document["stream"])

    _RUNNERS = {messages.CALL: _run_call, messages.GENERATE: _run_generate}


def _kind(row, request, is_streamed):
    """Return the ``RequestKind`` of a request."""
    # A stream that is cut off has no outcome that its caller could go by.
    is_repeatable = request.repeatable and not is_streamed
    is_generate = request.kind == messages.GENERATE
    limit = json.loads(request.body)["max_tokens"] if is_generate else 0
    return RequestKind(row.name, limit, is_repeatable)


def chunk_document(chunk):
    """Return a chunk as a JSON-ready line of a streamed answer."""
    return {
        "offset": chunk.offset,
        "text": chunk.text,
        "tokens": chunk.tokens,
        "version": chunk.version,
    }


def finished_document(finished):
    """Return the last line of a streamed answer, JSON-ready."""
    spans = [span.as_list() for span in finished.spans]
    return {"done": True, "length": finished.length, "spans": spans}


def _complete_answer(chunks, finished, streamed):
    if streamed:
        lines = [chunk_document(chunk) for chunk in chunks]
        lines.append(finished_document(finished))
        body = "".join(json.dumps(line) + "\n" for line in lines)
        return Answer(200, {"Content-Type": "application/x-ndjson"}, body.encode())
    text = "".join(chunk.text for chunk in chunks)
    document = {"text": text, "spans": finished_document(finished)["spans"]}
    return Answer(200, JSON_HEADERS, json.dumps(document).encode())
