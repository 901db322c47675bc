"""Who lacks what. Each source of news (the settled set, each sidecar's own record) has a version that only
grows. A sidecar tells its neighbours versions, and pulls what it lacks from one of them: what is large goes
over one link once, what goes over all of them is a few bytes.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

Version = tuple
ASKED_S = 0.4  # after which what was pulled from one and has not come is pulled from another


@dataclass
class Peer:
    """What a neighbour has told of itself, and what it was told."""

    has: dict[str, Version] = field(default_factory=dict)
    told: dict[str, Version] = field(default_factory=dict)


@dataclass
class Asked:
    version: Version
    until: float
    of: set[Hashable]  # in turn, since one of them last gave it


class Exchange:
    def __init__(self, tells: Callable[[Hashable, str], bool] = lambda peer, source: True) -> None:
        """`tells`: of which sources versions are told to that neighbour unasked."""
        self.tells = tells
        self.mine: dict[str, Version] = {}
        self.peers: dict[Hashable, Peer] = {}
        self.asked: dict[str, Asked] = {}  # by source: what is under way
        self.dirty: set[str] = set()

    def met(self, peer: Hashable) -> None:
        self.peers[peer] = Peer()

    def left(self, peer: Hashable) -> None:
        self.peers.pop(peer, None)
        self.asked.clear()  # what it was asked for may never come; asking twice costs little

    def have(self, source: str, version: Version) -> None:
        """This copy now has that version."""
        if version > self.mine.get(source, ()):
            self.mine[source] = version
            self.dirty.add(source)
            if source in self.asked and version >= self.asked[source].version:
                del self.asked[source]

    def forget(self, source: str) -> None:
        self.mine.pop(source, None)
        self.dirty.discard(source)

    def notices(self) -> list[tuple[Hashable, dict[str, Version]]]:
        """What neighbours are to be told since the last time: versions that are new to them as far as
        known."""
        rows = []
        for name, peer in self.peers.items():
            news = {
                s: self.mine[s]
                for s in self.dirty
                if s in self.mine and self.tells(name, s) and peer.told.get(s, ()) < self.mine[s]
            }
            if news:
                peer.told.update(news)
                rows.append((name, news))
        self.dirty.clear()
        return rows

    def whole(self, peer: Hashable) -> dict[str, Version]:
        """All versions that a new neighbour is told."""
        news = {s: v for s, v in self.mine.items() if self.tells(peer, s)}
        self.peers[peer].told.update(news)
        return news

    def told(self, peer: Hashable, versions: dict[str, Version]) -> None:
        if (there := self.peers.get(peer)) is not None:
            there.has.update(versions)

    def pulls(self, now: float) -> list[tuple[Hashable, dict[str, Version]]]:
        """What to ask of whom: each source that some neighbour has newer, of the one that has it newest, with
        what is had here; where it did not come, of the others in turn."""
        having: dict[str, dict[Hashable, Version]] = {}
        for name, peer in self.peers.items():
            for source, version in peer.has.items():
                if version > self.mine.get(source, ()):
                    having.setdefault(source, {})[name] = version
        rows: dict[Hashable, dict[str, Version]] = {}
        for source, versions in having.items():
            newest, under_way = max(versions.values()), self.asked.get(source)
            if under_way is None or under_way.version < newest:
                under_way = Asked(newest, 0.0, set())
            elif now < under_way.until:
                continue
            if under_way.of >= versions.keys():
                under_way.of.clear()
            name = max((each for each in versions if each not in under_way.of), key=versions.__getitem__)
            self.asked[source] = Asked(newest, now + ASKED_S, under_way.of | {name})
            rows.setdefault(name, {})[source] = self.mine.get(source, ())
        return list(rows.items())

    def known_by(self, source: str, version: Version, peers: Iterable[Hashable]) -> int:
        """How many of these neighbours have told that they have it."""
        return sum(self.peers[p].has.get(source, ()) >= version for p in peers if p in self.peers)
