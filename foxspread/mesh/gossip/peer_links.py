"""Opens and closes the connections to other processes of the mesh, and says who is at the other end.

Whom to dial and which connections to close is decided by `ConnectionManager`, `NeighbourFallback` and
`PartialView`; what the messages mean is the business of `on_message`.
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

BACKLOG = 256  # connections that wait to be accepted


class PeerObserver(Protocol):
    """Whoever acts on connections and messages; peers are named by their node."""

    def hello(self) -> Hello:
        """How this process introduces itself now."""

    def peer_connected(self, hello: Hello) -> None:
        """A peer has introduced itself."""

    def peer_disconnected(self, peer: str) -> None:
        """The connection to a peer that had introduced itself is closed."""

    def on_message(self, peer: str, fields: Fields) -> None:
        """A message of a peer that has introduced itself."""


class PeerLinks:
    """The connections of one process. `clock` returns seconds."""

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
        self.unidentified: set[PeerConnection] = set()
        self.replicas: dict[str, str] = {}  # connected ones: node by control address
        self.dials = OwnedTasks(loop)

    # Who is connected.

    def is_replica(self, peer: str) -> bool:
        """Whether that node is a connected replica."""
        return peer in self.replicas.values()

    def member_at(self, peer: str) -> str:
        """The control address of a connected replica."""
        return next(member for member, node in self.replicas.items() if node == peer)

    def any_replica(self) -> str | None:
        """The control address of a connected replica, of one in quorum contact if there is any."""
        in_contact = self.connection_manager.replicas_in_contact()
        candidates = [member for member, node in self.replicas.items() if node in in_contact]
        candidates = candidates or list(self.replicas)
        return random.choice(candidates) if candidates else None

    def any_informed_peer(self) -> str | None:
        """A connected peer to ask for the committed set, a replica in quorum contact if there is any."""
        candidates = self.connection_manager.replicas_in_contact() or list(self.connections)
        return random.choice(candidates) if self.connections else None

    @property
    def serves_as_fallback(self) -> bool:
        """Whether a neighbouring sidecar has connected here, for lack of a replica in quorum contact."""
        return any(
            connection.dialled_address is None and not self.is_replica(name)
            for name, connection in self.connections.items()
        )

    # Sending.

    def send(self, peer: str, fields: Fields) -> bool:
        """Whether there is a connection to that node."""
        connection = self.connections.get(peer)
        if connection is not None:
            connection.send(fields)
        return connection is not None

    def send_to_member(self, member: str, fields: Fields) -> bool:
        """Whether there is a connection to the replica with that control address."""
        return self.send(self.replicas.get(member, ""), fields)

    def send_to_replicas(self, fields: Fields) -> None:
        """To all that are connected."""
        for name in list(self.replicas.values()):
            self.send(name, fields)

    def broadcast(self, fields: Fields) -> None:
        """To all peers."""
        for connection in list(self.connections.values()):  # a slow reader's is closed by sending
            connection.send(fields)

    # Regular work.

    def check_liveness(self, paused_s: float) -> None:
        """Closes silent connections, sends heartbeats; `paused_s` as in `PeerConnection`."""
        for connection in [*self.connections.values(), *self.unidentified]:
            connection.check_liveness(paused_s)

    def shuffle(self, now: float) -> None:
        """Exchanges part of the partial view with a neighbour, when it is time."""
        if (step := self.view.shuffle(now)) is not None:
            self.datagrams.send(*step)

    def maintain(self, now: float) -> None:
        """Dials and closes connections to replicas."""
        for address in self.connection_manager.addresses_to_dial(now):
            self.dials.start(self.dial(address))
        for name in self.connection_manager.connections_to_close(now):
            self.connections[name].close("others are better")

    def maintain_fallback(self, now: float) -> None:
        """On a sidecar: connects to neighbours while no replica in quorum contact is reached."""
        sidecars = [each for name, each in self.connections.items() if not self.is_replica(name)]
        in_contact = len(self.connection_manager.replicas_in_contact())
        if in_contact:
            for connection in sidecars:
                if connection.dialled_address is not None:
                    connection.close("a replica in quorum contact is connected")
        missing = self.fallback.missing(now, in_contact, len(sidecars))
        candidates = self.view.sample_sidecars(missing)
        for address in self.fallback.addresses_to_dial(now, candidates, self.connections):
            self.dials.start(self.dial(address))

    def cancel_dials(self) -> None:
        """Ends those that are in progress."""
        self.dials.cancel()

    # Connections.

    async def listen(self, address: Address) -> asyncio.Server:
        """For connections and datagrams of peers; the caller closes the server."""
        server = await self.loop.create_server(lambda: self._new_connection(None), *address, backlog=BACKLOG)
        await self.loop.create_datagram_endpoint(lambda: self.datagrams, local_addr=address)
        return server

    def _new_connection(self, dialled_address: Address | None) -> PeerConnection:
        return PeerConnection(self.clock, self._on_open, self._on_message, self._on_close, dialled_address)

    async def dial(self, address: Address) -> None:
        """Opens a connection, or reports that it failed."""
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
            for connection in opened:  # it opened at that very moment: uvloop closes it and tells nobody
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
            # No replica listens there any more.
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
            answer = self.view.receive_request(message)
            self.datagrams.send(message.neighbours[0].address, answer)
        now = self.clock()
        for each in self.view.entries.values():
            if each.has_storage:
                self.connection_manager.add_address(now, each.address)
