"""The client side of HTTP connections: pools of connections to other sidecars and to the local server.

A connection carries one request at a time. A response must carry the id that is expected: the id of the
request from a server, the id of the attempt from another sidecar. A connection is not used again once it has
received bytes that belong to no request, or a response before its request was written.
"""

import asyncio
import itertools
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import httptools

from foxspread.mesh.dataplane import headers
from foxspread.mesh.dataplane.body_memory import BodyMemory
from foxspread.mesh.dataplane.counted_reader import CountedReader
from foxspread.mesh.settings import Address
from foxspread.net import http

CONNECT_TIMEOUT_S = 0.5
# Reasons for which there is no connection, as sidecars send and log them.
CONNECTION_REFUSED, CONNECT_TIMED_OUT, TOO_MANY_CONNECTIONS = "refused", "silent", "too many connections"
MAX_STRAY_RESPONSES = 2  # responses of a server to other requests, skipped while the expected one is awaited
MAX_CONNECTIONS_PER_ADDRESS = 400
MAX_CONNECTIONS = 800  # of one pool
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
MAX_HEAD_BYTES = 64 * 1024
# Fraction of the peer's keep-alive time for which an idle connection is used: the peer may close it any
# moment.
KEEP_ALIVE_FRACTION = 0.6
KEEP_ALIVE_TIMEOUT = re.compile(rb"\btimeout\s*=\s*\"?([0-9]{1,9})", re.IGNORECASE)  # in Keep-Alive: seconds


class ResponseReader(CountedReader, http.ResponseReader):
    """Reads responses whole, and counts their bodies in the body memory."""

    max_body_bytes = max_buffered_bytes = MAX_RESPONSE_BYTES
    max_head_bytes = MAX_HEAD_BYTES
    no_memory_status, no_memory_reason = 502, "no memory for its body"
    without_body = False  # the next response has no body, whatever its headers say

    def on_headers_complete(self) -> None:
        """Ends a response that has no body, as one to HEAD."""
        super().on_headers_complete()
        message = self.message
        if self.without_body and message.status >= 200 and message.length != 0:
            self.on_message_complete()
            message.keep_alive = False  # the parser waits for a body


@dataclass(slots=True)
class CallResult:
    """A whole response, or the reason why there is none.

    `written`: some of the request may have been read by the peer.
    """

    response: http.Message | None = None
    written: bool = False
    reason: str = ""


class UpstreamConnection(asyncio.Protocol):
    """One connection: idle, with a request in progress, or closed. Only idle ones are in the pool."""

    def __init__(self, pool: "ConnectionPool", address: Address) -> None:
        self.pool, self.address = pool, address
        self.reader = ResponseReader(pool.body_memory)
        self.transport: asyncio.Transport | None = None
        self.on_result: Callable[[CallResult], None] | None = None
        self.expected_id: bytes | None = b""
        self.not_reusable, self.stray_responses, self.is_counted = False, 0, True
        self.idle_since, self.max_idle_s = 0.0, pool.max_idle_s

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def send_request(
        self,
        parts: Sequence[bytes],
        expected_id: bytes | None,
        on_result: Callable[[CallResult], None],
    ) -> None:
        """Sends a request; `on_result` is called once, unless `cancel` comes first.

        The response must carry `expected_id`, or no id where that is b""; None accepts any response.
        """
        self.on_result, self.expected_id, self.stray_responses = on_result, expected_id, 0
        self.reader.without_body = parts[0].startswith(b"HEAD ")
        if self.transport is None or self.transport.is_closing():
            self.close()
            return self._finish(CallResult(None, False, CONNECTION_REFUSED))
        self.transport.write(b"".join(parts))

    def data_received(self, data: bytes) -> None:
        """Reads responses; closes the connection on bytes that belong to no request."""
        reader = self.reader
        if self.on_result is None:
            return self.close()
        try:
            reader.feed(data, 0.0)
        except (http.BadMessage, httptools.HttpParserError) as error:
            if not self._take_response():
                self._finish(CallResult(None, True, f"no answer: {error}"))
            return self.close()
        self._take_response()

    def _take_response(self) -> bool:
        """Finishes the request if its whole response has been read; returns whether it has."""
        ready = self.reader.ready
        while ready and self.on_result is not None:
            message = ready.popleft()
            if not self._is_expected(message):
                self.reader.release(len(message.body))
                self.not_reusable, self.stray_responses = True, self.stray_responses + 1
                if self.stray_responses > self.pool.max_stray_responses:
                    self._finish(CallResult(None, True, "answers of others"))
                    self.close()
                continue
            if (
                ready
                or self.reader.in_message
                or not message.keep_alive
                or self.transport.get_write_buffer_size()
            ):
                # Answered before all was written: the peer could take the rest for another request.
                self.not_reusable = True
            self.reader.release(len(message.body))
            self._finish(CallResult(message, True))
            if self.not_reusable or self.reader.in_message:
                self.close()
            else:
                self._return_to_pool(message)
            return True
        return False

    def _is_expected(self, message: http.Message) -> bool:
        """Returns whether a response belongs to the request in progress.

        A response without an id can only belong to a request without one. If it were accepted for another
        request, its X-Not-Run could cause a request that has run to be sent again.
        """
        return self.expected_id is None or (self.pool.response_id(message) or b"") == self.expected_id

    def _return_to_pool(self, message: http.Message) -> None:
        keep_alive = message.header(b"keep-alive")
        if keep_alive is not None and (seconds := KEEP_ALIVE_TIMEOUT.search(keep_alive)) is not None:
            self.max_idle_s = min(self.pool.max_idle_s, KEEP_ALIVE_FRACTION * int(seconds[1]))
        self.pool.put(self)

    def eof_received(self) -> bool:
        """Has the transport closed."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Ends the request in progress without a response."""
        self.transport = None
        self.reader.close()
        self.pool.discard(self)
        if self.on_result is not None:  # the end of a connection proves no response whole
            self._finish(CallResult(None, True, f"broke: {error or 'closed'}"))

    def _finish(self, result: CallResult) -> None:
        on_result, self.on_result = self.on_result, None
        if on_result is not None:
            on_result(result)

    def cancel(self) -> None:
        """Ends the request in progress without a result, and closes: the peer may stop working on it."""
        self.on_result = None
        self.close()

    def close(self) -> None:
        """Resets the connection."""
        self.reader.close()
        self.pool.discard(self)
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()


class ConnectionPool:
    """The connections of one kind: to other sidecars, or to servers.

    A response of a server carries the id of its request; with `attempt_ids`, a response of a sidecar carries
    the id of its attempt. `max_idle_s` is how long a connection may be idle and used again.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        max_idle_s: float,
        max_per_address: int = MAX_CONNECTIONS_PER_ADDRESS,
        body_memory: BodyMemory | None = None,
        attempt_ids: bool = False,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self.clock, self.max_idle_s = clock, max_idle_s
        self.max_per_address, self.max_connections = max_per_address, max_connections
        self.body_memory = body_memory if body_memory is not None else BodyMemory(4 * MAX_RESPONSE_BYTES)
        self.response_id = headers.attempt_id if attempt_ids else headers.request_id
        self.max_stray_responses = 0 if attempt_ids else MAX_STRAY_RESPONSES
        # Begins at the time, so that an earlier process of this machine had lower numbers.
        self.attempt_numbers = itertools.count(int(clock() * 1000))
        self.idle: dict[Address, list[UpstreamConnection]] = {}
        self.opened_count = 0
        self.open_by_address: dict[Address, int] = {}

    def reuse(self, address: Address, max_idle_s: float | None = None) -> UpstreamConnection | None:
        """Returns the connection that was used last, if it has been idle for no more than `max_idle_s`."""
        idle_connections, now = self.idle.get(address), self.clock()
        while idle_connections:
            connection = idle_connections.pop()
            if connection.transport is None or connection.transport.is_closing():
                continue
            idle_s = now - connection.idle_since
            if idle_s > connection.max_idle_s:
                connection.close()
            elif max_idle_s is not None and idle_s > max_idle_s:
                idle_connections.append(connection)
                return None  # the others have been idle for longer
            else:
                return connection
        return None

    async def connect(
        self, address: Address, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> UpstreamConnection | str:
        """Returns a new connection, or the reason why there is none; nothing has been sent then."""
        if self.open_by_address.get(address, 0) >= self.max_per_address or not self._make_room():
            return TOO_MANY_CONNECTIONS
        self.open_by_address[address] = self.open_by_address.get(address, 0) + 1
        self.opened_count += 1
        connection = UpstreamConnection(self, address)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.get_running_loop().create_connection(lambda: connection, *address)
        except (OSError, TimeoutError) as error:
            self.discard(connection)  # it may have come up at the last moment, and then closes by itself
            return CONNECTION_REFUSED if isinstance(error, ConnectionRefusedError) else CONNECT_TIMED_OUT
        except BaseException:
            self.discard(connection)
            raise
        return connection

    def _make_room(self) -> bool:
        """Returns whether one more connection is allowed; may close the one that has been idle longest."""
        if sum(self.open_by_address.values()) >= self.max_connections:
            longest_idle = [connections[0] for connections in self.idle.values() if connections]
            if not longest_idle:
                return False
            min(longest_idle, key=lambda connection: connection.idle_since).close()
        return True

    def next_attempt_id(self) -> bytes:
        """Returns an id that no other attempt of this process has."""
        return b"%x" % next(self.attempt_numbers)

    def put(self, connection: UpstreamConnection) -> None:
        """Makes an idle connection available."""
        connection.idle_since = self.clock()
        self.idle.setdefault(connection.address, []).append(connection)

    def discard(self, connection: UpstreamConnection) -> None:
        """Forgets a connection that is closed."""
        idle_connections = self.idle.get(connection.address, ())
        if connection in idle_connections:
            idle_connections.remove(connection)
        if connection.is_counted:
            connection.is_counted = False
            self._decrement(connection.address)

    def _decrement(self, address: Address) -> None:
        remaining = self.open_by_address.get(address, 1) - 1
        if remaining > 0:
            self.open_by_address[address] = remaining
        else:
            self.open_by_address.pop(address, None)

    def sweep(self) -> None:
        """Closes connections that have been idle for too long."""
        now = self.clock()
        for address, idle_connections in list(self.idle.items()):
            for connection in [each for each in idle_connections if now - each.idle_since > each.max_idle_s]:
                connection.close()
            if not self.idle.get(address):
                self.idle.pop(address, None)

    def close_all(self, address: Address | None = None) -> None:
        """Closes the idle connections, to that address or to all."""
        for each in [address] if address is not None else list(self.idle):
            for connection in list(self.idle.get(each, ())):
                connection.close()
