"""The delivery token: which samples of a step the trainer already has.

One bit for each sample, base64 on the wire: 1,024 samples are 128 bytes. Only the
trainer decides which samples it has; the step's owner sends the others. So lost
replies, repeated deliveries and new owners need no shared state: the trainer sends its
token again. Usable on its own; see ``samples/library_delivery_token.py``.
"""

import base64
import binascii

from sassafrasdoor.outcomes import Finding, Rejected

MAX_SAMPLES = 16_384


class DeliveryToken:
    """A set of sample positions below ``size``, as bits of one integer."""

    __slots__ = ("_bits", "_size")

    def __init__(self, size, positions=()):
        if not 0 < size <= MAX_SAMPLES:
            raise ValueError(f"token size {size} is not within 1..{MAX_SAMPLES}")
        self._size = size
        self._bits = 0
        for position in positions:
            self.add(position)

    @classmethod
    def parse(cls, text, size):
        """Return the token in base64 ``text``, or ``Rejected`` with findings.

        An empty text is the token of a trainer without samples.
        """
        token = cls(size)
        if not text:
            return token
        try:
            raw = base64.b64decode(text, validate=True)
        except (binascii.Error, ValueError):
            return _rejected("not base64")
        if len(raw) != token.byte_count:
            return _rejected(f"{len(raw)} bytes where {token.byte_count} are due")
        token._bits = int.from_bytes(raw, "little")
        if token._bits >> size:
            return _rejected(f"names samples beyond the step's {size}")
        return token

    @property
    def size(self):
        """Number of samples of the step."""
        return self._size

    @property
    def _key(self):
        return (self._size, self._bits)

    @property
    def byte_count(self):
        """Length of the token in bytes before base64."""
        return (self._size + 7) // 8

    @property
    def complete(self):
        """Whether the trainer has every sample."""
        return len(self) == self._size

    def __contains__(self, position):
        return bool(self._bits >> position & 1)

    def __len__(self):
        return self._bits.bit_count()

    def __iter__(self):
        return _positions(self._bits)

    def __eq__(self, other):
        return isinstance(other, DeliveryToken) and self._key == other._key

    def __hash__(self):
        return hash(self._key)

    def __repr__(self):
        return f"DeliveryToken({len(self)} of {self._size})"

    def add(self, position):
        """Add a sample; return whether it is new."""
        if not 0 <= position < self._size:
            raise ValueError(
                f"sample position {position} is negative or not below {self._size}"
            )
        new = position not in self
        self._bits |= 1 << position
        return new

    def union(self, positions):
        """Return a token with ``positions`` added."""
        token = DeliveryToken(self._size, positions)
        token._bits |= self._bits
        return token

    def missing(self):
        """Return the positions that the trainer lacks, in order."""
        return list(_positions(~self._bits & (1 << self._size) - 1))

    def difference(self, other):
        """Return the positions that ``other`` lacks, in order."""
        return list(_positions(self._bits & ~other._bits))

    def encode(self):
        """Return the token as base64 text."""
        raw = self._bits.to_bytes(self.byte_count, "little")
        return base64.b64encode(raw).decode()


def _positions(bits):
    while bits:
        lowest = bits & -bits
        yield lowest.bit_length() - 1
        bits ^= lowest


def _rejected(reason):
    return Rejected("token invalid", [Finding("token", reason)])
