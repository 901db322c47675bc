"""Anti-entropy by version vectors: decides what to announce to peers and what to pull from which peer.

Each source of state (the committed set, each sidecar's endpoint record) has a version that only grows.
Processes announce versions to their peers and pull what they lack from one of them, so that large state is
sent over one connection once, and only versions, a few bytes each, are sent over all of them. The scheme is
push-pull anti-entropy (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).

The cost of a step grows with what has changed and with the peers that are notified, never with the number of
sources times the number of peers: a replica has as many peers as there are sidecars, and each sidecar is a
source. What a peer was notified of is therefore stored as the number of the last change that it was notified
of, and the few sources that were withheld from it.

This module does no I/O.
"""

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass, field

from foxspread.mesh.transport.messages import Version

PULL_TIMEOUT_S = 0.4  # after which state that has not arrived is pulled from another peer
NO_VERSION: Version = ()  # older than any other


@dataclass
class Peer:
    """The versions that a peer has announced, and what was announced to it."""

    number: int  # peers are numbered as they are added; the lowest is asked first for equal versions
    notified: int = 0  # number of the last change announced to it; sources in `withheld` are excepted
    withheld: set[str] | None = None  # sources not announced to it; None: nothing was announced yet
    versions: dict[str, Version] = field(default_factory=dict)


@dataclass
class PendingPull:
    """A version that was requested and has not arrived."""

    version: Version
    deadline: float  # seconds; another peer is asked afterwards
    attempted: set[Hashable]  # peers asked in the current round of all that have it


class AntiEntropy:
    """The version vector of this process, and the versions that its peers have announced.

    `may_announce(peer, source)` decides which sources are announced to which peer.
    """

    def __init__(self, may_announce: Callable[[Hashable, str], bool] = lambda peer, source: True) -> None:
        self.may_announce = may_announce
        self.versions: dict[str, Version] = {}
        self.last_change: dict[str, int] = {}  # by source: number of its last change in this process
        self.change_count = 0
        self.peers: dict[Hashable, Peer] = {}
        self.peer_count = 0  # peers added so far, including removed ones
        self.newer: dict[str, dict[Hashable, Version]] = {}  # by source: newer versions, by peer
        self.pending: dict[str, PendingPull] = {}  # by source
        self.dirty: set[str] = set()  # sources to announce

    # Peers.

    def add_peer(self, peer: Hashable) -> None:
        """Adds a peer whose connection was opened; forgets what it announced on an earlier connection."""
        old = self.peers.get(peer)
        if old is not None:
            self._discard_newer(peer)
        self.peer_count += 1
        self.peers[peer] = Peer(self.peer_count if old is None else old.number)

    def remove_peer(self, peer: Hashable) -> None:
        """Removes a peer whose connection was closed."""
        if self.peers.pop(peer, None) is not None:
            self._discard_newer(peer)
        self.pending.clear()  # its answers may never arrive; a second pull costs little

    # State of this process.

    def set_version(self, source: str, version: Version) -> None:
        """Records that this process holds a version; ignores one that is not newer than the last."""
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
        """Records that this process holds nothing of a source; it is pulled again from peers that have it."""
        self.versions.pop(source, None)
        self.last_change.pop(source, None)
        self.dirty.discard(source)
        self._set_newer(
            source,
            {name: peer.versions[source] for name, peer in self.peers.items() if source in peer.versions},
        )

    def renew_announcement(self, source: str) -> None:
        """Marks a source to be announced to peers from which it was withheld so far."""
        self.dirty.add(source)

    # Announcements.

    def announcements(self) -> list[tuple[Hashable, dict[str, Version]]]:
        """Returns, by peer, the versions changed since the last call that the peer was not notified of."""
        announcements = []
        dirty = [source for source in self.dirty if source in self.versions]
        for name, peer in self.peers.items() if dirty else ():  # no function call per peer: there are many
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
        """Returns all versions that may be announced to a new peer, and marks them as announced."""
        versions = {s: v for s, v in self.versions.items() if self.may_announce(peer, s)}
        state = self.peers[peer]
        state.notified, state.withheld = self.change_count, {s for s in self.versions if s not in versions}
        return versions

    def receive(self, peer: Hashable, versions: dict[str, Version]) -> None:
        """Records the versions that a peer has announced."""
        if (state := self.peers.get(peer)) is None:
            return
        state.versions.update(versions)
        for source, version in versions.items():
            if version > self.versions.get(source, NO_VERSION):
                self.newer.setdefault(source, {})[peer] = version
            elif (newer := self.newer.get(source)) is not None and newer.pop(peer, None) is not None:
                self._set_newer(source, newer)

    def count_with(self, source: str, version: Version, peers: Iterable[Hashable]) -> int:
        """Returns how many of the given peers have announced that version or a newer one."""
        return sum(
            self.peers[each].versions.get(source, NO_VERSION) >= version
            for each in peers
            if each in self.peers
        )

    # Pulls.

    def pulls(self, now: float) -> list[tuple[Hashable, dict[str, Version]]]:
        """Returns the pulls to send: by peer, the sources to request with the versions that are held here.

        Each source is requested from the peer with the newest version; after a timeout, from the other
        peers in turn.
        """
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
