"""The heartbeat, by which a server reports its state at intervals, and its JSON form.

The platform defines the keys (see its page on servers); no other module spells them.
"""

from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from foxspread.mesh.errors import InvalidRequest
from foxspread.mesh.schema import (
    NON_NEGATIVE_INTEGER,
    REQUIRED_STRING,
    STRING,
    FieldRule,
    first_violation,
    is_address,
    is_integer,
    is_number,
)


class InstanceState(StrEnum):
    """State of an instance; the values are those on the wire."""

    READY = "ready"
    DRAINING = "draining"  # announced and final: it finishes its requests and accepts no new ones
    GONE = "gone"  # no heartbeat for too long; never announced


READY, DRAINING, GONE = InstanceState  # on the request path a global is looked up faster than an enum member

SERVICE, ADDRESS, ZONE, CAPACITY, STATE = "service", "address", "zone", "berths", "state"
SLOW_START_S, SEQUENCE, SOFTWARE_VERSION = "cold_s_time", "sequence", "edition"

LOWEST_SEQUENCE = -(2**63)
FIELD_RULES = {
    SERVICE: REQUIRED_STRING,
    ADDRESS: FieldRule(is_address, "host:port", True),
    ZONE: STRING,
    CAPACITY: NON_NEGATIVE_INTEGER,
    STATE: FieldRule(lambda each: each in (READY, DRAINING), f"{READY} or {DRAINING}", True),
    SLOW_START_S: FieldRule(lambda each: is_number(each, float("-inf")), "seconds"),
    SEQUENCE: FieldRule(lambda each: is_integer(each, LOWEST_SEQUENCE), "a whole number", True),
}


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One heartbeat of one incarnation of a server; later heartbeats have a higher sequence."""

    service: str
    address: str  # host:port
    state: InstanceState
    sequence: int
    zone: str = ""  # "": the zone of the process that receives it
    capacity: int = 1  # limit on concurrent requests
    slow_start_s: float = 0.0  # time until it is warmed up
    software_version: str = ""


def parse_heartbeat(data: Any) -> Heartbeat | InvalidRequest:
    """Returns the heartbeat for a JSON value, or a failure that names the invalid key and its value."""
    if (violation := first_violation(data, FIELD_RULES)) is not None:
        return InvalidRequest(violation)
    return Heartbeat(
        service=data[SERVICE],
        address=data[ADDRESS],
        state=InstanceState(data[STATE]),
        sequence=data[SEQUENCE],
        zone=data.get(ZONE) or "",
        capacity=int(data.get(CAPACITY) or 1),
        slow_start_s=float(data.get(SLOW_START_S) or 0.0),
        software_version=str(data.get(SOFTWARE_VERSION, "")),
    )
