"""A lease holder as a process of its own: a `LeaseHolder`, the `LeaseClient` beside it, and acts. Not a whole
sidecar: what that would send on is a line to a stand-in server, with the rules that it acted under, written
right after `may_act` said yes.

    python -m foxspread.lab.processes.lease_holder_process JSON
"""

import asyncio
import json
import os
import pathlib
import random
import sys
from dataclasses import asdict, dataclass
from typing import Any

from foxspread.config import address
from foxspread.consensus.clock import Clock
from foxspread.fleet_rules import codec
from foxspread.fleet_rules.lease_client import LeaseClient
from foxspread.fleet_rules.lease_holder import EffectiveRules, LeaseHolder, Mode
from foxspread.fleet_rules.version_content import parse_version

DRIFT = 0.02
SLEEP_SHARE = 0.1  # of acts, those that come late after their decision
SLEEPS_A_SECOND = 2.0


@dataclass(frozen=True)
class Arguments:
    """What the parent passes as JSON. `boot`: stands for the machine's; `acts`: a second."""

    holder_id: str
    seed: int
    rate: float
    file: str
    boot: str
    mutant: str
    acts: float
    server: str
    coordinators: list[str]

    def encoded(self) -> str:
        """For the command line."""
        return json.dumps(asdict(self))


@dataclass(frozen=True)
class ActRecord:
    """An act as its server sees it, a line of JSON."""

    mode: str
    phase: int
    in_force: int
    rules: dict[str, Any]

    def encoded(self) -> bytes:
        """With the end of the line."""
        return json.dumps(asdict(self)).encode() + b"\n"


def holder_kind(mutant: str) -> type[LeaseHolder]:
    """The sound one, or a mutant's."""
    if not mutant:
        return LeaseHolder
    from foxspread.lab.processes.fleet_rules_mutants import MUTANTS

    return MUTANTS[mutant].broken.holder


def write_state(file: pathlib.Path, holder: LeaseHolder) -> None:
    """Replaces the file at once, or not at all."""
    new = file.with_suffix(".new")
    new.write_text(codec.encode_alone_state(holder.alone_state()))
    os.replace(new, file)


async def main(arguments: Arguments) -> None:
    """Acts until it is ended."""
    chance, process_clock = random.Random(arguments.seed), Clock(arguments.rate)
    file = pathlib.Path(arguments.file)
    restored = codec.decode_alone_state(file.read_text()) if file.exists() else None

    def clock() -> float:
        # This process's clock began anew: what was kept counts by the machine's, which went on.
        return process_clock() + process_clock.started_at

    kind = holder_kind(arguments.mutant)
    holder = kind(clock(), arguments.holder_id, parse_version, chance.random, DRIFT, arguments.boot, restored)
    _client = LeaseClient(  # kept: its tasks end with it
        holder,
        clock,
        [address(each, "coordinators") for each in arguments.coordinators],
        chance.random,
        lambda _: write_state(file, holder),
    )
    server = address(arguments.server, "server")
    _, writer = await asyncio.open_connection(server.host, server.port)
    writer.write(f"{arguments.holder_id}\n".encode())
    while True:
        await asyncio.sleep(chance.expovariate(arguments.acts))
        decided = holder.effective(clock())
        if chance.random() < SLEEP_SHARE:
            await asyncio.sleep(chance.expovariate(SLEEPS_A_SECOND))
        line = act_record(decided, holder).encoded()  # made before the look: it takes a while
        if decided.mode is not Mode.NONE and holder.may_act(clock(), decided):
            writer.write(line)
            await writer.drain()


def act_record(decided: EffectiveRules, holder: LeaseHolder) -> ActRecord:
    """An act under what was decided."""
    return ActRecord(decided.mode.value, decided.phase, holder.in_force, decided.rules)


if __name__ == "__main__":
    try:
        asyncio.run(main(Arguments(**json.loads(sys.argv[1]))))
    except (KeyboardInterrupt, ConnectionError):
        pass
