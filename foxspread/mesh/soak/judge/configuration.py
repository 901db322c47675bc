"""CONFIG: a read of the configuration shows an older version than was acknowledged `config_s` before it.

A replica that gives no configuration at the end breaks the rule too.
"""

from collections.abc import Iterator

from foxspread.mesh.soak.history import History
from foxspread.mesh.soak.judge.violation import Violation


def judge(history: History) -> Iterator[Violation]:
    """Yields the reads that are too old, or lack a route."""
    for node in history.silent_replicas:
        yield Violation("CONFIG", history.ended_at, f"{node} gives no configuration at the end")
    for read in history.reads:
        for change in history.changes:
            if change.acknowledged_at is None:
                continue
            if change.acknowledged_at + history.bounds.config_s > read.sent_at:
                continue
            seen = read.versions.get(change.route, 0)
            if seen < change.version:
                what = f"{read.node} shows {change.route} r{seen}, r{change.version} was acknowledged"
                yield Violation("CONFIG", read.sent_at, what)
