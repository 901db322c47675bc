"""Sends one HTTP request and reports its result; the emulated servers, operators and clients share it."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from foxspread.mesh.dataplane.upstream_connections import CallResult, ConnectionPool, UpstreamConnection
from foxspread.mesh.settings import Address
from foxspread.net import http

CONNECT_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Reply:
    """A complete response, or the reason why there is none."""

    message: http.Message | None = None
    failure: str = ""
    sent: bool = False  # the peer may have read some of the request

    @property
    def status(self) -> int:
        """The status of the response; 0 if there is none."""
        return self.message.status if self.message is not None else 0


def encode_request(
    method: str, target: str, host: str, headers: Sequence[str] = (), body: bytes = b""
) -> list[bytes]:
    """Returns the head and the body of a request; `headers` are whole header lines."""
    length = [f"Content-Length: {len(body)}"] if body or method == "POST" else []
    head = [f"{method} {target} HTTP/1.1", f"Host: {host}", *headers, *length]
    return ["".join(f"{line}\r\n" for line in head).encode() + b"\r\n", body]


async def send_request(
    pool: ConnectionPool,
    address: Address,
    parts: Sequence[bytes],
    timeout_s: float,
    new_connection: bool = False,
) -> Reply:
    """Sends an encoded request and waits for the response.

    `timeout_s` includes the time to connect. `new_connection` prevents the use of an idle one.
    """
    deadline = pool.clock() + timeout_s
    connection: UpstreamConnection | str | None = None if new_connection else pool.reuse(address)
    if connection is None:
        connection = await pool.connect(address, min(CONNECT_TIMEOUT_S, max(0.01, timeout_s)))
    if isinstance(connection, str):
        return Reply(failure=connection)
    answer: asyncio.Future[CallResult] = asyncio.get_running_loop().create_future()
    connection.send_request(parts, None, lambda result: None if answer.done() else answer.set_result(result))
    try:
        async with asyncio.timeout(max(0.0, deadline - pool.clock())):
            result = await answer
    except TimeoutError:
        connection.cancel()
        return Reply(failure="silence", sent=True)
    except asyncio.CancelledError:
        connection.cancel()
        raise
    return Reply(result.response, result.reason, True)
