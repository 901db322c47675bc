"""Checks of small JSON objects that come to every process: its settings, its server's beats. cerberus checks
what the operator sends, on machines with a disk; loading it would cost each sidecar a sixth of its memory.
"""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

PLACE = re.compile(r"[^\s:]+:[0-9]{1,5}")


class FieldRule(NamedTuple):
    test: Callable[[Any], bool]
    said: str  # what is wanted, in words
    needed: bool = False


def is_integer(value: Any, least: int = 0, most: float = float("inf")) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and least <= value <= most


def is_number(value: Any, least: float = 0.0) -> bool:
    return isinstance(value, (int, float)) and not isinstance(value, bool) and value >= least


def is_address(value: Any) -> bool:
    return isinstance(value, str) and PLACE.fullmatch(value) is not None


TEXT = FieldRule(lambda each: isinstance(each, str), "a text")
NEEDED_TEXT = FieldRule(lambda each: isinstance(each, str) and each != "", "a text that is not empty", True)
FLAG = FieldRule(lambda each: isinstance(each, bool), "true or false")
LIST = FieldRule(lambda each: isinstance(each, list), "a list")
OBJECT = FieldRule(lambda each: isinstance(each, dict), "an object")
AMOUNT = FieldRule(is_number, "a number, 0 or more")
COUNT = FieldRule(is_integer, "a whole number, 0 or more")


def all_of(test: Callable[[Any], bool]) -> Callable[[Any], bool]:
    return lambda each: isinstance(each, list) and all(map(test, each))


def first_fault(data: Any, wants: dict[str, FieldRule]) -> str | None:
    """The first key that is missing or not as wanted, with its value; None where all is well. Other keys are
    not looked at. A key `a.b` is `b` in the object `a`, where there is one."""
    if not isinstance(data, dict):
        return "must be an object"
    for key, want in wants.items():
        outer, _, inner = key.rpartition(".")
        holder = data.get(outer, {}) if outer else data
        if not isinstance(holder, dict):
            continue  # its own row tells that
        name = inner if outer else key
        if name not in holder:
            if want.needed:
                return f"{key}: is missing; wants {want.said}"
        elif not want.test(holder[name]):
            text = repr(holder[name])
            return f"{key}: {text if len(text) < 80 else text[:77] + '...'}: wants {want.said}"
    return None
