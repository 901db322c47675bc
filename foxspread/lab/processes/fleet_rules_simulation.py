"""Coordinators and sidecars that act on agreed rules, in virtual time: the same `Steward` and `Holder` as
behind sockets. Each act of a sidecar is a row of the ledger, at the moment at which a server would have seen
it, and is judged against the version in force then, by the coordinators' history: nothing in the
sidecar is asked.
"""

import json
import random
from dataclasses import dataclass, field, replace
from typing import Any

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.version_content import content
from foxspread.fleet_rules.rollout import Course, Terms
from foxspread.fleet_rules.lease_holder import Acting, Ask, Content, Grant, Holder, Kept, Mode
from foxspread.fleet_rules.compatibility import Kind
from foxspread.fleet_rules.lease_manager import Steward
from foxspread.consensus.coordinator import Answer, Status
from foxspread.consensus.messages import Snapshot
from foxspread.lab.processes import virtual
from foxspread.lab.processes.judge import Fault, Judge
from foxspread.lab.processes.virtual import Node, Plan, World

CAR_FAULTS = ("car_silent", "car_in", "car_out", "car_stall", "car_restart", "cars_cut", "car_clock")
NODE_FAULTS = (
    "silent",
    "silent_in",
    "silent_out",
    "split",
    "loss",
    "held",
    "repeat",
    "stall",
    "away",
    "kill",
    "kill_at_write",
    "disk_slow",
    "clock",
    "hand_over",
)
RULES = {
    "in_force": "an act is one that the version in force at that moment allows",
    "bound": "where nothing lies between two versions, an act on the older one comes within the bound",
    "none_yet": "nobody acts before a version is in force",
    "settles": "once nothing fails, the latest version is in force, or withdrawn; all act on one",
}


@dataclass(frozen=True)
class AgreedPlan(Plan):
    cars: int = 12
    acts: float = 4.0  # a second and sidecar
    sleeps: float = 0.15  # of acts, between decision and act
    terms: Terms = Terms(lease=1.5, alone=4.0)
    writers: int = 1
    pause: float = 1.5
    seconds: float = 12.0
    settle: float = 9.0
    long: float = 0.0
    faults: tuple[str, ...] = NODE_FAULTS + CAR_FAULTS
    lossy: tuple[str, ...] = ()
    most: int = 10


@dataclass
class Broken(virtual.Broken):
    holder: type[Holder] = Holder
    steward: type[Steward] = Steward
    course: type[Course] = Course
    stops_suspended: bool = False  # sidecars' clocks stand still while they are suspended


def drawn(chance: random.Random, cars: int, count: int) -> bytes:
    """A version's text. Most fit what one alone may do; some don't, and are to be withdrawn."""
    rows = [
        ("docs", chance.choice((1.0, 2.0, 3.0)), chance.choice(("free", "guarded", "single_shot")), "cell")
    ]
    rows.append(("pay", chance.choice((1.0, 2.0)), "guarded", chance.choice(("cell", "zone", "all"))))
    if chance.random() < 0.5:
        rows.append(("extra", 1.0, "free", "cell"))
    text = f"# {count}\n[settings]\nsiblings = {chance.choice((cars, 2 * cars))}\n"
    for name, abandon, semantics, scope in rows:
        text += f'[[settings.categories]]\nname = "{name}"\nabandon_time_us = {abandon * 1e6:.0f}\n'
        text += f'semantics = "{semantics}"\nkey_scope = "{scope}"\n'
    copies, hands = chance.choice(("true", "false")), 2 if chance.random() < 0.1 else 1
    text += f"[settings.limits]\nmax_hand_offs = {chance.randint(1, 6)}\nparallel_tries = {copies}\n"
    text += (
        f'[alone]\nsiblings = {2 * cars}\n[[alone.categories]]\nname = "docs"\nabandon_time_us = 1000000\n'
    )
    text += f'semantics = "single_shot"\n[alone.limits]\nmax_hand_offs = {hands}\nparallel_tries = false\n'
    out = chance.sample(["k2", "k3"], chance.randint(0, 2))
    text += f'[lists]\nsource = "here"\ntaken_out = {json.dumps(out)}\nalone = ["k1"]\n'
    for name, cell in (("k1", 1), ("k2", chance.choice((1, 2))), ("k3", 2)):
        if name != "k3" or chance.random() < 0.7:
            text += f'[[lists.servers]]\nid = "{name}"\naddr = "{name}:1"\ncell = {cell}\n'
    return text.encode()


def watched(kind: type[Steward]) -> type[Steward]:
    """Tells the world and the judge what is applied."""
    return type("Watched" + kind.__name__, (Watching, kind), {})


class Watching(Steward):
    def __init__(self, node: Node, *rest: Any) -> None:
        self.kind, self.versions_kind, self.node = node.world.broken.member, node.world.broken.course, node
        self.compact_bytes = node.world.compact_bytes
        super().__init__(*rest, terms=node.world.plan.terms)

    def _applied(self, index: int, entry: Any) -> None:
        self.node.world.judge.applied(self.node, index, entry)
        super()._applied(index, entry)
        self.node.world.stepped(self.course)

    def _restored(self, snapshot: Snapshot) -> None:
        self.node.world.judge.restored(self.node.id, snapshot.index)
        super()._restored(snapshot)


class Reply:
    """Where the answer to one call of a sidecar goes."""

    def __init__(self, car: "Car", what: str, ask: Ask | None = None, target: str = "") -> None:
        self.car, self.what, self.ask, self.target, self.run = car, what, ask, target, car.run

    def told(self, _: int, answer: Answer) -> None:
        if self.run == self.car.run:
            self.car.input(lambda: self.car.told(self, answer))


class Car:
    """A sidecar: a holder, a clock of its own, one watch, and acts at random moments."""

    def __init__(self, world: "AgreedWorld", id: str, chance: random.Random) -> None:
        self.world, self.id, self.chance = world, id, chance
        drift = world.plan.terms.drift
        self.rate, self.offset = chance.choice((1 - drift, 1.0, 1 + drift)), chance.uniform(1, 1000)
        self.run, self.down, self.slept = 0, True, 0.0
        self.stalled: list[Any] | None = None
        self.holder: Holder | None = None
        self.files: list[Kept] = []
        self.target = chance.choice(world.ids)
        self.wake: int | None = None

    def local(self) -> float:
        return self.offset + self.rate * (self.world.now - self.slept)

    def start(self, kept: Kept | None = None) -> None:
        self.run, self.down, self.stalled, self.wake = self.run + 1, False, None, None
        self.holder = self.world.broken.holder(
            self.local(),
            f"{self.id}/{self.run}",
            self.world.checked,
            self.chance.random,
            self.world.plan.terms.drift,
            "boot",
            kept,
        )
        self.watch()
        self.world.clock.after(self.chance.expovariate(self.world.plan.acts), self.act, self.run)
        self.due()

    def kill(self) -> None:
        if not self.down:
            self.files.append(self.holder.kept())
            self.down = True

    def input(self, call: Any) -> None:
        if self.down:
            return
        if self.stalled is not None:
            run = self.run
            self.stalled.append(lambda: self.input(call) if run == self.run else None)
            return
        call()
        self.due()

    def resume(self, began: float) -> None:
        if self.world.broken.stops_suspended:
            self.slept += self.world.now - began
        waiting, self.stalled = self.stalled, None
        for each in waiting or []:
            each()
        self.due()

    def due(self) -> None:
        """Asks where it is due, fetches what it wants, and comes back when the next is."""
        holder, now = self.holder, self.local()
        while (ask := holder.ask(now)) is not None:
            self.target = self.chance.choice(self.world.ids) if holder.tries > 1 else self.target
            self.call(
                Reply(self, "ask", ask, self.target),
                lambda host, at, token, ask=ask: host.ask(at, token, ask),
            )
        wake = self.world.clock.now + max(1, round((holder.wake_at() - now) / self.rate * 1e6) + 1)
        if self.wake is None or wake < self.wake or self.wake <= self.world.clock.now:
            self.wake = wake
            self.world.clock.at(wake, self._woken, self.run, wake)

    def _woken(self, run: int, wake: int) -> None:
        if run == self.run and wake == self.wake and not self.down and self.stalled is None:
            self.wake = None
            self.due()

    def call(self, reply: Reply, ask: Any) -> None:
        world = self.world
        token = world.token(reply, 0)
        if not world.cut.get((self.id, reply.target)) and world.chance.random() >= world.loss:
            node = world.nodes[reply.target]
            world.clock.after(world.delay(), node.step, lambda host, now: ask(host, now, token))

    def watch(self, again: float = 0.0) -> None:
        """One at a time; where its answer is lost, another is begun after a while."""
        target, phase, self.watching = self.chance.choice(self.world.ids), self.holder.phase, self.world.now
        self.call(
            Reply(self, "watch", None, target),
            lambda host, now, token: host.watch_phase(now, token, phase, 1.0),
        )
        self.world.clock.after(1.5, self._rewatch, self.run, self.watching)

    def _rewatch(self, run: int, since: float) -> None:
        if run == self.run and self.watching == since and not self.down:
            self.input(self.watch)

    def told(self, reply: Reply, answer: Answer) -> None:
        now = self.local()
        if answer.status is not Status.DONE:
            if reply.what == "watch":
                self.world.clock.after(0.1, self._rewatch, self.run, self.watching)
            return
        if reply.what == "watch":
            if answer.value > self.holder.phase:
                self.holder.soon(now)
            self.world.clock.after(0.02, self._rewatch, self.run, self.watching)
        elif isinstance(answer.value, Grant):
            self.holder.answered(now, reply.ask, answer.value)
            self.fetch()

    def fetch(self) -> None:
        for number in self.holder.wants():
            target = self.chance.choice(self.world.ids)
            reply = Reply(self, "fetch", None, target)
            world = self.world
            if (
                world.cut.get((self.id, target))
                or world.cut.get((target, self.id))
                or world.chance.random() < world.loss
            ):
                continue
            world.clock.after(2 * world.delay(), self._fetched, reply, number)

    def _fetched(self, reply: Reply, number: int) -> None:
        host = self.world.nodes[reply.target].host
        version = host.versions.get(number) if host is not None else None
        if reply.run != self.run:
            return
        if version is None:  # that one is behind
            return self.input(lambda: self.holder.soon(self.local() + 0.05))
        self.input(lambda: self.holder.fetched(self.local(), number, version.content))

    def act(self, run: int) -> None:
        if run != self.run or self.down:
            return
        self.world.clock.after(self.chance.expovariate(self.world.plan.acts), self.act, run)
        if self.stalled is None:
            decided = self.holder.acting(self.local())
            sleep = self.chance.expovariate(1.0) if self.chance.random() < self.world.plan.sleeps else 0.0
            self.world.clock.after(sleep, self._do, run, decided)

    def _do(self, run: int, decided: Acting) -> None:
        if run != self.run or self.down:
            return
        if self.stalled is not None:  # it acts when it wakes, on what it had decided
            self.stalled.append(lambda: self._do(run, decided))
        elif self.holder.may(self.local(), decided):
            self.world.acted(self, decided)


class AgreedWorld(World):
    def __init__(self, plan: AgreedPlan, seed: int, broken: Broken | None = None) -> None:
        super().__init__(plan, seed, broken or Broken())
        self.host = watched(self.broken.steward)
        drift = plan.terms.drift
        for node in self.nodes.values():
            node.rate = self.chance.choice((1 - drift, 1.0, 1 + drift))
        self.cars = {f"s{at}": Car(self, f"s{at}", self.rng(f"s{at}")) for at in range(plan.cars)}
        self.steps: list[tuple[float, int, int, int]] = [
            (0.0, 0, 0, 0)
        ]  # since when: phase, in force, announced
        self.parsed: dict[bytes, Content] = {}
        self.texts: dict[int, bytes] = {}
        self.counts = {mode.value: 0 for mode in Mode}
        self.worst: dict[str, float] = {}  # by key: how long after the change the old one was acted on
        self.verdicts: dict[tuple, tuple[list[str], list[str]]] = {}
        self.settling: list[float] = []  # from announcement to force
        self.whole_since = float("inf")

    @property
    def writers_until(self) -> float:
        return self.plan.seconds

    def content(self, writer: Any) -> bytes:
        return drawn(writer.chance, len(self.cars), writer.count)

    def checked(self, text: bytes) -> Content:
        if text not in self.parsed:
            self.parsed[text] = content(text)
        return self.parsed[text]

    def answer(self, node: Node, answer: Answer) -> None:
        reply = self.tokens.get(answer.token, (None, 0))[0]
        if isinstance(reply, Reply) and self.cut.get((node.id, reply.car.id)):
            return
        super().answer(node, answer)

    def stepped(self, course: Course) -> None:
        """The first to apply a step is the one that committed it."""
        if course.phase > self.steps[-1][1]:
            if course.settled != self.steps[-1][2]:
                self.settling.append(self.now - self.steps[-1][0])
            self.steps.append((self.now, course.phase, course.settled, course.next))
            for number in (course.settled, course.next):
                if number:
                    self.texts[number] = course.by_number[number].content

    def acted(self, car: Car, acting: Acting) -> None:
        since, _, settled, _ = self.steps[-1]
        self.counts[acting.mode.value] += 1
        if not settled:
            return self.judge.found("none_yet", f"{car.id} acts, and no version is in force")
        key = (id(acting.rules), settled)
        if key not in self.verdicts:
            rules = self.checked(self.texts[settled]).rules
            wrong, late = [], []
            for path, text in compatibility.against(acting.rules, rules):
                switch = not path.endswith(".") and compatibility.key_of(path).kind is Kind.SWITCH
                (late if switch else wrong).append(f"{path} {text}, version {settled} is in force")
            self.verdicts[key] = (wrong, late, acting.rules)  # kept, so that the id is not used again
        wrong, late = self.verdicts[key][:2]
        forced = next(at for at, _, number, _ in self.steps if number == settled)
        if wrong:
            path = wrong[0].partition(" ")[0]
            self.worst[path] = max(self.worst.get(path, 0.0), self.now - forced)
            self.judge.found(
                "in_force",
                f"{car.id} {acting.mode.value} in phase {acting.phase}, {self.now - forced:.3f} s "
                f"after: {wrong[0]}",
            )
        for each in late:
            path, ago = each.partition(" ")[0], self.now - forced
            self.worst[path] = max(self.worst.get(path, 0.0), ago)
            if ago > self.plan.terms.bound():
                self.judge.found("bound", f"{car.id} {acting.mode.value}, {ago:.3f} s after: {each}")

    # What befalls

    def play(self) -> Judge:
        for car in self.cars.values():
            self.clock.after(self.chance.uniform(0, 1.0), car.start)
        return super().play()

    def befalls(self, kind: str, lasts: float, of: str = "") -> None:
        if kind not in CAR_FAULTS:
            return super().befalls(kind, lasts, of)
        car = self.cars[of] if of in self.cars else self.chance.choice(list(self.cars.values()))
        self.told.append(f"{self.now:.3f} {kind} {car.id} {lasts:.3f}")
        out, into = [(car.id, each) for each in self.ids], [(each, car.id) for each in self.ids]
        if kind == "cars_cut":
            some = self.chance.sample(sorted(self.cars), max(1, len(self.cars) // 3))
            self.block(
                [pair for one in some for each in self.ids for pair in ((one, each), (each, one))], lasts
            )
        elif kind in ("car_silent", "car_in", "car_out"):
            self.block((out if kind != "car_in" else []) + (into if kind != "car_out" else []), lasts)
        elif kind == "car_stall" and not car.down and car.stalled is None:
            car.stalled = []
            self.clock.after(lasts, self._car_resumes, car, car.run, self.now)
        elif kind == "car_restart" and not car.down:
            car.kill()
            kept = self.chance.choice((None, car.files[-1], self.chance.choice(car.files)))
            self.clock.after(min(lasts, 0.5), self._car_starts, car, kept)
        elif kind == "car_clock" and not car.down:
            local = car.local()
            drift = self.plan.terms.drift
            car.rate = self.chance.choice((1 - drift, 1 + drift))
            car.offset = local - car.rate * (self.now - car.slept)

    def _car_resumes(self, car: Car, run: int, began: float) -> None:
        if car.run == run and not car.down and car.stalled is not None:
            car.resume(began)

    def _car_starts(self, car: Car, kept: Kept | None) -> None:
        if car.down:
            car.start(kept)

    def whole(self) -> None:
        super().whole()
        self.whole_since = self.now
        for car in self.cars.values():
            if car.down:
                car.start()
            elif car.stalled is not None:
                car.resume(self.now)

    def played(self) -> Judge:
        judge = super().played()
        _, phase, settled, next = self.steps[-1]
        host = next_host(self)
        course = host.course if host is not None else Course()
        behind = [
            (car.id, car.holder.phase, car.holder.acting(car.local()).mode.value)
            for car in self.cars.values()
            if car.holder.phase != phase or car.holder.acting(car.local()).mode is not Mode.SETTLED
        ]
        if course.latest and (next or course.due() or settled and behind):
            judge.found(
                "settles",
                f"phase {phase}, in force {settled}, announced {next}, latest {course.latest}, "
                f"withdrawn {sorted(course.withdrawn)}, behind {behind[:4]}",
            )
        return judge


def next_host(world: AgreedWorld) -> Steward | None:
    hosts = [node.host for node in world.nodes.values() if node.host is not None]
    return max(hosts, key=lambda host: host.member.applied, default=None)


@dataclass
class Result:
    seed: int
    faults: list[Fault]
    told: list[str]
    acts: dict[str, int]
    versions: int
    withdrawn: int
    settling: list[float] = field(default_factory=list)
    worst: dict[str, float] = field(default_factory=dict)


def played(plan: AgreedPlan, seed: int, broken: Broken | None = None) -> Result:
    plan = plan if seed % 4 else replace(plan, members=5)
    world = AgreedWorld(plan, seed, broken)
    judge = world.play()
    host = next_host(world)
    return Result(
        seed,
        judge.faults,
        world.told,
        world.counts,
        world.steps[-1][2],
        len(host.course.withdrawn) if host else 0,
        world.settling,
        world.worst,
    )
