"""What befalls the world, and when: the scenario's faults, spread out into single changes of the fleet and
the list. Both engines carry out the same changes through a `Hands`; nothing here does I/O or knows a clock.
"""

import math
import random
import zlib
from collections.abc import Callable

from foxspread.lab.scenario import Fault, Scenario
from foxspread.lab.world.fleet import Fleet, Server


class Hands:
    """What an engine must be able to do. `later` calls back after so many seconds."""

    def later(self, seconds: float, call: Callable[..., None], *args) -> None:
        raise NotImplementedError

    def now(self) -> float:
        raise NotImplementedError

    def changed(self, server: Server) -> None:
        """Its speed or conduct is another: work out anew when it wakes."""

    def reset(self, server: Server) -> None:
        """All its connections break, so that the other side notices."""

    def listening(self, server: Server, how: str) -> None:
        """New connections: `open`, `refused`, or `silent` (they never come up, and open ones say nothing)."""

    def started(self, server: Server) -> None:
        """A new run listens."""

    def list_changed(self, server: Server, state: str) -> None:
        """The list source comes to know it after its delay, and tells it."""

    def list_stale(self, stale: float) -> None:
        """What is to be told from now on comes so much later (0: as usual)."""

    def list_down(self, down: bool) -> None:
        """The list source ends watches and answers no calls."""

    def zone_cut(self, zone: str, cut: bool) -> None:
        """Nothing passes between that zone and the others."""


class Timeline:
    def __init__(self, scenario: Scenario, fleet: Fleet, hands: Hands, seed: int) -> None:
        self.scenario, self.fleet, self.hands, self.seed = scenario, fleet, hands, seed

    def start(self) -> None:
        for number, fault in enumerate(self.scenario.faults):
            for turn in range(fault.times):
                # The same servers each time: a flapping one flaps again.
                self.hands.later(fault.at + turn * fault.every, self._begin, number, fault)

    def struck(self, number: int, fault: Fault) -> list[Server]:
        """Whom it strikes: named servers, a zone's, or a part of all by chance, at least one."""
        servers = self.fleet.servers
        if fault.servers:
            return [servers[id] for id in fault.servers if id in servers]
        found = sorted(id for id in servers if not fault.zone or servers[id].zone == fault.zone)
        if fault.part and fault.part < 1:
            chance = random.Random(zlib.crc32(b"fault:%d:%d" % (self.seed, number)))
            found = sorted(chance.sample(found, max(1, round(fault.part * len(found)))))
        return [servers[id] for id in found]

    def _begin(self, number: int, fault: Fault) -> None:
        now, hands = self.hands.now(), self.hands
        self.fleet.ledger.write(round(now * 1e6), "fault", fault.what, "", "", fault.lasts)
        match fault.what:
            case "zone_cut":
                hands.zone_cut(fault.zone, True)
                hands.later(fault.lasts, hands.zone_cut, fault.zone, False)
            case "list_stale":
                hands.list_stale(fault.factor)
                hands.later(fault.lasts, hands.list_stale, 0.0)
            case "list_outage":
                hands.list_down(True)
                hands.later(fault.lasts, hands.list_down, False)
            case "lookups_that_fail_everywhere":
                pass  # the demand is made so
            case "cold_flood":
                self._flood(fault)
            case "release":
                self._release(fault, self.struck(number, fault))
            case _:
                for server in self.struck(number, fault):
                    if server.up:
                        self._strike(number, fault, server)

    def _strike(self, number: int, fault: Fault, server: Server) -> None:
        now, hands = self.hands.now(), self.hands
        why = f"{number}"
        match fault.what:
            case "slow":
                server.machine.slower(now, why, fault.factor)
                hands.later(fault.lasts, self._faster, server, why)
            case "neighbour":  # on for two seconds, off for one
                for second in range(math.ceil(fault.lasts / 3)):
                    hands.later(3.0 * second, self._slower, server, why, 1 / (1 - fault.factor))
                    hands.later(min(fault.lasts, 3.0 * second + 2.0), self._faster, server, why)
            case "hang":
                server.advance(now)
                server.conduct.hang = True
                hands.later(fault.lasts, self._unhang, server)
            case "hang_after_read" | "fast_errors" | "reset_after_read" | "reset_mid_answer":
                server.conduct.struck[fault.what] = fault.share
                server.conduct.ran = fault.ran
                hands.later(fault.lasts, server.conduct.struck.pop, fault.what, None)
            case "refuse":
                server.refusing = True
                hands.listening(server, "refused")
                hands.later(fault.lasts, self._open, server)
            case "crash_cold":
                self.crash(server, "crash")
                hands.later(fault.notice, self.tell_gone, server)
                hands.later(fault.lasts + fault.back, self._back, server)
            case "vanish":
                server.advance(now)
                server.down(now, "vanish")
                server.silent = True
                hands.listening(server, "silent")
                hands.later(fault.notice, self.tell_gone, server)
                hands.later(fault.lasts + fault.back, self._back, server)
        hands.changed(server)

    def _slower(self, server: Server, why: str, factor: float) -> None:
        server.machine.slower(self.hands.now(), why, factor)
        self.hands.changed(server)

    def _faster(self, server: Server, why: str) -> None:
        server.machine.slower(self.hands.now(), why, None)
        self.hands.changed(server)

    def _unhang(self, server: Server) -> None:
        """What was held goes on from where it stood."""
        server.machine.at = max(server.machine.at, self.hands.now())
        server.conduct.hang = False
        self.hands.changed(server)

    def _open(self, server: Server) -> None:
        server.refusing = False
        if server.up:
            self.hands.listening(server, "open")

    def crash(self, server: Server, why: str) -> None:
        server.advance(self.hands.now())
        server.down(self.hands.now(), why)
        self.hands.listening(server, "refused")
        self.hands.reset(server)

    def tell_gone(self, server: Server) -> None:
        if self.fleet.servers.get(server.id) is server and not server.up:
            self.fleet.listed.pop(server.id, None)
            self.hands.list_changed(server, "gone")

    def _back(self, server: Server) -> None:
        if self.fleet.servers.get(server.id) is not server or server.up:
            return
        self.hands.reset(server)  # what stood open to a vanished machine breaks now
        self._welcome(self.fleet.again(server, self.hands.now()))

    def _release(self, fault: Fault, servers: list[Server]) -> None:
        """Server after server, a part of the fleet at a time: drains, ends, and a successor starts cold."""
        batch = max(1, round(fault.at_a_time * len(servers)))
        rounds = math.ceil(len(servers) / batch)
        for at in range(rounds):
            for server in servers[at * batch : (at + 1) * batch]:
                self.hands.later(at * fault.lasts / rounds, self._drain, server, fault.notice)

    def _drain(self, server: Server, notice: float) -> None:
        if not server.up:
            return
        server.draining = True
        self.fleet.listed[server.id] = (server, "draining")
        self.hands.list_changed(server, "draining")
        self.hands.later(notice, self._end, server)
        self._welcome(self.fleet.new(server.group, server.zone, server.cell, self.hands.now(), True))

    def _end(self, server: Server, rounds: int = 100) -> None:
        """It goes once it has answered what it holds; at the latest after 10 s."""
        if not server.up:
            return
        if server.machine.held() and rounds:
            self.hands.later(0.1, self._end, server, rounds - 1)
            return
        self.crash(server, "drained")
        self.fleet.listed.pop(server.id, None)
        self.hands.list_changed(server, "gone")

    def _flood(self, fault: Fault) -> None:
        groups, zones = self.scenario.groups, self.scenario.network.zones
        for number in range(fault.count):
            group = groups[number % len(groups)]
            zone = (group.zones or zones)[number % len(group.zones or zones)]
            self._welcome(
                self.fleet.new(group, zone, 1000 + number // group.cell_size, self.hands.now(), True)
            )

    def _welcome(self, new: Server) -> None:
        self.hands.started(new)
        self.hands.list_changed(new, "ready")
