"""Crowds of callers that do not behave, for tests of real processes on loopback addresses.

A crowd is a number of connections on which each caller sends its pieces and then neither
sends nor reads. What a crowd is made of follows from the memory and the descriptors that
the settings of the process state.
"""

import asyncio
import itertools
import os
import pathlib
import resource
import socket
import struct

HOST = "h.example"
PRESS_TIME = 6.0  # seconds after which callers that still send are left as they are
CALLERS_AT_ONCE = 200  # that connect and send at the same time
SMALL_BODY_BYTES = 65_000
OVERSIZED_BODY_BYTES = 40_000_000  # beyond the default limit of 32 MiB
MAX_SENT_BYTES = 64_000_000  # of one caller without end
FIELD_BYTES = 15_000  # of short fields in a head or a query, below the default limit
REQUESTS_AHEAD = 20_000
MEMORY_FACTOR = 2  # multiple of the memory that the large bodies of a crowd add up to
DESCRIPTOR_FACTOR = 1.5  # multiple of the descriptors that a crowd of connections takes
DROP_INTERVAL = 0.1  # seconds between the single bytes of a slow sender
READ_BYTES = 100  # that a slow reader takes each interval
MB = 1_000_000
# Value of SO_LINGER with a time of 0: closing a socket resets its connection.
LINGER_RESET = struct.pack("ii", 1, 0)
MULTIPART_PART = b'--b\r\nContent-Disposition: form-data; name="a"\r\n\r\n\r\n'


def allow_descriptors(number):
    """Raise this process's own soft limit of descriptors to ``number``."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < number:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(number, hard), hard))


def peak_memory_mb(pid):
    """Return the peak of a process's resident memory in MB."""
    lines = pathlib.Path(f"/proc/{pid}/status").read_text("utf-8").splitlines()
    line = next(line for line in lines if line.startswith("VmHWM"))
    return int(line.split()[1]) * 1024 / MB


def descriptor_count(pid):
    """Return the number of descriptors that a process has open."""
    return len(os.listdir(f"/proc/{pid}/fd"))


class Place:
    """Where a crowd goes: ``address``, and the request lines' method and path.

    ``headers`` are further lines of its heads, each with its end. ``id_header``, if any,
    names a header that differs in each of them.
    """

    __slots__ = ("_numbers", "address", "headers", "id_header", "method", "path")

    def __init__(self, address, path, method="POST", headers=b"", id_header=""):
        self._numbers = itertools.count()
        self.address = address
        self.path = path.encode()
        self.method = method.encode()
        self.headers = headers
        self.id_header = id_header

    def head(self, *lines, query=b"", method=b""):
        """Return a request's head with further header lines."""
        first = b"%s %s%s HTTP/1.1\r\nHost: %s\r\n" % (
            method or self.method,
            self.path,
            query,
            HOST.encode(),
        )
        if self.id_header:
            number = next(self._numbers)
            lines = (f"{self.id_header}: crowd-{number}".encode(), *lines)
        return first + self.headers + b"".join(b"%s\r\n" % line for line in lines)


class Crowd:
    """``size`` callers, of which each sends the pieces that ``pieces(place)`` yields.

    ``pause`` is the time between two pieces, in seconds. Then each takes ``read_bytes``
    of its answer in each such pause.
    """

    __slots__ = ("pause", "pieces", "read_bytes", "size")

    def __init__(self, size, pieces, pause=0.0, read_bytes=0):
        self.size = int(size)
        self.pieces = pieces
        self.pause = pause
        self.read_bytes = read_bytes


class Bounds:
    """The memory and the descriptors that a process may take, from its settings.

    ``large_body_bytes`` is the size of a large body below the limit of bodies.
    """

    __slots__ = ("descriptors", "large_body_bytes", "memory_mb")

    def __init__(self, memory_mb, descriptors, large_body_bytes):
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.large_body_bytes = large_body_bytes

    @property
    def connections(self):
        """Number of connections of a crowd that has more of them than may be open."""
        return int(self.descriptors * DESCRIPTOR_FACTOR)

    @property
    def large_bodies(self):
        """Number of large bodies that do not fit into the memory together."""
        return int(MEMORY_FACTOR * self.memory_mb * MB / self.large_body_bytes)


class PressingCrowd:
    """The open connections of a crowd; ``release`` resets them."""

    def __init__(self, crowd, places):
        self._crowd = crowd
        self._places = places
        self._sockets = []
        self._tasks = []
        self._turns = asyncio.Semaphore(CALLERS_AT_ONCE)

    async def press(self):
        """Let all callers connect and send, for at most ``PRESS_TIME``."""
        places = itertools.islice(itertools.cycle(self._places), self._crowd.size)
        self._tasks = [asyncio.ensure_future(self._call(place)) for place in places]
        await asyncio.wait(self._tasks, timeout=PRESS_TIME)

    async def _call(self, place):
        loop = asyncio.get_running_loop()
        host, _, port = place.address.rpartition(":")
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sockets.append(sock)
        try:
            async with self._turns:
                await loop.sock_connect(sock, (host, int(port)))
                if not self._crowd.pause:
                    await self._send(sock, place)
            if self._crowd.pause:
                await self._send(sock, place)
        except OSError:
            pass  # Refused or closed, as such a caller may be.

    async def _send(self, sock, place):
        loop = asyncio.get_running_loop()
        for piece in self._crowd.pieces(place):
            await loop.sock_sendall(sock, piece)
            await asyncio.sleep(self._crowd.pause)
        is_open = self._crowd.read_bytes > 0
        while is_open:
            is_open = await loop.sock_recv(sock, self._crowd.read_bytes)
            await asyncio.sleep(self._crowd.pause)

    async def release(self):
        """Reset all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            sock.close()


def split(data, size):
    """Yield ``data`` in pieces of ``size`` bytes."""
    for start in range(0, len(data), size):
        yield data[start : start + size]


def sized_head(place, size, *lines, query=b""):
    """Return the head of a request with a body of ``size`` bytes."""
    length = b"Content-Length: %d" % size
    return place.head(length, *lines, b"", query=query, method=b"POST")


def chunked_head(place):
    """Return the head of a request with a chunked body."""
    return place.head(b"Transfer-Encoding: chunked", b"", method=b"POST")


def short_body(size, piece_bytes=0):
    """Return pieces of a body that lacks its last byte, in one piece or small ones."""

    def pieces(place):
        yield sized_head(place, size)
        body = bytes(size - 1)
        yield from split(body, piece_bytes) if piece_bytes else (body,)

    return pieces


def chunked_body(size, chunk_bytes):
    """Return pieces of a chunked body that lacks its last chunk."""
    chunk = b"%x\r\n%s\r\n" % (chunk_bytes, bytes(chunk_bytes))

    def pieces(place):
        yield chunked_head(place)
        yield from split(chunk * (size // chunk_bytes), 16_384)

    return pieces


def endless_chunks(place):
    """Yield a chunked body without end."""
    block = b"%x\r\n%s\r\n" % (65536, bytes(65536))
    yield chunked_head(place)
    for _ in range(MAX_SENT_BYTES // 65536):
        yield block


def oversized_body(place):
    """Yield a body that states a length far over the limit."""
    yield sized_head(place, OVERSIZED_BODY_BYTES)
    for _ in range(OVERSIZED_BODY_BYTES // 65536):
        yield bytes(65536)


def announced_body(size):
    """Return the pieces of a body of which only the length comes."""
    return lambda place: [sized_head(place, size)]


def fields(template, size):
    """Return distinct short fields that take up nearly ``size`` bytes."""
    longest = len(template % 0xFFFFF)
    return b"".join(template % number for number in range(size // longest))


def form(size):
    """Return a form of very many short fields, and its content type."""
    return fields(b"%x=&", size), b"application/x-www-form-urlencoded"


def multipart(size):
    """Return a multipart body of very many parts, and its content type."""
    parts = MULTIPART_PART * (size // len(MULTIPART_PART))
    return parts + b"--b--\r\n", b"multipart/form-data; boundary=b"


HEAD_FIELDS = fields(b"%x:\r\n", FIELD_BYTES)
QUERY_FIELDS = b"?" + fields(b"%x&", FIELD_BYTES)


def head_fields(place):
    """Yield a head of very many short fields, and half of a body."""
    yield place.head(method=b"POST") + HEAD_FIELDS + b"Content-Length: 2\r\n\r\nx"


def query_fields(place):
    """Yield a query of very many short fields, and half of a body."""
    yield sized_head(place, 2, query=QUERY_FIELDS) + b"x"


def whole_body(body, content_type):
    """Return pieces of a whole request with that body."""

    def pieces(place):
        yield sized_head(place, len(body), b"Content-Type: " + content_type)
        yield from split(body, 65536)

    return pieces


def requests_ahead(place):
    """Yield very many requests whose answers are not read."""
    request = sized_head(place, 4) + b"body"
    for _ in range(REQUESTS_AHEAD // 100):
        yield request * 100


def slow_head(place):
    """Yield a head byte by byte, up to its last one."""
    head = place.head(b"A: " + b"b" * 400, b"")
    yield from split(head[:-1], 1)


def slow_body(place):
    """Yield half of a body at once and the rest byte by byte, up to its last one."""
    size = SMALL_BODY_BYTES // 10
    yield sized_head(place, size) + bytes(size // 2)
    yield from split(bytes(size // 2 - 1), 1)


def half_head(place):
    """Yield the first half of a head."""
    yield place.head(b"A: b")


def nothing(place):
    """Yield nothing."""
    return ()


def unread_answer(place):
    """Yield a request whose answer is not read."""
    yield place.head(b"Content-Length: 0", b"")


def unread_fields(place):
    """Yield a request of very many short headers, whose answer is not read."""
    yield place.head() + HEAD_FIELDS + b"Content-Length: 0\r\n\r\n"


def mixed(*kinds):
    """Return pieces of one of several kinds, in turn."""
    turns = itertools.cycle(kinds)
    return lambda place: next(turns)(place)
