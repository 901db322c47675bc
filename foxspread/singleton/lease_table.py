"""The replicated state of singleton roles: holders, fencing tokens and intents of irreversible effects.

The table is a deterministic function of the entries of the log. The token of a role rises by one with each
holder and never falls, whatever restarts or elections happen (like the sequencers of M. Burrows, "The Chubby
lock service for loosely-coupled distributed systems" (2006)). A role whose holder sends no more requests is
freed by two entries: after `SuspectHolder` no lease is granted under the token, and by `FreeRole`, one lease
later, every such lease has expired.

Records are encoded by position with a tag for their type. Tags and states keep the spelling of the first
release.
"""

import enum
from dataclasses import dataclass, field

import msgspec

from foxspread.consensus.records import ArrayStruct
from foxspread.consensus.wire import encode

MAX_ROLES = 256
MAX_OPEN_INTENTS = 1024  # of a role; further ones are rejected
MAX_CLOSED_INTENTS = 256  # of a role; the latest are kept, for retries after a lost response
MAX_LOSSES = 256  # number of instances whose losses are counted
MAX_ROLE_NAME_CHARACTERS = 64
MAX_TEXT_CHARACTERS = 300  # of an instance's name, and of an intent's id and description


class AssignRole(ArrayStruct, frozen=True, tag="take"):
    """Assigns a free role to `holder`. Rejected unless `token` is one more than the latest."""

    role: str
    holder: str
    token: int


class SuspectHolder(ArrayStruct, frozen=True, tag="lose"):
    """Ends new leases under this token, as the holder has sent no requests."""

    role: str
    token: int


class FreeRole(ArrayStruct, frozen=True, tag="free"):
    """Frees a role, as all leases under this token have expired."""

    role: str
    token: int


class ReleaseRole(ArrayStruct, frozen=True, tag="yield"):
    """Frees a role whose holder reported that it has stopped acting under this token."""

    role: str
    token: int


class PreferHolder(ArrayStruct, frozen=True, tag="wish"):
    """Requests that the role moves to an instance; empty: that it stays."""

    role: str
    instance: str


class PauseRole(ArrayStruct, frozen=True, tag="pause"):
    """Pauses or resumes the assignment of a role; a present holder keeps it."""

    role: str
    paused: bool


class RecordIntent(ArrayStruct, frozen=True, tag="intend"):
    """Records an intent, before an effect that must not happen twice at a receiver without a fencing check.

    valid_for: seconds after the record was written within which the effect may be carried out.
    """

    role: str
    token: int
    intent_id: str
    description: str
    valid_for: float


class CompleteIntent(ArrayStruct, frozen=True, tag="did"):
    """Records that the effect of an intent was carried out. `token`: that of the intent."""

    role: str
    token: int
    intent_id: str


class AbandonIntent(ArrayStruct, frozen=True, tag="tell"):
    """Marks the outcome of an earlier holder's intent as unknown. It is reported to operators, never retried.

    token: that of the present holder.
    """

    role: str
    token: int
    intent_id: str


RoleCommand = (
    AssignRole
    | SuspectHolder
    | FreeRole
    | ReleaseRole
    | PreferHolder
    | PauseRole
    | RecordIntent
    | CompleteIntent
    | AbandonIntent
)


class IntentState(enum.StrEnum):
    """State of an intent. The values are stored."""

    OPEN = "open"
    DONE = "done"
    UNKNOWN = "unknown"


class Intent(ArrayStruct):
    """An effect that was intended under `token`."""

    token: int
    description: str
    valid_for: float
    state: IntentState = IntentState.OPEN


class SingletonRole(ArrayStruct):
    """A singleton role.

    holder: empty for none.
    suspected: the holder gets no new leases, but may still hold one.
    preferred: the instance that the role is to move to, empty for none.
    """

    holder: str = ""
    token: int = 0
    suspected: bool = False
    preferred: str = ""
    paused: bool = False
    intents: dict[str, Intent] = {}


class LeaseTableSnapshot(ArrayStruct):
    """Snapshot of the table, encoded by position."""

    roles: dict[str, SingletonRole]
    losses: dict[str, int]


def instance_name(instance: str) -> str:
    """Returns the part of an instance's id that is the same for all its starts: `a` of `a/1`."""
    return instance.partition("/")[0]


@dataclass
class LeaseTable:
    """All singleton roles. `losses`: by instance name, number of roles that the instance lost unreleased."""

    roles: dict[str, SingletonRole] = field(default_factory=dict)
    losses: dict[str, int] = field(default_factory=dict)

    def apply(self, command: RoleCommand) -> str:
        """Applies a command. Returns why it is rejected; "" if it is applied, now or before."""
        for name in ("holder", "instance", "intent_id", "description"):
            text = getattr(command, name, "")
            if len(text) > MAX_TEXT_CHARACTERS:
                return f"{text[:20]!r}... has more than {MAX_TEXT_CHARACTERS} characters"
        role = self.roles.get(command.role)
        match command:
            case AssignRole():
                return self._assign(command, role)
            case PauseRole():
                role = role or self._new_role(command.role)
        if role is None:
            return f"there is no role {command.role!r}"
        match command:
            case PauseRole():
                role.paused = command.paused
            case PreferHolder():
                role.preferred = "" if command.instance == role.holder else command.instance
            case CompleteIntent():
                return self._complete(command, role)
            case _:
                return self._apply_under_token(command, role)
        return ""

    def _apply_under_token(
        self,
        command: SuspectHolder | FreeRole | ReleaseRole | RecordIntent | AbandonIntent,
        role: SingletonRole,
    ) -> str:
        """Applies a command that is valid only under the present token."""
        if command.token != role.token or not role.holder:
            return f"token {command.token} of {command.role!r} is not the current one ({role.token})"
        match command:
            case SuspectHolder():
                if not role.suspected:
                    self._count_loss(instance_name(role.holder))
                role.suspected = True
            case FreeRole():
                if not role.suspected:
                    return f"the holder of {command.role!r} is not suspected"
                role.holder, role.suspected = "", False
            case ReleaseRole():
                role.holder, role.suspected = "", False
            case RecordIntent():
                return self._record(command, role)
            case AbandonIntent():
                return self._abandon(command, role)
        return ""

    def _new_role(self, name: str) -> SingletonRole | None:
        if len(self.roles) < MAX_ROLES and 0 < len(name) <= MAX_ROLE_NAME_CHARACTERS:
            self.roles[name] = SingletonRole()
        return self.roles.get(name)

    def _assign(self, command: AssignRole, role: SingletonRole | None) -> str:
        role = role or self._new_role(command.role)
        if role is None:
            return f"can't add role {command.role[:20]!r}: {MAX_ROLES} exist, or the name has a wrong length"
        if role.token == command.token and role.holder == command.holder:
            return ""
        if role.holder or role.paused or command.token != role.token + 1:
            return f"{command.role!r} is {'paused' if role.paused else 'taken'}, token {role.token}"
        role.holder, role.token = command.holder, command.token
        if role.preferred == command.holder:
            role.preferred = ""
        return ""

    def _count_loss(self, name: str) -> None:
        self.losses[name] = self.losses.pop(name, 0) + 1
        if len(self.losses) > MAX_LOSSES:
            del self.losses[next(iter(self.losses))]

    def _record(self, command: RecordIntent, role: SingletonRole) -> str:
        if (intent := role.intents.get(command.intent_id)) is not None:
            same = (intent.token, intent.description) == (command.token, command.description)
            return "" if same else f"intent {command.intent_id!r} already exists"
        if sum(intent.state == IntentState.OPEN for intent in role.intents.values()) >= MAX_OPEN_INTENTS:
            return f"{MAX_OPEN_INTENTS} intents of {command.role!r} are already open"
        role.intents[command.intent_id] = Intent(command.token, command.description, command.valid_for)
        return ""

    def _complete(self, command: CompleteIntent, role: SingletonRole) -> str:
        """Completes an intent, also one of an earlier holder: the effect was carried out in any case."""
        intent = role.intents.get(command.intent_id)
        if intent is None or intent.token != command.token:
            return f"there is no intent {command.intent_id!r} under token {command.token}"
        self._close(role, command.intent_id, IntentState.DONE)
        return ""

    def _abandon(self, command: AbandonIntent, role: SingletonRole) -> str:
        intent = role.intents.get(command.intent_id)
        if intent is None or intent.token >= command.token:
            return f"there is no intent {command.intent_id!r} of an earlier holder"
        if intent.state == IntentState.OPEN:
            self._close(role, command.intent_id, IntentState.UNKNOWN)
        return ""

    def _close(self, role: SingletonRole, intent_id: str, state: IntentState) -> None:
        role.intents[intent_id] = intent = role.intents.pop(
            intent_id
        )  # keeps closed intents in the order of closing
        intent.state = state
        closed = [closed_id for closed_id, intent in role.intents.items() if intent.state != IntentState.OPEN]
        for closed_id in closed[: max(0, len(closed) - MAX_CLOSED_INTENTS)]:
            del role.intents[closed_id]

    def tokens_held_by(self, instance: str) -> dict[str, int]:
        """Returns the roles that an instance may be granted leases on, with their tokens."""
        return {
            name: role.token
            for name, role in self.roles.items()
            if role.holder == instance and not role.suspected
        }

    def tokens(self) -> dict[str, int]:
        """Returns the latest token of each role."""
        return {name: role.token for name, role in self.roles.items()}

    def saved(self) -> bytes:
        """Returns the encoded snapshot of the table."""
        return encode(LeaseTableSnapshot(self.roles, self.losses))

    def restore(self, data: bytes) -> None:
        """Replaces the table by a snapshot; empty data stands for an empty table."""
        snapshot = LeaseTableSnapshot({}, {})
        if data:
            snapshot = msgspec.msgpack.decode(data, type=LeaseTableSnapshot)
        self.roles, self.losses = snapshot.roles, snapshot.losses
