"""Exit codes of the commands, which scripts can rely on."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Define the exit codes of all commands."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNAVAILABLE = 4
    IN_PROGRESS = 5
    ROLLED_BACK = 6
