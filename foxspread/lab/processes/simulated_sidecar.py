"""Processes beside the coordinators in virtual time: a clock of their own, stops, restarts and calls
(`SimulatedProcess`), and on it a sidecar that acts on fleet rules (`SimulatedSidecar`). `singleton_instance`
builds on the same.
"""

import random
from collections.abc import Callable
from typing import Any

from foxspread.consensus.coordinator import Answer, Status
from foxspread.fleet_rules.codec import AloneState, LeaseGrant, LeaseRequest
from foxspread.fleet_rules.lease_holder import EffectiveRules, LeaseHolder
from foxspread.leases import LeaseRenewal

REFETCH_SECONDS = 0.05  # after a coordinator that was behind had no such version
WATCH_SECONDS = 1.0  # that a coordinator holds a watch back
REWATCH_SECONDS = 1.5  # after which a watch that was not answered is begun anew
REFUSED_WATCH_SECONDS, ANSWERED_WATCH_SECONDS = 0.1, 0.02  # until the next watch after either answer


class Reply:
    """Where the answer to one call of a process goes; nowhere once that was restarted."""

    def __init__(self, process: "SimulatedProcess", kind: str, request: Any = None, target: str = "") -> None:
        self.process, self.kind, self.request, self.target = process, kind, request, target
        self.run = process.run

    def on_answer(self, _: int, answer: Answer) -> None:
        """Called by the world with what a coordinator answers."""
        if self.run == self.process.run:
            self.process.input(lambda: self.process.on_answer(self, answer))


class SimulatedProcess:
    """`rate`: of its clock; `run` counts its starts; while it is `stalled`, inputs wait there."""

    def __init__(self, world: Any, id: str, chance: random.Random) -> None:
        self.world, self.id, self.chance = world, id, chance
        drift = world.plan.terms.drift
        self.rate, self.offset = chance.choice((1 - drift, 1.0, 1 + drift)), chance.uniform(1, 1000)
        self.run, self.down, self.slept = 0, True, 0.0
        self.stalled: list[Callable[[], None]] | None = None
        self.target = chance.choice(world.ids)
        self.wake: int | None = None
        self.saved_states: list[AloneState | None] = []

    @property
    def renewal(self) -> LeaseRenewal:
        """What renews its lease."""
        raise NotImplementedError

    def local(self) -> float:
        """The time on its own clock."""
        return self.offset + self.rate * (self.world.now - self.slept)

    def begin_run(self) -> None:
        """What each start has in common."""
        self.run, self.down, self.stalled, self.wake = self.run + 1, False, None, None

    def schedule_next_act(self) -> None:
        """The next act comes at a random moment."""
        self.world.clock.after(self.chance.expovariate(self.world.plan.acts), self.act, self.run)

    def act(self, run: int) -> None:
        """Acts by its lease, where it is the same run still."""
        raise NotImplementedError

    def on_answer(self, reply: Reply, answer: Answer) -> None:
        """What a coordinator answered to a call."""
        raise NotImplementedError

    def input(self, call: Callable[[], None]) -> None:
        """Gives an input, and carries out what is due; while it is stalled, when it goes on."""
        if self.down:
            return
        if self.stalled is not None:
            run = self.run
            self.stalled.append(lambda: self.input(call) if run == self.run else None)
            return
        call()
        self.renew()

    def resume(self, began: float) -> None:
        """Goes on after a stall that began then."""
        if self.world.broken.stops_suspended:
            self.slept += self.world.now - began
        waiting, self.stalled = self.stalled, None
        for call in waiting or []:
            call()
        self.renew()

    def renew(self) -> None:
        """Sends the requests that are due, and comes back when the next is."""
        renewal, now = self.renewal, self.local()
        while (request := renewal.request_due(now)) is not None:
            self.target = self.chance.choice(self.world.ids) if renewal.attempts > 1 else self.target
            self.send_request(request)
        left = renewal.wake_at() - now
        wake = self.world.clock.now + max(1, round(left / self.rate * 1e6) + 1)
        if self.wake is None or wake < self.wake or self.wake <= self.world.clock.now:
            self.wake = wake
            self.world.clock.at(wake, self._woken, self.run, wake)

    def send_request(self, request: Any) -> None:
        """Sends a request for a lease to `target`."""
        raise NotImplementedError

    def _woken(self, run: int, wake: int) -> None:
        if run == self.run and wake == self.wake and not self.down and self.stalled is None:
            self.wake = None
            self.renew()

    def call(self, reply: Reply, call: Callable[[Any, float, int], None]) -> None:
        """Calls the coordinator that `reply` names, unless the message is lost."""
        world = self.world
        token = world.token(reply, 0)
        if not world.network.is_blocked(self.id, reply.target) and not world.network.loses():
            node = world.nodes[reply.target]
            world.clock.after(world.network.delay(), node.step, lambda host, now: call(host, now, token))


class SimulatedSidecar(SimulatedProcess):
    """A lease holder, one watch, and acts at random moments."""

    holder: LeaseHolder | None = None

    @property
    def renewal(self) -> LeaseRenewal:
        """The lease holder."""
        return self.holder

    def start(self, kept: AloneState | None = None) -> None:
        """With a file of an earlier run, or none."""
        self.begin_run()
        self.holder = self.world.broken.holder(
            self.local(),
            f"{self.id}/{self.run}",
            self.world.checked,
            self.chance.random,
            self.world.plan.terms.drift,
            "boot",
            kept,
        )
        self.watch()
        self.schedule_next_act()
        self.renew()

    def kill(self) -> None:
        """Ends the process; what it had kept stays."""
        if not self.down:
            self.saved_states.append(self.holder.alone_state())
            self.down = True

    def send_request(self, request: LeaseRequest) -> None:
        """Asks for a lease on the rules."""
        self.call(
            Reply(self, "ask", request, self.target),
            lambda host, now, token: host.request_lease(now, token, request),
        )

    def watch(self) -> None:
        """One at a time; where its answer is lost, another is begun after a while."""
        target, phase = self.chance.choice(self.world.ids), self.holder.phase
        self.watch_began = self.world.now
        self.call(
            Reply(self, "watch", None, target),
            lambda host, now, token: host.watch_phase(now, token, phase, WATCH_SECONDS),
        )
        self._rewatch_after(REWATCH_SECONDS)

    def _rewatch_after(self, seconds: float) -> None:
        self.world.clock.after(seconds, self._rewatch, self.run, self.watch_began)

    def _rewatch(self, run: int, began: float) -> None:
        if run == self.run and self.watch_began == began and not self.down:
            self.input(self.watch)

    def on_answer(self, reply: Reply, answer: Answer) -> None:
        """To a watch, or to a request for a lease."""
        now = self.local()
        if answer.status is not Status.DONE:
            if reply.kind == "watch":
                self._rewatch_after(REFUSED_WATCH_SECONDS)
            return
        if reply.kind == "watch":
            if answer.value > self.holder.phase:
                self.holder.request_now(now)
            self._rewatch_after(ANSWERED_WATCH_SECONDS)
        elif isinstance(answer.value, LeaseGrant):
            self.holder.on_grant(now, reply.request, answer.value)
            self.fetch()

    def fetch(self) -> None:
        """Fetches the versions that its grant needs."""
        world = self.world
        for number in self.holder.missing_versions():
            target = self.chance.choice(world.ids)
            reply = Reply(self, "fetch", None, target)
            blocked = world.network.is_blocked(self.id, target) or world.network.is_blocked(target, self.id)
            if blocked or world.network.loses():
                continue
            world.clock.after(2 * world.network.delay(), self._fetched, reply, number)

    def _fetched(self, reply: Reply, number: int) -> None:
        host = self.world.nodes[reply.target].host
        version = host.versions.get(number) if host is not None else None
        if reply.run != self.run:
            return
        if version is None:  # that one is behind
            return self.input(lambda: self.holder.request_now(self.local() + REFETCH_SECONDS))
        self.input(lambda: self.holder.on_content(self.local(), number, version.content))

    def act(self, run: int) -> None:
        """Decides, and acts at once or after a sleep that it doesn't notice."""
        if run != self.run or self.down:
            return
        self.schedule_next_act()
        if self.stalled is None:
            decided = self.holder.effective(self.local())
            sleeps = self.chance.random() < self.world.plan.sleep_share
            self.world.clock.after(self.chance.expovariate(1.0) if sleeps else 0.0, self._do, run, decided)

    def _do(self, run: int, decided: EffectiveRules) -> None:
        if run != self.run or self.down:
            return
        if self.stalled is not None:  # it acts when it wakes, on what it had decided
            self.stalled.append(lambda: self._do(run, decided))
        elif self.holder.may_act(self.local(), decided):
            self.world.acted(self, decided)
