"""The inbound proxy beside a server: takes requests from other sidecars and forwards them to the server.

Requests of clients on the server's own machine are forwarded by a call from the outbound proxy. In both cases
the sender is told how the attempt ended.
"""

import asyncio
import math
from collections.abc import Callable

from foxspread.mesh.dataplane import headers
from foxspread.mesh.dataplane.http_server import Exchange, HttpLimits, HttpServer
from foxspread.mesh.dataplane.instance_guard import (
    INSTANCE_GONE,
    REQUEST_LATE,
    SHUTTING_DOWN,
    InstanceGuard,
    RequestHints,
)
from foxspread.mesh.dataplane.upstream_connections import CallResult, ConnectionPool, UpstreamConnection
from foxspread.mesh.errors import Failure
from foxspread.net import http

# A connection that has been idle for longer may be about to close: it is not used for unsafe requests.
MAX_IDLE_FOR_UNSAFE_S = 2.0
MAX_SIDECAR_CONNECTIONS = 1000
MAX_HEAD_BYTES, MAX_BODY_BYTES = 64 * 1024, 64 * 1024 * 1024
HEAD_TIMEOUT_S, IDLE_TIMEOUT_S = 10.0, 90.0
OnForwarded = Callable[[bytes, str, http.Message | None, int], None]  # outcome, reason, response, in flight


class ForwardedRequest:
    """One request in progress at the server."""

    __slots__ = (
        "forwarder",
        "instance_id",
        "started_at",
        "deadline",
        "connection",
        "connect_task",
        "deadline_timer",
        "on_forwarded",
        "request_id",
        "is_repeat",
    )

    def __init__(
        self,
        forwarder: "InstanceForwarder",
        instance_id: str,
        remaining_s: float,
        on_forwarded: OnForwarded,
        request_id: bytes = b"",
        is_repeat: bool = False,
    ) -> None:
        self.forwarder, self.instance_id, self.on_forwarded = forwarder, instance_id, on_forwarded
        self.request_id, self.is_repeat = request_id, is_repeat
        self.started_at = forwarder.clock()
        self.deadline = self.started_at + remaining_s
        self.connection: UpstreamConnection | None = None
        self.connect_task: asyncio.Task | None = None
        self.deadline_timer: asyncio.TimerHandle | None = None

    def finish(self, outcome: bytes, reason: str, response: http.Message | None = None) -> None:
        """Reports how the attempt ended, once."""
        if self.on_forwarded is None:
            return
        on_forwarded, self.on_forwarded = self.on_forwarded, None
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        guard = self.forwarder.guard
        now = self.forwarder.clock()
        guard.repeats.end(self.request_id)
        has_run = response is not None and response.header(b"x-not-run") is None
        guard.release(now, self.instance_id, now - self.started_at if has_run else None)
        on_forwarded(outcome, reason, response, guard.load_of(self.instance_id).in_flight)

    def cancel(self) -> None:
        """Ends the request without a report: nobody waits for the response any more."""
        if self.on_forwarded is None:
            return
        self.on_forwarded = None
        if self.deadline_timer is not None:
            self.deadline_timer.cancel()
        if self.connect_task is not None:
            self.connect_task.cancel()
        if self.connection is not None:
            self.connection.cancel()
        guard = self.forwarder.guard
        guard.repeats.end(self.request_id)
        guard.release(self.forwarder.clock(), self.instance_id, None)

    def on_deadline(self) -> None:
        """Ends the request when its client gives up."""
        connection, connect_task = self.connection, self.connect_task
        if connection is not None:
            connection.cancel()
        elif connect_task is not None:
            connect_task.cancel()
        self.finish(headers.LATE if connection is not None else headers.UNSENT, REQUEST_LATE)


class InstanceForwarder:
    """Forwards requests to the server instances beside this sidecar, as far as the guard admits them."""

    def __init__(self, clock: Callable[[], float], guard: InstanceGuard, pool: ConnectionPool) -> None:
        self.clock, self.guard, self.pool = clock, guard, pool

    def forward(
        self,
        message: http.Message,
        lines: list[bytes],
        instance_id: str,
        caller: bytes,
        remaining_s: float,
        hints: RequestHints,
        on_forwarded: OnForwarded,
    ) -> ForwardedRequest | None:
        """Forwards a request, and returns it while it is in progress.

        `on_forwarded` is called once, unless the request is cancelled first; at once where it is rejected.
        """
        now = self.clock()
        guard = self.guard
        address = guard.admit(now, instance_id, remaining_s, hints)
        if isinstance(address, Failure):
            in_flight = guard.load_of(instance_id).in_flight if address.reason != INSTANCE_GONE else 0
            on_forwarded(headers.UNSENT, address.reason, None, in_flight)
            return None
        request_id = message.header(b"x-request-id") or b""
        forwarded = ForwardedRequest(
            self, instance_id, remaining_s, on_forwarded, request_id, hints.is_repeat
        )
        forwarded.deadline_timer = asyncio.get_running_loop().call_later(remaining_s, forwarded.on_deadline)

        def encode(remaining_s: float) -> list[bytes]:
            return headers.encode_request(message, lines, remaining_s, caller, instance_id.encode())

        # A request without an id gets a new connection: on a used one, a response without an id could still
        # be due to an earlier request.
        max_idle_s = None if hints.idempotent else MAX_IDLE_FOR_UNSAFE_S
        connection = self.pool.reuse(address, max_idle_s) if request_id else None
        if connection is not None:
            self._send(forwarded, connection, encode)
        else:
            forwarded.connect_task = asyncio.get_running_loop().create_task(
                self._connect_and_send(forwarded, address, encode)
            )
        return forwarded

    async def _connect_and_send(
        self, forwarded: ForwardedRequest, address: tuple, encode: Callable[[float], list[bytes]]
    ) -> None:
        connection = await self.pool.connect(address)
        if isinstance(connection, str):
            return forwarded.finish(headers.UNSENT, connection)
        if forwarded.on_forwarded is None:
            return self.pool.put(connection)
        now = self.clock()  # connecting takes time, and this process may have been suspended meanwhile
        rejection = (
            Failure(REQUEST_LATE)
            if now >= forwarded.deadline
            else self.guard.rejection(now, forwarded.instance_id)
        )
        if rejection is not None:
            self.pool.put(connection)
            return forwarded.finish(headers.UNSENT, rejection.reason)
        self._send(forwarded, connection, encode)

    def _send(
        self,
        forwarded: ForwardedRequest,
        connection: UpstreamConnection,
        encode: Callable[[float], list[bytes]],
    ) -> None:
        forwarded.connection, now = connection, self.clock()
        self.guard.repeats.begin(now, forwarded.request_id, forwarded.is_repeat, forwarded.deadline)

        def on_result(result: CallResult) -> None:
            if result.response is None:
                forwarded.finish(headers.LOST if result.written else headers.UNSENT, result.reason)
            else:
                forwarded.finish(headers.SENT, "", result.response)

        connection.send_request(encode(forwarded.deadline - now), forwarded.request_id, on_result)


class InboundProxy(HttpServer):
    """Takes requests from other sidecars."""

    def __init__(self, clock: Callable[[], float], forwarder: InstanceForwarder) -> None:
        limits = HttpLimits(MAX_HEAD_BYTES, MAX_BODY_BYTES, HEAD_TIMEOUT_S, IDLE_TIMEOUT_S)
        super().__init__(clock, limits, forwarder.pool.body_memory, MAX_SIDECAR_CONNECTIONS)
        self.forwarder = forwarder
        self.exit_at = math.inf  # time by which this process may have exited

    def rejection_lines(self, request: http.Message, reason: str) -> list[bytes]:
        """Reports that the request was not sent to the server."""
        _, attempt_id = headers.parse_hints(request.header(headers.MESH_HEADER.lower()))
        return [headers.encode_report(headers.UNSENT, 0, attempt_id, reason)]

    def handle(self, exchange: Exchange) -> None:
        """Forwards a request, and responds with the report on how that ended."""
        request = exchange.request
        instance_id, caller = request.text(b"x-expect-instance"), request.header(b"x-caller") or b""
        hints, attempt_id = headers.parse_hints(request.header(headers.MESH_HEADER.lower()))
        remaining_s = (headers.parse_deadline(request) or 0.0) - self.waiting_time(request, hints.idempotent)

        def on_forwarded(outcome: bytes, reason: str, response: http.Message | None, in_flight: int) -> None:
            report = headers.encode_report(outcome, in_flight, attempt_id, reason)
            if response is None:
                status = 503 if outcome == headers.UNSENT else 504 if outcome == headers.LATE else 502
                exchange.respond(status, b"", [report])
            else:
                lines = [*headers.forwarded_lines(response), report]
                exchange.respond(response.status, bytes(response.body), lines)

        if self.clock() + remaining_s > self.exit_at:
            return on_forwarded(headers.UNSENT, SHUTTING_DOWN, None, 0)
        forwarded = self.forwarder.forward(
            request, headers.forwarded_lines(request), instance_id, caller, remaining_s, hints, on_forwarded
        )
        if forwarded is not None and exchange.response_parts is None:
            exchange.on_disconnect = forwarded.cancel
