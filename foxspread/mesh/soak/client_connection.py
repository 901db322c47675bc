"""A client's connection to a sidecar, which it keeps, pipelines on, reads slowly from, or leaves."""

import asyncio
from collections import deque
from dataclasses import dataclass

import httptools

from foxspread.mesh.settings import Address
from foxspread.net import http

CONNECT_TIMEOUT_S = 1.0
MAX_RESPONSE_BYTES = 32 * 1024 * 1024


class WholeResponseReader(http.ResponseReader):
    """Reads responses whole, also long ones."""

    max_body_bytes = max_buffered_bytes = MAX_RESPONSE_BYTES


@dataclass(frozen=True, slots=True)
class Answer:
    """A response, or none: `overtaken` where an earlier response on the connection announced its end."""

    message: http.Message | None = None
    overtaken: bool = False


class ClientConnection(asyncio.Protocol):
    """One connection; responses belong to the requests in the order of these."""

    def __init__(self) -> None:
        self.reader = WholeResponseReader()
        self.transport: asyncio.Transport | None = None
        self.waiting: deque[asyncio.Future[Answer]] = deque()
        self.carried = 0  # requests that were sent on it
        self.is_usable, self.was_aborted = True, False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keeps the transport."""
        self.transport = transport

    def send(self, requests: list[bytes]) -> list[asyncio.Future[Answer]]:
        """Writes requests at once, one behind another; returns a future for each answer."""
        futures = [asyncio.get_running_loop().create_future() for _ in requests]
        self.waiting.extend(futures)
        self.carried += len(requests)
        if self.transport is not None:
            self.transport.write(b"".join(requests))
        else:
            self._end(overtaken=False)
        return futures

    def data_received(self, data: bytes) -> None:
        """Reads responses; closes the connection on bytes that are none."""
        try:
            self.reader.feed(data, 0.0)
        except (http.BadMessage, httptools.HttpParserError):
            return self.close()
        while self.reader.ready:
            message = self.reader.ready.popleft()
            if not self.waiting:
                return self.close()
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(Answer(message))
            if not message.keep_alive:
                self._end(overtaken=True)
                return self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Ends all requests that have no response."""
        self.transport, self.is_usable = None, False
        self._end(overtaken=False)

    def _end(self, overtaken: bool) -> None:
        while self.waiting:
            future = self.waiting.popleft()
            if not future.done():
                future.set_result(Answer(None, overtaken))

    def close(self) -> None:
        """Closes the connection, as a client that needs it no more."""
        self.is_usable = False
        if self.transport is not None:
            self.transport.close()

    def abort(self) -> None:
        """Resets the connection, as a client that does not wait any longer."""
        self.is_usable, self.was_aborted = False, True
        if self.transport is not None:
            self.transport.abort()


async def connect(address: Address) -> ClientConnection | None:
    """Returns a new connection; None if it does not come up."""
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(ClientConnection, *address)
        return connection
    except (OSError, TimeoutError):
        return None
