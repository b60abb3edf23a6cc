"""Report requests that crashed this daemon's target."""

from collections.abc import Callable
from datetime import datetime, timedelta

from comfreyhitch.core.blackboard import (
    QUARANTINE_MIN_CRASHES,
    Blackboard,
    make_crash_target,
)
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.wire.codec import encode
from comfreyhitch.wire.generated.ttypes import CrashRecord

CRASH_REPORT_LIFETIME = timedelta(minutes=30)
# Requests with one fingerprint that are lost so soon after one another are lost in one crash.
SAME_CRASH_TIME = timedelta(seconds=1)


def make_crash_reporter(blackboard: Blackboard, store: FactStore) -> Callable[[str], None]:
    """Return a function that reports a request's fingerprint to all daemons."""

    def report_crash(request_fingerprint: str) -> None:
        now = blackboard.clock.now()
        target = _choose_target_name(request_fingerprint, now)
        if target is None:
            return
        record = CrashRecord(request_fingerprint, target, now.timestamp())
        fact = StoredFact(
            FactKind.CRASH,
            f"{request_fingerprint}@{target}",
            int(now.timestamp() * 1000),
            encode(record),
            now + CRASH_REPORT_LIFETIME,
        )
        merge_facts(store, [fact])

    def _choose_target_name(request_fingerprint: str, now: datetime) -> str | None:
        """Return under which name this crash is reported, or None if it was reported already.

        Later crashes of the same target are reported beside the first, under numbered names.
        """
        address = blackboard.own_member.address
        for number in range(1, QUARANTINE_MIN_CRASHES + 1):
            name = make_crash_target(address, number)
            known = store.facts_by_id.get((FactKind.CRASH, f"{request_fingerprint}@{name}"))
            if known is None:
                return name
            age_ms = int(now.timestamp() * 1000) - known.version
            if 0 <= age_ms < SAME_CRASH_TIME.total_seconds() * 1000:
                return None
        return name

    return report_crash
