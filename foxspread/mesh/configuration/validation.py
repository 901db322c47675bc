"""A call of the operator, read whole and checked by cerberus, item by item, so that a large one can be
checked in slices between other work. What is unclear is refused for good: nothing of it may come into
force.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

import orjson
from cerberus import Validator

from foxspread.mesh.configuration.items import LIMITS, ROUTE, SERVICE, Item, place_of
from foxspread.mesh.errors import Failure, invalid

LONGEST_S = 600.0  # a deadline may be so long
AIM_OVER_S = 60.0  # and a target may lie less than this over it
VERSION = re.compile(r"r([0-9]{1,15})")


def _whole(field: str, value: Any, error: Callable[[str, str], None]) -> None:
    if isinstance(value, bool):
        error(field, "must be of integer type")


DEEPEST = 254  # levels that orjson writes
ROOM = 54  # of them, for the messages and rows in which an item goes on
_NAME = {"type": "string", "minlength": 1, "maxlength": 500, "required": True}
_VERSION = {"type": "string", "regex": VERSION.pattern + r"\Z", "required": True}
_SECONDS = {"type": "number", "min": 0, "max": LONGEST_S}
RULE = {
    "name": _NAME,
    "mail_class": {"type": "string", "allowed": ["safe", "unsafe"], "required": True},
    "target_s": {"type": "number", "min": 0},
    "priority": {"type": "integer"},
    "edition": _VERSION,
    "sorting": {
        "type": "dict",
        "required": True,
        "allow_unknown": True,
        "schema": {"postcode": {"type": "string", "minlength": 1, "regex": "/.*", "required": True}},
    },
    "dispatch": {
        "type": "dict",
        "required": True,
        "allow_unknown": True,
        "schema": {
            "service": {"type": "string", "minlength": 1},
            "consignments": {
                "type": "list",
                "minlength": 1,
                "schema": {
                    "type": "dict",
                    "allow_unknown": True,
                    "schema": {"service": _NAME, "weight": {"type": "number", "min": 0}},
                },
            },
            "deadline_s": {**_SECONDS, "required": True},
            "delivery_attempts": {"type": "integer", "check_with": _whole, "min": 1, "required": True},
        },
    },
}
FLEET = {
    "name": _NAME,
    "edition": _VERSION,
    "health": {"type": "string"},
    "connection_cap": {"type": "number", "min": 0},
}
SIZES = {
    "edition": _VERSION,
    "envelope_bytes": {"type": "number", "min": 1},
    "contents_bytes": {"type": "number", "min": 0},
    "envelope_s": {"type": "number", "min": 0},
    "idle_s": {"type": "number", "min": 0},
}
DROP = {"name": _NAME, "edition": _VERSION}
KINDS = {"routes": ROUTE, "services": SERVICE}

_checks = {
    name: Validator(schema, allow_unknown=True)
    for name, schema in (("rule", RULE), ("fleet", FLEET), ("limits", SIZES), ("drop", DROP))
}


def describe_errors(errors: dict, data: Any) -> str:
    """The first of cerberus's errors, as a path of keys, the value there and what is wrong with it."""
    path, found = [], data
    while isinstance(errors, dict) and errors:
        key, rows = next(iter(errors.items()))
        path.append(str(key))
        try:
            found = found[key]
        except (KeyError, IndexError, TypeError):
            found = None
        errors = rows[-1] if rows else "is not to be understood"
    text = repr(found)
    return f"{'.'.join(path)}: {text if len(text) < 80 else text[:77] + '...'}: {errors}"


def _shallow(call: dict) -> bool:
    """Whether what it holds can be passed on: JSON can be read deeper than it can be written."""
    wrapped: Any = call
    for _ in range(ROOM):
        wrapped = [wrapped]
    try:
        orjson.dumps(wrapped)
    except TypeError:
        return False
    return True


def version(text: str) -> int:
    return int(VERSION.fullmatch(text)[1])


def parse_call(body: bytes) -> Iterator[Item | Failure | None]:
    """The items of a call, one a step, with a None now and then where others may go first; a failure is the
    last step."""
    try:
        call = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        yield invalid(f"the body can't be read whole: {error}")
        return
    if not isinstance(call, dict):
        yield invalid("the body must be an object")
        return
    if not _shallow(call):
        yield invalid(f"the body can't be read whole: nested deeper than {DEEPEST - ROOM} levels")
        return
    lodged, dropped = (_part(call, word, {}) for word in ("lodge", "withdraw"))
    if not isinstance(lodged, dict) or not isinstance(dropped, dict):
        yield invalid("lodge and withdraw must be objects")
        return
    seen: dict[Any, Item] = {}
    places: dict[Any, str] = {}
    for number, found in enumerate(_steps(lodged, dropped)):
        if isinstance(found, Failure):
            yield found
            return
        if found.key in seen and seen[found.key] != found:
            yield invalid(f"{found.kind} {found.name}: named twice in one call")
            return
        seen[found.key] = found
        if (
            found.kind == ROUTE
            and found.content is not None
            and places.setdefault(place_of(found.content), found.name) != found.name
        ):
            yield invalid(
                f"route {found.name}: route {places[place_of(found.content)]} has that host and prefix"
            )
            return
        yield found
        if number % 8 == 7:
            yield None


def _part(holder: dict, word: str, empty: Any) -> Any:
    """What is left out is empty; what is there may be anything."""
    found = holder.get(word)
    return empty if found is None else found


def _steps(lodged: dict, dropped: dict) -> Iterator[Item | Failure]:
    fleets, gates = (_part(lodged, word, []) for word in ("fleets", "gates"))
    if not isinstance(fleets, list) or not isinstance(gates, list):
        yield invalid("lodge: gates and fleets must be lists")
        return
    if (limits := lodged.get("limits")) is not None:
        yield _one("limits", "limits", limits, lambda each: _item(LIMITS, LIMITS, each, each))
    for fleet in fleets:
        yield _one("fleet", "fleets", fleet, lambda each: _item(SERVICE, each["name"], each, each))
    for gate in gates:
        host = gate.get("destination") if isinstance(gate, dict) else None
        if not isinstance(host, str) or not host or not isinstance(gate.get("regulations", []), list):
            yield invalid(f"gates: {str(gate)[:80]}: wants a destination and a list of regulations")
            return
        for rule in gate.get("regulations", []):
            yield _one("rule", f"gates.{host}", rule, lambda each, host=host: _sensible(host, each))
    for word, kind in KINDS.items():
        rows = _part(dropped, word, [])
        if not isinstance(rows, list):
            yield invalid(f"withdraw.{word}: must be a list")
            return
        for row in rows:
            yield _one(
                "drop", f"withdraw.{word}", row, lambda each, kind=kind: _item(kind, each["name"], each, None)
            )


def _item(kind: str, name: str, row: dict, content: dict | None) -> Item:
    return Item(kind, name, version(row["edition"]), content)


def _one(check: str, where: str, found: Any, make: Callable[[dict], Item | Failure]) -> Item | Failure:
    if not isinstance(found, dict):
        return invalid(f"{where}: {str(found)[:80]}: must be an object")
    validator = _checks[check]
    if not validator.validate(found, normalize=False):
        return invalid(f"{where} {found.get('name', '')}: {describe_errors(validator.errors, found)}")
    return make(found)


def _sensible(host: str, rule: dict) -> Item | Failure:
    """What no schema can say of a route."""
    name, dispatch = rule["name"], rule["dispatch"]
    if dispatch["deadline_s"] <= 0:
        return invalid(f"route {name}: deadline_s: {dispatch['deadline_s']}: must be over 0")
    if rule.get("target_s", 0) >= dispatch["deadline_s"] + AIM_OVER_S:
        return invalid(f"route {name}: target_s: {rule['target_s']}: a minute or more over its deadline_s")
    if ("service" in dispatch) == ("consignments" in dispatch):
        return invalid(f"route {name}: dispatch: wants a service or consignments")
    if "consignments" in dispatch and sum(each.get("weight", 1) for each in dispatch["consignments"]) <= 0:
        return invalid(f"route {name}: consignments: no weight")
    return _item(ROUTE, name, rule, {"destination": host, "rule": rule})
