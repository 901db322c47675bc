"""UNASKED: a server runs what no client sent, or what was changed on its way, or for another caller."""

from collections.abc import Iterator

from foxspread.mesh.soak.history import History, Request, Run
from foxspread.mesh.soak.judge.violation import Violation


def judge(history: History) -> Iterator[Violation]:
    """Yields the runs that differ from the request with their id."""
    requests = {each.id: each for each in history.requests}
    for run in history.runs:
        if (difference := _difference(run, requests.get(run.id))) is not None:
            yield Violation("UNASKED", run.began_at, f"{run.id} at {run.instance}: {difference}")


def _difference(run: Run, request: Request | None) -> str | None:
    if request is None:
        return "no client sent it"
    if run.path != request.path:
        return f"path {run.path} for {request.path}"
    if run.body_checksum != request.body_checksum:
        return "another body"
    if run.caller != request.service:
        return f"caller {run.caller} for {request.service}"
    return None
