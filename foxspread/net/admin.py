"""The admin API for operators: one call per connection, at an address of its own. It shares only the event
loop with clients; its descriptors, timeouts and limits are its own, so that operators are answered however
many clients there are. `AdminBackend` carries out the calls.
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
from foxspread.net.listener import CONTINUE_RESPONSE, DISCARD_BUFFER
from foxspread.net.pool import create_listener, send_parts
from foxspread.net.reasons import CloseReason

MAX_CALLERS = 8  # at once; beyond that the one that has taken longest to send its call is disconnected
DESCRIPTORS = MAX_CALLERS + 2  # the callers', the listening socket, and one that is being accepted
CALL_TIMEOUT = 3.0  # seconds from connecting until the answer is taken
REFUSAL_TIMEOUT = 0.5  # seconds to write the answer to a malformed call
LINGER_TIMEOUT = 0.5  # seconds to read on after the answer
LISTEN_BACKLOG = 64
SERVER_CALL_PATH = re.compile(r"/servers/([^/]+)/(maint|ready)")


class AdminBackend(Protocol):
    """What the admin API needs of the sidecar."""

    def healthy(self) -> bool:
        """Returns whether clients should use this sidecar."""

    def statistics(self) -> dict[str, Any]:
        """Returns the content of `/stats`."""

    async def set_disabled(self, server: str, disabled: bool) -> bool:
        """Disables or enables a server. Returns False if no server has that id or too many are disabled;
        raises TimeoutError if another process of this sidecar does not answer."""


class RequestCounts:
    """Counts results of requests and attempts that were sent whole, since the process started."""

    def __init__(self, categories: Iterable[str]) -> None:
        self.forwards = 0
        self.results: dict[str, dict[str, int]] = {}
        self.add_categories(categories)

    def add_categories(self, categories: Iterable[str]) -> None:
        """Adds categories of later rules; those that were removed keep their counts."""
        for category in sorted(categories):
            self.results.setdefault(category, {"succeeded": 0, "declined": 0, "aborted": 0})

    def count_forward(self) -> None:
        """Counts an attempt whose last byte was written."""
        self.forwards += 1

    def count_result(self, category: str, status: int) -> None:
        """Counts by the status that the client was sent, which peers of the operators see too."""
        result = "succeeded" if status == 200 else "declined" if status in (429, 503) else "aborted"
        self.results[category][result] += 1


@dataclass
class AdminResponse:
    """The answer to a call."""

    status: int
    text: bytes
    lines: tuple[bytes, ...] = ()  # of the head


def check_method(method: bytes, message: http.Message) -> AdminResponse | None:
    """Returns the refusal of a call that has another method."""
    if message.method == method:
        return None
    return AdminResponse(405, b"only " + method + b" is served here\n", (b"Allow: " + method + b"\r\n",))


async def handle_call(message: http.Message, backend: AdminBackend) -> AdminResponse:
    """Carries out a call."""
    path = message.target.partition(b"?")[0].decode("latin-1")
    if path == "/healthcheck":
        healthy = backend.healthy()
        return check_method(b"GET", message) or AdminResponse(
            200 if healthy else 503, b"yes\n" if healthy else b"no\n"
        )
    if path == "/stats":
        return check_method(b"GET", message) or AdminResponse(
            200, json.dumps(backend.statistics()).encode() + b"\n", (b"Content-Type: application/json\r\n",)
        )
    if (found := SERVER_CALL_PATH.fullmatch(path)) is None:
        return AdminResponse(404, b"no such call\n")
    if refusal := check_method(b"PUT", message):
        return refusal
    try:
        server = unquote(found[1], errors="strict")
    except UnicodeDecodeError:
        return AdminResponse(400, b"the server's id is not UTF-8\n")
    try:
        if await backend.set_disabled(server, found[2] == "maint"):
            return AdminResponse(200, b"out\n" if found[2] == "maint" else b"back\n")
    except TimeoutError:
        return AdminResponse(503, b"another process of this sidecar does not answer: call again\n")
    return AdminResponse(404, b"no such server, or too many are out\n")


class AdminConnection:
    """One connection and the task that serves it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket, backend: AdminBackend) -> None:
        self.loop, self.sock, self.backend = loop, sock, backend
        self.answering = False
        self.reclaimed = False  # closed in favour of another caller
        self.detail = ""

    async def run(self) -> CloseReason:
        """Serves the connection until it ends."""
        reason = CloseReason.ADMIN_DONE
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                message = await self._read_call()
                if message is None:
                    return CloseReason.ADMIN_LEFT
                self.answering = True
                self.detail = f" call={message.method.decode('latin-1')} {message.target.decode('latin-1')!r}"
                await self._answer(await handle_call(message, self.backend))
        except http.BadMessage as error:
            self.detail = f" fault={error}"
            reason = CloseReason.ADMIN_BAD
            await self._refuse(AdminResponse(error.status, f"{error}\n".encode()))
        except TimeoutError:
            reason = CloseReason.ADMIN_SLOW
            if not self.answering:
                await self._refuse(AdminResponse(408, b"no whole call in time\n"))
        except asyncio.CancelledError:
            reason = CloseReason.ADMIN_RECLAIMED if self.reclaimed else CloseReason.CLIENT_STOPPING
        except OSError:
            reason = CloseReason.ADMIN_LEFT
        except Exception:  # must neither end the process nor go unnoticed
            logger.exception("answering an operator's call failed")
            reason = CloseReason.ADMIN_INTERNAL_ERROR
            await self._refuse(AdminResponse(500, b"a fault of our own\n"))
        finally:  # no loop call is pending on the socket here: what was awaited has ended
            self.sock.close()
        return reason

    async def _read_call(self) -> http.Message | None:
        reader, buffer = http.RequestReader(), bytearray(2048)
        while not reader.ready:
            size = await self.loop.sock_recv_into(self.sock, buffer)
            if size == 0:
                return None
            reader.feed(memoryview(buffer)[:size], 0.0)
            if reader.expects_continue:
                send_parts(self.sock, CONTINUE_RESPONSE)
        return reader.ready.popleft()

    async def _refuse(self, refusal: AdminResponse) -> None:
        try:
            async with asyncio.timeout(REFUSAL_TIMEOUT):
                await self._answer(refusal)
        except (OSError, TimeoutError):
            pass

    async def _answer(self, response: AdminResponse) -> None:
        """Writes the response and reads on until the caller closes: closing a socket with unread bytes resets
        the connection, and the caller could lose its answer."""
        self.detail += f" status={response.status}"
        lines = (
            response.lines
            if any(line.startswith(b"Content-Type") for line in response.lines)
            else (*response.lines, b"Content-Type: text/plain\r\n")
        )
        if rest := send_parts(
            self.sock, http.response(response.status, response.text, lines, keep_alive=False)
        ):
            await self.loop.sock_sendall(self.sock, rest)
        self.sock.shutdown(socket.SHUT_WR)
        try:
            async with asyncio.timeout(LINGER_TIMEOUT):
                while await self.loop.sock_recv_into(self.sock, DISCARD_BUFFER):
                    pass
        except TimeoutError:
            pass


class AdminListener:
    """Accepts callers and limits their number."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address, backend: AdminBackend) -> None:
        self.loop, self.backend = loop, backend
        self.callers: dict[AdminConnection, asyncio.Task] = {}
        self.sock = create_listener(address, "operator", LISTEN_BACKLOG)
        self.address = Address(*self.sock.getsockname()[:2])

    def open(self) -> None:
        """Begins to accept callers."""
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock, self._accept)
            logger.info("operators' door listen={}", self.address)

    def _accept(self) -> None:
        while True:
            if len(self.callers) >= MAX_CALLERS:
                return self._disconnect_slowest()
            try:
                sock, _ = self.sock.accept()
            except OSError as error:
                if not isinstance(error, (BlockingIOError, ConnectionAbortedError, InterruptedError)):
                    logger.warning("cannot accept an admin call: {}", error)
                    self._pause(0.05)  # out of descriptors: waits instead of spinning
                return
            sock.setblocking(False)
            caller = AdminConnection(self.loop, sock, self.backend)
            self.callers[caller] = task = self.loop.create_task(caller.run())
            task.add_done_callback(lambda task, caller=caller: self._ended(caller, task))

    def _disconnect_slowest(self) -> None:
        """Disconnects the caller that has taken longest to send its call, so that callers which never finish
        do not keep others out."""
        oldest = next(
            (caller for caller in self.callers if not caller.answering and not caller.reclaimed), None
        )
        if oldest is not None:
            oldest.reclaimed = True
            self.callers[oldest].cancel()
        self._pause(0.02)

    def _pause(self, seconds: float) -> None:
        self.loop.remove_reader(self.sock)
        self.loop.call_later(seconds, self._resume)

    def _resume(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.add_reader(self.sock, self._accept)

    def _ended(self, caller: AdminConnection, task: asyncio.Task) -> None:
        del self.callers[caller]
        reason = CloseReason.CLIENT_STOPPING if task.cancelled() else task.result()
        logger.info("{} operator{}", reason.value, caller.detail)

    def close(self) -> None:
        """Stops accepting and disconnects all callers."""
        if self.sock.fileno() >= 0:
            self.loop.remove_reader(self.sock)
            self.sock.close()
        for task in self.callers.values():
            task.cancel()
