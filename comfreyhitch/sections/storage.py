"""Read and write sections in the platform's store."""

from dataclasses import dataclass, replace
from typing import Any

from pydantic import BaseModel, ConfigDict, ValidationError
from result import Err, Ok, Result

from comfreyhitch.platform.client import (
    SECTIONS,
    PlatformClient,
    create_object,
    get_object,
    list_objects,
    update_object,
    update_status,
)
from comfreyhitch.platform.exceptions import PlatformError, PlatformFailure
from comfreyhitch.platform.models import Metadata, PlatformObject


class SectionSpec(BaseModel):
    """Validate the stored spec of a section; the generation counts its edits."""

    model_config = ConfigDict(extra="forbid")

    generation: int
    content: dict[str, Any]
    writer: str = ""
    # Lets the writer find out whether an edit took effect if the response to it was lost.
    writer_mark: str = ""


@dataclass(frozen=True, slots=True)
class StoredSection:
    """Hold a section as stored, and the revision that a conditional update has to match."""

    name: str
    generation: int
    content: dict[str, Any]
    writer: str = ""
    writer_mark: str = ""
    status: Any = None
    revision: int = 0

    @classmethod
    def from_object(cls, item: PlatformObject) -> Result["StoredSection", PlatformError]:
        """Convert an object to a section, or return why its spec is invalid."""
        try:
            spec = SectionSpec.model_validate(item.spec)
        except ValidationError as error:
            detail = f"section {item.metadata.name}: {error}"
            return Err(PlatformError(PlatformFailure.REFUSED, detail))
        return Ok(
            cls(
                name=item.metadata.name,
                generation=spec.generation,
                content=spec.content,
                writer=spec.writer,
                writer_mark=spec.writer_mark,
                status=item.status,
                revision=item.metadata.revision,
            )
        )


def list_sections(client: PlatformClient) -> Result[list[StoredSection], PlatformError]:
    """Return all sections, or an error that names the first invalid one."""
    listed = list_objects(client, SECTIONS)
    if listed.is_err():
        return listed
    sections = []
    for item in listed.ok_value.items:
        section = StoredSection.from_object(item)
        if section.is_err():
            return section
        sections.append(section.ok_value)
    return Ok(sections)


def get_section(client: PlatformClient, name: str) -> Result[StoredSection, PlatformError]:
    """Return the section with a name."""
    return get_object(client, SECTIONS, name).and_then(StoredSection.from_object)


def create_section(
    client: PlatformClient, section: StoredSection
) -> Result[StoredSection, PlatformError]:
    """Create a section at generation 1."""
    item = _make_object(replace(section, generation=1))
    return create_object(client, SECTIONS, item).and_then(StoredSection.from_object)


def update_section(
    client: PlatformClient, section: StoredSection
) -> Result[StoredSection, PlatformError]:
    """Replace the content if nobody else wrote since it was read."""
    item = _make_object(replace(section, generation=section.generation + 1))
    return update_object(client, SECTIONS, item).and_then(StoredSection.from_object)


def update_section_status(
    client: PlatformClient, section: StoredSection
) -> Result[StoredSection, PlatformError]:
    """Replace the status if nobody else wrote since it was read."""
    return update_status(client, SECTIONS, _make_object(section)).and_then(
        StoredSection.from_object
    )


def _make_object(section: StoredSection) -> PlatformObject:
    spec = SectionSpec(
        generation=section.generation,
        content=section.content,
        writer=section.writer,
        writer_mark=section.writer_mark,
    )
    return PlatformObject(
        metadata=Metadata(name=section.name, revision=section.revision),
        spec=spec.model_dump(),
        status=section.status,
    )
