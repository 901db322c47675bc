"""Real coordinators, and what follows them: commands as typed, and processes with faults between them."""

import asyncio
import json
import random
import unittest
from typing import Any

from click.testing import CliRunner, Result

from foxspread.cli.main import foxspread
from foxspread.consensus.clock import Clock
from foxspread.fleet_rules.lease_client import LeaseClient
from foxspread.fleet_rules.lease_holder import LeaseHolder, Mode
from foxspread.fleet_rules.version_content import parse_version
from foxspread.lab.processes import end_to_end, fleet_rules_processes
from foxspread.lab.processes.fleet import Fleet
from foxspread.lab.processes.scenario import Scenario

TEXT = """[settings]
siblings = 4
[[settings.categories]]
name = "docs"
abandon_time_us = 1500000
[settings.limits]
max_hand_offs = {hands}
"""


def picky(text: bytes) -> Any:
    """An older build, which knows no more than eight hand-offs."""
    found = parse_version(text)
    if found.rules["settings.limits.max_hand_offs"] > 8:
        raise ValueError("'settings.limits.max_hand_offs' must be at most 8, not 9")
    return found


class Commands(unittest.TestCase):
    def test_put_status_bound_wait_and_a_version_that_one_turns_down(self) -> None:
        async def main() -> None:
            async with Fleet(Scenario("agreed", lease=1.0, alone=2.0), 1) as fleet:
                at = [relay.address for relay in fleet.writers.values()]
                clock, chance = Clock(), random.Random(1).random
                checks = [parse_version, parse_version, picky]
                clients = [
                    LeaseClient(LeaseHolder(clock(), f"s{each}/1", check, chance), clock, at, chance)
                    for each, check in enumerate(checks)
                ]
                file = fleet.folder / "rules.toml"

                async def run(*words: str) -> Result:
                    told = {"FOXSPREAD_COORDINATORS": ",".join(map(str, at))}
                    return await asyncio.to_thread(CliRunner().invoke, foxspread, ("rules", *words), env=told)

                async def put(hands: int) -> None:
                    file.write_text(TEXT.format(hands=hands))
                    self.assertEqual((await run("put", str(file))).exit_code, 0)

                await put(3)
                done = await run("wait", "1", "--settled")
                self.assertEqual((done.exit_code, done.output), (0, "version 1 is in force\n"))
                acting = [each.holder.effective(clock()) for each in clients]
                self.assertEqual({each.mode for each in acting}, {Mode.IN_FORCE})
                self.assertEqual({each.rules["settings.limits.max_hand_offs"] for each in acting}, {3})
                await put(9)
                turned = await run("wait", "2")
                self.assertEqual(turned.exit_code, 1)
                self.assertIn(
                    "version 2 was withdrawn: s2/1: 'settings.limits.max_hand_offs' must be at most 8",
                    turned.output,
                )
                await put(5)
                self.assertEqual((await run("wait", "3", "--settled")).exit_code, 0)
                file.write_text(TEXT.format(hands=9))
                self.assertEqual((await run("put", str(file), "--allow-refusals", "1")).exit_code, 0)
                self.assertEqual((await run("wait", "4")).exit_code, 0)  # a lease later: s2 can't confirm
                while clients[0].holder.rules["settings.limits.max_hand_offs"] != 9:  # it is being told
                    await asyncio.sleep(0.01)
                self.assertEqual(clients[2].holder.effective(clock()).mode, Mode.NONE)
                file.write_text(TEXT.format(hands=5))
                await run("put", str(file))
                self.assertEqual((await run("wait", "5", "--settled")).exit_code, 0)
                file.write_text(TEXT.format(hands=5) + "[lists]\nonly = []\n")
                refused = await run("put", str(file))
                self.assertEqual(refused.exit_code, 1)
                self.assertIn("it leaves no server: put it with --even-so", refused.output)
                self.assertEqual((await run("put", str(file), "--even-so")).exit_code, 0)
                file.write_text(TEXT.format(hands=5))
                await run("put", str(file))
                self.assertEqual((await run("wait", "7", "--settled")).exit_code, 0)
                status = await run("status")
                for text in ("in force 7", "withdrawn 2", "s0/1  confirmed"):
                    self.assertIn(text, status.output)
                bounds = json.loads((await run("bound", "--json")).output)
                self.assertEqual(
                    (bounds["settings.limits.max_hand_offs"], bounds["settings.categories.*.key_scope"]),
                    (0.0, 1.02),
                )
                for (
                    child
                ) in fleet.children.values():  # nobody is left to ask: it goes alone, which here is nothing
                    await child.end()
                while clients[0].holder.effective(clock()).mode is not Mode.NONE:
                    await asyncio.sleep(0.02)
                for each in clients:
                    await each.close()

        asyncio.run(asyncio.wait_for(main(), 60))


class Processes(unittest.TestCase):
    def test_drawn_faults_and_the_newest_heard_of(self) -> None:
        found = asyncio.run(fleet_rules_processes.played(2, sidecars=4, seconds=6.0, lease=1.0))
        self.assertEqual(found.faults, [])
        self.assertGreater(found.acts["settled"], 50)
        self.assertGreater(found.versions, 1)

    def test_whole_sidecars_behind_a_cut_and_the_newest_heard_of(self) -> None:
        """The way of today, beside ours, in the same play: one is cut off while versions change, another is
        stopped, the one that leads is killed. Judged by what servers and clients saw."""
        script = ((1.5, "silent", "s0", 4.0), (2.0, "stall", "s1", 1.5), (2.5, "kill", "leader", 0.5))
        told = {"sidecars": 3, "seconds": 6.0, "lease": 1.0, "faults": False, "script": script, "rate": 40.0}
        told["puts"] = ((0.2, 5), (1.8, 1))  # a limit is lowered while one is cut off
        found = asyncio.run(end_to_end.played(2, **told))
        self.assertEqual(found.faults, [])
        self.assertEqual(found.versions, 2)
        self.assertGreater(found.lookups["done"], 100)
        found = asyncio.run(end_to_end.played(2, **told, mutant="newest"))
        self.assertTrue([each for each in found.faults if "max_hand_offs so for" in each])
