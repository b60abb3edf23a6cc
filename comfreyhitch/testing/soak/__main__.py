"""Run soaks with given seeds or with fresh ones."""

import argparse
import shutil
import sys
import tempfile
from pathlib import Path
from random import SystemRandom

from comfreyhitch.testing.soak.runner import SoakResult, run_soak

MAX_SEED = 2**32
MAX_SHOWN_VIOLATIONS = 10


def main() -> int:
    """Run soaks one after the other; return 1 if any found a violation or failed."""
    parser = argparse.ArgumentParser(
        description="Inject random faults into a fleet of real processes, and check its guarantees"
    )
    parser.add_argument("--seed", type=int, action="append", help="seed of a soak; repeatable")
    parser.add_argument("--fresh", type=int, default=0, help="number of soaks with fresh seeds")
    parser.add_argument("--seconds", type=float, default=32.0, help="length of each soak")
    parser.add_argument("--keep", type=Path, help="folder for the logs of soaks that failed")
    arguments = parser.parse_args()
    random = SystemRandom()
    seeds = [*(arguments.seed or []), *(random.randrange(MAX_SEED) for _ in range(arguments.fresh))]
    failed_count = 0
    for seed in seeds:
        has_failed, text = _run_one(seed, arguments.seconds, arguments.keep)
        failed_count += has_failed
        print(text, flush=True)
    print(f"{len(seeds) - failed_count} passed, {failed_count} failed")
    return 1 if failed_count else 0


def _run_one(seed: int, seconds: float, keep: Path | None) -> tuple[bool, str]:
    """Return whether a soak found a violation or failed to finish, and its report."""
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = run_soak(seed, seconds, Path(folder))
            has_failed, text = bool(result.violations), describe(result)
        except Exception as error:
            # The other seeds still run; the logs of this one can be kept to show why it failed.
            has_failed, text = True, f"seed {seed}: the soak itself failed: {error!r}"
        if has_failed and keep is not None:
            shutil.copytree(folder, keep / str(seed), dirs_exist_ok=True)
        return has_failed, text


def describe(result: SoakResult) -> str:
    """Return a report of a soak's faults, response statuses and violations."""
    statuses = ", ".join(
        f"{status}: {count}" for status, count in sorted(result.status_counts.items())
    )
    lines = [
        f"seed {result.seed}: {result.fault_counts.total()} faults; response statuses {statuses}; "
        f"longest daemon stop, restart included, {result.longest_stop_seconds:.1f} s"
    ]
    lines += [f"  BROKEN {line}" for line in result.violations[:MAX_SHOWN_VIOLATIONS]]
    if len(result.violations) > MAX_SHOWN_VIOLATIONS:
        lines.append(f"  and {len(result.violations) - MAX_SHOWN_VIOLATIONS} more")
    return "\n".join(lines)


if __name__ == "__main__":
    sys.exit(main())
