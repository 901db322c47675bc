"""Message orders written by hand: steps on the table of `simulation.explore`, and scripts made of them."""

from foxspread.mesh.configuration.items import ROUTE, SERVICE, Item
from foxspread.mesh.replication.messages import ProposerReply
from foxspread.mesh.simulation.explore import Case, Table, loads
from foxspread.mesh.simulation.fleet import Cores

THREE, FIVE = ("a", "b", "c"), ("a", "b", "c", "d", "x")


def service(name: str = "v", version: int = 1, tag: int = 0) -> Item:
    """A service; `tag` makes another content."""
    return Item(SERVICE, name, version, {"name": name, "tag": tag})


def route(name: str, place: str, to: str, version: int = 1) -> Item:
    """A route to a service."""
    rule = {"name": name, "sorting": {"postcode": place}, "dispatch": {"service": to}, "tag": 0}
    return Item(ROUTE, name, version, {"destination": "h", "rule": rule})


def new_table(members: tuple[str, ...], *calls: tuple[str, Item], cores: Cores = Cores()) -> Table:
    """A table on which these members have these calls to make."""
    return Table.laid(Case(members, calls, starts=4, crashes=9, wipes=9), cores)


def send_prepare(
    table: Table, proposer: str, others: str, kind: str = "prepare", with_replies: bool = True
) -> None:
    """The newest message of that kind reaches each of `others`; `with_replies`: and replies."""
    for other in others:
        table.passed(proposer, other, kind, newest=True)
        if with_replies:
            deliver_reply(table, other, proposer)


def send_accept(table: Table, proposer: str, others: str, with_replies: bool = True) -> None:
    """Like `send_prepare`, in the second phase."""
    send_prepare(table, proposer, others, "accept", with_replies)


def deliver_reply(table: Table, sender: str, to: str) -> None:
    """The newest reply of `sender` to a proposal reaches `to`, if there is one."""
    for number in reversed(range(len(table.flying))):
        from_, to_, packed = table.flying[number]
        if (from_, to_) == (sender, to) and isinstance(loads(packed), ProposerReply):
            return table.do(("deliver", number))


def start_attempt(table: Table, proposer: str, above: int | None = None) -> None:
    """The next attempt of that proposer; `above`: a counter that it has met before."""
    if above is not None:
        table.proposers[proposer].highest_seen = above
    table.do(("start", proposer))


def deliver_enrolment(table: Table, name: str, others: str) -> None:
    """Its enrolment reaches the others, and their replies reach it."""
    for other in others:
        table.passed(name, other, "enrol", newest=True)
    for other in others:
        table.passed(other, name, "enrolled", newest=True)


def wipe_and_enrol(table: Table, name: str, others: str) -> None:
    """Empties its disk; it enrols with the others, and votes again."""
    table.do(("wipe", name))
    deliver_enrolment(table, name, others)


# Scripts that the sound classes pass; each shows certain mutants.


def mixed_acceptances(cores: Cores) -> Table:
    """x accepts and is wiped; c, asked by its new disk, accepts only then: two disks hold what three said."""
    table = new_table(FIVE, ("a", service()), cores=cores)
    start_attempt(table, "a")
    send_prepare(table, "a", "bd")
    send_accept(table, "a", "x", with_replies=False)
    wipe_and_enrol(table, "x", "bcd")
    deliver_reply(table, "x", "a")
    send_accept(table, "a", "c")
    return table


def mixed_promises(cores: Cores) -> Table:
    """x promises 2 and is wiped; its new disk votes for 1, which b, that promises 2 then, never sees."""
    table = new_table(FIVE, ("a", service(tag=1)), ("d", service(tag=2)), cores=cores)
    start_attempt(table, "a", above=1)
    send_prepare(table, "a", "x", with_replies=False)
    wipe_and_enrol(table, "x", "bcd")
    start_attempt(table, "d")
    send_prepare(table, "d", "xc")
    send_accept(table, "d", "xc")
    table.passed("x", "a", "promise")
    send_prepare(table, "a", "b")
    return table


def forgotten_promise(cores: Cores) -> Table:
    """x and b promise 2; x is wiped and asked with 1."""
    table = new_table(FIVE, ("a", service(tag=1)), ("d", service(tag=2)), cores=cores)
    start_attempt(table, "a", above=1)
    send_prepare(table, "a", "xb", with_replies=False)
    wipe_and_enrol(table, "x", "bcd")
    start_attempt(table, "d")
    send_prepare(table, "d", "xc")
    if table.proposers["d"].proposed_delta:
        send_accept(table, "d", "xc")
    for other in "xb":
        table.passed(other, "a", "promise")
    return table


def early_refusal(cores: Cores) -> Table:
    """What a call was refused against is never settled; an earlier ballot with the call is."""
    calls = ("a", service(tag=1)), ("b", service(tag=2)), ("c", service("w"))
    table = new_table(FIVE, *calls, cores=cores)
    start_attempt(table, "a")
    send_prepare(table, "a", "cd")
    send_accept(table, "a", "c", with_replies=False)
    start_attempt(table, "b", above=1)
    send_prepare(table, "b", "dx")
    start_attempt(table, "a", above=2)
    send_prepare(table, "a", "bd")
    table.do(("crash", "a"))
    start_attempt(table, "c", above=3)
    send_prepare(table, "c", "dx")
    send_accept(table, "c", "dx")
    return table


def two_acceptances(cores: Cores) -> Table:
    """a holds one of ballot 1, c one of ballot 2, which is chosen."""
    table = new_table(THREE, ("a", service(tag=1)), ("b", service(tag=2)), cores=cores)
    start_attempt(table, "a")
    send_prepare(table, "a", "c")
    start_attempt(table, "b", above=1)
    send_prepare(table, "b", "c")
    send_accept(table, "b", "c")
    start_attempt(table, "a", above=2)
    send_prepare(table, "a", "c")
    return table


def enrolment_with_one_reply(cores: Cores) -> Table:
    """b misses a call that a and c hold; c is wiped, and b and c go on while a is away."""
    table = new_table(THREE, ("a", service()), ("b", service("w")), cores=cores)
    start_attempt(table, "a")
    send_prepare(table, "a", "c")
    send_accept(table, "a", "c")
    table.do(("wipe", "c"))
    if not table.acceptors["c"].voting:
        deliver_enrolment(table, "c", "b")
    if not table.acceptors["c"].voting:
        deliver_enrolment(table, "c", "a")
    return table


def power_between(cores: Cores) -> Table:
    """All lose power once a majority has answered, and another carries on."""
    table = new_table(THREE, ("a", service(tag=1)), ("c", service(tag=2)), cores=cores)
    start_attempt(table, "a")
    send_prepare(table, "a", "b")
    send_accept(table, "a", "b")
    for name in "abc":
        if name != "c":
            table.do(("crash", name))
    start_attempt(table, "c", above=0)
    send_prepare(table, "c", "b")
    if table.proposers["c"].proposed_delta:
        send_accept(table, "c", "b")
    return table


def power_before_accept(cores: Cores) -> Table:
    """c promises 2, loses power, and is asked with 1 by one that has not heard of 2."""
    table = new_table(THREE, ("a", service(tag=1)), ("b", service(tag=2)), cores=cores)
    start_attempt(table, "a", above=1)
    send_prepare(table, "a", "c", with_replies=False)
    table.do(("crash", "c"))
    start_attempt(table, "b")
    send_prepare(table, "b", "c")
    if table.proposers["b"].proposed_delta:
        send_accept(table, "b", "c")
    table.passed("c", "a", "promise")
    send_accept(table, "a", "c")
    return table


SCRIPTS = {
    "a promise that power takes": power_before_accept,
    "acceptances from before and after a wipe": mixed_acceptances,
    "promises from before and after a wipe": mixed_promises,
    "a promise that a wipe forgets": forgotten_promise,
    "a refusal against what is never settled": early_refusal,
    "two acceptances of two ballots": two_acceptances,
    "a wiped one asks one other": enrolment_with_one_reply,
    "power is lost after the answers": power_between,
}
SCRIPTS_BY_MUTANT = {  # by the beginning of their names
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
