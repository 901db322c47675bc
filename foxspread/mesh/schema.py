"""Validation of the small JSON objects that every process reads: its settings and servers' heartbeats.

The operator's calls are validated by cerberus, on replicas only: loading it in a sidecar would take a sixth
of the sidecar's memory.
"""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

ADDRESS = re.compile(r"[^\s:]+:[0-9]{1,5}")
MAX_VALUE_CHARACTERS = 80  # length at which a quoted value is cut off


class FieldRule(NamedTuple):
    """Rule for the value of one key."""

    test: Callable[[Any], bool]
    expected: str  # description of a valid value, for error messages
    required: bool = False


def is_integer(value: Any, minimum: int = 0, maximum: float = float("inf")) -> bool:
    """Returns whether the value is an integer within these bounds; booleans do not count as integers."""
    return isinstance(value, int) and not isinstance(value, bool) and minimum <= value <= maximum


def is_number(value: Any, minimum: float = 0.0) -> bool:
    """Returns whether the value is a number, `minimum` or more; booleans do not count as numbers."""
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= minimum


def is_address(value: Any) -> bool:
    """Returns whether the value is a string `host:port`."""
    return isinstance(value, str) and ADDRESS.fullmatch(value) is not None


STRING = FieldRule(lambda each: isinstance(each, str), "a text")
REQUIRED_STRING = FieldRule(
    lambda each: isinstance(each, str) and each != "", "a text that is not empty", True
)
FLAG = FieldRule(lambda each: isinstance(each, bool), "true or false")
LIST = FieldRule(lambda each: isinstance(each, list), "a list")
OBJECT = FieldRule(lambda each: isinstance(each, dict), "an object")
NON_NEGATIVE_NUMBER = FieldRule(is_number, "a number, 0 or more")
NON_NEGATIVE_INTEGER = FieldRule(is_integer, "a whole number, 0 or more")


def list_of(test: Callable[[Any], bool]) -> Callable[[Any], bool]:
    """Returns a test for lists whose elements all pass the given test."""
    return lambda each: isinstance(each, list) and all(map(test, each))


def first_violation(data: Any, rules: dict[str, FieldRule]) -> str | None:
    """Describes the first key that is missing or breaks its rule, with its value; None if all are valid.

    Keys without a rule are ignored. A path `a.b` means the key `b` of the object `a`, if there is one.
    """
    if not isinstance(data, dict):
        return "must be an object"
    for path, rule in rules.items():
        outer, _, name = path.rpartition(".")
        parent = data.get(outer, {}) if outer else data
        if not isinstance(parent, dict):
            continue  # reported by the rule of the outer key
        if name not in parent:
            if rule.required:
                return f"{path}: is missing; wants {rule.expected}"
        elif not rule.test(parent[name]):
            return f"{path}: {abbreviate(parent[name])}: wants {rule.expected}"
    return None


def abbreviate(value: Any) -> str:
    """Returns the value as an error message quotes it, cut off if it is long."""
    text = repr(value)
    return text if len(text) < MAX_VALUE_CHARACTERS else text[: MAX_VALUE_CHARACTERS - 3] + "..."
