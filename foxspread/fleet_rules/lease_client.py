"""The way between a `Holder` and the coordinators: asks, watches, fetches; decides nothing. One for each
sidecar.

`changed` is told whenever the holder acts on something else than before, `renewed` after each answer; whoever
acts still asks `holder.may` at the moment of the act.
"""

import asyncio
import contextlib
import json
from collections.abc import Callable, Sequence

from foxspread.fleet_rules.lease_holder import Acting, Ask, Grant, Holder
from foxspread.config import Address
from foxspread.consensus.client import call
from foxspread.net.http import BadMessage

ERRORS = (OSError, TimeoutError, BadMessage, KeyError, TypeError, ValueError)
WITHIN = 2.5  # seconds for one call
WATCH = 10  # seconds that a watch waits


class Follower:
    def __init__(
        self,
        holder: Holder,
        clock: Callable[[], float],
        coordinators: Sequence[Address],
        chance: Callable[[], float],
        changed: Callable[[Acting], None] = lambda acting: None,
        renewed: Callable[[], None] = lambda: None,
    ) -> None:
        self.holder, self.clock, self.coordinators, self.chance = holder, clock, list(coordinators), chance
        self.changed, self.renewed, self.last = changed, renewed, (None, 0)
        self.due = asyncio.Event()
        self.target = int(chance() * len(self.coordinators))
        self.calls, self.failed = 0, 0
        self.tasks = [
            asyncio.create_task(self._ask()),
            asyncio.create_task(self._watch()),
            asyncio.create_task(self._turn()),
        ]

    def _at(self) -> Address:
        return self.coordinators[self.target % len(self.coordinators)]

    def _other(self) -> None:
        self.failed += 1
        self.target += 1 + int(self.chance() * max(1, len(self.coordinators) - 1))

    def _noted(self) -> None:
        acting = self.holder.acting(self.clock())
        if (acting.mode, acting.phase) != self.last:
            self.last = (acting.mode, acting.phase)
            self.changed(acting)
        self.due.set()

    async def _ask(self) -> None:
        while True:
            self.due.clear()
            wait = self.holder.wake_at() - self.clock()
            if wait > 0:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait):
                        await self.due.wait()
            if (ask := self.holder.ask(self.clock())) is not None:
                await self._asked(ask)

    async def _asked(self, ask: Ask) -> None:
        self.calls += 1
        body = json.dumps(
            {"holder": ask.holder, "phase": ask.phase, "refused": ask.refused, "why": ask.why}
        ).encode()
        try:
            reply = await call(self._at(), "POST", "/lease", body, WITHIN)
            told = reply.value["grant"]
            grant = Grant(
                int(told["phase"]),
                int(told["settled"]),
                int(told["next"]),
                float(told["lease"]),
                float(told["alone"]),
                float(told.get("drift", 0.0)),
            )
        except ERRORS:
            return self._other()
        self.holder.answered(self.clock(), ask, grant)
        for number in self.holder.wants():
            await self._fetch(number)
        self._noted()
        self.renewed()

    async def _fetch(self, number: int) -> None:
        try:
            reply = await call(self._at(), "GET", f"/rules/{number}", within=WITHIN)
            text = reply.value["version"]["content"].encode()
        except ERRORS:
            self._other()
            return self.holder.soon(self.clock() + 0.05 * (0.5 + self.chance()))
        self.holder.fetched(self.clock(), number, text)

    async def _watch(self) -> None:
        """One call that waits for a later phase; where it fails, the asking goes on without."""
        pause = 0.05
        while True:
            try:
                at, known = self._at(), self.holder.phase
                reply = await call(at, "GET", f"/phase?known={known}&wait={WATCH}", within=WATCH + WITHIN)
                if int(reply.value["phase"]) > self.holder.phase:
                    self.holder.soon(self.clock())
                    self.due.set()
                    await asyncio.sleep(0.01)
                pause = 0.05
            except ERRORS:
                self.failed += 1
                await asyncio.sleep(pause * (0.5 + self.chance()))
                pause = min(2 * pause, 2.0)

    async def _turn(self) -> None:
        """Tells of a lease that has run out by itself."""
        while True:
            now = self.clock()
            await asyncio.sleep(min(0.5, max(0.005, self.holder.changes_at(now) - now)))
            self._noted()

    async def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
