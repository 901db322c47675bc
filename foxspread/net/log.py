"""The log: loguru, written by a thread of its own."""

import queue
import sys
import threading

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"


class Sink:
    """Guards the loop against a full pipe: lines wait for a thread, and those over the bound are dropped and
    counted."""

    def __init__(self, stream, most: int = 10_000) -> None:
        self.stream, self.lost = stream, 0
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
                self.stream.write(line)
                self.stream.flush()
            except OSError:   # nobody reads it any more: the sidecar goes on without
                pass

    def close(self, patience: float = 0.3) -> None:
        try:
            self.lines.put_nowait(None)
        except queue.Full:
            return
        self.thread.join(patience)


def start(level: str = "INFO") -> Sink:
    sink = Sink(sys.stderr)
    logger.remove()
    logger.add(sink, level=level, format=FORMAT, backtrace=False, diagnose=False)
    return sink
