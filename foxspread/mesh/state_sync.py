"""Synchronises the committed set and the endpoint records of a process with its peers.

Versions are announced and pulled by anti-entropy. Endpoint records travel in the response to a pull, the
committed set in chunks of a snapshot. Two rules decide which state is sent to which peer:

* A sidecar receives the committed set only from replicas in contact with a quorum, or from other sidecars, so
  that it knows how stale the set may be. Replicas always receive it, since what is committed stays committed.
* Replicas learn each sidecar's record from that sidecar itself; sidecars that fall back on each other
  exchange all records.

This module does no I/O: messages are passed to `send`, and `schedule` runs a call in the next turn of the
event loop. The simulation runs the same code in virtual time.
"""

from collections.abc import Callable
from typing import Protocol

from foxspread.mesh.configuration.items import Item
from foxspread.mesh.control_api.readiness import Readiness
from foxspread.mesh.gossip.anti_entropy import AntiEntropy
from foxspread.mesh.registry.endpoint_records import EndpointRecord, EndpointRecords, unpack_record
from foxspread.mesh.registry.own_record import OwnRecord
from foxspread.mesh.replication.learner import Learner, unpack_proposal_number, unpack_row
from foxspread.mesh.replication.snapshot_transfer import ReceivedRows, SnapshotTransfer
from foxspread.mesh.replication.sync_messages import (
    SnapshotChunkRequest,
    SnapshotRows,
    decode_snapshot_message,
)
from foxspread.mesh.transport.messages import COMMITTED_SET, Fields, Have, Pull, PullResponse, VersionVector


class LocalReplica(Protocol):
    """Operations that `StateSync` needs of the replica in the same process, on a machine with storage."""

    @property
    def recovered(self) -> bool:
        """Whether its storage has been read."""

    @property
    def fresh(self) -> bool:
        """Whether it has learnt everything that was committed before its start."""

    def in_contact(self) -> bool:
        """Returns whether it is in contact with a quorum now."""

    def staleness_s(self) -> float | None:
        """Returns for how many seconds it may have missed commits; None if that is not known."""

    def learn(self, committed_number: tuple[int, str], rows: list, complete_set: bool) -> None:
        """Stores rows from a peer; new ones are reported by a call of `StateSync.on_replica_committed`."""

    def on_peer_committed(self, committed_number: tuple[int, str]) -> None:
        """Handles the report that a peer has committed this proposal."""


class StateSync:
    """Committed set (`learner`) and endpoint records of one process, kept in sync with its peers.

    `on_committed` is called with items that are new here, `on_record` with the node of each new record, and
    `publish_own_record` when peers hold a newer record of this node than it has published. `replica` is None
    on a sidecar; a process with storage sets it before peers connect.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        own_record: OwnRecord,
        snapshot_transfer: SnapshotTransfer,
        send: Callable[[str, Fields], None],
        schedule: Callable[[Callable[[], None]], object],
        is_replica: Callable[[str], bool],
        on_committed: Callable[[list[Item]], None],
        on_record: Callable[[str], None],
        publish_own_record: Callable[[], None],
        readiness: Readiness,
    ) -> None:
        self.clock, self.send, self.schedule, self.is_replica = clock, send, schedule, is_replica
        self.on_committed, self.on_record = on_committed, on_record
        self.own_record, self.publish_own_record = own_record, publish_own_record
        self.snapshot_transfer = snapshot_transfer
        self.learner = snapshot_transfer.learner
        self.anti_entropy = AntiEntropy(self.may_announce)
        self.records = EndpointRecords()
        self.has_records = False  # whether a peer has sent its records
        self.readiness = readiness
        self.replica: LocalReplica | None = None
        self.flush_scheduled = False
        self.handlers: dict[str, Callable[[str, Fields], None]] = {
            Have.kind: self._on_have,
            Pull.kind: self._on_pull,
            PullResponse.kind: self._on_pull_response,
            SnapshotChunkRequest.kind: self._on_chunk_request,
            SnapshotRows.kind: self._on_chunk,
        }

    def use_learner(self, learner: Learner) -> None:
        """Replaces the committed set, once the disk has been read."""
        self.learner = self.snapshot_transfer.learner = learner

    # Which state may be sent to which peer.

    def may_announce(self, peer: str, source: str) -> bool:
        """Returns whether versions of this source are announced to the peer without a request."""
        if self.replica is None:
            return source == self.own_record.node or not self.is_replica(peer)
        return source != COMMITTED_SET or self.is_replica(peer) or self.replica.in_contact()

    def may_send_committed_set(self, peer: str) -> bool:
        """Returns whether the committed set may be sent to the peer now."""
        return self.replica is None or self.is_replica(peer) or self.replica.in_contact()

    def may_learn_from(self, peer: str) -> bool:
        """Returns whether the peer holds complete items: sidecars hold only a part of each item."""
        return self.replica is None or self.is_replica(peer)

    # Local state.

    @property
    def has_items(self) -> bool:
        """Whether any item of the committed set is known."""
        return bool(self.learner.items)

    def ready(self) -> bool:
        """Returns whether the state held here is good enough to serve requests."""
        if not self.has_items:
            return False
        if self.replica is not None:
            return self.replica.fresh and self.replica.in_contact()
        return self.readiness.is_ready(self.has_records)

    def staleness_s(self) -> float | None:
        """Returns for how many seconds this process may have missed commits; None if that is not known."""
        if self.replica is None:
            return self.readiness.age_s(self.clock())
        return self.replica.staleness_s() if self.replica.in_contact() else None

    def on_replica_committed(self, new: list[Item]) -> None:
        """Handles items that the replica in this process has committed or learnt."""
        self.on_committed(new)
        self.anti_entropy.set_version(COMMITTED_SET, self.learner.committed_number)
        self.announce_committed_set()

    def announce_committed_set(self) -> None:
        """Announces the committed set to all peers that may receive it.

        These include the peers from which it was withheld, as while there was no contact with a quorum.
        """
        self.anti_entropy.renew_announcement(COMMITTED_SET)
        self.schedule_flush()

    def accept_record(self, record: EndpointRecord) -> None:
        """Stores an endpoint record, this process's own or a peer's; ignores it if a newer one is held."""
        if self.records.update(self.clock(), record):
            self.anti_entropy.set_version(record.node, record.version)
            self.on_record(record.node)
            self.schedule_flush()

    # Peers.

    def peer_connected(self, peer: str) -> None:
        """Announces all versions that may be announced to the peer."""
        self.anti_entropy.add_peer(peer)
        self.send(peer, Have(self.anti_entropy.full_announcement(peer)).packed())

    def peer_disconnected(self, peer: str) -> None:
        """Requests from other peers what was requested from this one."""
        self.anti_entropy.remove_peer(peer)
        self.snapshot_transfer.on_peer_lost(peer)

    def staleness_pull(self, now: float) -> Fields:
        """Returns a pull whose response tells how stale the committed set here may be."""
        return Pull({COMMITTED_SET: self.learner.committed_number}, now).packed()

    # Messages.

    def _on_have(self, peer: str, fields: Fields) -> None:
        have = Have.decode(fields)
        versions = dict(have.versions)
        committed_number = versions.pop(COMMITTED_SET, None)
        if committed_number is not None and self.may_learn_from(peer):
            self.snapshot_transfer.on_peer_committed(peer, unpack_proposal_number(committed_number))
        self.anti_entropy.receive(peer, versions)
        self.compare_versions(have.versions)
        self.schedule_flush()

    def compare_versions(self, versions: VersionVector) -> None:
        """Compares the versions of a peer with the state here.

        Publishes the own record anew if the peer holds a newer version of it, and reports the peer's
        committed proposal to the replica.
        """
        own_record_version = versions.get(self.own_record.node)
        if own_record_version is not None and self.own_record.supersede(own_record_version):
            self.publish_own_record()
        if COMMITTED_SET in versions and self.replica is not None:
            self.replica.on_peer_committed(versions[COMMITTED_SET])

    def _on_pull(self, peer: str, fields: Fields) -> None:
        self.send(peer, self.answer_pull(peer, Pull.decode(fields)).packed())

    def answer_pull(self, peer: str, pull: Pull) -> PullResponse:
        """Returns the requested records and, if the peer may receive it, the committed set's staleness."""
        records = [
            self.records.by_node[source].packed()
            for source in pull.versions
            if source in self.records.by_node
        ]
        if COMMITTED_SET in pull.versions and self.may_send_committed_set(peer):
            return PullResponse(
                pull.requested_at, self.learner.committed_number, self.staleness_s(), records or None
            )
        return PullResponse(pull.requested_at, records=records or None)

    def _on_pull_response(self, peer: str, fields: Fields) -> None:
        response = PullResponse.decode(fields)
        if response.committed_number is not None and self.replica is None:
            if response.committed_number <= self.learner.committed_number:
                self.readiness.record_basis(self.clock(), response.requested_at, response.age_s)
            else:
                self.snapshot_transfer.on_peer_committed(peer, response.committed_number)
        if response.records is not None:
            for row in response.records:
                self.accept_record(unpack_record(row))
            self.has_records = True
        self.schedule_flush()

    def _on_chunk_request(self, peer: str, fields: Fields) -> None:
        if self.may_send_committed_set(peer):
            request = decode_snapshot_message(fields)
            reply = SnapshotTransfer.reply(self.learner, request, self.staleness_s(), self.is_replica(peer))
            self.send(peer, reply.packed())

    def _on_chunk(self, peer: str, fields: Fields) -> None:
        received = self.snapshot_transfer.receive(self.clock(), peer, decode_snapshot_message(fields))
        if received is not None:
            self._apply_rows(received)
        self.schedule_flush()

    def _apply_rows(self, received: ReceivedRows) -> None:
        if self.replica is not None:
            self.replica.learn(received.committed_number, received.rows, received.complete_set)
            return
        now = self.clock()
        apply = self.learner.replace if received.complete_set else self.learner.apply
        self.on_committed(apply(received.committed_number, map(unpack_row, received.rows)))
        self.anti_entropy.set_version(COMMITTED_SET, self.learner.committed_number)
        self.readiness.record_basis(now, now, received.staleness_s)

    # Sending.

    def schedule_flush(self) -> None:
        """Schedules one flush for all changes in this turn of the event loop."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.schedule(self.flush)

    def flush(self) -> None:
        """Sends the announcements, pulls and chunk requests that are due."""
        self.flush_scheduled = False
        for peer, versions in self.anti_entropy.announcements():
            self.send(peer, Have(versions).packed())
        now = self.clock()
        for peer, versions in self.anti_entropy.pulls(now):
            self.send(peer, Pull(versions, now).packed())
        if self.replica is None or self.replica.recovered:
            for peer, request in self.snapshot_transfer.step(self.clock()):
                self.send(peer, request.packed())
