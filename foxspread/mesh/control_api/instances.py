"""The resource of servers: their beats, and their leaving."""

from collections.abc import Awaitable, Callable

import orjson

from foxspread.mesh.registry.incarnations import DRAINING, READY, InstanceTable
from foxspread.mesh.log import log_event
from foxspread.mesh.errors import Failure
from foxspread.mesh.schema import (
    COUNT,
    NEEDED_TEXT,
    TEXT,
    FieldRule,
    first_fault,
    is_number,
    is_address,
    is_integer,
)

BEAT = {
    "service": NEEDED_TEXT,
    "address": FieldRule(is_address, "host:port", True),
    "zone": TEXT,
    "berths": COUNT,
    "state": FieldRule(lambda each: each in (READY, DRAINING), f"{READY} or {DRAINING}", True),
    "cold_s_time": FieldRule(lambda each: is_number(each, float("-inf")), "seconds"),
    "sequence": FieldRule(lambda each: is_integer(each, -(2**63)), "a whole number", True),
}


class InstancesResource:
    """`changed` makes known what changed; `spread` waits until others know it, and says whether they do."""

    def __init__(
        self,
        clock: Callable[[], float],
        instances: InstanceTable,
        changed: Callable[[], None],
        spread: Callable[[], Awaitable[bool]],
    ) -> None:
        self.clock, self.instances, self.changed, self.spread = clock, instances, changed, spread

    async def post_beat(self, id: str, body: bytes) -> dict | Failure:
        try:
            beat = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return Failure(f"the body can't be read: {error}")
        if not id:
            return Failure("wants an id in its path")
        if (fault := first_fault(beat, BEAT)) is not None:
            return Failure(fault)
        news = self.instances.beat(self.clock(), id, beat)
        if isinstance(news, Failure):
            return news
        if news:
            log_event(
                "server", id=id, service=beat["service"], state=beat["state"], sequence=beat["sequence"]
            )
            self.changed()
        if beat["state"] == DRAINING and not await self.spread():
            return Failure("nobody else could be told yet", 503)
        return {}

    async def post_leave(self, id: str, body: bytes) -> dict | Failure:
        if self.instances.leave(self.clock(), id):
            log_event("server", id=id, state="left")
            self.changed()
        return {}
