"""Scenario file (TOML): describes a fleet, its clients, endpoint list source, network and faults for both
engines. This module reads it, validates it and supplies defaults; each error names the key and the value.
Times are in seconds, rates in requests per second over all instances, work in seconds of one core of speed 1.
"""

import math
import pathlib
import tomllib
from typing import Any

import msgspec

EFFECTS = ("redoable", "labelled", "irreversible")
SCOPES = ("cell", "zone", "all")
SHAPES = ("steady", "wave", "burst", "ramp")
# Names of faults, shared by the lab, tests and docs; `docs/operators/lab.md` describes each.
FAULTS = (
    "slow",
    "hang",
    "hang_after_read",
    "fast_errors",
    "reset_after_read",
    "reset_mid_answer",
    "refuse",
    "crash_cold",
    "vanish",
    "release",
    "zone_cut",
    "list_stale",
    "list_outage",
    "neighbour",
    "lookups_that_fail_everywhere",
    "cold_flood",
)
OF_SERVERS = frozenset(FAULTS) - {
    "zone_cut",
    "list_stale",
    "list_outage",
    "lookups_that_fail_everywhere",
    "cold_flood",
}


class ScenarioError(Exception):
    """Raised for an invalid scenario; the text names the key and the value."""


class SocketsError(Exception):
    """Raised when a run on sockets fails; the text names the process and the cause."""


class Strict(msgspec.Struct, forbid_unknown_fields=True):
    """Section that rejects unknown keys, which are most likely misspelt."""


class Group(Strict):
    """Group of identical servers."""

    name: str
    count: int
    zones: list[str] = []  # zones of the servers, in rotation; empty means all
    cell_size: int = 4  # servers of a zone that share recorded idempotency labels
    cores: int = 1
    speed: float = 1.0  # of one core
    slots: int = 8  # requests processed at once
    queue: int = 16  # waiting requests; further ones are rejected
    thrash_from: float = 0.0  # overload: more requests per core than this in slots and queue...
    thrash_after: float = 1.5  # ... for this long slow the server down...
    thrash_factor: float = 1.0  # ... by this factor (1: never), until it is idle
    key_gain: float = 0.0  # share of the work saved for a recently requested key
    key_time: float = 6.0  # seconds that a key counts as recent...
    keys: int = 50  # ... and number of keys kept per core
    ends_cut: bool = False  # work ends when its sender closes the connection
    cold_from: float = 0.13  # capacity fraction at the start; rises linearly to 1
    cold_time: float = 20.0


class Category(Strict):
    """Category of requests."""

    name: str
    share: float = 1.0
    work: float = 0.05
    spread: float = 0.4  # standard deviation of the work divided by its mean, log-normal
    wait: float = 0.0  # seconds of waiting for other services after the work
    expected_time: float = 0.5
    abandon_time: float = 1.5
    benefit: float = 1.0
    late_benefit: float = 0.0
    effect: str = "redoable"
    scope: str = "cell"
    repeat_window: float = 7.5


class Tenant(Strict):
    name: str
    share: float = 1.0  # share of the incoming requests
    of_service: float = 0.0  # guaranteed share of the service
    quota: float = 0.0


class Clients(Strict):
    rate: float = 100.0
    shape: str = "steady"
    swing: float = 0.3  # wave: amplitude as a share of the rate
    period: float = 20.0  # seconds of one wave
    at: float = 10.0  # burst and ramp: start...
    lasts: float = 10.0  # ... duration (a ramp rises for this long, then stays)...
    multiple: float = 2.0  # ... and factor on the rate
    uneven: float = 0.0  # 0: equal load on all instances; towards 1: ever more on the first ones
    scatter: float = 0.0  # standard deviation of instances' load divided by its mean, log-normal
    keys: int = 1000
    zipf: float = 0.8
    retries: int = 0
    backoff: float = 0.1  # doubles with each retry, with jitter
    honour: float = 1.0  # share of clients that honour retry-after
    patience: tuple[float, float] = (1.0, 1.0)  # lowest and highest share of the category's abandon time
    one_time: bool = False  # a request and its retries share one deadline, and retries are marked
    leave: float = 0.0  # share of clients that leave early without notice
    tenants: list[Tenant] = []


class Rules(Strict):
    drain_grace: float = 0.4
    fall_multiple: float = 4.0
    fall_after: float = 2.0
    max_hand_offs: int = 5
    copies: bool = True
    calling_off: bool = True
    slack: float = 0.05  # tolerance added to every time limit of the rule check


class Network(Strict):
    zones: list[str] = msgspec.field(default_factory=lambda: ["east", "west"])
    same_zone: float = 0.0002  # one-way delay
    cross_zone: float = 0.001
    jitter: float = 0.2  # largest addition to a delay, as a share of it
    connect_timeout: float = 0.25
    idle_timeout: float = 10.0


class Source(Strict):
    """Service that publishes the endpoint list."""

    delay: float = 0.3  # from a change to its publication
    spread: float = 0.1  # largest addition, drawn for each instance
    capacity: float = 100.0  # calls per second, served one after another
    timeout: float = 3.0  # a call that would wait longer fails


class Fault(Strict):
    what: str
    at: float
    lasts: float = 10.0
    servers: list[str] = []  # ids; if empty,
    zone: str = ""  # all servers of a zone; if empty,
    part: float = 0.0  # this share of all, at least one
    factor: float = 5.0  # slow: slowdown factor; neighbour: share of the machine that it takes
    share: float = 1.0  # share of the requests affected
    ran: float = 1.0  # reset_after_read: share of these requests that have run before the reset
    back: float = 5.0  # crash_cold, vanish: seconds from the fault's end to the server's return
    notice: float = 1.0  # release: from draining to the stop; others: until listed as gone
    at_a_time: float = 0.2  # release: share of the servers replaced at once
    count: int = 4  # cold_flood: number of new servers
    every: float = 0.0  # interval of repetitions...
    times: int = 1  # ... and number of occurrences


class Scenario(Strict):
    name: str
    groups: list[Group]
    categories: list[Category]
    seconds: float = 30.0
    instances: int = 3
    about: str = ""
    clients: Clients = msgspec.field(default_factory=Clients)
    rules: Rules = msgspec.field(default_factory=Rules)
    network: Network = msgspec.field(default_factory=Network)
    source: Source = msgspec.field(default_factory=Source)
    faults: list[Fault] = []
    max_rows: int = 20_000_000  # a run that records more rows ends with an error

    @property
    def capacity(self) -> float:
        """Requests per second of the whole fleet, warmed up and without faults."""
        mean = sum(kind.share * kind.work for kind in self.categories) / sum(k.share for k in self.categories)
        return sum(g.count * g.cores * g.speed for g in self.groups) / mean


def load(path: str | pathlib.Path, changes: dict[str, Any] | None = None) -> Scenario:
    """Loads a scenario from a file. `changes` replaces fields by path, as `clients.rate` or
    `groups.0.count`."""
    try:
        values = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path} cannot be read: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path} is no TOML: {error}") from None
    for key, value in (changes or {}).items():
        put(values, key, value)
    return parse(values)


def put(values: Any, key: str, value: Any) -> None:
    """Replaces one field by its path; an error names the part of the path that does not exist."""
    *path, last = key.split(".")
    for part in path:
        try:
            values = values[int(part)] if isinstance(values, list) else values.setdefault(part, {})
        except (ValueError, IndexError, AttributeError):
            raise ScenarioError(f"'{key}': there is no '{part}' to change") from None
    try:
        values[int(last) if isinstance(values, list) else last] = value
    except (ValueError, IndexError, TypeError):
        raise ScenarioError(f"'{key}': there is no '{last}' to change") from None


def parse(values: dict[str, Any]) -> Scenario:
    try:
        found = msgspec.convert(values, Scenario)
    except msgspec.ValidationError as error:
        text, _, where = str(error).partition(" - at `")
        raise ScenarioError(f"'{where.rstrip('`').removeprefix('$.') or 'scenario'}': {text}") from None
    _check(found)
    return found


def encoded(scenario: Scenario) -> bytes:
    return msgspec.json.encode(scenario)


def decoded(data: bytes) -> Scenario:
    return msgspec.json.decode(data, type=Scenario)


def _need(fine: bool, key: str, value: Any, what: str) -> None:
    if not fine:
        raise ScenarioError(f"'{key}' must be {what}, not {value!r}")


def _numbers(section: Any, path: str) -> None:
    """Rejects numbers that are negative, infinite or NaN, in all nested sections."""
    for name in section.__struct_fields__:
        value, key = getattr(section, name), f"{path}.{name}" if path else name
        if isinstance(value, (int, float)) and not isinstance(value, bool):
            _need(math.isfinite(value) and value >= 0, key, value, "a number from 0 on")
        elif isinstance(value, msgspec.Struct):
            _numbers(value, key)
        elif isinstance(value, list):
            for at, each in enumerate(value):
                if isinstance(each, msgspec.Struct):
                    _numbers(each, f"{key}.{at}")


def _check(it: Scenario) -> None:
    _numbers(it, "")
    _need(0 < it.seconds <= 3600, "seconds", it.seconds, "from above 0 to 3600")
    _need(1 <= it.instances <= 10_000, "instances", it.instances, "from 1 to 10000")
    _need(bool(it.groups), "groups", it.groups, "at least one group")
    _need(bool(it.categories), "categories", it.categories, "at least one category")
    zones = it.network.zones
    _need(bool(zones) and len(set(zones)) == len(zones), "network.zones", zones, "a list of different names")
    for several, key in (
        (it.groups, "groups"),
        (it.categories, "categories"),
        (it.clients.tenants, "clients.tenants"),
    ):
        names = [each.name for each in several]
        for at, name in enumerate(names):
            _need(bool(name) and name not in names[:at], f"{key}.{at}.name", name, "a name that no other has")
    for at, group in enumerate(it.groups):
        key = f"groups.{at}"
        _need(1 <= group.count <= 20_000, f"{key}.count", group.count, "from 1 to 20000")
        _need(group.cores >= 1, f"{key}.cores", group.cores, "at least 1")
        _need(group.speed > 0, f"{key}.speed", group.speed, "above 0")
        _need(group.slots >= 1, f"{key}.slots", group.slots, "at least 1")
        _need(group.cell_size >= 1, f"{key}.cell_size", group.cell_size, "at least 1")
        _need(0 < group.cold_from <= 1, f"{key}.cold_from", group.cold_from, "above 0 and at most 1")
        _need(group.thrash_factor >= 1, f"{key}.thrash_factor", group.thrash_factor, "at least 1")
        _need(group.key_gain < 1, f"{key}.key_gain", group.key_gain, "a part under 1")
        for zone in group.zones:
            _need(zone in zones, f"{key}.zones", zone, f"one of {', '.join(zones)}")
    for at, kind in enumerate(it.categories):
        key = f"categories.{at}"
        _need(kind.effect in EFFECTS, f"{key}.effect", kind.effect, f"one of {', '.join(EFFECTS)}")
        _need(kind.scope in SCOPES, f"{key}.scope", kind.scope, f"one of {', '.join(SCOPES)}")
        _need(kind.work > 0, f"{key}.work", kind.work, "above 0")
        _need(
            0 < kind.expected_time <= kind.abandon_time,
            f"{key}.expected_time",
            kind.expected_time,
            f"above 0 and at most the abandon time ({kind.abandon_time:g})",
        )
    _need(sum(kind.share for kind in it.categories) > 0, "categories", 0, "of shares above 0 together")
    clients = it.clients
    _need(clients.shape in SHAPES, "clients.shape", clients.shape, f"one of {', '.join(SHAPES)}")
    _need(
        clients.rate * it.seconds <= 5_000_000, "clients.rate", clients.rate, "at most 5000000 lookups in all"
    )
    _need(clients.swing <= 1, "clients.swing", clients.swing, "at most 1")
    _need(clients.uneven < 1, "clients.uneven", clients.uneven, "under 1")
    _need(clients.keys >= 1, "clients.keys", clients.keys, "at least 1")
    _need(clients.retries <= 10, "clients.retries", clients.retries, "at most 10")
    _need(
        len(clients.patience) == 2 and 0 < clients.patience[0] <= clients.patience[1] <= 1,
        "clients.patience",
        clients.patience,
        "two parts, rising, above 0 and at most 1",
    )
    _need(it.rules.max_hand_offs >= 1, "rules.max_hand_offs", it.rules.max_hand_offs, "at least 1")
    _need(it.source.capacity > 0, "source.capacity", it.source.capacity, "above 0")
    ids = set(server_ids(it))
    for at, fault in enumerate(it.faults):
        key = f"faults.{at}"
        _need(fault.what in FAULTS, f"{key}.what", fault.what, f"one of {', '.join(FAULTS)}")
        _need(fault.at <= it.seconds, f"{key}.at", fault.at, f"within the {it.seconds:g} s of the run")
        _need(
            fault.share <= 1 and fault.ran <= 1,
            f"{key}.share",
            (fault.share, fault.ran),
            "at most 1, as `ran`",
        )
        _need(
            fault.times <= 1 or fault.every >= fault.lasts,
            f"{key}.every",
            fault.every,
            f"at least as long as it lasts ({fault.lasts:g})",
        )
        _need(1 <= fault.times <= 1000, f"{key}.times", fault.times, "from 1 to 1000")
        _need(fault.what != "slow" or fault.factor >= 1, f"{key}.factor", fault.factor, "at least 1")
        _need(fault.what != "neighbour" or fault.factor < 1, f"{key}.factor", fault.factor, "a part under 1")
        _need(not fault.zone or fault.zone in zones, f"{key}.zone", fault.zone, f"one of {', '.join(zones)}")
        _need(
            fault.what != "zone_cut" or bool(fault.zone),
            f"{key}.zone",
            fault.zone,
            "the zone that is cut off",
        )
        for server in fault.servers:
            _need(server in ids, f"{key}.servers", server, "the id of a server, as s-000")
        if fault.what in OF_SERVERS:
            _need(
                bool(fault.servers or fault.zone) or 0 < fault.part <= 1,
                f"{key}.part",
                fault.part,
                "above 0 and at most 1, where neither servers nor a zone are named",
            )


def server_ids(it: Scenario) -> list[str]:
    return [f"s-{number:03d}" for number in range(sum(group.count for group in it.groups))]
