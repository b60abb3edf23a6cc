"""Accept or refuse edits of sections, and record the decision in the section's status."""

import json
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError
from result import Err, Ok

from comfreyhitch.rollouts.models import TERMINAL_PHASES
from comfreyhitch.sections.merging import find_conflicts
from comfreyhitch.sections.models import Section
from comfreyhitch.sections.parsing import parse_section
from comfreyhitch.sections.storage import StoredSection


class AcceptedModel(BaseModel):
    """Validate the accepted content in a section's status."""

    generation: int
    content: dict[str, Any]


class SectionStatus(BaseModel):
    """Validate the status of a section."""

    model_config = ConfigDict(populate_by_name=True)

    observed_generation: int = Field(0, alias="observedGeneration")
    accepted: AcceptedModel | None = None
    errors: list[str] = []
    rollouts: dict[str, dict[str, Any]] = {}


@dataclass(frozen=True, slots=True)
class AcceptanceDecision:
    """Hold the new status of a section, and whether it has to be written to the store."""

    status: SectionStatus
    is_changed: bool


def parse_section_status(item: StoredSection) -> SectionStatus:
    """Parse the status of a section; an invalid status is treated as empty."""
    try:
        return SectionStatus.model_validate(item.status or {})
    except ValidationError:
        return SectionStatus()


def dump_section_status(status: SectionStatus) -> dict[str, Any]:
    """Convert a status to its JSON content."""
    return status.model_dump(by_alias=True, exclude_none=True)


def decide_acceptance(item: StoredSection, accepted_sections: list[Section]) -> AcceptanceDecision:
    """Return the status of a section after its latest edit.

    A valid edit becomes the accepted content. An invalid edit leaves the accepted content as it
    is, and its errors are recorded.
    """
    status = parse_section_status(item)
    generation = item.generation
    if status.observed_generation >= generation:
        return AcceptanceDecision(status, is_changed=False)
    changes: dict[str, Any] = {"observed_generation": generation}
    match parse_section(item.name, generation, item.content):
        case Err(errors):
            changes["errors"] = errors
        case Ok(section):
            changes["errors"] = find_conflicts(section, accepted_sections)
    if not changes["errors"]:
        changes["accepted"] = AcceptedModel(generation=generation, content=item.content)
        changes["rollouts"] = _keep_terminal_rollouts(status.rollouts)
    return AcceptanceDecision(status.model_copy(update=changes), is_changed=True)


def _keep_terminal_rollouts(rollouts: dict[str, dict[str, Any]]) -> dict[str, dict[str, Any]]:
    """Return the rollouts in a terminal phase; an accepted edit discards all others."""
    return {
        rollout_id: entry
        for rollout_id, entry in rollouts.items()
        if entry.get("phase") in TERMINAL_PHASES
    }


def encode_content(accepted: AcceptedModel) -> bytes:
    """Encode accepted content as canonical JSON, which is identical in every process."""
    return json.dumps(accepted.content, sort_keys=True, separators=(",", ":")).encode()
