"""The resource of servers: their beats, and their leaving."""

from collections.abc import Awaitable, Callable

import orjson
from cerberus import Validator

from foxspread.orchard.grove.lives import DRAINING, READY, Lives
from foxspread.orchard.log import say
from foxspread.orchard.outcome import Failure
from foxspread.orchard.settings import told

BEAT = {
    "service": {"type": "string", "minlength": 1, "required": True},
    "address": {"type": "string", "regex": r"[^\s:]+:[0-9]+", "required": True},
    "zone": {"type": "string"},
    "berths": {"type": "integer", "min": 0},
    "state": {"type": "string", "allowed": [READY, DRAINING], "required": True},
    "cold_s_time": {"type": "number"},
    "sequence": {"type": "integer", "required": True},
}


class Instances:
    """`changed` makes known what changed; `spread` waits until others know it, and says whether they do."""

    def __init__(
        self,
        clock: Callable[[], float],
        lives: Lives,
        changed: Callable[[], None],
        spread: Callable[[], Awaitable[bool]],
    ) -> None:
        self.clock, self.lives, self.changed, self.spread = clock, lives, changed, spread
        self.check = Validator(BEAT, allow_unknown=True)

    async def post_beat(self, id: str, body: bytes) -> dict | Failure:
        try:
            beat = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            return Failure(f"the body can't be read: {error}")
        if not id or not isinstance(beat, dict) or not self.check.validate(beat, normalize=False):
            return Failure(
                told(self.check.errors, beat)
                if isinstance(beat, dict) and id
                else "wants an id and an object"
            )
        news = self.lives.beat(self.clock(), id, beat)
        if isinstance(news, Failure):
            return news
        if news:
            say("server", id=id, service=beat["service"], state=beat["state"], sequence=beat["sequence"])
            self.changed()
        if beat["state"] == DRAINING and not await self.spread():
            return Failure("nobody else could be told yet", 503)
        return {}

    async def post_leave(self, id: str, body: bytes) -> dict | Failure:
        if self.lives.leave(self.clock(), id):
            say("server", id=id, state="left")
            self.changed()
        return {}
