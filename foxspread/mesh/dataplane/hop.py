"""The last hop on sockets: takes requests from other sidecars (and from this one, by a call), hands them
over to the server beside it, and tells how that ended.
"""

import asyncio
from collections.abc import Callable

from foxspread.mesh.dataplane import heads
from foxspread.mesh.dataplane.lanes import End, Lane, Lanes
from foxspread.mesh.dataplane.lasthop import LastHop, Terms
from foxspread.mesh.dataplane.serving import Desk, Exchange, Limits
from foxspread.mesh.errors import Failure
from foxspread.net import http

FRESH_S = 2.0  # idle for longer, a connection is not used for what must not be lost
HOP_LINES_MOST = 1000  # connections of other sidecars
Told = Callable[[bytes, str, http.Message | None, int], None]  # word, why, the answer, busy


class Handing:
    """One request under way to the server."""

    __slots__ = ("hop", "id", "began", "until", "lane", "task", "timer", "told", "request_id", "again")

    def __init__(
        self, hop: "Hop", id: str, left: float, told: Told, request_id: bytes = b"", again: bool = False
    ) -> None:
        self.hop, self.id, self.told, self.request_id, self.again = hop, id, told, request_id, again
        self.began = hop.clock()
        self.until = self.began + left
        self.lane: Lane | None = None
        self.task: asyncio.Task | None = None
        self.timer: asyncio.TimerHandle | None = None

    def end(self, word: bytes, why: str, message: http.Message | None = None) -> None:
        if self.told is None:
            return
        told, self.told = self.told, None
        if self.timer is not None:
            self.timer.cancel()
        now = self.hop.clock()
        self.hop.core.runs.ended(self.request_id)
        ran = message is not None and message.header(b"x-not-run") is None
        self.hop.core.released(now, self.id, now - self.began if ran else None)
        told(word, why, message, self.hop.core.of(self.id).busy)

    def drop(self) -> None:
        """Nobody wants the answer any more."""
        if self.told is None:
            return
        self.told = None
        if self.timer is not None:
            self.timer.cancel()
        if self.task is not None:
            self.task.cancel()
        if self.lane is not None:
            self.lane.drop()
        self.hop.core.runs.ended(self.request_id)
        self.hop.core.released(self.hop.clock(), self.id, None)

    def late(self) -> None:
        lane, task = self.lane, self.task
        if lane is not None:
            lane.drop()
        elif task is not None:
            task.cancel()
        self.end(heads.LATE if lane is not None else heads.UNSENT, "late")


class Hop:
    def __init__(self, clock: Callable[[], float], core: LastHop, lanes: Lanes) -> None:
        self.clock, self.core, self.lanes = clock, core, lanes

    def hand(
        self,
        message: http.Message,
        lines: list[bytes],
        id: str,
        caller: bytes,
        left: float,
        terms: Terms,
        told: Told,
    ) -> Handing | None:
        """`told` is called once, unless the handing is dropped first; at once where nothing is handed
        over."""
        now = self.clock()
        place = self.core.admit(now, id, left, terms)
        if isinstance(place, Failure):
            told(heads.UNSENT, place.reason, None, self.core.of(id).busy if place.reason != "gone" else 0)
            return None
        request_id = message.header(b"x-request-id") or b""
        handing = Handing(self, id, left, told, request_id, terms.again)
        handing.timer = asyncio.get_running_loop().call_later(left, handing.late)

        def parts(left: float) -> list[bytes]:
            return heads.request(message, lines, left, caller, id.encode())

        # What tells no id takes no connection on which an answer without one could still be due to others.
        lane = self.lanes.reuse(place, None if terms.safe else FRESH_S) if request_id else None
        if lane is not None:
            self._ask(handing, lane, parts)
        else:
            handing.task = asyncio.get_running_loop().create_task(self._fresh(handing, place, parts))
        return handing

    async def _fresh(self, handing: Handing, place: tuple, parts: Callable[[float], list[bytes]]) -> None:
        lane = await self.lanes.connect(place)
        if isinstance(lane, str):
            return handing.end(heads.UNSENT, lane)
        if handing.told is None:
            return self.lanes.keep(lane)
        now = self.clock()  # connecting takes time, and this process may have stood still meanwhile
        closed = Failure("late") if now >= handing.until else self.core.closed(now, handing.id)
        if closed is not None:
            self.lanes.keep(lane)
            return handing.end(heads.UNSENT, closed.reason)
        self._ask(handing, lane, parts)

    def _ask(self, handing: Handing, lane: Lane, parts: Callable[[float], list[bytes]]) -> None:
        handing.lane, now = lane, self.clock()
        self.core.runs.begun(now, handing.request_id, handing.again, handing.until)

        def ended(end: End) -> None:
            if end.message is None:
                handing.end(heads.LOST if end.written else heads.UNSENT, end.why)
            else:
                handing.end(heads.SENT, "", end.message)

        lane.ask(parts(handing.until - now), handing.request_id, ended)


class HopDesk(Desk):
    """Other sidecars' requests."""

    def __init__(self, clock: Callable[[], float], hop: Hop) -> None:
        limits = Limits(64 * 1024, 64 * 1024 * 1024, 10.0, 90.0)
        super().__init__(clock, limits, hop.lanes.share, HOP_LINES_MOST)
        self.hop = hop

    def refusal(self, message: http.Message, why: str) -> list[bytes]:
        _, mark = heads.terms(message.header(heads.WORD.lower()))
        return [heads.word(heads.UNSENT, 0, mark, why)]

    def take(self, exchange: Exchange) -> None:
        message = exchange.message
        id, caller = message.text(b"x-expect-instance"), message.header(b"x-caller") or b""
        terms, mark = heads.terms(message.header(heads.WORD.lower()))
        left = (heads.deadline(message) or 0.0) - self.waited(message, terms.safe)

        def told(word: bytes, why: str, answer: http.Message | None, busy: int) -> None:
            line = heads.word(word, busy, mark, why)
            if answer is None:
                exchange.answer(
                    503 if word == heads.UNSENT else 504 if word == heads.LATE else 502, b"", [line]
                )
            else:
                exchange.answer(answer.status, bytes(answer.body), [*heads.kept(answer), line])

        handing = self.hop.hand(message, heads.kept(message), id, caller, left, terms, told)
        if handing is not None and exchange.parts is None:
            exchange.left = handing.drop
