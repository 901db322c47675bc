"""One call over HTTP and how it ended, for all who ask."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from foxspread.mesh.dataplane.lanes import End, Lane, Lanes
from foxspread.mesh.settings import Address
from foxspread.net import http

CONNECT_S = 1.0  # for a new connection to come up


@dataclass(slots=True)
class Reply:
    """A whole answer, or why there is none; `sent`: some of the call may have been read."""

    message: http.Message | None = None
    why: str = ""
    sent: bool = False

    @property
    def status(self) -> int:
        return self.message.status if self.message is not None else 0


def encode_request(
    method: str, target: str, host: str, lines: Sequence[str] = (), body: bytes = b""
) -> list[bytes]:
    length = [f"Content-Length: {len(body)}"] if body or method == "POST" else []
    head = [f"{method} {target} HTTP/1.1", f"Host: {host}", *lines, *length]
    return ["".join(f"{line}\r\n" for line in head).encode() + b"\r\n", body]


async def asked(
    lanes: Lanes, place: Address, parts: Sequence[bytes], within: float, fresh: bool = False
) -> Reply:
    """`within`: seconds, connecting counted; `fresh`: on a new connection."""
    until = lanes.clock() + within
    lane: Lane | str | None = None if fresh else lanes.reuse(place)
    if lane is None:
        lane = await lanes.connect(place, min(CONNECT_S, max(0.01, within)))
    if isinstance(lane, str):
        return Reply(why=lane)
    answer: asyncio.Future[End] = asyncio.get_running_loop().create_future()
    lane.ask(parts, None, lambda end: None if answer.done() else answer.set_result(end))
    try:
        async with asyncio.timeout(max(0.0, until - lanes.clock())):
            end = await answer
    except TimeoutError:
        lane.drop()
        return Reply(why="silence", sent=True)
    except asyncio.CancelledError:
        lane.drop()
        raise
    return Reply(end.message, end.why, True)
