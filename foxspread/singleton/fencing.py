"""The receiver's side of a singleton role: it obeys no order whose fencing token is lower than the highest
that it knows (M. Kleppmann, "How to do distributed locking" (2016)). No I/O.
"""

from collections.abc import Callable


class FencingGuard:
    """`highest_tokens`: by role, as kept over a restart; None where nothing was kept: then it has to learn
    them from the coordinators before it obeys anybody. `persist` is called with each higher one, and has it
    on disk when it returns: a receiver that forgot it would obey an earlier holder."""

    def __init__(self, highest_tokens: dict[str, int] | None, persist: Callable[[str, int], None]) -> None:
        self.highest_tokens, self.persist = highest_tokens, persist
        self.rejected = 0

    def admit(self, role: str, token: int) -> bool | None:
        """Whether an order under this token is to be obeyed; None: it can't know yet."""
        if self.highest_tokens is None:
            return None
        highest = self.highest_tokens.get(role, 0)
        if token < highest:
            self.rejected += 1
            return False
        if token > highest:
            self.persist(role, token)
            self.highest_tokens[role] = token
        return True

    def learn(self, tokens: dict[str, int]) -> None:
        """Takes the tokens of all roles as the coordinators have them, read after it began to ask."""
        highest_tokens = self.highest_tokens or {}
        for role, token in tokens.items():
            if token > highest_tokens.get(role, 0):
                self.persist(role, token)
                highest_tokens[role] = token
        self.highest_tokens = highest_tokens
