"""Know the versions that were rolled back, also after a later order for their service."""

from collections.abc import Mapping
from datetime import datetime

from comfreyhitch.core.blackboard import Blackboard, Veto
from comfreyhitch.documents.models import ServiceVersion, parse_rollout_id


def refresh_rolled_back_versions(blackboard: Blackboard) -> None:
    """Recompute which versions get no requests because their newest rollout was vetoed."""
    blackboard.veto_reasons_by_version = find_rolled_back_versions(
        blackboard.vetoes_by_rollout, blackboard.completed_at_by_rollout
    )


def find_rolled_back_versions(
    vetoes_by_rollout: Mapping[str, Veto], completed_at_by_rollout: Mapping[str, datetime]
) -> dict[ServiceVersion, str]:
    """Return the versions whose newest rollout was vetoed, with the reason of the veto.

    A completion goes before a veto of the same rollout.
    """
    completed_at_by_version: dict[ServiceVersion, datetime] = {}
    for rollout_id, completed_at in completed_at_by_rollout.items():
        version = parse_rollout_id(rollout_id)
        if version is not None:
            known = completed_at_by_version.get(version, completed_at)
            completed_at_by_version[version] = max(known, completed_at)
    newest_vetoes_by_version: dict[ServiceVersion, Veto] = {}
    for rollout_id, veto in vetoes_by_rollout.items():
        version = parse_rollout_id(rollout_id)
        if version is None or rollout_id in completed_at_by_rollout:
            continue
        known = newest_vetoes_by_version.get(version, veto)
        newest_vetoes_by_version[version] = max(known, veto, key=lambda item: item.vetoed_at)
    return {
        version: veto.reason
        for version, veto in newest_vetoes_by_version.items()
        if version not in completed_at_by_version
        or completed_at_by_version[version] < veto.vetoed_at
    }
