"""Parse, check and format operators' documents as YAML."""

from pathlib import Path
from typing import Any

import yaml
from result import Err, Ok, Result

from comfreyhitch.sections.merging import find_conflicts
from comfreyhitch.sections.models import Section
from comfreyhitch.sections.parsing import parse_section


def read_document(path: Path) -> Result[dict[str, Any], list[str]]:
    """Return each section's content from a file, or errors with their file and position."""
    try:
        text = path.read_text()
    except OSError as error:
        return Err([f"{path}: {error.strerror}"])
    return parse_document(str(path), text)


def parse_document(source_name: str, text: str) -> Result[dict[str, Any], list[str]]:
    """Return each section's content from YAML text, or its errors.

    Each error starts with `source_name`, for example the path of a file.
    """
    try:
        content = yaml.load(text, Loader=_DocumentLoader)
    except yaml.YAMLError as error:
        mark = getattr(error, "problem_mark", None)
        line = "" if mark is None else f":{mark.line + 1}:{mark.column + 1}"
        return Err([f"{source_name}{line}: {getattr(error, 'problem', None) or error}"])
    if not isinstance(content, dict):
        return Err([f"{source_name}: a document must map section names to section contents"])
    errors = [
        f"{source_name}: {name}: a section must be a mapping"
        for name, section in content.items()
        if not isinstance(section, dict)
    ]
    return Err(errors) if errors else Ok({str(name): section for name, section in content.items()})


def check_document(source_name: str, content: dict[str, Any]) -> list[str]:
    """Return all errors in a document's sections, including conflicts between sections."""
    errors = []
    sections: list[Section] = []
    for name, section_content in content.items():
        match parse_section(name, 0, section_content):
            case Err(found):
                errors.extend(f"{source_name}: {error}" for error in found)
            case Ok(section):
                errors.extend(
                    f"{source_name}: {error}" for error in find_conflicts(section, sections)
                )
                sections.append(section)
    return errors


def format_document(content_by_section: dict[str, Any]) -> str:
    """Return sections as YAML text."""
    return yaml.safe_dump(content_by_section, sort_keys=False, default_flow_style=False)


class _DocumentLoader(yaml.SafeLoader):
    """Load YAML, and reject duplicate keys; PyYAML would silently keep the last of them."""


def _construct_mapping(loader: _DocumentLoader, node: yaml.MappingNode) -> dict[Any, Any]:
    seen = set()
    for key_node, _ in node.value:
        key = loader.construct_object(key_node)
        if key in seen:
            raise yaml.constructor.ConstructorError(
                None, None, f"{key!r} is a duplicate key", key_node.start_mark
            )
        seen.add(key)
    return loader.construct_mapping(node, deep=True)


_DocumentLoader.add_constructor(yaml.resolver.BaseResolver.DEFAULT_MAPPING_TAG, _construct_mapping)
# Timestamps stay strings, so that a document has the same content in YAML and JSON.
_DocumentLoader.yaml_implicit_resolvers = {
    first: [(tag, pattern) for tag, pattern in resolvers if tag != "tag:yaml.org,2002:timestamp"]
    for first, resolvers in yaml.SafeLoader.yaml_implicit_resolvers.items()
}
