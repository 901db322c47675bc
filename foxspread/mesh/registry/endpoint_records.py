"""What each sidecar says of itself: where it hears the others, whether it is about to end, which servers
are beside it. A record has a version, life of the sidecar's process and number; the newest of each sidecar
holds.
"""

from dataclasses import dataclass, field

from foxspread.mesh.registry.incarnations import Instance, unpack_instance
from foxspread.mesh.settings import Address, parse_address, format_address

UP, LEAVING = "up", "leaving"


@dataclass(frozen=True, slots=True)
class EndpointRecord:
    node: str
    version: tuple[int, int]  # life: milliseconds of the wall clock at its start, or one more than was known
    zone: str
    state: str
    inbound: Address | None  # where the last hop is asked
    servers: tuple[Instance, ...] = field(default=())

    def packed(self) -> list:
        return [
            self.node,
            list(self.version),
            self.zone,
            self.state,
            format_address(self.inbound) if self.inbound else "",
            [each.packed() for each in self.servers],
        ]


def unpack_record(row: list) -> EndpointRecord:
    node, version, zone, state, inbound, servers = row
    return EndpointRecord(
        node,
        tuple(version),
        zone,
        state,
        parse_address(inbound) if inbound else None,
        tuple(unpack_instance(each) for each in servers),
    )


class EndpointRecords:
    """A view: the newest record of each sidecar, and since when it says so. How many there are is asked for
    each further try of a request, so it is counted as they come."""

    def __init__(self) -> None:
        self.of: dict[str, EndpointRecord] = {}
        self.since: dict[str, float] = {}  # in that state, in that life
        self.sidecars = 0  # that have a last hop
        self.of_zone: dict[str, set[str]] = {}  # those

    def take(self, now: float, new: EndpointRecord) -> bool:
        old = self.of.get(new.node)
        if old is not None and old.version >= new.version:
            return False
        if old is None or (old.state, old.version[0]) != (new.state, new.version[0]):
            self.since[new.node] = now
        if old is not None and old.inbound is not None:
            self.sidecars -= 1
            self.of_zone[old.zone].discard(old.node)
        if new.inbound is not None:
            self.sidecars += 1
            self.of_zone.setdefault(new.zone, set()).add(new.node)
        self.of[new.node] = new
        return True

    def spares(self, now: float, node: str, zone: str, settled: float) -> bool:
        """Whether callers of that sidecar have others to go to: at least half of the zone's have been up for
        `settled` seconds. With fewer in, a platform sends callers to whatever there is."""
        here = [self.of[each] for each in self.of_zone.get(zone, ())]
        up = [each for each in here if each.node != node and each.state == UP]
        return len(here) < 2 or 2 * sum(now - self.since[each.node] >= settled for each in up) >= len(here)
