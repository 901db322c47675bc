"""A hollow sidecar: a real node without listeners for requests, with a server that exists only as heartbeats.

It depends on these parts of `Node`: the constructor, `run`, `reload_settings`, `routes.put`,
`records.update`, `state_sync.learner`, `peer_links.connections` and `endpoints.http_servers`.
"""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.control_api.calls import Request
from foxspread.mesh.errors import Failure
from foxspread.mesh.hollow.traffic_meter import MeteredLoop, TrafficMeter
from foxspread.mesh.node import Node
from foxspread.mesh.registry.endpoint_records import EndpointRecord
from foxspread.mesh.settings import Settings

INITIAL_CAPACITY = 8  # concurrent requests that a server offers until it is changed
CONTROL_API_POLL_S = 0.01
# Called with a version that the sidecar has learned, as "item@version" or "server@capacity", and with
# the time on the machine's monotonic clock.
OnLearned = Callable[[str, float], None]


class _HollowNode(Node):
    def reload_settings(self) -> None:
        """Does nothing: the settings file is named by the environment, which all nodes of a process share."""


@dataclass
class HollowServer:
    """The server beside a hollow sidecar, which only sends heartbeats."""

    service: str
    address: str
    zone: str
    capacity: int = INITIAL_CAPACITY
    sequence: int = 0  # of its last heartbeat

    def next_heartbeat(self) -> bytes:
        """Returns the body of the server's next heartbeat."""
        self.sequence += 1
        return orjson.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "berths": self.capacity,
                "state": "ready",
                "sequence": self.sequence,
                "edition": "r1",
            }
        )


class HollowSidecar:
    """A hollow sidecar that can be ended and started again, with a new node and a new server each time."""

    def __init__(self, loop: asyncio.AbstractEventLoop, settings: Settings, on_learned: OnLearned) -> None:
        self.loop, self.settings, self.on_learned = loop, settings, on_learned
        self.meter = TrafficMeter()  # over all starts
        self.starts = 0
        self.node: _HollowNode | None = None
        self.metered_loop: MeteredLoop | None = None
        self.server: HollowServer | None = None

    def start(self) -> None:
        """Starts a new node and its server's heartbeats."""
        settings = self.settings
        self.starts += 1
        self.metered_loop = MeteredLoop(self.loop, settings.peer_address, self.meter)
        self.node = node = _HollowNode(settings, self.metered_loop)
        self.server = HollowServer(settings.service, f"{settings.ip}:{settings.app[1]}", settings.zone)
        self._observe(node)
        self.metered_loop.create_task(node.run())
        self.metered_loop.create_task(
            self._send_heartbeats(node, self.server, f"{settings.node}-{self.starts}")
        )

    def end(self) -> None:
        """Ends the node as if its process were killed: without a message to anyone."""
        if self.metered_loop is not None:
            self.metered_loop.close()
        self.node = self.metered_loop = self.server = None

    def known_counts(self) -> tuple[int, int, int]:
        """Returns the numbers of items in force, of endpoint records and of connections to peers."""
        node = self.node
        return (
            (0, 0, 0)
            if node is None
            else (
                len(node.state_sync.learner.items),
                len(node.records.by_node),
                len(node.peer_links.connections),
            )
        )

    def _observe(self, node: Node) -> None:
        """Makes the node call `on_learned` for each item and each server that it learns."""
        put, update = node.routes.put, node.records.update

        def observed_put(item: Item) -> None:
            put(item)
            self.on_learned(f"{item.name}@{item.version}", time.monotonic())

        def observed_update(now: float, record: EndpointRecord) -> bool:
            is_new = update(now, record)
            if is_new:
                for server in record.servers:
                    self.on_learned(f"{server.id}@{server.capacity}", time.monotonic())
            return is_new

        node.routes.put, node.records.update = observed_put, observed_update

    async def _send_heartbeats(self, node: Node, server: HollowServer, id: str) -> None:
        interval_s = self.settings.heartbeat_s
        while "control" not in node.endpoints.http_servers:
            await asyncio.sleep(CONTROL_API_POLL_S)
        instances: Any = node.endpoints.http_servers["control"].resources["Instances"]
        await asyncio.sleep(interval_s * node.random_source.draw())  # spreads the heartbeats of a process
        while True:
            outcome = await instances.heartbeat(Request(id, server.next_heartbeat()))
            if isinstance(outcome, Failure):
                raise AssertionError(f"a heartbeat of server {id} was rejected: {outcome.reason}")
            await asyncio.sleep(interval_s)
