"""Follow sections in the platform's store; only a few daemons of each zone do so."""

import logging
from dataclasses import dataclass, replace
from random import Random

import gevent
from result import Err, Ok

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.membership.queries import is_platform_reader
from comfreyhitch.platform.client import SECTIONS, PlatformClient
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import FRESH, ObjectChange, ObjectList, PlatformObject
from comfreyhitch.replication.facts import FactStore, merge_facts
from comfreyhitch.sections.acceptance import (
    SectionStatus,
    decide_acceptance,
    dump_section_status,
    encode_content,
    parse_section_status,
)
from comfreyhitch.sections.merging import make_section_fact
from comfreyhitch.sections.storage import StoredSection, update_section_status
from comfreyhitch.watching.follower import Follower, StoreUnavailableError, follow

logger = logging.getLogger(__name__)

WATCH_TIMEOUT_SECONDS = 25.0
READER_CHECK_INTERVAL_SECONDS = 1.0


@dataclass(slots=True)
class SectionReader:
    """Hold the dependencies of the loop that follows sections."""

    blackboard: Blackboard
    store: FactStore
    client: PlatformClient
    random: Random


def run_section_reader(reader: SectionReader) -> None:
    """List and watch sections whenever this daemon is one of the readers of its zone."""
    while True:
        gevent.sleep(READER_CHECK_INTERVAL_SECONDS)
        if not is_platform_reader(reader.blackboard):
            continue
        section_follower = gevent.spawn(follow, _make_follower(reader))
        while is_platform_reader(reader.blackboard) and not section_follower.ready():
            gevent.sleep(READER_CHECK_INTERVAL_SECONDS)
        # A daemon that is no longer a reader cancels its pending watch immediately.
        section_follower.kill()


def process_section_object(reader: SectionReader, item: PlatformObject) -> None:
    """Publish the accepted content of a section, and decide on an edit that is still pending.

    Raise `StoreUnavailableError` if the decision could not be written.
    """
    match StoredSection.from_object(item):
        case Err(error):
            logger.error("section object is invalid", extra={"error": str(error)})
            return
        case Ok(section):
            pass
    _publish_accepted(reader, section.name, parse_section_status(section))
    accepted_sections = list(reader.blackboard.sections_by_name.values())
    decision = decide_acceptance(section, accepted_sections)
    if not decision.is_changed:
        return
    updated = replace(section, status=dump_section_status(decision.status))
    match update_section_status(reader.client, updated):
        case Ok(_):
            # Content is only published once the store holds that it was accepted.
            _publish_accepted(reader, section.name, decision.status)
        case Err(PlatformError(failure=PlatformFailure.CONFLICT)):
            # Another reader wrote first; its decision arrives through the watch.
            pass
        case Err(error):
            logger.warning(
                "section status was not written",
                extra={"section": section.name, "error": str(error)},
            )
            raise StoreUnavailableError(error)


def _make_follower(reader: SectionReader) -> Follower:
    def on_list(listed: ObjectList) -> None:
        for item in listed.items:
            process_section_object(reader, item)

    def on_change(change: ObjectChange) -> None:
        if not change.is_deleted:
            process_section_object(reader, change.object)

    return Follower(
        client=reader.client,
        kind=SECTIONS,
        clock=reader.blackboard.clock,
        random=reader.random,
        on_list=on_list,
        on_change=on_change,
        watch_timeout_seconds=WATCH_TIMEOUT_SECONDS,
        # Nobody but the readers follows sections, so their only watches have to be current.
        watch_mode=FRESH,
    )


def _publish_accepted(reader: SectionReader, name: str, status: SectionStatus) -> None:
    if status.accepted is None:
        return
    content = encode_content(status.accepted)
    fact = make_section_fact(name, status.accepted.generation, content)
    merge_facts(reader.store, [fact])
