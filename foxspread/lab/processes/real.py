"""Plays a scenario against real coordinators: writers put, compare-and-set and get through relays while what
the seed draws befalls links, processes and disks; then nothing fails, all histories are read, and the judge
looks at what writers and relays saw.
"""

import asyncio
import json
import signal
import time
from dataclasses import dataclass, field, replace
from typing import Any

from foxspread.consensus.client import Reply, call
from foxspread.consensus.raft import RaftSettings
from foxspread.consensus.versions import PutVersion, Version, VersionConflict, VersionWritten, digest
from foxspread.lab.processes.fleet import Child, Fleet
from foxspread.lab.processes.judge import Judge
from foxspread.lab.processes.linear import NEVER, Op
from foxspread.lab.processes.relay import LINK_FAULTS
from foxspread.lab.processes.scenario import Scenario
from foxspread.net.http import BadMessage

ERRORS = (OSError, TimeoutError, BadMessage)
CONTENT = """# {name}
[settings]
siblings = 1
[[settings.categories]]
name = "docs"
abandon_time_us = 1500000
"""


@dataclass
class Played:
    seed: int
    faults: list[dict[str, str]]  # of the judge
    befell: list[str]
    operations: dict[str, int] = field(default_factory=dict)
    versions: int = 0
    seconds: float = 0.0
    worst: float = 0.0  # longest time without any put done, while it played


def version(row: dict[str, Any]) -> Version:
    content = row.get("content", "").encode()
    return Version(
        row["number"],
        row["digest"],
        content,
        row["follows"],
        row["request"],
        row["who"],
        row["why"],
        row["at"],
    )


class Writer:
    def __init__(self, play: "Play", name: str) -> None:
        self.play, self.name, self.chance = play, name, play.fleet.rng(name)
        self.seen, self.count = 0, 0
        self.target = self.chance.choice(play.fleet.names)

    async def run(self) -> None:
        while not self.play.over:
            await self.operation()
            await asyncio.sleep(self.chance.expovariate(1 / self.play.scenario.writers.pause))

    async def operation(self) -> None:
        self.count += 1
        kind = self.chance.choices(("put", "set", "get"), (3, 3, 4))[0]
        called, writers = self.play.now(), self.play.scenario.writers
        put = PutVersion(
            f"{self.name}-{self.count}",
            CONTENT.format(name=f"{self.name} {self.count}").encode(),
            self.seen if kind == "set" else -1,
            self.name,
        )
        body = json.dumps(
            {
                "content": put.content.decode(),
                "if_version": put.if_version,
                "who": self.name,
                "request": put.request,
            }
        ).encode()
        told = Op(self.name, "unknown", called, NEVER, 0, digest(put.content), put.if_version)
        value: Any = None
        while self.play.now() - called < writers.patience:
            try:
                reply = await self.call(kind, body, writers.late)
            except ERRORS:
                self.target = self.chance.choice(self.play.fleet.names)
                await asyncio.sleep(self.chance.uniform(0.01, 0.1))
                continue
            status = reply.value.get("status")
            if status == "done" or status == "conflict":
                told, value = self.outcome(kind, told, reply)
                break
            if status == "refused" and reply.code == 409:
                self.play.judge.record_violation(
                    "once", f"request {put.request} is said to have written another content"
                )
            leader = reply.value.get("leader")
            self.target = (
                leader if leader in self.play.fleet.names else self.chance.choice(self.play.fleet.names)
            )
            await asyncio.sleep(self.chance.uniform(0.01, 0.1))
        if kind != "get" or value is not None or told.kind == "get":
            self.play.judge.record_operation(told, value, put)
        self.play.counted(told.kind)

    async def call(self, kind: str, body: bytes, late: float) -> Reply:
        address = self.play.fleet.writers[self.target].address
        if kind == "get":
            return await call(address, "GET", "/rules", within=late)
        return await call(address, "POST", "/rules", body, late)

    def outcome(self, kind: str, told: Op, reply: Reply) -> tuple[Op, Any]:
        now, value = self.play.now(), reply.value
        found = version(value["version"]) if value.get("version") else None
        if value["status"] == "conflict":
            latest = version(value["latest"]) if value.get("latest") else None
            self.seen = latest.number if latest else 0
            return replace(told, kind="conflict", answered=now, number=self.seen, digest=""), VersionConflict(
                told.if_version, latest
            )
        self.seen = found.number if found else 0
        if kind == "get":
            return replace(
                told,
                kind="get",
                answered=now,
                number=self.seen,
                digest=found.digest if found else "",
                if_version=-1,
            ), found
        self.play.done_at.append(now)
        return replace(told, kind="put", answered=now, number=self.seen), VersionWritten(found)


class Play:
    def __init__(self, scenario: Scenario, seed: int, mutant: str = "") -> None:
        self.scenario, self.seed = scenario, seed
        self.judge = Judge(RaftSettings(scenario.beat, scenario.election))
        self.fleet = Fleet(scenario, seed, self.judge.on_link, mutant)
        self.chance = self.fleet.rng("faults")
        self.over, self.begun = False, time.monotonic()
        self.befell: list[str] = []
        self.counts: dict[str, int] = {}
        self.done_at: list[float] = []
        self.tasks: list[asyncio.Task] = []
        self.undo: list[Any] = []  # what makes a fault that is on end, for when all has to be whole

    def now(self) -> float:
        return time.monotonic() - self.begun

    def counted(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1

    async def statuses(self) -> dict[str, dict[str, Any]]:
        async def one(child: Child) -> dict[str, Any]:
            try:
                return (await call(child.address, "GET", "/status", within=0.5)).value
            except ERRORS:
                return {}

        found = await asyncio.gather(*(one(child) for child in self.fleet.children.values()))
        return dict(zip(self.fleet.names, found))

    async def leader(self) -> str:
        """The one that leads the latest term; "" where none says so."""
        leads = {
            row["term"]: name for name, row in (await self.statuses()).items() if row.get("role") == "leader"
        }
        return leads[max(leads)] if leads else ""

    async def whom(self, of: str) -> str:
        if of in self.fleet.names:
            return of
        leader = await self.leader()
        if of == "leader" and leader:
            return leader
        rest = [each for each in self.fleet.names if each != leader] if of == "follower" else self.fleet.names
        return self.chance.choice(rest)

    async def befalls(self, kind: str, lasts: float, name: str) -> None:
        child = self.fleet.children[name]
        self.befell.append(f"{self.now():.3f} {kind} {name} {lasts:.3f}")
        if kind in LINK_FAULTS:
            links = self.fleet.links(name)
            if kind not in ("silent", "reset", "refuse") and self.chance.random() < 0.5:
                links = [self.chance.choice(links)]
            if kind in ("silent_out", "silent_in"):  # the member's own way: what it sends, or what it hears
                links = [*child.reach.values(), *(("in", each) for each in self.fleet.to(name))]
            await self.on_links(kind, links, lasts)
        elif kind == "stall":
            child.stop()
            await self.wait(lasts)
            child.go_on()
        elif kind in ("kill", "term"):
            await child.end(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await self.wait(lasts)
            await child.start()
        elif kind in ("disk_full", "fsync_fails"):
            getattr(child, kind)(True)
            await self.wait(lasts)
            getattr(child, kind)(False)
            await child.end()  # mended by a restart, as its page says
            await child.start()
        elif kind == "clock":
            child.rate = self.chance.choice((0.98, 1.02))
            await child.end(signal.SIGTERM)
            await child.start()
        elif kind == "hand_over":
            await self.quietly("POST", "/hand-over", {"to": name}, await self.leader())
        elif kind == "replace":
            await self.replace(name)
        elif kind in ("wipe", "put_back"):
            await self.lose(kind, name)

    async def on_links(self, kind: str, links: list[Any], lasts: float) -> None:
        """A way that is silent for what a member sends is silent for answers on the links of the others to
        it."""
        other = {"silent_out": "silent_in", "silent_in": "silent_out"}.get(kind, kind)
        pairs = [(each[1], other) if isinstance(each, tuple) else (each, kind) for each in links]
        for relay, each in pairs:
            relay.begin(each)
        try:
            await self.wait(lasts)
        finally:
            for relay, each in pairs:
                relay.end(each)

    async def wait(self, seconds: float) -> None:
        """For as long, or until nothing may fail any more."""
        end = self.now() + seconds
        while self.now() < min(end, self.scenario.seconds):
            await asyncio.sleep(min(0.05, max(0.0, end - self.now())))

    async def quietly(self, method: str, path: str, body: dict[str, Any], to: str) -> dict[str, Any]:
        if not to:
            return {}
        try:
            return (
                await call(self.fleet.children[to].address, method, path, json.dumps(body).encode(), 1.5)
            ).value
        except ERRORS:
            return {}

    async def replace(self, name: str) -> None:
        """An operator removes a member, wipes its folder, starts it anew and adds it."""
        child = self.fleet.children[name]
        if await self.changed({"name": name, "address": None}, "is no member", name):
            await child.end()
            child.wipe()
            child.joins = True
            await child.start()
            await self.changed({"name": name, "address": self.fleet.seat(name)}, "is a member already", "")

    async def changed(self, wish: dict[str, Any], already: str, other_than: str) -> bool:
        for _ in range(40):
            leader = await self.leader()
            if leader and leader == other_than and self.scenario.members > 1:
                rest = [each for each in self.fleet.names if each != leader]
                await self.quietly("POST", "/hand-over", {"to": self.chance.choice(rest)}, leader)
            elif leader:
                value = await self.quietly("POST", "/members", wish, leader)
                if value.get("status") == "done" or already in str(value.get("why")):
                    return True
            await asyncio.sleep(0.15)
        return False

    async def lose(self, kind: str, name: str) -> None:
        """With all others well; the judge looks whether it was found before an operator replaces the
        member."""
        child = self.fleet.children[name]
        kept = child.copy() if kind == "put_back" else None
        await asyncio.sleep(1.5)
        await child.end()
        if kept is not None:
            child.put_back(kept)
        else:
            child.wipe()
        await child.start()
        for _ in range(60):
            role = (await self.statuses())[name].get("role")
            if role == "barred":
                break
            await asyncio.sleep(0.05)
        else:
            self.judge.record_violation("lost_disk", f"{name} lost what it had shown, and is {role}")
        await self.replace(name)

    async def draw(self) -> None:
        """Begins what the seed draws, each in a task of its own; waits for all."""
        drawn, tasks = self.scenario.drawn, []
        if drawn.lossy and self.chance.random() < 0.2:
            await asyncio.sleep(2.0)
            await self.befalls(self.chance.choice(drawn.lossy), 0.0, await self.whom("any"))
        elif drawn.kinds:
            busy: set[str] = set()
            while True:
                pause = self.chance.expovariate(1 / drawn.every)
                if self.now() + pause > self.scenario.seconds - 0.5:
                    break
                await asyncio.sleep(pause)
                kind = self.chance.choice(drawn.kinds)
                name = await self.whom(self.chance.choice(("any", "leader")))
                lasts = min(0.05 + self.chance.expovariate(1.0), drawn.longest)
                if kind not in LINK_FAULTS and kind != "hand_over":
                    if name in busy:  # one fault of a process at a time
                        continue
                    busy.add(name)
                    task = asyncio.create_task(self.befalls(kind, lasts, name))
                    task.add_done_callback(lambda _, name=name: busy.discard(name))
                else:
                    task = asyncio.create_task(self.befalls(kind, lasts, name))
                tasks.append(task)
        await asyncio.gather(*tasks)

    async def told(self) -> None:
        """What the scenario says befalls whatever the seed."""

        async def one(fault: Any) -> None:
            await asyncio.sleep(max(0.0, fault.at - self.now()))
            await self.befalls(fault.kind, fault.lasts, await self.whom(fault.of))

        await asyncio.gather(*(one(fault) for fault in self.scenario.faults))

    async def play(self) -> Played:
        async with self.fleet:
            self.begun = time.monotonic()
            writers = [
                asyncio.create_task(Writer(self, f"w{at}").run()) for at in range(self.scenario.writers.count)
            ]
            try:
                await asyncio.gather(self.draw(), self.told())
                await asyncio.sleep(max(0.0, self.scenario.seconds - self.now()))
                self.over = True
                await asyncio.gather(*writers)
            finally:
                for each in writers:
                    each.cancel()
            versions = await self.ended()
        gaps = [0.0, *(each for each in self.done_at), self.scenario.seconds]
        return Played(
            self.seed,
            [{"rule": each.rule, "text": each.text} for each in self.judge.violations],
            self.befell,
            self.counts,
            versions,
            round(self.now(), 2),
            round(max(b - a for a, b in zip(gaps, gaps[1:])), 3),
        )

    async def ended(self) -> int:
        """All must be well in time, with one history on all members."""
        end = time.monotonic() + self.scenario.settle
        while True:
            rows = await self.statuses()
            leads = [row for row in rows.values() if row.get("role") == "leader"]
            agree = len({row.get("version") for row in rows.values()}) == 1
            if (
                len(leads) == 1
                and agree
                and all(row.get("committed") == row.get("applied") for row in rows.values())
            ):
                break
            if time.monotonic() > end:
                told = {
                    name: (row.get("role"), row.get("version"), row.get("why")) for name, row in rows.items()
                }
                self.judge.record_violation("well", f"after {self.scenario.settle:g} s: {told}")
                break
            await asyncio.sleep(0.05)
        for number, (name, child) in enumerate(self.fleet.children.items()):
            try:
                history = await self.history(child)
            except ERRORS as error:
                self.judge.record_violation("well", f"{name} gives no history: {error}")
                continue
            if not number:
                first = history
                self.judge.check_history(history)
            elif [(each.number, each.digest, each.request) for each in history] != [
                (each.number, each.digest, each.request) for each in first
            ]:
                self.judge.record_violation(
                    "same_state", f"{name} has another history than {self.fleet.names[0]}"
                )
        return len(first)

    async def history(self, child: Child) -> list[Version]:
        found: list[Version] = []
        while not found or found[-1].number > 1:
            before = found[-1].number if found else 0
            page = (await call(child.address, "GET", f"/history?before={before}", within=5.0)).value[
                "versions"
            ]
            if not page:
                break
            found += [version(row) for row in page]
        return found[::-1]


async def played(scenario: Scenario, seed: int, mutant: str = "") -> Played:
    return await Play(scenario, seed, mutant).play()
