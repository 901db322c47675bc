"""Explicit-state search: all states that a model can reach are looked at, breadth first, so the first
violation found is one of the shortest.
"""

import time
from collections.abc import Callable, Hashable, Iterator
from dataclasses import dataclass
from typing import Any, Generic, TypeVar

State = TypeVar("State")


@dataclass(frozen=True)
class Transition(Generic[State]):
    """What may happen in a state: its name, the state after it, and the invariant that it violates, empty for
    none."""

    name: str
    state: State
    violation: str = ""


@dataclass
class SearchResult:
    """`complete`: there are no more states within the bounds. `path`: names of the transitions that lead to
    the violation."""

    states: int
    depth: int
    complete: bool
    seconds: float
    violation: str = ""
    path: tuple[str, ...] = ()

    def as_row(self) -> dict[str, Any]:
        """In the form that `--json` prints and the journal keeps, by its first spelling."""
        return {
            "states": self.states,
            "depth": self.depth,
            "whole": self.complete,
            "seconds": self.seconds,
            "fault": self.violation,
            "path": self.path,
        }


def search(
    first: State,
    key: Callable[[State], Hashable],
    transitions: Callable[[State], Iterator[Transition[State]]],
    max_depth: int,
    max_states: int,
) -> SearchResult:
    """From `first` on. States with the same `key` are one."""
    begun, depth = time.monotonic(), 0
    seen, layer = {key(first)}, [(first, ())]
    while layer and depth < max_depth and len(seen) < max_states:
        depth, next_layer = depth + 1, []
        for state, path in layer:
            for transition in transitions(state):
                here = (*path, transition.name)
                if transition.violation:
                    seconds = time.monotonic() - begun
                    return SearchResult(len(seen), depth, False, seconds, transition.violation, here)
                if (found := key(transition.state)) not in seen:
                    seen.add(found)
                    next_layer.append((transition.state, here))
        layer = next_layer
    return SearchResult(len(seen), depth, not layer, time.monotonic() - begun)
