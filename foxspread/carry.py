"""What an instance has learnt of the servers and still means the same for the next one: written and read as
plain values (JSON). Bookkeeping without a decision; docs/migration.md says what carries over and why.
"""

from typing import Any, Protocol

from foxspread.model import Mark


class Learner(Protocol):
    """What is used of a `foxspread.logic.Balancer`."""

    servers: Any
    marks: Any
    measures: Any
    touched: set[str]
    view_until: float


def learnt(it: Learner) -> dict[str, Any]:
    """A record names its server by id and start: one that has started anew is another."""
    marks = []
    for what in sorted(it.marks.marked, key=str):
        server, category = (what, None) if isinstance(what, str) else what
        entry, mark = it.servers.known.get(server), it.marks.of[what]
        if entry is not None:
            marks.append({"server": server, "started": entry.started, "category": category,
                          "until": mark.until, "spell": mark.spell})
    return {"version": 1, "marks": marks, "turns": dict(it.measures.turn)}


def take_over(it: Learner, now: float, told: Any) -> int:
    """After the first list. Returns how many marks stand again; raises ValueError on what is no record,
    having taken nothing. A mark stands for its spell at the longest, however wrong a clock wrote it."""
    try:
        if told["version"] != 1:
            raise ValueError(f"version {told['version']!r} is not known")
        turns = {str(kind): min(1.0, max(0.05, float(turn))) for kind, turn in told["turns"].items()}
        marks = [(str(row["server"]), float(row["started"]), row["category"], float(row["until"]),
                  min(64.0, max(0.0, float(row["spell"])))) for row in told["marks"]]
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"not a record of what was learnt: {error!r}") from None
    it.measures.turn.update(turns)
    count = 0
    for server, started, category, until, spell in marks:
        entry, what = it.servers.known.get(server), server if category is None else (server, category)
        if entry is not None and entry.started == started and what in it.marks.of:
            it.marks.of[what] = Mark(until=min(until, now + spell), spell=spell)
            it.marks.marked.add(what)
            it.touched.add(server)
            count += 1
    it.view_until = now
    return count
