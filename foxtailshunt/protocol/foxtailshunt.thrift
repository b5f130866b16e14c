/* The peer protocol: messages between nodes, in the compact protocol over framed transport.
 * Times are durations in milliseconds, never wall-clock times, except for started_ms. */
namespace py foxtailshunt.protocol.gen

struct Header {
  1: required string name,
  2: required string value,
}

struct Endpoint {
  1: required string host,
  2: required i32 port,
}

/* A request, forwarded by the node that received it to the node that sends it to an upstream. */
struct RelayRequest {
  1: required string request_id,
  2: required string service_name,
  /* The request's key; absent for services that are not sharded. */
  3: optional i32 key,
  /* The owner of the key according to the calling node. */
  4: optional string upstream_id,
  5: required string method,
  6: required string target,
  7: required list<Header> headers,
  8: required binary body,
  /* Time until the deadline of the request. */
  9: required i64 remaining_ms,
  /* Time until the latency objective of the request; negative once it is missed. */
  10: required i64 aim_ms,
  11: required i32 rank,
  12: required string route,
  /* Upstreams that the request was already sent to. */
  13: required list<string> excluded,
  /* Group of upstreams that the replying node sends to; absent if there is only one. */
  14: optional string group,
  /* Boot id of the calling node; absent in messages of earlier builds. */
  15: optional string origin,
  /* Time until the caller's own deadline, which the route's timeout may precede; absent if the
   * caller states none, and in messages of earlier builds. */
  16: optional i64 caller_remaining_ms,
  /* Zones whose upstreams the request may be sent to; absent if all are allowed. */
  18: optional list<string> allowed_zones,
}

struct RelayReply {
  1: required i32 outcome,
  2: optional i32 status,
  3: optional list<Header> headers,
  4: optional binary body,
  5: optional string reason,
  6: optional i64 retry_after_ms,
  7: optional string upstream_id,
  /* True if the request arrived at an upstream, regardless of the result. */
  8: required bool arrived,
  /* How long the request waited for a slot at the replying node, and then for the upstream. */
  9: optional i64 queued_ms,
  10: optional i64 upstream_ms,
}

/* Tells that the calling node exits, whatever requests it has relayed. */
struct ExitNotice {
  /* Boot id of the calling node. */
  1: required string origin,
  2: required i64 exits_in_ms,
}

struct ExitNoticeReply {
}

struct KeyDemand {
  1: required string service_name,
  2: required i32 key,
  /* Upstream time that the requests for the key need, at the average speed of upstreams. */
  3: required double work_ms,
}

/* Latencies of the requests of one route that one upstream served. */
struct RouteLatency {
  1: required string route,
  2: required i32 count,
  /* Mean of the natural logarithms of the latencies in milliseconds. */
  3: required double mean_log_ms,
}

struct UpstreamPace {
  1: required string upstream_id,
  /* Time that served requests took here, and the time they take on average over all upstreams that
   * the calling node sends to. */
  2: required double taken_ms,
  3: required double expected_ms,
  /* Requests that the upstream served, and those that it failed in any way. */
  4: required i32 answered,
  5: required i32 failed,
  /* Failed requests that it refused, and those to which it did not respond; absent in messages of
   * earlier builds, like the latencies. */
  6: optional i32 refused,
  7: optional i32 unanswered,
  8: optional list<RouteLatency> latencies,
}

struct NodeMember {
  1: required string instance_id,
  2: required string boot_id,
  3: required string zone,
  4: required Endpoint endpoint,
  5: required bool leaving,
  /* Where the node serves metrics and dumps. */
  6: optional Endpoint operator_endpoint,
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
  /* Zones whose nodes should not send to it, since it fails their requests; absent if there are
   * none, and in messages of earlier builds. */
  9: optional list<string> avoided_zones,
  /* Work that it does for each of its slots, relative to the average of its service, as the leader
   * estimates it; absent if it is 1, and in messages of earlier builds. The next leader begins with
   * it. Numbers 10 to 14 are left to other fields. */
  15: optional double capacity_ratio,
}

struct OwnedRange {
  1: required string service_name,
  2: required i32 first,
  3: required i32 last,
  4: required string owner,
  5: required i64 fence,
  /* The previous owner, until it has released the keys. */
  6: optional string giver,
  /* True while no upstream may be sent requests for the keys. */
  7: required bool moving,
}

/* The newest ownership table that a node holds in memory, after the store has returned from an older
 * copy of its data. */
struct TableCopy {
  /* Era of the store, term and highest fencing token of the table. */
  1: required i64 era,
  2: required i64 term,
  3: required i64 token,
  /* The era before which no leader published a later table; absent if that is not known. */
  4: optional i64 final_before,
  /* The table; absent where only its place in the order of tables is stated. */
  5: optional list<OwnedRange> ranges,
}

struct KnownVersions {
  1: required i64 configuration,
  2: required i64 term,
  3: required i64 upstreams,
  4: required i64 ownership,
  5: required i64 members,
  /* Revision of the store at which the evacuations were read; unknown to earlier builds. */
  11: optional i64 evacuations,
  /* Era of the store in which the configuration was written; unknown to earlier builds. Numbers 12
   * to 19 are left to other fields. */
  20: optional i64 configuration_era,
}

struct FollowRequest {
  1: required NodeMember member,
  2: required KnownVersions known,
  3: required i64 wait_ms,
  4: required list<KeyDemand> demands,
  5: required list<UpstreamPace> paces,
  /* True if the calling node applies upstream_changes; nodes of earlier builds ignore them. */
  6: optional bool accepts_upstream_changes,
  /* The copy that the calling node holds, without the ranges; present only if it is of an earlier
   * era of the store. Numbers 7 to 19 are left to other fields. */
  20: optional TableCopy table_copy,
}

/* Parts that the calling node already knows are absent. */
struct FollowReply {
  1: required KnownVersions versions,
  /* False if the replying node is not the leader. */
  2: required bool leads,
  3: optional binary configuration,
  4: optional list<UpstreamRecord> upstreams,
  5: optional list<OwnedRange> ownership,
  6: optional list<NodeMember> members,
  /* Age of the list of upstreams. */
  7: required i64 upstreams_age_ms,
  /* Sent instead of ownership: changed ranges, which replace the ranges that they overlap. */
  8: optional list<OwnedRange> ownership_changes,
  /* Sent instead of upstreams: those that are new or differ, and the ids of those that are gone. */
  9: optional list<UpstreamRecord> upstream_changes,
  10: optional list<string> upstreams_removed,
  /* All zones that are being evacuated, as of versions.evacuations. */
  11: optional list<string> evacuated_zones,
  /* The copy that the replying node holds, with the ranges; present only if the caller states an
   * older one and the replying node is not the leader. Numbers 12 to 19 are left to other fields. */
  20: optional TableCopy table_copy,
}

service Peer {
  RelayReply relay(1: RelayRequest req),
  FollowReply follow(1: FollowRequest req),
  /* Unknown to nodes of earlier builds. */
  ExitNoticeReply announce_exit(1: ExitNotice req),
}
