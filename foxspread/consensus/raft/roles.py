"""The roles of a Raft node, and the only transitions between them.

`LEGAL_TRANSITIONS` is the documentation of the life cycle as well as its check: a transition that is
missing there raises `InvariantViolation`. Follower, candidate and leader are those of [R] 5.1, the
pre-candidate is that of [T] 9.6; starting and barred exist because a disk may be lost or rolled back (see
`storage_check`).
"""

import enum


class Role(enum.Enum):
    """What a node does at present; the values are shown by `coordinator status`."""

    STARTING = "starting"  # asks its peers whether they know of later writes of its disk
    FOLLOWER = "follower"
    PRE_CANDIDATE = "asking"  # asks whether it would win an election, before it spends a term on one
    CANDIDATE = "candidate"
    LEADER = "leader"
    BARRED = "barred"  # its disk lost acknowledged writes, or fails: it acknowledges nothing more


_BARRED_BECAUSE = "a peer knows of later writes; the disk fails"

# Role, each role that may follow it, and what leads there.
LEGAL_TRANSITIONS: dict[Role, dict[Role, str]] = {
    Role.STARTING: {
        Role.FOLLOWER: "a majority, itself included, knows of no later write; or the node is new",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.FOLLOWER: {
        Role.PRE_CANDIDATE: "no leader was heard for an election timeout",
        Role.CANDIDATE: "the leader transfers leadership",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.PRE_CANDIDATE: {
        Role.FOLLOWER: "a leader, or a later term, was observed",
        Role.PRE_CANDIDATE: "no majority replied within the election timeout",
        Role.CANDIDATE: "a majority would vote for it; the leader transfers leadership",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.CANDIDATE: {
        Role.FOLLOWER: "a leader, or a later term, was observed",
        Role.PRE_CANDIDATE: "no majority voted within the election timeout",
        Role.LEADER: "a majority voted for it in this term",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.LEADER: {
        Role.FOLLOWER: "a later term; no majority replied for an election timeout; it was removed",
        Role.BARRED: _BARRED_BECAUSE,
    },
    Role.BARRED: {},
}
