"""Endpoint records: what each process of the mesh says of itself.

Where its sidecar accepts requests of others, whether it is about to end, and which instances of servers are
beside it. A record has a version, made of the incarnation of the process and a counter; the newest of each
node is in force, in whatever order records arrive.
"""

from dataclasses import dataclass
from enum import StrEnum

from foxspread.mesh.registry.incarnations import Instance, unpack_instance
from foxspread.mesh.settings import Address, format_address, parse_address


class NodeState(StrEnum):
    """The state of a process of the mesh; the values are those on the wire."""

    UP = "up"
    LEAVING = "leaving"


UP, LEAVING = NodeState
_STATES = {state.value: state for state in NodeState}

RecordVersion = tuple[int, int]  # incarnation: by the wall clock, or one more than was known; then a counter


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    """What one process says of itself."""

    node: str
    version: RecordVersion
    zone: str
    state: NodeState | str  # a text where a process of a later version sent a state unknown here
    inbound: Address | None  # where its sidecar accepts requests for the servers beside it; None: no sidecar
    servers: tuple[Instance, ...] = ()

    def packed(self) -> list:
        """The row that is sent."""
        return [
            self.node,
            list(self.version),
            self.zone,
            str(self.state),
            format_address(self.inbound) if self.inbound else "",
            [each.packed() for each in self.servers],
        ]


def unpack_record(row: list) -> EndpointRecord:
    """The record of a row that `packed` made."""
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
    """A view: the newest record of each node, and since when it is in its state.

    How many sidecars there are is asked for each retry of a request, so they are counted as records come.
    """

    def __init__(self) -> None:
        self.by_node: dict[str, EndpointRecord] = {}
        self.in_state_since: dict[str, float] = {}  # by node: seconds; of this incarnation
        self.sidecar_count = 0
        self.sidecars_of_zone: dict[str, set[str]] = {}  # nodes

    def update(self, now: float, new: EndpointRecord) -> bool:
        """Takes over a record, unless one at least as new is here; whether it did."""
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
        """Whether at least half of the zone's sidecars are others that have been up for `up_for_s` seconds.

        With fewer, a platform sends the callers of a sidecar to whatever there is. The only sidecar of a zone
        waits for nobody.
        """
        sidecars = [self.by_node[each] for each in self.sidecars_of_zone.get(zone, ())]
        others_up = [each.node for each in sidecars if each.node != node and each.state == UP]
        ready = sum(now - self.in_state_since[each] >= up_for_s for each in others_up)
        return len(sidecars) < 2 or 2 * ready >= len(sidecars)
