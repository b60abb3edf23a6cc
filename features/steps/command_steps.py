"""Steps that run the command line as operators do."""

import os
import subprocess
import sys

from behave import then, when

from comfreyhitch.testing.fleet import (
    ADMIN_PORT,
    set_platform_faults,
)
from features.steps.fleet_steps import get_instance

EXIT_BAD_INPUT = 2
TIMEOUT_SECONDS = 30


def run_command(*arguments, **variables):
    """Run the command line, and return the finished process."""
    kept = {
        name: value for name, value in os.environ.items() if not name.startswith("COMFREYHITCH_")
    }
    return subprocess.run(
        [sys.executable, "-m", "comfreyhitch", "--no-ansi", *arguments],
        env={**kept, **variables},
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
        check=False,
    )


@then("these settings stop the start with an error that names the setting")
def check_settings(context):
    for row in context.table:
        for command in ("daemon", "check"):
            finished = run_command(command, **{row["variable"]: row["value"]})
            assert finished.returncode == EXIT_BAD_INPUT, (row, finished)
            assert row["error says"] in finished.stderr, (row, finished.stderr)


@then("these documents are refused with an error that names the place")
def check_documents(context):
    path = context.folder / "document.yaml"
    for row in context.table:
        path.write_text(row["document"])
        finished = run_command("check", str(path))
        assert finished.returncode == EXIT_BAD_INPUT, (row, finished)
        assert row["error says"] in finished.stderr, (row, finished.stderr)


def _run_with_platform(context, *arguments):
    url = context.fleet.platform_url
    context.finished = run_command(*arguments, COMFREYHITCH_PLATFORM_URL=url)


def _write_document(context):
    path = context.folder / "document.yaml"
    path.write_text(context.text)
    return str(path)


@when("the document below is applied")
def apply_document(context):
    _run_with_platform(context, "apply", _write_document(context))


@when("the document below is applied over generation {generation:d}")
def apply_document_over(context, generation):
    path = _write_document(context)
    _run_with_platform(context, "apply", path, "--if-generation", str(generation))


@when("status is asked for with --wait {seconds:d}")
def ask_for_status(context, seconds):
    _run_with_platform(context, "status", "--wait", str(seconds))


@when("get is asked for")
def ask_for_document(context):
    _run_with_platform(context, "get")


@when("members is asked for")
def ask_for_members(context):
    host = get_instance(context, "catalogue").host
    _run_with_platform(context, "members", "--admin", f"{host}:{ADMIN_PORT}")


@when("the platform goes down")
def stop_platform(context):
    set_platform_faults(context.fleet, is_down=True)


@then('the command ends with code {code:d} and prints "{text}"')
def check_command(context, code, text):
    finished = context.finished
    assert finished.returncode == code, finished
    assert text in finished.stdout + finished.stderr, finished
