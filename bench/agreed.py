"""Long measurements of agreed rules, printed as tables for docs/figures/agreed.md: time from put to in force,
what renewals cost a coordinator, thousands that are back at once. Real coordinators on loopback; sidecars'
parts (holder and follower) many to a process.

    .venv/bin/python bench/agreed.py force|cost|back
"""

import argparse
import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import sys
import time
from collections.abc import AsyncIterator

sys.path.insert(0, str(pathlib.Path(__file__).parents[1]))

from foxspread.agreed.contents import content  # noqa: E402
from foxspread.agreed.follower import Follower  # noqa: E402
from foxspread.agreed.holder import Holder, Mode  # noqa: E402
from foxspread.config import address  # noqa: E402
from foxspread.consensus.client import Client, call  # noqa: E402
from foxspread.lab.processes.fleet import Fleet, processor, resident  # noqa: E402
from foxspread.lab.processes.real import ERRORS  # noqa: E402
from foxspread.lab.processes.scenario import Scenario  # noqa: E402

TEXT = """# {number}
[settings]
siblings = 50
[[settings.categories]]
name = "docs"
abandon_time_us = 1500000
[settings.limits]
max_hand_offs = {hands}
"""
IN_ONE = 250  # followers in a process of their own


def clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def many(first: int, count: int, ways: list[str], spread: float) -> None:
    """A process of followers: says each second what they act on, and each change at once."""
    chance = random.Random(first)
    at = [address(each, "at") for each in ways]
    followers: list[Follower] = []

    def told() -> None:
        rows = [each.holder.acting(clock()) for each in followers]
        on = [each.phase for each in rows if each.mode is Mode.SETTLED]
        print(json.dumps({"at": time.monotonic(), "settled": len(on), "least": min(on, default=0),
                          "all": len(followers) == count, "asks": sum(each.calls for each in followers),
                          "failed": sum(each.failed for each in followers)}), flush=True)  # fmt: skip

    due = asyncio.Event()
    for number in range(first, first + count):
        holder = Holder(clock(), f"s{number}/{first}", content, chance.random)
        followers.append(Follower(holder, clock, at, chance.random, lambda acting: due.set()))
        await asyncio.sleep(spread / count)
    while True:
        told()
        due.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await due.wait()
        await asyncio.sleep(0.005)


class Group:
    """Processes of followers, and what they said last."""

    def __init__(self, count: int, ways: list[str], spread: float = 1.0, base: int = 0) -> None:
        self.count, self.ways, self.spread, self.base = count, ways, spread, base
        self.processes: list[asyncio.subprocess.Process] = []
        self.last: dict[int, dict] = {}
        self.tasks: list[asyncio.Task] = []
        self.said = asyncio.Event()

    async def __aenter__(self) -> "Group":
        for first in range(0, self.count, IN_ONE):
            told = [self.base + first, min(IN_ONE, self.count - first), self.ways, self.spread]
            process = await asyncio.create_subprocess_exec(
                sys.executable, __file__, "many", json.dumps(told), stdout=asyncio.subprocess.PIPE
            )
            self.processes.append(process)
            self.tasks.append(asyncio.create_task(self._read(first, process)))
        return self

    async def __aexit__(self, *_: object) -> None:
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _read(self, first: int, process: asyncio.subprocess.Process) -> None:
        while line := await process.stdout.readline():
            self.last[first] = json.loads(line)
            self.said.set()

    def settled(self, phase: int) -> int:
        """How many act on this phase or a later one, where all of a process do."""
        return sum(row["settled"] for row in self.last.values() if row["least"] >= phase)

    async def until(self, phase: int, within: float) -> float:
        """Seconds until all act on it."""
        begun = time.monotonic()
        while self.settled(phase) < self.count:
            if time.monotonic() - begun > within:
                raise TimeoutError(f"{self.settled(phase)} of {self.count} on phase {phase}: {self.last}")
            self.said.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await self.said.wait()
        return time.monotonic() - begun


@contextlib.asynccontextmanager
async def fleet(count: int, members: int = 3, lease: float = 10.0, spread: float = 1.0) -> AsyncIterator:
    scenario = Scenario("bench", lease=lease, alone=60.0, members=members)
    async with Fleet(scenario, 1) as found:
        ways = [str(child.address) for child in found.children.values()]
        client = Client([address(each, "at") for each in ways])
        await client.put(TEXT.format(number=0, hands=3))
        async with Group(count, ways, spread) as group:
            yield found, client, group


async def phase(client: Client) -> int:
    rows = []
    for each in client.addresses:
        with contextlib.suppress(*ERRORS):
            rows.append((await call(each, "GET", "/course")).value["phase"])
    return max(rows, default=0)


def shown(values: list[float]) -> str:
    rows = sorted(values)
    return f"p50 {rows[len(rows) // 2]:.3f}, p99 {rows[int(0.99 * len(rows))]:.3f}, longest {rows[-1]:.3f} s"


async def force(count: int, puts: int) -> None:
    """From put to acted on by all."""
    async with fleet(count) as (found, client, group):
        await group.until(2, 60)
        took = []
        for number in range(1, puts + 1):
            await asyncio.sleep(0.2)
            now, begun = await phase(client), time.monotonic()
            await client.put(TEXT.format(number=number, hands=1 + number % 4))
            await group.until(now + 2, 60)
            took.append(time.monotonic() - begun)
        print(f"put to acted on by all, {count} followers, {puts} puts: {shown(took)}")
        # One is stopped: it can't say that it heard.
        async with Group(1, group.ways, base=count) as alone:
            await alone.until(1, 60)
            took = []
            for number in range(3):
                now = await phase(client)
                alone.processes[0].send_signal(signal.SIGSTOP)
                begun = time.monotonic()
                await client.put(TEXT.format(number=100 + number, hands=1 + number % 4))
                await group.until(now + 2, 60)
                took.append(time.monotonic() - begun)
                alone.processes[0].send_signal(signal.SIGCONT)
                await alone.until(now + 2, 60)
            print(f"the same with one stopped (lease 10 s), 3 puts: {shown(took)}")


async def cost(count: int, seconds: float) -> None:
    """What leases cost each coordinator once all have settled."""
    async with fleet(count, spread=10.0) as (found, client, group):
        await group.until(2, 60)
        await asyncio.sleep(5)
        before, begun = [processor(pid) for pid in found.pids()], time.monotonic()
        asks = sum(row["asks"] for row in group.last.values())
        await asyncio.sleep(seconds)
        took = time.monotonic() - begun
        shares = [(processor(pid) - at) / took for pid, at in zip(found.pids(), before)]
        rate = (sum(row["asks"] for row in group.last.values()) - asks) / took
        print(f"{count} followers on 3 coordinators, lease 10 s: {rate:.0f} asks a second; cores "
              + ", ".join(f"{each:.3f}" for each in shares)
              + "; MB " + ", ".join(f"{resident(pid):.0f}" for pid in found.pids()))  # fmt: skip


async def back(count: int, members: int) -> None:
    """All coordinators end, and start again: until all followers act on what is in force."""
    async with fleet(count, members, spread=5.0) as (found, client, group):
        await group.until(2, 120)
        for child in found.children.values():
            await child.end()
        await asyncio.sleep(12.0)  # all leases have run out
        begun = time.monotonic()
        # At the addresses that they had, as a machine that is back.
        await asyncio.gather(*(restart(child) for child in found.children.values()))
        up = time.monotonic() - begun
        took = await group.until(2, 120)
        print(f"{count} followers on {members} coordinators that all were away for 12 s: up after {up:.2f} s, all "
              f"settled {took:.2f} s after that; calls that failed "
              f"{sum(row['failed'] for row in group.last.values())}")  # fmt: skip


async def restart(child) -> None:
    old, write = child.address, child.write
    child.write = lambda: (write(), child.file.write_text(
        child.file.read_text().replace('"127.0.0.1:0"', f'"{old}"')))  # fmt: skip
    await child.start()


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("what", choices=("force", "cost", "back", "many"))
    parser.add_argument("told", nargs="?", default="[]")
    parser.add_argument("--count", type=int)
    parser.add_argument("--members", type=int, default=5)
    parser.add_argument("--puts", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=30.0)
    told = parser.parse_args()
    if told.what == "many":
        with contextlib.suppress(KeyboardInterrupt, BrokenPipeError):
            asyncio.run(many(*json.loads(told.told)))
        os._exit(0)
    asyncio.run({
        "force": lambda: force(told.count or 50, told.puts),
        "cost": lambda: cost(told.count or 400, told.seconds),
        "back": lambda: back(told.count or 2000, told.members),
    }[told.what]())  # fmt: skip


if __name__ == "__main__":
    main()
