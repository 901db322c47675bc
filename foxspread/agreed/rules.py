"""The content of a version: a TOML text with the settings that a sidecar takes today from its own file, read
and checked here alone, by the same code that a sidecar's start goes through (`config.settings`).
"""

import tomllib
from typing import Any, NamedTuple

from foxspread.config import ConfigError, Section, settings, show

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
    for key in told.keys() - {"settings", "alone"}:
        raise ConfigError(f"'{key}' is not known, with {show(told[key])}")
    found = checked(told.get("settings"), "settings")
    alone: dict[str, Any] = {}
    if "alone" in told:
        checked(told["alone"], "alone")
        alone = {"settings": told["alone"]}
    return Found(found, {"settings": told["settings"]}, alone)


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
