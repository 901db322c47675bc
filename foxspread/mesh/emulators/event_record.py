"""The event record of one emulator: a row for each event it saw.

In a file each row is written before the event has any consequence, so that a crash loses none. `at` is the
machine's monotonic clock, so that rows of processes on one machine can be compared.
"""

import pathlib
import time
from collections.abc import Iterator
from typing import Any, TextIO

import orjson

Row = dict[str, Any]


class EventRecord:
    """Appends rows to the file at `path`, or keeps them in `rows` if there is no path."""

    def __init__(self, path: str | None = None) -> None:
        self.rows: list[Row] = []  # empty if there is a file
        self.file: TextIO | None = open(path, "a", buffering=1) if path else None

    def add(self, what: str, **fields: Any) -> None:
        """Records an event; `what` is its name."""
        row = {"at": time.monotonic(), "what": what, **fields}
        if self.file is None:
            self.rows.append(row)
        else:
            self.file.write(orjson.dumps(row).decode() + "\n")

    def close(self) -> None:
        """Closes the file, if there is one."""
        if self.file is not None:
            self.file.close()


def read_rows(path: str | pathlib.Path) -> Iterator[Row]:
    """Yields the complete rows of a file; none if the file does not exist yet."""
    try:
        text = pathlib.Path(path).read_bytes()
    except FileNotFoundError:
        return
    for line in text.split(b"\n")[:-1]:
        yield orjson.loads(line)
