"""Who lacks what. Each source of news (the settled set, each sidecar's own record) has a version that only
grows. A sidecar tells its neighbours versions, and pulls what it lacks from one of them: what is large goes
over one link once, what goes over all of them is a few bytes.

What a step costs and holds goes by what has changed, and by the neighbours that are told, never by the
sources of all neighbours: a machine with a disk has as many neighbours as there are sidecars, and each
sidecar is a source. What a neighbour was told is therefore kept as a number, up to which it was told all
changes, and the few sources that were held back.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

Version = tuple
ASKED_S = 0.4  # after which what was pulled from one and has not come is pulled from another


@dataclass
class Peer:
    """What a neighbour has told of itself, and what it was told."""

    number: int  # in the order in which they came: of two with the same version the earlier one is asked
    told: int = 0  # changes here up to this one, but for those of `held`
    held: set[str] | None = None  # None: nothing was told yet
    has: dict[str, Version] = field(default_factory=dict)


@dataclass
class PendingPull:
    version: Version
    until: float
    of: set[Hashable]  # in turn, since one of them last gave it


class AntiEntropy:
    def __init__(self, tells: Callable[[Hashable, str], bool] = lambda peer, source: True) -> None:
        """`tells`: of which sources versions are told to that neighbour unasked."""
        self.tells = tells
        self.mine: dict[str, Version] = {}
        self.changed: dict[str, int] = {}  # by source: the number of its last change here
        self.changes = 0
        self.peers: dict[Hashable, Peer] = {}
        self.came = 0  # neighbours, counted
        self.newer: dict[str, dict[Hashable, Version]] = {}  # by source: neighbours that have it newer
        self.asked: dict[str, PendingPull] = {}  # by source: what is under way
        self.dirty: set[str] = set()

    def met(self, peer: Hashable) -> None:
        old = self.peers.get(peer)
        if old is not None:
            self._less(peer)
        self.came += 1
        self.peers[peer] = Peer(self.came if old is None else old.number)

    def left(self, peer: Hashable) -> None:
        if self.peers.pop(peer, None) is not None:
            self._less(peer)
        self.asked.clear()  # what it was asked for may never come; asking twice costs little

    def have(self, source: str, version: Version) -> None:
        """This copy now has that version."""
        if version > self.mine.get(source, ()):
            self.mine[source] = version
            self.changes += 1
            self.changed[source] = self.changes
            self.dirty.add(source)
            if source in self.asked and version >= self.asked[source].version:
                del self.asked[source]
            if (newer := self.newer.get(source)) is not None:
                self._keep(source, {peer: there for peer, there in newer.items() if there > version})

    def forget(self, source: str) -> None:
        """Nothing is had of it here any more; a neighbour that has it is asked for it again."""
        self.mine.pop(source, None)
        self.changed.pop(source, None)
        self.dirty.discard(source)
        self._keep(
            source, {name: peer.has[source] for name, peer in self.peers.items() if source in peer.has}
        )

    def notices(self) -> list[tuple[Hashable, dict[str, Version]]]:
        """What neighbours are to be told since the last time: versions that are new to them as far as
        known."""
        rows = []
        dirty = [source for source in self.dirty if source in self.mine]
        for name, peer in self.peers.items() if dirty else ():
            news = {}
            if peer.held is None:
                peer.held = set(self.mine)
            for source in dirty:
                if self.changed[source] <= peer.told and source not in peer.held:
                    continue
                if self.tells(name, source):
                    news[source] = self.mine[source]
                    peer.held.discard(source)
                else:
                    peer.held.add(source)
            peer.told = self.changes
            if news:
                rows.append((name, news))
        self.dirty.clear()
        return rows

    def whole(self, peer: Hashable) -> dict[str, Version]:
        """All versions that a new neighbour is told."""
        news = {s: v for s, v in self.mine.items() if self.tells(peer, s)}
        there = self.peers[peer]
        there.told, there.held = self.changes, {s for s in self.mine if s not in news}
        return news

    def told(self, peer: Hashable, versions: dict[str, Version]) -> None:
        if (there := self.peers.get(peer)) is None:
            return
        there.has.update(versions)
        for source, version in versions.items():
            if version > self.mine.get(source, ()):
                self.newer.setdefault(source, {})[peer] = version
            elif (newer := self.newer.get(source)) is not None and newer.pop(peer, None) is not None:
                self._keep(source, newer)

    def pulls(self, now: float) -> list[tuple[Hashable, dict[str, Version]]]:
        """What to ask of whom: each source that some neighbour has newer, of the one that has it newest, with
        what is had here; where it did not come, of the others in turn."""
        rows: dict[Hashable, dict[str, Version]] = {}
        for source, versions in self.newer.items():
            newest, under_way = max(versions.values()), self.asked.get(source)
            if under_way is None or under_way.version < newest:
                under_way = PendingPull(newest, 0.0, set())
            elif now < under_way.until:
                continue
            if under_way.of >= versions.keys():
                under_way.of.clear()
            name = max(
                (each for each in versions if each not in under_way.of),
                key=lambda each: (versions[each], -self.peers[each].number),
            )
            self.asked[source] = PendingPull(newest, now + ASKED_S, under_way.of | {name})
            rows.setdefault(name, {})[source] = self.mine.get(source, ())
        return list(rows.items())

    def known_by(self, source: str, version: Version, peers: Iterable[Hashable]) -> int:
        """How many of these neighbours have told that they have it."""
        return sum(self.peers[p].has.get(source, ()) >= version for p in peers if p in self.peers)

    def _less(self, peer: Hashable) -> None:
        """What that neighbour has newer counts no more."""
        for source in [source for source, newer in self.newer.items() if peer in newer]:
            del self.newer[source][peer]
            self._keep(source, self.newer[source])

    def _keep(self, source: str, newer: dict[Hashable, Version]) -> None:
        if newer:
            self.newer[source] = newer
        else:
            self.newer.pop(source, None)
