"""Run all features, tolerate the known failures, and print one line of counts.

A scenario that fails during a pause of the whole machine is run again. Any other
failure is final.
"""

import json
import os
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom

from pauses import PauseDetector

ROOT = Path(__file__).resolve().parent.parent
KNOWN_FAILURES_PATH = ROOT / "KNOWN-RED.txt"
CI_SEED = "20261204"
TIMES_VARIABLE = "COMFREYHITCH_TEST_TIMES"
MAX_RUNS_AFTER_PAUSES = 3


@dataclass(frozen=True)
class Result:
    """Hold the outcome of one scenario."""

    name: str
    location: str
    is_passed: bool
    # The longest pause of the machine during the scenario, or 0.
    pause_seconds: float


def main() -> int:
    """Run the features; return 1 if an unexpected failure occurs or the run itself fails."""
    has_random_seed = "--explore" in sys.argv
    seed = str(SystemRandom().randrange(2**32)) if has_random_seed else CI_SEED
    print(f"seed {seed}", flush=True)
    selected = [argument for argument in sys.argv[1:] if argument != "--explore"]
    detector = PauseDetector()
    detector.start()
    results, exit_code = run_features(seed, selected, detector)
    has_run_failed = exit_code != 0 and all(result.is_passed for result in results)
    results = [rerun_if_paused(result, seed, detector) for result in results]
    known_failures = read_known_failures()
    failed = [result for result in results if not result.is_passed]
    passed = [result for result in results if result.is_passed]
    unexpected = [result for result in failed if result.name not in known_failures]
    for name, line in known_failures.items():
        report_known_failure(name, line, results)
    for result in unexpected:
        print(f"FAILED {result.name}")
    if has_run_failed or not results:
        print("test run failed: behave failed outside a scenario or ran none")
    print(f"{len(passed)} passed, {len(unexpected)} failed")
    return 1 if unexpected or has_run_failed or not results else 0


def rerun_if_paused(result: Result, seed: str, detector: PauseDetector) -> Result:
    """Return the result of a scenario, running it again if it failed during a pause."""
    for _ in range(MAX_RUNS_AFTER_PAUSES):
        if result.is_passed or not result.pause_seconds:
            return result
        print(
            f"MACHINE PAUSED for {result.pause_seconds:.1f} s during {result.name}: running again"
        )
        rerun_results, _ = run_features(seed, [result.location], detector)
        result = next((item for item in rerun_results if item.name == result.name), result)
    return result


def run_features(
    seed: str, selected: list[str], detector: PauseDetector
) -> tuple[list[Result], int]:
    """Run behave; return the outcome of each scenario, and the exit code of behave."""
    with tempfile.TemporaryDirectory() as folder:
        report_path = Path(folder) / "report.json"
        times_path = Path(folder) / "times"
        # Behave pairs each --format with the --outfile at the same position.
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture"]
        command += ["--format", "json", "--outfile", str(report_path), "--format", "progress3"]
        environment = {**os.environ, "COMFREYHITCH_TEST_SEED": seed}
        environment[TIMES_VARIABLE] = str(times_path)
        exit_code = subprocess.run(
            [*command, *selected], cwd=ROOT, env=environment, check=False
        ).returncode
        if not report_path.exists():
            return [], exit_code
        pauses_by_location = read_pauses(times_path, detector)
        return read_report(json.loads(report_path.read_text()), pauses_by_location), exit_code


def read_pauses(times_path: Path, detector: PauseDetector) -> dict[str, float]:
    """Return the seconds of the longest pause during each scenario by its location."""
    lines = times_path.read_text().splitlines() if times_path.exists() else []
    pauses_by_location = {}
    for line in lines:
        location, started_at, ended_at = line.rsplit(" ", 2)
        pauses_by_location[location] = detector.get_longest_pause_seconds(
            float(started_at), float(ended_at)
        )
    return pauses_by_location


def read_report(report: list[dict], pauses_by_location: dict[str, float]) -> list[Result]:
    """Return the outcome of each scenario that was run."""
    results = []
    for feature in report:
        for element in feature.get("elements", []):
            if element["type"] != "scenario" or element["status"] == "skipped":
                continue
            is_passed = element["status"] == "passed"
            # The examples of an outline without a name leave a space at the end.
            name = f"{feature['name']}: {element['name'].strip()}"
            location = element["location"]
            pause_seconds = pauses_by_location.get(location, 0.0)
            results.append(Result(name, location, is_passed, pause_seconds))
    return results


def read_known_failures() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by the full name of their scenario."""
    lines = KNOWN_FAILURES_PATH.read_text().splitlines() if KNOWN_FAILURES_PATH.exists() else []
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.partition("|")[0].strip(): line for line in entries}


def report_known_failure(name: str, line: str, results: list[Result]) -> None:
    """Print whether a known failure still fails, passes now or was not run."""
    outcomes = [result.is_passed for result in results if result.name == name]
    if not outcomes:
        print(f"KNOWN RED, not run: {line}")
    elif all(outcomes):
        print(f"KNOWN RED HAS TURNED GREEN, remove it: {line}")
    else:
        print(f"KNOWN RED, still failing: {line}")


if __name__ == "__main__":
    sys.exit(main())
