"""What an instance has learnt of the servers and still means the same for the next one: written and read as
plain values (JSON). Bookkeeping without a decision; docs/migration.md says what carries over and why.
"""

import math
from typing import Any, Protocol

from foxspread.model import Mark

MOST = 4000   # marks in a record, those that stand longest first


class Learner(Protocol):
    """What is used of a `foxspread.logic.Balancer`."""

    categories: dict[str, Any]
    servers: Any
    marks: Any
    measures: Any
    touched: set[str]
    view_until: float


def learnt(it: Learner) -> dict[str, Any]:
    """A record names its server by id and start: one that has started anew is another."""
    marks = []
    for what in sorted(it.marks.marked, key=lambda what: (-it.marks.of[what].until, str(what)))[:MOST]:
        server, category = (what, None) if isinstance(what, str) else what
        mark = it.marks.of[what]
        marks.append({"server": server, "started": it.servers.known[server].started, "category": category,
                      "until": mark.until, "spell": mark.spell})
    return {"version": 1, "marks": marks, "turns": dict(it.measures.turn)}


def number(value: Any) -> float:
    """Guards against a mark without an end: until NaN no time is later than that."""
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is no number")
    return float(value)


def take_over(it: Learner, now: float, told: Any) -> int:
    """After the first list. Returns how many marks stand again; raises ValueError on what is no record,
    having taken nothing. A mark stands for its spell at the longest, however wrong a clock wrote it."""
    try:
        if told["version"] != 1:
            raise ValueError(f"version {told['version']!r} is not known")
        turns = {str(kind): min(1.0, max(0.05, number(turn))) for kind, turn in told["turns"].items()}
        marks = [(str(row["server"]), number(row["started"]), row["category"] and str(row["category"]),
                  number(row["until"]), min(64.0, max(0.0, number(row["spell"]))))
                 for row in told["marks"][:MOST]]
    except (KeyError, TypeError, AttributeError, OverflowError) as error:
        raise ValueError(f"not a record of what was learnt: {error!r}") from None
    it.measures.turn.update(turns)
    it.measures.heard.update(dict.fromkeys(turns, 20))   # known: the first answers do not overrule them
    count = 0
    for server, started, category, until, spell in marks:
        entry, what = it.servers.known.get(server), server if category is None else (server, category)
        if entry is not None and entry.started == started and (category is None or category in it.categories):
            it.marks.of[what] = Mark(until=min(until, now + spell), spell=spell)
            it.marks.marked.add(what)
            it.touched.add(server)
            count += 1
    it.view_until = now
    return count
