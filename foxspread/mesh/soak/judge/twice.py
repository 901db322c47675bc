"""TWICE: a request that is not idempotent is run more than once."""

from collections.abc import Iterator

from foxspread.mesh.soak.history import History
from foxspread.mesh.soak.judge.violation import Violation


def judge(history: History) -> Iterator[Violation]:
    """Yields the requests that were run again though they may run only once."""
    runs = history.runs_by_id()
    for request in history.requests:
        times = len(runs.get(request.id, ()))
        if not request.idempotent and times > 1:
            yield Violation("TWICE", request.sent_at, f"{request.id} by {request.node} ran {times} times")
