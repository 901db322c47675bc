"""Processes of the fleet in virtual time: machines with a disk, which play the cores, and sidecars that hold
copies.
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
from foxspread.mesh.simulation.disks import SYNC_S, SimDisk
from foxspread.mesh.simulation.invariants import shown
from foxspread.mesh.registry.own_record import OwnRecord
from foxspread.mesh.replica_contact import ReplicaContact
from foxspread.mesh.state_sync import StateSync
from foxspread.mesh.transport.messages import Fields, Have, Hello, PullResponse
from foxspread.sums import Chance

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

TICK_S = 0.1
RECONNECT_S = 1.5  # links come up anew, whoever was missed is told
PIECE_BYTES = 600  # of rows in a piece: so small that a set comes in many
CUT_OFF_S = 0.3  # for a call on a machine without contact to a majority, as in a node
SHOWN = OPERATOR_KINDS | {MEMBERS, LEASE}  # what the judge is shown


@dataclass(frozen=True)
class Cores:
    """What is played: the cores as they are, or a broken one among them."""

    acceptor: type[Acceptor] = Acceptor
    proposer: type[Proposer] = Proposer
    replica: type[Replica] = Replica
    disk: type[SimDisk] = SimDisk
    quorum_contact: type[QuorumContact] = QuorumContact
    snapshot_transfer: type[SnapshotTransfer] = SnapshotTransfer
    readiness: type[Readiness] = Readiness
    reconfiguration: type[Reconfiguration] = Reconfiguration


@dataclass(frozen=True)
class SimSettings:
    """The `ContactSettings` of a machine: each is a zone by itself."""

    zone: str
    tolerate: int
    tolerate_zones: int = 0


class Party:
    """One process that holds a copy: the core that a node runs too, in virtual time."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.world, self.name = fleet, fleet.world, name
        self.incarnation, self.up, self.frozen = 0, False, False
        self.rate, self.offset = 1.0, 0.0
        self.inbox: list[Callable[[], None]] = []
        self.sync = self._new_sync()

    def _new_sync(self) -> StateSync:
        return StateSync(
            self.clock,
            OwnRecord(self.name, None, 0),
            self.fleet.cores.snapshot_transfer(_in_small_chunks(Learner()), self.world.draw),
            self._send,
            lambda call: self.later(0.0, call),
            lambda peer: isinstance(self.fleet.parties[peer], Machine),
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
    def named(self) -> str:
        return f"{self.name}.{self.incarnation}"

    def clock(self) -> float:
        return self.offset + self.rate * self.world.now

    def does(self, call: Callable[[], None]) -> None:
        """Now, or once it is not frozen; never in a later life."""
        if not self.up:
            return
        if self.frozen:
            self.inbox.append(call)
            return
        try:
            call()
        except InvariantViolation as error:
            self.fleet.judge.broken("no broken invariant", f"{self.name}: {error}")
            self.kill()

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        incarnation = self.incarnation
        self.world.after(seconds, lambda: self.does(call) if incarnation == self.incarnation else None)

    def thaw(self) -> None:
        if self.frozen:
            self.frozen = False
            inbox, self.inbox = self.inbox, []
            for call in inbox:
                self.does(call)

    def kill(self) -> None:
        self.incarnation += 1
        self.up, self.frozen, self.inbox = False, False, []
        self.fleet.links.lives[self.name] = self.incarnation

    def start(self) -> None:
        self.up = True
        self.sync = self._new_sync()
        self.fleet.judge.started(self.named)
        self.later(0.0, self._connect)
        self.later(self.world.draw() * TICK_S, self._tick)

    def _tick(self) -> None:
        self.sync.flush()
        self.later(TICK_S / self.rate, self._tick)

    # Peers.

    def _connect(self) -> None:
        self.later(RECONNECT_S, self._connect)
        for core in self.fleet.machines:
            if core.name != self.name:
                self._peer_connected(core.name)
                self._send(core.name, {"t": Hello.kind})

    def _peer_connected(self, name: str) -> None:
        self.sync.peer_disconnected(name)
        self.sync.peer_connected(name)

    def heard(self, sender: str, message: Fields) -> None:
        if message["t"] == Hello.kind:
            self._peer_connected(sender)
        else:
            self.sync.handlers[message["t"]](sender, message)

    def _show(self, new: list[Item]) -> None:
        self.fleet.judge.now = self.world.now
        if new := [item.without_history for item in new if item.kind in SHOWN]:
            self.fleet.say(
                f"{self.name} shows {' '.join(map(shown, new))}, upto {self.learner.committed_number[0]}"
            )
            self.fleet.judge.shows(self.named, new)

    def _send(self, to: str, message: Fields) -> None:
        if not _is_empty(message):
            self.fleet.links.send(self.name, to, message)


def _is_empty(message: Fields) -> bool:
    """Messages that a node sends and that tell nothing here, where nobody has an endpoint record: left out,
    so that a seed draws what it always drew."""
    if message["t"] == PullResponse.kind:
        return "upto" not in message
    return message["t"] == Have.kind and not message["v"]


def _in_small_chunks(learner: Learner) -> Learner:
    def chunk(
        after: Offset = START, limit_bytes: int = PIECE_BYTES, for_sidecars: bool = False
    ) -> SnapshotChunk:
        return Learner.chunk(learner, after, limit_bytes, for_sidecars)

    learner.chunk = chunk
    return learner


class Sidecar(Party):
    """A copy beside no disk: all that it knows it has from others, in each life anew."""

    def start(self) -> None:
        self.was_ready = False
        super().start()

    def _tick(self) -> None:
        if self.sync.readiness.should_request_basis(self.clock(), False):
            to = self.world.pick(self.fleet.machines).name
            self._send(to, self.sync.basis_pull(self.clock()))
        super()._tick()

    def _show(self, new: list[Item]) -> None:
        super()._show(new)
        self.fleet.judge.tells(self.named, "shows the set", self.learner.items)

    def heard(self, sender: str, message: Fields) -> None:
        super().heard(sender, message)
        if not self.was_ready and self.sync.readiness.is_ready(self.sync.has_items):
            self.was_ready = True
            self.fleet.judge.tells(self.named, "is ready", self.learner.items)


class Machine(Party):
    """A machine with a disk. A spare is there, but not started until one is gone."""

    def __init__(self, fleet: "Fleet", name: str, spare: bool = False) -> None:
        super().__init__(fleet, name)
        self.disk = fleet.cores.disk(fleet.world, name)
        self.core: Replica | None = None
        self.cut = 0  # faults that cut it off
        self.slow_start = 0.0  # it is away for so much longer, the next time
        self.wiped: list | None = None  # the trouble that is over once it has caught up
        self.spare = spare
        self.counts_from: float | None = None  # gone for good: from then on its successor counts
        self.returning_until = 0.0  # till then it counts as lost
        self.leaving = False

    @property
    def lost(self) -> bool:
        """Whether it counts among those that are lost at once."""
        if self.spare or (self.counts_from is not None and self.world.now >= self.counts_from):
            return False
        return not self.works or self.leaving or self.world.now < self.returning_until

    @property
    def works(self) -> bool:
        return (
            self.up
            and not self.frozen
            and self.cut == 0
            and not self.disk.stalled
            and not self.disk.refuses
            and self.disk.sync_s <= SYNC_S
            and self.core.acceptor.voting
        )

    def start(self, first: bool = False) -> None:
        super().start()
        fleet, world = self.fleet, self.world
        saved = self.disk.open(fleet.seeds, first)
        acceptor = fleet.cores.acceptor(self.name, saved)
        self.sync.learner = _in_small_chunks(acceptor.learner)
        draw = Chance(int(world.draw() * 2**32)).draw
        self.core = fleet.cores.replica(
            self.clock, self.named, draw, self._put, self._send, self._hears_itself, self.sync.committed
        )
        self.core.proposer_class = fleet.cores.proposer
        self.core.reachable_replicas = lambda: [each.name for each in fleet.machines if each is not self]
        self.contact = ReplicaContact(
            self.clock,
            lambda: SimSettings(self.name, fleet.plan.tolerate),
            lambda: self.leaving,
            self.core,
            fleet.cores.quorum_contact(self.name, int(draw() * 2**30)),
            fleet.cores.reconfiguration(self.name, self.named, draw),
            lambda: f"{self.named} anew",
        )
        self.sync.replica = self.contact
        self.core.begin(acceptor)

    def kill(self) -> None:
        super().kill()
        self.leaving = False
        self.disk.power_lost()

    def _put(self, writes: list, then: Callable[[], None]) -> None:
        incarnation = self.incarnation
        self.disk.write(writes, lambda: self.does(then) if incarnation == self.incarnation else None)

    def _hears_itself(self, call: Callable[..., None], *told: Any) -> None:
        self.later(0.0, lambda: call(*told))

    def _tick(self) -> None:
        self.core.tick()
        if self.wiped is not None and self.core.acceptor.voting:
            self.fleet.say(f"{self.name} has caught up")
            self.fleet.judge.over(self.wiped)
            self.wiped = None
        now = self.clock()
        if (request := self.contact.request(now)) is not None:
            for each in self.fleet.machines:
                if each is not self:
                    self._send(each.name, request.packed())
        self._announce_contact()
        if self.ready:
            self.fleet.judge.tells(self.named, "is ready", self.learner.items)
        if self.fleet.plan.members_change:
            self._replace(now)
        super()._tick()

    # Contact with a quorum.

    @property
    def ready(self) -> bool:
        """Whether a node would serve here."""
        return self.sync.ready()

    def _announce_contact(self) -> None:
        if self.contact.take_change():
            self.sync.announce_committed_set()

    def _replace(self, now: float) -> None:
        view = self.contact.cluster_view()
        if self.leaving and self.contact.reconfiguration.may_leave(now, view):
            return self.fleet.faults.has_left(self)
        if (items := self.contact.reconfiguration.step(now, view)) is None:
            return

        def told(outcome: bool | Failure) -> None:
            self.fleet.judge.acted(self.named, items, outcome)
            self.contact.reconfiguration.on_outcome(self.clock(), outcome)

        self.core.call(items, told)

    # What it hears.

    def heard(self, sender: str, message: Fields) -> None:
        kind = message["t"]
        if kind == Hello.kind or kind in self.sync.handlers:
            super().heard(sender, message)
            if kind == Hello.kind and isinstance(self.fleet.parties[sender], Machine):
                self.contact.replica_connected(self.clock(), sender)
        else:
            if (answer := self.contact.handle(sender, message)) is not None:
                self._send(sender, answer.packed())
            if kind == ContactReply.kind:
                self._announce_contact()

    def asked(self, items: tuple[Item, ...], tell: Callable) -> None:
        """By an operator; `tell` gets the outcome, and of a read what is held."""
        timeout_s = CALL_TIMEOUT_S if self.contact.in_contact() else CUT_OFF_S
        self.core.call(list(items), lambda outcome: tell(outcome, self.theirs()), timeout_s)

    def theirs(self) -> dict[Key, Item]:
        """What a read tells."""
        return {
            key: item.without_history
            for key, item in self.learner.items.items()
            if item.kind in OPERATOR_KINDS
        }
