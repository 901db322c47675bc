"""The servers that beat here. Each start of a server is a life with an id of its own; what a life says is
numbered, so that a late call is known; a life that has ended never comes back. One that says nothing for a
while is gone, until it speaks again.
"""

import math
from dataclasses import dataclass, replace
from typing import Any

from foxspread.mesh.errors import Failure

READY, DRAINING, GONE = "ready", "draining", "gone"
MISSED = 2.6  # beats, after which one that says nothing counts as gone
ENDED_KEPT_S = 120.0  # for which the id of an ended life is known


@dataclass(frozen=True, slots=True)
class Instance:
    id: str
    service: str
    address: str
    zone: str
    berths: int
    state: str
    sequence: int
    warm_in: float = 0.0  # seconds from when the row was made until it is as quick as ever
    edition: str = ""

    def packed(self) -> list:
        return [
            self.id,
            self.service,
            self.address,
            self.zone,
            self.berths,
            self.state,
            self.sequence,
            round(self.warm_in, 2),
            self.edition,
        ]


def unpack_instance(row: list) -> Instance:
    return Instance(*row)


class InstanceTable:
    def __init__(self, heartbeat: float, zone: str = "") -> None:
        self.heartbeat, self.zone = heartbeat, zone
        self.servers: dict[str, Instance] = {}
        self.heard: dict[str, float] = {}
        self.warm_at: dict[str, float] = {}
        self.draining_at: dict[str, float] = {}  # when that was first heard
        self.ended: dict[str, float] = {}

    def beat(self, now: float, id: str, told: dict[str, Any]) -> bool | Failure:
        """True where something changed that others have to know."""
        if id in self.ended:
            return Failure(f"{id} has left", 410)
        old = self.servers.get(id)
        if old is not None and told["sequence"] <= old.sequence:
            return False  # late: what it said after that is known
        state = told["state"]
        if state == DRAINING:  # heard of for the first time, it may have said so to an earlier process here
            self.draining_at.setdefault(id, now if old is not None else -math.inf)
        elif id in self.draining_at:
            state = DRAINING  # there is no way back in one life
        new = Instance(
            id,
            told["service"],
            told["address"],
            told.get("zone") or self.zone,
            int(told.get("berths") or 1),
            state,
            told["sequence"],
            float(told.get("cold_s_time") or 0.0),
            str(told.get("edition", "")),
        )
        self.servers[id], self.heard[id] = new, now
        self.warm_at[id] = now + new.warm_in
        return old is None or replace(old, sequence=0, warm_in=0.0) != replace(new, sequence=0, warm_in=0.0)

    def leave(self, now: float, id: str) -> bool:
        """Also of one that is not known: its beat may come after."""
        self.ended[id] = now
        self.heard.pop(id, None)
        self.warm_at.pop(id, None)
        self.draining_at.pop(id, None)
        return self.servers.pop(id, None) is not None

    def sweep(self, now: float) -> bool:
        """Those that have said nothing for too long are gone: True where any is."""
        silent = [
            id
            for id, at in self.heard.items()
            if now - at > MISSED * self.heartbeat and self.servers[id].state != GONE
        ]
        for id in silent:
            self.servers[id] = replace(self.servers[id], state=GONE)
        for id in [id for id, at in self.heard.items() if now - at > 20 * self.heartbeat]:
            del self.servers[id], self.heard[id], self.warm_at[id]
            self.draining_at.pop(id, None)
        for id in [id for id, at in self.ended.items() if now - at > ENDED_KEPT_S]:
            del self.ended[id]
        return bool(silent)

    def slept(self, seconds: float) -> None:
        """This process stood still: nobody could be heard."""
        self.heard = {id: at + seconds for id, at in self.heard.items()}

    def rows(self, now: float) -> list[list]:
        return [
            replace(each, warm_in=max(0.0, self.warm_at[each.id] - now)).packed()
            for each in self.servers.values()
        ]
