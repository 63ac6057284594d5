"""Bytes that are no answer, by name, and a server that sends them.

Each entry has one fault; all else in it is as a sound server writes it.
"""

import asyncio
import contextlib

EVENT = b"id: 0\ndata: broken\n\n"  # a body that is also a stream
# Parts of the tables below: the fields by which a server names itself and its request, the
# body, its size, the body in chunks, without the last chunk, and beginnings of both.
FIELDS, BODY, SIZE, CHUNKS = b"{fields}", b"{body}", b"{size}", b"{chunks}"
OPEN_CHUNKS, CUT_CHUNK, CUT_BODY = b"{open chunks}", b"{cut chunk}", b"{cut body}"
STATUS = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: " + SIZE + b"\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
HEAD = STATUS + FIELDS + LENGTH + b"\r\n"


def _with_status(line):
    return line + b"\r\n" + FIELDS + LENGTH + b"\r\n" + BODY


def _with_line(line):
    return STATUS + FIELDS + line + b"\r\n" + LENGTH + b"\r\n" + BODY


def _with_framing(lines, body=BODY):
    return STATUS + FIELDS + lines + b"\r\n" + body


BROKEN_STATUSES = {
    f"status {code}": _with_status(b"HTTP/1.1 %b Strange" % code.encode())
    for code in ("000", "001", "099", "600", "700", "999", "20", "2000", "2x0", "-20")
} | {
    "status without a code": _with_status(b"HTTP/1.1 OK"),
    "status in other digits": _with_status(b"HTTP/1.1 2\xb2\xb9 OK"),
    "switch of protocols": _with_status(b"HTTP/1.1 101 Switching Protocols"),
    "control byte in the reason": _with_status(b"HTTP/1.1 200 O\x01K"),
    "another protocol": _with_status(b"HTTQ/1.1 200 OK"),
    "protocol in lower case": _with_status(b"http/1.1 200 OK"),
    "another version": _with_status(b"HTTP/2.0 200 OK"),
    "no version": _with_status(b"HTTP 200 OK"),
    "two blanks": _with_status(b"HTTP/1.1  200 OK"),
    "no answer": b"\x16\x03\x01 no answer\r\n\r\n",
}
BROKEN_FIELDS = {
    "blank in a name": _with_line(b"X-Re marks: a"),
    "blank before the colon": _with_line(b"X-Remarks : a"),
    "tab before the colon": _with_line(b"X-Remarks\t: a"),
    "control byte in a name": _with_line(b"X-Re\x01marks: a"),
    "NUL in a name": _with_line(b"X-Re\x00marks: a"),
    "DEL in a name": _with_line(b"X-Re\x7fmarks: a"),
    "byte beyond ASCII in a name": _with_line(b"X-Re\xe9marks: a"),
    "separator in a name": _with_line(b"X-Re(marks: a"),
    "blank in the name of the length": _with_framing(
        b"Content -Length: " + SIZE + b"\r\n"
    ),
    "control byte in the name of the length": _with_framing(
        b"Content-\x02Length: " + SIZE + b"\r\n"
    ),
    "no name": _with_line(b": a"),
    "line without a colon": _with_line(b"X-Remarks"),
    "folded line": _with_line(b"X-Remarks: a\r\n b"),
    "folded first line": STATUS + b" a: b\r\n" + FIELDS + LENGTH + b"\r\n" + BODY,
    "control byte in a value": _with_line(b"X-Remarks: a\x01b"),
    "NUL in a value": _with_line(b"X-Remarks: a\x00b"),
    "DEL in a value": _with_line(b"X-Remarks: a\x7fb"),
    "bare CR in a value": _with_line(b"X-Remarks: a\rb"),
    "bare LF behind a value": _with_line(b"X-Remarks: a\nX-More: b"),
}
BROKEN_FRAMING = {
    "two lengths": _with_framing(LENGTH + b"Content-Length: 3\r\n"),
    "list of lengths": _with_framing(b"Content-Length: " + SIZE + b", 3\r\n"),
    "negative length": _with_framing(b"Content-Length: -" + SIZE + b"\r\n"),
    "length with a sign": _with_framing(b"Content-Length: +" + SIZE + b"\r\n"),
    "length with an underscore": _with_framing(b"Content-Length: 2_0\r\n"),
    "length in hexadecimal": _with_framing(b"Content-Length: 0x14\r\n"),
    "length in other digits": _with_framing(b"Content-Length: 2\xb2\r\n"),
    "empty length": _with_framing(b"Content-Length: \r\n"),
    "length and chunks": _with_framing(LENGTH + CHUNKED, CHUNKS),
    "unknown coding": _with_framing(b"Transfer-Encoding: other\r\n"),
    "chunks twice": _with_framing(b"Transfer-Encoding: chunked, chunked\r\n", CHUNKS),
    "chunks in the first version": b"HTTP/1.0 200 OK\r\n"
    + FIELDS
    + CHUNKED
    + b"\r\n"
    + CHUNKS,
    "interim answer with a length": b"HTTP/1.1 102 Processing\r\nContent-Length: 3\r\n"
    + b"\r\nabc"
    + HEAD
    + BODY,
}
TWO_IN_ONE = {
    "second status line in the reason": b"HTTP/1.1 200 O" + HEAD + BODY,
    "second status line in a field": STATUS + b"X-Remarks: a" + HEAD + BODY,
}
# The server closes the connection behind these.
CUT_HEADS = {
    "cut in the protocol": b"HTT",
    "cut in the status": b"HTTP/1.1 20",
    "cut in the reason": b"HTTP/1.1 200 O",
    "cut behind the status line": STATUS,
    "cut in a name": STATUS + FIELDS + LENGTH + b"X-Rema",
    "cut in a value": STATUS + FIELDS + LENGTH + b"X-Remarks: a",
    "cut behind a line": STATUS + FIELDS + LENGTH,
    "cut behind the coding": STATUS + FIELDS + CHUNKED,
    "cut in the last line": STATUS + FIELDS + LENGTH + b"\r",
    "cut behind a status without a body": b"HTTP/1.1 204 No Content\r\n" + FIELDS,
    "cut behind a refusal": b"HTTP/1.1 429 Too Many Requests\r\n" + FIELDS + LENGTH,
    "cut behind an interim answer": b"HTTP/1.1 102 Processing\r\n\r\n"
    + STATUS
    + FIELDS,
    "cut behind the last status": b"HTTP/1.1 599 Strange\r\n" + FIELDS,
    "nothing": b"",
}
CUT_BODIES = {
    "cut in its body": HEAD + CUT_BODY,
    "cut in a chunk": _with_framing(CHUNKED, CUT_CHUNK),
    "cut before the last chunk": _with_framing(CHUNKED, OPEN_CHUNKS),
    "chunk of a negative length": _with_framing(CHUNKED, b"-" + CHUNKS),
}
BROKEN_HEADS = BROKEN_STATUSES | BROKEN_FIELDS | BROKEN_FRAMING | TWO_IN_ONE
BROKEN_ANSWERS = BROKEN_HEADS | CUT_HEADS | CUT_BODIES


def filled(data, fields=b"", body=EVENT):
    """Return an entry of the tables with its parts filled in."""
    chunk = b"%x\r\n%b\r\n" % (len(body), body)
    parts = {
        FIELDS: fields,
        SIZE: b"%d" % len(body),
        CHUNKS: chunk + b"0\r\n\r\n",
        OPEN_CHUNKS: chunk,
        CUT_CHUNK: chunk[:-5],
        CUT_BODY: body[:-5],
        BODY: body,
    }
    for name, part in parts.items():
        data = data.replace(name, part)
    return data


class BrokenServer:
    """Answers a request by an entry of the tables; ``closes`` the connection behind it.

    ``name_request(head)`` returns the fields that it puts into its answers, in bytes, by
    the head of the request.
    """

    def __init__(self, data, name_request=lambda head: b"", body=EVENT, closes=True):
        self.data = data
        self.requests = 0
        self._closes = closes
        self._body = body
        self._name_request = name_request

    async def start(self):
        """Serve; return ``host:port``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    def stop(self):
        """Stop serving."""
        self._server.close()

    def respond(self, head):
        """Return the bytes that answer a request with this head, and count it."""
        self.requests += 1
        return filled(self.data, self._name_request(head), self._body)

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(self.respond(head))
            if self._closes:
                writer.write_eof()
            # Closing with unread bytes would reset the connection.
            while await reader.read(65536):
                pass
        writer.close()
