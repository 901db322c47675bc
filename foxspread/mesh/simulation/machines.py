"""Processes of the fleet in virtual time: machines with storage, and sidecars without.

They run the protocol classes of a node, `StateSync` and `ReplicaContact`, on simulated storage and a
simulated network. This module starts and stops them, and reports what the invariants are checked against.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from foxspread.mesh.configuration.items import LEASE, MEMBERS, OPERATOR_KINDS, Item, Key
from foxspread.mesh.control_api.readiness import Readiness
from foxspread.mesh.errors import Failure, InvariantViolation
from foxspread.mesh.registry.own_record import OwnRecord
from foxspread.mesh.replica_contact import ReplicaContact
from foxspread.mesh.replication.acceptor import Acceptor
from foxspread.mesh.replication.learner import (
    START_OFFSET,
    Learner,
    Offset,
    SnapshotChunk,
)
from foxspread.mesh.replication.messages import ContactReply
from foxspread.mesh.replication.proposer import Proposer
from foxspread.mesh.replication.quorum_contact import QuorumContact
from foxspread.mesh.replication.reconfiguration import Reconfiguration
from foxspread.mesh.replication.replica import CALL_TIMEOUT_S, Replica
from foxspread.mesh.replication.replica_server import NO_QUORUM_TIMEOUT_S
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer
from foxspread.mesh.simulation.events import format_item
from foxspread.mesh.simulation.observations import FaultPeriod
from foxspread.mesh.simulation.simulated_storage import SYNC_S, SimulatedStorage
from foxspread.mesh.state_sync import StateSync
from foxspread.mesh.transport.messages import (
    COMMITTED_NUMBER,
    KIND,
    VERSIONS,
    Fields,
    Have,
    Hello,
    PullResponse,
)
from foxspread.statistics import SeededRandom

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

TICK_INTERVAL_S = 0.1
RECONNECT_INTERVAL_S = 1.5  # reconnected peers exchange all versions again, which repairs lost messages
CHUNK_LIMIT_BYTES = 600  # small, so that a committed set takes many chunks
CHECKED_KINDS = OPERATOR_KINDS | {MEMBERS, LEASE}  # kinds of items that the invariants cover


@dataclass(frozen=True)
class ProtocolClasses:
    """The protocol classes that a run uses: those of a node, or mutants of some of them."""

    acceptor: type[Acceptor] = Acceptor
    proposer: type[Proposer] = Proposer
    replica: type[Replica] = Replica
    storage: type[SimulatedStorage] = SimulatedStorage
    quorum_contact: type[QuorumContact] = QuorumContact
    snapshot_transfer: type[SnapshotTransfer] = SnapshotTransfer
    readiness: type[Readiness] = Readiness
    reconfiguration: type[Reconfiguration] = Reconfiguration


@dataclass(frozen=True)
class SimulatedSettings:
    """The `ContactSettings` of a machine, each in a zone of its own."""

    zone: str
    tolerate: int
    tolerate_zones: int = 0


class SimulatedProcess:
    """One process that holds the committed set, with a clock of its own offset and rate."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.simulation, self.name = fleet, fleet.simulation, name
        self.incarnation, self.up, self.frozen = 0, False, False
        self.clock_rate, self.clock_offset_s = 1.0, 0.0
        self.deferred_calls: list[Callable[[], None]] = []
        self.state_sync = self._new_sync()

    def _new_sync(self) -> StateSync:
        return StateSync(
            self.clock,
            OwnRecord(self.name, None, 0),
            self.fleet.classes.snapshot_transfer(_with_small_chunks(Learner()), self.simulation.draw),
            self._send,
            lambda call: self.after(0.0, call),
            lambda peer: isinstance(self.fleet.processes[peer], Machine),
            self._report_committed,
            lambda node: None,
            lambda: None,
            self.fleet.classes.readiness(),
        )

    @property
    def learner(self) -> Learner:
        """Committed set of this process."""
        return self.state_sync.learner

    @property
    def incarnation_name(self) -> str:
        """Name of this incarnation in traces and violations."""
        return f"{self.name}.{self.incarnation}"

    def clock(self) -> float:
        """Returns the seconds of this process's own clock."""
        return self.clock_offset_s + self.clock_rate * self.simulation.now

    def execute(self, call: Callable[[], None]) -> None:
        """Makes a call now, or after a freeze; drops it if the process is down or ends meanwhile."""
        if not self.up:
            return
        if self.frozen:
            self.deferred_calls.append(call)
            return
        try:
            call()
        except InvariantViolation as error:
            self.fleet.checker.record_violation("no broken invariant", f"{self.name}: {error}")
            self.kill()

    def after(self, seconds: float, call: Callable[[], None]) -> None:
        """Schedules a call of this incarnation, in seconds of virtual time."""
        incarnation = self.incarnation
        self.simulation.after(
            seconds, lambda: self.execute(call) if incarnation == self.incarnation else None
        )

    def thaw(self) -> None:
        """Ends a freeze and makes the calls that were deferred during it."""
        if self.frozen:
            self.frozen = False
            calls, self.deferred_calls = self.deferred_calls, []
            for call in calls:
                self.execute(call)

    def kill(self) -> None:
        """Ends the process as SIGKILL does, without writing its state."""
        self.incarnation += 1
        self.up, self.frozen, self.deferred_calls = False, False, []
        self.fleet.network.incarnations[self.name] = self.incarnation

    def start(self) -> None:
        """Starts a new incarnation with no state."""
        self.up = True
        self.state_sync = self._new_sync()
        self.fleet.checker.incarnation_started(self.incarnation_name)
        self.after(0.0, self._connect)
        self.after(self.simulation.draw() * TICK_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self.state_sync.flush()
        self.after(TICK_INTERVAL_S / self.clock_rate, self._tick)

    # Peers.

    def _connect(self) -> None:
        self.after(RECONNECT_INTERVAL_S, self._connect)
        for machine in self.fleet.machines:
            if machine.name != self.name:
                self._peer_connected(machine.name)
                self._send(machine.name, {KIND: Hello.kind})

    def _peer_connected(self, name: str) -> None:
        self.state_sync.peer_disconnected(name)
        self.state_sync.peer_connected(name)

    def receive(self, sender: str, message: Fields) -> None:
        """Handles a message that the network delivers."""
        if message[KIND] == Hello.kind:
            self._peer_connected(sender)
        else:
            self.state_sync.handlers[message[KIND]](sender, message)

    def _report_committed(self, new: list[Item]) -> None:
        self.fleet.checker.now = self.simulation.now
        if new := [item.without_history for item in new if item.kind in CHECKED_KINDS]:
            self.fleet.log(
                f"{self.name} shows {' '.join(map(format_item, new))}, "
                f"upto {self.learner.committed_number[0]}"
            )
            self.fleet.checker.observe_items(self.incarnation_name, new)

    def _send(self, to: str, message: Fields) -> None:
        if not _is_empty(message):
            self.fleet.network.send(self.name, to, message)


def _is_empty(message: Fields) -> bool:
    """Returns whether a message has no content here, where no process has an endpoint record.

    Such messages are not sent, so that recorded seeds keep their random draws.
    """
    if message[KIND] == PullResponse.kind:
        return COMMITTED_NUMBER not in message
    return message[KIND] == Have.kind and not message[VERSIONS]


def _with_small_chunks(learner: Learner) -> Learner:
    """Limits the snapshot chunks of a learner, so that transfers can be interrupted; returns the learner."""

    def chunk(
        after: Offset = START_OFFSET, limit_bytes: int = CHUNK_LIMIT_BYTES, **options: bool
    ) -> SnapshotChunk:
        return Learner.chunk(learner, after, limit_bytes, **options)

    learner.chunk = chunk
    return learner


class Sidecar(SimulatedProcess):
    """Process without storage, which fetches the committed set from others after each start."""

    def start(self) -> None:
        """Starts a new incarnation, which is not ready."""
        self.was_ready = False
        super().start()

    def _tick(self) -> None:
        if self.state_sync.readiness.should_request_basis(self.clock(), False):
            to = self.simulation.choose(self.fleet.machines).name
            self._send(to, self.state_sync.staleness_pull(self.clock()))
        super()._tick()

    def _report_committed(self, new: list[Item]) -> None:
        super()._report_committed(new)
        self.fleet.checker.check_freshness(self.incarnation_name, "shows the set", self.learner.items)

    def receive(self, sender: str, message: Fields) -> None:
        """Handles a message; checks the freshness of the items if the message makes the sidecar ready."""
        super().receive(sender, message)
        if not self.was_ready and self.state_sync.readiness.is_ready(self.state_sync.has_items):
            self.was_ready = True
            self.fleet.checker.check_freshness(self.incarnation_name, "is ready", self.learner.items)


class Machine(SimulatedProcess):
    """Process with storage and a replica. A spare starts only when another machine is lost permanently."""

    def __init__(self, fleet: "Fleet", name: str, spare: bool = False) -> None:
        super().__init__(fleet, name)
        self.storage = fleet.classes.storage(fleet.simulation, name)
        self.replica: Replica | None = None
        self.partition_count = 0  # number of active faults that isolate it
        self.extra_downtime_s = 0.0  # added to its next downtime
        self.catch_up_period: FaultPeriod | None = None  # from its wipe, or as a spare, until it votes
        self.is_spare = spare
        self.replaced_at: float | None = None  # if lost permanently: when its spare counts instead
        self.counts_as_lost_until = 0.0  # time of the run
        self.leaving = False

    @property
    def is_lost(self) -> bool:
        """True if the machine counts towards the limit on lost machines."""
        if self.is_spare or (self.replaced_at is not None and self.simulation.now >= self.replaced_at):
            return False
        return not self.is_healthy or self.leaving or self.simulation.now < self.counts_as_lost_until

    @property
    def is_healthy(self) -> bool:
        """True if the machine serves and votes, with storage that writes in time."""
        return (
            self.up
            and not self.frozen
            and self.partition_count == 0
            and not self.storage.stalled
            and not self.storage.failing
            and self.storage.sync_s <= SYNC_S
            and self.replica.acceptor.voting
        )

    def start(self, first: bool = False) -> None:
        """Starts a new incarnation from its storage; `first` means the first start of the whole fleet."""
        super().start()
        fleet, simulation = self.fleet, self.simulation
        saved = self.storage.open(fleet.initial_members, first)
        acceptor = fleet.classes.acceptor(self.name, saved)
        self.state_sync.use_learner(_with_small_chunks(acceptor.learner))
        draw = SeededRandom(int(simulation.draw() * 2**32)).draw
        self.replica = fleet.classes.replica(
            self.clock,
            self.incarnation_name,
            draw,
            self._write,
            self._send,
            self._deliver_to_self,
            self.state_sync.on_replica_committed,
        )
        self.replica.proposer_class = fleet.classes.proposer
        self.replica.reachable_replicas = lambda: [each.name for each in fleet.machines if each is not self]
        self.contact = ReplicaContact(
            self.clock,
            lambda: SimulatedSettings(self.name, fleet.plan.tolerated_losses),
            lambda: self.leaving,
            self.replica,
            fleet.classes.quorum_contact(self.name, int(draw() * 2**30)),
            fleet.classes.reconfiguration(self.name, self.incarnation_name, draw),
            lambda: f"{self.incarnation_name} anew",
        )
        self.state_sync.replica = self.contact
        self.replica.start(acceptor)

    def kill(self) -> None:
        """Ends the process as SIGKILL does; writes that are not synced are lost."""
        super().kill()
        self.leaving = False
        self.storage.lose_power()

    def _write(self, writes: list, on_synced: Callable[[], None]) -> None:
        incarnation = self.incarnation
        self.storage.write(
            writes, lambda: self.execute(on_synced) if incarnation == self.incarnation else None
        )

    def _deliver_to_self(self, call: Callable[..., None], *arguments: Any) -> None:
        self.after(0.0, lambda: call(*arguments))

    def _tick(self) -> None:
        self.replica.tick()
        if self.catch_up_period is not None and self.replica.acceptor.voting:
            self.fleet.log(f"{self.name} has caught up")
            self.fleet.checker.fault_ended(self.catch_up_period)
            self.catch_up_period = None
        now = self.clock()
        if (request := self.contact.request(now)) is not None:
            for each in self.fleet.machines:
                if each is not self:
                    self._send(each.name, request.packed())
        self._announce_contact()
        if self.ready:
            self.fleet.checker.check_freshness(self.incarnation_name, "is ready", self.learner.items)
        if self.fleet.plan.members_change:
            self._reconfigure(now)
        super()._tick()

    # Contact with a quorum.

    @property
    def ready(self) -> bool:
        """True if a node in this state would be ready to serve."""
        return self.state_sync.ready()

    def _announce_contact(self) -> None:
        if self.contact.next_contact_change():
            self.state_sync.announce_committed_set()

    def _reconfigure(self, now: float) -> None:
        view = self.contact.cluster_view()
        if self.leaving and self.contact.reconfiguration.may_leave(now, view):
            return self.fleet.faults.finish_leave(self)
        if (items := self.contact.reconfiguration.step(now, view)) is None:
            return

        def on_outcome(outcome: bool | Failure) -> None:
            self.fleet.checker.observe_lease_use(self.incarnation_name, items, outcome)
            self.contact.reconfiguration.on_outcome(self.clock(), outcome)

        self.replica.call(items, on_outcome)

    # Messages and calls.

    def receive(self, sender: str, message: Fields) -> None:
        """Handles a message that the network delivers."""
        kind = message[KIND]
        if kind == Hello.kind or kind in self.state_sync.handlers:
            super().receive(sender, message)
            if kind == Hello.kind and isinstance(self.fleet.processes[sender], Machine):
                self.contact.replica_connected(self.clock(), sender)
        else:
            if (answer := self.contact.handle(sender, message)) is not None:
                self._send(sender, answer.packed())
            if kind == ContactReply.kind:
                self._announce_contact()

    def submit(
        self, items: tuple[Item, ...], on_outcome: Callable[[bool | Failure, dict[Key, Item]], None]
    ) -> None:
        """Submits a call of an operator; `on_outcome` receives its outcome and the items for a read."""
        timeout_s = CALL_TIMEOUT_S if self.contact.in_contact() else NO_QUORUM_TIMEOUT_S
        self.replica.call(list(items), lambda outcome: on_outcome(outcome, self.operator_items()), timeout_s)

    def operator_items(self) -> dict[Key, Item]:
        """Returns the items that an operator reads."""
        return {
            key: item.without_history
            for key, item in self.learner.items.items()
            if item.kind in OPERATOR_KINDS
        }
