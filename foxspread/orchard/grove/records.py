"""What each sidecar says of itself: where it hears the others, whether it is about to end, which servers
are beside it. A record has a version, life of the sidecar's process and number; the newest of each sidecar
holds.
"""

from dataclasses import dataclass, field

from foxspread.orchard.grove.lives import Server, server
from foxspread.orchard.settings import Address, address, shown

UP, LEAVING = "up", "leaving"


@dataclass(frozen=True, slots=True)
class Record:
    node: str
    version: tuple[int, int]  # life: milliseconds of the wall clock at its start, or one more than was known
    zone: str
    state: str
    inbound: Address | None  # where the last hop is asked
    servers: tuple[Server, ...] = field(default=())

    def packed(self) -> list:
        return [
            self.node,
            list(self.version),
            self.zone,
            self.state,
            shown(self.inbound) if self.inbound else "",
            [each.packed() for each in self.servers],
        ]


def record(row: list) -> Record:
    node, version, zone, state, inbound, servers = row
    return Record(
        node,
        tuple(version),
        zone,
        state,
        address(inbound) if inbound else None,
        tuple(server(each) for each in servers),
    )


class Records:
    """A view: the newest record of each sidecar, and when it came."""

    def __init__(self) -> None:
        self.of: dict[str, Record] = {}
        self.at: dict[str, float] = {}

    def take(self, now: float, new: Record) -> bool:
        old = self.of.get(new.node)
        if old is not None and old.version >= new.version:
            return False
        self.of[new.node], self.at[new.node] = new, now
        return True
