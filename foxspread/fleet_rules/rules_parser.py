"""The content of a version: a TOML text with the settings that a sidecar takes today from its own file, read
and checked here alone, by the same code that a sidecar's start goes through (`config.settings`).
"""

import tomllib
from typing import Any, NamedTuple

from foxspread.config import ConfigError, Section, named_server, settings, show

SERVER = {"id", "addr", "zone", "cell", "weight", "kind", "started_ms"}
LONGEST = 32 * 1024  # bytes of a content; the coordinators take no longer one


class Noted(dict):
    """Notes which keys were asked for, so that one that nobody reads is found and not taken for a setting."""

    def __init__(self, values: dict[str, Any]) -> None:
        super().__init__({key: noted(value) for key, value in values.items()})
        self.asked: set[str] = set()

    def get(self, key: str, default: Any = None) -> Any:
        self.asked.add(key)
        return super().get(key, default)

    def unread(self, path: str) -> list[str]:
        found = [f"{path}.{key}" for key in self if key not in self.asked]
        for key, value in self.items():
            for at, each in enumerate(value if isinstance(value, list) else [value]):
                if isinstance(each, Noted) and key in self.asked:
                    found += each.unread(
                        f"{path}.{key}[{at}]" if isinstance(value, list) else f"{path}.{key}"
                    )
        return found


def noted(value: Any) -> Any:
    if isinstance(value, dict):
        return Noted(value)
    return [noted(each) for each in value] if isinstance(value, list) else value


class Found(NamedTuple):
    """A content: as keyword arguments of the balancer, as its tree, and what one whose lease has run out acts
    on."""

    settings: dict[str, Any]
    rules: dict[str, Any]
    alone: dict[str, Any]


def read(content: bytes) -> Found:
    """Raises `ConfigError` with key and value."""
    if len(content) > LONGEST:
        raise ConfigError(f"the rules take {len(content)} bytes, at most {LONGEST} are taken")
    try:
        told = tomllib.loads(content.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"the rules can't be read: {error}") from None
    for key in told.keys() - {"settings", "alone", "lists"}:
        raise ConfigError(f"'{key}' is not known, with {show(told[key])}")
    found = checked(told.get("settings"), "settings")
    lists, only = lists_of(told.get("lists", {}))
    alone: dict[str, Any] = {}
    if "alone" in told:
        checked(told["alone"], "alone")
        alone = {"settings": told["alone"]} | ({"lists": {"only": only}} if only is not None else {})
    elif only is not None:
        raise ConfigError(f"'lists.alone': without 'alone' nothing is done alone, but it is {show(only)}")
    return Found(found, {"settings": told["settings"], "lists": lists}, alone)


def lists_of(told: Any) -> tuple[dict[str, Any], list[str] | None]:
    """The lists of a version, and the servers that one whose lease has run out may send to."""
    section = Section(told, "lists")
    for key in told.keys() - {"source", "taken_out", "only", "alone", "servers"}:
        raise ConfigError(f"'lists.{key}' is not known, with {show(told[key])}")
    source = section.text("source", "discovery")
    if source not in ("discovery", "here"):
        raise ConfigError(f'\'lists.source\' must be "discovery" or "here", not {show(source)}')
    rows = section.sections("servers")
    if rows and source != "here":
        raise ConfigError(f"'lists.servers' stand there, but 'lists.source' is {show(source)}")
    for row in rows:
        for key in row.values.keys() - SERVER:
            raise ConfigError(f"'{row.name(key)}' is not known, with {show(row.values[key])}")
        named_server(Section(row.values | {"state": "ready"}, row.path))
    found = {"source": source, "servers": [row.values for row in rows]}
    for key in ("taken_out", "only", "alone"):
        if key in told:
            found[key] = ids(told[key], section.name(key))
    return found, found.pop("alone", None)


def ids(told: Any, path: str) -> list[str]:
    if not isinstance(told, list) or not all(isinstance(each, str) and each for each in told):
        raise ConfigError(f"'{path}' must be a list of servers' ids, not {show(told)}")
    return sorted(set(told))


def checked(section: Any, path: str) -> dict[str, Any]:
    """The settings of a section, each key of which must be one that somebody reads."""
    if not isinstance(section, dict):
        raise ConfigError(f"'{path}' must be a section, not {show(section)}")
    values = Noted(section)
    try:
        found = settings(Section(values, path), 0)
    except TypeError as error:  # a date, say, can't be shown as JSON
        raise ConfigError(f"'{path}': {error}") from None
    if left := values.unread(path):
        raise ConfigError(f"'{left[0]}' is not known")
    if not found["categories"]:
        raise ConfigError(f"'{path}.categories' must name at least one category")
    return found
