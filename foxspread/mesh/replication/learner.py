"""A copy of the settled set, as every sidecar holds one: items, each with the ballot at which it changed,
and the ballot up to which all is known. What a copy lacks is what has changed since the ballot that it
tells; it is told in pieces, in the order of ballots (docs/design/catching-up.md).
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import orjson

from foxspread.mesh.configuration.items import KEPT, REFUSED, THEIRS, Item, Key, for_all, unpack_item
from foxspread.mesh.errors import InvariantViolation

ProposalNumber = tuple[int, str]  # a number, and the life of the process that chose it: no two alike
NONE: ProposalNumber = (0, "")
Row = list  # kind, name, version, content, number and life of the ballot; what is past, where anything is
Offset = tuple[ProposalNumber, Key]  # of a row in the order of ballots, within one ballot of keys
LAST: Key = ("\U0010ffff", "")  # after each key of a ballot
START: Offset = (NONE, LAST)
PIECE_BYTES = 64 * 1024  # of rows as JSON in one piece; a larger row goes alone
STALE_MOST = 64  # places that no row stands at any more, beside as many as there are rows


def unpack_proposal_number(told: list | tuple) -> ProposalNumber:
    return int(told[0]), str(told[1])


def pack_row(item: Item, at: ProposalNumber) -> Row:
    packed = item.packed()
    return [*packed[:4], *at, *packed[4:]]


def unpack_row(told: Row) -> tuple[Item, ProposalNumber]:
    return unpack_item([*told[:4], *told[6:]]), (told[4], told[5])


def offset_of(told: Row) -> Offset:
    return (told[4], told[5]), (told[0], told[1])


def end_of_proposal(committed_number: ProposalNumber) -> Offset:
    """Where all that changed up to and at that ballot has been passed."""
    return committed_number, LAST


def pack_offset(place: Offset) -> list | None:
    """Number and life; with kind and name where not all of that ballot has been passed. None: the start."""
    at, key = place
    if place == START:
        return None
    return [*at] if key == LAST else [*at, *key]


def unpack_offset(told: list | None) -> Offset:
    return (
        START
        if told is None
        else (unpack_proposal_number(told), (str(told[2]), str(told[3])) if len(told) > 2 else LAST)
    )


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """What a teller has after a place, as far as it goes into one message."""

    rows: list[Row]
    committed_number: ProposalNumber  # of the teller: with no more to come, all up to it has been passed
    more: bool
    horizon: ProposalNumber  # of the teller: what was dropped up to it may be gone without a trace
    digest: str

    def packed(self) -> dict[str, Any]:
        told = {"rows": self.rows, "upto": self.committed_number, "more": self.more, "digest": self.digest}
        return told if self.horizon == NONE else {**told, "horizon": self.horizon}


def chunk_digest(
    rows: list[Row], after: Offset, committed_number: ProposalNumber, more: bool, horizon: ProposalNumber
) -> str:
    """A digest of all that a piece says, and of where it begins."""
    body = orjson.dumps([rows, after, committed_number, more, horizon])
    return blake2b(body, digest_size=12).hexdigest()


class Learner:
    def __init__(self) -> None:
        self.committed_number: ProposalNumber = NONE
        self.items: dict[Key, Item] = {}
        self.at: dict[Key, ProposalNumber] = {}  # what changed last stands last
        self.order: list[Offset] = []  # of all in `at`, sorted; some stale
        self.floor = 0  # items dropped at no higher version and no later than `horizon` are collected
        self.horizon: ProposalNumber = NONE
        self.clock = 0  # the agreed clock: the largest time that any item has told
        self.refused_since = 0  # orders refused before that, by this clock, are collected
        self.collected: list[Key] = []  # not held since the last `fold` or `replace`: a disk drops their rows

    def fold(
        self, committed_number: ProposalNumber, rows: Iterable[tuple[Item, ProposalNumber]]
    ) -> list[Item]:
        """All that changed since `upto` was last folded, at the least; returns what is new here. A version
        never falls: agreed values only grow, and one that does not breaks all that stands on this."""
        new: list[Item] = []
        self.collected = []
        for item, at in sorted(rows, key=lambda each: (each[1], each[0].key)):
            if not self.committed_number < at <= committed_number:
                continue
            old = self.items.get(item.key)
            if old is not None and old.version > item.version:
                raise InvariantViolation(
                    f"{item.key}: r{old.version} was settled before r{item.version} at {at}"
                )
            if old is not None and _differs(old, item):
                raise InvariantViolation(f"{item.key}: two contents of r{item.version} were settled")
            if self._put(item, at) and (old is None or old.version != item.version):
                new.append(item)
        self.committed_number = max(self.committed_number, committed_number)
        if self.collected:
            self.collected = [key for key in dict.fromkeys(self.collected) if key not in self.items]
        return new

    def replace(
        self, committed_number: ProposalNumber, rows: Iterable[tuple[Item, ProposalNumber]]
    ) -> list[Item]:
        """A whole set in the place of this one, which knows too little of what was dropped: what is not in it
        is gone, and told first, as dropped. Nothing, where this copy is as new."""
        if committed_number <= self.committed_number:
            self.collected = []
            return []
        fresh = Learner()
        new = fresh.fold(committed_number, rows)
        gone = [old for key, old in self.items.items() if key not in fresh.items]
        for key, item in fresh.items.items():
            old = self.items.get(key)
            if old is not None and (old.version > item.version or _differs(old, item)):
                raise InvariantViolation(
                    f"{key}: r{old.version} was settled, and now r{item.version} with the whole set"
                )
        held = self.items
        self.__dict__.update(vars(fresh))
        self.collected = [*fresh.collected, *(old.key for old in gone)]
        dropped = [
            Item(*old.key, old.version, None)
            for old in gone
            if old.content is not None and old.kind in THEIRS
        ]
        return dropped + [
            each for each in new if each.key not in held or held[each.key].version != each.version
        ]

    def since(self, proposal_number: ProposalNumber) -> list[tuple[Item, ProposalNumber]]:
        return list(self._since(proposal_number))[::-1]

    def _since(self, proposal_number: ProposalNumber) -> Iterator[tuple[Item, ProposalNumber]]:
        for key in reversed(self.at):
            if self.at[key] <= proposal_number:
                return
            yield self.items[key], self.at[key]

    def piece(self, after: Offset = START, most: int = PIECE_BYTES, bare: bool = False) -> SnapshotChunk:
        """What stands after that place, up to about `most` bytes of JSON; `bare`: as machines without a disk
        are told it."""
        rows, size, more = [], 0, False
        for number in range(bisect_right(self.order, after), len(self.order)):
            at, key = self.order[number]
            if self.at.get(key) != at:
                continue
            item = self.items[key]
            if bare:
                if not for_all(item):
                    continue
                item = item.bare
            told = pack_row(item, at)
            size += len(orjson.dumps(told))
            if rows and size > most:
                more = True
                break
            rows.append(told)
        return SnapshotChunk(
            rows,
            self.committed_number,
            more,
            self.horizon,
            chunk_digest(rows, after, self.committed_number, more, self.horizon),
        )

    def _put(self, item: Item, at: ProposalNumber) -> bool:
        """Whether it is held from now on."""
        if item.kind == KEPT:
            self._collect(item, at)
        elif item.kind == REFUSED:
            self.clock = max(self.clock, item.content[2])
            if item.content[2] < self.refused_since:
                self._gone(item.key)
                return False
        self.items[item.key] = item
        self.at.pop(item.key, None)
        self.at[item.key] = at
        self.order.append((at, item.key))
        if len(self.order) > 2 * len(self.at) + STALE_MOST:
            self.order = [(at, key) for key, at in self.at.items()]
        return True

    def _collect(self, kept: Item, at: ProposalNumber) -> None:
        """By rules that each copy follows at the same ballot, and that ask nothing but the settled set."""
        if kept.name == "refused":
            self.refused_since = kept.content["t"]
            self.clock = max(self.clock, self.refused_since)
            gone = [
                key
                for key, item in self.items.items()
                if item.kind == REFUSED and item.content[2] < self.refused_since
            ]
        elif kept.name == "dropped":
            self.floor, self.horizon = (
                kept.content["floor"],
                min(unpack_proposal_number(kept.content["at"]), at),
            )
            gone = [
                key
                for key, item in self.items.items()
                if item.content is None and item.version <= self.floor and self.at[key] <= self.horizon
            ]
        else:
            return
        for key in gone:
            self._gone(key)

    def _gone(self, key: Key) -> None:
        if self.items.pop(key, None) is not None:
            del self.at[key]
        self.collected.append(key)


def _differs(old: Item, new: Item) -> bool:
    """An order refused anew once its first refusal was collected has another time under the same version."""
    return old.version == new.version and old.content != new.content and old.kind != REFUSED
