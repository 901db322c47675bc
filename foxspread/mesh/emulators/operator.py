"""An emulated operator: retries a change until its outcome is known, and reads the configuration."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import orjson

from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.emulators.event_record import EventRecord
from foxspread.mesh.emulators.http_call import Reply, encode_request, send_request
from foxspread.mesh.settings import Address, format_address, parse_address

CALL_TIMEOUT_S = 1.0  # for one attempt, after which the next address is tried
UPLOAD_BYTES_PER_S = 1e6  # a large call gets more time
INITIAL_RETRY_DELAY_S, MAX_RETRY_DELAY_S = 0.05, 1.0  # doubles with each attempt
MAX_REDIRECTS = 2
FINAL_REJECTIONS = (400, 409, 412, 413, 422)  # end a call at once
MAX_OTHER_REJECTIONS = 3  # any other 4xx ends a call the third time
RETRYABLE_STATUSES = (408, 429)  # handled like a 5xx: the next address is tried


@dataclass(slots=True)
class Outcome:
    """The result of a call; true if it succeeded."""

    status: int  # of the last attempt; 0: no response
    content: Any  # the body of the last response, or why there is none
    attempts: int
    at: float  # when the result was known, on the event loop's clock

    def __bool__(self) -> bool:
        return 200 <= self.status < 300


class Operator:
    """Calls the control API at the given addresses in turn, starting with the one that last answered."""

    def __init__(
        self, addresses: Sequence[Address], pool: ConnectionPool, event_record: EventRecord | None = None
    ) -> None:
        self.addresses, self.pool = list(addresses), pool
        self.event_record = event_record or EventRecord()
        self.next_address = 0  # counts on from attempt to attempt, modulo the number of addresses

    async def patch(self, call: dict[str, Any], timeout_s: float = 30.0) -> Outcome:
        """Sends a change, retried unchanged until its outcome is known."""
        return await self._call_until_final("POST", "/api/Config.Patch", orjson.dumps(call), timeout_s)

    async def get(self, timeout_s: float = 30.0) -> Outcome:
        """Reads the whole configuration from any address."""
        return await self._call_until_final("GET", "/api/Config.Get", b"", timeout_s)

    async def get_from(self, address: Address) -> Outcome:
        """Reads the whole configuration from one address, in a single attempt."""
        return self._outcome(await self._attempt(address, "GET", "/api/Config.Get", b""), 1)

    async def _call_until_final(self, method: str, target: str, body: bytes, timeout_s: float) -> Outcome:
        deadline, delay = self.pool.clock() + timeout_s, INITIAL_RETRY_DELAY_S
        rejections, attempts = 0, 0
        while True:
            address = self.addresses[self.next_address % len(self.addresses)]
            reply = await self._attempt(address, method, target, body)
            status, attempts = reply.status, attempts + 1
            rejections += 400 <= status < 500 and status not in RETRYABLE_STATUSES
            if 200 <= status < 300 or status in FINAL_REJECTIONS or rejections >= MAX_OTHER_REJECTIONS:
                return self._outcome(reply, attempts)
            self.next_address += 1
            if self.pool.clock() + delay >= deadline:
                return self._outcome(reply, attempts)
            await asyncio.sleep(delay)
            delay = min(MAX_RETRY_DELAY_S, 2 * delay)

    async def _attempt(self, address: Address, method: str, target: str, body: bytes) -> Reply:
        """Sends the call once, following redirects (307)."""
        for redirects in range(MAX_REDIRECTS + 1):
            parts = encode_request(
                method, target, format_address(address), ["Content-Type: application/json"], body
            )
            timeout_s = CALL_TIMEOUT_S + len(body) / UPLOAD_BYTES_PER_S
            reply = await send_request(self.pool, address, parts, timeout_s)
            self.event_record.add(
                "call",
                call=f"{method} {target}",
                place=format_address(address),
                status=reply.status,
                why=reply.failure,
            )
            if reply.message is None or reply.status != 307 or redirects == MAX_REDIRECTS:
                return reply
            location = reply.message.text(b"location").removeprefix("http://")
            host, slash, path = location.partition("/")
            try:
                address, target = parse_address(host), slash + path
            except ValueError:
                return reply
        raise AssertionError("unreachable: the last iteration returns")

    def _outcome(self, reply: Reply, attempts: int) -> Outcome:
        content: Any = reply.failure
        if reply.message is not None and reply.message.body:
            try:
                content = orjson.loads(reply.message.body)
            except orjson.JSONDecodeError:
                content = bytes(reply.message.body).decode("latin-1")
        return Outcome(reply.status, content, attempts, self.pool.clock())
