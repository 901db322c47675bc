"""Endpoint records, which each process of the mesh publishes about itself.

A record has the address at which the sidecar accepts requests of others, whether the process is leaving, and
the instances of servers beside it. Its version consists of the incarnation of the process and a counter; the
newest record of each node is in force, whatever the order of arrival.
"""

from dataclasses import dataclass
from enum import StrEnum

from foxspread.mesh.registry.incarnations import Instance, unpack_instance
from foxspread.mesh.settings import Address, format_address, parse_address


class NodeState(StrEnum):
    """State of a process of the mesh; the values are those on the wire."""

    UP = "up"
    LEAVING = "leaving"


UP, LEAVING = NodeState
_STATES = {state.value: state for state in NodeState}

# A process that has been leaving for longer than any grace period and a restart is gone.
MAX_LEAVING_S = 15.0

# The incarnation (microseconds of the wall clock, or one more than a known incarnation) and a counter.
RecordVersion = tuple[int, int]


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """One version of the record of one process."""

    node: str
    version: RecordVersion
    zone: str
    state: NodeState | str  # str: a state that only later versions of the software know
    inbound: Address | None  # address for requests to the servers beside it; None: no sidecar
    servers: tuple[Instance, ...] = ()

    def packed(self) -> list:
        """Returns the row that is sent to peers."""
        return [
            self.node,
            list(self.version),
            self.zone,
            str(self.state),
            format_address(self.inbound) if self.inbound else "",
            [each.packed() for each in self.servers],
        ]


def unpack_record(row: list) -> EndpointRecord:
    """Returns the record for a row made by `EndpointRecord.packed`."""
    node, version, zone, state, inbound, servers = row
    return EndpointRecord(
        node,
        tuple(version),
        zone,
        _STATES.get(state, state),
        parse_address(inbound) if inbound else None,
        tuple(unpack_instance(each) for each in servers),
    )


class EndpointRecords:
    """Newest record of each node, and the time since which the node has been in its state.

    Sidecars are counted as records arrive, since each retry of a request needs their number.
    """

    def __init__(self) -> None:
        self.by_node: dict[str, EndpointRecord] = {}
        self.in_state_since: dict[str, float] = {}  # by node: time in seconds, for its current incarnation
        self.sidecar_count = 0
        self.sidecars_of_zone: dict[str, set[str]] = {}  # by zone: nodes

    def update(self, now: float, new: EndpointRecord) -> bool:
        """Stores a record unless one at least as new is held; returns whether it was stored."""
        old = self.by_node.get(new.node)
        if old is not None and old.version >= new.version:
            return False
        if old is None or (old.state, old.version[0]) != (new.state, new.version[0]):
            self.in_state_since[new.node] = now
        if old is not None and old.inbound is not None:
            self.sidecar_count -= 1
            self.sidecars_of_zone[old.zone].discard(old.node)
        if new.inbound is not None:
            self.sidecar_count += 1
            self.sidecars_of_zone.setdefault(new.zone, set()).add(new.node)
        self.by_node[new.node] = new
        return True

    def callers_have_alternatives(self, now: float, node: str, zone: str, up_for_s: float) -> bool:
        """Returns whether half of the zone's sidecars are others that can take this one's callers.

        These are sidecars that have been up for `up_for_s` seconds, and those that began to leave after this
        one: they wait until it is up again, so it must not wait for them. With fewer, the platform sends a
        sidecar's callers to any sidecar that there is. The only sidecar of a zone has no others to wait for,
        so the result is true. Machines that were taken away do not count.
        """
        zone_records = (self.by_node[each] for each in self.sidecars_of_zone.get(zone, ()))
        sidecars = [each for each in zone_records if each.node == node or not self._is_gone(now, each)]
        others = [each for each in sidecars if each.node != node]
        ready = sum(
            self._began_to_leave_after(each, node)
            if each.state == LEAVING
            else each.state == UP and now - self.in_state_since[each.node] >= up_for_s
            for each in others
        )
        return len(sidecars) < 2 or 2 * ready >= len(sidecars)

    def _is_gone(self, now: float, record: EndpointRecord) -> bool:
        """Returns whether a sidecar has left and would have been restarted by now, were it to come back."""
        return record.state == LEAVING and now - self.in_state_since[record.node] > MAX_LEAVING_S

    def _began_to_leave_after(self, record: EndpointRecord, node: str) -> bool:
        own = self.by_node.get(node)
        if own is None or own.state != LEAVING:
            return False
        return self.in_state_since[record.node] > self.in_state_since[node]
