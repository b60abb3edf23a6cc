"""Measure how CPU time, memory and messages grow with the fleet, for docs/CAPACITY.md."""

import json
import time
from collections.abc import Callable, Iterator
from functools import partial

import gevent
import gevent.socket

from benchmarks.choice import read_metric
from benchmarks.reporting import get_cpu_seconds, get_resident_mb
from comfreyhitch.core.clock import Clock
from comfreyhitch.membership.models import Member, MemberStatus, encode_member
from comfreyhitch.replication.facts import FactKind, StoredFact, make_fact_message
from comfreyhitch.sections.merging import make_section_fact
from comfreyhitch.testing.fleet import (
    PLATFORM_PORT,
    Fleet,
    Instance,
    add_instance,
    get_admin,
    start_daemon,
    start_platform,
)
from comfreyhitch.testing.http_requests import (
    request,
)
from comfreyhitch.testing.processes import (
    wait_until,
)
from comfreyhitch.wire.codec import decode, encode
from comfreyhitch.wire.connections import PeerPool, call_peer
from comfreyhitch.wire.generated.ttypes import ClaimRequest, Datagram, DatagramKind, Fact

FLEET_SIZES = (10, 30, 100)
RECORD_COUNTS = (0, 600, 1800)
SECTION_CHANGE_COUNT = 200
SECTION_COUNT = 130
CLAIM_COUNT = 10_000
SECTION_BYTES = 2000
MEASURED_SECONDS = 15.0
SIMULATED_PEER_PORT = 8181
PUSH_TIMEOUT_SECONDS = 30.0
PUSH_BATCH_SIZE = 300
SERVICE_COUNT = 130
ZONE_COUNT = 7


def measure_fleet(size: int, fleet: Fleet) -> Iterator[dict[str, object]]:
    """Measure the CPU time, memory and messages of idle daemons in a fleet of processes."""
    start_platform(fleet)
    instances = [add_instance(fleet, f"s{n % 10}", f"z{n % 3}") for n in range(size)]
    for instance in instances:
        start_daemon(fleet, instance)
        gevent.sleep(0.05)
    wait_until(lambda: _have_all_members(instances, size), 90.0, "fleet")
    gevent.sleep(10.0)
    sampled_instances = instances[:: max(1, size // 10)]
    before = [_read_usage(instance) for instance in sampled_instances]
    platform_state_before = _read_platform_state(fleet)
    gevent.sleep(MEASURED_SECONDS)
    after = [_read_usage(instance) for instance in sampled_instances]
    platform_state_after = _read_platform_state(fleet)
    yield {
        "case": "idle fleet of processes",
        "daemons": size,
        **_compare_usage(before, after),
        "resident_mb_max": max(get_resident_mb(item.daemon.pid) for item in instances),
        "platform_calls_per_second": round(
            (
                sum(platform_state_after["calls"].values())
                - sum(platform_state_before["calls"].values())
            )
            / MEASURED_SECONDS,
            2,
        ),
        "open_watches": platform_state_after["watches"],
        "calls_by_verb_since_start": platform_state_after["calls"],
    }
    yield _measure_propagation(instances)


def measure_records(count: int, fleet: Fleet) -> Iterator[dict[str, object]]:
    """Measure one daemon that stores many member records, pushed by a simulated peer."""
    instance = add_instance(fleet, "s0", "z0", settings={"gossip_interval": "1"})
    start_daemon(fleet, instance)
    wait_until(lambda: get_admin(instance, "/v1/status") is not None, 20.0, "daemon")
    probe_responder = gevent.spawn(_acknowledge_probes)
    base_mb = get_resident_mb(instance.daemon.pid)
    cpu_before = get_cpu_seconds(instance.daemon.pid)
    _push(
        instance,
        [make_fact_message(fact, Clock.from_system().now()) for fact in _make_member_facts(count)],
    )
    merge_cpu = get_cpu_seconds(instance.daemon.pid) - cpu_before
    gevent.sleep(5.0)
    before = [_read_usage(instance)]
    gevent.sleep(MEASURED_SECONDS)
    after = [_read_usage(instance)]
    probe_responder.kill()
    yield {
        "case": "one daemon with records of members",
        "records": count,
        **_compare_usage(before, after),
        "merge_cpu_ms_per_record": round(1000 * merge_cpu / max(1, count), 3),
        "resident_mb_before": base_mb,
        "resident_mb": get_resident_mb(instance.daemon.pid),
    }


def measure_sections(fleet: Fleet) -> Iterator[dict[str, object]]:
    """Measure the CPU time and memory that a daemon uses to merge a changed section."""
    instance = add_instance(fleet, "s0", "z0")
    start_daemon(fleet, instance)
    wait_until(lambda: get_admin(instance, "/v1/status") is not None, 20.0, "daemon")
    now = Clock.from_system().now()
    facts = [make_fact_message(_make_section(n, 1), now) for n in range(SECTION_COUNT)]
    _push(instance, facts)
    base_mb = get_resident_mb(instance.daemon.pid)
    cpu_before = get_cpu_seconds(instance.daemon.pid)
    for generation in range(2, 2 + SECTION_CHANGE_COUNT):
        section = _make_section(generation % SECTION_COUNT, generation)
        _push(instance, [make_fact_message(section, now)])
    cpu = get_cpu_seconds(instance.daemon.pid) - cpu_before
    yield {
        "case": "changed sections",
        "sections_in_force": SECTION_COUNT,
        "section_bytes": len(_make_section(0, 1).value),
        "cpu_ms_per_change": round(1000 * cpu / SECTION_CHANGE_COUNT, 2),
        "resident_mb_before": base_mb,
        "resident_mb": get_resident_mb(instance.daemon.pid),
    }


def measure_claims(fleet: Fleet) -> Iterator[dict[str, object]]:
    """Measure the CPU time and memory that claims on keys cost one of their registrars."""
    instance = add_instance(fleet, "s0", "z0")
    start_daemon(fleet, instance)
    wait_until(lambda: get_admin(instance, "/v1/status") is not None, 20.0, "daemon")
    base_mb = get_resident_mb(instance.daemon.pid)
    cpu_before = get_cpu_seconds(instance.daemon.pid)
    pool = PeerPool.from_address("127.0.0.1:1", "", Clock.from_system())
    for number in range(CLAIM_COUNT):
        request = ClaimRequest(
            scope=f"payments\ndefault\nkey-{number:032x}",
            claim_id=f"{number:016x}:1",
            owner="127.0.0.1:1",
            owner_boot_id="0" * 16,
            fingerprint=f"{number:024x}",
            service_name="payments",
            round=0,
        )
        call_peer(
            pool,
            instance.peer_address,
            PUSH_TIMEOUT_SECONDS,
            lambda peer, request=request: peer.claim(request),
        )
    pool.close()
    cpu = get_cpu_seconds(instance.daemon.pid) - cpu_before
    resident_mb = get_resident_mb(instance.daemon.pid)
    yield {
        "case": "claims on keys",
        "claims": CLAIM_COUNT,
        "cpu_ms_per_claim": round(1000 * cpu / CLAIM_COUNT, 3),
        "resident_kb_per_claim": round(1024 * (resident_mb - base_mb) / CLAIM_COUNT, 2),
    }


def _measure_propagation(instances: list[Instance]) -> dict[str, object]:
    """Measure how long it takes until one section is in force at every daemon."""
    section = _make_section(0, int(time.time()))
    now = Clock.from_system().now()
    started_at = time.monotonic()
    _push(instances[0], [make_fact_message(section, now)])
    seconds = wait_until(
        lambda: all(
            "section-0" in (get_admin(item, "/v1/status") or {"sections": {}})["sections"]
            for item in instances
        ),
        30.0,
        "section everywhere",
    )
    return {
        "case": "spread of a section",
        "daemons": len(instances),
        "seconds": round(min(seconds, time.monotonic() - started_at), 2),
        "target_seconds": 10,
    }


def _have_all_members(instances: list[Instance], size: int) -> bool:
    return all(len(get_admin(item, "/v1/members") or []) >= size for item in instances)


def _read_usage(instance: Instance) -> tuple[float, float, float, float]:
    return (
        time.monotonic(),
        get_cpu_seconds(instance.daemon.pid),
        read_metric(instance, "comfreyhitch_datagram_bytes_total"),
        read_metric(instance, "comfreyhitch_datagrams_total"),
    )


def _compare_usage(before: list[tuple], after: list[tuple]) -> dict[str, float]:
    seconds = [last[0] - first[0] for first, last in zip(before, after, strict=True)]

    def get_rate(position: int) -> list[float]:
        return [
            (last[position] - first[position]) / second
            for first, last, second in zip(before, after, seconds, strict=True)
        ]

    return {
        "core_percent_mean": round(100 * sum(get_rate(1)) / len(before), 2),
        "core_percent_max": round(100 * max(get_rate(1)), 2),
        "datagram_bytes_per_second_max": round(max(get_rate(2))),
        "datagrams_per_second_max": round(max(get_rate(3)), 1),
    }


def _read_platform_state(fleet: Fleet) -> dict:
    return request(f"{fleet.prefix}.250", "/_standin/state", port=PLATFORM_PORT).json


def _push(instance: Instance, messages: list[Fact]) -> None:
    pool = PeerPool.from_address("127.0.0.1:1", "", Clock.from_system())
    for start in range(0, len(messages), PUSH_BATCH_SIZE):
        batch = messages[start : start + PUSH_BATCH_SIZE]
        call_peer(
            pool,
            instance.peer_address,
            PUSH_TIMEOUT_SECONDS,
            lambda peer, batch=batch: peer.push(batch),
        )
    pool.close()


def _make_member_facts(count: int) -> Iterator[StoredFact]:
    for number in range(count):
        address = f"127.200.{number // 250}.{number % 250 + 1}:{SIMULATED_PEER_PORT}"
        member = Member(
            address=address,
            http_address=address,
            boot_id=f"{number:016x}",
            incarnation=1,
            status=MemberStatus.ALIVE,
            zone=f"z{number % ZONE_COUNT}",
            region=f"r{number % 3}",
            service=f"s{number % SERVICE_COUNT}",
            version="v1",
            slots=20,
            draining=False,
            started_at=0.0,
        )
        yield StoredFact(FactKind.MEMBER, address, member.fact_version, encode_member(member))


def _make_section(number: int, generation: int) -> StoredFact:
    routes = [{"path": f"/path/{n}", "class": "normal"} for n in range(SECTION_BYTES // 40)]
    content = {"services": {f"s{number}": {"hosts": [f"s{number}.example"], "routes": routes}}}
    return make_section_fact(f"section-{number}", generation, json.dumps(content).encode())


def _acknowledge_probes() -> None:
    """Acknowledge the probes to all simulated members from one socket."""
    sock = gevent.socket.socket(gevent.socket.AF_INET, gevent.socket.SOCK_DGRAM)
    sock.bind(("", SIMULATED_PEER_PORT))
    while True:
        data, address = sock.recvfrom(65_535)
        datagram = decode(Datagram, data).unwrap()
        if datagram.kind == DatagramKind.PING:
            sender = f"127.200.0.1:{SIMULATED_PEER_PORT}"
            ack = Datagram(DatagramKind.ACK, datagram.sequence, sender, None, [], [])
            sock.sendto(encode(ack), address)


RUNS: tuple[Callable[[Fleet], Iterator[dict[str, object]]], ...] = (
    *(partial(measure_fleet, size) for size in FLEET_SIZES),
    *(partial(measure_records, count) for count in RECORD_COUNTS),
    measure_sections,
    measure_claims,
)
