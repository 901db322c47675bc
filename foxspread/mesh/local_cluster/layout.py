"""The layout of a local cluster: its machines, their addresses, files and settings."""

import os
import pathlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson

from foxspread.mesh.settings import Address

LAYOUT_FILE = "plot.json"
DEFAULT_NET = "127.0.1"
MAX_MACHINES = 150  # each has a process, and one with a sidecar a server's process too
ZONES = ("north-slope", "south-slope", "valley")
SERVICES = ("press", "cellar")
# The same on all machines, and below the range from which the system assigns ports to outgoing connections.
PORTS = {"ready": 8310, "outbound": 8311, "inbound": 8312, "control": 8313}
SERVER_PORT, INNER_PORTS = 8314, (8320, 8335)
CORE, SIDE = "core", "side"  # kinds of machines: with a replica; with a sidecar and an emulated server
MAX_SEEDS = 3
BOUNDS = {"drain_s": 1, "grace_s": 4, "in_touch_s": 3, "config_s": 2, "back_s": 0.25, "budget_slack": 50}
HEARTBEAT_S = 0.5
DEFAULT_WORK_S = 0.004


@dataclass(frozen=True, slots=True)
class Machine:
    """A simulated machine: one node of the mesh with an IP address of its own."""

    node: str
    kind: str
    ip: str
    zone: str
    service: str = ""  # of the emulated server on this machine

    def address(self, port: str) -> Address:
        """Returns the address of the port with this name in `PORTS`."""
        return self.ip, PORTS[port]


@dataclass(frozen=True)
class Layout:
    """The machines of a local cluster, and the folder with a subfolder for the files of each."""

    folder: pathlib.Path
    machines: tuple[Machine, ...]
    bounds: Mapping[str, float] = field(default_factory=lambda: dict(BOUNDS))  # of the platform, by name
    server_work_s: float = DEFAULT_WORK_S  # mean processing time of the emulated servers

    def machines_of_kind(self, kind: str) -> list[Machine]:
        """Returns the machines of this kind, in the order of their numbers."""
        return [each for each in self.machines if each.kind == kind]

    def machine(self, node: str) -> Machine:
        """Returns the machine of this node."""
        return next(each for each in self.machines if each.node == node)

    def path(self, node: str, name: str) -> pathlib.Path:
        """Returns the path of a file in the node's folder."""
        return self.folder / node / name

    @property
    def control_addresses(self) -> list[Address]:
        """Addresses of the replicas' control API, for the operator's calls."""
        return [each.address("control") for each in self.machines_of_kind(CORE)]

    def server_event_records(self) -> list[pathlib.Path]:
        """Returns the paths of the emulated servers' event records."""
        return [self.path(each.node, "server.jsonl") for each in self.machines_of_kind(SIDE)]


class LocalClusterError(Exception):
    """An error that prevents a local cluster from running, worded for the user of the command."""


def create_layout(folder: str, core: int, side: int, net: str = DEFAULT_NET) -> Layout:
    """Returns a layout of `core` replicas and `side` sidecars at addresses that start with `net`."""
    if core < 1 or side < 1 or core + side > MAX_MACHINES:
        raise LocalClusterError(
            f"--core {core} --side {side}: expected at least one of each and {MAX_MACHINES} together at most"
        )
    ips = (f"{net}.{number}" for number in range(1, MAX_MACHINES + 1))
    machines = [
        Machine(f"core-{number + 1}", CORE, next(ips), ZONES[number % len(ZONES)]) for number in range(core)
    ]
    machines += [
        Machine(
            f"side-{number + 1}",
            SIDE,
            next(ips),
            ZONES[number // len(SERVICES) % len(ZONES)],
            SERVICES[number % len(SERVICES)],
        )
        for number in range(side)
    ]
    return Layout(pathlib.Path(folder).absolute(), tuple(machines))


def write_settings_files(layout: Layout, faults: dict[str, float]) -> None:
    """Writes all settings files and the layout file.

    Data directories of an earlier run are kept. The settings say that this is the mesh's first start only if
    there are none.
    """
    first_start = not any(layout.path(each.node, "data").exists() for each in layout.machines_of_kind(CORE))
    for number, machine in enumerate(layout.machines):
        layout.path(machine.node, "").mkdir(parents=True, exist_ok=True)
        write_node_settings(layout, machine, first_start)
        if machine.kind == SIDE:
            write_json(
                layout.path(machine.node, "server.json"), server_settings(layout, machine, number, faults)
            )
    rows = [[each.node, each.kind, each.ip, each.zone, each.service] for each in layout.machines]
    write_json(layout.folder / LAYOUT_FILE, {"machines": rows})


def read_layout(folder: str) -> Layout:
    """Returns the layout that `write_settings_files` has written to this folder."""
    path = pathlib.Path(folder).absolute() / LAYOUT_FILE
    try:
        rows = orjson.loads(path.read_bytes())["machines"]
    except (OSError, ValueError, KeyError) as error:
        raise LocalClusterError(
            f"cannot read the layout {path}: {error}; is this the folder of an `up`?"
        ) from None
    return Layout(path.parent, tuple(Machine(*row) for row in rows))


def node_settings(layout: Layout, machine: Machine, first_start: bool) -> dict[str, Any]:
    """Returns the settings that the platform would give to the node of this machine."""
    is_core = machine.kind == CORE
    listeners = ("control",) if is_core else ("inbound", "outbound", "ready", "control")
    settings: dict[str, Any] = {
        "node": machine.node,
        "role": "keeper" if is_core else "sidecar",
        "machine_class": machine.kind,
        "serves": ["control" if is_core else "side"],
        "ip": machine.ip,
        "zone": machine.zone,
        "region": "orchard",
        "zones": dict.fromkeys(ZONES, "orchard"),
        "counters": {name: f"{machine.ip}:{PORTS[name]}" for name in listeners},
        "inner_ports": list(INNER_PORTS),
        "seeds": [f"{each.ip}:{PORTS['control']}" for each in layout.machines_of_kind(CORE)[:MAX_SEEDS]],
        "first_start": first_start,
        "limits": {"memory_mb": 300, "file_handles": 4096},
        "data_dir": str(layout.path(machine.node, "data")) if is_core else None,
        "heartbeat_s": HEARTBEAT_S,
        "tolerate": {"machines": 1},
        "bounds": [f"{name}={value}" for name, value in layout.bounds.items()],
    }
    if not is_core:
        settings |= {"app": f"{machine.ip}:{SERVER_PORT}", "service": machine.service}
    return settings


def write_node_settings(layout: Layout, machine: Machine, first_start: bool) -> None:
    """Writes the settings file of the machine's node."""
    write_json(layout.path(machine.node, "node.json"), node_settings(layout, machine, first_start))


def server_settings(layout: Layout, machine: Machine, seed: int, faults: dict[str, float]) -> dict[str, Any]:
    """Returns the settings of the emulated server on this machine."""
    return {
        "service": machine.service,
        "address": f"{machine.ip}:{SERVER_PORT}",
        "control": f"{machine.ip}:{PORTS['control']}",
        "zone": machine.zone,
        "heartbeat_s": HEARTBEAT_S,
        "drain_s": layout.bounds["drain_s"],
        "work_s": layout.server_work_s,
        "seed": seed,
        "faults": faults,
        "ledger": str(layout.path(machine.node, "server.jsonl")),
    }


def write_json(path: pathlib.Path, content: Any) -> None:
    """Replaces the file atomically, so that a reader sees either the old content or the new one."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(orjson.dumps(content, option=orjson.OPT_INDENT_2))
    os.replace(temporary, path)
