"""Record the state of rollout orders in the store, with exactly one outcome each."""

import logging
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from result import Err, Ok

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.documents.models import DocumentSource, RawDocument, RolloutOrder, RolloutState
from comfreyhitch.platform.client import PlatformClient, get_object, update_status
from comfreyhitch.platform.models import PlatformObject, replace_status
from comfreyhitch.rollouts.orders import (
    RolloutOrderController,
    get_deadline,
    has_succeeded,
    publish_order_completion,
    publish_order_veto,
)
from comfreyhitch.rollouts.stages import Stage, is_outcome_due, is_successful
from comfreyhitch.utils.hashing import rank_by_rendezvous

logger = logging.getLogger(__name__)

TERMINAL_STATES = frozenset({RolloutState.SUCCEEDED, RolloutState.ROLLED_BACK})
RETRY_INTERVAL = timedelta(milliseconds=500)
# Each recorder waits this much longer than the one ranked before it, so that it writes only if
# that one has not.
TAKEOVER_DELAY = timedelta(milliseconds=300)
MAX_RECORDERS = 3


@dataclass(slots=True)
class RolloutOrderRecorder:
    """Hold which states are due, and when the next write attempt is due."""

    blackboard: Blackboard
    orders: RolloutOrderController
    client: PlatformClient
    source: DocumentSource
    reported_state_by_rollout: dict[str, RolloutState] = field(default_factory=dict)
    due_since_by_rollout: dict[tuple[str, RolloutState], datetime] = field(default_factory=dict)
    next_attempt_at_by_rollout: dict[str, datetime] = field(default_factory=dict)


def run_rollout_order_recorder(recorder: RolloutOrderRecorder) -> None:
    """Write the state that is due for each rollout order, if it is this daemon's turn."""
    for name, order in list(recorder.blackboard.rollout_orders_by_service.items()):
        if order.state in TERMINAL_STATES:
            _keep_outcome(recorder, order)
            continue
        state = _get_due_state(recorder, order)
        if (
            state is not None
            and state is not order.state
            and may_write_state(recorder, order, state)
        ):
            _write_state(recorder, name, order, state)


def _get_due_state(recorder: RolloutOrderRecorder, order: RolloutOrder) -> RolloutState | None:
    blackboard = recorder.blackboard
    if has_succeeded(blackboard, order):
        return RolloutState.SUCCEEDED
    if order.rollout_id in blackboard.vetoes_by_rollout:
        return RolloutState.ROLLED_BACK
    now = blackboard.clock.now()
    store = recorder.orders.rollouts.store
    elapsed = order.duration - (get_deadline(store, order) - now)
    stage = Stage(blackboard.stages_by_rollout.get(order.rollout_id, 0))
    if not is_outcome_due(stage, elapsed, order.duration):
        return RolloutState.RUNNING
    full_since = recorder.orders.full_traffic_since_by_rollout.get(order.rollout_id, now)
    if is_successful(stage, now - full_since, order.duration):
        return RolloutState.SUCCEEDED
    if stage is Stage.PROVEN:
        return None
    return RolloutState.ROLLED_BACK


def _keep_outcome(recorder: RolloutOrderRecorder, order: RolloutOrder) -> None:
    """Publish an outcome that the store holds, so that the fleet knows it if the store loses it."""
    if _get_recorder_rank(recorder.blackboard, order) >= MAX_RECORDERS:
        return
    store = recorder.orders.rollouts.store
    if order.state is RolloutState.SUCCEEDED and not has_succeeded(recorder.blackboard, order):
        publish_order_completion(store, order)
    vetoes = recorder.blackboard.vetoes_by_rollout
    if order.state is RolloutState.ROLLED_BACK and order.rollout_id not in vetoes:
        publish_order_veto(store, order, "the store says that it was rolled back")


def may_write_state(
    recorder: RolloutOrderRecorder, order: RolloutOrder, state: RolloutState
) -> bool:
    """Return whether it is this daemon's turn to write a state that the store may hold already."""
    now = recorder.blackboard.clock.now()
    due_since = recorder.due_since_by_rollout.setdefault((order.rollout_id, state), now)
    if now < recorder.next_attempt_at_by_rollout.get(order.rollout_id, now):
        return False
    rank = _get_recorder_rank(recorder.blackboard, order)
    return rank < MAX_RECORDERS and now >= due_since + rank * TAKEOVER_DELAY


def _get_recorder_rank(blackboard: Blackboard, order: RolloutOrder) -> int:
    addresses = [
        member.address
        for member in blackboard.members_by_address.values()
        if member.is_reachable and not blackboard.is_draining
    ]
    ranked = rank_by_rendezvous(f"recorder {order.rollout_id}", addresses)
    own = blackboard.own_member.address
    return ranked.index(own) if own in ranked else len(ranked)


def _write_state(
    recorder: RolloutOrderRecorder, name: str, order: RolloutOrder, state: RolloutState
) -> None:
    """Write a state unless the store already holds an outcome, which is final."""
    now = recorder.blackboard.clock.now()
    recorder.next_attempt_at_by_rollout[order.rollout_id] = now + RETRY_INTERVAL
    if state is RolloutState.ROLLED_BACK:
        # Stops all traffic to the version even if the write fails.
        publish_order_veto(recorder.orders.rollouts.store, order, _get_reason(recorder, order))
    match get_object(recorder.client, recorder.source.store_kind, name):
        case Err(error):
            logger.warning(
                "rollout's state was not read", extra={"service": name, "error": str(error)}
            )
            return
        case Ok(item):
            pass
    stored_order = _read_order(recorder, name, item)
    if (
        stored_order is None
        or not _is_same_object(stored_order, order)
        or stored_order.state in TERMINAL_STATES
    ):
        return
    if stored_order.state is state:
        return
    updated = replace_status(item, recorder.source.encode_status(order, state))
    match update_status(recorder.client, recorder.source.store_kind, updated):
        case Err(error):
            # The write may have taken effect although its response was lost, or another
            # recorder may have written first. The next attempt reads the stored state.
            logger.warning(
                "rollout's state was not written", extra={"service": name, "error": str(error)}
            )
        case Ok(_):
            if state is RolloutState.SUCCEEDED:
                publish_order_completion(recorder.orders.rollouts.store, order)
            logger.info(
                "rollout's state was written",
                extra={"service": name, "rollout": order.rollout_id, "state": state.value},
            )


def _is_same_object(stored_order: RolloutOrder, order: RolloutOrder) -> bool:
    """Return whether the store holds an order in the object from which it was read."""
    return (stored_order.service, stored_order.to_version, stored_order.created_revision) == (
        order.service,
        order.to_version,
        order.created_revision,
    )


def _get_reason(recorder: RolloutOrderRecorder, order: RolloutOrder) -> str:
    veto = recorder.blackboard.vetoes_by_rollout.get(order.rollout_id)
    return "not proved good before its deadline" if veto is None else veto.reason


def _read_order(
    recorder: RolloutOrderRecorder, name: str, item: PlatformObject
) -> RolloutOrder | None:
    document = RawDocument(
        recorder.source.kind,
        name,
        item.spec,
        item.status,
        created_revision=item.metadata.created_revision,
    )
    decoded = recorder.source.decode(document)
    return decoded.ok_value if decoded.is_ok() else None
