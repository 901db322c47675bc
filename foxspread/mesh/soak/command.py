"""What `foxspread mesh soak` does: plays plans one after another, keeps them and their reports."""

import asyncio
import os
import pathlib
import shutil
import signal
from collections.abc import Callable, Iterable, Sequence

import orjson

from foxspread.mesh.local_cluster.supervisor import NODE_COMMAND
from foxspread.mesh.soak.plan import SoakPlan, plan_from_json
from foxspread.mesh.soak.report import SoakReport, make_report
from foxspread.mesh.soak.run import Soak
from foxspread.mesh.soak.shrink import shrink

MAX_SHRINK_RUNS = 20
PLAN_FILE, REPORT_FILE = "plan.json", "report.json"
NETS = 240  # loopback networks among which that of a process is taken, so that soaks may run side by side


def read_plan(path: pathlib.Path) -> SoakPlan:
    """Returns the plan in a file; raises OSError, or ValueError if it can't be read."""
    return plan_from_json(orjson.loads(path.read_bytes()))


def own_net() -> str:
    """Returns the first three numbers of loopback addresses that hardly any other process uses."""
    return f"127.{10 + os.getpid() // NETS % NETS}.{1 + os.getpid() % NETS}"


async def play(
    plan: SoakPlan,
    folder: pathlib.Path,
    echo: Callable[[str], None],
    node_command: Sequence[str] = NODE_COMMAND,
) -> SoakReport:
    """Plays one plan in an empty folder below `folder`; SIGTERM and SIGINT end it and all its processes."""
    place = folder / f"seed-{plan.seed}"
    shutil.rmtree(place, ignore_errors=True)
    place.mkdir(parents=True)
    (place / PLAN_FILE).write_bytes(orjson.dumps(plan.to_json(), option=orjson.OPT_INDENT_2))
    cancel_on_signal(asyncio.current_task())
    report = make_report(plan, await Soak(plan, place, own_net(), echo, node_command).run())
    (place / REPORT_FILE).write_bytes(orjson.dumps(report.to_json(), option=orjson.OPT_INDENT_2))
    return report


def cancel_on_signal(task: asyncio.Task) -> None:
    """Has the first SIGTERM or SIGINT cancel the task.

    Further ones must not interrupt it while it ends its processes.
    """

    def cancel_once() -> None:
        if not task.cancelling():
            task.cancel()

    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, cancel_once)


def shrink_failing(
    plan: SoakPlan,
    folder: pathlib.Path,
    echo: Callable[[str], None],
    run: Callable,
    node_command: Sequence[str] = NODE_COMMAND,
) -> SoakPlan:
    """Plays a failing plan with ever fewer disruptions; keeps the shortest one that fails in `folder`."""

    def fails(shorter: SoakPlan) -> bool:
        report = run(play(shorter, folder / "shrink", lambda line: None, node_command))
        echo(f"  {len(shorter.disruptions)} disruptions: {'passed' if report.passed else 'fails'}")
        return not report.passed

    shortest = shrink(plan, fails, MAX_SHRINK_RUNS)
    path = folder / f"seed-{plan.seed}-shortest.json"
    path.write_bytes(orjson.dumps(shortest.to_json(), option=orjson.OPT_INDENT_2))
    echo(f"  fails with {len(shortest.disruptions)} of {len(plan.disruptions)} disruptions: {path}")
    return shortest


def play_all(
    plans: Iterable[SoakPlan],
    folder: pathlib.Path,
    echo: Callable[[str], None],
    run: Callable,
    node_command: Sequence[str] = NODE_COMMAND,
    shrinks: bool = False,
) -> bool:
    """Plays all plans, each by a call of `run` (as `uvloop.run`); returns whether no rule was broken.

    With `shrinks`, each plan that fails is played again with fewer disruptions.
    """
    failed = 0
    for count, plan in enumerate(plans, 1):
        report = run(play(plan, folder, echo, node_command))
        for line in report.lines():
            echo(line)
        failed += not report.passed
        echo(f"{count} played, {failed} with a rule broken")
        if shrinks and not report.passed:
            shrink_failing(plan, folder, echo, run, node_command)
    return not failed
