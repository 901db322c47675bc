"""A violation of a rule, as all judges return it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Violation:
    """A rule that was broken at a time, and what was seen."""

    rule: str
    at: float
    what: str
