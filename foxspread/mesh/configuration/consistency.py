"""Checks changes against the items in force.

A route needs the services that it names, and no two routes may match the same requests.
"""

from collections.abc import Iterable, Mapping

from foxspread.mesh.configuration.document import RouteMatch, route_match, weighted_services
from foxspread.mesh.configuration.items import ROUTE, SERVICE, Item, Key
from foxspread.mesh.errors import InvalidRequest

Items = Mapping[Key, Item]


def find_inconsistency(current: Items, changes: Items) -> InvalidRequest | None:
    """Returns the first contradiction among the changes and the current items; None if there is none."""
    routes = [item for item in changes.values() if item.kind == ROUTE and item.content is not None]
    dropped = {item.name for item in changes.values() if item.kind == SERVICE and item.content is None}
    if (missing := _missing_service(current, changes, routes)) is not None:
        return missing
    if not routes and not dropped:
        return None
    name_by_match = {route_match(item.content): item.name for item in routes}
    if len(name_by_match) < len(routes):
        return InvalidRequest("two routes of one call have the same host and prefix")
    unchanged = (
        item
        for key, item in current.items()
        if item.kind == ROUTE and item.content is not None and key not in changes
    )
    return _contradicting_route(unchanged, name_by_match, dropped)


def _missing_service(current: Items, changes: Items, routes: Iterable[Item]) -> InvalidRequest | None:
    """Reports a service that a changed route names and that will not exist."""
    for route in routes:
        for service in weighted_services(route.content):
            key = SERVICE, service.name
            item = changes.get(key) or current.get(key)
            if item is None or item.content is None:
                return InvalidRequest(f"route {route.name}: unknown service {service.name!r}")
    return None


def _contradicting_route(
    unchanged: Iterable[Item], name_by_match: Mapping[RouteMatch, str], dropped: set[str]
) -> InvalidRequest | None:
    """Reports a route in force that has the host and prefix of a changed one or needs a dropped service."""
    for route in unchanged:
        if (other := name_by_match.get(route_match(route.content))) is not None:
            return InvalidRequest(f"route {other}: route {route.name} has that host and prefix")
        for service in weighted_services(route.content) if dropped else ():
            if service.name in dropped:
                return InvalidRequest(f"service {service.name}: route {route.name} goes there")
    return None
