"""Run the measurements named on the command line, or all of them."""

import importlib
import sys
import tempfile
from pathlib import Path

from benchmarks.reporting import print_result
from comfreyhitch.testing.fleet import (
    Fleet,
    stop_fleet,
)

BENCHMARKS = ("latency", "choice", "zones", "rollouts", "once", "capacity")


def main() -> int:
    """Run the measurements, each with a fleet of its own."""
    names = sys.argv[1:] or list(BENCHMARKS)
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"no such measurement: {', '.join(unknown)}; there are {', '.join(BENCHMARKS)}")
        return 2
    for name in names:
        module = importlib.import_module(f"benchmarks.{name}")
        for run in module.RUNS:
            with tempfile.TemporaryDirectory() as folder:
                fleet = Fleet.from_folder(Path(folder))
                try:
                    for result in run(fleet):
                        print_result(name, result)
                finally:
                    stop_fleet(fleet)
    return 0


if __name__ == "__main__":
    sys.exit(main())
