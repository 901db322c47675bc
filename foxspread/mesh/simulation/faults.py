"""What befalls machines, their disks, clocks and links, by name. Never more machines than `tolerate` are lost
at a time.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from foxspread.mesh.simulation.machines import Machine, Sidecar

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet
    from foxspread.mesh.simulation.schedule import Event

CATCH_UP_S = 4.0  # after its start or return a machine counts as lost for so long
GRACE_S = 6.0  # for one that leaves


class Faults:
    def __init__(self, fleet: "Fleet") -> None:
        self.fleet, self.world, self.judge = fleet, fleet.world, fleet.judge
        self.befell: dict[str, int] = {}
        self.at_ack: list[Callable[[Machine], None]] = []  # what befalls the next that acknowledges a call
        self.ends: dict[int, Callable[[], None]] = {}  # of faults that go on
        self.whole = False  # no more faults
        self.leaving: dict[str, float] = {}  # for how long it is away then

    def befall(self, event: "Event") -> None:
        machine = self.fleet.machines[event.where % len(self.fleet.machines)]
        if getattr(self, f"_{event.kind}")(machine, event.seconds) is False:
            return
        self.befell[event.kind] = self.befell.get(event.kind, 0) + 1
        self.fleet.say(f"** {event.kind} {machine.name} for {event.seconds:.3f}")

    def _bearable(self, *more: Machine) -> bool:
        return (
            len({*(each for each in self.fleet.machines if each.is_lost), *more}) <= self.fleet.plan.tolerate
        )

    def _until(self, seconds: float, whom: Machine | None, end: Callable[[], None]) -> None:
        """`end` comes after so long, or at the end of all faults; till then there is trouble."""
        row, number = self.judge.trouble(whom.name if whom else None), next(self.world.numbers)

        def over() -> None:
            if self.ends.pop(number, None) is not None:
                self.judge.now = self.world.now
                end()
                self.judge.over(row)
                if whom is not None and self.fleet.plan.members_change:
                    whom.returning_until = self.world.now + CATCH_UP_S
                if self.fleet.plan.probes and whom is not None and whom.is_healthy:
                    self.fleet.operators.probe(whom)

        self.ends[number] = over
        self.world.after(seconds, over)

    def end(self) -> None:
        self.fleet.say("** all is whole again")
        self.whole = True
        for over in list(self.ends.values()):
            over()

    def _down(self, machine: Machine, seconds: float, wiped: bool) -> None:
        if machine.up:
            machine.kill()
        if wiped:
            machine.disk.wipe()
            if machine.wiped is None:
                machine.wiped = self.judge.trouble(machine.name)
        self._until(seconds, machine, lambda: self._return(machine))

    def _return(self, machine: Machine) -> None:
        if not machine.up:
            machine.start()
            machine.counts_from = None

    def _kill(self, machine: Machine, seconds: float, wiped: bool = False) -> bool | None:
        if self.whole or not machine.up or not self._bearable(machine):
            return False
        self._down(machine, seconds, wiped)

    def _wipe(self, machine: Machine, seconds: float) -> bool | None:
        return self._kill(machine, seconds, True)

    def _power_off(self, machine: Machine, seconds: float, wiped: bool = False) -> bool | None:
        """All lose power; one that is wiped comes back with nothing."""
        there = [each for each in self.fleet.machines if not each.spare and each.counts_from is None]
        unknowing = {each for each in there if each.wiped is not None or (wiped and each is machine)}
        if self.whole or len(unknowing) > self.fleet.plan.tolerate or not all(each.up for each in there):
            return False
        if wiped and self.fleet.plan.probes and not self._bearable(machine):
            return False  # on long days another may be cut off for long after all are back
        self._until(seconds + 2.0, None, lambda: None)
        for each in there:
            away = 0.05 + self.world.draw() * seconds + each.slow_start
            each.slow_start = 0.0
            self._down(each, away, wiped and each is machine)

    def _power_off_wiped(self, machine: Machine, seconds: float) -> bool | None:
        return self._power_off(machine, seconds, True)

    def _power_at_ack(self, machine: Machine, seconds: float, wiped: bool = False) -> None:
        """All lose power right after the next call is acknowledged."""
        self.at_ack.append(lambda acker: self._power_off(acker, seconds, wiped))

    def _acker_wiped(self, machine: Machine, seconds: float) -> None:
        self._power_at_ack(machine, seconds, True)

    def _behind(self, machine: Machine, seconds: float) -> bool | None:
        """Some miss a call; then all lose power, one that has it is wiped, and the others that have it are
        the last to come back."""
        at = self.fleet.machines.index(machine)
        turned = self.fleet.machines[at:] + self.fleet.machines[:at]
        missing, wiped = turned[: self.fleet.plan.tolerate], turned[self.fleet.plan.tolerate]
        late, seconds = turned[self.fleet.plan.tolerate + 1 :], 0.02 + seconds / 10
        if self._cut_off(missing, seconds, "io") is False:
            return False

        def then() -> None:
            for each in late:
                each.slow_start = 1.0
            if self._power_off(wiped, 0.2, True) is False:
                return
            again = late[0]
            self.world.after(1.2 + self.world.draw() * 1.5, lambda: self._kill(again, 1.0))

        self.world.after(seconds + 0.001, then)

    def _freeze(self, machine: Machine, seconds: float) -> bool | None:
        if not machine.up or machine.frozen or not self._bearable(machine):
            return False
        machine.frozen, incarnation = True, machine.incarnation
        self._until(seconds, machine, lambda: machine.thaw() if machine.incarnation == incarnation else None)

    def _cut(self, machine: Machine, seconds: float, ways: str = "io") -> bool | None:
        return self._cut_off([machine], seconds, ways)

    def _cut_in(self, machine: Machine, seconds: float) -> bool | None:
        return self._cut(machine, seconds, "i")

    def _cut_out(self, machine: Machine, seconds: float) -> bool | None:
        return self._cut(machine, seconds, "o")

    def _split(self, machine: Machine, seconds: float) -> bool | None:
        at = self.fleet.machines.index(machine)
        side = [
            self.fleet.machines[(at + n) % len(self.fleet.machines)] for n in range(self.fleet.plan.tolerate)
        ]
        return self._cut_off(side, seconds, "io")

    def _cut_some(self, machine: Machine, seconds: float) -> bool | None:
        """Towards some of the others only, either way."""
        others = [name for name in self.fleet.processes if name != machine.name and self.world.draw() < 0.5]
        return self._cut_off([machine], seconds, "io", others)

    def _island(self, machine: Machine, seconds: float) -> bool | None:
        """A machine and a sidecar that reaches nobody else; the sidecar begins a new life in there."""
        sidecar = self.world.pick(self.fleet.sidecars)
        others = [name for name in self.fleet.processes if name not in (machine.name, sidecar.name)]
        if self._cut_off([machine], seconds, "io", others) is False:
            return False
        pairs = {(name, sidecar.name) for name in others} | {(sidecar.name, name) for name in others}
        pairs -= self.fleet.links.cut
        self.fleet.links.cut |= pairs

        def join() -> None:
            self.fleet.links.cut -= pairs

        self._until(seconds, None, join)
        for _ in range(2):
            self.world.after(self.world.draw() * seconds, lambda: self._restart(sidecar, 0.1))

    def _sidecar_restart(self, machine: Machine, seconds: float) -> None:
        self._restart(self.world.pick(self.fleet.sidecars), seconds)

    def _restart(self, sidecar: Sidecar, seconds: float) -> None:
        if sidecar.up:
            sidecar.kill()
            self._until(seconds, None, lambda: None if sidecar.up else sidecar.start())

    def _next_cut(self, machine: Machine, seconds: float) -> None:
        """The next that acknowledges is cut off, in one of the ways."""
        ways = (self._cut, self._cut_in, self._cut_out, self._cut_some, self._island)
        way = self.world.pick(list(ways))
        self.at_ack.append(lambda acker: way(acker, seconds))

    def _gone(self, machine: Machine, seconds: float) -> bool | None:
        """For good, as others see it; a spare is started in its place. It wakes up with its old disk."""
        spare = next((each for each in self.fleet.machines if each.spare), None)
        if spare is None or machine.counts_from is not None or self._kill(machine, seconds) is False:
            return False
        self.world.after(1.0, lambda: self._succeed(machine, spare))

    def _succeed(self, machine: Machine, spare: Machine) -> None:
        if spare.spare and not machine.up:
            spare.spare = False
            machine.counts_from = self.world.now + CATCH_UP_S
            spare.start()

    def _leave(self, machine: Machine, seconds: float) -> bool | None:
        """It says that it leaves, and ends once it may, at its grace in any case; then it comes back."""
        if self.whole or not machine.up or machine.frozen or not self._bearable(machine):
            return False
        machine.leaving, incarnation = True, machine.incarnation
        self.leaving[machine.name] = seconds
        self._until(
            GRACE_S, machine, lambda: self.has_left(machine) if machine.incarnation == incarnation else None
        )

    def has_left(self, machine: Machine) -> None:
        if machine.up and machine.leaving:
            self._down(machine, self.leaving[machine.name], False)

    def _loss_after_repair(self, machine: Machine, seconds: float, wiped: bool = True) -> bool | None:
        """One is wiped; as soon as it is whole again `tolerate` others go, disks and all."""
        if self._wipe(machine, 0.2 + seconds / 8) is False:
            return False
        at = self.fleet.machines.index(machine)
        others = self.fleet.machines[at + 1 :] + self.fleet.machines[:at]

        def then() -> None:
            if machine.is_lost and not self.whole:
                return self.world.after(0.02, then)
            for each in others[: self.fleet.plan.tolerate]:
                self._kill(each, seconds, self.world.draw() < 0.5)

        self.world.after(0.3 + seconds / 8, then)

    def _cut_off(
        self, side: list[Machine], seconds: float, ways: str, others: list[str] | None = None
    ) -> bool | None:
        if not self._bearable(*side):
            return False
        names = {each.name for each in side}
        if others is None:
            others = [name for name in self.fleet.processes if name not in names]
        pairs = {(a, b) for a in others for b in names if "i" in ways} | {
            (a, b) for a in names for b in others if "o" in ways
        }
        pairs -= self.fleet.links.cut
        self.fleet.links.cut |= pairs
        for each in side:
            each.partitions += 1

        def join() -> None:
            self.fleet.links.cut -= pairs
            for each in side:
                each.partitions -= 1

        for each in side:
            self._until(seconds, each, lambda: None)
        self._until(seconds, side[0], join)

    def _disk(self, machine: Machine, seconds: float, **what: Any) -> bool | None:
        if not self._bearable(machine):
            return False
        before = {name: getattr(machine.disk, name) for name in what}
        if before == what:
            return False
        vars(machine.disk).update(what)
        self._until(seconds, machine, lambda: vars(machine.disk).update(before))

    def _disk_slow(self, machine: Machine, seconds: float) -> bool | None:
        return self._disk(machine, seconds, sync_s=0.15)

    def _disk_stalls(self, machine: Machine, seconds: float) -> bool | None:
        return self._disk(machine, seconds, stalled=True)

    def _disk_refuses(self, machine: Machine, seconds: float) -> bool | None:
        return self._disk(machine, seconds, refuses=True)

    def _links(self, seconds: float, name: str, share: float) -> None:
        setattr(self.fleet.links, name, share)
        self._until(seconds, None, lambda: setattr(self.fleet.links, name, 0.0))

    def _links_drop(self, machine: Machine, seconds: float) -> None:
        self._links(seconds, "drops", 0.2)

    def _links_repeat(self, machine: Machine, seconds: float) -> None:
        self._links(seconds, "repeats", 0.3)

    def _links_late(self, machine: Machine, seconds: float) -> None:
        self._links(seconds, "late", 0.4)

    def _link_slow(self, machine: Machine, seconds: float) -> None:
        other = self.world.pick([each for each in self.fleet.machines if each is not machine])
        pair = machine.name, other.name
        self.fleet.links.slow[pair] = self.world.within(0.05, 0.5)
        self._until(seconds, None, lambda: self.fleet.links.slow.pop(pair, None))

    def _clock(self, machine: Machine, seconds: float) -> None:
        machine.offset += seconds * 3
