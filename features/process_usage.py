"""Sample the memory and the open descriptors of processes while a scenario runs."""

from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import gevent

SAMPLE_INTERVAL_SECONDS = 0.05
# Bytes that have been received and not yet read are sampled less often, since it takes longer.
SAMPLES_BETWEEN_UNREAD_BYTES = 4
BYTES_PER_KILOBYTE = 1024
# Columns of /proc/net/tcp.
LOCAL_ADDRESS_COLUMN = 1
QUEUES_COLUMN = 4


@dataclass
class ProcessUsage:
    """Hold the peaks of one process's memory and descriptors."""

    pid: int
    host: str
    # Resident memory and the bytes that its connections have received and not yet read.
    peak_bytes: int = 0
    peak_resident_bytes: int = 0
    peak_descriptors: int = 0


@dataclass
class UsageSampler:
    """Sample the usage of processes until it is stopped."""

    usage_by_name: dict[str, ProcessUsage] = field(default_factory=dict)
    samples: int = 0

    def run(self) -> None:
        """Take samples until the greenlet is killed."""
        while True:
            self.take_sample()
            gevent.sleep(SAMPLE_INTERVAL_SECONDS)

    def take_sample(self) -> None:
        """Update the peaks of all processes that run."""
        unread_bytes_by_host = {}
        if self.samples % SAMPLES_BETWEEN_UNREAD_BYTES == 0:
            unread_bytes_by_host = read_unread_bytes_by_host()
        self.samples += 1
        for usage in self.usage_by_name.values():
            resident_bytes = read_resident_bytes(usage.pid)
            total_bytes = resident_bytes + unread_bytes_by_host.get(usage.host, 0)
            usage.peak_resident_bytes = max(usage.peak_resident_bytes, resident_bytes)
            usage.peak_bytes = max(usage.peak_bytes, total_bytes)
            usage.peak_descriptors = max(usage.peak_descriptors, count_descriptors(usage.pid))


@contextmanager
def sampling_usage(instances):
    """Sample the daemons of instances; yield their usage by the instance's name."""
    sampler = UsageSampler(
        {item.name: ProcessUsage(item.daemon.pid, item.host) for item in instances}
    )
    greenlet = gevent.spawn(sampler.run)
    try:
        yield sampler.usage_by_name
    finally:
        greenlet.kill()
        sampler.samples = 0
        sampler.take_sample()


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process, 0 if it does not run."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return 0
    kilobytes = next((int(line.split()[1]) for line in lines if line.startswith("VmRSS:")), 0)
    return kilobytes * BYTES_PER_KILOBYTE


def count_descriptors(pid: int) -> int:
    """Return how many descriptors a process has open, 0 if it does not run."""
    try:
        return sum(1 for _ in Path(f"/proc/{pid}/fd").iterdir())
    except OSError:
        return 0


def read_unread_bytes_by_host() -> dict[str, int]:
    """Return the received and unread bytes of all connections by their local address."""
    bytes_by_host: dict[str, int] = {}
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        columns = line.split()
        _, _, unread = columns[QUEUES_COLUMN].partition(":")
        if int(unread, 16) == 0:
            continue
        address, _, _ = columns[LOCAL_ADDRESS_COLUMN].partition(":")
        host = ".".join(str(octet) for octet in bytes.fromhex(address)[::-1])
        bytes_by_host[host] = bytes_by_host.get(host, 0) + int(unread, 16)
    return bytes_by_host
