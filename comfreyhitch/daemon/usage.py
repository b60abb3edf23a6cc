"""Count requests by account, and take part in the duty of reporting them."""

import logging
import time
from datetime import timedelta

import gevent

from comfreyhitch.accounts.models import is_account_name
from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.membership.queries import is_platform_reader, list_first_readers
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.platform.models import STALE, ObjectChange, ObjectList
from comfreyhitch.platform.usage_duty import (
    KIND_DUTIES,
    find_changed_record,
    find_record,
    post_report,
    read_record,
    write_record,
)
from comfreyhitch.usage.calls import DutyCalls
from comfreyhitch.usage.counts import UsageTable
from comfreyhitch.usage.duty import (
    Duty,
    give_up_duty,
    observe_record,
    run_duty_step,
)
from comfreyhitch.usage.exchange import UsageService, ask_candidates, push_counts
from comfreyhitch.usage.lease import Lease
from comfreyhitch.usage.models import DutyTerms
from comfreyhitch.usage.recorder import UsageRecorder
from comfreyhitch.usage.true_time import TrueTime, get_window, get_window_end, take_reading
from comfreyhitch.utils.hashing import rank_by_rendezvous
from comfreyhitch.watching.follower import Follower, follow
from comfreyhitch.wire.sockets import split_address

logger = logging.getLogger(__name__)

PUSH_INTERVAL = timedelta(seconds=1)
STEP_INTERVAL = timedelta(milliseconds=100)
# Requests that the stop waits for must not lose time to a candidate that does not answer.
LAST_PUSH_TIMEOUT_SECONDS = 0.3
ERROR_INTERVAL = timedelta(seconds=1)
# A daemon that is no candidate for this long stops watching. Shorter changes of the member list
# would cost the store a list each.
WATCH_LINGER_SECONDS = 20.0
# The record changes once in each window. A watch that hears nothing for longer is renewed.
WATCH_MARGIN_SECONDS = 3.0
# This part of the calls that the platform accepts is used, since an earlier holder may have sent
# some in the same second.
CALL_RATE_SHARE = 0.5


def make_usage_service(daemon: Daemon) -> UsageService | None:
    """Return the counts of a daemon, or None if its settings ask for no reports."""
    settings = daemon.settings
    if settings.usage_address is None or daemon.platform is None:
        return None
    true_time = TrueTime.from_clocks(_read_boot, lambda: time.time())
    terms = DutyTerms(
        window_seconds=settings.usage_window.total_seconds(),
        lease_seconds=settings.usage_lease.total_seconds(),
        late_seconds=settings.usage_report_limit.total_seconds(),
        post_interval_seconds=1 / (settings.usage_call_rate * CALL_RATE_SHARE),
    )
    own = daemon.blackboard.own_member
    current = get_window(true_time.now(), terms.window_seconds)
    table = UsageTable.from_window((own.address, own.boot_id), current)
    service = UsageService(
        table,
        true_time,
        terms,
        daemon.pool,
        own.address,
        lambda: list_first_readers(daemon.blackboard),
    )
    service.duty = _make_duty(daemon, daemon.platform, service)
    daemon.ingress.usage = UsageRecorder(
        table, lambda: service.current_window, is_account=lambda tenant: _is_account(daemon, tenant)
    )
    return service


def _is_account(daemon: Daemon, tenant: str) -> bool:
    table = daemon.blackboard.route_table
    return is_account_name(None if table is None else table.accounts, tenant)


def start_usage(daemon: Daemon, service: UsageService) -> None:
    """Start to send counts, and to follow the duty while this daemon is a candidate."""
    for action in (_push_periodically, _run_duty):
        daemon.greenlets.append(gevent.spawn(action, daemon, service))


def send_last_counts(service: UsageService) -> None:
    """Send the counts of a daemon that has stopped serving its target."""
    service.is_closed = True
    service.pushes_by_address.clear()
    pushes = push_counts(service, LAST_PUSH_TIMEOUT_SECONDS)
    gevent.joinall(pushes, timeout=LAST_PUSH_TIMEOUT_SECONDS)


def get_candidate_rank(blackboard: Blackboard) -> int | None:
    """Return the place of this daemon among the candidates, or None if it is none."""
    candidates = rank_by_rendezvous("usage", list_first_readers(blackboard))
    own = blackboard.own_member.address
    return candidates.index(own) if own in candidates else None


def make_usage_status(service: UsageService) -> dict[str, object]:
    """Return what this daemon knows about the duty; only candidates follow it."""
    duty = service.duty
    lease, record, delivery = duty.lease, duty.lease.record, duty.delivery
    status: dict[str, object] = {
        "candidates": service.list_candidates(),
        "is_holder": lease.is_holder,
        "counted_sources": len(service.table.sources_by_id),
        "current_window": service.current_window,
    }
    if record is not None:
        ended_at = get_window_end(record.window, service.terms.window_seconds)
        status |= {
            "holder": record.holder,
            "token": record.token,
            "last_window": record.window,
            "last_window_age_seconds": round(service.true_time.now() - ended_at, 1),
            "last_acknowledged_window": delivery.last_window,
        }
    return status


def _read_boot() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _make_duty(daemon: Daemon, client: PlatformClient, service: UsageService) -> Duty:
    settings = daemon.settings
    address = split_address(settings.usage_address)
    metrics = daemon.metrics.usage
    return Duty(
        lease=Lease(settings.node_name, daemon.blackboard.own_member.boot_id),
        table=service.table,
        terms=service.terms,
        true_time=service.true_time,
        calls=DutyCalls(
            read_record=lambda: read_record(client),
            write_record=lambda record, revision, exists: write_record(
                client, record, revision, exists
            ),
            post=lambda report, token, may_send, timeout_seconds: post_report(
                address, settings.node_name, report, token, may_send, timeout_seconds
            ),
            ask_candidates=lambda window: ask_candidates(service, window),
        ),
        random=daemon.detector.random,
        count_event=lambda event: metrics.events.inc({"event": event}),
    )


def _push_periodically(daemon: Daemon, service: UsageService) -> None:
    while True:
        gevent.sleep(PUSH_INTERVAL.total_seconds())
        take_reading(service.true_time)
        try:
            push_counts(service)
        except Exception:
            logger.exception("usage counts were not sent; sending them again")


def _run_duty(daemon: Daemon, service: UsageService) -> None:
    duty = service.duty
    watching: gevent.Greenlet | None = None
    watched_until = 0.0
    members_revision = -1
    candidate_rank: int | None = None
    while True:
        gevent.sleep(STEP_INTERVAL.total_seconds())
        now = service.true_time.read_boot()
        if daemon.blackboard.members_revision != members_revision:
            members_revision = daemon.blackboard.members_revision
            candidate_rank = get_candidate_rank(daemon.blackboard)
        rank = candidate_rank
        is_stopping = daemon.blackboard.is_draining
        if rank is not None:
            watched_until = now + WATCH_LINGER_SECONDS
        if watching is not None and watching.dead:
            # A change could not be applied; the error is in the log.
            daemon.greenlets.remove(watching)
            watching = None
        if watching is None and rank is not None and not is_stopping:
            watching = _start_watching(daemon, duty)
            daemon.greenlets.append(watching)
        elif watching is not None and now >= watched_until:
            daemon.greenlets.remove(watching)
            watching.kill()
            watching = None
        if duty.lease.is_holder and not is_stopping and is_platform_reader(daemon.blackboard):
            # A holder that is no longer the first reader of its zone goes on.
            rank = rank or 0
        if rank is None or is_stopping:
            give_up_duty(duty)
            continue
        try:
            run_duty_step(duty, rank)
        except Exception:
            logger.exception("usage duty failed; running it again")
            gevent.sleep(ERROR_INTERVAL.total_seconds())


def _start_watching(daemon: Daemon, duty: Duty) -> gevent.Greenlet:
    def on_list(listed: ObjectList) -> None:
        observe_record(duty, find_record(listed))

    def on_change(change: ObjectChange) -> None:
        found = find_changed_record(change, follower.era)
        if found is not None:
            observe_record(duty, found)

    follower = Follower(
        client=daemon.platform,
        kind=KIND_DUTIES,
        clock=daemon.clock,
        random=daemon.detector.random,
        on_list=on_list,
        on_change=on_change,
        watch_timeout_seconds=duty.terms.window_seconds + WATCH_MARGIN_SECONDS,
        initial_list_mode=STALE,
    )
    return gevent.spawn(follow, follower)
