/* The inner protocol: messages between entries, dispatchers and assigners.
 * Compact protocol over framed transport. Times are milliseconds of remaining time, never wall time. */
namespace py foxtailshunt.protocol.gen

/* A strictly rising pair: the assigner's term, then the table version inside it. */
struct Fence {
  1: required i64 term,
  2: required i64 version,
}

struct Header {
  1: required string name,
  2: required string value,
}

/* One running process of the system. boot_id changes at each start of the process. */
struct Member {
  1: required string instance_id,
  2: required string role,
  3: required string zone,
  4: required string host,
  5: required i32 port,
  6: required string boot_id,
  7: required bool stopping,
  8: required i64 cfg_version,
  9: required string operator_address,
}

/* What a dispatcher knows of one upstream that it dispatches for. */
struct UpstreamReport {
  1: required string upstream_id,
  /* The highest fence that the upstream confirmed with everything outside the grant released. */
  2: optional Fence confirmed_fence,
  /* True once no grant of this dispatcher under a lower fence can still be in force. */
  3: required bool lapsed,
  4: required Fence fence,
  5: required bool reachable,
  6: required bool draining,
  7: required double load,
  8: required map<string, double> key_load,
  9: required i32 in_flight,
  10: required i32 queued,
}

struct ZoneVersion {
  1: required string zone,
  2: required Fence fence,
}

/* Heartbeat and long poll in one: the answer comes at once if the callee knows anything newer. */
struct SyncRequest {
  1: required Member sender,
  2: required i64 cfg_version,
  3: required list<ZoneVersion> tables,
  4: required i64 members_version,
  5: required i32 wait_ms,
  6: required list<UpstreamReport> reports,
  /* Documents that the callee asked for in its last reply. */
  7: optional string cfg_document,
  8: optional list<string> table_documents,
}

struct SyncReply {
  1: required string boot_id,
  2: required bool active,
  3: required i64 cfg_version,
  /* JSON documents as they stand in the platform's store; absent where nothing is newer. */
  4: optional string cfg_document,
  5: required list<string> table_documents,
  6: required i64 members_version,
  7: optional list<Member> members,
  8: required i64 store_age_ms,
  /* The callee's availability zone. */
  9: optional string zone,
  /* What the caller knows in a newer version and shall send with its next request. */
  10: optional bool wants_cfg,
  11: optional list<string> wanted_tables,
}

struct AssentItem {
  1: required string upstream_id,
  2: required Fence fence,
}

struct AssentRequest {
  1: required string zone,
  2: required string dispatcher_id,
  3: required string dispatcher_boot_id,
  /* The incarnation of the witness that the dispatcher's table names. */
  4: required string witness_boot_id,
  5: required Fence table_fence,
  6: required list<AssentItem> items,
  /* Rises with each request of this dispatcher; a release never undoes an assent asked for later. */
  7: optional i64 sequence,
  /* Upstreams that this dispatcher has stopped sending to for good under its earlier assents. */
  8: optional list<string> released,
}

struct AssentReply {
  1: required i32 code,
  2: required list<string> granted,
  3: required Fence table_fence,
  /* Boot id of the holder before this dispatcher's time as the holder, by upstream granted. */
  4: optional map<string, string> previous_holders,
}

struct RefuseRequest {
  1: required string zone,
  2: required string witness_boot_id,
  3: required Fence table_fence,
  /* The lowest fence that the witness may assent to from now on, by upstream. */
  4: required list<AssentItem> floors,
}

struct RefuseReply {
  1: required i32 code,
  2: required string witness_boot_id,
}

struct ExecuteRequest {
  1: required string request_id,
  2: required string service_name,
  3: required string operation,
  4: required string rank,
  5: required string key,
  6: required i32 slot,
  7: required string upstream_id,
  8: required Fence fence,
  9: required i32 attempt,
  10: required i32 remaining_ms,
  11: required string method,
  12: required string target,
  13: required list<Header> headers,
  14: required binary body,
  /* True if the entry drew the request id itself, so that no earlier request can carry it. */
  15: optional bool drawn_by_entry = false,
}

struct ExecuteReply {
  1: required string request_id,
  2: required i32 code,
  3: required i32 status,
  4: required list<Header> headers,
  5: required binary body,
  6: required string upstream_id,
  7: required string detail,
}

struct CancelRequest {
  1: required string request_id,
  2: required string upstream_id,
}

struct CancelReply {
  1: required string request_id,
  2: required i32 code,
}

/* What is remembered of one request that must not repeat. */
struct RememberedRequest {
  1: required string request_id,
  2: required string fingerprint,
  3: required i32 slot,
  4: required i32 code,
  5: required i32 status,
  6: required list<Header> headers,
  7: required binary body,
  8: required string detail,
  /* Time until it may be forgotten. */
  9: required i64 remaining_ms,
}

/* Asks for the request memory of an upstream that was given up, or of slots taken from it. */
struct MemoryRequest {
  /* The incarnation asked. */
  1: required string holder_boot_id,
  2: required string upstream_id,
  /* The witness sets under which the asking dispatcher is the sender now. */
  3: required list<list<string>> witness_sets,
  /* Only of these slots, which the row of this fence or a higher one no longer lists. */
  4: optional Fence transit_fence,
  5: optional list<i32> slots,
}

/* For how long every request of slots was seen that an upstream has lost since. */
struct DepartedSlots {
  /* The fence of the first row without them. */
  1: required Fence fence,
  2: required map<i32, i64> slot_ages_ms,
}

struct MemoryReply {
  1: required i32 code,
  /* The fence of the upstream's row when it was given up. */
  2: optional Fence row_fence,
  /* For how long every request of a slot was seen, by slot. */
  3: required map<i32, i64> slot_ages_ms,
  /* The same for keys that differ from their slots. */
  4: required map<string, i64> key_ages_ms,
  5: required list<RememberedRequest> requests,
  6: optional list<DepartedSlots> departed,
  /* True if the memory also fits a higher row that was in force when it was asked for. */
  7: optional bool fits_next_row,
}

service Dispatcher {
  ExecuteReply execute(1: ExecuteRequest req),
  CancelReply cancel(1: CancelRequest req),
  AssentReply assent(1: AssentRequest req),
  RefuseReply refuse(1: RefuseRequest req),
  MemoryReply export_memory(1: MemoryRequest req),
}

service Assigner {
  SyncReply sync(1: SyncRequest req),
}

/* --- Between nodes that run on a platform with its own discovery --- */

struct Endpoint {
  1: required string host,
  2: required i32 port,
}

/* One request on its way from the node that took it to the node that sends it to an upstream. */
struct RelayRequest {
  1: required string request_id,
  2: required string service_name,
  /* The request's key; absent for services that are not divided by key. */
  3: optional i32 key,
  /* The owner of the key as the calling node knows it. */
  4: optional string upstream_id,
  5: required string method,
  6: required string target,
  7: required list<Header> headers,
  8: required binary body,
  /* Time until nobody waits any more. */
  9: required i64 remaining_ms,
  /* Time until the answer loses worth; negative once it has. */
  10: required i64 aim_ms,
  11: required i32 rank,
  12: required string route,
  /* Upstreams that have had this request. */
  13: required list<string> excluded,
}

struct RelayReply {
  1: required i32 outcome,
  2: optional i32 status,
  3: optional list<Header> headers,
  4: optional binary body,
  5: optional string reason,
  6: optional i64 retry_after_ms,
  7: optional string upstream_id,
  /* True if the request arrived at an upstream, whatever became of it. */
  8: required bool arrived,
}

struct KeyDemand {
  1: required string service_name,
  2: required i32 key,
  /* Upstream time that the requests for the key ask for, at common speed. */
  3: required double work_ms,
}

struct UpstreamPace {
  1: required string upstream_id,
  /* Time that requests took, and that they take on the average of all upstreams. */
  2: required double taken_ms,
  3: required double expected_ms,
  4: required i32 answered,
  5: required i32 failed,
}

struct NodeMember {
  1: required string instance_id,
  2: required string boot_id,
  3: required string zone,
  4: required Endpoint endpoint,
  5: required bool leaving,
}

struct UpstreamRecord {
  1: required string upstream_id,
  2: required string service_name,
  3: required Endpoint endpoint,
  4: required string zone,
  5: required i32 slots,
  6: required bool leaving,
  7: required i64 warmup_ms,
  8: required i64 started_ms,
}

struct OwnedRange {
  1: required string service_name,
  2: required i32 first,
  3: required i32 last,
  4: required string owner,
  5: required i64 fence,
  /* The owner before, until it has given the keys up. */
  6: optional string giver,
  /* True while no upstream may be sent requests for the keys. */
  7: required bool moving,
}

struct KnownVersions {
  1: required i64 configuration,
  2: required i64 term,
  3: required i64 upstreams,
  4: required i64 ownership,
  5: required i64 members,
}

struct FollowRequest {
  1: required NodeMember member,
  2: required KnownVersions known,
  3: required i64 wait_ms,
  4: required list<KeyDemand> demands,
  5: required list<UpstreamPace> paces,
}

/* Parts that the asking node knows already are absent. */
struct FollowReply {
  1: required KnownVersions versions,
  /* False if the answering node does not lead. */
  2: required bool leads,
  3: optional binary configuration,
  4: optional list<UpstreamRecord> upstreams,
  5: optional list<OwnedRange> ownership,
  6: optional list<NodeMember> members,
  /* Time since the list of upstreams was read. */
  7: required i64 upstreams_age_ms,
  /* Instead of the whole ownership: the ranges that replace those they overlap. */
  8: optional list<OwnedRange> ownership_changes,
}

service Peer {
  RelayReply relay(1: RelayRequest req),
  FollowReply follow(1: FollowRequest req),
}
