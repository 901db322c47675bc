"""Reads and checks the operator's TOML file. deploy/operator.toml shows its keys."""

from dataclasses import dataclass

from foxspread.config import Address, ConfigError, Section, address, show

MAX_COORDINATORS = 9


@dataclass(frozen=True)
class AgreedRulesConfig:
    """Where a sidecar gets the agreed rules (foxspread/fleet_rules); any of the coordinators answers."""

    coordinators: tuple[Address, ...]
    file: str = ""  # keeps over a restart the reduced rules for a sidecar whose lease has run out


@dataclass(frozen=True)
class OperatorConfig:
    """The content of the operator's file."""

    learnt: str = ""  # file of what an instance has learnt: read at its start, written at its end
    agreed: AgreedRulesConfig | None = None  # None: the settings of its own file hold, without coordinators


def read(path: str) -> OperatorConfig:
    """Raises ConfigError if the file cannot be read or holds a bad value or an unknown key."""
    import tomllib  # not loaded by the bare sidecar

    try:
        with open(path, "rb") as file:
            root = Section(tomllib.load(file))
    except (OSError, ValueError) as error:
        raise ConfigError(f"the operator's file {path} cannot be read: {error}") from None
    learnt, agreed = root.section("learnt"), root.section("agreed")
    for section, known in (
        (root, {"learnt", "agreed"}),
        (learnt, {"file"}),
        (agreed, {"coordinators", "file"}),
    ):
        for key in section.values.keys() - known:  # a mistyped key must not stand for its default
            raise ConfigError(f"'{section.name(key)}' is not known")
    if "agreed" not in root.values:
        return OperatorConfig(learnt.text("file", ""))
    key, found = agreed.name("coordinators"), agreed.get("coordinators", list, "a list of HOST:PORT", None)
    if not found or not all(isinstance(text, str) for text in found) or len(found) > MAX_COORDINATORS:
        raise ConfigError(f"'{key}' must be a list of 1 to {MAX_COORDINATORS} HOST:PORT, not {show(found)}")
    return OperatorConfig(
        learnt.text("file", ""),
        AgreedRulesConfig(tuple(address(text, key) for text in found), agreed.text("file", "")),
    )
