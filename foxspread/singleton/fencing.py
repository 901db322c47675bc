"""The receiver's side of a singleton role: a receiver rejects commands whose fencing token is lower than the
highest one that it knows (M. Kleppmann, "How to do distributed locking" (2016)). No I/O.
"""

from collections.abc import Callable


class FencingGuard:
    """Admits or rejects commands by their fencing token.

    highest_tokens: by role, as kept across a restart. None if nothing was kept: then the receiver has to
    learn them from the coordinators before it admits any command.
    persist: called with each higher token; must have stored it on disk when it returns. A receiver that lost
    it would admit commands of an earlier holder.
    """

    def __init__(self, highest_tokens: dict[str, int] | None, persist: Callable[[str, int], None]) -> None:
        self.highest_tokens, self.persist = highest_tokens, persist
        self.rejected = 0

    def admit(self, role: str, token: int) -> bool | None:
        """Returns whether to carry out a command under this token; None if the tokens are not known yet."""
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
        """Takes over the tokens of all roles, read from the coordinators after this receiver asked."""
        highest_tokens = self.highest_tokens or {}
        for role, token in tokens.items():
            if token > highest_tokens.get(role, 0):
                self.persist(role, token)
                highest_tokens[role] = token
        self.highest_tokens = highest_tokens
