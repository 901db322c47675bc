"""The roles of a Raft node, and the legal transitions between them.

`LEGAL_TRANSITIONS` documents the life cycle and is also enforced: any other transition raises
`InvariantViolation`. Follower, candidate and leader are the roles of [R] 5.1, the pre-candidate that of
[T] 9.6. Starting and barred are additions for disks that may be lost or rolled back (see `storage_check`).
"""

import enum


class Role(enum.Enum):
    """Role of a node; `coordinator status` prints the values."""

    STARTING = "starting"  # asks peers whether they know of later writes of this node's disk
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks whether an election would succeed, before starting one in a new term
    CANDIDATE = "candidate"
    LEADER = "leader"
    BARRED = "barred"  # acknowledges nothing more: the disk failed, or lost acknowledged writes


_BARRED_BECAUSE = "a peer knows of later writes; the disk failed"

# The roles that may follow each role, with the causes of the transition.
LEGAL_TRANSITIONS: dict[Role, dict[Role, str]] = {
    Role.STARTING: {
        Role.FOLLOWER: "a majority, including this node, knows of no later write; the node is new",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.FOLLOWER: {
        Role.PRE_CANDIDATE: "no contact with a leader for an election timeout",
        Role.CANDIDATE: "the leader transfers leadership",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.PRE_CANDIDATE: {
        Role.FOLLOWER: "contact with a leader; a later term",
        Role.PRE_CANDIDATE: "no majority replied within the election timeout",
        Role.CANDIDATE: "a majority granted the pre-vote; the leader transfers leadership",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.CANDIDATE: {
        Role.FOLLOWER: "contact with a leader; a later term",
        Role.PRE_CANDIDATE: "no majority voted within the election timeout",
        Role.LEADER: "a majority granted its vote in this term",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.LEADER: {
        Role.FOLLOWER: "a later term; no majority replied for an election timeout; the node was removed",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.BARRED: {},
}
