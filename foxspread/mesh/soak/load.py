"""The clients of a soak: workers that send requests of all kinds to the sidecar on their machine."""

import asyncio
import os
import random
import time
import zlib
from dataclasses import dataclass

from foxspread.mesh.emulators.client import validate_response
from foxspread.mesh.emulators.http_call import Reply, encode_request
from foxspread.mesh.local_cluster.layout import Machine
from foxspread.mesh.soak.client_connection import Answer, ClientConnection, connect
from foxspread.mesh.soak.configuration import DEADLINE_S, HOST, MAX_BODY_BYTES, SAFE_PREFIX, UNSAFE_PREFIX
from foxspread.mesh.soak.history import Ending, History, Request
from foxspread.mesh.soak.platform import ClientPlatform

WORKERS_PER_SIDECAR = 6
MAX_PIPELINED = 4
MAX_REST_S = 8.0  # of a kept connection, under four fifths of the platform's `idle_s`
LONGEST_WAIT_S = 0.05  # of a worker without work
NEW_CONNECTION_SHARE = 0.15
PIPELINE_SHARE, UPLOAD_SHARE, LEAVE_SHARE, REST_SHARE = 0.1, 0.05, 0.04, 0.03
UNSAFE_SHARE = 0.5


@dataclass(slots=True)
class Draft:
    """A request before it is sent."""

    id: str
    path: str
    idempotent: bool
    body: bytes

    def encoded(self) -> bytes:
        """Returns the request as it is sent."""
        headers = [f"X-Request-Id: {self.id}", f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}"]
        method = "GET" if self.idempotent and not self.body else "POST"
        return b"".join(encode_request(method, self.path, HOST, headers, self.body))


class Worker:
    """One client on one machine: it has one connection at a time, and goes on using it until that ends."""

    def __init__(
        self, machine: Machine, platform: ClientPlatform, history: History, rate: float, seed: str
    ) -> None:
        self.machine, self.platform, self.history = machine, platform, history
        self.draw = random.Random(seed)
        self.pause_s = 1 / rate
        self.connection: ClientConnection | None = None

    async def run(self, until: float) -> None:
        """Sends requests until that time on the monotonic clock."""
        while time.monotonic() < until:
            if not self.platform.gives_work(self.machine):
                await asyncio.sleep(LONGEST_WAIT_S)
                continue
            await self._act()
            await asyncio.sleep(self.draw.expovariate(1 / self.pause_s))
        self.close()

    def close(self) -> None:
        """Closes the connection, if there is one."""
        if self.connection is not None:
            self.connection.close()

    async def _act(self) -> None:
        share = self.draw.random()
        if share < PIPELINE_SHARE:
            drafts = [self.draft_request(idempotent=True) for _ in range(self.draw.randint(2, MAX_PIPELINED))]
            return await self.send(drafts)
        share -= PIPELINE_SHARE
        if share < UPLOAD_SHARE:
            size = int(MAX_BODY_BYTES ** self.draw.uniform(0.1, 1.0))
            return await self.send([self.draft_request(body=bytes(size))])
        share -= UPLOAD_SHARE
        if share < LEAVE_SHARE:
            return await self.send([self.draft_request()], leave_after_s=self.draw.uniform(0.0, 0.3))
        share -= LEAVE_SHARE
        if share < REST_SHARE:
            return await asyncio.sleep(self.draw.uniform(0.0, MAX_REST_S))
        return await self.send([self.draft_request()])

    def draft_request(self, idempotent: bool | None = None, body: bytes = b"") -> Draft:
        """Returns a new request, of a drawn kind unless it is given."""
        if idempotent is None:
            idempotent = self.draw.random() >= UNSAFE_SHARE
        id = os.urandom(8).hex()
        prefix = SAFE_PREFIX if idempotent else UNSAFE_PREFIX
        return Draft(id, f"{prefix}{id[:6]}", idempotent, body or (b"" if idempotent else id.encode()))

    async def send(self, drafts: list[Draft], leave_after_s: float | None = None) -> None:
        """Sends requests one behind another, and waits until all have ended."""
        if self.draw.random() < NEW_CONNECTION_SHARE:
            self.close()
        sent_at = time.monotonic()
        connection = await self._usable_connection()
        if connection is None:
            for draft in drafts:
                self._record(draft, sent_at, False, Ending.NOT_CONNECTED, Answer())
            return
        kept, sent_at = connection.carried > 0, time.monotonic()
        futures = connection.send([draft.encoded() for draft in drafts])
        wait_s = DEADLINE_S if leave_after_s is None else leave_after_s
        timer = asyncio.get_running_loop().call_later(wait_s, connection.abort)
        for draft, future in zip(drafts, futures, strict=True):
            answer = await future
            gives_up = Ending.TIMED_OUT if leave_after_s is None else Ending.LEFT
            ending = _ending(answer, gives_up if connection.was_aborted else Ending.CLOSED)
            self._record(draft, sent_at, kept, ending, answer)
        timer.cancel()

    async def _usable_connection(self) -> ClientConnection | None:
        if self.connection is None or not self.connection.is_usable:
            self.connection = await connect(self.machine.address("outbound"))
        return self.connection

    def _record(self, draft: Draft, sent_at: float, kept: bool, ending: Ending, answer: Answer) -> None:
        message = answer.message
        error, _ = validate_response(Reply(message), draft.id)
        self.history.requests.append(
            Request(
                id=draft.id,
                node=self.machine.node,
                service=self.machine.service,
                path=draft.path,
                body_checksum=zlib.crc32(draft.body),
                idempotent=draft.idempotent,
                deadline_s=DEADLINE_S,
                sent_at=sent_at,
                kept=kept,
                ended_at=time.monotonic(),
                ending=ending,
                status=message.status if message is not None else 0,
                response_error=error,
            )
        )


def _ending(answer: Answer, without_response: Ending) -> Ending:
    if answer.message is not None:
        return Ending.RESPONSE
    return Ending.OVERTAKEN if answer.overtaken else without_response


def make_workers(
    sidecars: list[Machine], platform: ClientPlatform, history: History, requests_per_s: float, seed: int
) -> list[Worker]:
    """Returns the workers of all machines, which together send about `requests_per_s`."""
    rate = requests_per_s / (len(sidecars) * WORKERS_PER_SIDECAR)
    return [
        Worker(machine, platform, history, rate, f"{seed}/{machine.node}/{number}")
        for machine in sidecars
        for number in range(WORKERS_PER_SIDECAR)
    ]
