"""Injection of the faults of a schedule, by kind, with counts of the injected faults.

A fault is skipped if it would make more machines unavailable than the plan tolerates, since a violation under
such a fault would not show a defect.
"""

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeAlias

from foxspread.mesh.simulation.events import Event, EventKind
from foxspread.mesh.simulation.fault_control import FaultControl
from foxspread.mesh.simulation.machine_faults import MachineFaults
from foxspread.mesh.simulation.machines import Machine
from foxspread.mesh.simulation.network_faults import NetworkFaults

if TYPE_CHECKING:
    from foxspread.mesh.simulation.fleet import Fleet

SLOW_SYNC_S = 0.15

Injector: TypeAlias = Callable[[Machine, float], bool]  # machine and seconds; returns False if not injected


class Faults:
    """Injects the faults of one run."""

    def __init__(self, fleet: "Fleet") -> None:
        self.fleet = fleet
        self.control = FaultControl(fleet)
        self.network = NetworkFaults(self.control)
        self.machines = MachineFaults(self.control, self.network)
        self.fault_counts: dict[str, int] = {}
        self._injectors: dict[str, Injector] = {**self._single_faults(), **self._compound_faults()}

    def _single_faults(self) -> dict[str, Injector]:
        machines, network = self.machines, self.network
        return {
            EventKind.CRASH: machines.crash,
            EventKind.WIPE: machines.wipe,
            EventKind.FREEZE: machines.freeze,
            EventKind.CLOCK_JUMP: machines.clock_jump,
            EventKind.POWER_LOSS: machines.power_loss,
            EventKind.POWER_LOSS_AND_WIPE: machines.power_loss_and_wipe,
            EventKind.PERMANENT_LOSS: machines.lose_permanently,
            EventKind.GRACEFUL_LEAVE: machines.leave,
            EventKind.SIDECAR_RESTART: machines.restart_any_sidecar,
            EventKind.PARTITION: network.partition,
            EventKind.PARTITION_INBOUND: network.partition_inbound,
            EventKind.PARTITION_OUTBOUND: network.partition_outbound,
            EventKind.PARTIAL_PARTITION: network.partial_partition,
            EventKind.SPLIT: network.split,
            EventKind.MESSAGE_LOSS: network.drop_messages,
            EventKind.MESSAGE_DUPLICATION: network.duplicate_messages,
            EventKind.MESSAGE_REORDERING: network.reorder_messages,
            EventKind.SLOW_CONNECTION: network.slow_connection,
            EventKind.SLOW_STORAGE: self._slow_storage,
            EventKind.STALLED_STORAGE: self._stall_storage,
            EventKind.FAILING_STORAGE: self._fail_storage,
        }

    def _compound_faults(self) -> dict[str, Injector]:
        machines = self.machines
        return {
            EventKind.POWER_LOSS_ON_ACKNOWLEDGEMENT: machines.power_loss_on_acknowledgement,
            EventKind.ACKNOWLEDGER_WIPED: machines.wipe_acknowledger,
            EventKind.UP_TO_DATE_LOST: machines.lose_up_to_date,
            EventKind.LOSS_AFTER_REPAIR: machines.loss_after_repair,
            EventKind.ACKNOWLEDGER_PARTITIONED: self._partition_acknowledger,
            EventKind.ISOLATED_PAIR: self._isolate_pair,
        }

    @property
    def on_acknowledgement(self) -> list[Callable[[Machine], object]]:
        """Faults of the machine that acknowledges a call; each acknowledged call takes the last one."""
        return self.control.on_acknowledgement

    def inject(self, event: Event) -> None:
        """Injects the fault of an event, unless too many machines would be lost."""
        machine = self.fleet.machines[event.machine % len(self.fleet.machines)]
        if not self._injectors[event.kind](machine, event.duration_s):
            return
        self.fault_counts[event.kind] = self.fault_counts.get(event.kind, 0) + 1
        self.fleet.log(f"** {event.kind} {machine.name} for {event.duration_s:.3f}")

    def end(self) -> None:
        """Ends all active faults; no more are injected afterwards."""
        self.fleet.log("** all is whole again")
        self.control.end_all()

    def finish_leave(self, machine: Machine) -> None:
        """Stops a leaving machine, which may end now."""
        self.machines.finish_leave(machine)

    # Storage.

    def _degrade_storage(self, machine: Machine, duration_s: float, **state: bool | float) -> bool:
        if not self.control.can_lose(machine):
            return False
        before = {name: getattr(machine.storage, name) for name in state}
        if before == state:
            return False
        vars(machine.storage).update(state)
        self.control.schedule_fault_end(duration_s, machine, lambda: vars(machine.storage).update(before))
        return True

    def _slow_storage(self, machine: Machine, duration_s: float) -> bool:
        return self._degrade_storage(machine, duration_s, sync_s=SLOW_SYNC_S)

    def _stall_storage(self, machine: Machine, duration_s: float) -> bool:
        return self._degrade_storage(machine, duration_s, stalled=True)

    def _fail_storage(self, machine: Machine, duration_s: float) -> bool:
        return self._degrade_storage(machine, duration_s, failing=True)

    # Compound faults of machines and network.

    def _partition_acknowledger(self, machine: Machine, duration_s: float) -> bool:
        """Isolates the machine that acknowledges the next call, in one of several ways."""
        network = self.network
        injector = self.fleet.simulation.choose(
            [
                network.partition,
                network.partition_inbound,
                network.partition_outbound,
                network.partial_partition,
                self._isolate_pair,
            ]
        )
        self.on_acknowledgement.append(lambda acknowledger: injector(acknowledger, duration_s))
        return True

    def _isolate_pair(self, machine: Machine, duration_s: float) -> bool:
        """Isolates a machine together with a sidecar, which restarts during the fault."""
        simulation, network = self.fleet.simulation, self.fleet.network
        sidecar = simulation.choose(self.fleet.sidecars)
        others = [name for name in self.fleet.processes if name not in (machine.name, sidecar.name)]
        if not self.network.isolate([machine], duration_s, others=others):
            return False
        pairs = {(name, sidecar.name) for name in others} | {(sidecar.name, name) for name in others}
        pairs -= network.partitioned
        network.partitioned |= pairs
        self.control.schedule_fault_end(duration_s, None, lambda: self.network.heal(pairs))
        for _ in range(2):
            restart_in_s = simulation.draw() * duration_s
            simulation.after(restart_in_s, lambda: self.machines.restart_sidecar(sidecar, 0.1))
        return True
