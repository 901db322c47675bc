"""Starts the processes of a local cluster, restarts those that end, and ends all of them by their ids."""

import asyncio
import os
import pathlib
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from signal import SIGKILL, SIGTERM, Signals

import foxspread
from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.emulators.event_record import read_rows
from foxspread.mesh.emulators.http_call import encode_request, send_request
from foxspread.mesh.local_cluster.layout import (
    CORE,
    INNER_PORTS,
    PORTS,
    SERVER_PORT,
    SIDE,
    Layout,
    LocalClusterError,
    write_node_settings,
    write_settings_files,
)
from foxspread.mesh.settings import FILE_VARIABLE, Address, format_address

ROOT = pathlib.Path(foxspread.__file__).parents[1]
RESTART_DELAY_S = 0.3
MAX_ENDS, ENDS_WINDOW_S = 5, 15.0  # a process that ends more often within the window is not restarted
READY_TIMEOUT_S = 30.0
SERVERS_END_TIMEOUT_S = 6.0  # enough to drain and to have the end acknowledged by the sidecar
NODES_END_TIMEOUT_S = 6.0
POLL_INTERVAL_S = 0.03
NODE_COMMAND = ("foxspread.mesh.process",)  # as in deploy/system.toml
Echo = Callable[[str], None]


class ChildProcess:
    """A Python module that runs as a process, and its restarts; `pid_file` exists while it runs."""

    def __init__(
        self, name: str, folder: pathlib.Path, arguments: list[str], variables: dict[str, str]
    ) -> None:
        self.name, self.folder = name, folder
        self.variables = {**os.environ, **variables}
        self.pid_file = folder / f"{name}.pid"
        self.log = folder / f"{name}.log"
        self.command, self.root = [sys.executable, "-m", *arguments], ROOT
        self.process: asyncio.subprocess.Process | None = None
        self.end_times: list[float] = []  # within the last `ENDS_WINDOW_S`

    async def start(self) -> None:
        """Starts the process; its output is appended to `log`."""
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command,
                cwd=self.root,
                env=self.variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,  # ^C reaches only `up`, which ends the processes in order
            )
        self.pid_file.write_text(str(self.process.pid))

    async def wait_until_ended(self) -> int:
        """Waits for the end of the process and returns its exit code."""
        code = await self.process.wait()
        self.pid_file.unlink(missing_ok=True)
        return code

    @property
    def pid(self) -> int | None:
        """Id of the process; None if it does not run."""
        return self.process.pid if self.process is not None and self.process.returncode is None else None

    def signal(self, kill: bool = False) -> None:
        """Sends SIGTERM, or SIGKILL to `kill`, if the process runs."""
        self.send_signal(SIGKILL if kill else SIGTERM)

    def send_signal(self, number: Signals) -> None:
        """Sends a signal, if the process runs."""
        if self.pid is not None:
            self.process.send_signal(number)

    def record_end(self, max_ends: int) -> bool:
        """Records that the process has ended; returns whether it ends too often to be restarted."""
        now = time.monotonic()
        self.end_times = [*(each for each in self.end_times if now - each < ENDS_WINDOW_S), now]
        return len(self.end_times) > max_ends


class ProcessObserver:
    """Is told of the starts and ends of processes, by name; this one ignores them."""

    def process_started(self, name: str) -> None:
        """A process was started."""

    def process_ended(self, name: str, code: int) -> None:
        """A process has ended; a negative `code` is that of the signal that ended it."""


class Supervisor:
    """Runs the processes of a layout: a node for each machine and a server beside each sidecar."""

    def __init__(
        self,
        layout: Layout,
        echo: Echo,
        faults: dict[str, float] | None = None,
        node_command: Sequence[str] = NODE_COMMAND,
        max_ends: int = MAX_ENDS,
        observer: ProcessObserver | None = None,
    ) -> None:
        """Creates the processes without starting them.

        `faults` has the share of requests at which the servers inject each fault, by the fault's name.
        `node_command` is the module of a node's process with its arguments, `max_ends` how often one may end
        within `ENDS_WINDOW_S`.
        """
        self.layout, self.echo, self.faults = layout, echo, faults or {}
        self.max_ends, self.observer = max_ends, observer or ProcessObserver()
        self.nodes, self.servers = [], []
        for machine in layout.machines:
            folder = layout.path(machine.node, "")
            variables = {FILE_VARIABLE: str(folder / "node.json")}
            self.nodes.append(ChildProcess(machine.node, folder, list(node_command), variables))
            if machine.kind == SIDE:
                arguments = ["foxspread.mesh.emulators.server", str(folder / "server.json")]
                self.servers.append(ChildProcess(f"server-of-{machine.node}", folder, arguments, {}))
        self.ending = False
        self.restart_tasks: dict[ChildProcess, asyncio.Task[None]] = {}
        # Gets an exception when a process ends too often.
        self.failed: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    async def run(self, stop: asyncio.Event, on_ready: Callable[[], None] = lambda: None) -> None:
        """Runs all processes until `stop` is set, and ends them in any case before it returns.

        Raises LocalClusterError if an address is in use, a process ends too often, or the mesh is not
        ready in time.
        """
        check_addresses_free(self.layout)
        write_settings_files(self.layout, self.faults)
        stopped = asyncio.get_running_loop().create_task(stop.wait())
        try:
            for child in (*self.nodes, *self.servers):
                await self._start(child)
                self.restart_tasks[child] = asyncio.get_running_loop().create_task(
                    self._restart_when_ended(child)
                )
            ready = asyncio.get_running_loop().create_task(self._wait_until_ready())
            await asyncio.wait([ready, stopped, self.failed], return_when=asyncio.FIRST_COMPLETED)
            if ready.done():
                ready.result()
                for machine in self.layout.machines:
                    write_node_settings(self.layout, machine, first_start=False)
                on_ready()
                await asyncio.wait([stopped, self.failed], return_when=asyncio.FIRST_COMPLETED)
            ready.cancel()
            if self.failed.done():
                self.failed.result()
        finally:
            stopped.cancel()
            await self._end()

    async def _wait_until_ready(self) -> None:
        """Waits until replicas and sidecars answer and each server has had a heartbeat acknowledged.

        A sidecar may answer its readiness probe with 503: it is ready only once there is a configuration.
        """
        pool, until = ConnectionPool(time.monotonic, 5.0), time.monotonic() + READY_TIMEOUT_S
        nodes: list[tuple[str, Address, str, tuple[int, ...]]] = []
        for machine in self.layout.machines:
            if machine.kind == CORE:
                nodes.append((machine.node, machine.address("control"), "/api/Config.Get", (200,)))
            else:
                nodes.append((machine.node, machine.address("ready"), "/api/ready", (200, 503)))
        servers = [
            (f"the server of {each.node}", self.layout.path(each.node, "server.jsonl"))
            for each in self.layout.machines_of_kind(SIDE)
        ]
        started_at = time.monotonic() - POLL_INTERVAL_S
        try:
            while nodes or servers:
                if time.monotonic() > until:
                    names = ", ".join(each[0] for each in (*nodes, *servers))
                    raise LocalClusterError(f"not ready within {READY_TIMEOUT_S:g} s: {names}; see the logs")
                await asyncio.sleep(POLL_INTERVAL_S)
                nodes = [each for each in nodes if not await self._answers(pool, *each[1:])]
                servers = [each for each in servers if not _heartbeat_acknowledged(each[1], started_at)]
        finally:
            pool.close_all()

    async def _answers(
        self, pool: ConnectionPool, address: Address, target: str, statuses: tuple[int, ...]
    ) -> bool:
        parts = encode_request("GET", target, format_address(address))
        reply = await send_request(pool, address, parts, 1.0)
        return reply.status in statuses

    async def _restart_when_ended(self, child: ChildProcess) -> None:
        while True:
            code = await child.wait_until_ended()
            self.observer.process_ended(child.name, code)
            if self.ending:
                return
            if child.record_end(self.max_ends):
                if not self.failed.done():
                    ends = f"{self.max_ends + 1} times within {ENDS_WINDOW_S:g} s"
                    self.failed.set_exception(
                        LocalClusterError(f"{child.name} ended {ends}; see {child.log}")
                    )
                return
            self.echo(f"{child.name} ended ({_describe_exit(code)}); it is started again")
            await asyncio.sleep(RESTART_DELAY_S)
            if self.ending:
                return
            await self._start(child)

    async def _start(self, child: ChildProcess) -> None:
        await child.start()
        self.observer.process_started(child.name)

    async def _end(self) -> None:
        """Ends the servers and then the nodes, as the platform does; kills those that do not end in time."""
        self.ending = True
        for children, timeout_s in (
            (self.servers, SERVERS_END_TIMEOUT_S),
            (self.nodes, NODES_END_TIMEOUT_S),
        ):
            for child in children:
                child.signal()
            tasks = [self.restart_tasks[child] for child in children if child in self.restart_tasks]
            if tasks:
                _, pending = await asyncio.wait(tasks, timeout=timeout_s)
                for child in children if pending else ():
                    child.signal(kill=True)
                await asyncio.wait(tasks)

    def kill(self) -> None:
        """Kills all processes at once; none is started again."""
        self.ending = True
        for child in (*self.servers, *self.nodes):
            child.signal(kill=True)


def check_addresses_free(layout: Layout) -> None:
    """Raises LocalClusterError with the first address of the layout that is in use."""
    for machine in layout.machines:
        ports = [PORTS["control"], INNER_PORTS[0]]
        ports += [*PORTS.values(), SERVER_PORT] if machine.kind == SIDE else []
        for port in ports:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((machine.ip, port))
                except OSError as error:
                    raise LocalClusterError(
                        f"cannot listen at {machine.ip}:{port}: {error.strerror}. "
                        "Another `up` may be running, or processes of one that was killed (their ids are in "
                        "*/*.pid of its folder). --net selects other addresses"
                    ) from None


def pid_of(layout: Layout, node: str) -> int | None:
    """Returns the id of the node's process, or None if it does not run."""
    try:
        return int(layout.path(node, f"{node}.pid").read_text())
    except (FileNotFoundError, ValueError):
        return None


def _heartbeat_acknowledged(event_record: pathlib.Path, since: float) -> bool:
    return any(
        row["what"] == "beat" and row["acknowledged"] and row["at"] >= since
        for row in read_rows(event_record)
    )


def _describe_exit(code: int) -> str:
    return f"killed by signal {-code}" if code < 0 else f"exit code {code}"
