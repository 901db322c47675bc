"""A fleet in virtual time: machines with a disk that agree, sidecars that hold copies, operators that call,
and what befalls them. What is played is a list of events that a seed draws; leaving some out is another run.

Never more machines than `tolerate` are lost at a time (down, frozen, cut off, with a disk that does not
write, or wiped and not yet caught up); all may lose power at once with their disks kept.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from foxspread.orchard.configuration.items import LIMITS, ROUTE, SERVICE, THEIRS, Item, Key
from foxspread.orchard.membership.exchange import Exchange
from foxspread.orchard.outcome import Broken, Failure, unsettled
from foxspread.orchard.replication.copy import Copy, row, unrow
from foxspread.orchard.replication.acceptor import Acceptor
from foxspread.orchard.replication.replica import Replica
from foxspread.orchard.replication.proposer import Proposer
from foxspread.orchard.simulation.disks import SYNC_S, SimDisk
from foxspread.orchard.simulation.judge import ANSWERED_S, Break, Call, Judge, shown
from foxspread.orchard.simulation.world import Links, World
from foxspread.sums import Chance

SETTLED = "="  # the source of the settled set, as in a node
TICK_S = 0.1
MEET_S = 1.5  # links come up anew, whoever was missed is told
SILENCE_S = 1.0  # after which an operator asks another
GIVES_UP_S = 14.0
ALIKE_S = 5.0  # after which all that live hold the same, without a call

FAULTS = (
    "kill",
    "wipe",
    "freeze",
    "cut",
    "cut_in",
    "cut_out",
    "split",
    "power_off",
    "power_off_wiped",
    "power_at_ack",
    "acker_wiped",
    "behind",
    "disk_slow",
    "disk_stalls",
    "disk_refuses",
    "links_drop",
    "links_repeat",
    "links_late",
    "link_slow",
    "clock",
)
WIPES = ("wipe", "power_off_wiped", "acker_wiped", "behind")


@dataclass(frozen=True)
class Plan:
    machines: int = 3
    sidecars: int = 2
    seconds: float = 9.0  # calls and faults begin within this; then all is whole again
    rounds: int = 9  # of calls, by two operators
    most: int = 5  # faults
    faults: tuple[str, ...] = FAULTS

    @property
    def tolerate(self) -> int:
        return (self.machines - 1) // 2


@dataclass(frozen=True)
class Event:
    at: float
    kind: str  # "call", "read" or one of FAULTS
    where: int = 0  # a machine
    seconds: float = 0.0
    items: tuple[Item, ...] = ()

    def __str__(self) -> str:
        what = " ".join(shown(item) for item in self.items)
        return f"{self.at:7.3f} {self.kind} c{self.where + 1} {self.seconds:.3f} {what}".rstrip()


@dataclass(frozen=True)
class Cores:
    """What is played: the cores as they are, or a broken one among them."""

    acceptor: type[Acceptor] = Acceptor
    proposer: type[Proposer] = Proposer
    replica: type[Replica] = Replica
    disk: type[SimDisk] = SimDisk


@dataclass
class Played:
    seed: int
    plan: Plan
    events: list[Event]
    breaks: list[Break]
    calls: list[Call]
    befell: dict[str, int]
    messages: int
    told: list[str] = field(default_factory=list)


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
    """A copy beside no disk; nothing befalls it but what befalls its links."""


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


class Fleet:
    def __init__(self, plan: Plan, seed: int, cores: Cores = Cores(), trace: bool = False) -> None:
        self.plan, self.seed, self.cores = plan, seed, cores
        self.world = World(seed)
        self.judge = Judge()
        self.told: list[str] | None = [] if trace else None
        self.links = Links(self.world, self._deliver)
        self.befell: dict[str, int] = {}
        self.calls = 0
        self.at_ack: list[Callable[[Machine], None]] = []  # what befalls the next that acknowledges a call
        self.machines = [Machine(self, f"c{n + 1}") for n in range(plan.machines)]
        self.sidecars = [Sidecar(self, f"s{n + 1}") for n in range(plan.sidecars)]
        self.parties: dict[str, Party] = {each.name: each for each in (*self.machines, *self.sidecars)}
        self.ends: dict[int, Callable[[], None]] = {}  # of faults that go on
        self.whole = False  # no more faults
        for each in self.machines:
            each.offset, each.rate = self.world.draw() * 1000, self.world.within(0.98, 1.02)
            each.start(first=True)
        for each in self.sidecars:
            each.start()

    def say(self, text: str) -> None:
        self.judge.now = self.world.now
        if self.told is not None:
            self.told.append(f"{self.world.now:8.4f} {text}")

    def _deliver(self, sender: str, to: str, message: dict[str, Any]) -> None:
        there = self.parties[to]

        def hear() -> None:
            if self.told is not None and message["t"] not in ("hello", "have", "pull", "news"):
                self.say(f"  {sender} > {to} {_line(message)}")
            self.judge.now = self.world.now
            there.heard(sender, message)

        there.does(hear)

    def play(self, events: list[Event]) -> Played:
        for event in events:
            self.world.at(event.at, lambda event=event: self._befall(event))
        self.world.run(self.plan.seconds)
        self._whole()
        self.world.run(self.plan.seconds + ALIKE_S)
        self.judge.now = self.world.now
        self.judge.alike([each.named for each in self.parties.values()])
        for each in self.machines:
            self._call((), each)
        self.world.run(self.plan.seconds + ALIKE_S + ANSWERED_S + 0.5)
        self.judge.now = self.world.now
        self.judge.close()
        return Played(
            self.seed,
            self.plan,
            events,
            self.judge.breaks,
            self.judge.calls,
            self.befell,
            self.links.sent,
            self.told or [],
        )

    # Operators.

    def _call(self, items: tuple[Item, ...], first: Machine) -> None:
        self.calls += 1
        call = Call(self.calls, items, self.world.now)
        self.judge.calls.append(call)
        self._try(call, first, 0)

    def _try(self, call: Call, machine: Machine, count: int) -> None:
        """Resent unchanged, to another, where no clear answer has come."""
        world, judge = self.world, self.judge
        if call.ended is not None or world.now - call.began > GIVES_UP_S:
            return
        call.tries.append((world.now, machine.name))
        self.say(f"{call} is sent to {machine.name}")
        floor, over = judge.floor(), []
        another = world.pick([each for each in self.machines if each is not machine])
        pause = 0.1 * (1 + count)

        def next_try() -> None:
            if not over:
                over.append(True)
                self._try(call, another, count + 1)

        def told(outcome: bool | Failure, held: dict) -> None:
            if outcome is True and call.items and self.at_ack:
                befall = self.at_ack.pop()
                world.after(0.0, lambda: befall(machine))
            world.after(world.within(0.0005, 0.004), lambda: answered(outcome, held))

        def answered(outcome: bool | Failure, held: dict) -> None:
            if over:
                return
            self.say(f"{call}: {machine.name} answers {outcome if outcome else outcome.reason}")
            if not outcome and outcome.status >= 500:
                world.after(pause, next_try)
                return
            over.append(True)
            if outcome is True and not call.items:
                judge.read(call, floor, machine.name, held)
            judge.ended(call, outcome)

        def arrives() -> None:
            if not machine.up:
                return answered(unsettled("nobody there"), {})
            machine.does(lambda: None if over else machine.asked(call.items, told))

        world.after(world.within(0.0005, 0.004), arrives)
        world.after(SILENCE_S, next_try)

    # What befalls.

    def _befall(self, event: Event) -> None:
        machine = self.machines[event.where % len(self.machines)]
        if event.kind in ("call", "read"):
            return self._call(event.items, machine)
        if getattr(self, f"_{event.kind}")(machine, event.seconds) is False:
            return
        self.befell[event.kind] = self.befell.get(event.kind, 0) + 1
        self.say(f"** {event.kind} {machine.name} for {event.seconds:.3f}")

    def _bearable(self, *more: Machine) -> bool:
        return len({*(each for each in self.machines if each.lost), *more}) <= self.plan.tolerate

    def _until(self, seconds: float, whom: Machine | None, end: Callable[[], None]) -> None:
        """`end` comes after so long, or at the end of all faults; till then there is trouble."""
        row, number = self.judge.trouble(whom.name if whom else None), next(self.world.numbers)

        def over() -> None:
            if self.ends.pop(number, None) is not None:
                self.judge.now = self.world.now
                end()
                self.judge.over(row)

        self.ends[number] = over
        self.world.after(seconds, over)

    def _whole(self) -> None:
        self.say("** all is whole again")
        self.whole = True
        for over in list(self.ends.values()):
            over()

    def _down(self, machine: Machine, seconds: float, wiped: bool) -> None:
        if machine.up:
            machine.kill()
        if wiped:
            machine.disk.wipe()
            if machine.wiped is None:
                machine.wiped = self.judge.trouble(machine.name)
        self._until(seconds, machine, lambda: None if machine.up else machine.start())

    def _kill(self, machine: Machine, seconds: float, wiped: bool = False) -> bool | None:
        if self.whole or not machine.up or not self._bearable(machine):
            return False
        self._down(machine, seconds, wiped)

    def _wipe(self, machine: Machine, seconds: float) -> bool | None:
        return self._kill(machine, seconds, True)

    def _power_off(self, machine: Machine, seconds: float, wiped: bool = False) -> bool | None:
        """All lose power; one that is wiped comes back with nothing."""
        unknowing = {each for each in self.machines if each.wiped is not None or (wiped and each is machine)}
        if self.whole or len(unknowing) > self.plan.tolerate or not all(each.up for each in self.machines):
            return False
        self._until(seconds + 2.0, None, lambda: None)
        for each in self.machines:
            away = 0.05 + self.world.draw() * seconds + each.slow_start
            each.slow_start = 0.0
            self._down(each, away, wiped and each is machine)

    def _power_off_wiped(self, machine: Machine, seconds: float) -> bool | None:
        return self._power_off(machine, seconds, True)

    def _power_at_ack(self, machine: Machine, seconds: float, wiped: bool = False) -> None:
        """All lose power right after the next call is acknowledged."""
        self.at_ack.append(lambda acker: self._power_off(acker, seconds, wiped))

    def _acker_wiped(self, machine: Machine, seconds: float) -> None:
        self._power_at_ack(machine, seconds, True)

    def _behind(self, machine: Machine, seconds: float) -> bool | None:
        """Some miss a call; then all lose power, one that has it is wiped, and the others that have it are
        the last to come back."""
        at = self.machines.index(machine)
        turned = self.machines[at:] + self.machines[:at]
        missing, wiped = turned[: self.plan.tolerate], turned[self.plan.tolerate]
        late, seconds = turned[self.plan.tolerate + 1 :], 0.02 + seconds / 10
        if self._cut_off(missing, seconds, "io") is False:
            return False

        def then() -> None:
            for each in late:
                each.slow_start = 1.0
            if self._power_off(wiped, 0.2, True) is False:
                return
            again = late[0]
            self.world.after(1.2 + self.world.draw() * 1.5, lambda: self._kill(again, 1.0))

        self.world.after(seconds + 0.001, then)

    def _freeze(self, machine: Machine, seconds: float) -> bool | None:
        if not machine.up or machine.frozen or not self._bearable(machine):
            return False
        machine.frozen, life = True, machine.life
        self._until(seconds, machine, lambda: machine.thaw() if machine.life == life else None)

    def _cut(self, machine: Machine, seconds: float, ways: str = "io") -> bool | None:
        return self._cut_off([machine], seconds, ways)

    def _cut_in(self, machine: Machine, seconds: float) -> bool | None:
        return self._cut(machine, seconds, "i")

    def _cut_out(self, machine: Machine, seconds: float) -> bool | None:
        return self._cut(machine, seconds, "o")

    def _split(self, machine: Machine, seconds: float) -> bool | None:
        at = self.machines.index(machine)
        side = [self.machines[(at + n) % len(self.machines)] for n in range(self.plan.tolerate)]
        return self._cut_off(side, seconds, "io")

    def _cut_off(self, side: list[Machine], seconds: float, ways: str) -> bool | None:
        if not self._bearable(*side):
            return False
        names = {each.name for each in side}
        others = [name for name in self.parties if name not in names]
        pairs = {(a, b) for a in others for b in names if "i" in ways} | {
            (a, b) for a in names for b in others if "o" in ways
        }
        pairs -= self.links.cut
        self.links.cut |= pairs
        for each in side:
            each.cut += 1

        def join() -> None:
            self.links.cut -= pairs
            for each in side:
                each.cut -= 1

        for each in side:
            self._until(seconds, each, lambda: None)
        self._until(seconds, side[0], join)

    def _disk(self, machine: Machine, seconds: float, **what: Any) -> bool | None:
        if not self._bearable(machine):
            return False
        before = {name: getattr(machine.disk, name) for name in what}
        if before == what:
            return False
        vars(machine.disk).update(what)
        self._until(seconds, machine, lambda: vars(machine.disk).update(before))

    def _disk_slow(self, machine: Machine, seconds: float) -> bool | None:
        return self._disk(machine, seconds, sync_s=0.15)

    def _disk_stalls(self, machine: Machine, seconds: float) -> bool | None:
        return self._disk(machine, seconds, stalled=True)

    def _disk_refuses(self, machine: Machine, seconds: float) -> bool | None:
        return self._disk(machine, seconds, refuses=True)

    def _links(self, seconds: float, name: str, share: float) -> None:
        setattr(self.links, name, share)
        self._until(seconds, None, lambda: setattr(self.links, name, 0.0))

    def _links_drop(self, machine: Machine, seconds: float) -> None:
        self._links(seconds, "drops", 0.2)

    def _links_repeat(self, machine: Machine, seconds: float) -> None:
        self._links(seconds, "repeats", 0.3)

    def _links_late(self, machine: Machine, seconds: float) -> None:
        self._links(seconds, "late", 0.4)

    def _link_slow(self, machine: Machine, seconds: float) -> None:
        other = self.world.pick([each for each in self.machines if each is not machine])
        pair = machine.name, other.name
        self.links.slow[pair] = self.world.within(0.05, 0.5)
        self._until(seconds, None, lambda: self.links.slow.pop(pair, None))

    def _clock(self, machine: Machine, seconds: float) -> None:
        machine.offset += seconds * 3


def _line(message: dict[str, Any]) -> str:
    rows = [f"{k}={v}" for k, v in message.items() if k not in ("t", "delta", "ahead", "rows", "disks")]
    delta = [f"{each[1]}@r{each[2]}" for each in message.get("delta", ())]
    return " ".join([message["t"], *rows, *(["delta=" + ",".join(delta)] if delta else [])])


# What a seed draws.


def drawn(plan: Plan, seed: int) -> list[Event]:
    chance = Chance(seed * 2 + 1)
    calls = _Calls(chance, plan).all()
    times = [each.at for each in calls]
    events = list(calls)
    for _ in range(int(chance.draw() * (plan.most + 1)) if plan.faults else 0):
        at = 0.5 + chance.draw() * (plan.seconds - 1.0)
        if chance.draw() < 0.6:  # in the midst of a call
            at = times[int(chance.draw() * len(times))] + chance.draw() * 0.06
        kind = plan.faults[int(chance.draw() * len(plan.faults))]
        long = chance.draw() ** 2 * 3.0 + 0.02
        events.append(Event(at, kind, int(chance.draw() * plan.machines), long))
        if kind in WIPES:  # who knows what, while it catches up
            for _ in range(2):
                after = min(at + long / 10 + chance.draw() * 2, plan.seconds - 0.1)
                events.append(Event(after, "read", int(chance.draw() * plan.machines)))
    return sorted(events, key=lambda each: each.at)


class _Calls:
    """Two operators that get in each other's way."""

    def __init__(self, chance: Chance, plan: Plan) -> None:
        self.chance, self.plan = chance, plan
        self.versions: dict[tuple[str, str], int] = {}
        self.past: list[tuple[Item, ...]] = []
        self.tags = 0
        self.events: list[Event] = []

    def all(self) -> list[Event]:
        first = tuple(self._service(f"v{n}") for n in range(3)) + tuple(
            self._route(f"r{n}", f"/p{n}/", f"v{n % 3}") for n in range(3)
        )
        self._send(0.4, first)
        at = 0.8
        kinds = (
            self.race,
            self.change,
            self.old,
            self.one_place,
            self.drop_against_route,
            self.drop_and_add,
            self.again,
            self.three,
            self.read,
            self.read,
        )
        for _ in range(self.plan.rounds):
            kinds[int(self.draw() * len(kinds))](at)
            at += self.draw() * 2 * (self.plan.seconds - 2.0) / self.plan.rounds
        return [each for each in self.events if each.at < self.plan.seconds - 0.1]

    def draw(self) -> float:
        return self.chance.draw()

    def _send(self, at: float, items: tuple[Item, ...], where: int | None = None) -> None:
        if items:
            self.past.append(items)
        where = int(self.draw() * self.plan.machines) if where is None else where
        self.events.append(Event(at, "call" if items else "read", where, 0.0, items))

    def _two(self, at: float, *calls: tuple[Item, ...]) -> None:
        """At once, at several machines."""
        first = int(self.draw() * self.plan.machines)
        for n, items in enumerate(calls):
            self._send(at + self.draw() ** 2 * 0.03, items, (first + n) % self.plan.machines)

    def _next(self, kind: str, name: str) -> int:
        self.versions[kind, name] = self.versions.get((kind, name), 0) + 1 + int(self.draw() * 3)
        return self.versions[kind, name]

    def _tag(self) -> int:
        self.tags += 1
        return self.tags

    def _service(self, name: str, version: int | None = None) -> Item:
        version = version or self._next(SERVICE, name)
        return Item(SERVICE, name, version, {"name": name, "tag": self._tag()})

    def _route(self, name: str, place: str, service: str, version: int | None = None) -> Item:
        version = version or self._next(ROUTE, name)
        rule = {
            "name": name,
            "sorting": {"postcode": place},
            "dispatch": {"service": service},
            "tag": self._tag(),
        }
        return Item(ROUTE, name, version, {"destination": "a.example", "rule": rule})

    def _drop(self, kind: str, name: str) -> Item:
        return Item(kind, name, self._next(kind, name), None)

    def _some(self) -> int:
        return int(self.draw() * 3)

    def race(self, at: float) -> None:
        n = self._some()
        one = self._route(f"r{n}", f"/p{n}/", f"v{self._some()}")
        two = self._route(f"r{n}", f"/p{n}/", f"v{self._some()}", one.version)
        self._two(at, (one,), (two, self._limits()) if self.draw() < 0.5 else (two,))

    def three(self, at: float) -> None:
        n = self._some()
        one = self._route(f"r{n}", f"/p{n}/", "v0")
        others = [self._route(f"r{n}", f"/p{n}/", f"v{m}", one.version) for m in (1, 2)]
        self._two(at, (one,), *((each,) for each in others))

    def change(self, at: float) -> None:
        n = self._some()
        self._two(at, (self._route(f"r{n}", f"/p{n}/", f"v{self._some()}"), self._service(f"v{n}")))

    def old(self, at: float) -> None:
        kind, name = list(self.versions)[int(self.draw() * len(self.versions))]
        version = max(1, self.versions[kind, name] - 1)
        if kind == SERVICE:
            self._two(at, (self._service(name, version),))
        elif kind == ROUTE:
            self._two(at, (self._route(name, "/old/", "v0", version),))

    def one_place(self, at: float) -> None:
        place = f"/new{self._tag()}/"
        self._two(
            at,
            (self._route(f"n{self._tag()}", place, "v0"),),
            (self._service(f"w{self._tag()}"), self._route(f"n{self._tag()}", place, "v1")),
        )

    def drop_against_route(self, at: float) -> None:
        name = f"w{self._tag()}"
        self._send(at, (self._service(name),))
        later = at + (0.3 if self.draw() < 0.7 else 0.0)
        route = self._route(f"n{self._tag()}", f"/to{name}/", name)
        self._two(later, (self._drop(SERVICE, name),), (route,))
        if self.draw() < 0.4:
            self._send(later + 0.2, (self._service(name),))

    def drop_and_add(self, at: float) -> None:
        n = self._some()
        drop = self._drop(ROUTE, f"r{n}")
        self._two(at, (drop,), (self._route(f"r{n}", f"/p{n}/", "v1"),))

    def again(self, at: float) -> None:
        call = self.past[int(self.draw() * len(self.past))]
        self._two(at, call, call)

    def read(self, at: float) -> None:
        self._send(at, ())

    def _limits(self) -> Item:
        return Item(LIMITS, LIMITS, self._next(LIMITS, LIMITS), {"tag": self._tag()})


def play(
    plan: Plan, seed: int, cores: Cores = Cores(), events: list[Event] | None = None, trace: bool = False
) -> Played:
    return Fleet(plan, seed, cores, trace).play(drawn(plan, seed) if events is None else events)


def minimised(played: Played, cores: Cores = Cores()) -> Played:
    """Fewer events that still break the same rule: parts are left out, halves of them, single ones."""
    rule, size = played.breaks[0].rule, max(1, len(played.events) // 2)
    while size:
        before, begin = len(played.events), 0
        while begin < len(played.events):
            fewer = played.events[:begin] + played.events[begin + size :]
            again = play(played.plan, played.seed, cores, fewer)
            if any(each.rule == rule for each in again.breaks):
                played = again
            else:
                begin += size
        size = 1 if size == 1 and len(played.events) < before else size // 2
    return play(played.plan, played.seed, cores, played.events, trace=True)
