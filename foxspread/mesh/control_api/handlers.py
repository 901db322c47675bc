"""The HTTP side of the control API: finds the handler of a request, runs it and sends its response.

The path of a call is `/api/RESOURCE.CALL` or `/api/RESOURCE.CALL/ID`. Each call gets exactly one response,
also if its handler fails: a caller without a response would not know whether to try another process.
"""

import asyncio
from collections.abc import Callable

import orjson

from foxspread.mesh.control_api.calls import Handler, Redirect, Request, Resource, Response
from foxspread.mesh.dataplane.http_server import Exchange, HttpLimits, HttpServer
from foxspread.mesh.errors import Failure
from foxspread.mesh.log import log_event

PREFIX = "/api/"
MAX_HEAD_BYTES = 16 * 1024
# Enough for 16,000 routes. Parsed JSON takes up to 27 times as much memory, which a process can afford.
MAX_CALL_BYTES = 4 * 1024 * 1024
HEAD_TIMEOUT_S, IDLE_TIMEOUT_S = 5.0, 30.0
MAX_PROBE_HEAD_BYTES, MAX_PROBE_BODY_BYTES = 8 * 1024, 1024
PROBE_PATH = b"/api/ready"

JSON_HEADER = b"Content-Type: application/json\r\n"
NO_SUCH_CALL = b'{"error":"no such call"}'
INTERNAL_ERROR = b'{"error":"a fault of ours"}'


class ControlApi(HttpServer):
    """Serves the calls of all resources, which are given by name."""

    def __init__(self, clock: Callable[[], float], resources: dict[str, Resource]) -> None:
        super().__init__(clock, HttpLimits(MAX_HEAD_BYTES, MAX_CALL_BYTES, HEAD_TIMEOUT_S, IDLE_TIMEOUT_S))
        self.resources = resources
        self._tasks: set[asyncio.Task[None]] = set()  # the event loop holds only weak references to tasks

    def handle(self, exchange: Exchange) -> None:
        """Starts the handler of one request."""
        message = exchange.request
        path = message.target.partition(b"?")[0].decode("latin-1")
        handler, id = self._find_handler(message.method.decode("latin-1"), path)
        if handler is None:
            return exchange.respond(404, NO_SUCH_CALL, [JSON_HEADER])
        task = asyncio.get_running_loop().create_task(self._run(exchange, handler, id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _find_handler(self, method: str, path: str) -> tuple[Handler | None, str]:
        """Returns the handler of a request, None if there is none, and the id in the path."""
        if not path.startswith(PREFIX):
            return None, ""
        name, _, id = path.removeprefix(PREFIX).partition("/")
        resource_name, _, call = name.partition(".")
        resource = self.resources.get(resource_name)
        handlers = resource.handlers() if resource is not None else {}
        return handlers.get((method.lower(), call.lower())), id

    async def _run(self, exchange: Exchange, handler: Handler, id: str) -> None:
        try:
            response = await handler(Request(id, bytes(exchange.request.body)))
        except Exception as error:
            log_event("call_fault", target=exchange.request.target.decode("latin-1"), fault=repr(error))
            exchange.respond(500, INTERNAL_ERROR, [JSON_HEADER])  # the caller tries another process
            raise
        self._answer(exchange, response)

    @staticmethod
    def _answer(exchange: Exchange, response: Response) -> None:
        if isinstance(response, Failure):
            exchange.respond(response.status, orjson.dumps({"error": response.reason}), [JSON_HEADER])
        elif isinstance(response, Redirect):
            exchange.respond(307, b"", [b"Location: %b\r\n" % response.location.encode()])
        else:
            exchange.respond(200, orjson.dumps(response.content), [JSON_HEADER])


class ReadinessApi(HttpServer):
    """Serves the readiness probe, which the platform sends once a second."""

    def __init__(self, clock: Callable[[], float], is_ready: Callable[[], bool]) -> None:
        super().__init__(
            clock, HttpLimits(MAX_PROBE_HEAD_BYTES, MAX_PROBE_BODY_BYTES, HEAD_TIMEOUT_S, IDLE_TIMEOUT_S)
        )
        self.is_ready = is_ready

    def handle(self, exchange: Exchange) -> None:
        """Responds to one probe."""
        if not exchange.request.target.startswith(PROBE_PATH):
            return exchange.respond(404, b"")
        if self.is_ready():
            exchange.respond(200, b"ready\n")
        else:
            exchange.respond(503, b"not ready\n")
