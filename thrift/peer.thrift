// Messages between the processes of the system, over framed TCompact on TCP.
// The generated code is committed: make thrift.

enum Result {
  COMPLETED = 1,
  FAILED = 2,
  REFUSED = 3,
  UNKNOWN = 4,
  PENDING = 5,
}

struct Header {
  1: string name,
  2: string value,
}

// What an instance says of itself with every answer.
struct Load {
  1: i32 running,
  2: i32 queued,
  3: i32 slots,
  4: bool draining,
  5: i64 incarnation,
  6: i64 configuration_version,
}

struct RunRequest {
  1: string request_id,
  2: i64 incarnation,
  3: string service_name,
  4: string kind,
  5: string method,
  6: string path,
  7: list<Header> headers,
  8: binary body,
  9: i32 remaining_ms,
  10: bool idempotent,
  11: string traceparent,
  12: i32 urgency,
}

struct Answer {
  1: Result result,
  2: i32 status,
  3: list<Header> headers,
  4: binary body,
  5: string reason,
  6: string detail,
  7: i32 retry_after_ms,
  8: Load load,
}

// Asks for the answer of a request without running it. With fence set, a request that
// the instance has not seen is refused from then on.
struct AnswerQuery {
  1: string request_id,
  2: i64 incarnation,
  3: bool fence,
  4: i32 wait_ms,
}

struct Member {
  1: string instance_id,
  2: i64 incarnation,
  3: string role,
  4: string peer_address,
  5: string data_centre,
  6: string region,
  7: string rack,
  8: list<string> services,
  9: i32 slots,
  10: bool draining,
  11: string cell,
}

struct Heartbeat {
  1: Member sender,
  2: i64 configuration_version,
  // Members whose draining or start the sender learned lately.
  3: list<Member> news,
}

struct HeartbeatReply {
  1: Load load,
  2: i64 configuration_version,
  3: list<Member> news,
}

struct ConfigurationQuery {
  1: i64 above_version,
}

struct ConfigurationReply {
  1: i64 version,
  2: string text,
}

struct StateQuery {
  1: string stream,
}

struct StateReply {
  1: i64 as_of,
  2: binary state,
}

struct JobQuery {
  1: string job_id,
}

struct TaskStatus {
  1: string task_id,
  2: string state,
  3: string owner_id,
  4: i64 epoch,
  5: string explanation,
}

struct JobReply {
  1: bool found,
  2: string job_id,
  3: string team,
  4: list<TaskStatus> tasks,
}

struct StatusQuery {
  1: string subject,
}

// Rows for operators, each a JSON document.
struct StatusReply {
  1: list<string> rows,
}

struct DrainRequest {
  1: string instance_id,
}

service Peer {
  Answer run(1: RunRequest request),
  Answer answer(1: AnswerQuery query),
  HeartbeatReply heartbeat(1: Heartbeat heartbeat),
  ConfigurationReply configuration(1: ConfigurationQuery query),
  StateReply state(1: StateQuery query),
  JobReply job(1: JobQuery query),
  StatusReply status(1: StatusQuery query),
  Load drain(1: DrainRequest request),
}
