"""One attempt: sends a request to one server, once, and reports how that ended. Retries are the decision
engine's."""

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from foxspread.engine import Outcome
from foxspread.net import http
from foxspread.net.pool import Connection, Pool, ServerInstance, write
from foxspread.net.reasons import CloseReason
from foxspread.net.streaming import STALL_TIMEOUT, RequestBody, ResponseStream, WindowBudget

RESPONSE_PART_TIMEOUT = 0.25  # seconds until the next part of a response that has begun


@dataclass
class AttemptResult:
    """How an attempt ended."""

    outcome: Outcome
    response: http.Message | None = None
    stream: ResponseStream | None = None  # the body of a streamed response; the receiver closes it


class UpstreamRequest:
    """One attempt of a request at one server."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        pool: Pool,
        clock: Callable[[], float],
        message: http.Message,
        instance: ServerInstance,
        deadline: float,
        may_send: Callable[[], bool],
        windows: WindowBudget | None = None,
        body_progress: Callable[[bool], float] | None = None,
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """`body_progress` is called when a streamed body begins to go out, and with True when all of it has
        gone; it returns the seconds left. `on_sent` is called when the last byte is written."""
        self.loop, self.pool, self.clock = loop, pool, clock
        self.message, self.instance, self.deadline, self.may_send = message, instance, deadline, may_send
        self.windows, self.body_progress, self.on_sent = windows or WindowBudget(0), body_progress, on_sent
        self.body: RequestBody | None = message.body_stream
        self.timeout: asyncio.Timeout | None = None
        self.begun = False  # the first byte may have been written
        self.sent = False  # the last byte is written

    async def run(self) -> AttemptResult:
        """Sends the request and waits for the response, until the deadline."""
        try:
            async with asyncio.timeout(max(0.0, self.deadline - self.clock())) as self.timeout:
                return await self._run()
        except TimeoutError:
            return AttemptResult(Outcome.TIMED_OUT if self.may_have_run() else Outcome.UNSENT)

    def may_have_run(self) -> bool:
        """Returns whether the server may have executed the request. A server starts at the last byte, which
        it cannot have of a streamed body that is still coming; otherwise any write may have included it."""
        return self.sent if self.body is not None else self.begun

    async def _run(self) -> AttemptResult:
        try:
            connection = self.pool.reuse(self.instance) or await self.pool.connect(self.instance)
        except OSError:  # refused or, as TimeoutError, not up within the connect time
            return AttemptResult(Outcome.CONNECT_FAILED)
        if connection is None:
            return AttemptResult(Outcome.UNSENT)
        reason: CloseReason | None = CloseReason.SERVER_INTERNAL_ERROR
        result = AttemptResult(Outcome.UNSENT)
        try:
            # While it connected, the server may have begun to drain or another attempt may have succeeded.
            if not self.may_send():
                reason = None
            else:
                reason, result = await self._exchange(connection)
            return result
        except asyncio.CancelledError:  # also raised by a timeout
            timed_out = self.clock() >= self.deadline
            reason = CloseReason.SERVER_TIMEOUT if timed_out else CloseReason.SERVER_CANCELLED
            raise
        finally:  # no loop call is pending on the socket here: what was awaited has ended
            if result.stream is not None:
                pass  # it owns the connection now
            elif reason is None:
                self.pool.release(connection)
            else:
                connection.close(reason)

    async def _exchange(self, connection: Connection) -> tuple[CloseReason | None, AttemptResult]:
        """Returns the reason to close the connection, None to keep it, and the result of the attempt."""
        connection.requests += 1
        parts = http.request(self.message, str(self.instance.address), self.deadline - self.clock())
        self.begun = True
        reader = connection.reader
        try:
            if self.body is None:
                await write(self.loop, connection.sock, parts)
                self._mark_sent()
            elif not await self._stream_body(connection, parts):
                return CloseReason.SERVER_CANCELLED, AttemptResult(Outcome.UNSENT)  # the client broke off
        except OSError:  # before the last byte was written: the server has not executed the request
            return CloseReason.SERVER_BROKEN, AttemptResult(Outcome.CONNECT_FAILED)
        try:
            await self._read(connection)
            while not reader.ready:
                # Servers write a response once it is complete. Without this limit a response that never
                # reaches its declared length would take all the time that another server could use.
                async with asyncio.timeout(RESPONSE_PART_TIMEOUT):
                    await self._read(connection)
        except TimeoutError:
            return CloseReason.SERVER_BAD, AttemptResult(Outcome.ERROR)
        except OSError:
            return CloseReason.SERVER_RESET, AttemptResult(Outcome.RESET)
        except http.BadMessage:
            if not reader.ready:
                return CloseReason.SERVER_BAD, AttemptResult(Outcome.ERROR)
            reader.in_message = True  # noise after a whole response: it is valid, but the connection is not
        response = reader.ready.popleft()
        early = self.body is not None and not self.sent  # the rest of the request's body is not sent
        if response.streamed and response_outcome(response) is Outcome.SUCCESS and not early:
            stream = ResponseStream(self.loop, connection, response, self.pool, self.windows)
            return None, AttemptResult(Outcome.SUCCESS, response, stream)
        result = AttemptResult(response_outcome(response), response)
        if response.streamed or early:
            return CloseReason.SERVER_BAD if response.streamed else CloseReason.SERVER_FINAL_RESPONSE, result
        if reader.ready or reader.in_message:
            return CloseReason.SERVER_EXTRA_BYTES, result
        return None if response.keep_alive else CloseReason.SERVER_FINAL_RESPONSE, result

    def _mark_sent(self) -> None:
        self.sent = True
        self.on_sent()

    async def _stream_body(self, connection: Connection, head: list[bytes]) -> bool:
        """Returns False if the client broke off. Stops between two pieces if the server answers early."""
        body, message, sock = self.body, self.message, connection.sock
        chunked = message.length is None
        await write(self.loop, sock, [*head, *http.framed_piece(body.first_piece, chunked)])
        if not message.complete or message.pieces:  # otherwise the first piece is the whole body
            self.body_progress(False)
            self.timeout.reschedule(None)
            while True:
                try:
                    piece = await body.next_piece()
                except OSError:
                    return False
                if not piece:
                    break
                if has_data(sock):
                    return True
                async with asyncio.timeout(STALL_TIMEOUT):
                    await write(self.loop, sock, http.framed_piece(piece, chunked))
        if chunked:
            await write(self.loop, sock, [http.LAST_CHUNK])
        self._mark_sent()
        if body.consumed:
            time_left = self.body_progress(True)
            self.deadline = self.clock() + time_left
            self.timeout.reschedule(self.loop.time() + max(0.0, time_left))
        return True

    async def _read(self, connection: Connection) -> None:
        size = await self.loop.sock_recv_into(connection.sock, connection.buffer)
        if size == 0:
            if connection.reader.connection_ended():
                return
            raise ConnectionResetError("the server closed the connection")
        connection.reader.feed(memoryview(connection.buffer)[:size], self.clock())


def has_data(sock: socket.socket) -> bool:
    """Returns whether a read would return data now."""
    try:
        return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:  # nothing yet; a broken connection shows at the next write
        return False


def response_outcome(response: http.Message) -> Outcome:
    """Returns the outcome that a response stands for. Only the header x-turned-away says that the server has
    rejected the request unexecuted; the status alone may come from any hop, or from a server that failed
    half-way."""
    if response.status == 200:
        return Outcome.SUCCESS
    if response.status in (503, 504) and response.header(b"x-turned-away") == b"1":
        return Outcome.OVERLOADED
    return Outcome.ERROR
