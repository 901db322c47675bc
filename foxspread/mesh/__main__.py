"""`python -m foxspread.mesh ...`: one process of the mesh by its settings file, the whole mesh on one
machine, to try it out, and the cores of a whole fleet in virtual time."""

import asyncio
import os
import signal
import sys
import tempfile
from typing import TYPE_CHECKING, Any

import click

if TYPE_CHECKING:
    from foxspread.mesh.local_cluster.layout import Layout
    from foxspread.mesh.local_cluster.smoke_test import Figures

HOLLOW_MOST = 3000  # sidecars: more do not fit one machine


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """The mesh.

    \b
    python -m foxspread.mesh node            one process, by its settings file
    python -m foxspread.mesh up --folder DIR the whole of it on this machine
    python -m foxspread.mesh try DIR         what it does, by figures
    python -m foxspread.mesh hollow          what each role spends, by the number of sidecars
    python -m foxspread.mesh weigh           what one process holds and sends at a size that is not run
    """


@main.command()
@click.option("--settings", "path", help="The settings file; else FOXSPREAD_NODE_FILE names it.")
def node(path: str | None) -> None:
    """Run one process: what it does follows from its settings."""
    from foxspread.mesh.process import serve

    sys.exit(serve(path))


@main.command()
@click.option("--core", default=3, show_default=True, help="Machines with a disk.")
@click.option("--side", default=4, show_default=True, help="Sidecars, each with a stand-in server beside it.")
@click.option("--folder", metavar="DIR", help="For settings, data and logs; else a new one.")
@click.option(
    "--net", default="127.0.1", show_default=True, help="The first three numbers of their addresses."
)
@click.option(
    "--fault",
    "faults",
    multiple=True,
    metavar="NAME=SHARE",
    help="Servers misbehave so at that share of requests.",
)
def up(core: int, side: int, folder: str | None, net: str, faults: tuple[str, ...]) -> None:
    """Run the whole mesh on loopback addresses, in the foreground, until ^C or SIGTERM."""
    import uvloop

    from foxspread.mesh.local_cluster.layout import LayoutError, create_layout
    from foxspread.mesh.emulators.server import shares

    try:
        layout, found = (
            create_layout(folder or tempfile.mkdtemp(prefix="mesh-"), core, side, net),
            shares(faults),
        )
        uvloop.run(kept_up(layout, found))
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    except LayoutError as error:
        raise click.ClickException(str(error)) from None


async def kept_up(layout: "Layout", faults: dict[str, float]) -> None:
    """Until a signal; a second one ends it at once."""
    from foxspread.mesh.local_cluster.supervisor import Supervisor

    stop, loop = asyncio.Event(), asyncio.get_running_loop()
    supervisor = Supervisor(layout, click.echo, faults)

    def ended() -> None:
        if stop.is_set():
            supervisor.kill()
        else:
            click.echo("ending; once more kills")
            stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ended)
    await supervisor.run(stop, lambda: click.echo(where(layout)))


def where(layout: "Layout") -> str:
    """What is where, as a table."""
    from foxspread.mesh.local_cluster.layout import SIDE
    from foxspread.mesh.settings import format_address

    rows = [("NODE", "ZONE", "CONTROL", "OUTBOUND", "SERVER")]
    for each in layout.machines:
        side = each.kind == SIDE
        control, outbound = (
            format_address(each.place("control")),
            format_address(each.place("outbound")) if side else "-",
        )
        rows.append((each.node, each.zone, control, outbound, each.service if side else "-"))
    widths = [max(len(row[n]) for row in rows) for n in range(5)]
    lines = ["  ".join(text.ljust(width) for text, width in zip(row, widths)).rstrip() for row in rows]
    lines += [
        f"up, process {os.getpid()}; settings, data and logs: {layout.folder}",
        f"try it: python -m foxspread.mesh try {layout.folder}",
        "end it: ^C",
    ]
    return "\n".join(lines)


@main.command("try")
@click.argument("folder", metavar="DIR")
@click.option("--requests", default=2000, show_default=True, type=click.IntRange(50, 100_000))
def try_(folder: str, requests: int) -> None:
    """Send requests through the mesh that `up` runs in DIR, change its configuration, kill two processes.

    Exit code 1 where something was wrong: an unsafe request that ran twice, a mixed up answer, cores that
    do not read back the same, under nine of ten served.
    """
    import uvloop

    from foxspread.mesh.local_cluster.layout import LayoutError

    try:
        figures = uvloop.run(tried(folder, requests))
    except LayoutError as error:
        raise click.ClickException(str(error)) from None
    click.echo("\n".join(figures.lines()))
    sys.exit(0 if figures.good else 1)


async def tried(folder: str, requests: int) -> "Figures":
    from foxspread.mesh.local_cluster.layout import read
    from foxspread.mesh.local_cluster.smoke_test import SmokeTest

    return await SmokeTest(read(folder), click.echo).run(requests)


def _seeds(context: click.Context, option: click.Option, text: str) -> range:
    try:
        first, _, last = text.partition("-")
        return range(int(first), int(last or first) + 1)
    except ValueError as error:
        raise click.BadParameter(f"{text}: wants A-B") from error


@main.command()
@click.option("--seeds", default="1-1000", show_default=True, callback=_seeds, metavar="A-B")
@click.option("--machines", default=3, show_default=True, type=click.IntRange(3, 21), help="With a disk.")
@click.option(
    "--day",
    default="short",
    show_default=True,
    type=click.Choice(["short", "long", "members"]),
    help="Of 9 s; of a minute, with cuts of 20 s, streams of changes, late copies; with members that change.",
)
@click.option(
    "--bears", default=0, type=click.IntRange(0, 10), help="Lost at once; 0: what a majority bears."
)
@click.option("--faults", default="", metavar="A,B,...", help="Only these; 'none' for none.")
@click.option("--trace", type=int, metavar="SEED", help="One seed, told; the fewest events where it breaks.")
@click.option("--broken", default="", help="Plays a broken core of simulation/broken.py.")
@click.option("--jobs", type=click.IntRange(1, 256), help="Processes; as many as there are processors.")
def sim(
    seeds: range,
    machines: int,
    day: str,
    bears: int,
    faults: str,
    trace: int | None,
    broken: str,
    jobs: int | None,
) -> None:
    """Plays a fleet that agrees in virtual time, one run a seed. Exit code 1 where a rule is broken."""
    from dataclasses import replace

    from foxspread.mesh.simulation.mutants import CORES
    from foxspread.mesh.simulation.schedule import days
    from foxspread.mesh.simulation.campaign import several, traced

    plan = days(machines, bears)[day]
    kinds = plan.faults if not faults else tuple(each for each in faults.split(",") if each != "none")
    if unknown := [each for each in kinds if each not in plan.faults]:
        raise click.BadParameter(f"{', '.join(unknown)}: of {', '.join(plan.faults)}", param_hint="--faults")
    if broken and broken not in CORES:
        raise click.BadParameter(f"{broken}: one of {', '.join(CORES)}", param_hint="--broken")
    plan = replace(plan, faults=kinds)
    if trace is not None:
        return click.echo("\n".join(traced(plan, trace, broken)))
    summary = several(plan, seeds, jobs, broken)
    click.echo("\n".join(summary.lines()))
    sys.exit(1 if summary.broken else 0)


def _sizes(context: click.Context, option: click.Option, text: str) -> list[int]:
    try:
        sizes = [int(each) for each in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"{text}: wants A,B,...") from error
    if not all(1 <= each <= HOLLOW_MOST for each in sizes):
        raise click.BadParameter(f"{text}: from 1 to {HOLLOW_MOST}")
    return sizes


@main.command()
@click.option("--sizes", default="50,100,200,400", show_default=True, callback=_sizes, metavar="A,B,...")
@click.option("--keepers", default=3, show_default=True, type=click.IntRange(1, 22), help="Real processes.")
@click.option("--services", default=50, show_default=True, type=click.IntRange(1, 1500))
@click.option("--routes", default=100, show_default=True, type=click.IntRange(1, 5000))
@click.option("--a-process", default=200, show_default=True, type=click.IntRange(1, 800), help="Sidecars.")
@click.option(
    "--seconds", default=10.0, show_default=True, type=click.FloatRange(2.0, 300.0), help="A phase."
)
@click.option("--changes", default=2.0, show_default=True, type=click.FloatRange(0.1, 50.0), help="A second.")
@click.option("--news", default=4.0, show_default=True, type=click.FloatRange(0.1, 200.0), help="A second.")
@click.option(
    "--restarts", default=1.0, show_default=True, type=click.FloatRange(0.1, 20.0), help="A second."
)
@click.option("--apart-s", default=0.02, show_default=True, help="Between two first starts in one process.")
@click.option("--net", default="127.77", show_default=True, help="The first two numbers of all addresses.")
@click.option("--target", default=15_000, show_default=True, help="Sidecars, to which slopes are carried.")
@click.option("--minutes", default=10.0, show_default=True, help="After these no further size begins.")
@click.option("--out", default="hollow.json", show_default=True, help="For the figures.")
@click.option("--folder", metavar="DIR", help="For settings, data and logs; else a new one.")
def hollow(
    sizes: list[int], target: int, minutes: float, out: str, folder: str | None, seconds: float, **told: Any
) -> None:
    """Hollow sidecars beside real keepers: what each role spends by size.

    Exit code 1 where a size failed or a change did not arrive everywhere.
    """
    import pathlib

    import uvloop

    from foxspread.mesh.hollow.experiment import Shape, Size, lines, several

    shape = Shape(phase_s=seconds, **told)
    place = pathlib.Path(folder or tempfile.mkdtemp(prefix="mesh-hollow-")).absolute()

    async def run() -> list[Size]:
        """A signal ends it, and its processes with it."""
        running = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, running.cancel)
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, running.cancel)
        return await several(shape, sizes, place, pathlib.Path(out), 60 * minutes, click.echo)

    try:
        found = uvloop.run(run())
    except asyncio.CancelledError:
        raise click.ClickException("ended by a signal") from None
    click.echo("\n".join(lines(found, target)))
    sys.exit(0 if len(found) == len(sizes) and not any(each.faults for each in found) else 1)


@main.command()
@click.option("--sidecars", default=15_000, show_default=True, type=click.IntRange(1, 100_000))
@click.option("--services", default=1500, show_default=True, type=click.IntRange(1, 10_000))
@click.option("--routes", default=3400, show_default=True, type=click.IntRange(1, 50_000))
@click.option("--zones", default=13, show_default=True, type=click.IntRange(1, 100))
@click.option("--keepers", default=22, show_default=True, type=click.IntRange(1, 100))
def weigh(**told: int) -> None:
    """What one process holds and sends at a size that is not run: bytes, milliseconds, memory."""
    from foxspread.mesh.hollow.sizing import weighed

    click.echo("\n".join(each.line() for each in weighed(**told)))


if __name__ == "__main__":
    main()
