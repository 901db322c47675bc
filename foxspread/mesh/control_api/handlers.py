"""Calls of servers and operators: `/api/RESOURCE.CALL` or `/api/RESOURCE.CALL/ID`. Each resource is an
object whose methods are its calls; an outcome is an answer or a failure with a reason.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import orjson

from foxspread.mesh.dataplane.serving import Desk, Exchange, Limits
from foxspread.mesh.log import log_event
from foxspread.mesh.errors import Failure

# Bytes of a call: 16,000 routes. What JSON of that size may become in memory, 27 times as much at the worst,
# a process can bear.
ORDER_MOST = 4 * 1024 * 1024
JSON = b"Content-Type: application/json\r\n"
Answer = dict[str, Any] | Failure
Call = Callable[[str, bytes], Awaitable[Answer]]


class Elsewhere:
    """Whoever asks is sent on."""

    def __init__(self, location: str) -> None:
        self.location = location


class ControlApi(Desk):
    def __init__(self, clock: Callable[[], float], resources: dict[str, object]) -> None:
        super().__init__(clock, Limits(16 * 1024, ORDER_MOST, 5.0, 30.0))
        self.resources = resources
        self.tasks: set[asyncio.Task] = set()

    def take(self, exchange: Exchange) -> None:
        message = exchange.message
        path = message.target.partition(b"?")[0].decode("latin-1")
        call, id = self._found(message.method.decode("latin-1"), path)
        if call is None:
            return exchange.answer(404, b'{"error":"no such call"}', [JSON])
        task = asyncio.get_running_loop().create_task(self._run(exchange, call, id))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _found(self, method: str, path: str) -> tuple[Call | None, str]:
        if not path.startswith("/api/"):
            return None, ""
        name, _, id = path[5:].partition("/")
        resource, _, verb = name.partition(".")
        found = getattr(self.resources.get(resource), f"{method}_{verb}".lower(), None)
        return found, id

    async def _run(self, exchange: Exchange, call: Call, id: str) -> None:
        try:
            answer = await call(id, bytes(exchange.message.body))
        except Exception as error:
            log_event("call_fault", target=exchange.message.target.decode("latin-1"), fault=repr(error))
            exchange.answer(500, b'{"error":"a fault of ours"}', [JSON])  # the caller goes elsewhere
            raise
        if isinstance(answer, Failure):
            exchange.answer(answer.status, orjson.dumps({"error": answer.reason}), [JSON])
        elif isinstance(answer, Elsewhere):
            exchange.answer(307, b"", [b"Location: %b\r\n" % answer.location.encode()])
        else:
            exchange.answer(200, orjson.dumps(answer), [JSON])


class ReadinessApi(Desk):
    """The platform's question, once a second."""

    def __init__(self, clock: Callable[[], float], ready: Callable[[], bool]) -> None:
        super().__init__(clock, Limits(8 * 1024, 1024, 5.0, 30.0))
        self.ready = ready

    def take(self, exchange: Exchange) -> None:
        if not exchange.message.target.startswith(b"/api/ready"):
            return exchange.answer(404, b"")
        ready = self.ready()
        exchange.answer(200 if ready else 503, b"ready\n" if ready else b"not ready\n")
