"""The servers of the lab, without I/O or clock: a machine that shares its cores, its queue, its cold start,
what falls over, what its group remembers of labels, and what faults make it do. Both engines carry their
requests to `Server.arrive`, call `advance` at `wake_at`, and carry back what these return. Times are seconds
of the run.
"""

import heapq
import math
import random
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from foxspread.lab.ledger import Ledger
from foxspread.lab.scenario import Group, Kind, Rules, Scenario


@dataclass(slots=True, eq=False)
class Job:
    """One request that reached a server, whole. `ending`: what its sender will see once it is worked on."""

    lookup: str
    instance: str
    kind: Kind
    label: str
    work: float
    bad: bool = False  # belongs to lookups that fail everywhere
    begun: bool = False
    repeat: bool = False  # of a label that its group has taken: has no effect
    cut: bool = False  # its sender went away
    ending: str = "done"
    token: str = ""
    finish: float = 0.0
    key: str = ""


@dataclass(slots=True)
class Conduct:
    """What faults make of a server: by fault, the share of its lookups that it strikes."""

    hang: bool = False  # the process stands still: reads nothing
    struck: dict[str, float] = field(default_factory=dict)
    ran: float = 1.0


class Memory:
    """The labels that a group of servers has taken, with an end of life. Noted when a lookup comes, not when
    it is begun: a repeat that was sent in time may stand in a queue until the label would be forgotten, and
    must not run."""

    def __init__(self) -> None:
        self.since: dict[tuple[str, str], float] = {}
        self.order: deque[tuple[float, tuple[str, str]]] = deque()

    def known(self, now: float, group: str, label: str, window: float) -> bool:
        while self.order and self.order[0][0] <= now:
            at, key = self.order.popleft()
            if self.since.get(key) == at:
                del self.since[key]
        if (group, label) in self.since:
            return True
        self.since[group, label] = now + window
        self.order.append((now + window, (group, label)))
        return False

    def forget(self, group: str, label: str) -> None:
        """What was taken and never begun: its repeat must not be dropped, or the effect would be lost."""
        self.since.pop((group, label), None)


class Machine:
    """Cores shared alike by all in work. `done` is the work that each job in work has had so far, were it
    there from the start: jobs end in the order of what they still need, and a change of speed touches one
    number only."""

    def __init__(self, group: Group, now: float, cold: bool) -> None:
        self.group, self.started, self.cold = group, now, cold
        self.factors: dict[str, float] = {}  # by fault: so many times slower
        self.at, self.done, self.count = now, 0.0, 0
        self.in_work: list[tuple[float, int, Job]] = []
        self.waiting: deque[Job] = deque()
        self.answering: list[tuple[float, int, Job]] = []  # worked on, and waiting on others
        self.keys: OrderedDict[str, float] = OrderedDict()  # met lately, and when; the latest last
        self.over_since = math.inf  # since when it holds too much
        self.thrashing = False

    def warmth(self, now: float) -> float:
        group = self.group
        if not self.cold or now - self.started >= group.cold_time:
            return 1.0
        return group.cold_from + (1 - group.cold_from) * max(0.0, now - self.started) / group.cold_time

    def capacity(self, now: float) -> float:
        """Core seconds a second, undisturbed."""
        return self.group.cores * self.group.speed * self.warmth(now)

    def held(self) -> int:
        return len(self.in_work) + len(self.waiting) + len(self.answering)

    def _rate(self) -> float:
        """Work a second that each job in work gets, as of the last change."""
        if not self.in_work:
            return 0.0
        speed = self.group.speed * self.warmth(self.at) * min(1.0, self.group.cores / len(self.in_work))
        for factor in self.factors.values():
            speed /= factor
        return speed / (self.group.thrash_factor if self.thrashing else 1.0)

    def _pass(self, now: float) -> None:
        self.done += self._rate() * max(0.0, now - self.at)
        self.at = max(self.at, now)

    def _crowding(self, now: float) -> None:
        group = self.group
        if group.thrash_factor <= 1 or group.thrash_from <= 0:
            return
        if self.held() <= group.thrash_from * group.cores:
            self.over_since = math.inf
            self.thrashing = self.thrashing and self.held() > 0
        elif self.over_since == math.inf:
            self.over_since = now
        elif now - self.over_since >= group.thrash_after:
            self.thrashing = True

    def remember(self, now: float, job: Job) -> None:
        """The work is less where the job's key was met lately."""
        if not job.key or not self.group.key_gain:
            return
        if now - self.keys.pop(job.key, -math.inf) < self.group.key_time:
            job.work *= 1 - self.group.key_gain
        self.keys[job.key] = now
        if len(self.keys) > self.group.keys * self.group.cores:
            self.keys.popitem(last=False)

    def add(self, now: float, job: Job) -> bool:
        """False where slots and queue are full."""
        self._pass(now)
        if len(self.in_work) + len(self.answering) < self.group.slots and not self.waiting:
            self._begin(job)
        elif len(self.waiting) < self.group.queue:
            self.waiting.append(job)
        else:
            return False
        self._crowding(now)
        return True

    def _begin(self, job: Job) -> None:
        job.begun = True
        self.count += 1
        heapq.heappush(self.in_work, (self.done + job.work, self.count, job))

    def drop(self, now: float, job: Job) -> bool:
        """A waiting job whose sender went away is never begun."""
        if job in self.waiting:
            self.waiting.remove(job)
            self._crowding(now)
            return True
        if self.group.ends_cut and (at := self._in_work(job)) is not None:
            self._pass(now)
            self.in_work[at] = self.in_work[-1]
            self.in_work.pop()
            heapq.heapify(self.in_work)  # its slot is free for who waits, from the next `advance` on
        return False

    def _in_work(self, job: Job) -> int | None:
        return next((at for at, (_, _, each) in enumerate(self.in_work) if each is job), None)

    def slower(self, now: float, why: str, factor: float | None) -> None:
        """So many times slower for that reason, until called with None."""
        self._pass(now)
        if factor is None:
            self.factors.pop(why, None)
        else:
            self.factors[why] = factor

    def advance(self, now: float) -> tuple[list[Job], list[Job]]:
        """The jobs that have ended by now, and those that began meanwhile."""
        ended, begun = [], self._fill()
        while True:
            rate = self._rate()
            work_at = self.at + (self.in_work[0][0] - self.done) / rate if rate > 0 else math.inf
            next_at = min(work_at, self.answering[0][0] if self.answering else math.inf)
            if next_at > now + 1e-9:
                break
            self._pass(next_at)
            if work_at <= next_at:
                job = heapq.heappop(self.in_work)[2]
                self.count += 1
                heapq.heappush(self.answering, (next_at + job.kind.wait, self.count, job))
            if self.answering and self.answering[0][0] <= next_at:
                ended.append(heapq.heappop(self.answering)[2])
            begun += self._fill()
            self._crowding(next_at)
        self._pass(now)
        self._crowding(now)
        return ended, begun

    def _free(self) -> bool:
        return bool(self.waiting) and len(self.in_work) + len(self.answering) < self.group.slots

    def _fill(self) -> list[Job]:
        """Who waits begins where a slot is free."""
        begun = []
        while self._free():
            begun.append(self.waiting.popleft())
            self._begin(begun[-1])
        return begun

    def wake_at(self) -> float:
        """When `advance` has something to do, or the speed of one that warms up is to be worked out anew."""
        if self._free():
            return self.at
        rate = self._rate()
        work_at = self.at + max(0.0, (self.in_work[0][0] - self.done) / rate) if rate > 0 else math.inf
        if self.in_work and self.warmth(self.at) < 1.0:
            work_at = min(work_at, self.at + 0.05)
        if self.in_work and self.over_since < math.inf and not self.thrashing:
            work_at = min(work_at, max(self.at, self.over_since + self.group.thrash_after) + 1e-6)
        return min(work_at, self.answering[0][0] if self.answering else math.inf)


class Server:
    """One run of a server: a machine, its conduct, and what it writes into the ledger."""

    def __init__(
        self,
        id: str,
        group: Group,
        zone: str,
        cell: int,
        now: float,
        cold: bool,
        rules: Rules,
        memory: Memory,
        ledger: Ledger,
        chance: random.Random,
        run: int = 0,
    ) -> None:
        self.id, self.group, self.zone, self.cell, self.run = id, group, zone, cell, run
        self.rules, self.memory, self.ledger, self.chance = rules, memory, ledger, chance
        self.machine, self.conduct = Machine(group, now, cold), Conduct()
        self.started = now if cold else 0.0  # as the list tells it; 0: long ago
        self.up, self.silent, self.refusing, self.draining = True, False, False, False
        self.fell = False
        self.pushed: deque[tuple[float, float]] = deque()
        self.pushed_work, self.made = 0.0, 0
        micros = round(now * 1e6)
        ledger.write(
            micros,
            "up",
            id,
            "",
            "",
            group.cores * group.speed,
            f"{zone}/{cell}/{group.name}/{group.cold_from}/{group.cold_time}",
        )
        if cold:
            ledger.write(micros, "cold", id, "", "", 1.0)

    def arrive(self, now: float, job: Job) -> list[tuple[Job, str]]:
        """A request has come whole. Returns what goes back at once: `turned`, `error`, `reset`, `fell` (the
        whole process died), or what `advance` returns."""
        out = self.advance(now)
        self.machine.remember(now, job)
        self._write(now, "arrived", job, job.work, job.kind.name, job.label)
        if self._pushed_over(now, job.work):
            self.fell, self.up = True, False
            self.ledger.write(round(now * 1e6), "fell", self.id)
            return [*out, (job, "fell")]
        if self.conduct.hang or self._struck("hang_after_read"):
            return out
        if job.bad or self._struck("fast_errors"):
            self._write(now, "broke", job, text="error")
            return [*out, (job, "error")]
        for fault, ending in (("reset_after_read", "reset"), ("reset_mid_answer", "mid")):
            if self._struck(fault):
                if ending == "reset" and self.chance.random() >= self.conduct.ran:
                    self._write(now, "broke", job, text=ending)
                    return [*out, (job, "reset")]
                job.ending = ending
        if not self.machine.add(now, job):
            self._write(now, "turned", job)
            return [*out, (job, "turned")]
        if job.kind.effect == "labelled" and job.label:
            job.repeat = self.memory.known(now, self._scope(job), job.label, job.kind.repeat_window)
        if job.begun:
            self._began(now, job)
        return [*out, *self.advance(now)]

    def _struck(self, fault: str) -> bool:
        share = self.conduct.struck.get(fault, 0.0)
        return share > 0 and (share >= 1 or self.chance.random() < share)

    def _pushed_over(self, now: float, work: float) -> bool:
        """The contract on cold servers, as the operators' brief words it: sent more than a multiple of what
        it can do at that moment, over a stated time, it falls over and stays down."""
        warmth = self.machine.warmth(now)
        if warmth >= 1.0:
            return False
        self.pushed.append((now, work))
        self.pushed_work += work
        while self.pushed[0][0] < now - self.rules.fall_after:
            self.pushed_work -= self.pushed.popleft()[1]
        most = self.rules.fall_multiple * self.machine.capacity(now) * self.rules.fall_after
        # One lookup alone can weigh more than a small server does in that time: it pushes nothing over.
        return self.pushed_work > most and len(self.pushed) > 2

    def _scope(self, job: Job) -> str:
        return {"cell": f"{self.zone}/{self.cell}", "zone": self.zone, "all": ""}[job.kind.scope]

    def _began(self, now: float, job: Job) -> None:
        self._write(now, "dropped" if job.repeat else "ran", job, label=job.label)

    def advance(self, now: float) -> list[tuple[Job, str]]:
        """What goes back by now: `done` with `job.token` as its body, `reset`, or `mid` (breaks off
        half-way)."""
        if not self.up or self.conduct.hang:
            return []
        ended, begun = self.machine.advance(now)
        for job in begun:
            self._began(now, job)
        out = []
        for job in ended:
            if job.ending == "done":
                self.made += 1
                job.token = f"{job.lookup}|{self.id}|{self.run}.{self.made}"
                self._write(now, "made", job, 200, job.token)
            else:
                self._write(now, "broke", job, text=job.ending)
            out.append((job, job.ending))
        return out

    def wake_at(self) -> float:
        return self.machine.wake_at() if self.up and not self.conduct.hang else math.inf

    def cut(self, now: float, job: Job) -> None:
        """Its sender closed the connection: what waits is dropped, what runs goes on."""
        if not job.cut and self.up:
            job.cut = True
            self._write(now, "cut", job)
            if self.machine.drop(now, job) and not job.repeat:
                self.memory.forget(self._scope(job), job.label)

    def down(self, now: float, why: str) -> None:
        self.up = False
        self.ledger.write(round(now * 1e6), "down", self.id, "", "", 0.0, why)

    def _write(
        self, now: float, what: str, job: Job, number: float = 0.0, text: str = "", label: str = ""
    ) -> None:
        self.ledger.write(round(now * 1e6), what, self.id, job.lookup, job.instance, number, text, label)


class Fleet:
    """All servers, by id, the current run of each; who is listed how; and what the list source has to
    tell."""

    def __init__(self, scenario: Scenario, ledger: Ledger, seed: int) -> None:
        self.scenario, self.ledger = scenario, ledger
        self.chance = random.Random(zlib.crc32(b"fleet:%d" % seed))
        self.memory = Memory()
        self.servers: dict[str, Server] = {}
        # the truth: server and state; gone ones are left out
        self.listed: dict[str, tuple[Server, str]] = {}
        self.count = 0
        self.runs = 0
        for group in scenario.groups:
            for number in range(group.count):
                zones = group.zones or scenario.network.zones
                zone, row = zones[number % len(zones)], number // len(zones)
                self.new(group, zone, row // group.cell_size, 0.0, cold=False)

    def new(self, group: Group, zone: str, cell: int, now: float, cold: bool) -> Server:
        id = f"s-{self.count:03d}"
        self.count += 1
        return self._start(id, group, zone, cell, now, cold)

    def again(self, old: Server, now: float) -> Server:
        """The next run of a server that was down: cold."""
        return self._start(old.id, old.group, old.zone, old.cell, now, True)

    def _start(self, id: str, group: Group, zone: str, cell: int, now: float, cold: bool) -> Server:
        self.runs += 1
        server = Server(
            id,
            group,
            zone,
            cell,
            now,
            cold,
            self.scenario.rules,
            self.memory,
            self.ledger,
            self.chance,
            self.runs,
        )
        self.servers[id] = server
        self.listed[id] = (server, "ready")
        return server
