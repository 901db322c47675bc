"""Clients: accepts their connections, reads their requests, writes the answers."""

import asyncio
import socket
import struct
from collections.abc import Iterable
from dataclasses import dataclass, field

from loguru import logger

from foxspread.config import Address
from foxspread.net import http
from foxspread.net.passing import SLOWEST, STALL, Body, Passing, Windows
from foxspread.net.pool import BUFFER, Descriptors, listening, written
from foxspread.net.reasons import Reason

CONTINUE = [b"HTTP/1.1 100 Continue\r\n\r\n"]
WASTE = bytearray(256 * 1024)  # where bytes go that nobody looks at, of all connections


@dataclass
class Reply:
    status: int
    body: bytes | bytearray = b""
    lines: list[bytes] = field(default_factory=list)
    passing: Passing | None = None  # what follows the head, in place of a body


@dataclass
class Ticket:
    """Of a request that was taken: its reply to come, and the lookup's id, if it is one."""

    reply: asyncio.Future[Reply]
    id: str = ""
    category: str = ""  # of a lookup, also of one that is answered at once


class Front:
    """What the listener needs of the sidecar."""

    def taken(self, message: http.Message) -> Ticket:
        """`BadMessage` where it is no request that can be answered."""
        raise NotImplementedError

    def left(self, ticket: Ticket) -> None:
        """Its client went away before the reply."""
        raise NotImplementedError

    def ended(self, ticket: Ticket, status: int) -> None:
        """Its reply is written; 0 where its client did not take it."""

    def arrival(self) -> float:
        """When what is read now has come, at the earliest."""
        raise NotImplementedError


class Client:
    """One connection of a client, and the task that serves it. Its limits are kept by `Listener.sweep`."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        front: Front,
        patience: float,
        windows: Windows,
        stall: float = STALL,
    ) -> None:
        self.loop, self.sock, self.front, self.patience = loop, sock, front, patience
        self.windows, self.stall, self.body = windows, stall, None
        self.passing = False  # its reply is being written
        self.reader, self.buffer = http.RequestReader(), bytearray(BUFFER)
        self.ticket: Ticket | None = None
        self.retired: Reason | None = None
        self.shut = False  # our side reads no more: the end that it then finds is not the client's
        self.gone = False  # the client, with its lookup out
        self.refused = False  # it has its error, and is read from only so that this is not lost
        # Since when it is idle, or a request is under way on it; how many it has sent, and how many lookups.
        self.since, self.answers, self.lookups, self.detail = loop.time(), 0, 0, ""
        self.head_at = 0.0  # when the head of what is under way was whole

    @property
    def idle(self) -> bool:
        return self.ticket is None and not (self.passing or self.reader.busy or self.reader.ready)

    @property
    def silent(self) -> bool:
        """No usual client: it sends what it has at once, whole, and it sends lookups."""
        return self.refused or not (self.ticket or self.passing or self.lookups or self.reader.ready)

    def retire(self, reason: Reason) -> None:
        """Ends the connection after the lookup that it holds. Guards against losing one that crosses this:
        what has come is still read, and the read after it finds the end; a cancelled read could lose it."""
        self.retired = self.retired or reason
        if (self.idle or self.silent or reason is Reason.CLIENT_SLOW) and not self.shut:
            self.shut = True
            try:
                self.sock.shutdown(socket.SHUT_RD)
            except OSError:
                pass  # it has broken: its task sees that too

    async def run(self) -> Reason:
        try:
            reason = await self._serve()
        except http.BadMessage as error:
            self.detail = f" status={error.status} fault={error}"
            reason = Reason.CLIENT_SLOW if error.status == 408 else Reason.CLIENT_BAD
            await self._refuse(error)
        except TimeoutError:
            reason = Reason.CLIENT_SLOW
        except OSError:
            reason = Reason.CLIENT_RESET
        except Exception:  # must not end the process, nor go unseen
            logger.exception("a client's connection")
            reason = Reason.CLIENT_FAULT
        finally:  # here no loop call is pending on the socket: what was awaited has ended
            if self.ticket is not None:
                self.front.left(self.ticket)
                if (
                    self.ticket.reply.done()
                    and not self.ticket.reply.cancelled()
                    and (passing := self.ticket.reply.result().passing) is not None
                ):
                    passing.close()
            if self.body is not None:
                await self.body.abandon()
            self.sock.close()
        return reason

    async def _serve(self) -> Reason:
        while True:
            while not self.reader.ready:
                if not await self._receive():
                    return self.retired or Reason.CLIENT_CLOSED
                if self.reader.wants_continue and not self.reader.ready:  # a long body is asked for later
                    await self._write(CONTINUE)
            message = self.reader.ready.popleft()
            if message.long:
                self.body = message.source = Body(
                    self.loop, self.sock, self.reader, message, self.windows, self.buffer, self.front.arrival
                )
                self.body.broke = self._broke
            self.ticket = self.front.taken(message)
            self.lookups += bool(self.ticket.id)
            if not self.ticket.reply.done() and not await self._client_stays(self.ticket.reply):
                if self.body is not None and self.body.error is not None:
                    raise self.body.error
                return Reason.CLIENT_LEFT
            ticket, self.ticket, self.passing = self.ticket, None, True
            if self.body is not None:
                await self.body.abandon()
                self.body = None
            reply, read = ticket.reply.result(), not message.long or message.whole
            keep, status = read and message.keep and self.retired is None, 0
            try:
                if reply.passing is not None:
                    keep, status = await self._pass_on(reply, message, keep)
                else:
                    await self._write(http.answer(reply.status, reply.body, reply.lines, keep, message.old))
                    status = reply.status
            finally:
                self.passing = False
                self.front.ended(ticket, status)
            self.answers, self.since, self.head_at = self.answers + 1, self.loop.time(), 0.0
            if not read:
                await self._linger()
            if not keep:
                return Reason.CLIENT_CUT if status != reply.status else self.retired or Reason.CLIENT_LAST

    async def _pass_on(self, reply: Reply, message: http.Message, keep: bool) -> tuple[bool, int]:
        """Whether the connection may be kept, and the status that the client has seen. What the server breaks
        off is reset, so that the client can tell; nothing else could be said any more."""
        passing, length = reply.passing, reply.passing.message.length
        chunked = length is None and not message.old
        keep = keep and (length is not None or chunked)
        framing = http.framed_by(passing.message) if length is not None or chunked else b""
        head = http.answer(reply.status, b"", reply.lines, keep, message.old, framing)
        try:
            await self._write([*head, *http.framed(passing.message.piece(), chunked)])
            while True:
                try:
                    piece = await passing.next()
                except OSError:  # TimeoutError is one
                    passing.close(Reason.SERVER_RESET)
                    self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    return False, 502
                if not piece:
                    break
                await self._write(http.framed(piece, chunked))
            if chunked:
                await self._write([http.LAST_CHUNK])
        except BaseException:  # the client left, or does not take it
            passing.close()
            raise
        passing.close()
        return keep, reply.status

    def _broke(self) -> None:
        if self.ticket is not None and not self.ticket.reply.done():
            self.ticket.reply.cancel()

    async def _receive(self) -> int:
        """How much has come; 0 at the end."""
        size = await self.loop.sock_recv_into(self.sock, self.buffer)
        begun = self.reader.busy
        self.reader.feed(memoryview(self.buffer)[:size], self.front.arrival())
        if self.reader.busy and not begun and self.answers:
            self.since = self.loop.time()
        if not self.reader.in_body:
            self.head_at = 0.0
        elif not self.head_at:
            self.head_at = self.loop.time()
        # Guards against one that sends too slowly, for ever; it is told, if it still listens.
        if self.retired is Reason.CLIENT_SLOW and not self.reader.ready and (size or self.reader.busy):
            raise http.BadMessage(408, "no whole request in time")
        return size

    async def _client_stays(self, reply: asyncio.Future[Reply]) -> bool:
        """Waits for the reply; False if the client goes away before. What comes early stays unread."""
        try:
            await reply
        except asyncio.CancelledError:
            if not self.gone and (self.body is None or self.body.error is None):
                raise
            return False
        return not self.gone

    def slow(self, now: float) -> bool:
        """A head may take 2 s, a body what it takes at 64 kB a second; who gives nothing is told sooner."""
        until = self.since + self.patience
        if self.reader.in_body:
            until = max(until, self.head_at + 0.4 * self.patience + self.reader.size / SLOWEST)
        return now > until

    def look(self) -> None:
        """Has the client of a lookup that is out gone away? Looked for now and then: to watch each connection
        for each lookup takes more of the core."""
        if self.ticket is None or self.shut or self.ticket.reply.done():
            return
        try:
            self.gone = not self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return
        except OSError:
            self.gone = True
        if self.gone:
            self.ticket.reply.cancel()

    async def _write(self, parts: list[bytes]) -> None:
        """Guards against clients that do not read: their answer must not stay for ever."""
        if rest := written(self.sock, parts):
            async with asyncio.timeout(self.stall):
                await self.loop.sock_sendall(self.sock, rest)

    async def _refuse(self, error: http.BadMessage) -> None:
        """Answers what is malformed and ends the connection, reading on for a moment: closing with bytes
        unread would reset it, and the answer could be lost."""
        self.refused = True
        if self.body is not None:
            await self.body.abandon()
            self.body = None
        try:
            await self._write(http.answer(error.status, f"{error}\n".encode(), keep=False))
        except OSError:
            return
        await self._linger()

    async def _linger(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(self.patience):
                while not self.shut and await self.loop.sock_recv_into(self.sock, WASTE):
                    pass
        except OSError:
            pass


class Listener:
    """Patience: how long a request may take to come, and an answer to be taken. A connection that has been
    idle for `idle_most` ends, one that never had a lookup after `patience`. `most` clients at once."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        front: Front,
        descriptors: Descriptors,
        patience: float = 2.4,
        idle_most: float = 10.0,
        passed: socket.socket | None = None,
        windows: Windows | None = None,
        stall: float = STALL,
    ) -> None:
        self.loop, self.front, self.descriptors, self.patience = loop, front, descriptors, patience
        self.windows, self.stall = windows or Windows(0), stall
        self.idle_most = idle_most
        self.clients: dict[Client, asyncio.Task] = {}
        self.accepting = False
        self.sock = passed or listening(address, "listen", 1024)
        self.address = Address(*self.sock.getsockname()[:2])
        # Those that are no usual clients yield before the pool's connections, the others after them.
        descriptors.givers.insert(0, self._retire_silent)
        descriptors.givers.append(self._retire_longest_idle)
        descriptors.freed = self.resume
        self.kept_free = descriptors.most // 4  # for servers: clients alone must not take all there are
        self.crowd = descriptors.most // 4  # usual clients, from which on those that are idle make way

    def resume(self) -> None:
        if not self.accepting and self.sock.fileno() >= 0:
            self.accepting = True
            self.loop.add_reader(self.sock, self._accept)

    def pause(self, seconds: float | None = None) -> None:
        if self.accepting:
            self.accepting = False
            self.loop.remove_reader(self.sock)
        if seconds is not None:
            self.loop.call_later(seconds, self.resume)

    def _accept(self, most: int = 64) -> None:
        """Accepts what waits. By hand and not in a task: a cancelled accept could lose a connection, and with
        it a lookup that counts as taken."""
        for _ in range(most):
            if not self.descriptors.take(self.kept_free):
                return self.pause(0.05)  # or until one is freed
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                self.descriptors.used -= 1
                if not isinstance(error, (BlockingIOError, ConnectionAbortedError, InterruptedError)):
                    logger.warning("accept: {}", error)  # out of descriptors or memory: it passes
                    self.pause(0.05)
                return
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            client = Client(self.loop, sock, self.front, self.patience, self.windows, self.stall)
            self.clients[client] = task = self.loop.create_task(client.run())
            task.add_done_callback(lambda task, client=client: self._ended(client, task))
            self._make_way()

    def _ended(self, client: Client, task: asyncio.Task) -> None:
        del self.clients[client]
        if task.cancelled():
            reason = Reason.STOPPING
        else:
            reason = Reason.CLIENT_FAULT if task.exception() else task.result()
        logger.info("{} client lookups={}{}", reason.value, client.answers, client.detail)
        self.descriptors.give_back()

    def _make_way(self) -> None:
        """Guards against clients that ask once on each connection and keep it: the application may hold far
        fewer than we can, and has none left for its next lookups while those stay idle."""
        usual = [each for each in self.clients if each.lookups and not each.shut]
        if len(usual) > self.crowd:
            since = self.loop.time() - 0.1
            self._retire_oldest(each for each in usual if each.idle and each.since < since)

    def _retire_silent(self) -> bool:
        """The longest silent one, if its request can't just be on its way."""
        since = self.loop.time() - 0.1
        return self._retire_oldest(each for each in self.clients if each.silent and each.since < since)

    def _retire_longest_idle(self) -> bool:
        return self._retire_oldest(each for each in self.clients if each.idle)

    def _retire_oldest(self, several: Iterable[Client]) -> bool:
        oldest = min((each for each in several if not each.shut), key=lambda each: each.since, default=None)
        if oldest is not None:
            oldest.retire(Reason.CLIENT_ROOM)
        return oldest is not None

    def look(self) -> None:
        for client in list(self.clients):
            client.look()

    def sweep(self) -> None:
        """Guards against connections that say nothing, or not enough, and would stay for good."""
        now = self.loop.time()
        for client in list(self.clients):
            if client.ticket is None and not client.passing and now - client.since > self.patience:
                if client.reader.busy or not client.answers:
                    if client.slow(now):
                        client.retire(Reason.CLIENT_SLOW)
                elif not client.lookups or now - client.since > self.idle_most:
                    client.retire(Reason.CLIENT_IDLE)

    def retire_all(self) -> None:
        """Ends idle connections now and the others after their answer."""
        for client in list(self.clients):
            client.retire(Reason.STOPPING)

    def leave(self) -> None:
        """A successor accepts here from now on; no connection is cut, each is told that its next answer is
        the last. The socket is shared: let go of, and never shut down."""
        self.pause()
        self.sock.close()
        for client in self.clients:
            client.retired = client.retired or Reason.HANDED_OVER

    def close(self) -> None:
        """Takes what still waits to be accepted, then refuses: a lookup in there counts as taken."""
        if self.accepting:
            self._accept(4096)
        self.pause()
        self.sock.close()
