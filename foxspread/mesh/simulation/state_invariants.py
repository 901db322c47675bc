"""Invariants of a cluster's state in the exhaustive exploration.

Unlike the invariants of a run, they inspect the acceptors: each voting majority must know all items in force.
"""

from collections.abc import Iterator
from itertools import combinations
from typing import TYPE_CHECKING

import orjson

from foxspread.mesh.configuration.items import OPERATOR_KINDS, Item, Key
from foxspread.mesh.replication.acceptor import MEMBERS_KEY, Acceptor

if TYPE_CHECKING:
    from foxspread.mesh.simulation.cluster_state import ClusterState


def find_violations(state: "ClusterState") -> list[str]:
    """Returns a line for each violation in this state."""
    return [*_check_member_order(state), *_check_answers(state), *_check_majorities(state)]


def read_configuration(acceptors: list[Acceptor]) -> dict[Key, Item]:
    """Returns the configuration that a proposer with promises of exactly these acceptors would continue."""
    newest = max(acceptors, key=lambda each: each.learner.committed_number)
    last = max(acceptors, key=lambda each: each.accepted)
    items = dict(newest.learner.items)
    if last.accepted > newest.learner.committed_number:
        items.update(last.delta)
    return items


def _check_member_order(state: "ClusterState") -> Iterator[str]:
    """Checks that no membership change is in force before the one that it follows."""
    for key, version in state.committed:
        if key == MEMBERS_KEY and version > 1 and (key, version - 1) not in state.committed:
            yield f"members@r{version} was in force before members@r{version - 1}"


def _check_answers(state: "ClusterState") -> Iterator[str]:
    """Checks that acknowledged items are in force and refused ones are not, and that no answer changes."""
    confirmed: dict[tuple[Key, int], Item] = {}
    for item, accepted in state.answers:
        if accepted and confirmed.setdefault((item.key, item.version), item) != item:
            yield f"two contents of {item.kind} {item.name}@r{item.version} were confirmed"
        if item.kind not in OPERATOR_KINDS:  # compare-and-set: a repeated success is refused
            continue
        if accepted and (item, False) in state.answers:
            yield f"{item.name}@r{item.version} was taken and was refused"
        is_in_force = state.contents_in_force.get((item.key, item.version)) == orjson.dumps(item.content)
        if accepted and not is_in_force and not _is_superseded(state, item):
            yield f"{item.name}@r{item.version} was acknowledged and another holds"
        if not accepted and is_in_force:
            yield f"{item.name}@r{item.version} was refused and is in force"


def _is_superseded(state: "ClusterState", item: Item) -> bool:
    """Returns whether a newer version is in force, and no content of this version ever was."""
    newer = any(key == item.key and version > item.version for key, version in state.contents_in_force)
    return newer and (item.key, item.version) not in state.contents_in_force


def _check_majorities(state: "ClusterState") -> Iterator[str]:
    """Checks that each voting majority would continue with all items in force."""
    member_sets = [item for item in state.committed.values() if item.key == MEMBERS_KEY]
    newest = max(member_sets, key=lambda item: item.version, default=None)
    members = newest.content["of"] if newest is not None else state.case.members
    voting = [name for name in members if state.acceptors[name].voting]
    for majority in combinations(voting, len(members) // 2 + 1):
        items = read_configuration([state.acceptors[name] for name in majority])
        for (key, version), content in state.contents_in_force.items():
            item = items.get(key)
            if item is None or item.version < version:
                yield f"{key[1]}@r{version} was in force and {majority} know nothing of it"
            elif item.version == version and orjson.dumps(item.content) != content:
                yield f"{majority} would settle another content of {key[1]}@r{version}"
