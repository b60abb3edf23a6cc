"""Set up and tear down what scenarios share."""

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
# Names the file that tells the runner when each scenario ran.
TEST_TIMES_VARIABLE = "COMFREYHITCH_TEST_TIMES"
MAX_EXAMPLES = 200


def before_all(context):
    """Fix the seed, so that each run gives the same verdict."""
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
    """Give each scenario a folder of its own."""
    context.temporary_folder = tempfile.TemporaryDirectory()
    context.folder = Path(context.temporary_folder.name)
    context.fleet = None
    context.fleet_settings = {}
    context.traffic = None
    context.scenario_started_at = time.monotonic()


def after_scenario(context, scenario):
    """End the processes of the scenario, and note when it ran."""
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
    """Note from when until when a scenario ran, for the runner."""
    path = os.environ.get(TEST_TIMES_VARIABLE)
    if path is not None:
        with Path(path).open("a") as times:
            times.write(f"{scenario.location} {started_at} {time.monotonic()}\n")


def print_logs(folder):
    """Print the last lines of each process, for a failed scenario."""
    for path in sorted(folder.glob("*.log")):
        lines = path.read_text().splitlines()[-12:]
        print(f"--- {path.name}", *lines, sep="\n")
