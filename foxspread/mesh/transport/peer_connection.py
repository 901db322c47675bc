"""One TCP connection to another process of the mesh: messages both ways, and whether the peer is alive.

Each side sends something at least every `HEARTBEAT_INTERVAL_S` and closes a connection on which nothing came
for `SILENCE_TIMEOUT_S`: a connection across a network partition reports no error by itself.
"""

import asyncio
import enum
from collections.abc import Callable

from foxspread.mesh.errors import Failure
from foxspread.mesh.log import log_event
from foxspread.mesh.settings import Address
from foxspread.mesh.transport.messages import HEARTBEAT_FIELDS, Fields, Heartbeat, kind_of
from foxspread.mesh.transport.netstrings import Decoder, encode

HEARTBEAT_INTERVAL_S = 0.4
SILENCE_TIMEOUT_S = 1.5  # more than three heartbeats
WRITE_BUFFER_LIMIT_BYTES = 4 * 1024 * 1024  # a peer that reads more slowly is disconnected, and reconnects


class ConnectionState(enum.Enum):
    """The life of a connection, in order."""

    CONNECTING = "connecting"  # no transport yet
    OPEN = "open"  # messages pass; the peer has not introduced itself
    IDENTIFIED = "identified"  # its hello has come
    CLOSED = "closed"


class PeerConnection(asyncio.Protocol):
    """Calls `on_open` once, `on_message` for each message but heartbeats, `on_close` once.

    `clock` returns seconds. `dialled_address` is where this process connected to, None where the peer did.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        on_open: Callable[["PeerConnection"], None],
        on_message: Callable[["PeerConnection", Fields], None],
        on_close: Callable[["PeerConnection"], None],
        dialled_address: Address | None = None,
    ) -> None:
        self.clock, self.on_open, self.on_message, self.on_close = clock, on_open, on_message, on_close
        self.dialled_address = dialled_address
        self.decoder = Decoder()
        self.transport: asyncio.Transport | None = None
        self.last_received_at = self.last_sent_at = clock()
        self.peer: str | None = None  # its node, once identified
        self.state = ConnectionState.CONNECTING
        self.close_reason = "closed"

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Of `asyncio.Protocol`."""
        self.transport, self.state = transport, ConnectionState.OPEN
        self.last_received_at = self.clock()
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Of `asyncio.Protocol`. Bytes that are no message close the connection."""
        self.last_received_at = self.clock()
        messages = self.decoder.feed(data)
        if isinstance(messages, Failure):
            return self.close(messages.reason)
        for fields in messages:
            if self.transport is None:
                return
            if kind_of(fields) != Heartbeat.kind:
                self.on_message(self, fields)

    def connection_lost(self, error: Exception | None) -> None:
        """Of `asyncio.Protocol`."""
        if self.transport is not None:
            self.transport, self.state = None, ConnectionState.CLOSED
            self.on_close(self)

    def identify(self, peer: str) -> None:
        """The peer has said which node it is."""
        self.peer = peer
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.IDENTIFIED

    def send(self, fields: Fields) -> None:
        """Without effect on a closed connection; a message that is too large is logged and left out."""
        if self.transport is None:
            return
        if self.transport.get_write_buffer_size() > WRITE_BUFFER_LIMIT_BYTES:
            return self.close("reads too slowly")
        data = encode(fields)
        if isinstance(data, Failure):
            return log_event("message_too_large", peer=self.peer, why=data.reason)
        self.last_sent_at = self.clock()
        self.transport.write(data)

    def check_liveness(self, paused_s: float) -> None:
        """To be called regularly: closes a silent connection, sends a heartbeat on an idle one.

        `paused_s`: seconds since the last call for which this process itself did not run, which says nothing
        about the peer.
        """
        now = self.clock()
        self.last_received_at += paused_s
        if now - self.last_received_at > SILENCE_TIMEOUT_S:
            self.close("silent")
        elif now - self.last_sent_at >= HEARTBEAT_INTERVAL_S:
            self.send(HEARTBEAT_FIELDS)

    def close(self, reason: str) -> None:
        """At once; what is not yet written is dropped."""
        if (transport := self.transport) is not None:
            self.close_reason = reason
            self.transport, self.state = None, ConnectionState.CLOSED  # first: abort may call back
            transport.abort()
            self.on_close(self)
