namespace py comfreyhitch.wire.generated

/** Whether a request may have reached its target. */
enum WireVerdict {
  NOT_RUN = 0,
  MAY_HAVE_RUN = 1,
  RAN = 2,
}

/** Outcome of a fence query for one request. */
enum FenceState {
  NEVER_RAN = 0,
  RUNNING = 1,
  FINISHED = 2,
  UNKNOWN = 3,
}

struct Header {
  1: required string name,
  2: required string value,
}

/** Load of a target as seen by its own daemon. */
struct LoadReport {
  1: required i32 in_flight,
  2: required i32 queued,
  3: required i32 limit,
  4: required double latency_seconds,
  5: required bool accepting,
  /** How many times as long as usual work takes on the instance at the moment. */
  6: optional double slowness,
  /** Expected wait of a request of the least urgent rank that arrives now. */
  7: optional double wait_seconds,
}

struct CallRequest {
  1: required string request_id,
  2: required string service_name,
  3: required string method,
  4: required string path,
  5: required list<Header> headers,
  6: required binary body,
  7: required double timeout_seconds,
  8: required string tenant,
  9: required i32 priority,
  10: required bool idempotent,
  11: optional string idempotency_key,
  12: required string fingerprint,
  13: required string route,
  14: required i32 attempt,
  /** How long to wait for a slow instance before refusing; without it, run at any pace. */
  15: optional double patience_seconds,
  /** Rank among all requests; 0 is the most urgent. */
  16: optional i32 rank,
  /** Time left until the latency objective ends; negative after that. */
  17: optional double objective_seconds,
  /** Whether a target makes this request while it runs another one. */
  18: optional bool is_nested,
  /** Whether the caller sends the request again at the time that an earlier refusal named. */
  19: optional bool has_returned,
  /** Length of a body that follows the message; without it, the body is part of it. */
  20: optional i64 body_bytes,
  /** Whether the body of the answer may follow it. */
  21: optional bool takes_following_body,
}

struct CallAnswer {
  1: required string request_id,
  2: required WireVerdict verdict,
  3: required i32 status,
  4: required string reason,
  5: required list<Header> headers,
  6: required binary body,
  7: required LoadReport load,
  8: optional string refusal,
  9: required string version,
  /** Length of a body that follows the message; without it, the body is part of it. */
  10: optional i64 body_bytes,
}

struct Greeting {
  1: required string boot_id,
  2: required LoadReport load,
  /** Whether the body of a call may follow it. */
  3: optional bool takes_following_bodies,
}

struct FenceQuery {
  1: required string request_id,
  2: required string boot_id,
  3: required double age_seconds,
  /** Whether a request that still waits for a place is taken out of the queue. */
  4: required bool withdraw,
}

struct FenceAnswer {
  1: required FenceState state,
  2: optional CallAnswer answer,
}

enum ClaimState {
  GRANTED = 0,
  HELD = 1,
  FINISHED = 2,
  REFUSED = 3,
}

/** Request of the daemon `owner` to be the only one that runs a key. */
struct ClaimRequest {
  1: required string scope,
  2: required string claim_id,
  3: required string owner,
  4: required string owner_boot_id,
  5: required string fingerprint,
  /** Claim that its owner has proved never to have run. */
  6: optional string replaces,
  7: required string service_name,
  /** Counts the rounds of one request, so that a late release ends only its own. */
  8: required i32 round,
}

struct ClaimAnswer {
  1: required ClaimState state,
  2: optional string claim_id,
  3: optional string owner,
  4: optional string owner_boot_id,
  5: optional string fingerprint,
  6: optional CallAnswer answer,
  7: required double age_seconds,
}

struct ClaimOutcome {
  1: required string scope,
  2: required string claim_id,
  3: required string fingerprint,
  4: required string owner,
  5: required string owner_boot_id,
  6: optional CallAnswer answer,
  7: required double age_seconds,
  8: required string service_name,
}

/** A replicated entry; the highest version of each kind and key wins. */
struct Fact {
  1: required string kind,
  2: required string key,
  3: required i64 version,
  4: required binary value,
  5: optional double lifetime_seconds,
}

struct BucketDigest {
  1: required i32 bucket,
  2: required i64 checksum,
}

struct FactHead {
  1: required string kind,
  2: required string key,
  3: required i64 version,
}

struct SyncAnswer {
  1: required list<i32> differing_buckets,
}

struct ExchangeAnswer {
  1: required list<Fact> newer,
  2: required list<FactHead> wanted,
}

enum DatagramKind {
  PING = 0,
  ACK = 1,
  PING_REQUEST = 2,
}

/** Failure detector message with piggybacked facts. */
struct Datagram {
  1: required DatagramKind kind,
  2: required i64 sequence,
  3: required string sender,
  4: optional string subject,
  5: required list<Fact> facts,
  6: required list<FactHead> heads,
}

/** Requests of one account in one window; both numbers only grow. */
struct AccountUsage {
  1: required string account,
  2: required i64 started,
  /** Started requests that the target has proved not to have run. */
  3: required i64 withdrawn,
}

struct WindowUsage {
  1: required i64 window,
  2: required list<AccountUsage> accounts,
}

/** Counts of one process of one daemon; accounts may be left out that the receiver knows. */
struct SourceUsage {
  1: required string address,
  2: required string boot_id,
  /** The last window in which no further request of this process begins. */
  3: required i64 closed_through,
  4: required list<WindowUsage> windows,
}

struct UsageDigest {
  1: required string address,
  2: required string boot_id,
  3: required i64 checksum,
}

struct StoredReport {
  1: required i64 window,
  2: required string body,
}

/** What the store holds about the duty of reporting usage. */
struct DutyRecord {
  1: required string holder,
  2: required string writer,
  3: required i64 write_number,
  4: required i64 token,
  5: required i64 window,
  6: required i64 era,
  7: required list<StoredReport> reports,
}

struct UsageAnswer {
  /** The first window since whose begin the daemon receives counts. */
  1: required i64 complete_since,
  2: required list<SourceUsage> sources,
  /** The latest record that the daemon has seen. */
  3: optional DutyRecord record,
}

service Peer {
  Greeting greet(1: string caller),
  CallAnswer call(1: CallRequest request),
  FenceAnswer fence(1: FenceQuery query),
  ClaimAnswer claim(1: ClaimRequest request),
  void settle_claims(1: list<ClaimOutcome> outcomes),
  void release_claim(1: ClaimRequest request),
  list<ClaimOutcome> list_claims(1: string registrar, 2: i32 offset),
  SyncAnswer compare(1: list<BucketDigest> digests),
  ExchangeAnswer exchange(1: list<i32> buckets, 2: list<FactHead> heads),
  list<Fact> fetch(1: list<FactHead> heads),
  void push(1: list<Fact> facts),
  /** Return the boot id of the daemon that has merged the counts. */
  string push_usage(1: SourceUsage source),
  /** Return the counts of a window that differ from the known ones. */
  UsageAnswer get_usage(1: i64 window, 2: list<UsageDigest> known),
}

/** Announced state of one target and its daemon. */
struct MemberRecord {
  1: required string address,
  2: required string http_address,
  3: required string boot_id,
  4: required i64 incarnation,
  5: required i32 status,
  6: required string zone,
  7: required string region,
  8: required string service_name,
  9: required string version,
  10: required i32 slots,
  11: required bool draining,
  12: required double started_at,
}

struct SectionRecord {
  1: required string name,
  2: required i64 generation,
  3: required binary content,
}

struct VetoRecord {
  1: required string rollout_id,
  2: required string reason,
  3: required double vetoed_at,
}

struct CompletionRecord {
  1: required string rollout_id,
  2: required double completed_at,
}

/** Evidence of one daemon about its version on one route. */
struct RouteEvidence {
  1: required string route,
  2: required i32 requests,
  3: required i32 failures,
  4: required list<i32> latency_counts,
}

struct EvidenceRecord {
  1: required string rollout_id,
  2: required string version,
  3: required string address,
  4: required i64 window,
  5: required list<RouteEvidence> routes,
}

/** A request whose target died while running it. */
struct CrashRecord {
  1: required string fingerprint,
  2: required string target,
  3: required double reported_at,
}
