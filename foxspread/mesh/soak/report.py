"""The report of a soak, as lines of text and as JSON."""

from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from foxspread.mesh.soak.history import History, MemorySample
from foxspread.mesh.soak.judge import violations
from foxspread.mesh.soak.judge.violation import Violation
from foxspread.mesh.soak.plan import SoakPlan

MAX_VIOLATIONS_SHOWN = 20
PARTS_OF_TIME = 10


@dataclass(frozen=True, slots=True)
class SoakReport:
    """What came of one plan."""

    plan: SoakPlan
    requests: int
    endings: dict[str, int]  # by status, or by how a request ended without a response
    signals: dict[str, int]  # by name
    process_ends: int
    changes: int
    changes_acknowledged: int
    reads: int
    peak_mib: dict[str, float]  # by node
    peak_mib_over_time: tuple[float, ...]  # of all nodes, in equal parts of the time
    violations: tuple[Violation, ...]

    @property
    def passed(self) -> bool:
        """Whether no rule was broken."""
        return not self.violations

    def lines(self) -> list[str]:
        """Returns the report as lines of text."""
        plan = self.plan
        most = max(self.peak_mib, key=lambda node: self.peak_mib[node], default="-")
        lines = [
            f"seed {plan.seed}: {plan.replicas} replicas, {plan.sidecars} sidecars, {plan.duration_s:g} s",
            f"  requests   {self.requests}: {_counts(self.endings)}",
            f"  signals    {_counts(self.signals) or 'none'}; {self.process_ends} ends of processes",
            f"  changes    {self.changes_acknowledged} of {self.changes} acknowledged, {self.reads} reads",
            f"  memory     {self.peak_mib.get(most, 0.0):.0f} MiB at most, {most}",
        ]
        lines.append(
            f"  over time  {' '.join(f'{each:.0f}' for each in self.peak_mib_over_time)} MiB at most"
        )
        shown = self.violations[:MAX_VIOLATIONS_SHOWN]
        lines += [f"  broken     {each.rule} {each.what}" for each in shown]
        lines.append(f"  {'passed' if self.passed else f'{len(self.violations)} violations'}")
        return lines

    def to_json(self) -> dict[str, Any]:
        """Returns the report as a JSON object."""
        return asdict(self)


def make_report(plan: SoakPlan, history: History) -> SoakReport:
    """Judges the history of a plan and sums it up."""
    peaks: dict[str, float] = {}
    for sample in history.memory:
        peaks[sample.node] = max(sample.mib, peaks.get(sample.node, 0.0))
    return SoakReport(
        plan=plan,
        requests=len(history.requests),
        endings=dict(
            Counter(str(each.status) if each.status else str(each.ending) for each in history.requests)
        ),
        signals=dict(Counter(each.name for each in history.signals)),
        process_ends=len(history.process_ends),
        changes=len(history.changes),
        changes_acknowledged=sum(each.acknowledged_at is not None for each in history.changes),
        reads=len(history.reads),
        peak_mib=peaks,
        peak_mib_over_time=_peaks_over_time(history.memory),
        violations=tuple(violations(history)),
    )


def _peaks_over_time(samples: list[MemorySample]) -> tuple[float, ...]:
    if not samples:
        return ()
    first, last = samples[0].at, samples[-1].at
    peaks = [0.0] * PARTS_OF_TIME
    for sample in samples:
        part = int(PARTS_OF_TIME * (sample.at - first) / (last - first)) if last > first else 0
        part = min(part, PARTS_OF_TIME - 1)
        peaks[part] = max(peaks[part], sample.mib)
    return tuple(peaks)


def _counts(counts: dict[str, int]) -> str:
    ordered = sorted(counts.items(), key=lambda each: -each[1])
    return ", ".join(f"{name} {count}" for name, count in ordered)
