"""The watch on discovery: the list of servers and its changes, line by line. When to ask again after a
failure, with back-off and jitter, is the decisions' to say."""

import asyncio
import json
import socket
from collections.abc import Callable

from loguru import logger

from foxspread.config import Address, ConfigError, EndpointUpdate, parse_endpoint_update
from foxspread.net import http
from foxspread.net.pool import BUFFER, connect, write
from foxspread.net.reasons import Reason

LINE_MOST = 4 * 1024 * 1024


class LineReader(http.AnswerReader):
    """Of an answer that stays open; its lines may come split anywhere."""

    def __init__(self) -> None:
        super().__init__()
        self.rest = b""
        self.lines: list[bytes] = []

    def on_headers_complete(self) -> None:
        super().on_headers_complete()
        if self.message.status >= 300:
            raise http.BadMessage(self.message.status, f"discovery answered {self.message.status}")

    def on_body(self, part: bytes) -> None:
        *lines, self.rest = (self.rest + part).split(b"\n")
        self.lines += lines
        if len(self.rest) > LINE_MOST:
            raise http.BadMessage(413, "a line without an end")


class Discovery:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        version: int | None,
        listed: Callable[[EndpointUpdate], None],
        failed: Callable[[], None],
        silence: float,
        connect_time: float = 1.0,
    ) -> None:
        self.loop, self.address, self.version = loop, address, version
        self.listed, self.failed = listed, failed
        self.connect_time, self.silence = connect_time, silence
        self.task: asyncio.Task | None = None

    def start(self) -> None:
        if self.task is None:
            self.task = self.loop.create_task(self._watch())

    def halt(self) -> None:
        """Asks no more, until it is moved."""
        old, self.task = self.task, None
        if old is not None:
            old.cancel()

    def move(self, address: Address) -> None:
        """Follows another discovery from now on. What the old one told may not be what this one counts from:
        it is asked for all of it, at once."""
        self.halt()
        self.address, self.version = address, None
        self.start()

    async def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    async def _watch(self) -> None:
        reason, sock, address = Reason.WATCH_REFUSED, None, self.address
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in address.host else socket.AF_INET)
            sock.setblocking(False)
            reason = await self._follow(sock)
        except TimeoutError:  # silent links look alive for ever
            reason = Reason.WATCH_SILENT
        except OSError as error:
            logger.debug("discovery: {}", error)
        except (http.BadMessage, ConfigError, ValueError) as error:
            logger.warning("discovery: {}", error)
            refused = isinstance(error, http.BadMessage) and error.status >= 500
            reason = Reason.WATCH_REFUSED if refused else Reason.WATCH_BAD
            self.version = self.version if refused else None  # what was missed is told whole
        except asyncio.CancelledError:
            reason = Reason.WATCH_STOP
            raise
        except Exception:
            logger.exception("discovery")
        finally:
            if sock is not None:
                sock.close()
            logger.info("{} discovery={}", reason.value, address)
            if self.task is asyncio.current_task():  # not one that has taken over by a move
                self.task = None
        self.failed()

    async def _follow(self, sock: socket.socket) -> Reason:
        async with asyncio.timeout(self.connect_time):
            await connect(self.loop, sock, self.address)
        # Without a version to count from, the whole list comes first; with 0 only what changed since then.
        target = "/api/targets?watch=1" + (f"&from={self.version}" if self.version is not None else "")
        await write(self.loop, sock, http.query(target, str(self.address)))
        reader, buffer = LineReader(), bytearray(BUFFER)
        while True:
            try:
                async with asyncio.timeout(self.silence):
                    size = await self.loop.sock_recv_into(sock, buffer)
            except ConnectionError:
                size = 0
            if size == 0:
                return Reason.WATCH_ENDED
            reader.feed(memoryview(buffer)[:size], 0.0)
            for line in filter(bytes.strip, reader.lines):
                self._told(line)
            reader.lines.clear()
            if reader.ready:
                return Reason.WATCH_ENDED

    def _told(self, line: bytes) -> None:
        part = parse_endpoint_update(json.loads(line), "list")
        self.version = part.version
        self.listed(part)
