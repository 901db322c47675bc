"""The committed set of items, which every process holds (a learner in the terms of Paxos).

Each item has the number of the proposal that changed it last, and the set has the number up to which it is
complete. A learner therefore lacks exactly the items that changed after its own number; it reads them in the
order of proposal numbers, in chunks (docs/design/catching-up.md).
"""

from bisect import bisect_right
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any, NamedTuple

import orjson

from foxspread.mesh.configuration.items import (
    COLLECTED_AT,
    COMPACTION,
    FLOOR,
    OPERATOR_KINDS,
    REFUSALS,
    REFUSED,
    REFUSED_BEFORE,
    TOMBSTONES,
    Item,
    Key,
    Refusal,
    is_for_sidecars,
    unpack_item,
)
from foxspread.mesh.errors import InvariantViolation

ProposalNumber = tuple[int, str]  # a counter and the incarnation of the proposer, which make it unique
NO_PROPOSAL: ProposalNumber = (0, "")  # lower than the number of every proposal
# A packed committed item: kind, name, version, content, both parts of the proposal number and, if the item
# has any, its superseded versions.
Row = list[Any]
Offset = tuple[ProposalNumber, Key]  # a position in the order of proposal numbers, then of keys
LAST_KEY: Key = ("\U0010ffff", "")  # sorts after every key
START_OFFSET: Offset = (NO_PROPOSAL, LAST_KEY)
CHUNK_LIMIT_BYTES = 64 * 1024  # limit on the rows of a chunk, as JSON; a larger row is sent alone
STALE_OFFSETS_LIMIT = 64  # stale offsets that are kept in addition to one for each row


class CommittedItem(NamedTuple):
    """An item, and the number of the proposal that changed it last."""

    item: Item
    proposal_number: ProposalNumber


def unpack_proposal_number(packed: Sequence[Any]) -> ProposalNumber:
    """Decodes a proposal number from JSON, which has lists in place of tuples."""
    return int(packed[0]), str(packed[1])


def pack_row(item: Item, proposal_number: ProposalNumber) -> Row:
    """Encodes a committed item as it is sent and stored."""
    packed = item.packed()
    return [*packed[:4], *proposal_number, *packed[4:]]


def unpack_row(row: Row) -> CommittedItem:
    """Decodes the output of `pack_row`."""
    return CommittedItem(unpack_item([*row[:4], *row[6:]]), (row[4], row[5]))


def offset_of(row: Row) -> Offset:
    """Returns the offset of a row."""
    return (row[4], row[5]), (row[0], row[1])


def end_of_proposal(committed_number: ProposalNumber) -> Offset:
    """Returns the offset after all rows that changed with that proposal or an earlier one."""
    return committed_number, LAST_KEY


def pack_offset(offset: Offset) -> list[Any] | None:
    """Encodes an offset: both parts of the proposal number, then kind and name; None is the start."""
    proposal_number, key = offset
    if offset == START_OFFSET:
        return None
    return [*proposal_number] if key == LAST_KEY else [*proposal_number, *key]


def unpack_offset(packed: list[Any] | None) -> Offset:
    """Decodes the output of `pack_offset`."""
    if packed is None:
        return START_OFFSET
    key = (str(packed[2]), str(packed[3])) if len(packed) > 2 else LAST_KEY
    return unpack_proposal_number(packed), key


@dataclass(frozen=True, slots=True)
class SnapshotChunk:
    """The rows after an offset, as many as fit in one message."""

    rows: list[Row]
    committed_number: ProposalNumber  # the source's; if not `more`, the chunk has all rows up to it
    more: bool  # whether rows follow in another chunk
    horizon: ProposalNumber  # the source's; it may have collected items that were dropped up to this number
    digest: str


def chunk_digest(
    rows: list[Row], after: Offset, committed_number: ProposalNumber, more: bool, horizon: ProposalNumber
) -> str:
    """Returns a digest of all fields of a chunk, and of the offset that its rows follow."""
    body = orjson.dumps([rows, after, committed_number, more, horizon])
    return blake2b(body, digest_size=12).hexdigest()


class Learner:
    """A committed set, which only moves to newer states.

    `apply` adds rows that were committed since; `replace` substitutes a newer complete set.
    """

    def __init__(self) -> None:
        self.committed_number: ProposalNumber = NO_PROPOSAL
        self.items: dict[Key, Item] = {}
        self.changed_at: dict[Key, ProposalNumber] = {}  # in order of changes, newest last
        self.offsets: list[Offset] = []  # sorted offsets of all entries of `changed_at`, and stale ones
        # Items that were dropped at a version up to the floor by a proposal up to the horizon are collected.
        self.version_floor = 0
        self.horizon: ProposalNumber = NO_PROPOSAL
        self.clock: float = 0  # the agreed clock: the latest time in any item
        self.refused_since: float = 0  # refusals before this time of the agreed clock are collected
        self.collected: list[Key] = []  # keys removed by the last `apply` or `replace`, to delete in storage

    def apply(self, committed_number: ProposalNumber, rows: Iterable[CommittedItem]) -> list[Item]:
        """Adds rows, which include at least everything that changed after `self.committed_number`.

        Returns the items whose version is new here. Raises `InvariantViolation` if a version decreases or has
        two contents: committed values only grow.
        """
        new: list[Item] = []
        self.collected = []
        for item, proposal_number in sorted(rows, key=lambda row: (row[1], row[0].key)):
            if not self.committed_number < proposal_number <= committed_number:
                continue
            old = self.items.get(item.key)
            if old is not None and old.version > item.version:
                raise InvariantViolation(
                    f"{item.key}: version {item.version} was committed at {proposal_number}"
                    f" after version {old.version}"
                )
            if old is not None and _contents_differ(old, item):
                raise InvariantViolation(f"{item.key}: two contents of version {item.version} were committed")
            if self._add(item, proposal_number) and (old is None or old.version != item.version):
                new.append(item)
        self.committed_number = max(self.committed_number, committed_number)
        if self.collected:
            self.collected = [key for key in dict.fromkeys(self.collected) if key not in self.items]
        return new

    def replace(self, committed_number: ProposalNumber, rows: Iterable[CommittedItem]) -> list[Item]:
        """Replaces this set, which may have items whose tombstones the sources collected, by a complete one.

        Returns the removed items as dropped, followed by the items whose version is new here. Does nothing
        if this set is as new. Raises `InvariantViolation` like `apply`.
        """
        if committed_number <= self.committed_number:
            self.collected = []
            return []
        fresh = Learner()
        new = fresh.apply(committed_number, rows)
        old_items = self.items
        for key, item in fresh.items.items():
            old = old_items.get(key)
            if old is not None and (old.version > item.version or _contents_differ(old, item)):
                raise InvariantViolation(
                    f"{key}: the complete set has version {item.version},"
                    f" which contradicts version {old.version} here"
                )
        removed = [old for key, old in old_items.items() if key not in fresh.items]
        self.__dict__.update(vars(fresh))
        self.collected = [*fresh.collected, *(old.key for old in removed)]
        return _as_dropped(removed) + [item for item in new if _is_new_version(old_items.get(item.key), item)]

    def changed_since(self, proposal_number: ProposalNumber) -> list[CommittedItem]:
        """Returns the items that changed after that proposal, the oldest change first."""
        return list(self._newest_first(proposal_number))[::-1]

    def _newest_first(self, proposal_number: ProposalNumber) -> Iterator[CommittedItem]:
        for key in reversed(self.changed_at):
            if self.changed_at[key] <= proposal_number:
                return
            yield CommittedItem(self.items[key], self.changed_at[key])

    def chunk(
        self, after: Offset = START_OFFSET, limit_bytes: int = CHUNK_LIMIT_BYTES, for_sidecars: bool = False
    ) -> SnapshotChunk:
        """Returns the rows after that offset, up to about `limit_bytes` of JSON.

        With `for_sidecars`, it leaves out what processes without storage do not need.
        """
        rows: list[Row] = []
        size, more = 0, False
        for index in range(bisect_right(self.offsets, after), len(self.offsets)):
            proposal_number, key = self.offsets[index]
            if self.changed_at.get(key) != proposal_number:
                continue
            item = self.items[key]
            if for_sidecars:
                if not is_for_sidecars(item):
                    continue
                item = item.without_history
            row = pack_row(item, proposal_number)
            size += len(orjson.dumps(row))
            if rows and size > limit_bytes:
                more = True
                break
            rows.append(row)
        digest = chunk_digest(rows, after, self.committed_number, more, self.horizon)
        return SnapshotChunk(rows, self.committed_number, more, self.horizon, digest)

    def _add(self, item: Item, proposal_number: ProposalNumber) -> bool:
        """Adds an item to the set; returns False if it is collected at once."""
        if item.kind == COMPACTION:
            self._collect_garbage(item, proposal_number)
        elif item.kind == REFUSED:
            refused_at = Refusal.from_item(item).refused_at
            self.clock = max(self.clock, refused_at)
            if refused_at < self.refused_since:
                self._delete(item.key)
                return False
        self.items[item.key] = item
        self.changed_at.pop(item.key, None)
        self.changed_at[item.key] = proposal_number
        self.offsets.append((proposal_number, item.key))
        if len(self.offsets) > 2 * len(self.changed_at) + STALE_OFFSETS_LIMIT:
            self.offsets = [(number, key) for key, number in self.changed_at.items()]
        return True

    def _collect_garbage(self, compaction: Item, proposal_number: ProposalNumber) -> None:
        """Removes the items that a compaction item covers.

        The rule depends only on the committed set, so every learner removes the same items at the same
        proposal.
        """
        if compaction.name == REFUSALS:
            self.refused_since = compaction.content[REFUSED_BEFORE]
            self.clock = max(self.clock, self.refused_since)
            garbage = [
                key
                for key, item in self.items.items()
                if item.kind == REFUSED and Refusal.from_item(item).refused_at < self.refused_since
            ]
        elif compaction.name == TOMBSTONES:
            self.version_floor = compaction.content[FLOOR]
            self.horizon = min(unpack_proposal_number(compaction.content[COLLECTED_AT]), proposal_number)
            garbage = [
                key
                for key, item in self.items.items()
                if item.content is None
                and item.version <= self.version_floor
                and self.changed_at[key] <= self.horizon
            ]
        else:
            return
        for key in garbage:
            self._delete(key)

    def _delete(self, key: Key) -> None:
        if self.items.pop(key, None) is not None:
            del self.changed_at[key]
        self.collected.append(key)


def _contents_differ(old: Item, new: Item) -> bool:
    """Tells whether the items have the same version but different contents.

    Refusals are exempt: one that is made again after the first was collected has another time under the same
    version.
    """
    return old.version == new.version and old.content != new.content and old.kind != REFUSED


def _is_new_version(old: Item | None, new: Item) -> bool:
    return old is None or old.version != new.version


def _as_dropped(removed: list[Item]) -> list[Item]:
    """Returns the operator's items among these, each as dropped at its version."""
    return [
        Item(*old.key, old.version, None)
        for old in removed
        if old.content is not None and old.kind in OPERATOR_KINDS
    ]
