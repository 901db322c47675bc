"""The JSON form of the operator's configuration; no other module spells its keys.

The keys and their form are those of the operator's calls (see the platform's page on configuration), and are
the same on the wire, in the answer of `Config.Get` and on disk, where the content of a route has its host
beside its rule. The keys mean: `lodge` set, `withdraw` drop, `gates` hosts, `fleets` services, `regulations`
rules, `edition` version. docs/operators/mesh.md has an example.
"""

from collections.abc import Iterable, Mapping
from typing import Any, NamedTuple

from foxspread.mesh.configuration.items import LIMITS, OPERATOR_KINDS, SERVICE, Item

# Keys of a call: its two parts, and what each of them contains.
SET, DROP = "lodge", "withdraw"
HOSTS, SERVICES, LIMITS_KEY = "gates", "fleets", "limits"
DROPPED_ROUTES, DROPPED_SERVICES = "routes", "services"
# Keys of an element of `gates`: the routes of one host.
HOST, RULES = "destination", "regulations"
# Key of the rule in the content of a route, which also has the host.
RULE = "rule"
# Keys and values of a rule.
NAME, VERSION, PRIORITY, TARGET_S = "name", "edition", "priority", "target_s"
IDEMPOTENCE, IDEMPOTENT, NOT_IDEMPOTENT = "mail_class", "safe", "unsafe"
MATCH, PREFIX = "sorting", "postcode"
FORWARDING, SERVICE_KEY, SPLIT, WEIGHT = "dispatch", "service", "consignments", "weight"
DEADLINE_S, MAX_ATTEMPTS = "deadline_s", "delivery_attempts"
# Keys of a service, and of the limits of clients.
HEALTH_PATH, CONNECTION_CAP = "health", "connection_cap"
HEAD_BYTES, BODY_BYTES, HEAD_S, IDLE_S = "envelope_bytes", "contents_bytes", "envelope_s", "idle_s"

Content = Mapping[str, Any]


class WeightedService(NamedTuple):
    """Service that a route forwards to, and its weight among the services of the route."""

    name: str
    weight: float


class RouteMatch(NamedTuple):
    """Requests that a route matches: those to this host (lower case) whose path begins with the prefix."""

    host: str
    prefix: str


def weighted_services(route: Content) -> list[WeightedService]:
    """Returns the services that the content of a route names, with their weights."""
    forwarding = route[RULE][FORWARDING]
    if split := forwarding.get(SPLIT):
        return [WeightedService(each[SERVICE_KEY], each.get(WEIGHT, 1)) for each in split]
    return [WeightedService(forwarding[SERVICE_KEY], 1)]


def route_match(route: Content) -> RouteMatch:
    """Returns the match of a route's content; no two routes in force may have the same one."""
    return RouteMatch(route[HOST].lower(), route[RULE][MATCH][PREFIX])


class ClientLimits(NamedTuple):
    """Limits of a client of a sidecar: sizes of a request, time to send its head, and idle time."""

    head_bytes: int
    body_bytes: int
    head_s: float
    idle_s: float


def client_limits(limits: Content, former: ClientLimits) -> ClientLimits:
    """Returns the limits that a content sets; those that it leaves out keep their former values."""
    return ClientLimits(
        head_bytes=int(limits.get(HEAD_BYTES, former.head_bytes)),
        body_bytes=int(limits.get(BODY_BYTES, former.body_bytes)),
        head_s=float(limits.get(HEAD_S, former.head_s)),
        idle_s=float(limits.get(IDLE_S, former.idle_s)),
    )


def configuration_document(items: Iterable[Item]) -> dict[str, Any]:
    """Returns all items in force that the operator set, in the form of a call that sets them."""
    rules_by_host: dict[str, list[Content]] = {}
    services: list[Content] = []
    document: dict[str, Any] = {}
    for item in sorted(items, key=lambda each: each.key):
        if item.content is None or item.kind not in OPERATOR_KINDS:
            continue
        if item.kind == LIMITS:
            document[LIMITS_KEY] = item.content
        elif item.kind == SERVICE:
            services.append(item.content)
        else:
            rules_by_host.setdefault(item.content[HOST], []).append(item.content[RULE])
    document[HOSTS] = [{HOST: host, RULES: rules} for host, rules in rules_by_host.items()]
    document[SERVICES] = services
    return document
