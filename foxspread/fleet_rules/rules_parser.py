"""Parses and checks the text of a version: TOML with the settings that a sidecar otherwise reads from its own
file. The same code checks them as when a sidecar starts (`config.settings`).
"""

import tomllib
from dataclasses import dataclass
from typing import Any

from foxspread.config import ConfigError, Section, parse_endpoint, settings, show

SERVER_KEYS = {"id", "addr", "zone", "cell", "weight", "kind", "started_ms"}
SECTIONS = {"settings", "alone", "lists"}
LIST_KEYS = {"source", "taken_out", "only", "alone", "servers"}
MAX_VERSION_BYTES = 32 * 1024  # of a version's text; coordinators accept no longer one


class ReadTracker(dict):
    """A section that records which keys were read, so that unknown keys are found."""

    def __init__(self, values: dict[str, Any]) -> None:
        super().__init__({key: tracked(value) for key, value in values.items()})
        self.read_keys: set[str] = set()

    def get(self, key: str, default: Any = None) -> Any:
        """Returns the value of a key like `dict.get`, and records the key as read."""
        self.read_keys.add(key)
        return super().get(key, default)

    def unread(self, path: str) -> list[str]:
        """Returns the paths of the keys that were not read, including those of nested sections."""
        unread = [f"{path}.{key}" for key in self if key not in self.read_keys]
        for key, value in self.items():
            for index, section in enumerate(value if isinstance(value, list) else [value]):
                if isinstance(section, ReadTracker) and key in self.read_keys:
                    at = f"[{index}]" if isinstance(value, list) else ""
                    unread += section.unread(f"{path}.{key}{at}")
        return unread


def tracked(value: Any) -> Any:
    """Returns a TOML value with a `ReadTracker` in place of each section."""
    if isinstance(value, dict):
        return ReadTracker(value)
    return [tracked(each) for each in value] if isinstance(value, list) else value


@dataclass(frozen=True)
class ParsedRules:
    """A parsed version.

    settings: keyword arguments of the balancer.
    rules: the `settings` and `lists` sections as nested dicts.
    alone: the rules of a sidecar whose lease has expired, as nested dicts.
    """

    settings: dict[str, Any]
    rules: dict[str, Any]
    alone: dict[str, Any]


def parse(text: bytes) -> ParsedRules:
    """Parses the text of a version. Raises `ConfigError` with key and value."""
    if len(text) > MAX_VERSION_BYTES:
        raise ConfigError(f"the rules have {len(text)} bytes, at most {MAX_VERSION_BYTES} are allowed")
    try:
        sections = tomllib.loads(text.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"the rules can't be read: {error}") from None
    for key in sections.keys() - SECTIONS:
        raise ConfigError(f"'{key}' is not known; its value is {show(sections[key])}")
    arguments = check_settings(sections.get("settings"), "settings")
    lists, alone_servers = parse_lists(sections.get("lists", {}))
    alone: dict[str, Any] = {}
    if "alone" in sections:
        check_settings(sections["alone"], "alone")
        alone = {"settings": sections["alone"]}
        if alone_servers is not None:
            alone["lists"] = {"only": alone_servers}
    elif alone_servers is not None:
        raise ConfigError(f"'lists.alone' is {show(alone_servers)}, but there is no 'alone' section")
    return ParsedRules(arguments, {"settings": sections["settings"], "lists": lists}, alone)


def parse_lists(values: Any) -> tuple[dict[str, Any], list[str] | None]:
    """Returns the `lists` section of a version, and the servers for sidecars whose lease has expired (None if
    not given). Raises `ConfigError` with key and value."""
    section = Section(values, "lists")
    for key in values.keys() - LIST_KEYS:
        raise ConfigError(f"'lists.{key}' is not known; its value is {show(values[key])}")
    source = section.text("source", "discovery")
    if source not in ("discovery", "here"):
        raise ConfigError(f'\'lists.source\' must be "discovery" or "here", not {show(source)}')
    rows = section.sections("servers")
    if rows and source != "here":
        raise ConfigError(f"'lists.servers' is set, but 'lists.source' is {show(source)}")
    for row in rows:
        for key in row.values.keys() - SERVER_KEYS:
            raise ConfigError(f"'{row.name(key)}' is not known; its value is {show(row.values[key])}")
        parse_endpoint(Section(row.values | {"state": "ready"}, row.path))
    lists = {"source": source, "servers": [row.values for row in rows]}
    for key in ("taken_out", "only", "alone"):
        if key in values:
            lists[key] = parse_ids(values[key], section.name(key))
    return lists, lists.pop("alone", None)


def parse_ids(values: Any, path: str) -> list[str]:
    """Returns server ids, sorted and without duplicates. Raises `ConfigError` with path and value."""
    if not isinstance(values, list) or not all(isinstance(each, str) and each for each in values):
        raise ConfigError(f"'{path}' must be a list of server ids, not {show(values)}")
    return sorted(set(values))


def check_settings(section: Any, path: str) -> dict[str, Any]:
    """Returns the settings of a section as keyword arguments of the balancer. Raises `ConfigError` with key
    and value, also for an unknown key."""
    if not isinstance(section, dict):
        raise ConfigError(f"'{path}' must be a section, not {show(section)}")
    values = ReadTracker(section)
    try:
        arguments = settings(Section(values, path), 0)
    except TypeError as error:  # for example a date, which JSON can't represent
        raise ConfigError(f"'{path}': {error}") from None
    if unread := values.unread(path):
        raise ConfigError(f"'{unread[0]}' is not known")
    if not arguments["categories"]:
        raise ConfigError(f"'{path}.categories' must name at least one category")
    return arguments
