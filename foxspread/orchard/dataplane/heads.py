"""Heads as they go on: what concerns one connection stays behind, what the system says is set."""

from foxspread.net import http
from foxspread.orchard.dataplane.lasthop import Terms

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
# Of the system's own, on the way between its sidecars. On a request: aim in milliseconds, rank, safe or not;
# on an answer: a word and how many requests the last hop holds there.
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


def hint(terms: Terms) -> bytes:
    return b"%b: %d %d %b\r\n" % (
        WORD,
        int(terms.aim * 1000),
        terms.rank,
        b"safe" if terms.safe else b"unsafe",
    )


def terms(told: bytes | None) -> Terms:
    """What is not plain counts as unsafe and of the lowest rank."""
    parts = (told or b"").split(b" ")
    if len(parts) != 3 or not parts[0].isdigit() or not parts[1].isdigit():
        return Terms()
    return Terms(int(parts[0]) / 1000, int(parts[1]), parts[2] == b"safe")


def deadline(message: http.Message) -> float | None:
    """Seconds; None where it is not told or not to be understood."""
    told = message.header(b"x-deadline-ms")
    try:
        return min(LONGEST_S, max(0.0, float(told) / 1000)) if told is not None else None
    except ValueError:
        return None
