"""Steps that send malformed or invalid messages to a running daemon."""

import socket
from random import Random

import gevent
from behave import then, when

from comfreyhitch.core.clock import Clock
from comfreyhitch.testing.fleet import (
    PEER_PORT,
    call_service,
    get_admin,
)
from comfreyhitch.wire.codec import decode, encode
from comfreyhitch.wire.connections import PeerPool, call_peer
from comfreyhitch.wire.generated.ttypes import (
    CrashRecord,
    Datagram,
    DatagramKind,
    Fact,
    VetoRecord,
)
from features.steps.fleet_steps import get_instance

INVALID_FACTS = (
    Fact("member", "127.0.0.1:1", 4, b"not a record", None),
    Fact("section", "shop", 9, b"\x00", None),
    Fact("no such kind", "a", 1, b"", None),
    Fact("stage", "a", 3, b"value", None),
    Fact("veto", "a", 1, encode(VetoRecord("a", "b", 1e300)), None),
    Fact("crash", "a@b", 1, encode(CrashRecord("a", "b", float("nan"))), None),
)


def get_members(instance):
    """Return the members that a daemon knows."""
    return get_admin(instance, "/v1/members")


@when("a daemon gets invalid datagrams, frames and facts")
def send_invalid_messages(context):
    instance = get_instance(context, "catalogue")
    context.members_before = get_members(instance)
    random = Random(context.seed)
    address = (instance.host, PEER_PORT)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for size in (0, 1, 10, 1000):
            sock.sendto(random.randbytes(size), address)
        for kind in (DatagramKind.PING, DatagramKind.PING_REQUEST, 99):
            for sender in ("nowhere", "a:b", "999.1.1.1:1", ""):
                datagram = Datagram(kind, 1, sender, "nobody", list(INVALID_FACTS), [])
                sock.sendto(encode(datagram), address)
    for data in (b"GET / HTTP/1.1\r\n\r\n", b"\xff" * 64, b"\x00\x00\x00\x05hello"):
        with socket.create_connection(address, 5) as connection:
            connection.sendall(data)
    pool = PeerPool.from_address("127.0.0.1:1", "", Clock.from_system())
    call_peer(pool, instance.peer_address, 5.0, lambda peer: peer.push(list(INVALID_FACTS)))
    gevent.sleep(0.5)


@then("it still answers probes and calls, and its members are unchanged")
def check_unaffected(context):
    instance = get_instance(context, "catalogue")
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(5)
        sock.bind((f"{context.fleet.prefix}.240", 0))
        sender = "{}:{}".format(*sock.getsockname())
        ping = Datagram(DatagramKind.PING, 7, sender, None, [], [])
        sock.sendto(encode(ping), (instance.host, PEER_PORT))
        kinds = [decode(Datagram, sock.recv(65536)).unwrap().kind for _ in range(2)]
    assert DatagramKind.ACK in kinds
    assert call_service(instance, "catalogue").status == 200
    assert get_members(instance) == context.members_before
