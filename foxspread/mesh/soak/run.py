"""Runs a plan: starts the processes, the load and the disruptions, and returns the history."""

import asyncio
import pathlib
import time
from collections import defaultdict
from collections.abc import Callable, Iterator, Sequence

from foxspread.mesh.emulators.event_record import read_rows
from foxspread.mesh.local_cluster.layout import SIDE, Layout, create_layout
from foxspread.mesh.local_cluster.supervisor import NODE_COMMAND, ProcessObserver, Supervisor
from foxspread.mesh.soak.disruption import Disruptor
from foxspread.mesh.soak.history import Bounds, History, ProcessEnd, ProcessStart, Run
from foxspread.mesh.soak.load import make_workers
from foxspread.mesh.soak.memory import watch_memory
from foxspread.mesh.soak.operator_load import OperatorLoad
from foxspread.mesh.soak.plan import SoakPlan
from foxspread.mesh.soak.platform import ClientPlatform
from foxspread.mesh.soak.uploads import upload_in_turn

PLATFORM_BOUNDS = {
    "drain_s": 2,
    "grace_s": 6,
    "in_touch_s": 3,
    "config_s": 2,
    "back_s": 0.25,
    "budget_slack": 50,
}
MEMORY_MIB = 300.0
# Shares of requests at which servers show a fault.
SERVER_FAULTS = {
    "slow": 0.1,
    "lose_answer": 0.004,
    "cut_answer": 0.002,
    "garble": 0.002,
    "extra_answer": 0.004,
}
ENOUGH_ENDS = 1000  # ends are the plan's, and judged
UPLOADING_MACHINES = 2
READY_TIMEOUT_S = 30.0


class HistoryObserver(ProcessObserver):
    """Records the starts and ends of nodes while the load goes on."""

    def __init__(self, history: History) -> None:
        self.history, self.is_recording = history, True

    def process_started(self, name: str) -> None:
        """Records the start of a node's process."""
        if self._is_recorded(name):
            self.history.process_starts.append(ProcessStart(time.monotonic(), name))

    def process_ended(self, name: str, code: int) -> None:
        """Records the end of a node's process."""
        if self._is_recorded(name):
            self.history.process_ends.append(ProcessEnd(time.monotonic(), name, code))

    def _is_recorded(self, name: str) -> bool:
        return self.is_recording and not name.startswith("server-of-")


class Soak:
    """One run of a plan in a folder; `net` is the first three numbers of its loopback addresses."""

    def __init__(
        self,
        plan: SoakPlan,
        folder: pathlib.Path,
        net: str,
        echo: Callable[[str], None],
        node_command: Sequence[str] = NODE_COMMAND,
    ) -> None:
        self.plan, self.echo = plan, echo
        bounds = PLATFORM_BOUNDS
        self.history = History(
            Bounds(bounds["grace_s"], bounds["in_touch_s"], bounds["config_s"], MEMORY_MIB)
        )
        self.layout = Layout(
            folder,
            create_layout(str(folder), plan.replicas, plan.sidecars, net).machines,
            bounds,
            plan.work_s,
        )
        self.observer = HistoryObserver(self.history)
        self.supervisor = Supervisor(
            self.layout, lambda line: None, SERVER_FAULTS, node_command, ENOUGH_ENDS, self.observer
        )
        self.nodes = {each.name: each for each in self.supervisor.nodes}
        self.platform = ClientPlatform(self.layout.machines_of_kind(SIDE))
        self.operator = OperatorLoad(self.layout, self.history, plan)

    async def run(self) -> History:
        """Runs the plan; all processes are ended in any case before it returns."""
        stop, ready = asyncio.Event(), asyncio.Event()
        loop = asyncio.get_running_loop()
        supervising = loop.create_task(self.supervisor.run(stop, ready.set))
        try:
            waiting = loop.create_task(ready.wait())
            await asyncio.wait([waiting, supervising], return_when=asyncio.FIRST_COMPLETED)
            if supervising.done():
                supervising.result()
            await self._run_load()
        finally:
            self.observer.is_recording = False
            self.supervisor.kill()  # what is judged has been seen: no need to end them in order
            stop.set()
            await supervising
        self.history.runs.extend(_read_runs(self.layout.server_event_records()))
        return self.history

    async def _run_load(self) -> None:
        await self.operator.configure()
        loop = asyncio.get_running_loop()
        background = [
            loop.create_task(self.platform.probe_forever()),
            loop.create_task(watch_memory(self.nodes, self.history)),
        ]
        try:
            await self._wait_until_ready()
            began_at = time.monotonic()
            until = began_at + self.plan.duration_s
            sidecars = self.layout.machines_of_kind(SIDE)
            workers = make_workers(
                sidecars, self.platform, self.history, self.plan.requests_per_s, self.plan.seed
            )
            disruptor = Disruptor(self.layout, self.nodes, self.history)
            async with asyncio.TaskGroup() as tasks:
                for worker in workers:
                    tasks.create_task(worker.run(until))
                for machine in sidecars[:UPLOADING_MACHINES] if self.plan.uploaders else ():
                    tasks.create_task(upload_in_turn(machine, self.platform, self.history, self.plan, until))
                for disruption in self.plan.disruptions:
                    tasks.create_task(disruptor.run(disruption, began_at))
                tasks.create_task(self.operator.run(until))
                tasks.create_task(self._report_progress(began_at, until))
            await asyncio.sleep(self.history.bounds.config_s)
            self.history.silent_replicas = await self.operator.read_all()
            self.history.ended_at = time.monotonic()
        finally:
            for task in background:
                task.cancel()
            await asyncio.gather(*background, return_exceptions=True)

    async def _wait_until_ready(self) -> None:
        until = time.monotonic() + READY_TIMEOUT_S
        while not all(probe.is_available and probe.failed_probes == 0 for probe in self._probes()):
            if time.monotonic() > until:
                raise RuntimeError("the sidecars are not ready")
            await asyncio.sleep(0.1)
        await asyncio.sleep(1.0)

    def _probes(self) -> list:
        return list(self.platform.probes.values())

    async def _report_progress(self, began_at: float, until: float) -> None:
        while (now := time.monotonic()) < until:
            history = self.history
            self.echo(
                f"{now - began_at:4.0f} of {self.plan.duration_s:g} s: {len(history.requests)} requests, "
                f"{len(history.signals)} signals, {len(history.process_ends)} ends"
            )
            await asyncio.sleep(10.0)


def _read_runs(paths: Sequence[pathlib.Path]) -> Iterator[Run]:
    """Yields the runs that the servers have recorded."""
    for path in paths:
        began: dict[str, list[dict]] = defaultdict(list)
        ended: dict[str, float] = {}
        for row in read_rows(path):
            if row["what"] == "run":
                began[row["id"]].append(row)
            elif row["what"] in ("answer", "left"):
                ended.setdefault(row["id"], row["at"])
        for id, rows in began.items():
            for row in rows:
                yield Run(
                    id=id,
                    instance=row["instance"],
                    caller=row["caller"],
                    path=row["path"],
                    body_checksum=row["body"],
                    began_at=row["at"],
                    ended_at=ended.get(id),
                    fault="" if row["fault"] == "slow" else row["fault"],
                )
