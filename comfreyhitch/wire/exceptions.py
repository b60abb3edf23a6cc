"""Errors of connections to peers."""


class PeerError(Exception):
    """Report a failed call; `may_be_sent` says whether the request may have reached the peer."""

    def __init__(self, message: str, *, may_be_sent: bool) -> None:
        super().__init__(message)
        self.may_be_sent = may_be_sent


class PeerTimeoutError(PeerError):
    """Report that no answer arrived in time."""


class AnswerNotHeldError(PeerError):
    """Report that a daemon has no memory for the answer of a peer."""


class NoRoomError(OSError):
    """Signal that there is no memory for what a peer sends."""
