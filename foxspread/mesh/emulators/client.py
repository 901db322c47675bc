"""An emulated client: sends requests to the sidecar beside it and records how each one ended.

Its retries follow the platform's rules: an idempotent request is retried after any failure, any other request
only after a response that guarantees that it was not executed. Each attempt has an id of its own.
"""

import asyncio
import os
import zlib
from dataclasses import dataclass, field

from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.emulators.event_record import EventRecord
from foxspread.mesh.emulators.http_call import Reply, encode_request, send_request
from foxspread.mesh.settings import Address, format_address
from foxspread.net import http

NOT_EXECUTED_STATUSES = (408, 421, 429, 503)  # the request was not executed and never will be
FINAL_STATUSES = (400, 401, 404, 413, 431)  # not retried
MAX_ATTEMPTS = 4
INITIAL_RETRY_DELAY_S = 0.02  # doubles with each attempt; Retry-After takes precedence
MIN_TIME_FOR_RETRY_S = 0.01
READINESS_PROBE_TIMEOUT_S = 1.0
MAX_FAILED_READINESS_PROBES = 2  # in a row, after which the client gets no new requests


@dataclass(frozen=True, slots=True)
class RequestSpec:
    """The request to send: host and path, and what the operator configured for that route."""

    host: str
    path: str
    idempotent: bool
    deadline_s: float


@dataclass(slots=True)
class RequestResult:
    """How a request ended for its client.

    The fields from `ended_at` to `response_error` describe its last attempt.
    """

    spec: RequestSpec
    caller: str
    started_at: float  # first attempt, on the event loop's clock
    ended_at: float = 0.0
    status: int = 0  # 0: no response
    service: str = ""  # that executed it
    failure: str = ""  # why there is no response
    response_error: str = ""  # how a successful response is wrong, as if it were another request's
    attempt_ids: list[str] = field(default_factory=list)

    @property
    def succeeded(self) -> bool:
        """Whether a correct response with a status of success came."""
        return 200 <= self.status < 300 and not self.response_error


class Client:
    """Sends requests to the sidecar at `outbound_address`; `readiness_address` has its readiness probe."""

    def __init__(
        self,
        name: str,
        outbound_address: Address,
        readiness_address: Address,
        pool: ConnectionPool,
        event_record: EventRecord | None = None,
    ) -> None:
        self.name, self.outbound_address, self.readiness_address = name, outbound_address, readiness_address
        self.pool = pool
        self.event_record = event_record or EventRecord()
        self.failed_probes = 0  # in a row
        self.results: list[RequestResult] = []

    @property
    def is_available(self) -> bool:
        """Whether the platform gives this client new requests."""
        return self.failed_probes < MAX_FAILED_READINESS_PROBES

    async def probe_readiness(self) -> bool:
        """Sends the platform's readiness probe to the sidecar; returns whether the sidecar is ready."""
        parts = encode_request("GET", "/api/ready", format_address(self.readiness_address))
        reply = await send_request(self.pool, self.readiness_address, parts, READINESS_PROBE_TIMEOUT_S)
        self.failed_probes = 0 if reply.status == 200 else self.failed_probes + 1
        return reply.status == 200

    async def probe_periodically(self, interval_s: float = 1.0) -> None:
        """Probes the sidecar's readiness until cancelled."""
        while True:
            await self.probe_readiness()
            await asyncio.sleep(interval_s)

    async def request(self, spec: RequestSpec, recorded: bool = True) -> RequestResult:
        """Sends a request, with retries; a `recorded` one is added to `results`."""
        clock = self.pool.clock
        result = RequestResult(spec, self.name, clock())
        deadline, delay = result.started_at + spec.deadline_s, INITIAL_RETRY_DELAY_S
        for attempt in range(MAX_ATTEMPTS):
            remaining_s = deadline - clock()
            reply = await self._attempt(result, remaining_s, new_connection=attempt > 0)
            result.ended_at, result.status, result.failure = clock(), reply.status, reply.failure
            result.response_error, result.service = validate_response(reply, result.attempt_ids[-1])
            self.event_record.add(
                "try",
                id=result.attempt_ids[-1],
                caller=self.name,
                path=spec.path,
                status=result.status,
                why=result.failure,
                mixed=result.response_error,
                took=result.ended_at - result.started_at,
            )
            remaining_s = deadline - result.ended_at
            delay = min(retry_after_s(reply.message, delay), remaining_s / 3)
            is_final = result.status in FINAL_STATUSES or 200 <= result.status < 300
            if is_final or remaining_s <= MIN_TIME_FOR_RETRY_S:
                break
            not_executed = result.status in NOT_EXECUTED_STATUSES or not result.status and not reply.sent
            if not (spec.idempotent or not_executed):
                break
            await asyncio.sleep(delay)
            delay *= 2
        if recorded:
            self.results.append(result)
        return result

    async def _attempt(self, result: RequestResult, remaining_s: float, new_connection: bool) -> Reply:
        spec, id = result.spec, os.urandom(8).hex()
        result.attempt_ids.append(id)
        headers = [f"X-Request-Id: {id}", f"X-Deadline-Ms: {max(1, int(remaining_s * 1000))}"]
        method, body = ("GET", b"") if spec.idempotent else ("POST", id.encode())
        parts = encode_request(method, spec.path, spec.host, headers, body)
        return await send_request(self.pool, self.outbound_address, parts, remaining_s, new_connection)


def retry_after_s(message: http.Message | None, default_s: float) -> float:
    """Seconds that Retry-After names, or the default where the response has no such header."""
    if message is None:
        return default_s
    try:
        return max(0.0, float(message.text(b"retry-after")))
    except ValueError:
        return default_s


def validate_response(reply: Reply, id: str) -> tuple[str, str]:
    """What is wrong with a successful response, and the service that sent it.

    The X-Stamp header names the service and has a checksum over the request's id and the body.
    """
    message = reply.message
    if message is None or not 200 <= message.status < 300:
        return "", ""
    service, dot, rest = message.text(b"x-stamp").partition(".")
    if not dot:
        return "the response has no X-Stamp", ""
    if message.text(b"x-request-id") != id:
        return "the response belongs to another request", service
    if rest.rpartition(".")[2] != f"{zlib.crc32(message.body, zlib.crc32(id.encode())):08x}":
        return "the body does not match its checksum", service
    return "", service
