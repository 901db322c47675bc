"""Single messages to an acceptor, and what it must answer and show."""

from testtools import TestCase

from foxspread.mesh.configuration.items import SERVICE, Item
from foxspread.mesh.replication.acceptor import DISK_IDENTITIES_LIMIT, MISSING_ROWS_LIMIT, Acceptor
from foxspread.mesh.replication.learner import NONE, CommittedItem, pack_row
from foxspread.mesh.replication.messages import Accept, Accepted, Enroll, Nack, Prepare
from foxspread.mesh.replication.proposer import Proposer
from foxspread.mesh.replication.stored_state import RecoveredState, SetMeta


def service(name: str, version: int = 1, tag: int = 0) -> Item:
    return Item(SERVICE, name, version, {"name": name, "tag": tag})


class Acceptance(TestCase):
    def test_missing_rows_of_an_accept_are_reported_as_new_items(self) -> None:
        # Guards the way of items to a machine that was cut off: its copy had them, its routes never did.
        acceptor = Acceptor(
            "a", RecoveredState((0, "a0"), ("a", "b", "c"), voting=True, members_confirmed=True)
        )
        missing = [pack_row(service("v"), (1, "b"))]
        response = acceptor.accept(Accept((2, "b"), 0, (1, "b"), (service("w"),), {}, NONE, missing))
        self.assertIsInstance(response.reply, Accepted)
        self.assertEqual([service("v")], response.new_items)

    def test_a_rolled_back_disk_enrols_like_an_empty_one(self) -> None:
        # Guards: an older file put back votes with what it has forgotten.
        old, *others = (
            Acceptor(me, RecoveredState((0, me), ("a", "b", "c"), voting=True, members_confirmed=True))
            for me in "abc"
        )
        for each in others:
            each.prepare(Prepare((5, "w"), 0, NONE))
        old.reset_identity("x")
        self.assertIsNone(old.prepare(Prepare((2, "v"), 0, NONE)).reply)
        self.assertIsNone(old.accept(Accept((5, "w"), 0, NONE, (), {})).reply)
        for each in others:
            self.assertFalse(old.serves)
            old.take_enrolled(each.me, each.enroll("a", Enroll(old.disk)).reply)
        self.assertEqual((True, (5, "w")), (old.serves, old.promised))
        self.assertIsInstance(old.prepare(Prepare((2, "v"), 0, NONE)).reply, Nack)
        self.assertEqual((1, "x"), others[0].disks["a"])

    def test_an_empty_disk_adopts_the_members_of_the_enrolment_replies(self) -> None:
        # Guards: seeds that were exchanged while its disk was lost; it proposed under a set that never was.
        others = [
            Acceptor(me, RecoveredState((0, me), ("a", "b", "c"), voting=True, members_confirmed=True))
            for me in "bc"
        ]
        empty = Acceptor("a", RecoveredState((1, "x"), ("a", "e", "f")))
        for each in others:
            empty.take_enrolled(each.me, each.enroll("a", Enroll(empty.disk)).reply)
        self.assertEqual((True, ("a", "b", "c")), (empty.serves, empty.members.of))
        self.assertIn(SetMeta("members", ["a", "b", "c"]), empty.initial_writes())


class Limits(TestCase):
    def acceptor_with_items(self, me: str, count: int) -> Acceptor:
        acceptor = Acceptor(me, RecoveredState((0, me), ("a", "b", "c"), voting=True, members_confirmed=True))
        acceptor.learn((count, "w"), [CommittedItem(service(f"v{n}"), (n + 1, "w")) for n in range(count)])
        return acceptor

    def test_missing_rows_over_the_limit_are_left_out(self) -> None:
        # Guards: a member far behind was told all that it lacks in one message, past what a link takes.
        for extra, expected in ((0, MISSING_ROWS_LIMIT), (1, None)):
            ahead = self.acceptor_with_items("b", MISSING_ROWS_LIMIT + extra)
            promise = ahead.prepare(Prepare((9999, "w"), 0, NONE)).reply
            enrolled = ahead.enroll("c", Enroll((1, "x"))).reply
            sent = [promise.missing_rows, enrolled.rows]
            self.assertEqual([expected] * 2, [rows if rows is None else len(rows) for rows in sent])

    def test_a_proposer_too_far_behind_waits_for_a_snapshot(self) -> None:
        # It waits for the pieces; by then it proposes on what is settled.
        ahead, behind = (
            self.acceptor_with_items("b", MISSING_ROWS_LIMIT + 1),
            self.acceptor_with_items("a", 1),
        )
        proposer = Proposer(behind, "p", lambda: 0.5)
        out = proposer.submit(0.0, "t", [service("mine")], 9.0)
        prepare = out.sends[0].message
        sends = proposer.receive(0.0, "b", ahead.prepare(prepare).reply).sends
        sends += proposer.receive(0.0, "c", self.acceptor_with_items("c", 1).prepare(prepare).reply).sends
        accepts = [message for _, message in sends if isinstance(message, Accept)]
        self.assertEqual(([], None), (accepts, proposer.proposed_delta))
        behind.learn(ahead.learner.committed_number, ahead.learner.changed_since(NONE))
        prepare = proposer.tick(5.0).sends[0].message
        promises = [each.prepare(prepare).reply for each in (ahead, behind)]
        sends = [proposer.receive(5.0, me, promise).sends for me, promise in zip("ba", promises)][-1]
        self.assertEqual({Accept}, {type(message) for _, message in sends})

    def test_recorded_disk_identities_are_bounded_members_first(self) -> None:
        # Guards: one more identity for each machine that ever asked, kept for good.
        acceptor = Acceptor(
            "a", RecoveredState((0, "a"), ("a", "b", "c"), voting=True, members_confirmed=True)
        )
        for name in ("b", "c", *(f"m{n}" for n in range(2 * DISK_IDENTITIES_LIMIT))):
            acceptor.enroll(name, Enroll((1, name)))
        self.assertEqual(DISK_IDENTITIES_LIMIT, len(acceptor.disks))
        self.assertLessEqual({"b", "c", f"m{2 * DISK_IDENTITIES_LIMIT - 1}"}, set(acceptor.disks))
