"""HTTP/1.1 server for callers and peers, and client connections to peers; `net/http` parses the messages.

Connections, message sizes, queues and waiting times are bounded. No input from the network ends the process.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from loguru import logger

from foxspread.config import Address
from foxspread.net import http
from foxspread.net.pool import create_listener, send_parts

MAX_CONNECTIONS = 512  # a further connection replaces the one that has been idle for longest
LISTEN_BACKLOG = 256
REQUEST_TIMEOUT_S = 5.0  # to receive the rest of a request, and to send a reply
IDLE_TIMEOUT_S = 60.0
CLOSE_TIMEOUT_S = 0.5  # to read the rest of a client's data after an error
ACCEPT_RETRY_S = 0.05  # pause after a failed accept, for example without free file descriptors
SERVER_BUFFER_BYTES = 8 * 1024
CLIENT_BUFFER_BYTES = 4 * 1024

MAX_QUEUED_MESSAGES = 128  # for one peer; the oldest are dropped, since Raft resends what is still needed
MAX_UNACKNOWLEDGED = 32  # messages in flight to one peer
ACKNOWLEDGE_TIMEOUT_S = 2.0  # without an acknowledgement, after which the connection is replaced
CONNECT_TIMEOUT_S = 1.0
MIN_RECONNECT_S, MAX_RECONNECT_S = 0.02, 1.0  # exponential backoff between attempts to connect
STABLE_CONNECTION_S = 5.0  # a connection that lasted longer resets the backoff
SHOWN_REPLY_BYTES = 200  # of a rejection's body, in `last_error`


class HttpReply(NamedTuple):
    """The reply to a request: HTTP status code and JSON body."""

    status: int
    body: bytes


Handler = Callable[[http.Message], Awaitable[HttpReply]]


class HttpServer:
    """Accepts connections and passes each request to `handler`."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, handler: Handler) -> None:
        self.loop, self.handler = loop, handler
        self.sock = create_listener(address, "listen", LISTEN_BACKLOG)
        self.address = Address(*self.sock.getsockname()[:2])
        # Open connections in the order of their last use, with the time when each was accepted.
        self.connections: dict[asyncio.Task, float] = {}
        self.busy: set[asyncio.Task] = set()
        self.rejected_connections, self.errors = 0, 0
        self.task = loop.create_task(self._accept())

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self.loop.sock_accept(self.sock)
            except OSError as error:
                logger.warning("accept failed: {}", error)
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            if not self._evict_idle_connection():
                self.rejected_connections += 1
                sock.close()
                continue
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(self._serve(sock))
            self.connections[task] = self.loop.time()
            task.add_done_callback(self._on_connection_end)

    def _evict_idle_connection(self) -> bool:
        """Closes the longest idle connection if the limit is reached; returns False if all are busy."""
        if len(self.connections) < MAX_CONNECTIONS:
            return True
        idle = next((each for each in self.connections if each not in self.busy), None)
        if idle is not None:
            idle.cancel()
        return idle is not None

    def _on_connection_end(self, task: asyncio.Task) -> None:
        self.connections.pop(task, None)
        self.busy.discard(task)

    async def _serve(self, sock: socket.socket) -> None:
        """Serves one connection until it ends."""
        reader, buffer = http.RequestReader(), bytearray(SERVER_BUFFER_BYTES)
        try:
            while await self._serve_request(sock, reader, buffer):
                pass
        except http.BadMessage as error:
            self.errors += 1
            with contextlib.suppress(OSError, TimeoutError):
                await self._reply_bad_message(sock, error, buffer)
        except (OSError, TimeoutError):
            pass
        except asyncio.CancelledError:
            pass  # evicted for another connection, or the process ends
        except Exception:  # an internal error must neither end the process nor go unnoticed
            self.errors += 1
            logger.exception("internal error while serving a request")
        finally:
            sock.close()

    async def _serve_request(
        self, sock: socket.socket, reader: http.RequestReader, buffer: bytearray
    ) -> bool:
        """Reads and answers one request; returns False if the connection is to be closed."""
        task = asyncio.current_task()
        if not await self._read_request(sock, reader, buffer):
            return False
        message = reader.ready.popleft()
        self.busy.add(task)
        if message.streamed:
            raise http.BadMessage(413, f"a body of more than {http.MAX_BUFFERED_BODY_BYTES} bytes")
        status, body = await self.handler(message)
        content_type = (b"Content-Type: application/json\r\n",)
        await self._write(
            sock,
            http.response(
                status, body, content_type, keep_alive=message.keep_alive, http_1_0=message.http_1_0
            ),
        )
        self.busy.discard(task)
        self.connections[task] = self.connections.pop(task)  # moves to the end of the eviction order
        return message.keep_alive

    async def _read_request(self, sock: socket.socket, reader: http.RequestReader, buffer: bytearray) -> bool:
        """Reads until a request is complete; returns False if the client has closed the connection."""
        while not reader.ready:
            async with asyncio.timeout(REQUEST_TIMEOUT_S if reader.in_message else IDLE_TIMEOUT_S):
                size = await self.loop.sock_recv_into(sock, buffer)
            if not size:
                return False
            reader.feed(memoryview(buffer)[:size], 0.0)
            if reader.expects_continue:
                await self._write(sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
        return True

    async def _reply_bad_message(
        self, sock: socket.socket, error: http.BadMessage, buffer: bytearray
    ) -> None:
        """Replies with an error, then reads to the end of the client's data.

        Closing a socket with unread data resets the connection, which may destroy the reply.
        """
        await self._write(sock, http.response(error.status, f"{error}\n".encode(), keep_alive=False))
        sock.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            while await self.loop.sock_recv_into(sock, buffer):
                pass

    async def _write(self, sock: socket.socket, parts: list[bytes]) -> None:
        if unsent := send_parts(sock, parts):
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                await self.loop.sock_sendall(sock, unsent)

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self.task.cancel()
        self.sock.close()
        for task in list(self.connections):
            task.cancel()


class PeerConnection:
    """Sends messages to one peer over one connection, which is reestablished after a failure.

    Messages that can't be sent are dropped, which Raft tolerates. `random` returns numbers from 0 to 1.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, peer: str, address: Address, random: Callable[[], float]
    ) -> None:
        self.loop, self.peer, self.address, self.random = loop, peer, address, random
        self.queue: deque[bytes] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.queued, self.reconnect_requested = asyncio.Event(), asyncio.Event()
        self.sent, self.dropped, self.connect_count = 0, 0, 0
        self.last_error = ""  # of the connection, or the peer's latest rejection; for human readers
        self.connected = False
        self.unacknowledged: deque[float] = deque()  # sending times of messages in flight
        self.acknowledged = asyncio.Event()
        self.task = loop.create_task(self._run())

    def send(self, body: bytes) -> None:
        """Queues an encoded message."""
        if len(self.queue) == MAX_QUEUED_MESSAGES:
            self.dropped += 1
        self.queue.append(body)
        self.queued.set()

    def reconnect_now(self) -> None:
        """Ends the reconnect backoff; called when a message from the peer shows that it is up.

        Otherwise a majority of two nodes might have to wait for a backoff that began while one was down.
        """
        if not self.connected:
            self.reconnect_requested.set()

    def close(self) -> None:
        """Closes the connection, and drops queued messages."""
        self.task.cancel()

    async def _run(self) -> None:
        backoff = MIN_RECONNECT_S
        while True:
            started_at = self.loop.time()
            try:
                await self._run_connection()
            except (OSError, TimeoutError, http.BadMessage) as error:
                self.last_error = str(error) or type(error).__name__
            self.connected = False
            self.dropped += len(self.queue)  # queued messages are outdated by now
            self.queue.clear()
            was_stable = self.loop.time() - started_at > STABLE_CONNECTION_S
            backoff = MIN_RECONNECT_S if was_stable else min(2 * backoff, MAX_RECONNECT_S)
            await self._wait_to_reconnect(backoff)

    async def _wait_to_reconnect(self, backoff: float) -> None:
        self.reconnect_requested.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(backoff * (0.5 + self.random())):
                await self.reconnect_requested.wait()
        if self.reconnect_requested.is_set():
            await asyncio.sleep(MIN_RECONNECT_S)  # a minimum pause, however often a reconnect is requested

    async def _run_connection(self) -> None:
        """Connects, and sends messages until the connection fails. Raises ConnectionError with the reason."""
        sock = socket.socket(socket.AF_INET6 if ":" in self.address.host else socket.AF_INET)
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.sock_connect(sock, (self.address.host, self.address.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connect_count, self.connected = self.connect_count + 1, True
            self.unacknowledged, self.acknowledged = deque(), asyncio.Event()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._read(sock))
                tasks.create_task(self._write(sock))
        except* (OSError, TimeoutError, http.BadMessage) as group_error:
            error = group_error.exceptions[0]
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            raise ConnectionError(str(error) or type(error).__name__) from None
        finally:
            sock.close()

    async def _write(self, sock: socket.socket) -> None:
        """Sends queued messages, with at most `MAX_UNACKNOWLEDGED` in flight."""
        host = str(self.address).encode()
        while True:
            if not self.queue:
                self.queued.clear()
                await self.queued.wait()
            while len(self.unacknowledged) >= MAX_UNACKNOWLEDGED:
                self.acknowledged.clear()
                await self.acknowledged.wait()
            body = self.queue.popleft()
            head = b"\r\nContent-Length: %d\r\n\r\n" % len(body)
            self.unacknowledged.append(self.loop.time())
            if unsent := send_parts(sock, [b"POST /peer HTTP/1.1\r\nHost: ", host, head, body]):
                async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S):
                    await self.loop.sock_sendall(sock, unsent)
            self.sent += 1

    async def _read(self, sock: socket.socket) -> None:
        """Reads acknowledgements. Raises TimeoutError if the oldest message in flight gets none in time."""
        reader, buffer = http.ResponseReader(), bytearray(CLIENT_BUFFER_BYTES)
        while True:
            try:
                async with asyncio.timeout(ACKNOWLEDGE_TIMEOUT_S / 2):
                    size = await self.loop.sock_recv_into(sock, buffer)
            except TimeoutError:
                oldest = self.unacknowledged[0] if self.unacknowledged else self.loop.time()
                if self.loop.time() - oldest > ACKNOWLEDGE_TIMEOUT_S:
                    raise TimeoutError(f"no acknowledgement within {ACKNOWLEDGE_TIMEOUT_S:g} s") from None
                continue
            if not size:
                raise ConnectionError("connection closed by the peer")
            reader.feed(memoryview(buffer)[:size], 0.0)
            while reader.ready:
                self._record_acknowledgement(reader.ready.popleft())

    def _record_acknowledgement(self, answer: http.Message) -> None:
        if self.unacknowledged:
            self.unacknowledged.popleft()
        self.acknowledged.set()
        self.last_error = ""
        if answer.status != 200:
            text = bytes(answer.body)[:SHOWN_REPLY_BYTES].decode(errors="replace").strip()
            self.last_error = f"{answer.status} {text}"
