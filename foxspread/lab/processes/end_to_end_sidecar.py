"""A whole sidecar in a run on loopback: `python -m foxspread` with an operator's file, a relay on its way to
each coordinator and server, and what its log says.
"""

import asyncio
import json
import os
import re
import sys
import time
from dataclasses import dataclass
from datetime import datetime
from typing import Any

from foxspread.config import Address, address
from foxspread.fleet_rules.lease_holder import Mode
from foxspread.lab.processes.relay import Relay
from foxspread.lab.processes.sidecar_process import SidecarProcess

STARTED_LINE = re.compile(r"start name=\S+ listen=(\S+)")
RULES_LINE = re.compile(r"rules mode=(\w+) phase=(\d+) version=(\d+)")
CHANGE_LINE = "taken up ms="
SERVER_PREFIX = "server:"  # of faults on the ways to servers
EXCUSED_SECONDS = 1.0  # after a stall or a restart, for what clients see


@dataclass(frozen=True)
class LoggedRules:
    """The mode and the phase that a sidecar's log said last."""

    mode: str = ""
    phase: int = 0


class FullSidecar(SidecarProcess):
    """`logged`: what it acts on by its log. `excused_until`: it is stopped or not there, and what clients see
    meanwhile is excused."""

    def __init__(self, run: Any, name: str) -> None:
        super().__init__(run, name)
        self.zone = "ab"[len(run.sidecars) % 2]
        self.server_relays: dict[str, Relay] = {}
        for server in run.servers:
            way = f"{name}-{server.name}"
            self.server_relays[server.name] = relay = Relay(way, run.fleet.rng(way))
            relay.target = server.address
        self.listen: Address | None = None
        self.logged = LoggedRules()
        self.excused_until = 0.0
        self.reading: asyncio.Task | None = None

    def write_files(self) -> list[str]:
        """Its own configuration, and the operator's file."""
        run, folder = self.run, self.run.fleet.folder
        known = [
            {"id": each.name, "addr": str(self.server_relays[each.name].address), "zone": each.zone,
             "cell": each.cell, "state": "ready"}
            for each in run.servers
        ]  # fmt: skip
        # Its own file holds rules too, as before they were the fleet's: nobody may ever act on them.
        config = {
            "name": self.name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": f"{run.seed:x}",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": known},
            "settings": {"az": self.zone, "position": 0, "limits": {"max_hand_offs": 9},
                         "categories": [{"name": "old", "semantics": "free"}]},
        }  # fmt: skip
        config_file, operator_file = folder / f"{self.name}.config", folder / f"{self.name}.toml"
        config_file.write_text(json.dumps(config))
        operator_file.write_text(
            f'[agreed]\ncoordinators = {json.dumps(self.coordinators())}\nfile = "{self.file}"\n'
        )
        return [str(config_file), str(operator_file)]

    async def start(self) -> None:
        """The sound sidecar, or one with the run's mutant."""
        self.starts += 1
        config_file, operator_file = self.write_files()
        self.listen = None
        run = self.run
        broken = run.mutant and (not run.mutant_names or self.name in run.mutant_names)
        command = ["foxspread.lab.processes.end_to_end_child", run.mutant] if broken else ["foxspread"]
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *command, "--operator", operator_file,
            env=os.environ | {"EDGE_CONFIG": config_file}, stderr=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self.reading = asyncio.create_task(self._read_log(self.process))

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        with self.log.open("ab") as log:
            while line := (await process.stderr.readline()).decode(errors="replace"):
                log.write(line.encode())
                log.flush()
                self._on_line(line)

    def _on_line(self, line: str) -> None:
        if found := STARTED_LINE.search(line):
            self.listen = address(found[1], "listen")
        elif found := RULES_LINE.search(line):
            self._on_rules(line, LoggedRules(found[1], int(found[2])), int(found[3]))
        elif CHANGE_LINE in line:
            self.run.slowest_change = max(self.run.slowest_change, float(line.rpartition("=")[2]))
        elif " ERROR " in line or "Traceback" in line:
            self.run.errors.append(f"{self.name}: {line.strip()}")

    def _on_rules(self, line: str, logged: LoggedRules, version: int) -> None:
        self.logged = logged
        # By the line's own time: lines are gathered before they are written.
        ago = time.time() - datetime.fromisoformat(line.split(" ", 1)[0]).timestamp()
        transition = logged.mode == Mode.TRANSITION.value  # the phase before was on that version
        if version and (transition or logged.mode == Mode.IN_FORCE.value):
            self.run.on_version_in_force(logged.phase - transition, version, ago)

    async def end(self) -> None:
        """Kills the process, and reads its log to the end."""
        self.logged = LoggedRules()
        await super().end()
        if self.reading is not None:
            await asyncio.gather(self.reading, return_exceptions=True)

    async def strike(self, kind: str, lasts: float) -> None:
        """Some faults are on the ways to servers; a stop and a restart excuse what clients see meanwhile."""
        if kind in ("stall", "restart"):
            self.excused_until = float("inf")
        try:
            if kind.startswith(SERVER_PREFIX):
                await self._strike_server(kind.removeprefix(SERVER_PREFIX), lasts)
            else:
                await super().strike(kind, lasts)
        finally:
            if self.excused_until == float("inf"):
                self.excused_until = self.run.now() + EXCUSED_SECONDS

    async def _strike_server(self, kind: str, lasts: float) -> None:
        run = self.run
        relay = self.chance.choice(run.shared_relays if run.addresses else [*self.server_relays.values()])
        run.events.append(f"{run.now():.3f} {kind} {relay.name} {lasts:.3f}")
        await self.break_relays([relay], kind, lasts)

    def is_excused(self, since: float) -> bool:
        """Whether clients have to take it as it is for what began then."""
        return self.listen is None or since < self.excused_until
