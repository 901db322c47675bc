"""Exhaustive exploration of small cases, as the model checker TLC explores a specification, but with the
protocol classes of production. Any message in flight may arrive next, any proposer may start an attempt, and
machines may crash or be wiped as often as the case allows. Known states are not explored again.

The search is depth first, which keeps the frontier small; a case bounds its actions, not its depth. The
explorers in `lab/processes` search breadth first up to a depth, for the shortest path, and generate successor
states where this one applies an action to a clone. They share only a loop over a set of keys with this one,
so the code is separate.
"""

from dataclasses import dataclass
from typing import TypeAlias

from foxspread.mesh.replication.learner import unpack_row
from foxspread.mesh.replication.messages import Enroll, Enrolled
from foxspread.mesh.simulation.actions import Action, Deliver
from foxspread.mesh.simulation.cluster_state import Case, ClusterState, decode_message
from foxspread.mesh.simulation.machines import ProtocolClasses

DEFAULT_STATE_LIMIT = 1_000_000

# The path before the last action, and that action. States share their paths, so each costs one tuple.
LinkedPath: TypeAlias = tuple["LinkedPath", str] | tuple[()]


@dataclass
class Exploration:
    """Result of an exploration."""

    states: int
    steps: int
    complete: bool  # True if all states of the case were visited
    violations: list[str]
    path: list[str]  # the actions to the first violation


def explore(
    case: Case, classes: ProtocolClasses = ProtocolClasses(), state_limit: int = DEFAULT_STATE_LIMIT
) -> Exploration:
    """Explores a case until it finds a violation, reaches the limit or has visited all states."""
    first = ClusterState.create(case, classes)
    seen, steps = {first.key()}, 0
    frontier: list[tuple[ClusterState, LinkedPath]] = [(first, ())]
    while frontier:
        last, path = frontier.pop()
        for action in last.actions():
            state = last.clone()
            text = _describe(state, action)
            state.apply(action)
            steps += 1
            if state.violations:
                return Exploration(len(seen), steps, False, state.violations, [*_path_texts(path), text])
            state.prune()
            if (key := state.key()) not in seen:
                if len(seen) >= state_limit:
                    return Exploration(len(seen), steps, False, [], [])
                seen.add(key)
                frontier.append((state, (path, text)))
    return Exploration(len(seen), steps, True, [], [])


def _path_texts(path: LinkedPath) -> list[str]:
    actions = []
    while path:
        path, text = path
        actions.append(text)
    return actions[::-1]


def _describe(state: ClusterState, action: Action) -> str:
    """Returns an action as text; for a delivery, the parts of the message."""
    if not isinstance(action, Deliver) or not action.replied:
        return str(action)
    sender, to, packed = state.in_flight[action.index]
    message = decode_message(packed)
    is_enrolment = isinstance(message, Enroll | Enrolled)
    number = list(message.disk if is_enrolment else message.proposal_number)
    items = [item for item, _ in map(unpack_row, getattr(message, "rows", None) or ())]
    items += getattr(message, "delta", ())
    named = [f"{item.name}@r{item.version}" for item in items]
    return " ".join([sender, ">", to, message.kind, str(number), *named])
