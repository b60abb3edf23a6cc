"""Run one daemon until a signal stops it."""

import logging
import signal
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import gevent

from comfreyhitch.conf.models import Settings
from comfreyhitch.core.clock import Clock
from comfreyhitch.daemon.adapter import DEFAULT_ADAPTER, PlatformAdapter
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.early_signals import STOP_SIGNALS, ignore_signals
from comfreyhitch.daemon.reloading import reload_settings
from comfreyhitch.daemon.shutdown import stop_gracefully
from comfreyhitch.daemon.startup import start
from comfreyhitch.daemon.stop_reports import handle_reload_signal, handle_stop_signal
from comfreyhitch.telemetry.logs import configure_logging
from comfreyhitch.utils.memory_allocator import return_freed_buffers

logger = logging.getLogger(__name__)

EXIT_INVALID_SETTINGS = 2
SETTINGS_POLL_SECONDS = 1.0


@dataclass(slots=True)
class SettingsFile:
    """Hold the path of a settings file, and its content when it was last found to differ."""

    path: Path
    content: bytes | None

    @classmethod
    def from_path(cls, path: Path) -> "SettingsFile":
        """Read the content of a file; the settings are read from the file after that."""
        return cls(path, _read_content(path))


def run(
    settings: Settings,
    adapter: PlatformAdapter = DEFAULT_ADAPTER,
    read_settings: Callable[[], Settings] | None = None,
    settings_file: SettingsFile | None = None,
) -> None:
    """Run a daemon until SIGTERM or SIGINT arrives.

    SIGHUP reloads the settings, and so does a change of `settings_file`.
    """
    handler = configure_logging(settings.log_level, settings.advertised_peer_address)
    return_freed_buffers()
    daemon = Daemon.from_settings(settings, Clock.from_system(), adapter)
    for number in STOP_SIGNALS:
        gevent.signal_handler(number, handle_stop_signal, daemon, number)
    daemon.read_settings = read_settings
    gevent.signal_handler(signal.SIGHUP, handle_reload_signal, daemon, signal.SIGHUP)
    if settings_file is not None:
        gevent.spawn(_watch_settings_file, daemon, settings_file)
    start(daemon)
    daemon.stop_requested.wait()
    stop_gracefully(daemon)
    ignore_signals()
    handler.flush_at_exit()


def _watch_settings_file(daemon: Daemon, file: SettingsFile) -> None:
    while True:
        found = _read_content(file.path)
        if found is not None and found != file.content:
            file.content = found
            _try_to_reload(daemon)
        gevent.sleep(SETTINGS_POLL_SECONDS)


def _try_to_reload(daemon: Daemon) -> None:
    try:
        reload_settings(daemon)
    except Exception:
        # The watch goes on: the next change of the file may be readable.
        logger.exception("settings could not be reloaded")


def _read_content(path: Path) -> bytes | None:
    try:
        return path.read_bytes()
    except OSError:
        # The file is being replaced; the next poll finds it.
        return None
