"""Contact of this machine with a quorum, and the staleness of its committed set. No I/O.

Each reply names the newest proposal that its sender has accepted or committed, so the replies of a majority
bound what was acknowledged before the request. Once the local committed set has reached all these proposals,
it lacks nothing that was acknowledged before the request. Staleness counts from the request on this machine's
own steady clock, so it grows while the process is suspended. docs/design/cut-off.md has the argument.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from foxspread.mesh.replication.learner import ProposalNumber
from foxspread.mesh.replication.membership import MemberSet, is_quorum
from foxspread.mesh.replication.messages import ContactReply, ContactRequest, DiskState, Report
from foxspread.mesh.replication.storage import is_older_copy

STALENESS_LIMIT_S = 1.5  # limit up to which the committed set is served to processes without storage
REQUEST_INTERVAL_S = 0.3
PENDING_REQUESTS_LIMIT = 12  # the requests of 3.6 s; replies to older ones are of no use
REPORT_TIMEOUT_S = 1.0  # a replica without a report for longer does not count as live
REPORTS_LIMIT = 64  # replicas whose reports are stored; the one with the oldest report is dropped first


class ReceivedReport(NamedTuple):
    """A replica's newest report, and when it was received."""

    report: Report
    received_at: float


@dataclass(slots=True)
class PendingRequest:
    """A request to all replicas, and the newest proposals that the voting replicas named in their replies."""

    number: int
    sent_at: float
    seen_by_member: dict[str, ProposalNumber] = field(default_factory=dict)


class QuorumContact:
    """Contact of one machine with a quorum of the members."""

    def __init__(self, me: str, initial_number: int = 0) -> None:
        """Starts without contact.

        Requests are numbered from `initial_number` + 1. A random number ensures that replies to an earlier
        incarnation do not count.
        """
        self.me, self.request_number = me, initial_number
        self.pending: list[PendingRequest] = []  # requests that may still lower the staleness, oldest first
        # The committed set has everything that was acknowledged before this time; None: not known.
        self.complete_as_of: float | None = None
        self.epoch = 0  # highest epoch in any report
        self.reports: dict[str, ReceivedReport] = {}  # reports of other replicas, oldest first
        self.next_request_at = 0.0

    def request(self, now: float, own: Report, disk: DiskState | None = None) -> ContactRequest | None:
        """Returns the next request, for all replicas that can be reached; None before it is due.

        This machine's own report counts as a reply if it votes.
        """
        if now < self.next_request_at:
            return None
        self.next_request_at = now + REQUEST_INTERVAL_S
        self.request_number += 1
        request = PendingRequest(self.request_number, now)
        self._record_seen(request, own)
        self.pending = [*self.pending[-PENDING_REQUESTS_LIMIT + 1 :], request]
        return ContactRequest(self.request_number, disk)

    @staticmethod
    def reply(request: ContactRequest, own: Report, rolled_back: bool = False) -> ContactReply:
        """Returns the reply to a request; `rolled_back`: the sender's disk is an older copy of itself."""
        incarnation = request.disk.incarnation if rolled_back and request.disk is not None else None
        return ContactReply(request.number, own, incarnation)

    def receive(self, now: float, sender: str, message: ContactReply) -> None:
        """Handles a replica's reply; a report in the name of another member is ignored."""
        report = message.report
        if report.member != sender:
            return
        self.reports.pop(sender, None)
        self.reports[sender] = ReceivedReport(report, now)
        if len(self.reports) > REPORTS_LIMIT:
            del self.reports[next(iter(self.reports))]
        for request in self.pending:
            if request.number == message.number:
                self._record_seen(request, report)

    def update(self, members: MemberSet, committed_number: ProposalNumber) -> None:
        """Updates the staleness with the local member set and committed number.

        It must be called before each use of `staleness_s` or `is_current`.
        """
        if members.epoch < self.epoch:
            return  # a newer member set is committed, so a majority of this one may not be a quorum
        for index in range(len(self.pending) - 1, -1, -1):
            request = self.pending[index]
            seen = request.seen_by_member
            if is_quorum([members], seen.keys()) and committed_number >= max(
                number for name, number in seen.items() if name in members
            ):
                self.complete_as_of = request.sent_at
                del self.pending[: index + 1]
                return

    def staleness_s(self, now: float) -> float | None:
        """Returns for how long the committed set may have missed acknowledged changes; None: not known."""
        return None if self.complete_as_of is None else max(0.0, now - self.complete_as_of)

    def is_current(self, now: float) -> bool:
        """Tells whether the committed set may be served to processes without storage now."""
        return self.complete_as_of is not None and now - self.complete_as_of <= STALENESS_LIMIT_S

    def live_replicas(self, now: float) -> tuple[str, ...]:
        """Returns the replicas whose reports came within `REPORT_TIMEOUT_S`, and this one."""
        live = {name for name, (_, at) in self.reports.items() if now - at <= REPORT_TIMEOUT_S}
        return tuple(sorted({self.me} | live))

    def _record_seen(self, request: PendingRequest, report: Report) -> None:
        self.epoch = max(self.epoch, report.epoch)
        if report.votes:
            request.seen_by_member[report.member] = report.seen


class DiskHistory:
    """The last known states of other replicas' disks, to detect a disk that was restored from an older copy.

    Such a disk was opened fewer times, or has a lower promise, than it reported before. Only the replicas
    that reported last to this process are remembered.
    """

    def __init__(self) -> None:
        self.last_state: dict[str, DiskState] = {}  # by member, oldest report first

    def is_rolled_back(self, member: str, disk: DiskState) -> bool:
        """Tells whether a disk is older than the last known one of its member; remembers the newer one."""
        last = self.last_state.pop(member, None)
        newest = disk
        if last is not None:
            same_disk = last.identity == disk.identity
            same_process = disk.incarnation == last.incarnation
            older_state = is_older_copy(disk.start_count, disk.promised, [(last.start_count, last.promised)])
            if not same_process and (disk.identity[0] < last.identity[0] or same_disk and older_state):
                self.last_state[member] = last
                return True
            if same_process and same_disk:  # an older message may arrive late
                promised = max(disk.promised, last.promised)
                newest = DiskState(disk.incarnation, disk.identity, disk.start_count, promised)
        self.last_state[member] = newest
        if len(self.last_state) > REPORTS_LIMIT:
            del self.last_state[next(iter(self.last_state))]
        return False
