"""Report requests that crashed this daemon's target."""

from collections.abc import Callable
from datetime import timedelta

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from comfreyhitch.wire.codec import encode
from comfreyhitch.wire.generated.ttypes import CrashRecord

CRASH_REPORT_LIFETIME = timedelta(minutes=30)


def make_crash_reporter(blackboard: Blackboard, store: FactStore) -> Callable[[str], None]:
    """Return a function that reports a request's fingerprint to all daemons."""

    def report_crash(request_fingerprint: str) -> None:
        now = blackboard.clock.now()
        address = blackboard.own_member.address
        record = CrashRecord(request_fingerprint, address, now.timestamp())
        fact = StoredFact(
            FactKind.CRASH,
            f"{request_fingerprint}@{address}",
            int(now.timestamp() * 1000),
            encode(record),
            now + CRASH_REPORT_LIFETIME,
        )
        merge_facts(store, [fact])

    return report_crash
