"""The server side of HTTP connections, for clients, other sidecars, servers and the operator.

Requests are read as they come and answered in their order, within limits of size, number and time. An
`HttpServer` handles the requests of one listener; a `ServerConnection` is one connection to it.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Sequence

from foxspread.mesh.dataplane.body_memory import BodyMemory
from foxspread.mesh.dataplane.counted_reader import CountedReader
from foxspread.net import http

MAX_PIPELINED_REQUESTS = 32  # of one connection that were read and are not answered
MAX_BUFFERED_BYTES = 256 * 1024  # of responses not taken by the peer; beyond this no more requests are read
WRITE_STALL_TIMEOUT_S = 8.0  # for which a peer may take nothing
LINGER_S = 1.0  # after the last byte to the peer, for it to close, or to send the rest of what it had begun
MAX_LINGER_S = 8.0  # in total, for a peer that goes on sending
MAX_CONNECTIONS = 200  # to one server
DEFAULT_BODY_MEMORY_BYTES = 64 * 1024 * 1024  # where the memory of the machine is not given
SUSPENDED_AFTER_S = 1.5  # without a sweep: this process was suspended
RESUME_S = 0.05  # after a suspension, in which the data that arrived during it is read
RETRY_AFTER_S = 0.2  # after which body memory may be free again
MIN_BODY_BYTES_PER_S = 32_000  # of a peer that sends a body
REASON_PHRASES = {
    **http.REASON_PHRASES,
    202: b"Accepted",
    307: b"Temporary Redirect",
    409: b"Conflict",
    410: b"Gone",
    421: b"Misdirected Request",
    422: b"Unprocessable Content",
    429: b"Too Many Requests",
    501: b"Not Implemented",
    504: b"Gateway Timeout",
}


class HttpLimits:
    """Sizes that a peer may send and times that it may take.

    An instance is changed in place; a change holds for requests that begin after it.
    """

    def __init__(
        self,
        head_bytes: int = 16 * 1024,
        body_bytes: int = 8 * 1024 * 1024,
        head_s: float = 5.0,
        idle_s: float = 60.0,
    ) -> None:
        self.head_bytes, self.body_bytes, self.head_s, self.idle_s = head_bytes, body_bytes, head_s, idle_s


class RequestReader(CountedReader, http.RequestReader):
    """Reads requests within the server's limits, and keeps bodies whole."""

    def __init__(self, limits: HttpLimits, memory: BodyMemory) -> None:
        super().__init__(memory)
        self.limits = limits
        self._apply_limits()

    def _apply_limits(self) -> None:
        self.max_head_bytes = max(1024, self.limits.head_bytes)
        self.max_body_bytes = self.max_buffered_bytes = self.limits.body_bytes

    def on_message_begin(self) -> None:
        """Begins a request, with the limits as they are now."""
        super().on_message_begin()
        self._apply_limits()

    def discard(self) -> None:
        """Drops what was read of a body that is rejected."""
        if self.in_message:
            self.release(min(self.size, self.held_bytes))
            self.message, self.in_message, self.size = http.Message(), False, 0

    def on_message_complete(self) -> None:
        """Ends a request; rejects one that asks for an upgrade."""
        if self.parser.should_upgrade():  # the following bytes would be in another protocol
            raise http.BadMessage(400, "no upgrade is offered")
        super().on_message_complete()


class Exchange:
    """One request and the response to it, once there is one."""

    __slots__ = ("connection", "request", "response_parts", "close", "on_disconnect", "body_size", "deadline")

    def __init__(self, connection: "ServerConnection", request: http.Message) -> None:
        self.connection, self.request = connection, request
        self.body_size = 0  # of the response, until it is written
        self.deadline = 0.0  # time by which the response is given, where the handler knows it
        self.response_parts: list[bytes] | None = None
        self.close = not request.keep_alive
        self.on_disconnect: Callable[[], None] | None = None  # called if the peer leaves before the response

    @property
    def is_open(self) -> bool:
        """True while a response can still be given."""
        return self.response_parts is None and self.connection.transport is not None

    def latest_response_at(self) -> float:
        """Returns the latest deadline of this request and of those before it, which are answered first."""
        return max((each.deadline for each in self.connection.pending), default=self.deadline)

    def respond(
        self, status: int, body: bytes = b"", lines: Sequence[bytes] = (), close: bool = False
    ) -> None:
        """Gives the response, once; `lines` are header lines, `close` ends the connection with it."""
        if self.response_parts is not None or self.connection.transport is None:
            return
        pending = self.connection.pending
        last = pending and pending[-1] is self  # requests that were read behind it are answered too
        self.close = self.close or close or self.connection.retiring and last
        connection_line = (
            b"Connection: close\r\n"
            if self.close
            else b"Connection: keep-alive\r\n"
            if self.request.http_1_0
            else b""
        )
        framing = b"" if status in (204, 304) or status < 200 else b"Content-Length: %d\r\n" % len(body)
        self.response_parts = [
            b"HTTP/1.1 %d %s\r\n" % (status, REASON_PHRASES.get(status, b"Status")),
            *lines,
            framing,
            connection_line,
            b"\r\n",
            b"" if self.request.method == b"HEAD" else body,
        ]
        self.on_disconnect, self.body_size = None, len(body)
        self.connection.server.body_memory.adjust(self.body_size)
        self.connection.flush()


class HttpServer:
    """Handles the requests of all `connections` of one listener."""

    def __init__(
        self,
        clock: Callable[[], float],
        limits: HttpLimits,
        body_memory: BodyMemory | None = None,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.clock, self.limits, self.max_connections = clock, limits, max_connections
        self.body_memory = body_memory if body_memory is not None else BodyMemory(DEFAULT_BODY_MEMORY_BYTES)
        self.connections: set[ServerConnection] = set()
        self.retired = False
        # Requests that were rejected before they were read whole, by status and reason.
        self.rejections: Counter[tuple[int, str]] = Counter()
        self.swept_at: float | None = None  # None at first and after a suspension
        self.suspended_since: float | None = None  # bytes that are read now may have arrived since then

    def handle(self, exchange: Exchange) -> None:
        """Begins to answer one request."""
        raise NotImplementedError

    def rejection_lines(self, request: http.Message, reason: str) -> list[bytes]:
        """Returns header lines for the response to a request that could not be read whole."""
        return []

    def waiting_time(self, request: http.Message, idempotent: bool = False) -> float:
        """Returns the seconds since a request began to arrive.

        A request that was read after a suspension of this process may have arrived at any time during it. If
        it is not idempotent, the longest time that is possible counts; else the time since it was read.
        """
        now = self.clock()
        if (
            self.suspended_since is None
            and self.swept_at is not None
            and now - self.swept_at > SUSPENDED_AFTER_S
        ):
            self.suspended_since, self.swept_at = self.swept_at, None
            asyncio.get_running_loop().call_later(RESUME_S, self._on_resumed)
        since = request.first_byte_at or now
        if not (idempotent or self.suspended_since is None):
            since = min(since, self.suspended_since)
        return now - since

    def _on_resumed(self) -> None:
        self.suspended_since = None

    def make_room(self) -> bool:
        """Returns whether one more connection is allowed; may close the one that has been idle longest."""
        if len(self.connections) < self.max_connections:
            return True
        idle = [connection for connection in self.connections if connection.is_idle]
        if not idle:
            return False
        min(idle, key=lambda connection: connection.active_at).transport.close()
        return True

    def sweep(self, now: float) -> None:
        """Ends connections whose peers exceed their time limits."""
        if self.suspended_since is None:
            self.waiting_time(http.Message())
            self.swept_at = now
        for connection in list(self.connections):
            connection.sweep(now)

    def retire(self) -> None:
        """Ends each connection with the response to the last request that was read, or to the next one."""
        self.retired = True
        for connection in list(self.connections):
            connection.retire()

    def close_idle(self) -> None:
        """Closes all connections without a request in progress."""
        for connection in list(self.connections):
            if connection.is_idle:
                connection.transport.close()


class ServerConnection(asyncio.Protocol):
    """One connection of a peer that sends requests."""

    def __init__(self, server: HttpServer) -> None:
        self.server = server
        self.reader = RequestReader(server.limits, server.body_memory)
        self.pending: deque[Exchange] = deque()
        self.transport: asyncio.Transport | None = None
        self.retiring, self.input_ignored, self.reading_paused = server.retired, False, False
        self.active_at = server.clock()  # when it became idle, or began to read the present request
        self.writing_paused = self.dispatching = False
        self.unsent_bytes, self.write_progress_at = 0, self.active_at
        self.continue_sent_for: http.Message | None = None  # the request whose body was asked for
        # When the last response was written, or bytes came after that.
        self.write_ended_at: float | None = None
        self.linger_until = 0.0
        self.counted_unsent = 0  # unsent bytes that count in the body memory

    @property
    def is_idle(self) -> bool:
        """True while no request is being read, answered or rejected."""
        is_up = self.transport is not None and not self.transport.is_closing()
        return is_up and not self.pending and not self.reader.in_message and not self.input_ignored

    @property
    def has_unfinished_responses(self) -> bool:
        """True while a request is read or not answered, or a response not taken by the peer."""
        if self.transport is None:
            return bool(self.pending)
        return bool(self.pending) or self.reader.in_message or self.transport.get_write_buffer_size() > 0

    @property
    def is_lingering(self) -> bool:
        """True from the end of the last response until the peer has closed the connection as well."""
        return self.write_ended_at is not None and self.transport is not None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection, or resets it if there are too many."""
        self.transport = transport
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)
        if not self.server.make_room():
            self.input_ignored = True
            self.server.rejections[0, "no room for a connection"] += 1
            return transport.abort()  # nothing of it was read: the peer may send any request again
        self.server.connections.add(self)

    def connection_lost(self, error: Exception | None) -> None:
        """Releases all memory, and tells the handlers of unanswered requests."""
        self.transport = None
        self.server.connections.discard(self)
        self.reader.close()
        self.continue_sent_for = None
        self._count_unsent()
        pending, self.pending = self.pending, deque()
        for exchange in pending:
            self.server.body_memory.adjust(-exchange.body_size)
        for exchange in pending:
            if exchange.on_disconnect is not None:
                exchange.on_disconnect()

    def eof_received(self) -> bool:
        """Has the transport closed: a peer that has closed its side wants no response."""
        return False

    def data_received(self, data: bytes) -> None:
        """Reads requests and has them handled."""
        if self.input_ignored or self.transport is None:
            if self.write_ended_at is not None:  # closing while the peer sends would reset: response lost
                self.write_ended_at = max(self.write_ended_at, min(self.server.clock(), self.linger_until))
            return
        now, reader = self.server.clock(), self.reader
        if not reader.in_message:
            self.active_at = now
        try:
            reader.feed(data, now)
        except http.BadMessage as error:
            self._dispatch_ready(now)
            return self._reject(error.status, str(error))
        self._dispatch_ready(now)
        self._send_continue()

    def _send_continue(self) -> None:
        """Sends `100 Continue` once for a request that waits for it, after the responses before it."""
        message = self.reader.message
        if message is self.continue_sent_for:
            return
        self.continue_sent_for = None
        if not self.input_ignored and not self.pending and self.reader.expects_continue:
            self.continue_sent_for = message
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _dispatch_ready(self, now: float) -> None:
        if self.dispatching:  # called by a response that was given at once: the loop below goes on
            return
        self.dispatching, ready = True, self.reader.ready
        try:
            while ready and not self.input_ignored and self.transport is not None:
                if len(self.pending) >= MAX_PIPELINED_REQUESTS:
                    break
                exchange = Exchange(self, ready.popleft())
                self.pending.append(exchange)
                self.active_at = now
                self.server.handle(exchange)
                if exchange.close:  # requests behind it count as not read
                    self.input_ignored = True
        finally:
            self.dispatching = False
        self._throttle()

    def _reject(self, status: int, reason: str) -> None:
        if self.write_ended_at is not None:
            return
        self.input_ignored = True
        exchange = Exchange(self, http.Message())
        self.pending.append(exchange)
        lines = self.server.rejection_lines(self.reader.message, reason)
        self.server.rejections[status, reason] += 1
        self.reader.discard()
        if status == 503:
            lines.append(b"Retry-After: %.3f\r\n" % RETRY_AFTER_S)
        exchange.respond(status, reason.encode() + b"\n", lines, close=True)

    def _count_unsent(self) -> None:
        unsent = self.transport.get_write_buffer_size() if self.transport is not None else 0
        self.server.body_memory.adjust(unsent - self.counted_unsent)
        self.counted_unsent = unsent

    def flush(self) -> None:
        """Writes the responses that are due, in the order of their requests, in one write."""
        pending, parts, close = self.pending, [], False
        while pending and pending[0].response_parts is not None and not close:
            exchange = pending.popleft()
            parts += exchange.response_parts
            close = exchange.close
            self._release_bodies(exchange)
        if not parts or self.transport is None:
            return
        self.transport.write(b"".join(parts))
        self._count_unsent()
        self.active_at = self.server.clock()
        if close:
            for exchange in pending:  # sent behind the last response: for the peer they were not read
                self._release_bodies(exchange)
                if exchange.on_disconnect is not None:
                    exchange.on_disconnect()
            pending.clear()
            self._end_writing()
        else:
            self._dispatch_ready(self.active_at)
            self._send_continue()

    def _release_bodies(self, exchange: Exchange) -> None:
        """Counts the bodies as held no more; what is unsent in the transport is counted apart."""
        self.reader.release(len(exchange.request.body))
        self.server.body_memory.adjust(-exchange.body_size)
        exchange.body_size = 0

    def retire(self) -> None:
        """Has the last response announce the end of the connection."""
        self.retiring = True
        if self.pending and self.pending[-1].response_parts is None:
            self.input_ignored = True  # no request is read behind that one

    def _end_writing(self) -> None:
        """Closes this side only, and discards what still arrives.

        Closing both sides with bytes unread resets the connection, and the response may be lost.
        """
        self.input_ignored, self.write_ended_at = True, self.server.clock()
        self.linger_until = self.write_ended_at + MAX_LINGER_S - LINGER_S
        if not self.transport.is_closing():
            self.transport.write_eof()
        if self.reading_paused:
            self.reading_paused = False
            self.transport.resume_reading()

    def _throttle(self) -> None:
        if self.transport is None or self.transport.is_closing() or self.write_ended_at is not None:
            return
        full = len(self.pending) >= MAX_PIPELINED_REQUESTS or self.writing_paused
        if full != self.reading_paused:
            self.reading_paused = full
            (self.transport.pause_reading if full else self.transport.resume_reading)()

    def pause_writing(self) -> None:
        """Stops reading while the peer does not take its responses."""
        self.writing_paused = True
        self._throttle()

    def resume_writing(self) -> None:
        """Reads on once the peer has taken most of its responses."""
        self.writing_paused = False
        self._count_unsent()
        self._throttle()

    def sweep(self, now: float) -> None:
        """Ends the connection of a peer that takes no data, sends no whole request in time, or is idle."""
        if self.transport is None:
            return
        limits, reader = self.server.limits, self.reader
        self._count_unsent()
        unsent = self.transport.get_write_buffer_size()
        if not unsent or unsent != self.unsent_bytes:
            self.unsent_bytes, self.write_progress_at = unsent, now
        if now - self.write_progress_at > WRITE_STALL_TIMEOUT_S:
            self.transport.abort()
        elif self.write_ended_at is not None:
            if unsent:
                self.write_ended_at = now
            elif now - self.write_ended_at > LINGER_S:
                self.transport.close()
        elif self.pending or self.input_ignored:
            return
        elif reader.in_message:
            max_s = limits.head_s + (
                reader.size / MIN_BODY_BYTES_PER_S + limits.head_s if reader.in_body else 0.0
            )
            if now - self.active_at > max_s:
                self._reject(408, "no whole request in time")
        elif now - self.active_at > limits.idle_s:
            self.transport.close()
