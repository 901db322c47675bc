"""Machine faults: crashes, wipes, power losses, freezes, clock jumps, permanent losses and leaves."""

from foxspread.mesh.simulation.fault_control import CATCH_UP_S, FaultControl
from foxspread.mesh.simulation.machines import Machine, Sidecar
from foxspread.mesh.simulation.network_faults import NetworkFaults

LEAVE_GRACE_S = 6.0  # after this a leaving machine stops in any case
REPLACEMENT_DELAY_S = 1.0  # from the permanent loss of a machine to the start of a spare
POWER_RETURN_S = 2.0  # time after a power loss in which no machine need answer in time
UP_TO_DATE_RETURN_DELAY_S = 1.0  # extra downtime of machines that have the newest call
CLOCK_JUMP_FACTOR = 3  # multiplies the drawn duration
CATCH_UP_POLL_INTERVAL_S = 0.02  # between checks whether a machine has caught up


class MachineFaults:
    """Injects machine faults.

    Each public method that takes a machine and a duration injects one fault, and returns False if that is not
    possible now.
    """

    def __init__(self, control: FaultControl, network: NetworkFaults) -> None:
        self.control, self.network = control, network
        self.fleet, self.simulation, self.checker = control.fleet, control.simulation, control.checker
        self._absence_s: dict[str, float] = {}  # downtime of each leaving machine

    def crash(self, machine: Machine, duration_s: float, wiped: bool = False) -> bool:
        """Stops the machine for `duration_s`; if `wiped`, it restarts with empty storage."""
        if self.control.ended or not machine.up or not self.control.can_lose(machine):
            return False
        self._take_down(machine, duration_s, wiped)
        return True

    def wipe(self, machine: Machine, duration_s: float) -> bool:
        """Stops the machine, which restarts with empty storage."""
        return self.crash(machine, duration_s, True)

    def _take_down(self, machine: Machine, duration_s: float, wiped: bool) -> None:
        if machine.up:
            machine.kill()
        if wiped:
            machine.storage.wipe()
            if machine.catch_up_period is None:
                machine.catch_up_period = self.checker.fault_began(machine.name)
        self.control.schedule_fault_end(duration_s, machine, lambda: self._restart_machine(machine))

    def _restart_machine(self, machine: Machine) -> None:
        if not machine.up:
            machine.start()
            machine.replaced_at = None

    # Power.

    def power_loss(self, machine: Machine, duration_s: float, wiped: bool = False) -> bool:
        """Stops all machines, which restart one by one; if `wiped`, this one has empty storage then."""
        running = [each for each in self.fleet.machines if not each.is_spare and each.replaced_at is None]
        empty = {each for each in running if each.catch_up_period is not None or (wiped and each is machine)}
        if (
            self.control.ended
            or len(empty) > self.fleet.plan.tolerated_losses
            or not all(each.up for each in running)
        ):
            return False
        if wiped and self.fleet.plan.probes and not self.control.can_lose(machine):
            return False  # in long runs another machine may stay partitioned
        self.control.schedule_fault_end(duration_s + POWER_RETURN_S, None, lambda: None)
        for each in running:
            downtime_s = 0.05 + self.simulation.draw() * duration_s + each.extra_downtime_s
            each.extra_downtime_s = 0.0
            self._take_down(each, downtime_s, wiped and each is machine)
        return True

    def power_loss_and_wipe(self, machine: Machine, duration_s: float) -> bool:
        """Stops all machines; this one restarts with empty storage."""
        return self.power_loss(machine, duration_s, True)

    def power_loss_on_acknowledgement(self, machine: Machine, duration_s: float, wiped: bool = False) -> bool:
        """Stops all machines right after the next call is acknowledged."""
        self.control.on_acknowledgement.append(
            lambda acknowledger: self.power_loss(acknowledger, duration_s, wiped)
        )
        return True

    def wipe_acknowledger(self, machine: Machine, duration_s: float) -> bool:
        """Stops all machines after the next acknowledged call, and wipes the one that acknowledged it."""
        return self.power_loss_on_acknowledgement(machine, duration_s, True)

    def lose_up_to_date(self, machine: Machine, duration_s: float) -> bool:
        """Isolates some machines, so that they miss calls, and then stops all machines.

        One up-to-date machine is wiped, and the other up-to-date machines are the last to restart.
        """
        rotated, count = self.control.machines_starting_at(machine), self.fleet.plan.tolerated_losses
        outdated, wiped, up_to_date = rotated[:count], rotated[count], rotated[count + 1 :]
        partition_s = 0.02 + duration_s / 10
        if not self.network.isolate(outdated, partition_s):
            return False

        def lose_power() -> None:
            for each in up_to_date:
                each.extra_downtime_s = UP_TO_DATE_RETURN_DELAY_S
            if not self.power_loss(wiped, 0.2, True):
                return
            crash_in_s = 1.2 + self.simulation.draw() * 1.5
            self.simulation.after(crash_in_s, lambda: self.crash(up_to_date[0], 1.0))

        self.simulation.after(partition_s + 0.001, lose_power)
        return True

    # One machine.

    def freeze(self, machine: Machine, duration_s: float) -> bool:
        """Suspends the process of the machine."""
        if not machine.up or machine.frozen or not self.control.can_lose(machine):
            return False
        machine.frozen, incarnation = True, machine.incarnation

        def thaw() -> None:
            if machine.incarnation == incarnation:
                machine.thaw()

        self.control.schedule_fault_end(duration_s, machine, thaw)
        return True

    def clock_jump(self, machine: Machine, duration_s: float) -> bool:
        """Moves the clock of the machine ahead."""
        machine.clock_offset_s += duration_s * CLOCK_JUMP_FACTOR
        return True

    def lose_permanently(self, machine: Machine, duration_s: float) -> bool:
        """Stops the machine and starts a spare in its place; the machine returns with its old storage."""
        spare = next((each for each in self.fleet.machines if each.is_spare), None)
        if spare is None or machine.replaced_at is not None or not self.crash(machine, duration_s):
            return False
        self.simulation.after(REPLACEMENT_DELAY_S, lambda: self._start_spare(machine, spare))
        return True

    def _start_spare(self, machine: Machine, spare: Machine) -> None:
        if spare.is_spare and not machine.up:
            spare.is_spare = False
            machine.replaced_at = self.simulation.now + CATCH_UP_S
            spare.start()

    def leave(self, machine: Machine, duration_s: float) -> bool:
        """Lets the machine leave: it stops once it may, or after the grace period, and returns later."""
        if self.control.ended or not machine.up or machine.frozen or not self.control.can_lose(machine):
            return False
        machine.leaving, incarnation = True, machine.incarnation
        self._absence_s[machine.name] = duration_s

        def end_grace() -> None:
            if machine.incarnation == incarnation:
                self.finish_leave(machine)

        self.control.schedule_fault_end(LEAVE_GRACE_S, machine, end_grace)
        return True

    def finish_leave(self, machine: Machine) -> None:
        """Stops a leaving machine, if it is still up."""
        if machine.up and machine.leaving:
            self._take_down(machine, self._absence_s[machine.name], False)

    def loss_after_repair(self, machine: Machine, duration_s: float) -> bool:
        """Wipes the machine; once it has caught up, crashes as many others as may be lost, and wipes some."""
        wiped_s = 0.2 + duration_s / 8
        if not self.wipe(machine, wiped_s):
            return False
        others = self.control.machines_starting_at(machine)[1:]

        def crash_others() -> None:
            if machine.is_lost and not self.control.ended:
                return self.simulation.after(CATCH_UP_POLL_INTERVAL_S, crash_others)
            for each in others[: self.fleet.plan.tolerated_losses]:
                self.crash(each, duration_s, self.simulation.draw() < 0.5)

        self.simulation.after(0.3 + duration_s / 8, crash_others)
        return True

    # Sidecars.

    def restart_any_sidecar(self, machine: Machine, duration_s: float) -> bool:
        """Restarts a random sidecar, which has no state then."""
        self.restart_sidecar(self.simulation.choose(self.fleet.sidecars), duration_s)
        return True

    def restart_sidecar(self, sidecar: Sidecar, duration_s: float) -> None:
        """Restarts this sidecar, unless it is down already."""
        if sidecar.up:
            sidecar.kill()
            self.control.schedule_fault_end(duration_s, None, lambda: None if sidecar.up else sidecar.start())
