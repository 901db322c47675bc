"""Several coordinators in virtual time: the same `Coordinator` that stands behind sockets, with a network,
disks, clocks and writers of the lab's own. One seed draws all that befalls them, so a failure is a seed to
replay.

Faults enter at each seam: messages are lost, late, twice, in another order or not at all; a process is
stopped, killed, killed right before or after a record is on disk; a disk is slow, fails, is wiped or put
back; clocks run fast or slow; members are replaced, leadership is handed over.
"""

import copy
import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from foxspread.consensus.coordinator import Answer, Coordinator, Outputs, Status
from foxspread.consensus.errors import InvariantViolation
from foxspread.consensus.messages import Envelope
from foxspread.consensus.raft import RaftNode, RaftSettings, Role
from foxspread.consensus.records import MemberAddress, Members, Snapshot, StorageWrite, StoredState
from foxspread.consensus.versions import (
    PutVersion,
    Version,
    VersionConflict,
    VersionStore,
    VersionWritten,
    digest,
)
from foxspread.lab.processes.judge import Judge
from foxspread.lab.processes.linear import NEVER, Op
from foxspread.lab.world.clock import Clock

# What may befall, by name. `lossy` ones take from a disk what it had promised: they come alone, for with
# another member away as well they are more than the fleet can bear (docs/design/consensus.md).
FAULTS = (
    "silent",
    "silent_in",
    "silent_out",
    "split",
    "flap",
    "loss",
    "held",
    "repeat",
    "stall",
    "away",
    "kill",
    "kill_at_write",
    "disk_slow",
    "disk_fails",
    "clock",
    "hand_over",
    "replace",
)
LOSSY = ("wipe", "put_back")


@dataclass(frozen=True)
class Plan:
    """What a run is made of; what is drawn follows the seed."""

    members: int = 3
    seconds: float = 8.0  # faults begin within this
    settle: float = 5.0  # then all is whole again, and must be well at the end of this
    writers: int = 3
    pause: float = 0.15  # of a writer between two operations, in the mean
    faults: tuple[str, ...] = FAULTS
    lossy: tuple[str, ...] = LOSSY
    most: int = 6  # faults of a run
    long: float = 0.15  # the share of puts with long contents
    compact_bytes: tuple[int, ...] = (2_000, 20_000, 1_000_000)  # one of these
    settings: RaftSettings = RaftSettings()


@dataclass
class Broken:
    """Parts that the lab puts in place of the sound ones."""

    member: type[RaftNode] = RaftNode
    versions: type[VersionStore] = VersionStore
    disk: type["Disk"] | None = None


class Watched(Coordinator):
    """Tells the judge what was applied."""

    def __init__(self, node: "Node", *rest: Any) -> None:
        self.node_type, self.store_type, self.node = (
            node.world.broken.member,
            node.world.broken.versions,
            node,
        )
        self.min_compaction_bytes = node.world.compact_bytes
        super().__init__(*rest)

    def _applied(self, index: int, entry: Any) -> None:
        self.node.world.judge.applied(self.node, index, entry)
        super()._applied(index, entry)

    def _restored(self, snapshot: Snapshot) -> None:
        self.node.world.judge.restored(self.node.id, snapshot.index)
        super()._restored(snapshot)


class Disk:
    """What is on it, and what waits to be. A crash keeps the first few of those that wait."""

    def __init__(self, world: "World", chance: random.Random) -> None:
        self.world, self.chance = world, chance
        self.saved = StoredState(f"{chance.getrandbits(48):012x}", 0)
        self.waiting: list[StorageWrite] = []
        self.slow, self.fails = 1.0, False

    def start(self) -> StoredState:
        self.waiting = []
        self.saved.generation += 1
        return copy.copy(self.saved)

    def put(self, node: "Node", write: StorageWrite) -> None:
        self.waiting.append(write)
        if len(self.waiting) == 1:
            self._next(node)

    def _next(self, node: "Node") -> None:
        seconds = self.chance.uniform(0.0002, 0.004) * self.slow
        self.world.clock.after(seconds, self._done, node, node.run, list(self.waiting))

    def _done(self, node: "Node", run: int, group: list[StorageWrite]) -> None:
        """A group is on disk together, as with one fsync."""
        if run != node.run or node.down:
            return
        if self.fails:
            return node.step(lambda host, now: host.disk_failed(now, "no space left on device"))
        for write in group:
            if node.kill_at_write and self.chance.random() < 0.1:
                return node.kill_and_back()  # before this one
            self.apply(write)
            if node.kill_at_write and self.chance.random() < 0.1:
                return node.kill_and_back()  # after it, and nobody was told
        self.waiting = self.waiting[len(group) :]
        if self.waiting:
            self._next(node)
        node.step(lambda host, now: host.confirmed(now, group[-1].number))

    def apply(self, write: StorageWrite) -> None:
        self.saved.entries = list(self.saved.entries)
        self.saved.apply(write)

    def crash(self) -> None:
        for write in self.waiting[: self.chance.randint(0, len(self.waiting))]:
            self.apply(write)
        self.waiting = []


class Node:
    def __init__(self, world: "World", id: str, chance: random.Random, members: Members) -> None:
        self.world, self.id, self.chance, self.first_members = world, id, chance, members
        self.disk = (world.broken.disk or Disk)(world, chance)
        self.rate, self.offset = 1.0, chance.uniform(1.0, 1000.0)
        self.run = 0  # starts
        self.replacing = False
        self.down, self.kill_at_write, self.lost = True, False, False  # lost: its disk lost promises
        self.stalled: list[Callable[[], None]] | None = None
        self.wake: int | None = None
        self.host: Watched | None = None
        self.copies: list[StoredState] = []  # earlier states of its disk

    def local(self) -> float:
        return self.offset + self.rate * self.world.now

    def start(self) -> None:
        if self.down:
            self.run, self.down, self.stalled, self.wake = self.run + 1, False, None, None
            self.host = self.world.host(
                self,
                self.local(),
                self.id,
                "lab",
                self.disk.start(),
                self.first_members,
                self.world.plan.settings,
                self.chance.random,
            )
            self.drain()

    def kill(self) -> None:
        if not self.down:
            self.disk.crash()
            self.down, self.host, self.stalled = True, None, None
            self.world.judge.down(self.id)

    def kill_and_back(self) -> None:
        self.kill()
        self.world.clock.after(self.chance.uniform(0.05, 0.6), self.start)

    def step(self, call: Callable[[Watched, float], None]) -> None:
        """Gives an input, and carries out all that follows."""
        if self.down:
            return
        if self.stalled is not None:
            run = self.run
            self.stalled.append(lambda: self.step(call) if run == self.run else None)
            return
        call(self.host, self.local())
        self.drain()

    def resume(self) -> None:
        waiting, self.stalled = self.stalled, None
        for each in waiting or []:
            each()
        self.step(lambda host, now: host.tick(now))

    def drain(self) -> None:
        out: Outputs = self.host.take(self.local())
        for write in out.writes:
            self.disk.put(self, write)
        for message in out.messages:
            self.world.post(self, message)
        for answer in out.answers:
            self.world.answer(self, answer)
        if self.host is None:
            return
        self.world.judge.looked(self)
        wake = (
            max(self.world.clock.now + 1, round((self.host.wake_at() - self.offset) / self.rate * 1e6) + 1)
            if self.host.wake_at() < 1e12
            else None
        )
        if wake is not None and (self.wake is None or wake < self.wake or self.wake <= self.world.clock.now):
            self.wake = wake
            self.world.clock.at(wake, self._woken, self.run, wake)

    def _woken(self, run: int, wake: int) -> None:
        if run == self.run and wake == self.wake and not self.down:
            if self.stalled is None:
                self.wake = None
                self.step(lambda host, now: host.tick(now))

    def wipe(self) -> None:
        self.disk.saved = StoredState(f"{self.chance.getrandbits(48):012x}", 0)


class Writer:
    """Calls the members in turn: puts, compare-and-sets, gets. Repeats a put with its request id."""

    def __init__(self, world: "World", id: str, chance: random.Random) -> None:
        self.world, self.id, self.chance = world, id, chance
        self.count, self.seen, self.target = 0, 0, chance.choice(world.ids)
        self.op: dict[str, Any] | None = None
        self.tries = 0

    def begin(self) -> None:
        if self.world.now > self.world.writers_until:
            return
        self.count += 1
        kind = self.chance.choices(("put", "set", "get"), (3, 3, 4))[0]
        content = self.world.content(self)
        if self.chance.random() < self.world.plan.long:
            content += b"#" + b"." * self.chance.choice((3_000, 30_000))
        put = PutVersion(f"{self.id}-{self.count}", content, self.seen if kind == "set" else -1, self.id)
        self.op = {
            "get": kind == "get",
            "put": put,
            "called": self.world.now,
            "open": False,
            "until": self.world.now + self.chance.uniform(0.5, 4.0),
        }
        self.send()

    def send(self) -> None:
        self.tries += 1
        if not self.op["get"]:
            self.op["open"] = True  # from here on it may be written
        token = self.world.token(self, self.tries)
        if self.chance.random() > self.world.loss:
            self.world.clock.after(self.world.delay(), self._arrives, self.target, token, self.op)
        self.world.clock.after(self.chance.uniform(0.3, 1.2), self._late, self.tries)

    def _arrives(self, target: str, token: int, op: dict[str, Any]) -> None:
        node = self.world.nodes[target]
        if op["get"]:
            node.step(lambda host, now: host.get(now, token))
        else:
            node.step(lambda host, now: host.put(now, token, op["put"]))

    def _late(self, tries: int) -> None:
        if tries == self.tries and self.op is not None:
            self._again(self.chance.choice(self.world.ids))

    def _again(self, target: str) -> None:
        self.target = target
        if self.world.now > self.op["until"]:
            return self._over(None)
        self.tries += 1  # what comes late to the last one is not heard any more
        self.world.clock.after(self.chance.uniform(0.01, 0.1), self._resend, self.tries)

    def _resend(self, tries: int) -> None:
        if tries == self.tries:
            self.send()

    def told(self, tries: int, answer: Answer) -> None:
        if tries != self.tries or self.op is None:
            return
        if answer.status is Status.DONE:
            return self._over(answer.value)
        self._again(answer.leader or self.chance.choice(self.world.ids))

    def _over(self, value: Any) -> None:
        """Of a put that some try may have written and none answered, nothing is known. One that was answered
        ELSEWHERE in each try is written by none, but tries that were lost may be: so it counts as open
        too."""
        op, put, now = self.op, self.op["put"], self.world.now
        told = Op(self.id, "unknown", op["called"], NEVER, 0, digest(put.content), put.if_version)
        if op["get"]:
            if isinstance(value, Version) or value is None and self.world.answered_none:
                number, found = (value.number, value.digest) if value else (0, "")
                told = Op(self.id, "get", op["called"], now, number, found)
                self.seen = number
            else:
                told = None
        elif isinstance(value, VersionWritten):
            told = replace(told, kind="put", answered=now, number=value.version.number)
            self.seen = value.version.number
        elif isinstance(value, VersionConflict):
            self.seen = value.latest.number if value.latest else 0
            told = replace(told, kind="conflict", answered=now, number=self.seen, digest="")
        if told is not None:
            self.world.judge.operation(told, value, put)
        self.op, self.world.answered_none = None, False
        self.world.clock.after(self.chance.expovariate(1 / self.world.plan.pause), self.begin)


class World:
    host = Watched

    def __init__(self, plan: Plan, seed: int, broken: Broken | None = None) -> None:
        self.plan, self.seed, self.broken = plan, seed, broken or Broken()
        self.clock, self.chance = Clock(), self.rng("world")
        if self.chance.random() < 0.3:
            self.plan = plan = replace(plan, settings=replace(plan.settings, batch_bytes=1))
        self.compact_bytes = self.chance.choice(plan.compact_bytes)
        self.ids = [f"c{at}" for at in range(1, plan.members + 1)]
        self.judge = Judge(plan.settings)
        members = {each: MemberAddress(f"{each}:1") for each in self.ids}
        self.nodes = {each: Node(self, each, self.rng(each), members) for each in self.ids}
        self.writers = [Writer(self, f"w{at}", self.rng(f"w{at}")) for at in range(plan.writers)]
        self.tokens: dict[int, tuple[Any, int]] = {}
        self.cut: dict[tuple[str, str], int] = {}
        self.loss, self.held, self.repeat = 0.0, 0.0, 0.0
        self.answered_none = False
        self.told: list[str] = []  # what befell, for people

    @property
    def now(self) -> float:
        return self.clock.now / 1e6

    @property
    def writers_until(self) -> float:
        return self.plan.seconds + self.plan.settle - 2.5

    def content(self, writer: Writer) -> bytes:
        """Of a put; no two are the same."""
        return f"{writer.id} {writer.count}".encode()

    def rng(self, name: str) -> random.Random:
        return random.Random(zlib.crc32(f"{name}:{self.seed}".encode()))

    def token(self, writer: Any, tries: int) -> int:
        self.tokens[len(self.tokens) + 1] = (writer, tries)
        return len(self.tokens)

    def delay(self) -> float:
        late = self.chance.uniform(0.2, 2.5) if self.chance.random() < self.held else 0.0
        return self.chance.uniform(0.0003, 0.004) + late

    def post(self, node: Node, message: Envelope) -> None:
        self.judge.posted(node, message)
        for _ in range(2 if self.chance.random() < self.repeat else 1):
            if not self.cut.get((message.sender, message.recipient)) and self.chance.random() >= self.loss:
                self.clock.after(self.delay(), self._arrives, message)

    def _arrives(self, message: Envelope) -> None:
        if not self.cut.get((message.sender, message.recipient)) and message.recipient in self.nodes:
            self.judge.arrived(message)
            self.nodes[message.recipient].step(lambda host, now: host.receive(now, message))

    def answer(self, node: Node, answer: Answer) -> None:
        if self.chance.random() >= self.loss:
            self.clock.after(self.delay(), self._answered, answer)

    def _answered(self, answer: Answer) -> None:
        writer, tries = self.tokens.get(answer.token, (None, 0))
        if writer is not None:
            self.answered_none = answer.status is Status.DONE and answer.value is None
            writer.told(tries, answer)

    # What befalls

    def between(self, node: str, into: bool = True, out: bool = True) -> list[tuple[str, str]]:
        others = [each for each in self.ids if each != node]
        return [(each, node) for each in others if into] + [(node, each) for each in others if out]

    def block(self, pairs: list[tuple[str, str]], lasts: float) -> None:
        for pair in pairs:
            self.cut[pair] = self.cut.get(pair, 0) + 1
        self.clock.after(lasts, self._heal, pairs)

    def _heal(self, pairs: list[tuple[str, str]]) -> None:
        for pair in pairs:
            self.cut[pair] -= 1

    def draw(self) -> None:
        """Lays out what befalls in this run."""
        count = self.chance.randint(1, self.plan.most)
        if self.plan.lossy and self.chance.random() < 0.2:
            at = self.chance.uniform(1.5, 2.5)
            self.clock.after(
                at, self._lossy, self.chance.choice(self.plan.lossy), self.chance.choice(self.ids)
            )
            return
        for _ in range(count):
            kind = self.chance.choice(self.plan.faults)
            self.clock.after(
                self.chance.uniform(0.3, self.plan.seconds),
                self.befalls,
                kind,
                min(self.chance.expovariate(1.0) + 0.05, 3.5),
            )

    def follow(self, script: list[tuple[float, str, float, str]]) -> Judge:
        """Plays what a script says in place of what is drawn: when, what, for how long, and whom: an id,
        `leader` or `follower`, as it is by then."""
        for node in self.nodes.values():
            node.start()
        for writer in self.writers:
            self.clock.after(0.5, writer.begin)
        for at, kind, lasts, who in script:
            self.clock.after(at, self._scripted, kind, lasts, who)
        return self.played()

    def _scripted(self, kind: str, lasts: float, who: str) -> None:
        leads = [id for id, node in self.nodes.items() if node.host and node.host.raft.role is Role.LEADER]
        one = {"leader": leads, "follower": [each for each in self.ids if each not in leads]}.get(who, [who])[
            0
        ]
        if kind in LOSSY:
            self._lossy(kind, one)
        else:
            self.befalls(kind, lasts, one)

    def befalls(self, kind: str, lasts: float, of: str = "") -> None:
        leaders = [id for id, node in self.nodes.items() if node.host and node.host.raft.role is Role.LEADER]
        one = of or (
            self.chance.choice(leaders)
            if leaders and self.chance.random() < 0.5
            else self.chance.choice(self.ids)
        )
        node = self.nodes[one]
        self.told.append(f"{self.now:.3f} {kind} {one} {lasts:.3f}")
        if kind == "silent":
            self.block(self.between(one), lasts)
        elif kind == "silent_in":
            self.block(self.between(one, out=False), lasts)
        elif kind == "silent_out":
            self.block(self.between(one, into=False), lasts)
        elif kind == "split":  # into as many parts as chance makes of it
            part = {each: self.chance.randint(0, 2) for each in self.ids}
            self.block([(a, b) for a in self.ids for b in self.ids if part[a] != part[b]], lasts)
        elif kind == "flap":
            at = 0.0
            while at < lasts:
                on, off = self.chance.uniform(0.02, 0.25), self.chance.uniform(0.02, 0.25)
                self.clock.after(at, self.block, self.between(one), on)
                at += on + off
        elif kind in ("loss", "held", "repeat"):
            setattr(self, kind, self.chance.uniform(0.05, 0.4))
            self.clock.after(lasts, setattr, self, kind, 0.0)
        elif kind == "stall":
            if node.stalled is None and not node.down:
                node.stalled = []
                self.clock.after(lasts, self._resume, node, node.run)
        elif kind == "away":  # a machine that is suspended, and comes back to a network that is not there yet
            self.block(self.between(one), lasts + 0.2)
            self.befalls("stall", lasts, one)
        elif kind == "kill":
            node.kill()
            self.clock.after(lasts, node.start)
        elif kind == "kill_at_write":
            node.kill_at_write = True
            self.clock.after(lasts, setattr, node, "kill_at_write", False)
        elif kind == "disk_slow":
            node.disk.slow = self.chance.uniform(5, 100)
            self.clock.after(lasts, setattr, node.disk, "slow", 1.0)
        elif kind == "disk_fails":
            node.disk.fails = True
            self.clock.after(lasts, self._disk_back, node)
        elif kind == "clock":
            local = node.local()
            node.rate = self.chance.choice((0.98, 1.02))
            node.offset = local - node.rate * self.now
        elif kind == "hand_over":
            node.step(lambda host, now: host.transfer_leadership(now, 0, self.chance.choice(self.ids)))
        elif kind == "replace":
            if (
                not node.replacing
            ):  # an operator who wipes what another one has just added is right to be refused
                Replacing(self, node)

    def _resume(self, node: Node, run: int) -> None:
        if node.run == run and not node.down:
            node.resume()

    def _disk_back(self, node: Node) -> None:
        """Mended by a restart, as its page says."""
        node.disk.fails = False
        node.kill()
        node.start()

    def _lossy(self, kind: str, one: str) -> None:
        node = self.nodes[one]
        self.told.append(f"{self.now:.3f} {kind} {one}")
        earlier = StoredState(
            **{name: getattr(node.disk.saved, name) for name in StoredState.__struct_fields__}
        )
        self.clock.after(
            0.0 if kind == "wipe" else self.chance.uniform(0.4, 2.0), self._lose, kind, node, earlier
        )

    def _lose(self, kind: str, node: Node, earlier: StoredState) -> None:
        node.kill()
        node.lost = kind == "wipe" or earlier.writes < node.disk.saved.writes
        if kind == "wipe":
            node.wipe()
        else:
            node.disk.saved = earlier
        self.clock.after(0.1, node.start)
        self.clock.after(1.9, self.judge.lost, node)
        self.clock.after(2.0, Replacing, self, node)

    def play(self) -> Judge:
        for node in self.nodes.values():
            self.clock.after(self.chance.uniform(0, 0.2), node.start)
        for writer in self.writers:
            self.clock.after(self.chance.uniform(0.3, 1.0), writer.begin)
        self.draw()
        return self.played()

    def played(self) -> Judge:
        """Up to the end of the plan; then all versions are read and the judge looks at the whole."""
        end = round((self.plan.seconds + self.plan.settle) * 1e6)
        try:
            self.clock.run(round(self.plan.seconds * 1e6))
            self.whole()
            self.clock.run(end)
        except InvariantViolation as error:
            self.judge.found("contradiction", str(error))
        self.judge.ended(self.nodes)
        return self.judge

    def whole(self) -> None:
        """Nothing fails from here on."""
        self.cut.clear()
        self.cut = _Open()
        self.loss = self.held = self.repeat = 0.0
        for node in self.nodes.values():
            node.kill_at_write, node.disk.slow, node.disk.fails = False, 1.0, False
            if node.down:
                node.start()
            elif node.stalled is not None:
                node.resume()
            elif node.host.raft.role is Role.BARRED and not node.lost:
                node.kill()
                node.start()


class _Open(dict):
    """Links that can't be cut any more; what heals does so without effect."""

    def get(self, *_: Any) -> int:
        return 0

    def __getitem__(self, pair: Any) -> int:
        return 0


class Replacing:
    """An operator who removes a member, wipes its folder, starts it anew and adds it."""

    def __init__(self, world: World, node: Node) -> None:
        self.world, self.node, self.adding = world, node, False
        self.until = world.now + 6.0
        self.tries, node.replacing = 0, True
        self.ask()

    def ask(self) -> None:
        if self.world.now > self.until or self.tries > 40:
            self.node.replacing = False
            return
        self.tries += 1
        token = self.world.token(self, self.tries)
        leader = next(
            (
                each
                for each in self.world.nodes.values()
                if each.host and each.host.raft.role is Role.LEADER and each is not self.node
            ),
            None,
        )
        if leader is not None:
            address = f"{self.node.id}:1" if self.adding else None
            leader.step(lambda host, now: host.change_membership(now, token, self.node.id, address))
        self.world.clock.after(0.4, self._late, self.tries)

    def _late(self, tries: int) -> None:
        if tries == self.tries:
            self.ask()

    def told(self, tries: int, answer: Answer) -> None:
        if tries != self.tries:
            return
        done = answer.status is Status.DONE or (
            "is no member" in str(answer.value)
            if not self.adding
            else "is a member already" in str(answer.value)
        )
        if done and self.adding:
            self.tries, self.node.replacing = 99, False
        elif done:
            self.adding = True
            self.node.kill()
            self.node.wipe()
            self.node.first_members, self.node.lost = {}, False
            self.world.clock.after(0.05, self.node.start)
            self.world.clock.after(0.1, self.ask)
        else:
            self.world.clock.after(0.1, self._late, self.tries)


def played(plan: Plan, seed: int, broken: Broken | None = None) -> Judge:
    return World(plan, seed, broken).play()
