"""Runs a local cluster in the foreground until a signal ends it."""

import asyncio
import os
import signal
from collections.abc import Callable

from foxspread.mesh.local_cluster.layout import SIDE, Layout
from foxspread.mesh.local_cluster.supervisor import Supervisor
from foxspread.mesh.settings import format_address

HEADINGS = ("NODE", "ZONE", "CONTROL", "OUTBOUND", "SERVER")


async def run_in_foreground(layout: Layout, faults: dict[str, float], echo: Callable[[str], None]) -> None:
    """Runs the mesh until SIGTERM or SIGINT; a second signal kills its processes at once.

    `faults` has the share of requests at which the emulated servers inject each fault, by the fault's name.
    """
    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    supervisor = Supervisor(layout, echo, faults)

    def on_signal() -> None:
        if stop.is_set():
            supervisor.kill()
        else:
            echo("ending; once more kills")
            stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_signal)
    await supervisor.run(stop, lambda: echo(summary(layout)))


def summary(layout: Layout) -> str:
    """Returns a table of the addresses at which each process listens, and what to do next."""
    rows = [HEADINGS]
    for machine in layout.machines:
        control = format_address(machine.address("control"))
        if machine.kind == SIDE:
            outbound = format_address(machine.address("outbound"))
            rows.append((machine.node, machine.zone, control, outbound, machine.service))
        else:
            rows.append((machine.node, machine.zone, control, "-", "-"))
    widths = [max(len(row[column]) for row in rows) for column in range(len(HEADINGS))]
    lines = ["  ".join(text.ljust(width) for text, width in zip(row, widths)).rstrip() for row in rows]
    lines += [
        f"up, process {os.getpid()}; settings, data and logs: {layout.folder}",
        f"try it: python -m foxspread.mesh smoke-test {layout.folder}",
        "end it: ^C",
    ]
    return "\n".join(lines)
