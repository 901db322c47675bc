"""The servers of each service that this sidecar may send to, as the records of all sidecars say.

For each server it also holds the requests in flight from here, and what the last responses have reported of
its load.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from foxspread.indexes import Ring
from foxspread.mesh.registry.endpoint_records import UP, EndpointRecords
from foxspread.mesh.registry.incarnations import READY
from foxspread.mesh.settings import Address
from foxspread.statistics import DecayingMean

REPORT_DECAY_S = 0.6  # in which a reported load of other sidecars falls to 1/e: it is soon out of date


@dataclass(slots=True)
class UpstreamServer:
    """One server instance, and its load as far as it is known here."""

    id: str
    node: str  # the sidecar beside it
    service: str
    zone: str
    address: Address  # of the inbound proxy beside it
    capacity: int
    ready: bool
    warmed_up_at: float
    in_flight: int = 0  # from here
    in_flight_elsewhere: float = 0.0  # from other sidecars, when last reported
    reported_at: float = -math.inf

    def load(self, now: float) -> float:
        """Returns the requests in flight there, from all sidecars, as far as known."""
        if self.in_flight_elsewhere <= 0:
            return self.in_flight
        return self.in_flight + self.in_flight_elsewhere * math.exp((self.reported_at - now) / REPORT_DECAY_S)

    def report_in_flight(self, now: float, in_flight: int) -> None:
        """Takes a report of the requests in flight there, without the one that was answered."""
        self.in_flight_elsewhere, self.reported_at = max(0, in_flight - self.in_flight), now


@dataclass(slots=True)
class UpstreamService:
    """All known servers of one service."""

    name: str
    by_id: dict[str, UpstreamServer] = field(default_factory=dict)
    rings: dict[str, Ring] = field(default_factory=dict)  # by zone: the ready servers
    ready: set[str] = field(default_factory=set)
    ready_version: int = 0  # counts the changes of `ready`
    # By server: the logarithm of its response times relative to what is usual for the route, over all routes.
    log_slowness: dict[str, DecayingMean] = field(
        default_factory=lambda: defaultdict(lambda: DecayingMean(20.0, 0.0, max_count=80.0))
    )


class UpstreamDirectory:
    """The servers of all services, by the records of the sidecars beside them."""

    def __init__(self, records: EndpointRecords) -> None:
        self.records = records
        self.services: dict[str, UpstreamService] = {}
        self.servers_of_node: dict[str, set[tuple[str, str]]] = {}  # (service, server id)

    def service(self, name: str) -> UpstreamService:
        """Returns that service, which may have no servers yet."""
        found = self.services.get(name)
        if found is None:
            found = self.services[name] = UpstreamService(name)
        return found

    def apply_record(self, now: float, node: str) -> None:
        """Takes over the changed record of that sidecar."""
        record = self.records.by_node.get(node)
        listed: set[tuple[str, str]] = set()
        for row in record.servers if record is not None and record.inbound is not None else ():
            listed.add((row.service, row.id))
            service = self.service(row.service)
            server = service.by_id.get(row.id)
            ready = row.state == READY and record.state == UP
            if server is None:
                server = service.by_id[row.id] = UpstreamServer(
                    row.id,
                    node,
                    row.service,
                    record.zone,
                    record.inbound,
                    max(1, row.capacity),
                    False,
                    now + row.slow_start_s,
                )
            server.node, server.address, server.capacity, server.warmed_up_at = (
                node,
                record.inbound,
                max(1, row.capacity),
                now + row.slow_start_s,
            )
            self._set_ready(service, server, ready)
        for name, id in self.servers_of_node.get(node, set()) - listed:
            service = self.services[name]
            if (removed := service.by_id.get(id)) is not None and removed.node == node:
                self._set_ready(service, removed, False)
                del service.by_id[id]
                service.log_slowness.pop(id, None)
        self.servers_of_node[node] = listed

    def _set_ready(self, service: UpstreamService, server: UpstreamServer, ready: bool) -> None:
        if server.ready == ready and (server.id in service.ready) == ready:
            return
        server.ready = ready
        service.ready_version += 1
        ring = service.rings.setdefault(server.zone, Ring())
        if ready:
            service.ready.add(server.id)
            if server.id not in ring:
                ring.add(server.id)
        else:
            service.ready.discard(server.id)
            ring.remove(server.id)
            if not len(ring):
                del service.rings[server.zone]
