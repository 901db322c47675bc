"""The content of a version: a TOML text with the settings that a sidecar takes today from its own file, read
and checked here alone, by the same code that a sidecar's start goes through (`config.settings`).
"""

import tomllib
from typing import Any

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


def read(content: bytes) -> dict[str, Any]:
    """The settings, as keyword arguments of the balancer. Raises `ConfigError` with key and value."""
    if len(content) > LONGEST:
        raise ConfigError(f"the rules take {len(content)} bytes, at most {LONGEST} are taken")
    try:
        told = tomllib.loads(content.decode())
    except (UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise ConfigError(f"the rules can't be read: {error}") from None
    for key in told.keys() - {"settings"}:
        raise ConfigError(f"'{key}' is not known, with {show(told[key])}")
    if not isinstance(told.get("settings"), dict):
        raise ConfigError(f"'settings' must be a section, not {show(told.get('settings'))}")
    values = Noted(told["settings"])
    try:
        found = settings(Section(values, "settings"), 0)
    except TypeError as error:  # a date, say, can't be shown as JSON
        raise ConfigError(f"'settings': {error}") from None
    if left := values.unread("settings"):
        raise ConfigError(f"'{left[0]}' is not known")
    if not found["categories"]:
        raise ConfigError("'settings.categories' must name at least one category")
    return found
