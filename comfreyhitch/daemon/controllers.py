"""Periodic controllers of a daemon."""

import logging
from collections.abc import Callable
from datetime import timedelta

import gevent

from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.observers import forget_expired
from comfreyhitch.egress.probes import send_probes
from comfreyhitch.ingress.health import check_target
from comfreyhitch.membership.detector import list_reachable_peers, run_round
from comfreyhitch.replication.facts import expire_facts
from comfreyhitch.replication.sync import sync_with_peer

logger = logging.getLogger(__name__)

PROBE_INTERVAL = timedelta(milliseconds=100)
EXPIRY_INTERVAL = timedelta(seconds=5)
JOIN_RETRY_INTERVAL = timedelta(seconds=1)
PAUSE_CHECK_INTERVAL = timedelta(milliseconds=500)
# A tick that comes this late means that the process was frozen, not busy.
PAUSE_THRESHOLD = timedelta(seconds=3)
STALE_SYNC_TRIES = 5


def start_controllers(daemon: Daemon) -> None:
    """Start every controller in a greenlet of its own."""
    settings = daemon.settings
    loops = [
        (settings.gossip_interval, lambda: run_round(daemon.detector)),
        (settings.sync_interval, lambda: _sync_with_random_peer(daemon)),
        (PROBE_INTERVAL, lambda: send_probes(daemon.egress)),
        (EXPIRY_INTERVAL, lambda: _expire(daemon)),
        (PROBE_INTERVAL, lambda: check_target(daemon.ingress)),
    ]
    for interval, action in loops:
        daemon.greenlets.append(gevent.spawn(_repeat, interval, action))
    daemon.greenlets.append(gevent.spawn(_join, daemon))
    daemon.greenlets.append(gevent.spawn(_watch_for_pauses, daemon))


def _repeat(interval: timedelta, action: Callable[[], None]) -> None:
    while True:
        gevent.sleep(interval.total_seconds())
        try:
            action()
        except Exception:
            logger.exception("controller failed; it goes on at its next tick")


def _join(daemon: Daemon) -> None:
    """Sync with a first peer until one answers."""
    while daemon.settings.peers:
        answered = [
            sync_with_peer(daemon.store, daemon.pool, address) for address in daemon.settings.peers
        ]
        if any(answered):
            return
        gevent.sleep(JOIN_RETRY_INTERVAL.total_seconds())


def _sync_with_random_peer(daemon: Daemon) -> None:
    peers = list_reachable_peers(daemon.blackboard) or list(daemon.settings.peers)
    if peers:
        sync_with_peer(daemon.store, daemon.pool, daemon.detector.random.choice(peers))


def _expire(daemon: Daemon) -> None:
    expired = expire_facts(daemon.store)
    if expired:
        forget_expired(daemon.blackboard, expired)


def _watch_for_pauses(daemon: Daemon) -> None:
    interval_seconds = PAUSE_CHECK_INTERVAL.total_seconds()
    while True:
        due_at = daemon.clock.monotonic() + interval_seconds
        gevent.sleep(interval_seconds)
        late_seconds = daemon.clock.monotonic() - due_at
        if late_seconds > PAUSE_THRESHOLD.total_seconds():
            _recover_from_pause(daemon, late_seconds)


def _recover_from_pause(daemon: Daemon, late_seconds: float) -> None:
    logger.warning("process was paused", extra={"seconds": round(late_seconds, 1)})
    daemon.blackboard.is_stale = True
    try:
        peers = list_reachable_peers(daemon.blackboard)
        daemon.detector.random.shuffle(peers)
        for address in peers[:STALE_SYNC_TRIES]:
            if sync_with_peer(daemon.store, daemon.pool, address):
                break
    finally:
        daemon.blackboard.is_stale = False
