"""A link between two processes: one side connects here, and gets the other side through faults by name.

What passes is kept as a ledger of requests. Faults act on a link as long as they are on:

    silent      nothing passes either way; what was on its way comes when the link is whole again
    silent_out  nothing passes from the side that connects; silent_in: nothing comes back to it
    reset       connections are reset, new ones too
    refuse      nobody listens
    delay       each piece comes later, by a tenth of a second and some jitter
    trickle     a few bytes at a time
    held        pieces come after seconds
    half_open   the far side is gone and the near side isn't told
    repeat      requests are sent twice
"""

import asyncio
import contextlib
import random
import socket
import struct
from collections.abc import Callable

from foxspread.config import Address
from foxspread.net.pool import listening

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
HEAD_MOST = 64 * 1024


class Requests:
    """Cuts a stream into whole requests, by their Content-Length; what isn't one passes as it came."""

    def __init__(self) -> None:
        self.data = bytearray()

    def feed(self, data: bytes) -> list[tuple[bytes, bytes]]:
        """Each whole request, and its body."""
        self.data += data
        found = []
        while (end := self.data.find(b"\r\n\r\n")) >= 0:
            head = bytes(self.data[:end]).lower()
            at = head.find(b"content-length:")
            length = int(head[at + 15 :].split(b"\r\n", 1)[0]) if at >= 0 else 0
            if len(self.data) < end + 4 + length:
                break
            found.append((bytes(self.data[: end + 4 + length]), bytes(self.data[end + 4 : end + 4 + length])))
            del self.data[: end + 4 + length]
        if len(self.data) > HEAD_MOST + 64 * 1024:
            raise ConnectionError("no request of ours")
        return found


class Relay:
    """`target` may change, as when the far process starts anew. `saw` is told each whole request's body."""

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
        self.sock = listening(Address("127.0.0.1", 0), "relay", 64)
        self.address = Address(*self.sock.getsockname())
        self.accepting = self.loop.create_task(self._accept())

    def begin(self, kind: str) -> None:
        self.on[kind] = self.on.get(kind, 0) + 1
        if kind == "refuse" and self.on[kind] == 1:
            self._deafen()
        if kind in ("reset", "refuse", "half_open"):
            self.reset()
        self._tell()

    def end(self, kind: str) -> None:
        self.on[kind] -= 1
        if kind == "refuse" and not self.on[kind]:
            self.sock = listening(self.address, "relay", 64)
            self.accepting = self.loop.create_task(self._accept())
        if kind == "half_open" and not self.on[kind]:
            self.reset()
        self._tell()

    def _deafen(self) -> None:
        """Guards against a number that is used again: closed while the loop still watches it, the next socket
        with that number would not be watched (seen as ENOENT from a connect)."""
        self.accepting.cancel()
        self.accepting.add_done_callback(lambda _, sock=self.sock: sock.close())

    def _tell(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def has(self, *kinds: str) -> bool:
        return any(self.on.get(kind) for kind in kinds)

    def reset(self) -> None:
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
            task = self.loop.create_task(self._carry(near))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _carry(self, near: socket.socket) -> None:
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
                group.create_task(self._pump(near, far, "silent_out", Requests()))
                group.create_task(self._pump(far, near, "silent_in", None))
        except* (OSError, ValueError):
            pass
        finally:
            for sock in (near, far):
                self.sockets.discard(sock)
                sock.close()

    async def _pump(
        self, one: socket.socket, other: socket.socket, silent: str, cut: Requests | None
    ) -> None:
        """Until an end closes, which ends both ways."""
        while True:
            data = await self.loop.sock_recv(one, 65536)
            if not data:
                raise ConnectionError("closed")
            if cut is not None:
                whole = cut.feed(data)
                for _, body in whole:
                    self.saw(body)
                data = b"".join(each * 2 if self.has("repeat") else each for each, _ in whole)
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
        self._deafen()
        tasks = [self.accepting, *self.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
