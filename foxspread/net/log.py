"""The log: loguru, with a thread that writes."""

import os
import queue
import threading
import time

from loguru import logger

FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} {message}"
MAX_LINES_PER_WRITE = 200


class LogWriter:
    """Keeps a full pipe from blocking the event loop: lines are queued for a thread, and lines beyond the
    queue's limit are dropped and counted. The thread collects lines for a moment before it writes, since
    each time it wakes it takes the core from the loop."""

    def __init__(self, descriptor: int, max_lines: int = 10_000, batch_delay: float = 0.02) -> None:
        self.descriptor, self.dropped, self.batch_delay = descriptor, 0, batch_delay
        self.lines: queue.Queue[str | None] = queue.Queue(max_lines)  # None ends the thread
        self.thread = threading.Thread(target=self._write, daemon=True)
        self.thread.start()

    def __call__(self, line: str) -> None:
        """Queues a line."""
        try:
            self.lines.put_nowait(line)
        except queue.Full:
            self.dropped += 1

    def _write(self) -> None:
        while (line := self.lines.get()) is not None:
            time.sleep(self.batch_delay)
            batch = [line]
            while batch[-1] is not None and len(batch) < MAX_LINES_PER_WRITE and not self.lines.empty():
                batch.append(self.lines.get())
            dropped, self.dropped = self.dropped, 0
            note = [f"{dropped} lines lost\n"] if dropped else []
            # Not through sys.stderr: a thread blocked in it would break the exit of the process.
            data = "".join([text for text in batch if text is not None] + note).encode(errors="replace")
            try:
                while data:
                    data = data[os.write(self.descriptor, data) :]
            except OSError:  # the reader is gone: the sidecar continues without a log
                pass
            if batch[-1] is None:
                return

    def close(self, timeout: float = 0.3) -> None:
        """Writes what is queued, for at most about twice `timeout` seconds."""
        try:
            self.lines.put(None, timeout=timeout)
        except queue.Full:
            return
        self.thread.join(timeout)


def start(level: str = "INFO") -> LogWriter:
    """Sends the log to standard error."""
    writer = LogWriter(2)
    logger.remove()
    logger.add(writer, level=level, format=FORMAT, backtrace=False, diagnose=False)
    return writer
