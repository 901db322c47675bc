"""One TCP connection to another process of the mesh: sends and receives messages, detects a dead peer.

Each side sends a message at least every `HEARTBEAT_INTERVAL_S` and closes a connection on which it received
nothing for `SILENCE_TIMEOUT_S`: a connection across a network partition reports no error by itself.
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
WRITE_BUFFER_LIMIT_BYTES = 4 * 1024 * 1024  # a slower reader is disconnected, and reconnects


class ConnectionState(enum.Enum):
    """The states of a connection, in order."""

    CONNECTING = "connecting"  # no transport yet
    OPEN = "open"  # the peer has not introduced itself yet
    IDENTIFIED = "identified"  # the peer's hello was received
    CLOSED = "closed"


class PeerConnection(asyncio.Protocol):
    """Calls `on_open` once, `on_message` for each message except heartbeats, and `on_close` once.

    `clock` returns seconds. `dialled_address` is None if the peer dialled.
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
        self.peer: str | None = None  # the peer's node, once identified
        self.state = ConnectionState.CONNECTING
        self.close_reason = "closed"

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Implements `asyncio.Protocol`."""
        self.transport, self.state = transport, ConnectionState.OPEN
        self.last_received_at = self.clock()
        self.on_open(self)

    def data_received(self, data: bytes) -> None:
        """Implements `asyncio.Protocol`; closes the connection if the bytes are not messages."""
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
        """Implements `asyncio.Protocol`."""
        if self.transport is not None:
            self.transport, self.state = None, ConnectionState.CLOSED
            self.on_close(self)

    def identify(self, peer: str) -> None:
        """Records the node that the peer introduced itself as."""
        self.peer = peer
        if self.state is ConnectionState.OPEN:
            self.state = ConnectionState.IDENTIFIED

    def send(self, fields: Fields) -> None:
        """Sends a message; does nothing on a closed connection. One that is too large is logged instead."""
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
        """Closes a silent connection and sends a heartbeat on an idle one; is called periodically.

        `paused_s` is the time since the last call for which this process itself was suspended. It does not
        count as silence of the peer.
        """
        now = self.clock()
        self.last_received_at += paused_s
        if now - self.last_received_at > SILENCE_TIMEOUT_S:
            self.close("silent")
        elif now - self.last_sent_at >= HEARTBEAT_INTERVAL_S:
            self.send(HEARTBEAT_FIELDS)

    def close(self, reason: str) -> None:
        """Closes the connection at once; unsent data is dropped."""
        if (transport := self.transport) is not None:
            self.close_reason = reason
            self.transport, self.state = None, ConnectionState.CLOSED  # abort may call connection_lost
            transport.abort()
            self.on_close(self)
