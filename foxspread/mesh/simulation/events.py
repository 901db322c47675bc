"""Events of a schedule: calls of clients, and faults of machines, storage, network and clocks."""

from dataclasses import dataclass
from enum import StrEnum

from foxspread.mesh.configuration.items import Item


class EventKind(StrEnum):
    """Kind of an event. Values are the names that `mesh simulate` takes with `--faults` and prints."""

    CALL = "call"  # a client submits items
    READ = "read"  # a client reads all items
    DELAYED_COPY = "copy"  # a machine receives a delayed copy of a call

    CRASH = "kill"  # one process ends and restarts
    WIPE = "wipe"  # a crash that also erases the storage
    FREEZE = "freeze"  # a process and its connections are suspended
    PARTITION = "cut"  # one machine is isolated, in both directions
    PARTITION_INBOUND = "cut_in"  # one machine receives nothing
    PARTITION_OUTBOUND = "cut_out"  # nothing that one machine sends arrives
    SPLIT = "split"  # as many machines as may be lost are partitioned from the others
    POWER_LOSS = "power_off"  # all machines lose power
    POWER_LOSS_AND_WIPE = "power_off_wiped"  # and one machine restarts with empty storage
    POWER_LOSS_ON_ACKNOWLEDGEMENT = "power_at_ack"  # right after the next acknowledged call
    ACKNOWLEDGER_WIPED = "acker_wiped"  # likewise; the machine that acknowledged is wiped
    UP_TO_DATE_LOST = "behind"  # machines that have the newest call are wiped or return last
    SLOW_STORAGE = "disk_slow"  # syncs of one machine take longer
    STALLED_STORAGE = "disk_stalls"  # syncs of one machine do not finish
    FAILING_STORAGE = "disk_refuses"  # syncs of one machine fail
    MESSAGE_LOSS = "links_drop"  # a share of all messages is lost
    MESSAGE_DUPLICATION = "links_repeat"  # a share of all messages arrives twice
    MESSAGE_REORDERING = "links_late"  # a share of all messages is delayed
    SLOW_CONNECTION = "link_slow"  # in one direction between two machines
    CLOCK_JUMP = "clock"  # the clock of one machine moves ahead

    ACKNOWLEDGER_PARTITIONED = "next_cut"  # the machine that acknowledges the next call is isolated
    PARTIAL_PARTITION = "cut_some"  # one machine is partitioned from some of the others
    ISOLATED_PAIR = "island"  # a machine and a sidecar reach only each other
    SIDECAR_RESTART = "sidecar_restart"  # one sidecar restarts with no state
    LOSS_AFTER_REPAIR = "loss_after_repair"  # as soon as a wiped machine has caught up, others crash

    PERMANENT_LOSS = "gone"  # a machine is lost to the others for good; a spare is started
    GRACEFUL_LEAVE = "leave"  # a machine announces that it leaves


@dataclass(frozen=True)
class Event:
    """One event of a schedule."""

    at: float  # seconds since the start of the run
    kind: EventKind
    machine: int = 0  # index of the machine
    duration_s: float = 0.0  # length of a fault
    items: tuple[Item, ...] = ()  # the items of a call

    def __str__(self) -> str:
        items = " ".join(format_item(item) for item in self.items)
        return f"{self.at:7.3f} {self.kind} c{self.machine + 1} {self.duration_s:.3f} {items}".rstrip()


def format_item(item: Item) -> str:
    """Returns an item in short form, for traces and violations."""
    if item.content is None:
        content = "dropped"
    elif item.kind == "route":
        rule = item.content["rule"]
        content = f"{rule['sorting']['postcode']}>{rule['dispatch']['service']}:{rule['tag']}"
    else:
        content = f":{item.content['tag'] if 'tag' in item.content else item.content}"
    return f"{item.name}@r{item.version}({content})"
