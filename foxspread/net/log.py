"""The log: loguru, written by a thread of its own."""

import os
import queue
import threading

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"


class Sink:
    """Guards the loop against a full pipe: lines wait for a thread, and those over the bound are dropped and
    counted."""

    def __init__(self, descriptor: int, most: int = 10_000) -> None:
        self.descriptor, self.lost = descriptor, 0
        self.lines: queue.Queue[str | None] = queue.Queue(most)
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def __call__(self, line: str) -> None:
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.lost += 1

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            try:
                if self.lost:
                    lost, self.lost = self.lost, 0
                    line += f"{lost} lines lost\n"
                # Not by sys.stderr: a thread that hangs in there would break the end of the process.
                data = line.encode(errors="replace")
                while data:
                    data = data[os.write(self.descriptor, data):]
            except OSError:   # nobody reads it any more: the sidecar goes on without
                pass

    def close(self, patience: float = 0.3) -> None:
        try:
            self.lines.put(None, timeout=patience)
        except queue.Full:
            return
        self.thread.join(patience)


def start(level: str = "INFO") -> Sink:
    sink = Sink(2)
    logger.remove()
    logger.add(sink, level=level, format=FORMAT, backtrace=False, diagnose=False)
    return sink
