"""Graceful shutdown: refuse new requests, finish those in flight, then leave the cluster."""

import logging
from collections.abc import Callable
from typing import TypeVar

import gevent

from comfreyhitch.admission.queue import refuse_all_waiting
from comfreyhitch.core.clock import Clock
from comfreyhitch.core.verdicts import Refusal
from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.daemon.usage import send_last_counts
from comfreyhitch.egress.caller_connections import (
    CallerConnection,
    ConnectionPhase,
    describe_request,
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
from comfreyhitch.wire.sockets import has_unread_bytes

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
    plan = daemon.egress.stop_plan = _make_plan(daemon, started_at)
    daemon.blackboard.is_draining = True
    refuse_all_waiting(daemon.ingress.queue, Refusal.DRAINING)
    logger.info("draining", extra={"in_flight": daemon.ingress.queue.running})
    _try_step(
        "publishing that it drains", lambda: publish_own_record(daemon.detector, draining=True)
    )
    peer_server, caller_server, *other_servers = daemon.servers
    unregistering = gevent.spawn(_unregister, daemon)
    _serve_callers(daemon, caller_server, plan)
    interrupted_count = _interrupt_waiting(daemon, caller_server)
    handed_over = _leave_cluster(daemon)
    interrupted_count += _finish_sending(daemon, caller_server, plan)
    is_drained = _is_finished(daemon, caller_server)
    _log_cut_requests(daemon, caller_server, started_at)
    for server in (caller_server, peer_server, *other_servers):
        server.stop(timeout=0)
    gevent.killall([*daemon.greenlets, unregistering], timeout=KILL_SECONDS)
    daemon.pool.close()
    logger.info(
        "stopped",
        extra={
            "drained": is_drained,
            "interrupted": interrupted_count,
            "claims_handed_on": handed_over,
        },
    )


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


def _interrupt_waiting(daemon: Daemon, caller_server: CallerServer) -> int:
    """Answer the requests that still wait for a response with a failure; return their number."""
    count = 0
    # Requests that may run only once are withdrawn first: the end of another request may free
    # the slot that they wait for.
    for may_repeat in (False, True):
        waiting = [
            connection
            for connection in caller_server.connections.list_interruptible()
            if is_idempotent(connection) is may_repeat and not is_receiving(connection)
        ]
        count += len(waiting)
        interrupt_requests(waiting)
        _wait_until(
            lambda waiting=waiting: _are_answered(waiting),
            daemon.clock,
            daemon.clock.monotonic() + LAST_ANSWERS_SECONDS,
        )
    return count


def _finish_sending(daemon: Daemon, caller_server: CallerServer, plan: StopPlan) -> int:
    """Wait for the responses that are being received or sent; return how many are interrupted."""
    clock = daemon.clock
    last_received_at = max(
        plan.ends_at - LAST_ANSWERS_SECONDS, clock.monotonic() + LAST_READS_SECONDS
    )
    _wait_until(lambda: _is_finished(daemon, caller_server), clock, last_received_at)
    late = caller_server.connections.list_interruptible()
    interrupt_requests(late)
    last_sent_at = clock.monotonic() + LAST_ANSWERS_SECONDS if late else plan.ends_at
    _wait_until(lambda: _is_finished(daemon, caller_server), clock, last_sent_at)
    return len(late)


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


def _log_cut_requests(daemon: Daemon, caller_server: CallerServer, stop_began_at: float) -> None:
    """Log each request whose connection ends without a response when the process ends."""
    now = daemon.clock.monotonic()
    for connection in caller_server.connections.by_socket.values():
        is_waiting = connection.phase is ConnectionPhase.WAITING
        if connection.phase is ConnectionPhase.CLOSING or (
            is_waiting and not has_unread_bytes(connection.sock)
        ):
            continue
        fields = describe_request(connection, now)
        fields["stop_ms"] = round((now - stop_began_at) * 1000)
        logger.warning("request is cut by the stop", extra=fields)


def _announce_departure(daemon: Daemon) -> None:
    publish_own_record(daemon.detector, status=MemberStatus.LEFT, draining=True)
    own = daemon.store.facts_by_id[(FactKind.MEMBER, daemon.blackboard.own_member.address)]
    for address in list_reachable_peers(daemon.blackboard):
        send_facts(daemon.broadcaster, address, [own])
