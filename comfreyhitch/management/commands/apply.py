"""Write the sections of a document to the platform."""

from pathlib import Path
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.management.common import (
    make_client,
    make_platform_options,
    report_input_errors,
    report_section_error,
)
from comfreyhitch.management.documents import check_document, read_document
from comfreyhitch.management.editing import read_section, write_section
from comfreyhitch.management.exit_codes import ExitCode


class ApplyCommand(Command):
    """Write each section of a document that differs from the platform's copy."""

    name = "apply"
    description = "Write the sections of a document by conditional update"
    arguments: ClassVar = [argument("document", "path of a YAML document")]
    options: ClassVar = [
        *make_platform_options(),
        option(
            "if-generation", None, "write a section only if it is at this generation", flag=False
        ),
    ]
    help = """Sections that are not in the document are not changed.
Exit code 3 means that another operator changed a section first.

    comfreyhitch apply web-shop.yaml"""

    def handle(self) -> int:
        """Check the document, then write its sections in order until one fails."""
        path = self.argument("document")
        document = read_document(Path(path))
        if document.is_err():
            return report_input_errors(self, document.err_value)
        errors = check_document(path, document.ok_value)
        if errors:
            return report_input_errors(self, errors)
        try:
            client = make_client(self)
            generation = _parse_generation(self.option("if-generation"))
        except SettingsError as error:
            return report_input_errors(self, [str(error)])
        for name, content in document.ok_value.items():
            code = self._apply_section(client, name, content, generation)
            if code != ExitCode.OK:
                return code
        return ExitCode.OK

    def _apply_section(self, client, name: str, content: dict, generation: int | None) -> int:
        match read_section(client, name):
            case Err(error):
                return report_section_error(self, name, error)
            case Ok(base):
                pass
        if generation is not None and (base is None or base.generation != generation):
            current_state = "missing" if base is None else f"at generation {base.generation}"
            self.line_error(
                f"{name}: is {current_state}, not at generation {generation}; nothing written"
            )
            return ExitCode.CONFLICT
        if base is not None and base.content == content:
            self.line(f"{name}: unchanged")
            return ExitCode.OK
        match write_section(client, name, content, base):
            case Err(error):
                return report_section_error(self, name, error)
            case Ok(item):
                self.line(f"{name}: written as generation {item.generation}")
                return ExitCode.OK


def _parse_generation(text: str | None) -> int | None:
    if text is None:
        return None
    if not text.isdigit():
        raise SettingsError(f"--if-generation: {text!r} is not a number; correct it")
    return int(text)
