"""Who votes: the agreed sets of members, and what makes a quorum of them. Pure.

A set has a number, its epoch. What is chosen under one set wants a majority of it; what changes the set wants
a majority of the old and of the new one, so that whoever knows only the old set meets the change. The set
changes by one machine at a time, and by the next only once the last change is settled: docs/design/members.md
has the argument, and the example that speaks against counting the new set alone.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from foxspread.mesh.configuration.items import MEMBERS, Item


@dataclass(frozen=True, slots=True)
class MemberSet:
    epoch: int
    of: tuple[str, ...]  # in order

    @property
    def majority(self) -> int:
        return len(self.of) // 2 + 1

    def __contains__(self, name: str) -> bool:
        return name in self.of


def member_set_of(item: Item) -> MemberSet:
    return MemberSet(item.version, tuple(sorted(item.content["of"])))


def membership_change(held: MemberSet, of: Iterable[str], disks: Mapping[str, list] | None = None) -> Item:
    """The item that a change to that set is proposed as."""
    return Item(MEMBERS, MEMBERS, held.epoch + 1, {"of": sorted(of), "disks": dict(disks or {})})


def differs_by_one(old: MemberSet, new: MemberSet) -> bool:
    """One machine in or out."""
    return len(set(old.of) ^ set(new.of)) == 1 and bool(new.of)


def is_quorum(sets: Iterable[MemberSet], names: Collection[str]) -> bool:
    """Whether these are a majority of each of the sets."""
    return all(sum(name in names for name in each.of) >= each.majority for each in sets)


def enrolment_quorum(members: MemberSet, me: str) -> int:
    """So many others meet each majority that `me`'s forgotten disk was or may become part of."""
    size = len({*members.of, me})
    return size - (size // 2 + 1) + 1
