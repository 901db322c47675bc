"""Orders of messages by hand, on the explorer's table: shorthand."""

from foxspread.mesh.configuration.items import ROUTE, SERVICE, Item
from foxspread.mesh.replication.messages import ProposerReply
from foxspread.mesh.simulation.machines import Cores
from foxspread.mesh.simulation.actions import Attempt, Crash, Deliver, Wipe
from foxspread.mesh.simulation.cluster_state import Case, ClusterState, loads

THREE, FIVE = ("a", "b", "c"), ("a", "b", "c", "d", "x")


def service(name: str = "v", version: int = 1, tag: int = 0) -> Item:
    return Item(SERVICE, name, version, {"name": name, "tag": tag})


def route(name: str, place: str, to: str, version: int = 1) -> Item:
    rule = {"name": name, "sorting": {"postcode": place}, "dispatch": {"service": to}, "tag": 0}
    return Item(ROUTE, name, version, {"destination": "h", "rule": rule})


def create_state(members: tuple[str, ...], *calls: tuple[str, Item], cores: Cores = Cores()) -> ClusterState:
    return ClusterState.create(Case(members, calls, attempts=4, crashes=9, wipes=9), cores)


def ask(state: ClusterState, proposer: str, others: str, kind: str = "prepare", back: bool = True) -> None:
    """`others` hear the proposer; `back`: and it hears what they answer."""
    for other in others:
        state.deliver_kind(proposer, other, kind, newest=True)
        if back:
            answer(state, other, proposer)


def put(state: ClusterState, proposer: str, others: str, back: bool = True) -> None:
    ask(state, proposer, others, "accept", back)


def answer(state: ClusterState, sender: str, to: str) -> None:
    """The newest that it has said of a ballot, if anything."""
    for number in reversed(range(len(state.in_flight))):
        if state.in_flight[number][:2] == (sender, to):
            if isinstance(loads(state.in_flight[number][2]), ProposerReply):
                return state.do(Deliver(number))


def begin(state: ClusterState, proposer: str, above: int | None = None) -> None:
    """Its next ballot; `above`: it has heard of that one."""
    if above is not None:
        state.proposers[proposer].highest_seen = above
    state.do(Attempt(proposer))


def enrol(state: ClusterState, name: str, others: str) -> None:
    for other in others:
        state.deliver_kind(name, other, "enrol", newest=True)
    for other in others:
        state.deliver_kind(other, name, "enrolled", newest=True)


def wipe(state: ClusterState, name: str, others: str) -> None:
    """And it takes part again once these have noted it."""
    state.do(Wipe(name))
    enrol(state, name, others)


# Orders that a sound core stands, each for a mistake that they show.


def mixed_acceptances(cores: Cores) -> ClusterState:
    """x accepts and is wiped; c, asked by its new disk, accepts only then: two disks hold what three said."""
    state = create_state(FIVE, ("a", service()), cores=cores)
    begin(state, "a")
    ask(state, "a", "bd")
    put(state, "a", "x", back=False)
    wipe(state, "x", "bcd")
    answer(state, "x", "a")
    put(state, "a", "c")
    return state


def mixed_promises(cores: Cores) -> ClusterState:
    """x promises 2 and is wiped; its new disk votes for 1, which b, that promises 2 then, never sees."""
    state = create_state(FIVE, ("a", service(tag=1)), ("d", service(tag=2)), cores=cores)
    begin(state, "a", above=1)
    ask(state, "a", "x", back=False)
    wipe(state, "x", "bcd")
    begin(state, "d")
    ask(state, "d", "xc")
    put(state, "d", "xc")
    state.deliver_kind("x", "a", "promise")
    ask(state, "a", "b")
    return state


def forgotten_promise(cores: Cores) -> ClusterState:
    """x and b promise 2; x is wiped and asked with 1."""
    state = create_state(FIVE, ("a", service(tag=1)), ("d", service(tag=2)), cores=cores)
    begin(state, "a", above=1)
    ask(state, "a", "xb", back=False)
    wipe(state, "x", "bcd")
    begin(state, "d")
    ask(state, "d", "xc")
    if state.proposers["d"].proposed_delta:
        put(state, "d", "xc")
    for other in "xb":
        state.deliver_kind(other, "a", "promise")
    return state


def early_refusal(cores: Cores) -> ClusterState:
    """What a call was refused against is never settled; an earlier ballot with the call is."""
    calls = ("a", service(tag=1)), ("b", service(tag=2)), ("c", service("w"))
    state = create_state(FIVE, *calls, cores=cores)
    begin(state, "a")
    ask(state, "a", "cd")
    put(state, "a", "c", back=False)
    begin(state, "b", above=1)
    ask(state, "b", "dx")
    begin(state, "a", above=2)
    ask(state, "a", "bd")
    state.do(Crash("a"))
    begin(state, "c", above=3)
    ask(state, "c", "dx")
    put(state, "c", "dx")
    return state


def two_acceptances(cores: Cores) -> ClusterState:
    """a holds one of ballot 1, c one of ballot 2, which is chosen."""
    state = create_state(THREE, ("a", service(tag=1)), ("b", service(tag=2)), cores=cores)
    begin(state, "a")
    ask(state, "a", "c")
    begin(state, "b", above=1)
    ask(state, "b", "c")
    put(state, "b", "c")
    begin(state, "a", above=2)
    ask(state, "a", "c")
    return state


def asked_of_one(cores: Cores) -> ClusterState:
    """b misses a call that a and c hold; c is wiped, and b and c go on while a is away."""
    state = create_state(THREE, ("a", service()), ("b", service("w")), cores=cores)
    begin(state, "a")
    ask(state, "a", "c")
    put(state, "a", "c")
    state.do(Wipe("c"))
    if not state.acceptors["c"].voting:
        enrol(state, "c", "b")
    if not state.acceptors["c"].voting:
        enrol(state, "c", "a")
    return state


def power_between(cores: Cores) -> ClusterState:
    """All lose power once a majority has answered, and another carries on."""
    state = create_state(THREE, ("a", service(tag=1)), ("c", service(tag=2)), cores=cores)
    begin(state, "a")
    ask(state, "a", "b")
    put(state, "a", "b")
    for name in "abc":
        if name != "c":
            state.do(Crash(name))
    begin(state, "c", above=0)
    ask(state, "c", "b")
    if state.proposers["c"].proposed_delta:
        put(state, "c", "b")
    return state


def power_before_accept(cores: Cores) -> ClusterState:
    """c promises 2, loses power, and is asked with 1 by one that has not heard of 2."""
    state = create_state(THREE, ("a", service(tag=1)), ("b", service(tag=2)), cores=cores)
    begin(state, "a", above=1)
    ask(state, "a", "c", back=False)
    state.do(Crash("c"))
    begin(state, "b")
    ask(state, "b", "c")
    if state.proposers["b"].proposed_delta:
        put(state, "b", "c")
    state.deliver_kind("c", "a", "promise")
    put(state, "a", "c")
    return state


ORDERS = {
    "a promise that power takes": power_before_accept,
    "acceptances from before and after a wipe": mixed_acceptances,
    "promises from before and after a wipe": mixed_promises,
    "a promise that a wipe forgets": forgotten_promise,
    "a refusal against what is never settled": early_refusal,
    "two acceptances of two ballots": two_acceptances,
    "a wiped one asks one other": asked_of_one,
    "power is lost after the answers": power_between,
}
SHOWN_BY = {  # broken cores, by the order that shows them
    "identities of disks are not looked at": ("acceptances from before", "promises from before"),
    "any ballot is promised": ("a promise that power",),
    "a promise is not saved": ("a promise that power",),
    "promises are forgotten by a wipe": ("a promise that a wipe",),
    "refuses before it is settled": ("a refusal",),
    "merges by the highest version": ("two acceptances",),
    "takes the older acceptance over": ("two acceptances",),
    "a wiped one votes at once": ("a wiped one",),
    "enrolled by one other": ("a wiped one",),
    "enrolled with the first answer": ("a wiped one",),
    "an acceptance is not saved": ("power is lost",),
    "drops what is open": ("power is lost",),
}
