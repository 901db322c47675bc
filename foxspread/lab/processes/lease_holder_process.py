"""A sidecar's part in agreed rules as a process of its own: a `Holder`, the `Follower` beside it, and acts.
Not a whole sidecar: what it would hand off is a line to a stand-in server, with the rules that it acted
under, written right after `may` said yes.

    python -m foxspread.lab.processes.lease_holder_process JSON
"""

import asyncio
import json
import os
import pathlib
import random
import sys
from typing import Any

from foxspread.fleet_rules.version_content import content
from foxspread.fleet_rules.lease_client import Follower
from foxspread.fleet_rules.lease_holder import Holder, Kept, Mode
from foxspread.config import address
from foxspread.consensus.clock import Clock


def check(text: bytes) -> Any:
    return content(text)


async def main(told: dict[str, Any]) -> None:
    chance, clock = random.Random(told["seed"]), Clock(told["rate"])
    file, boot = pathlib.Path(told["file"]), told["boot"]
    kept = Kept(**json.loads(file.read_text())) if file.exists() else None
    # The clock of this process began anew: what was kept counts by the machine's, which went on.
    kind = Holder
    if told["mutant"]:
        from foxspread.lab.processes.fleet_rules_mutants import MUTANTS

        kind = MUTANTS[told["mutant"]].broken.holder
    holder = kind(clock() + clock.zero, told["id"], check, chance.random, 0.02, boot, kept)
    _follower = Follower(  # kept: its tasks end with it
        holder,
        lambda: clock() + clock.zero,
        [address(each, "at") for each in told["coordinators"]],
        chance.random,
        lambda _: keep(file, holder),
    )
    where = address(told["server"], "server")
    _, writer = await asyncio.open_connection(where.host, where.port)
    writer.write(f"{told['id']}\n".encode())
    while True:
        await asyncio.sleep(chance.expovariate(told["acts"]))
        decided = holder.acting(clock() + clock.zero)
        if chance.random() < 0.1:
            await asyncio.sleep(chance.expovariate(2.0))
        line = (
            json.dumps(
                {
                    "mode": decided.mode.value,
                    "phase": decided.phase,
                    "settled": holder.settled,
                    "rules": decided.rules,
                }
            ).encode()
            + b"\n"
        )
        if decided.mode is not Mode.NONE and holder.may(clock() + clock.zero, decided):
            writer.write(line)
            await writer.drain()


def keep(file: pathlib.Path, holder: Holder) -> None:
    kept = holder.kept()
    aside = file.with_suffix(".new")
    aside.write_text(
        json.dumps(
            {"boot": kept.boot, "settled": kept.settled, "alone": kept.alone, "alone_until": kept.alone_until}
        )
    )
    os.replace(aside, file)


if __name__ == "__main__":
    try:
        asyncio.run(main(json.loads(sys.argv[1])))
    except (KeyboardInterrupt, ConnectionError):
        pass
