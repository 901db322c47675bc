"""A connection to another of the system's own processes: messages both ways, a word at least every
`BEAT_S`, an end where nothing has been heard for `SILENT_S`. A connection through a cut says nothing of its
own accord.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from foxspread.mesh.log import log_event
from foxspread.mesh.errors import Failure
from foxspread.mesh.transport.netstrings import Decoder, encode

HEARTBEAT_INTERVAL_S = 0.4
SILENCE_TIMEOUT_S = 1.5
WRITE_BUFFER_LIMIT_BYTES = (
    4 * 1024 * 1024
)  # bytes waiting to be written: one that reads too slowly is left, and comes again


class PeerConnection(asyncio.Protocol):
    def __init__(
        self,
        clock: Callable[[], float],
        opened: Callable[["PeerConnection"], None],
        heard: Callable[["PeerConnection", dict[str, Any]], None],
        ended: Callable[["PeerConnection"], None],
    ) -> None:
        self.clock, self.opened, self.heard, self.ended = clock, opened, heard, ended
        self.decoder = Decoder()
        self.transport: asyncio.Transport | None = None
        self.last_heard = self.last_sent = clock()
        self.peer: Any = None  # who it is, once it has said so
        self.dialled: Any = None  # whom we called, where we did
        self.why = "closed"

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self.last_heard = self.clock()
        self.opened(self)

    def data_received(self, data: bytes) -> None:
        self.last_heard = self.clock()
        messages = self.decoder.feed(data)
        if isinstance(messages, Failure):
            return self.close(messages.reason)
        for message in messages:
            if self.transport is None:
                return
            if message.get("t") != "beat":
                self.heard(self, message)

    def connection_lost(self, error: Exception | None) -> None:
        if self.transport is not None:
            self.transport = None
            self.ended(self)

    def send(self, message: dict[str, Any]) -> None:
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES:
            return self.close("reads too slowly")
        data = encode(message)
        if isinstance(data, Failure):
            return log_event("message_too_large", peer=self.peer, why=data.reason)
        self.last_sent = self.clock()
        self.transport.write(data)

    def beat(self, slept: float) -> None:
        """Now and then; `slept`: how long this process itself stood still, which says nothing of the peer."""
        now = self.clock()
        self.last_heard += slept
        if now - self.last_heard > SILENCE_TIMEOUT_S:
            self.close("silent")
        elif now - self.last_sent >= HEARTBEAT_INTERVAL_S:
            self.send({"t": "beat"})

    def close(self, why: str) -> None:
        if (transport := self.transport) is not None:
            self.why, self.transport = why, None
            transport.abort()
            self.ended(self)
