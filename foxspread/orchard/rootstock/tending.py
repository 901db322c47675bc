"""What a machine with a disk does with its stock and its writer: written, then sent, then told; enrolment of
a disk that came back empty; what is accepted and not settled is taken up. Without I/O: `put` hands writes to
a disk and calls back once they, and all that was put before, are there.
"""

from collections.abc import Callable

from foxspread.orchard.graft.items import Item
from foxspread.orchard.log import say
from foxspread.orchard.outcome import Failure, unsettled
from foxspread.orchard.rootstock.copy import Ballot, unrow
from foxspread.orchard.rootstock.stock import Message, Stock, Write
from foxspread.orchard.rootstock.writer import Out, Writer

ASKED = ("prepare", "accept")  # of a stock
TOLD = ("promise", "nack", "behind", "accepted")  # to a writer
PATIENCE_S = 0.85  # for a call: the caller goes elsewhere after a second
SETTLE_S = 0.35  # after which what is accepted and not settled is taken up by whoever notices
ENROL_S = 0.25  # between askings of one whose disk came back empty

Tell = Callable[[bool | Failure], None]


class Tending:
    writes_with = Writer

    def __init__(
        self,
        clock: Callable[[], float],
        life: str,
        draw: Callable[[], float],
        put: Callable[[list[Write], Callable[[], None]], None],
        send: Callable[[str, Message], object],
        soon: Callable[..., object],
        settled: Callable[[list[Item]], None],
    ) -> None:
        """`soon` has a call made once what is under way is done: so a machine hears itself."""
        self.clock, self.life, self.draw, self.put = clock, life, draw, put
        self.send, self.soon, self.settled = send, soon, settled
        self.stock: Stock | None = None
        self.writer: Writer | None = None
        self.calls: dict[int, Tell] = {}
        self.count = 0
        self.unsettled_at: tuple[Ballot, float] | None = None
        self.fresh = False  # since its start it has seen all that was settled before
        self.reading = False
        self.next_enrol = 0.0

    def begin(self, stock: Stock) -> None:
        self.stock, self.writer = stock, self.writes_with(stock, self.life, self.draw)
        self.put(stock.first(), lambda: None)
        self.settled(list(stock.copy.items.values()))

    def ask(self, items: list[Item], tell: Tell) -> None:
        """Tells True, or a failure, within `PATIENCE_S`; without items a read: True once this copy is as new
        as any."""
        if self.stock is None or not self.stock.serves:
            return tell(unsettled("the state is not known here yet"))
        self.count += 1
        self.calls[self.count] = tell
        self._do(self.writer.submit(self.clock(), self.count, items, self.clock() + PATIENCE_S))

    def heard(self, sender: str, message: Message) -> None:
        """From another keeper, or itself; `sender`: who it is among the members."""
        if self.stock is None:
            return
        kind = message["t"]
        if kind in ASKED:
            self._answer(sender, *getattr(self.stock, kind)(message))
        elif kind == "enrol":
            self._answer(sender, *self.stock.enrol(sender, message))
        elif kind == "enrolled":
            if (found := self.stock.take_in(sender, message)) is not None:
                self.put(found[0], lambda: None)
                if self.stock.known:
                    say("caught_up", members=len(self.stock.members), upto=self.stock.copy.upto[0])
                    self.settled(found[1])
                else:
                    self.next_enrol = 0.0  # by another identity
        elif kind in TOLD:
            self._do(self.writer.heard(self.clock(), sender, message))

    def learn(self, upto: Ballot, rows: list) -> None:
        """News of the settled set, from another copy."""
        if self.stock is None or not self.stock.serves:
            return
        writes, new = self.stock.learn(upto, map(unrow, rows))
        self.put(writes, lambda: None)
        self.settled(new)

    def peer_settled(self, at: Ballot) -> None:
        """Another has settled that: if it is what was accepted here, nothing need be pulled."""
        if self.stock is not None and self.stock.voting and (found := self.stock.settle(at)) is not None:
            self.put(found[0], lambda: None)
            self.settled(found[1])

    def reached(self, member: str) -> None:
        """A link to that member has come up."""
        if self.stock is not None and self.stock.known:
            self._do(self.writer.reached(member))
        else:
            self.next_enrol = 0.0
        self.tick()

    def tick(self) -> None:
        if self.stock is None:
            return
        now, stock = self.clock(), self.stock
        self._do(self.writer.tick(now))
        if not stock.known:
            if now >= self.next_enrol:
                self.next_enrol = now + ENROL_S
                for member in stock.members:
                    if member != stock.me:
                        self.send(member, {"t": "enrol", "disk": stock.disk})
            return
        if not self.fresh and not self.reading:
            self.reading = True
            self.ask([], self._read)
        if not stock.unsettled:
            self.unsettled_at = None
        elif self.unsettled_at is None or self.unsettled_at[0] != stock.accepted:
            place = stock.members.index(stock.me) if stock.me in stock.members else len(stock.members)
            self.unsettled_at = stock.accepted, now + SETTLE_S * (1 + 0.4 * place) + 0.1 * self.draw()
        elif now >= self.unsettled_at[1]:
            self.unsettled_at = None
            self._do(self.writer.nudge(now))

    def _read(self, outcome: bool | Failure) -> None:
        self.reading = False
        if outcome is True and not self.fresh:
            self.fresh = True
            say("state_known", upto=self.stock.copy.upto[0], items=len(self.stock.copy.items))
            self.settled([])

    def _answer(self, sender: str, writes: list[Write], reply: Message | None, new: list[Item]) -> None:
        def go() -> None:
            if reply is not None:
                self._pass(sender, reply)

        self.put(writes, go)
        if new:
            self.settled(new)

    def _pass(self, to: str, message: Message) -> None:
        if to == self.stock.me:
            self.soon(self.heard, to, message)
        else:
            self.send(to, message)

    def _do(self, out: Out) -> None:
        if out.writes:
            self.put(out.writes, lambda: None)
        for to, message in out.sends:
            self._pass(to, message)
        for token, outcome in out.done:
            self.calls.pop(token)(outcome)
        if out.new or out.done:
            self.settled(out.new)
