"""Run a small deployment for the cases 6 to 9, and send requests to it as clients do."""

import http.client
import os
import shutil
import signal
import sys
import tempfile
import time
import uuid
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from comfreyhitch.testing.fleet import Fleet
from comfreyhitch.testing.platform_fleet import stop_platform_fleet
from comfreyhitch.testing.platform_models import HOST_NAME, OUTBOUND_PORT, PlatformFleet

HELD = 0
BROKEN = 1
CANNOT_RUN = 2
MAX_RUN_SECONDS = 115
CLIENT_THREADS = 48
# The settings that the platform's pages show for a small deployment.
SMALL_DEPLOYMENT = {
    "MachineClass": "sidecar",
    "Serves": "sidecar",
    "Bootstrap": "true",
    "Limits.CpuShare": "0.86",
    "Limits.Cores": "1",
    "Limits.MemoryMb": "300",
    "Limits.MaxFds": "4100",
    "Limits.LinkMbps": "1000.0",
    "Discovery": "local",
    "Entry": "local",
    "Heartbeat": "1500ms",
    "Contracts": "base,drain,config,cost,retry,recover,health,places,rollout,platform",
    "Bounds.Contact": "3000ms",
    "Bounds.Ack": "4000ms",
    "Bounds.Drain": "2000ms",
    "Bounds.LossSlack": "200ms",
    "Bounds.ConfigApply": "2000ms",
    "Bounds.RollbackSlack": "250ms",
    "Bounds.StretchMax": "5000ms",
    "Bounds.Evacuate": "5000ms",
    "Platform.form": "objects",
    "Platform.WritesPerS": "400",
    "Platform.ReadsPerS": "2000",
    "Platform.History": "20s",
}
GRACE_SECONDS = 6.0


@dataclass(slots=True)
class Sent:
    """Hold one request as its client saw it; times are Unix seconds, status 0 is no answer."""

    request_id: str
    machine: str
    path: str
    sent_at: float
    answered_at: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class Record:
    """Write what happens, with the seconds since the start, to `record.txt` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", buffering=1)
        self._started_at = time.time()

    def write(self, text: str, at: float | None = None) -> None:
        """Write one line."""
        seconds = (time.time() if at is None else at) - self._started_at
        self._file.write(f"{seconds:8.3f} {text}\n")

    def write_sent(self, sent: Sent) -> None:
        """Write one request and its answer."""
        answer = sent.status or f"no answer ({sent.error})"
        milliseconds = round((sent.answered_at - sent.sent_at) * 1000)
        line = f"{sent.request_id} {sent.path} at {sent.machine}: {answer} after {milliseconds} ms"
        self.write(line, sent.sent_at)


def make_fleet(folder: Path) -> PlatformFleet:
    """Return an empty fleet with the settings of a small deployment."""
    fleet = Fleet.from_folder(folder)
    return PlatformFleet(fleet, grace_seconds=GRACE_SECONDS, settings=dict(SMALL_DEPLOYMENT))


def send_request(
    host: str,
    path: str,
    *,
    method: str = "POST",
    body: bytes = b"{}",
    deadline_ms: int = 2500,
    machine: str = "",
) -> Sent:
    """Send one request on a new connection, with an id of its own."""
    sent = Sent(uuid.uuid4().hex[:16], machine or host, path, time.time())
    connection = http.client.HTTPConnection(host, OUTBOUND_PORT, timeout=deadline_ms / 1000 + 2)
    headers = {
        "Host": HOST_NAME,
        "X-Comfreyhitch-Request-Id": sent.request_id,
        "X-Comfreyhitch-Deadline-Ms": str(deadline_ms),
    }
    try:
        connection.request(method, path, body or None, headers)
        response = connection.getresponse()
        sent.body = response.read()
        sent.status = response.status
        sent.headers = {name.lower(): value for name, value in response.getheaders()}
    except (OSError, http.client.HTTPException) as error:
        sent.error = repr(error)
    finally:
        connection.close()
    sent.answered_at = time.time()
    return sent


def send_all(calls: list[Callable[[], Sent]]) -> list[Sent]:
    """Send requests, some of them at the same time, and return them in order."""
    with ThreadPoolExecutor(CLIENT_THREADS) as pool:
        return list(pool.map(lambda call: call(), calls))


def run_case(file: str, play: Callable[[PlatformFleet, Record, bool], bool]) -> None:
    """Play a case and end the process: 1 if its rule was broken, 0 if it held, 2 if it can't run.

    `play` gets an empty fleet, the record, and whether there is trouble; it returns whether the
    rule was broken.
    """
    # A terminated run ends its processes too.
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGALRM):
        signal.signal(number, _stop_run)
    signal.alarm(MAX_RUN_SECONDS)
    record = Record(Path(file).resolve().parent)
    folder = Path(tempfile.mkdtemp(prefix="comfreyhitch-case-"))
    fleet = make_fleet(folder)
    status = CANNOT_RUN
    try:
        has_trouble = os.environ.get("TROUBLE", "1") != "0"
        record.write(f"trouble: {'yes' if has_trouble else 'no'}")
        status = BROKEN if play(fleet, record, has_trouble) else HELD
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}", file=sys.stderr)
    finally:
        stop_platform_fleet(fleet)
        with suppress(OSError):
            shutil.rmtree(folder)
    record.write(f"exit {status}")
    print({HELD: "held", BROKEN: "broken", CANNOT_RUN: "could not run"}[status])
    sys.exit(status)


def _stop_run(number: int, _: object) -> None:
    raise TimeoutError(f"stopped by signal {number}")
