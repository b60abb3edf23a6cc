"""Count the requests that the ingress sends to its target."""

from collections.abc import Callable
from dataclasses import dataclass

from comfreyhitch.usage.counts import UsageTable, count_start, count_withdrawal


@dataclass(frozen=True, slots=True)
class UsageRecorder:
    """Count requests by account and window; without a table, count nothing.

    `is_account` tells the tenants that are accounts; other requests are not counted.
    """

    table: UsageTable | None = None
    get_window: Callable[[], int] = lambda: 0
    is_account: Callable[[str], bool] = bool

    def start(self, account: str) -> int | None:
        """Count a request that is being sent, and return its window, or None if not counted."""
        if self.table is None or not self.is_account(account):
            return None
        window = self.get_window()
        count_start(self.table, window, account)
        return window

    def withdraw(self, account: str, window: int | None) -> None:
        """Take back the request of a window, since the target has proved that it did not run."""
        if self.table is not None and window is not None:
            count_withdrawal(self.table, window, account)


# For daemons without usage reports.
NO_USAGE_RECORDER = UsageRecorder()
