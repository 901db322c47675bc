"""A stand-in server for runs with whole sidecars, which records each attempt that reaches it."""

import asyncio
import contextlib
from dataclasses import dataclass
from typing import Any

from foxspread.config import Address

# By a number drawn for each request, from 0 to 1.
BUSY_BELOW, CLOSED_BELOW, FAILED_BELOW, SLOW_ABOVE = 0.03, 0.1, 0.2, 0.92
STEADY = 0.5  # in place of a draw: an answer at once


@dataclass
class Attempt:
    """A hand-off as its server saw it. `over`: when it was answered, or its connection ended; `ran`: whether
    its work was done."""

    at: float
    lookup: str
    category: str
    server: str
    over: float = float("inf")
    ran: bool = True


class StubServer:
    """Answers, fails, closes, is slow or is busy, by chance."""

    def __init__(self, run: Any, name: str, zone: str, cell: int) -> None:
        self.run, self.name, self.zone, self.cell = run, name, zone, cell
        self.chance = run.fleet.rng(name)

    async def start(self) -> None:
        """Listens on a port of the system's."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])

    def close(self) -> None:
        """Listens no more."""
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        attempt: Attempt | None = None
        try:
            while True:
                attempt = await self._request(reader)
                if not await self._answer(attempt, reader, writer):
                    break
                attempt.over, attempt = self.run.now(), None
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            if attempt is not None:
                attempt.over = self.run.now()
            writer.close()

    async def _request(self, reader: asyncio.StreamReader) -> Attempt:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        attempt = Attempt(self.run.now(), fields["x-txn"], fields["x-lane"], self.name)
        self.run.attempts.append(attempt)
        return attempt

    async def _answer(
        self, attempt: Attempt, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """False where the connection is to be closed without an answer."""
        draw = self.chance.random()
        if self.run.steady:
            draw = STEADY
        if draw < BUSY_BELOW:
            attempt.ran = False
            writer.write(b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
            return True
        slow = draw > SLOW_ABOVE
        seconds = self.chance.uniform(0.3, 1.0) if slow else self.chance.uniform(0.002, 0.02)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await reader.read(1)
                return False  # whoever cancels closes: then nobody waits for the answer any more
        if draw < CLOSED_BELOW:
            return False
        status = b"500 Fault" if draw < FAILED_BELOW else b"200 OK"
        writer.write(b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nhi" % status)
        return True
