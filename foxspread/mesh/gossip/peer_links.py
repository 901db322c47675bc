"""Opens and closes the connections to other processes of the mesh, and identifies the peers.

`ConnectionManager`, `NeighbourFallback` and `PartialView` decide which addresses to dial and which
connections to close; the observer's `on_message` handles the messages of identified peers.
"""

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from foxspread.mesh.gossip.connection_manager import DIAL_TIMEOUT_S, ConnectionManager, NeighbourFallback
from foxspread.mesh.gossip.partial_view import Neighbour, PartialView
from foxspread.mesh.log import log_event
from foxspread.mesh.owned_tasks import OwnedTasks
from foxspread.mesh.settings import Address
from foxspread.mesh.transport.datagrams import DatagramEndpoint
from foxspread.mesh.transport.messages import (
    Fields,
    Hello,
    QuorumContactChange,
    ShuffleResponse,
    decode_shuffle,
    kind_of,
)
from foxspread.mesh.transport.peer_connection import PeerConnection

BACKLOG = 256  # pending connections of the listening socket


class PeerObserver(Protocol):
    """Receives the events of connections; `peer` is always the peer's node."""

    def hello(self) -> Hello:
        """Returns the first message of this process on a new connection."""

    def peer_connected(self, hello: Hello) -> None:
        """Called when a peer has introduced itself."""

    def peer_disconnected(self, peer: str) -> None:
        """Called when the connection to an identified peer is closed."""

    def on_message(self, peer: str, fields: Fields) -> None:
        """Handles a message of an identified peer."""


class PeerLinks:
    """The connections of one process to its peers. `clock` returns seconds."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        clock: Callable[[], float],
        connection_manager: ConnectionManager,
        fallback: NeighbourFallback,
        view: PartialView,
        observer: PeerObserver,
    ) -> None:
        self.loop, self.clock, self.observer = loop, clock, observer
        self.connection_manager, self.fallback, self.view = connection_manager, fallback, view
        self.datagrams = DatagramEndpoint(self._on_datagram)
        self.connections: dict[str, PeerConnection] = {}  # by node
        self.unidentified: set[PeerConnection] = set()  # open, without a hello so far
        self.replicas: dict[str, str] = {}  # nodes of connected replicas, by control address
        self.dials = OwnedTasks(loop)

    # Connected peers.

    def is_replica(self, peer: str) -> bool:
        """Returns whether a node is a connected replica."""
        return peer in self.replicas.values()

    def member_at(self, peer: str) -> str:
        """Returns the control address of a connected replica."""
        return next(member for member, node in self.replicas.items() if node == peer)

    def any_replica(self) -> str | None:
        """Returns the control address of a random connected replica, preferably of one in quorum contact."""
        in_contact = self.connection_manager.replicas_in_contact()
        candidates = [member for member, node in self.replicas.items() if node in in_contact]
        candidates = candidates or list(self.replicas)
        return random.choice(candidates) if candidates else None

    def any_informed_peer(self) -> str | None:
        """Returns a random peer to ask for the committed set, preferably a replica in quorum contact."""
        candidates = self.connection_manager.replicas_in_contact() or list(self.connections)
        return random.choice(candidates) if self.connections else None

    @property
    def serves_as_fallback(self) -> bool:
        """Whether another sidecar has connected to this one, for lack of a replica in quorum contact."""
        return any(
            connection.dialled_address is None and not self.is_replica(name)
            for name, connection in self.connections.items()
        )

    # Sending.

    def send(self, peer: str, fields: Fields) -> bool:
        """Sends a message to a node; returns whether it is connected."""
        connection = self.connections.get(peer)
        if connection is not None:
            connection.send(fields)
        return connection is not None

    def send_to_member(self, member: str, fields: Fields) -> bool:
        """Sends a message to the replica with that control address; returns whether it is connected."""
        return self.send(self.replicas.get(member, ""), fields)

    def send_to_replicas(self, fields: Fields) -> None:
        """Sends a message to all connected replicas."""
        for name in list(self.replicas.values()):
            self.send(name, fields)

    def broadcast(self, fields: Fields) -> None:
        """Sends a message to all identified peers."""
        for connection in list(self.connections.values()):  # sending may close a slow reader's connection
            connection.send(fields)

    # Periodic work.

    def check_liveness(self, paused_s: float) -> None:
        """Closes silent connections and sends heartbeats; see `PeerConnection.check_liveness`."""
        for connection in [*self.connections.values(), *self.unidentified]:
            connection.check_liveness(paused_s)

    def shuffle(self, now: float) -> None:
        """Sends a shuffle request to a neighbour if one is due."""
        if (request := self.view.shuffle(now)) is not None:
            self.datagrams.send(*request)

    def maintain(self, now: float) -> None:
        """Dials and closes connections to replicas."""
        for address in self.connection_manager.addresses_to_dial(now):
            self.dials.start(self.dial(address))
        for name in self.connection_manager.connections_to_close(now):
            self.connections[name].close("others are better")

    def maintain_fallback(self, now: float) -> None:
        """Connects a sidecar to other sidecars while no replica in quorum contact is connected."""
        sidecars = [each for name, each in self.connections.items() if not self.is_replica(name)]
        in_contact = len(self.connection_manager.replicas_in_contact())
        if in_contact:
            for connection in sidecars:
                if connection.dialled_address is not None:
                    connection.close("a replica in quorum contact is connected")
        missing = self.fallback.count_missing(now, in_contact, len(sidecars))
        candidates = self.view.sample_sidecars(missing)
        for address in self.fallback.addresses_to_dial(now, candidates, self.connections):
            self.dials.start(self.dial(address))

    def cancel_dials(self) -> None:
        """Cancels the dials in progress."""
        self.dials.cancel()

    # Connections.

    async def listen(self, address: Address) -> asyncio.Server:
        """Listens for connections and datagrams of peers; the caller closes the returned server."""
        server = await self.loop.create_server(lambda: self._new_connection(None), *address, backlog=BACKLOG)
        await self.loop.create_datagram_endpoint(lambda: self.datagrams, local_addr=address)
        return server

    def _new_connection(self, dialled_address: Address | None) -> PeerConnection:
        return PeerConnection(self.clock, self._on_open, self._on_message, self._on_close, dialled_address)

    async def dial(self, address: Address) -> None:
        """Opens a connection, or reports the failure to the connection manager."""
        refused = False
        opened: list[PeerConnection] = []

        def new_connection() -> PeerConnection:
            opened.append(self._new_connection(address))
            return opened[-1]

        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await self.loop.create_connection(new_connection, *address)
            return
        except TimeoutError:
            for connection in opened:  # opened during the timeout: uvloop closes it without connection_lost
                if connection.transport is not None:
                    return connection.close("too late")
        except OSError:
            refused = True
        self.connection_manager.dial_failed(self.clock(), address, refused)

    def _on_open(self, connection: PeerConnection) -> None:
        self.unidentified.add(connection)
        connection.send(self.observer.hello().packed())

    def _on_close(self, connection: PeerConnection) -> None:
        self.unidentified.discard(connection)
        peer = connection.peer
        if peer is None:
            if connection.dialled_address is not None:
                self.connection_manager.dial_failed(self.clock(), connection.dialled_address, False)
        elif self.connections.get(peer) is connection:
            del self.connections[peer]
            self.observer.peer_disconnected(peer)
            self.connection_manager.disconnected(self.clock(), peer)
            self.replicas = {member: node for member, node in self.replicas.items() if node != peer}
            log_event("link_ended", peer=peer, why=connection.close_reason)

    def _on_message(self, connection: PeerConnection, fields: Fields) -> None:
        kind = kind_of(fields)
        if kind == Hello.kind:
            self._on_hello(connection, Hello.decode(fields))
        elif connection.peer is None:
            connection.close("no hello")
        elif kind == QuorumContactChange.kind:
            change = QuorumContactChange.decode(fields)
            self.connection_manager.set_quorum_contact(connection.peer, change.in_contact)
        else:
            self.observer.on_message(connection.peer, fields)

    def _on_hello(self, connection: PeerConnection, hello: Hello) -> None:
        self.unidentified.discard(connection)
        connection.identify(hello.node)
        old = self.connections.get(hello.node)
        if old is not None and old is not connection:
            old.close("a newer link")
        self.connections[hello.node] = connection
        self.view.refresh(Neighbour(hello.node, hello.address, bool(hello.member)))
        now = self.clock()
        if hello.member:
            self.replicas[hello.member] = hello.node
            self.connection_manager.connected(now, hello.address, hello.node, hello.in_contact)
        elif connection.dialled_address is not None:
            # A replica was dialled, but a sidecar answered: no replica listens there any more.
            self.connection_manager.dial_failed(now, connection.dialled_address, False)
        for address in hello.replicas:
            self.connection_manager.add_address(now, address)
        self.observer.peer_connected(hello)

    # Gossip.

    def _on_datagram(self, fields: Fields) -> None:
        message = decode_shuffle(fields)
        if isinstance(message, ShuffleResponse):
            self.view.receive_response(message)
        else:
            response = self.view.receive_request(message)
            self.datagrams.send(message.neighbours[0].address, response)
        now = self.clock()
        for each in self.view.entries.values():
            if each.has_storage:
                self.connection_manager.add_address(now, each.address)
