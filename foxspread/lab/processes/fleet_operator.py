"""What an operator asks of real coordinators: who leads, what they hold, and to replace a member.

Faults, benchmarks and tests share it.
"""

import asyncio
import json
import random
from typing import Any

from foxspread.consensus.client import call
from foxspread.consensus.versions import Version
from foxspread.lab.processes.fleet import Child, Fleet
from foxspread.net.http import BadMessage

ERRORS = (OSError, TimeoutError, BadMessage)
STATUS_TIMEOUT_S, CHANGE_TIMEOUT_S, HISTORY_TIMEOUT_S = 0.5, 1.5, 5.0
CHANGE_ATTEMPTS, CHANGE_RETRY_S = 40, 0.15


def version_of(row: dict[str, Any]) -> Version:
    """A version, as a coordinator's answer has it."""
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


class FleetOperator:
    """Calls the coordinators of a fleet. `chance` draws to whom leadership is transferred."""

    def __init__(self, fleet: Fleet, chance: random.Random) -> None:
        self.fleet, self.chance = fleet, chance

    async def statuses(self) -> dict[str, dict[str, Any]]:
        """By name; empty for a member that does not answer."""

        async def status(child: Child) -> dict[str, Any]:
            try:
                return (await call(child.address, "GET", "/status", timeout_s=STATUS_TIMEOUT_S)).value
            except ERRORS:
                return {}

        rows = await asyncio.gather(*(status(child) for child in self.fleet.children.values()))
        return dict(zip(self.fleet.names, rows))

    async def leader(self) -> str:
        """The one that leads the latest term; "" where none says so."""
        rows = await self.statuses()
        leaders = {row["term"]: name for name, row in rows.items() if row.get("role") == "leader"}
        return leaders[max(leaders)] if leaders else ""

    async def post(self, path: str, body: dict[str, Any], recipient: str) -> dict[str, Any]:
        """The answer; empty without a recipient, or where it does not answer."""
        if not recipient:
            return {}
        address = self.fleet.children[recipient].address
        try:
            return (await call(address, "POST", path, json.dumps(body).encode(), CHANGE_TIMEOUT_S)).value
        except ERRORS:
            return {}

    async def transfer_leadership(self, name: str) -> None:
        """Asks the leader, where there is one, to hand over to `name`."""
        await self.post("/hand-over", {"to": name}, await self.leader())

    async def replace(self, name: str) -> None:
        """Removes a member, wipes its folder, starts it anew and adds it."""
        child = self.fleet.children[name]
        if await self._change_members({"name": name, "address": None}, "is no member", name):
            await child.end()
            child.wipe()
            child.join_existing = True
            await child.start()
            change = {"name": name, "address": self.fleet.address_of(name)}
            await self._change_members(change, "is a member already", "")

    async def _change_members(self, change: dict[str, Any], already: str, removed: str) -> bool:
        """Whether the change is made. A leader that is to be removed first hands over."""
        for _ in range(CHANGE_ATTEMPTS):
            leader = await self.leader()
            if leader and leader == removed and len(self.fleet.names) > 1:
                others = [each for each in self.fleet.names if each != leader]
                await self.post("/hand-over", {"to": self.chance.choice(others)}, leader)
            elif leader:
                value = await self.post("/members", change, leader)
                if value.get("status") == "done" or already in str(value.get("why")):
                    return True
            await asyncio.sleep(CHANGE_RETRY_S)
        return False

    async def history(self, child: Child) -> list[Version]:
        """All versions that a member holds, the oldest first."""
        versions: list[Version] = []
        while not versions or versions[-1].number > 1:
            before = versions[-1].number if versions else 0
            path = f"/history?before={before}"
            page = (await call(child.address, "GET", path, timeout_s=HISTORY_TIMEOUT_S)).value["versions"]
            if not page:
                break
            versions += [version_of(row) for row in page]
        return versions[::-1]
