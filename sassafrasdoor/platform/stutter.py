"""Surplus bytes on the connections of a stand-in's replica: it answers twice."""

import asyncio
import random
from http import HTTPStatus
from weakref import WeakKeyDictionary, WeakSet

from sassafrasdoor.platform import wire

MAX_DELAY = 0.15  # seconds to a late second answer
CHUNKED_SHARE = 0.5
LATE_BODY = b"late answer"
FOREIGN_BYTES = b"\x16\x03\x01 no answer\r\n\r\n"
INTERIM_ANSWER = b"HTTP/1.1 102 Processing\r\n\r\n"
FRAMING_HEADERS = {"content-length", "transfer-encoding"}


class SentAnswer:
    """An answer as a replica sent it; ``headers`` are pairs of name and value."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    @property
    def is_success(self):
        """Whether the status is 2xx."""
        return 200 <= self.status < 300

    def without(self, *names):
        """Return the header pairs without some names."""
        unwanted = {name.lower() for name in names}
        return [pair for pair in self.headers if pair[0].lower() not in unwanted]

    def encode(self, chunked=False):
        """Return the bytes of the whole answer, with a length or in one chunk."""
        pairs, body = self.without(*FRAMING_HEADERS), self.body
        if chunked:
            pairs.append(("Transfer-Encoding", "chunked"))
            piece = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            body = piece + b"0\r\n\r\n"
        else:
            pairs.append(("Content-Length", str(len(body))))
        lines = [f"HTTP/1.1 {self.status} {HTTPStatus(self.status).phrase}"]
        lines += [f"{name}: {value}" for name, value in pairs]
        return "\r\n".join([*lines, "", ""]).encode("latin1") + body


def _copy(answer):
    return SentAnswer(answer.status, list(answer.headers), answer.body)


def _with_other_status(answer):
    """Return a failure after a success, or a success after a failure or refusal."""
    status = 500 if answer.is_success else 200
    return SentAnswer(status, answer.without(wire.NOT_RUN), LATE_BODY)


def _as_refusal(answer):
    pairs = [*answer.without(wire.STAMP, wire.NOT_RUN), (wire.NOT_RUN, "1")]
    return SentAnswer(503, pairs, b"")


def _as_misdirected(answer):
    return SentAnswer(wire.MISDIRECTED, answer.without(wire.STAMP, wire.NOT_RUN), b"")


def _foreign(answer):
    return None


SECOND_ANSWERS = (_copy, _with_other_status, _as_refusal, _as_misdirected)


class Manner:
    """How a replica stutters: the second answers it sends and how often.

    ``spoilt`` is the share of answers with an interim answer or their own first part
    before them, ``second`` that with a second answer or, for ``_foreign``, other bytes
    after them. Of the latter the share ``held`` is sent just before the connection's next
    answer, the share ``without_id`` lacks the request's id, and the share ``cut`` ends at
    any of its bytes.
    """

    __slots__ = ("changes", "cut", "held", "second", "spoilt", "without_id")

    def __init__(
        self,
        changes,
        *,
        second=1.0,
        spoilt=0.0,
        held=0.5,
        without_id=0.5,
        cut=0.0,
    ):
        self.changes = changes
        self.cut = cut
        self.second = second
        self.spoilt = spoilt
        self.held = held
        self.without_id = without_id


MIXED = Manner((*SECOND_ANSWERS, _foreign), second=0.8, spoilt=0.2)
COPIES = Manner((_copy,), held=1.0, without_id=0.0)
REVERSALS = Manner((_with_other_status,), without_id=0.0)
REFUSALS = Manner((_as_refusal, _as_misdirected), without_id=1.0)
BROKEN_OFF = Manner((), second=0.0, spoilt=0.6)
CUT = Manner((_copy, _with_other_status), without_id=0.0, cut=1.0)
MANNERS = (MIXED, COPIES, REVERSALS, REFUSALS, BROKEN_OFF, CUT)


class Stutter:
    """Adds surplus bytes to a seeded ``share`` of a replica's answers.

    ``surplus_count`` counts how often it did.
    """

    def __init__(self, seed):
        self.share = 0.0
        self.manner = MIXED
        self.surplus_count = 0
        self._rng = random.Random(seed)
        self._manners = random.Random(f"{seed} manners")
        self._held = WeakKeyDictionary()
        self._answering = WeakSet()

    def change_manner(self):
        """Draw another manner."""
        self.manner = self._manners.choice(MANNERS)

    def before_answer(self, stream, answer):
        """Write what comes before the head of an answer; its body may be incomplete."""
        if not stream.closed():
            for data in self._held.pop(stream, ()):
                stream.write(data)
            if self._draw(self.share * self.manner.spoilt):
                self.surplus_count += 1
                stream.write(self._rng.choice((self._broken_off, _interim))(answer))
        self._answering.add(stream)

    def after_answer(self, stream, answer):
        """Send or schedule what comes after a complete answer."""
        self._answering.discard(stream)
        if not self._draw(self.share * self.manner.second):
            return
        self.surplus_count += 1
        data = self._second_answer(answer)
        if self._draw(self.manner.held):
            self._hold(stream, data)
            return
        delay = self._rng.choice((0.0, self._rng.uniform(0.0, MAX_DELAY)))
        asyncio.get_running_loop().call_later(delay, self._send, stream, data)

    def _draw(self, share):
        return self._rng.random() < share

    def _send(self, stream, data):
        if stream in self._answering:
            self._hold(stream, data)
        elif not stream.closed():
            stream.write(data)

    def _hold(self, stream, data):
        self._held.setdefault(stream, []).append(data)

    def _second_answer(self, answer):
        second = self._rng.choice(self.manner.changes)(answer)
        if second is None:
            return FOREIGN_BYTES
        if self._draw(self.manner.without_id):
            second.headers = second.without(wire.REQUEST_ID)
        data = second.encode(self._draw(CHUNKED_SHARE))
        return self._cut(data) if self._draw(self.manner.cut) else data

    def _broken_off(self, answer):
        return self._cut(answer.encode(self._draw(CHUNKED_SHARE)))

    def _cut(self, data):
        return data[: self._rng.randrange(1, len(data))]


def _interim(answer):
    return INTERIM_ANSWER
