"""Engine on real sockets: runs a scenario against sidecar processes on loopback, with simulated servers,
clients and an endpoint list source in this process. Runs take real time, a little more than the scenario's
duration, and every loop is bounded.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import resource
import signal
import sys
import tempfile
import time
import zlib
from collections.abc import Callable
from typing import Any

import uvloop

from foxspread.lab.engines import setup
from foxspread.lab.engines.fault_schedule import EngineActions, FaultSchedule
from foxspread.lab.engines.virtual import Result
from foxspread.lab.ledger import Ledger
from foxspread.lab.scenario import Scenario, ScenarioError, SocketsError
from foxspread.lab.stand_ins import ends as stand_ins
from foxspread.lab.stand_ins.ends import Clients, EndpointSourceConnection, Listener, SimulatedServer
from foxspread.lab.world import demand
from foxspread.lab.world.endpoint_list import EndpointList, Entry
from foxspread.lab.world.fleet import Fleet, Server
from foxspread.lab.world.network import Network

MAX_INSTANCES, MAX_SERVERS = 64, 400  # bounded by processes and by this process's file descriptors
READY_TIMEOUT, STOP_TIMEOUT = 30.0, 8.0
LATE_BEAT = 0.025  # seconds by which a periodic wake-up counts as late


class World(EngineActions):
    def __init__(self, scenario: Scenario, seed: int, policy: str) -> None:
        if scenario.instances > MAX_INSTANCES:
            raise ScenarioError(
                f"'instances' must be at most {MAX_INSTANCES} on sockets, not {scenario.instances}"
            )
        if (count := sum(group.count for group in scenario.groups)) > MAX_SERVERS:
            raise ScenarioError(f"'groups' must hold at most {MAX_SERVERS} servers on sockets, not {count}")
        self.scenario, self.seed, self.policy = scenario, seed, policy
        self.loop = asyncio.get_running_loop()
        self.ledger = Ledger(scenario.max_rows)
        self.begun, self.epoch = self.loop.time(), time.time()
        self.playing = False  # False during start-up, when the run's clock stands at 0
        self.network = Network(scenario.network, seed)
        self.client_chance = random.Random(zlib.crc32(b"clients:%d" % seed))
        self.fleet = Fleet(scenario, self.ledger, seed)
        self.endpoint_list = EndpointList(self.fleet, scenario.source.capacity, scenario.source.timeout)
        self.fault_schedule = FaultSchedule(scenario, self.fleet, self, seed)
        self.asked: dict[str, tuple[demand.Operation, str]] = {}
        self.source_connections: dict[EndpointSourceConnection, None] = {}
        zones = scenario.network.zones
        self.ends = {id: SimulatedServer(self, run, zones) for id, run in self.fleet.servers.items()}
        self.sources = [
            Listener(self.loop, lambda number=number: EndpointSourceConnection(self, number))
            for number in range(scenario.instances)
        ]
        for source in self.sources:
            source.set("open")
        self.clients: list[Clients] = []
        self.processes: list[asyncio.subprocess.Process] = []
        self.notes: list[str] = []
        self.beats = self.late_beats = 0

    # Time.

    def now(self) -> float:
        return self.loop.time() - self.begun if self.playing else 0.0

    def micros(self) -> int:
        return round(self.now() * 1e6)

    def later(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        self.loop.call_later(seconds, call, *args)

    # Actions of the fault schedule.

    def changed(self, server: Server) -> None:
        end = self.ends[server.id]
        if end.run is server:
            end.wake()

    def reset(self, server: Server) -> None:
        end = self.ends[server.id]
        if end.run is server:
            end.reset()

    def listening(self, server: Server, how: str) -> None:
        if self.ends[server.id].run is server:
            self.ends[server.id].update_ports()

    def started(self, server: Server) -> None:
        if server.id in self.ends:
            self.ends[server.id].restart(server)
        else:
            self.ends[server.id] = SimulatedServer(self, server, self.scenario.network.zones)

    def collapsed(self, server: Server) -> None:
        self.loop.call_later(1.0, self.fault_schedule.announce_removed, server)

    def set_zone_partitioned(self, zone: str, partitioned: bool) -> None:
        self.network.set_partitioned(zone, partitioned)
        for end in self.ends.values():
            end.update_ports()

    # Endpoint list source.

    def set_list_delay(self, delay: float) -> None:
        self.endpoint_list.extra_delay = delay

    def set_list_outage(self, down: bool) -> None:
        self.endpoint_list.down = down
        for source in self.sources:
            source.set("refused" if down else "open")
        for connection in list(self.source_connections) if down else ():
            connection.transport.abort()

    def list_changed(self, server: Server, state: str) -> None:
        delay = self.scenario.source.delay + self.endpoint_list.extra_delay
        self.loop.call_later(delay, self._update_endpoint_list, server, state)

    def _update_endpoint_list(self, server: Server, state: str) -> None:
        if self.endpoint_list.apply(server, state):
            for connection in list(self.source_connections):
                spread = self.scenario.source.spread * self.network.chance.random()
                self.loop.call_later(spread, connection.tell, server, state)

    def entries(self, instance: int, several: list[Entry]) -> list[dict[str, Any]]:
        zone = setup.instance_zone(self.scenario, instance)
        return [
            setup.entry(
                server, state, f"{stand_ins.LOOPBACK}:{self.ends[server.id].ports[zone].port}", self.epoch
            )
            for server, state in several
        ]

    def endpoint_list_message(self, instance: int, several: list[Entry], whole: bool) -> bytes:
        """Returns an endpoint list message and records it; a full list records all others as gone."""
        name = setup.instance_name(instance)
        if whole:
            named = {server.id for server, _ in several}
            for id in sorted(set(self.ends) - named):
                self.ledger.write(self.micros(), "told", id, "", name, 0.0, "gone")
        for server, state in several:
            self.ledger.write(self.micros(), "told", server.id, "", name, server.started, state)
        return stand_ins.endpoint_list_line(
            self.endpoint_list.version, self.entries(instance, several), whole
        )

    # Clients.

    def retry(self, operation: demand.Operation, advised: float) -> None:
        wait = demand.schedule_retry(
            self.scenario, operation, self.now(), advised, self.client_chance.random()
        )
        if wait is not None:
            self.loop.call_later(wait, self.clients[operation.instance].ask, operation)

    async def send_operations(self) -> None:
        for operation in demand.plan(self.scenario, self.seed):
            wait = operation.at - self.now()
            if wait > 0:
                await asyncio.sleep(wait)
            self.clients[operation.instance].ask(operation)

    async def measure_lateness(self) -> None:
        """Counts late wake-ups of this process: late simulated peers distort the sidecars' figures."""
        while True:
            due = self.loop.time() + 0.02
            await asyncio.sleep(0.02)
            self.beats += 1
            self.late_beats += self.loop.time() - due > LATE_BEAT

    # Sidecars.

    async def start_sidecars(self, folder: pathlib.Path) -> None:
        found = [self.start_sidecar(folder, number) for number in range(self.scenario.instances)]
        ports = await asyncio.gather(*found)
        self.clients = [Clients(self, number, port) for number, port in enumerate(ports)]

    async def start_sidecar(self, folder: pathlib.Path, number: int) -> int:
        """Starts a sidecar, waits until it is ready and returns its port."""
        known = stand_ins.endpoint_list_line(
            self.endpoint_list.version, self.entries(number, self.endpoint_list.snapshot()), True
        )
        name, path, log = setup.instance_name(number), folder / f"{number}.json", folder / f"{number}.log"
        path.write_text(
            json.dumps(
                {
                    "name": name,
                    "listen": f"{stand_ins.LOOPBACK}:0",
                    "discovery": f"{stand_ins.LOOPBACK}:{self.sources[number].port}",
                    "seed": f"{setup.instance_seed(number, self.seed):x}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "known": json.loads(known),
                    "settings": setup.settings(self.scenario, number),
                }
            )
        )
        module = ["foxspread"]
        if self.policy != "foxspread":
            module = ["foxspread.lab.experiments.broken", self.policy]
        environ = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        with log.open("wb") as output:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *module,
                env=environ | {"EDGE_CONFIG": str(path)},
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.processes.append(process)
        async with asyncio.timeout(READY_TIMEOUT):
            while (found := re.search(rb"listen=\S+:(\d+)", log.read_bytes())) is None:
                if process.returncode is not None:
                    raise SocketsError(f"{name} ended with {process.returncode}: {log.read_text()[-300:]}")
                await asyncio.sleep(0.02)
            port = int(found[1])
            while not await self.is_ready(port):
                await asyncio.sleep(0.02)
        return port

    async def is_ready(self, port: int) -> bool:
        try:
            reader, writer = await asyncio.open_connection(stand_ins.LOOPBACK, port)
        except OSError:
            return False
        try:
            writer.write(b"GET /-/ready HTTP/1.1\r\nConnection: close\r\n\r\n")
            return b" 200 " in await reader.readline()
        except OSError:
            return False
        finally:
            writer.close()

    async def stop_sidecars(self) -> None:
        """Stops only the processes that this run started, by their handles."""
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGTERM)
        for number, process in enumerate(self.processes):
            try:
                await asyncio.wait_for(process.wait(), STOP_TIMEOUT)
            except TimeoutError:
                self.notes.append(f"i{number} did not end within {STOP_TIMEOUT:g} s and was killed")
                process.kill()
                await process.wait()
            if process.returncode not in (0, -signal.SIGKILL):
                self.notes.append(f"i{number} ended with {process.returncode}")

    async def play(self) -> Result:
        clock = time.perf_counter()
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        with tempfile.TemporaryDirectory(prefix="foxspread-lab-") as folder:
            beat = None
            try:
                await self.start_sidecars(pathlib.Path(folder))
                # The run begins when all are ready; their initial endpoint list is recorded at that time.
                self.begun, self.playing = self.loop.time(), True
                for number in range(self.scenario.instances):
                    self.endpoint_list_message(number, self.endpoint_list.snapshot(), True)
                beat = self.loop.create_task(self.measure_lateness())
                self.fault_schedule.start()
                await self.send_operations()
                await self.wait_until_idle()
            finally:
                if beat is not None:
                    beat.cancel()
                await self.stop_sidecars()
                for each in [*self.ends.values(), *self.sources, *self.clients]:
                    each.close()
        if self.late_beats > 0.01 * self.beats:
            self.notes.append(
                f"the stand-ins ran late {self.late_beats} times in {self.beats}: figures may be off"
            )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        used = after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        return Result(self.scenario, self.seed, self.ledger, "sockets", [], used, len(self.ledger.rows),
                      time.perf_counter() - clock, self.notes)  # fmt: skip

    async def wait_until_idle(self) -> None:
        """Waits until all requests and their retries have ended, at most as long as clients can take."""
        longest = max(kind.abandon_time for kind in self.scenario.categories) + self.scenario.rules.slack
        end = self.loop.time() + (longest + 2.0) * (1 + self.scenario.clients.retries)
        quiet = 0
        while quiet < 10 and self.loop.time() < end:
            await asyncio.sleep(0.05)
            quiet = 0 if any(each.open for each in self.clients) else quiet + 1


def run(scenario: Scenario, seed: int, policy: str = "foxspread") -> Result:
    """Runs a scenario once; raises SocketsError if a sidecar does not start. The sidecars' own logs are not
    checked against the rules."""

    async def play() -> Result:
        return await World(scenario, seed, policy).play()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner, contextlib.suppress(KeyboardInterrupt):
        return runner.run(play())
    raise SocketsError("interrupted")
