"""Run one case, write its record, and return its exit code."""

import asyncio
import os
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from review.standins.fleet import Deployment, SetupError, make_deployment, note, stop_all

HELD = 0
BROKEN = 1
NOT_RUN = 2
LIMIT_SECONDS = 115.0


def run_case(folder: Path, play: Callable[[Deployment, bool], Awaitable[bool]]) -> None:
    """Play a case, and exit with 1 if it returns that the rule was broken.

    The second argument of `play` says whether the disruption takes place.
    """
    sys.exit(asyncio.run(_run(folder, play)))


async def _run(folder: Path, play: Callable[[Deployment, bool], Awaitable[bool]]) -> int:
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = make_deployment()
    code = NOT_RUN
    try:
        async with asyncio.timeout(LIMIT_SECONDS):
            code = BROKEN if await play(deployment, has_trouble) else HELD
    except (SetupError, OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        note(deployment, f"case could not run: {error!r}")
    finally:
        _write_record(folder, deployment, code)
        await stop_all(deployment)
    print("\n".join(line for line in deployment.log if "  result" in line) or f"code {code}")
    return code


def _write_record(folder: Path, deployment: Deployment, code: int) -> None:
    began_at = deployment.began_at
    lines = [*deployment.log, "", "requests: sent, answered, status, id, path, detail"]
    lines.extend(
        f"{item.sent_at - began_at:8.3f} {item.answered_at - began_at:8.3f} {item.status:3d}"
        f" {item.request_id} {item.path} {item.detail}"
        for item in deployment.answers
    )
    lines += ["", "arrivals at upstreams: time, id, instance, path, run"]
    arrivals = [
        item
        for machine in deployment.machines
        if machine.upstream is not None
        for item in machine.upstream.arrivals
    ]
    lines.extend(
        f"{item.at - began_at:8.3f} {item.request_id} {item.instance_id} {item.path} {item.is_run}"
        for item in sorted(arrivals, key=lambda item: item.at)
    )
    lines.append(f"exit code {code}")
    (folder / "record.txt").write_text("\n".join(lines) + "\n")
