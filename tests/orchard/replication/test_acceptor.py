"""Single messages to an acceptor, and what it must answer and show."""

from testtools import TestCase

from foxspread.orchard.configuration.items import SERVICE, Item
from foxspread.orchard.replication.copy import row
from foxspread.orchard.replication.acceptor import Saved, Acceptor


def service(name: str, version: int = 1, tag: int = 0) -> Item:
    return Item(SERVICE, name, version, {"name": name, "tag": tag})


class Accepting(TestCase):
    def test_what_an_accept_brings_along_is_shown(self) -> None:
        # Guards the way of items to a machine that was cut off: its copy had them, its routes never did.
        acceptor = Acceptor("a", Saved((0, "a0"), ("a", "b", "c"), voting=True, known=True))
        accept = {"t": "accept", "b": (2, "b"), "e": 0, "s": (1, "b"), "since": (0, ""), "disks": {}}
        accept |= {"ahead": [row(service("v"), (1, "b"))], "delta": [service("w").packed()]}
        _, answer, new = acceptor.accept(accept)
        self.assertEqual(("accepted", [service("v")]), (answer["t"], new))

    def test_a_copy_from_before_enrols_like_an_empty_disk(self) -> None:
        # Guards: an older file put back votes with what it has forgotten.
        old, *others = (
            Acceptor(me, Saved((0, me), ("a", "b", "c"), voting=True, known=True)) for me in "abc"
        )
        asked = {"t": "prepare", "b": (5, "w"), "e": 0, "s": (0, "")}
        for each in others:
            each.prepare(asked)
        old.forget("x")
        self.assertIsNone(old.prepare({**asked, "b": (2, "v")})[1])
        self.assertIsNone(old.accept({**asked, "t": "accept", "disks": {}, "delta": []})[1])
        for each in others:
            self.assertFalse(old.serves)
            old.take_in(each.me, each.enrol("a", {"disk": old.disk})[1])
        self.assertEqual((True, (5, "w")), (old.serves, old.promised))
        self.assertEqual("nack", old.prepare({**asked, "b": (2, "v")})[1]["t"])
        self.assertEqual((1, "x"), others[0].disks["a"])

    def test_an_empty_disk_takes_the_members_from_those_that_know_them(self) -> None:
        # Guards: seeds that were exchanged while its disk was lost; it proposed under a set that never was.
        others = [Acceptor(me, Saved((0, me), ("a", "b", "c"), voting=True, known=True)) for me in "bc"]
        empty = Acceptor("a", Saved((1, "x"), ("a", "e", "f")))
        for each in others:
            empty.take_in(each.me, each.enrol("a", {"disk": empty.disk})[1])
        self.assertEqual((True, ("a", "b", "c")), (empty.serves, empty.members.of))
        self.assertIn(("meta", "members", ["a", "b", "c"]), empty.first())
