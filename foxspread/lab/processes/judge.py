"""The rules that must hold of several coordinators, checked on messages, disks and clients' operations.

It trusts nothing that a coordinator says of itself: a rule that is violated is named with what was seen, and
the first few of a run are kept.
"""

from dataclasses import dataclass, field
from typing import Any

from foxspread.consensus.messages import (
    AppendEntries,
    AppendEntriesReply,
    Envelope,
    InstallSnapshot,
    RequestVote,
    RequestVoteReply,
)
from foxspread.consensus.raft import RaftNode, RaftSettings, Role
from foxspread.consensus.records import LogEntry
from foxspread.consensus.versions import PutVersion, RequestIdReused, Version, VersionConflict, VersionWritten
from foxspread.lab.processes import linear
from foxspread.lab.processes.linear import Op

RULES = {
    "one_leader": "at most one member leads a term (election safety)",
    "one_vote": "a member votes for one candidate in a term, restarts included",
    "saved_first": "what a message promises was on the sender's disk when it left",
    "counted": "what a leader counts as saved by a member is on that member's disk",
    "log_matching": "two logs with an entry of one index and term are the same up to it",
    "leader_complete": "a new leader has all that was committed before",
    "same_entry": "no two members apply different entries at one index (state machine safety)",
    "in_order": "a member applies each entry once in a run, in order, and never goes back",
    "members": "a member acts on the members that its log names",
    "same_state": "members that have applied the same hold the same versions",
    "elected": "a leader has the votes of a majority of the members that its log names",
    "steps_down": "one that a majority did not answer for two election times leads no more",
    "lost_disk": "a disk that lost what it had shown is found, and votes no more",
    "linearizable": "puts and gets are as of one register",
    "once": "a request gives one version at most; a number has one content",
    "kept": "what was told as done is in the history at the end",
    "well": "once nothing fails any more, a leader is there, and members agree",
    "contradiction": "no member sees what agreement rules out",
}


MAX_VIOLATIONS = 5  # of a run, that are kept
APPLIED_LAG_ENTRIES = 5  # by which a member may be behind at the end


@dataclass
class Violation:
    """A rule that does not hold, and what was seen."""

    rule: str
    text: str


@dataclass
class Judge:
    """Checks the rules of one run as it goes, and once more at its end.

    By term: `leaders`. By member and term: `votes`, as they left, and `received_votes`, as they arrived. By
    index: `entries` as first applied, which is by the leader of the term in `terms`. By member:
    `last_applied`, `last_led` (incarnation and term in which it was last checked as a leader),
    `unheard_since` (of leaders that too few answer). By number of a version: `digests`, and `acknowledged` of
    puts that were answered as done.
    """

    settings: RaftSettings
    violations: list[Violation] = field(default_factory=list)
    leaders: dict[int, str] = field(default_factory=dict)
    votes: dict[tuple[str, int], str] = field(default_factory=dict)
    received_votes: dict[tuple[str, int], set[str]] = field(default_factory=dict)
    entries: dict[int, LogEntry] = field(default_factory=dict)
    terms: dict[int, int] = field(default_factory=dict)
    last_applied: dict[str, int] = field(default_factory=dict)
    last_led: dict[str, tuple[int, int]] = field(default_factory=dict)
    unheard_since: dict[str, float] = field(default_factory=dict)
    operations: list[Op] = field(default_factory=list)
    digests: dict[int, str] = field(default_factory=dict)
    requests: dict[str, int] = field(default_factory=dict)
    acknowledged: dict[int, str] = field(default_factory=dict)

    def record_violation(self, rule: str, text: str) -> None:
        """Keeps a violation, unless there are many already."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, text))

    # Messages

    def on_sent(self, node: Any, envelope: Envelope) -> None:
        """As a message leaves, with the sender's disk as it is by then."""
        self.on_link(envelope)
        message, id, disk = envelope.message, envelope.sender, node.disk.saved
        if isinstance(message, RequestVoteReply) and message.vote_granted and not message.pre_vote:
            if disk.term < message.term or disk.term == message.term and disk.voted_for != envelope.recipient:
                self.record_violation(
                    "saved_first",
                    f"{id} votes in term {message.term}, its disk has {disk.term} {disk.voted_for!r}",
                )
        elif isinstance(message, RequestVote) and not message.pre_vote and disk.term < message.term:
            self.record_violation(
                "saved_first", f"{id} asks for votes in term {message.term}, its disk has {disk.term}"
            )
        elif isinstance(message, AppendEntriesReply) and message.success:
            if (last := disk.snapshot.index + len(disk.entries)) < message.index:
                self.record_violation(
                    "saved_first", f"{id} has saved {message.index}, its disk reaches {last}"
                )

    def on_link(self, envelope: Envelope) -> None:
        """As a message is seen on a link."""
        message, id = envelope.message, envelope.sender
        if isinstance(message, (AppendEntries, InstallSnapshot)):
            if (other := self.leaders.setdefault(message.term, id)) != id:
                self.record_violation("one_leader", f"{id} and {other} lead term {message.term}")
        elif isinstance(message, RequestVoteReply) and message.vote_granted and not message.pre_vote:
            if (other := self.votes.setdefault((id, message.term), envelope.recipient)) != envelope.recipient:
                self.record_violation(
                    "one_vote", f"{id} votes for {other} and {envelope.recipient} in term {message.term}"
                )

    def on_received(self, envelope: Envelope) -> None:
        """As a message reaches its recipient."""
        message = envelope.message
        if isinstance(message, RequestVoteReply) and message.vote_granted and not message.pre_vote:
            self.received_votes.setdefault((envelope.recipient, message.term), set()).add(envelope.sender)

    # Members

    def on_down(self, id: str) -> None:
        """A process ended: what it had in memory is gone."""
        self.last_led.pop(id, None)
        self.unheard_since.pop(id, None)
        self.last_applied.pop(id, None)

    def check_node(self, node: Any) -> None:
        """After each step of a member."""
        member = node.host.raft
        self._check_members(node, member)
        if member.role is not Role.LEADER:
            self.unheard_since.pop(node.id, None)
            return
        self._check_match_indexes(node, member)
        if self.last_led.get(node.id) != (node.incarnation, member.current_term):
            self.last_led[node.id] = (node.incarnation, member.current_term)
            self._check_leader_completeness(node, member)
            self._check_election(node, member)
        self._check_quorum_contact(node, member)

    def _check_members(self, node: Any, member: RaftNode) -> None:
        index = member.snapshot.index
        if not self.last_applied.setdefault(node.id, index) == index == member.last_applied:
            return
        named = _members_named(member.log.entries, member.snapshot)
        if member.members != named:
            text = f"{node.id} acts on {sorted(member.members)}, its log names {sorted(named)}"
            self.record_violation("members", text)

    def _check_match_indexes(self, node: Any, member: RaftNode) -> None:
        for other, progress in member.progress.items():
            peer = node.world.nodes[other]
            disk = peer.disk.saved
            if peer.disk_lost_writes or disk.term != member.current_term:
                continue
            if progress.match_index > disk.snapshot.index + len(disk.entries):
                text = f"{node.id} counts on {other} for {progress.match_index}, its disk ends before"
                self.record_violation("counted", text)

    def _check_leader_completeness(self, node: Any, member: RaftNode) -> None:
        log, term = member.log, member.current_term
        for index in range(log.base + 1, max(self.entries, default=0) + 1):
            applied = self.entries.get(index)
            if applied is None or self.terms[index] >= term:
                continue
            if index > log.last_index or log.entry(index).term != applied.term:
                text = f"{node.id} leads term {term} without entry {index}"
                return self.record_violation("leader_complete", text)

    def _check_election(self, node: Any, member: RaftNode) -> None:
        members = _members_named(member.log.entries[:-1], member.snapshot)
        voters = {name for name, address in members.items() if address.voter}
        votes = self.received_votes.get((node.id, member.current_term), set()) | {node.id}
        if len(votes & voters) * 2 <= len(voters):
            text = f"{node.id} leads term {member.current_term} by {sorted(votes)} of {sorted(voters)}"
            self.record_violation("elected", text)

    def _check_quorum_contact(self, node: Any, member: RaftNode) -> None:
        """A change of members may leave a leader without a quorum at once: until its next heartbeat that is
        no violation."""
        now, progress = node.local(), member.progress
        voters = [name for name, address in member.members.items() if address.voter and name != node.id]
        replies = sorted((progress[name].last_reply_at for name in voters if name in progress), reverse=True)
        needed = (len(voters) + 1) // 2 if node.id in member.members else len(voters) // 2 + 1
        allowed_s = 2 * self.settings.election_timeout_s
        if not (needed and len(replies) >= needed and now - replies[needed - 1] > allowed_s):
            self.unheard_since.pop(node.id, None)
            return
        unheard_s = now - self.unheard_since.setdefault(node.id, now)
        if unheard_s > 3 * self.settings.heartbeat_interval_s:
            text = f"{node.id} leads unheard for {now - replies[needed - 1]:.3f} s"
            self.record_violation("steps_down", text)

    def on_applied(self, node: Any, index: int, entry: LogEntry) -> None:
        """A member applies an entry."""
        id, first = node.id, self.entries.setdefault(index, entry)
        self.terms.setdefault(index, node.host.raft.current_term if node.host else 0)
        if index != self.last_applied.get(id, index - 1) + 1:
            self.record_violation("in_order", f"{id} applies entry {index} after {self.last_applied[id]}")
        self.last_applied[id] = index
        if first != entry:
            self.record_violation(
                "same_entry", f"{id} applies another entry at {index}: terms {entry.term} and {first.term}"
            )

    def on_restored(self, id: str, index: int) -> None:
        """A member restores its state from a snapshot."""
        if index <= self.last_applied.get(id, -1):
            self.record_violation(
                "in_order", f"{id} goes back to a snapshot at {index}, it had applied {self.last_applied[id]}"
            )
        self.last_applied[id] = index

    def check_lost_disk(self, node: Any) -> None:
        """Some seconds after a disk lost what it had shown, with all others well."""
        if node.disk_lost_writes and node.host is not None and node.host.raft.role is not Role.BARRED:
            self.record_violation(
                "lost_disk", f"{node.id} lost what it had shown, and is {node.host.raft.role.value}"
            )

    # Writers

    def record_operation(self, operation: Op, value: Any, put: PutVersion) -> None:
        """An operation of a writer, with what it was answered."""
        self.operations.append(operation)
        version = (
            value.version
            if isinstance(value, (VersionWritten, RequestIdReused))
            else value.latest
            if isinstance(value, VersionConflict)
            else value
        )
        if isinstance(version, Version):
            self.check_version(version)
        if isinstance(value, RequestIdReused):
            self.record_violation("once", f"request {put.request_id} is said to have written another content")
        elif isinstance(value, VersionWritten):
            self.acknowledged[version.number] = version.digest
            if version.request_id != put.request_id:
                self.record_violation(
                    "once", f"request {put.request_id} is told of {version.request_id}'s version"
                )

    def check_version(self, version: Version) -> None:
        """A version that a client has seen."""
        if self.digests.setdefault(version.number, version.digest) != version.digest:
            self.record_violation("once", f"version {version.number} has two contents")
        if self.requests.setdefault(version.request_id, version.number) != version.number:
            self.record_violation(
                "once",
                f"request {version.request_id} gave versions {self.requests[version.request_id]} "
                f"and {version.number}",
            )

    def check_history(self, versions: list[Version]) -> None:
        """The whole history, read by a client at the end."""
        for version in versions:
            self.check_version(version)
        final = {version.number: version.digest for version in versions}
        for number, content_digest in self.acknowledged.items():
            if final.get(number) != content_digest:
                self.record_violation("kept", f"version {number} was told as done, and is not in the history")
        try:
            if violation := linear.violation(linear.with_outcomes(self.operations, final)):
                self.record_violation("linearizable", violation)
        except linear.Undecided as error:
            self.record_violation("linearizable", f"undecided: {error}")

    # The end

    def check_end(self, nodes: dict[str, Any]) -> None:
        """After some seconds in which nothing failed."""
        up = [node for node in nodes.values() if node.host is not None]
        for node in up:
            self.check_lost_disk(node)
        logs = {node.id: node.disk.saved for node in nodes.values() if not node.disk_lost_writes}
        ids = sorted(logs)
        for number, one in enumerate(ids):
            for other in ids[number + 1 :]:
                self._check_matching_logs(one, logs[one], other, logs[other])
        leaders = [node for node in up if node.host.raft.role is Role.LEADER]
        if len(leaders) != 1:
            return self.record_violation(
                "well",
                f"{len(leaders)} lead at the end: "
                f"{[(node.id, node.host.raft.role.value) for node in nodes.values() if node.host]}",
            )
        host = leaders[0].host
        for node in up:
            if (
                node.id in host.raft.members
                and not node.disk_lost_writes
                and node.host.raft.last_applied < host.raft.commit_index - 5
            ):
                self.record_violation(
                    "well", f"{node.id} has applied {node.host.raft.last_applied} of {host.raft.commit_index}"
                )
            theirs, mine = node.host.versions, host.versions
            if theirs.latest != len(theirs.by_number) or any(
                mine.by_number.get(number, version) != version for number, version in theirs.by_number.items()
            ):
                self.record_violation("same_state", f"{node.id} and {leaders[0].id} hold other versions")
        self.check_history(list(host.versions.by_number.values()))

    def _check_matching_logs(self, one: str, first: Any, other: str, second: Any) -> None:
        base = max(first.snapshot.index, second.snapshot.index)
        mine = {
            index: entry
            for index, entry in enumerate(first.entries, first.snapshot.index + 1)
            if index > base
        }
        theirs = {
            index: entry
            for index, entry in enumerate(second.entries, second.snapshot.index + 1)
            if index > base
        }
        same = max(
            (index for index in mine.keys() & theirs.keys() if mine[index].term == theirs[index].term),
            default=0,
        )
        for index in range(base + 1, same + 1):
            if mine[index] != theirs[index]:
                return self.record_violation(
                    "log_matching", f"{one} and {other} agree on {same}, and not on {index}"
                )


def _members_named(entries: list[LogEntry], snapshot: Any) -> Any:
    """The members that the last entry with any names; without one, those of the snapshot."""
    for entry in reversed(entries):
        if entry.members is not None:
            return entry.members
    return snapshot.members
