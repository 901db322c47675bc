"""The exceptions of this package; `ConsensusError` is the base of all."""


class ConsensusError(Exception):
    """Base of all errors of this package; the text states the reason for human readers."""


class InvariantViolation(ConsensusError):
    """The node is in a state that the protocol rules out, and must stop rather than continue."""


class RequestRejected(ConsensusError):
    """This node can't serve a request at present; nothing was changed."""


class ForeignMessageError(ConsensusError):
    """Received data is no message for this node: malformed, or for another cluster, format or recipient."""


class StorageError(ConsensusError):
    """The data folder can't be used: locked, not writable, or of another node or format."""


class StorageCorruptedError(StorageError):
    """Parts of the data folder are missing or unreadable."""


class NoAnswerError(ConsensusError):
    """No coordinator gave a conclusive answer to a call in time.

    `maybe_written`: whether the call may have been executed nevertheless.
    """

    def __init__(self, text: str, maybe_written: bool) -> None:
        super().__init__(text)
        self.maybe_written = maybe_written
