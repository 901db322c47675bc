"""`foxspread coordinator ...`: runs a coordinator, and queries and changes a running group of them."""

import asyncio
import json
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

import click

from foxspread.config import Address, ConfigError, address
from foxspread.consensus.client import Client, Reply
from foxspread.consensus.errors import NoAnswerError

FILE = click.Path(dir_okay=False)


def parse_addresses(_: Any, parameter: click.Parameter | None, text: str) -> list[Address]:
    """Parses the value of `--at`, as a callback of click."""
    try:
        return [address(each.strip(), "--at") for each in text.split(",") if each.strip()]
    except ConfigError as error:
        raise click.BadParameter(str(error)) from None


AT = click.option(
    "--at",
    "addresses",
    required=True,
    envvar="FOXSPREAD_COORDINATORS",
    callback=parse_addresses,
    metavar="HOST:PORT,...",
    help="Addresses of the coordinators; by default from the variable FOXSPREAD_COORDINATORS.",
)
WITHIN = click.option(
    "--within",
    "timeout",
    default=8.0,
    show_default=True,
    type=click.FloatRange(0.1, 600),
    metavar="SECONDS",
    help="Time limit for retries; after that the command fails.",
)
JSON = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")


def call_coordinators(
    addresses: list[Address], timeout: float, ask: Callable[[Client], Coroutine[Any, Any, Any]]
) -> Any:
    """Returns the result of `ask`. Ends the command with exit code 1 if no coordinator answers in time."""
    try:
        return asyncio.run(ask(Client(addresses, timeout)))
    except NoAnswerError as error:
        raise click.ClickException(str(error)) from None


def print_reply(reply: Reply, as_json: bool, text: str) -> None:
    """Prints the reply. Ends the command with exit code 1 if the request was refused."""
    if as_json:
        click.echo(json.dumps(reply.value))
    elif reply.code == 200:
        click.echo(text)
    if reply.code != 200:
        if not as_json:
            click.echo(f"Error: {describe_refusal(reply.value)}", err=True)
        sys.exit(1)


def describe_refusal(value: dict[str, Any]) -> str:
    """Returns the error message for a refused request."""
    if value.get("status") == "conflict":
        latest = value.get("latest")
        latest_text = "there is no version yet"
        if latest:
            latest_text = (
                f"version {latest['number']} by {latest['who'] or '?'} is there: {latest['why'] or '-'}"
            )
        return f"not written: version {value['expected']} was expected, and {latest_text}"
    return str(value.get("why", value))


@click.group()
def coordinator() -> None:
    """Run and manage coordinators: a small Raft group that stores the versions of the fleet rules.

    \b
    foxspread coordinator run deploy/coordinator.toml
    foxspread coordinator status --at 127.0.0.1:8601,127.0.0.1:8602,127.0.0.1:8603
    """


@coordinator.command()
@click.argument("file", type=FILE)
def run(file: str) -> None:
    """Run one coordinator in the foreground, with the configuration in FILE.

    Its port has no authentication: run it on a trusted network.
    """
    sys.exit(serve(file))


def serve(file: str, process: Callable[..., Any] | None = None) -> int:
    """Runs a coordinator until SIGTERM or SIGINT and returns its exit code: 2 if the configuration file is
    invalid, 1 if the address or the data folder can't be used. `process` replaces the class of the process
    (the lab runs deliberately broken ones)."""
    import uvloop
    from loguru import logger

    from foxspread.consensus import configuration
    from foxspread.consensus.errors import StorageError
    from foxspread.fleet_rules.coordinator_process import LeaseManagerProcess, check_version, with_lease_terms
    from foxspread.net import log

    async def main() -> None:
        loop, stop = asyncio.get_running_loop(), asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stop.set)
        loop.set_exception_handler(
            lambda loop, context: logger.opt(exception=context.get("exception")).error(
                "{}", context.get("message")
            )
        )
        await (process or LeaseManagerProcess)(loop, settings, check_version).run(stop)

    try:
        settings = with_lease_terms(configuration.read(file), file)
    except ConfigError as error:
        click.echo(f"foxspread: {error}", err=True)
        return 2
    sink = log.start()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(main())
    except (StorageError, OSError) as error:
        click.echo(f"foxspread: {error}", err=True)
        return 1
    finally:
        sink.close()
    return 0


@coordinator.command()
@AT
@JSON
def status(addresses: list[Address], as_json: bool) -> None:
    """Show the state of each coordinator. Exit code 1 if none of them is the leader."""
    statuses = call_coordinators(addresses, 3.0, lambda client: client.statuses())
    if as_json:
        click.echo(json.dumps({str(each): value for each, value in statuses}))
    else:
        for each, value in statuses:
            if isinstance(value, str):
                click.echo(f"{each}  no answer: {value}")
                continue
            leader = value["leader"] or "-"
            click.echo(
                f"{each}  {value['name']}  {value['role']}  term {value['term']}  leader {leader}  "
                f"version {value['version']}  committed {value['committed']}"
                + (f"  {value['why']}" if value["why"] else "")
            )
    if not any(isinstance(value, dict) and value["role"] == "leader" for _, value in statuses):
        sys.exit(1)


@coordinator.command()
@AT
@JSON
def members(addresses: list[Address], as_json: bool) -> None:
    """List the members of the group, as the leader sees them."""
    statuses = [
        value
        for _, value in call_coordinators(addresses, 3.0, lambda client: client.statuses())
        if isinstance(value, dict)
    ]
    leader_status = next((value for value in statuses if value["role"] == "leader"), None)
    if leader_status is None:
        raise click.ClickException("none of the coordinators is the leader")
    if as_json:
        return click.echo(json.dumps(leader_status["members"]))
    for name, row in leader_status["members"].items():
        click.echo(
            f"{name}  {row['address']}  {'votes' if row['votes'] else 'catches up'}  "
            f"{'up' if row['up'] else 'down'}" + (f"  {row['trouble']}" if row["trouble"] else "")
        )


@coordinator.command()
@click.argument("name")
@click.argument("member_address", metavar="HOST:PORT")
@AT
@WITHIN
@JSON
def add(name: str, member_address: str, addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Add the coordinator NAME at HOST:PORT as a member. It votes once it has caught up."""
    change_membership(name, str(parse_addresses(None, None, member_address)[0]), addresses, timeout, as_json)


@coordinator.command()
@click.argument("name")
@AT
@WITHIN
@JSON
def remove(name: str, addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Remove the member NAME. Before it is added again, delete the contents of its data folder."""
    change_membership(name, None, addresses, timeout, as_json)


def change_membership(
    name: str, member_address: str | None, addresses: list[Address], timeout: float, as_json: bool
) -> None:
    """Adds a member, or removes it where there is no address, and prints the reply."""
    reply = call_coordinators(
        addresses, timeout, lambda client: client.change_membership(name, member_address)
    )
    print_reply(reply, as_json, f"{name} is {'a member' if member_address else 'removed'}")


@coordinator.command("hand-over")
@click.argument("name")
@AT
@WITHIN
@JSON
def transfer_leadership(name: str, addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Ask the leader to transfer its leadership to the member NAME, as before maintenance of its host."""
    print_reply(
        call_coordinators(addresses, timeout, lambda client: client.transfer_leadership(name)),
        as_json,
        f"{name} is asked to lead",
    )
