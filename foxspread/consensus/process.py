"""One coordinator as a process: the core's inputs come from sockets, the disk and the clock, and its outputs
go there. Nothing is decided here.
"""

import asyncio
import contextlib
import json
import random
import re
import time
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from foxspread.config import ConfigError, address
from foxspread.consensus import messages
from foxspread.consensus.clock import Clock
from foxspread.consensus.coordinator import Answer, Coordinator, Out, Status
from foxspread.consensus.core import Contradiction, Role
from foxspread.consensus.disk import Disk
from foxspread.consensus.file import Told
from foxspread.consensus.messages import Foreign, Seat
from foxspread.consensus.versions import TEXT_MOST, Conflict, Done, Misused, Put, Version
from foxspread.consensus.wire import Link, Server
from foxspread.net import http

WAIT_MOST = 30.0  # seconds that a watch may wait
PAGE = 500  # versions in one answer of the history
STATUS = {Status.DONE: 200, Status.ELSEWHERE: 421, Status.REFUSED: 400, Status.UNKNOWN: 504}
ID = re.compile(r"[A-Za-z0-9._:-]{1,64}")


class Process:
    """`check` looks at a content before it is proposed and raises `ConfigError`."""

    disk_kind, host_kind = Disk, Coordinator

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        told: Told,
        check: Callable[[bytes], Any],
        clock: Clock | None = None,
    ) -> None:
        self.loop, self.told, self.check, self.clock = loop, told, check, clock or Clock()
        # identities must differ between disks; nothing is to be replayed here
        chance = random.SystemRandom()
        self.chance = chance.random
        self.disk = self.disk_kind(told.folder, told.fleet, told.name, f"{chance.getrandbits(64):016x}")
        saved = self.disk.open()
        members = {} if told.joins else {each: Seat(at) for each, at in told.members.items()}
        self.host = self.host_kind(
            self.clock(),
            told.name,
            told.fleet,
            saved,
            members,
            told.settings,
            self.chance,
            patience=told.patience,
            **told.more,
        )
        self.disk.done = lambda number: loop.call_soon_threadsafe(self._input, self.host.confirmed, number)
        self.disk.failed = lambda why: loop.call_soon_threadsafe(self._failed, why)
        self.links: dict[str, Link] = {}
        self.waiting: dict[int, asyncio.Future[Answer]] = {}
        self.tokens = 0
        self.timer: asyncio.TimerHandle | None = None
        self.strangers: dict[str, int] = {}  # messages that were refused, by why
        self.received, self.role, self.began = 0, "", self.clock()
        self.server = Server(loop, told.listen, self.handle)

    # The core

    def _input(self, call: Callable[..., None], *args: Any) -> None:
        try:
            call(self.clock(), *args)
        except Contradiction as error:  # nothing more may be promised; what is known is still told
            logger.critical("{}", error)
            self.host.disk_failed(self.clock(), str(error))
        self._drain()

    def _failed(self, why: str) -> None:
        logger.critical("the disk fails: {}; this coordinator votes no more", why)
        self._input(self.host.disk_failed, why)

    def _drain(self) -> None:
        out: Out = self.host.take(self.clock())
        for write in out.writes:
            self.disk.put(write)
        for envelope in out.messages:
            self._link(envelope.to).put(messages.encoded(envelope))
        for answer in out.answers:
            future = self.waiting.pop(answer.token, None)
            if future is not None and not future.done():
                future.set_result(answer)
        if (role := f"{self.host.member.role.value} term={self.host.member.term}") != self.role:
            self.role = role
            logger.info("{} leader={} {}", role, self.host.member.leader or "-", self.host.member.barred)
        if self.timer is not None:
            self.timer.cancel()
        wake = self.host.wake_at()
        self.timer = (
            None
            if wake == float("inf")
            else self.loop.call_later(max(0.0, wake - self.clock()) + 0.0005, self._input, self.host.tick)
        )

    def _link(self, to: str) -> Link:
        """Connections to those that are members, or were named as such; the addresses of the agreed ones go
        first."""
        seat = self.host.member.members.get(to)
        told = self.told.reach.get(to) or (seat.address if seat else self.told.members.get(to, ""))
        link = self.links.get(to)
        if link is None or told and str(link.address) != told:
            if link is not None:
                link.close()
            link = self.links[to] = Link(self.loop, to, address(told or "127.0.0.1:1", to), self.chance)
        return link

    # Calls

    async def handle(self, message: http.Message) -> tuple[int, bytes]:
        path, _, _ = message.target.partition(b"?")
        path = path.decode("latin-1")
        if path == "/peer" and message.method == b"POST":
            return self._peer(bytes(message.body))
        try:
            return await self._call(message, path)
        except (ConfigError, msgspec.DecodeError, ValueError) as error:
            return told(400, status="refused", why=str(error))

    def _peer(self, body: bytes) -> tuple[int, bytes]:
        try:
            envelope = messages.envelope(body, self.told.fleet, self.told.name)
        except Foreign as error:
            why = str(error)[:200]
            if why in self.strangers or len(self.strangers) < 100:
                if why not in self.strangers:
                    logger.warning("refused: {}", why)
                self.strangers[why] = self.strangers.get(why, 0) + 1
            return 403, f"{why}\n".encode()
        if (
            ID.fullmatch(envelope.sender) is None
            or envelope.sender not in self.links
            and len(self.links) > 32
        ):
            return 403, b"an id that can't be one\n"
        self.received += 1
        if envelope.sender in self.links:
            self.links[envelope.sender].hurry()
        self._input(self.host.receive, envelope)
        return 200, b""

    async def _call(self, message: http.Message, path: str) -> tuple[int, bytes]:
        call = (message.method, path)
        if call == (b"GET", "/status"):
            return told(200, **self.status())
        if call == (b"GET", "/history"):
            return self._history(message)
        if call == (b"POST", "/rules"):
            return await self._put(message)
        if call == (b"GET", "/watch"):
            known, wait = waits(message)
            return self._answered(await self._ask(self.host.watch, known, wait), whole=True)
        if message.method == b"GET" and path.startswith("/rules"):
            number = path.removeprefix("/rules").strip("/")
            if number and not (number.isascii() and number.isdigit() and len(number) < 12):
                raise ValueError(f"'{number[:40]}' is no version's number")
            return self._answered(await self._ask(self.host.get, int(number or 0)), whole=True)
        if call == (b"POST", "/members"):
            wish = msgspec.json.decode(message.body, type=dict[str, str | None])
            if ID.fullmatch(name := wish.get("name") or "") is None:
                raise ValueError(f"'name' must be an id, not {name[:60]!r}")
            at = str(address(wish["address"], "address")) if wish.get("address") else None
            return self._answered(await self._ask(self.host.change, name, at))
        if call == (b"POST", "/hand-over"):
            to = msgspec.json.decode(message.body, type=dict[str, str]).get("to", "")
            return self._answered(await self._ask(self.host.hand_over, to))
        return told(
            404, status="refused", why=f"no such call: {message.method.decode('latin-1')} {path[:60]}"
        )

    async def _ask(self, call: Callable[..., None], *args: Any) -> Answer:
        self.tokens += 1
        token = self.tokens
        future = self.waiting[token] = self.loop.create_future()
        try:
            self._input(lambda now: call(now, token, *args))
            return await future
        finally:
            self.waiting.pop(token, None)
            self.host.left(token)

    def look(self, content: bytes, wish: dict[str, Any]) -> None:
        """A further look at a content that is sound, beside the latest version. Raises `ConfigError`."""

    async def _put(self, message: http.Message) -> tuple[int, bytes]:
        wish = msgspec.json.decode(message.body, type=dict[str, Any])
        content = wish.get("content")
        if not isinstance(content, str):
            raise ValueError("'content' must be text")
        request, expected = wish.get("request"), wish.get("if_version", -1)
        if not isinstance(request, str) or ID.fullmatch(request) is None:
            raise ValueError("'request' must be an id, drawn once for all tries of one put")
        if not isinstance(expected, int) or isinstance(expected, bool):
            raise ValueError("'if_version' must be a number")
        texts = [wish.get(key, "") for key in ("who", "why")]
        if not all(isinstance(each, str) and len(each) <= TEXT_MOST for each in texts):
            raise ValueError(f"'who' and 'why' must be texts of at most {TEXT_MOST} characters")
        refusals = wish.get("refusals", 0)
        if not isinstance(refusals, int) or isinstance(refusals, bool) or not 0 <= refusals < 1 << 20:
            raise ValueError("'refusals' must be a whole number from 0 on")
        self.check(content.encode())
        self.look(content.encode(), wish)
        put = Put(request, content.encode(), expected, texts[0], texts[1], time.time(), refusals)
        return self._answered(await self._ask(self.host.put, put), whole=False)

    def _answered(self, answer: Answer, whole: bool = False) -> tuple[int, bytes]:
        value, more = answer.value, {"leader": answer.leader, "coordinator": self.told.name}
        leader = self.host.member.members.get(answer.leader)
        if leader is not None:
            more["leader_address"] = leader.address
        if isinstance(value, Done):
            return told(200, status="done", version=shown(value.version, whole), **more)
        if isinstance(value, Conflict):
            return told(
                409,
                status="conflict",
                expected=value.expected,
                latest=shown(value.latest, False) if value.latest else None,
                **more,
            )
        if isinstance(value, Misused):
            return told(
                409,
                status="refused",
                why="this request's id has written another content",
                version=shown(value.version, False),
                **more,
            )
        if isinstance(value, Version):
            return told(200, status="done", version=shown(value, whole), **more)
        if answer.status is Status.DONE:
            return told(200, status="done", version=None, **more)
        return told(STATUS[answer.status], status=answer.status.name.lower(), why=str(value), **more)

    def _history(self, message: http.Message) -> tuple[int, bytes]:
        """Versions that this member has, the latest first; all that a member shows is agreed on."""
        before = http.parameter(message.target, "before") or "0"
        if not (before.isascii() and before.isdigit() and len(before) < 12):
            raise ValueError(f"'before' must be a version's number, not {before[:40]!r}")
        versions = self.host.versions
        first = min(int(before) or versions.latest + 1, versions.latest + 1) - 1
        found = [
            versions.by_number[each]
            for each in range(first, max(0, first - PAGE), -1)
            if each in versions.by_number
        ]
        return told(200, status="done", versions=[shown(each, False) for each in found])

    def status(self) -> dict[str, Any]:
        member, now = self.host.member, self.clock()
        return {
            "fleet": self.told.fleet,
            "name": self.told.name,
            "role": member.role.value,
            "term": member.term,
            "leader": member.leader,
            "why": member.barred,
            "committed": member.committed,
            "applied": member.applied,
            "last": member.log.last,
            "snapshot": member.snapshot.index,
            "version": self.host.versions.latest,
            "members": {
                each: {
                    "address": seat.address,
                    "votes": seat.voter,
                    "up": each == self.told.name or each in self.links and self.links[each].up,
                    "trouble": self.links[each].refusal if each in self.links else "",
                }
                for each, seat in member.members.items()
            },
            "up_for": round(now - self.began, 3),
            "received": self.received,
            "refused": dict(self.strangers),
            "sent": sum(each.sent for each in self.links.values()),
            "dropped": sum(each.dropped for each in self.links.values()),
            "disk": {
                "commits": self.disk.commits,
                "records": self.disk.records,
                "slowest": round(self.disk.slowest, 6),
                "seconds": round(self.disk.seconds, 6),
            },
            "waiting": len(self.host.calls),
            "connections": len(self.server.talks),
        }

    async def run(self, stop: asyncio.Event) -> None:
        logger.info(
            "coordinator {} of {} listen={} folder={}",
            self.told.name,
            self.told.fleet,
            self.server.address,
            self.told.folder,
        )
        self._input(self.host.tick)
        await stop.wait()
        await self._hand_over()
        self.server.close()
        for link in self.links.values():
            link.close()
        if self.timer is not None:
            self.timer.cancel()
        await self.loop.run_in_executor(None, self.disk.close)

    async def _hand_over(self) -> None:
        """A leader that ends gives its place to the one that has most, rather than let the others find
        out."""
        member = self.host.member
        if to := member.heir():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2 * self.told.settings.election):
                    await self._ask(self.host.hand_over, to)
                    while member.role is Role.LEADER:
                        await asyncio.sleep(0.01)


def waits(message: http.Message) -> tuple[int, float]:
    """What a watch knows already, and for how long it waits. Raises ValueError."""
    known, wait = (http.parameter(message.target, each) or "0" for each in ("known", "wait"))
    if not (known.isascii() and known.isdigit() and len(known) < 12 and wait.isascii() and wait.isdigit()):
        raise ValueError(f"'known' and 'wait' must be whole numbers, not {known[:20]!r}, {wait[:20]!r}")
    return int(known), min(float(wait), WAIT_MOST)


def told(code: int, **values: Any) -> tuple[int, bytes]:
    return code, json.dumps(values).encode() + b"\n"


def shown(version: Version, whole: bool) -> dict[str, Any]:
    found = {
        "number": version.number,
        "digest": version.digest,
        "follows": version.follows,
        "who": version.who,
        "why": version.why,
        "at": version.at,
        "request": version.request,
        "size": len(version.content),
    }
    return found | {"content": version.content.decode(errors="replace")} if whole else found
