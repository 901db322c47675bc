"""What must hold of several coordinators, judged from messages, disks and writers. A rule that breaks is
named with what was seen; the first few of a run are kept.
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
from foxspread.consensus.raft import RaftSettings, Role
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


@dataclass
class Fault:
    rule: str
    text: str


@dataclass
class Judge:
    settings: RaftSettings
    faults: list[Fault] = field(default_factory=list)
    leaders: dict[int, str] = field(default_factory=dict)  # by term
    votes: dict[tuple[str, int], str] = field(default_factory=dict)
    given: dict[tuple[str, int], set[str]] = field(default_factory=dict)  # votes that arrived
    entries: dict[int, LogEntry] = field(default_factory=dict)  # as first applied, which is by the leader...
    terms: dict[int, int] = field(default_factory=dict)  # ... of this term
    last: dict[str, int] = field(default_factory=dict)  # what each has applied
    seen: dict[str, tuple[int, int]] = field(default_factory=dict)  # of each: generation and term as leader
    unheard: dict[str, float] = field(default_factory=dict)  # leaders that too few answer, since when
    ops: list[Op] = field(default_factory=list)
    contents: dict[int, str] = field(default_factory=dict)  # digests by number, as told to writers
    requests: dict[str, int] = field(default_factory=dict)
    done: dict[int, str] = field(default_factory=dict)  # of puts that were told as done

    def found(self, rule: str, text: str) -> None:
        if len(self.faults) < 5:
            self.faults.append(Fault(rule, text))

    # Messages

    def posted(self, node: Any, envelope: Envelope) -> None:
        """As a message leaves, with the sender's disk as it is by then."""
        self.passed(envelope)
        message, id, disk = envelope.message, envelope.sender, node.disk.saved
        if isinstance(message, RequestVoteReply) and message.vote_granted and not message.pre_vote:
            if disk.term < message.term or disk.term == message.term and disk.voted_for != envelope.recipient:
                self.found(
                    "saved_first",
                    f"{id} votes in term {message.term}, its disk has {disk.term} {disk.voted_for!r}",
                )
        elif isinstance(message, RequestVote) and not message.pre_vote and disk.term < message.term:
            self.found("saved_first", f"{id} asks for votes in term {message.term}, its disk has {disk.term}")
        elif isinstance(message, AppendEntriesReply) and message.success:
            if (last := disk.snapshot.index + len(disk.entries)) < message.index:
                self.found("saved_first", f"{id} has saved {message.index}, its disk reaches {last}")

    def passed(self, envelope: Envelope) -> None:
        """As a message is seen on a link."""
        message, id = envelope.message, envelope.sender
        if isinstance(message, (AppendEntries, InstallSnapshot)):
            if (other := self.leaders.setdefault(message.term, id)) != id:
                self.found("one_leader", f"{id} and {other} lead term {message.term}")
        elif isinstance(message, RequestVoteReply) and message.vote_granted and not message.pre_vote:
            if (other := self.votes.setdefault((id, message.term), envelope.recipient)) != envelope.recipient:
                self.found(
                    "one_vote", f"{id} votes for {other} and {envelope.recipient} in term {message.term}"
                )

    def arrived(self, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, RequestVoteReply) and message.vote_granted and not message.pre_vote:
            self.given.setdefault((envelope.recipient, message.term), set()).add(envelope.sender)

    # Members

    def down(self, id: str) -> None:
        self.seen.pop(id, None)
        self.unheard.pop(id, None)
        self.last.pop(id, None)

    def looked(self, node: Any) -> None:
        """After each step of a member."""
        member = node.host.raft
        if (
            self.last.setdefault(node.id, member.snapshot.index)
            == member.snapshot.index
            == member.last_applied
        ):
            named = next(
                (entry.members for entry in reversed(member.log.entries) if entry.members is not None),
                member.snapshot.members,
            )
            if member.members != named:
                self.found(
                    "members", f"{node.id} acts on {sorted(member.members)}, its log names {sorted(named)}"
                )
        if member.role is not Role.LEADER:
            self.unheard.pop(node.id, None)
            return
        for other, row in member.progress.items():
            twin = node.world.nodes[other]
            disk, past = twin.disk.saved, twin.lost or twin.disk.saved.term != member.current_term
            if not past and row.match_index > disk.snapshot.index + len(disk.entries):
                self.found(
                    "counted", f"{node.id} counts on {other} for {row.match_index}, its disk ends before"
                )
        if self.seen.get(node.id) != (node.run, member.current_term):
            self.seen[node.id] = (node.run, member.current_term)
            log = member.log
            for index in range(log.base + 1, max(self.entries, default=0) + 1):
                known = self.entries.get(index)
                if (
                    known is not None
                    and self.terms[index] < member.current_term
                    and (index > log.last_index or log.entry(index).term != known.term)
                ):
                    self.found(
                        "leader_complete", f"{node.id} leads term {member.current_term} without entry {index}"
                    )
                    break
            members = next(
                (entry.members for entry in reversed(log.entries[:-1]) if entry.members is not None),
                member.snapshot.members,
            )
            voters = {each for each, seat in members.items() if seat.voter}
            given = self.given.get((node.id, member.current_term), set()) | {node.id}
            if len(given & voters) * 2 <= len(voters):
                self.found(
                    "elected",
                    f"{node.id} leads term {member.current_term} by {sorted(given)} of {sorted(voters)}",
                )
        now, voters = (
            node.local(),
            [each for each, seat in member.members.items() if seat.voter and each != node.id],
        )
        heard = sorted(
            (member.progress[each].last_reply_at for each in voters if each in member.progress), reverse=True
        )
        needed = (len(voters) + 1) // 2 if node.id in member.members else len(voters) // 2 + 1
        if not (
            needed and len(heard) >= needed and now - heard[needed - 1] > 2 * self.settings.election_timeout_s
        ):
            self.unheard.pop(node.id, None)  # a change of members may make it so at once, until its next beat
        elif now - self.unheard.setdefault(node.id, now) > 3 * self.settings.heartbeat_interval_s:
            self.found("steps_down", f"{node.id} leads unheard for {now - heard[needed - 1]:.3f} s")

    def applied(self, node: Any, index: int, entry: LogEntry) -> None:
        id, known = node.id, self.entries.setdefault(index, entry)
        self.terms.setdefault(index, node.host.raft.current_term if node.host else 0)
        if index != self.last.get(id, index - 1) + 1:
            self.found("in_order", f"{id} applies entry {index} after {self.last[id]}")
        self.last[id] = index
        if known != entry:
            self.found(
                "same_entry", f"{id} applies another entry at {index}: terms {entry.term} and {known.term}"
            )

    def restored(self, id: str, index: int) -> None:
        if index <= self.last.get(id, -1):
            self.found("in_order", f"{id} goes back to a snapshot at {index}, it had applied {self.last[id]}")
        self.last[id] = index

    def lost(self, node: Any) -> None:
        """Some seconds after a disk lost what it had shown, with all others well."""
        if node.lost and node.host is not None and node.host.raft.role is not Role.BARRED:
            self.found("lost_disk", f"{node.id} lost what it had shown, and is {node.host.raft.role.value}")

    # Writers

    def operation(self, op: Op, value: Any, put: PutVersion) -> None:
        self.ops.append(op)
        version = (
            value.version
            if isinstance(value, (VersionWritten, RequestIdReused))
            else value.latest
            if isinstance(value, VersionConflict)
            else value
        )
        if isinstance(version, Version):
            self.version(version)
        if isinstance(value, RequestIdReused):
            self.found("once", f"request {put.request} is said to have written another content")
        elif isinstance(value, VersionWritten):
            self.done[version.number] = version.digest
            if version.request != put.request:
                self.found("once", f"request {put.request} is told of {version.request}'s version")

    def version(self, version: Version) -> None:
        if self.contents.setdefault(version.number, version.digest) != version.digest:
            self.found("once", f"version {version.number} has two contents")
        if self.requests.setdefault(version.request, version.number) != version.number:
            self.found(
                "once",
                f"request {version.request} gave versions {self.requests[version.request]} "
                f"and {version.number}",
            )

    def history(self, versions: list[Version]) -> None:
        """The whole history, read by a client at the end."""
        for version in versions:
            self.version(version)
        final = {version.number: version.digest for version in versions}
        for number, told in self.done.items():
            if final.get(number) != told:
                self.found("kept", f"version {number} was told as done, and is not in the history")
        try:
            if fault := linear.fault(linear.settled(self.ops, final)):
                self.found("linearizable", fault)
        except linear.Undecided as error:
            self.found("linearizable", f"undecided: {error}")

    # The end

    def ended(self, nodes: dict[str, Any]) -> None:
        up = [node for node in nodes.values() if node.host is not None]
        for node in up:
            self.lost(node)
        logs = {node.id: node.disk.saved for node in nodes.values() if not node.lost}
        ids = sorted(logs)
        for at, one in enumerate(ids):
            for other in ids[at + 1 :]:
                self._matching(one, logs[one], other, logs[other])
        leaders = [node for node in up if node.host.raft.role is Role.LEADER]
        if len(leaders) != 1:
            return self.found(
                "well",
                f"{len(leaders)} lead at the end: "
                f"{[(node.id, node.host.raft.role.value) for node in nodes.values() if node.host]}",
            )
        host = leaders[0].host
        for node in up:
            if (
                node.id in host.raft.members
                and not node.lost
                and node.host.raft.last_applied < host.raft.commit_index - 5
            ):
                self.found(
                    "well", f"{node.id} has applied {node.host.raft.last_applied} of {host.raft.commit_index}"
                )
            theirs, mine = node.host.versions, host.versions
            if theirs.latest != len(theirs.by_number) or any(
                mine.by_number.get(number, version) != version for number, version in theirs.by_number.items()
            ):
                self.found("same_state", f"{node.id} and {leaders[0].id} hold other versions")
        self.history(list(host.versions.by_number.values()))

    def _matching(self, one: str, first: Any, other: str, second: Any) -> None:
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
                return self.found("log_matching", f"{one} and {other} agree on {same}, and not on {index}")
