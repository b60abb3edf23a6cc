"""Start one daemon on the platform."""

import sys

from comfreyhitch.daemon.early_signals import handle_early_signals
from comfreyhitch.utils.garbage_collection import frozen_imports


def main() -> int:
    """Run a daemon until a signal stops it, and return the exit code."""
    handle_early_signals()
    with frozen_imports():
        from comfreyhitch.platform.startup import run_on_platform
    return run_on_platform()


if __name__ == "__main__":
    sys.exit(main())
