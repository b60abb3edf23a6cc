"""Read sections from the platform; only a few daemons of each zone do so."""

import logging
from dataclasses import dataclass
from random import Random

import gevent
from result import Err, Ok

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.platform.client import (
    SECTIONS,
    PlatformClient,
    list_objects,
    update_object,
    watch_objects,
)
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import PlatformObject
from comfreyhitch.replication.facts import FactStore, merge_facts
from comfreyhitch.sections.acceptance import (
    SectionStatus,
    decide,
    dump_status,
    encode_content,
    read_status,
)
from comfreyhitch.sections.merging import make_section_fact
from comfreyhitch.utils.hashing import rank_by_rendezvous

logger = logging.getLogger(__name__)

READERS_PER_ZONE = 2
WATCH_SECONDS = 60.0
CHECK_SECONDS = 1.0
MIN_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 5.0


@dataclass(slots=True)
class SectionReader:
    """Hold how far this daemon has read."""

    blackboard: Blackboard
    store: FactStore
    client: PlatformClient
    random: Random
    failures: int = 0


def run_reader(reader: SectionReader) -> None:
    """List and watch sections for as long as this daemon is one of the readers."""
    while True:
        gevent.sleep(CHECK_SECONDS)
        if not is_reader(reader.blackboard):
            continue
        reading = gevent.spawn(_read_until_failure, reader)
        while is_reader(reader.blackboard) and not reading.ready():
            gevent.sleep(CHECK_SECONDS)
        # A daemon that is no longer a reader gives up its waiting call at once.
        reading.kill()


def _read_until_failure(reader: SectionReader) -> None:
    while True:
        error = _read_once(reader)
        if error is None:
            reader.failures = 0
            continue
        reader.failures += 1
        logger.warning("platform can't be read", extra={"error": str(error)})
        gevent.sleep(_get_backoff_seconds(reader))


def is_reader(blackboard: Blackboard) -> bool:
    """Return whether this daemon is one of the readers of its zone."""
    own = blackboard.own
    addresses = [
        member.address
        for member in blackboard.members_by_address.values()
        if member.zone == own.zone and member.is_reachable
    ]
    ranked = rank_by_rendezvous(f"reader {own.zone}", addresses)
    return own.address in ranked[:READERS_PER_ZONE] or not ranked


def take_object(reader: SectionReader, item: PlatformObject) -> None:
    """Publish the accepted content of a section, and accept an edit that is still open."""
    status = read_status(item)
    _publish(reader, item.metadata.name, status)
    accepted_sections = list(reader.blackboard.sections_by_name.values())
    decision = decide(item, accepted_sections)
    if not decision.is_changed:
        return
    updated = item.model_copy(update={"status": dump_status(decision.status)})
    match update_object(reader.client, SECTIONS, updated, subresource="/status"):
        case Ok(_):
            # Content is in force only once the platform keeps that it is.
            _publish(reader, item.metadata.name, decision.status)
        case Err(PlatformError(failure=PlatformFailure.CONFLICT)):
            # Another reader was faster; its write arrives by the watch.
            pass
        case Err(error):
            logger.warning(
                "status was not written",
                extra={"section": item.metadata.name, "error": str(error)},
            )
            raise PlatformUnavailableError(error)


class PlatformUnavailableError(Exception):
    """Report that reading has to start again later."""

    def __init__(self, error: PlatformError) -> None:
        super().__init__(str(error))
        self.error = error


def _read_once(reader: SectionReader) -> PlatformError | None:
    """List, then watch until something ends the watch; return an error if one did."""
    try:
        match list_objects(reader.client, SECTIONS):
            case Err(error):
                return error
            case Ok(listed):
                pass
        for item in listed.items:
            take_object(reader, item)
        since = listed.resource_version
        while True:
            since, error = _watch_once(reader, since)
            if error is not None and error.failure is PlatformFailure.EXPIRED:
                return None
            if error is not None:
                return error
    except PlatformUnavailableError as error:
        return error.error


def _watch_once(reader: SectionReader, since: str) -> tuple[str, PlatformError | None]:
    seconds = WATCH_SECONDS * reader.random.uniform(0.8, 1.2)
    started_at = reader.blackboard.clock.monotonic()
    for event in watch_objects(reader.client, SECTIONS, since, seconds):
        match event:
            case Err(error):
                return since, error
            case Ok(change):
                reader.failures = 0
                since = change.object.metadata.resource_version
                if change.type in ("ADDED", "MODIFIED"):
                    take_object(reader, change.object)
    if reader.blackboard.clock.monotonic() - started_at < MIN_BACKOFF_SECONDS:
        return since, PlatformError(PlatformFailure.UNAVAILABLE, "watch ended at once")
    return since, None


def _publish(reader: SectionReader, name: str, status: SectionStatus) -> None:
    if status.accepted is None:
        return
    content = encode_content(status.accepted)
    fact = make_section_fact(name, status.accepted.generation, content)
    merge_facts(reader.store, [fact])


def _get_backoff_seconds(reader: SectionReader) -> float:
    backoff_seconds = MIN_BACKOFF_SECONDS * 2 ** min(reader.failures - 1, 10)
    return min(MAX_BACKOFF_SECONDS, backoff_seconds) * reader.random.uniform(0.5, 1.0)
