"""Errors of connections between daemons."""


class PeerError(Exception):
    """Report a failed call to another daemon; `sent` says if the request may have left."""

    def __init__(self, message: str, *, sent: bool) -> None:
        super().__init__(message)
        self.sent = sent


class PeerTimeoutError(PeerError):
    """Report that no answer came in time."""
