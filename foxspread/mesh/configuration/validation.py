"""Parsing and validation of a call that changes the configuration.

The JSON body is decoded as a whole, then cerberus validates it item by item, so that a large call can be
validated in slices between other work. A call with any invalid part is refused for good, and none of it comes
into force. Contradictions to the items in force are checked later (`consistency`).

Error messages name keys in the operator's spelling of the call: `lodge`, `withdraw`, `gates`, `fleets`,
`edition` (`document` explains them).

This module imports cerberus, so only replicas import it.
"""

import re
from collections.abc import Callable, Iterator
from typing import Any

import orjson
from cerberus import Validator

from foxspread.mesh.configuration.document import (
    BODY_BYTES,
    CONNECTION_CAP,
    DEADLINE_S,
    DROP,
    DROPPED_ROUTES,
    DROPPED_SERVICES,
    FORWARDING,
    HEAD_BYTES,
    HEAD_S,
    HEALTH_PATH,
    HOST,
    HOSTS,
    IDEMPOTENCE,
    IDEMPOTENT,
    IDLE_S,
    LIMITS_KEY,
    MATCH,
    MAX_ATTEMPTS,
    NAME,
    NOT_IDEMPOTENT,
    PREFIX,
    PRIORITY,
    RULE,
    RULES,
    SERVICE_KEY,
    SERVICES,
    SET,
    SPLIT,
    TARGET_S,
    VERSION,
    WEIGHT,
    RouteMatch,
    route_match,
)
from foxspread.mesh.configuration.items import LIMITS, ROUTE, SERVICE, Item, Key
from foxspread.mesh.errors import InvalidRequest
from foxspread.mesh.schema import abbreviate

MAX_DEADLINE_S = 600.0  # ten minutes
MAX_TARGET_OVER_DEADLINE_S = 60.0  # a latency target exceeds the deadline by less than this
VERSION_FORM = re.compile(r"r([0-9]{1,15})")  # at most 15 digits: below 2^53, so exact in JSON
MAX_NAME_CHARACTERS = 500
MAX_QUOTED_CHARACTERS = 80  # quoted malformed objects are cut off at this length
MAX_JSON_DEPTH = 254  # nesting that orjson encodes; it decodes deeper nesting
RESERVED_DEPTH = 54  # levels kept for the messages and rows that contain an item
ITEMS_BETWEEN_PAUSES = 8  # number of items after which other work may run

ParsedItem = Item | InvalidRequest


def _check_not_boolean(field: str, value: Any, error: Callable[[str, str], None]) -> None:
    """Rejects booleans, which cerberus accepts as integers."""
    if isinstance(value, bool):
        error(field, "must be of integer type")


_NAME_RULE = {"type": "string", "minlength": 1, "maxlength": MAX_NAME_CHARACTERS, "required": True}
_VERSION_RULE = {"type": "string", "regex": VERSION_FORM.pattern + r"\Z", "required": True}
_DEADLINE_RULE = {"type": "number", "min": 0, "max": MAX_DEADLINE_S, "required": True}
_SPLIT_SCHEMA = {SERVICE_KEY: _NAME_RULE, WEIGHT: {"type": "number", "min": 0}}
_FORWARDING_SCHEMA = {
    SERVICE_KEY: {"type": "string", "minlength": 1},
    SPLIT: {
        "type": "list",
        "minlength": 1,
        "schema": {"type": "dict", "allow_unknown": True, "schema": _SPLIT_SCHEMA},
    },
    DEADLINE_S: _DEADLINE_RULE,
    MAX_ATTEMPTS: {"type": "integer", "check_with": _check_not_boolean, "min": 1, "required": True},
}
_MATCH_SCHEMA = {PREFIX: {"type": "string", "minlength": 1, "regex": "/.*", "required": True}}
RULE_SCHEMA = {
    NAME: _NAME_RULE,
    IDEMPOTENCE: {"type": "string", "allowed": [IDEMPOTENT, NOT_IDEMPOTENT], "required": True},
    TARGET_S: {"type": "number", "min": 0},
    PRIORITY: {"type": "integer"},
    VERSION: _VERSION_RULE,
    MATCH: {"type": "dict", "required": True, "allow_unknown": True, "schema": _MATCH_SCHEMA},
    FORWARDING: {"type": "dict", "required": True, "allow_unknown": True, "schema": _FORWARDING_SCHEMA},
}
SERVICE_SCHEMA = {
    NAME: _NAME_RULE,
    VERSION: _VERSION_RULE,
    HEALTH_PATH: {"type": "string"},
    CONNECTION_CAP: {"type": "number", "min": 0},
}
LIMITS_SCHEMA = {
    VERSION: _VERSION_RULE,
    HEAD_BYTES: {"type": "number", "min": 1},
    BODY_BYTES: {"type": "number", "min": 0},
    HEAD_S: {"type": "number", "min": 0},
    IDLE_S: {"type": "number", "min": 0},
}
TOMBSTONE_SCHEMA = {NAME: _NAME_RULE, VERSION: _VERSION_RULE}
KIND_OF_DROPPED = {DROPPED_ROUTES: ROUTE, DROPPED_SERVICES: SERVICE}

# Built once, since a validator compiles its schema.
_RULE, _SERVICE, _LIMITS, _TOMBSTONE = (
    Validator(schema, allow_unknown=True)
    for schema in (RULE_SCHEMA, SERVICE_SCHEMA, LIMITS_SCHEMA, TOMBSTONE_SCHEMA)
)


def parse_call(body: bytes) -> Iterator[ParsedItem | None]:
    """Yields the items of a call one by one, and None at points where other work may run first.

    An `InvalidRequest` is the last element: no item of the call may be used then.
    """
    call = _parse_body(body)
    if isinstance(call, InvalidRequest):
        yield call
        return
    to_set, to_drop = (_part_of(call, part, {}) for part in (SET, DROP))
    if not isinstance(to_set, dict) or not isinstance(to_drop, dict):
        yield InvalidRequest("lodge and withdraw must be objects")
        return
    duplicates = _DuplicateCheck()
    for number, step in enumerate(_parse_items(to_set, to_drop)):
        if isinstance(step, Item):
            step = duplicates.check(step)
        yield step
        if isinstance(step, InvalidRequest):
            return
        if number % ITEMS_BETWEEN_PAUSES == ITEMS_BETWEEN_PAUSES - 1:
            yield None


def _parse_body(body: bytes) -> dict | InvalidRequest:
    try:
        call = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        return InvalidRequest(f"the body can't be read whole: {error}")
    if not isinstance(call, dict):
        return InvalidRequest("the body must be an object")
    if not _can_be_encoded(call):
        depth = MAX_JSON_DEPTH - RESERVED_DEPTH
        return InvalidRequest(f"the body can't be read whole: nested deeper than {depth} levels")
    return call


def _can_be_encoded(call: dict) -> bool:
    """Returns whether the items of a call can be encoded: JSON can be decoded at deeper nesting."""
    nested: Any = call
    for _ in range(RESERVED_DEPTH):
        nested = [nested]
    try:
        orjson.dumps(nested)
    except TypeError:
        return False
    return True


class _DuplicateCheck:
    """Check for items of one call that contradict each other."""

    def __init__(self) -> None:
        self.items: dict[Key, Item] = {}
        self.routes: dict[RouteMatch, str] = {}  # by match: the name of the route

    def check(self, item: Item) -> ParsedItem:
        """Returns the item, or a failure if it contradicts an earlier item of the call."""
        if self.items.setdefault(item.key, item) != item:
            return InvalidRequest(f"{item.kind} {item.name}: named twice in one call")
        if item.kind == ROUTE and item.content is not None:
            other = self.routes.setdefault(route_match(item.content), item.name)
            if other != item.name:
                return InvalidRequest(f"route {item.name}: route {other} has that host and prefix")
        return item


def _part_of(parent: dict, key: str, default: Any) -> Any:
    """Returns a part of a call, of any type; `default` if it is left out or null."""
    part = parent.get(key)
    return default if part is None else part


def _parse_items(to_set: dict, to_drop: dict) -> Iterator[ParsedItem]:
    services, hosts = (_part_of(to_set, key, []) for key in (SERVICES, HOSTS))
    if not isinstance(services, list) or not isinstance(hosts, list):
        yield InvalidRequest("lodge: gates and fleets must be lists")
        return
    if (limits := to_set.get(LIMITS_KEY)) is not None:
        yield _validated(_LIMITS, LIMITS_KEY, limits, lambda row: _item(LIMITS, LIMITS, row, row))
    for service in services:
        yield _validated(_SERVICE, SERVICES, service, lambda row: _item(SERVICE, row[NAME], row, row))
    for host in hosts:
        yield from _parse_host(host)
    for part, kind in KIND_OF_DROPPED.items():
        yield from _parse_dropped(to_drop, part, kind)


def _parse_host(data: Any) -> Iterator[ParsedItem]:
    """Yields the routes of one host, an element of `gates`."""
    host = data.get(HOST) if isinstance(data, dict) else None
    if not isinstance(host, str) or not host or not isinstance(data.get(RULES, []), list):
        text = str(data)[:MAX_QUOTED_CHARACTERS]
        yield InvalidRequest(f"gates: {text}: wants a destination and a list of regulations")
        return
    for rule in data.get(RULES, []):
        yield _validated(_RULE, f"{HOSTS}.{host}", rule, lambda row: _parse_rule(host, row))


def _parse_dropped(to_drop: dict, part: str, kind: str) -> Iterator[ParsedItem]:
    rows = _part_of(to_drop, part, [])
    if not isinstance(rows, list):
        yield InvalidRequest(f"withdraw.{part}: must be a list")
        return
    for row in rows:
        yield _validated(_TOMBSTONE, f"{DROP}.{part}", row, lambda row: _item(kind, row[NAME], row, None))


def _item(kind: str, name: str, row: dict, content: dict | None) -> Item:
    return Item(kind, name, parse_version(row[VERSION]), content)


def parse_version(text: str) -> int:
    """Returns the number of a version in the operator's spelling: 7 for `r7`."""
    return int(VERSION_FORM.fullmatch(text)[1])


def _validated(validator: Validator, where: str, row: Any, parse: Callable[[dict], ParsedItem]) -> ParsedItem:
    """Returns the item that `parse` makes of a row, or the violation of its schema."""
    if not isinstance(row, dict):
        return InvalidRequest(f"{where}: {str(row)[:MAX_QUOTED_CHARACTERS]}: must be an object")
    if not validator.validate(row, normalize=False):
        return InvalidRequest(f"{where} {row.get(NAME, '')}: {describe_errors(validator.errors, row)}")
    return parse(row)


def describe_errors(errors: dict, data: Any) -> str:
    """Formats the first of cerberus's errors: the path of keys, the value there, and the violated rule."""
    path, value = [], data
    while isinstance(errors, dict) and errors:
        key, rows = next(iter(errors.items()))
        path.append(str(key))
        try:
            value = value[key]
        except (KeyError, IndexError, TypeError):
            value = None
        errors = rows[-1] if rows else "is invalid"
    return f"{'.'.join(path)}: {abbreviate(value)}: {errors}"


def _parse_rule(host: str, rule: dict) -> ParsedItem:
    """Returns the item of a rule that matches its schema, after the checks that no schema can express."""
    name, forwarding = rule[NAME], rule[FORWARDING]
    deadline_s = forwarding[DEADLINE_S]
    if deadline_s <= 0:
        return InvalidRequest(f"route {name}: deadline_s: {deadline_s}: must be over 0")
    if rule.get(TARGET_S, 0) >= deadline_s + MAX_TARGET_OVER_DEADLINE_S:
        target_s = rule[TARGET_S]
        return InvalidRequest(f"route {name}: target_s: {target_s}: a minute or more over its deadline_s")
    if (SERVICE_KEY in forwarding) == (SPLIT in forwarding):
        return InvalidRequest(f"route {name}: dispatch: wants a service or consignments")
    if SPLIT in forwarding and sum(each.get(WEIGHT, 1) for each in forwarding[SPLIT]) <= 0:
        return InvalidRequest(f"route {name}: consignments: no weight")
    return _item(ROUTE, name, rule, {HOST: host, RULE: rule})
