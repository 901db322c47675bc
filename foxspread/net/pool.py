"""Sockets: the limit on open descriptors, writing, listening, and the pool of connections to servers."""

import asyncio
import errno
import os
import socket
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from loguru import logger

from foxspread.config import Address
from foxspread.net.http import ResponseReader
from foxspread.net.reasons import CloseReason

MAX_PARTS_PER_WRITE = 512  # of one gathered write; the system's limit is 1,024
# Allocated for each connection for as long as it is open. Most messages fit; longer ones take several reads.
RECEIVE_BUFFER_BYTES = 4 * 1024
REMOVED_INSTANCE_TTL = 60.0  # seconds, beyond the longest idle time: by then each attempt there has ended


class DescriptorLimit:
    """Limits the number of open sockets; a reserve is kept for files, discovery and sockets being closed.

    When the limit is reached, an idle connection is closed first: each of `reclaimers` closes one and returns
    True, or returns False if it has none."""

    def __init__(self, limit: int, reserve: int = 0) -> None:
        self.limit, self.used = max(8, limit - reserve), 0
        self.reclaimers: list[Callable[[], bool]] = []
        self.on_release: Callable[[], None] = lambda: None

    def acquire(self, reserved: int = 0) -> bool:
        """Takes a descriptor. Returns False if none is free beyond the `reserved` ones, which are for
        others."""
        if self.used >= self.limit - reserved and not any(reclaim() for reclaim in self.reclaimers):
            return False
        if self.used >= self.limit - reserved:
            return (
                False  # one is being closed, which only its own task may finish; it is free by the next call
            )
        self.used += 1
        return True

    def lend(self, count: int) -> None:
        """Lowers the limit by what another process under the same limit uses; a negative count restores
        it."""
        self.limit -= count

    def release(self) -> None:
        """Gives a descriptor back."""
        self.used -= 1
        self.on_release()


def send_parts(sock: socket.socket, parts: Sequence[bytes]) -> memoryview | None:
    """Sends the parts in one gathered write and returns the bytes that it did not take, if any."""
    try:
        sent = sock.sendmsg(parts[:MAX_PARTS_PER_WRITE])
    except (BlockingIOError, InterruptedError):
        sent = 0
    return memoryview(b"".join(parts))[sent:] if sent < sum(map(len, parts)) else None


def create_listener(address: Address, key: str, backlog: int) -> socket.socket:
    """Returns a listening socket. Raises an OSError that names the configuration key if that fails."""
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
    """Sends all parts, waiting for the socket where it does not take them at once."""
    if rest := send_parts(sock, parts):
        await loop.sock_sendall(sock, rest)


async def connect(loop: asyncio.AbstractEventLoop, sock: socket.socket, address: Address) -> None:
    """Connects the socket without the loop's sock_connect: uvloop resolves even a numeric address in a
    thread, which costs more than connecting and waits when all threads are busy."""
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
class ServerInstance:
    """One run of a server. Connections to one run are never used for another, even at the same address."""

    server: str
    address: Address
    started: float = 0.0


def is_connected(sock: socket.socket) -> bool:
    """Returns whether a connection was established."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


class Connection:
    """A connection to a server. Only its user closes it, or the pool while it is idle, and only while no loop
    call is pending on its socket."""

    def __init__(self, sock: socket.socket, instance: ServerInstance, descriptors: DescriptorLimit) -> None:
        self.sock, self.instance, self.descriptors = sock, instance, descriptors
        self.idle_since, self.requests = 0.0, 0
        self.buffer, self.reader = bytearray(RECEIVE_BUFFER_BYTES), ResponseReader()

    def close(self, reason: CloseReason) -> None:
        """Closes the connection and logs why."""
        self.sock.close()
        self.descriptors.release()
        logger.info("{} server={} lookups={}", reason.value, self.instance.address, self.requests)

    def is_usable(self) -> bool:
        """Returns False if the server has closed the connection or sent unrequested bytes. A request written
        to a closed connection would end as a reset, after which the server may have executed it."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


class Pool:
    """Keeps idle connections to servers for reuse and opens new ones."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        descriptors: DescriptorLimit,
        connect_time: float,
        idle_time: float,
    ) -> None:
        self.loop, self.descriptors, self.connect_time = loop, descriptors, connect_time
        # Well before the server may close the connection: its close and our request would cross.
        self.max_idle_time = 0.7 * idle_time
        self.idle: dict[ServerInstance, list[Connection]] = {}  # most recently used last
        # Time of removal. Connections to these that are still in use must not be kept afterwards.
        self.removed: dict[ServerInstance, float] = {}
        self.closing = False  # keeps nothing any more: another process needs the descriptors
        descriptors.reclaimers.append(self.close_oldest_idle)

    def reuse(self, instance: ServerInstance) -> Connection | None:
        """Returns the most recently used idle connection. Older ones are the likeliest to be dead and may
        then expire."""
        connections = self.idle.get(instance, [])
        while connections:
            connection = connections.pop()
            if self.loop.time() - connection.idle_since > self.max_idle_time:
                connection.close(CloseReason.SERVER_IDLE)
            elif connection.is_usable():
                return connection
            else:
                connection.close(CloseReason.SERVER_CLOSED)
        return None

    async def connect(self, instance: ServerInstance) -> Connection | None:
        """Opens a connection. Returns None if this machine has no descriptor or port left; raises OSError or
        TimeoutError if the server does not accept it."""
        address = instance.address
        if not self.descriptors.acquire():
            return None
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
        except OSError as error:  # out of descriptors: a local failure, which must not eject the server
            logger.warning("no socket: {}", error)
            self.descriptors.release()
            return None
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            try:
                async with asyncio.timeout(self.connect_time):
                    await connect(self.loop, sock, address)
            except TimeoutError:  # if this process was paused, it may have connected in time unnoticed
                if not is_connected(sock):
                    raise
        except BaseException as error:  # including cancellation
            sock.close()
            self.descriptors.release()
            reasons = {
                TimeoutError: CloseReason.SERVER_CONNECT_TIMEOUT,
                asyncio.CancelledError: CloseReason.SERVER_CANCELLED,
            }
            reason = reasons.get(type(error), CloseReason.SERVER_REFUSED)
            logger.info("{} server={} lookups=0", reason.value, address)
            if isinstance(error, OSError) and error.errno == errno.EADDRNOTAVAIL:
                return None  # no local port left
            raise
        return Connection(sock, instance, self.descriptors)

    def release(self, connection: Connection) -> None:
        """Keeps the connection for reuse, or closes it if its instance was removed or the pool is closing."""
        if connection.instance in self.removed:
            return connection.close(CloseReason.SERVER_REPLACED)
        if self.closing:
            return connection.close(CloseReason.SERVER_STOPPING)
        connection.idle_since = self.loop.time()
        self.idle.setdefault(connection.instance, []).append(connection)

    def allow(self, instance: ServerInstance) -> None:
        """Connections to the instance may be kept again."""
        self.removed.pop(instance, None)

    def remove(self, instance: ServerInstance) -> None:
        """Drops all connections to an instance that was removed or has restarted."""
        self.removed[instance] = self.loop.time()
        self.close_idle(instance, CloseReason.SERVER_REPLACED)

    def close_idle(self, instance: ServerInstance, reason: CloseReason) -> None:
        """Closes the idle connections to the instance."""
        for connection in self.idle.pop(instance, []):
            connection.close(reason)

    def close_all_idle(self) -> None:
        """Closes all idle connections and from now on each one that becomes idle."""
        self.closing = True
        for instance in list(self.idle):
            self.close_idle(instance, CloseReason.SERVER_STOPPING)

    def sweep(self) -> None:
        """Closes connections that were idle for too long or that their server has closed."""
        limit = self.loop.time() - self.max_idle_time
        for instance in [
            instance for instance, since in self.removed.items() if since < limit - REMOVED_INSTANCE_TTL
        ]:
            del self.removed[instance]
        for instance, connections in list(self.idle.items()):
            for connection in list(connections):
                if connection.idle_since < limit or not connection.is_usable():
                    connections.remove(connection)
                    expired = connection.idle_since < limit
                    connection.close(CloseReason.SERVER_IDLE if expired else CloseReason.SERVER_CLOSED)
            if not connections:
                del self.idle[instance]

    def close_oldest_idle(self) -> bool:
        """Closes the connection that has been idle longest. Returns False if none is idle."""
        groups = [
            connections for connections in self.idle.values() if connections
        ]  # `reuse` leaves empty lists
        if groups:
            oldest = min(groups, key=lambda connections: connections[0].idle_since)
            oldest.pop(0).close(CloseReason.SERVER_RECLAIMED)
        return bool(groups)
