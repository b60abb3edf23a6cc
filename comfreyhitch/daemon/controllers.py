"""Periodic controllers of a daemon."""

import logging
from collections.abc import Callable
from datetime import timedelta

import gevent

from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.joining import (
    doubt_own_registration,
    join_cluster,
    keep_registered,
    sync_with_random_peer,
)
from comfreyhitch.daemon.observers import remove_expired
from comfreyhitch.documents.models import DocumentKind
from comfreyhitch.documents.watching import (
    is_store_unreachable,
    is_watch_late,
    make_document_follower,
)
from comfreyhitch.egress.eligibility import refresh_candidates
from comfreyhitch.egress.probes import send_probes
from comfreyhitch.ingress.health import probe_target_if_due
from comfreyhitch.membership.detector import (
    run_probe_round,
)
from comfreyhitch.membership.queries import (
    is_first_reader,
    is_platform_reader,
    list_reachable_peers,
)
from comfreyhitch.membership.registration import (
    Registration,
)
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.replication.broadcast import send_facts
from comfreyhitch.replication.facts import StoredFact, expire_facts
from comfreyhitch.replication.sync import sync_with_peer
from comfreyhitch.rollouts.controller import RolloutController, choose_analyzers, run_rollouts
from comfreyhitch.rollouts.order_recorder import RolloutOrderRecorder, run_rollout_order_recorder
from comfreyhitch.rollouts.orders import RolloutOrderController, run_rollout_orders
from comfreyhitch.telemetry.stalls import watch_for_stalls
from comfreyhitch.watching.follower import follow, renew_together, set_watch_timeout
from comfreyhitch.watching.linearizable import set_linearizable, watch_linearizably
from comfreyhitch.watching.outages import Outage
from comfreyhitch.watching.waits import (
    WatchConditions,
    WatchPlan,
    get_lead_watch_seconds,
    needs_linearizable_watch,
    plan_watch_seconds,
)

logger = logging.getLogger(__name__)

PROBE_INTERVAL = timedelta(milliseconds=100)
EXPIRY_INTERVAL = timedelta(seconds=5)
RESTART_INTERVAL = timedelta(seconds=1)
ROLLOUT_INTERVAL = timedelta(milliseconds=500)
ORDER_INTERVAL = timedelta(milliseconds=100)
DOCUMENT_SYNC_INTERVAL = timedelta(milliseconds=500)
WATCH_PLAN_INTERVAL = timedelta(milliseconds=500)
PAUSE_CHECK_INTERVAL = timedelta(milliseconds=500)
# A timer that fires this late means that the process was suspended, not busy.
PAUSE_THRESHOLD = timedelta(seconds=3)
STALE_SYNC_ATTEMPTS = 5
# The kind whose watch shows whether the store still answers watches.
LEAD_KIND = DocumentKind.ROUTES


def start_controllers(daemon: Daemon) -> None:
    """Start each controller in its own greenlet."""
    settings = daemon.settings
    loops = [
        (settings.gossip_interval, lambda: run_probe_round(daemon.detector)),
        (settings.sync_interval, lambda: sync_with_random_peer(daemon)),
        (PROBE_INTERVAL, lambda: send_probes(daemon.egress)),
        (EXPIRY_INTERVAL, lambda: _remove_expired_facts(daemon)),
        (PROBE_INTERVAL, lambda: probe_target_if_due(daemon.ingress)),
    ]
    for interval, action in loops:
        daemon.greenlets.append(gevent.spawn(_run_periodically, interval, action))
    _start_rollouts(daemon)
    if daemon.platform is not None:
        _start_platform_controllers(daemon, daemon.platform)
    daemon.greenlets.append(gevent.spawn(join_cluster, daemon))
    daemon.greenlets.append(gevent.spawn(_watch_for_pauses, daemon))
    daemon.greenlets.append(gevent.spawn(watch_for_stalls, daemon.clock, daemon.metrics.control))


def _start_rollouts(daemon: Daemon) -> None:
    rollouts = RolloutController(
        blackboard=daemon.blackboard,
        store=daemon.store,
        evidence=daemon.evidence,
        send_to_analyzers=lambda rollout_id, facts: _send_to_analyzers(daemon, rollout_id, facts),
    )
    if daemon.adapter.documents:
        _start_orders(daemon, rollouts)
        return
    # Imported late: loading the code for sections slows the start of daemons that have none.
    from comfreyhitch.rollouts.recorder import OutcomeRecorder, run_outcome_recorder

    recorder = OutcomeRecorder(daemon.blackboard, daemon.store, daemon.platform)
    for action in (lambda: run_rollouts(rollouts), lambda: run_outcome_recorder(recorder)):
        daemon.greenlets.append(gevent.spawn(_run_periodically, ROLLOUT_INTERVAL, action))


def _start_orders(daemon: Daemon, rollouts: RolloutController) -> None:
    orders = RolloutOrderController(rollouts, lambda: refresh_candidates(daemon.blackboard))
    daemon.greenlets.append(
        gevent.spawn(_run_periodically, ORDER_INTERVAL, lambda: run_rollout_orders(orders))
    )
    for source in daemon.adapter.documents:
        if source.encode_status is None or daemon.platform is None:
            continue
        recorder = RolloutOrderRecorder(daemon.blackboard, orders, daemon.platform, source)
        daemon.greenlets.append(
            gevent.spawn(
                _run_periodically,
                ORDER_INTERVAL,
                lambda recorder=recorder: run_rollout_order_recorder(recorder),
            )
        )


def _start_platform_controllers(daemon: Daemon, client: PlatformClient) -> None:
    if daemon.adapter.documents:
        _start_document_followers(daemon, client)
    else:
        from comfreyhitch.sections.reader import SectionReader, run_section_reader

        reader = SectionReader(daemon.blackboard, daemon.store, client, daemon.detector.random)
        daemon.greenlets.append(gevent.spawn(_run_continuously, lambda: run_section_reader(reader)))
    daemon.registration = Registration(
        daemon.blackboard,
        daemon.store,
        daemon.pool,
        client,
        daemon.detector.random,
        is_required=daemon.settings.registration == "all",
    )
    registration = daemon.registration
    daemon.greenlets.append(
        gevent.spawn(_run_continuously, lambda: keep_registered(daemon, registration))
    )


def _start_document_followers(daemon: Daemon, client: PlatformClient) -> None:
    outage = Outage()
    plan = WatchPlan(settled_since=daemon.clock.monotonic())
    for source in daemon.adapter.documents:
        follower = make_document_follower(
            source, daemon.store, client, daemon.clock, daemon.detector.random, outage
        )
        follower.on_restored = lambda: doubt_own_registration(daemon)
        daemon.followers_by_document_kind[source.kind] = follower
        daemon.greenlets.append(
            gevent.spawn(_run_continuously, lambda follower=follower: follow(follower))
        )
        daemon.greenlets.append(
            gevent.spawn(_run_continuously, lambda follower=follower: watch_linearizably(follower))
        )
    renew_together(list(daemon.followers_by_document_kind.values()))
    daemon.greenlets.append(
        gevent.spawn(
            _run_periodically,
            DOCUMENT_SYNC_INTERVAL,
            lambda: _sync_documents_if_store_unreachable(daemon),
        )
    )
    daemon.greenlets.append(
        gevent.spawn(_run_periodically, WATCH_PLAN_INTERVAL, lambda: _plan_watches(daemon, plan))
    )


def _plan_watches(daemon: Daemon, plan: WatchPlan) -> None:
    """Set how long the watches of documents wait."""
    blackboard = daemon.blackboard
    followers_by_kind = daemon.followers_by_document_kind
    conditions = WatchConditions(
        daemon_count=len(blackboard.members_by_address),
        is_first_reader=is_first_reader(blackboard),
        is_reader=is_platform_reader(blackboard),
        has_store_failures=any(not item.is_connected for item in followers_by_kind.values()),
        is_watch_late=is_watch_late(followers_by_kind, blackboard.document_version_by_kind),
        unanswered_probes=daemon.detector.unanswered_probes,
    )
    now = daemon.clock.monotonic()
    seconds = plan_watch_seconds(plan, conditions, now)
    is_linearizable = needs_linearizable_watch(plan, conditions, now)
    lead_seconds = get_lead_watch_seconds(seconds, conditions)
    for kind, follower in followers_by_kind.items():
        set_watch_timeout(follower, lead_seconds if kind is LEAD_KIND else seconds)
        set_linearizable(follower, is_linearizable)


def _sync_documents_if_store_unreachable(daemon: Daemon) -> None:
    """Receive newer documents from a peer while the store is unreachable."""
    followers = list(daemon.followers_by_document_kind.values())
    if is_store_unreachable(followers, daemon.clock.monotonic()):
        sync_with_random_peer(daemon)


def _send_to_analyzers(daemon: Daemon, rollout_id: str, facts: list[StoredFact]) -> None:
    for address in choose_analyzers(daemon.blackboard, rollout_id):
        if address != daemon.blackboard.own_member.address:
            send_facts(daemon.broadcaster, address, facts)


def _run_continuously(action: Callable[[], None]) -> None:
    while True:
        try:
            action()
        except Exception:
            logger.exception("controller failed; restarting it")
        gevent.sleep(RESTART_INTERVAL.total_seconds())


def _run_periodically(interval: timedelta, action: Callable[[], None]) -> None:
    while True:
        gevent.sleep(interval.total_seconds())
        try:
            action()
        except Exception:
            logger.exception("controller failed; running it again at its next interval")


def _remove_expired_facts(daemon: Daemon) -> None:
    expired = expire_facts(daemon.store)
    if expired:
        remove_expired(daemon.blackboard, expired)


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
        for address in peers[:STALE_SYNC_ATTEMPTS]:
            if sync_with_peer(daemon.store, daemon.pool, address):
                break
    finally:
        daemon.blackboard.is_stale = False
