"""The process of one coordinator: connects the `Coordinator` to sockets, the disk and the clock.

This module decides nothing: it passes inputs to the coordinator, and sends, stores and answers what the
coordinator returns.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable
from typing import Any

import msgspec
from loguru import logger

from foxspread.config import ConfigError, address
from foxspread.consensus import http_api, wire
from foxspread.consensus.clock import Clock
from foxspread.consensus.configuration import CoordinatorConfig
from foxspread.consensus.coordinator import Answer, Coordinator
from foxspread.consensus.errors import ForeignMessageError, InvariantViolation
from foxspread.consensus.http_api import JsonObject
from foxspread.consensus.messages import Envelope
from foxspread.consensus.raft import Role
from foxspread.consensus.records import MemberAddress
from foxspread.consensus.storage import Storage
from foxspread.consensus.transport import HttpReply, HttpServer, PeerConnection
from foxspread.net import http

DISK_ID_BITS = 64  # random bits of a disk's id, which must be unique
MAX_PEERS = 32  # connections; without a limit, messages with invented senders could open any number
MAX_FOREIGN_REASONS = 100  # distinct reasons of rejections that are counted
MAX_REASON_CHARACTERS = 200
TIMER_MARGIN_S = 0.0005  # event loops may fire a timer slightly early
TRANSFER_POLL_S = 0.01
UNKNOWN_ADDRESS = "127.0.0.1:1"  # for a peer whose address is not known (yet): connections are refused


class CoordinatorProcess:
    """The process of one coordinator.

    `check_content` validates a version's content before it is proposed, and raises `ConfigError`.
    """

    # Replaced by subclasses, and in the lab by deliberately broken variants.
    storage_type, coordinator_type = Storage, Coordinator

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        config: CoordinatorConfig,
        check_content: Callable[[bytes], Any],
        clock: Clock | None = None,
    ) -> None:
        self.loop, self.config, self.check_content = loop, config, check_content
        self.clock = clock or Clock()
        system_random = random.SystemRandom()
        self.random = system_random.random
        self.storage = self._create_storage(f"{system_random.getrandbits(DISK_ID_BITS):016x}")
        self.coordinator = self._create_coordinator()
        self.connections: dict[str, PeerConnection] = {}  # by node id
        self.pending_answers: dict[int, asyncio.Future[Answer]] = {}  # by token
        self.last_token = 0
        self.timer: asyncio.TimerHandle | None = None
        self.foreign_message_counts: dict[str, int] = {}  # rejected messages, by reason
        self.received_messages, self.logged_role, self.started_at = 0, "", self.clock()
        self.server = HttpServer(loop, config.listen, self.handle)

    def _create_storage(self, disk_id: str) -> Storage:
        config = self.config
        storage = self.storage_type(config.folder, config.fleet, config.name, disk_id)
        storage.on_durable = self._on_durable
        storage.on_failure = self._on_storage_failure
        return storage

    def _on_durable(self, number: int) -> None:
        """Passes a confirmation to the event loop; called in the disk thread."""
        self.loop.call_soon_threadsafe(self._apply_input, self.coordinator.on_writes_durable, number)

    def _on_storage_failure(self, reason: str) -> None:
        """Passes a failure to the event loop; called in the disk thread."""
        self.loop.call_soon_threadsafe(self._on_disk_failure, reason)

    def _create_coordinator(self) -> Coordinator:
        """Creates the coordinator from the stored state. Raises `StorageError`."""
        config = self.config
        stored = self.storage.open()
        initial_members = {name: MemberAddress(at) for name, at in config.members.items()}
        return self.coordinator_type(
            self.clock(),
            config.name,
            config.fleet,
            stored,
            {} if config.join_existing else initial_members,
            config.settings,
            self.random,
            answer_timeout_s=config.answer_timeout_s,
            **config.coordinator_options,
        )

    # Inputs and outputs of the coordinator

    def _apply_input(self, method: Callable[..., None], *args: Any) -> None:
        """Calls a method of the coordinator with the present time, then executes its outputs."""
        try:
            method(self.clock(), *args)
        except InvariantViolation as error:  # from now on it only serves stored versions
            logger.critical("invariant violation: {}", error)
            self.coordinator.on_disk_failure(self.clock(), str(error))
        self._execute_outputs()

    def _on_disk_failure(self, reason: str) -> None:
        logger.critical("the disk fails: {}; this coordinator votes no more", reason)
        self._apply_input(self.coordinator.on_disk_failure, reason)

    def _execute_outputs(self) -> None:
        outputs = self.coordinator.take_outputs(self.clock())
        for write in outputs.writes:
            self.storage.write(write)
        for envelope in outputs.messages:
            self._connection_to(envelope.recipient).send(wire.encode(envelope))
        for answer in outputs.answers:
            future = self.pending_answers.pop(answer.token, None)
            if future is not None and not future.done():
                future.set_result(answer)
        self._log_role()
        self._set_timer()

    def _log_role(self) -> None:
        raft = self.coordinator.raft
        role = f"{raft.role.value} term={raft.current_term}"
        if role != self.logged_role:
            self.logged_role = role
            logger.info("{} leader={} {}", role, raft.leader_id or "-", raft.barred_reason)

    def _set_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        wake_at = self.coordinator.wake_at()
        if wake_at != float("inf"):
            delay = max(0.0, wake_at - self.clock()) + TIMER_MARGIN_S
            self.timer = self.loop.call_later(delay, self._apply_input, self.coordinator.tick)

    def _connection_to(self, peer: str) -> PeerConnection:
        """Returns the connection to a peer, at its configured address or else at its address in the log."""
        member = self.coordinator.raft.members.get(peer)
        target = self.config.address_overrides.get(peer) or (
            member.address if member else self.config.members.get(peer, "")
        )
        connection = self.connections.get(peer)
        if connection is not None and (not target or str(connection.address) == target):
            return connection
        if connection is not None:
            connection.close()
        connection = PeerConnection(self.loop, peer, address(target or UNKNOWN_ADDRESS, peer), self.random)
        self.connections[peer] = connection
        return connection

    # HTTP

    async def handle(self, message: http.Message) -> HttpReply:
        """Answers one request."""
        raw_path, _, _ = message.target.partition(b"?")
        path = raw_path.decode("latin-1")
        if path == "/peer" and message.method == b"POST":
            return self._receive_peer_message(bytes(message.body))
        try:
            return await self._handle_call(message, path)
        except (ConfigError, msgspec.DecodeError, ValueError) as error:
            return http_api.rejected_reply(400, str(error))

    def _receive_peer_message(self, body: bytes) -> HttpReply:
        """Handles a message from a peer."""
        try:
            envelope = wire.decode_for(body, self.config.fleet, self.config.name)
        except ForeignMessageError as error:
            return HttpReply(403, f"{self._count_foreign_message(str(error))}\n".encode())
        if not self._accepts_sender(envelope):
            return HttpReply(403, b"invalid sender id, or too many peers\n")
        self.received_messages += 1
        if envelope.sender in self.connections:
            self.connections[envelope.sender].reconnect_now()
        self._apply_input(self.coordinator.receive, envelope)
        return HttpReply(200, b"")

    def _accepts_sender(self, envelope: Envelope) -> bool:
        """Checks the form of the sender's id, and bounds the number of peers."""
        has_capacity = envelope.sender in self.connections or len(self.connections) <= MAX_PEERS
        return has_capacity and http_api.IDENTIFIER.fullmatch(envelope.sender) is not None

    def _count_foreign_message(self, error: str) -> str:
        reason = error[:MAX_REASON_CHARACTERS]
        is_new = reason not in self.foreign_message_counts
        if not is_new or len(self.foreign_message_counts) < MAX_FOREIGN_REASONS:
            if is_new:
                logger.warning("rejected message: {}", reason)
            self.foreign_message_counts[reason] = self.foreign_message_counts.get(reason, 0) + 1
        return reason

    async def _handle_call(self, message: http.Message, path: str) -> HttpReply:
        """Dispatches a call of an operator or a sidecar; subclasses add calls of their own."""
        call = (message.method, path)
        if call == (b"GET", "/status"):
            return http_api.json_reply(200, **self.status())
        if call == (b"GET", "/history"):
            return http_api.history_reply(message, self.coordinator.versions)
        if call == (b"POST", "/rules"):
            return await self._put(message)
        if call == (b"GET", "/watch"):
            version, timeout_s = http_api.watch_parameters(message)
            answer = await self._submit(self.coordinator.watch, version, timeout_s)
            return self._reply(answer, with_content=True)
        if message.method == b"GET" and path.startswith("/rules"):
            number = http_api.version_number(path)
            return self._reply(await self._submit(self.coordinator.get, number), with_content=True)
        if call == (b"POST", "/members"):
            name, member_address = http_api.membership_request(bytes(message.body))
            return self._reply(await self._submit(self.coordinator.change_membership, name, member_address))
        if call == (b"POST", "/hand-over"):
            target = http_api.transfer_request(bytes(message.body))
            return self._reply(await self._submit(self.coordinator.transfer_leadership, target))
        return http_api.rejected_reply(404, f"no such call: {message.method.decode('latin-1')} {path[:60]}")

    async def _submit(self, method: Callable[..., None], *args: Any) -> Answer:
        """Calls a method of the coordinator with a new token, and waits for the answer."""
        self.last_token += 1
        token = self.last_token
        future = self.pending_answers[token] = self.loop.create_future()
        try:
            self._apply_input(lambda now: method(now, token, *args))
            return await future
        finally:
            self.pending_answers.pop(token, None)
            self.coordinator.cancel(token)

    async def _put(self, message: http.Message) -> HttpReply:
        put, fields = http_api.put_request(bytes(message.body))
        self.check_content(put.content)
        self.check_against_latest(put.content, fields)
        return self._reply(await self._submit(self.coordinator.put, put))

    def check_against_latest(self, content: bytes, fields: JsonObject) -> None:
        """Validates a content against the latest version; a hook for subclasses. Raises `ConfigError`.

        `fields` is the decoded request body.
        """

    def _reply(self, answer: Answer, with_content: bool = False) -> HttpReply:
        return http_api.answer_reply(answer, self.config.name, self.coordinator.raft.members, with_content)

    # Status

    def status(self) -> JsonObject:
        """Returns the reply to GET /status; its keys are part of the interface."""
        raft = self.coordinator.raft
        return {
            "fleet": self.config.fleet,
            "name": self.config.name,
            "role": raft.role.value,
            "term": raft.current_term,
            "leader": raft.leader_id,
            "why": raft.barred_reason,
            "committed": raft.commit_index,
            "applied": raft.last_applied,
            "last": raft.log.last_index,
            "snapshot": raft.snapshot.index,
            "version": self.coordinator.versions.latest,
            "members": {name: self._member_status(name, member) for name, member in raft.members.items()},
            "up_for": round(self.clock() - self.started_at, 3),
            "received": self.received_messages,
            "refused": dict(self.foreign_message_counts),
            "sent": sum(each.sent for each in self.connections.values()),
            "dropped": sum(each.dropped for each in self.connections.values()),
            "disk": self._storage_status(),
            "waiting": len(self.coordinator.pending_calls),
            "connections": len(self.server.connections),
        }

    def _member_status(self, name: str, member: MemberAddress) -> JsonObject:
        connection = self.connections.get(name)
        return {
            "address": member.address,
            "votes": member.voter,
            "up": name == self.config.name or connection is not None and connection.connected,
            "trouble": connection.last_error if connection is not None else "",
        }

    def _storage_status(self) -> JsonObject:
        return {
            "commits": self.storage.commit_count,
            "records": self.storage.write_count,
            "slowest": round(self.storage.slowest_commit_s, 6),
            "seconds": round(self.storage.total_commit_s, 6),
        }

    # Life cycle

    async def run(self, stop: asyncio.Event) -> None:
        """Runs until `stop` is set; a leader then transfers leadership first."""
        logger.info(
            "coordinator {} of {} listen={} folder={}",
            self.config.name,
            self.config.fleet,
            self.server.address,
            self.config.folder,
        )
        self._apply_input(self.coordinator.tick)
        await stop.wait()
        await self._transfer_before_end()
        self.server.close()
        for connection in self.connections.values():
            connection.close()
        if self.timer is not None:
            self.timer.cancel()
        await self.loop.run_in_executor(None, self.storage.close)

    async def _transfer_before_end(self) -> None:
        """Transfers leadership, so that the others need not wait for an election timeout."""
        raft = self.coordinator.raft
        if target := raft.best_successor():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(2 * self.config.settings.election_timeout_s):
                    await self._submit(self.coordinator.transfer_leadership, target)
                    while raft.role is Role.LEADER:
                        await asyncio.sleep(TRANSFER_POLL_S)
