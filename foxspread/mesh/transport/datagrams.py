"""Sends and receives messages that may be lost over UDP, one netstring per datagram."""

import asyncio
from collections.abc import Callable

from foxspread.mesh.errors import Failure
from foxspread.mesh.settings import Address
from foxspread.mesh.transport.messages import Fields, Message
from foxspread.mesh.transport.netstrings import Decoder, encode


class DatagramEndpoint(asyncio.DatagramProtocol):
    """A UDP socket; `on_message` is called with the fields of each received message."""

    def __init__(self, on_message: Callable[[Fields], None]) -> None:
        self.on_message = on_message
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Implements `asyncio.DatagramProtocol`."""
        self.transport = transport

    def datagram_received(self, data: bytes, sender: Address) -> None:
        """Implements `asyncio.DatagramProtocol`; drops bytes that are not a message."""
        messages = Decoder().feed(data)
        for fields in () if isinstance(messages, Failure) else messages:
            self.on_message(fields)

    def error_received(self, error: Exception) -> None:
        """Ignores errors such as a closed port: the partial view drops unreachable processes by itself."""

    def send(self, address: Address, message: Message) -> None:
        """Sends a message; does nothing until the socket is open."""
        if self.transport is not None:
            self.transport.sendto(encode(message.packed()), address)
