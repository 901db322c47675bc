"""An emulated application server: limited concurrency, a short queue, heartbeats to the sidecar beside it.

It marks each response to a request that it has not executed with `X-Not-Run`, so that the request may be
retried elsewhere. `python -m foxspread.mesh.emulators.server FILE` runs one with the given settings file.

It misbehaves by named faults, injected into the next requests or into a share of all:

lose_answer   executes the request and closes the connection without a response
cut_answer    closes the connection in the middle of the body
garble        sends bytes that are not an HTTP response
extra_answer  sends a second response, with another request id, after the correct one
slow          takes twenty times as long
hang          never responds, and occupies its concurrency slot until the connection closes
crash         ends the process at once during the request, as if killed
"""

import asyncio
import os
import signal
import sys
import zlib
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, fields
from typing import Any

import orjson

from foxspread.mesh.dataplane.http_server import Exchange, HttpLimits, HttpServer, ServerConnection
from foxspread.mesh.dataplane.upstream_connections import ConnectionPool
from foxspread.mesh.emulators.event_record import EventRecord
from foxspread.mesh.emulators.http_call import encode_request, send_request
from foxspread.mesh.registry.incarnations import DRAINING, READY
from foxspread.mesh.settings import Address, format_address, parse_address
from foxspread.statistics import SeededRandom

FAULTS = ("lose_answer", "cut_answer", "garble", "extra_answer", "slow", "hang", "crash")
QUEUE_FRACTION = 0.5  # queue length, as a fraction of the concurrency limit
DEFAULT_DEADLINE_S = 60.0  # of a request without X-Deadline-Ms
HEARTBEAT_TIMEOUT_S = 1.0
MAX_HEARTBEAT_RESPONSE_BYTES = 4096
DRAIN_ACKNOWLEDGEMENT_TIMEOUT_S = 3.0  # after which a draining server ends unacknowledged
HEARTBEAT_RETRY_S = 0.3  # at most, while draining is not acknowledged
EXTRA_DRAIN_S = 0.1  # for which it serves beyond `drain_s`
SHUTDOWN_POLL_S = 0.02
SLOW_FAULT_FACTOR, SLOW_START_FACTOR = 20.0, 3.0  # multiply the processing time
IDLE_TIMEOUT_S = 30.0  # of connections to the server
MAX_BODY_BYTES = 64 * 1024 * 1024
HEARTBEAT_CONNECTION_IDLE_S = 10.0
CRASH_EXIT_CODE = 70


@dataclass
class ServerSettings:
    """The settings file of an emulated server; the fields are its keys. Unknown keys are rejected."""

    service: str
    address: str
    control: str  # control address of the sidecar beside it
    zone: str = ""
    edition: str = "v1"
    berths: int = 8  # requests executed at the same time
    work_s: float = 0.004  # mean processing time
    cold_s: float = 0.0  # length of its slow start
    heartbeat_s: float = 1.0  # interval between heartbeats
    drain_s: float = 1.0  # for which it serves after draining was acknowledged
    connection_cap: int = 100
    health: str = "/health"  # path of its health check
    tells_load: bool = True  # whether responses have X-Load
    body_bytes: int = 200
    seed: int = 1
    faults: dict[str, float] = field(default_factory=dict)  # share of requests by fault
    ledger: str | None = None  # path of its event record


def parse_settings(data: dict[str, Any]) -> ServerSettings:
    """Raises `ValueError` for an unknown key or fault."""
    unknown = set(data) - {each.name for each in fields(ServerSettings)}
    if unknown:
        raise ValueError(f"{sorted(unknown)[0]}: unknown key")
    for name in data.get("faults", {}):
        if name not in FAULTS:
            raise ValueError(f"faults: {name!r}: must be one of {', '.join(FAULTS)}")
    return ServerSettings(**data)


def parse_fault_shares(texts: Sequence[str]) -> dict[str, float]:
    """Parses texts of the form NAME=SHARE; raises `ValueError`."""
    shares = {}
    for text in texts:
        name, _, share = text.partition("=")
        try:
            shares[name] = float(share)
        except ValueError:
            shares[name] = -1.0
        if name not in FAULTS or not 0 <= shares[name] <= 1:
            raise ValueError(
                f"--fault {text}: expected NAME=SHARE with SHARE from 0 to 1 and NAME one of "
                f"{', '.join(FAULTS)}"
            )
    return shares


class Job:
    """One accepted request: queued, then executed."""

    __slots__ = ("exchange", "id", "deadline", "timer", "fault")

    def __init__(self, exchange: Exchange, id: str, deadline: float) -> None:
        self.exchange, self.id, self.deadline = exchange, id, deadline
        self.timer: asyncio.TimerHandle | None = None
        self.fault = ""  # injected; empty: none


class CappedConnection(ServerConnection):
    """A connection to the server; one that exceeds `connection_cap` is reset."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        super().connection_made(transport)
        if len(self.server.connections) > self.server.settings.connection_cap:
            self.server.event_record.add("over_cap")
            transport.abort()


class Server(HttpServer):
    """One incarnation of an emulated server; `crash` ends the process."""

    def __init__(
        self,
        settings: ServerSettings,
        event_record: EventRecord,
        crash: Callable[[], None] = lambda: os._exit(CRASH_EXIT_CODE),
    ) -> None:
        self.loop = asyncio.get_running_loop()
        super().__init__(self.loop.time, HttpLimits(body_bytes=MAX_BODY_BYTES, idle_s=IDLE_TIMEOUT_S))
        self.settings, self.event_record, self.crash = settings, event_record, crash
        self.id = f"i-{os.urandom(4).hex()}"
        self.random_source = SeededRandom(settings.seed + int.from_bytes(os.urandom(3), "big"))
        self.state, self.sequence, self.response_count = READY, 0, 0
        self.slow_start_until = self.clock() + settings.cold_s
        self.injected_faults: deque[str] = deque()  # for the next requests, ahead of random ones
        self.running: set[Job] = set()
        self.queue: deque[Job] = deque()
        self.control_address = parse_address(settings.control)
        self.report_to: Address | None = None  # named by the last acknowledgement; tried first
        self.pool = ConnectionPool(self.clock, HEARTBEAT_CONNECTION_IDLE_S)
        self.listener: asyncio.Server | None = None
        self.heartbeat_task: asyncio.Task | None = None

    # Requests.

    def handle(self, exchange: Exchange) -> None:
        """Executes a request, queues it or rejects it."""
        message, now = exchange.request, self.clock()
        path = message.target.partition(b"?")[0].decode("latin-1")
        is_health_check = path == self.settings.health and message.method == b"GET"
        id = message.text(b"x-request-id")
        if not id and not is_health_check:
            return self._reject(exchange, id, 400)
        if message.text(b"x-expect-instance") not in ("", self.id):
            return self._reject(exchange, id, 421)
        time_limit_ms = message.text(b"x-deadline-ms")
        time_limit_s = float(time_limit_ms) / 1000 if time_limit_ms else DEFAULT_DEADLINE_S
        job = Job(exchange, id, now + time_limit_s)
        exchange.on_disconnect = lambda: self._on_disconnect(job)
        if len(self.running) < self.settings.berths:
            self._start(job)
        elif len(self.queue) < max(1, int(QUEUE_FRACTION * self.settings.berths)):
            self.queue.append(job)
            job.timer = self.loop.call_at(job.deadline, self._on_queue_timeout, job)
        else:
            self._reject(exchange, id, 503)

    def _start(self, job: Job) -> None:
        now, exchange = self.clock(), job.exchange
        self.running.add(job)
        if not job.id:  # a health check
            job.timer = self.loop.call_soon(self._finish, job, 200 if self.state == READY else 503)
            return
        message = exchange.request
        job.fault = self._next_fault()
        self.event_record.add(
            "run",
            id=job.id,
            method=message.method.decode("latin-1"),
            path=message.target.decode("latin-1"),
            body=zlib.crc32(message.body),
            caller=message.text(b"x-caller"),
            service=self.settings.service,
            instance=self.id,
            fault=job.fault,
        )
        if job.fault == "crash":
            return self.crash()
        if job.fault == "hang":
            return
        processing_s = self.settings.work_s * (0.5 + self.random_source.draw())
        if job.fault == "slow":
            processing_s *= SLOW_FAULT_FACTOR
        elif now < self.slow_start_until:
            processing_s *= SLOW_START_FACTOR
        in_time = now + processing_s <= job.deadline
        finish_at, status = min(now + processing_s, job.deadline), 200 if in_time else 504
        job.timer = self.loop.call_at(finish_at, self._finish, job, status)

    def _next_fault(self) -> str:
        if self.injected_faults:
            return self.injected_faults.popleft()
        draw = self.random_source.draw() if self.settings.faults else 1.0
        for name, share in self.settings.faults.items():
            if draw < share:
                return name
            draw -= share
        return ""

    def _finish(self, job: Job, status: int) -> None:
        self._release(job)
        exchange, fault = job.exchange, job.fault if status == 200 else ""
        connection = exchange.connection
        if job.id:
            self.event_record.add("answer", id=job.id, status=status, instance=self.id)
        if fault == "lose_answer":
            connection.transport.abort()
        elif fault == "garble":
            connection.transport.write(b"\x16\x03\x01 no answer at all\r\n\r\n")
            connection.transport.close()
        elif fault == "cut_answer":
            body = self._body(job)
            head = [
                b"HTTP/1.1 200 OK\r\n",
                *self._headers(job.id, body),
                b"Content-Length: %d\r\n\r\n" % len(body),
            ]
            connection.transport.write(b"".join(head) + body[: len(body) // 2])
            connection.transport.close()
        else:
            body = self._body(job) if status == 200 and job.id else b""
            exchange.respond(status, body, self._headers(job.id, body))
            if (
                fault == "extra_answer"
                and connection.transport is not None
                and not connection.transport.is_closing()
            ):
                headers = b"".join(self._headers("0" * 16, b"surplus\n"))
                connection.transport.write(
                    b"HTTP/1.1 200 OK\r\n%bContent-Length: 8\r\n\r\nsurplus\n" % headers
                )
        self._start_queued()

    def _on_queue_timeout(self, job: Job) -> None:
        self.queue.remove(job)
        self._reject(job.exchange, job.id, 503)

    def _on_disconnect(self, job: Job) -> None:
        """Drops a request whose connection has closed."""
        if job in self.queue:
            self.queue.remove(job)
        elif job in self.running:
            self._release(job)
        if job.timer is not None:
            job.timer.cancel()
        if job.id:
            self.event_record.add("left", id=job.id, instance=self.id)
        self._start_queued()

    def _release(self, job: Job) -> None:
        self.running.discard(job)
        if job.timer is not None:
            job.timer.cancel()

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.settings.berths:
            job = self.queue.popleft()
            job.timer.cancel()
            self._start(job)

    def _reject(self, exchange: Exchange, id: str, status: int) -> None:
        self.event_record.add("refusal", id=id, status=status, instance=self.id)
        exchange.respond(status, b"", [b"X-Not-Run: 1\r\n", *self._headers(id, b"")])

    def _body(self, job: Job) -> bytes:
        text = f"{self.settings.service} {self.id} {job.id}\n".encode()
        return text.ljust(self.settings.body_bytes, b".")

    def _headers(self, id: str, body: bytes) -> list[bytes]:
        self.response_count += 1
        headers = [b"X-Instance: %b\r\n" % self.id.encode(), b"Keep-Alive: timeout=%d\r\n" % IDLE_TIMEOUT_S]
        if id:
            checksum = zlib.crc32(body, zlib.crc32(id.encode()))
            stamp = f"{self.settings.service}.{self.id}.{self.response_count}.{checksum:08x}"
            headers += [f"X-Request-Id: {id}\r\nX-Stamp: {stamp}\r\n".encode()]
        if self.settings.tells_load:
            headers.append(
                b"X-Load: %d,%d,%d\r\n" % (len(self.running), len(self.queue), self.settings.berths)
            )
        return headers

    # Lifecycle.

    async def start(self) -> None:
        """Listens for requests and begins to send heartbeats."""
        self.listener = await self.loop.create_server(
            lambda: CappedConnection(self), *parse_address(self.settings.address)
        )
        self.heartbeat_task = self.loop.create_task(self._send_heartbeats())

    async def _send_heartbeats(self) -> None:
        while True:
            self.sweep(self.clock())
            self.pool.sweep()
            await self.send_heartbeat()
            await asyncio.sleep(self.settings.heartbeat_s)

    async def send_heartbeat(self) -> bool:
        """Sends one heartbeat; returns whether it was acknowledged."""
        self.sequence += 1
        body = {
            "service": self.settings.service,
            "address": self.settings.address,
            "zone": self.settings.zone,
            "edition": self.settings.edition,
            "berths": self.settings.berths,
            "state": self.state,
            "cold_s_time": round(max(0.0, self.slow_start_until - self.clock()), 3),
            "sequence": self.sequence,
        }
        return await self._call("Beat", orjson.dumps(body))

    async def _call(self, verb: str, body: bytes) -> bool:
        """Sends a call to `report_to`, then to the sidecar beside it; returns whether it was acknowledged."""
        addresses = (self.report_to, self.control_address)
        for address in dict.fromkeys(each for each in addresses if each is not None):
            target = f"/api/Instances.{verb}/{self.id}"
            parts = encode_request(
                "POST", target, format_address(address), ["Content-Type: application/json"], body
            )
            reply = await send_request(self.pool, address, parts, HEARTBEAT_TIMEOUT_S)
            acknowledged = (
                200 <= reply.status < 300 and len(reply.message.body) <= MAX_HEARTBEAT_RESPONSE_BYTES
            )
            self.event_record.add(
                "beat" if verb == "Beat" else "leave",
                instance=self.id,
                state=self.state,
                sequence=self.sequence,
                acknowledged=acknowledged,
                why=reply.failure or str(reply.status),
            )
            if acknowledged:
                self._update_report_to(reply.message.body)
                return True
            self.report_to = None
        return False

    def _update_report_to(self, body: bytes) -> None:
        try:
            self.report_to = parse_address(orjson.loads(body)["report_to"])
        except (ValueError, KeyError, TypeError, AttributeError):
            pass  # the acknowledgement names no valid address

    async def shut_down(self) -> None:
        """Shuts down gracefully: announces that it drains, serves on, reports that it leaves, closes."""
        self.state, deadline = DRAINING, self.clock() + DRAIN_ACKNOWLEDGEMENT_TIMEOUT_S
        self.heartbeat_task.cancel()
        while not (acknowledged := await self.send_heartbeat()) and self.clock() < deadline:
            await asyncio.sleep(min(HEARTBEAT_RETRY_S, self.settings.heartbeat_s))
        await asyncio.sleep(self.settings.drain_s + EXTRA_DRAIN_S if acknowledged else 0.0)
        self.retire()
        await self._call("Leave", b"{}")
        while self.running and self.clock() < deadline + self.settings.drain_s:
            await asyncio.sleep(SHUTDOWN_POLL_S)
        self.close()

    def close(self) -> None:
        """Closes all connections and stops the heartbeats at once."""
        if self.heartbeat_task is not None:
            self.heartbeat_task.cancel()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.pool.close_all()


async def run(settings: ServerSettings) -> None:
    """Runs a server until SIGTERM or SIGINT."""
    stop, event_record = asyncio.Event(), EventRecord(settings.ledger)
    server = Server(settings, event_record)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        server.loop.add_signal_handler(signal_number, stop.set)
    await server.start()
    await stop.wait()
    await server.shut_down()
    event_record.close()


def main(path: str) -> None:
    """Runs a server with the settings file at `path`."""
    with open(path, "rb") as file:
        settings = parse_settings(orjson.loads(file.read()))
    asyncio.run(run(settings))


if __name__ == "__main__":
    main(sys.argv[1])
