"""The settings of a process, from the JSON file that FOXSPREAD_NODE_FILE names.

Unknown keys are ignored, since the platform may send keys of later versions. An error message names the
invalid key with its value. The platform defines the keys and their form (see its page on deployment); no
other module spells them.
"""

import os
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from foxspread.mesh.errors import InvalidSettings
from foxspread.mesh.schema import (
    FLAG,
    LIST,
    NON_NEGATIVE_INTEGER,
    NON_NEGATIVE_NUMBER,
    OBJECT,
    REQUIRED_STRING,
    STRING,
    FieldRule,
    abbreviate,
    first_violation,
    is_address,
    is_integer,
    is_number,
    list_of,
)

FILE_VARIABLE = "FOXSPREAD_NODE_FILE"
DEFAULT_FILE = "/etc/foxspread/node.json"
Address = tuple[str, int]  # host and port

# Values of the bounds that the file leaves out, in seconds unless the name says otherwise.
DEFAULT_BOUNDS = {
    "seed_lag_s": 3.0,
    "reuse_after_s": 2.0,
    "in_touch_s": 3.0,
    "ack_s": 4.0,
    "catch_up_s": 4.0,
    "drain_s": 2.0,
    "grace_s": 6.0,
    "lost_s": 0.2,
    "config_s": 2.0,
    "back_s": 0.25,
    "outer_s": 5.0,
    "budget_ratio": 0.2,
    "budget_window_s": 10.0,
    "budget_slack": 50.0,
    "recover_s": 15.0,
}

ADDRESSES = FieldRule(list_of(is_address), "a list of host:port")
FIELD_RULES = {
    "node": REQUIRED_STRING,
    "role": STRING,
    "machine_class": STRING,
    "serves": LIST._replace(required=True),
    "ip": REQUIRED_STRING,
    "zone": STRING._replace(required=True),
    "region": STRING,
    "zones": OBJECT,
    "counters": FieldRule(
        lambda each: isinstance(each, dict) and all(map(is_address, each.values())),
        "an object of host:port",
        True,
    ),
    "inner_ports": FieldRule(
        lambda each: list_of(lambda port: is_integer(port, 1, 65535))(each) and len(each) == 2,
        "a list of two ports from 1 to 65535",
        True,
    ),
    "seeds": ADDRESSES,
    "first_start": FLAG,
    "limits": OBJECT,
    "limits.cpu_share": NON_NEGATIVE_NUMBER,
    "limits.memory_mb": NON_NEGATIVE_NUMBER,
    "limits.file_handles": NON_NEGATIVE_NUMBER,
    "limits.link_mbps": NON_NEGATIVE_NUMBER,
    "data_dir": FieldRule(
        lambda each: each is None or isinstance(each, str), "the path of a folder, or null"
    ),
    "heartbeat_s": FieldRule(lambda each: is_number(each, 0.01), "seconds, 0.01 or more"),
    "contracts": LIST,
    "tolerate": OBJECT,
    "tolerate.machines": NON_NEGATIVE_INTEGER,
    "tolerate.zones": NON_NEGATIVE_INTEGER,
    "bounds": FieldRule(
        lambda each: isinstance(each, (list, str)),
        "a list of name=value, or a text of them separated by commas",
    ),
    "app": FieldRule(is_address, "host:port"),
    "service": STRING,
}


DEFAULT_MEMORY_MB = 300.0  # used if the file has no limits
DEFAULT_FILE_HANDLES = 1024


@dataclass(frozen=True)
class Settings:
    """Settings of one process; attributes have the names of the file's keys."""

    node: str
    ip: str
    zone: str
    serves: tuple[str, ...]
    counters: dict[str, Address]  # address of each listener: `outbound`, `inbound`, `ready`, `control`
    inner_ports: tuple[int, int]  # the first accepts connections of other processes of the mesh
    seeds: tuple[str, ...] = ()  # control addresses of replicas, as host:port
    region: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    first_start: bool = False
    memory_mb: float = DEFAULT_MEMORY_MB
    file_handles: int = DEFAULT_FILE_HANDLES
    data_dir: str | None = None
    heartbeat_s: float = 1.0
    tolerate: int = 1  # number of machines that may fail at once
    bounds: dict[str, float] = field(default_factory=lambda: dict(DEFAULT_BOUNDS))
    app: Address | None = None  # address of the server beside this process
    service: str = ""
    machine_class: str = ""
    tolerate_zones: int = 0  # number of zones that may fail at once

    @property
    def peer_address(self) -> Address:
        """Address at which this process accepts peers; the port is the same on all machines."""
        return self.ip, self.inner_ports[0]

    @property
    def has_storage(self) -> bool:
        """Whether this process is a replica, which stores the configuration on disk."""
        return self.data_dir is not None

    @property
    def member_name(self) -> str:
        """Name of this process among the replicas: its control address; empty if it has no storage."""
        if not self.has_storage or "control" not in self.counters:
            return ""
        return format_address(self.counters["control"])

    def seed_addresses(self) -> list[Address]:
        """Returns the addresses at which the replicas named as seeds accept peers."""
        return [(parse_address(each)[0], self.inner_ports[0]) for each in self.seeds]


def parse_address(text: str) -> Address:
    """Returns the host and port of a text `host:port`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(address: Address) -> str:
    """Returns an address as the text `host:port`."""
    return f"{address[0]}:{address[1]}"


def read_settings(path: str | None = None) -> Settings | InvalidSettings:
    """Reads the file at `path`, or the file that the environment names, or DEFAULT_FILE."""
    path = path or os.environ.get(FILE_VARIABLE) or DEFAULT_FILE
    try:
        with open(path, "rb") as file:
            data = orjson.loads(file.read())
    except OSError as error:
        return InvalidSettings(f"{path}: {error.strerror}")
    except orjson.JSONDecodeError as error:
        return InvalidSettings(f"{path}: {error}")
    return parse_settings(data)


def parse_settings(data: Any) -> Settings | InvalidSettings:
    """Returns the settings for the decoded content of a file, or a failure that names the invalid key."""
    if not isinstance(data, dict):
        return InvalidSettings(f"the settings must be a JSON object, not {abbreviate(data)}")
    if (violation := first_violation(data, FIELD_RULES)) is not None:
        return InvalidSettings(violation)
    bounds = _parse_bounds(data.get("bounds", []))
    if isinstance(bounds, InvalidSettings):
        return bounds
    limits, tolerate = data.get("limits", {}), data.get("tolerate", {})
    return Settings(
        node=data["node"],
        ip=data["ip"],
        zone=data["zone"],
        serves=tuple(data["serves"]),
        counters={name: parse_address(each) for name, each in data["counters"].items()},
        inner_ports=tuple(data["inner_ports"]),
        seeds=tuple(data.get("seeds", ())),
        region=data.get("region", ""),
        zones=data.get("zones", {}),
        first_start=data.get("first_start", False),
        memory_mb=limits.get("memory_mb", DEFAULT_MEMORY_MB),
        file_handles=int(limits.get("file_handles", DEFAULT_FILE_HANDLES)),
        data_dir=data.get("data_dir"),
        heartbeat_s=data.get("heartbeat_s", 1.0),
        tolerate=tolerate.get("machines", 1),
        bounds=bounds,
        app=parse_address(data["app"]) if data.get("app") else None,
        service=data.get("service", ""),
        machine_class=data.get("machine_class", ""),
        tolerate_zones=tolerate.get("zones", 0),
    )


def _parse_bounds(rows: list[str] | str) -> dict[str, float] | InvalidSettings:
    """Parses bounds `name=value`, in a list or separated by commas; names left out keep their defaults."""
    bounds = dict(DEFAULT_BOUNDS)
    for row in rows.split(",") if isinstance(rows, str) else rows:
        name, equals, value = str(row).strip().partition("=")
        if not equals:
            return InvalidSettings(f"bounds: {row!r} does not have the form name=value")
        if value in ("true", "false"):
            bounds[name] = float(value == "true")
            continue
        try:
            bounds[name] = float(value)
        except ValueError:
            if name in DEFAULT_BOUNDS:  # a bound that only a later version knows may have any form
                return InvalidSettings(f"bounds: {name}: {value!r} is not a number")
    return bounds


def with_reloadable_fields(old: Settings, new: Settings) -> Settings:
    """Returns the new settings with the identity, addresses and storage of the running process."""
    return replace(
        new,
        counters=old.counters,
        ip=old.ip,
        inner_ports=old.inner_ports,
        data_dir=old.data_dir,
        node=old.node,
        first_start=old.first_start,
    )
