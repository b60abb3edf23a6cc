"""Check that the test of each guarantee fails without the mechanism behind it.

For each mechanism: copies the tree, disables the mechanism by changing a few lines,
runs one scenario and expects it to fail. Prints one line for each mechanism.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from removals import REMOVALS, Removal

ROOT = Path(__file__).resolve().parent.parent
SEED = "20261204"
TIMEOUT_SECONDS = 180


def main() -> int:
    """Run all removals, or those whose mechanism contains one of the given words."""
    words = sys.argv[1:]
    selected = [
        item for item in REMOVALS if not words or any(word in item.mechanism for word in words)
    ]
    still_passing = 0
    for removal in selected:
        is_failing, detail = run_without_mechanism(removal)
        still_passing += not is_failing
        print(
            f"{'red' if is_failing else 'STILL GREEN'}: without {removal.mechanism}: {detail}",
            flush=True,
        )
    print(f"{len(selected) - still_passing} passed, {still_passing} failed")
    return 1 if still_passing else 0


def run_without_mechanism(removal: Removal) -> tuple[bool, str]:
    """Return whether the scenario fails without the mechanism, and its failure."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder) / "tree"
        ignored = shutil.ignore_patterns(".git", ".venv", "__pycache__", ".ruff_cache")
        shutil.copytree(ROOT, copy, ignore=ignored)
        for name, old, new in removal.edits:
            path = copy / "comfreyhitch" / name
            text = path.read_text()
            if old not in text:
                return False, f"{name} no longer contains {old!r}"
            path.write_text(text.replace(old, new))
        command = [sys.executable, "-m", "behave", "--no-color", "--no-capture", "--stop"]
        command += ["--format", "progress3"]
        try:
            finished = subprocess.run(
                [*command, "--name", f"^{removal.scenario}$"],
                cwd=copy,
                env={**os.environ, "COMFREYHITCH_TEST_SEED": SEED},
                capture_output=True,
                text=True,
                timeout=TIMEOUT_SECONDS,
                check=False,
            )
        except subprocess.TimeoutExpired:
            return True, "timed out"
    return finished.returncode != 0, find_failure_reason(finished.stdout)


def find_failure_reason(output: str) -> str:
    """Return the failed step and its error, or else the end of a test run's output."""
    lines = output.splitlines()
    for position, line in enumerate(lines):
        if line.startswith(("FAILURE in step", "ERROR in step")):
            following = [
                item
                for item in lines[position:]
                if item.startswith(("ASSERT", "TimeoutError", "Assertion"))
            ]
            reason = following[0] if following else ""
            return f"{line.partition(' in step ')[2]} {reason}"[:200]
    is_passed = any(line.startswith("1 scenario passed") for line in lines)
    return "passed" if is_passed else " ".join(lines[-8:])[:200]


if __name__ == "__main__":
    sys.exit(main())
