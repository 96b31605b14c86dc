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

// What follows passes between the leader of a fleet's jobs, the other entries and the
// agents.

enum OrderResult {
  CONFIRMED = 1,
  // The run does not start, now or later.
  REFUSED = 2,
  // No answer; the order may be carried out later.
  UNKNOWN = 3,
  // The worker's life that was meant is over.
  GONE = 4,
  // A leader of a later epoch has given orders.
  FENCED = 5,
  // No byte of the order was sent to the worker; it is not carried out.
  NOT_SENT = 6,
}

// What a worker that refused a start would refuse as well.
enum RefusalScope {
  // Any start.
  WORKER = 1,
  // Starts of tasks that need as much room.
  ROOM = 2,
  // Starts of tasks of the step.
  PERMIT = 3,
  // Starts of tasks of the step, and so would other workers.
  ORDER = 4,
}

struct RunningRow {
  1: string task_id,
  2: i32 run,
  3: string checkpoint,
  4: i32 percent,
  5: i32 figure,
  // Part of its speed that the run was told to work at, in percent; none if all.
  6: optional i32 pace,
}

struct EndedRow {
  1: i64 number,
  2: string task_id,
  3: i32 run,
  4: string how,
  5: string checkpoint,
}

// How the tasks on a worker bear on each other.
struct TaskTraits {
  1: string task_id,
  2: i32 target_ms,
  3: bool filler,
  4: string image,
  // Processors that the task takes at full speed.
  5: i32 millicores,
}

// What a running core of a filler's image costs the serving tasks of an image.
struct PairCost {
  1: string serving_image,
  2: string filler_image,
  // Part of the undisturbed tail latency that each core adds.
  3: double per_core,
  4: double uncertainty,
}

struct WatchQuery {
  1: i64 epoch,
  // Version of the report that the leader has.
  2: i64 version,
  3: i32 wait_ms,
  // Life of the worker that the next two fields speak of.
  4: i64 born_ms,
  5: i64 seen,
  // Time on the agent's clock up to which leases may be granted.
  6: i64 grant_until_ms,
  7: list<TaskTraits> traits,
  8: list<PairCost> costs,
  // Whether operators ask that nothing more is started in the worker's data centre; none
  // from leaders that do not read this.
  9: optional bool evacuated,
  // Latest session between the agent and its worker that the leader has heard of; none
  // from leaders that do not read this.
  10: optional i64 session,
  // Whether the reply may leave ended runs to later ones; none from leaders that would
  // take these runs for lost.
  11: optional bool accepts_partial_ends,
}

struct WatchReply {
  1: i64 version,
  // The agent's clock as it replies.
  2: i64 clock_ms,
  // False before the worker has announced itself.
  3: bool known,
  4: string worker_id,
  5: i64 born_ms,
  6: string service_name,
  7: string data_centre,
  8: list<string> labels,
  9: i32 millicores,
  10: i32 memory_mb,
  11: i32 accelerators,
  12: bool reachable,
  13: bool draining,
  // The agent's clock before it asked for the two lists.
  14: i64 listed_ms,
  15: list<RunningRow> running,
  16: list<EndedRow> ended,
  // Whether traits of running tasks are missing.
  17: bool needs_traits,
  18: i64 epoch,
  // Where the worker is, as it announced: the rack.
  19: string rack,
  // Whether the worker said that it leaves, and is not there any more.
  20: bool left,
  // Whether the worker's process is not there any more, announced or not.
  21: bool gone,
  // For how long the worker stays slow after a start; none if it is not.
  22: optional i32 cold_ms,
  // Session between the agent and its worker.
  23: optional i64 session,
  // Longest time that a lease may last which the worker got from calls to an earlier
  // incarnation; none from agents that do not tell.
  24: optional i32 residual_lease_ms,
  // Whether runs have ended that are not in the list of ended runs; they follow once the
  // listed ones are acknowledged.
  25: optional bool has_more_ends,
}

struct StartOrder {
  1: i64 epoch,
  2: string worker_id,
  3: i64 born_ms,
  4: string task_id,
  5: i32 run,
  6: string program,
  7: string checkpoint,
  8: i64 grant_until_ms,
  9: i32 target_ms,
  10: bool filler,
  // Whether an earlier order for the run may have gone unanswered.
  11: bool repeat,
  12: string image,
  13: i32 millicores,
  // Permit of the queue's policy service; empty where none is needed.
  14: string permit,
  // Time on the agent's clock from which the order is not sent to the worker any more;
  // none if there is no such time.
  15: optional i64 send_until_ms,
  // As in WatchQuery.
  16: optional i64 session,
}

struct StopOrder {
  1: i64 epoch,
  2: string worker_id,
  3: i64 born_ms,
  4: string task_id,
  5: i32 run,
  // As in WatchQuery.
  6: optional i64 session,
}

struct OrderReply {
  1: OrderResult result,
  // The agent's clock as it replies.
  2: i64 clock_ms,
  3: string detail,
  // None if the order was not refused, and from agents that do not tell.
  4: optional RefusalScope refusal,
  // Whether the worker has answered to a start that it runs; none for stops, and from
  // agents that do not tell.
  5: optional bool has_begun,
}

struct LeaderNotice {
  1: i64 epoch,
  2: string address,
  // Whether the store confirmed the lead lately; if not, another may take over.
  3: bool confirmed,
  // Sample of the agents that the leader does not reach; empty if it reaches most.
  4: list<string> lost_agents,
  // Whether the leader tells the answers of a process from those of others at its
  // address.
  5: optional bool tells_processes_apart,
}

struct NoticeReply {
  1: i64 epoch,
  // Whether this process grants no leases under an epoch before that of the notice.
  2: bool has_ended_terms,
  // Leaders that have sent notices to this process, so that they need its answers, and
  // that tell its answers from those of other processes at its address.
  3: optional list<string> heard_addresses,
  // Tells this process from others at its address.
  4: optional i64 process_number,
}

enum WorkResult {
  DONE = 1,
  // Nothing was done, and nothing will be.
  REFUSED = 2,
  NOT_FOUND = 3,
  // The call may have been carried out.
  UNKNOWN = 4,
}

struct WorkRequest {
  1: string verb,
  2: string job_id,
  3: string queue,
  // The submitted job, encoded as in the journal.
  4: binary spec,
  5: i32 remaining_ms,
}

struct WorkReply {
  1: WorkResult result,
  2: string state,
  3: i32 pending,
  4: string reason,
  5: i32 retry_after_ms,
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
  WatchReply watch(1: WatchQuery query),
  OrderReply start_run(1: StartOrder order),
  OrderReply stop_run(1: StopOrder order),
  NoticeReply lead(1: LeaderNotice notice),
  WorkReply work(1: WorkRequest request),
}
