"""HTTP/1.1 between coordinators, and for their callers: `net/http` reads and writes it, this moves the bytes.
Connections, sizes, queues and times are bounded; nothing that a peer sends ends the process.
"""

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Awaitable, Callable

from loguru import logger

from foxspread.config import Address
from foxspread.net import http
from foxspread.net.pool import listening, written

CONNECTIONS = 512  # at once; where all are there, the one that has been idle for longest makes way
PATIENCE = 5.0  # for a request that has begun, and for an answer to be taken
IDLE = 60.0
QUEUE = 128  # messages that wait for one peer; the oldest go, for it sends what matters again
UNANSWERED = 32  # messages to one peer that it has not acknowledged yet
STUCK = 2.0  # a peer that acknowledges nothing for so long gets a new connection
CONNECT = 1.0
LATEST_BACK = 1.0  # between two tries to connect

Answer = tuple[int, bytes]
Handler = Callable[[http.Message], Awaitable[Answer]]


class Server:
    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, handler: Handler) -> None:
        self.loop, self.handler = loop, handler
        self.sock = listening(address, "listen", 256)
        self.address = Address(*self.sock.getsockname()[:2])
        self.talks: dict[asyncio.Task, float] = {}  # when each began to wait for a request
        self.busy: set[asyncio.Task] = set()
        self.refused, self.faults = 0, 0
        self.task = loop.create_task(self._accept())

    async def _accept(self) -> None:
        while True:
            try:
                sock, _ = await self.loop.sock_accept(self.sock)
            except OSError as error:  # out of descriptors, or it was gone again: wait, and do not spin
                logger.warning("accept: {}", error)
                await asyncio.sleep(0.05)
                continue
            if len(self.talks) >= CONNECTIONS:
                idle = next((each for each in self.talks if each not in self.busy), None)
                if idle is None:
                    self.refused += 1
                    sock.close()
                    continue
                idle.cancel()
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(self._talk(sock))
            self.talks[task] = self.loop.time()
            task.add_done_callback(self._over)

    def _over(self, task: asyncio.Task) -> None:
        self.talks.pop(task, None)
        self.busy.discard(task)

    async def _talk(self, sock: socket.socket) -> None:
        task = asyncio.current_task()
        reader, buffer = http.RequestReader(), bytearray(8 * 1024)
        try:
            while True:
                while not reader.ready:
                    async with asyncio.timeout(PATIENCE if reader.busy else IDLE):
                        size = await self.loop.sock_recv_into(sock, buffer)
                    if not size:
                        return
                    reader.feed(memoryview(buffer)[:size], 0.0)
                    if reader.wants_continue:
                        await self._write(sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
                message = reader.ready.popleft()
                self.busy.add(task)
                if message.long:
                    raise http.BadMessage(413, f"a body of more than {http.BODY_MOST} bytes")
                status, body = await self.handler(message)
                await self._write(
                    sock,
                    http.answer(
                        status,
                        body,
                        (b"Content-Type: application/json\r\n",),
                        keep=message.keep,
                        old=message.old,
                    ),
                )
                self.busy.discard(task)
                self.talks[task] = self.talks.pop(task)  # the latest to wait
                if not message.keep:
                    return
        except http.BadMessage as error:
            self.faults += 1
            try:
                await self._write(sock, http.answer(error.status, f"{error}\n".encode(), keep=False))
                # Reads on to the end: closing with bytes unread resets the connection, and the answer may be
                # lost.
                sock.shutdown(socket.SHUT_WR)
                async with asyncio.timeout(0.5):
                    while await self.loop.sock_recv_into(sock, buffer):
                        pass
            except (OSError, TimeoutError):
                pass
        except (OSError, TimeoutError):
            pass
        except asyncio.CancelledError:
            pass  # it made way, or the process ends
        except Exception:  # must not end the process, nor go unseen
            self.faults += 1
            logger.exception("a call")
        finally:
            sock.close()

    async def _write(self, sock: socket.socket, parts: list[bytes]) -> None:
        if rest := written(sock, parts):
            async with asyncio.timeout(PATIENCE):
                await self.loop.sock_sendall(sock, rest)

    def close(self) -> None:
        self.task.cancel()
        self.sock.close()
        for task in list(self.talks):
            task.cancel()


class Link:
    """Messages to one peer over one connection. What can't be sent is dropped: the core lives with that."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, to: str, address: Address, chance: Callable[[], float]
    ) -> None:
        self.loop, self.to, self.address, self.chance = loop, to, address, chance
        self.queue: deque[bytes] = deque(maxlen=QUEUE)
        self.wake, self.hurried = asyncio.Event(), asyncio.Event()
        self.sent, self.dropped, self.connects, self.refusal = 0, 0, 0, ""
        self.up = False
        self.task = loop.create_task(self._run())

    def put(self, body: bytes) -> None:
        if len(self.queue) == QUEUE:
            self.dropped += 1
        self.queue.append(body)
        self.wake.set()

    async def _run(self) -> None:
        pause = 0.02
        while True:
            began = self.loop.time()
            try:
                await self._connected()
            except (OSError, TimeoutError, http.BadMessage) as error:
                self.refusal = str(error) or type(error).__name__
            self.up = False
            self.dropped += len(self.queue)  # what waited is old by now
            self.queue.clear()
            pause = 0.02 if self.loop.time() - began > 5.0 else min(2 * pause, LATEST_BACK)
            self.hurried.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(pause * (0.5 + self.chance())):
                    await self.hurried.wait()
            if self.hurried.is_set():
                await asyncio.sleep(0.02)  # however often it is told

    def hurry(self) -> None:
        """The peer was heard, so it is there again: guards against a majority that waits out a pause, where
        the one of both that is elected had last tried while the other one was down."""
        if not self.up:
            self.hurried.set()

    async def _connected(self) -> None:
        """Raises what ends it. Requests go without waiting for answers, up to a bound."""
        sock = socket.socket(socket.AF_INET6 if ":" in self.address.host else socket.AF_INET)
        try:
            sock.setblocking(False)
            async with asyncio.timeout(CONNECT):
                await self.loop.sock_connect(sock, (self.address.host, self.address.port))
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.connects, self.up = self.connects + 1, True
            self.open, self.room = deque(), asyncio.Event()  # when each unanswered request was sent
            async with asyncio.TaskGroup() as group:
                group.create_task(self._read(sock))
                group.create_task(self._write(sock))
        except* (OSError, TimeoutError, http.BadMessage) as several:
            error = several.exceptions[0]
            while isinstance(error, ExceptionGroup):
                error = error.exceptions[0]
            raise ConnectionError(str(error) or type(error).__name__) from None
        finally:
            sock.close()

    async def _write(self, sock: socket.socket) -> None:
        host = str(self.address).encode()
        while True:
            if not self.queue:
                self.wake.clear()
                await self.wake.wait()
            while len(self.open) >= UNANSWERED:
                self.room.clear()
                await self.room.wait()
            body = self.queue.popleft()
            parts = [
                b"POST /peer HTTP/1.1\r\nHost: ",
                host,
                b"\r\nContent-Length: %d\r\n\r\n" % len(body),
                body,
            ]
            self.open.append(self.loop.time())
            if rest := written(sock, parts):
                async with asyncio.timeout(STUCK):
                    await self.loop.sock_sendall(sock, rest)
            self.sent += 1

    async def _read(self, sock: socket.socket) -> None:
        reader, buffer = http.AnswerReader(), bytearray(4096)
        while True:
            try:
                async with asyncio.timeout(STUCK / 2):
                    size = await self.loop.sock_recv_into(sock, buffer)
            except TimeoutError:
                if self.open and self.loop.time() - self.open[0] > STUCK:
                    raise TimeoutError("it acknowledges nothing") from None
                continue
            if not size:
                raise ConnectionError("closed by the peer")
            reader.feed(memoryview(buffer)[:size], 0.0)
            while reader.ready:
                answer = reader.ready.popleft()
                if self.open:
                    self.open.popleft()
                self.room.set()
                if answer.status != 200:
                    self.refusal = (
                        f"{answer.status} {bytes(answer.body)[:200].decode(errors='replace').strip()}"
                    )
                else:
                    self.refusal = ""

    def close(self) -> None:
        self.task.cancel()
