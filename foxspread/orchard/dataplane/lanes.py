"""The side of a connection that asks: kept connections to other sidecars and to the server beside this one,
one request at a time on each. An answer is known by its id; a connection that has shown bytes which belong
to nobody is not used again.
"""

import asyncio
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import httptools

from foxspread.net import http
from foxspread.orchard.settings import Address

CONNECT_S = 0.5
STRAYS_MOST = 2  # surplus answers passed over while the one that is due is waited for
ANSWER_MOST = 32 * 1024 * 1024
IDLE = re.compile(rb"\btimeout\s*=\s*\"?([0-9]{1,9})", re.IGNORECASE)  # in Keep-Alive: seconds


class AnswerReader(http.AnswerReader):
    body_most = kept_most = ANSWER_MOST
    head_most = 64 * 1024
    bare = False  # the answer to come has no body, whatever its head tells

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.bare and self.message.status >= 200 and self.message.length != 0:
            self.on_message_complete()
            self.message.keep = False  # the parser waits for a body


@dataclass(slots=True)
class End:
    """How an asking ended: with a whole answer, or without. `written`: some of it may have been read."""

    message: http.Message | None = None
    written: bool = False
    why: str = ""


class Lane(asyncio.Protocol):
    """States: idle (nothing asked), asked (one is out), closed. Only an idle one is in its pool."""

    def __init__(self, pool: "Lanes", place: Address) -> None:
        self.pool, self.place = pool, place
        self.reader = AnswerReader()
        self.transport: asyncio.Transport | None = None
        self.then: Callable[[End], None] | None = None
        self.id = b""
        self.spoilt, self.strays, self.counted = False, 0, True
        self.idle_since, self.idle_most = 0.0, pool.idle_most

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport

    def ask(self, parts: Sequence[bytes], id: bytes, then: Callable[[End], None]) -> None:
        """`then` is called once, unless `drop` comes first. `id`: what the answer has to carry."""
        self.then, self.id, self.strays = then, id, 0
        self.reader.bare = parts[0].startswith(b"HEAD ")
        if self.transport is None or self.transport.is_closing():
            self.close()
            return self._end(End(None, False, "refused"))
        self.transport.write(b"".join(parts))

    def data_received(self, data: bytes) -> None:
        reader = self.reader
        if self.then is None:
            return self.close()  # bytes that nobody asked for
        try:
            reader.feed(data, 0.0)
        except (http.BadMessage, httptools.HttpParserError) as error:
            if not self._take():
                self._end(End(None, True, f"no answer: {error}"))
            return self.close()
        self._take()

    def _take(self) -> bool:
        """The whole answer that is due, if it has come."""
        ready = self.reader.ready
        while ready and self.then is not None:
            message = ready.popleft()
            told = message.header(b"x-request-id")
            if (
                self.id
                and told is not None
                and told != self.id
                or self.id
                and told is None
                and message.status < 300
            ):
                self.spoilt, self.strays = True, self.strays + 1
                if self.strays > STRAYS_MOST:
                    self._end(End(None, True, "answers of others"))
                    self.close()
                continue
            if ready or self.reader.busy or not message.keep:
                self.spoilt = True
            self._end(End(message, True))
            if self.spoilt or self.reader.busy:
                self.close()
            else:
                self._idle(message)
            return True
        return False

    def _idle(self, message: http.Message) -> None:
        told = message.header(b"keep-alive")
        if told is not None and (seconds := IDLE.search(told)) is not None:
            self.idle_most = min(self.pool.idle_most, 0.6 * int(seconds[1]))
        self.pool.keep(self)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, error: Exception | None) -> None:
        self.transport = None
        self.pool.gone(self)
        if self.then is not None:  # the end of a connection proves no answer whole
            self._end(End(None, True, f"broke: {error or 'closed'}"))

    def _end(self, end: End) -> None:
        then, self.then = self.then, None
        if then is not None:
            then(end)

    def drop(self) -> None:
        """The answer is not wanted any more: whoever works on it may stop."""
        self.then = None
        self.close()

    def close(self) -> None:
        self.pool.gone(self)
        if self.transport is not None:
            transport, self.transport = self.transport, None
            transport.abort()


class Lanes:
    """`fresh_for`: seconds since its last use for which a connection is taken to be sound; others may have
    been closed by the other side, and what is written to such a one may or may not have been read."""

    def __init__(self, clock: Callable[[], float], idle_most: float, most: int = 400) -> None:
        self.clock, self.idle_most, self.most = clock, idle_most, most
        self.idle: dict[Address, list[Lane]] = {}
        self.opened = 0
        self.open_now: dict[Address, int] = {}

    def reuse(self, place: Address, within: float | None = None) -> Lane | None:
        """The one used last. `within`: seconds that it may have been idle."""
        kept, now = self.idle.get(place), self.clock()
        while kept:
            lane = kept.pop()
            if lane.transport is None or lane.transport.is_closing():
                continue
            idle = now - lane.idle_since
            if idle > lane.idle_most:
                lane.close()
            elif within is not None and idle > within:
                kept.append(lane)
                return None  # the others have been idle for longer
            else:
                return lane
        return None

    async def connect(self, place: Address, patience: float = CONNECT_S) -> Lane | str:
        """A new one, or why there is none: nothing has been sent then."""
        if self.open_now.get(place, 0) >= self.most:
            return "too many connections"
        self.open_now[place] = self.open_now.get(place, 0) + 1
        self.opened += 1
        lane = Lane(self, place)
        try:
            async with asyncio.timeout(patience):
                await asyncio.get_running_loop().create_connection(lambda: lane, *place)
        except (OSError, TimeoutError) as error:
            self.gone(lane)  # its connection may have come up, and ends by itself
            return "refused" if isinstance(error, ConnectionRefusedError) else "silent"
        except BaseException:
            self.gone(lane)
            raise
        return lane

    def keep(self, lane: Lane) -> None:
        lane.idle_since = self.clock()
        self.idle.setdefault(lane.place, []).append(lane)

    def gone(self, lane: Lane) -> None:
        kept = self.idle.get(lane.place, ())
        if lane in kept:
            kept.remove(lane)
        if lane.counted:
            lane.counted = False
            self._less(lane.place)

    def _less(self, place: Address) -> None:
        left = self.open_now.get(place, 1) - 1
        if left > 0:
            self.open_now[place] = left
        else:
            self.open_now.pop(place, None)

    def sweep(self) -> None:
        now = self.clock()
        for place, kept in list(self.idle.items()):
            for lane in [each for each in kept if now - each.idle_since > each.idle_most]:
                lane.close()
            if not self.idle.get(place):
                self.idle.pop(place, None)

    def close_all(self, place: Address | None = None) -> None:
        for each in [place] if place is not None else list(self.idle):
            for lane in list(self.idle.get(each, ())):
                lane.close()
