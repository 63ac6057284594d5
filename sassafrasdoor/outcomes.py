"""Falsy results with a reason, returned between modules instead of raising.

A function that can fail returns ``Value | Outcome``; callers branch with ``if not
result`` or with ``functools.singledispatch`` on the class.
"""

MAX_FINDINGS = 100
MAX_PLACE_CHARS = 120


class Outcome:
    """A result other than the requested value, with the reason."""

    __slots__ = ("reason",)

    def __init__(self, reason):
        self.reason = reason

    def __bool__(self):
        return False

    def __repr__(self):
        return f"{type(self).__name__}({self.reason!r})"

    def __eq__(self, other):
        return type(self) is type(other) and self.reason == other.reason

    def __hash__(self):
        return hash((type(self), self.reason))


class NotRun(Outcome):
    """The request certainly did not run; ``retry_after`` is in seconds.

    To be returned only if no byte of the request can have reached a backend server.
    """

    __slots__ = ("retry_after",)

    def __init__(self, reason, retry_after=1.0):
        super().__init__(reason)
        self.retry_after = retry_after


class Unknown(Outcome):
    """The request may have run; it is not retried."""

    __slots__ = ()


class Unavailable(Outcome):
    """A peer or a platform service did not answer, and the call had no effect."""

    __slots__ = ()


class ReplyLost(Outcome):
    """The call may have taken effect, but its reply was lost."""

    __slots__ = ()


class Expired(Outcome):
    """The log no longer holds this offset; ``first`` is the first one it holds."""

    __slots__ = ("first",)

    def __init__(self, reason, first):
        super().__init__(reason)
        self.first = first


class Rejected(Outcome):
    """An input or a proposal was rejected; ``findings`` state where and why."""

    __slots__ = ("findings",)

    def __init__(self, reason, findings=()):
        super().__init__(reason)
        self.findings = list(findings)


class Finding:
    """A fault of an input: its place (a dotted path) and the reason."""

    __slots__ = ("place", "reason")

    def __init__(self, place, reason):
        self.place = place
        self.reason = reason

    def __str__(self):
        return f"{self.place}: {self.reason}"

    def __repr__(self):
        return f"Finding({self.place!r}, {self.reason!r})"

    def as_dict(self):
        """Return the finding as a JSON-ready mapping."""
        return {"place": self.place, "reason": self.reason}


def findings_of(error):
    """Return the first findings of a ``pydantic.ValidationError``, in its order.

    Places contain names that the sender chose. They are truncated, and there are at
    most ``MAX_FINDINGS``, so that a rejection is never longer than what it rejects.
    """
    return [
        Finding(_place(item["loc"]), item["msg"])
        for item in error.errors(include_url=False, include_input=False)[:MAX_FINDINGS]
    ]


def _place(parts):
    return ".".join(str(part) for part in parts)[:MAX_PLACE_CHARS] or "(root)"
