"""Apply documents to the blackboard; a route table is never replaced by an older one."""

import logging

from result import Err, Ok, Result

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.documents.models import (
    DecodeDocument,
    DocumentKind,
    RawDocument,
    RolloutOrder,
    ZoneOutOrder,
    load_document,
)
from comfreyhitch.replication.facts import StoredFact
from comfreyhitch.routing.models import RouteTable

logger = logging.getLogger(__name__)

DecodersByKind = dict[DocumentKind, DecodeDocument]


def validate_document_fact(key: str, value: bytes, decoders: DecodersByKind) -> Result[object, str]:
    """Return an error if a replicated document can't be decoded."""
    loaded = load_document(key, value)
    if loaded.is_err():
        return loaded
    document = loaded.ok_value
    if document.is_deleted:
        return loaded
    return _decode(document, decoders)


def apply_document(blackboard: Blackboard, fact: StoredFact, decoders: DecodersByKind) -> None:
    """Apply a newer document; one that can't be decoded leaves the previous one in force."""
    document = load_document(fact.key, fact.value).unwrap()
    version_by_kind = blackboard.document_version_by_kind
    version_by_kind[document.kind] = max(fact.version, version_by_kind.get(document.kind, 0))
    if document.is_deleted:
        _apply_deletion(blackboard, document)
        return
    match _decode(document, decoders):
        case Err(reason):
            logger.error("document refused", extra={"document": fact.key, "reason": reason})
        case Ok(RouteTable() as table):
            _apply_route_table(blackboard, table)
        case Ok(RolloutOrder() as order):
            _apply_rollout(blackboard, document.name, order)
        case Ok(ZoneOutOrder() as order):
            _apply_zone_out(blackboard, order)


def _decode(document: RawDocument, decoders: DecodersByKind) -> Result[object, str]:
    decode = decoders.get(document.kind)
    if decode is None:
        return Err(f"{document.key}: this daemon does not support documents of this kind")
    try:
        return decode(document)
    except Exception as error:
        # The other documents of a list or a message are applied all the same.
        logger.exception("document could not be decoded", extra={"document": document.key})
        return Err(f"{document.key}: {error!r}")


def _apply_route_table(blackboard: Blackboard, table: RouteTable) -> None:
    current_table = blackboard.route_table
    if current_table is not None and current_table.version >= table.version:
        return
    blackboard.route_table = table
    logger.info("configuration in force", extra={"version": table.version})
    _log_accounts(current_table, table)
    for route in table.list_routes_of_unknown_kind():
        logger.warning(
            "route has an unknown kind; its requests run at most once",
            extra={"route": route.name, "kind": route.unknown_kind, "version": table.version},
        )


def _log_accounts(previous: RouteTable | None, table: RouteTable) -> None:
    """Log how the client accounts change; the lines contain neither keys nor digests."""
    before = None if previous is None else previous.accounts
    accounts = table.accounts
    if accounts is None:
        if before is not None:
            logger.warning(
                "client accounts are no longer in force; no request needs a key",
                extra={"version": table.version},
            )
        return
    if accounts == before:
        return
    known = frozenset() if before is None else before.digests
    logger.info(
        "client accounts in force",
        extra={
            "version": table.version,
            "accounts": len(accounts.by_name),
            "keys": len(accounts.digests),
            "keys_added": len(accounts.digests - known),
            "keys_removed": len(known - accounts.digests),
        },
    )


def _apply_rollout(blackboard: Blackboard, name: str, order: RolloutOrder) -> None:
    blackboard.rollout_orders_by_service[name] = order
    logger.info(
        "rollout ordered",
        extra={
            "service": order.service,
            "version": order.to_version,
            "state": order.state.value,
        },
    )


def _apply_zone_out(blackboard: Blackboard, order: ZoneOutOrder) -> None:
    if order.zone in blackboard.zones_out:
        return
    blackboard.zones_out = blackboard.zones_out | {order.zone}
    logger.info("zone is out", extra={"zone": order.zone})


def _apply_deletion(blackboard: Blackboard, document: RawDocument) -> None:
    if document.kind is DocumentKind.ZONE_OUT and document.name in blackboard.zones_out:
        blackboard.zones_out = blackboard.zones_out - {document.name}
        logger.info("zone is back", extra={"zone": document.name})
    elif document.kind is DocumentKind.ROLLOUT:
        order = blackboard.rollout_orders_by_service.pop(document.name, None)
        if order is not None:
            logger.info("rollout order removed", extra={"service": order.service})
