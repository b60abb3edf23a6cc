"""Adaptive concurrency limit of a target.

The limit grows by one after a window of responses at full concurrency without added latency. It is
cut when latency or errors rise, and reset to the initial limit when they rise sharply.
"""

from dataclasses import dataclass, field
from math import ceil

INITIAL_LIMIT = 1
MIN_WINDOW_RESPONSES = 16
WINDOW_RESPONSES_PER_SLOT = 2
# Each window in which latency or errors prevented growth doubles the size of the next window, at
# most this many times, since growth then needs more evidence.
MAX_WINDOW_DOUBLINGS = 2
# After a reset, the limit grows faster until it reaches a share of the limit that was proven
# before: a momentary rise in latency is more common than a target that has turned cold.
RECOVERY_WINDOW_RESPONSES = 3
RECOVERY_FACTOR = 1.5
RECOVERY_SHARE = 0.7
# The limit stops growing when the mean latency exceeds the baseline by more than this share of the
# low-quantile latency.
GROWTH_LATENCY_MARGIN_SHARE = 0.5
# The lower quartile of latency is mostly the target's processing time, with little delay added by
# a busy instance.
LOW_QUANTILE = 0.25
CUT_LATENCY_FACTOR = 2.0
RESET_LATENCY_FACTOR = 4.0
RESET_MIN_RESPONSES = 3
CUT_FACTOR = 0.7
CUT_ERROR_SHARE = 0.2
RESET_ERROR_SHARE = 0.5
RESET_MIN_ERRORS = 2
BASELINE_EWMA_WEIGHT = 0.1
MAX_BASELINE_FACTOR = 1.25
UNLOADED_MAX_LIMIT = 2
UNLOADED_EWMA_WEIGHT = 0.2
UNLOADED_EWMA_WEIGHT_PER_SECOND = 0.02
BASELINE_EWMA_WEIGHT_AT_INITIAL_LIMIT = 0.25
# Smaller differences in latency are noise of the operating system, not of the target.
LATENCY_SLACK_SECONDS = 0.001


@dataclass(slots=True)
class ConcurrencyLimit:
    """Hold the limit of one target, and the current window of responses.

    Latencies are in seconds, times in monotonic seconds. The latency fields are moving averages:
    `baseline_latency_seconds` of the mean latency, `unloaded_latency_seconds` of the mean latency
    mainly at limits up to `UNLOADED_MAX_LIMIT`, and `low_quantile_latency_seconds` of the lower
    quartile at those limits. `proven_limit` is the highest limit that the target sustained, and
    `recovery_limit` is the limit up to which growth is faster.
    """

    slots: int
    limit: int = INITIAL_LIMIT
    baseline_latency_seconds: float | None = None
    unloaded_latency_seconds: float = 0.0
    low_quantile_latency_seconds: float = 0.0
    unloaded_latency_updated_at: float = 0.0
    window_started_at: float = 0.0
    window_errors: int = 0
    window_latencies: list[float] = field(default_factory=list)
    window_doublings: int = 0
    window_was_saturated: bool = False
    proven_limit: int = INITIAL_LIMIT
    recovery_limit: int = INITIAL_LIMIT
    # A fixed limit is the number of slots that the target reports, or one that is learned by
    # throughput, and is not adapted by latency.
    is_fixed: bool = False


def record_start(state: ConcurrencyLimit, in_flight: int) -> None:
    """Record whether a started request reaches the limit; `in_flight` includes it."""
    if in_flight >= state.limit:
        state.window_was_saturated = True


def record_response(
    state: ConcurrencyLimit, started_at: float, now: float, *, is_failure: bool
) -> None:
    """Update the limit after one response; times are monotonic seconds."""
    if state.is_fixed or started_at < state.window_started_at:
        # A request that ran under an earlier limit says nothing about this one.
        return
    state.window_latencies.append(now - started_at)
    state.window_errors += is_failure
    if _is_collapsing(state):
        _reset_after_collapse(state, now)
    elif len(state.window_latencies) >= _get_window_size(state):
        _close_window(state, now)


def set_fixed_limit(state: ConcurrencyLimit, slots: int) -> None:
    """Fix the limit at the number of slots that the target reports."""
    set_learned_limit(state, slots, slots)


def set_learned_limit(state: ConcurrencyLimit, slots: int, limit: int) -> None:
    """Fix the limit at one that is learned elsewhere."""
    state.is_fixed = True
    state.slots = slots
    state.limit = limit


def restart_from_initial_limit(state: ConcurrencyLimit, now: float) -> None:
    """Reset the limit to the initial one, as after a cold start, unless it is fixed."""
    if state.is_fixed:
        return
    _reset_proven_limit(state)
    _change_limit(state, INITIAL_LIMIT, now)


def reset_baseline(state: ConcurrencyLimit, now: float) -> None:
    """Reset the limit and the baseline, for a target that replaced another."""
    state.baseline_latency_seconds = None
    restart_from_initial_limit(state, now)


def _reset_proven_limit(state: ConcurrencyLimit) -> None:
    state.proven_limit = INITIAL_LIMIT
    state.recovery_limit = INITIAL_LIMIT


def _reset_after_collapse(state: ConcurrencyLimit, now: float) -> None:
    _update_baseline_at_initial_limit(state)
    state.recovery_limit = max(INITIAL_LIMIT, int(state.proven_limit * RECOVERY_SHARE))
    _change_limit(state, INITIAL_LIMIT, now)


def _get_window_size(state: ConcurrencyLimit) -> int:
    if state.limit < state.recovery_limit:
        return max(RECOVERY_WINDOW_RESPONSES, state.limit)
    responses = max(MIN_WINDOW_RESPONSES, WINDOW_RESPONSES_PER_SLOT * state.limit)
    return responses << state.window_doublings


def _is_collapsing(state: ConcurrencyLimit) -> bool:
    responses = len(state.window_latencies)
    if (
        state.window_errors >= RESET_MIN_ERRORS
        and state.window_errors > responses * RESET_ERROR_SHARE
    ):
        return True
    if responses < RESET_MIN_RESPONSES:
        return False
    return _exceeds_baseline(state, RESET_LATENCY_FACTOR)


def _exceeds_baseline(state: ConcurrencyLimit, factor: float) -> bool:
    if state.baseline_latency_seconds is None:
        return False
    return (
        _get_mean_latency(state) > state.baseline_latency_seconds * factor + LATENCY_SLACK_SECONDS
    )


def _prevents_growth(state: ConcurrencyLimit) -> bool:
    """Return whether latency is too high for the limit to grow.

    A busy instance delays every response, but this delay is not processing time of the target.
    The margin is therefore a share of the low-quantile latency and not of the mean.
    """
    if state.baseline_latency_seconds is None:
        return False
    margin_seconds = (
        GROWTH_LATENCY_MARGIN_SHARE * state.low_quantile_latency_seconds + LATENCY_SLACK_SECONDS
    )
    return _get_mean_latency(state) > state.baseline_latency_seconds + margin_seconds


def _get_mean_latency(state: ConcurrencyLimit) -> float:
    return sum(state.window_latencies) / len(state.window_latencies)


def _get_low_quantile_latency(state: ConcurrencyLimit) -> float:
    ordered = sorted(state.window_latencies)
    return ordered[int(LOW_QUANTILE * len(ordered))]


def _double_window(state: ConcurrencyLimit) -> None:
    state.window_doublings = min(MAX_WINDOW_DOUBLINGS, state.window_doublings + 1)


def _close_window(state: ConcurrencyLimit, now: float) -> None:
    has_errors = state.window_errors > len(state.window_latencies) * CUT_ERROR_SHARE
    if not has_errors:
        _update_unloaded_latency(state, now)
    if has_errors or _exceeds_baseline(state, CUT_LATENCY_FACTOR):
        _double_window(state)
        _cut_limit(state, now)
        return
    if _prevents_growth(state):
        _double_window(state)
        _update_baseline_at_initial_limit(state)
        _change_limit(state, state.limit, now)
        return
    state.window_doublings = max(0, state.window_doublings - 1)
    _update_baseline(state, BASELINE_EWMA_WEIGHT)
    if state.window_was_saturated:
        state.proven_limit = max(state.proven_limit, state.limit)
    limit = _get_grown_limit(state) if state.window_was_saturated else state.limit
    _change_limit(state, limit, now)


def _update_unloaded_latency(state: ConcurrencyLimit, now: float) -> None:
    """Update the estimates of the target's latency with almost nothing in flight."""
    mean_seconds = _get_mean_latency(state)
    if state.baseline_latency_seconds is None:
        state.baseline_latency_seconds = mean_seconds
        state.unloaded_latency_seconds = mean_seconds
        state.low_quantile_latency_seconds = _get_low_quantile_latency(state)
    weight = UNLOADED_EWMA_WEIGHT
    if state.limit > UNLOADED_MAX_LIMIT:
        # With more in flight, latency says less about the unloaded target. The weight of a
        # window is therefore small and grows with the time since the last update, so that only
        # a lasting change has an effect.
        weight = min(
            1.0, UNLOADED_EWMA_WEIGHT_PER_SECOND * (now - state.unloaded_latency_updated_at)
        )
    else:
        state.low_quantile_latency_seconds += UNLOADED_EWMA_WEIGHT * (
            _get_low_quantile_latency(state) - state.low_quantile_latency_seconds
        )
    state.unloaded_latency_updated_at = now
    state.unloaded_latency_seconds += weight * (mean_seconds - state.unloaded_latency_seconds)


def _get_grown_limit(state: ConcurrencyLimit) -> int:
    if state.limit < state.recovery_limit:
        return min(state.recovery_limit, ceil(state.limit * RECOVERY_FACTOR))
    return min(state.slots, state.limit + 1)


def _cut_limit(state: ConcurrencyLimit, now: float) -> None:
    _update_baseline_at_initial_limit(state)
    # A limit that had to be cut is no longer proven.
    state.proven_limit = min(state.proven_limit, state.limit - 1)
    state.recovery_limit = min(state.recovery_limit, max(INITIAL_LIMIT, state.proven_limit))
    reduced_limit = min(state.limit - 1, ceil(state.limit * CUT_FACTOR))
    _change_limit(state, max(INITIAL_LIMIT, reduced_limit), now)


def _update_baseline_at_initial_limit(state: ConcurrencyLimit) -> None:
    """Update the baseline faster at the initial limit, where requests run alone."""
    if state.limit == INITIAL_LIMIT:
        _update_baseline(state, BASELINE_EWMA_WEIGHT_AT_INITIAL_LIMIT)


def _update_baseline(state: ConcurrencyLimit, weight: float) -> None:
    if state.baseline_latency_seconds is None or not state.window_latencies:
        return
    updated = state.baseline_latency_seconds + weight * (
        _get_mean_latency(state) - state.baseline_latency_seconds
    )
    # Without this bound, the baseline would drift up with a target that always gets a little more
    # load than it can handle.
    state.baseline_latency_seconds = min(
        updated, state.unloaded_latency_seconds * MAX_BASELINE_FACTOR
    )


def _change_limit(state: ConcurrencyLimit, limit: int, now: float) -> None:
    if limit != state.limit:
        state.window_started_at = now
    state.limit = limit
    state.window_latencies.clear()
    state.window_errors = 0
    state.window_was_saturated = False
