"""Applies committed items to the parts of a process that they govern: routes, members, limits.

`CommittedConfiguration` is a view of the event log: it receives each newly committed item, in order, and does
no I/O.
"""

from collections.abc import Callable, Iterable

from foxspread.mesh.configuration.document import ClientLimits, Content, client_limits
from foxspread.mesh.configuration.items import LIMITS, MEMBERS, ROUTE, Item
from foxspread.mesh.configuration.routes import RouteTable
from foxspread.mesh.dataplane.outbound_proxy import OutboundProxy
from foxspread.mesh.gossip.connection_manager import ConnectionManager
from foxspread.mesh.settings import parse_address

MAX_BODY_MEMORY_SHARE = 1 / 8  # of the process's memory: a body is buffered whole and must not exhaust it


class CommittedConfiguration:
    """Passes committed items on to the route table, the connection manager and the limits of clients.

    `peer_port` is the port at which replicas accept connections of other processes; `memory_mb` returns the
    memory limit in force.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        routes: RouteTable,
        connection_manager: ConnectionManager,
        outbound: OutboundProxy,
        peer_port: int,
        memory_mb: Callable[[], float],
    ) -> None:
        self.clock, self.routes, self.connection_manager = clock, routes, connection_manager
        self.outbound, self.peer_port, self.memory_mb = outbound, peer_port, memory_mb

    def apply(self, items: Iterable[Item]) -> None:
        """Applies items that have been committed, in order."""
        for item in items:
            self.routes.put(item)
            if item.kind == MEMBERS and item.content is not None:
                self.set_members(item.content["of"])
            if item.kind == LIMITS and item.content is not None:
                self._set_limits(item.content)
        routes = self.routes.matches
        self.outbound.policy.forget_routes(lambda name: (ROUTE, name) in routes)

    def set_members(self, members: Iterable[str]) -> None:
        """Sets the control addresses of the members, to which connections are preferred."""
        addresses = [(parse_address(each)[0], self.peer_port) for each in members]
        self.connection_manager.set_members(self.clock(), addresses)

    def _set_limits(self, content: Content) -> None:
        limits = self.outbound.limits
        former = ClientLimits(limits.head_bytes, limits.body_bytes, limits.head_s, limits.idle_s)
        new = client_limits(content, former)
        largest_body = int(self.memory_mb() * 1024 * 1024 * MAX_BODY_MEMORY_SHARE)
        limits.head_bytes, limits.body_bytes = new.head_bytes, min(largest_body, new.body_bytes)
        limits.head_s, limits.idle_s = new.head_s, new.idle_s
