"""Mutants by name: the protocol classes with one deliberate defect each.

An invariant has to catch every mutant, in a run or in the exploration, which shows that the checks are
effective. The names are those of `mesh simulate --broken`. The mutants of the lease manager are in another
table (`lab/processes/mutants`) with the plan and rule of each; here the tests state what catches each mutant.
"""

from foxspread.mesh.simulation.acceptor_mutants import (
    AcceptForgotten,
    AcceptsAnyNumber,
    CommitsAnyAccepted,
    EnrolsWithFirstReply,
    EnrolsWithOneReply,
    ForgetsPromisesOnWipe,
    HidesAccepted,
    IgnoresStorageIdentity,
    PromiseForgotten,
    PromisesAnyNumber,
    VotesWhenEmpty,
    VotesWhileIncomplete,
)
from foxspread.mesh.simulation.machines import ProtocolClasses
from foxspread.mesh.simulation.node_mutants import (
    AlwaysInContact,
    AnswersBeforeSync,
    ContactIgnoresCommitted,
    ContactWithOneReply,
    FreshFromStart,
    LosesSyncedWrites,
    PullsNothing,
    ReadyWhateverStaleness,
    ShowsPartialSnapshot,
    SkipsChunk,
    StalenessFromReply,
)
from foxspread.mesh.simulation.proposer_mutants import (
    AcknowledgesAfterOneReply,
    ActsBeforeChosen,
    CountsNewSetOnly,
    DropsUncommitted,
    ForgetsRefusal,
    ForgetsSuperseded,
    HighestVersion,
    IgnoresAgreedRefusal,
    IgnoresLeaseVersion,
    IgnoresLostStorage,
    OlderDelta,
    OverlapsMemberChanges,
    ReadsLocally,
    RefusesBeforeCommit,
)

MUTANTS: dict[str, ProtocolClasses] = {
    "a wiped one votes at once": ProtocolClasses(acceptor=VotesWhenEmpty),
    "enrolled by one other": ProtocolClasses(acceptor=EnrolsWithOneReply),
    "enrolled with the first answer": ProtocolClasses(acceptor=EnrolsWithFirstReply),
    "a promise is not saved": ProtocolClasses(acceptor=PromiseForgotten),
    "an acceptance is not saved": ProtocolClasses(acceptor=AcceptForgotten),
    "any ballot is promised": ProtocolClasses(acceptor=PromisesAnyNumber),
    "any ballot is accepted": ProtocolClasses(acceptor=AcceptsAnyNumber),
    "news settle another ballot": ProtocolClasses(acceptor=CommitsAnyAccepted),
    "what an accept brings is not shown": ProtocolClasses(acceptor=HidesAccepted),
    "acts before it is chosen": ProtocolClasses(proposer=ActsBeforeChosen),
    "merges by the highest version": ProtocolClasses(proposer=HighestVersion),
    "takes the older acceptance over": ProtocolClasses(proposer=OlderDelta),
    "drops what is open": ProtocolClasses(proposer=DropsUncommitted),
    "refuses before it is settled": ProtocolClasses(proposer=RefusesBeforeCommit),
    "acknowledges after one acceptance": ProtocolClasses(proposer=AcknowledgesAfterOneReply),
    "reads from its own copy": ProtocolClasses(proposer=ReadsLocally),
    "answers before it is written": ProtocolClasses(replica=AnswersBeforeSync),
    "pulls no news": ProtocolClasses(replica=PullsNothing),
    "a disk that lies": ProtocolClasses(storage=LosesSyncedWrites),
    "identities of disks are not looked at": ProtocolClasses(
        acceptor=IgnoresStorageIdentity, proposer=IgnoresLostStorage
    ),
    "promises are forgotten by a wipe": ProtocolClasses(acceptor=ForgetsPromisesOnWipe),
    "forgets what was overtaken": ProtocolClasses(proposer=ForgetsSuperseded),
    "a refusal is not agreed": ProtocolClasses(proposer=ForgetsRefusal),
    "a refusal is not looked up": ProtocolClasses(proposer=IgnoresAgreedRefusal),
    "a change is counted by the new set": ProtocolClasses(proposer=CountsNewSetOnly),
    "changes of members at once": ProtocolClasses(proposer=OverlapsMemberChanges),
    "votes before it holds all": ProtocolClasses(acceptor=VotesWhileIncomplete),
    "any fence is taken": ProtocolClasses(proposer=IgnoresLeaseVersion),
    "an age counts from the answer": ProtocolClasses(quorum_contact=StalenessFromReply),
    "a piece is skipped": ProtocolClasses(snapshot_transfer=SkipsChunk),
    "shown before it is whole": ProtocolClasses(snapshot_transfer=ShowsPartialSnapshot),
    "one answer is contact": ProtocolClasses(quorum_contact=ContactWithOneReply),
    "contact whatever others have seen": ProtocolClasses(quorum_contact=ContactIgnoresCommitted),
    "tells and is fresh from the start": ProtocolClasses(
        quorum_contact=AlwaysInContact, replica=FreshFromStart
    ),
    "ready by an old basis": ProtocolClasses(
        quorum_contact=AlwaysInContact, readiness=ReadyWhateverStaleness
    ),
}
