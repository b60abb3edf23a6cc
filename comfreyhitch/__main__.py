"""Entry point of the command line."""

import sys


def main() -> int:
    """Run the command line, and return its exit code."""
    # The command line's library costs memory that a daemon does without.
    from comfreyhitch.management.application import make_application

    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
