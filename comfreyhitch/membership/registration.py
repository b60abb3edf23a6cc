"""Discover peers through registrations in the platform's store."""

import logging
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from gevent.event import Event
from result import Err, Ok

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.membership.models import MemberStatus
from comfreyhitch.membership.queries import is_platform_reader, list_reachable_peers
from comfreyhitch.platform.client import (
    DAEMONS,
    PlatformClient,
    create_object,
    delete_object,
    get_object,
    list_objects,
)
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import FRESH, STALE, Metadata, PlatformObject
from comfreyhitch.replication.facts import FactStore
from comfreyhitch.replication.sync import sync_with_peer
from comfreyhitch.wire.connections import PeerPool
from comfreyhitch.wire.sockets import is_address

logger = logging.getLogger(__name__)

MAX_JOIN_ATTEMPTS = 5
# Syncing with this many peers is enough, since they propagate the record of this daemon to
# the rest of the fleet.
SUFFICIENT_JOIN_PEERS = 2
MAX_FAILED_JOINS = 5
JOIN_RETRY_INTERVAL = timedelta(seconds=1)
REGISTRATION_INTERVAL = timedelta(seconds=60)
# A reader that has joined lists the registrations this many times before the interval changes
# from `JOIN_RETRY_INTERVAL` to `REGISTRATION_INTERVAL`.
INITIAL_READER_LISTS = 2


@dataclass(slots=True)
class Registration:
    """Hold whether this daemon is registered in the store, and how far it has joined."""

    blackboard: Blackboard
    store: FactStore
    pool: PeerPool
    client: PlatformClient
    random: Random
    is_required: bool = False
    is_registered: bool = False
    # Whether this daemon stops, so that it must not register again.
    is_leaving: bool = False
    # Whether the registrations were listed, and no sync with an unknown daemon failed.
    is_joined: bool = False
    has_listed: bool = False
    # Number of cycles since this daemon last had no reachable peer or still had to register.
    cycles_since_join: int = 0
    failed_joins_by_address: dict[str, int] = field(default_factory=dict)
    # Set when the store has come back from a copy, which may lack this daemon's registration.
    is_doubtful: Event = field(default_factory=Event)


def run_registration_cycle(registration: Registration) -> timedelta:
    """Sync or check registrations as needed, and return the time until the next cycle.

    Only readers list the registrations periodically, so that the number of store calls
    grows with the number of availability zones and not with the number of daemons.
    """
    if registration.is_leaving:
        return REGISTRATION_INTERVAL
    if not _is_registration_complete(registration) or is_platform_reader(registration.blackboard):
        sync_registrations(registration)
    elif registration.is_required:
        _restore_own_registration(registration)
    if not _is_registration_complete(registration):
        registration.cycles_since_join = 0
        return JOIN_RETRY_INTERVAL
    registration.cycles_since_join += 1
    if (
        is_platform_reader(registration.blackboard)
        and registration.cycles_since_join < INITIAL_READER_LISTS
    ):
        # Daemons that started at the same time may have joined through other peers; the next
        # list shows them.
        return JOIN_RETRY_INTERVAL
    return REGISTRATION_INTERVAL


def doubt_registration(registration: Registration) -> None:
    """Have this daemon's registration written again, since the store may have lost it."""
    if registration.is_registered:
        registration.is_doubtful.set()


def register_again(registration: Registration) -> None:
    """Write this daemon's registration again; one that exists is left as it is."""
    if _register(registration, registration.blackboard.own_member.address):
        registration.is_doubtful.clear()


def sync_registrations(registration: Registration) -> bool:
    """Update this daemon's registration, and sync with registered daemons it does not know.

    Return whether the store answered, no sync failed, and this daemon is registered if it
    has to be.
    """
    own = registration.blackboard.own_member.address
    if registration.is_required and not registration.is_registered:
        # Registers before listing: of two daemons that do so concurrently, at least one
        # sees the other.
        _register(registration, own)
    # The first list may be stale, which costs the store a tenth: a daemon that lacks no peer needs
    # no other list, and one that starts together with its peers lists again.
    mode = FRESH if registration.has_listed else STALE
    match list_objects(registration.client, DAEMONS, mode):
        case Err(error):
            logger.info("registrations could not be listed", extra={"error": str(error)})
            return False
        case Ok(listed):
            registration.has_listed = True
            addresses = [address for item in listed.items if (address := _get_address(item))]
    is_joined = registration.is_joined = _sync_with_unknown(registration, addresses)
    _delete_left_registrations(registration, addresses)
    if mode is FRESH:
        # A stale list may lack what this daemon has just registered.
        registration.is_registered = own in addresses
    if registration.is_required:
        return is_joined and registration.is_registered
    if is_platform_reader(registration.blackboard) and not registration.is_registered:
        _register(registration, own)
    elif registration.is_registered and not is_platform_reader(registration.blackboard):
        unregister(registration)
    return is_joined


def leave(registration: Registration) -> None:
    """Delete this daemon's registration for good, even one that the store may still get."""
    registration.is_leaving = True
    registration.is_doubtful.clear()
    if registration.is_registered or registration.is_required:
        _delete_own(registration)


def unregister(registration: Registration) -> None:
    """Delete this daemon's registration from the store, if it has one."""
    if registration.is_registered:
        _delete_own(registration)


def _delete_own(registration: Registration) -> None:
    _delete(registration, registration.blackboard.own_member.address)
    registration.is_registered = False


def _is_registration_complete(registration: Registration) -> bool:
    if not list_reachable_peers(registration.blackboard):
        return False
    return registration.is_registered or not registration.is_required


def _restore_own_registration(registration: Registration) -> None:
    """Register again if this daemon's registration is missing.

    Peers delete the registration of a daemon that does not answer them.
    """
    own = registration.blackboard.own_member.address
    match get_object(registration.client, DAEMONS, _make_name(own), STALE):
        case Err(PlatformError(failure=PlatformFailure.NOT_FOUND)):
            _register(registration, own)
        case Err(error):
            logger.info(
                "this daemon's registration could not be checked", extra={"error": str(error)}
            )
        case Ok(_):
            pass


def _get_address(item: PlatformObject) -> str:
    """Return the address in a registration, or an empty string if it holds none."""
    address = item.spec.get("address") if isinstance(item.spec, dict) else None
    return address if isinstance(address, str) and is_address(address) else ""


def _sync_with_unknown(registration: Registration, addresses: list[str]) -> bool:
    known = registration.blackboard.members_by_address
    unknown = [address for address in addresses if address not in known]
    registration.random.shuffle(unknown)
    is_joined = True
    joined = 0
    for address in unknown[:MAX_JOIN_ATTEMPTS]:
        if joined >= SUFFICIENT_JOIN_PEERS:
            break
        if sync_with_peer(registration.store, registration.pool, address):
            registration.failed_joins_by_address.pop(address, None)
            joined += 1
            continue
        is_joined = False
        registration.failed_joins_by_address[address] = (
            registration.failed_joins_by_address.get(address, 0) + 1
        )
        if registration.failed_joins_by_address[address] >= MAX_FAILED_JOINS:
            # No member has this address and no daemon answers there, so the one that
            # registered is considered gone.
            _delete(registration, address)
    return is_joined


def _delete_left_registrations(registration: Registration, addresses: list[str]) -> None:
    for address in addresses:
        member = registration.blackboard.members_by_address.get(address)
        if member is not None and member.status is MemberStatus.LEFT:
            _delete(registration, address)


def _register(registration: Registration, address: str) -> bool:
    """Register a daemon, and return whether the store holds its registration."""
    if registration.is_leaving:
        return False
    own = registration.blackboard.own_member
    item = PlatformObject(
        metadata=Metadata(name=_make_name(address)),
        spec={"address": address, "zone": own.zone, "region": own.region},
    )
    created = create_object(registration.client, DAEMONS, item)
    if registration.is_leaving:
        # Meanwhile this daemon has begun to leave. The store may have got the registration after
        # its deletion, even if no answer says so.
        _delete_own(registration)
        return False
    match created:
        case Ok(_) | Err(PlatformError(failure=PlatformFailure.CONFLICT)):
            registration.is_registered = True
            return True
        case Err(error):
            logger.info("registration failed", extra={"error": str(error)})
            return False


def _delete(registration: Registration, address: str) -> None:
    delete_object(registration.client, DAEMONS, _make_name(address))


def _make_name(address: str) -> str:
    return address.replace(".", "-").replace(":", "-")
