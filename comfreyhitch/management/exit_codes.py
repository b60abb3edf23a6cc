"""Exit codes of the commands, for scripts."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Name how a command ended."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    IN_PROGRESS = 5
    ROLLED_BACK = 6
