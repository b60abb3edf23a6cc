"""Entry point of the command line."""

import sys


def main() -> int:
    """Run the command line, and return its exit code."""
    # Imported late: a daemon does not need the library of the command line, which costs memory.
    from comfreyhitch.management.application import make_application

    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
