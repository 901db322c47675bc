"""A coordinator's file (TOML), read and checked here alone; its keys stand in deploy/coordinator.toml."""

import tomllib
from dataclasses import dataclass, field
from typing import Any

from foxspread.config import Address, ConfigError, Section, address
from foxspread.consensus.core import Settings

SIZES = (3, 5, 7)
TOP = {"fleet", "name", "listen", "folder", "joins", "members", "reach", "times", "leases"}


@dataclass(frozen=True)
class Told:
    fleet: str
    name: str
    listen: Address
    folder: str
    joins: bool = False  # added to a fleet that is there already
    members: dict[str, str] = field(default_factory=dict)  # addresses; whom a new fleet starts with
    # other addresses for some of them, as seen from here
    reach: dict[str, str] = field(default_factory=dict)
    settings: Settings = Settings()
    patience: float = 2.0  # seconds within which each call is answered
    more: dict[str, Any] = field(default_factory=dict)  # for what the log makes


def read(path: str) -> Told:
    """Raises `ConfigError` with key and value."""
    try:
        with open(path, "rb") as file:
            told = Section(tomllib.load(file))
    except (OSError, ValueError) as error:
        raise ConfigError(f"the coordinator's file {path} cannot be read: {error}") from None
    return checked(told)


def checked(told: Section) -> Told:
    times, members = told.section("times"), addresses(told.section("members"))
    for section, known in ((told, TOP), (times, {"beat", "election", "patience"})):
        for key in section.values.keys() - known:
            raise ConfigError(f"'{section.name(key)}' is not known")
    name, joins = told.text("name"), told.flag("joins")
    if len(members) not in SIZES:
        raise ConfigError(
            f"'members' must name {', '.join(map(str, SIZES))} coordinators, not {len(members)}"
        )
    if not joins and name not in members:
        raise ConfigError(f"'members' must name {name!r}, this coordinator, unless it 'joins' a fleet")
    beat, election = positive(times, "beat", 0.06), positive(times, "election", 0.3)
    if election < 3 * beat:
        raise ConfigError(f"'times.election' must be at least three beats ({3 * beat:g}), not {election:g}")
    return Told(
        told.text("fleet"),
        name,
        address(told.text("listen"), "listen"),
        told.text("folder"),
        joins,
        members,
        addresses(told.section("reach")),
        Settings(beat, election),
        positive(times, "patience", 2.0),
    )


def positive(section: Section, key: str, default: float) -> float:
    return section.number(key, default, 0.001)


def addresses(section: Section) -> dict[str, str]:
    found: dict[str, Any] = {}
    for key in section.values:
        found[key] = str(address(section.text(key), section.name(key)))
    if len(set(found.values())) != len(found):
        raise ConfigError(f"'{section.path}' must name a place once: {found}")
    return found
