"""The routing table, which assigns requests to routes, and routes to services.

A request takes the route of its host with the longest matching prefix, by whole path segments. The cost of
finding it grows with the depth of the path, not with the number of routes.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from foxspread.mesh.configuration.document import (
    DEADLINE_S,
    FORWARDING,
    IDEMPOTENCE,
    IDEMPOTENT,
    MAX_ATTEMPTS,
    PRIORITY,
    RULE,
    TARGET_S,
    RouteMatch,
    WeightedService,
    route_match,
    weighted_services,
)
from foxspread.mesh.configuration.items import ROUTE, Item, Key

DEFAULT_PRIORITY = 1  # the middle one


@dataclass(frozen=True, slots=True)
class Route:
    """Route in the form that the handling of a request needs."""

    name: str
    version: int
    idempotent: bool  # whether a request may run more than once
    latency_target_s: float  # an answer within this time has its full value
    deadline_s: float  # time limit of a request
    max_attempts: int  # number of servers that one request may reach
    priority: int  # 0 is the highest
    services: tuple[tuple[str, float], ...]  # each with the cumulative share of requests, up to 1

    def service(self, draw: float) -> str:
        """Returns the service for a request, by weight; `draw` is a random number in [0, 1)."""
        for name, cumulative_share in self.services:
            if draw < cumulative_share:
                return name
        return self.services[-1][0]


def route_from_item(item: Item) -> Route:
    """Returns the route for a route item in force."""
    rule = item.content[RULE]
    forwarding = rule[FORWARDING]
    return Route(
        name=item.name,
        version=item.version,
        idempotent=rule[IDEMPOTENCE] == IDEMPOTENT,
        latency_target_s=float(rule.get(TARGET_S) or forwarding[DEADLINE_S]),
        deadline_s=float(forwarding[DEADLINE_S]),
        max_attempts=int(forwarding[MAX_ATTEMPTS]),
        priority=int(rule.get(PRIORITY, DEFAULT_PRIORITY)),
        services=_cumulative_shares(weighted_services(item.content)),
    )


def _cumulative_shares(services: Sequence[WeightedService]) -> tuple[tuple[str, float], ...]:
    """Returns the services with a weight above 0, each with the sum of its share and those before it."""
    weighted = [service for service in services if service.weight > 0]
    total, cumulative_share, shares = sum(service.weight for service in weighted), 0.0, []
    for service in weighted:
        cumulative_share += service.weight / total
        shares.append((service.name, cumulative_share))
    return tuple(shares)


class RouteTable:
    """View of the route items in force.

    A `Route` is built from its item when a request first finds it: building thousands of a single change at
    once would delay requests.
    """

    def __init__(self) -> None:
        self.by_host: dict[str, dict[str, Route | Item]] = {}  # by host, then by prefix
        self.matches: dict[Key, RouteMatch] = {}  # by key of each route item in force

    def put(self, item: Item) -> None:
        """Applies a newer version of an item; ignores items that are not routes."""
        if item.kind != ROUTE:
            return
        if (old := self.matches.pop(item.key, None)) is not None:
            self._remove(item.name, old)
        if item.content is not None:
            match = self.matches[item.key] = route_match(item.content)
            self.by_host.setdefault(match.host, {})[match.prefix] = item

    def _remove(self, name: str, match: RouteMatch) -> None:
        routes = self.by_host[match.host]
        route = routes.get(match.prefix)
        if route is None or route.name != name:
            return  # another route of the same change has taken this host and prefix
        del routes[match.prefix]
        if not routes:
            del self.by_host[match.host]

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a request, if there is one.

        `host` is the value of the header, with or without a port, in any case; `path` is without the query.
        """
        routes = self.by_host.get(host) or self.by_host.get(host.partition(":")[0].lower())
        if routes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            if (route := routes.get(path[: end + 1])) is not None:
                if isinstance(route, Item):
                    route = routes[path[: end + 1]] = route_from_item(route)
                return route
        return None
