"""What the coordinators' log says of duties: who owns each, under which token, what was intended. Pure; the
same entries give the same registry.

A token rises by one with each owner and never falls, whatever is restarted or elected (M. Burrows, "The
Chubby lock service" (2006), sequencers). A duty that was lost without a word goes over two entries: with
`Lose` no lease is given under its token any more, with `Free`, a lease later, nobody can hold one.
"""

from dataclasses import dataclass, field

import msgspec

from foxspread.consensus.messages import Row, encoded

DUTIES_MOST = 256
INTENTS_MOST = 1024  # of a duty, that are not closed; more are turned down
CLOSED_MOST = 256  # closed ones of a duty that are kept, the latest
LOSSES_MOST = 256  # names whose losses are remembered
NAME_MOST = 64  # characters of a duty's name
TEXT_MOST = 300  # characters of an instance, an intent's id or what it says


class Take(Row, frozen=True, tag="take"):
    """`owner` owns it from here on. `token`: one more than the last, or nothing happens."""

    duty: str
    owner: str
    token: int


class Lose(Row, frozen=True, tag="lose"):
    """Nothing was heard of the owner: no leases under this token any more."""

    duty: str
    token: int


class Free(Row, frozen=True, tag="free"):
    """Nobody can hold a lease under this token."""

    duty: str
    token: int


class Yield(Row, frozen=True, tag="yield"):
    """The owner's own word that it does nothing more under this token."""

    duty: str
    token: int


class Wish(Row, frozen=True, tag="wish"):
    """It is to go to that one; empty: to nobody else."""

    duty: str
    to: str


class Pause(Row, frozen=True, tag="pause"):
    duty: str
    on: bool


class Intend(Row, frozen=True, tag="intend"):
    """Written before an effect that must not happen twice, where the receiver knows no token."""

    duty: str
    token: int
    id: str
    what: str
    until: float  # seconds from when it was written within which it may be done


class Did(Row, frozen=True, tag="did"):
    duty: str
    token: int  # of the intent
    id: str


class Tell(Row, frozen=True, tag="tell"):
    """A later owner's word that the outcome is not known: it is told to people, and never repeated."""

    duty: str
    token: int  # of the owner that says so
    id: str


DutyCommand = Take | Lose | Free | Yield | Wish | Pause | Intend | Did | Tell


class Intent(Row):
    token: int
    what: str
    until: float
    state: str = "open"  # open, done, unknown


class Duty(Row):
    owner: str = ""
    token: int = 0
    lost: bool = False  # its owner may still hold a lease, and is given none
    wish: str = ""
    paused: bool = False
    intents: dict[str, Intent] = {}


class Registered(Row):
    duties: dict[str, Duty]
    losses: dict[str, int]


def name_of(instance: str) -> str:
    """Of an instance over its starts."""
    return instance.partition("/")[0]


@dataclass
class Registry:
    duties: dict[str, Duty] = field(default_factory=dict)
    losses: dict[str, int] = field(default_factory=dict)  # by name: duties lost without a word

    def obey(self, command: DutyCommand) -> str:
        """What stands against it, or "": it is done, or was before."""
        for text in (getattr(command, each, "") for each in ("owner", "to", "id", "what")):
            if len(text) > TEXT_MOST:
                return f"{text[:20]!r}... has more than {TEXT_MOST} characters"
        duty = self.duties.get(command.duty)
        if isinstance(command, Take):
            return self._take(command, duty)
        if isinstance(command, Pause) and duty is None:
            duty = self._new(command.duty)
        if duty is None:
            return f"there is no duty {command.duty!r}"
        if isinstance(command, Wish):
            duty.wish = "" if command.to == duty.owner else command.to
        elif isinstance(command, Pause):
            duty.paused = command.on
        elif isinstance(command, Did):
            return self._did(command, duty)
        elif command.token != duty.token or not duty.owner:
            return f"token {command.token} of {command.duty!r} is not the present one ({duty.token})"
        elif isinstance(command, Lose):
            if not duty.lost:
                self._lost(name_of(duty.owner))
            duty.lost = True
        elif isinstance(command, Free):
            if not duty.lost:
                return f"{command.duty!r} is not lost"
            duty.owner, duty.lost = "", False
        elif isinstance(command, Yield):
            duty.owner, duty.lost = "", False
        elif isinstance(command, Intend):
            return self._intend(command, duty)
        else:
            return self._tell(command, duty)
        return ""

    def _new(self, name: str) -> Duty | None:
        if len(self.duties) < DUTIES_MOST and 0 < len(name) <= NAME_MOST:
            self.duties[name] = Duty()
        return self.duties.get(name)

    def _take(self, command: Take, duty: Duty | None) -> str:
        duty = duty or self._new(command.duty)
        if duty is None:
            return f"{DUTIES_MOST} duties are there already"
        if duty.token == command.token and duty.owner == command.owner:
            return ""
        if duty.owner or duty.paused or command.token != duty.token + 1:
            return f"{command.duty!r} is {'paused' if duty.paused else 'taken'}, token {duty.token}"
        duty.owner, duty.token = command.owner, command.token
        if duty.wish == command.owner:
            duty.wish = ""
        return ""

    def _lost(self, name: str) -> None:
        self.losses[name] = self.losses.pop(name, 0) + 1
        if len(self.losses) > LOSSES_MOST:
            del self.losses[next(iter(self.losses))]

    def _intend(self, command: Intend, duty: Duty) -> str:
        if (found := duty.intents.get(command.id)) is not None:
            same = (found.token, found.what) == (command.token, command.what)
            return "" if same else f"intent {command.id!r} is there already"
        if sum(each.state == "open" for each in duty.intents.values()) >= INTENTS_MOST:
            return f"{INTENTS_MOST} intents are open already"
        duty.intents[command.id] = Intent(command.token, command.what, command.until)
        return ""

    def _did(self, command: Did, duty: Duty) -> str:
        """True whoever owns it by now, so a late one is taken too."""
        found = duty.intents.get(command.id)
        if found is None or found.token != command.token:
            return f"there is no intent {command.id!r} under token {command.token}"
        self._close(duty, command.id, "done")
        return ""

    def _tell(self, command: Tell, duty: Duty) -> str:
        found = duty.intents.get(command.id)
        if found is None or found.token >= command.token:
            return f"there is no intent {command.id!r} of an earlier owner"
        if found.state == "open":
            self._close(duty, command.id, "unknown")
        return ""

    def _close(self, duty: Duty, id: str, state: str) -> None:
        duty.intents[id] = intent = duty.intents.pop(id)  # the latest closed stand last
        intent.state = state
        closed = [each for each, row in duty.intents.items() if row.state != "open"]
        for each in closed[: max(0, len(closed) - CLOSED_MOST)]:
            del duty.intents[each]

    def held_by(self, instance: str) -> dict[str, int]:
        """Under which tokens it may be given leases."""
        return {
            name: duty.token for name, duty in self.duties.items() if duty.owner == instance and not duty.lost
        }

    def tokens(self) -> dict[str, int]:
        return {name: duty.token for name, duty in self.duties.items()}

    def saved(self) -> bytes:
        return encoded(Registered(self.duties, self.losses))

    def restore(self, data: bytes) -> None:
        told = msgspec.msgpack.decode(data, type=Registered) if data else Registered({}, {})
        self.duties, self.losses = told.duties, told.losses
