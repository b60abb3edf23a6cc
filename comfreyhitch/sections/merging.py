"""Merge all accepted sections into the services, zones and limits in force."""

import logging

from result import Err, Ok

from comfreyhitch.core.blackboard import Blackboard
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact
from comfreyhitch.sections.models import DEFAULT_FREEZES, Section, ServicePolicy, ZoneState
from comfreyhitch.sections.parsing import parse_section_json
from comfreyhitch.wire.codec import decode, encode
from comfreyhitch.wire.generated.ttypes import SectionRecord

logger = logging.getLogger(__name__)


def make_section_fact(name: str, generation: int, content: bytes) -> StoredFact:
    """Return the fact that carries an accepted section."""
    value = encode(SectionRecord(name=name, generation=generation, content=content))
    return StoredFact(FactKind.SECTION, name, generation, value)


def apply_sections(blackboard: Blackboard, store: FactStore) -> None:
    """Apply the accepted sections in the fact store to the blackboard."""
    for kind, name in list(store.facts_by_id):
        if kind == FactKind.SECTION:
            _apply_section(blackboard, store.facts_by_id[(kind, name)])
    # Sections are merged in the order of their names, so that every daemon resolves a
    # conflict between two of them in the same way.
    sections = [blackboard.sections_by_name[name] for name in sorted(blackboard.sections_by_name)]
    _apply_services(blackboard, sections)
    _apply_zones(blackboard, sections)
    _apply_limits(blackboard, sections)


def find_conflicts(section: Section, others: list[Section]) -> list[str]:
    """Return one error for each entry of a section that another section defines as well.

    Entries are services, zones, tenants, the freezes and the probe rate.
    """
    errors = []
    for other in others:
        if other.name == section.name:
            continue
        defined_by_other = _list_defined_keys(other)
        errors.extend(
            f"{section.name}.{entry}: belongs to section {other.name}"
            for entry in sorted(_list_defined_keys(section) & defined_by_other)
        )
    return errors


def _list_defined_keys(section: Section) -> set[str]:
    owned = {f"services.{service.name}" for service in section.services}
    owned |= {f"zones.{zone}" for zone in section.zone_states_by_name}
    owned |= {f"tenants.{tenant}" for tenant in section.tenant_shares_by_name}
    if section.freezes is not None:
        owned.add("freezes")
    if section.probe_rate is not None:
        owned.add("probe_rate")
    return owned


def _apply_section(blackboard: Blackboard, fact: StoredFact) -> None:
    known = blackboard.sections_by_name.get(fact.key)
    if known is not None and known.generation >= fact.version:
        return
    record = decode(SectionRecord, fact.value).unwrap()
    match parse_section_json(record.name, record.generation, record.content):
        case Ok(section):
            blackboard.sections_by_name[section.name] = section
            logger.info(
                "section in force",
                extra={"section": section.name, "generation": section.generation},
            )
        case Err(errors):
            logger.error("section refused", extra={"section": record.name, "errors": errors})


def _apply_services(blackboard: Blackboard, sections: list[Section]) -> None:
    services_by_name: dict[str, ServicePolicy] = {}
    names_by_host: dict[str, str] = {}
    for section in sections:
        for service in section.services:
            services_by_name.setdefault(service.name, service)
            for host in service.hosts:
                names_by_host.setdefault(host, service.name)
    blackboard.services_by_name = services_by_name
    blackboard.service_names_by_host = names_by_host


def _apply_zones(blackboard: Blackboard, sections: list[Section]) -> None:
    if not sections:
        return
    blackboard.zones_out = frozenset(
        zone
        for section in sections
        for zone, state in section.zone_states_by_name.items()
        if state is ZoneState.OUT
    )


def _apply_limits(blackboard: Blackboard, sections: list[Section]) -> None:
    shares: dict[str, float] = {}
    for section in sections:
        for tenant, share in section.tenant_shares_by_name.items():
            shares.setdefault(tenant, share)
    blackboard.tenant_shares_by_name = shares
    rates = [section.probe_rate for section in sections if section.probe_rate is not None]
    blackboard.probe_rate = rates[0] if rates else None
    freezes = [section.freezes for section in sections if section.freezes is not None]
    blackboard.freezes = freezes[0] if freezes else DEFAULT_FREEZES
