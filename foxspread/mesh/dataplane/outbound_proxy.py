"""The outbound proxy: carries out the requests of clients, and of the server, on this machine.

`request_attempts` decides each step; here the steps are taken on sockets.
"""

import asyncio
import math
from collections import Counter
from collections.abc import Callable

from foxspread.mesh.configuration.routes import Route, RouteTable
from foxspread.mesh.dataplane import headers
from foxspread.mesh.dataplane.http_server import Exchange, HttpLimits, HttpServer
from foxspread.mesh.dataplane.inbound_proxy import (
    MAX_IDLE_FOR_UNSAFE_S,
    ForwardedRequest,
    InstanceForwarder,
)
from foxspread.mesh.dataplane.instance_guard import INSTANCE_GONE, SHUTTING_DOWN, RequestHints
from foxspread.mesh.dataplane.request_attempts import (
    MAX_RETRY_AFTER_FRACTION,
    ForwardResponse,
    ProxiedRequest,
    RespondWithError,
    RetryAndBalancingPolicy,
    SendAttempt,
    Step,
    remaining_time,
)
from foxspread.mesh.dataplane.upstream_connections import (
    CONNECT_TIMED_OUT,
    CONNECT_TIMEOUT_S,
    CONNECTION_REFUSED,
    CallResult,
    ConnectionPool,
    UpstreamConnection,
)
from foxspread.mesh.log import log_event
from foxspread.model import Outcome
from foxspread.net import http

MAX_CLIENT_CONNECTIONS = 1000
MIN_CONNECT_TIMEOUT_S = 0.05
MIN_HEDGE_DELAY_FRACTION = 0.5  # of the latency target, before a hedged attempt
# Reasons for which a request was not sent, and that the server itself has caused.
FAILURES_OF_SERVER = (CONNECTION_REFUSED, CONNECT_TIMED_OUT, INSTANCE_GONE)


class OutboundRequest:
    """One request of a client in progress, until its one response."""

    __slots__ = ("proxy", "exchange", "request", "lines", "operations", "timers", "hints")

    def __init__(self, proxy: "OutboundProxy", exchange: Exchange, request: ProxiedRequest) -> None:
        self.proxy, self.exchange, self.request = proxy, exchange, request
        self.lines = headers.forwarded_lines(exchange.request)
        self.hints = RequestHints(
            request.route.latency_target_s, max(0, request.route.priority), request.route.idempotent
        )
        # By attempt: what carries it, or connects for it.
        self.operations: list[UpstreamConnection | ForwardedRequest | asyncio.Task | None] = []
        self.timers: list[asyncio.TimerHandle] = []  # each keeps this object alive until it fires
        self._schedule(max(0.0, request.deadline - request.started_at), self.on_deadline)

    def _schedule(self, delay_s: float, callback: Callable, *args: int) -> None:
        self.timers.append(asyncio.get_running_loop().call_later(delay_s, callback, *args))

    def execute(self, step: Step) -> None:
        """Takes a step, and those that follow at once."""
        while step is not None:
            if isinstance(step, SendAttempt):
                step = self._send_attempt(step)
                continue
            self._finish(step)
            return

    def _finish(self, step: ForwardResponse | RespondWithError) -> None:
        self._cancel_attempts()
        if isinstance(step, ForwardResponse):
            response = self.request.attempts[step.number].response
            lines = headers.forwarded_lines(response)
            self.exchange.respond(response.status, bytes(response.body), lines)
        else:
            self.proxy.count_error(self.request, step)
            lines = [b"Retry-After: %.3f\r\n" % step.retry_after_s] if step.retry_after_s is not None else []
            self.exchange.respond(step.status, step.reason.encode() + b"\n", lines)

    def _send_attempt(self, step: SendAttempt) -> Step:
        proxy, request, server = self.proxy, self.request, step.server
        remaining_s = request.deadline - proxy.clock()
        number, message, route = step.number, self.exchange.request, request.route
        while len(self.operations) <= number:
            self.operations.append(None)
        if route.idempotent:
            hedge_delay_s = max(
                request.balancer.overdue_after(proxy.clock()),
                MIN_HEDGE_DELAY_FRACTION * route.latency_target_s,
            )
            if hedge_delay_s < remaining_s:
                self._schedule(hedge_delay_s, self.on_overdue, number)
        if server.node == proxy.node:

            def on_forwarded(
                outcome: bytes, reason: str, response: http.Message | None, in_flight: int
            ) -> None:
                self.on_attempt_ended(
                    number, *classify_attempt(outcome, reason, response), response, in_flight
                )

            hints = self.hints._replace(is_repeat=step.is_repeat)
            self.operations[number] = proxy.forwarder.forward(
                message, self.lines, server.id, proxy.service, remaining_s, hints, on_forwarded
            )
            return None
        max_idle_s = None if route.idempotent else MAX_IDLE_FOR_UNSAFE_S
        connection = proxy.pool.reuse(server.address, max_idle_s)
        if connection is not None:
            self._send_on(step, connection)
        else:
            self.operations[number] = asyncio.get_running_loop().create_task(
                self._connect_and_send(step, server.address)
            )
        return None

    async def _connect_and_send(self, step: SendAttempt, address: tuple) -> None:
        number, pool = step.number, self.proxy.pool
        timeout_s = min(
            CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, self.request.deadline - self.proxy.clock())
        )
        connection = await pool.connect(address, timeout_s)
        if isinstance(connection, str):
            # A timeout shorter than usual says nothing about the server.
            failed = connection in FAILURES_OF_SERVER and (
                connection != CONNECT_TIMED_OUT or timeout_s == CONNECT_TIMEOUT_S
            )
            outcome = Outcome.CONNECT_FAILED if failed else Outcome.UNSENT
            return self.on_attempt_ended(number, outcome, False, None, None)
        if self.request.attempts[number].outcome is not None:
            return pool.put(connection)
        if self.proxy.clock() >= self.request.deadline:  # this process may have been suspended meanwhile
            pool.put(connection)
            return self.on_attempt_ended(number, Outcome.UNSENT, False, None, None)
        self._send_on(step, connection)

    def _send_on(self, step: SendAttempt, connection: UpstreamConnection) -> None:
        proxy, request, message, number = self.proxy, self.request, self.exchange.request, step.number
        attempt, attempt_id = request.attempts[number], proxy.pool.next_attempt_id()
        self.operations[number] = connection
        hints_line = headers.encode_hints(self.hints._replace(is_repeat=step.is_repeat), attempt_id)
        parts = headers.encode_request(
            message,
            self.lines,
            request.deadline - proxy.clock(),
            proxy.service,
            attempt.server.id.encode(),
            hints_line,
        )

        def on_result(result: CallResult) -> None:
            response = result.response
            if response is None:
                outcome = Outcome.RESET if result.written else Outcome.CONNECT_FAILED
                return self.on_attempt_ended(number, outcome, result.written, None, None)
            reported, in_flight, reason = parse_report(response)
            if reported == headers.SENT and not headers.is_response_to(response, message):
                return self.on_attempt_ended(number, Outcome.RESET, True, None, in_flight)
            self.on_attempt_ended(number, *classify_attempt(reported, reason, response), response, in_flight)

        connection.send_request(parts, attempt_id, on_result)

    def on_attempt_ended(
        self,
        number: int,
        outcome: Outcome,
        arrived: bool,
        response: http.Message | None,
        in_flight: int | None,
    ) -> None:
        """Records the end of an attempt, and takes the next step."""
        now, request, policy = self.proxy.clock(), self.request, self.proxy.policy
        if request.attempts[number].outcome is not None:
            return
        self.operations[number] = None
        if outcome is not Outcome.SUCCESS:
            status = response.status if response is not None else 0
            server = request.attempts[number].server.id
            self.proxy.failed_attempts[request.route.name, server, outcome.label, status] += 1
        policy.on_attempt_ended(now, request, number, outcome, arrived, response, in_flight)
        self.execute(policy.next_step(now, request))

    def on_overdue(self, number: int) -> None:
        """May send a hedged attempt beside one that is in flight for long."""
        if not self.request.finished:
            self.execute(self.proxy.policy.on_overdue(self.proxy.clock(), self.request, number))

    def on_deadline(self) -> None:
        """Ends all attempts shortly before the client gives up."""
        now, request, policy = self.proxy.clock(), self.request, self.proxy.policy
        for number in request.in_flight():
            operation = self.operations[number]
            sent = (
                isinstance(operation, UpstreamConnection)
                or isinstance(operation, ForwardedRequest)
                and operation.connection is not None
            )
            self._cancel(number)
            outcome = Outcome.TIMED_OUT if sent else Outcome.UNSENT
            policy.on_attempt_ended(now, request, number, outcome, sent, None, None)
        self.execute(policy.next_step(max(now, request.deadline), request))

    def on_client_gone(self) -> None:
        """Cancels all attempts when the client has closed its connection."""
        self._cancel_attempts()
        self.proxy.policy.on_client_gone(self.proxy.clock(), self.request)

    def _cancel_attempts(self) -> None:
        now, policy = self.proxy.clock(), self.proxy.policy
        for timer in self.timers:
            timer.cancel()
        for number in self.request.in_flight():
            self._cancel(number)
            policy.on_attempt_ended(now, self.request, number, Outcome.CANCELLED, True, None, None)

    def _cancel(self, number: int) -> None:
        operation, self.operations[number] = self.operations[number], None
        if operation is not None:
            operation.cancel()


def parse_report(message: http.Message) -> tuple[bytes, int | None, str]:
    """Returns what the inbound proxy reports of an attempt: outcome, requests in flight, reason.

    The outcome is empty in a response that does not come from a sidecar of this mesh.
    """
    parts = (message.header(headers.MESH_HEADER.lower()) or b"").split(b" ", 3)
    in_flight = int(parts[1]) if len(parts) > 1 and parts[1].isdigit() else None
    return parts[0], in_flight, parts[3].decode("latin-1") if len(parts) > 3 else ""


def classify_attempt(reported: bytes, reason: str, response: http.Message | None) -> tuple[Outcome, bool]:
    """Returns how an attempt ended, and whether it may have reached the server."""
    if reported == headers.UNSENT:
        return (Outcome.CONNECT_FAILED if reason in FAILURES_OF_SERVER else Outcome.UNSENT), False
    if reported == headers.LATE:
        return Outcome.TIMED_OUT, True
    if reported != headers.SENT or response is None:
        return Outcome.RESET, True
    if response.status == 400:
        return Outcome.SUCCESS, True  # the request itself is malformed: other servers would say the same
    if response.header(b"x-not-run") is not None or response.status == 421:
        return Outcome.OVERLOADED, True
    if response.status >= 500 or response.status < 200:
        return Outcome.ERROR, True
    if response.status < 300 and response.header(b"x-stamp") is None:
        return Outcome.RESET, True  # a success without a stamp is not a response of the server
    return Outcome.SUCCESS, True


class OutboundProxy(HttpServer):
    """Takes requests from clients and from the server on this machine.

    `has_configuration` says whether any configuration is known; `service` names the local service.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        node: str,
        service: bytes,
        policy: RetryAndBalancingPolicy,
        routes: RouteTable,
        has_configuration: Callable[[], bool],
        pool: ConnectionPool,
        forwarder: InstanceForwarder,
    ) -> None:
        super().__init__(clock, HttpLimits(), pool.body_memory, MAX_CLIENT_CONNECTIONS)
        self.node, self.service, self.policy, self.routes = node, service, policy, routes
        self.has_configuration = has_configuration
        self.pool, self.forwarder = pool, forwarder
        self.exit_at = math.inf  # time by which this process may have exited
        # Responses that did not come from a server, by route, status and reason.
        self.errors: Counter[tuple[str, int, str]] = Counter()
        # Attempts that failed, by route, server, outcome and status.
        self.failed_attempts: Counter[tuple[str, str, str, int]] = Counter()

    def count_error(self, request: ProxiedRequest, step: RespondWithError) -> None:
        """Counts a response that did not come from a server."""
        outcomes = ",".join(each.outcome.label if each.outcome else "out" for each in request.attempts)
        self.errors[request.route.name, step.status, f"{step.reason} after {outcomes or 'no try'}"] += 1

    def log_failures(self) -> None:
        """Logs what has failed since the last call, one line for each route and reason."""
        for (route, server, outcome, status), times in self.failed_attempts.items():
            log_event("tries", route=route, server=server, outcome=outcome, status=status, times=times)
        self.failed_attempts.clear()
        for (route, status, why), times in self.errors.items():
            log_event("unserved", route=route, status=status, why=why, times=times)
        self.errors.clear()
        for (status, why), times in self.rejections.items():
            log_event("unread", status=status, why=why, times=times)
        self.rejections.clear()

    def handle(self, exchange: Exchange) -> None:
        """Finds the route of a request, and begins its first attempt."""
        message = exchange.request
        path = message.target.partition(b"?")[0].decode("latin-1")
        route = self.routes.find(message.text(b"host"), path)
        if route is None:
            if self.has_configuration():
                return exchange.respond(404, b"no route\n")
            return exchange.respond(503, b"no configuration yet\n", [b"Retry-After: 0.3\r\n"])
        now = self.clock()
        repeats = self.forwarder.guard.repeats
        repeat_probability = repeats.repeat_probability(message.header(b"x-request-id") or b"")
        waited_s = self.waiting_time(message, route.idempotent)
        timeout_s = headers.parse_deadline(message)
        remaining_s = remaining_time(route, timeout_s, waited_s)
        exchange.deadline = now + remaining_s
        if self.exit_at < math.inf and exchange.latest_response_at() > self.exit_at:
            return self._reject_at_shutdown(exchange, route, remaining_s)
        request = self.policy.begin(now, route, timeout_s, waited_s, repeat_probability)
        outbound = OutboundRequest(self, exchange, request)
        exchange.on_disconnect = outbound.on_client_gone
        outbound.execute(self.policy.next_step(now, request))

    def _reject_at_shutdown(self, exchange: Exchange, route: Route, remaining_s: float) -> None:
        """Answers that a request, which may outlast this process, has not run; its successor may take it."""
        self.errors[route.name, 503, SHUTTING_DOWN] += 1
        retry_after = b"Retry-After: %.3f\r\n" % (MAX_RETRY_AFTER_FRACTION * remaining_s)
        exchange.respond(503, SHUTTING_DOWN.encode() + b"\n", [retry_after])
