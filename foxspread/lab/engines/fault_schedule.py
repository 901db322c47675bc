"""Fault schedule: expands a scenario's faults into single changes of the fleet and of the endpoint list. Both
engines apply the same changes through `EngineActions`; this module does no I/O and reads no clock.
"""

import math
import random
import zlib
from collections.abc import Callable

from foxspread.lab.scenario import Fault, Scenario
from foxspread.lab.world.fleet import Fleet, Server


class EngineActions:
    """Actions that an engine provides. `later` calls a function after a number of seconds."""

    def later(self, seconds: float, call: Callable[..., None], *args) -> None:
        raise NotImplementedError

    def now(self) -> float:
        raise NotImplementedError

    def changed(self, server: Server) -> None:
        """Reschedules the server's next event after its speed or fault behavior has changed."""

    def reset(self, server: Server) -> None:
        """Resets all connections of a server, visibly to their peers."""

    def listening(self, server: Server, how: str) -> None:
        """Sets the mode of new connections: `open`, `refused`, or `silent` (as open ones: no reply)."""

    def started(self, server: Server) -> None:
        """Makes a newly started run of a server accept connections."""

    def list_changed(self, server: Server, state: str) -> None:
        """Passes a state change to the endpoint list source, which publishes it after its delay."""

    def set_list_delay(self, delay: float) -> None:
        """Delays later updates of the endpoint list by additional seconds; 0 ends the delay."""

    def set_list_outage(self, down: bool) -> None:
        """Starts or ends an outage of the endpoint list source: watches end and calls fail."""

    def set_zone_partitioned(self, zone: str, partitioned: bool) -> None:
        """Starts or ends a network partition between a zone and all others."""


class FaultSchedule:
    def __init__(self, scenario: Scenario, fleet: Fleet, engine: EngineActions, seed: int) -> None:
        self.scenario, self.fleet, self.engine, self.seed = scenario, fleet, engine, seed

    def start(self) -> None:
        for number, fault in enumerate(self.scenario.faults):
            for turn in range(fault.times):
                # Every repetition affects the same servers, so that a flapping server flaps again.
                self.engine.later(fault.at + turn * fault.every, self._begin, number, fault)

    def affected_servers(self, number: int, fault: Fault) -> list[Server]:
        """Returns the servers that a fault affects: named ones, a zone's, or a random part, at least one."""
        servers = self.fleet.servers
        if fault.servers:
            return [servers[id] for id in fault.servers if id in servers]
        found = sorted(id for id in servers if not fault.zone or servers[id].zone == fault.zone)
        if fault.part and fault.part < 1:
            chance = random.Random(zlib.crc32(b"fault:%d:%d" % (self.seed, number)))
            found = sorted(chance.sample(found, max(1, round(fault.part * len(found)))))
        return [servers[id] for id in found]

    def _begin(self, number: int, fault: Fault) -> None:
        now, engine = self.engine.now(), self.engine
        self.fleet.ledger.write(round(now * 1e6), "fault", fault.what, "", "", fault.lasts)
        match fault.what:
            case "zone_cut":
                engine.set_zone_partitioned(fault.zone, True)
                engine.later(fault.lasts, engine.set_zone_partitioned, fault.zone, False)
            case "list_stale":
                engine.set_list_delay(fault.factor)
                engine.later(fault.lasts, engine.set_list_delay, 0.0)
            case "list_outage":
                engine.set_list_outage(True)
                engine.later(fault.lasts, engine.set_list_outage, False)
            case "lookups_that_fail_everywhere":
                pass  # `demand.plan` marks the requests that fail
            case "cold_flood":
                self._add_servers(fault)
            case "release":
                self._release(fault, self.affected_servers(number, fault))
            case _:
                for server in self.affected_servers(number, fault):
                    if server.up:
                        self._apply_to_server(number, fault, server)

    def _apply_to_server(self, number: int, fault: Fault, server: Server) -> None:
        now, engine = self.engine.now(), self.engine
        why = f"{number}"
        match fault.what:
            case "slow":
                server.machine.set_slowdown(now, why, fault.factor)
                engine.later(fault.lasts, self._end_slowdown, server, why)
            case "neighbour":  # slow for two seconds, then normal for one
                for second in range(math.ceil(fault.lasts / 3)):
                    engine.later(3.0 * second, self._begin_slowdown, server, why, 1 / (1 - fault.factor))
                    engine.later(min(fault.lasts, 3.0 * second + 2.0), self._end_slowdown, server, why)
            case "hang":
                server.advance(now)
                server.fault_behavior.hang = True
                engine.later(fault.lasts, self._end_hang, server)
            case "hang_after_read" | "fast_errors" | "reset_after_read" | "reset_mid_answer":
                server.fault_behavior.shares[fault.what] = fault.share
                server.fault_behavior.executed_share = fault.ran
                engine.later(fault.lasts, server.fault_behavior.shares.pop, fault.what, None)
            case "refuse":
                server.refusing = True
                engine.listening(server, "refused")
                engine.later(fault.lasts, self._accept_again, server)
            case "crash_cold":
                self.crash(server, "crash")
                engine.later(fault.notice, self.announce_removed, server)
                engine.later(fault.lasts + fault.back, self._restart, server)
            case "vanish":
                server.advance(now)
                server.down(now, "vanish")
                server.silent = True
                engine.listening(server, "silent")
                engine.later(fault.notice, self.announce_removed, server)
                engine.later(fault.lasts + fault.back, self._restart, server)
        engine.changed(server)

    def _begin_slowdown(self, server: Server, why: str, factor: float) -> None:
        server.machine.set_slowdown(self.engine.now(), why, factor)
        self.engine.changed(server)

    def _end_slowdown(self, server: Server, why: str) -> None:
        server.machine.set_slowdown(self.engine.now(), why, None)
        self.engine.changed(server)

    def _end_hang(self, server: Server) -> None:
        """Resumes the requests in flight from where they stopped."""
        server.machine.at = max(server.machine.at, self.engine.now())
        server.fault_behavior.hang = False
        self.engine.changed(server)

    def _accept_again(self, server: Server) -> None:
        server.refusing = False
        if server.up:
            self.engine.listening(server, "open")

    def crash(self, server: Server, why: str) -> None:
        server.advance(self.engine.now())
        server.down(self.engine.now(), why)
        self.engine.listening(server, "refused")
        self.engine.reset(server)

    def announce_removed(self, server: Server) -> None:
        if self.fleet.servers.get(server.id) is server and not server.up:
            self.fleet.listed.pop(server.id, None)
            self.engine.list_changed(server, "gone")

    def _restart(self, server: Server) -> None:
        if self.fleet.servers.get(server.id) is not server or server.up:
            return
        self.engine.reset(server)  # connections to a vanished machine break when it returns
        self._announce_started(self.fleet.restart(server, self.engine.now()))

    def _release(self, fault: Fault, servers: list[Server]) -> None:
        """Replaces servers in batches: each drains and stops, and its successor begins a slow start."""
        batch = max(1, round(fault.at_a_time * len(servers)))
        rounds = math.ceil(len(servers) / batch)
        for at in range(rounds):
            for server in servers[at * batch : (at + 1) * batch]:
                self.engine.later(at * fault.lasts / rounds, self._drain, server, fault.notice)

    def _drain(self, server: Server, notice: float) -> None:
        if not server.up:
            return
        server.draining = True
        self.fleet.listed[server.id] = (server, "draining")
        self.engine.list_changed(server, "draining")
        self.engine.later(notice, self._stop_when_idle, server)
        self._announce_started(
            self.fleet.add_server(server.group, server.zone, server.cell, self.engine.now(), True)
        )

    def _stop_when_idle(self, server: Server, rounds: int = 100) -> None:
        """Stops a draining server once it has no requests in flight, after at most 10 s."""
        if not server.up:
            return
        if server.machine.in_flight() and rounds:
            self.engine.later(0.1, self._stop_when_idle, server, rounds - 1)
            return
        self.crash(server, "drained")
        self.fleet.listed.pop(server.id, None)
        self.engine.list_changed(server, "gone")

    def _add_servers(self, fault: Fault) -> None:
        groups, zones = self.scenario.groups, self.scenario.network.zones
        for number in range(fault.count):
            group = groups[number % len(groups)]
            zone = (group.zones or zones)[number % len(group.zones or zones)]
            self._announce_started(
                self.fleet.add_server(group, zone, 1000 + number // group.cell_size, self.engine.now(), True)
            )

    def _announce_started(self, new: Server) -> None:
        self.engine.started(new)
        self.engine.list_changed(new, "ready")
