"""Orders of messages by hand, on the explorer's table: shorthand."""

from foxspread.mesh.configuration.items import ROUTE, SERVICE, Item
from foxspread.mesh.replication.messages import ProposerReply
from foxspread.mesh.simulation.fleet import Cores
from foxspread.mesh.simulation.explore import Case, Table, loads

THREE, FIVE = ("a", "b", "c"), ("a", "b", "c", "d", "x")


def service(name: str = "v", version: int = 1, tag: int = 0) -> Item:
    return Item(SERVICE, name, version, {"name": name, "tag": tag})


def route(name: str, place: str, to: str, version: int = 1) -> Item:
    rule = {"name": name, "sorting": {"postcode": place}, "dispatch": {"service": to}, "tag": 0}
    return Item(ROUTE, name, version, {"destination": "h", "rule": rule})


def laid(members: tuple[str, ...], *calls: tuple[str, Item], cores: Cores = Cores()) -> Table:
    return Table.laid(Case(members, calls, starts=4, crashes=9, wipes=9), cores)


def ask(table: Table, proposer: str, others: str, kind: str = "prepare", back: bool = True) -> None:
    """`others` hear the proposer; `back`: and it hears what they answer."""
    for other in others:
        table.passed(proposer, other, kind, newest=True)
        if back:
            answer(table, other, proposer)


def put(table: Table, proposer: str, others: str, back: bool = True) -> None:
    ask(table, proposer, others, "accept", back)


def answer(table: Table, sender: str, to: str) -> None:
    """The newest that it has said of a ballot, if anything."""
    for number in reversed(range(len(table.flying))):
        if table.flying[number][:2] == (sender, to):
            if isinstance(loads(table.flying[number][2]), ProposerReply):
                return table.do(("deliver", number))


def begin(table: Table, proposer: str, above: int | None = None) -> None:
    """Its next ballot; `above`: it has heard of that one."""
    if above is not None:
        table.proposers[proposer].highest_seen = above
    table.do(("start", proposer))


def enrol(table: Table, name: str, others: str) -> None:
    for other in others:
        table.passed(name, other, "enrol", newest=True)
    for other in others:
        table.passed(other, name, "enrolled", newest=True)


def wipe(table: Table, name: str, others: str) -> None:
    """And it takes part again once these have noted it."""
    table.do(("wipe", name))
    enrol(table, name, others)


# Orders that a sound core stands, each for a mistake that they show.


def mixed_acceptances(cores: Cores) -> Table:
    """x accepts and is wiped; c, asked by its new disk, accepts only then: two disks hold what three said."""
    table = laid(FIVE, ("a", service()), cores=cores)
    begin(table, "a")
    ask(table, "a", "bd")
    put(table, "a", "x", back=False)
    wipe(table, "x", "bcd")
    answer(table, "x", "a")
    put(table, "a", "c")
    return table


def mixed_promises(cores: Cores) -> Table:
    """x promises 2 and is wiped; its new disk votes for 1, which b, that promises 2 then, never sees."""
    table = laid(FIVE, ("a", service(tag=1)), ("d", service(tag=2)), cores=cores)
    begin(table, "a", above=1)
    ask(table, "a", "x", back=False)
    wipe(table, "x", "bcd")
    begin(table, "d")
    ask(table, "d", "xc")
    put(table, "d", "xc")
    table.passed("x", "a", "promise")
    ask(table, "a", "b")
    return table


def forgotten_promise(cores: Cores) -> Table:
    """x and b promise 2; x is wiped and asked with 1."""
    table = laid(FIVE, ("a", service(tag=1)), ("d", service(tag=2)), cores=cores)
    begin(table, "a", above=1)
    ask(table, "a", "xb", back=False)
    wipe(table, "x", "bcd")
    begin(table, "d")
    ask(table, "d", "xc")
    if table.proposers["d"].proposed_delta:
        put(table, "d", "xc")
    for other in "xb":
        table.passed(other, "a", "promise")
    return table


def early_refusal(cores: Cores) -> Table:
    """What a call was refused against is never settled; an earlier ballot with the call is."""
    calls = ("a", service(tag=1)), ("b", service(tag=2)), ("c", service("w"))
    table = laid(FIVE, *calls, cores=cores)
    begin(table, "a")
    ask(table, "a", "cd")
    put(table, "a", "c", back=False)
    begin(table, "b", above=1)
    ask(table, "b", "dx")
    begin(table, "a", above=2)
    ask(table, "a", "bd")
    table.do(("crash", "a"))
    begin(table, "c", above=3)
    ask(table, "c", "dx")
    put(table, "c", "dx")
    return table


def two_acceptances(cores: Cores) -> Table:
    """a holds one of ballot 1, c one of ballot 2, which is chosen."""
    table = laid(THREE, ("a", service(tag=1)), ("b", service(tag=2)), cores=cores)
    begin(table, "a")
    ask(table, "a", "c")
    begin(table, "b", above=1)
    ask(table, "b", "c")
    put(table, "b", "c")
    begin(table, "a", above=2)
    ask(table, "a", "c")
    return table


def asked_of_one(cores: Cores) -> Table:
    """b misses a call that a and c hold; c is wiped, and b and c go on while a is away."""
    table = laid(THREE, ("a", service()), ("b", service("w")), cores=cores)
    begin(table, "a")
    ask(table, "a", "c")
    put(table, "a", "c")
    table.do(("wipe", "c"))
    if not table.acceptors["c"].voting:
        enrol(table, "c", "b")
    if not table.acceptors["c"].voting:
        enrol(table, "c", "a")
    return table


def power_between(cores: Cores) -> Table:
    """All lose power once a majority has answered, and another carries on."""
    table = laid(THREE, ("a", service(tag=1)), ("c", service(tag=2)), cores=cores)
    begin(table, "a")
    ask(table, "a", "b")
    put(table, "a", "b")
    for name in "abc":
        if name != "c":
            table.do(("crash", name))
    begin(table, "c", above=0)
    ask(table, "c", "b")
    if table.proposers["c"].proposed_delta:
        put(table, "c", "b")
    return table


def power_before_accept(cores: Cores) -> Table:
    """c promises 2, loses power, and is asked with 1 by one that has not heard of 2."""
    table = laid(THREE, ("a", service(tag=1)), ("b", service(tag=2)), cores=cores)
    begin(table, "a", above=1)
    ask(table, "a", "c", back=False)
    table.do(("crash", "c"))
    begin(table, "b")
    ask(table, "b", "c")
    if table.proposers["b"].proposed_delta:
        put(table, "b", "c")
    table.passed("c", "a", "promise")
    put(table, "a", "c")
    return table


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
