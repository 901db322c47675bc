"""The operator of a soak: changes routes all the while, and reads the configuration at any replica."""

import asyncio
import random
import time

from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.emulators.operator import Operator
from foxspread.mesh.local_cluster.layout import CORE, Layout
from foxspread.mesh.soak.configuration import change, first_configuration, route_versions, rule
from foxspread.mesh.soak.history import Change, ConfigurationRead, History
from foxspread.mesh.soak.plan import SoakPlan

CHANGED_ROUTES = 20  # beside the two that carry requests
LARGE_CHANGE_ROUTES = 700
AT_ONCE = 8
READ_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 8.0
SETTLE_TIMEOUT_S = 20.0


class OperatorLoad:
    """Sends changes and reads, and records them."""

    def __init__(self, layout: Layout, history: History, plan: SoakPlan) -> None:
        self.layout, self.history, self.plan = layout, history, plan
        self.draw = random.Random(f"{plan.seed}/operator")
        self.pool = ConnectionPool(time.monotonic, 5.0)
        self.version = 1
        self.under_way: set[asyncio.Task[None]] = set()

    def _operator(self) -> Operator:
        addresses = list(self.layout.control_addresses)
        self.draw.shuffle(addresses)
        return Operator(addresses, self.pool)

    async def configure(self) -> None:
        """Sends the first configuration; raises RuntimeError if it is not taken."""
        outcome = await self._operator().patch(first_configuration(self.version), SETTLE_TIMEOUT_S)
        if not outcome:
            raise RuntimeError(f"the first configuration is not taken: {outcome.status} {outcome.content}")

    async def run(self, until: float) -> None:
        """Sends changes and reads until that time on the monotonic clock."""
        reading = asyncio.get_running_loop().create_task(self._read_until(until))
        while time.monotonic() < until:
            await asyncio.sleep(self.draw.expovariate(self.plan.changes_per_s))
            if len(self.under_way) < AT_ONCE:
                task = asyncio.get_running_loop().create_task(self._change())
                self.under_way.add(task)
                task.add_done_callback(self.under_way.discard)
        await asyncio.gather(reading, *self.under_way)

    async def _change(self) -> None:
        self.version += self.draw.randint(1, 3)
        version, is_large = self.version, self.draw.random() < self.plan.large_change_share
        numbers = range(LARGE_CHANGE_ROUTES) if is_large else [self.draw.randrange(CHANGED_ROUTES)]
        names = [f"r-{number}" for number in numbers]
        rules = [rule(name, f"/{name}/", True, version) for name in names]
        sent_at = time.monotonic()
        outcome = await self._operator().patch(change(rules), CALL_TIMEOUT_S)
        acknowledged_at = time.monotonic() if outcome else None
        self.history.changes.extend(Change(name, version, sent_at, acknowledged_at) for name in names)

    async def _read_until(self, until: float) -> None:
        while time.monotonic() < until:
            await asyncio.sleep(READ_INTERVAL_S)
            await self._read(self.draw.randrange(len(self.layout.control_addresses)))

    async def _read(self, number: int) -> bool:
        sent_at = time.monotonic()
        outcome = await self._operator().get_from(self.layout.control_addresses[number])
        if outcome:
            node = self.layout.machines_of_kind(CORE)[number].node
            versions = route_versions(outcome.content)
            self.history.reads.append(ConfigurationRead(node, sent_at, versions))
        return bool(outcome)

    async def read_all(self) -> list[str]:
        """Reads the configuration at each replica at the end; returns those that give none in time."""
        until = time.monotonic() + SETTLE_TIMEOUT_S
        silent = []
        for number, machine in enumerate(self.layout.machines_of_kind(CORE)):
            while not await self._read(number):
                if time.monotonic() > until:
                    silent.append(machine.node)
                    break
                await asyncio.sleep(READ_INTERVAL_S)
        return silent
