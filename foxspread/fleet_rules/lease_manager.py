"""A coordinator that grants leases on the fleet's rules and rolls out versions. No I/O.

Every member grants leases; the leader takes the steps of a rollout: announce, put in force, withdraw.

Why no two sidecars contradict each other: a lease is granted only on state committed after its request came
(a read through the leader). So a lease on the phase before an announcement was requested before that
announcement was committed, and expires at most one lease later. The leader takes the next step when all
holders have confirmed the announced phase, or when one lease, plus an allowance for drift on both clocks, has
passed since it saw the announcement committed. A new leader counts from when it saw that commit itself.
`docs/design/fleet-rules.md` has the full argument.
"""

from typing import Any

import msgspec

from foxspread.consensus.coordinator import Answer, Coordinator, Outputs, Status
from foxspread.consensus.errors import RequestRejected
from foxspread.consensus.raft import Role
from foxspread.consensus.records import Snapshot
from foxspread.consensus.wire import encode
from foxspread.fleet_rules.codec import LeaseGrant, LeaseRequest
from foxspread.fleet_rules.leader_state import HolderReport, HolderStatus, LeaderState
from foxspread.fleet_rules.pending_requests import (
    BATCH_DELAY_SECONDS,
    MAX_REQUESTS,
    PendingRequests,
    batches,
)
from foxspread.fleet_rules.rollout import (
    AdmitHolders,
    Announce,
    DropAlonePart,
    LeaseTerms,
    PutInForce,
    RemoveHolders,
    Rollout,
    Withdraw,
)

MAX_BATCH_HOLDERS = 256  # in one record or report; keeps these well below 40 KiB
MAX_UNADMITTED = 4096  # holders that sent a request and are not admitted yet
HOLDER_TIMEOUT_LEASES = 2  # leases without a request after which a holder is removed
TIMEOUT_CHECKS_PER_LEASE = 10  # not at each input, as a check takes time proportional to the holders
MAX_REASON_CHARACTERS = 300  # of the reason of a withdrawal
ROLLOUT_STEP = "step"  # announce, put in force and withdraw: one of them at a time
ADMISSION_STEP = "open"
REMOVAL_STEP = "close"
TERMS_STEP = "terms"


class LeaseManager(Coordinator):
    """Coordinator for fleet rules. `terms`: lease terms to propose if the fleet has not agreed on any yet."""

    store_type = Rollout

    def __init__(self, now: float, *arguments: Any, terms: LeaseTerms = LeaseTerms(), **options: Any) -> None:
        self.proposed_terms = terms
        # These are set before the log is read; applying its entries, later on, uses them.
        self.requests = PendingRequests()
        self.phase_watches: dict[int, tuple[int, float]] = {}  # by token: the known phase, the deadline
        self.unreported: dict[str, HolderStatus] = {}  # still to be reported to the leader
        self.flush_at = float("inf")
        self.last_read_token = 0
        self.leader_state: LeaderState | None = None
        # When this member applied the latest step of a rollout, and the latest removal of holders.
        self.phase_changed_at = self.holders_removed_at = now
        self.alone_replaced_at: dict[int, float] = {}  # by version whose alone part may still be in use
        super().__init__(now, *arguments, **options)

    @property
    def rollout(self) -> Rollout:
        """The replicated state as this member has applied it."""
        return self.versions

    @property
    def terms(self) -> LeaseTerms:
        """The lease terms that the fleet has agreed on, else those that this member proposes."""
        return self.rollout.terms or self.proposed_terms

    @property
    def lease_expired_after(self) -> float:
        """Seconds after which a lease has expired by any holder's clock."""
        return self.terms.expired_after(self.terms.lease)

    # Calls of sidecars

    def request_lease(self, now: float, token: int, request: LeaseRequest) -> None:
        """Takes a request; it is answered with a `LeaseGrant` on state committed after this call."""
        if not self._enqueue(now, self.requests, token, request):
            return
        status = HolderStatus(request.phase, request.refused_phase, request.refusal_reason)
        if len(self.unreported) < MAX_UNADMITTED:
            self.unreported[request.holder_id] = status

    def _enqueue(self, now: float, requests: PendingRequests, token: int, request: Any) -> bool:
        """Lets a request wait for the next read, or rejects it if too many wait. Returns whether it waits."""
        if len(requests) >= MAX_REQUESTS:
            self.answers.append(
                Answer(token, Status.REJECTED, f"{MAX_REQUESTS} requests are pending already")
            )
            return False
        requests.add(token, request, now + self.answer_timeout_s)
        self._schedule_flush(now)
        return True

    def _schedule_flush(self, now: float) -> None:
        self.flush_at = min(self.flush_at, now + BATCH_DELAY_SECONDS)

    def watch_phase(self, now: float, token: int, phase: int, wait: float) -> None:
        """Answers with the current phase once it is later than `phase`, or after `wait` seconds."""
        if self.rollout.phase > phase or len(self.phase_watches) >= MAX_REQUESTS:
            return self._reply_phase(token)
        self.phase_watches[token] = (phase, now + wait)

    def _reply_phase(self, token: int) -> None:
        self.answers.append(Answer(token, Status.DONE, self.rollout.phase, self.raft.leader_id))

    def cancel(self, token: int) -> None:
        """Drops a call whose caller has gone."""
        super().cancel(token)
        self.requests.remove(token)
        self.phase_watches.pop(token, None)

    def _flush(self, now: float) -> None:
        """Starts one read for all requests without one, and reports their statuses to the leader."""
        self.flush_at = float("inf")
        self._start_read(now, self.requests)
        self._report(now)

    def _start_read(self, now: float, requests: PendingRequests) -> None:
        tokens = requests.tokens_without_read()
        if not tokens:
            return
        self.last_read_token -= 1  # negative, so that it differs from tokens of calls
        try:
            self.raft.read(now, self.last_read_token)
            requests.reads[self.last_read_token] = tokens
        except RequestRejected:
            for token in tokens:
                self._reject_request(requests, token, "there is no leader")

    def _report(self, now: float) -> None:
        statuses, self.unreported = self.unreported, {}
        if self.leader_state is not None:
            self._record_statuses(now, statuses)
        elif statuses and self.raft.leader_id:
            for rows in batches(list(statuses.items()), MAX_BATCH_HOLDERS):
                self.raft.send_host_message(now, self.raft.leader_id, encode(HolderReport(dict(rows))))

    def _handle_host_message(self, now: float, sender: str, body: bytes) -> None:
        try:
            report = msgspec.msgpack.decode(body, type=HolderReport)
        except msgspec.DecodeError:
            return
        if self.leader_state is not None:
            self._record_statuses(now, report.statuses)

    def _record_statuses(self, now: float, statuses: dict[str, HolderStatus]) -> None:
        leader_state = self.leader_state
        for holder, status in statuses.items():
            known = leader_state.statuses.get(holder)
            if known is None and len(leader_state.statuses) >= len(self.rollout.holders) + MAX_UNADMITTED:
                continue
            if known is None or status.phase >= known.phase:  # otherwise a delayed older status
                leader_state.statuses[holder] = status
                if status.refused_phase:
                    leader_state.refusing[holder] = status
                else:
                    leader_state.refusing.pop(holder, None)
            leader_state.last_received_at[holder] = now
            if holder not in self.rollout.holders:
                leader_state.unadmitted[holder] = None

    def _reject_request(self, requests: PendingRequests, token: int, reason: str) -> None:
        if requests.remove(token) is not None:
            self.answers.append(Answer(token, Status.NOT_LEADER, reason, self.raft.leader_id))

    def _grant_lease(self, now: float, token: int) -> None:
        """Answers a request whose read has finished; if its holder is not admitted yet, it waits on."""
        pending = self.requests.get(token)
        if pending is None:
            return
        if pending.request.holder_id not in self.rollout.holders or self.rollout.terms is None:
            return self._schedule_flush(now)
        self.requests.remove(token)
        self.answers.append(Answer(token, Status.DONE, self.current_grant(), self.raft.leader_id))

    def current_grant(self) -> LeaseGrant:
        """Returns a grant for the state that this member has applied."""
        rollout, terms = self.rollout, self.terms
        return LeaseGrant(
            rollout.phase, rollout.in_force, rollout.announced, terms.lease, terms.alone, terms.drift
        )

    # Steps of the leader

    def _take_steps(self, now: float) -> None:
        raft = self.raft
        if raft.role is not Role.LEADER:
            self.leader_state = None
            return
        if self.leader_state is None or self.leader_state.term != raft.current_term:
            self.leader_state = LeaderState(raft.current_term, now)
        if raft.last_applied < raft.first_index_of_term:
            return  # a new leader may not have applied all committed entries yet
        if self.rollout.terms is None:
            return self._propose(now, TERMS_STEP, self.proposed_terms)
        self._admit_holders(now, self.leader_state)
        if now >= self.leader_state.next_timeout_check:
            self.leader_state.next_timeout_check = now + self.terms.lease / TIMEOUT_CHECKS_PER_LEASE
            self._remove_timed_out(now, self.leader_state)
        for version, since in self.alone_replaced_at.items():
            if now - since > self.terms.expired_after(self.terms.lease + self.terms.alone):
                self._propose(now, f"drop {version}", DropAlonePart(version))
        if self.rollout.announced:
            self._finish_rollout(now, self.leader_state)
        elif number := self.rollout.next_to_announce():
            self._propose(now, ROLLOUT_STEP, Announce(number))

    def _admit_holders(self, now: float, leader_state: LeaderState) -> None:
        if not leader_state.unadmitted:
            return
        leader_state.unadmitted = {
            holder: None for holder in leader_state.unadmitted if holder not in self.rollout.holders
        }
        if leader_state.unadmitted:
            self._propose(now, ADMISSION_STEP, AdmitHolders([*leader_state.unadmitted][:MAX_BATCH_HOLDERS]))

    def _finish_rollout(self, now: float, leader_state: LeaderState) -> None:
        """Withdraws the announced version or puts it in force, if either is due."""
        rollout = self.rollout
        if leader_state.checked_phase != rollout.phase:
            leader_state.checked_phase = rollout.phase
            leader_state.incompatibility = rollout.incompatibility(rollout.announced)
        refusing = [
            (holder, status.refusal_reason)
            for holder, status in leader_state.refusing.items()
            if status.refused_phase == rollout.phase
        ]
        max_refusals = max(self.terms.refusals, rollout.by_number[rollout.announced].max_refusals)
        if reason := leader_state.incompatibility:
            self._propose(
                now, ROLLOUT_STEP, Withdraw(rollout.phase, "the coordinators", reason[:MAX_REASON_CHARACTERS])
            )
        elif len(refusing) > max_refusals:
            holder, reason = refusing[0]
            self._propose(now, ROLLOUT_STEP, Withdraw(rollout.phase, holder, reason[:MAX_REASON_CHARACTERS]))
        elif self._all_confirmed(now, leader_state) or now - self.phase_changed_at > self.lease_expired_after:
            self._propose(now, ROLLOUT_STEP, PutInForce(rollout.phase))

    def _all_confirmed(self, now: float, leader_state: LeaderState) -> bool:
        """Returns whether everyone who may hold a lease has confirmed the announced phase.

        Holders removed less than a lease ago may still hold an older one, and can't be checked.
        """
        rollout = self.rollout
        return now - self.holders_removed_at > self.lease_expired_after and all(
            holder in leader_state.statuses and leader_state.statuses[holder].phase >= rollout.phase
            for holder in rollout.holders
        )

    def _remove_timed_out(self, now: float, leader_state: LeaderState) -> None:
        """Removes holders that sent no request for two leases; rollouts no longer wait for them."""
        timeout = HOLDER_TIMEOUT_LEASES * self.lease_expired_after
        timed_out = [
            holder
            for holder in self.rollout.holders
            if now - leader_state.last_received_at.get(holder, leader_state.since) > timeout
        ]
        if timed_out:
            self._propose(now, REMOVAL_STEP, RemoveHolders(timed_out[:MAX_BATCH_HOLDERS]))
        for holder in [
            holder
            for holder, received_at in leader_state.last_received_at.items()
            if now - received_at > timeout
        ]:
            del leader_state.last_received_at[holder], leader_state.statuses[holder]
            leader_state.unadmitted.pop(holder, None)
            leader_state.refusing.pop(holder, None)

    def _propose(self, now: float, step: str, command: Any) -> None:
        self.leader_state.proposals.propose(now, self.raft, step, command)

    # Inputs and outputs

    def tick(self, now: float) -> None:
        """Answers the calls whose deadline has passed."""
        super().tick(now)
        self._reject_overdue(now, self.requests)
        self._reply_phase_watches(now)

    def _reject_overdue(self, now: float, requests: PendingRequests) -> None:
        for token in requests.overdue(now):
            self._reject_request(requests, token, "no majority answered in time")

    def _reply_phase_watches(self, now: float) -> None:
        for token, (phase, deadline) in list(self.phase_watches.items()):
            if self.rollout.phase > phase or deadline <= now:
                del self.phase_watches[token]
                self._reply_phase(token)

    def wake_at(self) -> float:
        """Returns when `tick` is due."""
        watch = min((deadline for _, deadline in self.phase_watches.values()), default=float("inf"))
        step = self._next_step_at() if self.leader_state is not None else float("inf")
        return min(super().wake_at(), self.flush_at, self.requests.first_deadline(), watch, step)

    def _next_step_at(self) -> float:
        """Returns when a step of a rollout falls due by the passage of time."""
        if not self.rollout.announced:
            return float("inf")
        retry_at = self.leader_state.proposals.retry_at.get(ROLLOUT_STEP, 0.0)
        return max(self.phase_changed_at + self.lease_expired_after, retry_at) + 1e-3

    def take_outputs(self, now: float) -> Outputs:
        """Returns the outputs of the latest inputs."""
        if now >= self.flush_at:
            self._flush(now)
        self._take_steps(now)
        out = super().take_outputs(now)
        if self.leader_state is not None:  # applied entries may make the next step due
            self._take_steps(now)
            more = super().take_outputs(now)
            out.messages += more.messages
            out.writes += more.writes
            out.answers += more.answers
        return out

    def _handle_read_result(self, now: float, token: int, holds: bool) -> bool:
        """Handles the result of a read. Returns whether it was a read for lease requests."""
        tokens = self.requests.reads.pop(token, None)
        if tokens is None:
            return False
        for request_token in tokens:
            if holds:
                self._grant_lease(now, request_token)
            else:
                self._reject_request(self.requests, request_token, "this node is no longer the leader")
        return True

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        super()._restore_snapshot(snapshot)
        now = self.raft.now  # no later than this the steps were committed
        self.phase_changed_at = self.holders_removed_at = now
        rollout = self.rollout
        self.alone_replaced_at = {
            version: now for version in rollout.alone_versions if version != rollout.in_force
        }
        self._reply_phase_watches(now)

    def _apply_entry(self, index: int, entry: Any) -> None:
        rollout, now = self.rollout, self.raft.now
        phase, in_force, holders = rollout.phase, rollout.in_force, len(rollout.holders)
        super()._apply_entry(index, entry)
        if rollout.phase != phase:
            self._phase_changed(now)
        if rollout.in_force != in_force and in_force:
            self.alone_replaced_at[in_force] = now
        self.alone_replaced_at = {
            version: since
            for version, since in self.alone_replaced_at.items()
            if version in rollout.alone_versions
        }
        if len(rollout.holders) < holders:
            self._holders_removed(now)
        if len(rollout.holders) > holders:
            self._holders_admitted(now)

    def _phase_changed(self, now: float) -> None:
        self.phase_changed_at = now
        if self.leader_state is not None:
            self.leader_state.proposals.applied(ROLLOUT_STEP)
        self._reply_phase_watches(now)

    def _holders_removed(self, now: float) -> None:
        self.holders_removed_at = now
        if self.leader_state is not None:  # admits again those that sent a request meanwhile
            readmitted = [
                holder for holder in self.leader_state.statuses if holder not in self.rollout.holders
            ]
            self.leader_state.unadmitted |= dict.fromkeys(readmitted)

    def _holders_admitted(self, now: float) -> None:
        if self.leader_state is not None:
            self.leader_state.proposals.applied(ADMISSION_STEP)
        if len(self.requests):
            self._schedule_flush(now)
