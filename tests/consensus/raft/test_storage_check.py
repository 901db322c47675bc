import unittest

from foxspread.consensus.messages import (
    RequestVote,
    RequestVoteReply,
    StorageCheck,
    StorageCheckReply,
    StorageRejected,
)
from foxspread.consensus.raft import Role
from foxspread.consensus.records import StorageIdentity
from tests.consensus.raft.nodes import make_durable, receive, sent, starting_node

SEEN = StorageIdentity("disk", 3, "run-3", 10, 20, 0)


def reply_to(shown: StorageIdentity) -> str:
    """Why c1, which has seen `SEEN` of c2, rejects its disk; empty where it doesn't."""
    node = starting_node()
    receive(node, "c2", StorageCheck(), storage=SEEN)
    make_durable(node)
    receive(node, "c2", StorageCheck(), storage=shown)
    rejections = sent(make_durable(node), StorageRejected)
    return rejections[0].reason if rejections else ""


class Peers(unittest.TestCase):
    def test_a_disk_that_went_on_is_accepted(self) -> None:
        for shown in (
            SEEN,
            StorageIdentity("disk", 3, "run-3", 10, 21, 0),
            StorageIdentity("disk", 4, "run-4", 20, 20, 0),
        ):
            with self.subTest(shown):
                self.assertEqual(reply_to(shown), "")

    def test_a_disk_that_lost_writes_is_rejected_by_what_it_lacks(self) -> None:
        for shown, reason in (
            (StorageIdentity("other", 1, "run-1", 0, 0, 0), "another disk: wiped, or copied"),
            (StorageIdentity("disk", 2, "run-2", 0, 5, 0), "an earlier state of the disk"),
            (StorageIdentity("disk", 3, "run-x", 10, 20, 0), "an earlier state of the disk"),
            (StorageIdentity("disk", 4, "run-4", 19, 19, 0), "an earlier state of the disk: 19 writes of 20"),
        ):
            with self.subTest(shown):
                self.assertEqual(reply_to(shown), reason)


class Starting(unittest.TestCase):
    def test_a_starting_node_asks_all_peers(self) -> None:
        node = starting_node()
        node.tick(0.0)
        self.assertEqual(len(sent(make_durable(node), StorageCheck)), 2)

    def test_a_starting_node_does_not_vote(self) -> None:
        node = starting_node()
        receive(node, "c2", RequestVote(1, 0, 0))
        self.assertEqual(sent(make_durable(node), RequestVoteReply), [])

    def test_a_majority_of_replies_makes_it_a_follower(self) -> None:
        node = starting_node("c1", ("c1", "c2", "c3", "c4", "c5"))
        receive(node, "c2", StorageCheckReply(node.incarnation))
        receive(node, "c3", StorageCheckReply("an earlier incarnation"))
        self.assertIs(node.role, Role.STARTING)
        receive(node, "c3", StorageCheckReply(node.incarnation))
        self.assertIs(node.role, Role.FOLLOWER)

    def test_a_rejected_node_is_barred_and_says_why(self) -> None:
        node = starting_node()
        receive(node, "c2", StorageRejected(node.incarnation, "an earlier state of the disk", 0, 0))
        self.assertEqual(
            (node.role, node.barred_reason), (Role.BARRED, "c2 says: an earlier state of the disk")
        )

    def test_a_rejection_of_an_earlier_incarnation_is_ignored(self) -> None:
        node = starting_node()
        receive(node, "c2", StorageRejected("earlier", "an earlier state of the disk", 0, 0))
        self.assertIs(node.role, Role.STARTING)
