"""Puts stock, writer, disk and links together on a machine with a disk; decides nothing but the order of
things: written, then sent, then told.
"""

import asyncio
from collections.abc import Callable

from foxspread.orchard.graft.items import Item
from foxspread.orchard.log import say
from foxspread.orchard.outcome import unsettled
from foxspread.orchard.rootstock.copy import Ballot, unrow
from foxspread.orchard.rootstock.disk import Disk
from foxspread.orchard.rootstock.stock import Message, Stock
from foxspread.orchard.rootstock.writer import Out, Writer

ASKED = ("prepare", "accept")  # of a stock
TOLD = ("promise", "nack", "behind", "accepted")  # to a writer
PATIENCE_S = 0.85  # for a call: the caller goes elsewhere after a second
SETTLE_S = 0.35  # after which what is accepted and not settled is taken up by whoever notices
ENROL_S = 0.25  # between askings of one whose disk came back empty


class Keeper:
    def __init__(
        self,
        clock: Callable[[], float],
        life: str,
        draw: Callable[[], float],
        disk: Disk,
        send: Callable[[str, Message], bool],
        settled: Callable[[list[Item]], None],
    ) -> None:
        self.clock, self.life, self.draw, self.disk = clock, life, draw, disk
        self.send, self.settled = send, settled
        self.stock: Stock | None = None
        self.writer: Writer | None = None
        self.calls: dict[int, asyncio.Future] = {}
        self.count = 0
        self.unsettled_at: tuple[Ballot, float] | None = None
        self.fresh = False  # since its start it has seen all that was settled before
        self.reading = False
        self.next_enrol = 0.0

    def begin(self, stock: Stock) -> None:
        self.stock, self.writer = stock, Writer(stock, self.life, self.draw)
        self.disk.put(stock.first(), lambda: None)
        self.settled(list(stock.copy.items.values()))

    def submit(self, items: list[Item]) -> asyncio.Future:
        """True, or a failure, within `PATIENCE_S`; without items a read: True once this copy is as new as
        any."""
        future = asyncio.get_running_loop().create_future()
        if self.stock is None or not self.stock.serves:
            future.set_result(unsettled("the state is not known here yet"))
            return future
        self.count += 1
        self.calls[self.count] = future
        self._do(self.writer.submit(self.clock(), self.count, items, self.clock() + PATIENCE_S))
        return future

    def heard(self, sender: str, message: Message) -> None:
        """From another keeper, or itself; `sender`: who it is among the members."""
        if self.stock is None:
            return
        kind = message["t"]
        if kind in ASKED:
            writes, reply = getattr(self.stock, kind)(message)
            self._reply(sender, writes, reply)
        elif kind == "enrol":
            self._reply(sender, *self.stock.enrol(sender, message))
        elif kind == "enrolled":
            if (found := self.stock.take_in(sender, message)) is not None:
                say("caught_up", members=len(self.stock.members), upto=self.stock.copy.upto[0])
                self.disk.put(found[0], lambda: None)
                self.settled(found[1])
        elif kind in TOLD:
            self._do(self.writer.heard(self.clock(), sender, message))

    def learn(self, upto: Ballot, rows: list) -> None:
        """News of the settled set, from another copy."""
        if self.stock is None or not self.stock.serves:
            return
        writes, new = self.stock.learn(upto, map(unrow, rows))
        self.disk.put(writes, lambda: None)
        self.settled(new)

    def peer_settled(self, at: Ballot) -> None:
        """Another has settled that: if it is what was accepted here, nothing need be pulled."""
        if self.stock is not None and self.stock.voting and (found := self.stock.settle(at)) is not None:
            self.disk.put(found[0], lambda: None)
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
            self.submit([]).add_done_callback(self._read)
        if not stock.unsettled:
            self.unsettled_at = None
        elif self.unsettled_at is None or self.unsettled_at[0] != stock.accepted:
            place = stock.members.index(stock.me) if stock.me in stock.members else len(stock.members)
            self.unsettled_at = stock.accepted, now + SETTLE_S * (1 + 0.4 * place) + 0.1 * self.draw()
        elif now >= self.unsettled_at[1]:
            self.unsettled_at = None
            self._do(self.writer.nudge(now))

    def _read(self, future: asyncio.Future) -> None:
        self.reading = False
        if future.result() is True and not self.fresh:
            self.fresh = True
            say("state_known", upto=self.stock.copy.upto[0], items=len(self.stock.copy.items))
            self.settled([])

    def _reply(self, sender: str, writes: list, reply: Message | None) -> None:
        def go() -> None:
            if reply is not None:
                self._pass(sender, reply)

        self.disk.put(writes, go)

    def _pass(self, to: str, message: Message) -> None:
        if to == self.stock.me:
            asyncio.get_running_loop().call_soon(self.heard, to, message)
        else:
            self.send(to, message)

    def _do(self, out: Out) -> None:
        if out.writes:
            self.disk.put(out.writes, lambda: None)
        for to, message in out.sends:
            self._pass(to, message)
        for token, outcome in out.done:
            future = self.calls.pop(token, None)
            if future is not None and not future.done():
                future.set_result(outcome)
        if out.new or out.done:
            self.settled(out.new)
