"""The simulator's wire: one JSON object a line, times in whole microseconds."""

import json
import math
from typing import Any

from foxspread import config
from foxspread.model import Action, Decision, Endpoint, Outcome, Readiness

OUTCOMES = {
    "done": Outcome.SUCCESS,
    "err": Outcome.ERROR,
    "busy": Outcome.OVERLOADED,
    "etimedout": Outcome.TIMED_OUT,
    "econnrefused": Outcome.CONNECT_FAILED,
    "econnreset": Outcome.RESET,
    "ecanceled": Outcome.CANCELLED,
    "skipped": Outcome.UNSENT,
}
READINESS = {0: Readiness.REMOVED, 1: Readiness.READY, 2: Readiness.DRAINING}


class Malformed(Exception):
    """A line that the wire does not allow; the text says what is wrong with it."""


def need(where: dict, key: str, kind: type | tuple[type, ...]) -> Any:
    value = where.get(key)
    if not isinstance(value, kind) or isinstance(value, bool) and kind is int:
        names = kind.__name__ if isinstance(kind, type) else "number"
        raise Malformed(f"'{key}' is missing or is not a {names} in {json.dumps(where)[:120]}")
    return value


def read_batch(line: str) -> tuple[float, list]:
    try:
        batch = json.loads(line)
    except ValueError as error:
        raise Malformed(f"not JSON: {error}") from None
    if not isinstance(batch, dict):
        raise Malformed("a batch must be an object")
    return need(batch, "time_us", int) / 1e6, need(batch, "groups", list)


def parts(options: dict, seed: int) -> dict[str, Any]:
    """The settings as keyword arguments of the balancer."""
    try:
        return config.settings(config.Section(options, "options"), seed)
    except config.ConfigError as error:
        raise Malformed(str(error)) from None


def listed(record: Any) -> Endpoint:
    if not isinstance(record, dict):
        raise Malformed("an entry of a list must be an object")
    state = need(record, "readiness", int)
    return Endpoint(
        need(record, "server", str),
        record.get("area") or "",
        record.get("block") or 0,
        float(record.get("power_hint") or 1.0),
        READINESS.get(state, Readiness.DRAINING),
        (record.get("born_us") or 0) / 1e6,
        record.get("class_of_host") or "",
    )


def micros(value: float) -> int:
    return max(1, math.ceil(value * 1e6 - 1e-3))


def action(decision: Decision) -> dict:
    match decision.action:
        case Action.ATTEMPT:
            return {
                "event_type": "TRY",
                "op_id": decision.request_id,
                "server": decision.server,
                "max_wait_us": micros(decision.timeout) if decision.timeout else 0,
            }
        case Action.CANCEL:
            return {"event_type": "RECALL", "op_id": decision.request_id, "shot": decision.number}
        case Action.REJECT:
            return {
                "event_type": "BUSY",
                "op_id": decision.request_id,
                "retry_after_us": micros(decision.retry_after) if decision.retry_after else 0,
            }
        case Action.DROP:
            return {"event_type": "DROP_REQUEST", "op_id": decision.request_id}
        case Action.SUBSCRIBE:
            return {"event_type": "STREAM_CHANGES", "active": True}
