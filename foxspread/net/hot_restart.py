"""Hot restart: a new process (the successor) takes over while the old one (the predecessor) serves, over a
Unix socket in a folder that both share. The predecessor sends its state in one record; the successor begins
to accept and sends `serving`; only then the predecessor stops accepting. Requests stay in the process that
received them. docs/design/handover.md explains the choice. None of this runs without an inherited listening
socket.
"""

import asyncio
import json
import os
import socket
from collections.abc import Iterable
from typing import Any, Protocol

from loguru import logger

from foxspread.config import Address, ConfigError

VERSION = 1  # of the messages
MAX_MESSAGE_BYTES = 8 << 20  # enough for the state of some 30,000 servers
RECORD_TIMEOUT = 1.5  # seconds that a successor waits for the state before it starts without
SERVING_TIMEOUT = 5.0  # seconds that a predecessor waits for `serving` before it continues alone
CALL_TIMEOUT = 0.7  # seconds for the other process to answer an operator's call, whose caller waits 1 s
ID_BATCH_DELAY = 0.05  # seconds


def inherited_socket(number: int, listen: Address) -> socket.socket:
    """Returns the listening socket that the platform passed in. It is shared with other processes: it may be
    closed but not shut down. Raises ConfigError if it is not a socket that listens at `listen`."""
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


class RestartHost(Protocol):
    """What the hot restart needs of the sidecar."""

    def state(self) -> dict[str, Any]:
        """Returns what a successor needs."""

    def restore(self, state: Any) -> None:
        """Raises ValueError, and restores nothing, if the state is malformed."""

    def yield_slow_start_budget(self, on: bool) -> None:
        """Leaves the budget for servers in slow start to a successor that has the state, or takes it back."""

    def start_accepting(self) -> None:
        """Begins to accept clients."""

    def hand_over(self) -> None:
        """A successor serves."""

    def predecessor_ended(self) -> None:
        """The predecessor's process, or the connection to it, has ended."""

    def apply_disabled(self, server: str, disabled: bool) -> bool:
        """Disables or enables a server in this process. Returns False if no server has that id or too many
        are disabled."""

    def add_recent_ids(self, ids: Iterable[str]) -> None:
        """Adds ids of requests that the other process received."""


class PeerConnection:
    """A connection to the predecessor or a successor: a JSON object a line, in either direction."""

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self.loop, self.sock, self.write_lock = loop, sock, asyncio.Lock()
        self.received, self.buffer = bytearray(), bytearray(1 << 16)
        self.pending_calls: dict[int, asyncio.Future[bool]] = {}
        self.call_count = 0
        self.successor_serves = False

    async def read(self) -> dict[str, Any] | None:
        """Returns None at the end. Raises ValueError on a malformed message."""
        while (end := self.received.find(b"\n")) < 0:
            if len(self.received) > MAX_MESSAGE_BYTES:
                raise ValueError(f"a message is longer than {MAX_MESSAGE_BYTES} bytes")
            size = await self.loop.sock_recv_into(self.sock, self.buffer)
            if size == 0:
                return None
            self.received += memoryview(self.buffer)[:size]
        line, self.received = self.received[:end], self.received[end + 1 :]
        try:
            message = json.loads(line)
        except RecursionError:
            raise ValueError("a message is nested too deeply") from None
        if not isinstance(message, dict):
            raise ValueError(f"a message must be an object, not {bytes(line[:80])!r}")
        return message

    async def write(self, message: dict[str, Any]) -> None:
        """Sends one message."""
        data = json.dumps(message).encode() + b"\n"
        async with self.write_lock:
            await self.loop.sock_sendall(self.sock, data)

    async def call(self, message: dict[str, Any]) -> bool:
        """Returns the other process's answer; False if that process has ended. Raises TimeoutError if it
        hangs."""
        self.call_count += 1
        answer = self.pending_calls[self.call_count] = self.loop.create_future()
        try:
            async with asyncio.timeout(CALL_TIMEOUT):
                await self.write(message | {"number": self.call_count})
                return await answer
        except OSError as error:
            if isinstance(error, TimeoutError):
                raise
            return False
        finally:
            self.pending_calls.pop(self.call_count, None)

    def fail_pending_calls(self) -> None:
        """Answers all pending calls with False."""
        for answer in self.pending_calls.values():
            if not answer.done():
                answer.set_result(False)


class HotRestart:
    """One process's part in hot restarts: successor of the process that runs at its start, then predecessor
    of the next one."""

    def __init__(self, loop: asyncio.AbstractEventLoop, path: str, host: RestartHost) -> None:
        self.loop, self.path, self.host = loop, path, host
        self.peers: dict[PeerConnection, asyncio.Task] = {}
        self.successor: PeerConnection | None = None  # the one that has our state
        self.settled = asyncio.Event()  # this process decides now, with the predecessor's state or without
        self.sock: socket.socket | None = None
        self.tasks: set[asyncio.Task] = set()
        self.unsent_ids: list[str] = []

    async def start(self) -> None:
        """Takes over from a predecessor, if there is one, begins to serve and listens for a successor."""
        peer = await self._restore_state()
        self.host.start_accepting()
        if peer is not None:
            try:
                await peer.write({"serving": True})
            except OSError as error:  # it was killed; the requests that it held are lost
                logger.warning("handover: the predecessor ended: {}", error)
            self._spawn(self._follow(peer, "predecessor"), peer)
        self.settled.set()
        self._listen()

    def predecessor_exists(self) -> bool:
        """Returns whether a predecessor's socket exists; it may be stale."""
        return os.path.exists(self.path)

    async def _restore_state(self) -> PeerConnection | None:
        """Returns the connection to a predecessor whose state was restored; None after a start without, whose
        cause is logged."""
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            sock.connect(self.path)
        except OSError as error:
            sock.close()
            if not isinstance(
                error, FileNotFoundError
            ):  # a stale file, no permission, or the path is too long
                logger.warning("handover: a fresh start, nobody answers at {}: {}", self.path, error)
            return None
        peer = PeerConnection(self.loop, sock)
        try:
            async with asyncio.timeout(RECORD_TIMEOUT):
                await peer.write({"hello": VERSION})
                record = await peer.read()
            if record is None:
                raise ValueError("the predecessor closed the connection")
            if record.get("version") != VERSION or "state" not in record:
                raise ValueError(
                    f"the record has no state or not version {VERSION}: {record.get('version')!r}"
                )
            self.host.restore(record["state"])
        except (OSError, ValueError) as error:  # TimeoutError is an OSError
            logger.warning("handover: a fresh start: {}", error or "no record in time")
            sock.close()
            return None
        logger.info("handover: state taken over")
        return peer

    async def call_decider(self, server: str, disabled: bool) -> bool:
        """Passes on an operator's call that came before this process decides: to the predecessor, or to
        this process once it decides."""
        sock = socket.socket(socket.AF_UNIX)
        sock.setblocking(False)
        try:
            sock.connect(self.path)
        except OSError:
            sock.close()
            async with asyncio.timeout(CALL_TIMEOUT):
                await self.settled.wait()
            return self.host.apply_disabled(server, disabled)
        peer = PeerConnection(self.loop, sock)
        self._spawn(self._follow(peer, "predecessor that a call went to"), peer)
        try:
            return await peer.call({"server": server, "out": disabled})
        finally:
            if peer in self.peers:
                self.peers[peer].cancel()

    def _listen(self) -> None:
        """Listens for a successor. The socket is bound under a name of its own and then renamed, so that the
        shared name is never missing."""
        own_path = f"{self.path}.{os.getpid()}"
        sock = socket.socket(socket.AF_UNIX)
        try:
            sock.setblocking(False)
            if os.path.exists(own_path):
                os.unlink(own_path)
            sock.bind(own_path)
            os.chmod(own_path, 0o600)
            sock.listen(4)
            os.replace(own_path, self.path)
        except OSError as error:
            sock.close()
            logger.warning("handover: cannot listen for a successor at {}: {}", self.path, error)
            return
        self.sock = sock
        self.loop.add_reader(sock, self._accept)

    def _accept(self) -> None:
        try:
            sock, _ = self.sock.accept()
        except OSError:
            return
        sock.setblocking(False)
        peer = PeerConnection(self.loop, sock)
        self._spawn(self._hand_over(peer), peer)

    def _spawn(self, work, peer: PeerConnection | None = None) -> None:
        task = self.loop.create_task(work)
        if peer is not None:
            self.peers[peer] = task
        else:
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _hand_over(self, peer: PeerConnection) -> None:
        """Sends the state, to one successor at a time. If it does not report in time that it serves, this
        process continues as before."""
        try:
            async with asyncio.timeout(RECORD_TIMEOUT):
                hello = await peer.read()
            if hello is not None and "server" in hello:  # from `call_decider` of a successor
                self._handle(peer, hello)
                return await self._follow(peer, "successor")
            if hello is None or hello.get("hello") != VERSION or self.successor is not None:
                version = hello and hello.get("hello")
                logger.warning(
                    "handover: no state for a successor of version {!r}{}",
                    version,
                    ": another successor has it" if self.successor else "",
                )
                await peer.write({"version": VERSION})
                return self._peer_ended(peer)
            self.successor = peer
            self.host.yield_slow_start_budget(True)
            await peer.write({"version": VERSION, "state": self.host.state()})
            logger.info("handover: state told")
            timer = self.loop.call_later(SERVING_TIMEOUT, self._serving_timeout, peer)
        except (OSError, ValueError) as error:
            logger.warning("handover: the successor failed: {}", error or "no message in time")
            return self._peer_ended(peer)
        try:
            await self._follow(peer, "successor")
        finally:
            timer.cancel()

    def _serving_timeout(self, peer: PeerConnection) -> None:
        if not peer.successor_serves and peer in self.peers:
            logger.warning("handover: the successor did not serve within {} s", SERVING_TIMEOUT)
            self.peers[peer].cancel()

    async def _follow(self, peer: PeerConnection, role: str) -> None:
        """Handles messages until the connection ends."""
        try:
            while (message := await peer.read()) is not None:
                self._handle(peer, message)
        except (OSError, ValueError) as error:
            logger.warning("handover: the {}: {}", role, error)
        finally:
            logger.info("handover: the link to the {} has ended", role)
            self._peer_ended(peer, role == "predecessor")

    def _peer_ended(self, peer: PeerConnection, predecessor: bool = False) -> None:
        self.peers.pop(peer, None)
        peer.fail_pending_calls()
        peer.sock.close()
        if peer is self.successor and not peer.successor_serves:
            self.successor = None
            self.host.yield_slow_start_budget(False)
        if predecessor:
            self.host.predecessor_ended()

    def _handle(self, peer: PeerConnection, message: dict[str, Any]) -> None:
        if message.get("serving") and peer is self.successor and not peer.successor_serves:
            peer.successor_serves = True
            self._close_socket()
            self.host.hand_over()
        elif "server" in message:
            server, disabled = str(message["server"]), bool(message.get("out"))
            self._spawn(self._answer_call(peer, server, disabled, message.get("number")))
        elif "yes" in message:
            answer = peer.pending_calls.get(message.get("number"))
            if answer is not None and not answer.done():
                answer.set_result(bool(message["yes"]))
        elif "ids" in message:
            self.host.add_recent_ids(map(str, message["ids"]))

    async def _answer_call(self, peer: PeerConnection, server: str, disabled: bool, number: Any) -> None:
        applied = self.host.apply_disabled(server, disabled)
        try:
            applied = await self.call_peers(server, disabled, peer) or applied
            await peer.write({"yes": applied, "number": number})
        except OSError as error:  # the caller times out
            logger.warning("handover: {}", error or "the other process does not answer")

    async def call_peers(self, server: str, disabled: bool, excluded: PeerConnection | None = None) -> bool:
        """Passes an operator's call on to the connected processes, which pass it on to theirs."""
        peers = [peer for peer in self.peers if peer is not excluded]
        return any([await peer.call({"server": server, "out": disabled}) for peer in peers])

    def announce_id(self, id: str) -> None:
        """Tells the other process the id of a request that was received here, so that it refuses a second
        request with the same id."""
        if self.peers:
            if not self.unsent_ids:
                self.loop.call_later(ID_BATCH_DELAY, self._send_ids)
            self.unsent_ids.append(id)

    def _send_ids(self) -> None:
        ids, self.unsent_ids = self.unsent_ids, []
        for peer in self.peers:
            if not peer.write_lock.locked():  # otherwise writes would pile up while the other process hangs
                self._spawn(self._write(peer, {"ids": ids}))

    async def _write(self, peer: PeerConnection, message: dict[str, Any]) -> None:
        try:
            await peer.write(message)
        except OSError:
            pass  # the task that reads from it sees the end too

    def _close_socket(self) -> None:
        if self.sock is not None:
            self.loop.remove_reader(self.sock)
            self.sock.close()
            self.sock = None

    async def close(self) -> None:
        """Ends all connections and tasks."""
        self._close_socket()  # the path stays: it is a successor's by now, or stale, which a start notices
        tasks = [*self.peers.values(), *self.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
