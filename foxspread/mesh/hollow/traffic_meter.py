"""Counts what one node of the mesh sends and receives, at an event loop of its own.

The loop wraps the loop of the process. It lets the node listen for other processes of the mesh only, leaves
signals and exceptions to the owner of the process's loop, and closes all that the node has opened.
"""

import asyncio
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from foxspread.mesh.settings import Address
from foxspread.mesh.transport.peer_connection import PeerConnection

MAX_HEARTBEAT_READ_BYTES = 32  # more bytes without a complete message are the start of one


@dataclass
class TrafficMeter:
    """Traffic totals; sizes are bytes of payload, without headers of TCP and below.

    The field names are the keys of `as_dict`, which leave the process.
    """

    sent: int = 0
    received: int = 0
    writes: int = 0
    reads: int = 0  # of sockets; each is a wake-up of the process
    datagrams: int = 0  # sent
    datagram_bytes: int = 0  # sent
    dialled: int = 0  # outgoing connections that were opened
    taken: int = 0  # incoming connections
    sent_by_kind: Counter[str] = field(default_factory=Counter)  # bytes
    # Bytes, by the kinds of all messages that one read completed, as "have+news".
    heard_by_kind: Counter[str] = field(default_factory=Counter)
    # Messages sent and received, by kind; heartbeats are counted only as sent.
    messages: Counter[str] = field(default_factory=Counter)

    def add(self, other: "TrafficMeter") -> None:
        """Adds the totals of another meter to these."""
        for name, value in vars(other).items():
            if isinstance(value, Counter):
                getattr(self, name).update(value)
            else:
                setattr(self, name, getattr(self, name) + value)

    def as_dict(self) -> dict[str, Any]:
        """Returns the totals by field name, as JSON can hold them."""
        return {name: dict(v) if isinstance(v, Counter) else v for name, v in vars(self).items()}


class _MeteredTransport:
    """A transport that counts what is written and passes all other attributes through."""

    def __init__(self, transport: Any, meter: TrafficMeter) -> None:
        self._transport, self._meter = transport, meter
        self.kind = ""  # of the message that is written next

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)

    def write(self, data: bytes) -> None:
        self._meter.sent += len(data)
        self._meter.writes += 1
        self._meter.sent_by_kind[self.kind] += len(data)
        self._transport.write(data)

    def sendto(self, data: bytes, address: Address | None = None) -> None:
        self._meter.datagrams += 1
        self._meter.datagram_bytes += len(data)
        self._transport.sendto(data, address)


class _NoServer:
    """Takes the place of a server that a hollow sidecar does not have."""

    def close(self) -> None:
        pass


class MeteredLoop:
    """An event loop for one node of several in a process: meters its traffic and closes all it has opened.

    The node listens at `peer_address` only; servers at other addresses are not created.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, peer_address: Address, meter: TrafficMeter) -> None:
        self._loop, self.peer_address, self.meter = loop, peer_address, meter
        self.servers: list[asyncio.Server] = []
        self.transports: set[Any] = set()
        self.tasks: set[asyncio.Task] = set()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    def set_exception_handler(self, handler: Callable[..., None]) -> None:
        """Does nothing: the handler belongs to the owner of the process's loop."""

    def add_signal_handler(self, number: int, handler: Callable[..., None], *arguments: Any) -> None:
        """Does nothing: signals belong to the owner of the process's loop."""

    def create_task(self, coroutine: Any, **options: Any) -> asyncio.Task:
        """Creates a task that `close` cancels."""
        task = self._loop.create_task(coroutine, **options)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def create_server(self, factory: Callable[[], Any], host: str, port: int, **options: Any) -> Any:
        """Creates a metered server at `peer_address`; at other addresses does nothing."""
        if (host, port) != self.peer_address:
            return _NoServer()

        def accept() -> Any:
            self.meter.taken += 1
            return self._metered(factory())

        server = await self._loop.create_server(accept, host, port, **options)
        self.servers.append(server)
        return server

    async def create_connection(self, factory: Callable[[], Any], *address: Any, **options: Any) -> Any:
        """Opens a metered connection."""
        opened = await self._loop.create_connection(lambda: self._metered(factory()), *address, **options)
        self.meter.dialled += 1
        return opened

    async def create_datagram_endpoint(self, factory: Callable[[], Any], **options: Any) -> Any:
        """Creates a metered datagram endpoint."""
        return await self._loop.create_datagram_endpoint(lambda: self._metered(factory()), **options)

    def close(self) -> None:
        """Closes everything at once, as if the process were killed."""
        for task in list(self.tasks):
            task.cancel()
        for server in self.servers:
            server.close()
        for transport in list(self.transports):
            transport.abort()
        self.servers.clear()
        self.transports.clear()

    def _metered(self, protocol: Any) -> Any:
        """Replaces methods of the protocol by ones that meter its traffic; returns the protocol."""
        meter, opened, closed = self.meter, protocol.connection_made, protocol.connection_lost
        wrappers: list[_MeteredTransport] = []  # one, once the connection is open

        def connection_made(transport: Any) -> None:
            wrappers.append(_MeteredTransport(transport, meter))
            self.transports.add(transport)
            opened(wrappers[0])

        def connection_lost(error: Exception | None) -> None:
            self.transports.discard(wrappers[0]._transport)
            closed(error)

        protocol.connection_made, protocol.connection_lost = connection_made, connection_lost
        if isinstance(protocol, PeerConnection):
            _meter_messages(protocol, meter, wrappers)
        return protocol


def _meter_messages(
    connection: PeerConnection, meter: TrafficMeter, wrappers: list[_MeteredTransport]
) -> None:
    """Replaces methods of a connection by ones that also count messages by kind."""
    data_received, send, on_message = connection.data_received, connection.send, connection.on_message
    kinds: set[str] = set()  # of the messages that the current read has completed
    uncounted_bytes = 0  # received since the last message was completed

    def metered_data_received(data: bytes) -> None:
        nonlocal uncounted_bytes
        meter.reads += 1
        meter.received += len(data)
        uncounted_bytes += len(data)
        data_received(data)
        if kinds or uncounted_bytes <= MAX_HEARTBEAT_READ_BYTES:
            # Heartbeats are not passed to `on_message`.
            meter.heard_by_kind["+".join(sorted(kinds)) or "beat"] += uncounted_bytes
            kinds.clear()
            uncounted_bytes = 0

    def metered_send(message: dict[str, Any]) -> None:
        kind = str(message.get("t"))
        meter.messages[f"sent {kind}"] += 1
        if wrappers:
            wrappers[0].kind = kind
        send(message)

    def metered_on_message(receiver: PeerConnection, message: dict[str, Any]) -> None:
        kind = str(message.get("t"))
        kinds.add(kind)
        meter.messages[f"heard {kind}"] += 1
        on_message(receiver, message)

    connection.data_received, connection.send, connection.on_message = (
        metered_data_received,
        metered_send,
        metered_on_message,
    )
