"""A new version takes over while the old one serves: one owner at a time, over a Unix socket in the folder
that both share. The successor gets one record, begins to accept, says `serving`; only then the predecessor
stops accepting. Lookups stay where they are held. docs/design/handover.md has the choice; nothing is decided
here, and nothing of it runs without a passed socket.
"""

import asyncio
import json
import os
import socket
from collections.abc import Iterable
from typing import Any, Protocol

from loguru import logger

from foxspread.config import Address, ConfigError

VERSION = 1
LINE_MOST = 8 << 20  # bytes of one message, the record too: some 30,000 servers
RECORD_WAIT = 1.5  # for the predecessor's record; then a fresh start
SERVING_WAIT = 5.0  # for the successor's word, after which the predecessor goes on alone
TELL_WAIT = 0.7  # for the other process's word on a call by hand: callers wait a second
IDS_EVERY = 0.05


def inherited(number: int, listen: Address) -> socket.socket:
    """The listening socket that the platform holds. It is shared: let go of, never shut down."""
    name = f"'EDGE_PASSED_SOCKET' ({number})"
    try:
        sock = socket.socket(fileno=number)
        listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        at = Address(*sock.getsockname()[:2]) if sock.family in (socket.AF_INET, socket.AF_INET6) else None
    except OSError as error:
        raise ConfigError(f"{name} is no open socket: {error.strerror}") from None
    if not listens or at != listen:
        sock.detach()
        raise ConfigError(
            f"{name} must listen at 'listen' ({listen}), not "
            + (f"be at {at}" if not listens else f"at {at}")
        )
    sock.setblocking(False)
    return sock


class Party(Protocol):
    """What the handover needs of the sidecar."""

    def state(self) -> dict[str, Any]: ...

    def restore(self, state: Any) -> None:
        """ValueError, and nothing taken, where that is no state."""

    def yields(self, on: bool) -> None:
        """Whether a successor has the record: the cold servers' budget is its then."""

    def begin(self) -> None: ...

    def leave(self) -> None: ...

    def alone(self) -> None:
        """The predecessor has ended."""

    def turned(self, server: str, out: bool) -> bool: ...

    def taken_elsewhere(self, ids: Iterable[str]) -> None: ...


class Link:
    """Lines of JSON, either way."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop, self.sock, self.lock = loop, sock, asyncio.Lock()
        self.rest, self.buffer = bytearray(), bytearray(1 << 16)
        self.asked: dict[int, asyncio.Future[bool]] = {}
        self.count, self.serving = 0, False  # serving: the successor has said so on it

    async def read(self) -> dict[str, Any] | None:
        """None at the end; ValueError on what cannot be read."""
        while (at := self.rest.find(b"\n")) < 0:
            if len(self.rest) > LINE_MOST:
                raise ValueError(f"a message of more than {LINE_MOST} bytes")
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            if size == 0:
                return None
            self.rest += memoryview(self.buffer)[:size]
        line, self.rest = self.rest[:at], self.rest[at + 1 :]
        try:
            message = json.loads(line)
        except RecursionError:
            raise ValueError("nested too deeply") from None
        if not isinstance(message, dict):
            raise ValueError("no object")
        return message

    async def write(self, message: dict[str, Any]) -> None:
        data = json.dumps(message).encode() + b"\n"
        async with self.lock:
            await self.loop.sock_sendall(self.sock, data)

    async def ask(self, message: dict[str, Any]) -> bool:
        """False also where the other process has ended: TimeoutError where it hangs."""
        self.count += 1
        answer = self.asked[self.count] = self.loop.create_future()
        try:
            async with asyncio.timeout(TELL_WAIT):
                await self.write(message | {"number": self.count})
                return await answer
        except OSError as error:
            if isinstance(error, TimeoutError):
                raise
            return False
        finally:
            self.asked.pop(self.count, None)

    def ended(self) -> None:
        for answer in self.asked.values():
            if not answer.done():
                answer.set_result(False)


class Handover:
    def __init__(self, loop: asyncio.AbstractEventLoop, path: str, party: Party) -> None:
        self.loop, self.path, self.party = loop, path, party
        self.links: dict[Link, asyncio.Task] = {}
        self.heir: Link | None = None  # to whom we have told our state
        self.settled = asyncio.Event()  # it is known who owns what: we do, from then on
        self.sock: socket.socket | None = None
        self.others: set[asyncio.Task] = set()
        self.ids: list[str] = []

    async def start(self) -> None:
        link = await self._take_over()
        self.party.begin()
        if link is not None:
            try:
                await link.write({"serving": True})
            except OSError as error:  # killed half-way: that costs what it held
                logger.warning("handover: the predecessor ended: {}", error)
            self._task(self._follow(link, "predecessor"), link)
        self.settled.set()
        self._listen()

    def predecessor_there(self) -> bool:
        return os.path.exists(self.path)

    async def _take_over(self) -> Link | None:
        """The link to a predecessor whose state is restored; None after a fresh start, the log tells why."""
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            sock.connect(self.path)
        except OSError as error:
            sock.close()
            if not isinstance(error, FileNotFoundError):  # a stale file; refused; a path too long for it
                logger.warning("handover: a fresh start, nobody answers at {}: {}", self.path, error)
            return None
        link = Link(self.loop, sock)
        try:
            async with asyncio.timeout(RECORD_WAIT):
                await link.write({"hello": VERSION})
                told = await link.read()
            if told is None:
                raise ValueError("it ended")
            if told.get("version") != VERSION or "state" not in told:
                raise ValueError(f"version {told.get('version')!r} of the record, or none, not {VERSION}")
            self.party.restore(told["state"])
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            logger.warning("handover: a fresh start: {}", error or "no record in time")
            sock.close()
            return None
        logger.info("handover: state taken over")
        return link

    async def forward(self, server: str, out: bool) -> bool:
        """A call by hand before we own anything: the predecessor's to answer, or ours once there is none."""
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            sock.connect(self.path)
        except OSError:
            sock.close()
            async with asyncio.timeout(TELL_WAIT):
                await self.settled.wait()
            return self.party.turned(server, out)
        link = Link(self.loop, sock)
        self._task(self._follow(link, "predecessor that a call went to"), link)
        try:
            return await link.ask({"server": server, "out": out})
        finally:
            if link in self.links:
                self.links[link].cancel()

    def _listen(self) -> None:
        """For a successor of our own; under a name of ours first, so that the old one's is never missing."""
        own = f"{self.path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.setblocking(False)
            if os.path.exists(own):
                os.unlink(own)
            sock.bind(own)
            os.chmod(own, 0o600)
            sock.listen(4)
            os.replace(own, self.path)
        except OSError as error:
            sock.close()
            logger.warning("handover: no successor can take over, {}: {}", self.path, error)
            return
        self.sock = sock
        self.loop.add_reader(sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        link = Link(self.loop, sock)
        self._task(self._hand_over(link), link)

    def _task(self, work, link: Link | None = None) -> None:
        task = self.loop.create_task(work)
        if link is not None:
            self.links[link] = task
        else:
            self.others.add(task)
            task.add_done_callback(self.others.discard)

    async def _hand_over(self, link: Link) -> None:
        """To one successor at a time. Unless it says in time that it serves, nothing has been."""
        try:
            async with asyncio.timeout(RECORD_WAIT):
                hello = await link.read()
            if hello is not None and "server" in hello:  # a call that went to a successor too early
                self._told(link, hello)
                return await self._follow(link, "successor")
            if hello is None or hello.get("hello") != VERSION or self.heir is not None:
                told = hello and hello.get("hello")
                logger.warning(
                    "handover: no record for version {!r}{}",
                    told,
                    ", another successor has it" if self.heir else "",
                )
                await link.write({"version": VERSION})
                return self._over(link)
            self.heir = link
            self.party.yields(True)
            await link.write({"version": VERSION, "state": self.party.state()})
            logger.info("handover: state told")
            limit = self.loop.call_later(SERVING_WAIT, self._hung, link)
        except (OSError, ValueError) as error:
            logger.warning("handover: the successor failed: {}", error or "nothing came")
            return self._over(link)
        try:
            await self._follow(link, "successor")
        finally:
            limit.cancel()

    def _hung(self, link: Link) -> None:
        if not link.serving and link in self.links:
            logger.warning("handover: the successor does not serve")
            self.links[link].cancel()

    async def _follow(self, link: Link, whom: str) -> None:
        try:
            while (message := await link.read()) is not None:
                self._told(link, message)
        except (OSError, ValueError) as error:
            logger.warning("handover: the {}: {}", whom, error)
        finally:
            logger.info("handover: the link to the {} has ended", whom)
            self._over(link, whom == "predecessor")

    def _over(self, link: Link, predecessor: bool = False) -> None:
        self.links.pop(link, None)
        link.ended()
        link.sock.close()
        if link is self.heir and not link.serving:
            self.heir = None
            self.party.yields(False)
        if predecessor:
            self.party.alone()

    def _told(self, link: Link, message: dict[str, Any]) -> None:
        if message.get("serving") and link is self.heir and not link.serving:
            link.serving = True
            self._close_socket()
            self.party.leave()
        elif "server" in message:
            server, out = str(message["server"]), bool(message.get("out"))
            self._task(self._turn(link, server, out, message.get("number")))
        elif "yes" in message:
            answer = link.asked.get(message.get("number"))
            if answer is not None and not answer.done():
                answer.set_result(bool(message["yes"]))
        elif "ids" in message:
            self.party.taken_elsewhere(map(str, message["ids"]))

    async def _turn(self, link: Link, server: str, out: bool, number: Any) -> None:
        yes = self.party.turned(server, out)
        try:
            yes = await self.tell(server, out, link) or yes
            await link.write({"yes": yes, "number": number})
        except OSError as error:  # whoever asked runs into its own time-out
            logger.warning("handover: {}", error or "the other process does not answer")

    async def tell(self, server: str, out: bool, but: Link | None = None) -> bool:
        """A call by hand, to the processes linked to this one and through them to theirs."""
        others = [link for link in self.links if link is not but]
        return any([await link.ask({"server": server, "out": out}) for link in others])

    def taken(self, id: str) -> None:
        """An id that was taken here: the other process must not take it too."""
        if self.links:
            if not self.ids:
                self.loop.call_later(IDS_EVERY, self._tell_ids)
            self.ids.append(id)

    def _tell_ids(self) -> None:
        ids, self.ids = self.ids, []
        for link in self.links:
            if not link.lock.locked():  # guards against growth while the other process hangs
                self._task(self._write(link, {"ids": ids}))

    async def _write(self, link: Link, message: dict[str, Any]) -> None:
        try:
            await link.write(message)
        except OSError:
            pass  # its reader sees the end too

    def _close_socket(self) -> None:
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    async def close(self) -> None:
        self._close_socket()  # the name stays: nobody is there, or who has taken it over
        tasks = [*self.links.values(), *self.others]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
