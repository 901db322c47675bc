"""Event record of the simulated clients, servers and endpoint list source, in rows. Rules and figures are
computed from it alone. A row is one event seen by one party; both engines write the same rows.

| what | who | number | text |
| --- | --- | --- | --- |
| asked | client | seconds until the client gives up | category; `label` holds the operation's id |
| answered | client | status; `label` holds the retry-after time in seconds, if any | body |
| left | client | | |
| arrived | server | work | category; `label` holds the idempotency label |
| connected | server | | |
| turned, dropped, ran, cut | server | | |
| made | server | status | body |
| broke | server | | failure of the answer: error, reset, mid |
| told | server | start time, 0 for long ago | state in the endpoint list that this instance received |
| up | server | full capacity in core seconds per second | zone/cell/group/cold from/cold time |
| cold | server | 1 | begins a slow start |
| down, fell, fault | server, or name of a fault | seconds that a fault lasts | reason of a stop |
"""

import hashlib
import json
from collections.abc import Iterable, Iterator
from typing import IO, NamedTuple


class LedgerError(Exception):
    """Raised when a ledger file cannot be read or a run exceeds its limit on rows."""


class Row(NamedTuple):
    at: int  # microseconds since the start of the run
    what: str
    who: str = ""
    lookup: str = ""
    instance: str = ""
    number: float = 0.0
    text: str = ""
    label: str = ""


class Ledger:
    def __init__(self, max_rows: int = 20_000_000) -> None:
        self.rows: list[Row] = []
        self.max_rows = max_rows

    def write(
        self,
        at: int,
        what: str,
        who: str = "",
        lookup: str = "",
        instance: str = "",
        number: float = 0.0,
        text: str = "",
        label: str = "",
    ) -> None:
        if (
            len(self.rows) >= self.max_rows
        ):  # stops a scenario whose events generate further events without end
            raise LedgerError(f"more than {self.max_rows} rows: run stopped")
        self.rows.append(Row(at, what, who, lookup, instance, number, text, label))

    def lines(self) -> Iterator[bytes]:
        for row in self.rows:
            yield json.dumps(row, separators=(",", ":")).encode() + b"\n"

    def digest(self) -> str:
        """Returns the SHA-256 of all rows as JSON lines, equal on all machines."""
        found = hashlib.sha256()
        for line in self.lines():
            found.update(line)
        return found.hexdigest()

    def save(self, file: IO[bytes]) -> None:
        file.writelines(self.lines())


def read(lines: Iterable[bytes | str]) -> list[Row]:
    """Reads rows written by `Ledger.save`; an error names the number of the invalid line."""
    rows = []
    for number, line in enumerate(lines, 1):
        try:
            at, what, *rest = json.loads(line)
            rows.append(Row(int(at), str(what), *rest))
        except (ValueError, TypeError) as error:
            raise LedgerError(f"line {number} is no row: {error}") from None
    return rows
