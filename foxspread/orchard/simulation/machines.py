"""Processes of the fleet in virtual time: machines with a disk, which play the cores, and sidecars that hold
copies.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from foxspread.orchard.configuration.items import THEIRS, Item, Key
from foxspread.orchard.membership.exchange import Exchange
from foxspread.orchard.outcome import Broken
from foxspread.orchard.replication.copy import Copy, row, unrow
from foxspread.orchard.replication.acceptor import Acceptor
from foxspread.orchard.replication.replica import Replica
from foxspread.orchard.replication.proposer import Proposer
from foxspread.orchard.simulation.disks import SYNC_S, SimDisk
from foxspread.orchard.simulation.judge import shown
from foxspread.sums import Chance

if TYPE_CHECKING:
    from foxspread.orchard.simulation.agreement import Fleet

SETTLED = "="  # the source of the settled set, as in a node
TICK_S = 0.1
MEET_S = 1.5  # links come up anew, whoever was missed is told


@dataclass(frozen=True)
class Cores:
    """What is played: the cores as they are, or a broken one among them."""

    acceptor: type[Acceptor] = Acceptor
    proposer: type[Proposer] = Proposer
    replica: type[Replica] = Replica
    disk: type[SimDisk] = SimDisk


class Party:
    """One process that holds a copy: what a node does with news of the settled set."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.fleet, self.world, self.name = fleet, fleet.world, name
        self.life, self.up, self.frozen = 0, False, False
        self.rate, self.offset = 1.0, 0.0
        self.inbox: list[Callable[[], None]] = []
        self.copy = Copy()
        self.exchange = Exchange()
        self.flushing = False

    @property
    def named(self) -> str:
        return f"{self.name}.{self.life}"

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
        except Broken as error:
            self.fleet.judge.broken("no broken invariant", f"{self.name}: {error}")
            self.kill()

    def later(self, seconds: float, call: Callable[[], None]) -> None:
        life = self.life
        self.world.after(seconds, lambda: self.does(call) if life == self.life else None)

    def thaw(self) -> None:
        if self.frozen:
            self.frozen = False
            inbox, self.inbox = self.inbox, []
            for call in inbox:
                self.does(call)

    def kill(self) -> None:
        self.life += 1
        self.up, self.frozen, self.inbox = False, False, []
        self.fleet.links.lives[self.name] = self.life

    def start(self) -> None:
        self.up, self.flushing = True, False
        self.exchange = Exchange(self._tells)
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
        self.exchange.left(name)
        self.exchange.met(name)
        if versions := self.exchange.whole(name):
            self._send(name, {"t": "have", "v": versions})

    def heard(self, sender: str, message: dict[str, Any]) -> None:
        kind = message["t"]
        if kind == "hello":
            self._met(sender)
        elif kind == "have":
            self.exchange.told(sender, {source: tuple(v) for source, v in message["v"].items()})
            self._noticed(tuple(message["v"][SETTLED]))
            self._soon()
        elif kind == "pull":
            since = tuple(message["v"][SETTLED]) or (0, "")
            rows = [row(*each) for each in self.copy.since(since)]
            self._send(sender, {"t": "news", "upto": self.copy.upto, "rows": rows})
        elif kind == "news":
            self._take(tuple(message["upto"]), message["rows"])
            self._soon()

    def _noticed(self, at: tuple) -> None:
        pass

    def _take(self, upto: tuple, rows: list) -> None:
        if upto >= self.copy.upto:
            self._show(self.copy.fold(upto, map(unrow, rows)))

    def _show(self, new: list[Item]) -> None:
        self.fleet.judge.now = self.world.now
        if new := [item.bare for item in new if item.kind in THEIRS]:
            self.fleet.say(f"{self.name} shows {' '.join(map(shown, new))}, upto {self.copy.upto[0]}")
            self.fleet.judge.shows(self.named, new)
        self.exchange.have(SETTLED, self.copy.upto)
        self.exchange.dirty.add(SETTLED)
        self._soon()

    def _soon(self) -> None:
        if not self.flushing:
            self.flushing = True
            self.later(0.0, self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for peer, versions in self.exchange.notices():
            self._send(peer, {"t": "have", "v": versions})
        for peer, wanted in self.exchange.pulls(self.clock()):
            self._send(peer, {"t": "pull", "v": wanted})

    def _send(self, to: str, message: dict[str, Any]) -> None:
        self.fleet.links.send(self.name, to, message)


class Sidecar(Party):
    """A copy beside no disk: all that it knows it has from others, in each life anew."""

    def start(self) -> None:
        self.copy = Copy()
        super().start()

    def _show(self, new: list[Item]) -> None:
        super()._show(new)
        self.fleet.judge.tells(self.named, "shows the set", self.copy.items)


class Machine(Party):
    """A machine with a disk."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        super().__init__(fleet, name)
        self.disk = fleet.cores.disk(fleet.world, name)
        self.core: Replica | None = None
        self.cut = 0  # faults that cut it off
        self.slow_start = 0.0  # it is away for so much longer, the next time
        self.wiped: list | None = None  # the trouble that is over once it has caught up

    @property
    def lost(self) -> bool:
        return (
            not self.up
            or self.frozen
            or self.cut > 0
            or self.disk.stalled
            or self.disk.refuses
            or self.disk.sync_s > SYNC_S
            or not self.core.acceptor.voting
        )

    def start(self, first: bool = False) -> None:
        super().start()
        fleet, world = self.fleet, self.world
        saved = self.disk.open(tuple(each.name for each in fleet.machines), first)
        acceptor = fleet.cores.acceptor(self.name, saved)
        self.copy = acceptor.copy
        draw = Chance(int(world.draw() * 2**32)).draw
        self.core = fleet.cores.replica(
            self.clock, self.named, draw, self._put, self._send, self._hears_itself, self._show
        )
        self.core.proposes_with = fleet.cores.proposer
        self.core.begin(acceptor)

    def kill(self) -> None:
        super().kill()
        self.disk.power_lost()

    def _put(self, writes: list, then: Callable[[], None]) -> None:
        life = self.life
        self.disk.put(writes, lambda: self.does(then) if life == self.life else None)

    def _hears_itself(self, call: Callable[..., None], *told: Any) -> None:
        self.later(0.0, lambda: call(*told))

    def _tells(self, peer: str, source: str) -> bool:
        return self.core.fresh

    def _tick(self) -> None:
        self.core.tick()
        if self.wiped is not None and self.core.acceptor.voting:
            self.fleet.say(f"{self.name} has caught up")
            self.fleet.judge.over(self.wiped)
            self.wiped = None
        super()._tick()

    def heard(self, sender: str, message: dict[str, Any]) -> None:
        if message["t"] in ("hello", "have", "pull", "news"):
            super().heard(sender, message)
            if message["t"] == "hello" and isinstance(self.fleet.parties[sender], Machine):
                self.core.reached(sender)
        else:
            self.core.heard(sender, message)

    def _noticed(self, at: tuple) -> None:
        self.core.peer_settled(at)

    def _take(self, upto: tuple, rows: list) -> None:
        self.core.learn(upto, rows)

    def asked(self, items: tuple[Item, ...], tell: Callable) -> None:
        """By an operator; `tell` gets the outcome, and of a read what is held."""
        self.core.ask(list(items), lambda outcome: tell(outcome, self.theirs()))

    def theirs(self) -> dict[Key, Item]:
        """What a read tells."""
        return {key: item.bare for key, item in self.copy.items.items() if item.kind in THEIRS}
