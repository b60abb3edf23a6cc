"""Errors of calls to the platform's object API."""

from dataclasses import dataclass
from enum import Enum


class PlatformFailure(Enum):
    """Name why a call to the platform failed."""

    UNAVAILABLE = "unavailable"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    EXPIRED = "expired"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class PlatformError:
    """Describe a failed call; a call that failed with `UNAVAILABLE` may have taken effect."""

    failure: PlatformFailure
    detail: str

    def __str__(self) -> str:
        """Return the failure and its detail."""
        return f"{self.failure.value}: {self.detail}"
