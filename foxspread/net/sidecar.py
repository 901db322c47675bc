"""Joins the parts: passes events to the decision engine and carries out its steps; keeps the clock; starts,
reloads and stops."""

import asyncio
import json
import math
import os
import tempfile
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any, Protocol

from loguru import logger

from foxspread.config import AddressedEndpoint, Config, ConfigError, EndpointUpdate, parse_endpoint_update
from foxspread.engine import Answer, Cancel, DecisionEngine, DecisionError, Outcome, Send, Step, Subscribe
from foxspread.net import admin, http
from foxspread.net.discovery import Discovery
from foxspread.net.hot_restart import HotRestart, inherited_socket
from foxspread.net.listener import Listener, PendingReply, Reply, RequestHandler
from foxspread.net.pool import DescriptorLimit, Pool, ServerInstance
from foxspread.net.reasons import CloseReason
from foxspread.net.streaming import WindowBudget
from foxspread.net.upstream_request import AttemptResult, UpstreamRequest
from foxspread.statistics import SeededRandom

# Seconds after SIGTERM. Clients go on connecting for 0.2 to 0.4 s and use open connections for as long as
# they are open. Requests that arrive until 0.7 s can be answered before the process is killed.
KEEP_CONNECTIONS_TIME, ACCEPT_TIME = 0.5, 0.62
# Seconds. While nothing changes, discovery writes an empty line every 2 s. An update counts as known to a
# sidecar after 6 s, whether it has arrived or not: a watch that misses two lines is given up before that.
WATCH_TIMEOUT = 4.5
BASE_MEMORY_MB = 32  # used without any connection, with some margin
SWEEP_INTERVAL = 0.25  # seconds
SWEEPS_PER_POOL_SWEEP = 4
SWEEPS_PER_ID_GENERATION = 16  # the id of a request is remembered for one to two generations
MAX_LEARNT_FILE_CHARS = 1 << 20  # the file is read before anything is served
MAX_START_DELAY = 3.0  # seconds; a successor must be healthy within 6 s in all
REPLY_MARGIN = 0.004  # seconds before a request's deadline at which it is answered at the latest
RULES_DESCRIPTORS = 4  # for a poll, a watch, a version that is fetched, and one that is being closed
MAX_SHED_FRACTION = 0.9
SHED_INCREASE, SHED_DECREASE = 0.1, 0.02  # of the fraction, per round of the event loop
START_CPU_MARGIN = 0.02  # seconds


def restart_socket_path(name: str) -> str:
    """Returns the path of the Unix socket for hot restarts of the sidecar with this name."""
    safe = "".join(char if char.isalnum() or char in "._-" else f"%{ord(char):x}" for char in name)
    return os.path.join(os.environ.get("TMPDIR") or tempfile.gettempdir(), f"foxspread-{safe}.sock")


class Clock:
    """Unix time, as in servers' start times, that never jumps; detects pauses of the process.

    After a pause, as on a machine short of CPU time, what is read next may have waited for as long as the
    pause lasted. A request then has less time left than it declares, and a response that has arrived must be
    handled before its request is given up as overdue or its server is ejected."""

    def __init__(
        self,
        interval: float = 0.02,
        catch_up: float = 0.01,
        monotonic: Callable[[], float] = time.monotonic,
    ) -> None:
        self.interval, self.catch_up, self.monotonic = interval, catch_up, monotonic
        self.offset = time.time() - monotonic()
        self.last_tick = self.pause_start = self.catch_up_until = self()

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.monotonic() + self.offset

    def tick(self) -> None:
        """Called every `interval` seconds; a call that comes late shows a pause."""
        now = self()
        if now - self.last_tick > 3 * self.interval:
            self.pause_start, self.catch_up_until = self.last_tick, now + self.catch_up
            logger.warning("stood still for {:.0f} ms", 1e3 * (now - self.last_tick))
        self.last_tick = now

    def arrival_time(self) -> float:
        """Returns the earliest time at which what is read now may have arrived."""
        now = self()
        if now - self.last_tick > 3 * self.interval:
            return self.last_tick
        return self.pause_start if now < self.catch_up_until else now

    def catching_up(self) -> bool:
        """Returns whether events that arrived during a pause may still be unread."""
        now = self()
        return now - self.last_tick > 3 * self.interval or now < self.catch_up_until


class LoadShedder:
    """Sheds load when more requests come than this process has CPU time for. The rounds of the event loop
    then come ever later, so that all requests would wait until their time is up. Instead a random fraction is
    rejected unread. The fraction grows while two rounds in a row are late, and shrinks while they are in
    time."""

    def __init__(self, interval: float, max_delay: float = 0.025) -> None:
        self.interval, self.max_delay = interval, max_delay
        self.fraction, self.last_tick, self.was_late, self.random = 0.0, math.inf, False, SeededRandom(0)

    def tick(self, now: float) -> None:
        """Called in each round of the event loop, which should take `interval` seconds."""
        late = now - self.last_tick > self.interval + self.max_delay
        if late and self.was_late:
            self.fraction = min(MAX_SHED_FRACTION, self.fraction + SHED_INCREASE)
        elif not late:
            self.fraction = max(0.0, self.fraction - SHED_DECREASE)
        self.last_tick, self.was_late = now, late

    def should_shed(self) -> bool:
        """Returns whether to reject the next request."""
        return self.fraction > 0 and self.random.draw() < self.fraction


@dataclass
class PendingRequest(PendingReply):
    """A request for the balancer that was received and is not answered."""

    message: http.Message = field(default_factory=http.Message)
    overdue_timer: asyncio.TimerHandle | None = None


class ActiveRules(Protocol):
    """The agreed rules that a sidecar acts on; it sends nothing without `settings`."""

    settings: dict[str, Any] | None
    phase: int
    servers: list[AddressedEndpoint] | None  # the endpoint list; None: discovery's holds
    disabled_servers: frozenset[str]  # servers that get no requests
    allowed_servers: frozenset[str] | None  # the only servers that get requests; None: all
    alone: bool  # reduced rules, until the sidecar reaches a coordinator again


class RulesSource(Protocol):
    """Agreed rules, which may change or expire (`fleet_rules/sidecar_rules.py`)."""

    def start(self, changed: Callable[[ActiveRules], None]) -> None:
        """Begins to follow the rules; `changed` is called with rules that are in force from now on."""

    def refresh(self) -> bool:
        """Applies rules that have changed, then returns whether any are in force."""

    def is_incomplete(self) -> bool:
        """Returns whether the rules are in transition or reduced: a category that is missing may come
        back."""

    def retry_after_s(self) -> float:
        """Returns seconds after which a client may retry."""

    def stats(self) -> dict[str, Any]:
        """Returns the part of `/stats` about the rules."""

    async def close(self) -> None:
        """Stops following the rules."""


class Sidecar(RequestHandler):
    """One sidecar. `learnt`: the file that keeps what the decision engine has learnt over a restart."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: Config,
        clock: Clock | None = None,
        learnt: str = "",
        rules: RulesSource | None = None,
    ) -> None:
        self.loop, self.config, self.clock, self.learnt = loop, config, clock or Clock(), learnt
        self.now = self.clock()  # of the latest decision
        self.started_at = self.now - time.process_time()  # or earlier
        self.rules = rules  # if given, the file's categories do not hold: the engine starts without any
        self.engine = DecisionEngine(self.now, config.decisions | ({"categories": []} if rules else {}))
        self.pending: dict[str, PendingRequest] = {}
        # Ids of requests received in the current generation and the one before.
        self.recent_ids: tuple[set[str], set[str]] = set(), set()
        self.attempts: dict[tuple[str, int], asyncio.Task] = {}
        self.active_rules: ActiveRules | None = None
        self.endpoints_from_rules = False  # the rules contain the endpoint list; discovery is not watched
        self.instances: dict[str, ServerInstance] = {}  # of the servers in the endpoint list
        self.wake_timer: asyncio.TimerHandle | None = None
        self.wake_time = 0.0
        self.load_shedder = LoadShedder(self.clock.interval)
        self.was_healthy, self.stopping = False, False
        # Keeps within the memory limit: a connection with the largest buffered body takes 156 KiB, as
        # measured, but only some hold one; the others take less than 30.
        max_sockets = min(config.limits.sockets, max(64, int(config.limits.memory_mb - BASE_MEMORY_MB) * 10))
        admin_descriptors = admin.DESCRIPTORS if config.operator else 0
        reserved = admin_descriptors + (RULES_DESCRIPTORS if rules else 0)
        descriptors = DescriptorLimit(max_sockets, reserve=min(32, config.limits.sockets // 3) + reserved)
        # A quarter of the remaining memory is for all streamed bodies together.
        self.windows = WindowBudget(max(1, int(config.limits.memory_mb - BASE_MEMORY_MB)) * (1 << 20) // 4)
        # Requests whose streamed body is incomplete: peers do not count them as received.
        self.uploading: set[str] = set()
        self.streaming_replies: dict[str, PendingReply] = {}
        self.pool = Pool(loop, descriptors, config.connect_time, config.idle_time)
        self.discovery = Discovery(
            loop,
            config.discovery,
            config.known.version,
            self._update_endpoints,
            self._watch_failed,
            timeout=min(WATCH_TIMEOUT, config.list_age / 2),
        )
        inherited = None if config.passed is None else inherited_socket(config.passed, config.listen)
        self.listener = Listener(
            loop, config.listen, self, descriptors, inherited=inherited, windows=self.windows
        )
        self.hot_restart = inherited and HotRestart(loop, restart_socket_path(config.name), self)
        self.lent_descriptors = 0  # used by the predecessor
        self.state_restored = False  # from the predecessor
        self.handed_over, self.stop = False, asyncio.Event()
        self.counts = admin.RequestCounts(self.engine.categories)
        self.admin = admin.AdminListener(loop, config.operator, self) if config.operator else None

    # Start and stop.

    async def run(self, stop: asyncio.Event) -> None:
        """Serves until `stop` is set."""
        self.stop = stop
        self.clock.last_tick = self.clock()  # the time that the start took was not a pause
        self._update_endpoints(replace(self.config.known, full=True))
        if self.learnt:
            self._load_learnt(self.learnt)
        if self.rules:
            self.rules.start(self._apply_rules)
        if self.admin:
            self.admin.open()
        if not self.hot_restart:
            self.listener.resume()
        works = ([self._take_over()] if self.hot_restart else []) + [self._sweep(), self._tick()]
        tasks = [self.loop.create_task(work) for work in works]
        logger.info(
            "start name={} listen={} servers={}", self.config.name, self.listener.address, len(self.instances)
        )
        await stop.wait()
        if self.hot_restart:
            tasks[0].cancel()  # a process that stops takes nothing over
        await self._finish()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def reload(self, config: Config) -> None:
        """Applies a configuration file that was read again. A running process can only change `discovery`;
        the log names the other keys that changed, which the next start applies."""
        left = [
            key
            for key in ("name", "listen", "operator", "limits", "decisions", "connect_time", "idle_time")
            if getattr(config, key) != getattr(self.config, key)
        ]
        logger.info(
            "reloaded discovery={} for the next start: {}", config.discovery, ", ".join(left) or "nothing"
        )
        if not self.stopping and not self.endpoints_from_rules:
            self.discovery.switch_to(config.discovery)

    async def _finish(self) -> None:
        self.stopping = True
        logger.info("stopping lookups={}", len(self.pending))
        await asyncio.sleep(KEEP_CONNECTIONS_TIME)
        self.listener.retire_all()  # a client whose request crosses this sends it again on a new connection
        await asyncio.sleep(ACCEPT_TIME - KEEP_CONNECTIONS_TIME)
        self.listener.close()
        self.listener.retire_all()
        if self.listener.clients:
            await asyncio.wait(
                set(self.listener.clients.values()), timeout=self.engine.max_abandon_time() + 0.05
            )
        await self.discovery.stop()
        for task in list(self.attempts.values()):
            task.cancel()
        await asyncio.gather(*self.attempts.values(), return_exceptions=True)
        for instance in list(self.pool.idle):
            self.pool.close_idle(instance, CloseReason.SERVER_STOPPING)
        if self.learnt:
            self._save_learnt(self.learnt)
        if self.hot_restart:
            await self.hot_restart.close()
        if self.admin:
            self.admin.close()
        if self.rules:
            await self.rules.close()
        logger.info("stopped lookups={}", len(self.pending))

    def _load_learnt(self, path: str) -> None:
        """Restores what another instance has learnt, or this one before its restart. A file that cannot be
        read is ignored."""
        try:
            with open(path, encoding="utf-8") as file:
                text = file.read(MAX_LEARNT_FILE_CHARS + 1)
            if len(text) > MAX_LEARNT_FILE_CHARS:
                raise ValueError(f"longer than {MAX_LEARNT_FILE_CHARS} characters")
            ejections = self.engine.restore_learnt(self.clock(), json.loads(text))
        except FileNotFoundError:
            return
        except (OSError, ValueError, RecursionError) as error:
            logger.warning("'learnt': {} is left out: {}", path, error)
        else:
            logger.info("learnt marks={}", ejections)

    def _save_learnt(self, path: str) -> None:
        """Writes another file and renames it: a reader finds the whole old content or the whole new one."""
        try:
            with open(path + ".new", "w", encoding="utf-8") as file:
                json.dump(self.engine.learnt(), file)
            os.replace(path + ".new", path)
        except OSError as error:
            logger.warning("'learnt': {} is not written: {}", path, error)

    async def _sweep(self) -> None:
        sweeps = 0
        while True:
            await asyncio.sleep(SWEEP_INTERVAL)
            self.listener.sweep()
            sweeps += 1
            if sweeps % SWEEPS_PER_POOL_SWEEP == 0:
                self.pool.sweep()
            if self.handed_over and not self.listener.clients and not self.pending:
                self.stop.set()  # the last client has left: the old process may end early
            if sweeps % SWEEPS_PER_ID_GENERATION == 0:
                self.recent_ids = set(), self.recent_ids[0]

    async def _tick(self) -> None:
        while True:
            self.clock.tick()
            self.load_shedder.tick(self.loop.time())
            self.listener.detect_disconnects()
            await asyncio.sleep(self.clock.interval)

    # Clients.

    def arrival_time(self) -> float:
        """Returns the earliest time at which what is read now may have arrived."""
        return self.clock.arrival_time()

    def request_received(self, message: http.Message) -> PendingReply:
        """Handles a client's request. Raises BadMessage if it is malformed."""
        path = message.target.partition(b"?")[0]
        category = message.text(b"x-lane") or http.first_path_segment(message.target)
        if path == b"/-/ready":
            return self._reply_at_once(Reply(200 if self.healthy() else 503))
        if (
            self.rules
            and not path.startswith(b"/-/")
            and (
                not self.rules.refresh()
                or category not in self.engine.categories
                and self.rules.is_incomplete()
            )
        ):
            return self._reply_at_once(
                self._retry_later(), category if category in self.counts.results else ""
            )
        if category not in self.engine.categories or path.startswith(b"/-/"):
            return self._reply_at_once(Reply(404, b"no such category of lookups\n"))
        if message.method not in (b"GET", b"POST"):
            return self._reply_at_once(Reply(405, lines=[b"Allow: GET, POST\r\n"]))
        id, remaining = message.text(b"x-txn"), message.header(b"x-remaining")
        if self.load_shedder.should_shed():
            return self._reply_at_once(Reply(503), category)
        # Each request has a new id, also a client's retry. A second request with the same id is refused,
        # since it could make the first one run twice.
        if not id or self.engine.knows(id) or any(id in ids for ids in self.recent_ids):
            raise http.BadMessage(400, "X-Txn was taken before" if id else "X-Txn is missing")
        # Without the header the category's time holds; an empty header is malformed.
        abandon_time = self.engine.abandon_time(category)
        time_left = abandon_time if remaining is None else http.parse_remaining(remaining.decode("latin-1"))
        now = self.clock()
        time_left -= now - (message.last_byte_at or now)  # it runs from the last byte
        self.recent_ids[0].add(id)
        if self.hot_restart:
            self.hot_restart.announce_id(id)
        pending = self.pending[id] = PendingRequest(self.loop.create_future(), id, category, message)
        pending.overdue_timer = self.loop.call_later(max(0.0, time_left - REPLY_MARGIN), self._overdue, id)
        if message.streamed and not message.complete:
            self.uploading.add(id)
        if not self._decide(
            self._pass_request,
            id,
            category,
            max(0.0, time_left),
            message.text(b"x-org"),
            http.query_parameter(message.target, "user"),
            message.text(b"x-resent") == "1",
        ):
            self._reply(id, Reply(500))
            self._decide(self.engine.client_left, id)
        return pending

    def _retry_later(self) -> Reply:
        """The answer while there are no rules, or while the category may be added soon: rules are in
        transition or reduced."""
        return Reply(503, lines=[b"Retry-After: %.3f\r\n" % self.rules.retry_after_s()])

    def _start_cpu_recovered(self) -> bool:
        """Returns whether the CPU time that the start used is within this process's share of a core. Before
        that the system may suspend the process for what it used in excess, and requests received meanwhile
        would be lost: it must not be ready yet."""
        share = self.config.limits.cores * (self.clock() - self.started_at)
        return time.process_time() <= share + START_CPU_MARGIN

    def _pass_request(self, now: float, id: str, *args) -> list[Step]:
        if id not in self.pending:
            return []  # the client left while the decision was deferred
        return self.engine.request_received(now, id, *args)

    def _reply_at_once(self, reply: Reply, category: str = "") -> PendingReply:
        pending = PendingReply(self.loop.create_future(), category=category)
        pending.reply.set_result(reply)
        return pending

    def reply_written(self, pending: PendingReply, status: int) -> None:
        """Counts the result that the client has seen; `status` is 0 if it did not take the reply."""
        self.streaming_replies.pop(pending.id, None)
        if pending.category and status:
            self.counts.count_result(pending.category, status)

    def client_left(self, pending: PendingReply) -> None:
        """Cancels a request whose client went away."""
        if self._forget(pending.id) is not None:
            self._decide(self.engine.client_left, pending.id)

    def _reply(self, id: str, reply: Reply) -> None:
        pending = self._forget(id)
        if pending is not None and not pending.reply.done():
            pending.reply.set_result(reply)
            if reply.stream is not None:
                self.streaming_replies[id] = pending
        elif reply.stream is not None:
            reply.stream.close()

    def _forget(self, id: str) -> PendingRequest | None:
        pending = self.pending.pop(id, None)
        self.uploading.discard(id)
        if pending is not None and pending.overdue_timer is not None:
            pending.overdue_timer.cancel()
        return pending

    def _overdue(self, id: str) -> None:
        """Answers a request before its client gives up, in case a failure in the decision engine left it
        without an answer."""
        if id in self.pending:
            logger.warning("request {} had no decision in time", id)
            self._reply(id, Reply(502))
            self._decide(self.engine.client_left, id)

    # Operators.

    def healthy(self) -> bool:
        """Returns whether clients should use this sidecar. Servers that are not ready later do not make it
        unhealthy again."""
        # Settled also means that `_take_over` has waited for the start's CPU time.
        settled = self.hot_restart is None or self.hot_restart.settled.is_set()
        self.was_healthy = self.was_healthy or (
            self.engine.can_serve() and settled and (self.state_restored or self._start_cpu_recovered())
        )
        return (
            self.was_healthy
            and not self.stopping
            and not self.handed_over
            and (self.rules is None or self.rules.refresh())
        )

    def statistics(self) -> dict[str, Any]:
        """Returns the content of `/stats`."""
        rules = {"rules": self.rules.stats()} if self.rules else {}
        return rules | {
            "results": self.counts.results,
            "forwards": self.counts.forwards,
            "outstanding": len(self.pending) - len(self.uploading) + len(self.streaming_replies),
            "discovered": len(self.instances),
            "ejected": self.engine.ejected_count(),
        }

    async def set_disabled(self, server: str, disabled: bool) -> bool:
        """Disables or enables a server for the operator, in effect on return. Returns False if no server has
        that id or too many are disabled."""
        if self.hot_restart is None:
            return self.apply_disabled(server, disabled)
        if not self.hot_restart.settled.is_set():  # the predecessor decides, and its state will include this
            return await self.hot_restart.call_decider(server, disabled)
        applied = self.apply_disabled(server, disabled)
        return await self.hot_restart.call_peers(server, disabled) or applied

    def apply_disabled(self, server: str, disabled: bool) -> bool:
        """Disables or enables a server in this process only."""
        call = self.engine.disable if disabled else self.engine.enable
        if not call(self.clock(), server):
            return False
        logger.info("{} by hand server={}", "out" if disabled else "back", server)
        if (instance := self.instances.get(server)) is not None:  # it is restarted while disabled
            self.pool.close_idle(instance, CloseReason.SERVER_BY_OPERATOR)
        self._decide(self.engine.tick)
        return True

    # Hot restart.

    async def _take_over(self) -> None:
        while (
            self.hot_restart.predecessor_exists()
            and not self._start_cpu_recovered()
            and self.clock() - self.started_at < MAX_START_DELAY
        ):
            await asyncio.sleep(0.02)  # requests accepted while the process may be suspended would be lost
        try:
            await self.hot_restart.start()
        except Exception:
            logger.exception("handover")
            self.start_accepting()
            self.hot_restart.settled.set()

    def state(self) -> dict[str, Any]:
        """Returns what a successor needs."""
        rows = [
            {
                "id": endpoint.server,
                "addr": str(self.instances[endpoint.server].address),
                "zone": endpoint.zone,
                "cell": endpoint.cell,
                "state": endpoint.readiness.value,
                "weight": endpoint.weight,
                "started_ms": endpoint.started * 1e3,
                "kind": endpoint.kind,
            }
            for endpoint in self.engine.endpoints(self.instances)
        ]
        return {
            "list": {"version": self.discovery.version or 0, "full": True, "servers": rows},
            "counts_from": self.discovery.version,
            "taken": list(set().union(*self.recent_ids)),
            "descriptors": self.pool.descriptors.used,
            "decisions": self.engine.state(self.clock()),
        }

    def restore(self, state: Any) -> None:
        """Restores a predecessor's state. Raises ValueError, and restores nothing, if it is malformed."""
        try:
            update, ids = parse_endpoint_update(state["list"], "list"), set(map(str, state["taken"]))
            lent, version = int(state["descriptors"]), state["counts_from"]
            endpoints = [entry.endpoint for entry in update.endpoints]
            ejections = self.engine.restore(self.clock(), state["decisions"], endpoints)
        except (ConfigError, KeyError, TypeError, OverflowError) as error:
            raise ValueError(f"malformed state: {error!r}") from None
        self._update_instances(replace(update, full=True))
        self.state_restored = True
        self.discovery.version = version if isinstance(version, int) else None
        self.add_recent_ids(ids)
        if self.active_rules is not None:  # the predecessor's rules may be older than those in force here
            self._apply_rules(self.active_rules)
        self.lent_descriptors = min(max(0, lent), self.pool.descriptors.limit - 8)
        self.pool.descriptors.lend(self.lent_descriptors)
        logger.info("taken over servers={} marks={} ids={}", len(update.endpoints), ejections, len(ids))
        self._decide(self.engine.tick)

    def yield_slow_start_budget(self, on: bool) -> None:
        """Leaves the budget for servers in slow start to a successor, or takes it back."""
        self.engine.yield_slow_start_budget(on)

    def start_accepting(self) -> None:
        """Begins to accept clients."""
        self.listener.resume()

    def hand_over(self) -> None:
        """A successor serves: accepts no more connections and gives up idle ones."""
        logger.info("a successor serves, lookups={}", len(self.pending))
        self.handed_over = True
        self.listener.hand_over()
        self.pool.close_all_idle()

    def predecessor_ended(self) -> None:
        """Takes back the descriptors that the predecessor used."""
        self.pool.descriptors.lend(-self.lent_descriptors)
        self.lent_descriptors = 0

    def add_recent_ids(self, ids: Iterable[str]) -> None:
        """Refuses further requests with these ids, which another process received."""
        self.recent_ids[0].update(ids)

    # Decisions.

    def _decide(self, call: Callable[..., list[Step]], *args) -> bool:
        """Calls the decision engine and carries out the steps that it returns. Returns False if it failed."""
        if self.clock.catching_up():
            # Results that arrived during a pause may be in time: they are noted first, and the decisions are
            # deferred until all of them are known.
            if call == self.engine.attempt_ended:
                self._decide_now(self.engine.note_attempt_ended, *args)
                call, args = self.engine.tick, ()
            self.loop.call_later(self.clock.catch_up + 0.002, self._decide_now, call, *args)
            return True
        return self._decide_now(call, *args)

    def _apply_rules(self, rules: ActiveRules) -> None:
        """Makes all decisions from here on under these rules, or none if they contain no settings: a lease
        ran out."""
        begun, self.active_rules = time.perf_counter(), rules
        if rules.settings is None:
            self.engine.halt(self.clock())
        else:
            self.engine.apply_settings(
                self.clock(), rules.settings, rules.disabled_servers, rules.allowed_servers
            )
            self.counts.add_categories(self.engine.categories)
            self._apply_endpoint_rules(rules)
        logger.info("rules applied ms={:.2f}", 1e3 * (time.perf_counter() - begun))
        self.loop.call_soon(self._decide, self.engine.tick)  # not at once: `_may_send` may be the caller

    def _apply_endpoint_rules(self, rules: ActiveRules) -> None:
        if rules.servers is not None:
            self.endpoints_from_rules = True
            self.discovery.halt()
            self._update_instances(EndpointUpdate(rules.phase, True, rules.servers, []))
            self.engine.set_agreed_endpoints(
                self.clock(), [entry.endpoint for entry in rules.servers], rules.alone
            )
        elif self.endpoints_from_rules:  # discovery's list holds again; servers stay until it has arrived
            self.endpoints_from_rules = False
            self.discovery.switch_to(self.discovery.address)

    def _may_send(self, id: str, number: int) -> bool:
        """Asked right before the first byte of an attempt: the rules may have expired since the decision."""
        return (self.rules is None or self.rules.refresh()) and self.engine.may_send(self.clock(), id, number)

    def _decide_now(self, call: Callable[..., list[Step]], *args) -> bool:
        """A failure of one step does not keep the other steps from being carried out."""
        if self.rules:
            self.rules.refresh()
        # An event that arrived during a pause is that old, and must not find its request overdue.
        self.now = max(self.now, self.clock.arrival_time())
        try:
            steps, succeeded = call(self.now, *args), True
        except Exception as error:
            logger.exception("the decision engine failed")
            steps, succeeded = error.steps if isinstance(error, DecisionError) else [], False
        for step in steps:
            try:
                self._carry_out(step)
            except Exception:
                logger.exception("{} failed", step)
                if isinstance(step, Send):  # without a report the attempt would count as in flight for ever
                    self.loop.call_soon(
                        self._decide, self.engine.attempt_ended, step.request_id, step.number, Outcome.UNSENT
                    )
        self._schedule_wake(0.001 if succeeded else 0.05)  # a persistent failure must not spin
        return succeeded

    def _schedule_wake(self, min_delay: float) -> None:
        if (wake_time := self.engine.wake_at()) is None:
            return
        if self.wake_timer is not None:
            if self.wake_time <= wake_time:
                return  # the earlier timer schedules the next one
            self.wake_timer.cancel()
        now = self.clock()
        self.wake_time = max(now + min_delay, wake_time)
        self.wake_timer = self.loop.call_later(self.wake_time - now, self._wake)

    def _wake(self) -> None:
        self.wake_timer = None
        self._decide(self.engine.tick)

    def _carry_out(self, step: Step) -> None:
        match step:
            case Send():
                self._send(step)
            case Cancel(id, number):
                if (task := self.attempts.get((id, number))) is not None:
                    task.cancel()
            case Answer(id, rejected, retry_after):
                lines = [b"Retry-After: %.3f\r\n" % retry_after] if retry_after > 0 else []
                self._reply(id, Reply(503 if rejected else 502, lines=lines))
            case Subscribe():
                if not self.endpoints_from_rules:
                    self.discovery.start()

    def _send(self, step: Send) -> None:
        pending, key = self.pending.get(step.request_id), (step.request_id, step.number)
        if pending is None or step.server not in self.instances:
            # The client left, or the server was removed, while the decision was deferred.
            self.loop.call_soon(self._decide, self.engine.attempt_ended, *key, Outcome.UNSENT)
            return
        upstream = UpstreamRequest(
            self.loop,
            self.pool,
            self.clock,
            pending.message,
            self.instances[step.server],
            self.clock() + step.timeout,
            lambda: self._may_send(*key),
            self.windows,
            lambda complete: self._body_progress(*key, complete),
            self.counts.count_forward,
        )
        self.attempts[key] = task = self.loop.create_task(upstream.run())
        # A callback, since a task that is cancelled before it has run could not report its end.
        task.add_done_callback(lambda task: self._attempt_ended(step, upstream, task))

    def _body_progress(self, id: str, number: int, complete: bool) -> float:
        """Called when a streamed body begins to go out and, with `complete`, when all of it has gone. In
        between no deadline runs, since the client and the server take their own time. Returns the seconds
        left."""
        if (pending := self.pending.get(id)) is None:
            raise ConnectionResetError("the request has ended")
        time_left = self.engine.body_streaming(self.clock(), id, number, complete)
        pending.overdue_timer.cancel()
        if complete:
            self.uploading.discard(id)
            pending.overdue_timer = self.loop.call_later(
                max(0.0, time_left - REPLY_MARGIN), self._overdue, id
            )
            self._schedule_wake(0.001)
        return time_left

    def _attempt_ended(self, step: Send, upstream: UpstreamRequest, task: asyncio.Task) -> None:
        del self.attempts[step.request_id, step.number]
        if task.cancelled():
            result = AttemptResult(Outcome.CANCELLED if upstream.may_have_run() else Outcome.UNSENT)
        elif task.exception() is not None:
            logger.opt(exception=task.exception()).error("an attempt of request {} failed", step.request_id)
            result = AttemptResult(Outcome.RESET if upstream.may_have_run() else Outcome.UNSENT)
        else:
            result = task.result()
        if result.outcome is Outcome.SUCCESS and result.response is not None:
            response = result.response
            self._reply(
                step.request_id, Reply(200, response.body, response.forwarded_headers(), result.stream)
            )
        self._decide(self.engine.attempt_ended, step.request_id, step.number, result.outcome)

    # The endpoint list.

    def _update_endpoints(self, update: EndpointUpdate) -> None:
        self._update_instances(update)
        self._decide(
            self.engine.endpoints_updated, [entry.endpoint for entry in update.endpoints], update.full
        )

    def _update_instances(self, update: EndpointUpdate) -> None:
        """Drops what is kept for servers that were removed or have restarted, so that it neither grows nor is
        used for another server at the same address."""
        for error in update.errors:
            logger.warning("left out of the list: {}", error)
        found = {
            entry.endpoint.server: ServerInstance(
                entry.endpoint.server, entry.address, entry.endpoint.started
            )
            for entry in update.endpoints
            if not entry.removed
        }
        affected = (
            set(self.instances) if update.full else {entry.endpoint.server for entry in update.endpoints}
        )
        for id in affected:
            old, new = self.instances.pop(id, None), found.get(id)
            if old is not None and old != new:
                self.pool.remove(old)
        for instance in found.values():
            self.pool.allow(instance)
        self.instances |= found

    def _watch_failed(self) -> None:
        self._decide(self.engine.endpoint_watch_failed)
