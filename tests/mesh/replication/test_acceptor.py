"""Single messages to an acceptor, and what it must answer and show."""

from testtools import TestCase

from foxspread.mesh.configuration.items import SERVICE, Item
from foxspread.mesh.replication.learner import pack_row
from foxspread.mesh.replication.proposer import Proposer
from foxspread.mesh.replication.acceptor import AHEAD_MOST, DISKS_MOST, Acceptor, Saved


def service(name: str, version: int = 1, tag: int = 0) -> Item:
    return Item(SERVICE, name, version, {"name": name, "tag": tag})


class Accepting(TestCase):
    def test_what_an_accept_brings_along_is_shown(self) -> None:
        # Guards the way of items to a machine that was cut off: its copy had them, its routes never did.
        acceptor = Acceptor("a", Saved((0, "a0"), ("a", "b", "c"), voting=True, known=True))
        accept = {"t": "accept", "b": (2, "b"), "e": 0, "s": (1, "b"), "since": (0, ""), "disks": {}}
        accept |= {"ahead": [pack_row(service("v"), (1, "b"))], "delta": [service("w").packed()]}
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


class Bounds(TestCase):
    def holding(self, me: str, count: int) -> Acceptor:
        acceptor = Acceptor(me, Saved((0, me), ("a", "b", "c"), voting=True, known=True))
        acceptor.learn((count, "w"), [(service(f"v{n}"), (n + 1, "w")) for n in range(count)])
        return acceptor

    def test_a_message_brings_so_much_along_and_no_more(self) -> None:
        # Guards: a member far behind was told all that it lacks in one message, past what a link takes.
        for more, brought in ((0, AHEAD_MOST), (1, None)):
            ahead = self.holding("b", AHEAD_MOST + more)
            asked = {"t": "prepare", "b": (9999, "w"), "e": 0, "s": (0, "")}
            told = [ahead.prepare(asked)[1]["ahead"], ahead.enrol("c", {"disk": (1, "x")})[1]["rows"]]
            self.assertEqual([brought] * 2, [rows if rows is None else len(rows) for rows in told])

    def test_a_proposer_that_is_too_far_behind_proposes_nothing(self) -> None:
        # It waits for the pieces; by then it proposes on what is settled.
        ahead, behind = self.holding("b", AHEAD_MOST + 1), self.holding("a", 1)
        proposer = Proposer(behind, "p", lambda: 0.5)
        out = proposer.submit(0.0, "t", [service("mine")], 9.0)
        heard = proposer.heard(0.0, "b", ahead.prepare(out.sends[0][1])[1])
        heard.sends += proposer.heard(0.0, "c", self.holding("c", 1).prepare(out.sends[0][1])[1]).sends
        self.assertEqual(([], None), ([m for _, m in heard.sends if m["t"] == "accept"], proposer.value))
        behind.learn(ahead.learner.committed_number, ahead.learner.since((0, "")))
        again = proposer.tick(5.0)
        told = [each.prepare(again.sends[0][1])[1] for each in (ahead, behind)]
        sent = [proposer.heard(5.0, me, each).sends for me, each in zip("ba", told)][-1]
        self.assertEqual({"accept"}, {message["t"] for _, message in sent})

    def test_identities_are_noted_of_so_many_members_first(self) -> None:
        # Guards: one more identity for each machine that ever asked, kept for good.
        acceptor = Acceptor("a", Saved((0, "a"), ("a", "b", "c"), voting=True, known=True))
        for name in ("b", "c", *(f"m{n}" for n in range(2 * DISKS_MOST))):
            acceptor.enrol(name, {"disk": (1, name)})
        self.assertEqual(DISKS_MOST, len(acceptor.disks))
        self.assertLessEqual({"b", "c", f"m{2 * DISKS_MOST - 1}"}, set(acceptor.disks))
