"""Fault: processes that end by themselves, or go over their memory, with no trouble there.

The rule counts three ends of a process on a tenth of the machines. A soak has few machines and a short time,
so each end that no signal explains is reported. Excused, as in the platform's rule on own ends, is one that
comes during trouble on the machine or within a second of it; a start by the platform is such trouble.
"""

from collections.abc import Iterator

from foxspread.mesh.soak.history import History, ProcessEnd
from foxspread.mesh.soak.judge.violation import Violation

ENDING_SIGNALS = ("SIGTERM", "SIGKILL")
TROUBLE_LASTS_S = 1.0


def judge(history: History) -> Iterator[Violation]:
    """Yields the ends that no signal explains, and the processes with memory over the limit."""
    for end in history.process_ends:
        if not _is_explained(history, end):
            yield Violation("Fault", end.at, f"{end.node} ended by itself with code {end.code}")
    over = set()
    for sample in history.memory:
        if sample.mib > history.bounds.memory_mib and sample.node not in over:
            over.add(sample.node)
            yield Violation("Fault", sample.at, f"{sample.node} has {sample.mib:.0f} MiB of memory")


def _is_explained(history: History, end: ProcessEnd) -> bool:
    earlier = [each.at for each in history.process_ends if each.node == end.node and each.at < end.at]
    started_after = max(earlier, default=float("-inf"))
    if any(started_after < each.at <= end.at for each in history.signals_to(end.node, ENDING_SIGNALS)):
        return True
    starts = (each.at for each in history.process_starts if each.node == end.node)
    return any(end.at - TROUBLE_LASTS_S <= at <= end.at for at in starts)
