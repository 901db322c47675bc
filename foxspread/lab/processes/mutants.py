"""Mutants of the coordinator, which show that the rules of `judge` catch what they are for.

Each breaks one thing that the node, the disk or the version store must do, and is to be caught by a rule that
its entry in `MUTANTS` names; the sound coordinator breaks none.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from foxspread.consensus.messages import AppendEntries, InstallSnapshot, Message, RequestVote
from foxspread.consensus.raft import RaftNode
from foxspread.consensus.records import Snapshot, StorageIdentity, StorageWrite
from foxspread.consensus.versions import (
    PutVersion,
    RequestIdReused,
    VersionConflict,
    VersionStore,
    VersionWritten,
)
from foxspread.lab.processes import explorer, virtual
from foxspread.lab.processes.simulated_node import SimulatedDisk
from foxspread.lab.processes.simulation_plan import LOSSY, Broken, Plan


class VotesTwice(RaftNode):
    """Forgets at a restart whom it voted for."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.voted_for = ""


class CountsOldTerms(RaftNode):
    """Commits entries of older terms by counting (Raft's figure 8)."""

    def _may_commit_by_counting(self, index: int) -> bool:
        return True


class SkipsReadConfirmation(RaftNode):
    """Answers reads without confirming that it still leads."""

    def _is_confirmed(self, read: Any, majority_round: int) -> bool:
        return True


class AcceptsOldReplies(RaftNode):
    """Confirms a read by replies to heartbeats that were sent before it."""

    def _assign_read_indexes(self) -> None:
        super()._assign_read_indexes()
        for read in self.pending_reads:
            if read.read_index is not None:
                read.required_round = read.required_round or self.heartbeat_round


class SendsEarly(RaftNode):
    """Says what it promises before it is on disk."""

    def _send_when_durable(self, recipient: str, message: Message) -> None:
        self._send(recipient, message)


class ForgetsRemoval(RaftNode):
    """Takes the members of its file at a restart, not those that were agreed on."""

    def __init__(self, now: float, me: str, fleet: str, saved: Any, members: Any, *rest: Any) -> None:
        super().__init__(now, me, fleet, saved, members, *rest)
        if members:
            self.members, self.members_index = members, 0


class AcceptsAnyDisk(RaftNode):
    """Doesn't verify whether a disk is what it was."""

    def _verify_storage(self, sender: str, reported: StorageIdentity) -> bool:
        return True


class ElectsOlder(RaftNode):
    """Votes for one whose log is behind its own."""

    def _is_up_to_date(self, message: RequestVote) -> bool:
        return True


class CommitsBelowQuorum(RaftNode):
    """Takes an entry as committed that one fewer than a majority has."""

    def _commit_quorum(self) -> int:
        return super()._commit_quorum() - 1


class NeverStepsDown(RaftNode):
    """Goes on to lead when nobody answers."""

    def _has_quorum_contact(self) -> bool:
        return True


class CutsLog(RaftNode):
    """Cuts its log behind what each message holds, though a later one came before it."""

    def _handle_append_entries(self, sender: str, message: AppendEntries) -> None:
        super()._handle_append_entries(sender, message)
        index = message.prev_log_index + len(message.entries)
        if message.term == self.current_term and self.commit_index <= index < self.log.last_index:
            self.log.replace_from(index + 1, [])
            self._persist(index + 1, [])


class RestoresOlderSnapshot(RaftNode):
    """Takes a snapshot that comes late, though it is further already."""

    def _handle_install_snapshot(self, sender: str, message: InstallSnapshot) -> None:
        index, late = message.last_included_index, message.term == self.current_term
        if late and index < self.commit_index and message.done and message.offset == 0:
            self._install(
                Snapshot(
                    index,
                    message.last_included_term,
                    message.members,
                    message.members_index,
                    message.data,
                )
            )
        super()._handle_install_snapshot(sender, message)


class LyingDisk(SimulatedDisk):
    """Says that it has records before it has them: as an fsync that does nothing."""

    def put(self, node: Any, write: StorageWrite) -> None:
        """Confirms the write at once."""
        super().put(node, write)
        node.world.clock.after(0.0, node.step, lambda host, now: host.on_writes_durable(now, write.number))


class TornDisk(SimulatedDisk):
    """Loses the last record of a group, and says that it has all."""

    def apply(self, write: StorageWrite) -> None:
        """Leaves the last write of a group out."""
        if len(self.pending) < 2 or write is not self.pending[-1]:
            super().apply(write)


class ForgetsRequests(VersionStore):
    """Writes a request that comes again as one that is new."""

    def put(self, put: PutVersion) -> VersionWritten | VersionConflict | RequestIdReused:
        """Writes, whatever was written before under this request id."""
        self.number_by_request_id.clear()
        return super().put(put)


class RestoresPart(VersionStore):
    """Loses the first version of a snapshot."""

    def restore(self, data: bytes) -> None:
        """Restores all versions but the first."""
        super().restore(data)
        if len(self.by_number) > 1:
            self.by_number.pop(next(iter(self.by_number)))


class ComparesNothing(VersionStore):
    """Writes whatever version stands there."""

    def put(self, put: PutVersion) -> VersionWritten | VersionConflict | RequestIdReused:
        """Writes without the condition."""
        return super().put(
            PutVersion(put.request_id, put.content, -1, put.author, put.comment, put.written_at)
        )


@dataclass(frozen=True)
class Mutant:
    """A broken part, and how it is caught.

    The first rule that a run violates must be one of `rules`. `plan` is for a mutant that the usual faults
    catch too seldom. With `case`, all states of that case are explored in place of seeds.
    """

    broken: Broken
    rules: tuple[str, ...]
    plan: dict[str, Any] = field(default_factory=dict)
    case: str = ""


MUTANTS: dict[str, Mutant] = {
    "votes_twice": Mutant(Broken(VotesTwice), ("one_vote",), case="two_votes"),
    "counts_old_terms": Mutant(Broken(CountsOldTerms), ("leader_complete",), case="figure_8"),
    "reads_unasked": Mutant(
        Broken(SkipsReadConfirmation), ("linearizable",), {"faults": ("away",), "writers": 5}
    ),
    "reads_by_old_round": Mutant(
        Broken(AcceptsOldReplies), ("linearizable",), {"faults": ("away",), "writers": 5}
    ),
    "sends_early": Mutant(Broken(SendsEarly), ("saved_first",)),
    "forgets_removal": Mutant(
        Broken(ForgetsRemoval), ("members",), {"faults": ("replace", "kill", "silent")}
    ),
    "takes_any_disk": Mutant(Broken(AcceptsAnyDisk), ("lost_disk",), {"lossy": LOSSY}),
    "elects_older": Mutant(
        Broken(ElectsOlder), ("leader_complete",), {"faults": ("silent", "kill", "split")}
    ),
    "commits_by_few": Mutant(
        Broken(CommitsBelowQuorum), ("leader_complete", "same_entry"), {"faults": ("silent", "stall")}
    ),
    "never_steps_down": Mutant(Broken(NeverStepsDown), ("steps_down",), {"faults": ("silent", "silent_in")}),
    "cuts_log": Mutant(Broken(CutsLog), ("counted",), {"faults": ("held", "repeat", "loss")}),
    "goes_back": Mutant(
        Broken(RestoresOlderSnapshot),
        ("in_order",),
        {
            "faults": ("held", "repeat", "silent"),
            "long_content_share": 0.0,
            "compact_bytes": (1_000,),
            "think_time": 0.05,
        },
    ),
    "lying_disk": Mutant(Broken(disk=LyingDisk), ("saved_first",)),
    "torn_disk": Mutant(Broken(disk=TornDisk), ("saved_first", "log_matching")),
    "forgets_requests": Mutant(
        Broken(versions=ForgetsRequests), ("once",), {"faults": ("repeat", "loss", "held")}
    ),
    "compares_nothing": Mutant(Broken(versions=ComparesNothing), ("linearizable",)),
    "restores_part": Mutant(Broken(versions=RestoresPart), ("same_state",), {"faults": ("kill", "loss")}),
}


def plan(mutant: Mutant, base: Plan = Plan()) -> Plan:
    """The plan of a mutant's runs."""
    return replace(base, **({"lossy": ()} | mutant.plan))


def caught(name: str, seeds: range, base: Plan = Plan()) -> Iterator[tuple[int, str, str]]:
    """Seeds that catch it, with the first rule violated and what was seen; for a case, its shortest path."""
    mutant = MUTANTS[name]
    if mutant.case:
        result = explorer.Explorer(explorer.CASES[mutant.case], mutant.broken.member).explore()
        if result.violation:
            yield 0, result.violation.partition(":")[0], result.violation
        return
    for seed in seeds:
        judge = virtual.run_seed(plan(mutant, base), seed, mutant.broken)
        if judge.violations:
            yield seed, judge.violations[0].rule, judge.violations[0].text
