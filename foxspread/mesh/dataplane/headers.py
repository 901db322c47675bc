"""Reads and writes the headers of proxied messages.

Headers that concern a single connection are not forwarded; headers of the mesh itself are always set anew.
"""

from foxspread.mesh.dataplane.instance_guard import RequestHints
from foxspread.net import http

# Never forwarded: headers of a single connection (RFC 9110, 7.6.1), and those that the mesh sets itself.
NOT_FORWARDED = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
        b"x-caller",
        b"x-expect-instance",
        b"x-deadline-ms",
        b"x-orchard",
    }
)
# Always forwarded, also where a `Connection` header names them: they are for every recipient (RFC 9110,
# 7.6.1).
END_TO_END = frozenset({b"host", b"x-request-id", b"x-stamp", b"x-not-run", b"x-instance", b"retry-after"})
# The mesh's own header between its sidecars. A request carries the latency target in milliseconds, the
# priority, safe or unsafe, first or again, and the id of the attempt. A response carries its outcome, the
# number of requests in flight at the server, the id of the attempt that it answers, and the reason. A header
# of this name from outside the mesh never passes a sidecar.
MESH_HEADER = b"X-Orchard"
MAX_DEADLINE_S = 3600.0  # longest time that a client may say it waits
SENT, UNSENT, LOST, LATE = b"sent", b"unsent", b"lost", b"late"
MAX_REASON_CHARS = 60
NO_ATTEMPT_ID = b"-"


def forwarded_lines(message: http.Message) -> list[bytes]:
    """Returns the header lines that are forwarded, as parts of one write."""
    named: set[bytes] = set()
    lines: list[bytes] = []
    headers = message.headers
    for name, value in headers:
        if len(name) == 10 and name.lower() == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    named -= END_TO_END
    for name, value in headers:
        lower_name = name.lower()
        if lower_name not in NOT_FORWARDED and lower_name not in named:
            lines.append(b"%b: %b\r\n" % (name, value))
    return lines


def encode_request(
    message: http.Message,
    lines: list[bytes],
    remaining_s: float,
    caller: bytes,
    instance: bytes,
    extra: bytes = b"",
) -> list[bytes]:
    """Returns the parts of a forwarded request; `remaining_s` is how long its client still waits."""
    head = b"%b %b HTTP/1.1\r\n" % (message.method, message.target)
    length = (
        b"Content-Length: %d\r\n" % len(message.body)
        if message.body or message.method not in (b"GET", b"HEAD", b"DELETE", b"OPTIONS")
        else b""
    )
    return [
        head,
        *lines,
        b"X-Deadline-Ms: %d\r\nX-Caller: %b\r\nX-Expect-Instance: %b\r\n%b%b\r\n"
        % (max(1, int(remaining_s * 1000)), caller, instance, extra, length),
        bytes(message.body),
    ]


def encode_hints(hints: RequestHints, attempt_id: bytes) -> bytes:
    """Returns the mesh's header line of a request; the response carries `attempt_id` back."""
    return b"%b: %d %d %b %b %b\r\n" % (
        MESH_HEADER,
        int(hints.latency_target_s * 1000),
        hints.priority,
        b"safe" if hints.idempotent else b"unsafe",
        b"again" if hints.is_repeat else b"first",
        attempt_id,
    )


def parse_hints(value: bytes | None) -> tuple[RequestHints, bytes]:
    """Returns the hints of a request and the id of the attempt.

    A value that can't be parsed means the most careful hints: not idempotent, lowest priority, a repeat.
    """
    parts = (value or b"").split(b" ")
    if len(parts) != 5 or not parts[0].isdigit() or not parts[1].isdigit():
        return RequestHints(is_repeat=True), NO_ATTEMPT_ID
    hints = RequestHints(int(parts[0]) / 1000, int(parts[1]), parts[2] == b"safe", parts[3] != b"first")
    return hints, parts[4] if parts[4].isalnum() else NO_ATTEMPT_ID


def encode_report(outcome: bytes, in_flight: int, attempt_id: bytes, reason: str) -> bytes:
    """Returns the header line by which the inbound proxy says how an attempt ended."""
    reason = "".join(each if " " <= each <= "~" else " " for each in reason[:MAX_REASON_CHARS])
    return b"%b: %b %d %b %b\r\n" % (MESH_HEADER, outcome, in_flight, attempt_id, reason.encode())


def attempt_id(message: http.Message) -> bytes | None:
    """Returns the id of the attempt that a sidecar's response belongs to; None where it has none."""
    parts = (message.header(b"x-orchard") or b"").split(b" ", 3)
    return parts[2] if len(parts) > 2 else None


def is_response_to(message: http.Message, request: http.Message) -> bool:
    """Returns whether a server's response may belong to that request.

    A response without a request id is accepted: it can't claim to belong to another request.
    """
    response_id = request_id(message)
    return response_id is None or response_id == (request_id(request) or b"")


def request_id(message: http.Message) -> bytes | None:
    """Returns the value of `X-Request-Id`."""
    return message.header(b"x-request-id")


def parse_deadline(message: http.Message) -> float | None:
    """Returns the seconds that the client still waits; None where the header is missing or malformed."""
    value = message.header(b"x-deadline-ms")
    try:
        return min(MAX_DEADLINE_S, max(0.0, float(value) / 1000)) if value is not None else None
    except ValueError:
        return None
