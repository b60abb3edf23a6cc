"""Edits that each disable one mechanism, and the scenarios that must fail without it."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Removal:
    """Hold the edits that disable a mechanism, and the scenario that must fail then.

    Each edit is a file below comfreyhitch/, a text in it and its replacement.
    """

    mechanism: str
    scenario: str
    edits: tuple[tuple[str, str, str], ...]


REMOVALS = (
    Removal(
        "giving way of requests and responses that make no progress",
        "Who gives way to others",
        (("core/held_bytes.py", "for holder in _list_stalled(held):", "for holder in ():"),),
    ),
    Removal(
        "closing of quiet connections for others",
        "Which connections are closed for others",
        (
            (
                "wire/open_connections.py",
                "if is_full and not _close_quietest(connections):",
                "if is_full:",
            ),
        ),
    ),
    Removal(
        "limit on the memory of requests and responses",
        "A crowd at every daemon",
        (
            (
                "daemon/assembly.py",
                "HeldBytes.from_memory(settings.memory_limit, clock)",
                "HeldBytes(clock=clock)",
            ),
        ),
    ),
    Removal(
        "limit on the memory of responses without end",
        "Callers of all daemons whose targets send without end",
        (
            (
                "daemon/assembly.py",
                "HeldBytes.from_memory(settings.memory_limit, clock)",
                "HeldBytes(clock=clock)",
            ),
        ),
    ),
    Removal(
        "check of the status of responses",
        "Statuses that HTTP does not allow",
        (("wire/responses.py", "if status not in VALID_STATUSES or", "if False and"),),
    ),
    Removal(
        "probe budget",
        "Budgets hold for any times between probes",
        (("utils/token_bucket.py", "if bucket.tokens < amount:", "if False:"),),
    ),
    Removal(
        "concurrency limit",
        "All targets start cold at once while callers outnumber their slots",
        (
            (
                "admission/queue.py",
                "queue.running < queue.limit.limit and",
                "queue.running < queue.limit.slots and",
            ),
        ),
    ),
    Removal(
        "growth by one after a full window",
        "The limit and the queue keep their bounds",
        (("admission/limiter.py", "state.limit + 1)", "state.limit + 3)"),),
    ),
    Removal(
        "tenant's bounded share",
        "One tenant cannot take a busy target from another, and the lowest class is shed first",
        (
            ("admission/queue.py", "return held >= max(1", "return False and held >= max(1"),
            ("admission/queue.py", "if is_same_class and", "if False and"),
        ),
    ),
    Removal(
        "zone that is out excluded from candidates and refused by the ingress",
        "A zone is taken out and brought back",
        (
            ("egress/eligibility.py", "if member.zone in blackboard.zones_out:", "if False:"),
            ("ingress/refusals.py", "if own.zone in blackboard.zones_out:", "if False:"),
        ),
    ),
    Removal(
        "veto of a version with a regression",
        "A version that fails is taken back",
        (("rollouts/controller.py", "if analysis.regression is not None:", "if False:"),),
    ),
    Removal(
        "one stored outcome for each rollout",
        "The platform is down while a version turns bad",
        (
            (
                "rollouts/recorder.py",
                'entry = {\n        "phase"',
                'entry = {\n        "try": str(now),\n        "phase"',
            ),
            ("rollouts/recorder.py", "if stored_entry is not None and", "if False and"),
            ("rollouts/recorder.py", "recorder.recorded.add(plan.rollout_id)", "pass"),
        ),
    ),
    Removal(
        "change freeze",
        "A change freeze begins before the rollout is done",
        (("rollouts/schedule.py", "if is_day and freeze", "if False and freeze"),),
    ),
    Removal(
        "closing a connection whose response is late, and matching request ids",
        "A late answer reaches nobody but its own caller",
        (
            (
                "egress/hedging.py",
                "            abandon_attempt(item)",
                "            egress.pool.release(item.connection)",
            ),
            ("wire/connections.py", "if answer.request_id != request_id:", "if False:"),
        ),
    ),
    Removal(
        "fence that distinguishes running requests from those never received",
        "Slow deposits without a key are asked about while they run, and run once",
        (
            (
                "ingress/fence.py",
                "return FenceAnswer(state=FenceState.RUNNING)\n    if record.outcome",
                "return FenceAnswer(state=FenceState.NEVER_RAN)\n    if record.outcome",
            ),
        ),
    ),
    Removal(
        "fence on a new connection",
        "A connection goes silent while a deposit runs",
        (
            (
                "egress/fencing.py",
                "    if answer is None:\n        return None\n    outcome = _read_fence",
                "    return None\n    outcome = _read_fence",
            ),
        ),
    ),
    Removal(
        "combined verdict of all attempts",
        "Idempotent requests that are hedged and refused while targets are full",
        (
            (
                "egress/hedging.py",
                "    # An unanswered attempt may have run, whatever the others returned.",
                "    if best_known is not None:\n        return best_known",
            ),
        ),
    ),
    Removal(
        "claims on keys",
        "Resends of a deposit through the same and another daemon",
        (
            (
                "ingress/call_handler.py",
                "if record is None or not call.idempotency_key:",
                "if True:",
            ),
        ),
    ),
    Removal(
        "claims that outlive their owner",
        "The daemon dies while its target runs a deposit",
        (
            (
                "ingress/call_handler.py",
                "if record is None or not call.idempotency_key:",
                "if True:",
            ),
        ),
    ),
    Removal(
        "quarantine",
        "A request that crashes each target that runs it stops after two",
        (
            (
                "core/blackboard.py",
                "QUARANTINE_MIN_CRASHED_TARGETS = 2",
                "QUARANTINE_MIN_CRASHED_TARGETS = 200",
            ),
        ),
    ),
    Removal(
        "draining target excluded from candidates and refused by the ingress",
        "A target announces that it drains",
        (
            ("egress/eligibility.py", "or member.draining or", "or"),
            ("ingress/load_reports.py", " or blackboard.own_member.draining:", ":"),
            ("ingress/refusals.py", "if blackboard.is_draining or own.draining:", "if False:"),
        ),
    ),
    Removal(
        "waiting for requests in flight at shutdown",
        "A daemon stops while requests run through both of its sides",
        (
            ("daemon/shutdown.py", "daemon.settings.stop_linger.total_seconds()", "0.0"),
            ("daemon/shutdown.py", "    while not is_true():", "    while False:"),
        ),
    ),
    Removal(
        "answers to the requests that a stop interrupts",
        "Requests wait and run when the drain timeout of a stop ends",
        (("daemon/shutdown.py", "        interrupt_requests(waiting)", "        pass"),),
    ),
    Removal(
        "time for answers that are received at the end of a stop",
        "Large answers are on their way when the drain timeout of a stop ends",
        (("daemon/shutdown.py", " and not is_receiving(connection)", ""),),
    ),
    Removal(
        "time for answers that are sent at the end of a stop",
        "A caller still reads its response when the drain timeout of a stop ends",
        (
            (
                "daemon/shutdown.py",
                "    interrupted_count += _finish_sending(daemon, caller_server, plan)",
                "    interrupted_count += 0",
            ),
        ),
    ),
    Removal(
        "end of a stop told to ingresses",
        "More large answers are asked for during a stop than the link can send",
        (("egress/attempts.py", "if egress.stop_plan is not None:", "if False:"),),
    ),
    Removal(
        "check that a caller is still there",
        "Callers leave before their daemon reads their requests",
        (("egress/frontend.py", "if is_disconnected(connection.sock):", "if False:"),),
    ),
    Removal(
        "requests counted from their first byte while a daemon stops",
        "Requests arrive around the end of reading",
        (
            (
                "daemon/shutdown.py",
                "+ len(caller_server.connections.by_socket)",
                "+ len(caller_server.connections.list_in_phase(ConnectionPhase.HANDLING))",
            ),
        ),
    ),
    Removal(
        "end of the stream before the close of a connection",
        "A connection is closed after a response while its caller still sends",
        (
            (
                "egress/caller_handler.py",
                "if self.connection.end_reason in REASONS_AFTER_RESPONSE:",
                "if False:",
            ),
        ),
    ),
    Removal(
        "connections accepted before the listener closes",
        "Connections wait to be accepted when the listener closes",
        (
            (
                "egress/caller_server.py",
                "while (accepted := self.do_read()) is not None:",
                "while (accepted := None) is not None:",
            ),
        ),
    ),
    Removal(
        "refutation of suspicion",
        "A paused member is suspected and comes back",
        (
            (
                "membership/detector.py",
                "    if member.fact_version > own.fact_version:",
                "    if False:",
            ),
        ),
    ),
    Removal(
        "highest version wins",
        "Merging facts",
        (
            (
                "replication/facts.py",
                "if (fact.version, fact.value) <= (stored.version, stored.value):",
                "if False:",
            ),
        ),
    ),
    Removal(
        "validation before acceptance",
        "An edit is in force everywhere, and an invalid one changes nothing",
        (("sections/acceptance.py", 'changes["errors"] = find_conflicts', "_ = find_conflicts"),),
    ),
    Removal(
        "few platform readers for each zone",
        "Few daemons wait on the platform",
        (("membership/queries.py", "READERS_PER_ZONE = 2", "READERS_PER_ZONE = 200"),),
    ),
    Removal(
        "brief watches of the first reader of a zone",
        "The store cuts all watches off silently, and drops its history",
        (("watching/waits.py", "if conditions.is_first_reader else", "if False else"),),
    ),
    Removal(
        "renewal of the other watches after silence",
        "The store cuts all watches off silently, and drops its history",
        (("watching/follower.py", "        follower.on_silence()", "        pass"),),
    ),
    Removal(
        "refusal of a rolled-back version after a later order",
        "A version that was rolled back, and the next order",
        (("core/blackboard.py", "if lasting_reason is not None:", "if False:"),),
    ),
    Removal(
        "rate limit that a target names",
        "A target names a limit, and leaves",
        (
            (
                "ingress/state.py",
                "set_rate_limit(ingress.rate_limit, limit,",
                "set_rate_limit(ingress.rate_limit, None,",
            ),
        ),
    ),
    Removal(
        "leaving said in responses",
        "A target names a limit, and leaves",
        (("ingress/state.py", "if mark_leaving(", "if False and mark_leaving("),),
    ),
    Removal(
        "comparison of the request id before a refusal counts",
        "A target that repeats an earlier refusal",
        (
            (
                "ingress/response_checks.py",
                "if request_id and not _answers_request(header_names, response, request_id):",
                "if False:",
            ),
        ),
    ),
    Removal(
        "trial targets that all daemons track",
        "Trial targets of a service with more targets than a daemon tracks",
        (("egress/eligibility.py", "if active is not None:", "if False:"),),
    ),
    Removal(
        "count of the requests to a new version until it has succeeded",
        "All requests to a new version are counted",
        (("rollouts/exposure.py", "return count + counter.jitter < allowed", "return True"),),
    ),
    Removal(
        "reading of the good entries of the store among odd ones",
        "Odd entries among those of the platform",
        (("platform/entries.py", "if parsed.is_ok():", "if True:"),),
    ),
    Removal(
        "check of client account keys",
        "A shop's accounts whose keys change under load",
        (("accounts/authentication.py", "if account is None else", "if False else"),),
    ),
    Removal(
        "client account keys that are dropped before a target",
        "Keys on running daemons",
        (("egress/routed_calls.py", "if table.accounts is not None:", "if False:"),),
    ),
    Removal(
        "client account header in any spelling",
        "Forms of the headers",
        (("accounts/authentication.py", ".lower().translate(_HYPHEN_BY_CHARACTER)", ".lower()"),),
    ),
    Removal(
        "refusal of an older version with a removed client account key",
        "Older versions of the configuration",
        (("documents/applying.py", "current_table.version >= table.version", "False"),),
    ),
    Removal(
        "client account's priority before that of the route",
        "A shop's accounts whose keys change under load",
        (("egress/routed_calls.py", "    return account.priority", "    return route.priority"),),
    ),
    Removal(
        "client account names quoted in metrics",
        "Forms of the headers",
        (("telemetry/metrics.py", """.replace('"', r"\\"")""", ""),),
    ),
    Removal(
        "errors about client accounts without keys",
        "Entries of a configuration",
        (("platform/accounts.py", 'f"is a key of', 'f"{key} is a key of'),),
    ),
    Removal(
        "pauses of loops that read",
        "Responses without end",
        (("wire/read_loops.py", "        pause(loop)\n", "        pass\n"),),
    ),
    Removal(
        "turns of loops that read",
        "Responses without end",
        (("wire/read_loops.py", "with _rounds.pausing:", "if True:"),),
    ),
    Removal(
        "bounds on bodies of requests",
        "Requests without end",
        (("wire/request_bodies.py", "if self._remaining_bytes < 0:", "if False:"),),
    ),
    Removal(
        "end of discarding a body",
        "Requests without end",
        (
            (
                "wire/request_bodies.py",
                "with gevent.Timeout(MAX_DISCARD_SECONDS, BodyOutOfBoundsError",
                "with gevent.Timeout(1000.0, BodyOutOfBoundsError",
            ),
        ),
    ),
    Removal(
        "deadline of the store's responses",
        "Responses of the store without end",
        (("platform/client.py", "timeout_seconds + MAX_RESPONSE_SECONDS", "1000.0"),),
    ),
    Removal(
        "deadline of an answer that is being received",
        "Answers of a peer without end",
        (
            (
                "egress/attempts.py",
                "return max(call.deadline, now) + MAX_LATE",
                "return now + 1e6 * MAX_LATE",
            ),
        ),
    ),
    Removal(
        "second announcement of documents by readers",
        "A document that only the readers of each zone see in the store",
        (("replication/broadcast.py", "    _repeat_later(broadcaster, documents)\n", ""),),
    ),
    Removal(
        "linearizable watches of readers",
        "A zone is evacuated, a version is rolled out and a route is changed",
        (("watching/waits.py", "now - plan.reader_since >= NEW_READER_SECONDS", "False"),),
    ),
    Removal(
        "random phases of splits",
        "Daemons that start together",
        (
            (
                "routing/splitting.py",
                "phases.append(splitter.random.random())",
                "phases.append(0.0)",
            ),
        ),
    ),
    Removal(
        "log of stalls",
        "A daemon that does not run its greenlets",
        (("telemetry/stalls.py", "if late_seconds >= MIN_STALL_SECONDS:", "if False:"),),
    ),
    Removal(
        "writer's mark",
        "Two operators edit the same section",
        (
            (
                "management/editing.py",
                "if item is not None and item.writer_mark == writer_mark:",
                "if False:",
            ),
        ),
    ),
    Removal(
        "hedges before the end of a stop",
        "A target is slow while the daemon of its callers stops",
        (
            (
                "egress/hedging.py",
                "if stop_hedge_at is not None and now >= stop_hedge_at:",
                "if False:",
            ),
        ),
    ),
    Removal(
        "refusal of requests that usually outlast a stop",
        "Which requests are taken",
        (("egress/stopping.py", "if now < plan.serves_until and can_end", "if True or can_end"),),
    ),
)
