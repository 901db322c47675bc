"""The operator's own file (TOML), read and checked here alone; its keys stand in deploy/operator.toml."""

from dataclasses import dataclass

from foxspread.config import ConfigError, Section


@dataclass(frozen=True)
class Operator:
    learnt: str = ""   # file of what an instance has learnt: read at its start, written at its end


def read(path: str) -> Operator:
    import tomllib   # the bare sidecar does not load it

    try:
        with open(path, "rb") as file:
            told = Section(tomllib.load(file))
    except (OSError, ValueError) as error:
        raise ConfigError(f"the operator's file {path} cannot be read: {error}") from None
    learnt = told.section("learnt")
    for section, known in ((told, {"learnt"}), (learnt, {"file"})):
        for key in section.values.keys() - known:   # a word mistyped must not pass for the default
            raise ConfigError(f"'{section.name(key)}' is not known")
    return Operator(learnt.text("file", ""))
