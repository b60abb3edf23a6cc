"""Run one daemon with the settings in the environment."""

import os
import sys

from comfreyhitch.daemon.early_signals import handle_early_signals


def main() -> int:
    """Run a daemon with the settings in the environment, and return the exit code."""
    handle_early_signals()
    # Imported late: a signal that arrives during the imports is handled already.
    import comfreyhitch.conf.checks  # noqa: F401  Registers the checks.
    from comfreyhitch.conf.exceptions import SettingsError
    from comfreyhitch.conf.loader import load_settings
    from comfreyhitch.core.checks import run_checks
    from comfreyhitch.daemon.running import EXIT_INVALID_SETTINGS, run

    try:
        settings = load_settings(os.environ, {})
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    errors = run_checks(settings)
    if errors:
        for error in errors:
            print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    run(settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
