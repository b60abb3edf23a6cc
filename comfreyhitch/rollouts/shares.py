"""Weighted selection of a service version."""

from collections.abc import Collection, Sequence
from random import Random

from comfreyhitch.egress.models import Candidate


def select_version_candidates(
    candidates: Sequence[Candidate],
    shares: dict[str, float],
    excluded: Collection[str],
    random: Random,
) -> Sequence[Candidate]:
    """Return the candidates of one version, drawn at random with the shares as weights."""
    with_share = [item for item in candidates if shares.get(item.version, 0.0) > 0.0]
    versions = sorted({item.version for item in with_share})
    if len(versions) > 1:
        weights = [shares[version] for version in versions]
        drawn = random.choices(versions, weights)[0]
        # Addresses are excluded only after the draw. Otherwise retries would go to the new
        # version more often than its share allows once all old targets were tried.
        with_share = [item for item in with_share if item.version == drawn]
    return [item for item in with_share if item.address not in excluded]
