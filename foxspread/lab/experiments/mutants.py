"""Mutants: sidecars with one deliberate defect each. They show that the invariant checker detects the
violations it exists for. A sidecar in production never imports this module.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from foxspread.decisions.admission import AdmissionControl
from foxspread.engine import DecisionEngine, Outcome
from foxspread.lab.engines import virtual
from foxspread.lab.world.demand import Operation
from foxspread.model import Idempotency, Readiness, Request


@dataclass(frozen=True)
class Mutant:
    """A defect. It is built into the decisions, into the simulated sidecar, or into the classes of the real
    sidecar in the current process (see `foxspread.lab.experiments.broken`)."""

    rule: str  # name of the invariant that it violates and that must detect it
    about: str
    break_engine: Callable[[DecisionEngine], None] = lambda engine: None
    sidecar_class: type[virtual.Sidecar] = virtual.Sidecar
    patch_sidecar: Callable[[], None] = lambda: None

    def make_engine(self, now: float, settings: dict[str, Any]) -> DecisionEngine:
        engine = DecisionEngine(now, settings)
        self.break_engine(engine)
        return engine


def _replace_admission(**changes: Callable) -> Callable[[DecisionEngine], None]:
    """Replaces methods of the admission control. Each replacement gets the admission control as its first
    argument."""

    def apply(engine: DecisionEngine) -> None:
        admission = engine.balancer.admission
        for name, call in changes.items():
            setattr(admission, name, lambda *args, call=call, admission=admission: call(admission, *args))

    return apply


def _resets_as_failed_connects(request: Request) -> Request:
    """Returns the request with each reset connection counted as one that was never established."""
    attempts = [
        replace(attempt, outcome=Outcome.CONNECT_FAILED) if attempt.outcome is Outcome.RESET else attempt
        for attempt in request.attempts
    ]
    return replace(request, attempts=attempts)


def _ignore_resets(engine: DecisionEngine) -> None:
    admission = engine.balancer.admission
    admission.may_attempt = lambda now, request: AdmissionControl.may_attempt(
        admission, now, _resets_as_failed_connects(request)
    )
    admission.is_eligible = lambda request, server: AdmissionControl.is_eligible(
        admission, _resets_as_failed_connects(request), server
    )


def _ignore_deduplication_window(admission: AdmissionControl, now: float, request: Request) -> bool:
    unlimited = replace(request.category, deduplication_window=1e9)
    return AdmissionControl.may_attempt(admission, now, replace(request, category=unlimited))


def _ignore_server_group(admission: AdmissionControl, request: Request, server: str) -> bool:
    return server in admission.servers.ready


def _ignore_drains(engine: DecisionEngine) -> None:
    original = engine.balancer.update_endpoints

    def update_endpoints(now, entries, whole):
        original(now, [replace(entry, readiness=Readiness.READY) for entry in entries], False)

    engine.balancer.update_endpoints = update_endpoints


def _prefer_slow_starting(engine: DecisionEngine) -> None:
    balancer = engine.balancer
    balancer.servers.has_budget = lambda now, server: True
    choose = balancer._choose

    def _choose(now, request):
        slow_starting = [
            server
            for server in sorted(balancer.servers.slow_starting)
            if not request.attempts and balancer.servers.capacity_fraction(now, server) < 0.5
        ]
        return (
            min(slow_starting, key=balancer._in_flight_at)
            if slow_starting and balancer.admission.may_attempt(now, request)
            else choose(now, request)
        )

    balancer._choose = _choose


def _always_hedge(engine: DecisionEngine) -> None:
    balancer = engine.balancer
    balancer.admission.hedging = True
    balancer._given_up_on = lambda now, request: now > request.in_flight()[-1].sent_at + 0.05

    def overdue(now, category):
        return 0.05

    balancer.latency.overdue_after = overdue


def _unlimited_attempts(engine: DecisionEngine) -> None:
    engine.balancer.admission.max_attempts = 1000
    engine.balancer._is_lost = lambda now, attempt: True


class AnswersTwice(virtual.Sidecar):
    """Sends each successful answer twice."""

    def answer(self, request_id: str, status: int, body: str = "", back_in: float = 0.0) -> None:
        pending = self.pending.get(request_id)
        super().answer(request_id, status, body, back_in)
        if pending is not None and status == 200:
            self.engine.clock.after(0.001, pending.answered, request_id, status, body, back_in)


class AnswersLate(virtual.Sidecar):
    """Sends negative answers only after the client has given up."""

    def answer(self, request_id: str, status: int, body: str = "", back_in: float = 0.0) -> None:
        if status == 200:
            return super().answer(request_id, status, body, back_in)
        if (pending := self.pending.pop(request_id, None)) is not None:
            self.engine.clock.after(
                pending.operation.timeout + 0.2, pending.answered, request_id, status, body, back_in
            )


class HoldsBack(virtual.Sidecar):
    """Sends negative answers just before the client's deadline, too late for a retry."""

    def request_received(
        self, request_id: str, operation: Operation, time_left: float, answered: Callable
    ) -> None:
        self.ends = getattr(self, "ends", {}) | {request_id: self.engine.now() + time_left}
        super().request_received(request_id, operation, time_left, answered)

    def answer(self, request_id: str, status: int, body: str = "", back_in: float = 0.0) -> None:
        if status == 200 or request_id not in self.pending:
            return super().answer(request_id, status, body, back_in)
        pending, left = self.pending.pop(request_id), self.ends[request_id] - self.engine.now() - 0.02
        self.engine.clock.after(max(0.0, left), pending.answered, request_id, status, body, back_in)


class NeverAnswers(virtual.Sidecar):
    """Sends no negative answers."""

    def answer(self, request_id: str, status: int, body: str = "", back_in: float = 0.0) -> None:
        if status == 200:
            super().answer(request_id, status, body, back_in)


class AnswersWithOtherBody(virtual.Sidecar):
    """Answers with the body of an earlier request."""

    before = ""

    def answer(self, request_id: str, status: int, body: str = "", back_in: float = 0.0) -> None:
        self.before, body = body or self.before, self.before or body
        super().answer(request_id, status, body, back_in)


class SendsAfterAnswer(virtual.Sidecar):
    """Sends one more attempt after a successful answer."""

    def ended(self, attempt: virtual.Attempt, outcome: Outcome, body: str = "") -> None:
        super().ended(attempt, outcome, body)
        if outcome is Outcome.SUCCESS and attempt.operation.kind.effect == "redoable" and attempt.number == 0:
            again = virtual.Attempt(
                self, attempt.request_id, 99, attempt.server, attempt.operation, begun=True
            )
            again.connection = attempt.connection
            self.attempts[attempt.request_id, 99] = again
            self.engine.clock.after(0.2, self.engine.deliver, again)


def _sidecar_module() -> Any:
    from foxspread.net import sidecar

    return sidecar


def _patch_answer_twice() -> None:
    from foxspread.net import listener

    write = listener.ClientConnection._write

    async def _write(self, parts):
        await write(self, parts)
        if b" 200 " in parts[0]:
            await write(self, parts)

    listener.ClientConnection._write = _write


def _patch_reply(change: Callable) -> Callable[[], None]:
    """Replaces `Sidecar._reply` by `change(sidecar, answer, id, reply)`, where `answer` is the original."""

    def apply() -> None:
        sidecar_class = _sidecar_module().Sidecar
        answer = sidecar_class._reply
        sidecar_class._reply = lambda self, id, reply: change(
            self, lambda *args: answer(self, *args), id, reply
        )
        sidecar_class._overdue = lambda self, id: None

    return apply


def _reply_late(self, answer, id, reply) -> None:
    if reply.status == 200:
        return answer(id, reply)
    self.loop.call_later(4.0, answer, id, reply)


def _hold_back(self, answer, id, reply) -> None:
    pending = self.pending.get(id)
    if reply.status == 200 or pending is None or pending.overdue_timer is None:
        return answer(id, reply)
    self.loop.call_later(max(0.0, pending.overdue_timer.when() - self.loop.time() - 0.02), answer, id, reply)


def _never_reply(self, answer, id, reply) -> None:
    if reply.status == 200:
        answer(id, reply)


def _reply_with_other_body(self, answer, id, reply) -> None:
    if reply.status == 200:
        before = getattr(self, "before", None)
        self.before = bytes(reply.body)
        reply = replace(reply, body=before or reply.body)
    answer(id, reply)


def _patch_send_after_answer() -> None:
    module = _sidecar_module()
    sidecar_class = module.Sidecar
    ended = sidecar_class._attempt_ended

    def _ended(self, step, attempt, task):
        done = not task.cancelled() and task.exception() is None and task.result().outcome is Outcome.SUCCESS
        ended(self, step, attempt, task)
        if (
            done
            and step.number == 0
            and self.engine.balancer.categories[attempt.message.text(b"x-lane")].idempotency
            is Idempotency.IDEMPOTENT
        ):
            again = module.UpstreamRequest(
                self.loop,
                self.pool,
                self.clock,
                attempt.message,
                attempt.instance,
                self.clock() + 2.0,
                lambda: True,
            )

            def send():
                self.extra = getattr(self, "extra", set()) | {self.loop.create_task(again.run())}

            self.loop.call_later(0.3, send)

    sidecar_class._attempt_ended = _ended


def _any_server(admission: AdmissionControl, request: Request) -> None:
    return None


_reject_anything = _replace_admission(may_reject=lambda admission, request: True)

MUTANTS = {
    "sends_twice_after_reset": Mutant(
        "no_effect_twice", "takes reset connections for failed connects", _ignore_resets
    ),
    "repeats_outside_group": Mutant(
        "no_effect_twice",
        "retries outside of the server group",
        _replace_admission(is_eligible=_ignore_server_group, eligible_servers=_any_server),
    ),
    "repeats_after_window": Mutant(
        "no_effect_twice",
        "retries after the deduplication window",
        _replace_admission(may_attempt=_ignore_deduplication_window),
    ),
    "dismisses_what_ran": Mutant(
        "no_effect_twice", "rejects as not executed what may have been", _reject_anything
    ),
    "sends_to_drained": Mutant("drains_kept", "takes draining servers for ready ones", _ignore_drains),
    "bursts_cold": Mutant("cold_not_pushed", "prefers servers in slow start", _prefer_slow_starting),
    "copies_without_leave": Mutant("limits", "hedges where it is not allowed", _always_hedge),
    "too_many_hand_offs": Mutant("limits", "has no limit on attempts", _unlimited_attempts),
    "answers_twice": Mutant(
        "one_answer", "answers twice", sidecar_class=AnswersTwice, patch_sidecar=_patch_answer_twice
    ),
    "answers_late": Mutant(
        "one_answer",
        "sends negative answers after the deadline",
        sidecar_class=AnswersLate,
        patch_sidecar=_patch_reply(_reply_late),
    ),
    "holds_back": Mutant(
        "told_at_once",
        "delays negative answers until the deadline",
        sidecar_class=HoldsBack,
        patch_sidecar=_patch_reply(_hold_back),
    ),
    "never_answers": Mutant(
        "one_answer",
        "sends no negative answers",
        sidecar_class=NeverAnswers,
        patch_sidecar=_patch_reply(_never_reply),
    ),
    "strangers_answer": Mutant(
        "one_answer",
        "answers with the body of another request",
        sidecar_class=AnswersWithOtherBody,
        patch_sidecar=_patch_reply(_reply_with_other_body),
    ),
    "sends_after_answer": Mutant(
        "one_answer",
        "sends attempts after the answer",
        sidecar_class=SendsAfterAnswer,
        patch_sidecar=_patch_send_after_answer,
    ),
}
