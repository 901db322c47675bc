"""`foxspread rules ...`: versions of the rules, written and read through the coordinators."""

import datetime
import difflib
import getpass
import json
import pathlib
import secrets
import sys
from typing import Any

import click

from foxspread.agreed import rules as content
from foxspread.cli.coordinator import AT, JSON, WITHIN, printed
from foxspread.config import Address, ConfigError
from foxspread.consensus.client import Client, Reply, Unreached

FILE = click.Path(exists=True, dir_okay=False)


@click.group()
def rules() -> None:
    """Versions of the rules, which sidecars act on together.

    \b
    export FOXSPREAD_COORDINATORS=127.0.0.1:8601,127.0.0.1:8602,127.0.0.1:8603
    foxspread rules put deploy/rules.toml --why "the first one"
    foxspread rules history
    """


def checked(file: str) -> str:
    text = pathlib.Path(file).read_bytes()
    try:
        content.read(text)
    except ConfigError as error:
        raise click.UsageError(f"{file}: {error}") from None
    return text.decode()


@rules.command()
@click.argument("file", type=FILE)
def check(file: str) -> None:
    """Look at FILE as the coordinators would. Exit code 2 names the key and the value at fault."""
    click.echo(f"{file}: sound, {len(checked(file).encode())} bytes")


@rules.command()
@click.argument("file", type=FILE)
@click.option(
    "--if-version",
    default=None,
    type=click.IntRange(0),
    metavar="N",
    help="Only where N is the latest version (0: where there is none).",
)
@click.option("--why", default="", metavar="TEXT", help="Kept with the version.")
@click.option(
    "--who", default=None, metavar="NAME", help="Kept with the version; the user's name by default."
)
@click.option("--request", default=None, metavar="ID", help="Of an earlier try whose outcome is not known.")
@AT
@WITHIN
@JSON
def put(
    file: str,
    if_version: int | None,
    why: str,
    who: str | None,
    request: str | None,
    at: list[Address],
    within: float,
    as_json: bool,
) -> None:
    """Write FILE as the next version."""
    write(checked(file), -1 if if_version is None else if_version, why, who, request, at, within, as_json)


def write(
    text: str,
    if_version: int,
    why: str,
    who: str | None,
    request: str | None,
    at: list[Address],
    within: float,
    as_json: bool,
) -> None:
    request = request or secrets.token_hex(8)
    reply = reached(
        at,
        within,
        as_json,
        request,
        lambda client: client.put(text, if_version, user() if who is None else who, why, request),
    )
    version = reply.value.get("version") or {}
    printed(reply, as_json, f"version {version.get('number')}  {version.get('digest', '')[:12]}")


def user() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return ""


def reached(at: list[Address], within: float, as_json: bool, request: str, ask: Any) -> Reply:
    """Says plainly where it is not known whether something was written, and how to find out."""
    import asyncio

    try:
        return asyncio.run(ask(Client(at, within)))
    except Unreached as error:
        open = bool(request) and error.open
        what = (
            f"not known whether written; try again with --request {request}"
            if open
            else "not written"
            if request
            else ""
        )
        if as_json:
            click.echo(
                json.dumps(
                    {"status": "unknown" if open else "unreached", "why": str(error), "request": request}
                )
            )
            sys.exit(1)
        raise click.ClickException(f"{error}" + (f"\n{what}" if what else "")) from None


def version_of(number: int, at: list[Address], within: float, as_json: bool) -> Reply:
    reply = reached(at, within, as_json, "", lambda client: client.get(number))
    if reply.code == 200 and reply.value.get("version") is None:
        raise click.ClickException(f"there is no version {number}" if number else "there is no version yet")
    return reply


@rules.command()
@click.argument("number", default=0, type=click.IntRange(0))
@AT
@WITHIN
@JSON
def get(number: int, at: list[Address], within: float, as_json: bool) -> None:
    """Print version NUMBER, or the latest as of now."""
    reply = version_of(number, at, within, as_json)
    printed(reply, as_json, (reply.value.get("version") or {}).get("content", "").rstrip("\n"))


@rules.command()
@click.option("--most", default=20, show_default=True, type=click.IntRange(1, 10_000))
@AT
@WITHIN
@JSON
def history(most: int, at: list[Address], within: float, as_json: bool) -> None:
    """The latest versions first: number, digest, what it follows, when, who and why."""
    found: list[dict[str, Any]] = []
    while len(found) < most:
        before = found[-1]["number"] if found else 0
        if before == 1:
            break
        page = reached(at, within, as_json, "", lambda client: client.history(before)).value["versions"]
        if not page:
            break
        found += page
    found = found[:most]
    if as_json:
        return click.echo(json.dumps(found))
    for row in found:
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
def diff(first: int, second: int, at: list[Address], within: float, as_json: bool) -> None:
    """What changes from version FIRST to SECOND. Exit code 0 also where something does."""
    texts = [
        version_of(each, at, within, as_json).value["version"]["content"].splitlines()
        for each in (first, second)
    ]
    lines = list(difflib.unified_diff(*texts, f"version {first}", f"version {second}", lineterm=""))
    click.echo(
        json.dumps(lines) if as_json else "\n".join(lines) or f"versions {first} and {second} are the same"
    )


@rules.command()
@click.argument("number", type=click.IntRange(1))
@click.option("--why", default="", metavar="TEXT")
@click.option("--who", default=None, metavar="NAME")
@AT
@WITHIN
@JSON
def rollback(number: int, why: str, who: str | None, at: list[Address], within: float, as_json: bool) -> None:
    """Write the content of version NUMBER as a new version, after the one that is the latest now."""
    text = version_of(number, at, within, as_json).value["version"]["content"]
    latest = version_of(0, at, within, as_json).value["version"]["number"]
    write(text, latest, why or f"back to version {number}", who, None, at, within, as_json)
