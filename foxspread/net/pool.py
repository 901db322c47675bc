"""Sockets: how many there may be, how they are written to, and the kept connections to servers."""

import asyncio
import errno
import os
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from foxspread.config import Address
from foxspread.net.http import AnswerReader
from foxspread.net.reasons import Reason

PARTS_MOST = 512  # of one gathered write; the system takes 1,024
BUFFER = 4 * 1024  # of each connection, as long as it lasts: most messages fit, others take more reads


class Descriptors:
    """Bounds the sockets in use, with some kept in reserve for files, discovery and what is closing. Where
    all are in use, something idle is closed first: `givers` each close one and say so, or cannot."""

    def __init__(self, most: int, reserve: int = 0) -> None:
        self.most, self.used = max(8, most - reserve), 0
        self.givers: list[Callable[[], bool]] = []
        self.freed: Callable[[], None] = lambda: None

    def take(self, left: int = 0) -> bool:
        """False where none is to be had, or not so many would be left for others."""
        if self.used >= self.most - left and not any(give() for give in self.givers):
            return False
        if self.used >= self.most - left:
            return False  # one is closing, but only its own task may end it: the next call finds it free
        self.used += 1
        return True

    def lend(self, count: int) -> None:
        """To another process under the same limit; less than 0: they are back."""
        self.most -= count

    def give_back(self) -> None:
        self.used -= 1
        self.freed()


def written(sock: socket.socket, parts: Sequence[bytes]) -> memoryview | None:
    """Gathered; returns what one write did not take: it may end inside any part."""
    try:
        sent = sock.sendmsg(parts[:PARTS_MOST])
    except (BlockingIOError, InterruptedError):
        sent = 0
    return memoryview(b"".join(parts))[sent:] if sent < sum(map(len, parts)) else None


def listening(address: Address, key: str, backlog: int) -> socket.socket:
    """OSError naming the key where the address cannot be had."""
    sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((address.host, address.port))
        sock.listen(backlog)
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"'{key}' {address}: {error.strerror}") from None
    return sock


async def write(loop: asyncio.AbstractEventLoop, sock: socket.socket, parts: Sequence[bytes]) -> None:
    """All parts; what the first write did not take goes on as the socket takes it."""
    if rest := written(sock, parts):
        await loop.sock_sendall(sock, rest)


async def connect(loop: asyncio.AbstractEventLoop, sock: socket.socket, address: Address) -> None:
    """Not by the loop's sock_connect: uvloop has a thread look up even a plain address, which costs more than
    the connection, and waits where all such threads are busy."""
    try:
        return sock.connect((address.host, address.port))
    except BlockingIOError:
        pass
    ready = loop.create_future()
    loop.add_writer(sock, lambda: ready.done() or ready.set_result(None))
    try:
        await ready
    finally:
        loop.remove_writer(sock)
    if error := sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        raise OSError(error, os.strerror(error))


@dataclass(frozen=True)
class Place:
    """One run of a server: what was opened to another one says nothing of it, at the same address or not."""

    server: str
    address: Address
    started: float = 0.0


def connected(sock: socket.socket) -> bool:
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Connection:
    """To a server. Only its user, or the pool while it is idle, closes it: with no loop call pending."""

    def __init__(self, sock: socket.socket, place: Place, descriptors: Descriptors) -> None:
        self.sock, self.place, self.descriptors = sock, place, descriptors
        self.idle_since, self.used = 0.0, 0
        self.buffer, self.reader = bytearray(BUFFER), AnswerReader()

    def close(self, reason: Reason) -> None:
        self.sock.close()
        self.descriptors.give_back()
        logger.info("{} server={} lookups={}", reason.value, self.place.address, self.used)

    def sound(self) -> bool:
        """Guards against connections that the server has closed meanwhile: a request written to one would
        end as a reset, which may have run."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # its end, or bytes that nobody asked for


class Pool:
    def __init__(
        self, loop: asyncio.AbstractEventLoop, descriptors: Descriptors, connect_time: float, idle_time: float
    ) -> None:
        self.loop, self.descriptors, self.connect_time = loop, descriptors, connect_time
        # Well before the server may close it: its close and our request would cross.
        self.idle_most = 0.7 * idle_time
        self.idle: dict[Place, list[Connection]] = {}  # the newest last
        self.left: dict[Place, float] = {}  # of what is gone, since when: what is out there must not be kept
        self.closing = False  # what is idle is needed by another process under the same limits
        descriptors.givers.append(self.close_oldest)

    def reuse(self, place: Place) -> Connection | None:
        """The newest idle connection: the old ones may then end, and are the likeliest to be dead."""
        kept = self.idle.get(place, [])
        while kept:
            connection = kept.pop()
            if self.loop.time() - connection.idle_since > self.idle_most:
                connection.close(Reason.SERVER_IDLE)
            elif connection.sound():
                return connection
            else:
                connection.close(Reason.SERVER_CLOSED)
        return None

    async def connect(self, place: Place) -> Connection | None:
        """A new connection; None where this machine has no room for one, OSError or TimeoutError where the
        server does not take it."""
        address = place.address
        if not self.descriptors.take():
            return None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
        except OSError as error:  # out of descriptors: our own fault, which must not mark the server
            logger.warning("no socket: {}", error)
            self.descriptors.give_back()
            return None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                async with asyncio.timeout(self.connect_time):
                    await connect(self.loop, sock, address)
            except TimeoutError:  # after a pause of this process it may have come up in time, unseen
                if not connected(sock):
                    raise
        except BaseException as error:  # also when called off
            sock.close()
            self.descriptors.give_back()
            reasons = {TimeoutError: Reason.SERVER_SILENT, asyncio.CancelledError: Reason.CALLED_OFF}
            reason = reasons.get(type(error), Reason.SERVER_REFUSED)
            logger.info("{} server={} lookups=0", reason.value, address)
            if isinstance(error, OSError) and error.errno == errno.EADDRNOTAVAIL:
                return None  # no port left here
            raise
        return Connection(sock, place, self.descriptors)

    def keep(self, connection: Connection) -> None:
        if connection.place in self.left:
            return connection.close(Reason.SERVER_MOVED)
        if self.closing:
            return connection.close(Reason.SERVER_STOP)
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.place, []).append(connection)

    def welcome(self, place: Place) -> None:
        self.left.pop(place, None)

    def leave(self, place: Place) -> None:
        """A server that has started anew, or is gone, does not know its connections any more."""
        self.left[place] = self.loop.time()
        self.drop(place, Reason.SERVER_MOVED)

    def drop(self, place: Place, reason: Reason) -> None:
        """All idle ones there."""
        for connection in self.idle.pop(place, []):
            connection.close(reason)

    def close_idle(self) -> None:
        """Now, and from now on."""
        self.closing = True
        for place in list(self.idle):
            self.drop(place, Reason.SERVER_STOP)

    def sweep(self) -> None:
        """Closes what has been idle for too long or was closed by its server."""
        limit = self.loop.time() - self.idle_most
        for place in [each for each, since in self.left.items() if since < limit - 60]:
            del self.left[place]  # whatever was out there has ended long ago
        for place, kept in list(self.idle.items()):
            for connection in list(kept):
                if connection.idle_since < limit or not connection.sound():
                    kept.remove(connection)
                    old = connection.idle_since < limit
                    connection.close(Reason.SERVER_IDLE if old else Reason.SERVER_CLOSED)
            if not kept:
                del self.idle[place]

    def close_oldest(self) -> bool:
        groups = [kept for kept in self.idle.values() if kept]  # looked at before: closing empties the last
        if groups:
            min(groups, key=lambda kept: kept[0].idle_since).pop(0).close(Reason.SERVER_ROOM)
        return bool(groups)
