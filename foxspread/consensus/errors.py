"""The errors of this package, in one tree."""


class ConsensusError(Exception):
    """Base of all errors that this package raises; the text says why, for people."""


class InvariantViolation(ConsensusError):
    """Something was observed that the protocol rules out. The node must stop rather than continue."""


class RequestRejected(ConsensusError):
    """A request can't be served by this node at this time; nothing was changed."""


class ForeignMessageError(ConsensusError):
    """A message that is not for this node: another cluster, format or recipient, or no message at all."""


class StorageError(ConsensusError):
    """The data folder can't be used: locked, not writable, of another node or format."""


class StorageCorruptedError(StorageError):
    """The data folder was written by this node's software, and parts are missing or unreadable."""


class NoAnswerError(ConsensusError):
    """No coordinator answered a call conclusively in time.

    `maybe_written`: the call may have been carried out nevertheless.
    """

    def __init__(self, text: str, maybe_written: bool) -> None:
        super().__init__(text)
        self.maybe_written = maybe_written
