"""Compute statistics of benchmarks, and print their results."""

import json
import os
from collections.abc import Sequence
from pathlib import Path

CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


def print_result(benchmark: str, result: dict[str, object]) -> None:
    """Print one result as a JSON line."""
    print(json.dumps({"benchmark": benchmark, **result}), flush=True)


def get_quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile of values, or 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def summarize_ms(seconds: Sequence[float]) -> dict[str, float]:
    """Return the quantiles p50, p99 and p99.9 in milliseconds."""
    return {
        name: round(get_quantile(seconds, share) * 1000, 3)
        for name, share in (("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999))
    }


def get_cpu_seconds(process_id: int) -> float:
    """Return the user and system CPU time of a process in seconds."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_SECOND


def get_resident_mb(process_id: int) -> float:
    """Return the resident memory of a process in MB."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return round(int(line.split()[1]) / 1024, 1)
    return 0.0
