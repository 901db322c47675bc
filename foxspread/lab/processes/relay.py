"""A relay between two processes, with faults by name on the connections through it.

A callback gets the body of each request that passes. Faults act on a link as long as they are on:

    silent      nothing passes either way; what was in flight comes when the fault ends
    silent_out  nothing passes from the side that connects; silent_in: nothing comes back to it
    reset       connections are reset, new ones too
    refuse      nobody listens
    delay       each piece comes later, by a tenth of a second and some jitter
    trickle     a few bytes at a time
    held        pieces come after seconds
    half_open   the far side is gone and the near side gets no notice
    repeat      requests are sent twice
"""

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable

from foxspread.config import Address
from foxspread.net.pool import create_listener

LINK_FAULTS = (
    "silent",
    "silent_out",
    "silent_in",
    "reset",
    "refuse",
    "delay",
    "trickle",
    "held",
    "half_open",
    "repeat",
)
MAX_HEAD_BYTES = 64 * 1024


class RequestParser:
    """Cuts a stream into complete requests, by their Content-Length; what isn't one passes as it came."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[tuple[bytes, bytes]]:
        """Each complete request, and its body."""
        self.data += data
        requests = []
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = bytes(self.data[:end]).lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.data) < end + 4 + length:
                break
            requests.append(
                (bytes(self.data[: end + 4 + length]), bytes(self.data[end + 4 : end + 4 + length]))
            )
            del self.data[: end + 4 + length]
        if len(self.data) > MAX_HEAD_BYTES + 64 * 1024:
            raise ConnectionError("no request of ours")
        return requests


class Relay:
    """`target` may change, as when the far process starts anew. `saw` gets each request's body."""

    def __init__(
        self, name: str, chance: random.Random, saw: Callable[[bytes], None] = lambda body: None
    ) -> None:
        self.name, self.chance, self.saw = name, chance, saw
        self.target: Address | None = None
        self.on: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.tasks: set[asyncio.Task] = set()
        self.sockets: set[socket.socket] = set()
        self.loop = asyncio.get_running_loop()
        self.sock = create_listener(Address("127.0.0.1", 0), "relay", 64)
        self.address = Address(*self.sock.getsockname())
        self.accepting = self.loop.create_task(self._accept())

    def begin(self, kind: str) -> None:
        """A fault begins; the same one may begin several times."""
        self.on[kind] = self.on.get(kind, 0) + 1
        if kind == "refuse" and self.on[kind] == 1:
            self._stop_listening()
        if kind in ("reset", "refuse", "half_open"):
            self.reset()
        self._notify()

    def end(self, kind: str) -> None:
        """A fault ends, once it has ended as often as it began."""
        self.on[kind] -= 1
        if kind == "refuse" and not self.on[kind]:
            self.sock = create_listener(self.address, "relay", 64)
            self.accepting = self.loop.create_task(self._accept())
        if kind == "half_open" and not self.on[kind]:
            self.reset()
        self._notify()

    def _stop_listening(self) -> None:
        """Guards against a number that is used again: closed while the loop still watches it, the next socket
        with that number would not be watched (seen as ENOENT from a connect)."""
        self.accepting.cancel()
        self.accepting.add_done_callback(lambda _, sock=self.sock: sock.close())

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def has(self, *kinds: str) -> bool:
        """Whether one of these faults is on."""
        return any(self.on.get(kind) for kind in kinds)

    def reset(self) -> None:
        """Resets all connections."""
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                sock.shutdown(socket.SHUT_RDWR)

    async def _accept(self) -> None:
        while True:
            try:
                near, _ = await self.loop.sock_accept(self.sock)
            except OSError:
                return
            near.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = self.loop.create_task(self._forward(near))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _forward(self, near: socket.socket) -> None:
        far = socket.socket()
        far.setblocking(False)
        self.sockets |= {near, far}
        try:
            if self.has("half_open"):
                while await self.loop.sock_recv(near, 65536):
                    pass
                return
            if self.has("reset") or self.target is None:
                near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
            await self.loop.sock_connect(far, (self.target.host, self.target.port))
            far.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(near, far, "silent_out", RequestParser()))
                group.create_task(self._pump(far, near, "silent_in", None))
        except* (OSError, ValueError):
            pass
        finally:
            for sock in (near, far):
                self.sockets.discard(sock)
                sock.close()

    async def _pump(
        self, one: socket.socket, other: socket.socket, silent: str, parser: RequestParser | None
    ) -> None:
        """Until an end closes, which ends both ways."""
        while True:
            data = await self.loop.sock_recv(one, 65536)
            if not data:
                raise ConnectionError("closed")
            if parser is not None:
                requests = parser.feed(data)
                for _, body in requests:
                    self.saw(body)
                data = b"".join(each * 2 if self.has("repeat") else each for each, _ in requests)
            if self.has("delay"):
                await asyncio.sleep(0.1 + self.chance.uniform(0, 0.1))
            if self.has("held"):
                await asyncio.sleep(self.chance.uniform(0.5, 2.5))
            while self.has("silent", silent):
                await self.changed.wait()
            while data:
                piece = data[:7] if self.has("trickle") else data
                await self.loop.sock_sendall(other, piece)
                data = data[len(piece) :]
                if data:
                    await asyncio.sleep(0.001)

    async def close(self) -> None:
        """Ends the relay with all its connections."""
        self._stop_listening()
        tasks = [self.accepting, *self.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
