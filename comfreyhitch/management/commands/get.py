"""Show sections of the operators' documents."""

from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument
from result import Err, Ok

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.management.common import (
    make_client,
    make_platform_options,
    report_input_errors,
    report_section_error,
)
from comfreyhitch.management.documents import format_document
from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.sections.storage import list_sections


class GetCommand(Command):
    """Print all sections, or one, as YAML."""

    name = "get"
    description = "Show all sections, or one of them"
    arguments: ClassVar = [argument("section", "name of a section", optional=True)]
    options: ClassVar = make_platform_options()
    help = "    comfreyhitch get web-shop > web-shop.yaml"

    def handle(self) -> int:
        """Read the sections from the platform, and print them."""
        try:
            client = make_client(self)
        except SettingsError as error:
            return report_input_errors(self, [str(error)])
        section_name = self.argument("section")
        match list_sections(client):
            case Err(error):
                return report_section_error(self, section_name or "sections", error)
            case Ok(listed):
                content = {section.name: section.content for section in listed}
        if section_name is not None and section_name not in content:
            names = ", ".join(sorted(content)) or "none"
            return report_input_errors(
                self, [f"{section_name}: no such section; existing sections: {names}"]
            )
        selected = content if section_name is None else {section_name: content[section_name]}
        self.line(format_document(selected).rstrip() if selected else "{}")
        return ExitCode.OK
