"""Texts of versions for runs with whole sidecars, drawn by chance, and the servers that they name."""

import json
import random

from foxspread.config import Address
from foxspread.fleet_rules.flat_rules import FlatRules

SERVERS = (("s1", "a", 1), ("s2", "a", 1), ("s3", "a", 2), ("s4", "b", 1), ("s5", "b", 1), ("s6", "b", 2))
REGROUPED = ("s3", "s6")  # servers whose cell changes from version to version


def random_version(chance: random.Random, sidecars: int, count: int, addresses: dict[str, Address]) -> bytes:
    """`once` is irreversible in all of them; `extra` comes and goes. With addresses the list of servers
    stands in it: some come and go, and change their group."""
    pay = chance.choice(("guarded", "single_shot"))
    docs = chance.choice((1.0, 2.0)), chance.choice(("free", "free", "guarded", "single_shot"))
    rows = [
        ("docs", *docs, "cell"),
        ("pay", chance.choice((1.0, 2.0)), pay, chance.choice(("cell", "zone", "all"))),
        ("once", 1.5, "single_shot", "cell"),
    ]
    if chance.random() < 0.5:
        rows.append(("extra", 1.0, "free", "cell"))
    text = f"# {count}\n[settings]\nsiblings = {chance.choice((sidecars, 2 * sidecars))}\n"
    for name, abandon, semantics, scope in rows:
        text += f'[[settings.categories]]\nname = "{name}"\nabandon_time_us = {abandon * 1e6:.0f}\n'
        text += f'expected_time_us = 600000\nlate_benefit = 0.5\nsemantics = "{semantics}"\n'
        text += f'key_scope = "{scope}"\nrepeat_window_us = {chance.choice((400_000, 2_000_000))}\n'
    text += f"[settings.limits]\nmax_hand_offs = {chance.randint(1, 5)}\nretry_after = true\n"
    text += f"max_retry_after_us = 1000000\nparallel_tries = {chance.choice(('true', 'false'))}\n"
    text += f"cancelling = {chance.choice(('true', 'false'))}\n"
    return (text + _alone(chance, sidecars) + _lists(chance, addresses)).encode()


def _alone(chance: random.Random, sidecars: int) -> str:
    hand_offs = 2 if chance.random() < 0.1 else 1  # two are more than some versions allow: withdrawn
    text = f"[alone]\nsiblings = {2 * sidecars}\n"
    for name in ("docs", "once"):
        text += f'[[alone.categories]]\nname = "{name}"\nexpected_time_us = 600000\n'
        text += 'abandon_time_us = 1000000\nsemantics = "single_shot"\nrepeat_window_us = 0\n'
    return text + (
        f"[alone.limits]\nmax_hand_offs = {hand_offs}\nparallel_tries = false\ncancelling = false\n"
    )


def _lists(chance: random.Random, addresses: dict[str, Address]) -> str:
    some = chance.sample(["s2", "s3", "s5", "s6"], 3)
    taken_out = some[: chance.randint(0, 2)]
    text = f'[lists]\ntaken_out = {json.dumps(taken_out)}\nalone = ["s1", "s4"]\n'
    if not addresses:
        return text
    text += 'source = "here"\n'
    for name, zone, cell in SERVERS:
        if name not in some[2:] or chance.random() < 0.5:
            cell = chance.choice((1, 2)) if name in REGROUPED else cell
            text += f'[[lists.servers]]\nid = "{name}"\naddr = "{addresses[name]}"\n'
            text += f'zone = "{zone}"\ncell = {cell}\n'
    return text


def steady_version(chance: random.Random, sidecars: int, count: int) -> bytes:
    """A version under which all lookups can be done, as under each other of these, and alone."""
    text = f"# {count}\n[settings]\nsiblings = {chance.choice((sidecars, 2 * sidecars))}\n"
    alone = f"[alone]\nsiblings = {2 * sidecars}\n[alone.limits]\nmax_hand_offs = 1\n"
    for name in ("docs", "pay", "once"):
        row = f'name = "{name}"\nabandon_time_us = 1500000\nexpected_time_us = 600000\n'
        text += f"[[settings.categories]]\n{row}benefit = {chance.randint(1, 3)}\n"
        alone += f"[[alone.categories]]\n{row}"
    return (text + f"[settings.limits]\nmax_hand_offs = {chance.randint(1, 5)}\n{alone}").encode()


def group(rules: FlatRules, server: str) -> tuple[str, str, int]:
    """Server, zone and cell, by a version or by the first list."""
    name, zone, cell = next(row for row in SERVERS if row[0] == server)
    row = f"lists.servers.{server}."
    return name, rules.get(row + "zone", zone), rules.get(row + "cell", cell)
