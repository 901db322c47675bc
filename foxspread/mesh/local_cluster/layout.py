"""Where everything of a mesh on one machine is: machines, addresses, files."""

import os
import pathlib
from dataclasses import dataclass
from typing import Any

import orjson

from foxspread.mesh.settings import Address

FILE = "plot.json"
NET = "127.0.1"
MOST = 40  # machines
ZONES = ("north-slope", "south-slope", "valley")
SERVICES = ("press", "cellar")
# The same on all machines, below those that the system gives to callers.
PORTS = {"ready": 8310, "outbound": 8311, "inbound": 8312, "control": 8313}
APP, INNER = 8314, (8320, 8335)
CORE, SIDE = "core", "side"
SEEDS = 3
BOUNDS = {"drain_s": 1, "grace_s": 4, "in_touch_s": 3, "config_s": 2, "back_s": 0.25, "budget_slack": 50}
HEARTBEAT_S = 0.5


@dataclass(frozen=True, slots=True)
class Machine:
    node: str
    kind: str
    ip: str
    zone: str
    service: str = ""  # of the server beside it

    def place(self, port: str) -> Address:
        return self.ip, PORTS[port]


@dataclass(frozen=True)
class Layout:
    folder: pathlib.Path
    machines: tuple[Machine, ...]

    def of(self, kind: str) -> list[Machine]:
        return [each for each in self.machines if each.kind == kind]

    def machine(self, node: str) -> Machine:
        return next(each for each in self.machines if each.node == node)

    def file(self, node: str, name: str) -> pathlib.Path:
        return self.folder / node / name

    @property
    def controls(self) -> list[Address]:
        """Where the operator may call."""
        return [each.place("control") for each in self.of(CORE)]

    def ledgers(self) -> list[pathlib.Path]:
        """Of the stand-in servers."""
        return [self.file(each.node, "server.jsonl") for each in self.of(SIDE)]


class LayoutError(Exception):
    """What stands in the way, for whoever called."""


def create_layout(folder: str, core: int, side: int, net: str = NET) -> Layout:
    if core < 1 or side < 1 or core + side > MOST:
        raise LayoutError(f"--core {core} --side {side}: at least one of each, {MOST} together at the most")
    ips = (f"{net}.{number}" for number in range(1, MOST + 1))
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


def prepare(layout: Layout, faults: dict[str, float]) -> None:
    """Writes every settings file. What the disks of an earlier time hold stays, and then it is no first
    start."""
    first = not any(layout.file(each.node, "data").exists() for each in layout.of(CORE))
    for number, machine in enumerate(layout.machines):
        layout.file(machine.node, "").mkdir(parents=True, exist_ok=True)
        write_settings(layout, machine, first)
        if machine.kind == SIDE:
            written(layout.file(machine.node, "server.json"), server(layout, machine, number, faults))
    rows = [[each.node, each.kind, each.ip, each.zone, each.service] for each in layout.machines]
    written(layout.folder / FILE, {"machines": rows})


def read(folder: str) -> Layout:
    path = pathlib.Path(folder).absolute() / FILE
    try:
        rows = orjson.loads(path.read_bytes())["machines"]
    except (OSError, ValueError, KeyError) as error:
        raise LayoutError(f"{path}: {error}: is it the folder of an `up`?") from None
    return Layout(path.parent, tuple(Machine(*row) for row in rows))


def settings(layout: Layout, machine: Machine, first: bool) -> dict[str, Any]:
    """What the platform would tell that process (DEPLOY's example)."""
    core = machine.kind == CORE
    names = ("control",) if core else ("inbound", "outbound", "ready", "control")
    told: dict[str, Any] = {
        "node": machine.node,
        "role": "keeper" if core else "sidecar",
        "machine_class": machine.kind,
        "serves": ["control" if core else "side"],
        "ip": machine.ip,
        "zone": machine.zone,
        "region": "orchard",
        "zones": dict.fromkeys(ZONES, "orchard"),
        "counters": {name: f"{machine.ip}:{PORTS[name]}" for name in names},
        "inner_ports": list(INNER),
        "seeds": [f"{each.ip}:{PORTS['control']}" for each in layout.of(CORE)[:SEEDS]],
        "first_start": first,
        "limits": {"memory_mb": 300, "file_handles": 4096},
        "data_dir": str(layout.file(machine.node, "data")) if core else None,
        "heartbeat_s": HEARTBEAT_S,
        "tolerate": {"machines": 1},
        "bounds": [f"{name}={value}" for name, value in BOUNDS.items()],
    }
    if not core:
        told |= {"app": f"{machine.ip}:{APP}", "service": machine.service}
    return told


def write_settings(layout: Layout, machine: Machine, first: bool) -> None:
    written(layout.file(machine.node, "node.json"), settings(layout, machine, first))


def server(layout: Layout, machine: Machine, number: int, faults: dict[str, float]) -> dict[str, Any]:
    """Of the stand-in server beside that machine's sidecar."""
    return {
        "service": machine.service,
        "address": f"{machine.ip}:{APP}",
        "control": f"{machine.ip}:{PORTS['control']}",
        "zone": machine.zone,
        "heartbeat_s": HEARTBEAT_S,
        "drain_s": BOUNDS["drain_s"],
        "seed": number,
        "faults": faults,
        "ledger": str(layout.file(machine.node, "server.jsonl")),
    }


def written(path: pathlib.Path, content: Any) -> None:
    """In one step: whoever reads sees the old file or the new one."""
    beside = path.with_suffix(".new")
    beside.write_bytes(orjson.dumps(content, option=orjson.OPT_INDENT_2))
    os.replace(beside, path)
