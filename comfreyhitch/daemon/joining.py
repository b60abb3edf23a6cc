"""Join the cluster, sync with peers, and keep this daemon's registration in the store."""

from datetime import timedelta

import gevent

from comfreyhitch.daemon.assembly import Daemon
from comfreyhitch.idempotency.recovery import recover_claims
from comfreyhitch.membership.detector import publish_own_record
from comfreyhitch.membership.queries import group_reachable_peers, list_reachable_peers
from comfreyhitch.membership.registration import (
    Registration,
    doubt_registration,
    register_again,
    run_registration_cycle,
    sync_registrations,
)
from comfreyhitch.replication.peers import Peers, choose_sync_peer
from comfreyhitch.replication.sync import sync_with_peer

JOIN_RETRY_INTERVAL = timedelta(seconds=1)
# How fast all daemons together write their registrations again after the store has lost some.
REGISTRATIONS_PER_SECOND = 100


def join_cluster(daemon: Daemon) -> None:
    """Join through configured or registered peers, then recover claims lost in a restart."""
    while not _try_to_join(daemon):
        gevent.sleep(JOIN_RETRY_INTERVAL.total_seconds())
    # The record that this daemon published before it joined reached only the few peers that it
    # knew then.
    publish_own_record(daemon.detector)
    recover_claims(daemon.claims)


def _try_to_join(daemon: Daemon) -> bool:
    synced = [
        sync_with_peer(daemon.store, daemon.pool, address) for address in daemon.settings.peers
    ]
    has_synced_registrations = _has_synced_registrations(daemon.registration)
    if list_reachable_peers(daemon.blackboard):
        return True
    # A daemon that has configured peers but reaches none may be partitioned from them, so it
    # keeps trying.
    return has_synced_registrations and not synced


def _has_synced_registrations(registration: Registration | None) -> bool:
    if registration is None:
        return True
    # If every daemon has to register, a separate loop lists the registrations and registers.
    return registration.is_joined if registration.is_required else sync_registrations(registration)


def sync_with_random_peer(daemon: Daemon) -> None:
    """Sync with one reachable peer, and with a configured one that was not reached yet."""
    peers = group_reachable_peers(daemon.blackboard)
    if not peers.all:
        # No peer is reachable, so the configured peers are tried again.
        peers = Peers(list(daemon.settings.peers), {})
    peer = choose_sync_peer(peers, daemon.detector.random)
    if peer is not None:
        sync_with_peer(daemon.store, daemon.pool, peer)
    unknown = _list_unknown_peers(daemon)
    if unknown:
        sync_with_peer(daemon.store, daemon.pool, daemon.detector.random.choice(unknown))


def _list_unknown_peers(daemon: Daemon) -> list[str]:
    """Return the configured peers that have not been reached, and that no other peer knows."""
    known = daemon.blackboard.members_by_address
    return [address for address in daemon.settings.peers if address not in known]


def doubt_own_registration(daemon: Daemon) -> None:
    """Have the registration checked, since the store has come back from a copy."""
    if daemon.registration is not None:
        doubt_registration(daemon.registration)


def keep_registered(daemon: Daemon, registration: Registration) -> None:
    """Run one registration cycle, and wait for the next or for a doubt."""
    random = daemon.detector.random
    interval = run_registration_cycle(registration)
    if registration.is_doubtful.wait(interval.total_seconds() * random.uniform(0.8, 1.2)):
        # Daemons write their registrations again over some time, not all at once.
        daemon_count = len(daemon.blackboard.members_by_address)
        spread_seconds = max(2.0, daemon_count / REGISTRATIONS_PER_SECOND)
        gevent.sleep(random.uniform(0.2, spread_seconds))
        register_again(registration)
