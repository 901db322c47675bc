"""`foxspread rules ...`: writes and reads versions of the fleet rules through the coordinators."""

import datetime
import difflib
import getpass
import json
import pathlib
import secrets
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

import click

from foxspread.cli.coordinator import AT, JSON, WITHIN, call_coordinators, print_reply
from foxspread.config import Address, ConfigError
from foxspread.consensus.client import Client, Reply, call
from foxspread.consensus.errors import NoAnswerError
from foxspread.fleet_rules import codec, key_rules
from foxspread.fleet_rules.coordinator_process import check_version
from foxspread.fleet_rules.rollout import LeaseTerms
from foxspread.net.http import BadMessage

FILE = click.Path(exists=True, dir_okay=False)
STATUS_TIMEOUT_SECONDS = 2.0  # for each coordinator; another one may have the same answer
POLL_SECONDS = 0.05  # interval at which `wait` polls the status


@click.group()
def rules() -> None:
    """Manage the fleet rules: versioned settings that all sidecars of a fleet switch to together.

    \b
    export FOXSPREAD_COORDINATORS=127.0.0.1:8601,127.0.0.1:8602,127.0.0.1:8603
    foxspread rules put deploy/rules.toml --why "the first one"
    foxspread rules history
    """


def read_version_file(file: str) -> str:
    """Returns the text of a rules file. Raises `click.UsageError` naming the invalid key and value."""
    text = pathlib.Path(file).read_bytes()
    try:
        check_version(text)
    except ConfigError as error:
        raise click.UsageError(f"{file}: {error}") from None
    return text.decode()


@rules.command()
@click.argument("file", type=FILE)
def check(file: str) -> None:
    """Validate FILE as the coordinators do. Exit code 2 if it is invalid; the message names key and value."""
    click.echo(f"{file}: sound, {len(read_version_file(file).encode())} bytes")


@rules.command()
@click.argument("file", type=FILE)
@click.option(
    "--if-version",
    default=None,
    type=click.IntRange(0),
    metavar="N",
    help="Write only if N is the latest version (0: if there is none yet).",
)
@click.option("--why", default="", metavar="TEXT", help="Reason, stored with the version.")
@click.option(
    "--who",
    default=None,
    metavar="NAME",
    help="Author, stored with the version; by default the name of the current user.",
)
@click.option(
    "--request",
    default=None,
    metavar="ID",
    help="Request ID of an earlier attempt whose outcome is unknown; a retry with it writes only once.",
)
@click.option(
    "--allow-refusals",
    default=0,
    type=click.IntRange(0, 1_000_000),
    metavar="N",
    help="Number of sidecars that may refuse the version; these then use what they may apply on their own.",
)
@click.option(
    "--even-so",
    is_flag=True,
    help="Write it even if it leaves a zone without servers or disables many servers at once.",
)
@AT
@WITHIN
@JSON
def put(
    file: str,
    if_version: int | None,
    why: str,
    who: str | None,
    request: str | None,
    allow_refusals: int,
    even_so: bool,
    addresses: list[Address],
    timeout: float,
    as_json: bool,
) -> None:
    """Write FILE as the next version."""
    expected = -1 if if_version is None else if_version
    options = {"refusals": allow_refusals, "even_so": even_so}
    write(read_version_file(file), expected, why, who, request, addresses, timeout, as_json, options)


def write(
    text: str,
    if_version: int,
    why: str,
    who: str | None,
    request: str | None,
    addresses: list[Address],
    timeout: float,
    as_json: bool,
    options: dict[str, Any],
) -> None:
    """Writes `text` as the next version and prints its number and digest. `if_version` is the required latest
    version, -1 for any. `options` are further arguments of `Client.put`."""
    request = request or secrets.token_hex(8)
    reply = call_or_explain(
        addresses,
        timeout,
        as_json,
        request,
        lambda client: client.put(
            text, if_version, current_user() if who is None else who, why, request, **options
        ),
    )
    version = reply.value.get("version") or {}
    print_reply(reply, as_json, f"version {version.get('number')}  {version.get('digest', '')[:12]}")


def current_user() -> str:
    """Returns the name of the current user, empty if the system doesn't know it."""
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def call_or_explain(
    addresses: list[Address],
    timeout: float,
    as_json: bool,
    request: str,
    call_client: Callable[[Client], Awaitable[Reply]],
) -> Reply:
    """Returns the reply. If no coordinator answers, ends the command with exit code 1 and says whether the
    write may have happened and how to retry it safely. `request` is the request ID, empty for reads."""
    import asyncio

    try:
        return asyncio.run(call_client(Client(addresses, timeout)))
    except NoAnswerError as error:
        unknown = bool(request) and error.maybe_written
        if as_json:
            status = "unknown" if unknown else "unreached"
            click.echo(json.dumps({"status": status, "why": str(error), "request": request}))
            sys.exit(1)
        outcome = "\nnot written" if request else ""
        if unknown:
            outcome = f"\nnot known whether written; try again with --request {request}"
        raise click.ClickException(f"{error}{outcome}") from None


def fetch_version(number: int, addresses: list[Address], timeout: float, as_json: bool) -> Reply:
    """Returns the version `number` (0: the latest). Raises `click.ClickException` if there is none."""
    reply = call_or_explain(addresses, timeout, as_json, "", lambda client: client.get(number))
    if reply.code == 200 and reply.value.get("version") is None:
        raise click.ClickException(f"there is no version {number}" if number else "there is no version yet")
    return reply


@rules.command()
@click.argument("number", default=0, type=click.IntRange(0))
@AT
@WITHIN
@JSON
def get(number: int, addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Print the content of version NUMBER, by default the latest."""
    reply = fetch_version(number, addresses, timeout, as_json)
    print_reply(reply, as_json, (reply.value.get("version") or {}).get("content", "").rstrip("\n"))


@rules.command()
@click.option(
    "--most", default=20, show_default=True, type=click.IntRange(1, 10_000), help="Number of versions."
)
@AT
@WITHIN
@JSON
def history(most: int, addresses: list[Address], timeout: float, as_json: bool) -> None:
    """List the versions, latest first, with number, digest, predecessor, time, author and reason."""
    versions: list[dict[str, Any]] = []
    while len(versions) < most:
        before = versions[-1]["number"] if versions else 0
        if before == 1:
            break
        reply = call_or_explain(addresses, timeout, as_json, "", lambda client: client.history(before))
        page = reply.value["versions"]
        if not page:
            break
        versions += page
    versions = versions[:most]
    if as_json:
        return click.echo(json.dumps(versions))
    for row in versions:
        when = datetime.datetime.fromtimestamp(row["at"]).strftime("%Y-%m-%d %H:%M:%S")
        click.echo(
            f"{row['number']}  {row['digest'][:12]}  follows {row['follows']}  {when}  {row['who'] or '-'}  "
            f"{row['why']}"
        )


@rules.command()
@click.argument("first", type=click.IntRange(1))
@click.argument("second", type=click.IntRange(1))
@AT
@WITHIN
@JSON
def diff(first: int, second: int, addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Show the changes from version FIRST to SECOND. Exit code 0 also if they differ."""
    texts = [
        fetch_version(each, addresses, timeout, as_json).value["version"]["content"].splitlines()
        for each in (first, second)
    ]
    lines = list(difflib.unified_diff(*texts, f"version {first}", f"version {second}", lineterm=""))
    click.echo(
        json.dumps(lines) if as_json else "\n".join(lines) or f"versions {first} and {second} are the same"
    )


@rules.command()
@click.argument("number", type=click.IntRange(1))
@click.option("--why", default="", metavar="TEXT", help="As with `put`.")
@click.option("--who", default=None, metavar="NAME", help="As with `put`.")
@click.option("--even-so", is_flag=True, help="As with `put`.")
@AT
@WITHIN
@JSON
def rollback(
    number: int,
    why: str,
    who: str | None,
    even_so: bool,
    addresses: list[Address],
    timeout: float,
    as_json: bool,
) -> None:
    """Write the content of version NUMBER as a new version. Fails if another version is written meanwhile."""
    text = fetch_version(number, addresses, timeout, as_json).value["version"]["content"]
    latest = fetch_version(0, addresses, timeout, as_json).value["version"]["number"]
    options = {"even_so": even_so}
    write(text, latest, why or f"back to version {number}", who, None, addresses, timeout, as_json, options)


def rollout_status(addresses: list[Address], timeout: float) -> dict[str, Any]:
    """Returns the rollout's status by `GET /course`: the leader's if one answers, else the one with the
    latest phase."""

    async def fetch(client: Client) -> dict[str, Any]:
        rows = []
        for address in client.addresses:
            try:
                reply = await call(address, "GET", "/course", timeout_s=min(STATUS_TIMEOUT_SECONDS, timeout))
                rows.append(reply.value)
            except (OSError, TimeoutError, BadMessage):
                continue
        if not rows:
            raise NoAnswerError("no coordinator answers", False)
        return max(rows, key=lambda row: (row["leads"], row[codec.PHASE]))

    return call_coordinators(addresses, timeout, fetch)


@rules.command()
@AT
@WITHIN
@JSON
def status(addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Show the rollout: the version in force, the announced one, and the state of each sidecar."""
    rollout = rollout_status(addresses, timeout)
    if as_json:
        return click.echo(json.dumps(rollout))
    phase, in_force, announced = (rollout[key] for key in (codec.PHASE, codec.IN_FORCE, codec.ANNOUNCED))
    click.echo(
        f"phase {phase}  in force {in_force or '-'}  announced {announced or '-'}  "
        f"latest {rollout['latest'] or '-'}" + ("" if rollout["leads"] else "  (nobody is known to lead)")
    )
    for number, reason in rollout["withdrawn"].items():
        click.echo(f"withdrawn {number}: {reason}")
    for name, row in sorted(rollout["holders"].items()):
        state = "confirmed" if row[codec.PHASE] >= phase else f"on phase {row[codec.PHASE]}"
        reason = row[codec.REFUSAL_REASON]
        refusal = f"  turned down: {reason}" if reason else ""
        click.echo(f"{name}  {state}  heard {row['heard']:.1f} s ago{refusal}")
    for name in rollout["silent"]:
        click.echo(f"{name}  not heard by the leader")


@rules.command()
@AT
@WITHIN
@JSON
def bound(addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Show for each setting how long two sidecars may act on different values during a rollout."""
    terms = rollout_status(addresses, timeout)["terms"]
    if terms is None:
        raise click.ClickException("the coordinators have not agreed on lease terms yet")
    longest = LeaseTerms(**terms).contradiction_bound()
    rows = {
        path: longest if rule.merge is key_rules.Merge.SWITCH else 0.0
        for path, rule in key_rules.KEY_RULES.items()
    }
    if as_json:
        return click.echo(json.dumps(rows))
    for path, seconds in rows.items():
        click.echo(f"{path}  {seconds:g} s  {key_rules.KEY_RULES[path].merge.value}")


@rules.command()
@click.argument("number", type=click.IntRange(1))
@click.option(
    "--settled",
    is_flag=True,
    help="Wait also until every sidecar has confirmed it and none uses an earlier version.",
)
@AT
@WITHIN
@JSON
def wait(number: int, settled: bool, addresses: list[Address], timeout: float, as_json: bool) -> None:
    """Wait until version NUMBER or a later one is in force. Exit code 1 if it is withdrawn or the time is
    up."""
    end = time.monotonic() + timeout
    while True:
        rollout = rollout_status(addresses, timeout)
        if reason := rollout["withdrawn"].get(str(number)):
            raise click.ClickException(f"version {number} was withdrawn: {reason}")
        if rollout[codec.IN_FORCE] >= number and (not settled or all_holders_confirmed(rollout)):
            text = f"version {rollout[codec.IN_FORCE]} is in force"
            return click.echo(json.dumps(rollout) if as_json else text)
        if time.monotonic() > end:
            raise click.ClickException(
                f"version {number} is not in force after {timeout:g} s; see `foxspread rules status`"
            )
        time.sleep(POLL_SECONDS)


def all_holders_confirmed(rollout: dict[str, Any]) -> bool:
    """Returns true if all lease holders act on the current phase. `rollout` is a reply to GET /course."""
    holders = rollout["holders"].values()
    return not rollout["silent"] and all(row[codec.PHASE] >= rollout[codec.PHASE] for row in holders)
