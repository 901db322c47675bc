"""Calls to coordinators, for the command line and the lab: one after another until one answers, within a
time.

A put has one request id for all its tries, so a try whose answer was lost does no harm when it is made again.
What can't be found out in time is told as not known.
"""

import asyncio
import json
import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from foxspread.config import Address
from foxspread.net import http

TRY = 2.5  # seconds for one call
ANSWER_MOST = 8 * 1024 * 1024  # bytes


class Unreached(Exception):
    """No coordinator answered for sure in time. `open`: a put may have been written all the same."""

    def __init__(self, text: str, open: bool) -> None:
        super().__init__(text)
        self.open = open


@dataclass(frozen=True)
class Reply:
    code: int
    value: dict[str, Any]
    address: Address


async def call(address: Address, method: str, path: str, body: bytes = b"", within: float = TRY) -> Reply:
    """One call to one coordinator. Raises OSError, TimeoutError or `http.BadMessage`."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(within):
        stream, writer = await asyncio.open_connection(address.host, address.port)
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n"
                "Connection: close\r\n\r\n".encode()
                + body
            )
            reader, size = http.AnswerReader(), 0
            while True:
                data = await stream.read(64 * 1024)
                if data:
                    size += len(data)
                    reader.feed(data, loop.time())
                done = reader.ready and (not reader.ready[0].long or reader.ready[0].whole)
                if done or not data or size > ANSWER_MOST:
                    break
        finally:
            writer.close()
    if not reader.ready:
        raise ConnectionError("closed without an answer")
    answer = reader.ready[0]
    try:
        value = json.loads(answer.piece() if answer.long else bytes(answer.body))
    except ValueError:
        raise ConnectionError(f"{answer.status} without JSON") from None
    return Reply(answer.status, value, address)


class Client:
    """`addresses`: of the coordinators, in any order. Which one leads is learnt from their answers."""

    def __init__(self, addresses: Sequence[Address], within: float = 8.0) -> None:
        self.addresses, self.within = list(addresses), within

    async def _until(self, method: str, path: str, body: bytes = b"", first: Address | None = None) -> Reply:
        loop = asyncio.get_running_loop()
        end, at, pause, why, opened = loop.time() + self.within, 0, 0.05, "no try", False
        target = first or self.addresses[0]
        while (left := end - loop.time()) > 0:
            try:
                reply = await call(target, method, path, body, min(TRY, left))
                if reply.value.get("status") not in ("elsewhere", "unknown"):
                    return reply
                why = f"{target}: {reply.value.get('why')}"
                opened |= reply.value["status"] == "unknown"
                leader = reply.value.get("leader_address")
            except ConnectionRefusedError:
                why, leader = f"{target}: nobody listens there", None
            except (OSError, TimeoutError, http.BadMessage) as error:
                why, leader = f"{target}: {error or 'no answer in time'}", None
                opened = True  # it may have come, and its answer not
            known = [each for each in self.addresses if str(each) == leader and each != target]
            at += 1
            target = known[0] if known else self.addresses[at % len(self.addresses)]
            if not known:
                await asyncio.sleep(max(0.0, min(pause, end - loop.time())))
                pause = min(2 * pause, 0.4)
        raise Unreached(f"no coordinator answered within {self.within:g} s; the last one said: {why}", opened)

    async def put(
        self,
        content: str,
        if_version: int = -1,
        who: str = "",
        why: str = "",
        request: str = "",
        **more: Any,
    ) -> Reply:
        """`more`: `refusals`, `even_so`."""
        body = {
            "content": content,
            "if_version": if_version,
            "who": who,
            "why": why,
            "request": request or secrets.token_hex(8),
            **more,
        }
        return await self._until("POST", "/rules", json.dumps(body).encode())

    async def get(self, number: int = 0) -> Reply:
        return await self._until("GET", f"/rules/{number}" if number else "/rules")

    async def history(self, before: int = 0) -> Reply:
        return await self._until("GET", f"/history?before={before}")

    async def change(self, name: str, address: str | None) -> Reply:
        return await self._until("POST", "/members", json.dumps({"name": name, "address": address}).encode())

    async def hand_over(self, to: str) -> Reply:
        return await self._until("POST", "/hand-over", json.dumps({"to": to}).encode())

    async def statuses(self) -> list[tuple[Address, dict[str, Any] | str]]:
        """Of all, at once; a text where one doesn't answer."""

        async def one(address: Address) -> dict[str, Any] | str:
            try:
                return (await call(address, "GET", "/status", within=2.0)).value
            except (OSError, TimeoutError, http.BadMessage) as error:
                return str(error) or "no answer in time"

        found = await asyncio.gather(*(one(each) for each in self.addresses))
        return list(zip(self.addresses, found))
