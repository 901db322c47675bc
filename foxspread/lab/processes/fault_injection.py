"""Faults of simulated coordinators, by name.

Each begins at a moment of virtual time and most end by themselves. Which fault strikes whom is drawn from the
run's own source of chance, unless a script names the member.
"""

from typing import TYPE_CHECKING

from foxspread.consensus.raft import Role
from foxspread.consensus.records import StoredState
from foxspread.lab.processes.simulated_network import MESSAGE_FAULTS
from foxspread.lab.processes.simulated_node import SimulatedNode
from foxspread.lab.processes.simulated_writer import MemberReplacement

if TYPE_CHECKING:
    from foxspread.lab.processes.virtual import World

MAX_FAULT_S = 3.5
LOSSY_RUN_SHARE = 0.2  # of runs in which a disk loses what it had, and nothing else fails
CLOCK_RATES = (0.98, 1.02)
MIN_FLAP_S, MAX_FLAP_S = 0.02, 0.25
NETWORK_DELAY_AFTER_RESUME_S = 0.2


class FaultInjector:
    """Strikes the coordinators of a run."""

    def __init__(self, world: "World") -> None:
        self.world, self.chance, self.clock, self.network = world, world.chance, world.clock, world.network

    def schedule(self) -> None:
        """Draws the faults of the whole run."""
        plan = self.world.plan
        count = self.chance.randint(1, plan.max_faults)
        if plan.lossy and self.chance.random() < LOSSY_RUN_SHARE:
            at = self.chance.uniform(1.5, 2.5)
            kind = self.chance.choice(plan.lossy)
            self.clock.after(at, self.inject_lossy, kind, self.chance.choice(self.world.ids))
            return
        for _ in range(count):
            kind = self.chance.choice(plan.faults)
            at = self.chance.uniform(0.3, plan.seconds)
            lasts = min(self.chance.expovariate(1.0) + 0.05, MAX_FAULT_S)
            self.clock.after(at, self.world.inject_fault, kind, lasts)

    def leaders(self) -> list[str]:
        """The coordinators that lead, by their own opinion."""
        nodes = self.world.nodes.items()
        return [id for id, node in nodes if node.host and node.host.raft.role is Role.LEADER]

    def resolve(self, target: str) -> str:
        """The member that a script means by an id, `leader` or `follower`."""
        leaders = self.leaders()
        if target == "leader":
            return leaders[0]
        if target == "follower":
            return next(each for each in self.world.ids if each not in leaders)
        return target

    def _draw_target(self) -> str:
        leaders = self.leaders()
        if leaders and self.chance.random() < 0.5:
            return self.chance.choice(leaders)
        return self.chance.choice(self.world.ids)

    def inject(self, kind: str, lasts: float, target: str = "") -> None:
        """A fault strikes the member `target`, or one that is drawn."""
        name = target or self._draw_target()
        self.world.log_fault(f"{kind} {name} {lasts:.3f}")
        if kind in MESSAGE_FAULTS:
            self.network.set_fault_rate(kind, self.chance.uniform(0.05, 0.4))
            self.clock.after(lasts, self.network.set_fault_rate, kind, 0.0)
        else:
            getattr(self, f"_{kind}")(self.world.nodes[name], lasts)

    def _silent(self, node: SimulatedNode, lasts: float) -> None:
        self.network.block(self.network.links_of(node.id), lasts)

    def _silent_in(self, node: SimulatedNode, lasts: float) -> None:
        self.network.block(self.network.links_of(node.id, outbound=False), lasts)

    def _silent_out(self, node: SimulatedNode, lasts: float) -> None:
        self.network.block(self.network.links_of(node.id, inbound=False), lasts)

    def _split(self, _: SimulatedNode, lasts: float) -> None:
        """Partitions the network into up to three groups."""
        ids = self.world.ids
        group = {each: self.chance.randint(0, 2) for each in ids}
        self.network.block([(a, b) for a in ids for b in ids if group[a] != group[b]], lasts)

    def _flap(self, node: SimulatedNode, lasts: float) -> None:
        at = 0.0
        while at < lasts:
            blocked_s = self.chance.uniform(MIN_FLAP_S, MAX_FLAP_S)
            open_s = self.chance.uniform(MIN_FLAP_S, MAX_FLAP_S)
            self.clock.after(at, self.network.block, self.network.links_of(node.id), blocked_s)
            at += blocked_s + open_s

    def _stall(self, node: SimulatedNode, lasts: float) -> None:
        if node.stalled is None and not node.down:
            node.stalled = []
            self.clock.after(lasts, self._resume, node, node.incarnation)

    def _resume(self, node: SimulatedNode, incarnation: int) -> None:
        if node.incarnation == incarnation and not node.down:
            node.resume()

    def _away(self, node: SimulatedNode, lasts: float) -> None:
        """A machine that is suspended, and resumes before its network does."""
        self.network.block(self.network.links_of(node.id), lasts + NETWORK_DELAY_AFTER_RESUME_S)
        self.inject("stall", lasts, node.id)

    def _kill(self, node: SimulatedNode, lasts: float) -> None:
        node.kill()
        self.clock.after(lasts, node.start)

    def _kill_at_write(self, node: SimulatedNode, lasts: float) -> None:
        node.kill_at_write = True
        self.clock.after(lasts, setattr, node, "kill_at_write", False)

    def _disk_slow(self, node: SimulatedNode, lasts: float) -> None:
        node.disk.slowdown = self.chance.uniform(5, 100)
        self.clock.after(lasts, setattr, node.disk, "slowdown", 1.0)

    def _disk_fails(self, node: SimulatedNode, lasts: float) -> None:
        node.disk.fails = True
        self.clock.after(lasts, self._recover_disk, node)

    def _recover_disk(self, node: SimulatedNode) -> None:
        """A disk that works again is taken up by a restart."""
        node.disk.fails = False
        node.kill()
        node.start()

    def _clock(self, node: SimulatedNode, _: float) -> None:
        local = node.local()
        node.rate = self.chance.choice(CLOCK_RATES)
        node.offset = local - node.rate * self.world.now

    def _hand_over(self, node: SimulatedNode, _: float) -> None:
        node.step(lambda host, now: host.transfer_leadership(now, 0, self.chance.choice(self.world.ids)))

    def _replace(self, node: SimulatedNode, _: float) -> None:
        """Once at a time: an operator who wipes what another has just added is refused, as is right."""
        if not node.replacing:
            MemberReplacement(self.world, node)

    def inject_lossy(self, kind: str, name: str) -> None:
        """A disk loses what it had promised: it is wiped, or an earlier state of it is restored."""
        node = self.world.nodes[name]
        self.world.log_fault(f"{kind} {name}")
        fields = StoredState.__struct_fields__
        earlier = StoredState(**{field: getattr(node.disk.saved, field) for field in fields})
        after = 0.0 if kind == "wipe" else self.chance.uniform(0.4, 2.0)
        self.clock.after(after, self._lose_writes, kind, node, earlier)

    def _lose_writes(self, kind: str, node: SimulatedNode, earlier: StoredState) -> None:
        node.kill()
        node.disk_lost_writes = kind == "wipe" or earlier.writes < node.disk.saved.writes
        if kind == "wipe":
            node.wipe()
        else:
            node.disk.saved = earlier
        self.clock.after(0.1, node.start)
        self.clock.after(1.9, self.world.judge.check_lost_disk, node)
        self.clock.after(2.0, MemberReplacement, self.world, node)

    def end_all(self) -> None:
        """From here on nothing fails: what is down starts, what is stalled resumes."""
        self.network.end_all_faults()
        for node in self.world.nodes.values():
            node.kill_at_write, node.disk.slowdown, node.disk.fails = False, 1.0, False
            if node.down:
                node.start()
            elif node.stalled is not None:
                node.resume()
            elif node.host.raft.role is Role.BARRED and not node.disk_lost_writes:
                node.kill()
                node.start()
