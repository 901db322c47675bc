"""Samples the memory of processes, as the kernel counts it, and ends those that go over their limit."""

import asyncio
import pathlib
import time
from signal import SIGKILL

from foxspread.mesh.local_cluster.supervisor import ChildProcess
from foxspread.mesh.soak.history import History, MemorySample, SignalSent

INTERVAL_S = 0.2
KIB_PER_MIB = 1024


def anonymous_mib(pid: int) -> float:
    """Returns the anonymous memory of a process (RssAnon) in MiB; 0.0 if it does not run."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int(status.partition("RssAnon:")[2].split()[0]) / KIB_PER_MIB
    except (OSError, IndexError):
        return 0.0


async def watch_memory(nodes: dict[str, ChildProcess], history: History) -> None:
    """Samples all nodes until cancelled; kills a process over its limit, as the platform does."""
    while True:
        for child in nodes.values():
            if child.pid is None:
                continue
            sample = MemorySample(time.monotonic(), child.name, anonymous_mib(child.pid))
            history.memory.append(sample)
            if sample.mib > history.bounds.memory_mib:
                history.signals.append(SignalSent(sample.at, child.name, SIGKILL.name))
                child.send_signal(SIGKILL)
        await asyncio.sleep(INTERVAL_S)
