"""MIXED: a success that is not the whole response of the server to this request."""

from collections.abc import Iterator

from foxspread.mesh.soak.history import History
from foxspread.mesh.soak.judge.violation import Violation


def judge(history: History) -> Iterator[Violation]:
    """Yields the responses that their clients found wrong."""
    for request in history.requests:
        if request.response_error:
            what = f"{request.id} by {request.node}: {request.response_error}"
            yield Violation("MIXED", request.ended_at, what)
