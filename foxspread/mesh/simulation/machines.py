"""Processes of the fleet in virtual time: machines with a disk, which play the cores, and sidecars that hold
copies.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from foxspread.mesh.configuration.items import LEASE, MEMBERS, THEIRS, Item, Key
from foxspread.mesh.control_api.readiness import Readiness
from foxspread.mesh.gossip.anti_entropy import AntiEntropy
from foxspread.mesh.errors import InvariantViolation, Failure
from foxspread.mesh.replication.snapshot_transfer import SnapshotTransfer, ReceivedRows
from foxspread.mesh.replication.quorum_contact import QuorumContact, Report
from foxspread.mesh.replication.learner import (
    START,
    Learner,
    SnapshotChunk,
    Offset,
    unpack_proposal_number,
    unpack_row,
)
from foxspread.mesh.replication.acceptor import Acceptor
from foxspread.mesh.replication.replica import PATIENCE_S, Replica
from foxspread.mesh.replication.reconfiguration import Reconfiguration, ClusterView
from foxspread.mesh.replication.proposer import Proposer
from foxspread.mesh.simulation.disks import SYNC_S, SimDisk
from foxspread.mesh.simulation.invariants import shown
from foxspread.sums import Chance

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

COMMITTED_SET = "="  # the source of the settled set, as in a node
TICK_S = 0.1
MEET_S = 1.5  # links come up anew, whoever was missed is told
PIECE_BYTES = 600  # of rows in a piece: so small that a set comes in many
CUT_OFF_S = 0.3  # for a call on a machine without contact to a majority, as in a node
SHOWN = THEIRS | {MEMBERS, LEASE}  # what the judge is shown


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


class Party:
    """One process that holds a copy: what a node does with news of the settled set."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.world, self.name = fleet, fleet.world, name
        self.incarnation, self.up, self.frozen = 0, False, False
        self.rate, self.offset = 1.0, 0.0
        self.inbox: list[Callable[[], None]] = []
        self._holds(Learner())
        self.anti_entropy = AntiEntropy()
        self.flushing = False

    def _holds(self, learner: Learner) -> None:
        def small(after: Offset = START, most: int = PIECE_BYTES, bare: bool = False) -> SnapshotChunk:
            return Learner.piece(learner, after, most, bare)

        self.learner, learner.piece = learner, small
        self.snapshot_transfer = self.fleet.cores.snapshot_transfer(learner, self.world.draw)

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
        self.up, self.flushing = True, False
        self.anti_entropy = AntiEntropy(self._tells)
        self.fleet.judge.started(self.named)
        self.later(0.0, self._meet)
        self.later(self.world.draw() * TICK_S, self._tick)

    def _tick(self) -> None:
        self._flush()
        self.later(TICK_S / self.rate, self._tick)

    def _tells(self, peer: str, source: str) -> bool:
        return False

    # News.

    def _meet(self) -> None:
        self.later(MEET_S, self._meet)
        for core in self.fleet.machines:
            if core.name != self.name:
                self._met(core.name)
                self._send(core.name, {"t": "hello"})

    def _met(self, name: str) -> None:
        self.anti_entropy.left(name)
        self.anti_entropy.met(name)
        self.snapshot_transfer.left(name)
        if versions := self.anti_entropy.whole(name):
            self._send(name, {"t": "have", "v": versions})

    def heard(self, sender: str, message: dict[str, Any]) -> None:
        kind = message["t"]
        if kind == "hello":
            self._met(sender)
        elif kind == "have":
            committed_number = unpack_proposal_number(message["v"][COMMITTED_SET])
            if self._learns_from(sender):
                self.snapshot_transfer.told(sender, committed_number)
            self._noticed(committed_number)
            self._soon()
        elif kind == "pull":
            if self._may_tell(sender):
                news = {
                    "t": "news",
                    "at": message["at"],
                    "upto": self.learner.committed_number,
                    "age": self._age(),
                }
                self._send(sender, news)
        elif kind == "news":
            self._hears_news(sender, message)
            self._soon()
        elif kind == "piece":
            if self._may_tell(sender):
                has_storage = isinstance(self.fleet.parties[sender], Machine)
                self._send(sender, SnapshotTransfer.answer(self.learner, message, self._age(), has_storage))
        elif kind == "rows":
            if (taken := self.snapshot_transfer.heard(self.clock(), sender, message)) is not None:
                self._take(taken)
            self._soon()

    def _learns_from(self, sender: str) -> bool:
        return True

    def _may_tell(self, to: str) -> bool:
        """Of the settled set, now."""
        return False

    def _age(self) -> float | None:
        return None

    def _hears_news(self, sender: str, news: dict[str, Any]) -> None:
        pass

    def _noticed(self, at: tuple) -> None:
        pass

    def _take(self, taken: ReceivedRows) -> None:
        pass

    def _show(self, new: list[Item]) -> None:
        self.fleet.judge.now = self.world.now
        if new := [item.bare for item in new if item.kind in SHOWN]:
            self.fleet.say(
                f"{self.name} shows {' '.join(map(shown, new))}, upto {self.learner.committed_number[0]}"
            )
            self.fleet.judge.shows(self.named, new)
        self.anti_entropy.have(COMMITTED_SET, self.learner.committed_number)
        self.anti_entropy.dirty.add(COMMITTED_SET)
        self._soon()

    def _soon(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.later(0.0, self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for peer, versions in self.anti_entropy.notices():
            self._send(peer, {"t": "have", "v": versions})
        for peer, message in self.snapshot_transfer.step(self.clock()):
            self._send(peer, message)

    def _send(self, to: str, message: dict[str, Any]) -> None:
        self.fleet.links.send(self.name, to, message)


class Sidecar(Party):
    """A copy beside no disk: all that it knows it has from others, in each life anew."""

    def start(self) -> None:
        self._holds(Learner())
        self.readiness, self.was_ready = self.fleet.cores.readiness(), False
        super().start()

    def _tick(self) -> None:
        if self.readiness.asks(self.clock(), False):
            to = self.world.pick(self.fleet.machines).name
            self._send(
                to, {"t": "pull", "v": {COMMITTED_SET: self.learner.committed_number}, "at": self.clock()}
            )
        super()._tick()

    def _hears_news(self, sender: str, news: dict[str, Any]) -> None:
        if (committed_number := unpack_proposal_number(news["upto"])) > self.learner.committed_number:
            self.snapshot_transfer.told(sender, committed_number)
        else:
            self._based(news["at"], news["age"])

    def _take(self, taken: ReceivedRows) -> None:
        take = self.learner.replace if taken.replaced else self.learner.fold
        self._show(take(taken.committed_number, map(unpack_row, taken.rows)))
        self.fleet.judge.tells(self.named, "shows the set", self.learner.items)
        self._based(self.clock(), taken.age)

    def _based(self, asked_at: float, age: float | None) -> None:
        self.readiness.told(self.clock(), asked_at, age)
        if not self.was_ready and self.readiness.ready(bool(self.learner.items)):
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
        self._holds(acceptor.learner)
        draw = Chance(int(world.draw() * 2**32)).draw
        self.core = fleet.cores.replica(
            self.clock, self.named, draw, self._put, self._send, self._hears_itself, self._show
        )
        self.core.proposes_with = fleet.cores.proposer
        self.core.others = lambda: [each.name for each in fleet.machines if each is not self]
        self.quorum_contact = fleet.cores.quorum_contact(self.name, int(draw() * 2**30))
        self.reconfiguration = fleet.cores.reconfiguration(self.name, self.named, draw)
        self.in_quorum_contact = False
        self.core.begin(acceptor)

    def kill(self) -> None:
        super().kill()
        self.leaving = False
        self.disk.power_lost()

    def _put(self, writes: list, then: Callable[[], None]) -> None:
        incarnation = self.incarnation
        self.disk.put(writes, lambda: self.does(then) if incarnation == self.incarnation else None)

    def _hears_itself(self, call: Callable[..., None], *told: Any) -> None:
        self.later(0.0, lambda: call(*told))

    def _tick(self) -> None:
        self.core.tick()
        if self.wiped is not None and self.core.acceptor.voting:
            self.fleet.say(f"{self.name} has caught up")
            self.fleet.judge.over(self.wiped)
            self.wiped = None
        now = self.clock()
        if (asking := self.quorum_contact.ask(now, self._report())) is not None:
            for each in self.fleet.machines:
                if each is not self:
                    self._send(each.name, asking)
        self._stand()
        if self.ready:
            self.fleet.judge.tells(self.named, "is ready", self.learner.items)
        if self.fleet.plan.members_change:
            self._replace(now)
        super()._tick()

    # Whether it may speak.

    @property
    def ready(self) -> bool:
        return bool(self.learner.items) and self.core.fresh and self._current()

    def _current(self) -> bool:
        if self.core is None or self.core.acceptor is None:
            return False
        self.quorum_contact.held(self.core.acceptor.members, self.learner.committed_number)
        return self.quorum_contact.current(self.clock())

    def _report(self) -> Report:
        acceptor = self.core.acceptor
        return Report(
            self.name,
            acceptor.known and acceptor.voting,
            acceptor.epoch,
            acceptor.learner.committed_number,
            max(acceptor.accepted, acceptor.learner.committed_number),
            self.name,
            self.leaving,
            self.quorum_contact.hears(self.clock()),
            acceptor.disk,
        )

    def _stand(self) -> None:
        if (current := self._current()) != self.in_quorum_contact:
            self.in_quorum_contact = current
            if current:
                self.anti_entropy.dirty.add(COMMITTED_SET)
                self._soon()

    def _tells(self, peer: str, source: str) -> bool:
        return isinstance(self.fleet.parties[peer], Machine) or self._current()

    def _learns_from(self, sender: str) -> bool:
        return isinstance(self.fleet.parties[sender], Machine)

    def _may_tell(self, to: str) -> bool:
        return isinstance(self.fleet.parties[to], Machine) or self._current()

    def _age(self) -> float | None:
        return self.quorum_contact.age(self.clock()) if self._current() else None

    # Who the members are.

    def _view(self, now: float) -> ClusterView:
        acceptor = self.core.acceptor
        reports = {name: (at, report) for name, (report, at) in self.quorum_contact.reports.items()}
        reports[self.name] = now, self._report()
        self.quorum_contact.held(acceptor.members, self.learner.committed_number)
        return ClusterView(
            self.name,
            acceptor.members,
            self.learner.items.get((LEASE, MEMBERS)),
            reports,
            self.learner.committed_number,
            self.fleet.plan.tolerate,
            0,
            self.quorum_contact.age(now),
        )

    def _replace(self, now: float) -> None:
        view = self._view(now)
        if self.leaving and self.reconfiguration.may_go(now, view):
            return self.fleet.faults.has_left(self)
        if (items := self.reconfiguration.step(now, view)) is None:
            return

        def told(outcome: bool | Failure) -> None:
            self.fleet.judge.acted(self.named, items, outcome)
            self.reconfiguration.told(self.clock(), outcome)

        self.core.ask(items, told)

    # What it hears.

    def heard(self, sender: str, message: dict[str, Any]) -> None:
        kind = message["t"]
        if kind in ("hello", "have", "pull", "news", "piece", "rows"):
            super().heard(sender, message)
            if kind == "hello" and isinstance(self.fleet.parties[sender], Machine):
                self.quorum_contact.next_at = self.clock()
                self.core.reached(sender)
        elif kind == "contact":
            self._send(sender, self.quorum_contact.answer(message, self._report()))
        elif kind == "contacted":
            self.quorum_contact.heard(self.clock(), sender, message)
            self._stand()
        else:
            self.core.heard(sender, message)

    def _noticed(self, at: tuple) -> None:
        self.core.peer_committed(at)

    def _take(self, taken: ReceivedRows) -> None:
        self.core.learn(taken.committed_number, taken.rows, taken.replaced)

    def asked(self, items: tuple[Item, ...], tell: Callable) -> None:
        """By an operator; `tell` gets the outcome, and of a read what is held."""
        patience = PATIENCE_S if self._current() else CUT_OFF_S
        self.core.ask(list(items), lambda outcome: tell(outcome, self.theirs()), patience)

    def theirs(self) -> dict[Key, Item]:
        """What a read tells."""
        return {key: item.bare for key, item in self.learner.items.items() if item.kind in THEIRS}
