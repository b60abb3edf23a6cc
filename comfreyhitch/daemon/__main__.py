"""Run one daemon with the settings in the environment."""

import os
import signal
import sys

import gevent

import comfreyhitch.conf.checks  # noqa: F401  Registers the checks.
from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.loader import load_settings
from comfreyhitch.conf.models import Settings
from comfreyhitch.core.checks import run_checks
from comfreyhitch.core.clock import Clock
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.shutdown import stop_gracefully
from comfreyhitch.daemon.startup import start
from comfreyhitch.telemetry.logs import configure_logging

EXIT_BAD_SETTINGS = 2


def run(settings: Settings) -> None:
    """Run a daemon until it is told to stop."""
    daemon = Daemon.from_settings(settings, Clock.from_system())
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, daemon.stopping.set)
    start(daemon)
    daemon.stopping.wait()
    stop_gracefully(daemon)


def main() -> int:
    """Run a daemon with the settings in the environment, and return the exit code."""
    try:
        settings = load_settings(os.environ, {})
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    errors = run_checks(settings)
    if errors:
        for error in errors:
            print(error, file=sys.stderr)
        return EXIT_BAD_SETTINGS
    configure_logging(settings.log_level, settings.advertised_peer_address)
    run(settings)
    return 0


if __name__ == "__main__":
    sys.exit(main())
