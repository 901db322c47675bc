"""One process of the mesh: puts the parts together by what its settings say. It decides nothing about
requests, state or servers; its own are only the order of start and end, and whom it keeps links to.
"""

import asyncio
import logging
import os
import random
import signal
import time
import traceback
from typing import Any

from foxspread.orchard.events.journal import Event, Journal
from foxspread.orchard.dataplane.caller import CallerDesk
from foxspread.orchard.dataplane.errand import Steering
from foxspread.orchard.dataplane.hop import Hop, HopDesk
from foxspread.orchard.dataplane.lanes import Lanes
from foxspread.orchard.dataplane.lasthop import LastHop
from foxspread.orchard.dataplane.memory import share
from foxspread.orchard.dataplane.serving import Desk, Serving
from foxspread.orchard.control.configuration import Configuration
from foxspread.orchard.control.desk import ControlDesk, ReadyDesk
from foxspread.orchard.control.instances import Instances
from foxspread.orchard.configuration.items import LIMITS, Item
from foxspread.orchard.configuration.routes import RouteTable
from foxspread.orchard.registry.lives import Lives
from foxspread.orchard.registry.records import LEAVING, UP, Record, Records, record
from foxspread.orchard.membership.exchange import Exchange
from foxspread.orchard.membership.views import Neighbour, View, neighbour
from foxspread.orchard.log import say
from foxspread.orchard.outcome import Broken, Failure
from foxspread.orchard.messaging.datagrams import Datagrams
from foxspread.orchard.messaging.link import Link
from foxspread.orchard.health.upstreams import Upstreams
from foxspread.orchard.replication.copy import Copy, row, unrow
from foxspread.orchard.replication.disk import Disk
from foxspread.orchard.replication.keeper import Keeper
from foxspread.orchard.replication.acceptor import Acceptor
from foxspread.orchard.settings import Address, Settings, moved, read, shown
from foxspread.sums import Chance

TICK_S = 0.1
DIAL_S = 0.6  # for a link to come up
REDIAL_S = 0.12  # after a refusal: whoever refuses is about to be there
DIALS_MOST = 5  # links to machines with a disk that a sidecar keeps
QUIET_S = 2.3  # after SIGTERM, by when the platform has missed twice and sends nobody here any more
BACK_S = 1.5  # after its start, by when the platform sends callers to a sidecar again
LAST_S = 1.7  # of the time that the platform gives, in which what is under way is answered in any case
SPREAD_S = 0.7  # for others to learn of a drain, before the server is told to ask again
SETTLED = "="  # the source of the settled set, among those of records
SIDES_AFTER_S = 0.8  # without a link to any machine with a disk, neighbours are asked for news
SIDES_MOST = 2  # of them


class Node:
    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        self.settings, self.loop = settings, loop
        self.clock = loop.time
        self.life = f"{int(time.time() * 1000):x}{os.urandom(3).hex()}"
        self.chance = Chance(int.from_bytes(os.urandom(4), "big"))
        self.journal = Journal(self.clock)
        self.member = (
            shown(settings.counters["control"]) if settings.keeps and "control" in settings.counters else ""
        )
        # State: what is settled, who says what of itself.
        self.table, self.records, self.upstreams = RouteTable(), Records(), None
        self.upstreams = Upstreams(self.records)
        self.journal.view("settled", self._fold_items)
        self.journal.view("record", self._fold_record)
        self.copy = Copy()
        self.keeper: Keeper | None = None
        self.exchange = Exchange(self._tells)
        self.number, self.record_life = 0, int(time.time() * 1000)
        self.state, self.knows_records = UP, False
        # Links.
        self.links: dict[str, Link] = {}
        self.unnamed: set[Link] = set()
        self.cores: dict[Address, str] = {each: "" for each in settings.seed_addresses()}  # and who is there
        self.dialling: dict[Address, float] = {}
        self.flushing = False
        self.members: dict[str, str] = {}  # control address -> node
        me = Neighbour(settings.node, settings.inner, settings.keeps)
        self.view, self.datagrams = View(me, self.chance.draw), Datagrams(self._shuffled)
        self.alone_since: float | None = self.clock()  # without a link to any machine with a disk
        # The path.
        self.lives = Lives(settings.heartbeat_s, settings.zone)
        self.steering = Steering(settings.zone, self.upstreams, settings.bounds, self.chance, self._sidecars)
        bodies = share(settings.memory_mb)
        self.app_lanes = Lanes(self.clock, 6.0, share=bodies)
        self.lanes = Lanes(self.clock, 60.0, share=bodies, numbered=True)
        self.hop = Hop(
            self.clock, LastHop(self.lives, settings.app, settings.bounds["drain_s"]), self.app_lanes
        )
        self.caller_desk = CallerDesk(
            self.clock,
            settings.node,
            settings.service.encode(),
            self.steering,
            self.table,
            self._knows,
            self.lanes,
            self.hop,
        )
        self.desks: dict[str, Desk] = {}
        self.servers: list[asyncio.Server] = []
        self.ticked = self.clock()
        self.ending = False
        self.done = asyncio.Event()

    # Start and end.

    async def run(self) -> None:
        settings, loop = self.settings, self.loop
        loop.set_exception_handler(self._fault)
        loop.add_signal_handler(signal.SIGTERM, self._end)
        loop.add_signal_handler(signal.SIGINT, self._end)
        loop.add_signal_handler(signal.SIGHUP, self._reread)
        control = ControlDesk(
            self.clock, {"Instances": Instances(self.clock, self.lives, self._own_record, self._spread)}
        )
        self.desks = {
            "control": control,
            "ready": ReadyDesk(self.clock, self._ready),
            "inbound": HopDesk(self.clock, self.hop),
            "outbound": self.caller_desk,
        }
        if settings.keeps:
            disk = Disk(settings.data_dir, loop.call_soon_threadsafe)
            self.keeper = Keeper(
                self.clock, self.life, self.chance.draw, disk, self._send_member, self._settled
            )
        control.resources["Config"] = Configuration(self.keeper, self._a_core)
        for name, place in settings.counters.items():
            if (desk := self.desks.get(name)) is not None:
                self.servers.append(
                    await loop.create_server(lambda desk=desk: Serving(desk), *place, backlog=1024)
                )
        self.servers.append(await loop.create_server(self._link, *settings.inner, backlog=256))
        await loop.create_datagram_endpoint(lambda: self.datagrams, local_addr=settings.inner)
        self._own_record()
        say(
            "start",
            life=self.life,
            keeps=settings.keeps,
            serves=",".join(settings.serves),
            first=settings.first_start,
            seeds=",".join(settings.seeds),
        )
        if self.keeper is not None:
            saved = await loop.run_in_executor(
                None, self.keeper.disk.open, tuple(sorted(settings.seeds)), settings.first_start
            )
            self.keeper.disk.start()
            self.copy = (acceptor := Acceptor(self.member, saved)).copy
            self.keeper.begin(acceptor)
            say(
                "disk",
                disk=acceptor.disk,
                voting=acceptor.voting,
                upto=acceptor.copy.upto[0],
                items=len(acceptor.copy.items),
            )
        self._dial(self.clock())
        ticking = loop.create_task(self._tick())
        await self.done.wait()
        ticking.cancel()

    def _fault(self, loop: asyncio.AbstractEventLoop, told: dict[str, Any]) -> None:
        """What no part has made a value of: told, and survived, unless an invariant is broken."""
        error = told.get("exception")
        say("fault", logging.ERROR, what=told.get("message", ""), error=repr(error), where=_where(error))
        if isinstance(error, Broken):
            os._exit(70)

    def _end(self) -> None:
        if not self.ending:
            self.ending = True
            self.loop.create_task(self._wind_down())

    async def _wind_down(self) -> None:
        """Nobody is sent here any more; what was read is answered; then it ends."""
        grace, began = self.settings.bounds["grace_s"], self.clock()
        say("ending")
        self.state = LEAVING
        self._own_record()
        side = "outbound" in self.settings.counters
        if side:
            await asyncio.sleep(min(QUIET_S, 0.4 * grace))
            while self.clock() < began + grace - LAST_S and not self.records.spares(
                self.clock(), self.settings.node, self.settings.zone, BACK_S
            ):
                await asyncio.sleep(TICK_S)
        for desk in self.desks.values():
            desk.retire()
        await asyncio.sleep(0.1 if side else 0.3)
        for server in self.servers:
            server.close()
        for desk in self.desks.values():
            desk.end_idle()
        while self.clock() < began + grace - 0.5 and any(
            line.owes for desk in self.desks.values() for line in desk.lines
        ):
            await asyncio.sleep(0.02)
        say("end", after=self.clock() - began)
        self.done.set()

    def _reread(self) -> None:
        """At SIGHUP, and now and then: the file may also change without a signal."""
        new = read()
        if isinstance(new, Failure):
            return say("settings_refused", why=new.reason)
        new = moved(self.settings, new)
        if new != self.settings:
            self.settings = new
            for each in new.seed_addresses():
                self.cores.setdefault(each, "")
            self.caller_desk.caller = new.service.encode()
            say("settings", seeds=",".join(new.seeds), service=new.service)

    async def _tick(self) -> None:
        count, self.ticked = 0, self.clock()  # the start, with its disk, was no sleep
        while True:
            await asyncio.sleep(TICK_S)
            now = self.clock()
            slept, self.ticked = max(0.0, now - self.ticked - 4 * TICK_S), now
            if slept:
                say("slept", seconds=slept)
                self.lives.slept(slept)
            for link in [*self.links.values(), *self.unnamed]:
                link.beat(slept)
            if self.keeper is not None:
                self.keeper.tick()
            self._dial(now)
            if self.keeper is None:
                self._lean_on_neighbours(now)
            if (step := self.view.shuffle(now)) is not None:
                self.datagrams.send(*step)
            if self.lives.sweep(now):
                self._own_record()
            self._flush()
            count += 1
            if count % 5 == 0:
                for desk in self.desks.values():
                    desk.sweep(now)
                self.lanes.sweep()
                self.app_lanes.sweep()
            if count % 100 == 0:
                self.caller_desk.tell()
            if count % 20 == 0:
                self._reread()
                self.hop.core.sweep()

    # What it knows.

    def _knows(self) -> bool:
        return bool(self.copy.items)

    def _ready(self) -> bool:
        if self.ending or not self._knows():
            return False
        return self.keeper.fresh if self.keeper is not None else self.knows_records

    def _sidecars(self) -> int:
        return sum(1 for each in self.records.of.values() if each.inbound is not None)

    def _tells(self, peer: str, source: str) -> bool:
        """Machines with a disk hear of each sidecar from itself; neighbours without one hear of all."""
        if self.keeper is None:
            return source == self.settings.node or peer not in self.cores.values()
        return source != SETTLED or self.keeper.fresh

    def _settled(self, new: list[Item]) -> None:
        """Items in force that are new here, on a machine with a disk."""
        if new:
            self.journal.append("settled", new)
        self.exchange.have(SETTLED, self.copy.upto)
        self.exchange.dirty.add(SETTLED)
        self._soon()

    def _fold_items(self, event: Event) -> None:
        for item in event.body:
            self.table.put(item)
            if item.kind == LIMITS and item.content is not None:
                self._limit(item.content)
        routes = self.table.places
        self.steering.forget(lambda name: ("route", name) in routes)

    def _limit(self, told: dict[str, Any]) -> None:
        limits = self.caller_desk.limits
        limits.head = int(told.get("envelope_bytes", limits.head))
        most = int(
            self.settings.memory_mb * 1024 * 1024 / 8
        )  # kept whole: no body may take the machine's memory
        limits.body = min(most, int(told.get("contents_bytes", limits.body)))
        limits.head_s = float(told.get("envelope_s", limits.head_s))
        limits.idle_s = float(told.get("idle_s", limits.idle_s))

    def _fold_record(self, event: Event) -> None:
        self.upstreams.fold(self.clock(), event.body)

    def _own_record(self) -> None:
        self.number += 1
        place = self.settings.counters.get("inbound")
        mine = record(
            [
                self.settings.node,
                [self.record_life, self.number],
                self.settings.zone,
                self.state,
                shown(place) if place else "",
                self.lives.rows(self.clock()),
            ]
        )
        self._take_record(mine)

    def _take_record(self, new: Record) -> None:
        if self.records.take(self.clock(), new):
            self.exchange.have(new.node, new.version)
            self.journal.append("record", new.node)
            self._soon()

    async def _spread(self) -> bool:
        """Whether others know this sidecar's own record by now."""
        version, until = (self.record_life, self.number), self.clock() + SPREAD_S
        while True:
            cores = [name for name in self.cores.values() if name in self.links]
            known = self.exchange.known_by(self.settings.node, version, cores)
            if known and known >= min(len(cores), max(1, (len(self.cores) + 1) // 2)):
                return True
            if self.clock() >= until:
                return known > 0
            await asyncio.sleep(0.01)

    # Links.

    def _link(self) -> Link:
        return Link(self.clock, self._opened, self._heard, self._ended)

    def _opened(self, link: Link) -> None:
        self.unnamed.add(link)
        hello = {
            "t": "hello",
            "node": self.settings.node,
            "member": self.member,
            "inner": list(self.settings.inner),
            "cores": [list(each) for each, name in self.cores.items() if name],
        }
        link.send(hello)

    def _ended(self, link: Link) -> None:
        self.unnamed.discard(link)
        if link.peer is not None and self.links.get(link.peer) is link:
            del self.links[link.peer]
            self.exchange.left(link.peer)
            say("link_ended", peer=link.peer, why=link.why)

    def _dial(self, now: float) -> None:
        """Machines with a disk are called by all others; of two of them the lower address calls, but seeds
        are called by any that is none: they may not know of it."""
        own, seeds = self.settings.inner, self.settings.seed_addresses()
        called = set(self.cores)
        if self.keeper is not None:
            called = {each for each in called if own < each or own not in seeds and each in seeds}
        places = [each for each in self.cores if each in called and each != own]
        held = 0
        for place in places:
            if self.cores[place] in self.links or now < self.dialling.get(place, 0.0):
                held += 1
                continue
            if held >= DIALS_MOST:
                break
            held += 1
            self.dialling[place] = now + DIAL_S * (1 + 0.5 * self.chance.draw())
            self.loop.create_task(self._call(place))

    def _lean_on_neighbours(self, now: float) -> None:
        """Where no machine with a disk can be reached, a few others are asked for news until one can."""
        cores = self.cores.values()
        if any(name in self.links for name in cores):
            self.alone_since = None
            for name, link in list(self.links.items()):
                if link.dialled is not None and name not in cores:
                    link.close("a machine with a disk is reached")
        elif self.alone_since is None:
            self.alone_since = now
        elif now - self.alone_since > SIDES_AFTER_S and len(self.links) < SIDES_MOST:
            for each in self.view.some_sides(SIDES_MOST - len(self.links)):
                if each.node not in self.links and now >= self.dialling.get(each.place, 0.0):
                    self.dialling[each.place] = now + DIAL_S * (1 + 0.5 * self.chance.draw())
                    self.loop.create_task(self._call(each.place))

    def _shuffled(self, message: dict[str, Any]) -> None:
        answer = self.view.heard(message)
        if answer is not None:
            self.datagrams.send(neighbour(message["view"][0]).place, answer)
        for each in self.view.of.values():
            if each.keeps:
                self.cores.setdefault(each.place, "")

    async def _call(self, place: Address) -> None:
        try:
            async with asyncio.timeout(DIAL_S):
                _, link = await self.loop.create_connection(self._link, *place)
        except TimeoutError:
            return
        except OSError:
            self.dialling[place] = self.clock() + REDIAL_S * (1 + self.chance.draw())
            return
        link.dialled = place

    def _heard(self, link: Link, message: dict[str, Any]) -> None:
        kind = message.get("t")
        if kind == "hello":
            return self._met(link, message)
        if link.peer is None:
            return link.close("no hello")
        if kind == "have":
            self.exchange.told(link.peer, {source: tuple(v) for source, v in message["v"].items()})
            self._noticed(message["v"])
            self._soon()
        elif kind == "pull":
            link.send(self._news(message["v"]))
        elif kind == "news":
            self._take_news(message)
        elif self.keeper is not None and link.peer in self.members.values():
            sender = next(member for member, node in self.members.items() if node == link.peer)
            self.keeper.heard(sender, message)

    def _met(self, link: Link, hello: dict[str, Any]) -> None:
        self.unnamed.discard(link)
        link.peer = name = hello["node"]
        if (old := self.links.get(name)) is not None and old is not link:
            old.close("a newer link")
        self.links[name] = link
        self.view.met(Neighbour(name, tuple(hello["inner"]), bool(hello["member"])))
        if hello["member"]:
            self.cores[tuple(hello["inner"])] = name
            self.members[hello["member"]] = name
        for each in hello["cores"]:
            self.cores.setdefault(tuple(each), "")
        self.exchange.met(name)
        link.send({"t": "have", "v": self.exchange.whole(name)})
        say("link", peer=name)
        if hello["member"] and self.keeper is not None:
            self.keeper.reached(hello["member"])

    def _noticed(self, versions: dict[str, list]) -> None:
        told = versions.get(self.settings.node)
        if told is not None and told[0] > self.record_life:  # of an earlier life, with a clock ahead
            self.record_life = told[0] + 1
            self._own_record()
        if SETTLED in versions and self.keeper is not None:
            self.keeper.peer_settled(tuple(versions[SETTLED]))

    def _news(self, wanted: dict[str, list]) -> dict[str, Any]:
        news: dict[str, Any] = {"t": "news"}
        if SETTLED in wanted:
            since = tuple(wanted[SETTLED]) or (0, "")
            news["upto"] = self.copy.upto
            news["rows"] = [row(*each) for each in self.copy.since(since)]
        found = [self.records.of[source].packed() for source in wanted if source in self.records.of]
        if found:
            news["records"] = found
        return news

    def _take_news(self, news: dict[str, Any]) -> None:
        if "upto" in news:
            upto = tuple(news["upto"])
            if self.keeper is not None:
                self.keeper.learn(upto, news["rows"])
            elif upto >= self.copy.upto:
                new = self.copy.fold(upto, map(unrow, news["rows"]))
                if new:
                    self.journal.append("settled", new)
                self.exchange.have(SETTLED, self.copy.upto)
        for told in news.get("records", ()):
            self._take_record(record(told))
        self.knows_records = self.knows_records or bool(self.copy.items)
        self._soon()

    def _soon(self) -> None:
        """Notices and pulls go out once for all that changes in one turn of the loop."""
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        for peer, versions in self.exchange.notices():
            if peer in self.links:
                self.links[peer].send({"t": "have", "v": versions})
        for peer, wanted in self.exchange.pulls(self.clock()):
            if peer in self.links:
                self.links[peer].send({"t": "pull", "v": wanted})

    def _send_member(self, member: str, message: dict[str, Any]) -> bool:
        link = self.links.get(self.members.get(member, ""))
        if link is not None:
            link.send(message)
        return link is not None

    def _a_core(self) -> str | None:
        """The control address of a machine with a disk that this one has a link to."""
        linked = [member for member, node in self.members.items() if node in self.links]
        return random.choice(linked) if linked else None


def _where(error: BaseException | None) -> str:
    """The innermost of our own lines that it went through."""
    steps = traceback.extract_tb(error.__traceback__) if error is not None else []
    ours = [step for step in steps if "orchard" in step.filename]
    return f"{os.path.basename(ours[-1].filename)}:{ours[-1].lineno}" if ours else ""
