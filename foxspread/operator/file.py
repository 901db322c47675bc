"""The operator's own file (TOML), read and checked here alone; its keys stand in deploy/operator.toml."""

from dataclasses import dataclass

from foxspread.config import Address, ConfigError, Section, address, show

COORDINATORS_MOST = 9


@dataclass(frozen=True)
class Agreed:
    """Rules that sidecars act on together (foxspread/fleet_rules); any of the coordinators answers."""

    coordinators: tuple[Address, ...]
    file: str = ""  # of the part that one acts on whose lease has run out, over a restart


@dataclass(frozen=True)
class Operator:
    learnt: str = ""  # file of what an instance has learnt: read at its start, written at its end
    agreed: Agreed | None = None  # None: its own file's settings hold, and it talks to no coordinator


def read(path: str) -> Operator:
    import tomllib  # the bare sidecar does not load it

    try:
        with open(path, "rb") as file:
            told = Section(tomllib.load(file))
    except (OSError, ValueError) as error:
        raise ConfigError(f"the operator's file {path} cannot be read: {error}") from None
    learnt, agreed = told.section("learnt"), told.section("agreed")
    for section, known in (
        (told, {"learnt", "agreed"}),
        (learnt, {"file"}),
        (agreed, {"coordinators", "file"}),
    ):
        for key in section.values.keys() - known:  # a word mistyped must not pass for the default
            raise ConfigError(f"'{section.name(key)}' is not known")
    if "agreed" not in told.values:
        return Operator(learnt.text("file", ""))
    key, found = agreed.name("coordinators"), agreed.get("coordinators", list, "a list of HOST:PORT", None)
    if not found or not all(isinstance(each, str) for each in found) or len(found) > COORDINATORS_MOST:
        raise ConfigError(f"'{key}' must be a list of 1 to {COORDINATORS_MOST} HOST:PORT, not {show(found)}")
    return Operator(
        learnt.text("file", ""), Agreed(tuple(address(each, key) for each in found), agreed.text("file", ""))
    )
