"""HTTP client of the coordinators, for the command line and the lab; retries until a reply is conclusive.

All attempts of a put have the same request id, so a retry after a lost reply writes nothing twice. If the
outcome of a call is unknown when its time is up, the error says so (`NoAnswerError.maybe_written`).
"""

import asyncio
import json
import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from foxspread.config import Address
from foxspread.consensus.errors import NoAnswerError
from foxspread.net import http

ATTEMPT_TIMEOUT_S = 2.5  # longer than a coordinator waits for a majority (DEFAULT_ANSWER_TIMEOUT_S)
CALL_TIMEOUT_S = 8.0  # for all attempts of a call together
STATUS_TIMEOUT_S = 2.0
MIN_RETRY_S, MAX_RETRY_S = 0.05, 0.4  # exponential backoff between attempts
MAX_REPLY_BYTES = 8 * 1024 * 1024
READ_BYTES = 64 * 1024

JsonObject = dict[str, Any]  # docs/operators/coordinators.md lists the keys


@dataclass(frozen=True)
class Reply:
    """A coordinator's reply: HTTP status code, decoded JSON body, and the coordinator's address."""

    code: int
    value: JsonObject
    address: Address


async def call(
    address: Address, method: str, path: str, body: bytes = b"", timeout_s: float = ATTEMPT_TIMEOUT_S
) -> Reply:
    """Sends one request to one coordinator. Raises OSError, TimeoutError or `http.BadMessage`."""
    async with asyncio.timeout(timeout_s):
        stream, writer = await asyncio.open_connection(address.host, address.port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"Connection: close\r\n\r\n" + body)
            reader = await _read_response(stream)
        finally:
            writer.close()
    if not reader.ready:
        raise ConnectionError("the connection was closed before a response arrived")
    response = reader.ready[0]
    try:
        value = json.loads(response.take_pieces() if response.streamed else bytes(response.body))
    except ValueError:
        raise ConnectionError(f"the response with status {response.status} has no JSON body") from None
    return Reply(response.status, value, address)


async def _read_response(stream: asyncio.StreamReader) -> http.ResponseReader:
    """Reads until a response is complete, the connection is closed, or the response is too large."""
    loop = asyncio.get_running_loop()
    reader, size = http.ResponseReader(), 0
    while data := await stream.read(READ_BYTES):
        size += len(data)
        reader.feed(data, loop.time())
        complete = reader.ready and (not reader.ready[0].streamed or reader.ready[0].complete)
        if complete or size > MAX_REPLY_BYTES:
            break
    return reader


@dataclass(frozen=True)
class _FailedAttempt:
    """An attempt without a conclusive reply.

    maybe_written: whether the call may have been executed.
    leader: address of the leader, if the coordinator named it.
    """

    reason: str
    maybe_written: bool
    leader: str | None = None


class Client:
    """Calls any of the coordinators at `addresses`, and follows their replies to the leader.

    `timeout_s` bounds each call with all its retries.
    """

    def __init__(self, addresses: Sequence[Address], timeout_s: float = CALL_TIMEOUT_S) -> None:
        self.addresses, self.timeout_s = list(addresses), timeout_s

    async def _call(self, method: str, path: str, body: bytes = b"") -> Reply:
        """Retries until a reply is conclusive. Raises `NoAnswerError`."""
        loop = asyncio.get_running_loop()
        deadline, backoff = loop.time() + self.timeout_s, MIN_RETRY_S
        attempts, reason, maybe_written = 0, "no attempt was made", False
        target = self.addresses[0]
        while (remaining := deadline - loop.time()) > 0:
            result = await self._attempt(target, method, path, body, min(ATTEMPT_TIMEOUT_S, remaining))
            if isinstance(result, Reply):
                return result
            reason = result.reason
            maybe_written |= result.maybe_written
            attempts += 1
            leader = self._other_address(result.leader, target)
            target = leader or self.addresses[attempts % len(self.addresses)]
            if leader is None:
                await asyncio.sleep(max(0.0, min(backoff, deadline - loop.time())))
                backoff = min(2 * backoff, MAX_RETRY_S)
        raise NoAnswerError(
            f"no coordinator answered within {self.timeout_s:g} s; last attempt: {reason}", maybe_written
        )

    async def _attempt(
        self, target: Address, method: str, path: str, body: bytes, timeout_s: float
    ) -> Reply | _FailedAttempt:
        try:
            reply = await call(target, method, path, body, timeout_s)
        except ConnectionRefusedError:
            return _FailedAttempt(f"{target}: connection refused", False)
        except (OSError, TimeoutError, http.BadMessage) as error:  # perhaps only the reply was lost
            return _FailedAttempt(f"{target}: {error or 'no reply in time'}", True)
        status = reply.value.get("status")
        if status not in ("elsewhere", "unknown"):
            return reply
        reason = f"{target}: {reply.value.get('why')}"
        return _FailedAttempt(reason, status == "unknown", reply.value.get("leader_address"))

    def _other_address(self, leader: str | None, target: Address) -> Address | None:
        """Returns the leader's address if it is among `addresses` and differs from `target`."""
        return next((each for each in self.addresses if str(each) == leader and each != target), None)

    async def put(
        self,
        content: str,
        if_version: int = -1,
        author: str = "",
        comment: str = "",
        request_id: str = "",
        **options: Any,
    ) -> Reply:
        """Writes a version. Raises `NoAnswerError`, as do all calls.

        if_version: number that the latest version must have; 0 if there must be none yet; -1: any.
        request_id: id of an earlier put that is repeated; drawn at random if empty.
        options: further keys of the request body, `refusals` and `even_so`.
        """
        body = {
            "content": content,
            "if_version": if_version,
            "who": author,
            "why": comment,
            "request": request_id or secrets.token_hex(8),
            **options,
        }
        return await self._call("POST", "/rules", json.dumps(body).encode())

    async def get(self, number: int = 0) -> Reply:
        """Reads the version with this number, or the latest one (0)."""
        return await self._call("GET", f"/rules/{number}" if number else "/rules")

    async def history(self, before: int = 0) -> Reply:
        """Reads a page of versions older than number `before` (0: from the latest on), the latest first."""
        return await self._call("GET", f"/history?before={before}")

    async def change_membership(self, name: str, address: str | None) -> Reply:
        """Adds a member, or removes it if `address` is None."""
        body = json.dumps({"name": name, "address": address}).encode()
        return await self._call("POST", "/members", body)

    async def transfer_leadership(self, target: str) -> Reply:
        """Asks the leader to transfer leadership to the member `target`."""
        return await self._call("POST", "/hand-over", json.dumps({"to": target}).encode())

    async def statuses(self) -> list[tuple[Address, JsonObject | str]]:
        """Reads the status of all coordinators in parallel; an error text stands for one that fails."""

        async def status(address: Address) -> JsonObject | str:
            try:
                return (await call(address, "GET", "/status", timeout_s=STATUS_TIMEOUT_S)).value
            except (OSError, TimeoutError, http.BadMessage) as error:
                return str(error) or "no reply in time"

        statuses = await asyncio.gather(*(status(each) for each in self.addresses))
        return list(zip(self.addresses, statuses))
