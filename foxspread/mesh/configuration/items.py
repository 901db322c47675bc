"""Items: each route, each service and the one `limits` has a name, a version and a content, or was dropped
at a version. The highest version holds, whether it sets or drops; a dropped item stays as such, since an
older change may still arrive.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from foxspread.mesh.errors import Failure, invalid

Key = tuple[str, str]  # kind and name
ROUTE, SERVICE, LIMITS = "route", "service", "limits"  # the operator's
MEMBERS, LEASE, REFUSED, KEPT = "members", "lease", "refused", "kept"  # the system's own
THEIRS = frozenset({ROUTE, SERVICE, LIMITS})
FOR_ALL = THEIRS | {MEMBERS}  # what sidecars without a disk are told, and of KEPT what was dropped
Past = tuple[int, tuple[tuple[int, str], ...]]  # a floor; above it, versions that were confirmed, by digest
NO_PAST: Past = (0, ())


@dataclass(frozen=True, slots=True)
class Item:
    kind: str
    name: str
    version: int
    content: Any  # as it was sent; of a route with its host; None: dropped
    past: Past = NO_PAST  # what was confirmed under lower versions; on machines with a disk only

    @property
    def key(self) -> Key:
        return self.kind, self.name

    @property
    def bare(self) -> "Item":
        """As it is told to those that settle no calls."""
        return self if self.past == NO_PAST else Item(self.kind, self.name, self.version, self.content)

    def packed(self) -> list:
        row = [self.kind, self.name, self.version, self.content]
        return row if self.past == NO_PAST else [*row, self.past]


def unpack_item(row: list) -> Item:
    past = row[4] if len(row) > 4 else NO_PAST
    return Item(*row[:4], (past[0], tuple((version, digest) for version, digest in past[1])))


def for_all(item: Item) -> bool:
    """Whether machines without a disk are told of it."""
    return item.kind in FOR_ALL or (item.kind == KEPT and item.name == "dropped")


def services_of(content: Mapping[str, Any]) -> list[tuple[str, float]]:
    """Services that a route names, with their weights."""
    dispatch = content["rule"]["dispatch"]
    if split := dispatch.get("consignments"):
        return [(each["service"], each.get("weight", 1)) for each in split]
    return [(dispatch["service"], 1)]


def place_of(content: Mapping[str, Any]) -> tuple[str, str]:
    return content["destination"].lower(), content["rule"]["sorting"]["postcode"]


def consistent(held: Mapping[Key, Item], newer: Mapping[Key, Item]) -> Failure | None:
    """Whether what is held may stand with these changes; None where it may, else what stands against it."""
    if not newer:
        return None

    def stands(key: Key) -> bool:
        item = newer.get(key) or held.get(key)
        return item is not None and item.content is not None

    for item in newer.values():
        if item.kind == ROUTE and item.content is not None:
            for service, _ in services_of(item.content):
                if not stands((SERVICE, service)):
                    return invalid(f"route {item.name}: unknown service {service!r}")
    routes = [item for item in newer.values() if item.kind == ROUTE and item.content is not None]
    gone = {item.name for item in newer.values() if item.kind == SERVICE and item.content is None}
    if not routes and not gone:
        return None
    taken = {place_of(item.content): item.name for item in routes}
    if len(taken) < len(routes):
        return invalid("two routes of one call share host and prefix")
    for key, item in held.items():
        if key[0] != ROUTE or item.content is None or key in newer:
            continue
        if (other := taken.get(place_of(item.content))) is not None:
            return invalid(f"route {other}: route {item.name} has that host and prefix")
        if gone:
            for service, _ in services_of(item.content):
                if service in gone:
                    return invalid(f"service {service}: route {item.name} goes there")
    return None


def laid_out(items: Iterable[Item]) -> dict[str, Any]:
    """All that stand, as the first call's set is laid out."""
    gates: dict[str, list] = {}
    out: dict[str, Any] = {}
    fleets = []
    for item in sorted(items, key=lambda each: each.key):
        if item.content is None or item.kind not in THEIRS:
            continue
        if item.kind == LIMITS:
            out["limits"] = item.content
        elif item.kind == SERVICE:
            fleets.append(item.content)
        else:
            gates.setdefault(item.content["destination"], []).append(item.content["rule"])
    out["gates"] = [{"destination": host, "regulations": rules} for host, rules in gates.items()]
    out["fleets"] = fleets
    return out
