"""Run one daemon on the platform, with the platform's settings file."""

import os
import sys
from pathlib import Path

import gevent

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.daemon.adapter import PlatformAdapter
from comfreyhitch.daemon.running import EXIT_INVALID_SETTINGS, SettingsFile, run
from comfreyhitch.platform.callers import make_platform_interface
from comfreyhitch.platform.documents import DOCUMENT_SOURCES
from comfreyhitch.platform.names import PLATFORM_TARGET_HEADERS
from comfreyhitch.platform.servers import make_servers
from comfreyhitch.platform.settings import (
    CONFIG_PATH_VARIABLE,
    get_addresses,
    make_settings,
    read_file,
)

DEFAULT_CONFIG_PATH = "/etc/comfreyhitch/node.conf"


def run_on_platform() -> int:
    """Run a daemon until a signal stops it, and return the exit code."""
    # The platform gives IP addresses, which need no name lookup. The default resolver runs
    # lookups in threads, which would delay each call to the store.
    gevent.config.resolver = "block"
    path = Path(os.environ.get(CONFIG_PATH_VARIABLE, DEFAULT_CONFIG_PATH))
    # Read before the settings, so that no change of the file goes unseen.
    file = SettingsFile.from_path(path)
    try:
        values = read_file(path)
        settings = make_settings(values, os.environ)
        addresses = get_addresses(values)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    adapter = PlatformAdapter(
        header_names=PLATFORM_TARGET_HEADERS,
        make_caller_interface=make_platform_interface,
        documents=DOCUMENT_SOURCES,
        make_servers=lambda daemon: make_servers(daemon, addresses),
    )
    run(settings, adapter, lambda: make_settings(read_file(path), os.environ), file)
    return 0
