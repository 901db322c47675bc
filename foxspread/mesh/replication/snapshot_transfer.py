"""Reads the rows that this committed set lacks from peers, chunk by chunk. No I/O.

One request is in flight at a time, to a peer with the newest committed set; if no chunk comes, the transfer
continues at the same offset with another peer. Rows are staged and are not visible before all of them have
come. docs/design/catching-up.md says why a set that was read from several sources is a committed one.
"""

from collections.abc import Callable, Hashable
from dataclasses import dataclass
from typing import NamedTuple

import orjson

from foxspread.mesh.configuration.items import Key
from foxspread.mesh.replication.learner import (
    NO_PROPOSAL,
    START_OFFSET,
    Learner,
    Offset,
    ProposalNumber,
    Row,
    SnapshotChunk,
    chunk_digest,
    end_of_proposal,
    offset_of,
)
from foxspread.mesh.replication.sync_messages import (
    SnapshotChunkRequest,
    SnapshotReply,
    SnapshotRestart,
    SnapshotRows,
)

REQUEST_TIMEOUT_S = 0.5  # initial timeout; 64 KiB take 0.26 s on a connection of 2 Mbit/s
REQUEST_TIMEOUT_LIMIT_S = 8.0  # the timeout doubles with each request that is not answered
TIMEOUT_PER_LAST_DURATION = 3.0  # the timeout of a chunk, as a multiple of the duration of the last one
PEER_BACKOFF_S = 1.0  # time for which other peers are preferred to one whose chunk was missing or damaged
SOURCE_LOST_S = 2.0  # the transfer starts over after this time without a peer as new as the newest source
REQUESTS_REMEMBERED = 4  # replies to older requests are ignored

Peer = Hashable


@dataclass(frozen=True, slots=True)
class ReceivedRows:
    """All rows that the committed set lacked, or a complete set."""

    committed_number: ProposalNumber
    rows: list[Row]
    complete_set: bool  # whether the rows replace the committed set (`Learner.replace`)
    staleness_s: float | None  # time for which the rows may have missed acknowledged changes; None: not known


class PeerRequest(NamedTuple):
    """A request and the peer that it is for."""

    peer: Peer
    message: SnapshotChunkRequest


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request whose reply is still accepted."""

    peer: Peer
    after: Offset
    sent_at: float


class SnapshotTransfer:
    """The transfer of snapshots to one learner."""

    def __init__(
        self, learner: Learner, draw: Callable[[], float], bytes_per_second: float = float("inf")
    ) -> None:
        """Starts without peers.

        `learner` is the local committed set, to which the caller adds `ReceivedRows`. `bytes_per_second`
        limits the rate of rows, as JSON.
        """
        self.learner, self.draw, self.bytes_per_second = learner, draw, bytes_per_second
        self.peer_committed: dict[Peer, ProposalNumber] = {}
        self.backoff_until: dict[Peer, float] = {}
        self.request_count = 0
        self.requests: dict[int, PendingRequest] = {}
        self.current_request: PendingRequest | None = None  # the request in flight, until `deadline`
        self.deadline = self.next_request_at = 0.0
        self.timeout_s = REQUEST_TIMEOUT_S
        self._start_over(full_transfer=False)

    def _start_over(self, full_transfer: bool) -> None:
        """Discards the staged rows; with `full_transfer`, a complete set is read next."""
        self.full_transfer = full_transfer
        self.staged: dict[Key, Row] = {}
        self.started = False
        self.cursor = START_OFFSET
        # The lowest committed number of the sources of the staged rows and, unless a complete set is read,
        # of the local committed set.
        self.oldest_source: ProposalNumber | None = None
        self.newest_source = NO_PROPOSAL
        self.source_lost_at: float | None = None  # since when no peer is as new as `newest_source`
        self.current_request = None
        self.requests.clear()

    # Inputs.

    def on_peer_committed(self, peer: Peer, committed_number: ProposalNumber) -> None:
        """Records the committed number that a peer announced."""
        self.peer_committed[peer] = committed_number

    def on_peer_lost(self, peer: Peer) -> None:
        """Forgets a peer whose connection has ended."""
        self.peer_committed.pop(peer, None)
        self.backoff_until.pop(peer, None)
        if self.current_request is not None and self.current_request.peer == peer:
            self.current_request = None

    @property
    def is_behind(self) -> bool:
        """True if the committed set of a peer is newer than the local one."""
        return max(self.peer_committed.values(), default=NO_PROPOSAL) > self.learner.committed_number

    def wake_at(self) -> float | None:
        """Returns when the next `step` is due; None: not before another input."""
        if self.current_request is not None:
            return self.deadline
        times = [self.next_request_at] if self.is_behind and self._useful_peers() else []
        if self.source_lost_at is not None:
            times.append(self.source_lost_at + SOURCE_LOST_S)
        return min(times, default=None)

    def step(self, now: float) -> list[PeerRequest]:
        """Returns what to send now; call it after each other input and at `wake_at`."""
        if self.current_request is not None:
            if now < self.deadline:
                return []
            self._back_off(now, self.current_request.peer)
        if self.started and self.learner.committed_number >= self.newest_source:
            self._start_over(full_transfer=False)  # the rows were learnt in another way
        self._watch_source(now)
        if not self.is_behind or now < self.next_request_at:
            return []
        if not self.started:
            self.cursor = (
                START_OFFSET if self.full_transfer else end_of_proposal(self.learner.committed_number)
            )
            self.oldest_source = None if self.cursor == START_OFFSET else self.learner.committed_number
        peer = self._choose_peer(now)
        return [] if peer is None else [self._request(now, peer)]

    def receive(self, now: float, peer: Peer, message: SnapshotReply) -> ReceivedRows | None:
        """Handles a reply; returns all rows that were missing once the last chunk has come."""
        request = self.requests.get(message.number)
        if request is None or request.peer != peer or request.after != self.cursor:
            return None  # the request is too old, or the transfer has moved on or started over since
        if peer in self.peer_committed:
            self.peer_committed[peer] = message.committed_number
        if isinstance(message, SnapshotRestart):
            self._start_over(full_transfer=True)
            return None
        chunk = message.chunk
        if not self._is_valid(chunk):
            self._back_off(now, peer)
            if self.backoff_until.keys() >= set(self._useful_peers()):
                self.next_request_at = now + self.draw() * self.timeout_s
            return None
        if chunk.committed_number < self.cursor[0]:
            self.current_request = None  # the peer has restarted with an older set
            return None
        if self.oldest_source is not None and chunk.horizon > self.oldest_source:
            self._start_over(full_transfer=True)
            return None
        self._stage(now, request, chunk)
        if chunk.more or chunk.committed_number < self.newest_source:
            return None
        return self._complete(now - request.sent_at, message)

    @staticmethod
    def reply(
        learner: Learner, message: SnapshotChunkRequest, staleness_s: float | None, to_replica: bool
    ) -> SnapshotReply:
        """Returns the reply of a source; rows that only replicas need are sent only `to_replica`."""
        since = message.after[0] if message.since is None else message.since
        if message.after != START_OFFSET and learner.horizon > since:
            return SnapshotRestart(message.number, learner.committed_number)
        return SnapshotRows(
            message.number, learner.chunk(message.after, for_sidecars=not to_replica), staleness_s
        )

    # Requests and chunks.

    def _request(self, now: float, peer: Peer) -> PeerRequest:
        self.request_count += 1
        number = self.request_count
        self.current_request = self.requests[number] = PendingRequest(peer, self.cursor, now)
        self.requests.pop(number - REQUESTS_REMEMBERED, None)
        self.deadline = now + self.timeout_s
        since = self.oldest_source if self.oldest_source != self.cursor[0] else None
        return PeerRequest(peer, SnapshotChunkRequest(number, self.cursor, since))

    def _is_valid(self, chunk: SnapshotChunk) -> bool:
        digest = chunk_digest(chunk.rows, self.cursor, chunk.committed_number, chunk.more, chunk.horizon)
        return chunk.digest == digest and bool(chunk.rows or not chunk.more)

    def _stage(self, now: float, request: PendingRequest, chunk: SnapshotChunk) -> None:
        self.current_request, self.started = None, True
        duration_s = now - request.sent_at
        timeout_s = max(REQUEST_TIMEOUT_S, TIMEOUT_PER_LAST_DURATION * duration_s)
        self.timeout_s = min(REQUEST_TIMEOUT_LIMIT_S, timeout_s)
        if self.bytes_per_second < float("inf"):
            self.next_request_at = request.sent_at + len(orjson.dumps(chunk.rows)) / self.bytes_per_second
        self.oldest_source = (
            chunk.committed_number
            if self.oldest_source is None
            else min(self.oldest_source, chunk.committed_number)
        )
        self.newest_source = max(self.newest_source, chunk.committed_number)
        for row in chunk.rows:
            self.staged[row[0], row[1]] = row
        self.cursor = offset_of(chunk.rows[-1]) if chunk.more else end_of_proposal(chunk.committed_number)

    def _complete(self, duration_s: float, message: SnapshotRows) -> ReceivedRows | None:
        rows, complete_set = list(self.staged.values()), self.full_transfer
        self._start_over(full_transfer=False)
        if message.committed_number <= self.learner.committed_number:
            return None
        staleness_s = None if message.staleness_s is None else message.staleness_s + duration_s
        return ReceivedRows(message.committed_number, rows, complete_set, staleness_s)

    # Peers.

    def _back_off(self, now: float, peer: Peer) -> None:
        self.current_request = None
        self.backoff_until[peer] = now + PEER_BACKOFF_S * (1 + self.draw())
        self.timeout_s = min(REQUEST_TIMEOUT_LIMIT_S, 2 * self.timeout_s)

    def _watch_source(self, now: float) -> None:
        """Starts over if there has been no peer as new as the newest source for `SOURCE_LOST_S`.

        The staged rows become a committed set only with a last source that is no older than the others.
        """
        if not self.started or any(
            committed_number >= self.newest_source for committed_number in self.peer_committed.values()
        ):
            self.source_lost_at = None
        elif self.source_lost_at is None:
            self.source_lost_at = now
        elif now - self.source_lost_at >= SOURCE_LOST_S:
            self._start_over(self.full_transfer)

    def _useful_peers(self) -> list[Peer]:
        own = self.learner.committed_number
        return [
            peer
            for peer, committed_number in self.peer_committed.items()
            if (end_of_proposal(committed_number) > self.cursor if self.started else committed_number > own)
        ]

    def _choose_peer(self, now: float) -> Peer | None:
        """Returns a random one of the newest peers without recent failures, or the one that failed first."""
        for peer in [each for each, until in self.backoff_until.items() if until <= now]:
            del self.backoff_until[peer]
        useful = self._useful_peers()
        if not useful:
            return None
        available = [peer for peer in useful if peer not in self.backoff_until]
        if not available:
            return min(useful, key=self.backoff_until.__getitem__)
        newest = max(self.peer_committed[peer] for peer in available)
        candidates = [peer for peer in available if self.peer_committed[peer] == newest]
        return candidates[int(self.draw() * len(candidates))]
