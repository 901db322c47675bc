"""Keys by which equal states of a cluster are recognised, and copies of its protocol objects."""

from copy import copy as shallow_copy
from dataclasses import replace
from hashlib import blake2b
from typing import Any, TypeVar

from foxspread.mesh.replication.acceptor import Acceptor
from foxspread.mesh.replication.learner import Learner
from foxspread.mesh.replication.proposer import Proposer

KEY_BYTES = 16  # among a million states, two share a key with a probability of 1e-26

ProtocolObject = TypeVar("ProtocolObject", Acceptor, Proposer, Learner)


def state_digest(rows: list[Any]) -> bytes:
    """Returns a key for these values, a digest of their `repr`."""
    return blake2b(repr(rows).encode(), digest_size=KEY_BYTES).digest()


def machine_key(acceptor: Acceptor, proposer: Proposer) -> bytes:
    """Returns equal bytes for two states of a machine from which it behaves in the same way."""
    learner = acceptor.learner
    rows = (
        (
            acceptor.disk,
            acceptor.voting,
            acceptor.promised,
            acceptor.accepted,
            sorted(acceptor.disks.items()),
        ),
        sorted((item.key, item.version, str(item.content)) for item in acceptor.delta.values()),
        (
            learner.committed_number,
            sorted(learner.changed_at.items()),
            sorted(map(str, learner.items.values())),
        ),
        sorted(map(str, acceptor.enrolment_replies.items())),
        (
            proposer.incarnation,
            proposer.highest_counter,
            proposer.proposal_number,
            len(proposer.waiting),
            len(proposer.running),
        ),
        (sorted(map(str, proposer.promises.items())), str(sorted(proposer.acceptances))),
        sorted(map(str, (proposer.proposed_delta or {}).values())),
    )
    return repr(rows).encode()


def clone_protocol_object(original: ProtocolObject) -> ProtocolObject:
    """Returns a copy with containers of its own.

    The contents are shared, since nothing modifies them, except for pending calls, which are copied too.
    """
    clone = shallow_copy(original)
    for name, value in vars(original).items():
        if isinstance(value, dict | list | set):
            vars(clone)[name] = shallow_copy(value)
        elif isinstance(value, Learner):
            vars(clone)[name] = clone_protocol_object(value)
    for name in ("waiting", "running"):
        if name in vars(clone):
            vars(clone)[name] = [replace(call) for call in vars(clone)[name]]
    return clone
