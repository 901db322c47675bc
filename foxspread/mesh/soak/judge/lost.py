"""LOST: a request was read whole, and its connection ends before a complete response.

Only requests that were handed to a server are judged: no client can see whether a process had read another.
Judged are a SIGTERM and a SIGHUP of the machine that took the request, with no unplanned trouble from
`in_touch_s` before the request to its end, and, at any time, connections that were kept.
"""

from collections import defaultdict
from collections.abc import Iterator

from foxspread.mesh.soak.history import Ending, History, Request, Run
from foxspread.mesh.soak.judge.violation import Violation

AFTER_GRACE_S = 1.0  # for which planned work lasts beyond the grace period
EXCUSED_SENT_S = 3.0  # after a SIGTERM: requests sent by then may be at work when the process has to exit
TOLERATED_KEPT = 3  # requests of one machine that may be lost on kept connections


def judge(history: History) -> Iterator[Violation]:
    """Yields the requests that were lost."""
    runs = history.runs_by_id()
    on_kept: dict[str, list[Request]] = defaultdict(list)
    for request in history.requests:
        request_runs = runs.get(request.id, [])
        if not _is_cut(history, request, request_runs):
            continue
        if (why := _planned_work(history, request, request_runs)) is not None:
            yield Violation("LOST", request.ended_at, f"{request.id} by {request.node}: cut {why}")
        elif request.kept and request_runs and not _any_signal(history, request):
            on_kept[request.node].append(request)
    for node, lost in on_kept.items():
        if len(lost) > TOLERATED_KEPT:
            what = f"{node} closed kept connections without a response to {len(lost)} requests that ran"
            yield Violation("LOST", lost[-1].ended_at, what)


def _is_cut(history: History, request: Request, runs: list[Run]) -> bool:
    """Returns whether the connection ended too early without a response, and no server is to blame."""
    if request.ending is not Ending.CLOSED or any(run.fault for run in runs):
        return False
    return bool(runs) and request.ended_at - request.sent_at < request.deadline_s


def _planned_work(history: History, request: Request, runs: list[Run]) -> str | None:
    """Returns beside which planned work the request was cut; None if that does not count."""
    bounds = history.bounds
    if history.unplanned_trouble(request.sent_at - bounds.in_touch_s, request.ended_at):
        return None
    for term in history.signals_to(request.node, ("SIGTERM",)):
        cut_after_s = request.ended_at - term.at
        if 0 <= cut_after_s <= bounds.grace_s + AFTER_GRACE_S:
            if _was_at_work_late(history, term.at, request, runs):
                return None
            sent_after_s = request.sent_at - term.at
            return f"{cut_after_s:.2f} s after SIGTERM, sent {sent_after_s:.2f} s after it"
    for hangup in history.signals_to(request.node, ("SIGHUP",)):
        if request.sent_at <= hangup.at + bounds.config_s and hangup.at <= request.ended_at:
            return f"{request.ended_at - hangup.at:.2f} s after SIGHUP"
    return None


def _was_at_work_late(history: History, term_at: float, request: Request, runs: list[Run]) -> bool:
    """Returns whether the server was at work in the second half of the grace period, on an early request."""
    half_s = history.bounds.grace_s / 2
    if request.sent_at > term_at + EXCUSED_SENT_S or request.ended_at < term_at + half_s:
        return False
    return any(run.ended_at is None or run.ended_at >= term_at + half_s for run in runs)


def _any_signal(history: History, request: Request) -> bool:
    """Returns whether any process got a signal or ended shortly before the request or during it."""
    since = request.sent_at - history.bounds.in_touch_s
    events = (*history.signals, *history.process_ends)
    return any(since <= each.at <= request.ended_at for each in events)
