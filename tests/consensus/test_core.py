"""Single points of the core that the seeds don't look at one by one."""

import unittest
from unittest import mock

from foxspread.consensus import clock, wire
from foxspread.consensus.coordinator import Coordinator, MAX_PENDING_CALLS, Status
from foxspread.consensus.errors import InvariantViolation, RequestRejected
from foxspread.consensus.raft import LEGAL_TRANSITIONS, RaftNode, RaftSettings, Role
from foxspread.consensus.errors import ForeignMessageError
from foxspread.consensus.messages import AppendEntries, Envelope, StorageCheck
from foxspread.consensus.records import MemberAddress, StorageIdentity, StoredState
from foxspread.consensus.wire import FORMAT, encode
from foxspread.consensus.versions import (
    PutVersion,
    RequestIdReused,
    VersionConflict,
    VersionStore,
    VersionWritten,
    digest,
)

STAMP = StorageIdentity("other", 1, "run", 0, 0)


def alone() -> Coordinator:
    """A fleet of one, which leads."""
    host = Coordinator(
        0.0, "c1", "lab", StoredState("i", 1), {"c1": MemberAddress("a:1")}, RaftSettings(), lambda: 0.5
    )
    saved(host, 0.0)
    host.tick(1.0)
    saved(host, 1.0)
    assert host.raft.role is Role.LEADER
    return host


def saved(host: Coordinator, now: float) -> list:
    """Takes what is to be done, as a disk that is done at once, and gives the answers."""
    answers = []
    while True:
        out = host.take(now)
        answers += out.answers
        if not out.writes:
            return answers
        host.confirmed(now, out.writes[-1].number)


class TestCore(unittest.TestCase):
    def test_only_legal_transitions(self) -> None:
        self.assertEqual(set(LEGAL_TRANSITIONS), set(Role))
        member = RaftNode(
            0.0,
            "c1",
            "lab",
            StoredState("i", 1),
            {each: MemberAddress(each) for each in "abc"},
            RaftSettings(),
            lambda: 0.5,
        )
        with self.assertRaisesRegex(InvariantViolation, "from starting to leader in term 0"):
            member._transition_to(Role.LEADER)

    def test_two_leaders_of_a_term_are_a_contradiction(self) -> None:
        host = alone()
        with self.assertRaisesRegex(InvariantViolation, "c1 and c2 both lead term 1"):
            host.receive(2.0, Envelope("lab", FORMAT, "c2", "c1", STAMP, AppendEntries(1, 0, 0, [], 0, 0)))

    def test_too_much_is_turned_away_at_once(self) -> None:
        host = alone()
        for at in range(600):
            host.put(2.0, at, PutVersion(f"r{at}", b"x"))
        told = [each for each in host.take(2.0).answers]
        self.assertEqual({each.status for each in told}, {Status.REJECTED})
        self.assertEqual((len(told), told[0].value), (600 - 512, "512 entries wait already"))
        for at in range(1000, 1000 + MAX_PENDING_CALLS):
            host.get(2.0, at)
        self.assertIn(
            f"{MAX_PENDING_CALLS} calls wait already", {each.value for each in host.take(2.0).answers}
        )

    def test_what_is_not_known_is_said_within_the_patience(self) -> None:
        host = alone()
        host.put(2.0, 1, PutVersion("r", b"x"))
        host.take(2.0)  # and its disk never answers
        host.tick(3.9)
        self.assertEqual(host.take(3.9).answers, [])
        host.tick(4.0)
        self.assertEqual(
            [(each.token, each.status) for each in host.take(4.0).answers], [(1, Status.UNKNOWN)]
        )

    def test_ten_thousand_versions_then_a_fresh_member(self) -> None:
        host = alone()
        host.min_compaction_bytes = 200_000
        for at in range(10_000):
            host.put(2.0, at, PutVersion(f"r{at}", b"content %d" % at))
            saved(host, 2.0)
        self.assertEqual(host.versions.latest, 10_000)
        self.assertLess(len(host.raft.log.entries), 10_000)
        fresh = Coordinator(2.0, "c2", "lab", StoredState("j", 1), {}, RaftSettings(), lambda: 0.5)
        host.change_membership(2.0, 20_000, "c2", "a:2")
        for beat in range(400):
            now = 2.0 + beat / 10
            for one, other in ((host, fresh), (fresh, host)):
                one.tick(now)
                out = one.take(now)
                while out.writes or out.messages:
                    if out.writes:
                        one.confirmed(now, out.writes[-1].number)
                    for envelope in out.messages:
                        other.receive(now, envelope)
                    out = one.take(now)
        self.assertEqual(fresh.versions.by_number, host.versions.by_number)
        self.assertEqual(host.raft.members["c2"].voter, True)

    def test_refusals_say_why(self) -> None:
        host = alone()
        saved(host, 1.0)
        for call, text in (
            (lambda: host.raft.change_membership(2.0, "c1", None), "'c1' is the last that votes"),
            (lambda: host.raft.change_membership(2.0, "c9", None), "'c9' is no member"),
            (lambda: host.raft.change_membership(2.0, "c1", "a:2"), "'c1' is a member already"),
            (lambda: host.raft.transfer_leadership(2.0, "c1"), "'c1' is no other member that votes"),
        ):
            with self.subTest(text), self.assertRaisesRegex(RequestRejected, text):
                call()
        host.raft.change_membership(2.0, "c2", "a:2")
        with self.assertRaisesRegex(RequestRejected, "a change of members is under way"):
            host.raft.change_membership(2.0, "c3", "a:3")

    def test_envelopes_of_others_are_refused_by_name(self) -> None:
        sound = Envelope("lab", FORMAT, "c2", "c1", STAMP, StorageCheck())
        self.assertEqual(wire.decode_for(encode(sound), "lab", "c1"), sound)
        for data, text in (
            (
                encode(Envelope("x", FORMAT, "c2", "c1", STAMP, StorageCheck())),
                "fleet 'x', this one is 'lab'",
            ),
            (encode(Envelope("lab", 9, "c2", "c1", STAMP, StorageCheck())), "format 9, this member speaks 1"),
            (encode(Envelope("lab", FORMAT, "c2", "c3", STAMP, StorageCheck())), "addressed to 'c3'"),
            (encode(["lab", FORMAT, "c2", "c1", 3]), "can't be read"),
            (b"\xc1garbage", "no message of ours"),
            (b"", "no message of ours"),
            (encode(3), "no message of ours"),
        ):
            with self.subTest(text), self.assertRaisesRegex(ForeignMessageError, text):
                wire.decode_for(data, "lab", "c1")

    def test_the_clock_goes_on_while_the_machine_is_suspended(self) -> None:
        asked = []
        with mock.patch.object(
            clock.time, "clock_gettime", lambda which: asked.append(which) or 100.0 * len(asked)
        ):
            found = clock.Clock(1.02)
            self.assertAlmostEqual(found(), 103.0)
        self.assertEqual(set(asked), {clock.time.CLOCK_BOOTTIME})


class TestVersions(unittest.TestCase):
    def test_compare_and_set_and_repeats(self) -> None:
        versions = VersionStore()
        first = versions.put(PutVersion("r1", b"one", 0, "a", "why"))
        self.assertEqual((first.version.number, first.version.digest), (1, digest(b"one")))
        self.assertEqual(versions.put(PutVersion("r1", b"one", 0)), first)
        self.assertEqual(versions.put(PutVersion("r1", b"other")), RequestIdReused(first.version))
        self.assertEqual(versions.put(PutVersion("r2", b"two", 0)), VersionConflict(0, first.version))
        self.assertEqual(versions.put(PutVersion("r3", b"two", 1)).version.follows, 1)
        again = VersionStore()
        again.restore(versions.saved())
        self.assertEqual(
            (again.by_number, again.by_request, again.latest), (versions.by_number, versions.by_request, 2)
        )
        self.assertIsInstance(again.put(PutVersion("r1", b"one")), VersionWritten)

    def test_old_ones_go(self) -> None:
        with mock.patch("foxspread.consensus.versions.MAX_VERSIONS", 3):
            versions = VersionStore()
            for at in range(5):
                versions.put(PutVersion(f"r{at}", b"x"))
        self.assertEqual(
            (sorted(versions.by_number), len(versions.by_request), versions.get(1)), ([3, 4, 5], 3, None)
        )
        self.assertEqual(versions.put(PutVersion("r9", b"x")).version.number, 6)
