"""What becomes of an order: one content for each number, one answer for each order. Pure.

An item remembers what was confirmed under its lower versions, by digest, and an order that was refused stays
refused, by the digest of the whole. Both are part of the agreed set, so whoever judges an order meets what
was told about it before, however late and wherever it comes again. docs/design/orders.md has the table of
answers.
"""

from collections.abc import Iterable, Mapping
from dataclasses import replace
from hashlib import blake2b
from typing import Any

import orjson

from foxspread.mesh.configuration.items import (
    KEPT,
    LEASE,
    MEMBERS,
    REFUSED,
    THEIRS,
    Item,
    Key,
    Past,
    consistent,
)
from foxspread.mesh.errors import Failure, conflict, outcome_unknown

PAST_MOST = 32  # lower versions of an item that are told apart; below them nothing is confirmed nor refused
REFUSED_MOST = 4096  # orders known to be refused; with more, a refusal has to wait
REFUSED_KEPT_S = 3600.0  # by the agreed clock: longer than any copy of an order may be under way
DROPPED_MOST = 20_000  # items that are dropped and known as such
DROPPED_REST = 15_000  # that stay known when the oldest are collected
WHOLE_MOST = 2**53  # up to there a whole number is one number, however it is written
ANYHOW = frozenset({MEMBERS, LEASE, KEPT})  # changed by compare and set


def _plain(value: Any) -> Any:
    """2.0 and 2 are one number, as they are where contents are compared."""
    if isinstance(value, float) and abs(value) <= WHOLE_MOST and value.is_integer():
        return int(value)
    if isinstance(value, dict):
        return {name: _plain(each) for name, each in value.items()}
    if isinstance(value, list | tuple):
        return [_plain(each) for each in value]
    return value


def _digest(value: Any) -> str:
    return blake2b(orjson.dumps(_plain(value), option=orjson.OPT_SORT_KEYS), digest_size=10).hexdigest()


def digest(item: Item) -> str:
    """Of what it holds."""
    return _digest(item.content)


def digest_of_change(items: Iterable[Item]) -> str:
    """Whatever the order in which its items stand; copies of an order are alike to the byte but for that."""
    rows = sorted((each.packed()[:4] for each in items), key=lambda row: row[:3])
    return blake2b(orjson.dumps(rows, option=orjson.OPT_SORT_KEYS), digest_size=10).hexdigest()


def is_superseded(there: Item) -> Past:
    """What the next version of an item remembers of this one, and of those before."""
    return _noted(there.past, there.version, digest(there))


def _noted(past: Past, version: int, what: str) -> Past:
    floor, known = past
    rows = sorted([*known, (version, what)])
    if len(rows) > PAST_MOST:
        floor = max(floor, rows[-PAST_MOST - 1][0])
        rows = rows[-PAST_MOST:]
    return floor, tuple(rows)


def merge(held: Mapping[Key, Item], order: Iterable[Item]) -> dict[Key, Item] | Failure:
    """What an order changes: items that are newer, and items that are to remember that an older version of
    theirs was confirmed. A failure where another content was confirmed under a number (for good), or where it
    can't be known any more (no clear answer)."""
    newer: dict[Key, Item] = {}
    for item in order:
        there = newer.get(item.key) or held.get(item.key)
        if item.kind in ANYHOW:
            if item.version != (there.version if there is not None else 0) + 1:
                return conflict(f"{item.kind} {item.name}: r{item.version} does not follow what holds")
            newer[item.key] = item
        elif there is None:
            if item.version <= _floor_of_dropped(held):
                return outcome_unknown(
                    f"{item.kind} {item.name}: what held up to r{item.version} is not known"
                )
            newer[item.key] = item
        elif item.version > there.version:
            newer[item.key] = replace(item, past=is_superseded(there))
        elif item.version == there.version:
            if item.content != there.content:
                return conflict(f"{item.kind} {item.name}: r{item.version} holds another content")
        else:
            floor, known = there.past
            if item.version <= floor:
                return outcome_unknown(
                    f"{item.kind} {item.name}: what r{item.version} held is not known any more"
                )
            before, what = dict(known).get(item.version), digest(item)
            if before is None:
                newer[item.key] = replace(there, past=_noted(there.past, item.version, what))
            elif before != what:
                return conflict(f"{item.kind} {item.name}: r{item.version} held another content")
    return newer


def _floor_of_dropped(held: Mapping[Key, Item]) -> int:
    kept = held.get((KEPT, "dropped"))
    return kept.content["floor"] if kept is not None else 0


def apply_change(
    held: Mapping[Key, Item], order: list[Item], named: str, clock: float
) -> tuple[dict[Key, Item], bool | Failure]:
    """What is to be settled for an order, and what its operator is told once it is. `named`: its digest;
    `clock`: the agreed one. An order that is invalid beside what holds is settled as refused."""
    if (refused := held.get((REFUSED, named))) is not None:
        status, reason, _ = refused.content
        return {}, Failure(reason, status)
    newer = merge(held, order)
    if isinstance(newer, Failure):
        return {}, newer
    theirs = {key: item for key, item in newer.items() if item.kind in THEIRS}
    against = consistent(held, theirs) if theirs else None
    if against is None:
        return newer, True
    rows = refusals(held, named, against, clock)
    if isinstance(rows, Failure):
        return {}, rows
    return rows, against


def refusals(
    held: Mapping[Key, Item], named: str, against: Failure, clock: float
) -> dict[Key, Item] | Failure:
    """The items by which an order is known as refused, old ones collected; a failure where too many are
    known: one that is not remembered would be no refusal."""
    known = [item.content[2] for item in held.values() if item.kind == REFUSED]
    rows = {
        (REFUSED, named): Item(REFUSED, named, 1, [against.status, against.reason[:200], round(clock, 3)])
    }
    least = clock - REFUSED_KEPT_S
    if len(known) >= REFUSED_MOST // 8 and min(known) < least:
        before = held.get((KEPT, REFUSED))
        version = before.version + 1 if before is not None else 1
        rows[KEPT, REFUSED] = Item(KEPT, REFUSED, version, {"t": round(least, 3)})
        known = [t for t in known if t >= least]
    if len(known) >= REFUSED_MOST:
        return outcome_unknown("too many orders were refused within the last hour to remember another")
    return rows


def collectable(held: Mapping[Key, Item], at: Mapping[Key, tuple]) -> dict[Key, Item]:
    """The item by which the oldest of too many dropped items are forgotten; `at`: by key, the ballot at which
    each changed. Below its floor an unknown name is neither confirmed nor refused any more."""
    dropped = [item for item in held.values() if item.kind in THEIRS and item.content is None]
    if len(dropped) <= DROPPED_MOST:
        return {}
    dropped.sort(key=lambda item: (at[item.key], item.version))
    oldest = dropped[: len(dropped) - DROPPED_REST]
    before = held.get((KEPT, "dropped"))
    floor = max([item.version for item in oldest] + ([before.content["floor"]] if before else []))
    proposal_number = max(at[item.key] for item in oldest)
    version = before.version + 1 if before is not None else 1
    return {(KEPT, "dropped"): Item(KEPT, "dropped", version, {"floor": floor, "at": list(proposal_number)})}
