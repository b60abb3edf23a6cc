"""Set up and tear down the context that scenarios share."""

import os
import tempfile
import time
from pathlib import Path

import gevent
from hypothesis import HealthCheck, settings

from comfreyhitch.testing.fleet import (
    stop_fleet,
)

TEST_SEED_VARIABLE = "COMFREYHITCH_TEST_SEED"
# Names the file to which the start and end time of each scenario are appended.
TEST_TIMES_VARIABLE = "COMFREYHITCH_TEST_TIMES"
MAX_EXAMPLES = 200


def before_all(context):
    """Set the seed, so that each run draws the same examples and faults."""
    context.seed = int(os.environ.get(TEST_SEED_VARIABLE, "1"))
    settings.register_profile(
        "features",
        max_examples=MAX_EXAMPLES,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    settings.load_profile("features")


def before_scenario(context, scenario):
    """Create a temporary folder for the scenario, and reset its context."""
    context.temporary_folder = tempfile.TemporaryDirectory()
    context.folder = Path(context.temporary_folder.name)
    context.fleet = None
    context.fleet_settings = {}
    context.traffic = None
    context.scenario_started_at = time.monotonic()


def after_scenario(context, scenario):
    """Record when the scenario ran, stop its processes, and print their logs if it failed."""
    record_times(scenario, context.scenario_started_at)
    if context.traffic is not None:
        context.traffic.pause_seconds = -1.0
        gevent.killall(context.traffic.callers)
    if context.fleet is not None:
        stop_fleet(context.fleet)
    if scenario.status.has_failed():
        print_logs(context.folder)
    context.temporary_folder.cleanup()


def record_times(scenario, started_at):
    """Append the start and end of a scenario in monotonic seconds to the runner's file.

    The runner runs a failed scenario again if the machine was paused between these times.
    """
    path = os.environ.get(TEST_TIMES_VARIABLE)
    if path is not None:
        with Path(path).open("a") as times:
            times.write(f"{scenario.location} {started_at} {time.monotonic()}\n")


def print_logs(folder):
    """Print the last lines of each process's log."""
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text().splitlines()[-12:]
        print(f"--- {path.name}", *lines, sep="\n")
