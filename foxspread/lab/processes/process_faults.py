"""Faults of real coordinators and of the relays between them.

The seed draws them, or the scenario names them.
"""

import asyncio
import signal
from typing import TYPE_CHECKING

from foxspread.lab.processes.relay import LINK_FAULTS, Relay
from foxspread.lab.processes.scenario import Fault

if TYPE_CHECKING:
    from foxspread.lab.processes.real import ProcessRun

LOSSY_RUN_SHARE = 0.2  # of runs in which a disk loses what it had, and nothing else fails
CLOCK_RATES = (0.98, 1.02)
BARRED_POLLS, BARRED_POLL_S = 60, 0.05
ALL_RELAYS = ("silent", "reset", "refuse")  # faults that strike all links of a member, always
OPPOSITE = {"silent_out": "silent_in", "silent_in": "silent_out"}


class ProcessFaults:
    """Strikes the processes of one run. `log`: what struck, as lines for people."""

    def __init__(self, process_run: "ProcessRun") -> None:
        self.process_run, self.fleet, self.operator = process_run, process_run.fleet, process_run.operator
        self.scenario, self.chance = process_run.scenario, process_run.chance
        self.log: list[str] = []

    async def resolve(self, target: str) -> str:
        """The member that is meant by a name, `leader`, `follower` or `any`."""
        names = self.fleet.names
        if target in names:
            return target
        leader = await self.operator.leader()
        if target == "leader" and leader:
            return leader
        return self.chance.choice(
            [each for each in names if each != leader] if target == "follower" else names
        )

    async def inject(self, kind: str, lasts: float, name: str) -> None:
        """A fault strikes a member; ends when the fault does."""
        child = self.fleet.children[name]
        self.log.append(f"{self.process_run.now():.3f} {kind} {name} {lasts:.3f}")
        if kind in LINK_FAULTS:
            await self._on_relays(self._struck_relays(kind, name), lasts)
        elif kind == "stall":
            child.suspend()
            await self.wait(lasts)
            child.resume()
        elif kind in ("kill", "term"):
            await child.end(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
            await self.wait(lasts)
            await child.start()
        elif kind in ("disk_full", "fsync_fails"):
            set_fault = child.disk_full if kind == "disk_full" else child.fsync_fails
            set_fault(True)
            await self.wait(lasts)
            set_fault(False)
            await child.end()  # a disk that works again is taken up by a restart
            await child.start()
        elif kind == "clock":
            child.rate = self.chance.choice(CLOCK_RATES)
            await child.end(signal.SIGTERM)
            await child.start()
        elif kind == "hand_over":
            await self.operator.transfer_leadership(name)
        elif kind == "replace":
            await self.operator.replace(name)
        elif kind in ("wipe", "put_back"):
            await self.lose_writes(kind, name)

    def _struck_relays(self, kind: str, name: str) -> list[tuple[Relay, str]]:
        """Relays and the fault of each. A way that is silent for what a member sends is silent for answers on
        the links of the others to it."""
        relays = self.fleet.relays_of(name)
        if kind not in ALL_RELAYS and self.chance.random() < 0.5:
            relays = [self.chance.choice(relays)]
        if kind not in OPPOSITE:
            return [(relay, kind) for relay in relays]
        outbound = [(relay, kind) for relay in self.fleet.children[name].peer_relays.values()]
        return outbound + [(relay, OPPOSITE[kind]) for relay in self.fleet.relays_to(name)]

    async def _on_relays(self, struck: list[tuple[Relay, str]], lasts: float) -> None:
        for relay, kind in struck:
            relay.begin(kind)
        try:
            await self.wait(lasts)
        finally:
            for relay, kind in struck:
                relay.end(kind)

    async def wait(self, seconds: float) -> None:
        """For as long, or until nothing may fail any more."""
        now = self.process_run.now
        end = now() + seconds
        while now() < min(end, self.scenario.seconds):
            await asyncio.sleep(min(0.05, max(0.0, end - now())))

    async def lose_writes(self, kind: str, name: str) -> None:
        """A disk loses what it had, with all others well. The judge checks that this is detected before an
        operator replaces the member."""
        child = self.fleet.children[name]
        earlier = child.copy_folder() if kind == "put_back" else None
        await asyncio.sleep(1.5)
        await child.end()
        if earlier is not None:
            child.restore(earlier)
        else:
            child.wipe()
        await child.start()
        for _ in range(BARRED_POLLS):
            role = (await self.operator.statuses())[name].get("role")
            if role == "barred":
                break
            await asyncio.sleep(BARRED_POLL_S)
        else:
            text = f"{name} lost what it had shown, and is {role}"
            self.process_run.judge.record_violation("lost_disk", text)
        await self.operator.replace(name)

    async def inject_drawn(self) -> None:
        """Begins what the seed draws, each in a task of its own; waits for all."""
        drawn = self.scenario.drawn
        if drawn.lossy and self.chance.random() < LOSSY_RUN_SHARE:
            await asyncio.sleep(2.0)
            await self.inject(self.chance.choice(drawn.lossy), 0.0, await self.resolve("any"))
        elif drawn.kinds:
            await self._inject_until_end()

    async def _inject_until_end(self) -> None:
        drawn, tasks = self.scenario.drawn, []
        busy: set[str] = set()
        while True:
            interval = self.chance.expovariate(1 / drawn.every)
            if self.process_run.now() + interval > self.scenario.seconds - 0.5:
                break
            await asyncio.sleep(interval)
            kind = self.chance.choice(drawn.kinds)
            name = await self.resolve(self.chance.choice(("any", "leader")))
            lasts = min(0.05 + self.chance.expovariate(1.0), drawn.longest)
            of_process = kind not in LINK_FAULTS and kind != "hand_over"
            if of_process and name in busy:  # one fault of a process at a time
                continue
            task = asyncio.create_task(self.inject(kind, lasts, name))
            if of_process:
                busy.add(name)
                task.add_done_callback(lambda _, name=name: busy.discard(name))
            tasks.append(task)
        await asyncio.gather(*tasks)

    async def inject_scripted(self) -> None:
        """The faults that the scenario names, whatever the seed."""

        async def inject_at_its_time(fault: Fault) -> None:
            await asyncio.sleep(max(0.0, fault.at - self.process_run.now()))
            await self.inject(fault.kind, fault.lasts, await self.resolve(fault.of))

        await asyncio.gather(*(inject_at_its_time(fault) for fault in self.scenario.faults))
