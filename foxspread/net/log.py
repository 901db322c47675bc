"""The log: loguru, written by a thread of its own."""

import os
import queue
import threading
import time

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"


class Sink:
    """Guards the loop against a full pipe: lines wait for a thread, and those over the bound are dropped and
    counted. They are gathered for a moment, since each waking of the thread takes the core from the loop."""

    def __init__(self, descriptor: int, most: int = 10_000, gather: float = 0.02) -> None:
        self.descriptor, self.lost, self.gather = descriptor, 0, gather
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
            time.sleep(self.gather)
            batch = [line]
            while batch[-1] is not None and len(batch) < 200 and not self.lines.empty():
                batch.append(self.lines.get())
            lost, self.lost = self.lost, 0
            told = [f"{lost} lines lost\n"] if lost else []
            # Not by sys.stderr: a thread that hangs in there would break the end of the process.
            data = "".join([each for each in batch if each is not None] + told).encode(errors="replace")
            try:
                while data:
                    data = data[os.write(self.descriptor, data) :]
            except OSError:  # nobody reads it any more: the sidecar goes on without
                pass
            if batch[-1] is None:
                return

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
