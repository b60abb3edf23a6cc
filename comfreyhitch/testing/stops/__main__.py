"""Stop daemons under load as the plan of a seed says, and report requests without an end."""

import argparse
import sys
import tempfile
from pathlib import Path

from comfreyhitch.testing.stops.callers import LONG_SHARE
from comfreyhitch.testing.stops.records import CallerKind
from comfreyhitch.testing.stops.report import describe_run, list_bad_stops, write_records
from comfreyhitch.testing.stops.runner import run_stops

PLATFORM_GRACE_SECONDS = 6.0
DEFAULT_RATE = 450.0


def main() -> int:
    """Run the stops of one seed; return 1 if a request had no end or a process ended badly."""
    parser = argparse.ArgumentParser(
        description="Stop daemons under load, and find requests without an answer"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--stops", type=int, default=20, help="number of stops")
    parser.add_argument("--rate", type=float, default=DEFAULT_RATE, help="requests per second")
    parser.add_argument("--grace", type=float, default=PLATFORM_GRACE_SECONDS, help="seconds")
    parser.add_argument(
        "--kind", type=CallerKind, action="append", help="kind of callers; repeatable"
    )
    parser.add_argument(
        "--long-share", type=float, default=LONG_SHARE, help="share of long requests"
    )
    parser.add_argument(
        "--series", action="store_true", help="several signals in a stop, and overlapping stops"
    )
    parser.add_argument("--keep", type=Path, help="folder for the records and the daemons' logs")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as temporary_folder:
        folder = arguments.keep or Path(temporary_folder)
        folder.mkdir(parents=True, exist_ok=True)
        kinds = arguments.kind or tuple(CallerKind)
        run = run_stops(
            arguments.seed,
            arguments.stops,
            folder,
            rate=arguments.rate,
            grace_seconds=arguments.grace,
            kinds=kinds,
            long_share=arguments.long_share,
            has_series=arguments.series,
        )
        write_records(run, folder / "records.jsonl")
        print(f"seed {arguments.seed}: {describe_run(run)}")
    return 1 if run.findings.unended or list_bad_stops(run) else 0


if __name__ == "__main__":
    sys.exit(main())
