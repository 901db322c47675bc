"""`foxspread lab ...`: runs scenarios and experiments and writes reports."""

import json
import pathlib
import shlex
import sys
from collections.abc import Callable, Sequence
from typing import Any

import click
import msgspec

from foxspread.lab import ledger
from foxspread.lab import scenario as scenario_files
from foxspread.lab.experiments import mutants, policies, report
from foxspread.lab.experiments import runs as experiments
from foxspread.lab.experiments.runs import ExperimentError, RunSummary
from foxspread.lab.judge import rules
from foxspread.lab.scenario import Scenario, ScenarioError, SocketsError

FILE = click.Path(exists=True, dir_okay=False)


def parse_value(text: str) -> Any:
    """Parses a value from the command line: JSON such as a number, true or a list; anything else is text."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def parse_changes(assignments: Sequence[str]) -> dict[str, Any]:
    """Parses the values of `--set`. Returns the new values by path of the field."""
    changes = {}
    for each in assignments:
        key, equals, value = each.partition("=")
        if not (key and equals):
            raise click.BadParameter(f"{each!r} must be KEY=VALUE, as clients.rate=200", param_hint="--set")
        changes[key] = parse_value(value)
    return changes


def load_scenario(path: str, assignments: Sequence[str] = ()) -> Scenario:
    """Returns the scenario in a file, with the values of `--set` in place of its own. Raises
    `click.UsageError` if it is invalid."""
    try:
        return scenario_files.load(path, parse_changes(assignments))
    except ScenarioError as error:
        raise click.UsageError(f"{path}: {error}") from None


def seed_list(count: int, first: int) -> list[int]:
    return list(range(first, first + count))


class ProgressBar:
    """Shows the progress of long runs on standard error if that is a terminal."""

    def __init__(self, title: str) -> None:
        self.title, self.bar, self.task = title, None, None

    def __enter__(self) -> Callable[[int, int, str], None]:
        if sys.stderr.isatty():
            from rich.console import Console
            from rich.progress import Progress

            self.bar = Progress(console=Console(stderr=True), transient=True)
            self.bar.start()
            self.task = self.bar.add_task(self.title, total=None)
        return self.step

    def step(self, done: int, total: int, text: str) -> None:
        if self.bar is not None:
            self.bar.update(self.task, completed=done, total=total, description=f"{self.title}: {text}")

    def __exit__(self, *_: Any) -> None:
        if self.bar is not None:
            self.bar.stop()


def show_table(rows: Sequence[Sequence[str]], title: str) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table(title=title)
    for at, name in enumerate(rows[0]):
        table.add_column(name, justify="left" if at == 0 else "right")
    for row in rows[1:]:
        table.add_row(*row)
    Console().print(table)


def show_results(title: str, runs_by_policy: dict[str, list[RunSummary]], as_json: bool) -> None:
    """Prints the runs as JSON, or as a table followed by the violations and the better policies."""
    if as_json:
        click.echo(msgspec.json.encode(runs_by_policy))
        return
    show_table(
        report.comparison_table(runs_by_policy, intervals=len(runs_by_policy) < 4), title
    )  # wider tables don't fit a terminal
    for name, played in runs_by_policy.items():
        for each in played:
            for violation in each.violations:
                click.echo(
                    f"{name}, seed {each.seed}: {violation.rule} at {violation.at:.3f} s, "
                    f"{violation.lookup or 'no request'}: {violation.text}"
                )
                if violation.story:
                    click.echo(violation.story)
    for name, better in report.better_policies(runs_by_policy):
        click.echo(
            f"{name} is significantly better: {better.key} {better.theirs:.3f} against {better.ours:.3f}"
        )


def command_line() -> str:
    """Returns the command line of this process, for reports."""
    return shlex.join(["foxspread", *sys.argv[1:]])


def exit_if_violated(runs_by_policy: dict[str, list[RunSummary]], ours: str) -> None:
    """Ends the command with exit code 1 if a run of the policy `ours` violated an invariant."""
    if any(each.broken for each in runs_by_policy.get(ours, ())):
        sys.exit(1)


def report_errors(call: Callable[[], Any]) -> Any:
    """Returns the result of `call`; prints expected errors as one line, without a traceback."""
    try:
        return call()
    except (ExperimentError, ScenarioError, SocketsError, ledger.LedgerError) as error:
        raise click.ClickException(str(error)) from None


SEEDS = click.option(
    "--seeds", default=1, show_default=True, type=click.IntRange(1, 1000), help="Number of seeds."
)
FIRST = click.option("--first", default=1, show_default=True, help="The first seed.")
JOBS = click.option(
    "--jobs",
    default=0,
    help="Number of worker processes; 0: one less than there are cores, or 1 for runs on sockets.",
)
SET = click.option(
    "--set",
    "changes",
    multiple=True,
    metavar="KEY=VALUE",
    help="Override a field of the scenario; may be repeated.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print all results as JSON.")
POLICY = click.option(
    "--policy",
    default="foxspread",
    show_default=True,
    type=click.Choice(policies.POLICIES),
    help="Load balancing policy: ours or a baseline.",
)
REPORT = click.option(
    "--report",
    "folder",
    type=click.Path(file_okay=False),
    help="Folder to write the reports NAME.md and NAME.html to.",
)


@click.group()
def lab() -> None:
    """Test sidecars in scenarios with simulated servers, clients and faults, in virtual time or on sockets.

    \b
    foxspread lab run scenarios/payday.toml --seeds 10 --report found
    foxspread lab run scenarios/calm.toml --set clients.rate=200
    foxspread lab compare scenarios/slow_third.toml --against random,two_choices --seeds 20
    foxspread lab compare scenarios/slow_third.toml --against HEAD~5
    foxspread lab sweep scenarios/calm.toml clients.rate 50 100 200 400
    foxspread lab search scenarios/payday.toml --seeds 5 --timings 10
    foxspread lab mutants
    """


@lab.command()
@click.argument("path", type=FILE)
@SEEDS
@FIRST
@POLICY
@click.option(
    "--engine",
    default="virtual",
    show_default=True,
    type=click.Choice(["virtual", "sockets"]),
    help="Simulate in virtual time, or run real sidecars on sockets.",
)
@JOBS
@SET
@REPORT
@click.option(
    "--ledgers",
    type=click.Path(file_okay=False, exists=True),
    help="Folder to keep the event records of the runs in, as JSON lines.",
)
@JSON
def run(
    path: str,
    seeds: int,
    first: int,
    policy: str,
    engine: str,
    jobs: int,
    changes: tuple[str, ...],
    folder: str | None,
    ledgers: str | None,
    as_json: bool,
) -> None:
    """Run one scenario. Exit code 1 if an invariant was violated."""
    scenario = load_scenario(path, changes)
    with ProgressBar(scenario.name) as progress:
        played = report_errors(
            lambda: experiments.run(
                scenario, seed_list(seeds, first), policy, engine, jobs, progress, ledgers
            )
        )
    runs_by_policy = {policy: played}
    if folder:
        report.write_report(
            folder, scenario.name, scenario.name, scenario.about, runs_by_policy, command_line()
        )
    show_results(f"{scenario.name}, {engine}", runs_by_policy, as_json)
    exit_if_violated(runs_by_policy, policy)


@lab.command()
@click.argument("path", type=FILE)
@click.option(
    "--against",
    default="random,round_robin,least_in_flight,two_choices",
    show_default=True,
    help="Baseline policies or git revisions of this repository, separated by commas.",
)
@SEEDS
@FIRST
@POLICY
@JOBS
@SET
@REPORT
@JSON
def compare(
    path: str,
    against: str,
    seeds: int,
    first: int,
    policy: str,
    jobs: int,
    changes: tuple[str, ...],
    folder: str | None,
    as_json: bool,
) -> None:
    """Compare a policy with baseline policies or earlier revisions on the same seeds."""
    scenario = load_scenario(path, changes)
    names = [name for name in against.split(",") if name]
    with ProgressBar(scenario.name) as progress:
        runs_by_policy = report_errors(
            lambda: experiments.compare(scenario, seed_list(seeds, first), names, policy, jobs, progress)
        )
    if folder:
        report.write_report(
            folder, scenario.name, scenario.name, scenario.about, runs_by_policy, command_line()
        )
    show_results(scenario.name, runs_by_policy, as_json)
    exit_if_violated(runs_by_policy, policy)


@lab.command()
@click.argument("path", type=FILE)
@click.argument("field")
@click.argument("values", nargs=-1, required=True)
@SEEDS
@FIRST
@POLICY
@JOBS
@SET
@REPORT
@JSON
def sweep(
    path: str,
    field: str,
    values: tuple[str, ...],
    seeds: int,
    first: int,
    policy: str,
    jobs: int,
    changes: tuple[str, ...],
    folder: str | None,
    as_json: bool,
) -> None:
    """Run the same seeds for each value of FIELD, a path such as clients.rate or groups.0.count."""
    scenario = load_scenario(path, changes)
    with ProgressBar(scenario.name) as progress:
        runs_by_policy = report_errors(
            lambda: experiments.sweep(
                scenario,
                field,
                [parse_value(each) for each in values],
                seed_list(seeds, first),
                policy,
                jobs,
                progress,
            )
        )
    if folder:
        report.write_report(
            folder,
            f"{scenario.name}-{field}",
            f"{scenario.name} by {field}",
            scenario.about,
            runs_by_policy,
            command_line(),
        )
    show_results(f"{scenario.name} by {field}", runs_by_policy, as_json)
    if any(each.broken for played in runs_by_policy.values() for each in played):
        sys.exit(1)


@lab.command()
@click.argument("path", type=FILE)
@SEEDS
@FIRST
@click.option(
    "--timings",
    default=8,
    show_default=True,
    type=click.IntRange(1, 1000),
    help="Number of variants of the fault times to try.",
)
@POLICY
@JOBS
@SET
@click.option(
    "--save", type=click.Path(dir_okay=False), help="File to write the smallest scenario that still fails to."
)
@JSON
def search(
    path: str,
    seeds: int,
    first: int,
    timings: int,
    policy: str,
    jobs: int,
    changes: tuple[str, ...],
    save: str | None,
    as_json: bool,
) -> None:
    """Search for the seed and fault times with the greatest loss, and remove the unneeded faults."""
    scenario = load_scenario(path, changes)
    with ProgressBar(scenario.name) as progress:
        worst = report_errors(
            lambda: experiments.search(scenario, seed_list(seeds, first), timings, policy, jobs, progress)
        )
    if save:
        import tomli_w

        plain = json.loads(scenario_files.encoded(worst.scenario))
        pathlib.Path(save).write_text(tomli_w.dumps(plain), encoding="utf-8")
    if as_json:
        click.echo(msgspec.json.encode(worst))
    else:
        click.echo(
            f"seed {worst.seed} loses {worst.loss:.3f}"
            + (f" and violates {worst.rule}" if worst.rule else "")
            + f"; {worst.tried} runs; {len(worst.scenario.faults)} of {worst.before} faults are needed:"
        )
        for fault in worst.scenario.faults:
            who = ", ".join(fault.servers) or fault.zone or (f"{fault.part:.0%}" if fault.part else "")
            click.echo(f"  {fault.at:8.3f} s  {fault.what} for {fault.lasts:g} s  {who}")
    if worst.rule:
        sys.exit(1)


@lab.command()
@click.argument("rows", type=FILE)
@click.argument("path", type=FILE)
@SET
@JSON
def check(rows: str, path: str, changes: tuple[str, ...], as_json: bool) -> None:
    """Check the invariants on the event records in ROWS, kept by `run --ledgers`; PATH is their scenario."""
    scenario = load_scenario(path, changes)
    with open(rows, "rb") as file:
        records = report_errors(lambda: ledger.read(file))
    violations = rules.check(records, scenario)
    if as_json:
        click.echo(msgspec.json.encode(violations))
    else:
        for each in violations:
            click.echo(f"{each.rule} at {each.at:.3f} s, {each.lookup or 'no request'}: {each.text}")
            click.echo(rules.request_timeline(records, each))
        click.echo(f"{len(violations)} violations in {len(records)} rows")
    sys.exit(1 if violations else 0)


@lab.command()
@click.argument("path", type=FILE)
@SEEDS
@FIRST
@SET
@JSON
def agree(path: str, seeds: int, first: int, changes: tuple[str, ...], as_json: bool) -> None:
    """Run the same seeds in virtual time and on sockets. Exit code 1 if the shares done in time differ by
    more than 0.03 or an invariant was violated."""
    scenario = load_scenario(path, changes)
    with ProgressBar(scenario.name) as progress:
        agreement = report_errors(
            lambda: experiments.compare_engines(scenario, seed_list(seeds, first), progress)
        )
    if as_json:
        click.echo(msgspec.json.encode(agreement))
    else:
        rows = [
            ["", "virtual", "sockets"],
            ["done_share", f"{agreement.virtual:.4f}", f"{agreement.sockets:.4f}"],
        ]
        rows += [
            [key, f"{virtual:.4f}", f"{sockets:.4f}"] for key, (virtual, sockets) in agreement.differs.items()
        ]
        show_table(
            rows,
            f"{scenario.name}: {'agree' if agreement.agree else 'differ'}, {agreement.broken} violations",
        )
        for note in agreement.notes:
            click.echo(note)
    sys.exit(0 if agreement.agree and not agreement.broken else 1)


@lab.command(name="mutants")
@click.option(
    "--engine",
    default="virtual",
    show_default=True,
    type=click.Choice(["virtual", "sockets"]),
    help="Simulate in virtual time, or run real sidecars on sockets.",
)
@click.option(
    "--trap", "path", default="scenarios/trap.toml", show_default=True, type=FILE, help="The scenario to run."
)
@click.option("--seed", default=1, show_default=True, help="Seed of the runs.")
@JSON
def mutants_command(engine: str, path: str, seed: int, as_json: bool) -> None:
    """Test the invariant checker: it must detect each deliberately broken sidecar by its own invariant, and
    find no violation by a correct one."""
    scenario, rows, fine = load_scenario(path), [["sidecar", "rule", "violations", "first"]], True
    for name in ("foxspread", *mutants.MUTANTS):
        policy = name if name == "foxspread" else f"mutant:{name}"
        played = report_errors(lambda policy=policy: experiments.play(scenario, seed, policy, engine))
        rule = mutants.MUTANTS[name].rule if name in mutants.MUTANTS else ""
        as_expected = all(each.rule == rule for each in played.violations) and bool(played.broken) == bool(
            rule
        )
        fine = fine and as_expected
        rows.append(
            [
                name,
                rule or "none",
                str(played.broken) + ("" if as_expected else " (wrong)"),
                played.violations[0].text if played.violations else "",
            ]
        )
    if as_json:
        click.echo(json.dumps({"fine": fine, "rows": rows[1:]}))
    else:
        show_table(rows, f"deliberately broken sidecars, {engine}")
    sys.exit(0 if fine else 1)
