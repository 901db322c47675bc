"""Reads a sidecar's configuration, checks it and applies defaults: the `EDGE_*` variables, the JSON file that
`EDGE_CONFIG` names, and the settings in it, which the simulator's first message contains as well.
"""

import json
import math
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from foxspread.model import Category, Customer, Endpoint, Idempotency, Readiness

IDEMPOTENCY_BY_SEMANTICS = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.DEDUPLICATED,
    "single_shot": Idempotency.NON_IDEMPOTENT,
}
READINESS_BY_STATE = {"ready": Readiness.READY, "draining": Readiness.DRAINING, "gone": Readiness.REMOVED}


class ConfigError(Exception):
    """A value of the configuration is wrong; the text names its key."""


@dataclass(frozen=True)
class Address:
    """A host, by name or number, and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"[{self.host}]:{self.port}" if ":" in self.host else f"{self.host}:{self.port}"


@dataclass(frozen=True)
class AddressedEndpoint:
    """An entry of the endpoint list: what the decisions need, and the server's address."""

    endpoint: Endpoint
    address: Address

    @property
    def removed(self) -> bool:
        """True if the server was removed from the list."""
        return self.endpoint.readiness is Readiness.REMOVED


@dataclass(frozen=True)
class EndpointUpdate:
    """The endpoint list, or a change of it."""

    version: int
    full: bool
    endpoints: list[AddressedEndpoint]
    errors: list[str]  # why entries were left out


@dataclass(frozen=True)
class Limits:
    """Resources that the sidecar may use."""

    cores: float
    memory_mb: float
    sockets: int


@dataclass(frozen=True)
class Config:
    """The configuration of a sidecar. Its field names are logged when it is reloaded."""

    name: str
    listen: Address
    discovery: Address
    limits: Limits
    known: EndpointUpdate
    decisions: dict[str, Any]  # keyword arguments of the balancer
    connect_time: float  # seconds after which a connection attempt is given up
    idle_time: float  # seconds after which servers close idle connections
    list_age: float  # seconds after which the list service counts a list as known, asked for or not
    operator: Address | None = None  # where to listen for operators' calls
    passed: int | None = None  # descriptor of a listening socket that the platform keeps open


class Section:
    """An object of the configuration. It knows its path, so that each error names the key."""

    def __init__(self, values: Any, path: str = "") -> None:
        if not isinstance(values, dict):
            raise ConfigError(f"'{path or 'the configuration'}' must be an object, not {show(values)}")
        self.values, self.path = values, path

    def name(self, key: str) -> str:
        """Returns the whole path of a key."""
        return f"{self.path}.{key}" if self.path else key

    def get(self, key: str, kind: type | tuple[type, ...], expected: str, default: Any) -> Any:
        """Returns the value of a key if it has that type; the key is required if `default` is None.
        `expected`: what an error says that the value must be."""
        value = self.values.get(key)
        if value is None:
            if default is None:
                raise ConfigError(f"'{self.name(key)}' is missing")
            return default
        if not isinstance(value, kind) or (isinstance(value, bool) and kind is not bool):
            raise ConfigError(f"'{self.name(key)}' must be {expected}, not {show(value)}")
        return value

    def text(self, key: str, default: str | None = None) -> str:
        """Returns a text."""
        return self.get(key, str, "text", default)

    def flag(self, key: str) -> bool:
        """Returns a Boolean value, False by default."""
        return self.get(key, bool, "true or false", False)

    def number(self, key: str, default: float | None = None, least: float = 0.0) -> float:
        """Returns a finite number that is not below `least`."""
        value = self.get(key, (int, float), "a number", default)
        if not math.isfinite(value) or value < least:
            raise ConfigError(f"'{self.name(key)}' must be a number from {least:g} on, not {show(value)}")
        return value

    def whole(self, key: str, default: int, least: int = 0) -> int:
        """Returns an integer that is not below `least`."""
        value = self.number(key, default, least)
        if value != int(value):
            raise ConfigError(f"'{self.name(key)}' must be a whole number, not {show(value)}")
        return int(value)

    def seconds(self, key: str, default: float = 0.0) -> float:
        """Returns a time in seconds, which the configuration gives in microseconds under `KEY_us`."""
        return self.number(key + "_us", default * 1e6) / 1e6

    def section(self, key: str) -> "Section":
        """Returns an object, by default an empty one."""
        return Section({} if self.values.get(key) is None else self.values[key], self.name(key))

    def sections(self, key: str) -> list["Section"]:
        """Returns a list of objects, by default an empty one."""
        rows = self.get(key, list, "a list", [])
        return [Section(row, f"{self.name(key)}[{at}]") for at, row in enumerate(rows)]


def show(value: Any) -> str:
    """Returns a value as JSON, cut to fit into an error message."""
    return json.dumps(value)[:60]


def parse_category(row: Section) -> Category:
    """Returns a category of requests. Unknown semantics count as not idempotent."""
    expected = row.seconds("expected_time", 1.0)
    return Category(
        row.text("name"),
        expected,
        row.seconds("abandon_time", expected),
        row.number("benefit", 1.0),
        row.number("late_benefit", 0.0),
        IDEMPOTENCY_BY_SEMANTICS.get(row.text("semantics", ""), Idempotency.NON_IDEMPOTENT),
        row.text("key_scope", "cell"),
        row.seconds("repeat_window"),
        row.flag("stream"),
    )


def settings(options: Section, seed: int) -> dict[str, Any]:
    """Returns the settings as keyword arguments of the balancer."""
    limits, contract = options.section("limits"), options.section("contract")
    siblings, streams = max(1, options.whole("siblings", 1)), limits.whole("multiplex", 1, 1)
    # A wrong position would leave one of the fleet's positions to two sidecars, or to none. Only subsets use
    # it.
    if (position := options.whole("position", 0)) >= siblings and streams > 1:
        raise ConfigError(
            f"'{options.name('position')}' must be below '{options.name('siblings')}' "
            f"({siblings}), not {position}"
        )
    return {
        "seed": seed,
        "zone": options.text("az", ""),
        "sidecars": siblings,
        "categories": [parse_category(row) for row in options.sections("categories")],
        "customers": [
            Customer(row.text("name"), row.number("share", 0.0), row.number("quota_per_s", 0.0))
            for row in options.sections("tenants")
        ],
        "surplus_benefit": options.number("surplus_benefit", 1.0),
        "max_attempts": int(limits.number("max_hand_offs", 1)),
        "hedging": limits.flag("parallel_tries"),
        "cancellation": limits.flag("cancelling"),
        "max_retry_after": limits.seconds("max_retry_after") if limits.flag("retry_after") else 0.0,
        "tick": options.seconds("period", 0.005),
        "use_keys": options.section("specifics").flag("warm_keys"),
        "waste_price": options.section("tariffs").number("waste", 0.0),
        "watch_endpoints": options.text("discovery", "push") == "ask",
        "position": position,
        "streams_per_connection": streams,
        "slow_start": (
            contract.number("cold_from", 1.0),
            contract.seconds("cold"),
            contract.number("fall_multiple", 1.0),
        ),
    }


def address(text: str, key: str) -> Address:
    """Parses `HOST:PORT`, with an IPv6 host in brackets. `key` names the value in an error."""
    host, colon, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ConfigError(f"'{key}' must be HOST:PORT, not {show(text)}")
    return Address(host, int(port))


def parse_endpoint_update(values: Any, path: str) -> EndpointUpdate:
    """Parses the endpoint list, or a change of it. Unknown fields are ignored. A malformed entry, as a newer
    list service might send, is left out and reported, so that the others remain usable."""
    found = Section(values, path)
    endpoints, errors = [], []
    for at, row in enumerate(found.get("servers", list, "a list", [])):
        try:
            endpoints.append(parse_endpoint(Section(row, f"{found.name('servers')}[{at}]")))
        except ConfigError as error:
            errors.append(str(error))
    return EndpointUpdate(int(found.number("version", 0)), found.flag("full"), endpoints, errors)


def parse_endpoint(row: Section) -> AddressedEndpoint:
    """Parses an entry of the endpoint list. An unknown state counts as draining."""
    readiness = READINESS_BY_STATE.get(row.text("state"), Readiness.DRAINING)
    endpoint = Endpoint(
        row.text("id"),
        row.text("zone", ""),
        int(row.number("cell", 0)),
        row.number("weight", 1.0) or 1.0,
        readiness,
        row.number("started_ms", 0) / 1e3,
        row.text("kind", ""),
    )
    return AddressedEndpoint(endpoint, address(row.text("addr"), row.name("addr")))


def passed_socket(text: str | None) -> int | None:
    """Parses the descriptor of the listening socket that the platform passes; None if there is none."""
    if text and not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ConfigError(f"'EDGE_PASSED_SOCKET' must be the number of a descriptor, not {show(text)}")
    return int(text) if text else None


def parse_seed(value: Any) -> int:
    """Parses a seed of hexadecimal digits; any other value is hashed."""
    try:
        return int(value, 16)
    except (TypeError, ValueError):
        return zlib.crc32(str(value).encode())


def read_again(environ: Mapping[str, str]) -> Config:
    """Reads the configuration at a reload. As this is requested because the file has changed, its value for
    discovery takes precedence over the variable."""
    return read({key: value for key, value in environ.items() if key != "EDGE_DISCOVERY"})


def read(environ: Mapping[str, str]) -> Config:
    """Reads the whole configuration. Variables take precedence over the file."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("'EDGE_CONFIG' is missing: it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            source = Section(json.load(file))
    except (OSError, ValueError) as error:
        raise ConfigError(f"'EDGE_CONFIG': {path} cannot be read: {error}") from None

    def variable_or_key(key: str) -> tuple[str, str]:
        """Returns a value that may be in a variable, and the name for it in an error."""
        variable = "EDGE_" + key.upper()
        return (environ[variable], variable) if environ.get(variable) else (source.text(key), key)

    limits, options = source.section("limits"), source.section("settings")
    has_operator_address = environ.get("EDGE_OPERATOR") or source.values.get("operator") is not None
    allowed = options.section("limits")
    return Config(
        variable_or_key("name")[0],
        address(*variable_or_key("listen")),
        address(*variable_or_key("discovery")),
        Limits(
            limits.number("cores", 1.0),
            limits.number("memory_mb", 192, 1),
            int(limits.number("sockets", 1024, 1)),
        ),
        parse_endpoint_update(source.values.get("known") or {}, "known"),
        # A list that is pushed in the simulator comes by a watch as well where there are sockets.
        settings(options, parse_seed(source.values.get("seed", ""))) | {"watch_endpoints": True},
        allowed.seconds("connect_timeout", 0.25),
        allowed.seconds("conn_idle", 10.0),
        options.section("contract").seconds("ask_within", 10.0),
        address(*variable_or_key("operator")) if has_operator_address else None,
        passed_socket(environ.get("EDGE_PASSED_SOCKET")),
    )
