"""Carries out the disruptions of a plan on the processes of a local cluster."""

import asyncio
import shutil
import time
from collections.abc import Callable
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals

from foxspread.mesh.local_cluster.layout import Layout, write_node_settings
from foxspread.mesh.local_cluster.supervisor import ChildProcess
from foxspread.mesh.soak.history import History, SignalSent
from foxspread.mesh.soak.plan import Disruption, DisruptionKind


class Disruptor:
    """Sends signals to the processes of nodes and records them; disruptions may overlap."""

    def __init__(self, layout: Layout, nodes: dict[str, ChildProcess], history: History) -> None:
        self.layout, self.nodes, self.history = layout, nodes, history
        self.actions: dict[DisruptionKind, Callable] = {
            DisruptionKind.STOP: self._stop,
            DisruptionKind.KILL: self._kill,
            DisruptionKind.FREEZE: self._freeze,
            DisruptionKind.RELOAD: self._reload,
            DisruptionKind.WIPE: self._wipe,
        }

    async def run(self, disruption: Disruption, load_began_at: float) -> None:
        """Carries out one disruption at its time, and returns once its last signal is sent."""
        await asyncio.sleep(max(0.0, load_began_at + disruption.at_s - time.monotonic()))
        async with asyncio.TaskGroup() as tasks:
            for node in disruption.nodes:
                tasks.create_task(self.actions[disruption.kind](self.nodes[node], disruption))
                await asyncio.sleep(disruption.gap_s)

    def _signal(self, child: ChildProcess, number: Signals) -> bool:
        """Sends a signal; returns whether the process runs."""
        if child.pid is None:
            return False
        self.history.signals.append(SignalSent(time.monotonic(), child.name, number.name))
        child.send_signal(number)
        return True

    async def _stop(self, child: ChildProcess, disruption: Disruption) -> None:
        pid = child.pid
        if not self._signal(child, SIGTERM):
            return
        until = time.monotonic() + self.history.bounds.grace_s
        while time.monotonic() < until:
            await asyncio.sleep(0.02)
            if child.pid != pid:
                return
        self._signal(child, SIGKILL)

    async def _kill(self, child: ChildProcess, disruption: Disruption) -> None:
        self._signal(child, SIGKILL)

    async def _freeze(self, child: ChildProcess, disruption: Disruption) -> None:
        pid = child.pid
        if self._signal(child, SIGSTOP):
            await asyncio.sleep(disruption.for_s)
            if child.pid == pid:
                self._signal(child, SIGCONT)

    async def _reload(self, child: ChildProcess, disruption: Disruption) -> None:
        write_node_settings(self.layout, self.layout.machine(child.name), first_start=False)
        self._signal(child, SIGHUP)

    async def _wipe(self, child: ChildProcess, disruption: Disruption) -> None:
        process = child.process
        if self._signal(child, SIGKILL) and process is not None:
            await process.wait()
            shutil.rmtree(self.layout.path(child.name, "data"), ignore_errors=True)
