"""A snapshot of what one machine knows of the cluster, the input of decisions about the member set."""

from collections.abc import Mapping
from dataclasses import dataclass

from foxspread.mesh.configuration.items import LEASE, MEMBERS, Item
from foxspread.mesh.replication.learner import Learner, ProposalNumber
from foxspread.mesh.replication.membership import MemberSet
from foxspread.mesh.replication.messages import Report
from foxspread.mesh.replication.quorum_contact import ReceivedReport

REPORT_FRESH_S = 1.0  # age up to which a report is used


@dataclass(frozen=True, slots=True)
class ClusterView:
    """The cluster as one machine knows it; another process may be changing the member set meanwhile."""

    me: str
    members: MemberSet
    lease: Item | None  # newest lease in this machine's committed set
    reports: Mapping[str, ReceivedReport]  # newest reports of all replicas, including this one
    committed_number: ProposalNumber  # number up to which this machine's committed set is complete
    tolerated_machines: int = 1  # machines that may be lost at once
    tolerated_zones: int = 0  # zones that may be lost at once
    staleness_s: float | None = None  # staleness of the committed set; None: no contact with a quorum yet

    @classmethod
    def create(
        cls,
        now: float,
        own: Report,
        members: MemberSet,
        learner: Learner,
        received: Mapping[str, ReceivedReport],
        staleness_s: float | None,
        tolerated_machines: int,
        tolerated_zones: int,
    ) -> "ClusterView":
        """Creates the view of this machine; `received` has the newest reports of the other replicas."""
        reports = {**received, own.member: ReceivedReport(own, now)}
        lease = learner.items.get((LEASE, MEMBERS))
        number = learner.committed_number
        return cls(
            own.member, members, lease, reports, number, tolerated_machines, tolerated_zones, staleness_s
        )

    @property
    def lease_version(self) -> int:
        """Version of the committed lease; 0 if no machine has acquired it yet."""
        return self.lease.version if self.lease is not None else 0

    def fresh_report(self, now: float, name: str) -> Report | None:
        """Returns the report of that replica; None if there is none from within `REPORT_FRESH_S`."""
        received = self.reports.get(name)
        if received is None or now - received.received_at > REPORT_FRESH_S:
            return None
        return received.report

    def is_healthy(self, report: Report) -> bool:
        """Tells whether a replica votes, and its committed set includes this member set or a newer one."""
        return report.votes and report.epoch >= self.members.epoch

    def replica_zones(self) -> dict[str, str]:
        """Returns the zone of each replica."""
        return {name: received.report.zone for name, received in self.reports.items()}

    def disks(self, names: tuple[str, ...]) -> dict[str, list[int | str]]:
        """Returns the reported disks of these replicas; a change names them so that others record them."""
        return {name: list(self.reports[name].report.disk) for name in names if name in self.reports}
