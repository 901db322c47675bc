"""Network faults: partitions of several shapes, and lost, duplicated, reordered and slow messages."""

from foxspread.mesh.simulation.fault_control import FaultControl
from foxspread.mesh.simulation.machines import Machine

# Shares of all messages during the fault.
DROP_RATE = 0.2
DUPLICATE_RATE = 0.3
REORDER_RATE = 0.4
SLOW_RANGE_S = (0.05, 0.5)  # extra delay in one direction between two machines


class NetworkFaults:
    """Injects network faults.

    Each public method that takes a machine and a duration injects one fault, and returns False if that is not
    possible now.
    """

    def __init__(self, control: FaultControl) -> None:
        self.control, self.fleet, self.simulation = control, control.fleet, control.simulation

    # Partitions.

    def partition(self, machine: Machine, duration_s: float) -> bool:
        """Partitions the machine from all other processes, in both directions."""
        return self.isolate([machine], duration_s)

    def partition_inbound(self, machine: Machine, duration_s: float) -> bool:
        """Drops everything that is sent to the machine."""
        return self.isolate([machine], duration_s, outbound=False)

    def partition_outbound(self, machine: Machine, duration_s: float) -> bool:
        """Drops everything that the machine sends."""
        return self.isolate([machine], duration_s, inbound=False)

    def split(self, machine: Machine, duration_s: float) -> bool:
        """Partitions as many machines as may be lost from all other processes."""
        side = self.control.machines_starting_at(machine)[: self.fleet.plan.tolerated_losses]
        return self.isolate(side, duration_s)

    def partial_partition(self, machine: Machine, duration_s: float) -> bool:
        """Partitions the machine from some of the other processes."""
        others = [
            name for name in self.fleet.processes if name != machine.name and self.simulation.draw() < 0.5
        ]
        return self.isolate([machine], duration_s, others=others)

    def isolate(
        self,
        side: list[Machine],
        duration_s: float,
        inbound: bool = True,
        outbound: bool = True,
        others: list[str] | None = None,
    ) -> bool:
        """Partitions the machines of `side` from `others`, which are all other processes by default."""
        if not self.control.can_lose(*side):
            return False
        names = {each.name for each in side}
        if others is None:
            others = [name for name in self.fleet.processes if name not in names]
        pairs = {(other, name) for other in others for name in names if inbound}
        pairs |= {(name, other) for name in names for other in others if outbound}
        pairs -= self.fleet.network.partitioned
        self.fleet.network.partitioned |= pairs
        for each in side:
            each.partition_count += 1

        def heal() -> None:
            self.heal(pairs)
            for each in side:
                each.partition_count -= 1

        for each in side:
            self.control.schedule_fault_end(duration_s, each, lambda: None)
        self.control.schedule_fault_end(duration_s, side[0], heal)
        return True

    def heal(self, pairs: set[tuple[str, str]]) -> None:
        """Lets messages pass again from the first to the second process of each pair."""
        self.fleet.network.partitioned -= pairs

    # Messages.

    def drop_messages(self, machine: Machine, duration_s: float) -> bool:
        """Drops a share of the messages between all processes."""
        self.fleet.network.drop_rate = DROP_RATE
        self.control.schedule_fault_end(
            duration_s, None, lambda: setattr(self.fleet.network, "drop_rate", 0.0)
        )
        return True

    def duplicate_messages(self, machine: Machine, duration_s: float) -> bool:
        """Duplicates a share of the messages between all processes."""
        network = self.fleet.network
        network.duplicate_rate = DUPLICATE_RATE
        self.control.schedule_fault_end(duration_s, None, lambda: setattr(network, "duplicate_rate", 0.0))
        return True

    def reorder_messages(self, machine: Machine, duration_s: float) -> bool:
        """Delays a share of the messages, so that they are reordered, between all processes."""
        network = self.fleet.network
        network.reorder_rate = REORDER_RATE
        self.control.schedule_fault_end(duration_s, None, lambda: setattr(network, "reorder_rate", 0.0))
        return True

    def slow_connection(self, machine: Machine, duration_s: float) -> bool:
        """Delays all messages from the machine to one other machine."""
        other = self.simulation.choose([each for each in self.fleet.machines if each is not machine])
        pair, delays = (machine.name, other.name), self.fleet.network.extra_delay_s
        delays[pair] = self.simulation.uniform(*SLOW_RANGE_S)
        self.control.schedule_fault_end(duration_s, None, lambda: delays.pop(pair, None))
        return True
