"""Steps that run the command line interface as operators do."""

import os
import subprocess
import sys

from behave import then, when

from comfreyhitch.testing.fleet import (
    ADMIN_PORT,
    set_platform_faults,
)
from features.steps.fleet_steps import get_instance

EXIT_INVALID_INPUT = 2
TIMEOUT_SECONDS = 30


def run_command(*arguments, **variables):
    """Run a command with settings from `variables` only, and return the completed process."""
    inherited = {
        name: value for name, value in os.environ.items() if not name.startswith("COMFREYHITCH_")
    }
    return subprocess.run(
        [sys.executable, "-m", "comfreyhitch", "--no-ansi", *arguments],
        env={**inherited, **variables},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )


@then("each of these settings prevents the start with an error that contains the text beside it")
def check_invalid_settings(context):
    for row in context.table:
        for command in ("daemon", "check"):
            completed_process = run_command(command, **{row["variable"]: row["value"]})
            assert completed_process.returncode == EXIT_INVALID_INPUT, (row, completed_process)
            assert row["error says"] in completed_process.stderr, (row, completed_process.stderr)


@then("each of these documents is refused with an error that contains the text beside it")
def check_invalid_documents(context):
    path = context.folder / "document.yaml"
    for row in context.table:
        path.write_text(row["document"])
        completed_process = run_command("check", str(path))
        assert completed_process.returncode == EXIT_INVALID_INPUT, (row, completed_process)
        assert row["error says"] in completed_process.stderr, (row, completed_process.stderr)


def _run_with_platform(context, *arguments):
    url = context.fleet.platform_url
    context.completed_process = run_command(*arguments, COMFREYHITCH_PLATFORM_URL=url)


def _write_document(context):
    path = context.folder / "document.yaml"
    path.write_text(context.text)
    return str(path)


@when("the document below is applied")
def apply_document(context):
    _run_with_platform(context, "apply", _write_document(context))


@when("the document below is applied with --if-generation {generation:d}")
def apply_document_if_generation(context, generation):
    path = _write_document(context)
    _run_with_platform(context, "apply", path, "--if-generation", str(generation))


@when("the command status is run with --wait {seconds:d}")
def run_status(context, seconds):
    _run_with_platform(context, "status", "--wait", str(seconds))


@when("the command get is run")
def run_get(context):
    _run_with_platform(context, "get")


@when("the command members is run")
def run_members(context):
    host = get_instance(context, "catalogue").host
    _run_with_platform(context, "members", "--admin", f"{host}:{ADMIN_PORT}")


@when("the platform goes down")
def stop_platform(context):
    set_platform_faults(context.fleet, is_down=True)


@then('the command exits with code {code:d} and prints "{text}"')
def check_exit_code_and_output(context, code, text):
    completed_process = context.completed_process
    assert completed_process.returncode == code, completed_process
    assert text in completed_process.stdout + completed_process.stderr, completed_process
