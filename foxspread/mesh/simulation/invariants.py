"""Invariants, judged only from what operators were told and what copies showed."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import orjson

from foxspread.mesh.configuration.consistency import find_inconsistency
from foxspread.mesh.configuration.items import LEASE, MEMBERS, Item, Key, is_for_sidecars
from foxspread.mesh.errors import Failure

ANSWERED_S = 4.0  # a call at a machine without trouble is answered within this
FRESH_S = 4.0  # nothing is told, and nobody says ready, by what lacks something acknowledged longer ago
BACK_S = 5.0  # after its trouble is over a machine answers a read by itself within this
PAST_KEPT = 32  # an order that so many newer numbers have overtaken may be left without a clear answer


@dataclass(eq=False)
class Call:
    """One call of an operator, through all its tries; without items a read."""

    number: int
    items: tuple[Item, ...]
    began: float
    tries: list[tuple[float, str]] = field(default_factory=list)
    ended: float | None = None  # when its operator had a clear answer
    said: float | None = None  # when one was first on its way, lost or not
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
        said = f":{item.content['tag'] if 'tag' in item.content else item.content}"
    return f"{item.name}@r{item.version}({said})"


def _same(item: Item) -> tuple[Key, int, bytes]:
    return item.key, item.version, orjson.dumps(item.content, option=orjson.OPT_SORT_KEYS)


@dataclass
class Return:
    """A machine whose trouble is over, and when it first answered a read by itself."""

    machine: str
    since: float
    served: float | None = None


@dataclass
class Order:
    """What anyone was told about one order: the same items, however often and wherever it was sent."""

    items: tuple[Item, ...]
    taken: list[str] = field(default_factory=list)  # where and when
    refused: list[str] = field(default_factory=list)


class Judge:
    def __init__(self) -> None:
        self.breaks: list[Break] = []
        self.now = 0.0
        self.copies: dict[str, dict[Key, Item]] = {}  # what each life of each copy shows
        self.contents: dict[tuple[Key, int], tuple[bytes, str]] = {}  # the one that was settled, seen where
        self.seen: set[tuple[Key, int, bytes]] = set()
        self.versions: dict[Key, set[int]] = {}  # that were in force or confirmed
        self.confirmed: dict[tuple[Key, int], tuple[bytes, str]] = {}  # acknowledged or read, and by whom
        self.acknowledged: dict[Key, Item] = {}  # the newest of each item that was acknowledged or read
        self.known_since: list[tuple[float, Item]] = []  # each as it became the newest
        self.ripe, self.least = 0, {}  # of these, how many nobody may lack any more, and the newest of each
        self.sets: dict[int, set[str]] = {}  # members by epoch
        self.acting: dict[int, str] = {}  # by the number of the lease
        self.orders: dict[frozenset, Order] = {}
        self.returned: list[Return] = []
        self.calls: list[Call] = []
        self.troubles: list[list[Any]] = []  # from, to or None, a machine or None for all

    def broken(self, rule: str, text: str) -> None:
        if all(each.rule != rule for each in self.breaks):
            self.breaks.append(Break(rule, text, self.now))

    # What copies show.

    def started(self, learner: str) -> None:
        self.copies[learner] = {}

    def shows(self, learner: str, new: Iterable[Item]) -> None:
        held = self.copies[learner]
        before, changed = dict(held), {}
        for item in new:
            same = _same(item)
            self.seen.add(same)
            self.versions.setdefault(item.key, set()).add(item.version)
            first = self.contents.setdefault(same[:2], (same[2], learner))
            other = self.confirmed.get(same[:2], first)
            for what in (first, other):
                if what[0] != same[2]:
                    self.broken("one content", f"{shown(item)} at {learner}, another content at {what[1]}")
            old = held.get(item.key)
            if old is not None and old.version > item.version:
                self.broken("no way back", f"{learner} showed {shown(old)}, then {shown(item)}")
            held[item.key] = changed[item.key] = item
            if item.kind == MEMBERS:
                self._one_step(learner, item)
        if changed and (why := find_inconsistency(before, changed)) is not None:
            self.broken("consistent", f"{learner}: {why.reason}")

    def _one_step(self, learner: str, item: Item) -> None:
        """The set of members changes by one machine at a time."""
        self.sets[item.version] = set(item.content["of"])
        if item.version > 1 and item.version - 1 not in self.sets:
            self.broken(
                "one at a time", f"{learner}: members r{item.version}, and nobody showed the one before"
            )
        for one in (item.version - 1, item.version):
            old, new = self.sets.get(one), self.sets.get(one + 1)
            if old is not None and new is not None and len(old ^ new) != 1:
                self.broken("one at a time", f"{learner}: members {sorted(old)}, then {sorted(new)}")

    def acted(self, machine: str, items: list[Item], outcome: bool | Failure) -> None:
        """One that does a duty was told so of the lease that it named."""
        for item in items:
            if item.kind == LEASE and outcome is True:
                other = self.acting.setdefault(item.version, machine)
                if other != machine:
                    self.broken(
                        "one holder", f"lease {item.version} was acted on by {other} and by {machine}"
                    )

    def tells(self, learner: str, what: str, items: dict[Key, Item]) -> None:
        """It shows, tells or says something by what it holds: all is there that was known `FRESH_S` ago."""
        while self.ripe < len(self.known_since) and self.known_since[self.ripe][0] <= self.now - FRESH_S:
            item = self.known_since[self.ripe][1]
            self.least[item.key] = item
            self.ripe += 1
        for key, item in self.least.items():
            held = items.get(key)
            if held is None or held.version < item.version:
                has = shown(held) if held is not None else "nothing"
                self.broken("nothing old", f"{learner} {what} by {has}: {shown(item)} was known long before")

    # What operators are told.

    def floor(self) -> dict[Key, Item]:
        """What a read that begins now may not fall behind."""
        return dict(self.acknowledged)

    def ended(self, call: Call, outcome: bool | Failure) -> None:
        call.ended, call.outcome = self.now, outcome

    def said(self, items: tuple[Item, ...], outcome: bool | Failure, by: str) -> None:
        """A clear answer to an order, or to a copy of it, whoever reads it: one for good."""
        if not items or (isinstance(outcome, Failure) and outcome.status >= 500):
            return
        key = frozenset(map(_same, items))
        order = self.orders.setdefault(key, Order(items))
        where = f"{by} at {self.now:.3f}"
        if outcome is True:
            order.taken.append(where)
            for item in items:
                self._known(item, by)
        else:
            order.refused.append(f"{where} ({outcome.reason})")
        if order.taken and order.refused:
            what = " ".join(map(shown, items))
            self.broken("one answer", f"{what}: taken by {order.taken[0]}, refused by {order.refused[0]}")

    def read(self, call: Call, floor: dict[Key, Item], at: str, items: dict[Key, Item]) -> None:
        for key, least in floor.items():
            item = items.get(key)
            if item is None or item.version < least.version:
                has = shown(item) if item is not None else "nothing"
                self.broken("nothing lost", f"{call} at {at} began after {shown(least)} was known: has {has}")
        for item in items.values():
            self._known(item, at)

    def _known(self, item: Item, by: str) -> None:
        """One content for each number, for good: also of one that a newer one has overtaken."""
        key, version, content = _same(item)
        for ledger, what in ((self.confirmed, "confirmed"), (self.contents, "in force")):
            other = ledger.get((key, version))
            if other is not None and other[0] != content:
                self.broken("one content", f"{shown(item)} by {by}, another was {what} at {other[1]}")
        self.confirmed.setdefault((key, version), (content, by))
        self.versions.setdefault(key, set()).add(version)
        old = self.acknowledged.get(item.key)
        if old is None or old.version < item.version:
            self.acknowledged[item.key] = item
            self.known_since.append((self.now, item))

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
        shown_by = {
            learner: {
                key: item for key, item in self.copies.get(learner, {}).items() if is_for_sidecars(item)
            }
            for learner in current
        }
        newest: dict[Key, Item] = {}
        for held in shown_by.values():
            for key, item in held.items():
                if key not in newest or newest[key].version < item.version:
                    newest[key] = item
        for learner, held in shown_by.items():
            if held != newest:
                lacks = [shown(item) for key, item in newest.items() if held.get(key) != item]
                self.broken("all alike", f"{learner} lacks {', '.join(lacks)}")

    def back(self, machine: str) -> Return:
        """Its trouble is over."""
        row = Return(machine, self.now)
        self.returned.append(row)
        return row

    def close(self) -> None:
        self._refused()
        self._answered()
        self._returned()

    def _refused(self) -> None:
        """What was refused once never comes into force, by whatever copy of it."""
        refused: dict[tuple[Key, int, bytes], Order] = {}
        for order in self.orders.values():
            if order.refused:
                refused.update((_same(item), order) for item in order.items)
        for call in self.calls:
            order = self.orders.get(frozenset(map(_same, call.items)))
            if order is None or not order.refused:
                for item in call.items:
                    refused.pop(_same(item), None)
        for same, order in refused.items():
            if same in self.seen:
                what = " ".join(map(shown, order.items))
                self.broken("refused is nowhere", f"{what}: refused by {order.refused[0]}, and was in force")

    def _answered(self) -> None:
        for call in self.calls:
            for began, machine in call.tries:
                until = began + ANSWERED_S
                if until <= self.now and not self._troubled(machine, began, until):
                    said = call.ended if call.said is None else call.said
                    if (said is None or said > until) and not self._too_old(call):
                        self.broken("answered", f"{call} at {machine} at {began:.3f}: no answer in time")
                    break

    def _too_old(self, call: Call) -> bool:
        """So many newer numbers were confirmed that what held under one of its own need not be known."""
        return any(
            sum(each > item.version for each in self.versions.get(item.key, ())) >= PAST_KEPT
            for item in call.items
        )

    def _returned(self) -> None:
        for row in self.returned:
            until = row.since + BACK_S
            if until > self.now or self._troubled(row.machine, row.since + 1e-6, until):
                continue
            if row.served is None or row.served > until:
                self.broken("of use again", f"{row.machine} is back at {row.since:.3f}: no answer in time")

    def _troubled(self, machine: str, began: float, until: float) -> bool:
        return any(
            whom in (None, machine) and since < until and (end is None or end > began)
            for since, end, whom in self.troubles
        )
