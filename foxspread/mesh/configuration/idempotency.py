"""Makes changes idempotent: each version has one content, and each change gets one answer.

An item keeps digests of the contents that were confirmed under its lower versions. A refused change stays
refused: it is remembered by the digest of all its items, which serves as an idempotency key. Both are part of
the agreed state, so that a change gets the same answer again, however late it is repeated and at whichever
replica. docs/design/orders.md has the table of answers, and the alternatives that were rejected.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from typing import Any, Literal, NamedTuple

import orjson

from foxspread.mesh.configuration.consistency import find_inconsistency
from foxspread.mesh.configuration.items import (
    COMPACTION,
    LEASE,
    MEMBERS,
    OPERATOR_KINDS,
    REFUSED,
    Item,
    Key,
    Refusal,
    SupersededVersions,
)
from foxspread.mesh.configuration.retention import (
    items_of_refusal,
    tombstone_floor,
)
from foxspread.mesh.errors import Conflict, Failure, OutcomeUnknown, failure_from_status

MAX_SUPERSEDED_VERSIONS = 32  # versions of one item whose digests are kept; about 1.2 KB for each item
MAX_EXACT_INTEGER = 2**53  # up to this limit a float represents each integer exactly (IEEE 754)
DIGEST_BYTES = 10  # two different contents collide with a probability of 2^-80
COMPARE_AND_SET_KINDS = frozenset({MEMBERS, LEASE, COMPACTION})  # each version follows the one before it


class ChangeResult(NamedTuple):
    """Items to commit for a change, and the answer to its sender once they are committed."""

    changes: dict[Key, Item]
    outcome: Literal[True] | Failure


def _with_exact_integers(value: Any) -> Any:
    """Returns the value with 2.0 as 2, since both are equal where contents are compared."""
    if isinstance(value, float) and abs(value) <= MAX_EXACT_INTEGER and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {name: _with_exact_integers(each) for name, each in value.items()}
    if isinstance(value, list | tuple):
        return [_with_exact_integers(each) for each in value]
    return value


def _digest(value: Any) -> str:
    text = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def digest_of_content(item: Item) -> str:
    """Returns the digest of an item's content; contents that compare as equal have the same digest."""
    return _digest(_with_exact_integers(item.content))


def digest_of_change(items: Iterable[Item]) -> str:
    """Returns the digest of a change, which does not depend on the order of its items.

    Apart from that order, repetitions of a change are equal to the byte.
    """
    return _digest(sorted((each.packed()[:4] for each in items), key=lambda row: row[:3]))


def next_superseded_versions(item: Item) -> SupersededVersions:
    """Returns the superseded versions of an item's next version: those of this one, and this one itself."""
    return _with_version(item.superseded, item.version, digest_of_content(item))


def _with_version(before: SupersededVersions, version: int, digest: str) -> SupersededVersions:
    floor, rows = before.floor, sorted([*before.digests, (version, digest)])
    if len(rows) > MAX_SUPERSEDED_VERSIONS:
        floor = max(floor, rows[-MAX_SUPERSEDED_VERSIONS - 1][0])
        rows = rows[-MAX_SUPERSEDED_VERSIONS:]
    return SupersededVersions(floor, tuple(rows))


def merge(current: Mapping[Key, Item], change: Iterable[Item]) -> dict[Key, Item] | Failure:
    """Returns the items that a change replaces, and those that have to remember a confirmed older version.

    Returns a `Conflict` if another content was confirmed under a version, `OutcomeUnknown` if it is no longer
    known whether one was.
    """
    merged: dict[Key, Item] = {}
    for item in change:
        before = merged.get(item.key) or current.get(item.key)
        if item.kind in COMPARE_AND_SET_KINDS:
            result = _compare_and_set(before, item)
        elif before is None:
            result = _new_item(current, item)
        else:
            result = _updated_item(before, item)
        if isinstance(result, Failure):
            return result
        if result is not None:
            merged[item.key] = result
    return merged


def _compare_and_set(before: Item | None, item: Item) -> Item | Conflict:
    if item.version != (before.version if before is not None else 0) + 1:
        return Conflict(f"{item.kind} {item.name}: r{item.version} does not follow the current version")
    return item


def _new_item(current: Mapping[Key, Item], item: Item) -> Item | OutcomeUnknown:
    """Returns an item whose name is unknown here, unless a tombstone of that name may have been removed."""
    if item.version <= tombstone_floor(current):
        return OutcomeUnknown(f"{item.kind} {item.name}: what held up to r{item.version} is not known")
    return item


def _updated_item(before: Item, item: Item) -> Item | None | Failure:
    """Returns the item that replaces `before`; None if `before` stays as it is."""
    if item.version > before.version:
        return replace(item, superseded=next_superseded_versions(before))
    if item.version == before.version:
        if item.content != before.content:
            return Conflict(f"{item.kind} {item.name}: r{item.version} holds another content")
        return None
    if item.version <= before.superseded.floor:
        return OutcomeUnknown(f"{item.kind} {item.name}: what r{item.version} held is not known any more")
    confirmed, digest = before.superseded.digest_of(item.version), digest_of_content(item)
    if confirmed is None:
        return replace(before, superseded=_with_version(before.superseded, item.version, digest))
    if confirmed != digest:
        return Conflict(f"{item.kind} {item.name}: r{item.version} held another content")
    return None


def apply_change(
    current: Mapping[Key, Item], items: list[Item], digest: str, agreed_clock: float
) -> ChangeResult:
    """Returns the items to commit for a change to the current items, and its answer.

    `digest` is `digest_of_change(items)`; `agreed_clock` is in seconds. If a change contradicts the current
    items, its refusal is committed: a late repetition must not come into force once it would be valid.
    """
    if (stored := current.get((REFUSED, digest))) is not None:
        refusal = Refusal.from_item(stored)
        return ChangeResult({}, failure_from_status(refusal.status, refusal.reason))
    changes = merge(current, items)
    if isinstance(changes, Failure):
        return ChangeResult({}, changes)
    by_operator = {key: item for key, item in changes.items() if item.kind in OPERATOR_KINDS}
    inconsistency = find_inconsistency(current, by_operator) if by_operator else None
    if inconsistency is None:
        return ChangeResult(changes, True)
    refusal_items = items_of_refusal(current, digest, inconsistency, agreed_clock)
    if isinstance(refusal_items, Failure):
        return ChangeResult({}, refusal_items)
    return ChangeResult(refusal_items, inconsistency)
