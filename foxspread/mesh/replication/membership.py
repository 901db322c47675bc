"""Member sets, which say which replicas vote, and their quorums. Pure functions.

A set has an epoch. A value is chosen under a set by a majority of it. A change of the set needs a majority of
the old set and one of the new set, so that a proposer that knows only the old set cannot miss the change. The
set changes by one machine at a time, and again only after the last change is committed.
docs/design/members.md has the argument, and the counterexample to counting the new set alone.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from foxspread.mesh.configuration.items import MEMBERS, Item


@dataclass(frozen=True, slots=True)
class MemberSet:
    """The replicas that vote in one epoch."""

    epoch: int
    names: tuple[str, ...]  # control addresses, sorted

    @property
    def majority(self) -> int:
        """Smallest number of members that is a majority."""
        return len(self.names) // 2 + 1

    def __contains__(self, name: str) -> bool:
        return name in self.names


def member_set_of(item: Item) -> MemberSet:
    """Returns the member set in a committed or proposed `members` item."""
    return MemberSet(item.version, tuple(sorted(item.content["of"])))


def membership_change(
    old: MemberSet, names: Iterable[str], disks: Mapping[str, list[int | str]] | None = None
) -> Item:
    """Returns the item that proposes `names` as the next set.

    `disks` maps members to the identities of their disks, as far as these are known.
    """
    return Item(MEMBERS, MEMBERS, old.epoch + 1, {"of": sorted(names), "disks": dict(disks or {})})


def differs_by_one(old: MemberSet, new: MemberSet) -> bool:
    """Tells whether `new` adds or removes exactly one member, and is not empty."""
    return len(set(old.names) ^ set(new.names)) == 1 and bool(new.names)


def is_quorum(sets: Iterable[MemberSet], names: Collection[str]) -> bool:
    """Tells whether these names include a majority of each of the sets."""
    return all(sum(name in names for name in each.names) >= each.majority for each in sets)


def enrolment_quorum(members: MemberSet, me: str) -> int:
    """Returns how many other replicas intersect each majority that the lost disk of `me` may have been in."""
    size = len({*members.names, me})
    return size - (size // 2 + 1) + 1
