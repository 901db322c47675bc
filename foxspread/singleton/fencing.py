"""A receiver's part: it obeys orders with a token not lower than the highest that it knows. Without I/O."""

from collections.abc import Callable


class Guard:
    """`known`: the highest tokens by duty, as kept over a restart; None where nothing was kept: then it has
    to learn them from the coordinators before it obeys anybody. `keep` is told each higher one, and has it
    saved when it returns: a receiver that forgot it would obey an older owner."""

    def __init__(self, known: dict[str, int] | None, keep: Callable[[str, int], None]) -> None:
        self.known, self.keep = known, keep
        self.refused = 0

    def admit(self, duty: str, token: int) -> bool | None:
        """None: it can't know yet."""
        if self.known is None:
            return None
        if token < self.known.get(duty, 0):
            self.refused += 1
            return False
        if token > self.known.get(duty, 0):
            self.keep(duty, token)
            self.known[duty] = token
        return True

    def learn(self, tokens: dict[str, int]) -> None:
        """As the coordinators have them, read after it began to ask."""
        known = self.known or {}
        for duty, token in tokens.items():
            if token > known.get(duty, 0):
                self.keep(duty, token)
                known[duty] = token
        self.known = known
