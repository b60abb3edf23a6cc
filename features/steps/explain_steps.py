"""Test the command `explain`, which shows the log lines of one request."""

import json
import subprocess
import sys

from behave import then


def make_log_line(time, daemon, message, **fields):
    """Return a line of a daemon's log with a prefix that the platform adds."""
    content = {"time": time, "daemon": daemon, "message": message, **fields}
    return f"  0.5 node {json.dumps(content)}"


def explain(*arguments):
    """Run the command, and return the completed process."""
    command = [sys.executable, "-m", "comfreyhitch", "explain", *arguments]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@then("explain prints a request's lines from several logs in order, and its daemons' state changes")
def check_explain(context):
    first_log = [
        make_log_line("t1", "d1", "zone is out", zone="za"),
        make_log_line("t4", "d1", "request failed", caller_request_id="r1", outcome="no-target"),
        make_log_line("t5", "d1", "request", caller_request_id="r2", outcome="200"),
    ]
    second_log = [
        "not a log line",
        make_log_line("t3", "d2", "call failed", caller_request_id="r1.x", lines_left_out=7),
        '{"time": "cut',
    ]
    paths = []
    for name, lines in (("first", first_log), ("second", second_log)):
        path = context.folder / f"{name}.log"
        path.write_text("\n".join(lines))
        paths.append(str(path))
    result = explain("r1", *paths)
    assert result.returncode == 0, result
    lines = result.stdout.splitlines()
    assert lines[0].startswith("t3 d2 call failed") and lines[1].startswith("t4 d1 request failed")
    assert "7 others were left out" in lines[2]
    assert lines[4].strip().startswith("t1 d1 zone is out"), lines
    assert "r2" not in result.stdout
    assert explain("unknown", *paths).returncode == 1
    missing = explain("r1", "/nowhere.log")
    assert missing.returncode == 2 and "/nowhere.log" in missing.stderr, missing
