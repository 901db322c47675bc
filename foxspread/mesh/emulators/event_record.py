"""What a stand-in saw, row by row. On a file each row is out before what follows from it, so that a crash
takes none along. `at` is by the machine's steady clock: rows of processes on one machine compare."""

import pathlib
import time
from collections.abc import Iterator
from typing import Any, TextIO

import orjson

Row = dict[str, Any]


class EventRecord:
    def __init__(self, path: str | None = None) -> None:
        self.rows: list[Row] = []  # where there is no file
        self.file: TextIO | None = open(path, "a", buffering=1) if path else None

    def add(self, what: str, **more: Any) -> None:
        row = {"at": time.monotonic(), "what": what, **more}
        if self.file is None:
            self.rows.append(row)
        else:
            self.file.write(orjson.dumps(row).decode() + "\n")

    def close(self) -> None:
        if self.file is not None:
            self.file.close()


def rows(path: str | pathlib.Path) -> Iterator[Row]:
    """What is on a file, whole rows only; none where there is no file yet."""
    try:
        text = pathlib.Path(path).read_bytes()
    except FileNotFoundError:
        return
    for line in text.split(b"\n")[:-1]:
        yield orjson.loads(line)
