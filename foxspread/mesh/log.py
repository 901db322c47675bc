"""Logs: one line of key=value pairs an event, to standard error."""

import logging
import sys

LOGGER = logging.getLogger("orchard")


def configure_logging(node: str, level: int = logging.INFO) -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        logging.Formatter(
            f"at=%(asctime)s.%(msecs)03d level=%(levelname)s node={node} %(message)s", "%H:%M:%S"
        )
    )
    LOGGER.handlers[:] = [handler]
    LOGGER.setLevel(level)
    LOGGER.propagate = False


def log_event(event: str, level: int = logging.INFO, **fields: object) -> None:
    """One event; a value with a space, a quote or an equals sign in it is quoted."""
    if LOGGER.isEnabledFor(level):
        LOGGER.log(
            level, "%s", " ".join([f"event={event}", *(f"{k}={_plain(v)}" for k, v in fields.items())])
        )


def _plain(value: object) -> str:
    text = f"{value:.4f}" if isinstance(value, float) else str(value)
    if not text or any(each in text for each in ' "=\n\r'):
        return '"' + text.replace("\\", "\\\\").replace('"', "'").replace("\n", " ").replace("\r", " ") + '"'
    return text
