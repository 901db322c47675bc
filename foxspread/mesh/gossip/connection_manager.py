"""Whom a process keeps links to. Without I/O: what is known and what came of each call is handed in, whom to
call and whom to leave is pulled.

Machines with a disk (keepers) keep links to all keepers; the others to a few keepers, those that the agreed
set names and that are in contact with a majority first, spread by chance. Seeds and agreed members are known
for good; others for as long as they answer. One that does not answer is called ever more rarely, and never
takes the place of one that does.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from foxspread.mesh.settings import Address

LINKS_MOST = 5  # to keepers, that a sidecar keeps
CALLS_MOST = 5  # under way at once
CALL_S = 0.6  # for a link to come up
REFUSED_S, SILENT_S = 0.12, 0.3  # first pause, by chance up to half more
VAIN = 3  # calls, after which the pause doubles: whoever refuses is often about to be there
PAUSE_MOST_KEEPERS_S = 0.6  # of keepers to seeds and agreed members: a majority hangs on it
PAUSE_MOST_S = 1.2  # of sidecars to these: whoever comes back is reached within about 2 s
PAUSE_MOST_REST_S = 6.0
HIGHER_S = 1.5  # after which the higher of two keepers calls too: the lower may not know of it
FORGET_S = 30.0  # after which one that was called in vain is forgotten
OTHERS_MOST = 64  # places known that are neither seeds nor agreed members
CHANGE_S = 2.0  # between two changes of a link that stands for a better one; it doubles where none helps
CHANGE_MOST_S = 30.0
SIDES_AFTER_S = 0.8  # without a keeper in contact, neighbours are asked for news
SIDES_MOST = 2  # of them


@dataclass(slots=True)
class KnownAddress:
    order: float  # by chance: which of many a sidecar prefers
    since: float  # when it was first heard of, or last answered
    name: str = ""  # who is there, while a link stands
    contact: bool = False  # it says that it is in contact with a majority
    vain: int = 0  # calls in a row
    left: int = 0  # times that it was left for others, since it last was in contact
    next_at: float = -math.inf
    calling: bool = False


class ConnectionManager:
    def __init__(
        self, now: float, own: Address, has_storage: bool, seeds: Iterable[Address], draw: Callable[[], float]
    ) -> None:
        self.own, self.has_storage, self.draw = own, has_storage, draw
        self.seeds: frozenset[Address] = frozenset()
        self.members: frozenset[Address] = frozenset()
        self.of: dict[Address, KnownAddress] = {}
        self.next_change, self.changes = now + CHANGE_S, 0
        self.seeded(now, seeds)

    # Who is there.

    def seeded(self, now: float, seeds: Iterable[Address]) -> None:
        self.seeds = frozenset(seeds)
        for each in self.seeds:
            self.told(now, each)

    def agreed(self, now: float, members: Iterable[Address]) -> None:
        """The members that the settled set names."""
        self.members = frozenset(members)
        for each in self.members:
            self.told(now, each)

    def told(self, now: float, place: Address) -> None:
        """A keeper is said to be there."""
        if place == self.own or place in self.of:
            return
        if place not in self.lasting:
            others = [each for each in self.of if each not in self.lasting]
            if len(others) >= OTHERS_MOST:
                unlinked = [each for each in others if not self.of[each].name]
                if not unlinked:
                    return
                del self.of[min(unlinked, key=lambda each: (self.of[each].since, each))]
        self.of[place] = KnownAddress(self.draw(), now)

    @property
    def lasting(self) -> frozenset[Address]:
        return self.seeds | self.members

    def up(self, now: float, place: Address, name: str, contact: bool) -> None:
        """A link to that keeper stands, whoever called."""
        self.told(now, place)
        if (there := self.of.get(place)) is not None:
            there.name, there.contact, there.calling = name, contact, False
            there.vain, there.next_at = 0, -math.inf
            there.left = 0 if contact else there.left

    def contact(self, name: str, contact: bool) -> None:
        for there in self.of.values():
            if there.name == name:
                there.contact = contact
                there.left = 0 if contact else there.left

    def down(self, now: float, name: str) -> None:
        for there in self.of.values():
            if there.name == name:
                there.name, there.contact, there.since = "", False, now

    def vain(self, now: float, place: Address, refused: bool) -> None:
        """A call came to nothing: the machine refused, or said nothing."""
        there = self.of.get(place)
        if there is None or there.name:
            return
        there.calling = False
        first = REFUSED_S if refused else SILENT_S
        most = PAUSE_MOST_KEEPERS_S if self.has_storage else PAUSE_MOST_S
        if place not in self.lasting:
            most = PAUSE_MOST_REST_S
        pause = min(most, first * 2 ** min(there.vain // VAIN, 10))
        there.vain += 1
        there.next_at = now + pause * (1 + 0.5 * self.draw())

    # What is pulled.

    @property
    def live(self) -> list[Address]:
        return [place for place, there in self.of.items() if there.name]

    def in_quorum_contact(self) -> list[str]:
        """Names of linked keepers that say so."""
        return [there.name for there in self.of.values() if there.name and there.contact]

    def calls(self, now: float) -> list[Address]:
        """Whom to call now; each counts as being called until it is up or in vain."""
        for place in [each for each in self.of if each not in self.lasting]:
            there = self.of[place]
            if there.vain and not there.calling and now - there.since > FORGET_S:
                del self.of[place]
        under_way = sum(there.calling for there in self.of.values())
        room = CALLS_MOST - under_way
        if not self.has_storage:
            room = min(room, LINKS_MOST - len(self.live) - under_way)
        due = [place for place in self._ranked() if self._due(now, place)][: max(0, room)]
        for place in due:
            self.of[place].calling = True
        return due

    def surplus(self, now: float) -> list[str]:
        """Names of keepers whose links a sidecar ends: those over its number, and one now and then where a
        better one may be had: an agreed member for another, or, with none in contact, any for one that is
        not. The latter ever more rarely: where no keeper is in contact, no change helps."""
        if self.has_storage:
            return []
        ranked = [place for place in self._ranked() if self.of[place].name]
        over = [self.of[place].name for place in ranked[LINKS_MOST:]]
        found = self.in_quorum_contact()
        if found:
            self.changes = 0
        if over or len(ranked) < LINKS_MOST or now < self.next_change:
            return over
        worst = ranked[-1]
        free = [place for place, there in self.of.items() if not there.name and there.vain == 0]
        if worst not in self.members and any(p in self.members and not self.of[p].left for p in free):
            self.next_change = now + CHANGE_S
        elif not found and free:
            self.next_change = now + min(CHANGE_MOST_S, CHANGE_S * 2**self.changes) * (1 + self.draw())
            self.changes = min(self.changes + 1, 10)
            self.of[worst].left += 1
        else:
            return []
        return [self.of[worst].name]

    def _ranked(self) -> list[Address]:
        """Those whose calls come to nothing last; agreed members first, those in contact first, then by
        chance."""

        def rank(place: Address) -> tuple:
            there = self.of[place]
            return (
                not there.name and there.vain > 0,
                0 if there.name else there.left,
                place not in self.members,
                bool(there.name) and not there.contact,
                there.order,
            )

        return sorted(self.of, key=rank)

    def _due(self, now: float, place: Address) -> bool:
        there = self.of[place]
        if there.name or there.calling or now < there.next_at:
            return False
        if not self.has_storage or self.own < place or place in self.seeds and self.own not in self.seeds:
            return True
        return now - there.since >= HIGHER_S


class NeighbourFallback:
    """Where no keeper in contact can be reached, a few sidecars are asked for news until one can."""

    def __init__(self, now: float) -> None:
        self.alone_since: float | None = now

    def wanted(self, now: float, in_quorum_contact: int, connections: int) -> int:
        """How many more sidecars to have links to."""
        if in_quorum_contact:
            self.alone_since = None
            return 0
        if self.alone_since is None:
            self.alone_since = now
        return max(0, SIDES_MOST - connections) if now - self.alone_since > SIDES_AFTER_S else 0
