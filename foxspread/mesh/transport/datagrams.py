"""Sends and receives single messages over UDP, one netstring each: for what may be lost now and then."""

import asyncio
from collections.abc import Callable

from foxspread.mesh.errors import Failure
from foxspread.mesh.settings import Address
from foxspread.mesh.transport.messages import Fields, Message
from foxspread.mesh.transport.netstrings import Decoder, encode


class DatagramEndpoint(asyncio.DatagramProtocol):
    """One UDP socket; `on_message` gets the fields of each message that arrives."""

    def __init__(self, on_message: Callable[[Fields], None]) -> None:
        self.on_message = on_message
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Of `asyncio.DatagramProtocol`."""
        self.transport = transport

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Of `asyncio.DatagramProtocol`. Bytes that are no message are dropped."""
        messages = Decoder().feed(data)
        for fields in () if isinstance(messages, Failure) else messages:
            self.on_message(fields)

    def error_received(self, error: Exception) -> None:
        """A port without a process behind it; the partial view drops that process by itself."""

    def send(self, address: Address, message: Message) -> None:
        """Without effect until the socket is open."""
        if self.transport is not None:
            self.transport.sendto(encode(message.packed()), address)
