"""Processes of a simulated fleet: machines with storage, which run all cores of a replica, and sidecars,
which only learn. They wire the cores as `Node` does, with virtual time in place of an event loop.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from foxspread.mesh.configuration.items import LEASE, MEMBERS, OPERATOR_KINDS, Item, Key
from foxspread.mesh.control_api.readiness import Readiness
from foxspread.mesh.gossip.anti_entropy import AntiEntropy
from foxspread.mesh.errors import InvariantViolation, Failure
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer
from foxspread.mesh.replication.quorum_contact import QuorumContact
from foxspread.mesh.replication.learner import (
    START,
    Learner,
    SnapshotChunk,
    Offset,
)
from foxspread.mesh.replication.acceptor import Acceptor
from foxspread.mesh.replication.replica import CALL_TIMEOUT_S, Replica
from foxspread.mesh.replication.messages import ContactReply
from foxspread.mesh.replication.reconfiguration import Reconfiguration
from foxspread.mesh.replication.proposer import Proposer
from foxspread.mesh.simulation.simulated_storage import SYNC_S, SimulatedStorage
from foxspread.mesh.simulation.events import format_item
from foxspread.mesh.simulation.observations import FaultPeriod
from foxspread.mesh.registry.own_record import OwnRecord
from foxspread.mesh.replica_contact import ReplicaContact
from foxspread.mesh.state_sync import StateSync
from foxspread.mesh.transport.messages import Fields, Have, Hello, PullResponse
from foxspread.sums import Chance

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

TICK_S = 0.1
RECONNECT_S = 1.5  # so often connections come up anew, and whoever was missed is told
CHUNK_LIMIT_BYTES = 600  # of rows in a chunk: so small that a set takes many
NO_QUORUM_TIMEOUT_S = 0.3  # for a call on a machine without contact to a majority, as in a node
CHECKED_KINDS = OPERATOR_KINDS | {MEMBERS, LEASE}  # what the invariants are judged by


@dataclass(frozen=True)
class Cores:
    """The classes that a run plays: those of a node, or a mutant among them."""

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
    """The `ContactSettings` of a machine: each is a zone by itself."""

    zone: str
    tolerate: int
    tolerate_zones: int = 0


class Process:
    """One process with the committed configuration, which it keeps in step with its peers as a node does."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.simulation, self.name = fleet, fleet.simulation, name
        self.incarnation, self.up, self.frozen = 0, False, False
        self.rate, self.offset = 1.0, 0.0
        self.inbox: list[Callable[[], None]] = []
        self.sync = self._new_sync()

    def _new_sync(self) -> StateSync:
        return StateSync(
            self.clock,
            OwnRecord(self.name, None, 0),
            self.fleet.cores.snapshot_transfer(_in_small_chunks(Learner()), self.simulation.draw),
            self._send,
            lambda call: self.schedule(0.0, call),
            lambda peer: isinstance(self.fleet.processes[peer], Machine),
            self._show,
            lambda node: None,
            lambda: None,
            self.fleet.cores.readiness(),
        )

    @property
    def learner(self) -> Learner:
        """The committed set as held here."""
        return self.sync.learner

    @property
    def anti_entropy(self) -> AntiEntropy:
        """Who lacks what."""
        return self.sync.anti_entropy

    @property
    def incarnation_name(self) -> str:
        """Its name and how often it has ended."""
        return f"{self.name}.{self.incarnation}"

    def clock(self) -> float:
        """Its own clock, in seconds: not in step with others, and a little fast or slow."""
        return self.offset + self.rate * self.simulation.now

    def execute(self, call: Callable[[], None]) -> None:
        """Now, or once it is no longer frozen; never in a later incarnation."""
        if not self.up:
            return
        if self.frozen:
            self.inbox.append(call)
            return
        try:
            call()
        except InvariantViolation as error:
            self.fleet.checker.violated("no broken invariant", f"{self.name}: {error}")
            self.kill()

    def schedule(self, seconds: float, call: Callable[[], None]) -> None:
        """Execute a call so much later, if this incarnation lives then."""
        incarnation = self.incarnation
        self.simulation.after(
            seconds, lambda: self.execute(call) if incarnation == self.incarnation else None
        )

    def thaw(self) -> None:
        """Go on, with all that came meanwhile."""
        if self.frozen:
            self.frozen = False
            inbox, self.inbox = self.inbox, []
            for call in inbox:
                self.execute(call)

    def kill(self) -> None:
        """End at once; its connections and what they carry are lost."""
        self.incarnation += 1
        self.up, self.frozen, self.inbox = False, False, []
        self.fleet.network.incarnations[self.name] = self.incarnation

    def start(self) -> None:
        """Begin a new incarnation, which knows nothing yet."""
        self.up = True
        self.sync = self._new_sync()
        self.fleet.checker.copy_started(self.incarnation_name)
        self.schedule(0.0, self._connect)
        self.schedule(self.simulation.draw() * TICK_S, self._tick)

    def _tick(self) -> None:
        self.sync.flush()
        self.schedule(TICK_S / self.rate, self._tick)

    # Peers.

    def _connect(self) -> None:
        self.schedule(RECONNECT_S, self._connect)
        for core in self.fleet.machines:
            if core.name != self.name:
                self._peer_connected(core.name)
                self._send(core.name, {"t": Hello.kind})

    def _peer_connected(self, name: str) -> None:
        self.sync.peer_disconnected(name)
        self.sync.peer_connected(name)

    def receive(self, sender: str, message: Fields) -> None:
        """A message of another process has come."""
        if message["t"] == Hello.kind:
            self._peer_connected(sender)
        else:
            self.sync.handlers[message["t"]](sender, message)

    def _show(self, new: list[Item]) -> None:
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
    """Whether a message that a node sends says nothing here, where nobody has an endpoint record: left out,
    so that a seed draws what it always drew."""
    if message["t"] == PullResponse.kind:
        return "upto" not in message
    return message["t"] == Have.kind and not message["v"]


def _in_small_chunks(learner: Learner) -> Learner:
    """The learner, which sends snapshots in chunks that are small enough to be interrupted."""

    def chunk(
        after: Offset = START, limit_bytes: int = CHUNK_LIMIT_BYTES, bare: bool = False
    ) -> SnapshotChunk:
        return Learner.chunk(learner, after, limit_bytes, bare)

    learner.chunk = chunk
    return learner


class Sidecar(Process):
    """A process without storage: all that it knows it learns from others, in each incarnation anew."""

    def start(self) -> None:
        """Begin a new incarnation, not ready yet."""
        self.was_ready = False
        super().start()

    def _tick(self) -> None:
        if self.sync.readiness.should_request_basis(self.clock(), False):
            to = self.simulation.choose(self.fleet.machines).name
            self._send(to, self.sync.basis_pull(self.clock()))
        super()._tick()

    def _show(self, new: list[Item]) -> None:
        super()._show(new)
        self.fleet.checker.check_freshness(self.incarnation_name, "shows the set", self.learner.items)

    def receive(self, sender: str, message: Fields) -> None:
        """Whatever comes may make it ready; then it must not be stale."""
        super().receive(sender, message)
        if not self.was_ready and self.sync.readiness.is_ready(self.sync.has_items):
            self.was_ready = True
            self.fleet.checker.check_freshness(self.incarnation_name, "is ready", self.learner.items)


class Machine(Process):
    """A machine with storage. A spare is not started until another is lost for good."""

    def __init__(self, fleet: "Fleet", name: str, spare: bool = False) -> None:
        super().__init__(fleet, name)
        self.storage = fleet.cores.storage(fleet.simulation, name)
        self.core: Replica | None = None
        self.partition_count = 0  # faults that isolate it
        self.extra_downtime_s = 0.0  # it is away for so much longer, the next time
        self.catch_up_period: FaultPeriod | None = None  # from its wipe until it votes again
        self.spare = spare
        self.replaced_at: float | None = None  # lost for good: from then on its successor counts
        self.returning_until = 0.0  # till then it counts as lost
        self.leaving = False

    @property
    def lost(self) -> bool:
        """Whether it counts among those that are lost at once."""
        if self.spare or (self.replaced_at is not None and self.simulation.now >= self.replaced_at):
            return False
        return not self.is_healthy or self.leaving or self.simulation.now < self.returning_until

    @property
    def is_healthy(self) -> bool:
        """Whether no fault keeps it from voting in time."""
        return (
            self.up
            and not self.frozen
            and self.partition_count == 0
            and not self.storage.stalled
            and not self.storage.failing
            and self.storage.sync_s <= SYNC_S
            and self.core.acceptor.voting
        )

    def start(self, first: bool = False) -> None:
        """Begin a new incarnation from its storage; `first`: at the mesh's first start."""
        super().start()
        fleet, simulation = self.fleet, self.simulation
        saved = self.storage.open(fleet.seeds, first)
        acceptor = fleet.cores.acceptor(self.name, saved)
        self.sync.learner = _in_small_chunks(acceptor.learner)
        draw = Chance(int(simulation.draw() * 2**32)).draw
        self.core = fleet.cores.replica(
            self.clock,
            self.incarnation_name,
            draw,
            self._write,
            self._send,
            self._schedule_call,
            self.sync.committed,
        )
        self.core.proposer_class = fleet.cores.proposer
        self.core.reachable_replicas = lambda: [each.name for each in fleet.machines if each is not self]
        self.contact = ReplicaContact(
            self.clock,
            lambda: SimulatedSettings(self.name, fleet.plan.tolerate),
            lambda: self.leaving,
            self.core,
            fleet.cores.quorum_contact(self.name, int(draw() * 2**30)),
            fleet.cores.reconfiguration(self.name, self.incarnation_name, draw),
            lambda: f"{self.incarnation_name} anew",
        )
        self.sync.replica = self.contact
        self.core.begin(acceptor)

    def kill(self) -> None:
        """End at once; what its storage has not synced is lost."""
        super().kill()
        self.leaving = False
        self.storage.lose_power()

    def _write(self, writes: list, on_synced: Callable[[], None]) -> None:
        incarnation = self.incarnation
        self.storage.write(
            writes, lambda: self.execute(on_synced) if incarnation == self.incarnation else None
        )

    def _schedule_call(self, call: Callable[..., None], *arguments: Any) -> None:
        self.schedule(0.0, lambda: call(*arguments))

    def _tick(self) -> None:
        self.core.tick()
        if self.catch_up_period is not None and self.core.acceptor.voting:
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
        """Whether a node would serve here."""
        return self.sync.ready()

    def _announce_contact(self) -> None:
        if self.contact.take_change():
            self.sync.announce_committed_set()

    def _reconfigure(self, now: float) -> None:
        view = self.contact.cluster_view()
        if self.leaving and self.contact.reconfiguration.may_leave(now, view):
            return self.fleet.faults.has_left(self)
        if (items := self.contact.reconfiguration.step(now, view)) is None:
            return

        def on_outcome(outcome: bool | Failure) -> None:
            self.fleet.checker.lease_used(self.incarnation_name, items, outcome)
            self.contact.reconfiguration.on_outcome(self.clock(), outcome)

        self.core.call(items, on_outcome)

    # Messages and calls.

    def receive(self, sender: str, message: Fields) -> None:
        """A message of another process has come, for the core that it concerns."""
        kind = message["t"]
        if kind == Hello.kind or kind in self.sync.handlers:
            super().receive(sender, message)
            if kind == Hello.kind and isinstance(self.fleet.processes[sender], Machine):
                self.contact.replica_connected(self.clock(), sender)
        else:
            if (answer := self.contact.handle(sender, message)) is not None:
                self._send(sender, answer.packed())
            if kind == ContactReply.kind:
                self._announce_contact()

    def submit(self, items: tuple[Item, ...], on_answer: Callable) -> None:
        """Submit a client's call; `on_answer` gets the outcome, and what a read would return."""
        timeout_s = CALL_TIMEOUT_S if self.contact.in_contact() else NO_QUORUM_TIMEOUT_S
        self.core.call(list(items), lambda outcome: on_answer(outcome, self.readable_items()), timeout_s)

    def readable_items(self) -> dict[Key, Item]:
        """What a read returns."""
        return {
            key: item.without_history
            for key, item in self.learner.items.items()
            if item.kind in OPERATOR_KINDS
        }
