"""A copy of the settled set, as every sidecar holds one: items, each with the ballot at which it changed,
and the ballot up to which all is known. What a copy lacks is what has changed since the ballot that it
tells.
"""

from collections.abc import Iterable, Iterator

from foxspread.orchard.configuration.items import REFUSED, Item, Key, unpacked
from foxspread.orchard.outcome import Broken

Ballot = tuple[int, str]  # a number, and the life of the process that chose it: no two alike
NONE: Ballot = (0, "")
Row = list  # kind, name, version, content, number and life of the ballot; what is past, where anything is


def ballot(told: list | tuple) -> Ballot:
    return int(told[0]), str(told[1])


def row(item: Item, at: Ballot) -> Row:
    packed = item.packed()
    return [*packed[:4], *at, *packed[4:]]


def unrow(told: Row) -> tuple[Item, Ballot]:
    return unpacked([*told[:4], *told[6:]]), (told[4], told[5])


class Copy:
    def __init__(self) -> None:
        self.upto: Ballot = NONE
        self.items: dict[Key, Item] = {}
        self.at: dict[Key, Ballot] = {}  # what changed last stands last
        self.clock = 0.0  # the agreed one: the newest time that is settled

    def fold(self, upto: Ballot, rows: Iterable[tuple[Item, Ballot]]) -> list[Item]:
        """All that changed since `upto` was last folded, at the least; returns what is new here. A version
        never falls: agreed values only grow, and one that does not breaks all that stands on this."""
        new: list[Item] = []
        for item, at in sorted(rows, key=lambda each: each[1]):
            if at <= self.at.get(item.key, NONE) or at > upto:
                continue
            old = self.items.get(item.key)
            if old is not None and old.version > item.version:
                raise Broken(f"{item.key}: r{old.version} was settled before r{item.version} at {at}")
            if old is None or old.version != item.version:
                new.append(item)
            elif old.content != item.content:
                raise Broken(f"{item.key}: two contents of r{item.version} were settled")
            if item.kind == REFUSED:
                self.clock = max(self.clock, item.content[2])
            self.items[item.key] = item
            self.at.pop(item.key, None)
            self.at[item.key] = at
        self.upto = max(self.upto, upto)
        return new

    def since(self, ballot: Ballot) -> list[tuple[Item, Ballot]]:
        return list(self._since(ballot))[::-1]

    def _since(self, ballot: Ballot) -> Iterator[tuple[Item, Ballot]]:
        for key in reversed(self.at):
            if self.at[key] <= ballot:
                return
            yield self.items[key], self.at[key]
