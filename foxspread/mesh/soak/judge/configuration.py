"""CONFIG: a read of the configuration shows an older version than was acknowledged `config_s` before it.

A replica that gives no configuration at the end breaks the rule too.
"""

from collections.abc import Iterator

from foxspread.mesh.soak.history import ConfigurationRead, History
from foxspread.mesh.soak.judge.violation import Violation


def judge(history: History) -> Iterator[Violation]:
    """Yields the reads that are too old, or lack a route."""
    for node in history.silent_replicas:
        yield Violation("CONFIG", history.ended_at, f"{node} gives no configuration at the end")
    acknowledged = sorted(
        (each.acknowledged_at, each.route, each.version)
        for each in history.changes
        if each.acknowledged_at is not None
    )
    newest: dict[str, int] = {}  # by route: version that was acknowledged `config_s` before the read
    number = 0
    for read in sorted(history.reads, key=lambda each: each.sent_at):
        while (
            number < len(acknowledged) and acknowledged[number][0] + history.bounds.config_s <= read.sent_at
        ):
            _, route, version = acknowledged[number]
            newest[route] = max(version, newest.get(route, 0))
            number += 1
        yield from _older_routes(read, newest)


def _older_routes(read: ConfigurationRead, newest: dict[str, int]) -> Iterator[Violation]:
    for route, version in newest.items():
        seen = read.versions.get(route, 0)
        if seen < version:
            what = f"{read.node} shows {route} r{seen}, r{version} was acknowledged"
            yield Violation("CONFIG", read.sent_at, what)
