"""Whom a sidecar knows: a view of a few others, however many there are, shuffled between neighbours so that
views stay random and whoever is gone falls out of them (the field's term: membership by gossip; published as
Cyclon). Without I/O: what is to be sent is returned, what came is handed in, chance too.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from foxspread.mesh.settings import Address

SIZE = 10  # neighbours in a view, at the most
GIVEN = 4  # of them told in one shuffle, the teller itself included
EVERY_S = 1.5  # between two shuffles, about
UNANSWERED = 4  # shuffles, as which an asking counts that is not answered
OLD = 12  # shuffles, after which one of whom nobody has heard falls out


@dataclass(frozen=True, slots=True)
class Neighbour:
    node: str
    place: Address  # where it hears its own kind
    has_storage: bool  # it holds the state on a disk
    age: int = 0  # shuffles since it said so itself

    def packed(self) -> list:
        return [self.node, list(self.place), self.has_storage, self.age]


def unpack_neighbour(row: list) -> Neighbour:
    node, place, has_storage, age = row
    return Neighbour(str(node), (str(place[0]), int(place[1])), bool(has_storage), int(age))


class PartialView:
    def __init__(self, me: Neighbour, draw: Callable[[], float]) -> None:
        self.me, self.draw = me, draw
        self.of: dict[str, Neighbour] = {}
        self.next_at = 0.0
        self.given: dict[str, list[str]] = {}  # by whom we asked: what we told it, which may make room

    def met(self, told: Neighbour) -> None:
        """It has told us itself, as when a link came up."""
        if told.node != self.me.node:
            self._put([replace(told, age=0)], [])

    def shuffle(self, now: float) -> tuple[Address, dict[str, Any]] | None:
        """Whom to ask now, and what to tell; None before its time, or with nobody to ask. The one of whom
        nothing was heard for longest is asked; one that does not answer some times is out of the view, the
        last one never: a loss of a few datagrams must leave nobody alone."""
        if now < self.next_at:
            return None
        self.next_at = now + EVERY_S * (0.75 + 0.5 * self.draw())
        for old in sorted(self.of.values(), key=lambda each: (-each.age, each.node)):
            if old.age >= OLD and len(self.of) > 1:
                del self.of[old.node]
        self.of = {node: replace(each, age=each.age + 1) for node, each in self.of.items()}
        if not self.of:
            return None
        oldest = max(self.of.values(), key=lambda each: (each.age, each.node))
        self.of[oldest.node] = replace(oldest, age=oldest.age + UNANSWERED)
        some = self._drawn([each for each in self.of.values() if each.node != oldest.node], GIVEN - 1)
        self.given = {oldest.node: [each.node for each in some]}
        return oldest.place, self._told("shuffle", some)

    def heard(self, message: dict[str, Any]) -> dict[str, Any] | None:
        """A shuffle of another, or the answer to ours; returns what to answer."""
        told = [unpack_neighbour(row) for row in message["view"]]
        if message["t"] == "shuffled":
            self._put(told, self.given.pop(message["node"], []))
            return None
        some = self._drawn(list(self.of.values()), GIVEN)
        answer = self._told("shuffled", some)
        self._put(told, [each.node for each in some])
        return answer

    def some_sides(self, count: int) -> list[Neighbour]:
        """A few that hold no state, at random: asked for news where no machine with a disk can be reached."""
        return self._drawn([each for each in self.of.values() if not each.has_storage], count)

    def _told(self, kind: str, some: list[Neighbour]) -> dict[str, Any]:
        return {"t": kind, "node": self.me.node, "view": [each.packed() for each in (self.me, *some)]}

    def _drawn(self, found: list[Neighbour], count: int) -> list[Neighbour]:
        found.sort(key=lambda each: each.node)
        chosen = []
        while found and len(chosen) < count:
            chosen.append(found.pop(int(self.draw() * len(found))))
        return chosen

    def _put(self, told: list[Neighbour], sent: list[str]) -> None:
        """The younger word on each holds; where the view is full, what was told to the other makes room."""
        for each in told:
            if each.node == self.me.node:
                continue
            known = self.of.get(each.node)
            if known is not None:
                if each.age < known.age or each.place != known.place and each.age == known.age:
                    self.of[each.node] = each
                continue
            while len(self.of) >= SIZE and sent:
                self.of.pop(sent.pop(0), None)
            if len(self.of) >= SIZE:
                oldest = max(self.of.values(), key=lambda other: (other.age, other.node))
                if oldest.age <= each.age:
                    continue
                del self.of[oldest.node]
            self.of[each.node] = each
