"""The commands of the mesh: `python -m foxspread.mesh ...` and `foxspread mesh ...`.

This module only declares and checks options; the work is done by functions that a test can call. Each
command imports what it needs when it runs, so that listing the commands loads nothing of the mesh.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
from typing import TYPE_CHECKING, Any

import click

from foxspread.mesh.options import parse_seeds
from foxspread.mesh.soak.cli import soak

if TYPE_CHECKING:
    from foxspread.mesh.hollow.experiment import Scenario, SizeFigures

MAX_HOLLOW_SIDECARS = 3000  # more do not fit on one machine
ALIASES = {"try": "smoke-test", "sim": "simulate", "weigh": "sizing"}  # former name: present name


class MeshCommands(click.Group):
    """Group of commands that also accepts their former names."""

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """Returns the command with this present or former name; overrides `click.Group`."""
        return super().get_command(context, ALIASES.get(name, name))

    def resolve_command(
        self, context: click.Context, arguments: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """Returns the command under its present name, which usage lines show; overrides `click.Group`."""
        _, command, rest = super().resolve_command(context, arguments)
        return command.name if command else None, command, rest


@click.group(cls=MeshCommands, context_settings={"help_option_names": ["-h", "--help"]})
def mesh() -> None:
    """Run the service mesh, test it and measure it.

    \b
    foxspread mesh node              runs one process with its settings file
    foxspread mesh up --folder DIR   runs a whole mesh on this machine
    foxspread mesh smoke-test DIR    tests that mesh and prints figures
    foxspread mesh soak              runs real processes under load and disruptions, and judges them
    foxspread mesh simulate          simulates replicas in virtual time, with faults
    foxspread mesh hollow            measures the cost of each role by the number of sidecars
    foxspread mesh sizing            estimates what one process holds and sends in a larger mesh
    """


mesh.add_command(soak)


@mesh.command()
@click.option("--settings", "path", help="Settings file; by default the one that FOXSPREAD_NODE_FILE names.")
def node(path: str | None) -> None:
    """Run one process, as a sidecar or as a replica according to its settings."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the settings are read
    from foxspread.mesh.serving import serve

    sys.exit(serve(path))


@mesh.command()
@click.option("--core", default=3, show_default=True, help="Number of replicas.")
@click.option(
    "--side", default=4, show_default=True, help="Number of sidecars, each with an emulated server beside it."
)
@click.option("--folder", metavar="DIR", help="Folder for settings, data and logs; by default a new one.")
@click.option("--net", default="127.0.1", show_default=True, help="First three numbers of the addresses.")
@click.option(
    "--fault",
    "faults",
    multiple=True,
    metavar="NAME=SHARE",
    help="Fault that servers show at this share of requests.",
)
def up(core: int, side: int, folder: str | None, net: str, faults: tuple[str, ...]) -> None:
    """Run a whole mesh on loopback addresses, in the foreground, until ^C or SIGTERM."""
    import uvloop

    from foxspread.mesh.emulators.server import parse_fault_shares
    from foxspread.mesh.local_cluster.foreground import run_in_foreground
    from foxspread.mesh.local_cluster.layout import LocalClusterError, create_layout

    try:
        layout = create_layout(folder or tempfile.mkdtemp(prefix="mesh-"), core, side, net)
        uvloop.run(run_in_foreground(layout, parse_fault_shares(faults), click.echo))
    except ValueError as error:
        raise click.UsageError(str(error)) from None
    except LocalClusterError as error:
        raise click.ClickException(str(error)) from None


@mesh.command("smoke-test")
@click.argument("folder", metavar="DIR")
@click.option(
    "--requests",
    default=2000,
    show_default=True,
    type=click.IntRange(50, 100_000),
    help="Number of requests.",
)
def smoke_test(folder: str, requests: int) -> None:
    """Send requests through the mesh that `up` runs in DIR, change its configuration, kill two processes.

    The exit code is 1 if a check fails: a non-idempotent request ran twice, an answer belonged to another
    request, replicas returned different configurations, or fewer than 90 % of the requests were served.
    """
    import uvloop

    from foxspread.mesh.local_cluster.layout import LocalClusterError, read_layout
    from foxspread.mesh.local_cluster.smoke_test import Figures, SmokeTest

    async def run() -> Figures:
        # SmokeTest needs a running loop.
        return await SmokeTest(read_layout(folder), click.echo).run(requests)

    try:
        figures = uvloop.run(run())
    except LocalClusterError as error:
        raise click.ClickException(str(error)) from None
    click.echo("\n".join(figures.lines()))
    sys.exit(0 if figures.passed else 1)


@mesh.command()
@click.option(
    "--seeds",
    default="1-1000",
    show_default=True,
    callback=parse_seeds,
    metavar="A-B",
    help="Range of seeds.",
)
@click.option(
    "--machines", default=3, show_default=True, type=click.IntRange(3, 21), help="Number of replicas."
)
@click.option(
    "--day",
    "schedule",
    default="short",
    show_default=True,
    type=click.Choice(["short", "long", "members"]),
    help="Schedule of a run: short, 9 s; long, a minute with partitions of 20 s, streams of changes and late "
    "copies of changes; members, with changes of the membership.",
)
@click.option(
    "--bears",
    "max_lost",
    default=0,
    type=click.IntRange(0, 10),
    help="Machines lost at once; 0: as many as leave a majority.",
)
@click.option(
    "--faults",
    default="",
    metavar="A,B,...",
    help="Kinds of fault to inject, by default all; 'none' for none.",
)
@click.option(
    "--trace",
    type=int,
    metavar="SEED",
    help="Print the trace of one seed and, if it breaks a rule, the fewest events that break it.",
)
@click.option("--broken", "mutant", default="", help="Mutant of simulation/mutants.py to run.")
@click.option(
    "--jobs", type=click.IntRange(1, 256), help="Number of processes; by default one for each processor."
)
def simulate(
    seeds: range,
    machines: int,
    schedule: str,
    max_lost: int,
    faults: str,
    trace: int | None,
    mutant: str,
    jobs: int | None,
) -> None:
    """Simulate a fleet of replicas in virtual time, one run for each seed.

    The exit code is 1 if a run breaks a rule.
    """
    from dataclasses import replace

    from foxspread.mesh.simulation.campaign import run_campaign, trace_seed
    from foxspread.mesh.simulation.events import EventKind
    from foxspread.mesh.simulation.mutants import MUTANTS
    from foxspread.mesh.simulation.schedule import named_plans

    plan = named_plans(machines, max_lost)[schedule]
    kinds = plan.faults if not faults else tuple(each for each in faults.split(",") if each != "none")
    if unknown := [each for each in kinds if each not in plan.faults]:
        raise click.BadParameter(
            f"unknown fault {', '.join(unknown)}; expected some of {', '.join(plan.faults)}",
            param_hint="--faults",
        )
    if mutant and mutant not in MUTANTS:
        raise click.BadParameter(
            f"unknown mutant {mutant}; expected one of {', '.join(MUTANTS)}", param_hint="--broken"
        )
    plan = replace(plan, faults=tuple(map(EventKind, kinds)))
    if trace is not None:
        return click.echo("\n".join(trace_seed(plan, trace, mutant)))
    summary = run_campaign(plan, seeds, jobs, mutant)
    click.echo("\n".join(summary.lines()))
    sys.exit(1 if summary.violation_counts else 0)


def _parse_sizes(context: click.Context, option: click.Option, text: str) -> list[int]:
    try:
        sizes = [int(each) for each in text.split(",")]
    except ValueError as error:
        raise click.BadParameter(f"{text!r} is not a list of whole numbers A,B,...") from error
    if not all(1 <= each <= MAX_HOLLOW_SIDECARS for each in sizes):
        raise click.BadParameter(f"{text}: each size must be from 1 to {MAX_HOLLOW_SIDECARS}")
    return sizes


@mesh.command()
@click.option(
    "--sizes",
    default="50,100,200,400",
    show_default=True,
    callback=_parse_sizes,
    metavar="A,B,...",
    help="Numbers of sidecars to measure.",
)
@click.option(
    "--keepers", default=3, show_default=True, type=click.IntRange(1, 22), help="Number of real replicas."
)
@click.option(
    "--services", default=50, show_default=True, type=click.IntRange(1, 1500), help="Number of services."
)
@click.option(
    "--routes", default=100, show_default=True, type=click.IntRange(1, 5000), help="Number of routes."
)
@click.option(
    "--a-process",
    default=200,
    show_default=True,
    type=click.IntRange(1, 800),
    help="Number of sidecars in one process.",
)
@click.option(
    "--seconds",
    default=10.0,
    show_default=True,
    type=click.FloatRange(2.0, 300.0),
    help="Duration of a phase.",
)
@click.option(
    "--changes",
    default=2.0,
    show_default=True,
    type=click.FloatRange(0.1, 50.0),
    help="Configuration changes per second.",
)
@click.option(
    "--news",
    default=4.0,
    show_default=True,
    type=click.FloatRange(0.1, 200.0),
    help="Changes of servers' states per second.",
)
@click.option(
    "--restarts",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.1, 20.0),
    help="Restarts of sidecars per second.",
)
@click.option(
    "--apart-s",
    default=0.02,
    show_default=True,
    help="Seconds between the first starts of two sidecars in one process.",
)
@click.option("--net", default="127.77", show_default=True, help="First two numbers of all addresses.")
@click.option(
    "--target",
    default=15_000,
    show_default=True,
    help="Number of sidecars to which the measured slopes are extrapolated.",
)
@click.option(
    "--minutes", default=10.0, show_default=True, help="Minutes after which no further size is started."
)
@click.option("--out", default="hollow.json", show_default=True, help="File for the figures.")
@click.option("--folder", metavar="DIR", help="Folder for settings, data and logs; by default a new one.")
def hollow(
    sizes: list[int],
    target: int,
    minutes: float,
    out: str,
    folder: str | None,
    seconds: float,
    **options: Any,
) -> None:
    """Run hollow sidecars with real replicas and measure the cost of each role by size.

    A hollow sidecar holds the state of a real one but receives no requests; many share one process. The exit
    code is 1 if a size failed or a change did not reach all processes.
    """
    import uvloop

    from foxspread.mesh.hollow.experiment import Scenario, format_results

    directory = pathlib.Path(folder or tempfile.mkdtemp(prefix="mesh-hollow-")).absolute()
    try:
        figures = uvloop.run(
            _measure(Scenario(phase_s=seconds, **options), sizes, directory, pathlib.Path(out), 60 * minutes)
        )
    except asyncio.CancelledError:
        raise click.ClickException("stopped by a signal") from None
    click.echo("\n".join(format_results(figures, target)))
    complete = len(figures) == len(sizes) and not any(each.faults for each in figures)
    sys.exit(0 if complete else 1)


async def _measure(
    scenario: "Scenario", sizes: list[int], folder: pathlib.Path, out: pathlib.Path, seconds: float
) -> list["SizeFigures"]:
    """Measures the sizes; SIGTERM and SIGINT cancel the measurement and end its processes."""
    from foxspread.mesh.hollow.experiment import run_sizes

    loop, running = asyncio.get_running_loop(), asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, running.cancel)
    return await run_sizes(scenario, sizes, folder, out, seconds, click.echo)


@mesh.command()
@click.option(
    "--sidecars",
    default=15_000,
    show_default=True,
    type=click.IntRange(1, 100_000),
    help="Number of sidecars.",
)
@click.option(
    "--services", default=1500, show_default=True, type=click.IntRange(1, 10_000), help="Number of services."
)
@click.option(
    "--routes", default=3400, show_default=True, type=click.IntRange(1, 50_000), help="Number of routes."
)
@click.option("--zones", default=13, show_default=True, type=click.IntRange(1, 100), help="Number of zones.")
@click.option(
    "--keepers", default=22, show_default=True, type=click.IntRange(1, 100), help="Number of replicas."
)
def sizing(**sizes: int) -> None:
    """Estimate what one process holds and sends in a large mesh: bytes, milliseconds, memory.

    The mesh itself is not run.
    """
    from foxspread.mesh.hollow.sizing import estimate_sizes

    click.echo("\n".join(each.line() for each in estimate_sizes(**sizes)))
