"""The bytes of this package in the log and between coordinators, as recorded before its names changed."""

import json
import pathlib
import unittest

import msgspec

from foxspread.consensus.messages import encoded
from foxspread.singleton.lease_manager import DutyCourse, Offer, Offers
from foxspread.singleton.lease_table import (
    Did,
    DutyCommand,
    Free,
    Intend,
    Lose,
    Pause,
    Registry,
    Take,
    Tell,
    Wish,
    Yield,
)

RECORDED = json.loads((pathlib.Path(__file__).parents[1] / "data/wire/singleton.json").read_text())
COMMANDS = {
    "take": Take("d", "a/1", 1),
    "lose": Lose("d", 1),
    "free": Free("d", 1),
    "yield": Yield("d", 1),
    "wish": Wish("d", "b/1"),
    "pause": Pause("d", True),
    "intend": Intend("d", 1, "x", "a transfer", 2.0),
    "did": Did("d", 1, "x"),
    "tell": Tell("d", 2, "y"),
}
OFFERS = Offers({"a/1": Offer(("d", "e"), (("d", 3),)), "b/1": Offer((), ())})


def registry() -> Registry:
    it = Registry()
    for command in (
        COMMANDS["take"],
        COMMANDS["intend"],
        Intend("d", 1, "y", "another", 1.5),
        Intend("d", 1, "z", "a third", 1.5),
        COMMANDS["did"],
        COMMANDS["lose"],
        COMMANDS["free"],
        Take("d", "b/1", 2),
        COMMANDS["tell"],
        Take("e", "a/1", 1),
        Wish("e", "b/1"),
        Lose("e", 1),
        Pause("f", True),
    ):
        it.obey(command)
    return it


class Log(unittest.TestCase):
    def test_each_command_is_the_recorded_bytes(self) -> None:
        for name, command in COMMANDS.items():
            with self.subTest(name):
                self.assertEqual(encoded(command).hex(), RECORDED["commands"][name])
                data = bytes.fromhex(RECORDED["commands"][name])
                self.assertEqual(msgspec.msgpack.decode(data, type=DutyCommand), command)

    def test_offers_are_the_recorded_bytes(self) -> None:
        self.assertEqual(encoded(OFFERS).hex(), RECORDED["offers"])
        self.assertEqual(msgspec.msgpack.decode(bytes.fromhex(RECORDED["offers"]), type=Offers), OFFERS)

    def test_the_table_is_the_recorded_bytes_both_ways(self) -> None:
        self.assertEqual(registry().saved().hex(), RECORDED["table"])
        again = Registry()
        again.restore(bytes.fromhex(RECORDED["table"]))
        self.assertEqual(again.saved().hex(), RECORDED["table"])

    def test_the_snapshot_of_both_is_the_recorded_bytes_both_ways(self) -> None:
        it = DutyCourse()
        it.duties = registry()
        self.assertEqual(it.saved().hex(), RECORDED["snapshot"])
        again = DutyCourse()
        again.restore(bytes.fromhex(RECORDED["snapshot"]))
        self.assertEqual(again.saved().hex(), RECORDED["snapshot"])
