"""Registry of system checks that run before a daemon starts."""

from collections.abc import Callable
from dataclasses import dataclass

from comfreyhitch.conf.models import Settings


@dataclass(frozen=True, slots=True)
class CheckError:
    """Describe a failed check: the setting, what is wrong with it, and the remedy."""

    setting: str
    message: str
    remedy: str

    def __str__(self) -> str:
        """Return the error on one line."""
        return f"{self.setting}: {self.message}; {self.remedy}"


Check = Callable[[Settings], list[CheckError]]

_checks: list[Check] = []


def register(check: Check) -> Check:
    """Add a check to those that run before the daemon starts."""
    _checks.append(check)
    return check


def run_checks(settings: Settings) -> list[CheckError]:
    """Return the errors of all checks."""
    return [error for check in _checks for error in check(settings)]
