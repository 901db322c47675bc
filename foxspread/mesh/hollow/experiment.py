"""Measures the cost of each role at several numbers of hollow sidecars, with real replicas.

At each size the phases are: idle, configuration changes, updates of servers, restarts of sidecars, and the
outage and return of a zone. Each phase measures what sidecars and replicas use, and how long a change takes
until it is known everywhere.
"""

import asyncio
import itertools
import os
import pathlib
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import orjson

from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.emulators.operator import Operator
from foxspread.mesh.hollow.scaling import format_figure, format_table, quantile
from foxspread.mesh.hollow.sidecar import INITIAL_CAPACITY
from foxspread.mesh.local_cluster.layout import (
    BOUNDS,
    CORE,
    INNER_PORTS,
    PORTS,
    SERVER_PORT,
    Layout,
    LocalClusterError,
    Machine,
    node_settings,
    write_json,
)
from foxspread.mesh.local_cluster.supervisor import ChildProcess, check_addresses_free
from foxspread.mesh.settings import FILE_VARIABLE

HOST = "orchard.example"
STEP_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ADDRESSES_PER_SUBNET = 250  # used by sidecars, with the same first three numbers
CHANGE_TIMEOUT_S = 10.0
END_TIMEOUT_S, REPLICA_END_TIMEOUT_S = 10.0, 8.0
PROPAGATION_S = 1.5  # for the last change of a phase to arrive everywhere
PAUSE_BEFORE_OUTAGE_S = 2.0
RESTART_PAUSE_S = 0.05  # between the end of a sidecar and its start
MAX_ANSWER_BYTES = 256 * 1024 * 1024


@dataclass(frozen=True)
class Scenario:
    """The parameters of a run; the field names are options of the command and keys of the results file."""

    keepers: int = 3  # replicas
    zones: int = 13
    services: int = 50
    routes: int = 100
    a_process: int = 200  # sidecars in one process
    phase_s: float = 10.0
    changes: float = 2.0  # configuration changes per second
    news: float = 4.0  # changes of servers per second
    restarts: float = 1.0  # restarts of sidecars per second
    apart_s: float = 0.02  # between the first starts of two sidecars in one process
    calm_s: float = 3.0  # before the first phase
    down_s: float = 4.0  # duration of a zone's outage
    heartbeat_s: float = 1.3
    net: str = "127.77"  # first two numbers of all addresses


@dataclass
class SizeFigures:
    """The figures of one size; the field names are keys of the results file."""

    sidecars: int
    # By phase, what the mean sidecar and the busiest replica use; each name has its unit.
    rates: dict[str, dict[str, float]] = field(default_factory=dict)
    # By phase, seconds until changes were known.
    times: dict[str, dict[str, float]] = field(default_factory=dict)
    # By phase and kind of message, bytes per second of the mean sidecar.
    kinds: dict[str, dict[str, float]] = field(default_factory=dict)
    # By phase and kind, messages per second of the mean sidecar.
    messages: dict[str, dict[str, float]] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)  # changes that failed or did not arrive everywhere


class HollowProcess:
    """A process of hollow sidecars, which is controlled by commands at its standard input."""

    def __init__(self, folder: pathlib.Path, sidecars: dict[str, dict[str, Any]]) -> None:
        self.folder, self.sidecars = folder, sidecars
        self.process: asyncio.subprocess.Process | None = None
        self.lock = asyncio.Lock()  # one command at a time

    async def start(self) -> None:
        """Starts the process, but none of its sidecars."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "sidecars.json"
        write_json(path, {"sidecars": self.sidecars})
        child = ChildProcess("hollow", self.folder, ["foxspread.mesh.hollow.process", str(path)], {})
        with open(child.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *child.command,
                cwd=child.root,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=MAX_ANSWER_BYTES,
                start_new_session=True,
            )

    async def execute(self, command: str, **arguments: Any) -> dict[str, Any]:
        """Lets the process execute a command; returns its answer."""
        timeout_s = STEP_TIMEOUT_S + arguments.get("apart_s", 0.0) * len(self.sidecars)
        async with self.lock, asyncio.timeout(timeout_s):
            self.process.stdin.write(orjson.dumps({"do": command, **arguments}) + b"\n")
            line = await self.process.stdout.readline()
        if not line:
            raise LocalClusterError(
                f"a process of hollow sidecars ended during {command!r}; see the log in {self.folder}"
            )
        return orjson.loads(line)

    async def end(self) -> None:
        """Ends the process by closing its input; kills it if that takes too long."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.stdin.close()
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()


def sidecar_settings(scenario: Scenario, layout: Layout, count: int) -> list[dict[str, dict[str, Any]]]:
    """Returns the settings of `count` sidecars by node, in a dict for each process.

    Each sidecar has an address of its own. Sidecars are spread evenly over zones and services.
    """
    common = node_settings(layout, layout.machines[0], first_start=False)
    settings: dict[str, dict[str, Any]] = {}
    for number in range(count):
        ip = f"{scenario.net}.{1 + number // ADDRESSES_PER_SUBNET}.{1 + number % ADDRESSES_PER_SUBNET}"
        settings[f"hollow-{number}"] = common | {
            "node": f"hollow-{number}",
            "role": "sidecar",
            "machine_class": "side",
            "serves": ["side"],
            "ip": ip,
            "zone": zone_of(scenario, number),
            "counters": {name: f"{ip}:{PORTS[name]}" for name in ("inbound", "outbound", "ready", "control")},
            "data_dir": None,
            "heartbeat_s": scenario.heartbeat_s,
            "app": f"{ip}:{SERVER_PORT}",
            "service": f"s{number % scenario.services}",
        }
    names = list(settings)
    return [
        {name: settings[name] for name in names[start : start + scenario.a_process]}
        for start in range(0, count, scenario.a_process)
    ]


def zone_of(scenario: Scenario, number: int) -> str:
    """Returns the zone of the sidecar or replica with this number."""
    return f"zone-{number % scenario.zones}"


def replica_layout(scenario: Scenario, folder: pathlib.Path) -> Layout:
    """Returns a layout of the replicas only."""
    return Layout(
        folder,
        tuple(
            Machine(f"core-{n + 1}", CORE, f"{scenario.net}.0.{n + 1}", zone_of(scenario, n))
            for n in range(scenario.keepers)
        ),
    )


def configuration(scenario: Scenario) -> dict[str, Any]:
    """Returns the call that sets the first configuration."""
    limits = {"envelope_bytes": 16384, "contents_bytes": 1 << 20, "envelope_s": 3, "idle_s": 30}
    fleets = [
        {"name": f"s{n}", "health": "/health", "connection_cap": 100, "edition": "r1"}
        for n in range(scenario.services)
    ]
    rules = [route_rule(scenario, n, 1) for n in range(scenario.routes)]
    gates = [{"destination": HOST, "regulations": rules}]
    return {"lodge": {"limits": limits | {"edition": "r1"}, "gates": gates, "fleets": fleets}}


def route_rule(scenario: Scenario, number: int, version: int) -> dict[str, Any]:
    """Returns a version of a route; each version sends its requests to another service."""
    return {
        "name": f"r{number}",
        "mail_class": "safe",
        "target_s": 0.2,
        "priority": 1,
        "edition": f"r{version}",
        "sorting": {"postcode": f"/r{number}/"},
        "dispatch": {
            "service": f"s{(number + version) % scenario.services}",
            "deadline_s": 0.8,
            "delivery_attempts": 2,
        },
    }


@dataclass
class ProcessTotals:
    """What a process has used since its start, as the system counts it."""

    cpu_s: float
    resident_bytes: int  # now
    peak_resident_bytes: int
    bytes_read: int  # from sockets and files
    bytes_written: int
    io_calls: int  # reads and writes
    wake_ups: int
    descriptors: int  # now


def process_totals(pid: int) -> ProcessTotals:
    """Reads the totals of a process from /proc."""
    folder = pathlib.Path("/proc", str(pid))
    times = folder.joinpath("stat").read_text().rpartition(")")[2].split()
    status = dict(
        line.split(":", 1) for line in folder.joinpath("status").read_text().splitlines() if ":" in line
    )
    io = dict(line.split(": ") for line in folder.joinpath("io").read_text().splitlines())
    wake_ups = 0
    for task in folder.joinpath("task").iterdir():
        for line in task.joinpath("status").read_text().splitlines():
            if line.startswith("voluntary_ctxt_switches"):
                wake_ups += int(line.split()[1])
    return ProcessTotals(
        (int(times[11]) + int(times[12])) / CLOCK_TICKS_PER_S,
        int(status["VmRSS"].split()[0]) * 1024,
        int(status["VmHWM"].split()[0]) * 1024,
        int(io["rchar"]),
        int(io["wchar"]),
        int(io["syscr"]) + int(io["syscw"]),
        wake_ups,
        sum(1 for _ in folder.joinpath("fd").iterdir()),
    )


@dataclass
class Usage:
    """What all processes have used so far."""

    sidecars: list[dict[str, Any]]  # answers to the command "meter" of each process of hollow sidecars
    replicas: list[ProcessTotals]


class Run:
    """The run of one size, with replicas and hollow sidecars of its own."""

    def __init__(
        self, scenario: Scenario, folder: pathlib.Path, count: int, echo: Callable[[str], None]
    ) -> None:
        self.scenario, self.count, self.echo = scenario, count, echo
        self.layout = replica_layout(scenario, folder)
        self.replicas = [
            ChildProcess(
                each.node,
                folder / each.node,
                ["foxspread.mesh", "node"],
                {FILE_VARIABLE: str(folder / each.node / "node.json")},
            )
            for each in self.layout.machines
        ]
        self.processes = [
            HollowProcess(folder / f"hollow-{number}", settings)
            for number, settings in enumerate(sidecar_settings(scenario, self.layout, count))
        ]
        self.nodes = [node for process in self.processes for node in process.sidecars]
        self.pool = ConnectionPool(time.monotonic, 20.0)
        self.operator = Operator(self.layout.control_addresses, self.pool)
        self.versions = itertools.count(2)
        self.starts: dict[str, int] = {}  # number of starts of each sidecar that was restarted
        self.figures = SizeFigures(count)

    async def run(self) -> SizeFigures:
        """Runs all phases; returns the figures. All processes are ended in any case."""
        scenario = self.scenario
        check_addresses_free(self.layout)
        try:
            await self._start_replicas()
            items = scenario.services + scenario.routes + 1
            for process in self.processes:
                await process.start()
            started_at = time.monotonic()
            await asyncio.gather(
                *(process.execute("start", apart_s=scenario.apart_s) for process in self.processes)
            )
            await self._wait_until_known("all sidecars to start", items)
            self.figures.times["all start"] = {"until all know all": time.monotonic() - started_at}
            await asyncio.sleep(scenario.calm_s)
            await self._run_phase("idle", self._stay_idle)
            await self._run_phase("changes", self._change_configuration)
            await self._run_phase("news", self._change_servers)
            await self._run_phase("restarts", self._restart_sidecars)
            await self._wait_until_known("the restarted sidecars", items)
            await asyncio.sleep(PAUSE_BEFORE_OUTAGE_S)
            await self._run_phase("zone", self._interrupt_zone)
        finally:
            await asyncio.gather(*(process.end() for process in self.processes))
            self.pool.close_all()
            for replica in self.replicas:
                replica.signal()
            for replica in self.replicas:
                if replica.process is not None:
                    try:
                        await asyncio.wait_for(replica.wait_until_ended(), REPLICA_END_TIMEOUT_S)
                    except TimeoutError:
                        replica.signal(kill=True)
                        await replica.wait_until_ended()
        return self.figures

    async def _start_replicas(self) -> None:
        """Starts the replicas and installs the first configuration."""
        for machine, replica in zip(self.layout.machines, self.replicas):
            replica.folder.mkdir(parents=True, exist_ok=True)
            settings = node_settings(self.layout, machine, first_start=True)
            zones = {zone_of(self.scenario, n): "orchard" for n in range(self.scenario.zones)}
            write_json(replica.folder / "node.json", settings | {"zones": zones})
            await replica.start()
        outcome = await self.operator.patch(configuration(self.scenario), STEP_TIMEOUT_S)
        if not outcome:
            raise LocalClusterError(
                f"the first configuration failed: {outcome.status or 'no response'}: {outcome.content}"
            )

    async def _wait_until_known(self, what: str, items: int, nodes: list[str] | None = None) -> float:
        """Waits until each of the sidecars, by default of all, knows all items and endpoint records.

        Returns the time at which the last of them answered.
        """
        until = time.monotonic() + STEP_TIMEOUT_S
        while True:
            answers = [
                await process.execute("look", **arguments) for process, arguments in self._by_process(nodes)
            ]
            least = {key: min(each[key] for each in answers) for key in ("items", "records", "links")}
            node_count = self.count + self.scenario.keepers
            if least["items"] >= items and least["records"] >= node_count and least["links"] >= 1:
                return max(each["at"] for each in answers)
            if time.monotonic() > until:
                raise LocalClusterError(
                    f"waited {STEP_TIMEOUT_S:g} s for {what}: expected {items} items and {node_count} "
                    f"records, the least at a sidecar is {least}"
                )
            await asyncio.sleep(POLL_INTERVAL_S)

    def _by_process(self, nodes: list[str] | None) -> list[tuple[HollowProcess, dict[str, Any]]]:
        """Returns the processes that run these sidecars, by default all, with arguments that select them."""
        if nodes is None:
            return [(process, {}) for process in self.processes]
        parts = [
            (process, [each for each in nodes if each in process.sidecars]) for process in self.processes
        ]
        return [(process, {"nodes": part}) for process, part in parts if part]

    # Phases.

    async def _run_phase(self, name: str, phase: Callable[[str], Awaitable[None]]) -> None:
        """Runs a phase, which records its times under its name, and records what it used."""
        for process in self.processes:
            await process.execute("mark_from_now", on=name != "idle")
        before, started_at = await self._usage(), time.monotonic()
        await phase(name)
        duration_s = time.monotonic() - started_at
        self._record_usage(name, before, await self._usage(), duration_s)
        self.echo(f"{self.count} sidecars: {name} in {duration_s:.1f} s")

    async def _usage(self) -> Usage:
        sidecars = [await process.execute("meter") for process in self.processes]
        return Usage(sidecars, [process_totals(each.process.pid) for each in self.replicas])

    def _record_usage(self, phase: str, before: Usage, after: Usage, duration_s: float) -> None:
        def sidecar_rate(key: str) -> float:
            """Returns the rate of the mean sidecar."""
            pairs = zip(before.sidecars, after.sidecars)
            return sum(new[key] - old[key] for old, new in pairs) / duration_s / self.count

        def sidecar_rates_by_kind(key: str) -> dict[str, float]:
            """Returns the rates of the mean sidecar by kind of message, the highest first."""
            kinds = {kind for each in after.sidecars for kind in each[key]}
            rates = {
                kind: sum(
                    new[key].get(kind, 0) - old[key].get(kind, 0)
                    for old, new in zip(before.sidecars, after.sidecars)
                )
                / duration_s
                / self.count
                for kind in kinds
            }
            return {kind: rate for kind, rate in sorted(rates.items(), key=lambda row: -row[1]) if rate > 0}

        def replica_rates(name: str) -> list[float]:
            pairs = zip(before.replicas, after.replicas)
            return [(getattr(new, name) - getattr(old, name)) / duration_s for old, new in pairs]

        sidecar_bytes = sum(each["resident"] - each["bare"] for each in after.sidecars)
        replica_io = [a + b for a, b in zip(replica_rates("bytes_read"), replica_rates("bytes_written"))]
        messages = sidecar_rates_by_kind("messages")
        self.figures.rates[phase] = {
            "sidecar bytes/s sent": sidecar_rate("sent") + sidecar_rate("datagram_bytes"),
            "sidecar bytes/s heard": sidecar_rate("received"),
            "sidecar messages/s sent": sidecar_rate("writes") + sidecar_rate("datagrams"),
            "sidecar reads/s": sidecar_rate("reads"),
            "sidecar processor %": 100 * sidecar_rate("processor_s"),
            "sidecar memory MB": sidecar_bytes / self.count / 1e6,
            "keeper bytes/s": max(replica_io),
            "keeper bytes/s with sidecars": (sidecar_rate("sent") + sidecar_rate("received"))
            * self.count
            / self.scenario.keepers,
            "keeper processor %": 100 * max(replica_rates("cpu_s")),
            "keeper wake-ups/s": max(replica_rates("wake_ups")),
            "keeper calls/s": max(replica_rates("io_calls")),
            "keeper memory MB": max(each.resident_bytes for each in after.replicas) / 1e6,
            "keeper most memory MB": max(each.peak_resident_bytes for each in after.replicas) / 1e6,
            "keeper descriptors": float(max(each.descriptors for each in after.replicas)),
        }
        self.figures.kinds[phase] = {
            **{f"sent {kind}": rate for kind, rate in sidecar_rates_by_kind("sent_by_kind").items()},
            **{f"heard {kind}": rate for kind, rate in sidecar_rates_by_kind("heard_by_kind").items()},
        }
        self.figures.messages[phase] = messages

    async def _stay_idle(self, phase: str) -> None:
        await asyncio.sleep(self.scenario.phase_s)

    async def _repeat(self, rate: float, action: Callable[[int], Awaitable[None]]) -> None:
        """Repeats the action `rate` times per second for the duration of a phase.

        Actions do not overlap: one that takes longer delays the next. Waits at the end for the last change to
        arrive everywhere.
        """
        started_at = time.monotonic()
        for number in range(int(rate * self.scenario.phase_s)):
            await asyncio.sleep(max(0.0, started_at + number / rate - time.monotonic()))
            await action(number)
        await asyncio.sleep(PROPAGATION_S)

    async def _change_configuration(self, phase: str) -> None:
        sent_at: dict[str, float] = {}
        acknowledged_at: dict[str, float] = {}

        async def change(number: int) -> None:
            version, route = next(self.versions), number % self.scenario.routes
            gate = {"destination": HOST, "regulations": [route_rule(self.scenario, route, version)]}
            at = time.monotonic()
            outcome = await self.operator.patch({"lodge": {"gates": [gate]}}, CHANGE_TIMEOUT_S)
            learned = f"r{route}@{version}"
            if outcome:
                sent_at[learned], acknowledged_at[learned] = at, outcome.at
            else:
                self.figures.faults.append(f"change {learned}: {outcome.status}")

        await self._repeat(self.scenario.changes, change)
        await self._record_times(phase, sent_at)
        delays = [acknowledged_at[learned] - at for learned, at in sent_at.items()]
        self.figures.times[phase] |= {
            "acknowledged p50": quantile(delays, 0.5),
            "acknowledged most": max(delays, default=0),
        }

    async def _change_servers(self, phase: str) -> None:
        sent_at: dict[str, float] = {}

        async def change(number: int) -> None:
            node = self.nodes[number * 7 % self.count]
            answer = await self._process_of(node).execute("change", node=node)
            sent_at[answer["what"]] = answer["at"]

        await self._repeat(self.scenario.news, change)
        await self._record_times(phase, sent_at)

    async def _restart_sidecars(self, phase: str) -> None:
        sent_at: dict[str, float] = {}

        async def restart(number: int) -> None:
            node = self.nodes[number * 11 % self.count]
            process = self._process_of(node)
            answer = await process.execute("end", nodes=[node])
            await asyncio.sleep(RESTART_PAUSE_S)
            await process.execute("start", nodes=[node])
            self.starts[node] = self.starts.get(node, 1) + 1
            sent_at[f"{node}-{self.starts[node]}@{INITIAL_CAPACITY}"] = answer["at"]

        await self._repeat(self.scenario.restarts, restart)
        await asyncio.sleep(self.scenario.heartbeat_s)
        await self._record_times(phase, sent_at)

    async def _interrupt_zone(self, phase: str) -> None:
        """Ends all sidecars of one zone at once and starts them again at once."""
        zone = zone_of(self.scenario, 0)
        nodes = [node for n, node in enumerate(self.nodes) if zone_of(self.scenario, n) == zone]
        for process, arguments in self._by_process(nodes):
            await process.execute("end", **arguments)
        await asyncio.sleep(self.scenario.down_s)
        started_at = time.monotonic()
        await asyncio.gather(
            *(process.execute("start", **arguments) for process, arguments in self._by_process(nodes))
        )
        items = self.scenario.services + self.scenario.routes + 1
        known_at = await self._wait_until_known("the sidecars of a zone", items, nodes)
        await asyncio.sleep(self.scenario.heartbeat_s + PROPAGATION_S)
        await self._record_times(
            phase,
            {f"{node}-{self.starts.get(node, 1) + 1}@{INITIAL_CAPACITY}": started_at for node in nodes},
        )
        self.figures.times[phase] |= {
            "sidecars": float(len(nodes)),
            "until they know all": known_at - started_at,
        }

    def _process_of(self, node: str) -> HollowProcess:
        return next(each for each in self.processes if node in each.sidecars)

    async def _record_times(self, phase: str, sent_at: dict[str, float]) -> None:
        """Records how long the versions took to be learned by all sidecars, and those that were not."""
        learned_at: dict[str, list[float]] = {version: [] for version in sent_at}
        for process in self.processes:
            answer = await process.execute("marks", of=list(sent_at))
            for version, times in answer["marks"].items():
                learned_at[version] += times
        delays = [at - sent_at[version] for version, times in learned_at.items() for at in times]
        longest = [max(times) - sent_at[version] for version, times in learned_at.items() if times]
        incomplete = sum(len(times) < self.count for times in learned_at.values())
        if incomplete:
            self.figures.faults.append(
                f"{phase}: {incomplete} of {len(sent_at)} not known at all {self.count}"
            )
        self.figures.times[phase] = {
            "count": float(len(sent_at)),
            "p50": quantile(delays, 0.5),
            "p99": quantile(delays, 0.99),
            "everywhere p50": quantile(longest, 0.5),
            "everywhere most": max(longest, default=0.0),
        }


def format_results(sizes: list[SizeFigures], target: int) -> list[str]:
    """Returns a table for each phase, extrapolated to `target` sidecars, then all times and all faults."""
    text: list[str] = []
    for phase in sizes[0].rates if sizes else ():
        names = sizes[0].rates[phase]
        rows = {name: {each.sidecars: each.rates[phase][name] for each in sizes} for name in names}
        text += [phase, *(f"  {line}" for line in format_table(rows, target)), ""]
    text.append("seconds")
    for each in sizes:
        for phase, times in each.times.items():
            values = ", ".join(f"{name} {format_figure(value)}" for name, value in times.items())
            text.append(f"  {each.sidecars} {phase}: {values}")
    text += [f"FAULT at {each.sidecars}: {fault}" for each in sizes for fault in each.faults]
    return text


async def run_sizes(
    scenario: Scenario,
    counts: list[int],
    folder: pathlib.Path,
    out: pathlib.Path,
    limit_s: float,
    echo: Callable[[str], None],
) -> list[SizeFigures]:
    """Runs one size after another and writes the figures to `out` after each.

    No size is started after `limit_s`, and a size is cancelled `limit_s` later at the latest.
    """
    sizes: list[SizeFigures] = []
    started_at = time.monotonic()
    for number, count in enumerate(counts):
        remaining_s = limit_s - (time.monotonic() - started_at)
        if remaining_s <= 0:
            echo(f"not run, for the time is up: {', '.join(map(str, counts[number:]))}")
            break
        try:
            async with asyncio.timeout(remaining_s + limit_s):
                sizes.append(await Run(scenario, folder / str(count), count, echo).run())
        except (LocalClusterError, TimeoutError) as error:
            echo(f"{count} sidecars failed: {error or 'the time is up'}")
            break
        write_json(
            out,
            {
                "shape": asdict(scenario),
                "bounds": BOUNDS,
                "inner": INNER_PORTS[0],
                "sizes": [asdict(each) for each in sizes],
            },
        )
    return sizes
