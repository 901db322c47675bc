"""The operators' door: one call to a connection, on an address of its own. It shares nothing with clients but
the loop: descriptors, patience and bounds are its own, so that callers get their answer however crowded the
other side is. What a call means is asked of `Operated`; nothing is decided here.
"""

import asyncio
import json
import re
import socket
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import unquote

from loguru import logger

from foxspread.config import Address
from foxspread.net import http
from foxspread.net.listener import WASTE
from foxspread.net.pool import listening, written
from foxspread.net.reasons import Reason

CALLERS = 8  # at once; where all are there, the one that has waited longest for its own bytes makes way
MOST = CALLERS + 2  # descriptors: theirs, the one of the door, and one that is just accepted
PATIENCE = 3.0  # for a whole call, and for the answer to be taken
PUT = re.compile(r"/servers/([^/]+)/(maint|ready)")


class Operated(Protocol):
    """What the door needs of the sidecar."""

    def healthy(self) -> bool: ...

    def figures(self) -> dict[str, Any]: ...

    async def by_hand(self, server: str, out: bool) -> bool: ...


class Counts:
    """How lookups have ended, and hand-offs that were written whole, since the start of the process."""

    def __init__(self, categories: Iterable[str]) -> None:
        self.forwards = 0
        self.results: dict[str, dict[str, int]] = {}
        self.know(categories)

    def know(self, categories: Iterable[str]) -> None:
        """Categories that came with later rules; those that went keep their counts."""
        for each in sorted(categories):
            self.results.setdefault(each, {"succeeded": 0, "declined": 0, "aborted": 0})

    def forwarded(self) -> None:
        self.forwards += 1

    def note(self, category: str, status: int) -> None:
        """By what its client was told, which is what operators' peers see too."""
        ending = "succeeded" if status == 200 else "declined" if status in (429, 503) else "aborted"
        self.results[category][ending] += 1


@dataclass
class Verdict:
    status: int
    text: bytes
    lines: tuple[bytes, ...] = ()


def only(method: bytes, message: http.Message) -> Verdict | None:
    if message.method == method:
        return None
    return Verdict(405, b"only " + method + b" is served here\n", (b"Allow: " + method + b"\r\n",))


async def verdict(message: http.Message, operated: Operated) -> Verdict:
    path = message.target.partition(b"?")[0].decode("latin-1")
    if path == "/healthcheck":
        yes = operated.healthy()
        return only(b"GET", message) or Verdict(200 if yes else 503, b"yes\n" if yes else b"no\n")
    if path == "/stats":
        return only(b"GET", message) or Verdict(
            200, json.dumps(operated.figures()).encode() + b"\n", (b"Content-Type: application/json\r\n",)
        )
    if (found := PUT.fullmatch(path)) is None:
        return Verdict(404, b"no such call\n")
    if bad := only(b"PUT", message):
        return bad
    try:
        server = unquote(found[1], errors="strict")
    except UnicodeDecodeError:
        return Verdict(400, b"the server's id is not UTF-8\n")
    try:
        if await operated.by_hand(server, found[2] == "maint"):
            return Verdict(200, b"out\n" if found[2] == "maint" else b"back\n")
    except TimeoutError:
        return Verdict(503, b"another process of this sidecar does not answer: call again\n")
    return Verdict(404, b"no such server, or too many are out\n")


class Caller:
    """One connection and the task that serves it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, operated: Operated) -> None:
        self.loop, self.sock, self.operated = loop, sock, operated
        self.calling, self.room = False, False  # its call is being answered; it made way
        self.detail = ""

    async def run(self) -> Reason:
        reason = Reason.CALL_DONE
        try:
            async with asyncio.timeout(PATIENCE):
                message = await self._call()
                if message is None:
                    return Reason.CALL_LEFT
                self.calling = True
                self.detail = f" call={message.method.decode('latin-1')} {message.target.decode('latin-1')!r}"
                await self._answer(await verdict(message, self.operated))
        except http.BadMessage as error:
            self.detail = f" fault={error}"
            reason = Reason.CALL_BAD
            await self._refuse(Verdict(error.status, f"{error}\n".encode()))
        except TimeoutError:
            reason = Reason.CALL_SLOW
            if not self.calling:
                await self._refuse(Verdict(408, b"no whole call in time\n"))
        except asyncio.CancelledError:
            reason = Reason.CALL_ROOM if self.room else Reason.STOPPING
        except OSError:
            reason = Reason.CALL_LEFT
        except Exception:  # must not end the process, nor go unseen
            logger.exception("an operator's call")
            reason = Reason.CALL_FAULT
            await self._refuse(Verdict(500, b"a fault of our own\n"))
        finally:  # here no loop call is pending on the socket: what was awaited has ended
            self.sock.close()
        return reason

    async def _call(self) -> http.Message | None:
        reader, buffer = http.RequestReader(), bytearray(2048)
        while not reader.ready:
            size = await self.loop.sock_recv_into(self.sock, buffer)
            if size == 0:
                return None
            reader.feed(memoryview(buffer)[:size], 0.0)
            if reader.wants_continue:
                written(self.sock, [b"HTTP/1.1 100 Continue\r\n\r\n"])
        return reader.ready.popleft()

    async def _refuse(self, refusal: Verdict) -> None:
        try:
            async with asyncio.timeout(0.5):
                await self._answer(refusal)
        except (OSError, TimeoutError):
            pass

    async def _answer(self, told: Verdict) -> None:
        """And reads on to the end: closing with bytes unread would reset it, and the answer could be lost."""
        self.detail += f" status={told.status}"
        lines = (
            told.lines
            if any(line.startswith(b"Content-Type") for line in told.lines)
            else (*told.lines, b"Content-Type: text/plain\r\n")
        )
        if rest := written(self.sock, http.answer(told.status, told.text, lines, keep=False)):
            await self.loop.sock_sendall(self.sock, rest)
        self.sock.shutdown(socket.SHUT_WR)
        try:
            async with asyncio.timeout(0.5):
                while await self.loop.sock_recv_into(self.sock, WASTE):
                    pass
        except TimeoutError:
            pass


class Door:
    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, operated: Operated) -> None:
        self.loop, self.operated = loop, operated
        self.callers: dict[Caller, asyncio.Task] = {}
        self.sock = listening(address, "operator", 64)
        self.address = Address(*self.sock.getsockname()[:2])

    def open(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock, self._accept)
            logger.info("operators' door listen={}", self.address)

    def _accept(self) -> None:
        while True:
            if len(self.callers) >= CALLERS:
                return self._make_way()
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if not isinstance(error, (BlockingIOError, ConnectionAbortedError, InterruptedError)):
                    logger.warning("operators' door: {}", error)
                    self._rest(0.05)  # out of descriptors: waits, and does not spin
                return
            sock.setblocking(False)
            caller = Caller(self.loop, sock, self.operated)
            self.callers[caller] = task = self.loop.create_task(caller.run())
            task.add_done_callback(lambda task, caller=caller: self._ended(caller, task))

    def _make_way(self) -> None:
        """Guards callers against those that finish no call: they have waited long enough already."""
        oldest = next((each for each in self.callers if not each.calling and not each.room), None)
        if oldest is not None:
            oldest.room = True
            self.callers[oldest].cancel()
        self._rest(0.02)

    def _rest(self, seconds: float) -> None:
        self.loop.remove_reader(self.sock)
        self.loop.call_later(seconds, self._on)

    def _on(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock, self._accept)

    def _ended(self, caller: Caller, task: asyncio.Task) -> None:
        del self.callers[caller]
        reason = Reason.STOPPING if task.cancelled() else task.result()
        logger.info("{} operator{}", reason.value, caller.detail)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()
        for task in self.callers.values():
            task.cancel()
