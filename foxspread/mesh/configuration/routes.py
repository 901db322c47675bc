"""Which route a request takes: of its host, the one with the longest prefix that begins the path. What a
look-up costs grows with the depth of the path, not with the number of routes.
"""

from dataclasses import dataclass

from foxspread.mesh.configuration.items import ROUTE, Item, Key, place_of, services_of


@dataclass(frozen=True, slots=True)
class Route:
    name: str
    version: int
    safe: bool  # may run more than once
    aim: float  # seconds; within this an answer earns its full worth
    deadline: float  # seconds, for which it may be held at the longest
    attempts: int  # servers that one try may be sent to
    priority: int  # 0 is the highest
    services: tuple[tuple[str, float], ...]  # with the share of each, up to and with it

    def service(self, draw: float) -> str:
        """By random share; `draw` is from 0 up to 1."""
        for name, committed_number in self.services:
            if draw < committed_number:
                return name
        return self.services[-1][0]


def route_of(item: Item) -> Route:
    rule = item.content["rule"]
    split = [(name, weight) for name, weight in services_of(item.content) if weight > 0]
    total, committed_number, parts = sum(weight for _, weight in split), 0.0, []
    for name, weight in split:
        committed_number += weight / total
        parts.append((name, committed_number))
    dispatch = rule["dispatch"]
    return Route(
        item.name,
        item.version,
        rule["mail_class"] == "safe",
        float(rule.get("target_s") or dispatch["deadline_s"]),
        float(dispatch["deadline_s"]),
        int(dispatch["delivery_attempts"]),
        int(rule.get("priority", 1)),
        tuple(parts),
    )


class RouteTable:
    """A view of the items in force. A route is made of its item when it is first found: thousands that come
    in one change must not hold up requests."""

    def __init__(self) -> None:
        self.hosts: dict[str, dict[str, Route | Item]] = {}
        self.places: dict[Key, tuple[str, str]] = {}

    def put(self, item: Item) -> None:
        if item.kind != ROUTE:
            return
        if (old := self.places.pop(item.key, None)) is not None:
            there = self.hosts[old[0]]
            if there.get(old[1]) is not None and there[old[1]].name == item.name:
                del there[old[1]]  # else another route has taken the place in the same change
                if not there:
                    del self.hosts[old[0]]
        if item.content is not None:
            host, prefix = self.places[item.key] = place_of(item.content)
            self.hosts.setdefault(host, {})[prefix] = item

    def find(self, host: str, path: str) -> Route | None:
        """`host` as the header has it, a port and capitals allowed; `path` without its query."""
        there = self.hosts.get(host) or self.hosts.get(host.partition(":")[0].lower())
        if there is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if (route := there.get(path[: end + 1])) is not None:
                if isinstance(route, Item):
                    route = there[path[: end + 1]] = route_of(route)
                return route
        return None
