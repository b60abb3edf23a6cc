"""Test that a daemon tells when it does not run its greenlets."""

import logging
import time
from contextlib import contextmanager

import gevent
from behave import then

from comfreyhitch.core.clock import Clock
from comfreyhitch.telemetry import stalls
from comfreyhitch.telemetry.metrics import Metrics
from comfreyhitch.wire.read_loops import ReadLoop, ReadSource, record_bytes, take_longest_turn


class LineHandler(logging.Handler):
    """Keep the records of a logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a record."""
        self.records.append(record)


@contextmanager
def watched_stalls():
    """Watch this process for stalls; yield its metrics, and the records of the log."""
    handler = LineHandler()
    logger = logging.getLogger(stalls.__name__)
    logger.addHandler(handler)
    metrics = Metrics.create().control
    # Forgets what earlier scenarios have read.
    take_longest_turn()
    watching = gevent.spawn(stalls.watch_for_stalls, Clock.from_system(), metrics)
    gevent.sleep(0)
    try:
        yield metrics, handler.records
    finally:
        watching.kill()
        logger.removeHandler(handler)


def stall(seconds):
    """Keep all other greenlets from running, then let them run."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        pass
    gevent.sleep(0.001)


@then("a stall is logged and counted with its processor time and the longest read")
def check_stall(context):
    with watched_stalls() as (metrics, records):
        loop = ReadLoop(ReadSource.TARGET, "10.0.0.7:9000")
        record_bytes(loop, 65_536, 0.03)
        # A stall of 100 ms is seen wherever it falls between two checks.
        stall(0.1)
        gevent.sleep(0.02)
    assert len(records) == 1, records
    fields = vars(records[0])
    assert fields["ms"] >= 50 and fields["processor_ms"] >= 20, fields
    assert fields["longest_read"] == "response of the target", fields
    assert (fields["peer"], fields["read_bytes"]) == ("10.0.0.7:9000", 65_536), fields
    assert metrics.stalls.get({}) == 1
    assert metrics.stall_seconds.get({}) >= 0.05


@then("a burst of stalls is counted whole, and logged in part")
def check_stall_burst(context):
    count = 12
    with watched_stalls() as (metrics, records):
        for _ in range(count):
            stall(0.11)
            gevent.sleep(0.02)
    counted = metrics.stalls.get({})
    assert counted >= count - 2, counted
    assert len(records) < counted, len(records)
