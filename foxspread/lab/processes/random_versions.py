"""Texts of versions as the lab's writers put them, drawn by chance: for sidecars in virtual time and for
parts of sidecars as processes. `end_to_end_versions` has those for whole sidecars.
"""

import json
import random


def random_version(chance: random.Random, sidecars: int, count: int) -> bytes:
    """Most fit what a sidecar that is alone may do; some don't, and are to be withdrawn. `count` makes each
    text another one."""
    rows = [
        ("docs", chance.choice((1.0, 2.0, 3.0)), chance.choice(("free", "guarded", "single_shot")), "cell")
    ]
    rows.append(("pay", chance.choice((1.0, 2.0)), "guarded", chance.choice(("cell", "zone", "all"))))
    if chance.random() < 0.5:
        rows.append(("extra", 1.0, "free", "cell"))
    text = f"# {count}\n[settings]\nsiblings = {chance.choice((sidecars, 2 * sidecars))}\n"
    for name, abandon, semantics, scope in rows:
        text += f'[[settings.categories]]\nname = "{name}"\nabandon_time_us = {abandon * 1e6:.0f}\n'
        text += f'semantics = "{semantics}"\nkey_scope = "{scope}"\n'
    copies, alone_hand_offs = chance.choice(("true", "false")), 2 if chance.random() < 0.1 else 1
    text += f"[settings.limits]\nmax_hand_offs = {chance.randint(1, 6)}\nparallel_tries = {copies}\n"
    text += f'[alone]\nsiblings = {2 * sidecars}\n[[alone.categories]]\nname = "docs"\n'
    text += 'abandon_time_us = 1000000\nsemantics = "single_shot"\n'
    text += f"[alone.limits]\nmax_hand_offs = {alone_hand_offs}\nparallel_tries = false\n"
    return (text + _lists(chance)).encode()


def _lists(chance: random.Random) -> str:
    taken_out = chance.sample(["k2", "k3"], chance.randint(0, 2))
    text = f'[lists]\nsource = "here"\ntaken_out = {json.dumps(taken_out)}\nalone = ["k1"]\n'
    for name, cell in (("k1", 1), ("k2", chance.choice((1, 2))), ("k3", 2)):
        if name != "k3" or chance.random() < 0.7:
            text += f'[[lists.servers]]\nid = "{name}"\naddr = "{name}:1"\ncell = {cell}\n'
    return text
