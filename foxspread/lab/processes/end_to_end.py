"""Whole sidecars that follow fleet rules: `python -m foxspread` with an operator's file, real coordinators,
stand-in servers and clients, a relay on each way between any two of them. Judged by what servers and clients
saw (`end_to_end_judge`): nobody knows here what a sidecar holds, but for the moment at which the first of all
said that a version is in force.
"""

import asyncio
import random
import re
from typing import Any

from foxspread.config import Address
from foxspread.fleet_rules import codec
from foxspread.fleet_rules.lease_holder import Mode
from foxspread.lab.processes.end_to_end_judge import (
    REMAINING_SECONDS,
    SLACK_SECONDS,
    AttemptJudge,
    ClientCall,
    EndToEndResult,
    InForce,
    judge_calls,
)
from foxspread.lab.processes.end_to_end_server import Attempt, StubServer
from foxspread.lab.processes.end_to_end_sidecar import SERVER_PREFIX, FullSidecar, LoggedRules
from foxspread.lab.processes.end_to_end_versions import SERVERS, random_version, steady_version
from foxspread.lab.processes.fleet_rules_processes import SIDECAR_FAULTS, FleetRulesRun
from foxspread.lab.processes.relay import Relay

SERVER_FAULTS = ("silent_in", "reset", "refuse")  # none that holds back what a sidecar has sent already
CATEGORIES, CATEGORY_WEIGHTS = ("docs", "pay", "once", "extra", "old"), (5, 5, 3, 2, 1)  # of lookups
STATUS_LINE = re.compile(rb"HTTP/1\.1 (\d+) ")


class EndToEndRun(FleetRulesRun):
    """Options beside those of `FleetRulesRun`: `rate`, lookups a second at each sidecar; `steady`, servers
    don't fail, and each version lets all be done; `mutant_names`, the sidecars that are another build, or
    broken; none: all are."""

    process_kind = FullSidecar
    sidecar_faults = (*SIDECAR_FAULTS, *(SERVER_PREFIX + kind for kind in SERVER_FAULTS * 2))

    def __init__(
        self,
        seed: int,
        rate: float = 12.0,
        steady: bool = False,
        mutant_names: tuple[str, ...] = (),
        **options: Any,
    ) -> None:
        super().__init__(seed, **options)
        self.rate, self.steady, self.mutant_names = rate, steady, mutant_names
        self.attempts: list[Attempt] = []
        self.calls: list[ClientCall] = []
        self.errors: list[str] = []  # what sidecars said that went wrong in them
        self.in_force: dict[int, InForce] = {}  # by phase
        self.slowest_change = 0.0
        self.client_tasks: set[asyncio.Task] = set()
        self.servers: list[StubServer] = []
        self.shared_relays: list[Relay] = []  # the way to each server where versions hold the list
        self.addresses: dict[str, Address] = {}

    def random_version(self, chance: random.Random, count: int) -> bytes:
        """A text for the writer to put."""
        if self.steady:
            return steady_version(chance, self.count, count)
        return random_version(chance, self.count, count, self.addresses)

    def on_version_in_force(self, phase: int, version: int, ago: float) -> None:
        """A sidecar's log has said so; the first one counts."""
        found, known = InForce(self.now() - ago, version), self.in_force.get(phase)
        if known is None or (found.at, found.version) < (known.at, known.version):
            self.in_force[phase] = found

    async def before_start(self) -> None:
        """Servers, and for odd seeds their addresses for the list that versions hold."""
        self.servers = [StubServer(self, *row) for row in SERVERS]
        for server in self.servers:
            await server.start()
            relay = Relay(f"all-{server.name}", self.fleet.rng(f"all-{server.name}"))
            relay.target = server.address
            self.shared_relays.append(relay)
            if self.seed % 2:
                self.addresses[server.name] = relay.address

    async def after_end(self) -> None:
        """Ends clients, relays and servers."""
        for task in self.client_tasks:
            task.cancel()
        await asyncio.gather(*self.client_tasks, return_exceptions=True)
        relays = [relay for sidecar in self.sidecars.values() for relay in sidecar.server_relays.values()]
        await asyncio.gather(*(relay.close() for relay in (*relays, *self.shared_relays)))
        for server in self.servers:
            server.close()

    async def work(self) -> None:
        """Clients at each sidecar."""
        await asyncio.gather(*(self._clients(sidecar) for sidecar in self.sidecars.values()))
        await asyncio.gather(*self.client_tasks, return_exceptions=True)

    async def _clients(self, sidecar: FullSidecar) -> None:
        chance, count = self.fleet.rng(f"clients-{sidecar.name}"), 0
        while self.now() < self.scenario.seconds + 1.0:
            await asyncio.sleep(chance.expovariate(self.rate))
            count += 1
            category = chance.choices(CATEGORIES, CATEGORY_WEIGHTS)[0]
            if not sidecar.is_excused(self.now()):
                call = ClientCall(self.now(), sidecar.name, category, id=f"{sidecar.name}-{count}")
                task = asyncio.create_task(self._call(sidecar, call))
                self.client_tasks.add(task)
                task.add_done_callback(self.client_tasks.discard)

    async def _call(self, sidecar: FullSidecar, call: ClientCall) -> None:
        call.at = self.now()
        self.calls.append(call)
        data = b""
        try:
            async with asyncio.timeout(REMAINING_SECONDS + 3 * SLACK_SECONDS):
                reader, writer = await asyncio.open_connection(sidecar.listen.host, sidecar.listen.port)
                try:
                    writer.write(_request(call))
                    while part := await reader.read(4096):
                        call.took = call.took or self.now() - call.at
                        data += part
                finally:
                    writer.close()
        except (OSError, TimeoutError) as error:
            call.error = repr(error)
        if statuses := STATUS_LINE.findall(data):
            call.status = int(statuses[0])
            if len(statuses) > 1:
                self.errors.append(f"{call.id} has {len(statuses)} answers")
        call.excused = sidecar.is_excused(call.at)

    def behind(self, row: dict[str, Any]) -> list[str]:
        """Who doesn't act on what is in force, by a coordinator's answer to GET /course."""
        wanted = LoggedRules(Mode.IN_FORCE.value, row.get(codec.PHASE))
        return [name for name, sidecar in self.sidecars.items() if sidecar.logged != wanted]

    def judged(self, unsettled: str) -> EndToEndResult:
        """By what servers and clients saw, and the errors in sidecars' logs."""
        faults = ([unsettled] if unsettled else []) + self.errors[:5]
        result = EndToEndResult(self.seed, faults, self.events)
        result.versions = len({each.version for each in self.in_force.values()})
        result.hand_offs, result.slowest_change = len(self.attempts), self.slowest_change
        AttemptJudge(result, self.in_force, self.texts, self.scenario.lease).judge(self.attempts)
        judge_calls(result, self.calls)
        return result


def _request(call: ClientCall) -> bytes:
    return (
        f"POST /{call.category}?user=u{call.id} HTTP/1.1\r\nHost: b\r\nX-Txn: {call.id}\r\n"
        f"X-Lane: {call.category}\r\nX-Remaining: {REMAINING_SECONDS * 1e6:.0f}u\r\n"
        f"Idempotency-Key: {call.id}\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
    ).encode()


async def played(seed: int, **options: Any) -> EndToEndResult:
    """One run; options as of `EndToEndRun`."""
    return await EndToEndRun(seed, **options).run()
