"""Whole sidecars that act on agreed rules: `python -m foxspread` with an operator's file, real coordinators,
stand-in servers and clients, a relay on each way between any two of them. Judged by what servers and clients
saw: nobody knows here what a sidecar holds, but for the moment at which the first of all said that a version
is in force.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import sys
import time
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from foxspread.fleet_rules import compatibility
from foxspread.fleet_rules.version_content import content
from foxspread.fleet_rules.compatibility import Flat
from foxspread.config import Address, address
from foxspread.lab.processes.fleet_rules_processes import LATE, Car, Sidecars, Told
from foxspread.lab.processes.relay import Relay

STARTED = re.compile(r"start name=\S+ listen=(\S+)")
RULES = re.compile(r"rules mode=(\w+) phase=(\d+) version=(\d+)")
SERVERS = (("s1", "a", 1), ("s2", "a", 1), ("s3", "a", 2), ("s4", "b", 1), ("s5", "b", 1), ("s6", "b", 2))
SERVER_FAULTS = ("silent_in", "reset", "refuse")  # none that holds back what a sidecar has sent already
REMAINING = 1.2  # seconds that a client waits
SLACK = 0.1  # what an answer may be late for the lab's own load


def drawn(chance: random.Random, cars: int, count: int, places: dict[str, Address]) -> bytes:
    """A version's text. `once` is irreversible in all of them; `extra` comes and goes. With places the list
    of servers stands in it: some come and go, and change their group."""
    pay = chance.choice(("guarded", "single_shot"))
    rows = [
        (
            "docs",
            chance.choice((1.0, 2.0)),
            chance.choice(("free", "free", "guarded", "single_shot")),
            "cell",
        ),
        ("pay", chance.choice((1.0, 2.0)), pay, chance.choice(("cell", "zone", "all"))),
        ("once", 1.5, "single_shot", "cell"),
    ]
    if chance.random() < 0.5:
        rows.append(("extra", 1.0, "free", "cell"))
    text = f"# {count}\n[settings]\nsiblings = {chance.choice((cars, 2 * cars))}\n"
    for name, abandon, semantics, scope in rows:
        text += f'[[settings.categories]]\nname = "{name}"\nabandon_time_us = {abandon * 1e6:.0f}\n'
        text += f'expected_time_us = 600000\nlate_benefit = 0.5\nsemantics = "{semantics}"\n'
        text += f'key_scope = "{scope}"\nrepeat_window_us = {chance.choice((400_000, 2_000_000))}\n'
    text += f"[settings.limits]\nmax_hand_offs = {chance.randint(1, 5)}\nretry_after = true\n"
    text += f"max_retry_after_us = 1000000\nparallel_tries = {chance.choice(('true', 'false'))}\n"
    text += f"cancelling = {chance.choice(('true', 'false'))}\n"
    hands = 2 if chance.random() < 0.1 else 1
    text += f"[alone]\nsiblings = {2 * cars}\n"
    for name in ("docs", "once"):
        text += f'[[alone.categories]]\nname = "{name}"\nexpected_time_us = 600000\n'
        text += 'abandon_time_us = 1000000\nsemantics = "single_shot"\nrepeat_window_us = 0\n'
    text += f"[alone.limits]\nmax_hand_offs = {hands}\nparallel_tries = false\ncancelling = false\n"
    some = chance.sample(["s2", "s3", "s5", "s6"], 3)
    text += f'[lists]\ntaken_out = {json.dumps(some[: chance.randint(0, 2)])}\nalone = ["s1", "s4"]\n'
    if places:
        text += 'source = "here"\n'
        for name, zone, cell in SERVERS:
            if name not in some[2:] or chance.random() < 0.5:
                cell = chance.choice((1, 2)) if name in ("s3", "s6") else cell
                text += f'[[lists.servers]]\nid = "{name}"\naddr = "{places[name]}"\n'
                text += f'zone = "{zone}"\ncell = {cell}\n'
    return text.encode()


def steady(chance: random.Random, cars: int, count: int) -> bytes:
    """A version under which all lookups can be done, as under each other of these, and alone."""
    text = f"# {count}\n[settings]\nsiblings = {chance.choice((cars, 2 * cars))}\n"
    alone = f"[alone]\nsiblings = {2 * cars}\n[alone.limits]\nmax_hand_offs = 1\n"
    for name in ("docs", "pay", "once"):
        row = f'name = "{name}"\nabandon_time_us = 1500000\nexpected_time_us = 600000\n'
        text += f"[[settings.categories]]\n{row}benefit = {chance.randint(1, 3)}\n"
        alone += f"[[alone.categories]]\n{row}"
    return (text + f"[settings.limits]\nmax_hand_offs = {chance.randint(1, 5)}\n{alone}").encode()


@dataclass
class Try:
    """A hand-off as its server saw it."""

    at: float
    lookup: str
    category: str
    server: str
    over: float = float("inf")  # when it was answered, or its connection ended
    ran: bool = True


@dataclass
class Asked:
    at: float
    car: str
    category: str
    status: int = 0  # 0: no answer
    took: float = 0.0
    error: str = ""
    id: str = ""
    excused: bool = False  # its sidecar was stopped or ended meanwhile


@dataclass
class WholeTold(Told):
    lookups: dict[str, int] = field(default_factory=dict)  # done, dismissed, scrapped, refused, none
    hand_offs: int = 0
    repeats: int = 0
    first_in_force: dict[int, float] = field(default_factory=dict)
    slowest_change: float = 0.0  # ms that a change of rules took in any sidecar
    # By second: when, share done of what had to be, of how many.
    shares: list[tuple[int, float, int]] = field(default_factory=list)


def group(rules: Flat, server: str) -> tuple[str, str, int]:
    """Server, zone and cell."""
    name, zone, cell = next(row for row in SERVERS if row[0] == server)
    row = f"lists.servers.{server}."
    return name, rules.get(row + "zone", zone), rules.get(row + "cell", cell)


class Server:
    """Answers, fails, closes, is slow or turns away, by chance."""

    def __init__(self, play: "Whole", name: str, zone: str, cell: int) -> None:
        self.play, self.name, self.zone, self.cell = play, name, zone, cell
        self.chance = play.fleet.rng(name)

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = Address(*self.server.sockets[0].getsockname()[:2])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        noted: Try | None = None
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                noted = Try(self.play.now(), fields["x-txn"], fields["x-lane"], self.name)
                self.play.tries.append(noted)
                kind = self.chance.random()
                if self.play.steady:
                    kind = 0.5
                if kind < 0.03:
                    noted.ran = False
                    writer.write(b"HTTP/1.1 503 Busy\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
                else:
                    # Whoever calls it off closes: then nobody waits for it any more.
                    took = self.chance.uniform(0.3, 1.0) if kind > 0.92 else self.chance.uniform(0.002, 0.02)
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(took):
                            await reader.read(1)
                            break
                    if kind < 0.1:
                        break
                    status = b"500 Fault" if kind < 0.2 else b"200 OK"
                    writer.write(b"HTTP/1.1 %s\r\nContent-Length: 2\r\n\r\nhi" % status)
                noted.over, noted = self.play.now(), None
        except (asyncio.IncompleteReadError, ConnectionError, KeyError, ValueError):
            pass
        finally:
            if noted is not None:
                noted.over = self.play.now()
            writer.close()


class WholeCar(Car):
    def __init__(self, play: "Whole", name: str) -> None:
        super().__init__(play, name)
        self.zone = "ab"[len(play.cars) % 2]
        self.servers = {
            each.name: Relay(f"{name}-{each.name}", play.fleet.rng(f"{name}-{each.name}"))
            for each in play.servers
        }
        for each in play.servers:
            self.servers[each.name].target = each.address
        self.listen: Address | None = None
        self.on = ("", 0)  # mode and phase, by its log
        self.busy_until = 0.0  # stopped or not there: what clients see meanwhile is excused
        self.reading: asyncio.Task | None = None

    def write(self) -> list[str]:
        play, folder = self.play, self.play.fleet.folder
        known = [
            {"id": each.name, "addr": str(self.servers[each.name].address), "zone": each.zone,
             "cell": each.cell, "state": "ready"}
            for each in play.servers
        ]  # fmt: skip
        # Its own file holds rules too, as before they were agreed on: nobody may ever act on them.
        config = {
            "name": self.name, "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": f"{play.seed:x}",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"version": 1, "full": True, "servers": known},
            "settings": {"az": self.zone, "position": 0, "limits": {"max_hand_offs": 9},
                         "categories": [{"name": "old", "semantics": "free"}]},
        }  # fmt: skip
        told, file = folder / f"{self.name}.config", folder / f"{self.name}.toml"
        told.write_text(json.dumps(config))
        ways = json.dumps([str(relay.address) for relay in self.ways.values()])
        file.write_text(f'[agreed]\ncoordinators = {ways}\nfile = "{self.file}"\n')
        return [str(told), str(file)]

    async def start(self) -> None:
        self.starts += 1
        told, file = self.write()
        self.listen = None
        broken = self.play.mutant and (not self.play.who or self.name in self.play.who)
        module = ["foxspread.lab.processes.end_to_end_child"] if broken else ["foxspread"]
        mutant = [self.play.mutant] if broken else []
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", *module, *mutant, "--operator", file,
            env=os.environ | {"EDGE_CONFIG": told}, stderr=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self.reading = asyncio.create_task(self._read(self.process))

    async def _read(self, process: asyncio.subprocess.Process) -> None:
        with self.log.open("ab") as log:
            while line := (await process.stderr.readline()).decode(errors="replace"):
                log.write(line.encode())
                log.flush()
                if found := STARTED.search(line):
                    self.listen = address(found[1], "listen")
                elif found := RULES.search(line):
                    self.on = (found[1], int(found[2]))
                    # By the line's own time: lines are gathered before they are written.
                    ago = time.time() - datetime.fromisoformat(line.split(" ", 1)[0]).timestamp()
                    between = found[1] == "between"  # the phase before was on that version
                    if int(found[3]) and (between or found[1] == "settled"):
                        self.play.settled_on(int(found[2]) - between, int(found[3]), ago)
                elif "taken up ms=" in line:
                    took = float(line.rpartition("=")[2])
                    self.play.slowest = max(self.play.slowest, took)
                elif " ERROR " in line or "Traceback" in line:
                    self.play.broken.append(f"{self.name}: {line.strip()}")

    async def end(self) -> None:
        self.on = ("", 0)
        await super().end()
        if self.reading is not None:
            await asyncio.gather(self.reading, return_exceptions=True)

    async def befalls(self, kind: str, lasts: float) -> None:
        """Some faults are on the ways to servers; a stop and a restart excuse what clients see meanwhile."""
        if kind in ("stall", "restart"):
            self.busy_until = float("inf")
        try:
            if kind.startswith("server:"):
                relay = self.chance.choice(self.play.shared if self.play.places else [*self.servers.values()])
                kind = kind.removeprefix("server:")
                self.play.befell.append(f"{self.play.now():.3f} {kind} {relay.name} {lasts:.3f}")
                relay.begin(kind)
                try:
                    await self.play.wait(lasts)
                finally:
                    relay.end(kind)
            else:
                await super().befalls(kind, lasts)
        finally:
            if self.busy_until == float("inf"):
                self.busy_until = self.play.now() + 1.0

    def unwell(self, since: float) -> bool:
        return self.listen is None or since < self.busy_until


class Whole(Sidecars):
    car_kind = WholeCar
    car_faults = (*Sidecars.car_faults, *(f"server:{each}" for each in SERVER_FAULTS * 2))

    def __init__(
        self, seed: int, rate: float = 12.0, steady: bool = False, who: tuple[str, ...] = (), **told: Any
    ) -> None:
        super().__init__(seed, **told)
        self.who = who  # those that are another build, or broken; none: all are
        self.steady = steady  # servers don't fail, and each version lets all be done
        self.rate = rate  # lookups a second at each sidecar
        self.tries: list[Try] = []
        self.asked: list[Asked] = []
        self.broken: list[str] = []  # what sidecars said that went wrong in them
        self.forced: dict[int, tuple[float, int]] = {}  # by phase: when the first acted so, and on which
        self.slowest = 0.0
        self.clients: set[asyncio.Task] = set()
        self.servers: list[Server] = []
        self.shared: list[Relay] = []  # the way to each server where versions hold the list
        self.places: dict[str, Address] = {}

    def drawn(self, chance: random.Random, count: int) -> bytes:
        if self.steady:
            return steady(chance, self.count, count)
        return drawn(chance, self.count, count, self.places)

    def settled_on(self, phase: int, version: int, ago: float) -> None:
        self.forced[phase] = min(self.forced.get(phase, (float("inf"), 0)), (self.now() - ago, version))

    async def opened(self) -> None:
        self.servers = [Server(self, *row) for row in SERVERS]
        for each in self.servers:
            await each.start()
            relay = Relay(f"all-{each.name}", self.fleet.rng(f"all-{each.name}"))
            relay.target = each.address
            self.shared.append(relay)
            if self.seed % 2:
                self.places[each.name] = relay.address

    async def ended(self) -> None:
        for task in self.clients:
            task.cancel()
        await asyncio.gather(*self.clients, return_exceptions=True)
        ways = [relay for car in self.cars.values() for relay in car.servers.values()]
        await asyncio.gather(*(relay.close() for relay in (*ways, *self.shared)))
        for each in self.servers:
            each.server.close()

    async def work(self) -> None:
        await asyncio.gather(*(self._clients(car) for car in self.cars.values()))
        await asyncio.gather(*self.clients, return_exceptions=True)

    async def _clients(self, car: WholeCar) -> None:
        chance, count = self.fleet.rng(f"clients-{car.name}"), 0
        while self.now() < self.scenario.seconds + 1.0:
            await asyncio.sleep(chance.expovariate(self.rate))
            count += 1
            category = chance.choices(("docs", "pay", "once", "extra", "old"), (5, 5, 3, 2, 1))[0]
            if not car.unwell(self.now()):
                task = asyncio.create_task(self._ask(car, f"{car.name}-{count}", category))
                self.clients.add(task)
                task.add_done_callback(self.clients.discard)

    async def _ask(self, car: WholeCar, id: str, category: str) -> None:
        asked = Asked(self.now(), car.name, category, id=id)
        self.asked.append(asked)
        head = (
            f"POST /{category}?user=u{id} HTTP/1.1\r\nHost: b\r\nX-Txn: {id}\r\nX-Lane: {category}\r\n"
            f"X-Remaining: {REMAINING * 1e6:.0f}u\r\nIdempotency-Key: {id}\r\nContent-Length: 2\r\n"
            "Connection: close\r\n\r\nok"
        )
        data = b""
        try:
            async with asyncio.timeout(REMAINING + 3 * SLACK):
                reader, writer = await asyncio.open_connection(car.listen.host, car.listen.port)
                try:
                    writer.write(head.encode())
                    while piece := await reader.read(4096):
                        asked.took = asked.took or self.now() - asked.at
                        data += piece
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            asked.error = repr(error)
        if found := re.findall(rb"HTTP/1\.1 (\d+) ", data):
            asked.status = int(found[0])
            if len(found) > 1:
                self.broken.append(f"{id} has {len(found)} answers")
        asked.excused = car.unwell(asked.at)

    def behind(self, row: dict[str, Any]) -> list[str]:
        return [name for name, car in self.cars.items() if car.on != ("settled", row.get("phase"))]

    def judged(self, last: str) -> WholeTold:
        found = WholeTold(self.seed, ([last] if last else []) + self.broken[:5], self.befell)
        found.versions = len({number for _, number in self.forced.values()})
        found.hand_offs, found.slowest_change = len(self.tries), self.slowest
        self._judge_tries(found)
        self._judge_answers(found)
        return found

    def _judge_tries(self, found: WholeTold) -> None:
        steps, latest = deque[tuple[float, int]](), 0
        for phase, (at, number) in sorted(self.forced.items(), key=lambda row: row[1]):
            if phase > latest:  # one that came late to an older one changes nothing
                steps.append((at, number))
                latest = phase
        self.steps = [(at, content(self.texts[number]).rules) for at, number in steps]
        rules: Flat | None = None
        since, changed = 0.0, {}  # when the rules came into force; by key, since when it has its value
        before: dict[str, list[Try]] = {}
        for each in sorted(self.tries, key=lambda each: each.at):
            while steps and steps[0][0] + LATE < each.at:
                since, number = steps.popleft()
                new = content(self.texts[number]).rules
                changed |= {path: since for path, value in new.items() if rules and rules.get(path) != value}
                rules = new
            earlier = before.setdefault(each.lookup, [])
            if rules is None:
                first = min((at for at, _ in self.forced.values()), default=float("inf"))
                if each.at < first - 0.005 and len(found.faults) < 8:
                    found.faults.append(f"{each.lookup} handed off before there were rules")
            else:
                against = self._against(each, earlier, rules)
                for at, number in steps:  # on the next ones already, which came into force a moment ago
                    if at < each.at + 0.005 and against:
                        against = self._against(each, earlier, content(self.texts[number]).rules)
                for path, text in against:
                    ago = each.at - changed.get(path, 0.0)
                    switch = (
                        not path.endswith(".")
                        and compatibility.key_of(path).kind is compatibility.Kind.SWITCH
                    )
                    if switch:
                        found.worst[path] = max(found.worst.get(path, 0.0), ago)
                        if ago <= self.scenario.lease * 1.02 + LATE:
                            continue
                    if len(found.faults) < 8:
                        found.faults.append(f"{each.at:.3f} {each.lookup}: {text}; {path} so for {ago:.3f} s")
            earlier.append(each)
            found.repeats += len(earlier) > 1
        for tries in before.values():
            if tries[0].category == "once" and sum(each.ran for each in tries) > 1:
                found.faults.append(f"{tries[0].lookup} is irreversible and ran twice")
            if tries[0].category == "old":
                found.faults.append(f"{tries[0].lookup} was handed off by rules that were never agreed on")

    def _against(self, one: Try, earlier: list[Try], rules: Flat) -> list[tuple[str, str]]:
        """What of this hand-off these rules forbid: the key, and what was seen."""
        row, found = f"settings.categories.{one.category}.", []
        if row not in rules:
            return [(row, "handed off, and its category is not there")]
        most = rules["settings.limits.max_hand_offs"]
        if len(earlier) >= most:
            found.append(("settings.limits.max_hand_offs", f"hand-off {len(earlier) + 1} of at most {most}"))
        out = [each for each in earlier if each.over > one.at + LATE]
        if out and not rules["settings.limits.parallel_tries"]:
            found.append(("settings.limits.parallel_tries", f"a copy while {out[0].server} has it"))
        if one.server in rules["lists.taken_out"]:
            found.append(("lists.taken_out", f"sent to {one.server}"))
        if rules["lists.source"] == "here" and f"lists.servers.{one.server}." not in rules:
            found.append((f"lists.servers.{one.server}.", "sent to, and not in the list"))
        ran = [each for each in earlier if each.ran]
        if ran and rules[row + "semantics"] == "single_shot":
            found.append((row + "semantics", "repeated"))
        elif ran and rules[row + "semantics"] == "guarded":
            window = rules[row + "repeat_window_us"] / 1e6
            if one.at - ran[0].at > window:
                found.append((row + "repeat_window_us", f"repeated after {one.at - ran[0].at:.3f} s"))
            first, second = group(rules, ran[0].server), group(rules, one.server)
            for then, now in ((ran[0].server, first), (one.server, second)):
                if (old := group(self._rules_at(ran[0].at + LATE), then)) != now:
                    path = f"lists.servers.{then}.cell"
                    found.append((path, f"repeated after {then} went from {old} to {now}"))
            scope = rules[row + "key_scope"]
            if scope != "all" and first[1:] != second[1:] and (scope == "cell" or first[1] != second[1]):
                found.append((row + "key_scope", f"repeated from {first} to {second}, {scope}"))
        return found

    def _rules_at(self, moment: float) -> Flat:
        return next((rules for at, rules in reversed(self.steps) if at <= moment), self.steps[0][1])

    def _judge_answers(self, found: WholeTold) -> None:
        words = {200: "done", 503: "dismissed", 502: "scrapped", 404: "refused", 0: "none"}
        seconds: dict[int, list[bool]] = {}
        for each in self.asked:
            word = words.get(each.status, str(each.status))
            found.lookups[word] = found.lookups.get(word, 0) + 1
            if each.category in ("docs", "pay", "once") and not each.excused:
                seconds.setdefault(int(each.at), []).append(each.status == 200)
            if each.excused or len(found.faults) >= 8:
                continue
            if each.status not in words or not each.status:
                found.faults.append(
                    f"{each.at:.3f} {each.id} {each.category}: answer {each.status} {each.error}"
                )
            elif each.took > REMAINING + SLACK:
                found.faults.append(f"{each.at:.3f} {each.id} {each.category}: after {each.took:.3f} s")
        found.shares = [(at, round(sum(row) / len(row), 4), len(row)) for at, row in sorted(seconds.items())]


THIRD = tuple(f"s{at}" for at in range(4))
# Each by its name: what befalls whom, and when. A seed that is odd has the list of servers in its versions.
CASES: dict[str, dict[str, Any]] = {
    "a server moves from one group to another while a third is cut off": {
        "seed": 1,
        "script": tuple((at, "silent", each, 3.0) for each in THIRD for at in (3.0, 8.0, 13.0)),
    },
    "stopped for longer than its lease": {
        "script": tuple((at, "stall", "s1", 2.5) for at in (3.0, 7.0, 11.0, 15.0)),
    },
    "stopped while it confirms": {
        "script": tuple((at, "stall", "s1", 1.8) for at in (4.03, 8.05, 12.07)),
        "puts": ((0.5, 5), (4.0, 1), (8.0, 4), (12.0, 2)),
    },
    "it hears, and is not heard": {
        "script": ((3.0, "silent_out", "s1", 6.0), (12.0, "silent_out", "s2", 6.0))
    },
    "it is heard, and hears nothing": {
        "script": ((3.0, "silent_in", "s1", 6.0), (12.0, "silent_in", "s2", 6.0)),
    },
    "the leader killed between the steps, and again in the next term": {
        "script": tuple((at, "kill", "leader", 1.5) for at in (4.02, 4.9, 8.02, 8.9, 12.02, 12.9)),
        "puts": ((0.5, 5), (4.0, 1), (8.0, 4), (12.0, 2)),
    },
    "no majority for a minute": {
        "seconds": 70.0,
        "script": ((4.0, "silent", "c1", 60.0), (4.0, "silent", "c2", 60.0)),
    },
    "a limit lowered while a third is cut off": {
        "script": tuple((3.5, "silent", each, 8.0) for each in THIRD),
        "puts": ((0.5, 5), (4.0, 1)),
    },
    "a limit lowered and raised again within one lease": {
        "script": tuple((3.5, "silent", each, 5.0) for each in THIRD),
        "puts": ((0.5, 5), (4.0, 1), (4.8, 5)),
    },
    "two changes in a row, of which it hears the second": {
        "script": ((3.8, "silent_in", "s1", 1.2),),
        "puts": ((0.5, 5), (4.0, 1), (4.6, 3)),
    },
    "a roll-back during the two steps": {
        "script": ((3.5, "silent", "s1", 4.0),),
        "puts": ((0.5, 5), (4.0, 1), (4.05, 5)),
    },
    "restarted from a kept, a wiped and an older file": {
        "script": tuple((float(at), "restart", f"s{at % 3}", 0.1) for at in range(3, 17, 2)),
    },
    "a version that only some builds can read": {
        "mutant": "older_build",
        "who": ("s1", "s2"),
        "puts": ((0.5, 3), (4.0, 5), (8.0, 2)),
    },
}


async def case(name: str) -> WholeTold:
    return await played(**{"seed": 2, "faults": False} | CASES[name])


async def played(seed: int, **told: Any) -> WholeTold:
    return await Whole(seed, **told).run()
