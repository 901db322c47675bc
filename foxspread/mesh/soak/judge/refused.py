"""REFUSED: a request that has run is answered with a status that promises that it has not run."""

from collections.abc import Iterator

from foxspread.mesh.soak.history import History
from foxspread.mesh.soak.judge.violation import Violation

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


def judge(history: History) -> Iterator[Violation]:
    """Yields the requests with a false promise; idempotent ones may run whatever was promised."""
    runs = history.runs_by_id()
    for request in history.requests:
        if not request.idempotent and request.status in NOT_RUN_STATUSES and request.id in runs:
            what = f"{request.id} by {request.node} ran and was answered {request.status}"
            yield Violation("REFUSED", request.ended_at, what)
