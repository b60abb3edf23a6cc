"""Show what is done, in progress or rolled back, and why."""

import json
import os
import time
from typing import ClassVar

from cleo.commands.command import Command
from cleo.helpers import argument, option
from result import Err, Ok

from comfreyhitch.conf.exceptions import SettingsError
from comfreyhitch.conf.loader import load_settings
from comfreyhitch.management.common import (
    make_client,
    make_platform_options,
    report_input_errors,
    report_section_error,
)
from comfreyhitch.management.exit_codes import ExitCode
from comfreyhitch.management.usage_status import format_usage_status, read_usage_status
from comfreyhitch.platform.client import PlatformClient
from comfreyhitch.rollouts.models import RolloutPhase
from comfreyhitch.sections.acceptance import SectionStatus, parse_section_status
from comfreyhitch.sections.models import RolloutPlan
from comfreyhitch.sections.parsing import parse_section
from comfreyhitch.sections.storage import StoredSection, list_sections

POLL_SECONDS = 0.5


class StatusCommand(Command):
    """Print the state of each section and rollout."""

    name = "status"
    description = "Show what is done, in progress or rolled back, and why"
    arguments: ClassVar = [argument("section", "name of a section", optional=True)]
    options: ClassVar = [
        *make_platform_options(),
        option("json", None, "print JSON"),
        option("usage", None, "show who reports usage instead, and up to which window"),
        option("wait", None, "maximum seconds to wait until nothing is in progress", flag=False),
    ]
    help = """Exit codes: 0 all edits are accepted and all rollouts done, 5 an edit or a
rollout is in progress, 6 a current rollout was rolled back, 2 an edit was
refused, 4 the platform can't be reached.

    comfreyhitch status web-shop --json
    comfreyhitch status --usage"""

    def handle(self) -> int:
        """Read and print the status; with --wait, poll until nothing is in progress."""
        try:
            client = make_client(self)
            wait_seconds = _parse_wait(self.option("wait"))
        except SettingsError as error:
            return report_input_errors(self, [str(error)])
        if self.option("usage"):
            return self._print_usage(client)
        deadline = time.monotonic() + wait_seconds
        while True:
            match list_sections(client):
                case Err(error):
                    return report_section_error(self, "sections", error)
                case Ok(listed):
                    reports = _make_reports(listed, self.argument("section"))
            code = _get_exit_code(reports)
            if code != ExitCode.IN_PROGRESS or time.monotonic() >= deadline:
                break
            time.sleep(POLL_SECONDS)
        if self.argument("section") is not None and not reports:
            return report_input_errors(self, [f"{self.argument('section')}: no such section"])
        self._print(reports)
        return code

    def _print_usage(self, client: PlatformClient) -> int:
        try:
            window = load_settings(os.environ, {}).usage_window
        except SettingsError as error:
            return report_input_errors(self, [str(error)])
        match read_usage_status(client, window, time.time()):
            case Err(detail):
                self.line_error(f"usage: {detail}")
                return ExitCode.UNAVAILABLE
            case Ok(status):
                text = json.dumps(status) if self.option("json") else format_usage_status(status)
                self.line(text)
        return ExitCode.OK

    def _print(self, reports: list[dict]) -> None:
        if self.option("json"):
            self.line(json.dumps(reports, indent=2))
            return
        for report in reports:
            self.line(f"{report['section']}: generation {report['generation']}, {report['edit']}")
            for error in report["errors"]:
                self.line(f"  {error}")
            for rollout in report["rollouts"]:
                self.line(
                    f"  {rollout['service']} to {rollout['to']}: {rollout['phase']} "
                    f"({rollout['reason']})"
                )


def _make_reports(items: list[StoredSection], section_name: str | None) -> list[dict]:
    return [
        _make_report(item) for item in items if section_name is None or item.name == section_name
    ]


def _make_report(item: StoredSection) -> dict:
    status = parse_section_status(item)
    return {
        "section": item.name,
        "generation": item.generation,
        "accepted_generation": status.accepted.generation if status.accepted else 0,
        "edit": _describe_edit(item, status),
        "errors": status.errors,
        "rollouts": [_describe_rollout(plan, status) for plan in _list_current_plans(item, status)],
    }


def _describe_edit(item: StoredSection, status: SectionStatus) -> str:
    if status.observed_generation < item.generation:
        return "in progress"
    return "refused" if status.errors else "accepted"


def _list_current_plans(item: StoredSection, status: SectionStatus) -> list[RolloutPlan]:
    if status.accepted is None:
        return []
    parsed = parse_section(item.name, 0, status.accepted.content)
    if parsed.is_err():
        return []
    services = parsed.ok_value.services
    return [service.rollout for service in services if service.rollout is not None]


def _describe_rollout(plan: RolloutPlan, status: SectionStatus) -> dict:
    rollout_status = status.rollouts.get(plan.rollout_id, {})
    return {
        "service": plan.service,
        "to": plan.to_version,
        "finish_by": plan.finish_by.isoformat(),
        "phase": rollout_status.get("phase", RolloutPhase.PENDING.value),
        "reason": rollout_status.get("reason", "not begun"),
        "at": rollout_status.get("at"),
    }


def _get_exit_code(reports: list[dict]) -> int:
    phases = {rollout["phase"] for report in reports for rollout in report["rollouts"]}
    edits = {report["edit"] for report in reports}
    if "refused" in edits:
        return ExitCode.BAD_INPUT
    if RolloutPhase.ROLLED_BACK.value in phases:
        return ExitCode.ROLLED_BACK
    if "in progress" in edits or phases - {RolloutPhase.DONE.value}:
        return ExitCode.IN_PROGRESS
    return ExitCode.OK


def _parse_wait(text: str | None) -> float:
    try:
        return float(text or 0)
    except ValueError:
        raise SettingsError(f"--wait: {text!r} is not a number of seconds; correct it") from None
