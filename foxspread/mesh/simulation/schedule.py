"""Schedules: the parameters of a run, and the events that a seed draws for it.

The number and order of random draws must not change: otherwise every recorded seed plays another run.
"""

from collections.abc import Iterator
from dataclasses import dataclass, replace

from foxspread.mesh.simulation.client_calls import ClientCalls
from foxspread.mesh.simulation.events import Event, EventKind
from foxspread.mesh.simulation.fault_sequences import FaultSequence, FaultSequences
from foxspread.statistics import SeededRandom

FAULTS = (
    EventKind.CRASH,
    EventKind.WIPE,
    EventKind.FREEZE,
    EventKind.PARTITION,
    EventKind.PARTITION_INBOUND,
    EventKind.PARTITION_OUTBOUND,
    EventKind.SPLIT,
    EventKind.POWER_LOSS,
    EventKind.POWER_LOSS_AND_WIPE,
    EventKind.POWER_LOSS_ON_ACKNOWLEDGEMENT,
    EventKind.ACKNOWLEDGER_WIPED,
    EventKind.UP_TO_DATE_LOST,
    EventKind.SLOW_STORAGE,
    EventKind.STALLED_STORAGE,
    EventKind.FAILING_STORAGE,
    EventKind.MESSAGE_LOSS,
    EventKind.MESSAGE_DUPLICATION,
    EventKind.MESSAGE_REORDERING,
    EventKind.SLOW_CONNECTION,
    EventKind.CLOCK_JUMP,
)
LONG_FAULTS = (  # further faults of a long run
    EventKind.ACKNOWLEDGER_PARTITIONED,
    EventKind.PARTIAL_PARTITION,
    EventKind.ISOLATED_PAIR,
    EventKind.SIDECAR_RESTART,
    EventKind.LOSS_AFTER_REPAIR,
)
MEMBERSHIP_FAULTS = (  # faults of a run with membership changes; one listed twice is drawn twice as often
    EventKind.CRASH,
    EventKind.WIPE,
    EventKind.FREEZE,
    EventKind.PARTITION,
    EventKind.PARTITION_INBOUND,
    EventKind.PARTITION_OUTBOUND,
    EventKind.PARTIAL_PARTITION,
    EventKind.POWER_LOSS,
    EventKind.SLOW_STORAGE,
    EventKind.PERMANENT_LOSS,
    EventKind.PERMANENT_LOSS,
    EventKind.GRACEFUL_LEAVE,
    EventKind.GRACEFUL_LEAVE,
    EventKind.LOSS_AFTER_REPAIR,
    EventKind.POWER_LOSS_ON_ACKNOWLEDGEMENT,
    EventKind.MESSAGE_LOSS,
    EventKind.MESSAGE_REORDERING,
)
LONG_SEQUENCES = (
    FaultSequence.LONG_PARTITION,
    FaultSequence.LONG_ABSENCE,
    FaultSequence.LOSSES_AFTER_REPAIR,
    FaultSequence.POWER_LOSS,
    FaultSequence.SLOW_STORAGE,
    FaultSequence.SUSPENSION,
)
MEMBERSHIP_SEQUENCES = (
    FaultSequence.PERMANENT_LOSSES,
    FaultSequence.GRACEFUL_EXITS,
    FaultSequence.LONG_PARTITION,
    FaultSequence.POWER_LOSS,
    FaultSequence.SUSPENSION,
)
# Each of these faults is followed by reads at random machines, while the wiped machine catches up.
WIPES = (
    EventKind.WIPE,
    EventKind.POWER_LOSS_AND_WIPE,
    EventKind.ACKNOWLEDGER_WIPED,
    EventKind.UP_TO_DATE_LOST,
)
MAX_FAULT_DURATION_S = 3.0
DURING_CALL_SHARE = 0.6  # share of faults that begin during a call
CALL_DURATION_S = 0.06  # twice the usual duration of a call without faults


@dataclass(frozen=True)
class Plan:
    """Parameters of a run; its seed draws the rest."""

    machines: int = 3
    sidecars: int = 2
    duration_s: float = 9.0  # time in which calls and faults begin; recovery follows
    call_rounds: int = 9  # rounds of calls of two clients
    max_faults: int = 5
    faults: tuple[EventKind, ...] = FAULTS
    sequences: tuple[FaultSequence, ...] = ()  # a run plays two or three of these
    concurrent_calls: int = 0  # calls of a burst; 0: no bursts
    delayed_copy_rate: float = 0.0  # share of calls of which a machine receives a late copy
    lost_answer_rate: float = 0.0  # share of answers to clients that are lost
    initial_members: int = 0  # 0: all machines are members, and membership never changes
    spares: int = 0  # machines that start when others are lost permanently
    max_lost: int = 0  # machines lost at once; 0: as many as leave a majority
    first_fault_s: float = 0.5  # no fault begins earlier
    probes: bool = False  # True if recovered machines get reads until they answer

    @property
    def tolerated_losses(self) -> int:
        """Number of machines that may be lost at once."""
        return self.max_lost or (self.machines - 1) // 2

    @property
    def members_change(self) -> bool:
        """True if machines join and leave the members."""
        return 0 < self.initial_members


def long_plan(machines: int = 3) -> Plan:
    """Returns the plan of a run of a minute, with partitions of twenty seconds and two hundred changes."""
    return Plan(
        machines=machines,
        sidecars=3,
        duration_s=60.0,
        call_rounds=60,
        max_faults=6,
        faults=FAULTS + LONG_FAULTS,
        sequences=LONG_SEQUENCES,
        concurrent_calls=8,
        delayed_copy_rate=0.3,
        lost_answer_rate=0.05,
        probes=True,
    )


def membership_plan(machines: int = 5, max_lost: int = 2) -> Plan:
    """Returns the plan of a minute in which machines with storage join, leave, are lost and return.

    Three machines are the initial members, and the others join or are standbys. Three spares are started when
    machines are lost.
    """
    return Plan(
        machines=machines,
        sidecars=2,
        duration_s=60.0,
        call_rounds=40,
        max_faults=8,
        faults=MEMBERSHIP_FAULTS,
        sequences=MEMBERSHIP_SEQUENCES,
        concurrent_calls=8,
        delayed_copy_rate=0.3,
        lost_answer_rate=0.05,
        initial_members=3,
        spares=3,
        max_lost=max_lost,
        first_fault_s=12.0,
        probes=True,
    )


def named_plans(machines: int, max_lost: int = 0) -> dict[str, Plan]:
    """Returns the plans by the values of `mesh simulate --day`.

    A `max_lost` of 0 means as many machines as leave a majority.
    """
    return {
        "short": Plan(machines, max_lost=max_lost),
        "long": replace(long_plan(machines), max_lost=max_lost),
        "members": membership_plan(machines, max_lost or (machines - 1) // 2),
    }


def draw_schedule(plan: Plan, seed: int) -> list[Event]:
    """Returns the events of a seed, ordered by time."""
    random = SeededRandom(seed * 2 + 1)  # the run itself draws from the generator of `seed`
    calls = ClientCalls(random, plan).draw_all()
    events = list(calls)
    call_times = [each.at for each in calls]
    for _ in range(int(random.draw() * (plan.max_faults + 1)) if plan.faults else 0):
        events += _draw_fault(random, plan, call_times)
    if plan.sequences and plan.faults:
        events += FaultSequences(random, plan).draw_all()
    if plan.delayed_copy_rate:
        events += list(_draw_delayed_copies(random, plan, calls))
    return sorted(events, key=lambda each: each.at)


def _draw_fault(random: SeededRandom, plan: Plan, call_times: list[float]) -> list[Event]:
    at = plan.first_fault_s + random.draw() * (plan.duration_s - plan.first_fault_s - 0.5)
    if random.draw() < DURING_CALL_SHARE and not plan.members_change:
        at = call_times[int(random.draw() * len(call_times))] + random.draw() * CALL_DURATION_S
    kind = plan.faults[int(random.draw() * len(plan.faults))]
    duration_s = random.draw() ** 2 * MAX_FAULT_DURATION_S + 0.02
    events = [Event(at, kind, int(random.draw() * plan.machines), duration_s)]
    if kind in WIPES:
        for _ in range(2):
            after = min(at + duration_s / 10 + random.draw() * 2, plan.duration_s - 0.1)
            events.append(Event(after, EventKind.READ, int(random.draw() * plan.machines)))
    return events


def _draw_delayed_copies(random: SeededRandom, plan: Plan, calls: list[Event]) -> Iterator[Event]:
    """Yields delayed copies of calls, most of them briefly delayed and some for the rest of the run."""
    for each in calls:
        if each.kind == EventKind.CALL and random.draw() < plan.delayed_copy_rate:
            at = each.at + random.draw() ** 3 * (plan.duration_s - each.at)
            yield Event(at, EventKind.DELAYED_COPY, int(random.draw() * plan.machines), 0.0, each.items)
