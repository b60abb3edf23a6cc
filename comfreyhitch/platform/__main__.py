"""Start one daemon on the platform."""

import sys

from comfreyhitch.utils.collection import imported_for_good


def main() -> int:
    """Run a daemon until it is told to stop, and return the exit code."""
    with imported_for_good():
        from comfreyhitch.platform.program import run_on_platform
    return run_on_platform()


if __name__ == "__main__":
    sys.exit(main())
