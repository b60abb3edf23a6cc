"""Test how heartbeats and load headers of targets are decoded."""

import json
from datetime import timedelta

from behave import then
from hypothesis import given, seed
from hypothesis import strategies as st

from comfreyhitch.ingress.load import TargetLoad, parse_load
from comfreyhitch.platform.heartbeats import decode_heartbeat
from features.steps.platform_input_steps import corrupt_field, corruptions

HEARTBEAT = {
    "Address": "10.1.0.8:8301",
    "Info": {"Service": "s1", "Version": "v1", "Zone": "za", "Slots": 9},
    "Status": {"State": "ready", "Seq": 4, "ColdLeft": "1500ms"},
    "born": 1_780_000_000_000,
}
HEARTBEAT_FIELDS = [
    ("Address",),
    ("Info",),
    ("Status",),
    ("Info", "Service"),
    ("Info", "Version"),
    ("Info", "Slots"),
    ("Status", "State"),
    ("Status", "Seq"),
]


@then(
    "a heartbeat is decoded, the error for an invalid field names its top-level field, and other "
    "bytes are refused"
)
def check_heartbeats(context):
    decoded_heartbeat = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode()).unwrap()
    assert (decoded_heartbeat.host, decoded_heartbeat.port) == ("10.1.0.8", 8301)
    assert decoded_heartbeat.heartbeat.cold_duration == timedelta(seconds=1.5)
    assert not decoded_heartbeat.heartbeat.is_draining

    @seed(context.seed)
    @given(st.sampled_from(HEARTBEAT_FIELDS), corruptions())
    def check_refusal(path, value):
        content = corrupt_field(HEARTBEAT, path, value)
        decoded = decode_heartbeat("i-1", json.dumps(content).encode())
        if decoded.is_ok():
            assert path[-1] in ("Service", "Version") and value == "?", (path, value)
            return
        assert path[0] in decoded.err_value

    @seed(context.seed)
    @given(st.binary(max_size=200))
    def check_bytes(body):
        assert decode_heartbeat("i-1", body).is_err()

    check_refusal()
    check_bytes()


@then(
    "load headers are parsed, a text of fewer than three values is ignored, and no parsed count is "
    "negative"
)
def check_load(context):
    assert parse_load("3,0,8") == TargetLoad(3, 0, 8, None)
    assert parse_load("3, 1, 8, 500") == TargetLoad(3, 1, 8, 5.0)

    @seed(context.seed)
    @given(st.text(alphabet="0123456789,-. ax\u0663", max_size=12))
    def check_any(text):
        load = parse_load(text)
        if load is not None:
            assert text.count(",") >= 2
            assert min(load.running, load.waiting, load.slots) >= 0

    check_any()
