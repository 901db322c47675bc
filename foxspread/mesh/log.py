"""Structured logs: one line of key=value pairs for each event, to standard error (logfmt).

A record of the logger `foxspread.mesh` has the event's name as its message and the pairs in `fields`;
`KeyValueFormatter` formats them as one line. docs/operators/oncall-mesh.md lists the events.
"""

import logging
import sys

LOGGER = logging.getLogger("foxspread.mesh")
TIME_FORMAT = "%H:%M:%S"
NEEDS_QUOTES = ' "=\n\r'  # a value that contains one of these characters is quoted


class KeyValueFormatter(logging.Formatter):
    """Formatter of records as `at=... level=... node=... event=... key=value`."""

    def __init__(self, node: str) -> None:
        super().__init__(datefmt=TIME_FORMAT)
        self.node = node

    def format(self, record: logging.LogRecord) -> str:
        """Returns the line of one event, without a line break."""
        at = f"{self.formatTime(record, self.datefmt)}.{int(record.msecs):03d}"
        return f"at={at} level={record.levelname} node={self.node} {format_event(record)}"


def format_event(record: logging.LogRecord) -> str:
    """Returns the event and its fields, which form the end of each line."""
    fields = getattr(record, "fields", {})
    return " ".join([f"event={record.getMessage()}", *(f"{k}={format_value(v)}" for k, v in fields.items())])


def format_value(value: object) -> str:
    """Formats a value: floats with four decimal places, texts in quotes where `NEEDS_QUOTES` demands it."""
    text = f"{value:.4f}" if isinstance(value, float) else str(value)
    if text and not any(each in text for each in NEEDS_QUOTES):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', "'").replace("\n", " ").replace("\r", " ")
    return f'"{escaped}"'


def configure_logging(node: str, level: int = logging.INFO) -> None:
    """Sends the mesh's log to standard error, with the name `node` in each line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter(node))
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def log_event(event: str, level: int = logging.INFO, **fields: object) -> None:
    """Logs one event with its fields, in the order of the arguments."""
    LOGGER.log(level, event, extra={"fields": fields})
