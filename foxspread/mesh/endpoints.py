"""The HTTP endpoints of one process: control API, readiness, and inbound and outbound requests.

`Endpoints` builds them from the settings, opens and closes their listeners, and reports whether requests are
in progress.
"""

import asyncio
import itertools
from collections.abc import Callable, Iterator

from foxspread.mesh.configuration.routes import RouteTable
from foxspread.mesh.control_api.handlers import ControlApi, ReadinessApi
from foxspread.mesh.dataplane.body_memory import body_memory_for
from foxspread.mesh.dataplane.http_server import HttpServer, ServerConnection
from foxspread.mesh.dataplane.inbound_proxy import InboundProxy, InstanceForwarder
from foxspread.mesh.dataplane.instance_guard import InstanceGuard
from foxspread.mesh.dataplane.outbound_proxy import OutboundProxy
from foxspread.mesh.dataplane.request_attempts import RetryAndBalancingPolicy
from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.load_balancing.upstream_servers import UpstreamDirectory
from foxspread.mesh.registry.incarnations import InstanceTable
from foxspread.mesh.settings import Address, Settings
from foxspread.statistics import SeededRandom

APP_ANSWER_TIMEOUT_S, PEER_ANSWER_TIMEOUT_S = 6.0, 60.0
BACKLOG = 1024  # connections waiting to be accepted


class Endpoints:
    """HTTP endpoints of one process.

    `has_items` returns whether the committed set is known, `sidecar_count` the number of sidecars.
    """

    def __init__(
        self,
        settings: Settings,
        clock: Callable[[], float],
        chance: SeededRandom,
        instances: InstanceTable,
        routes: RouteTable,
        upstreams: UpstreamDirectory,
        has_items: Callable[[], bool],
        sidecar_count: Callable[[], int],
    ) -> None:
        self.clock = clock
        body_memory = body_memory_for(settings.memory_mb)
        self.app_pool = ConnectionPool(clock, APP_ANSWER_TIMEOUT_S, body_memory=body_memory)
        self.peer_pool = ConnectionPool(
            clock, PEER_ANSWER_TIMEOUT_S, body_memory=body_memory, attempt_ids=True
        )
        guard = InstanceGuard(instances, settings.app, settings.bounds["drain_s"])
        self.forwarder = InstanceForwarder(clock, guard, self.app_pool)
        self.outbound = OutboundProxy(
            clock,
            settings.node,
            settings.service.encode(),
            RetryAndBalancingPolicy(settings.zone, upstreams, settings.bounds, chance, sidecar_count),
            routes,
            has_items,
            self.peer_pool,
            self.forwarder,
        )
        self.inbound = InboundProxy(clock, self.forwarder)
        self.http_servers: dict[str, HttpServer] = {"inbound": self.inbound, "outbound": self.outbound}
        self.servers: list[asyncio.Server] = []  # includes the listener for peers, added by the node

    async def listen(
        self,
        loop: asyncio.AbstractEventLoop,
        addresses: dict[str, Address],
        control: ControlApi,
        readiness: ReadinessApi,
    ) -> None:
        """Opens a listener at each address whose name is the name of an endpoint."""
        self.http_servers |= {"control": control, "ready": readiness}
        for name, address in addresses.items():
            if (http_server := self.http_servers.get(name)) is not None:
                server = await loop.create_server(
                    lambda http_server=http_server: ServerConnection(http_server), *address, backlog=BACKLOG
                )
                self.servers.append(server)

    def sweep(self, now: float) -> None:
        """Closes idle connections and ends requests past their deadline."""
        for http_server in self.http_servers.values():
            http_server.sweep(now)
        self.peer_pool.sweep()
        self.app_pool.sweep()

    def reject_requests_beyond(self, exit_at: float) -> None:
        """Rejects each further request for a server whose deadline is later than `exit_at`."""
        self.outbound.exit_at = self.inbound.exit_at = exit_at

    def disable_keep_alive(self) -> None:
        """Marks each further response as the last one of its connection."""
        for http_server in self.http_servers.values():
            http_server.retire()

    def close_listeners(self) -> None:
        """Stops accepting connections and closes those without a request in progress."""
        for server in self.servers:
            server.close()
        for http_server in self.http_servers.values():
            http_server.close_idle()

    def has_requests_in_progress(self) -> bool:
        """Returns whether any request is being read, has not been answered yet, or may lose its response.

        A peer that has not closed its side may have sent more; an exit with bytes unread resets the
        connection, and the last response is lost.
        """
        return any(
            connection.has_unfinished_responses or connection.is_lingering
            for connection in self._connections()
        )

    def count_unfinished_connections(self) -> int:
        """Returns the number of connections with a request in progress or a response not yet taken."""
        return sum(connection.has_unfinished_responses for connection in self._connections())

    def _connections(self) -> Iterator[ServerConnection]:
        return itertools.chain.from_iterable(each.connections for each in self.http_servers.values())
