"""Heads as they go on: what concerns one connection stays behind, what the system says is set."""

from foxspread.mesh.dataplane.lasthop import Terms
from foxspread.net import http

# Never passed on: of one connection (RFC 9110, 7.6.1), or written by the system itself.
OWN = frozenset(
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
# For all who read a message: a `Connection` that names one of them takes nothing away (RFC 9110, 7.6.1).
END_TO_END = frozenset({b"host", b"x-request-id", b"x-stamp", b"x-not-run", b"x-instance", b"retry-after"})
# Of the system's own, on the way between its sidecars. On a request: aim in milliseconds, rank, safe or not,
# first run or again, mark of this sending; on an answer: a word, how many requests the last hop holds there,
# the mark of the sending that it answers, why. Others' headers of that name never get past a sidecar.
WORD = b"X-Orchard"
LONGEST_S = 3600.0  # that a client may say it waits
SENT, UNSENT, LOST, LATE = b"sent", b"unsent", b"lost", b"late"


def kept(message: http.Message) -> list[bytes]:
    """The lines that go on, as one write's parts."""
    named: set[bytes] = set()
    lines: list[bytes] = []
    headers = message.headers
    for name, value in headers:
        if len(name) == 10 and name.lower() == b"connection":
            named.update(each.strip().lower() for each in value.split(b","))
    named -= END_TO_END
    for name, value in headers:
        low = name.lower()
        if low not in OWN and low not in named:
            lines.append(b"%b: %b\r\n" % (name, value))
    return lines


def request(
    message: http.Message, lines: list[bytes], left: float, caller: bytes, instance: bytes, extra: bytes = b""
) -> list[bytes]:
    """A request as it goes on; `left`: seconds that its client still waits."""
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
        % (max(1, int(left * 1000)), caller, instance, extra, length),
        bytes(message.body),
    ]


def hint(terms: Terms, mark: bytes) -> bytes:
    """`mark`: of this sending; its answer carries it back."""
    return b"%b: %d %d %b %b %b\r\n" % (
        WORD,
        int(terms.aim * 1000),
        terms.rank,
        b"safe" if terms.safe else b"unsafe",
        b"again" if terms.again else b"first",
        mark,
    )


def terms(told: bytes | None) -> tuple[Terms, bytes]:
    """And the mark of the sending. What is not plain counts as unsafe, of the lowest rank, and a repeat."""
    parts = (told or b"").split(b" ")
    if len(parts) != 5 or not parts[0].isdigit() or not parts[1].isdigit():
        return Terms(again=True), b"-"
    terms = Terms(int(parts[0]) / 1000, int(parts[1]), parts[2] == b"safe", parts[3] != b"first")
    return terms, parts[4] if parts[4].isalnum() else b"-"


def word(told: bytes, busy: int, mark: bytes, why: str) -> bytes:
    """The last hop's line on an answer."""
    why = "".join(each if " " <= each <= "~" else " " for each in why[:60])
    return b"%b: %b %d %b %b\r\n" % (WORD, told, busy, mark, why.encode())


def mark(message: http.Message) -> bytes | None:
    """Of the sending that an answer of a last hop belongs to; None where it tells none."""
    told = (message.header(b"x-orchard") or b"").split(b" ", 3)
    return told[2] if len(told) > 2 else None


def answers(message: http.Message, request: http.Message) -> bool:
    """Whether a server's answer tells the id of that request; one without an id can't tell another's."""
    told = request_id(message)
    return told is None or told == (request_id(request) or b"")


def request_id(message: http.Message) -> bytes | None:
    return message.header(b"x-request-id")


def deadline(message: http.Message) -> float | None:
    """Seconds; None where it is not told or not to be understood."""
    told = message.header(b"x-deadline-ms")
    try:
        return min(LONGEST_S, max(0.0, float(told) / 1000)) if told is not None else None
    except ValueError:
        return None
