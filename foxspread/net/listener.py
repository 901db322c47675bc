"""Connections of clients: accepts them, reads their requests and writes the answers."""

import asyncio
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from loguru import logger

from foxspread.config import Address
from foxspread.net import http
from foxspread.net.pool import RECEIVE_BUFFER_BYTES, DescriptorLimit, create_listener, send_parts
from foxspread.net.reasons import CloseReason
from foxspread.net.streaming import (
    MIN_CLIENT_RATE,
    STALL_TIMEOUT,
    RequestBody,
    ResponseStream,
    WindowBudget,
)

CONTINUE_RESPONSE = [b"HTTP/1.1 100 Continue\r\n\r\n"]
DISCARD_BUFFER = bytearray(256 * 1024)  # for received bytes that nobody reads; shared by all connections
LISTEN_BACKLOG = 1024
ACCEPTS_PER_TURN = 64  # of the event loop
ACCEPTS_AT_CLOSE = 4096
ACCEPT_PAUSE = 0.05  # seconds, when there are no descriptors
MIN_IDLE_TIME = 0.1  # seconds; before that the next request may just be on its way


@dataclass
class Reply:
    """What a client is answered."""

    status: int
    body: bytes | bytearray = b""
    lines: list[bytes] = field(default_factory=list)  # of the head
    stream: ResponseStream | None = None  # takes the place of `body`


@dataclass
class PendingReply:
    """The reply to come to a request that was received."""

    reply: asyncio.Future[Reply]
    id: str = ""  # of a request for the balancer
    category: str = ""  # of a request for the balancer, including one that is answered at once


class RequestHandler:
    """What the listener needs of the sidecar."""

    def request_received(self, message: http.Message) -> PendingReply:
        """Raises BadMessage if the request cannot be handled."""
        raise NotImplementedError

    def client_left(self, pending: PendingReply) -> None:
        """The client went away before the reply."""
        raise NotImplementedError

    def reply_written(self, pending: PendingReply, status: int) -> None:
        """The reply is written; `status` is 0 if the client did not take it."""

    def arrival_time(self) -> float:
        """Returns the earliest time at which what is read now may have arrived."""
        raise NotImplementedError


class ClientConnection:
    """One connection of a client, and the task that serves it. `Listener.sweep` enforces its time limits."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        handler: RequestHandler,
        request_timeout: float,
        windows: WindowBudget,
        write_timeout: float = STALL_TIMEOUT,
    ) -> None:
        self.loop, self.sock, self.handler, self.request_timeout = loop, sock, handler, request_timeout
        self.windows, self.write_timeout, self.body = windows, write_timeout, None
        self.writing = False  # a reply
        self.reader, self.buffer = http.RequestReader(), bytearray(RECEIVE_BUFFER_BYTES)
        self.pending: PendingReply | None = None
        self.retired: CloseReason | None = None  # set once the connection is to close
        self.read_shut_down = False  # by us: the end that is then read is not the client's
        self.client_gone = False  # while its request was pending
        self.refused = False  # an error was answered; what still comes is discarded
        self.since = loop.time()  # when it became idle, or when its current request began
        self.replies, self.requests, self.detail = 0, 0, ""  # requests: those for the balancer
        self.head_complete_at = 0.0  # of the current request

    @property
    def idle(self) -> bool:
        """True if no request is being read, handled or answered."""
        return self.pending is None and not (self.writing or self.reader.in_message or self.reader.ready)

    @property
    def unproductive(self) -> bool:
        """True if the client has sent no whole request for the balancer yet, or its last one was refused.
        Well-behaved clients send one right after they connect."""
        return self.refused or not (self.pending or self.writing or self.requests or self.reader.ready)

    def retire(self, reason: CloseReason) -> None:
        """Closes the connection after its current request. A request that arrives at the same time is not
        lost: what has come is still read, and the read after it finds the end. Cancelling the read could
        lose it."""
        self.retired = self.retired or reason
        if (self.idle or self.unproductive or reason is CloseReason.CLIENT_SLOW) and not self.read_shut_down:
            self.read_shut_down = True
            try:
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # the connection is broken, which its task sees too

    async def run(self) -> CloseReason:
        """Serves the connection until it ends."""
        try:
            reason = await self._serve()
        except http.BadMessage as error:
            self.detail = f" status={error.status} fault={error}"
            reason = CloseReason.CLIENT_SLOW if error.status == 408 else CloseReason.CLIENT_BAD
            await self._refuse(error)
        except TimeoutError:
            reason = CloseReason.CLIENT_SLOW
        except OSError:
            reason = CloseReason.CLIENT_RESET
        except Exception:  # must neither end the process nor go unnoticed
            logger.exception("serving a client's connection failed")
            reason = CloseReason.CLIENT_INTERNAL_ERROR
        finally:  # no loop call is pending on the socket here: what was awaited has ended
            if self.pending is not None:
                self.handler.client_left(self.pending)
                if (
                    self.pending.reply.done()
                    and not self.pending.reply.cancelled()
                    and (stream := self.pending.reply.result().stream) is not None
                ):
                    stream.close()
            if self.body is not None:
                await self.body.close()
            self.sock.close()
        return reason

    async def _serve(self) -> CloseReason:
        while True:
            while not self.reader.ready:
                if not await self._receive():
                    return self.retired or CloseReason.CLIENT_CLOSED
                if self.reader.expects_continue and not self.reader.ready:  # a streamed body asks for itself
                    await self._write(CONTINUE_RESPONSE)
            message = self.reader.ready.popleft()
            if message.streamed:
                self.body = message.body_stream = RequestBody(
                    self.loop,
                    self.sock,
                    self.reader,
                    message,
                    self.windows,
                    self.buffer,
                    self.handler.arrival_time,
                )
                self.body.on_error = self._body_failed
            self.pending = self.handler.request_received(message)
            self.requests += bool(self.pending.id)
            if not self.pending.reply.done() and not await self._wait_for(self.pending.reply):
                if self.body is not None and self.body.error is not None:
                    raise self.body.error
                return CloseReason.CLIENT_LEFT
            pending, self.pending, self.writing = self.pending, None, True
            if self.body is not None:
                await self.body.close()
                self.body = None
            reply, body_read = pending.reply.result(), not message.streamed or message.complete
            keep_alive, status = body_read and message.keep_alive and self.retired is None, 0
            try:
                if reply.stream is not None:
                    keep_alive, status = await self._stream_reply(reply, message, keep_alive)
                else:
                    await self._write(
                        http.response(reply.status, reply.body, reply.lines, keep_alive, message.http_1_0)
                    )
                    status = reply.status
            finally:
                self.writing = False
                self.handler.reply_written(pending, status)
            self.replies, self.since, self.head_complete_at = self.replies + 1, self.loop.time(), 0.0
            if not body_read:
                await self._linger()
            if not keep_alive:
                if status != reply.status:
                    return CloseReason.CLIENT_TRUNCATED
                return self.retired or CloseReason.CLIENT_FINAL_RESPONSE

    async def _stream_reply(self, reply: Reply, message: http.Message, keep_alive: bool) -> tuple[bool, int]:
        """Returns whether the connection may be kept, and the status that the client has seen. If the server
        breaks off, the connection is reset: after the head that is the only way to tell the client."""
        stream, length = reply.stream, reply.stream.message.length
        chunked = length is None and not message.http_1_0
        keep_alive = keep_alive and (length is not None or chunked)
        framing = http.framing_header(stream.message) if length is not None or chunked else b""
        head = http.response(reply.status, b"", reply.lines, keep_alive, message.http_1_0, framing)
        try:
            await self._write([*head, *http.framed_piece(stream.message.take_pieces(), chunked)])
            while True:
                try:
                    piece = await stream.next_piece()
                except OSError:  # including TimeoutError
                    stream.close(CloseReason.SERVER_RESET)
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return False, 502
                if not piece:
                    break
                await self._write(http.framed_piece(piece, chunked))
            if chunked:
                await self._write([http.LAST_CHUNK])
        except BaseException:  # the client left or does not take the reply
            stream.close()
            raise
        stream.close()
        return keep_alive, reply.status

    def _body_failed(self) -> None:
        if self.pending is not None and not self.pending.reply.done():
            self.pending.reply.cancel()

    async def _receive(self) -> int:
        """Returns the number of bytes received; 0 at the end of the connection."""
        size = await self.loop.sock_recv_into(self.sock, self.buffer)
        was_in_message = self.reader.in_message
        self.reader.feed(memoryview(self.buffer)[:size], self.handler.arrival_time())
        if self.reader.in_message and not was_in_message and self.replies:
            self.since = self.loop.time()
        if not self.reader.in_body:
            self.head_complete_at = 0.0
        elif not self.head_complete_at:
            self.head_complete_at = self.loop.time()
        # A client that sends too slowly must not hold its connection for ever. It gets an answer if it still
        # reads.
        if (
            self.retired is CloseReason.CLIENT_SLOW
            and not self.reader.ready
            and (size or self.reader.in_message)
        ):
            raise http.BadMessage(408, "no whole request in time")
        return size

    async def _wait_for(self, reply: asyncio.Future[Reply]) -> bool:
        """Returns False if the client goes away before the reply. What it sends meanwhile stays unread."""
        try:
            await reply
        except asyncio.CancelledError:
            if not self.client_gone and (self.body is None or self.body.error is None):
                raise
            return False
        return not self.client_gone

    def too_slow(self, now: float) -> bool:
        """Returns whether the request takes too long: more than `request_timeout` in all and, within a body,
        also more than 0.4 of that from the end of the head plus the body's size at MIN_CLIENT_RATE."""
        until = self.since + self.request_timeout
        if self.reader.in_body:
            body_time = 0.4 * self.request_timeout + self.reader.size / MIN_CLIENT_RATE
            until = max(until, self.head_complete_at + body_time)
        return now > until

    def detect_disconnect(self) -> None:
        """Cancels the request if its client has gone away. Called periodically: watching each connection
        during each request costs more CPU time."""
        if self.pending is None or self.read_shut_down or self.pending.reply.done():
            return
        try:
            self.client_gone = not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            self.client_gone = True
        if self.client_gone:
            self.pending.reply.cancel()

    async def _write(self, parts: list[bytes]) -> None:
        """Raises TimeoutError if the client does not read, so that its reply does not stay for ever."""
        if rest := send_parts(self.sock, parts):
            async with asyncio.timeout(self.write_timeout):
                await self.loop.sock_sendall(self.sock, rest)

    async def _refuse(self, error: http.BadMessage) -> None:
        """Answers a malformed request, then lingers before the connection is closed."""
        self.refused = True
        if self.body is not None:
            await self.body.close()
            self.body = None
        try:
            await self._write(http.response(error.status, f"{error}\n".encode(), keep_alive=False))
        except OSError:
            return
        await self._linger()

    async def _linger(self) -> None:
        """Reads on for a moment: closing a socket with unread bytes resets the connection, and the client
        could lose its answer."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(self.request_timeout):
                while not self.read_shut_down and await self.loop.sock_recv_into(self.sock, DISCARD_BUFFER):
                    pass
        except OSError:
            pass


class Listener:
    """Accepts clients and enforces their time limits. `request_timeout`: seconds in which a request must
    arrive; a connection that never carried a request for the balancer closes when it was idle for as long.
    `max_idle_time`: seconds after which other idle connections close. `write_timeout`: seconds in which a
    client must take a part of its answer."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        handler: RequestHandler,
        descriptors: DescriptorLimit,
        request_timeout: float = 2.4,
        max_idle_time: float = 10.0,
        inherited: socket.socket | None = None,
        windows: WindowBudget | None = None,
        write_timeout: float = STALL_TIMEOUT,
    ) -> None:
        self.loop, self.handler, self.descriptors = loop, handler, descriptors
        self.request_timeout, self.max_idle_time, self.write_timeout = (
            request_timeout,
            max_idle_time,
            write_timeout,
        )
        self.windows = windows or WindowBudget(0)
        self.clients: dict[ClientConnection, asyncio.Task] = {}
        self.accepting = False
        self.sock = inherited or create_listener(address, "listen", LISTEN_BACKLOG)
        self.address = Address(*self.sock.getsockname()[:2])
        # Unproductive clients yield before the pool's idle connections, other clients after them.
        descriptors.reclaimers.insert(0, self._retire_unproductive)
        descriptors.reclaimers.append(self._retire_longest_idle)
        descriptors.on_release = self.resume
        self.reserved_for_servers = descriptors.limit // 4  # clients must not take all descriptors
        self.idle_close_threshold = (
            descriptors.limit // 4
        )  # productive clients; above that, idle ones are closed

    def resume(self) -> None:
        """Accepts connections from now on."""
        if not self.accepting and self.sock.fileno() >= 0:
            self.accepting = True
            self.loop.add_reader(self.sock, self._accept)

    def pause(self, seconds: float | None = None) -> None:
        """Stops accepting, for so many seconds or until `resume`."""
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.sock)
        if seconds is not None:
            self.loop.call_later(seconds, self.resume)

    def _accept(self, limit: int = ACCEPTS_PER_TURN) -> None:
        """Accepts waiting connections, in a callback and not in a task: a cancelled accept could lose a
        connection, and with it a request that counts as accepted."""
        for _ in range(limit):
            if not self.descriptors.acquire(self.reserved_for_servers):
                return self.pause(ACCEPT_PAUSE)  # or until one is released
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                self.descriptors.used -= 1
                if not isinstance(error, (BlockingIOError, ConnectionAbortedError, InterruptedError)):
                    logger.warning(
                        "cannot accept a client: {}", error
                    )  # out of descriptors or memory: it passes
                    self.pause(ACCEPT_PAUSE)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = ClientConnection(
                self.loop, sock, self.handler, self.request_timeout, self.windows, self.write_timeout
            )
            self.clients[client] = task = self.loop.create_task(client.run())
            task.add_done_callback(lambda task, client=client: self._ended(client, task))
            self._retire_one_above_threshold()

    def _ended(self, client: ClientConnection, task: asyncio.Task) -> None:
        del self.clients[client]
        if task.cancelled():
            reason = CloseReason.CLIENT_STOPPING
        else:
            reason = CloseReason.CLIENT_INTERNAL_ERROR if task.exception() else task.result()
        logger.info("{} client lookups={}{}", reason.value, client.replies, client.detail)
        self.descriptors.release()

    def _retire_one_above_threshold(self) -> None:
        """Closes the longest idle connection if there are many clients. An application that sends one request
        on each connection and keeps it open may be allowed far fewer connections than this process, and would
        have none left for its next requests."""
        productive = [client for client in self.clients if client.requests and not client.read_shut_down]
        if len(productive) > self.idle_close_threshold:
            limit = self.loop.time() - MIN_IDLE_TIME
            self._retire_oldest(client for client in productive if client.idle and client.since < limit)

    def _retire_unproductive(self) -> bool:
        limit = self.loop.time() - MIN_IDLE_TIME
        return self._retire_oldest(
            client for client in self.clients if client.unproductive and client.since < limit
        )

    def _retire_longest_idle(self) -> bool:
        return self._retire_oldest(client for client in self.clients if client.idle)

    def _retire_oldest(self, candidates: Iterable[ClientConnection]) -> bool:
        oldest = min(
            (client for client in candidates if not client.read_shut_down),
            key=lambda client: client.since,
            default=None,
        )
        if oldest is not None:
            oldest.retire(CloseReason.CLIENT_RECLAIMED)
        return oldest is not None

    def detect_disconnects(self) -> None:
        """Cancels the requests of clients that have gone away."""
        for client in list(self.clients):
            client.detect_disconnect()

    def sweep(self) -> None:
        """Retires connections that send nothing, or too slowly, and would otherwise stay open for good."""
        now = self.loop.time()
        for client in list(self.clients):
            if client.pending is None and not client.writing and now - client.since > self.request_timeout:
                if client.reader.in_message or not client.replies:
                    if client.too_slow(now):
                        client.retire(CloseReason.CLIENT_SLOW)
                elif not client.requests or now - client.since > self.max_idle_time:
                    client.retire(CloseReason.CLIENT_IDLE)

    def retire_all(self) -> None:
        """Closes idle connections now and the others after their answer."""
        for client in list(self.clients):
            client.retire(CloseReason.CLIENT_STOPPING)

    def hand_over(self) -> None:
        """Stops accepting, since a successor does now. No connection is cut: each client is told that its
        next answer is the last. The listening socket is shared with the successor: it is closed here, but
        must not be shut down."""
        self.pause()
        self.sock.close()
        for client in self.clients:
            client.retired = client.retired or CloseReason.CLIENT_HANDED_OVER

    def close(self) -> None:
        """Accepts what still waits, since a request in there counts as accepted, and then stops accepting."""
        if self.accepting:
            self._accept(ACCEPTS_AT_CLOSE)
        self.pause()
        self.sock.close()
