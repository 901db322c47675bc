"""The instances of servers beside this process, tracked by their heartbeats.

Each start of a server is an incarnation with its own id. Heartbeats are numbered, so that a late one is
recognised. An incarnation that has ended never returns. One that misses several heartbeats counts as gone
until its next heartbeat (a failure detector by timeout). This module does no I/O.
"""

import math
from dataclasses import dataclass, replace

from foxspread.mesh.errors import InstanceEnded
from foxspread.mesh.registry.heartbeat import DRAINING, GONE, READY, Heartbeat, InstanceState

__all__ = ["DRAINING", "GONE", "READY", "Instance", "InstanceTable", "unpack_instance"]

GONE_AFTER_HEARTBEATS = 2.6  # heartbeat intervals without a heartbeat after which an instance is gone
REMOVED_AFTER_HEARTBEATS = 20  # heartbeat intervals after which a silent instance is removed
ENDED_ID_RETENTION_S = 120.0  # time for which heartbeats of an ended incarnation are refused

_STATES = {state.value: state for state in InstanceState}


@dataclass(frozen=True, slots=True)
class Instance:
    """One incarnation of a server, in the form that sidecars exchange."""

    id: str
    service: str
    address: str  # host:port
    zone: str
    capacity: int  # limit on concurrent requests
    state: InstanceState | str  # str: a state that only later versions of the software know
    sequence: int
    slow_start_s: float = 0.0  # time until it is warmed up, counted from the creation of the row
    software_version: str = ""

    def packed(self) -> list:
        """Returns the row that is sent to peers."""
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.capacity,
            str(self.state),
            self.sequence,
            round(self.slow_start_s, 2),
            self.software_version,
        ]


def unpack_instance(row: list) -> Instance:
    """Returns the instance for a row made by `Instance.packed`."""
    return Instance(*row[:5], _STATES.get(row[5], row[5]), *row[6:])


class InstanceTable:
    """Instances that send their heartbeats to this process; times are seconds of the caller's clock."""

    def __init__(self, heartbeat_s: float, zone: str = "") -> None:
        self.heartbeat_s, self.zone = heartbeat_s, zone
        self.by_id: dict[str, Instance] = {}
        self.last_heartbeat_at: dict[str, float] = {}  # by id, as the tables below
        self.slow_start_until: dict[str, float] = {}
        self.draining_since: dict[str, float] = {}  # time of the first heartbeat that reported draining
        self.ended_at: dict[str, float] = {}

    def record_heartbeat(self, now: float, id: str, heartbeat: Heartbeat) -> bool | InstanceEnded:
        """Processes a heartbeat; returns whether it changes anything that other processes have to know."""
        if id in self.ended_at:
            return InstanceEnded(f"{id} has left")
        old = self.by_id.get(id)
        if old is not None and heartbeat.sequence <= old.sequence:
            return False  # late: a newer heartbeat has been processed
        new = self._instance_of(id, heartbeat, self._state_of(now, id, heartbeat.state, old is None))
        self.by_id[id], self.last_heartbeat_at[id] = new, now
        self.slow_start_until[id] = now + new.slow_start_s
        return old is None or _published(old) != _published(new)

    def _state_of(self, now: float, id: str, reported: InstanceState, is_new: bool) -> InstanceState:
        """Returns the state in force: draining is final for an incarnation, whatever it reports later."""
        if reported == DRAINING:
            # An instance whose first heartbeat reports draining may have reported it to an earlier process.
            self.draining_since.setdefault(id, -math.inf if is_new else now)
            return DRAINING
        return DRAINING if id in self.draining_since else reported

    def _instance_of(self, id: str, heartbeat: Heartbeat, state: InstanceState) -> Instance:
        return Instance(
            id=id,
            service=heartbeat.service,
            address=heartbeat.address,
            zone=heartbeat.zone or self.zone,
            capacity=heartbeat.capacity,
            state=state,
            sequence=heartbeat.sequence,
            slow_start_s=heartbeat.slow_start_s,
            software_version=heartbeat.software_version,
        )

    def record_leave(self, now: float, id: str) -> bool:
        """Records that this incarnation has ended; returns whether it was known.

        An unknown id is recorded too, since a heartbeat of it may arrive later.
        """
        self.ended_at[id] = now
        self.last_heartbeat_at.pop(id, None)
        self.slow_start_until.pop(id, None)
        self.draining_since.pop(id, None)
        return self.by_id.pop(id, None) is not None

    def sweep(self, now: float) -> bool:
        """Marks silent instances as gone and removes old entries; returns whether any is newly gone."""
        newly_gone = [
            id
            for id, at in self.last_heartbeat_at.items()
            if now - at > GONE_AFTER_HEARTBEATS * self.heartbeat_s and self.by_id[id].state != GONE
        ]
        for id in newly_gone:
            self.by_id[id] = replace(self.by_id[id], state=GONE)
        removed_after_s = REMOVED_AFTER_HEARTBEATS * self.heartbeat_s
        for id in [id for id, at in self.last_heartbeat_at.items() if now - at > removed_after_s]:
            del self.by_id[id], self.last_heartbeat_at[id], self.slow_start_until[id]
            self.draining_since.pop(id, None)
        for id in [id for id, at in self.ended_at.items() if now - at > ENDED_ID_RETENTION_S]:
            del self.ended_at[id]
        return bool(newly_gone)

    def exclude_suspension(self, seconds: float) -> None:
        """Excludes a suspension of this process from the silence of instances.

        No heartbeat could be received during these seconds.
        """
        self.last_heartbeat_at = {id: at + seconds for id, at in self.last_heartbeat_at.items()}

    def rows(self, now: float) -> list[list]:
        """Returns the rows of all instances, with their slow start as of `now`."""
        return [
            replace(each, slow_start_s=max(0.0, self.slow_start_until[each.id] - now)).packed()
            for each in self.by_id.values()
        ]


def _published(instance: Instance) -> Instance:
    """Returns the instance without the fields that change with each heartbeat: others need not know them."""
    return replace(instance, sequence=0, slow_start_s=0.0)
