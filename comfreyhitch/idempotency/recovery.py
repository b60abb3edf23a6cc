"""Preserve claims when registrars leave, restart or join."""

import logging

from gevent.pool import Pool

from comfreyhitch.idempotency.claims import (
    CLAIM_TIMEOUT_SECONDS,
    ClaimClient,
    get_registrars,
    make_outcome,
    store_outcomes,
    try_settle,
)
from comfreyhitch.membership.queries import list_reachable_peers
from comfreyhitch.wire.connections import call_peer
from comfreyhitch.wire.exceptions import PeerError
from comfreyhitch.wire.generated.ttypes import ClaimOutcome

logger = logging.getLogger(__name__)

CLAIMS_PER_PAGE = 200
MAX_CONCURRENT_PULLS = 16
RECOVERY_TIMEOUT_SECONDS = 5.0


def recover_claims(client: ClaimClient) -> None:
    """Read the claims that this daemon should hold from all peers, then start granting claims.

    A claim is stored by at least two registrars. If this daemon lost it in a restart,
    another registrar still holds it.
    """
    peers = list_reachable_peers(client.blackboard)
    pool = Pool(MAX_CONCURRENT_PULLS)
    for address in peers:
        pool.spawn(_pull_claims, client, address)
    is_complete = pool.join(timeout=RECOVERY_TIMEOUT_SECONDS)
    client.is_recovering = False
    logger.info(
        "claims recovered",
        extra={
            "claims": len(client.registry.claims_by_scope),
            "peers": len(peers),
            "complete": is_complete,
        },
    )


def list_claims_for_registrar(
    client: ClaimClient, registrar: str, offset: int
) -> list[ClaimOutcome]:
    """Return a page of the claims held here that the registrar should hold as well."""
    now = client.blackboard.clock.monotonic()
    claims = list(client.registry.claims_by_scope.values())[offset:]
    page: list[ClaimOutcome] = []
    for claim in claims:
        if registrar in get_registrars(client, claim):
            page.append(make_outcome(claim, now))
            if len(page) == CLAIMS_PER_PAGE:
                break
    return page


def hand_over_claims(client: ClaimClient) -> int:
    """Send all claims to their remaining registrars before this daemon leaves.

    Return how many were accepted, counted once for each registrar.
    """
    now = client.blackboard.clock.monotonic()
    batches_by_address: dict[str, list[ClaimOutcome]] = {}
    for claim in list(client.registry.claims_by_scope.values()):
        for address in get_registrars(client, claim):
            if address != client.blackboard.own_member.address:
                batches_by_address.setdefault(address, []).append(make_outcome(claim, now))
    handed_over = 0
    for address, outcomes in batches_by_address.items():
        for start in range(0, len(outcomes), CLAIMS_PER_PAGE):
            batch = outcomes[start : start + CLAIMS_PER_PAGE]
            handed_over += try_settle(client, address, batch) * len(batch)
    return handed_over


def _pull_claims(client: ClaimClient, address: str) -> None:
    own = client.blackboard.own_member.address
    offset = 0
    while True:
        try:
            page = call_peer(
                client.pool,
                address,
                CLAIM_TIMEOUT_SECONDS,
                lambda peer, offset=offset: peer.list_claims(own, offset),
            )
        except PeerError as error:
            logger.info(
                "could not read claims from a peer", extra={"peer": address, "error": str(error)}
            )
            return
        store_outcomes(client, page)
        if len(page) < CLAIMS_PER_PAGE:
            return
        offset += CLAIMS_PER_PAGE
