"""Bodies too long to be buffered. The writer to one socket pulls each piece from the other, so that the
sockets themselves give back-pressure and no more than a window is held in memory. docs/design/passing.md
explains the choice.
"""

import asyncio
import socket
from collections.abc import Callable

from foxspread.net.http import BadMessage, Message, RequestReader
from foxspread.net.pool import Connection, Pool, write
from foxspread.net.reasons import CloseReason

WINDOW_BYTES = 64 * 1024
COPIES_PER_WINDOW = 3  # held while it is read, parsed and written
CLIENT_TIMEOUT = 2.4  # seconds that a client may send nothing of a body
MIN_CLIENT_RATE = 32_000  # bytes per second of waiting, over the whole body
STALL_TIMEOUT = 10.0  # seconds in which a peer must send or take something of a streamed body


class WindowBudget:
    """Limits the memory of all streamed bodies together. A body that gets no window is read into the buffer
    that its connection has anyway."""

    def __init__(self, limit: int) -> None:
        self.limit, self.used = limit, 0

    def acquire(self) -> bytearray | None:
        """Returns a window; None if the limit is reached."""
        if self.used + COPIES_PER_WINDOW * WINDOW_BYTES > self.limit:
            return None
        self.used += COPIES_PER_WINDOW * WINDOW_BYTES
        return bytearray(WINDOW_BYTES)

    def release(self, window: bytearray | None) -> None:
        """Gives a window back."""
        if window is not None:
            self.used -= COPIES_PER_WINDOW * WINDOW_BYTES


class RequestBody:
    """The streamed body of a client's request. The first piece is kept until the next one is asked for: until
    then the request can go to another server. One task reads at a time; `close` waits for it before the
    socket may be closed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        reader: RequestReader,
        message: Message,
        windows: WindowBudget,
        buffer: bytearray,
        arrival_time: Callable[[], float],
    ) -> None:
        self.loop, self.sock, self.reader, self.message = loop, sock, reader, message
        self.windows, self.buffer, self.arrival_time = windows, buffer, arrival_time
        self.first_piece, self.consumed, self.lock = message.take_pieces(), False, asyncio.Lock()
        self.window: bytearray | None = None
        self.waited, self.received, self.closed = 0.0, 0, False  # seconds; bytes
        self.expects_continue = reader.expects_continue and not self.first_piece
        # A fault of the client. `on_error` tells the task that waits for the reply.
        self.error: BadMessage | None = None
        self.on_error: Callable[[], None] = lambda: None

    async def next_piece(self) -> bytes:
        """Returns b"" at the end. Raises OSError if the client has left or sends a malformed body."""
        async with self.lock:
            self.first_piece, self.consumed = b"", True
            while not (piece := self.message.take_pieces()):
                if self.message.complete:
                    return b""
                try:
                    await self._read()
                except BadMessage as error:
                    self.error = error
                    self.on_error()
                    raise ConnectionError(str(error)) from None
            self.received += len(piece)
            return piece

    async def _read(self) -> None:
        if self.closed:
            raise ConnectionResetError("the body is closed")
        if self.expects_continue:
            self.expects_continue = False
            await write(self.loop, self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
        if self.window is None:
            self.window = self.windows.acquire()
        buffer, since = self.window or self.buffer, self.loop.time()
        try:
            earned = CLIENT_TIMEOUT + self.received / MIN_CLIENT_RATE - self.waited
            async with asyncio.timeout(min(CLIENT_TIMEOUT, earned)):
                size = await self.loop.sock_recv_into(self.sock, buffer)
        except TimeoutError:
            raise BadMessage(408, "the body comes too slowly") from None
        finally:
            self.waited += self.loop.time() - since
        if size == 0:
            raise ConnectionResetError("the client closed the connection within a body")
        self.reader.feed(memoryview(buffer)[:size], self.arrival_time())

    async def close(self) -> None:
        """Ends a read that is still waiting. Called before the socket is closed."""
        self.closed = True
        if self.lock.locked():
            try:
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass
        async with self.lock:
            self.windows.release(self.window)
            self.window = None


class ResponseStream:
    """The streamed body of a server's response whose head and first bytes have arrived. Owns the connection
    until `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection: Connection,
        message: Message,
        pool: Pool,
        windows: WindowBudget,
    ) -> None:
        self.loop, self.connection, self.message, self.pool = loop, connection, message, pool
        self.windows, self.window = windows, windows.acquire()

    async def next_piece(self) -> bytes:
        """Returns b"" at the end. Raises OSError if the server breaks off."""
        reader, buffer = self.connection.reader, self.window or self.connection.buffer
        while not (piece := self.message.take_pieces()):
            if self.message.complete:
                return b""
            async with asyncio.timeout(STALL_TIMEOUT):
                size = await self.loop.sock_recv_into(self.connection.sock, buffer)
            try:
                if size:
                    reader.feed(memoryview(buffer)[:size], 0.0)
                elif not reader.connection_ended():
                    raise ConnectionResetError("the server closed the connection within a body")
            except BadMessage as error:
                if not self.message.complete:
                    raise ConnectionError(str(error)) from None
                reader.in_message = True  # noise after a whole response: the connection is not reused
        return piece

    def close(self, reason: CloseReason | None = None) -> None:
        """Returns the connection to the pool if the whole response was taken and nothing else came."""
        connection, reader = self.connection, self.connection.reader
        self.windows.release(self.window)
        self.window = None
        if reason is None and not self.message.complete:
            reason = CloseReason.SERVER_CANCELLED
        elif reason is None and (reader.ready or reader.in_message):
            reason = CloseReason.SERVER_EXTRA_BYTES
        elif reason is None and not self.message.keep_alive:
            reason = CloseReason.SERVER_FINAL_RESPONSE
        if reason is None:
            self.pool.release(connection)
        else:
            connection.close(reason)
