"""The rules that each attempt and each rejection has to pass; each rule is enforced here and nowhere else."""

from foxspread.decisions.slow_start import SlowStart
from foxspread.model import Idempotency, Request


class AdmissionControl:
    """Rules on retries, hedging and servers. `margin`: seconds by which it cuts the deduplication window."""

    def __init__(self, servers: SlowStart, max_attempts: int, hedging: bool, margin: float = 0.25) -> None:
        self.servers, self.max_attempts, self.hedging, self.margin = servers, max_attempts, hedging, margin

    def may_attempt(self, now: float, request: Request) -> bool:
        """Returns whether the request may be sent: not after an answer, beside another only with hedging."""
        ended = request.finished or request.not_resendable or now >= request.deadline
        if ended or len(request.attempts) >= self.max_attempts:
            return False
        if not request.attempts or not (ran := request.may_have_run()):
            return True
        if not self.hedging and request.in_flight():
            return False
        if request.category.idempotency is Idempotency.DEDUPLICATED:
            return now < ran[0].sent_at + request.category.deduplication_window - self.margin
        return request.category.idempotency is Idempotency.IDEMPOTENT

    def allows_server(self, now: float, request: Request, server: str) -> bool:
        """Returns whether this server may get the request now."""
        return self.is_eligible(request, server) and self.servers.has_budget(now, server)

    def is_eligible(self, request: Request, server: str) -> bool:
        """Returns whether the server is ready and would recognise the request's repetition where it must."""
        if server not in self.servers.ready or not request.attempts:
            return server in self.servers.ready
        ran, scope = request.deduplicated_attempts(), request.category.deduplication_scope
        return not ran or self.servers.in_same_scope(scope, ran[0].server, server)

    def may_send(self, now: float, request: Request, number: int) -> bool:
        """Checks an attempt again before its first byte: while it was connecting, all may have changed."""
        others = request.without_attempt(number)
        return self.may_attempt(now, others) and self.is_eligible(others, request.attempts[number].server)

    def eligible_servers(self, request: Request) -> list[str] | None:
        """Returns the servers of the only cell that may get the request; None where any cell may."""
        ran, scope = request.deduplicated_attempts(), request.category.deduplication_scope
        return self.servers.cell_servers(ran[0].server) if ran and scope == "cell" else None

    def may_reject(self, request: Request) -> bool:
        """Returns whether the client may be told to retry: the request has not run, or may run again."""
        category = request.category
        if not request.may_have_run() or category.idempotency is Idempotency.IDEMPOTENT:
            return True
        return category.idempotency is Idempotency.DEDUPLICATED and category.deduplication_scope == "all"
