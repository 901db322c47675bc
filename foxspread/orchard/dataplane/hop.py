"""The last hop on sockets: takes requests from other sidecars (and from this one, by a call), hands them
over to the server beside it, and tells how that ended.
"""

import asyncio
from collections.abc import Callable

from foxspread.net import http
from foxspread.orchard.dataplane import heads
from foxspread.orchard.dataplane.lanes import End, Lane, Lanes
from foxspread.orchard.dataplane.lasthop import LastHop, Terms
from foxspread.orchard.dataplane.serving import Desk, Exchange, Limits
from foxspread.orchard.outcome import Failure

FRESH_S = 2.0  # idle for longer, a connection is not used for what must not be lost
Told = Callable[[bytes, str, http.Message | None, int], None]  # word, why, the answer, busy


class Handing:
    """One request under way to the server."""

    __slots__ = ("hop", "id", "began", "lane", "task", "timer", "told")

    def __init__(self, hop: "Hop", id: str, told: Told) -> None:
        self.hop, self.id, self.told = hop, id, told
        self.began = hop.clock()
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
        handing = Handing(self, id, told)
        handing.timer = asyncio.get_running_loop().call_later(left, handing.late)
        parts = heads.request(message, lines, left, caller, id.encode())
        request_id = message.header(b"x-request-id") or b""
        lane = self.lanes.reuse(place, None if terms.safe else FRESH_S)
        if lane is not None:
            self._ask(handing, lane, parts, request_id)
        else:
            handing.task = asyncio.get_running_loop().create_task(
                self._fresh(handing, place, parts, request_id)
            )
        return handing

    async def _fresh(self, handing: Handing, place: tuple, parts: list[bytes], request_id: bytes) -> None:
        lane = await self.lanes.connect(place)
        if isinstance(lane, str):
            return handing.end(heads.UNSENT, lane)
        if handing.told is None:
            return self.lanes.keep(lane)
        if (closed := self.core.closed(self.clock(), handing.id)) is not None:
            self.lanes.keep(lane)
            return handing.end(heads.UNSENT, closed.reason)
        self._ask(handing, lane, parts, request_id)

    def _ask(self, handing: Handing, lane: Lane, parts: list[bytes], request_id: bytes) -> None:
        handing.lane = lane

        def ended(end: End) -> None:
            if end.message is None:
                handing.end(heads.LOST if end.written else heads.UNSENT, end.why)
            else:
                handing.end(heads.SENT, "", end.message)

        lane.ask(parts, request_id, ended)


class HopDesk(Desk):
    """Other sidecars' requests."""

    def __init__(self, clock: Callable[[], float], hop: Hop) -> None:
        super().__init__(clock, Limits(64 * 1024, 64 * 1024 * 1024, 10.0, 90.0))
        self.hop = hop

    def take(self, exchange: Exchange) -> None:
        message = exchange.message
        id, caller = message.text(b"x-expect-instance"), message.header(b"x-caller") or b""
        terms = heads.terms(message.header(heads.WORD.lower()))

        def told(word: bytes, why: str, answer: http.Message | None, busy: int) -> None:
            line = b"%b: %b %d %b\r\n" % (
                heads.WORD,
                word,
                busy,
                why.encode("latin-1", "replace")[:60].replace(b"\n", b" ").replace(b"\r", b" "),
            )
            if answer is None:
                exchange.answer(
                    503 if word == heads.UNSENT else 504 if word == heads.LATE else 502, b"", [line]
                )
            else:
                exchange.answer(answer.status, bytes(answer.body), [*heads.kept(answer), line])

        handing = self.hop.hand(
            message, heads.kept(message), id, caller, heads.deadline(message) or 0.0, terms, told
        )
        if handing is not None and exchange.parts is None:
            exchange.left = handing.drop
