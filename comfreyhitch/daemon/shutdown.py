"""Graceful shutdown: refuse new requests, finish those in flight, then leave the cluster."""

import logging
from collections.abc import Callable
from typing import TypeVar

import gevent

from comfreyhitch.admission.queue import refuse_all_waiting
from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.stop_reports import (
    report_cut,
    report_end,
    report_interrupted,
    report_start,
)
from comfreyhitch.daemon.usage import send_last_counts
from comfreyhitch.egress.caller_connections import (
    CallerConnection,
    ConnectionPhase,
    interrupt_requests,
    is_idempotent,
    is_receiving,
)
from comfreyhitch.egress.caller_server import CallerServer
from comfreyhitch.egress.stopping import StopPlan
from comfreyhitch.idempotency.recovery import hand_over_claims
from comfreyhitch.ingress.state import count_calls_in_progress
from comfreyhitch.membership.detector import (
    publish_own_record,
)
from comfreyhitch.membership.models import MemberStatus
from comfreyhitch.membership.queries import list_reachable_peers
from comfreyhitch.membership.registration import leave
from comfreyhitch.replication.broadcast import send_facts
from comfreyhitch.replication.facts import FactKind

logger = logging.getLogger(__name__)

T = TypeVar("T")

IDLE_POLL_SECONDS = 0.02
# How long callers that have not switched yet are still read, and refused if need be.
REFUSING_SECONDS = 0.2
# A connection on which nothing arrives for this long, several round trips, brings no request.
MIN_QUIET_SECONDS = 0.1
# How long before the end the listener closes at the latest, and how long what was accepted last
# is read and refused.
LAST_READS_SECONDS = 0.2
KILL_SECONDS = 0.5
# How long interrupted requests that may run only once, and then the others, may take to get
# their answers.
LAST_ANSWERS_SECONDS = 0.35


def stop_gracefully(daemon: Daemon) -> None:
    """Drain, hand over claims to other daemons, and leave the cluster."""
    started_at = daemon.clock.monotonic()
    record = daemon.egress.stop_record
    if record.began_at is None:
        record.began_at = started_at
    plan = daemon.egress.stop_plan = _make_plan(daemon, started_at)
    daemon.blackboard.is_draining = True
    refuse_all_waiting(daemon.ingress.queue, Refusal.DRAINING)
    peer_server, caller_server, *other_servers = daemon.servers
    report_start(daemon, caller_server, plan)
    _try_step(
        "publishing that it drains", lambda: publish_own_record(daemon.detector, draining=True)
    )
    unregistering = gevent.spawn(_unregister, daemon)
    _serve_callers(daemon, caller_server, plan)
    _withdraw_waiting(daemon, caller_server)
    handed_over = _leave_cluster(daemon)
    _finish_sending(daemon, caller_server, plan)
    is_drained = _is_finished(daemon, caller_server)
    report_cut(daemon, caller_server)
    for server in (caller_server, peer_server, *other_servers):
        server.stop(timeout=0)
    gevent.killall([*daemon.greenlets, unregistering], timeout=KILL_SECONDS)
    daemon.pool.close()
    report_end(daemon, is_drained=is_drained, claims_handed_on=handed_over)


def _make_plan(daemon: Daemon, started_at: float) -> StopPlan:
    serves_until = started_at + daemon.settings.stop_linger.total_seconds()
    answers_until = serves_until + daemon.settings.drain_timeout.total_seconds()
    ends_at = answers_until + daemon.settings.send_timeout.total_seconds()
    return StopPlan(serves_until, answers_until, ends_at)


def _unregister(daemon: Daemon) -> None:
    # Runs in a separate greenlet, since a slow store must not delay the shutdown.
    if daemon.registration is not None:
        leave(daemon.registration)


def _serve_callers(daemon: Daemon, caller_server: CallerServer, plan: StopPlan) -> None:
    """Serve callers while they switch to other daemons, until none is left or time is over."""
    clock = daemon.clock
    gevent.sleep(max(0.0, plan.serves_until + REFUSING_SECONDS - clock.monotonic()))
    # Requests that run at the target may make calls of their own through this daemon.
    _wait_until(
        lambda: count_calls_in_progress(daemon.ingress) == 0,
        clock,
        plan.answers_until - LAST_READS_SECONDS,
    )
    caller_server.close_listener()
    _wait_until(lambda: _is_finished(daemon, caller_server), clock, plan.answers_until)


def _wait_until(is_true: Callable[[], bool], clock: Clock, until: float) -> bool:
    """Wait for a condition until a monotonic time, and return whether it has become true."""
    while not is_true():
        if clock.monotonic() >= until:
            return False
        gevent.sleep(IDLE_POLL_SECONDS)
    return True


def _is_finished(daemon: Daemon, caller_server: CallerServer) -> bool:
    """Close quiet connections of callers; return whether no connection and no call is left."""
    caller_server.close_quiet_connections(MIN_QUIET_SECONDS)
    busy = (
        count_calls_in_progress(daemon.ingress)
        + len(caller_server.connections.by_socket)
        + daemon.claims.pending_settlements
    )
    return busy == 0


def _withdraw_waiting(daemon: Daemon, caller_server: CallerServer) -> None:
    """End the requests that may run only once and still wait for a response.

    They end before the others, whose end may free the slot that they wait for.
    """
    waiting = [
        connection
        for connection in caller_server.connections.list_interruptible()
        if not is_idempotent(connection) and not is_receiving(connection)
    ]
    report_interrupted(daemon, waiting)
    interrupt_requests(waiting)
    _wait_until(
        lambda: _are_answered(waiting),
        daemon.clock,
        daemon.clock.monotonic() + LAST_ANSWERS_SECONDS,
    )


def _finish_sending(daemon: Daemon, caller_server: CallerServer, plan: StopPlan) -> None:
    """Wait for the last responses, and interrupt the requests that have none in time."""
    clock = daemon.clock
    last_received_at = max(
        plan.ends_at - LAST_ANSWERS_SECONDS, clock.monotonic() + LAST_READS_SECONDS
    )
    _wait_until(lambda: _is_finished(daemon, caller_server), clock, last_received_at)
    late = caller_server.connections.list_interruptible()
    report_interrupted(daemon, late)
    interrupt_requests(late)
    last_sent_at = clock.monotonic() + LAST_ANSWERS_SECONDS if late else plan.ends_at
    _wait_until(lambda: _is_finished(daemon, caller_server), clock, last_sent_at)


def _are_answered(connections: list[CallerConnection]) -> bool:
    return all(connection.phase is not ConnectionPhase.HANDLING for connection in connections)


def _leave_cluster(daemon: Daemon) -> int:
    """Hand over claims and tell peers that this daemon leaves; return the number of claims."""
    handed_over = _try_step("handing over claims", lambda: hand_over_claims(daemon.claims))
    if daemon.usage is not None:
        _try_step("sending usage counts", lambda: send_last_counts(daemon.usage))
    _try_step("announcing the departure", lambda: _announce_departure(daemon))
    return handed_over or 0


def _try_step(description: str, action: Callable[[], T]) -> T | None:
    """Return the result of a step of the stop; if it fails, log that and return None.

    Requests are being answered meanwhile, so the stop goes on.
    """
    try:
        return action()
    except Exception:
        logger.exception("step of the stop failed", extra={"step": description})
        return None


def _announce_departure(daemon: Daemon) -> None:
    publish_own_record(daemon.detector, status=MemberStatus.LEFT, draining=True)
    own = daemon.store.facts_by_id[(FactKind.MEMBER, daemon.blackboard.own_member.address)]
    for address in list_reachable_peers(daemon.blackboard):
        send_facts(daemon.broadcaster, address, [own])
