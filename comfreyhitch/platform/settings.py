"""Read the platform's settings file, and convert it to the settings of a daemon."""

from collections.abc import Mapping
from pathlib import Path

from comfreyhitch.conf import validation
from comfreyhitch.conf.exceptions import InvalidSettingsError, SettingsError
from comfreyhitch.conf.loader import read_overrides
from comfreyhitch.conf.models import Settings
from comfreyhitch.platform.durations import parse_duration

CONFIG_PATH_VARIABLE = "COMFREYHITCH_CONFIG"
# Must be the same as in deploy/system.toml.
METRICS_PORT = 9464
# Fraction of the platform's grace period after which requests without an answer are interrupted.
DRAIN_GRACE_SHARE = 0.85
# Fraction of it for which answers that are being received or sent are awaited after that. The rest
# is for the end of the process.
SEND_GRACE_SHARE = 0.1
# Fraction of the grace period for which a stopping daemon still serves requests that may outlast
# the stop, while callers switch to another daemon.
STOP_LINGER_SHARE = 0.45
# The platform excuses only requests that were sent within 3 s after the signal; the rest of that
# time passes until a daemon has handled the signal.
MAX_STOP_LINGER_SECONDS = 2.7
# Fractions of the platform's retry budget that daemons use. The rest stays unused, because
# each daemon counts only its own retries.
RETRY_EXTRA_SHARE = 0.5
RETRY_RATIO_SHARE = 0.8
TARGET_PROBES_PER_SECOND = 40.0
CONTRACT_SHARED_TARGETS = "pool"
CONTRACT_ROLLOUTS = "rollout"
TARGET_PROBE_INTERVAL_SECONDS = 1.0
DUTY_USAGE_REPORT = "usage_report"


def read_file(path: Path) -> dict[str, str]:
    """Return a file's values by name; raise `SettingsError` with the path and an invalid line."""
    try:
        text = path.read_text()
    except OSError as error:
        raise SettingsError(
            f"{path}: {error.strerror}; {CONFIG_PATH_VARIABLE} sets the path"
        ) from error
    except UnicodeDecodeError as error:
        raise SettingsError(f"{path}: {error}") from error
    values = {}
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip():
            continue
        name, separator, value = line.partition("=")
        if not separator:
            raise SettingsError(f"{path}:{number}: has no '='; write name=value")
        values[name.strip()] = value.strip()
    return values


def make_settings(values: Mapping[str, str], environment: Mapping[str, str]) -> Settings:
    """Convert a file's values to settings; environment variables override them.

    Raise `SettingsError` if any setting is missing or invalid.
    """
    try:
        overrides = read_overrides(environment, CONFIG_PATH_VARIABLE)
        return validation.make_settings({**_translate(values), **overrides})
    except KeyError as error:
        raise SettingsError(f"{error.args[0]}: missing; the platform must set it") from error
    except (ValueError, InvalidSettingsError) as error:
        raise SettingsError(f"invalid settings of the platform: {error}") from error


def get_addresses(values: Mapping[str, str]) -> dict[str, tuple[str, int]]:
    """Return host and port of the readiness and the heartbeat server, by setting name."""
    names = ("Listen.ReadinessAddr", "Listen.Control")
    return {name: _parse_address(values[name]) for name in names}


def _translate(values: Mapping[str, str]) -> dict[str, object]:
    outbound_host, outbound_port = _parse_address(values["Listen.Outbound"])
    app_host, app_port = _parse_address(values["AppAddr"])
    first_port, _, _ = values["PortRange"].partition(",")
    grace_seconds = parse_duration(values["Bounds.Grace"]).total_seconds()
    linger_seconds = min(grace_seconds * STOP_LINGER_SHARE, MAX_STOP_LINGER_SECONDS)
    has_overload_control = _has_overload_control(values)
    return {
        "host": outbound_host,
        "http_port": outbound_port,
        "peer_port": int(first_port),
        "admin_port": METRICS_PORT,
        "zone": values["Zone"],
        "region": values["Region"],
        "service": values["Service"],
        "target_host": app_host,
        "target_port": app_port,
        "platform_url": f"http://{values['Platform.Address']}",
        "registration": "all",
        "limit_rule": "throughput" if has_overload_control else "slots",
        "overload_control": "cost" if has_overload_control else "class",
        "link_bandwidth": values.get("Limits.LinkMbps") if has_overload_control else None,
        "memory_limit": values.get("Limits.MemoryMb"),
        "descriptor_limit": values.get("Limits.MaxFds"),
        "drain_timeout": grace_seconds * DRAIN_GRACE_SHARE - linger_seconds,
        "send_timeout": grace_seconds * SEND_GRACE_SHARE,
        "stop_linger": linger_seconds,
        "retry_budget": float(values["Bounds.BudgetRatio"]) * RETRY_RATIO_SHARE,
        "retry_extra": float(values["Bounds.BudgetExtra"]) * RETRY_EXTRA_SHARE,
        "retry_window": parse_duration(values["Bounds.BudgetWindow"]).total_seconds(),
        "is_repeat_budget_shared": True,
        "hedge_budget": 0.0,
        "probe_rate": 0.0,
        "target_probe_rate": min(TARGET_PROBES_PER_SECOND, float(values["Bounds.ProbesPerS"]) / 2),
        "target_probe_interval": TARGET_PROBE_INTERVAL_SECONDS,
        **_translate_usage_duty(values),
    }


def _translate_usage_duty(values: Mapping[str, str]) -> dict[str, object]:
    """Return the settings of usage reports, or none if the platform does not ask for them."""
    duties = {name.strip() for name in values.get("Cloud.Duties", "").split(",")}
    address = values.get("Cloud.Address", "")
    if not address or DUTY_USAGE_REPORT not in duties:
        return {}
    try:
        _parse_address(address)
    except ValueError as error:
        raise ValueError(f"Cloud.Address: {error}") from error
    durations_by_setting = {
        "usage_window": "Bounds.UsageWindow",
        "usage_lease": "Bounds.Lease_time",
        "usage_report_limit": "Bounds.UsageLate",
    }
    settings: dict[str, object] = {
        setting: parse_duration(values[name]).total_seconds()
        for setting, name in durations_by_setting.items()
        if name in values
    }
    if "Cloud.DutyPerS" in values:
        settings["usage_call_rate"] = float(values["Cloud.DutyPerS"])
    return {**settings, "usage_address": address, "node_name": values["Node"]}


def _has_overload_control(values: Mapping[str, str]) -> bool:
    """Return whether requests are scheduled by what their delay or refusal costs callers.

    Rollouts exclude it: a version that is slow under load would be spared the load that shows it.
    """
    contracts = {name.strip() for name in values.get("Contracts", "").split(",")}
    return CONTRACT_SHARED_TARGETS in contracts and CONTRACT_ROLLOUTS not in contracts


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not port.isdigit():
        raise ValueError(f"{address!r} is not an address with a port")
    return host, int(port)
