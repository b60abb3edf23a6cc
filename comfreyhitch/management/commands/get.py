"""Show sections of the operators' document."""

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
    description = "Show the document, or one section of it"
    arguments: ClassVar = [argument("section", "name of a section", optional=True)]
    options: ClassVar = make_platform_options()
    help = "    comfreyhitch get web-shop > web-shop.yaml"

    def handle(self) -> int:
        """Read the sections from the platform."""
        try:
            client = make_client(self)
        except SettingsError as error:
            return report_input_errors(self, [str(error)])
        wanted = self.argument("section")
        match list_sections(client):
            case Err(error):
                return report_section_error(self, wanted or "sections", error)
            case Ok(listed):
                content = {section.name: section.content for section in listed}
        if wanted is not None and wanted not in content:
            names = ", ".join(sorted(content)) or "none"
            return report_input_errors(self, [f"{wanted}: no such section; there are: {names}"])
        selected = content if wanted is None else {wanted: content[wanted]}
        self.line(format_document(selected).rstrip() if selected else "{}")
        return ExitCode.OK
