"""Faulty processes of the mesh, which a soak has to catch: `python -m foxspread.mesh.soak.mutants NAME`.

Each mutant changes one part of the process as it once was, or as it must never be.
"""

import signal
import sys
from collections.abc import Callable

from foxspread.mesh import event_log
from foxspread.mesh.dataplane import counted_reader, http_server, outbound_proxy
from foxspread.mesh.endpoints import Endpoints
from foxspread.mesh.registry.endpoint_records import UP, EndpointRecords
from foxspread.mesh.serving import serve
from foxspread.net import http

MODULE = "foxspread.mesh.soak.mutants"


def late_requests() -> None:
    """A sidecar that shuts down takes requests that may outlast it, and waits for all others (`review/1`)."""

    def callers_have_alternatives(
        self: EndpointRecords, now: float, node: str, zone: str, up_for_s: float
    ) -> bool:
        sidecars = [self.by_node[each] for each in self.sidecars_of_zone.get(zone, ())]
        up = [each.node for each in sidecars if each.node != node and each.state == UP]
        ready = sum(now - self.in_state_since[each] >= up_for_s for each in up)
        return len(sidecars) < 2 or 2 * ready >= len(sidecars)

    Endpoints.reject_requests_beyond = lambda self, exit_at: None  # type: ignore[method-assign]
    EndpointRecords.callers_have_alternatives = callers_have_alternatives  # type: ignore[method-assign]


def kept_bodies() -> None:
    """A connection keeps the last body that went over it (`review/2`)."""
    counted_reader.CountedReader.on_message_complete = (  # type: ignore[method-assign]
        lambda self: http.MessageReader.on_message_complete(self)
    )


def kept_events() -> None:
    """The event log keeps all events with their bodies (`review/3`)."""
    event_log._summary = lambda event: event  # type: ignore[assignment, return-value]


def refused_run() -> None:
    """A request that is not idempotent and was answered by a server is refused now and then."""
    respond = http_server.Exchange.respond
    count = 0

    def respond_falsely(self: http_server.Exchange, status: int, *args: object, **options: object) -> None:
        nonlocal count
        is_outbound = isinstance(self.connection.server, outbound_proxy.OutboundProxy)
        if is_outbound and status == 200 and self.request.method == b"POST":
            count += 1
            if count % 50 == 0:
                return respond(self, 503, b"")
        respond(self, status, *args, **options)  # type: ignore[arg-type]

    http_server.Exchange.respond = respond_falsely  # type: ignore[method-assign]


def swapped_answer() -> None:
    """A client gets the answer of an earlier request now and then."""
    respond = http_server.Exchange.respond
    last: list[tuple] = []

    def respond_swapped(self: http_server.Exchange, status: int, *args: object, **options: object) -> None:
        if status == 200 and isinstance(self.connection.server, outbound_proxy.OutboundProxy):
            last.append((status, *args))
            if len(last) % 50 == 0:
                return respond(self, *last[-2], **options)
        respond(self, status, *args, **options)  # type: ignore[arg-type]

    http_server.Exchange.respond = respond_swapped  # type: ignore[method-assign]


MUTANTS: dict[str, Callable[[], None]] = {
    each.__name__: each for each in (late_requests, kept_bodies, kept_events, refused_run, swapped_answer)
}


def main(name: str) -> int:
    """Runs a process of the mesh with one change; returns its exit code."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    MUTANTS[name]()
    return serve()


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
