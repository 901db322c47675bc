"""Simulated servers, without I/O or clock: shared cores, queues, slow start, collapse under overload,
deduplication by idempotency label and faults. Both engines pass requests to `Server.arrive`, call `advance`
at `wake_at`, and send back the results. Times are seconds since the start of the run.
"""

import heapq
import math
import random
import zlib
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from foxspread.lab.ledger import Ledger
from foxspread.lab.scenario import Category, Group, Rules, Scenario


@dataclass(slots=True, eq=False)
class Job:
    """One complete request at a server. `ending` is the result that its sender receives after the work."""

    request_id: str
    instance: str
    kind: Category
    label: str
    work: float
    always_fails: bool = False  # fails at every server
    begun: bool = False
    repeat: bool = False  # its label is already recorded, so that it has no effect
    cancelled: bool = False  # its sender closed the connection
    ending: str = "done"
    token: str = ""
    finish: float = 0.0
    key: str = ""


@dataclass(slots=True)
class FaultBehavior:
    """Effects of faults on a server; `shares` holds the share of requests affected, by fault."""

    hang: bool = False  # the process is stopped and reads nothing
    shares: dict[str, float] = field(default_factory=dict)
    executed_share: float = 1.0


class DeduplicationStore:
    """Idempotency labels that groups of servers have seen, each with an expiry time. A label is recorded when
    its request arrives, not when work starts: a repeat sent in time may wait in a queue past the expiry, and
    must not run."""

    def __init__(self) -> None:
        self.expires_at: dict[tuple[str, str], float] = {}
        self.order: deque[tuple[float, tuple[str, str]]] = deque()

    def check_and_record(self, now: float, group: str, label: str, window: float) -> bool:
        while self.order and self.order[0][0] <= now:
            at, key = self.order.popleft()
            if self.expires_at.get(key) == at:
                del self.expires_at[key]
        if (group, label) in self.expires_at:
            return True
        self.expires_at[group, label] = now + window
        self.order.append((now + window, (group, label)))
        return False

    def forget(self, group: str, label: str) -> None:
        """Removes the label of a request that never started; dropping its repeat would lose the effect."""
        self.expires_at.pop((group, label), None)


class Machine:
    """Cores under processor sharing: all running jobs share them equally. `done` is the work that a job
    running since the start would have received. Jobs are ordered by the value of `done` at which they end, so
    that a change of speed alters one number only."""

    def __init__(self, group: Group, now: float, cold: bool) -> None:
        self.group, self.started, self.cold = group, now, cold
        self.slowdowns: dict[str, float] = {}  # slowdown factors, by fault
        self.at, self.done, self.count = now, 0.0, 0
        self.running: list[tuple[float, int, Job]] = []
        self.waiting: deque[Job] = deque()
        self.answering: list[tuple[float, int, Job]] = []  # work finished, waiting for other services
        self.keys: OrderedDict[str, float] = (
            OrderedDict()
        )  # time of the last request by key, most recent last
        self.overloaded_since = math.inf  # start of the present overload
        self.thrashing = False

    def capacity_fraction(self, now: float) -> float:
        group = self.group
        if not self.cold or now - self.started >= group.cold_time:
            return 1.0
        return group.cold_from + (1 - group.cold_from) * max(0.0, now - self.started) / group.cold_time

    def capacity(self, now: float) -> float:
        """Returns the work per second in core seconds, without faults."""
        return self.group.cores * self.group.speed * self.capacity_fraction(now)

    def in_flight(self) -> int:
        return len(self.running) + len(self.waiting) + len(self.answering)

    def _rate(self) -> float:
        """Returns the work per second that each running job receives since the last change."""
        if not self.running:
            return 0.0
        speed = (
            self.group.speed
            * self.capacity_fraction(self.at)
            * min(1.0, self.group.cores / len(self.running))
        )
        for factor in self.slowdowns.values():
            speed /= factor
        return speed / (self.group.thrash_factor if self.thrashing else 1.0)

    def _advance_work(self, now: float) -> None:
        self.done += self._rate() * max(0.0, now - self.at)
        self.at = max(self.at, now)

    def _update_thrashing(self, now: float) -> None:
        group = self.group
        if group.thrash_factor <= 1 or group.thrash_from <= 0:
            return
        if self.in_flight() <= group.thrash_from * group.cores:
            self.overloaded_since = math.inf
            self.thrashing = self.thrashing and self.in_flight() > 0
        elif self.overloaded_since == math.inf:
            self.overloaded_since = now
        elif now - self.overloaded_since >= group.thrash_after:
            self.thrashing = True

    def apply_key_cache(self, now: float, job: Job) -> None:
        """Reduces the work of a job whose key was requested recently, and records the key."""
        if not job.key or not self.group.key_gain:
            return
        if now - self.keys.pop(job.key, -math.inf) < self.group.key_time:
            job.work *= 1 - self.group.key_gain
        self.keys[job.key] = now
        if len(self.keys) > self.group.keys * self.group.cores:
            self.keys.popitem(last=False)

    def add(self, now: float, job: Job) -> bool:
        """Adds a job; returns False if slots and queue are full."""
        self._advance_work(now)
        if len(self.running) + len(self.answering) < self.group.slots and not self.waiting:
            self._begin(job)
        elif len(self.waiting) < self.group.queue:
            self.waiting.append(job)
        else:
            return False
        self._update_thrashing(now)
        return True

    def _begin(self, job: Job) -> None:
        job.begun = True
        self.count += 1
        heapq.heappush(self.running, (self.done + job.work, self.count, job))

    def cancel(self, now: float, job: Job) -> bool:
        """Cancels a job; returns True if it was waiting and so never starts."""
        if job in self.waiting:
            self.waiting.remove(job)
            self._update_thrashing(now)
            return True
        if self.group.ends_cut and (at := self._index_of(job)) is not None:
            self._advance_work(now)
            self.running[at] = self.running[-1]
            self.running.pop()
            heapq.heapify(self.running)  # the next `advance` gives its slot to a waiting job
        return False

    def _index_of(self, job: Job) -> int | None:
        return next((at for at, (_, _, each) in enumerate(self.running) if each is job), None)

    def set_slowdown(self, now: float, why: str, factor: float | None) -> None:
        """Sets the slowdown factor for one cause; None removes it."""
        self._advance_work(now)
        if factor is None:
            self.slowdowns.pop(why, None)
        else:
            self.slowdowns[why] = factor

    def advance(self, now: float) -> tuple[list[Job], list[Job]]:
        """Advances to a time; returns the jobs that have ended and those that have started."""
        ended, begun = [], self._start_waiting()
        while True:
            rate = self._rate()
            work_at = self.at + (self.running[0][0] - self.done) / rate if rate > 0 else math.inf
            next_at = min(work_at, self.answering[0][0] if self.answering else math.inf)
            if next_at > now + 1e-9:
                break
            self._advance_work(next_at)
            if work_at <= next_at:
                job = heapq.heappop(self.running)[2]
                self.count += 1
                heapq.heappush(self.answering, (next_at + job.kind.wait, self.count, job))
            if self.answering and self.answering[0][0] <= next_at:
                ended.append(heapq.heappop(self.answering)[2])
            begun += self._start_waiting()
            self._update_thrashing(next_at)
        self._advance_work(now)
        self._update_thrashing(now)
        return ended, begun

    def _can_start_waiting(self) -> bool:
        return bool(self.waiting) and len(self.running) + len(self.answering) < self.group.slots

    def _start_waiting(self) -> list[Job]:
        """Starts waiting jobs while slots are free, and returns them."""
        begun = []
        while self._can_start_waiting():
            begun.append(self.waiting.popleft())
            self._begin(begun[-1])
        return begun

    def wake_at(self) -> float:
        """Returns when `advance` is due next: a job ends, or the speed changes during slow start."""
        if self._can_start_waiting():
            return self.at
        rate = self._rate()
        work_at = self.at + max(0.0, (self.running[0][0] - self.done) / rate) if rate > 0 else math.inf
        if self.running and self.capacity_fraction(self.at) < 1.0:
            work_at = min(work_at, self.at + 0.05)
        if self.running and self.overloaded_since < math.inf and not self.thrashing:
            work_at = min(work_at, max(self.at, self.overloaded_since + self.group.thrash_after) + 1e-6)
        return min(work_at, self.answering[0][0] if self.answering else math.inf)


class Server:
    """One run of a server: its machine, its faults and its part of the event record."""

    def __init__(
        self,
        id: str,
        group: Group,
        zone: str,
        cell: int,
        now: float,
        cold: bool,
        rules: Rules,
        deduplication: DeduplicationStore,
        ledger: Ledger,
        chance: random.Random,
        run: int = 0,
    ) -> None:
        self.id, self.group, self.zone, self.cell, self.run = id, group, zone, cell, run
        self.rules, self.deduplication, self.ledger, self.chance = rules, deduplication, ledger, chance
        self.machine, self.fault_behavior = Machine(group, now, cold), FaultBehavior()
        self.started = now if cold else 0.0  # start time in the endpoint list; 0 means long ago
        self.up, self.silent, self.refusing, self.draining = True, False, False, False
        self.collapsed = False
        self.recent_arrivals: deque[tuple[float, float]] = deque()
        self.recent_work, self.answers = 0.0, 0
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
        """Accepts a complete request. Returns the immediate results: `turned` (rejected), `error`, `reset`,
        `fell` (the process died), and those of `advance`."""
        out = self.advance(now)
        self.machine.apply_key_cache(now, job)
        self._write(now, "arrived", job, job.work, job.kind.name, job.label)
        if self._overloads_slow_start(now, job.work):
            self.collapsed, self.up = True, False
            self.ledger.write(round(now * 1e6), "fell", self.id)
            return [*out, (job, "fell")]
        if self.fault_behavior.hang or self._fault_applies("hang_after_read"):
            return out
        if job.always_fails or self._fault_applies("fast_errors"):
            self._write(now, "broke", job, text="error")
            return [*out, (job, "error")]
        for fault, ending in (("reset_after_read", "reset"), ("reset_mid_answer", "mid")):
            if self._fault_applies(fault):
                if ending == "reset" and self.chance.random() >= self.fault_behavior.executed_share:
                    self._write(now, "broke", job, text=ending)
                    return [*out, (job, "reset")]
                job.ending = ending
        if not self.machine.add(now, job):
            self._write(now, "turned", job)
            return [*out, (job, "turned")]
        if job.kind.effect == "labelled" and job.label:
            job.repeat = self.deduplication.check_and_record(
                now, self._scope(job), job.label, job.kind.repeat_window
            )
        if job.begun:
            self._record_start(now, job)
        return [*out, *self.advance(now)]

    def _fault_applies(self, fault: str) -> bool:
        share = self.fault_behavior.shares.get(fault, 0.0)
        return share > 0 and (share >= 1 or self.chance.random() < share)

    def _overloads_slow_start(self, now: float, work: float) -> bool:
        """Returns whether a server in slow start collapses: it does, and stays down, if the work sent to it
        within `fall_after` seconds exceeds a multiple of its present capacity."""
        capacity_fraction = self.machine.capacity_fraction(now)
        if capacity_fraction >= 1.0:
            return False
        self.recent_arrivals.append((now, work))
        self.recent_work += work
        while self.recent_arrivals[0][0] < now - self.rules.fall_after:
            self.recent_work -= self.recent_arrivals.popleft()[1]
        most = self.rules.fall_multiple * self.machine.capacity(now) * self.rules.fall_after
        # A single request may exceed a small server's capacity in that time and must not cause a collapse.
        return self.recent_work > most and len(self.recent_arrivals) > 2

    def _scope(self, job: Job) -> str:
        return {"cell": f"{self.zone}/{self.cell}", "zone": self.zone, "all": ""}[job.kind.scope]

    def _record_start(self, now: float, job: Job) -> None:
        self._write(now, "dropped" if job.repeat else "ran", job, label=job.label)

    def advance(self, now: float) -> list[tuple[Job, str]]:
        """Returns the jobs ended by now, each with its result: `done` (`job.token` is the body), `reset`, or
        `mid` (the answer breaks off half-way)."""
        if not self.up or self.fault_behavior.hang:
            return []
        ended, begun = self.machine.advance(now)
        for job in begun:
            self._record_start(now, job)
        out = []
        for job in ended:
            if job.ending == "done":
                self.answers += 1
                job.token = f"{job.request_id}|{self.id}|{self.run}.{self.answers}"
                self._write(now, "made", job, 200, job.token)
            else:
                self._write(now, "broke", job, text=job.ending)
            out.append((job, job.ending))
        return out

    def wake_at(self) -> float:
        return self.machine.wake_at() if self.up and not self.fault_behavior.hang else math.inf

    def cancel(self, now: float, job: Job) -> None:
        """Cancels a job whose sender closed the connection: a waiting job is dropped, a running one continues
        unless the group has `ends_cut`."""
        if not job.cancelled and self.up:
            job.cancelled = True
            self._write(now, "cut", job)
            if self.machine.cancel(now, job) and not job.repeat:
                self.deduplication.forget(self._scope(job), job.label)

    def down(self, now: float, why: str) -> None:
        self.up = False
        self.ledger.write(round(now * 1e6), "down", self.id, "", "", 0.0, why)

    def _write(
        self, now: float, what: str, job: Job, number: float = 0.0, text: str = "", label: str = ""
    ) -> None:
        self.ledger.write(round(now * 1e6), what, self.id, job.request_id, job.instance, number, text, label)


class Fleet:
    """Current run of each server by id, and the true state of each listed server."""

    def __init__(self, scenario: Scenario, ledger: Ledger, seed: int) -> None:
        self.scenario, self.ledger = scenario, ledger
        self.chance = random.Random(zlib.crc32(b"fleet:%d" % seed))
        self.deduplication = DeduplicationStore()
        self.servers: dict[str, Server] = {}
        # true state by id, without removed servers
        self.listed: dict[str, tuple[Server, str]] = {}
        self.count = 0
        self.runs = 0
        for group in scenario.groups:
            for number in range(group.count):
                zones = group.zones or scenario.network.zones
                zone, row = zones[number % len(zones)], number // len(zones)
                self.add_server(group, zone, row // group.cell_size, 0.0, cold=False)

    def add_server(self, group: Group, zone: str, cell: int, now: float, cold: bool) -> Server:
        id = f"s-{self.count:03d}"
        self.count += 1
        return self._start(id, group, zone, cell, now, cold)

    def restart(self, old: Server, now: float) -> Server:
        """Starts the next run of a stopped server, in slow start."""
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
            self.deduplication,
            self.ledger,
            self.chance,
            self.runs,
        )
        self.servers[id] = server
        self.listed[id] = (server, "ready")
        return server
