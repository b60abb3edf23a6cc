"""Run one daemon until it is told to stop."""

import signal

import gevent

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.clock import Clock
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.border import OWN_BORDER, Border
from comfreyhitch.daemon.shutdown import stop_gracefully
from comfreyhitch.daemon.startup import start
from comfreyhitch.telemetry.logs import configure_logging

EXIT_BAD_SETTINGS = 2


def run(settings: Settings, border: Border = OWN_BORDER) -> None:
    """Run a daemon until it is told to stop."""
    handler = configure_logging(settings.log_level, settings.advertised_peer_address)
    daemon = Daemon.from_settings(settings, Clock.from_system(), border)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, daemon.stopping.set)
    gevent.signal_handler(signal.SIGHUP, daemon.reload)
    start(daemon)
    daemon.stopping.wait()
    stop_gracefully(daemon)
    handler.flush_at_exit()
