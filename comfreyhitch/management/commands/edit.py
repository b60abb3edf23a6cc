"""Edit one section in an editor."""

import os
import shlex
import subprocess
import tempfile
from pathlib import Path
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
from comfreyhitch.management.documents import check_document, format_document, read_document
from comfreyhitch.management.editing import read_section, write_section
from comfreyhitch.management.exit_codes import ExitCode

DEFAULT_EDITOR = "vi"


class EditCommand(Command):
    """Open one section in $EDITOR, and write it by conditional update."""

    name = "edit"
    description = "Edit one section by conditional update"
    arguments: ClassVar = [argument("section", "name of the section")]
    options: ClassVar = make_platform_options()
    help = """If the edited section is invalid or cannot be written, it is kept in a file
whose path is printed.

    EDITOR=nano comfreyhitch edit web-shop"""

    def handle(self) -> int:
        """Read, edit, check and write the section."""
        name = self.argument("section")
        try:
            client = make_client(self)
        except SettingsError as error:
            return report_input_errors(self, [str(error)])
        match read_section(client, name):
            case Err(error):
                return report_section_error(self, name, error)
            case Ok(base):
                path = _write_draft(name, {} if base is None else base.content)
        if not _run_editor(path):
            return report_input_errors(
                self, [f"{path}: the editor failed; your draft is kept in this file"]
            )
        errors = _find_draft_errors(path, name)
        if errors:
            return report_input_errors(self, [*errors, f"{path}: your draft is kept in this file"])
        content = read_document(path).unwrap()[name]
        match write_section(client, name, content, base):
            case Err(error):
                self.line_error(f"{path}: your draft is kept in this file")
                return report_section_error(self, name, error)
            case Ok(item):
                path.unlink()
                self.line(f"{name}: written as generation {item.generation}")
                return ExitCode.OK


def _write_draft(name: str, content: dict) -> Path:
    descriptor, path = tempfile.mkstemp(prefix=f"{name}-", suffix=".yaml")
    os.close(descriptor)
    Path(path).write_text(format_document({name: content}))
    return Path(path)


def _run_editor(path: Path) -> bool:
    editor = shlex.split(os.environ.get("EDITOR", DEFAULT_EDITOR))
    return subprocess.run([*editor, str(path)], check=False).returncode == 0


def _find_draft_errors(path: Path, name: str) -> list[str]:
    document = read_document(path)
    if document.is_err():
        return document.err_value
    if list(document.ok_value) != [name]:
        return [f"{path}: must contain the section {name} and no other"]
    return check_document(str(path), document.ok_value)
