"""HTTP/1.1 heads and framing, without I/O. What is read is parsed where it lies in the receive buffer; what
is written is a list of parts for one gathered write.
"""

import re
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote_plus

import httptools

HEAD_MOST = 16 * 1024
BODY_MOST = 64 * 1024  # of what is kept whole
PASSED_MOST = 32 * 1024 * 1024  # of what passes through
FRAMING_MOST = HEAD_MOST + 4 * BODY_MOST  # of a body in small chunks, and 16 more for each byte of it
# Of one connection alone, never passed on (RFC 9110, 7.6.1); the rest we write ourselves.
OURS = {
    b"connection",
    b"keep-alive",
    b"proxy-connection",
    b"te",
    b"trailer",
    b"transfer-encoding",
    b"upgrade",
    b"host",
    b"content-length",
    b"expect",
    b"x-remaining",
}
PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
}

CHUNKED, LAST_CHUNK = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
REMAINING = re.compile(r"([0-9]{1,12}(?:\.[0-9]*)?)([mu])")
Headers = list[tuple[bytes, bytes]]


class BadMessage(Exception):
    """What came is refused; with the status that says so."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass
class Message:
    """A request or an answer, as far as it was read."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    keep: bool = True  # the connection may be used again
    began: float = 0.0  # when its first byte was read
    ended: float = 0.0  # and its last
    length: int | None = 0  # of the body; None: told by chunks, or by the connection's end
    old: bool = False  # HTTP/1.0
    # Where the body is too long to be kept and passes through: what has come and was not taken; its end.
    long: bool = False
    parts: list[bytes] = field(default_factory=list)
    whole: bool = False
    source: Any = None  # what gives the rest of it

    def header(self, name: bytes) -> bytes | None:
        for key, value in self.headers:
            if len(key) == len(name) and key.lower() == name:
                return value.strip()
        return None

    def text(self, name: bytes) -> str:
        return (self.header(name) or b"").decode("latin-1")

    def piece(self) -> bytes:
        """What has come of a long body since the last time."""
        piece, self.parts = b"".join(self.parts), []
        return piece

    def passed_on(self) -> list[bytes]:
        """The head's lines that the other side gets, in parts."""
        named = {
            part.strip().lower()
            for key, value in self.headers
            if key.lower() == b"connection"
            for part in value.split(b",")
        }
        parts: list[bytes] = []
        for key, value in self.headers:
            if (low := key.lower()) not in OURS and low not in named:
                parts += (key, b": ", value, b"\r\n")
        return parts


class Reader:
    """Feeds a parser with what was received; whole messages gather in `ready`. The bounds are those of the
    sidecar in service; a reader for others sets its own."""

    head_most, kept_most, body_most = HEAD_MOST, BODY_MOST, PASSED_MOST

    def __init__(self) -> None:
        self.parser = self.new_parser()
        self.ready: deque[Message] = deque()
        self.message, self.busy = Message(), False  # what is being read, if anything is
        self.head, self.fed, self.now, self.in_body = 0, 0, 0.0, False  # fed: since the last whole message
        self.size = 0  # of the body so far

    def new_parser(self):
        raise NotImplementedError

    def feed(self, data: memoryview | bytes, now: float) -> None:
        self.now = now
        self.fed += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, BadMessage):
                raise error.__context__ from None
            raise
        except httptools.HttpParserUpgrade:
            raise BadMessage(400, "no upgrade is offered") from None
        except httptools.HttpParserError as error:
            raise BadMessage(400, str(error)) from None
        # No callback tells of an endless line, of what comes between messages, or of a chunk's extensions.
        if self.fed > (FRAMING_MOST + 17 * self.size if self.in_body else self.head_most):
            raise BadMessage(413 if self.in_body else 431, f"{self.fed} bytes and no end")

    def count(self, size: int) -> None:
        self.head += size
        if self.head > self.head_most:
            raise BadMessage(431, f"a head of more than {self.head_most} bytes")

    def on_message_begin(self) -> None:
        self.message, self.busy, self.in_body, self.head = Message(began=self.now), True, False, 0
        self.size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:
            return  # a trailer: not to be taken for a header
        self.head += len(name) + len(value) + 4
        if self.head > self.head_most:
            self.count(0)
        self.message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        self.in_body, length = True, self.framing()
        self.message.old = self.parser.get_http_version() == "1.0"
        if self.message.old and length is None and self.chunked():
            raise BadMessage(400, "HTTP/1.0 knows no chunks")
        self.message.length = length
        if (length or 0) > self.body_most:
            raise BadMessage(413, f"a body of more than {self.body_most} bytes")
        if (length or 0) > self.kept_most:
            self.pass_on()

    def chunked(self) -> bool:
        return self.message.header(b"transfer-encoding") is not None

    def pass_on(self) -> None:
        """It is too long to be kept: it is ready from now on, and its body passes through."""
        message = self.message
        message.long, message.parts = True, [bytes(message.body)] if message.body else []
        message.body = b""
        self.ready.append(message)

    def framing(self) -> int | None:
        """The length that the head tells, None where the body comes in chunks. Guards against a body that two
        readers would see end in two places, with another request hidden in it: two lengths, or one beside
        chunks, in any order or spelling, are refused, as is what is not plainly a length or chunked."""
        told = [
            (name.lower().replace(b"_", b"-"), value.strip())
            for name, value in self.message.headers
            if len(name) in (14, 17)
        ]
        told = [each for each in told if each[0] in (b"content-length", b"transfer-encoding")]
        if len(told) > 1:
            raise BadMessage(400, "more than one Content-Length or Transfer-Encoding")
        for name, value in told:
            chunked = name == b"transfer-encoding"
            if not (value.lower() == b"chunked" if chunked else value.isdigit() and len(value) < 20):
                raise BadMessage(400, f"{name.decode()} is not to be understood")
            return None if chunked else int(value)
        return 0

    def on_body(self, part: bytes) -> None:
        message = self.message
        self.size += len(part)
        if self.size > self.body_most:
            raise BadMessage(413, f"a body of more than {self.body_most} bytes")
        if not message.long and self.size > self.kept_most:
            self.pass_on()
        if message.long:
            message.parts.append(part)
        elif message.body:
            message.body = bytearray(message.body) if isinstance(message.body, bytes) else message.body
            message.body += part
        else:
            message.body = part

    def on_message_complete(self) -> None:
        self.message.keep, self.busy = self.parser.should_keep_alive(), False
        self.message.ended, self.in_body, self.fed = self.now, False, 0
        if self.message.long:
            self.message.whole = True
        else:
            self.ready.append(self.message)


class RequestReader(Reader):
    def new_parser(self):
        return httptools.HttpRequestParser(self)

    def on_url(self, part: bytes) -> None:
        self.count(len(part))
        self.message.target += part  # in pieces where the line was

    def on_headers_complete(self) -> None:
        self.message.method = self.parser.get_method()
        super().on_headers_complete()

    @property
    def wants_continue(self) -> bool:
        """True while a client waits for leave to send its body."""
        return (
            self.busy
            and self.in_body
            and not self.size
            and (self.message.header(b"expect") or b"").lower() == b"100-continue"
        )


class AnswerReader(Reader):
    def new_parser(self):
        return httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        self.message.status = self.parser.get_status_code()
        super().on_headers_complete()

    def framing(self) -> int | None:
        length = super().framing()
        bare = self.message.status < 200 or self.message.status in (204, 304)
        if length == 0 and not bare and self.message.header(b"content-length") is None:
            return None  # the end of the connection is its end
        return 0 if bare else length

    def end(self) -> bool:
        """The connection has ended: True if that is the end of an answer, which tells no other."""
        message = self.message
        if (
            not (self.busy and self.in_body and message.length is None and message.status >= 200)
            or self.chunked()
        ):
            return False
        self.on_message_complete()
        message.keep = False
        return True

    def on_message_complete(self) -> None:
        if self.message.status < 200:  # 100 Continue and the like: the answer is still to come
            self.busy = self.in_body = False  # and counts with them: they must not go on for ever
        else:
            super().on_message_complete()


def remaining(text: str) -> float:
    """Seconds, from a number and a unit: `480m` milliseconds, `480000u` microseconds."""
    found = REMAINING.fullmatch(text)
    if found is None:
        raise BadMessage(400, "X-Remaining must be a number and a unit, m or u")
    return float(found[1]) / (1e3 if found[2] == "m" else 1e6)


def parameter(target: bytes, name: str) -> str:
    """A parameter of the query; "" where there is none."""
    query = target.partition(b"?")[2].decode("latin-1")
    for pair in query.split("&"):
        key, _, value = pair.partition("=")
        if unquote_plus(key) == name:
            return unquote_plus(value)
    return ""


def first_part(target: bytes) -> str:
    """The first part of the path."""
    return target.partition(b"?")[0].lstrip(b"/").partition(b"/")[0].decode("latin-1")


def request(message: Message, host: str, time_left: float) -> list[bytes]:
    """A client's request as a server gets it, for a gathered write."""
    head = [
        message.method,
        b" ",
        message.target,
        b" HTTP/1.1\r\nHost: ",
        host.encode(),
        b"\r\n",
        *message.passed_on(),
        b"X-Remaining: %du\r\n" % max(0, int(time_left * 1e6)),
    ]
    if message.long:
        return [*head, framed_by(message), b"\r\n"]
    if message.body or message.method not in (b"GET", b"HEAD"):
        head.append(b"Content-Length: %d\r\n" % len(message.body))
    return [*head, b"\r\n", message.body] if message.body else [*head, b"\r\n"]


def framed_by(message: Message) -> bytes:
    return CHUNKED if message.length is None else b"Content-Length: %d\r\n" % message.length


def framed(piece: bytes, chunked: bool) -> list[bytes]:
    """A piece of a body that passes, as it is written; nothing where there is none."""
    if not piece:
        return []
    return [b"%x\r\n" % len(piece), piece, b"\r\n"] if chunked else [piece]


def answer(
    status: int,
    body: bytes | bytearray = b"",
    lines: Sequence[bytes] = (),
    keep: bool = True,
    old: bool = False,
    framing: bytes | None = None,
) -> list[bytes]:
    """An answer to a client, for a gathered write; `old` where it speaks HTTP/1.0, `framing` where the body
    follows."""
    last = b"Connection: close\r\n" if not keep else b"Connection: keep-alive\r\n" if old else b""
    framing = b"Content-Length: %d\r\n" % len(body) if framing is None else framing
    parts = [b"HTTP/1.1 %d %s\r\n" % (status, PHRASES.get(status, b"Status")), *lines, framing, last, b"\r\n"]
    return [*parts, body] if body else parts


def query(target: str, host: str) -> list[bytes]:
    return [f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()]
