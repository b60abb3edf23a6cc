"""Test how daemons announce documents to each other, with emulated datagrams and time."""

import heapq
import itertools
from collections import Counter
from random import Random

from behave import then

from comfreyhitch.membership.queries import (
    group_reachable_peers,
    is_platform_reader,
)
from comfreyhitch.replication.broadcast import Broadcaster, propagate_facts
from comfreyhitch.replication.facts import FactKind, FactStore, StoredFact, merge_facts
from features.steps.neighbour_steps import LARGE_ZONE_DAEMONS, SMALL_ZONE_DAEMONS, make_blackboards

LOSS_SHARE = 0.01
# From a datagram to the fetched document, on a busy machine.
FETCH_SECONDS = 0.15
MAX_SECONDS = 1.0
ROUNDS = 60
# So many daemons at most may fetch a document from the same one; its link may be narrow.
MAX_FETCHES = 12


class AnnouncedFleet:
    """Hold the stores of a fleet whose daemons announce documents to each other."""

    def __init__(self, daemons_per_zone, random):
        self.random = random
        self.now = 0.0
        self.events = []
        self.event_numbers = itertools.count()
        self.fetches_by_sender = Counter()
        self.blackboards = make_blackboards(daemons_per_zone)
        self.stores = {address: self.make_store(address) for address in self.blackboards}

    def make_store(self, address):
        """Return the store of a daemon that announces what is new in it."""
        blackboard = self.blackboards[address]
        store = FactStore.from_clock(blackboard.clock)
        broadcaster = Broadcaster.from_store(
            store,
            self.random,
            lambda receiver, facts, heads: self.send(address, receiver, heads),
            lambda: group_reachable_peers(blackboard),
            lambda: is_platform_reader(blackboard),
        )
        broadcaster.call_later = self.call_later
        store.propagate = lambda facts, is_from_peer: propagate_facts(
            broadcaster, facts, is_from_peer=is_from_peer
        )
        return store

    def call_later(self, seconds, action):
        """Call a function at a later time."""
        heapq.heappush(self.events, (self.now + seconds, next(self.event_numbers), action))

    def send(self, sender, receiver, heads):
        """Have a receiver fetch what it lacks from the sender, unless the datagram is lost."""
        if self.random.random() >= LOSS_SHARE:
            self.call_later(FETCH_SECONDS, lambda: self.fetch(sender, receiver, heads))

    def fetch(self, sender, receiver, heads):
        """Merge the facts of the sender that a receiver lacks."""
        known = self.stores[receiver].facts_by_id
        lacking = [head for head in heads if (head.kind, head.key) not in known]
        self.fetches_by_sender[sender] += bool(lacking)
        facts = [self.stores[sender].facts_by_id[head.kind, head.key] for head in lacking]
        merge_facts(self.stores[receiver], facts, is_from_peer=True)

    def run(self, until):
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()

    def list_lacking(self):
        """Return the daemons that have no document."""
        return [address for address, store in self.stores.items() if not store.facts_by_id]


@then(
    "it reaches all daemons within a second, although datagrams are lost, and few fetch it from one"
)
def check_announcements(context):
    random = Random(context.seed)
    for daemons_per_zone in (LARGE_ZONE_DAEMONS, SMALL_ZONE_DAEMONS):
        for number in range(ROUNDS):
            fleet = AnnouncedFleet(daemons_per_zone, random)
            readers = [
                address
                for address, blackboard in fleet.blackboards.items()
                if is_platform_reader(blackboard)
            ]
            fact = StoredFact(FactKind.DOCUMENT, "routes/main", 7, b"v")
            for address in readers:
                merge_facts(fleet.stores[address], [fact])
            fleet.run(MAX_SECONDS)
            lacking = fleet.list_lacking()
            assert not lacking, (daemons_per_zone, number, lacking)
            assert max(fleet.fetches_by_sender.values()) <= MAX_FETCHES, fleet.fetches_by_sender
