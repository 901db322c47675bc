"""`python -m foxspread.mesh.hollow.process FILE`: a process of several hundred hollow sidecars.

It reads commands from its standard input, a line of JSON each, answers each with one line, and ends with its
input. FILE has the settings of the sidecars by node.
"""

import asyncio
import os
import sys
import time
from collections import defaultdict
from functools import partial
from typing import Any

import orjson
import uvloop

from foxspread.mesh.control_api.calls import Request
from foxspread.mesh.hollow.sidecar import HollowSidecar
from foxspread.mesh.hollow.traffic_meter import TrafficMeter
from foxspread.mesh.log import configure_logging
from foxspread.mesh.settings import parse_settings

MAX_LEARNED_TIMES = 2_000_000  # bounds the memory; later ones are left out and reported as missing
STARTS_BETWEEN_PAUSES = 10
MAX_COMMAND_BYTES = 64 * 1024 * 1024
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    with open("/proc/self/statm", "rb") as file:
        return int(file.read().split()[1]) * PAGE_BYTES


class CommandHandler:
    """Executes commands on the hollow sidecars of this process.

    `content` is the content of the settings file: "sidecars" has the settings of each, by node. A command is
    an object: "do" has its name, the other keys are its arguments.
    """

    def __init__(self, content: dict[str, Any], loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.recording = False
        # By version, and by sidecar: when the sidecar learned the version first.
        self.learned_at: dict[str, dict[str, float]] = defaultdict(dict)
        self.learned_count = 0  # times in `learned_at`
        self.initial_resident_bytes = resident_bytes()
        self.sidecars = {
            name: HollowSidecar(loop, parse_settings(settings), partial(self._record_learned, name))
            for name, settings in content["sidecars"].items()
        }
        self.commands = {
            "start": self._start,
            "end": self._end,
            "change": self._change_server,
            "look": self._known_counts,
            "meter": self._totals,
            "mark_from_now": self._restart_recording,
            "marks": self._learned_times,
        }

    def _record_learned(self, sidecar: str, version: str, at: float) -> None:
        """Records when a sidecar learned a version; a sidecar that is restarted learns all versions again."""
        if (
            self.recording
            and self.learned_count < MAX_LEARNED_TIMES
            and sidecar not in (times := self.learned_at[version])
        ):
            self.learned_count += 1
            times[sidecar] = round(at, 4)

    async def execute(self, command: dict[str, Any]) -> dict[str, Any]:
        """Executes a command and returns its answer."""
        return await self.commands[command["do"]](command)

    async def _start(self, command: dict[str, Any]) -> dict[str, Any]:
        """Starts the sidecars "nodes", by default all, "apart_s" seconds apart on average."""
        for number, name in enumerate(command.get("nodes") or self.sidecars, 1):
            self.sidecars[name].start()
            if command.get("apart_s") and number % STARTS_BETWEEN_PAUSES == 0:
                await asyncio.sleep(command["apart_s"] * STARTS_BETWEEN_PAUSES)
        return {}

    async def _end(self, command: dict[str, Any]) -> dict[str, Any]:
        """Ends the sidecars "nodes"; answers when."""
        for name in command["nodes"]:
            self.sidecars[name].end()
        return {"at": time.monotonic()}

    async def _change_server(self, command: dict[str, Any]) -> dict[str, Any]:
        """Changes the capacity of the server at "node" and sends its next heartbeat at once.

        Answers when, and by which version the change is recorded.
        """
        sidecar = self.sidecars[command["node"]]
        sidecar.server.capacity += 1
        at = time.monotonic()
        id = f"{command['node']}-{sidecar.starts}"
        await (
            sidecar.node.endpoints.http_servers["control"]
            .resources["Instances"]
            .heartbeat(Request(id, sidecar.server.next_heartbeat()))
        )
        return {"at": at, "what": f"{id}@{sidecar.server.capacity}"}

    async def _known_counts(self, command: dict[str, Any]) -> dict[str, Any]:
        """Answers the least that any of the sidecars "nodes", by default of all, knows now."""
        counts = [self.sidecars[name].known_counts() for name in command.get("nodes") or self.sidecars]
        items, records, connections = (min(each[n] for each in counts) for n in range(3))
        return {"items": items, "records": records, "links": connections, "at": time.monotonic()}

    async def _totals(self, command: dict[str, Any]) -> dict[str, Any]:
        """Answers the traffic of all sidecars and what this process uses."""
        total = TrafficMeter()
        for each in self.sidecars.values():
            total.add(each.meter)
        return total.as_dict() | {
            "processor_s": time.process_time(),
            "resident": resident_bytes(),
            "bare": self.initial_resident_bytes,
            "at": time.monotonic(),
        }

    async def _restart_recording(self, command: dict[str, Any]) -> dict[str, Any]:
        """Forgets when versions were learned; records it from now on if "on" is true."""
        self.recording, self.learned_count = bool(command["on"]), 0
        self.learned_at.clear()
        return {}

    async def _learned_times(self, command: dict[str, Any]) -> dict[str, Any]:
        """Answers when the sidecars learned each of the versions "of"."""
        known = [version for version in command["of"] if version in self.learned_at]
        return {"marks": {version: list(self.learned_at[version].values()) for version in known}}


async def run(path: str) -> None:
    """Runs the hollow sidecars of a settings file until standard input ends."""
    with open(path, "rb") as file:
        content = orjson.loads(file.read())
    loop = asyncio.get_running_loop()
    handler = CommandHandler(content, loop)
    reader = asyncio.StreamReader(limit=MAX_COMMAND_BYTES)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    while line := await reader.readline():
        answer = await handler.execute(orjson.loads(line))
        sys.stdout.buffer.write(orjson.dumps(answer) + b"\n")
        sys.stdout.buffer.flush()
    for each in handler.sidecars.values():
        each.end()


if __name__ == "__main__":
    configure_logging("hollow")
    uvloop.run(run(sys.argv[1]))
