"""Run the benchmarks named on the command line, or all of them."""

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
    """Run each measurement of the benchmarks on a new fleet; return 2 for an unknown name."""
    names = sys.argv[1:] or list(BENCHMARKS)
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"unknown benchmark: {', '.join(unknown)}; available: {', '.join(BENCHMARKS)}")
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
