"""What a process is told: the JSON file that FOXSPREAD_NODE_FILE names, read and checked in one place.
Unknown keys are ignored; a faulty one is named with its value. The source is the platform's page on
deployment.
"""

import os
from dataclasses import dataclass, field, replace
from typing import Any

import orjson

from foxspread.mesh.errors import Failure
from foxspread.mesh.schema import (
    AMOUNT,
    COUNT,
    FLAG,
    LIST,
    NEEDED_TEXT,
    OBJECT,
    TEXT,
    FieldRule,
    all_of,
    first_fault,
    is_number,
    is_address,
    is_integer,
)

FILE_VARIABLE = "FOXSPREAD_NODE_FILE"
FILE_USUAL = "/etc/foxspread/node.json"
Address = tuple[str, int]

# Seconds, unless a name says otherwise: what holds where the file tells no other.
BOUNDS = {
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

PLACES = FieldRule(all_of(is_address), "a list of host:port")
WANTS = {
    "node": NEEDED_TEXT,
    "role": TEXT,
    "machine_class": TEXT,
    "serves": LIST._replace(needed=True),
    "ip": NEEDED_TEXT,
    "zone": TEXT._replace(needed=True),
    "region": TEXT,
    "zones": OBJECT,
    "counters": FieldRule(
        lambda each: isinstance(each, dict) and all(map(is_address, each.values())),
        "an object of host:port",
        True,
    ),
    "inner_ports": FieldRule(
        lambda each: all_of(lambda port: is_integer(port, 1, 65535))(each) and len(each) == 2,
        "two ports",
        True,
    ),
    "seeds": PLACES,
    "first_start": FLAG,
    "limits": OBJECT,
    "limits.cpu_share": AMOUNT,
    "limits.memory_mb": AMOUNT,
    "limits.file_handles": AMOUNT,
    "limits.link_mbps": AMOUNT,
    "data_dir": FieldRule(lambda each: each is None or isinstance(each, str), "a folder or null"),
    "heartbeat_s": FieldRule(lambda each: is_number(each, 0.01), "seconds, 0.01 or more"),
    "contracts": LIST,
    "tolerate": OBJECT,
    "tolerate.machines": COUNT,
    "tolerate.zones": COUNT,
    "bounds": FieldRule(
        lambda each: isinstance(each, (list, str)), "a list of name=value, or one text of them"
    ),
    "app": FieldRule(is_address, "host:port"),
    "service": TEXT,
}


@dataclass(frozen=True)
class Settings:
    node: str
    ip: str
    zone: str
    serves: tuple[str, ...]
    counters: dict[str, Address]
    inner_ports: tuple[int, int]
    seeds: tuple[str, ...] = ()  # control addresses, as told
    region: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    first_start: bool = False
    memory_mb: float = 300.0
    file_handles: int = 1024
    data_dir: str | None = None
    heartbeat_s: float = 1.0
    tolerate: int = 1
    bounds: dict[str, float] = field(default_factory=lambda: dict(BOUNDS))
    app: Address | None = None
    service: str = ""
    machine_class: str = ""
    tolerate_zones: int = 0

    @property
    def inner(self) -> Address:
        """Where it hears its own kind. All machines have the same ports free."""
        return self.ip, self.inner_ports[0]

    @property
    def has_storage(self) -> bool:
        """Whether it holds the state on a disk."""
        return self.data_dir is not None

    def seed_addresses(self) -> list[Address]:
        """Where those that serve control hear their own kind."""
        return [(parse_address(each)[0], self.inner_ports[0]) for each in self.seeds]


def parse_address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)


def format_address(place: Address) -> str:
    return f"{place[0]}:{place[1]}"


def read_settings(path: str | None = None) -> Settings | Failure:
    """The settings, or a failure that names the key and its value."""
    path = path or os.environ.get(FILE_VARIABLE) or FILE_USUAL
    try:
        with open(path, "rb") as file:
            data = orjson.loads(file.read())
    except OSError as error:
        return Failure(f"{path}: {error.strerror}")
    except orjson.JSONDecodeError as error:
        return Failure(f"{path}: {error}")
    return settings_from(data)


def settings_from(data: Any) -> Settings | Failure:
    if not isinstance(data, dict):
        return Failure("settings must be an object")
    if (fault := first_fault(data, WANTS)) is not None:
        return Failure(fault)
    bounds = _bounds(data.get("bounds", []))
    if isinstance(bounds, Failure):
        return bounds
    limits = data.get("limits", {})
    return Settings(
        data["node"],
        data["ip"],
        data["zone"],
        tuple(data["serves"]),
        {name: parse_address(each) for name, each in data["counters"].items()},
        tuple(data["inner_ports"]),
        tuple(data.get("seeds", ())),
        data.get("region", ""),
        data.get("zones", {}),
        data.get("first_start", False),
        limits.get("memory_mb", 300.0),
        int(limits.get("file_handles", 1024)),
        data.get("data_dir"),
        data.get("heartbeat_s", 1.0),
        data.get("tolerate", {}).get("machines", 1),
        bounds,
        parse_address(data["app"]) if data.get("app") else None,
        data.get("service", ""),
        data.get("machine_class", ""),
        data.get("tolerate", {}).get("zones", 0),
    )


def _bounds(given: list | str) -> dict[str, float] | Failure:
    bounds = dict(BOUNDS)
    for row in given.split(",") if isinstance(given, str) else given:
        name, found, value = str(row).strip().partition("=")
        if not found:
            return Failure(f"bounds: {row!r} is not name=value")
        if value in ("true", "false"):
            bounds[name] = float(value == "true")
            continue
        try:
            bounds[name] = float(value)
        except ValueError:
            if name in BOUNDS:
                return Failure(f"bounds: {name}={value!r} is no number")
    return bounds


def reloaded(old: Settings, new: Settings) -> Settings:
    """What a running process takes up of a changed file: all but where it listens and what it keeps."""
    return replace(
        new,
        counters=old.counters,
        ip=old.ip,
        inner_ports=old.inner_ports,
        data_dir=old.data_dir,
        node=old.node,
        first_start=old.first_start,
    )
