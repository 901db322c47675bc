"""Single messages without a connection, a netstring each: for what may be lost now and then."""

import asyncio
from collections.abc import Callable
from typing import Any

from foxspread.mesh.errors import Failure
from foxspread.mesh.transport.netstrings import Decoder, encode
from foxspread.mesh.settings import Address


class DatagramEndpoint(asyncio.DatagramProtocol):
    def __init__(self, heard: Callable[[dict[str, Any]], None]) -> None:
        self.heard = heard
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: Address) -> None:
        messages = Decoder().feed(data)
        for message in () if isinstance(messages, Failure) else messages:
            self.heard(message)

    def error_received(self, error: Exception) -> None:
        pass  # a port without a process says so; the view forgets it by itself

    def send(self, place: Address, message: dict[str, Any]) -> None:
        if self.transport is not None:
            self.transport.sendto(encode(message), place)
