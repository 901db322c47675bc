"""The one place that every hand-off and every dismissal passes; each rule is enforced here, once."""

from foxspread.decisions.cold import ServerList
from foxspread.model import Effect, Lookup


class Gate:
    def __init__(self, servers: ServerList, max_hand_offs: int, copies: bool, margin: float = 0.25) -> None:
        self.servers, self.max_hand_offs, self.copies, self.margin = servers, max_hand_offs, copies, margin

    def open(self, now: float, lookup: Lookup) -> bool:
        """May this lookup be handed off at all? One answer each, nothing after it, copies where allowed."""
        if lookup.over or lookup.spent or now >= lookup.abandon_at or len(lookup.sent) >= self.max_hand_offs:
            return False
        if not lookup.sent or not (ran := lookup.may_have_run()):
            return True
        if not self.copies and lookup.out():
            return False
        if lookup.category.effect is Effect.LABELLED:
            return now < ran[0].sent + lookup.category.repeat_window - self.margin
        return lookup.category.effect is Effect.REDOABLE

    def lets(self, now: float, lookup: Lookup, server: str) -> bool:
        return self.suits(lookup, server) and self.servers.has_budget(now, server)

    def suits(self, lookup: Lookup, server: str) -> bool:
        if server not in self.servers.ready or not lookup.sent or not (ran := lookup.repeated()):
            return server in self.servers.ready
        return self.servers.together(lookup.category.scope, ran[0].server, server)

    def holds(self, now: float, lookup: Lookup, number: int) -> bool:
        """Asked again before the first byte of a hand-off: connecting takes time, in which all may change."""
        others = lookup.without(number)
        return self.open(now, others) and self.suits(others, lookup.sent[number].server)

    def near(self, lookup: Lookup) -> list[str] | None:
        """Those that alone may get it, where these are the few of a cell that drop its repeats."""
        ran = lookup.repeated()
        return self.servers.cell_of(ran[0].server) if ran and lookup.category.scope == "cell" else None

    def may_dismiss(self, lookup: Lookup) -> bool:
        effect, ran = lookup.category.effect, lookup.may_have_run()
        dropped = effect is Effect.LABELLED and lookup.category.scope == "all"
        return not ran or effect is Effect.REDOABLE or dropped
