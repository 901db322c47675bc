"""Invariants, judged only from what operators were told and what copies showed."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from foxspread.orchard.configuration.items import Item, Key, consistent
from foxspread.orchard.outcome import Failure

ANSWERED_S = 4.0  # a call at a machine without trouble is answered within this


@dataclass(eq=False)
class Call:
    """One call of an operator, through all its tries; without items a read."""

    number: int
    items: tuple[Item, ...]
    began: float
    tries: list[tuple[float, str]] = field(default_factory=list)
    ended: float | None = None
    outcome: bool | Failure | None = None

    def __str__(self) -> str:
        what = " ".join(shown(item) for item in self.items) or "read"
        return f"#{self.number} {what}"


@dataclass(frozen=True)
class Break:
    rule: str
    text: str
    at: float


def shown(item: Item) -> str:
    if item.content is None:
        said = "dropped"
    elif item.kind == "route":
        rule = item.content["rule"]
        said = f"{rule['sorting']['postcode']}>{rule['dispatch']['service']}:{rule['tag']}"
    else:
        said = f":{item.content['tag']}"
    return f"{item.name}@r{item.version}({said})"


def _same(item: Item) -> tuple[Key, int, bytes]:
    return item.key, item.version, orjson.dumps(item.content, option=orjson.OPT_SORT_KEYS)


class Judge:
    def __init__(self) -> None:
        self.breaks: list[Break] = []
        self.now = 0.0
        self.copies: dict[str, dict[Key, Item]] = {}  # what each life of each copy shows
        self.contents: dict[tuple[Key, int], tuple[bytes, str]] = {}  # the one that was settled, seen where
        self.seen: set[tuple[Key, int, bytes]] = set()
        self.newest: dict[Key, int] = {}  # of those that copies showed
        self.acknowledged: dict[Key, Item] = {}  # the newest of each item that was acknowledged or read
        self.calls: list[Call] = []
        self.troubles: list[list[Any]] = []  # from, to or None, a machine or None for all

    def broken(self, rule: str, text: str) -> None:
        if all(each.rule != rule for each in self.breaks):
            self.breaks.append(Break(rule, text, self.now))

    # What copies show.

    def started(self, copy: str) -> None:
        self.copies[copy] = {}

    def shows(self, copy: str, new: Iterable[Item]) -> None:
        held = self.copies[copy]
        before, changed = dict(held), {}
        for item in new:
            same = _same(item)
            self.seen.add(same)
            self.newest[item.key] = max(item.version, self.newest.get(item.key, 0))
            first = self.contents.setdefault(same[:2], (same[2], copy))
            if first[0] != same[2]:
                self.broken(
                    "one content", f"{shown(item)} at {copy}, another content was in force at {first[1]}"
                )
            old = held.get(item.key)
            if old is not None and old.version > item.version:
                self.broken("no way back", f"{copy} showed {shown(old)}, then {shown(item)}")
            held[item.key] = changed[item.key] = item
        if changed and (why := consistent(before, changed)) is not None:
            self.broken("consistent", f"{copy}: {why.reason}")

    # What operators are told.

    def floor(self) -> dict[Key, Item]:
        """What a read that begins now may not fall behind."""
        return dict(self.acknowledged)

    def ended(self, call: Call, outcome: bool | Failure) -> None:
        call.ended, call.outcome = self.now, outcome
        if outcome is True:
            for item in call.items:
                self._known(item)

    def read(self, call: Call, floor: dict[Key, Item], at: str, items: dict[Key, Item]) -> None:
        for key, least in floor.items():
            item = items.get(key)
            if item is None or item.version < least.version:
                has = shown(item) if item is not None else "nothing"
                self.broken("nothing lost", f"{call} at {at} began after {shown(least)} was known: has {has}")
        for item in items.values():
            self._known(item)

    def _known(self, item: Item) -> None:
        """An old version is acknowledged whatever it holds, once a newer one is in force."""
        old = self.acknowledged.get(item.key)
        if old is None or old.version < item.version:
            self.acknowledged[item.key] = item
        elif (
            old.version == item.version
            and _same(old) != _same(item)
            and self.newest.get(item.key, 0) <= item.version
        ):
            self.broken("one content", f"{shown(item)} and {shown(old)} were both acknowledged or read")

    # At the end.

    def trouble(self, machine: str | None) -> list[Any]:
        row = [self.now, None, machine]
        self.troubles.append(row)
        return row

    def over(self, row: list[Any]) -> None:
        if row[1] is None:
            row[1] = self.now

    def alike(self, current: Iterable[str]) -> None:
        """All has been whole for a while: the copies that live show the same."""
        shown_by = {copy: self.copies.get(copy, {}) for copy in current}
        newest: dict[Key, Item] = {}
        for held in shown_by.values():
            for key, item in held.items():
                if key not in newest or newest[key].version < item.version:
                    newest[key] = item
        for copy, held in shown_by.items():
            if held != newest:
                lacks = [shown(item) for key, item in newest.items() if held.get(key) != item]
                self.broken("all alike", f"{copy} lacks {', '.join(lacks)}")

    def close(self) -> None:
        self._refused()
        self._answered()

    def _refused(self) -> None:
        users: dict[tuple[Key, int, bytes], list[Call]] = {}
        for call in self.calls:
            for item in call.items:
                users.setdefault(_same(item), []).append(call)
        for same, calls in users.items():
            if same in self.seen and all(_refused(call) for call in calls):
                why = calls[0].outcome.reason
                self.broken("refused is nowhere", f"{calls[0]} was refused ({why}) and was in force")

    def _answered(self) -> None:
        for call in self.calls:
            for began, machine in call.tries:
                until = began + ANSWERED_S
                if until <= self.now and not self._troubled(machine, began, until):
                    if call.ended is None or call.ended > until:
                        self.broken("answered", f"{call} at {machine} at {began:.3f}: no answer in time")
                    break

    def _troubled(self, machine: str, began: float, until: float) -> bool:
        return any(
            whom in (None, machine) and since < until and (end is None or end > began)
            for since, end, whom in self.troubles
        )


def _refused(call: Call) -> bool:
    return isinstance(call.outcome, Failure) and call.outcome.status < 500
