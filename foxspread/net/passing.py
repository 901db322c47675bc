"""Bodies too long to be kept: pulled piece by piece from one socket by whoever writes the other, so that
back-pressure is the sockets' own and a window is all that is held. docs/design/passing.md has the choice.
"""

import asyncio
import socket
from collections.abc import Callable

from foxspread.net.http import BadMessage, Message, RequestReader
from foxspread.net.pool import Connection, Pool, write
from foxspread.net.reasons import Reason

WINDOW = 64 * 1024
COPIES = 3  # of a window, while it is read, parsed and written
SILENCE = 2.4  # how long a client may give nothing of a body
SLOWEST = 32_000  # bytes a second that it gives at the least, over all the time that was waited for it
STALL = 10.0  # how long a peer may give or take nothing of what passes


class Windows:
    """Bounds what all bodies that pass through hold together. Who finds none goes on with the buffer that its
    connection has anyway."""

    def __init__(self, most: int) -> None:
        self.most, self.used = most, 0

    def take(self) -> bytearray | None:
        if self.used + COPIES * WINDOW > self.most:
            return None
        self.used += COPIES * WINDOW
        return bytearray(WINDOW)

    def give_back(self, window: bytearray | None) -> None:
        if window is not None:
            self.used -= COPIES * WINDOW


class Body:
    """Of a client's request. The first piece is kept until the next one is asked for: until then the lookup
    can go to another server. One reads at a time; whoever closes the socket waits for it (`abandon`)."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        reader: RequestReader,
        message: Message,
        windows: Windows,
        buffer: bytearray,
        arrival: Callable[[], float],
    ) -> None:
        self.loop, self.sock, self.reader, self.message = loop, sock, reader, message
        self.windows, self.buffer, self.arrival = windows, buffer, arrival
        self.first, self.spent, self.lock = message.piece(), False, asyncio.Lock()
        self.window: bytearray | None = None
        self.waited, self.got, self.over = 0.0, 0, False
        self.expects = reader.wants_continue and not self.first
        self.error: BadMessage | None = None  # of the client; who waits for the reply is told by `broke`
        self.broke: Callable[[], None] = lambda: None

    async def next(self) -> bytes:
        """b"" at its end; OSError where the client has left, or what it sends is no body."""
        async with self.lock:
            self.first, self.spent = b"", True
            while not (piece := self.message.piece()):
                if self.message.whole:
                    return b""
                try:
                    await self._read()
                except BadMessage as error:
                    self.error = error
                    self.broke()
                    raise ConnectionError(str(error)) from None
            self.got += len(piece)
            return piece

    async def _read(self) -> None:
        if self.over:
            raise ConnectionResetError("the client's connection is over")
        if self.expects:
            self.expects = False
            await write(self.loop, self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
        if self.window is None:
            self.window = self.windows.take()
        buffer, since = self.window or self.buffer, self.loop.time()
        try:
            async with asyncio.timeout(min(SILENCE, SILENCE + self.got / SLOWEST - self.waited)):
                size = await self.loop.sock_recv_into(self.sock, buffer)
        except TimeoutError:
            raise BadMessage(408, "the body comes too slowly") from None
        finally:
            self.waited += self.loop.time() - since
        if size == 0:
            raise ConnectionResetError("the client has left")
        self.reader.feed(memoryview(buffer)[:size], self.arrival())

    async def abandon(self) -> None:
        """Before the socket is closed: ends a read that is still waiting."""
        self.over = True
        if self.lock.locked():
            try:
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass
        async with self.lock:
            self.windows.give_back(self.window)
            self.window = None


class Passing:
    """Of a server's answer, whose head and first bytes are there. Owns the connection until `close`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connection: Connection,
        message: Message,
        pool: Pool,
        windows: Windows,
    ) -> None:
        self.loop, self.connection, self.message, self.pool = loop, connection, message, pool
        self.windows, self.window = windows, windows.take()

    async def next(self) -> bytes:
        """b"" at its end; OSError where the server breaks off."""
        reader, buffer = self.connection.reader, self.window or self.connection.buffer
        while not (piece := self.message.piece()):
            if self.message.whole:
                return b""
            async with asyncio.timeout(STALL):
                size = await self.loop.sock_recv_into(self.connection.sock, buffer)
            try:
                if size:
                    reader.feed(memoryview(buffer)[:size], 0.0)
                elif not reader.end():
                    raise ConnectionResetError("it broke off")
            except BadMessage as error:
                if not self.message.whole:  # else a whole answer and then noise
                    raise ConnectionError(str(error)) from None
                reader.busy = True
        return piece

    def close(self, reason: Reason | None = None) -> None:
        """Keeps the connection where the answer was taken whole, and is all that came."""
        connection, reader = self.connection, self.connection.reader
        self.windows.give_back(self.window)
        self.window = None
        if reason is None and not self.message.whole:
            reason = Reason.CALLED_OFF
        elif reason is None and (reader.ready or reader.busy):
            reason = Reason.SERVER_MORE
        elif reason is None and not self.message.keep:
            reason = Reason.SERVER_LAST
        if reason is None:
            self.pool.keep(connection)
        else:
            connection.close(reason)
