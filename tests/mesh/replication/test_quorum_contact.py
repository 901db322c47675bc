"""Contact with a majority: what counts as one, and how old what is held may be."""

import itertools

import testtools

from foxspread.mesh.replication.quorum_contact import (
    ASK_S,
    REPORTS_MOST,
    ROUNDS_MOST,
    TELL_S,
    QuorumContact,
    Report,
    StartHistory,
    unpack_report,
)
from foxspread.mesh.replication.membership import MemberSet

OLD, NEW, NEWER = (3, "a"), (5, "b"), (6, "a")
THREE = MemberSet(0, ("m1", "m2", "m3"))


def said(member, seen=NEW, votes=True, epoch=0):
    return Report(member, votes, epoch, OLD, seen)


class Contacts(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.quorum_contact = QuorumContact("m1", 100)

    def asked(self, now, own=None):
        return self.quorum_contact.ask(now, own or said("m1", OLD))

    def told(self, now, asking, told):
        self.quorum_contact.heard(now, told.member, QuorumContact.answer(asking, told))

    def test_an_age_counts_from_the_asking_that_a_majority_answered(self):
        self.assertIsNone(self.quorum_contact.age(0.0))
        asking = self.asked(10.0)
        self.assertIsNone(self.asked(10.0 + 0.9 * ASK_S))
        self.quorum_contact.held(THREE, NEW)
        self.assertIsNone(self.quorum_contact.age(10.1))  # itself alone is no majority
        self.told(10.2, asking, said("m2"))
        self.quorum_contact.held(THREE, OLD)
        self.assertIsNone(self.quorum_contact.age(10.2))  # what the other has seen is not held yet
        self.quorum_contact.held(THREE, NEW)
        self.assertAlmostEqual(0.2, self.quorum_contact.age(10.2))
        self.assertTrue(self.quorum_contact.current(10.0 + TELL_S))
        self.assertFalse(self.quorum_contact.current(10.1 + TELL_S))
        # A process that stood still finds its age grown, whatever it hears then that was sent before.
        self.told(30.0, asking, said("m3"))
        self.quorum_contact.held(THREE, NEW)
        self.assertAlmostEqual(20.0, self.quorum_contact.age(30.0))
        self.assertFalse(self.quorum_contact.current(30.0))

    def test_only_a_majority_of_voting_members_under_the_latest_epoch_counts(self):
        # Guards: a wiped member, a standby, a stranger's name, an answer to an earlier life, an older epoch.
        for case in (
            [said("m2", votes=False)],
            [said("s1"), said("s2")],
            [said("m2", epoch=1)],
            [said("m3", OLD, False, 1), said("m2")],
        ):
            self.quorum_contact = QuorumContact("m1", 100)
            asking = self.asked(1.0)
            for each in case:
                self.told(1.1, asking, each)
            self.quorum_contact.held(THREE, NEWER)
            self.assertIsNone(self.quorum_contact.age(1.2), case)
        self.quorum_contact = QuorumContact("m1", 100)
        self.told(1.0, self.asked(1.0), said("m3", OLD, False, 1))
        asking = self.asked(2.0)
        self.told(2.1, {"n": 7}, said("m2"))
        self.quorum_contact.heard(2.1, "m3", QuorumContact.answer(asking, said("m2")))
        self.quorum_contact.held(MemberSet(1, THREE.of), NEWER)
        self.assertIsNone(self.quorum_contact.age(2.2))
        self.told(2.2, asking, said("m2", epoch=1))
        self.quorum_contact.held(MemberSet(1, THREE.of), NEWER)
        self.assertAlmostEqual(0.3, self.quorum_contact.age(2.3))

    def test_what_a_standby_has_seen_is_not_waited_for(self):
        asking = self.asked(1.0)
        self.told(1.1, asking, said("s1", NEWER))
        self.told(1.1, asking, said("m2"))
        self.quorum_contact.held(THREE, NEW)
        self.assertAlmostEqual(0.2, self.quorum_contact.age(1.2))

    def test_one_that_does_not_vote_wants_a_majority_of_others(self):
        for me, own in (("m1", said("m1", votes=False)), ("s1", said("s1"))):
            self.quorum_contact = QuorumContact(me)
            asking = self.asked(1.0, own)
            self.told(1.1, asking, said("m2"))
            self.quorum_contact.held(THREE, NEW)
            self.assertIsNone(self.quorum_contact.age(1.1))
            self.told(1.1, asking, said("m3"))
            self.quorum_contact.held(THREE, NEW)
            self.assertIsNotNone(self.quorum_contact.age(1.1))

    def test_all_orders_of_answers_and_of_what_is_held(self):
        # Guards: in whatever order answers of two askings and rows come, an age never counts from an asking
        # whose answers tell of something that is not held.
        for order in itertools.permutations(range(5)):
            self.quorum_contact = QuorumContact("m1")
            first, second = self.asked(1.0), self.asked(2.0)
            committed_number = OLD
            steps = (
                lambda first=first: self.told(2.1, first, said("m2", OLD)),
                lambda first=first: self.told(2.1, first, said("m3", NEW)),
                lambda second=second: self.told(2.1, second, said("m2", NEW)),
                lambda second=second: self.told(2.1, second, said("m3", NEWER)),
                None,
            )
            heard = set()
            for each in order:
                if steps[each] is None:
                    committed_number = NEW
                else:
                    steps[each]()
                heard.add(each)
                self.quorum_contact.held(THREE, committed_number)
                if self.quorum_contact.as_of == 2.0:
                    self.assertTrue({2, 4} <= heard, order)
                elif self.quorum_contact.as_of == 1.0:
                    self.assertTrue(0 in heard or {1, 4} <= heard, order)

    def test_what_is_kept_is_bounded(self):
        for number in range(3 * ROUNDS_MOST):
            self.asked(float(number))
        self.assertEqual(ROUNDS_MOST, len(self.quorum_contact.askings))
        for number in range(2 * REPORTS_MOST):
            self.told(100.0, {"n": 0}, said(f"s{number}"))
        self.assertEqual(REPORTS_MOST, len(self.quorum_contact.reports))
        self.assertEqual(REPORTS_MOST + 1, len(self.quorum_contact.hears(100.5)))
        self.assertEqual(("m1",), self.quorum_contact.hears(102.0))

    def test_a_report_comes_as_it_was_sent(self):
        sent = Report("m1", True, 3, OLD, NEW, "z", True, ("m1", "m2"), (2, "d"))
        self.assertEqual(sent, unpack_report(sent.packed()))


class OlderDisks(testtools.TestCase):
    def test_a_copy_from_before_is_found_out(self) -> None:
        # Guards: a file put back votes with what it has forgotten.
        one, other = (3, "p"), (9, "p")
        for told, past in (
            (("b", (0, "d"), 6, other), False),  # a start more
            (("b", (0, "d"), 5, one), True),  # as often begun, less promised: a copy since its last start
            (("b", (0, "d"), 4, other), True),
            (("b", (1, "e"), 1, one), False),  # it came back empty, and is known to be another
            (("b", (0, "e"), 1, one), False),  # one that was never synced
            (("a", (0, "d"), 5, one), False),  # the same life, held up on its way
        ):
            starts = StartHistory()
            self.assertFalse(starts.told("m", "a", (0, "d"), 5, one))
            self.assertFalse(starts.told("m", "a", (0, "d"), 5, other))
            self.assertEqual(past, starts.told("m", *told), told)
        starts = StartHistory()
        starts.told("m", "a", (2, "d"), 5, one)
        self.assertTrue(starts.told("m", "b", (1, "x"), 9, other))  # of before it was wiped
        self.assertTrue(starts.told("m", "b", (1, "x"), 9, other))  # and is so until it has enrolled
        self.assertFalse(starts.told("m", "b", (3, "y"), 9, one))

    def test_as_many_as_are_heard_are_kept(self) -> None:
        starts = StartHistory()
        for n in range(REPORTS_MOST + 1):
            starts.told(f"m{n}", "a", (0, "d"), 5, (1, "p"))
        self.assertEqual(REPORTS_MOST, len(starts.of))
        self.assertNotIn("m0", starts.of)
