"""The rules by which a soak is judged, one module each.

Each judge is a function from the history to the violations of its rule. Bounds and excuses are those of the
platform's rules.
"""

from collections.abc import Callable, Iterator

from foxspread.mesh.soak.history import History
from foxspread.mesh.soak.judge import configuration, fault, lost, mixed, refused, twice, unasked
from foxspread.mesh.soak.judge.violation import Violation

Judge = Callable[[History], Iterator[Violation]]
JUDGES: tuple[Judge, ...] = (
    lost.judge,
    twice.judge,
    refused.judge,
    mixed.judge,
    unasked.judge,
    configuration.judge,
    fault.judge,
)


def violations(history: History) -> list[Violation]:
    """Returns all violations, in the order of time."""
    found = [violation for judge in JUDGES for violation in judge(history)]
    return sorted(found, key=lambda violation: violation.at)
