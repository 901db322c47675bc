"""HTTP/1.1 parsing and formatting, without I/O. Messages are parsed in place in the receive buffer; what is
to be sent is returned as a list of parts for one gathered write.
"""

import re
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import unquote_plus

import httptools

MAX_HEAD_BYTES = 16 * 1024
MAX_BUFFERED_BODY_BYTES = 64 * 1024  # longer bodies are streamed
MAX_STREAMED_BODY_BYTES = 32 * 1024 * 1024
# Raw bytes of a body that is sent in small chunks; 16 more are allowed for each byte of content.
MAX_FRAMING_BYTES = MAX_HEAD_BYTES + 4 * MAX_BUFFERED_BODY_BYTES
# Never forwarded: headers of a single connection (RFC 9110, 7.6.1), and those that the sidecar writes itself.
NOT_FORWARDED_HEADERS = {
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
REASON_PHRASES = {
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

CHUNKED_HEADER, LAST_CHUNK = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
REMAINING_PATTERN = re.compile(r"([0-9]{1,12}(?:\.[0-9]*)?)([mu])")
Headers = list[tuple[bytes, bytes]]


class BadMessage(Exception):
    """A message that is refused, with the status to answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass
class Message:
    """A request or a response, as far as it was read."""

    method: bytes = b""
    target: bytes = b""
    status: int = 0
    headers: Headers = field(default_factory=list)
    body: bytes | bytearray = b""
    keep_alive: bool = True  # the connection may be used again
    first_byte_at: float = 0.0  # when the first byte was read
    last_byte_at: float = 0.0  # when the last byte was read
    length: int | None = 0  # of the body; None: delimited by chunks or by the end of the connection
    http_1_0: bool = False
    # For a body that is too long to be buffered:
    streamed: bool = False
    pieces: list[bytes] = field(default_factory=list)  # received and not taken yet
    complete: bool = False  # the last byte was received
    body_stream: Any = None  # source of the rest of the body

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of a header; `name` is in lower case."""
        for key, value in self.headers:
            if len(key) == len(name) and key.lower() == name:
                return value.strip()
        return None

    def text(self, name: bytes) -> str:
        """Returns the value of a header as text; "" if there is none."""
        return (self.header(name) or b"").decode("latin-1")

    def take_pieces(self) -> bytes:
        """Returns what was received of a streamed body since the last call."""
        data, self.pieces = b"".join(self.pieces), []
        return data

    def forwarded_headers(self) -> list[bytes]:
        """Returns the header lines to forward, as parts."""
        connection_options = {
            part.strip().lower()
            for key, value in self.headers
            if key.lower() == b"connection"
            for part in value.split(b",")
        }
        parts: list[bytes] = []
        for key, value in self.headers:
            if (lower := key.lower()) not in NOT_FORWARDED_HEADERS and lower not in connection_options:
                parts += (key, b": ", value, b"\r\n")
        return parts


class MessageReader:
    """Feeds received bytes to a parser and collects whole messages in `ready`; a streamed message is there
    from its head on. The limits are those of the sidecar; subclasses may set others."""

    max_head_bytes = MAX_HEAD_BYTES
    max_buffered_bytes = MAX_BUFFERED_BODY_BYTES
    max_body_bytes = MAX_STREAMED_BODY_BYTES

    def __init__(self) -> None:
        self.parser = self.create_parser()
        self.ready: deque[Message] = deque()
        self.message, self.in_message = Message(), False  # what is being read, if anything is
        self.head_bytes, self.now, self.in_body = 0, 0.0, False
        self.bytes_since_message = 0  # received since the end of the last message
        self.size = 0  # of the body so far

    def create_parser(self):
        """Returns the parser, which calls the `on_...` methods."""
        raise NotImplementedError

    def feed(self, data: memoryview | bytes, now: float) -> None:
        """Parses what was received at `now`. Raises BadMessage."""
        self.now = now
        self.bytes_since_message += len(data)
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
        # The parser makes no callback for an endless line, bytes between messages or extensions of a chunk.
        if self.bytes_since_message > (
            MAX_FRAMING_BYTES + 17 * self.size if self.in_body else self.max_head_bytes
        ):
            raise BadMessage(413 if self.in_body else 431, f"{self.bytes_since_message} bytes and no end")

    def add_to_head(self, size: int) -> None:
        """Counts bytes of the head. Raises BadMessage above the limit."""
        self.head_bytes += size
        if self.head_bytes > self.max_head_bytes:
            raise BadMessage(431, f"a head of more than {self.max_head_bytes} bytes")

    def on_message_begin(self) -> None:
        """The first byte of a message was parsed."""
        self.message, self.in_message, self.in_body = Message(first_byte_at=self.now), True, False
        self.head_bytes = 0
        self.size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header was parsed."""
        if self.in_body:
            return  # a trailer, which must not be taken for a header
        self.head_bytes += len(name) + len(value) + 4
        if self.head_bytes > self.max_head_bytes:
            self.add_to_head(0)
        self.message.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head was parsed."""
        self.in_body, length = True, self.body_length()
        self.message.http_1_0 = self.parser.get_http_version() == "1.0"
        if self.message.http_1_0 and length is None and self.is_chunked():
            raise BadMessage(400, "HTTP/1.0 knows no chunks")
        self.message.length = length
        if (length or 0) > self.max_body_bytes:
            raise BadMessage(413, f"a body of more than {self.max_body_bytes} bytes")
        if (length or 0) > self.max_buffered_bytes:
            self.start_streaming()

    def is_chunked(self) -> bool:
        """Returns whether the body is sent in chunks."""
        return self.message.header(b"transfer-encoding") is not None

    def start_streaming(self) -> None:
        """The body is too long to be buffered: the message is ready now, and its body is streamed."""
        message = self.message
        message.streamed, message.pieces = True, [bytes(message.body)] if message.body else []
        message.body = b""
        self.ready.append(message)

    def body_length(self) -> int | None:
        """Returns the length that the head declares; None for a chunked body.

        Refuses two lengths, a length beside chunks, in any order or spelling, and any value that is not
        plainly a length or `chunked`. Two readers could see such a body end in different places, which hides
        another request in it (request smuggling)."""
        found = [
            (name.lower().replace(b"_", b"-"), value.strip())
            for name, value in self.message.headers
            if len(name) in (14, 17)
        ]
        found = [header for header in found if header[0] in (b"content-length", b"transfer-encoding")]
        if len(found) > 1:
            raise BadMessage(400, "more than one Content-Length or Transfer-Encoding")
        for name, value in found:
            chunked = name == b"transfer-encoding"
            if not (value.lower() == b"chunked" if chunked else value.isdigit() and len(value) < 20):
                raise BadMessage(400, f"{name.decode()} is not to be understood")
            return None if chunked else int(value)
        return 0

    def on_body(self, part: bytes) -> None:
        """A part of the body was parsed."""
        message = self.message
        self.size += len(part)
        if self.size > self.max_body_bytes:
            raise BadMessage(413, f"a body of more than {self.max_body_bytes} bytes")
        if not message.streamed and self.size > self.max_buffered_bytes:
            self.start_streaming()
        if message.streamed:
            message.pieces.append(part)
        elif message.body:
            message.body = bytearray(message.body) if isinstance(message.body, bytes) else message.body
            message.body += part
        else:
            message.body = part

    def on_message_complete(self) -> None:
        """The last byte of a message was parsed."""
        self.message.keep_alive, self.in_message = self.parser.should_keep_alive(), False
        self.message.last_byte_at, self.in_body, self.bytes_since_message = self.now, False, 0
        if self.message.streamed:
            self.message.complete = True
        else:
            self.ready.append(self.message)


class RequestReader(MessageReader):
    """Reads requests."""

    def create_parser(self):
        """Returns the parser, which calls the `on_...` methods."""
        return httptools.HttpRequestParser(self)

    def on_url(self, part: bytes) -> None:
        """A part of the request target was parsed."""
        self.add_to_head(len(part))
        self.message.target += part  # comes in pieces if the request line did

    def on_headers_complete(self) -> None:
        """The head was parsed."""
        self.message.method = self.parser.get_method()
        super().on_headers_complete()

    @property
    def expects_continue(self) -> bool:
        """True while a client waits for `100 Continue` before it sends its body."""
        return (
            self.in_message
            and self.in_body
            and not self.size
            and (self.message.header(b"expect") or b"").lower() == b"100-continue"
        )


class ResponseReader(MessageReader):
    """Reads responses."""

    def create_parser(self):
        """Returns the parser, which calls the `on_...` methods."""
        return httptools.HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """The head was parsed."""
        self.message.status = self.parser.get_status_code()
        super().on_headers_complete()

    def body_length(self) -> int | None:
        """Returns the declared length; None for chunks or a body that the end of the connection delimits."""
        length = super().body_length()
        bodyless = self.message.status < 200 or self.message.status in (204, 304)
        if length == 0 and not bodyless and self.message.header(b"content-length") is None:
            return None  # delimited by the end of the connection
        return 0 if bodyless else length

    def connection_ended(self) -> bool:
        """Called at the end of the connection. Returns True if that is the end of a response which declares
        no other."""
        message = self.message
        if (
            not (self.in_message and self.in_body and message.length is None and message.status >= 200)
            or self.is_chunked()
        ):
            return False
        self.on_message_complete()
        message.keep_alive = False
        return True

    def on_message_complete(self) -> None:
        """The last byte of a message was parsed."""
        if (
            self.message.status < 200
        ):  # an interim response, such as 100 Continue: the final one is still to come
            # It counts towards the final one's limit: interim responses must not go on without end.
            self.in_message = self.in_body = False
        else:
            super().on_message_complete()


def parse_remaining(text: str) -> float:
    """Returns seconds from a number and a unit: `480m` is milliseconds, `480000u` microseconds."""
    found = REMAINING_PATTERN.fullmatch(text)
    if found is None:
        raise BadMessage(400, "X-Remaining must be a number and a unit, m or u")
    return float(found[1]) / (1e3 if found[2] == "m" else 1e6)


def query_parameter(target: bytes, name: str) -> str:
    """Returns a parameter of the query; "" if there is none."""
    query = target.partition(b"?")[2].decode("latin-1")
    for pair in query.split("&"):
        key, _, value = pair.partition("=")
        if unquote_plus(key) == name:
            return unquote_plus(value)
    return ""


def first_path_segment(target: bytes) -> str:
    """Returns the first segment of the path."""
    return target.partition(b"?")[0].lstrip(b"/").partition(b"/")[0].decode("latin-1")


def request(message: Message, host: str, time_left: float) -> list[bytes]:
    """Returns a client's request in the form that a server gets."""
    head = [
        message.method,
        b" ",
        message.target,
        b" HTTP/1.1\r\nHost: ",
        host.encode(),
        b"\r\n",
        *message.forwarded_headers(),
        b"X-Remaining: %du\r\n" % max(0, int(time_left * 1e6)),
    ]
    if message.streamed:
        return [*head, framing_header(message), b"\r\n"]
    if message.body or message.method not in (b"GET", b"HEAD"):
        head.append(b"Content-Length: %d\r\n" % len(message.body))
    return [*head, b"\r\n", message.body] if message.body else [*head, b"\r\n"]


def framing_header(message: Message) -> bytes:
    """Returns the header line that says where a streamed body ends."""
    return CHUNKED_HEADER if message.length is None else b"Content-Length: %d\r\n" % message.length


def framed_piece(piece: bytes, chunked: bool) -> list[bytes]:
    """Returns a piece of a streamed body as it is sent; no parts for an empty piece."""
    if not piece:
        return []
    return [b"%x\r\n" % len(piece), piece, b"\r\n"] if chunked else [piece]


def response(
    status: int,
    body: bytes | bytearray = b"",
    lines: Sequence[bytes] = (),
    keep_alive: bool = True,
    http_1_0: bool = False,
    framing: bytes | None = None,
) -> list[bytes]:
    """Returns a response to a client. `lines`: further header lines; `http_1_0`: the client speaks HTTP/1.0;
    `framing`: the framing header, if the body is streamed after the head."""
    connection = (
        b"Connection: close\r\n" if not keep_alive else b"Connection: keep-alive\r\n" if http_1_0 else b""
    )
    framing = b"Content-Length: %d\r\n" % len(body) if framing is None else framing
    status_line = b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status"))
    parts = [status_line, *lines, framing, connection, b"\r\n"]
    return [*parts, body] if body else parts


def get_request(target: str, host: str) -> list[bytes]:
    """Returns a GET request of the sidecar's own."""
    return [f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode()]
