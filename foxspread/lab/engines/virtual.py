"""Engine in virtual time: clients, network, servers and the endpoint list source are events on one heap, and
each instance has a `DecisionEngine` in place of a sidecar process. The same scenario and seed give the same
event record, byte for byte.
"""

import inspect
import random
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from foxspread import config
from foxspread.engine import Answer, Cancel, DecisionEngine, Outcome, Send, Step, Subscribe
from foxspread.lab.engines import setup
from foxspread.lab.engines.fault_schedule import EngineActions, FaultSchedule
from foxspread.lab.ledger import Ledger
from foxspread.lab.scenario import Scenario
from foxspread.lab.world import demand
from foxspread.lab.world.clock import Clock
from foxspread.lab.world.demand import Operation
from foxspread.lab.world.endpoint_list import EndpointList
from foxspread.lab.world.fleet import Fleet, Job, Server
from foxspread.lab.world.network import Network
from foxspread.model import Endpoint

EPOCH = 1_000_000.0  # Unix seconds on the instances' clocks at the start of a run
CLIENT_DELAY = 0.00005  # seconds between a client and its own sidecar
ANSWER_MARGIN = 0.004  # seconds before the deadline for the last answer, as in foxspread/net/sidecar.py

DecisionEngineFactory = Callable[[float, dict[str, Any]], DecisionEngine]


@dataclass
class Result:
    """Event record of one run, and measurements of the run itself, which no rule uses."""

    scenario: Scenario
    seed: int
    ledger: Ledger
    engine: str
    samples: list[dict[str, float]] = field(default_factory=list)
    decision_time: float = 0.0  # CPU seconds spent in decision engines, over all instances
    events: int = 0
    took: float = 0.0
    notes: list[str] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Connection:
    run: Server
    server_started: float = 0.0  # start time of the server as this instance knew it when connecting
    since: float = 0.0


@dataclass(slots=True, eq=False)
class Attempt:
    sidecar: "Sidecar"
    request_id: str
    number: int
    server: str
    operation: Operation
    connection: Connection | None = None
    job: Job | None = None
    begun: bool = False
    finished: bool = False


@dataclass(slots=True)
class PendingRequest:
    operation: Operation
    answered: Callable[[str, int, str, float], None]


class Sidecar:
    """Simulated sidecar: drives a decision engine as foxspread/net/sidecar.py does, on the virtual clock."""

    def __init__(self, engine: "Engine", number: int, make: DecisionEngineFactory) -> None:
        self.engine, self.number = engine, number
        self.name, self.zone = setup.instance_name(number), setup.instance_zone(engine.scenario, number)
        decision_settings = config.settings(
            config.Section(setup.settings(engine.scenario, number)), setup.instance_seed(number, engine.seed)
        ) | {"watch_endpoints": True}
        self.decision_engine = make(engine.wall_time(), decision_settings)
        self.pending: dict[str, PendingRequest] = {}
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.idle: dict[str, list[Connection]] = {}
        self.started: dict[str, float] = {}  # start time by listed server; a connection is valid for one run
        self.timer_at, self.watching, self.asking = -1, False, False
        # Decision engines of earlier commits may not accept the mark of a client's retry.
        self.accepts_retry_mark = (
            "again" in inspect.signature(self.decision_engine.request_received).parameters
        )

    # Requests.

    def request_received(
        self,
        request_id: str,
        operation: Operation,
        time_left: float,
        answered: Callable[[str, int, str, float], None],
    ) -> None:
        self.pending[request_id] = PendingRequest(operation, answered)
        self.engine.clock.after(max(0.0, time_left - ANSWER_MARGIN), self._overdue, request_id)
        retry_mark = [True] if operation.marked_as_retry and self.accepts_retry_mark else []
        self.decide(
            self.decision_engine.request_received,
            request_id,
            operation.kind.name,
            time_left,
            operation.tenant,
            operation.key,
            *retry_mark,
        )

    def left(self, request_id: str) -> None:
        if self.pending.pop(request_id, None) is not None:
            self.decide(self.decision_engine.client_left, request_id)

    def _overdue(self, request_id: str) -> None:
        if request_id in self.pending:
            self.answer(request_id, 502)
            self.decide(self.decision_engine.client_left, request_id)

    def answer(self, request_id: str, status: int, body: str = "", back_in: float = 0.0) -> None:
        pending_request = self.pending.pop(request_id, None)
        if pending_request is not None:
            self.engine.clock.after(CLIENT_DELAY, pending_request.answered, request_id, status, body, back_in)

    # Decisions.

    def decide(self, call: Callable[..., list[Step]], *args: Any) -> None:
        begun = time.perf_counter()
        steps = call(self.engine.wall_time(), *args)
        self.engine.decision_time += time.perf_counter() - begun
        for step in steps:
            self.execute(step)
        wake = self.decision_engine.wake_at()
        if wake is not None:
            at = max(self.engine.clock.now + 1000, round((wake - EPOCH) * 1e6))
            if not self.engine.clock.now <= self.timer_at <= at:
                self.timer_at = at
                self.engine.clock.at(at, self._on_timer, at)

    def _on_timer(self, at: int) -> None:
        if self.timer_at == at:  # otherwise an earlier timer has replaced this one
            self.timer_at = -1
            self.decide(self.decision_engine.tick)

    def execute(self, step: Step) -> None:
        match step:
            case Send():
                self.send(step)
            case Cancel(request_id, number):
                if (attempt := self.attempts.get((request_id, number))) is not None:
                    outcome = Outcome.CANCELLED if attempt.begun else Outcome.UNSENT
                    self.engine.clock.after(0.0, self.ended, attempt, outcome)
            case Answer(request_id, dismissed, back_in):
                self.answer(request_id, 503 if dismissed else 502, "", back_in)
            case Subscribe():
                self.engine.subscribe(self)

    # Attempts.

    def send(self, step: Send) -> None:
        pending_request = self.pending.get(step.request_id)
        if pending_request is None or step.server not in self.started:
            self.engine.clock.after(
                0.0,
                self.decide,
                self.decision_engine.attempt_ended,
                step.request_id,
                step.number,
                Outcome.UNSENT,
            )
            return
        attempt = Attempt(self, step.request_id, step.number, step.server, pending_request.operation)
        self.attempts[step.request_id, step.number] = attempt
        self.engine.clock.after(step.timeout, self._late, attempt)
        idle_connections = self.idle.get(step.server, [])
        while idle_connections:
            connection = idle_connections.pop()
            fresh = (
                self.engine.wall_time() - connection.since < 0.7 * self.engine.scenario.network.idle_timeout
            )
            if fresh and self.engine.is_intact(connection.run):
                attempt.connection = connection
                return self.connected(attempt)
        self.engine.connect(attempt)

    def connected(self, attempt: Attempt) -> None:
        if attempt.finished:
            return
        if not self.decision_engine.may_send(self.engine.wall_time(), attempt.request_id, attempt.number):
            self._keep(attempt)
            self.ended(attempt, Outcome.UNSENT)
            return
        attempt.begun = True
        self.engine.deliver(attempt)

    def _late(self, attempt: Attempt) -> None:
        self.ended(attempt, Outcome.TIMED_OUT if attempt.begun else Outcome.UNSENT)

    def _keep(self, attempt: Attempt) -> None:
        connection = attempt.connection
        if connection is not None and self.started.get(attempt.server) == connection.server_started:
            connection.since = self.engine.wall_time()
            self.idle.setdefault(attempt.server, []).append(connection)

    def ended(self, attempt: Attempt, outcome: Outcome, body: str = "") -> None:
        """Ends an attempt once; any later outcome is ignored."""
        if attempt.finished:
            return
        attempt.finished = True
        del self.attempts[attempt.request_id, attempt.number]
        if outcome in (Outcome.SUCCESS, Outcome.OVERLOADED, Outcome.ERROR):
            self._keep(attempt)
        elif attempt.job is not None or attempt.begun:
            self.engine.cancel(attempt)
        if outcome is Outcome.SUCCESS:
            self.answer(attempt.request_id, 200, body)
        self.decide(self.decision_engine.attempt_ended, attempt.request_id, attempt.number, outcome)

    # Endpoint list.

    def endpoints_updated(self, entries: list[Endpoint], whole: bool) -> None:
        gone = [entry.server for entry in entries if entry.readiness.value == "gone"]
        found = {entry.server: entry.started for entry in entries if entry.readiness.value != "gone"}
        if whole:
            gone += [id for id in self.started if id not in found]
        for id in gone:
            self.started.pop(id, None)
            self.idle.pop(id, None)
        for id, started in found.items():
            if self.started.get(id, started) != started:
                self.idle.pop(id, None)
            self.started[id] = started
        self.decide(self.decision_engine.endpoints_updated, entries, whole)

    def list_failed(self) -> None:
        self.watching = self.asking = False
        self.decide(self.decision_engine.endpoint_watch_failed)


class Engine(EngineActions):
    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make: DecisionEngineFactory = DecisionEngine,
        sidecar: type[Sidecar] = Sidecar,
    ) -> None:
        self.scenario, self.seed = scenario, seed
        self.clock, self.ledger = Clock(), Ledger(scenario.max_rows)
        self.network = Network(scenario.network, seed)
        self.client_chance = random.Random(zlib.crc32(b"clients:%d" % seed))
        self.fleet = Fleet(scenario, self.ledger, seed)
        self.fault_schedule = FaultSchedule(scenario, self.fleet, self, seed)
        self.decision_time = 0.0
        self.samples: list[dict[str, float]] = []
        self.attempts_by_run: dict[int, dict[Attempt, None]] = {}  # attempts that reached a server, by run
        self.wakes: dict[int, float] = {}  # time of a server's next event, by run
        self.attempts_by_job: dict[Job, Attempt] = {}
        self.endpoint_list = EndpointList(self.fleet, scenario.source.capacity, scenario.source.timeout)
        self.sidecars = [sidecar(self, number, make) for number in range(scenario.instances)]
        self.operations = demand.plan(scenario, seed)

    def wall_time(self) -> float:
        return EPOCH + self.clock.now / 1e6

    def now(self) -> float:
        return self.clock.now / 1e6

    def later(self, seconds: float, call: Callable[..., None], *args: Any) -> None:
        self.clock.after(seconds, call, *args)

    def run(self, progress: Callable[[float], None] | None = None) -> Result:
        begun = time.perf_counter()
        for sidecar in self.sidecars:
            self._tell(sidecar, self.endpoint_list.snapshot(), whole=True)
        self.fault_schedule.start()
        self.clock.after(0.0, self._next_operation, 0)
        self.clock.after(0.0, self._sample)
        end = (
            self.scenario.seconds
            + max(kind.abandon_time for kind in self.scenario.categories)
            * (1 + self.scenario.clients.retries)
            + 2.0
        )
        steps = 20
        for step in range(1, steps + 1):
            self.clock.run(round(end * 1e6 * step / steps))
            if progress is not None:
                progress(step / steps)
        return Result(
            self.scenario,
            self.seed,
            self.ledger,
            "virtual",
            self.samples,
            self.decision_time,
            self.clock.count,
            time.perf_counter() - begun,
        )

    def _sample(self) -> None:
        ejected = sum(len(each.decision_engine.balancer.outliers.ejected) for each in self.sidecars)
        self.samples.append(
            {
                "at": self.now(),
                "marks": ejected / len(self.sidecars),
                "queued": float(sum(len(each.decision_engine.balancer.queue) for each in self.sidecars)),
                "held": float(sum(len(each.pending) for each in self.sidecars)),
            }
        )
        if self.now() < self.scenario.seconds:
            self.clock.after(0.5, self._sample)

    # Clients.

    def _next_operation(self, at: int) -> None:
        while at < len(self.operations) and round(self.operations[at].at * 1e6) <= self.clock.now:
            self._ask(self.operations[at])
            at += 1
        if at < len(self.operations):
            self.clock.at(round(self.operations[at].at * 1e6), self._next_operation, at)

    def _ask(self, operation: Operation) -> None:
        request_id, sidecar = operation.request_id(), self.sidecars[operation.instance]
        self.ledger.write(
            self.clock.now,
            "asked",
            operation.tenant or "client",
            request_id,
            sidecar.name,
            operation.timeout,
            operation.kind.name,
            operation.id,
        )
        state = {"open": True}  # a request ends once: by an answer or when the client gives up
        self.clock.after(
            CLIENT_DELAY,
            sidecar.request_received,
            request_id,
            operation,
            operation.timeout - CLIENT_DELAY,
            lambda *answer: self._answered(operation, state, *answer),
        )
        self.clock.after(
            min(operation.timeout, operation.abandons_after),
            self._client_gives_up,
            operation,
            request_id,
            state,
        )

    def _answered(
        self,
        operation: Operation,
        state: dict[str, bool],
        request_id: str,
        status: int,
        body: str,
        back_in: float,
    ) -> None:
        self.ledger.write(
            self.clock.now,
            "answered",
            operation.tenant or "client",
            request_id,
            setup.instance_name(operation.instance),
            status,
            body,
            f"{back_in:.3f}" if back_in else "",
        )
        if not state["open"]:
            return
        state["open"] = False
        if status == 200:
            operation.completed_at = self.now()
        else:
            self._retry(operation, back_in)

    def _client_gives_up(self, operation: Operation, request_id: str, state: dict[str, bool]) -> None:
        if not state["open"]:
            return
        state["open"] = False
        self.ledger.write(
            self.clock.now,
            "left",
            operation.tenant or "client",
            request_id,
            setup.instance_name(operation.instance),
        )
        self.clock.after(CLIENT_DELAY, self.sidecars[operation.instance].left, request_id)
        if operation.abandons_after >= operation.timeout:  # a client that left early does not retry
            self._retry(operation, 0.0)

    def _retry(self, operation: Operation, advised: float) -> None:
        wait = demand.schedule_retry(
            self.scenario, operation, self.now(), advised, self.client_chance.random()
        )
        if wait is not None:
            self.clock.after(wait, self._ask, operation)

    # Network.

    def is_intact(self, run: Server) -> bool:
        """Returns whether a connection to the run appears open, as one to a silent machine does."""
        return self.fleet.servers[run.id] is run and (run.up or run.silent)

    def connect(self, attempt: Attempt) -> None:
        run = self.fleet.servers[attempt.server]
        delay = self.network.delay(attempt.sidecar.zone, run.zone)
        self.clock.after(delay, self._connect_arrives, attempt, delay)

    def _connect_arrives(self, attempt: Attempt, delay: float) -> None:
        run = self.fleet.servers[attempt.server]
        if run.silent or not self.network.is_reachable(attempt.sidecar.zone, run.zone):
            self.clock.after(
                max(0.0, self.scenario.network.connect_timeout - delay),
                attempt.sidecar.ended,
                attempt,
                Outcome.CONNECT_FAILED,
            )
        elif run.refusing or not run.up:
            self.clock.after(delay, attempt.sidecar.ended, attempt, Outcome.CONNECT_FAILED)
        else:
            attempt.connection = Connection(run, attempt.sidecar.started.get(attempt.server, -1.0))
            self.ledger.write(self.clock.now, "connected", run.id, "", attempt.sidecar.name)
            self.clock.after(delay, attempt.sidecar.connected, attempt)

    def deliver(self, attempt: Attempt) -> None:
        run = attempt.connection.run
        self.attempts_by_run.setdefault(run.run, {})[attempt] = None
        self.clock.after(self.network.delay(attempt.sidecar.zone, run.zone), self._arrives, attempt)

    def _arrives(self, attempt: Attempt) -> None:
        run = attempt.connection.run
        if run.silent or not self.network.is_reachable(attempt.sidecar.zone, run.zone):
            return
        if not run.up:
            self._send_back(attempt, Outcome.RESET)
            return
        operation = attempt.operation
        attempt.job = Job(
            attempt.request_id,
            attempt.sidecar.name,
            operation.kind,
            operation.id,
            operation.work,
            operation.always_fails,
            key=operation.key,
        )
        self.attempts_by_job[attempt.job] = attempt
        self._jobs_ended(run, run.arrive(self.now(), attempt.job))

    def _jobs_ended(self, run: Server, out: list[tuple[Job, str]]) -> None:
        for job, ending in out:
            attempt = self.attempts_by_job.pop(job, None)
            match ending:
                case "done":
                    self._send_back(attempt, Outcome.SUCCESS, job.token)
                case "turned":
                    self._send_back(attempt, Outcome.OVERLOADED)
                case "error":
                    self._send_back(attempt, Outcome.ERROR)
                case "fell":
                    self.reset(run)
                    self.clock.after(1.0, self.fault_schedule.announce_removed, run)
                case _:
                    self._send_back(attempt, Outcome.RESET)
        self.changed(run)

    def _send_back(self, attempt: Attempt | None, outcome: Outcome, body: str = "") -> None:
        if attempt is None:
            return
        run = attempt.connection.run
        self.attempts_by_run.get(run.run, {}).pop(attempt, None)
        if self.network.is_reachable(attempt.sidecar.zone, run.zone) and not attempt.finished:
            self.clock.after(
                self.network.delay(attempt.sidecar.zone, run.zone),
                attempt.sidecar.ended,
                attempt,
                outcome,
                body,
            )

    def cancel(self, attempt: Attempt) -> None:
        run = attempt.connection.run
        self.attempts_by_run.get(run.run, {}).pop(attempt, None)
        # The maximum delay keeps the cancellation from overtaking the request.
        self.clock.after(
            self.network.max_delay(attempt.sidecar.zone, run.zone), self._cancel_arrives, attempt
        )

    def _cancel_arrives(self, attempt: Attempt) -> None:
        run = attempt.connection.run
        if attempt.job is not None and self.network.is_reachable(attempt.sidecar.zone, run.zone):
            run.cancel(self.now(), attempt.job)
            self.changed(run)

    # Actions of the fault schedule.

    def changed(self, run: Server) -> None:
        wake = run.wake_at()
        at = max(self.clock.now, round(wake * 1e6) + 1) if wake < 1e9 else None
        if at is not None and not self.clock.now <= self.wakes.get(run.run, -1) <= at:
            self.wakes[run.run] = at
            self.clock.at(at, self._wake, run, at)

    def _wake(self, run: Server, at: int) -> None:
        if self.wakes.get(run.run) == at:
            del self.wakes[run.run]
            self._jobs_ended(run, run.advance(self.now()))

    def reset(self, run: Server) -> None:
        for attempt in list(self.attempts_by_run.pop(run.run, {})):
            self.attempts_by_job.pop(attempt.job, None)
            if self.network.is_reachable(attempt.sidecar.zone, run.zone) and not attempt.finished:
                self.clock.after(
                    self.network.delay(attempt.sidecar.zone, run.zone),
                    attempt.sidecar.ended,
                    attempt,
                    Outcome.RESET,
                )

    def set_zone_partitioned(self, zone: str, partitioned: bool) -> None:
        self.network.set_partitioned(zone, partitioned)

    # Endpoint list source.

    def set_list_delay(self, delay: float) -> None:
        self.endpoint_list.extra_delay = delay

    def set_list_outage(self, down: bool) -> None:
        self.endpoint_list.down = down
        if down:
            for sidecar in self.sidecars:
                if sidecar.watching:
                    sidecar.watching = False
                    self.clock.after(self.scenario.network.same_zone, sidecar.list_failed)

    def list_changed(self, server: Server, state: str) -> None:
        self.clock.after(
            self.scenario.source.delay + self.endpoint_list.extra_delay,
            self._update_endpoint_list,
            server,
            state,
        )

    def _update_endpoint_list(self, server: Server, state: str) -> None:
        if not self.endpoint_list.apply(server, state):
            return
        for sidecar in self.sidecars:
            if sidecar.watching and not self.endpoint_list.down:
                spread = self.scenario.source.spread * self.network.chance.random()
                self.clock.after(spread, self._push, sidecar, server, state)

    def _push(self, sidecar: Sidecar, server: Server, state: str) -> None:
        newest = self.endpoint_list.known.get(server.id, (server, "gone"))
        if sidecar.watching and newest == (server, state):  # otherwise a newer update is already scheduled
            self._tell(sidecar, [newest], whole=False)

    def subscribe(self, sidecar: Sidecar) -> None:
        if sidecar.watching or sidecar.asking:
            return
        sidecar.asking = True
        if self.endpoint_list.down:
            self.clock.after(self.scenario.network.same_zone, sidecar.list_failed)
        elif (answered := self.endpoint_list.admit_call(self.now())) is None:
            self.clock.after(self.endpoint_list.timeout, sidecar.list_failed)
        else:
            self.clock.after(answered - self.now(), self._subscribed, sidecar)

    def _subscribed(self, sidecar: Sidecar) -> None:
        if self.endpoint_list.down:
            return sidecar.list_failed()
        sidecar.asking, sidecar.watching = False, True
        self._tell(sidecar, self.endpoint_list.snapshot(), whole=True)

    def _tell(self, sidecar: Sidecar, several: list[tuple[Server, str]], whole: bool) -> None:
        entries = []
        if whole:
            named = {server.id for server, _ in several}
            for id in [id for id in sidecar.started if id not in named]:
                self.ledger.write(self.clock.now, "told", id, "", sidecar.name, 0.0, "gone")
        for server, state in several:
            self.ledger.write(self.clock.now, "told", server.id, "", sidecar.name, server.started, state)
            row = config.Section(setup.entry(server, state, "0.0.0.0:1", EPOCH))
            entries.append(config.parse_endpoint(row).endpoint)
        sidecar.endpoints_updated(entries, whole)


def run(
    scenario: Scenario,
    seed: int,
    make: DecisionEngineFactory = DecisionEngine,
    sidecar: type[Sidecar] = Sidecar,
    progress: Callable[[float], None] | None = None,
) -> Result:
    return Engine(scenario, seed, make, sidecar).run(progress)
