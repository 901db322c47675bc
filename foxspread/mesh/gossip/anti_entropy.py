"""Finds out which peer has newer state, and from whom to pull it: anti-entropy by version vectors.

Each source of state (the committed set, each sidecar's endpoint record) has a version that only grows.
Processes announce versions to their peers and pull what they lack from one of them, so that large state
crosses one connection once, and only versions, a few bytes each, cross all of them. The scheme is push-pull
anti-entropy (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).

The cost of a step grows with what has changed and with the peers that are notified, never with all sources of
all peers: a replica has as many peers as there are sidecars, and each sidecar is a source. What a peer was
notified of is therefore kept as the number of a change, up to which it was notified, and the few sources that
were withheld from it.

Without I/O.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

from foxspread.mesh.transport.messages import Version

PULL_TIMEOUT_S = 0.4  # after which state that has not come is pulled from another peer
NO_VERSION: Version = ()  # older than any


@dataclass
class Peer:
    """What a peer has announced, and what was announced to it."""

    number: int  # in the order in which they came: of two with the same version the earlier one is asked
    notified: int = 0  # changes here up to this one, except those of `withheld`
    withheld: set[str] | None = None  # sources; None: nothing was announced yet
    versions: dict[str, Version] = field(default_factory=dict)


@dataclass
class PendingPull:
    """A version that was pulled and has not come."""

    version: Version
    deadline: float  # seconds; afterwards another peer is asked
    attempted: set[Hashable]  # peers, since one of them last delivered


class AntiEntropy:
    """The version vector of this process, and those of its peers as far as announced.

    `may_announce(peer, source)` decides which sources are announced to which peer.
    """

    def __init__(self, may_announce: Callable[[Hashable, str], bool] = lambda peer, source: True) -> None:
        self.may_announce = may_announce
        self.versions: dict[str, Version] = {}
        self.last_change: dict[str, int] = {}  # by source: the number of its last change here
        self.change_count = 0
        self.peers: dict[Hashable, Peer] = {}
        self.peer_count = 0  # ever added
        self.newer: dict[str, dict[Hashable, Version]] = {}  # by source: peers that have it newer
        self.pending: dict[str, PendingPull] = {}  # by source
        self.dirty: set[str] = set()  # sources to be announced

    # Peers.

    def add_peer(self, peer: Hashable) -> None:
        """A connection to it is open; what was known of an earlier one is forgotten."""
        old = self.peers.get(peer)
        if old is not None:
            self._discard_newer(peer)
        self.peer_count += 1
        self.peers[peer] = Peer(self.peer_count if old is None else old.number)

    def remove_peer(self, peer: Hashable) -> None:
        """The connection to it is closed."""
        if self.peers.pop(peer, None) is not None:
            self._discard_newer(peer)
        self.pending.clear()  # what it was asked for may never come; pulling twice costs little

    # Own state.

    def set_version(self, source: str, version: Version) -> None:
        """This process now holds that version; an older one than before is ignored."""
        if version > self.versions.get(source, NO_VERSION):
            self.versions[source] = version
            self.change_count += 1
            self.last_change[source] = self.change_count
            self.dirty.add(source)
            if source in self.pending and version >= self.pending[source].version:
                del self.pending[source]
            if (newer := self.newer.get(source)) is not None:
                self._set_newer(source, {peer: other for peer, other in newer.items() if other > version})

    def forget(self, source: str) -> None:
        """This process holds nothing of that source any more; it is pulled again from peers that have it."""
        self.versions.pop(source, None)
        self.last_change.pop(source, None)
        self.dirty.discard(source)
        self._set_newer(
            source,
            {name: peer.versions[source] for name, peer in self.peers.items() if source in peer.versions},
        )

    def renew_announcement(self, source: str) -> None:
        """To be announced to peers from which it was withheld so far."""
        self.dirty.add(source)

    # Announcements.

    def announcements(self) -> list[tuple[Hashable, dict[str, Version]]]:
        """What to announce to whom since the last call: versions that are new to them as far as known."""
        announcements = []
        dirty = [source for source in self.dirty if source in self.versions]
        for name, peer in self.peers.items() if dirty else ():  # all peers: no call for each
            versions = {}
            if peer.withheld is None:
                peer.withheld = set(self.versions)
            for source in dirty:
                if self.last_change[source] <= peer.notified and source not in peer.withheld:
                    continue
                if self.may_announce(name, source):
                    versions[source] = self.versions[source]
                    peer.withheld.discard(source)
                else:
                    peer.withheld.add(source)
            peer.notified = self.change_count
            if versions:
                announcements.append((name, versions))
        self.dirty.clear()
        return announcements

    def full_announcement(self, peer: Hashable) -> dict[str, Version]:
        """All versions that a new peer is notified of."""
        versions = {s: v for s, v in self.versions.items() if self.may_announce(peer, s)}
        state = self.peers[peer]
        state.notified, state.withheld = self.change_count, {s for s in self.versions if s not in versions}
        return versions

    def receive(self, peer: Hashable, versions: dict[str, Version]) -> None:
        """That peer has announced these versions."""
        if (state := self.peers.get(peer)) is None:
            return
        state.versions.update(versions)
        for source, version in versions.items():
            if version > self.versions.get(source, NO_VERSION):
                self.newer.setdefault(source, {})[peer] = version
            elif (newer := self.newer.get(source)) is not None and newer.pop(peer, None) is not None:
                self._set_newer(source, newer)

    def count_with(self, source: str, version: Version, peers: Iterable[Hashable]) -> int:
        """How many of these peers have announced that version or a newer one."""
        return sum(
            self.peers[each].versions.get(source, NO_VERSION) >= version
            for each in peers
            if each in self.peers
        )

    # Pulls.

    def pulls(self, now: float) -> list[tuple[Hashable, dict[str, Version]]]:
        """What to pull from whom, with what is held here: each source from the peer that has it newest;
        where it does not come in time, from the others in turn."""
        pulls: dict[Hashable, dict[str, Version]] = {}
        for source, versions in self.newer.items():
            newest, pending = max(versions.values()), self.pending.get(source)
            if pending is None or pending.version < newest:
                pending = PendingPull(newest, 0.0, set())
            elif now < pending.deadline:
                continue
            if pending.attempted >= versions.keys():
                pending.attempted.clear()
            name = max(
                (each for each in versions if each not in pending.attempted),
                key=lambda each: (versions[each], -self.peers[each].number),
            )
            self.pending[source] = PendingPull(newest, now + PULL_TIMEOUT_S, pending.attempted | {name})
            pulls.setdefault(name, {})[source] = self.versions.get(source, NO_VERSION)
        return list(pulls.items())

    def _discard_newer(self, peer: Hashable) -> None:
        for source in [source for source, newer in self.newer.items() if peer in newer]:
            del self.newer[source][peer]
            self._set_newer(source, self.newer[source])

    def _set_newer(self, source: str, newer: dict[Hashable, Version]) -> None:
        if newer:
            self.newer[source] = newer
        else:
            self.newer.pop(source, None)
