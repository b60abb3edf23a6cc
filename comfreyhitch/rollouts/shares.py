"""Share of traffic by version."""

from collections.abc import Collection, Sequence
from random import Random

from comfreyhitch.egress.models import Candidate


def select_version_candidates(
    candidates: Sequence[Candidate],
    shares: dict[str, float],
    excluded: Collection[str],
    random: Random,
) -> Sequence[Candidate]:
    """Return the candidates of one version, drawn by the shares."""
    sharing = [item for item in candidates if shares.get(item.version, 0.0) > 0.0]
    versions = sorted({item.version for item in sharing})
    if len(versions) > 1:
        weights = [shares[version] for version in versions]
        drawn = random.choices(versions, weights)[0]
        # A retry stays within the drawn version, so that a small share stays small.
        sharing = [item for item in sharing if item.version == drawn]
    return [item for item in sharing if item.address not in excluded]
