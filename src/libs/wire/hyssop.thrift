namespace cpp Hyssop.Wire

/* Resource amounts: millicores, bytes, accelerators, task slots. */
struct Resources {
  1: i64 milliCores = 0,
  2: i64 memoryBytes = 0,
  3: i32 accelerators = 0,
  4: i32 slots = 1,
}

enum TaskKind {
  Batch = 1,
  Service = 2,
}

/* ---- Records of the `config` stream ---- */

/* A change requested by an operator. Accepted if and only if baseRevision is the key's revision at the record's offset. */
struct ConfigChange {
  1: string changeId,
  2: string key,              // "contract/<customer>" or "domain/<failure domain>"
  3: i64 baseRevision = 0,    // 0: the key does not exist yet
  4: string body,             // contract text, or "in" / "out"
  5: string operatorName,
  6: i64 submittedAtMs = 0,   // wall clock of the operator, only for the audit trail
  7: bool removed = false,    // removes the key; the revision still increases
}

/* Current state of one key, written again before retention removes the records from which it derives. */
struct ConfigSnapshot {
  1: string key,
  2: i64 revision = 0,
  3: string body,
  4: string changeId,
  5: string operatorName,
  6: i64 acceptedAtMs = 0,
  7: i64 readUpTo = -1,       // last offset that the writer had applied
  8: bool removed = false,
}

/* ---- Records of the `jobs.<failure domain>` streams ---- */

/* Claims ownership; the offset of the record is the term. Shares its batch with no other record. */
struct OwnershipClaim {
  1: string instance,
  2: i64 incarnation = 0,
}

struct JobSpec {
  1: string jobId,
  2: string customer,
  3: string team,
  4: string taskName,         // task kind for the interference model, for example "badge-print"
  5: TaskKind kind = TaskKind.Batch,
  6: Resources declared,
  7: i64 declaredRunTimeMs = 0,
  8: bool urgent = false,
  9: i32 maximumFailures = 3, // failures on distinct workers after which the job ends
  10: string serviceName,         // service name, for service tasks
  11: string command,         // opaque to the scheduler
  12: bool acceptsCheckpoint = true,
  13: bool stopsWithoutLease = true, // false only for services that may run twice for a limited time
}

struct JobSubmitted {
  1: JobSpec spec,
  2: string checkpoint,       // checkpoint of a transferred job, otherwise empty
  3: string transferId,       // set when the job comes from another failure domain
  4: i64 submittedAtMs = 0,
  5: i32 attempts = 0,        // attempts already used in other failure domains
  6: bool cancelRequested = false, // cancelled before the other failure domain confirmed the transfer
}

struct JobCancelled {
  1: string jobId,
  2: string operatorName,
}

/* Durable before the start command is sent. Ignored unless the job's previous attempt has ended. */
struct AttemptIntent {
  1: i64 term = 0,
  2: string jobId,
  3: i32 attempt = 0,         // 1, 2, 3, ...
  4: string worker,
  5: string checkpoint,
}

enum AttemptOutcome {
  Finished = 1,
  Failed = 2,       // the task ran and failed
  Evicted = 3,      // stopped by the scheduler, resumes from the checkpoint
  Lost = 4,         // the worker's lease expired
  NotStarted = 5,   // the task certainly did not run
  Cancelled = 6,
}

struct AttemptEnded {
  1: i64 term = 0,
  2: string jobId,
  3: i32 attempt = 0,
  4: AttemptOutcome outcome = AttemptOutcome.Finished,
  5: string checkpoint,
  6: string reason,
}

/* Ends a job without another attempt, for example because it can never run. */
struct JobEnded {
  1: i64 term = 0,
  2: string jobId,
  3: AttemptOutcome outcome = AttemptOutcome.Failed,
  4: string reason,
}

/* Transfers the job to another failure domain. */
struct JobTransferred {
  1: i64 term = 0,
  2: string jobId,
  3: string toDomain,
  4: string transferId,
}

/* The target domain's stream contains the job; the transfer is not sent again. */
struct TransferConfirmed {
  1: i64 term = 0,
  2: string transferId,
  3: bool cancelRequested = false, // the confirmed submission carried the job's cancellation
}

/* Current state of one job, written again before retention removes its records. */
struct JobSnapshot {
  1: i64 term = 0,
  2: JobSpec spec,
  3: string state,            // name of the state in the job ledger
  4: i32 attempt = 0,
  5: string worker,
  6: string checkpoint,
  7: list<string> failedWorkers,
  8: bool cancelRequested = false,
  9: i64 readUpTo = -1,
  10: i64 submittedAtMs = 0,
  11: string transferId,
  12: string toDomain,
  13: string reason,
  14: list<string> acceptedTransfers, // accepted transfers of the job into this domain
  15: i64 changedAtMs = 0,    // log time of the last record about the job
}

/* ---- Records of the `requests.<failure domain>` streams ---- */

struct RequestIntent {
  1: string customer,
  2: string serviceName,
  3: string key,
  4: string requestId,
  5: i64 bodyHash = 0,
}

struct RequestOutcome {
  1: string customer,
  2: string serviceName,
  3: string key,
  4: string requestId,
  5: bool known = false,      // false: bytes were sent, but no response was received
  6: i32 status = 0,
  7: string contentType,
  8: binary body,             // at most 64 KiB; larger responses are recorded without a body
  9: bool truncated = false,
  10: bool notRun = false,    // the request was certainly not sent to a target; the key may be reused
}

/* ---- Records of the keyed job topic (docs/platform.md) ---- */

/* Tasks of one step, which differ only in their index. */
struct TaskStep {
  1: i32 taskCount = 1,
  2: i64 milliCores = 0,
  3: i64 memoryMb = 0,
  4: i32 accelerators = 0,
  5: i64 estimateMs = 0,
  6: list<i32> after,            // steps that must end before this one starts
  7: bool checkpointable = false,
  8: bool gang = false,          // the tasks start together or not at all
  9: bool sameRack = false,
  10: string label,              // worker label that the step needs; empty: none
  11: string dataRack,           // rack with the step's data; empty: none
  12: i32 perWorker = 0,         // maximum number of tasks of the step on one worker; 0: no limit
  13: bool speculative = false,  // copies of a task may run in parallel
  14: bool longRunning = false,  // the tasks serve until the job is cancelled
  15: string image,
  16: i64 tailTargetMs = 0,      // target for the tail of the response time of a serving task; 0: none
  17: bool fillsIdle = false,    // runs on processor time that other tasks leave idle
  18: i32 mayMiss = 0,           // number of tasks that the scheduler may take down at the same time
}

struct StepJob {
  1: string queue,
  2: string payload,
  3: list<TaskStep> steps,
  4: i64 acceptedAtMs = 0,       // wall clock of the accepting instance
  5: i32 repeatCount = 0,        // 0: runs once, immediately
  6: i64 startAtMs = 0,
  7: i64 intervalMs = 0,
}

enum JobPhase { Pending = 1, Running = 2, Completed = 3, Failed = 4, Cancelled = 5 }

/* State of a task that has been started or has failed but is not done. Other tasks have no entry. */
struct TaskMark {
  1: i32 index = 0,
  2: i32 run = 0,                // number of the latest run
  3: i32 failures = 0,
  4: string worker,              // worker of the current run; empty: none
  5: string checkpoint,
}

struct StepMarks {
  1: i32 occurrence = 0,
  2: i32 step = 0,
  3: binary doneMask,            // bit i: task i is done
  4: list<TaskMark> marks,
}

/* Complete progress of one job, written by the owner. */
struct JobProgress {
  1: JobPhase phase = JobPhase.Pending,
  2: list<StepMarks> steps,
  3: i64 endedAtMs = 0,          // wall clock of the owner; 0: not ended
  4: i32 finishedOccurrences = 0, // occurrences below this number are done
}

/* Utilization that a colocated image adds to a serving image, per unit of load. */
struct NeighbourEffect {
  1: string image,
  2: double coefficient = 0,
  3: double variance = 0,        // uncertainty of the coefficient
}

struct ServingTail {
  1: string image,
  2: double baseMs = 0,          // lowest tail latency observed
  3: double ownUtilization = 0,
  4: list<NeighbourEffect> neighbours,
}

/* Tail latency models that the owner has learned, stored for later owners. */
struct LearnedTails {
  1: list<ServingTail> tails,
}

/* Claims the job topic. The store accepts a single first append per epoch of the producer, so only one claim of a term
   succeeds. The claim does not require that the topic still ends where the claimant stopped reading. */
struct TopicClaim {
  1: string instance,
  2: i64 incarnation = 0,
  3: i64 term = 0,               // fencing token of all commands of the owner
  4: bool released = false,      // the owner stops deliberately; others may claim immediately
  5: i64 sequence = 0,           // renewal counter
  6: bool settled = false,       // all leases of previous owners have expired
  7: double processorShare = 0,  // cores that the owner may use; 0: unknown
  8: bool overloaded = false,    // the owner's processor does not carry its work: an instance with a larger share may offer to take over
  9: string successor,           // released to this instance, which claims immediately; empty: to any
}

/* An instance with a larger processor share than an overloaded owner offers to take the job topic over. */
struct TakeoverOffer {
  1: string instance,
  2: i64 term = 0,               // of the overloaded owner
  3: double processorShare = 0,
}

/* Processor capacity of a worker pool that further serving tasks may reserve; negative: they have reserved more than that. */
struct PoolServingRoom {
  1: string workerPool,
  2: i64 milliCores = 0,
}

/* Room for serving tasks, published by the owner for the instances that accept jobs. */
struct ServingRoom {
  1: i64 term = 0,               // of the owner
  2: i64 readUpTo = 0,           // jobs that were submitted from this offset on are not taken into account
  3: list<PoolServingRoom> pools,
}

/* A worker with runs of previous owners that has not reported to the owner, so the owner has granted it no lease. */
struct SilentWorker {
  1: string worker,
  2: i64 leaseMs = 0,            // time until all leases that previous owners have granted to it have ended
}

/* What the owner tells the next one, which then need not wait for leases of this owner. Replaces earlier records of the term. */
struct SilentWorkers {
  1: i64 term = 0,               // of the owner
  2: list<SilentWorker> workers,
}

union Record {
  1: ConfigChange configChange,
  2: ConfigSnapshot configSnapshot,
  3: OwnershipClaim ownershipClaim,
  4: JobSubmitted jobSubmitted,
  5: JobCancelled jobCancelled,
  6: AttemptIntent attemptIntent,
  7: AttemptEnded attemptEnded,
  8: JobEnded jobEnded,
  9: JobTransferred jobTransferred,
  10: TransferConfirmed transferConfirmed,
  11: JobSnapshot jobSnapshot,
  12: RequestIntent requestIntent,
  13: RequestOutcome requestOutcome,
}

/* Content of one record of the platform log. */
struct RecordBatch {
  1: i32 formatVersion = 1,
  2: string batchId,
  3: string writer,
  4: list<Record> records,
}

/* ---- Messages between the processes of the system ---- */

struct Heartbeat {
  1: string instance,
  2: i64 incarnation = 0,
  3: string domain,
  4: string role,             // "scheduler" or "gateway"
  5: i64 configHead = -1,     // highest applied offset of the config stream
  6: i64 configAgeMs = -1,    // time since the head was confirmed; -1: unknown
  7: i64 configDigest = 0,    // hash over all (key, revision) pairs
  8: i64 term = -1,           // highest term in the domain's job stream
  9: bool owner = false,
  10: string address,         // RPC address, host:port
}

struct Target {
  1: string customer,
  2: string serviceName,
  3: string worker,
  4: string address,          // host:port
  5: string incarnation,      // job id and attempt; changes with every start
  6: bool leaving = false,
}

struct TargetsRequest { 1: i64 knownVersion = -1 }
struct TargetsReply {
  1: i64 version = 0,
  2: bool changed = false,
  3: list<Target> targets,
  4: string source,           // instance that published the list
}

struct ConfigEntry {
  1: string key,
  2: i64 revision = 0,
  3: string body,
  4: string changeId,
  5: string operatorName,
  6: i64 acceptedAtMs = 0,
  7: bool removed = false,
}
struct ConfigStateRequest { 1: string key }   // empty: all keys
struct ConfigStateReply {
  1: list<ConfigEntry> entries,
  2: i64 head = -1,
  3: bool ready = false,
  4: i64 ageMs = -1,
}

struct ConfigApplyRequest { 1: ConfigChange change }
enum ChangeVerdict {
  Accepted = 1,
  Conflict = 2,     // another change with the same base revision was accepted
  Refused = 3,      // invalid; nothing was written to the log
  Unavailable = 4,  // certainly not written
  Unknown = 5,      // may have been written; retry with the same change id
}
struct ConfigApplyReply {
  1: ChangeVerdict verdict = ChangeVerdict.Unknown,
  2: i64 revision = 0,
  3: string message,
  4: optional ConfigEntry current,  // on conflict: the entry that was accepted
}

struct AuditRequest { 1: string keyPrefix, 2: i32 maximum = 100 }
struct AuditEntry {
  1: i64 offset = 0,
  2: i64 timeMs = 0,
  3: string operatorName,
  4: string key,
  5: i64 fromRevision = 0,
  6: i64 toRevision = 0,
  7: ChangeVerdict verdict = ChangeVerdict.Accepted,
  8: string reason,
  9: string changeId,
  10: string body,
}
struct AuditReply { 1: list<AuditEntry> entries }

enum SubmitVerdict {
  Queued = 1,
  NotRun = 2,       // rejected; the job is certainly not recorded
  Undetermined = 3, // may have been recorded; retry with the same job id
}
struct JobSubmitRequest { 1: JobSpec spec }
struct JobSubmitReply { 1: SubmitVerdict verdict = SubmitVerdict.Undetermined, 2: string message }
struct JobCancelRequest { 1: string jobId, 2: string operatorName }
struct JobQuery { 1: string jobId, 2: string customer, 3: i32 maximum = 200 }
struct JobStatus {
  1: JobSpec spec,
  2: string state,
  3: i32 attempt = 0,
  4: string worker,
  5: string checkpoint,
  6: string reason,
}
struct JobQueryReply { 1: list<JobStatus> jobs, 2: i64 term = -1 }

struct StatusRequest {}
struct StatusReply {
  1: string instance,
  2: string domain,
  3: i64 incarnation = 0,
  4: bool ready = false,
  5: bool owner = false,
  6: i64 term = -1,
  7: i64 configHead = -1,
  8: i64 configAgeMs = -1,
  9: list<Heartbeat> peers,
  10: i32 pendingJobs = 0,
  11: i32 runningTasks = 0,
  12: i32 workers = 0,
  13: bool logReachable = false,
}

struct ErrorReply { 1: string code, 2: string message }
struct Acknowledgement {}

/* A message between the processes of the system. A reply has the id of its request. */
union Message {
  1: Heartbeat heartbeat,
  2: Acknowledgement acknowledgement,
  3: ErrorReply error,
  4: TargetsRequest targetsRequest,
  5: TargetsReply targetsReply,
  6: ConfigStateRequest configStateRequest,
  7: ConfigStateReply configStateReply,
  8: ConfigApplyRequest configApplyRequest,
  9: ConfigApplyReply configApplyReply,
  10: AuditRequest auditRequest,
  11: AuditReply auditReply,
  12: JobSubmitRequest jobSubmitRequest,
  13: JobSubmitReply jobSubmitReply,
  14: JobCancelRequest jobCancelRequest,
  15: JobQuery jobQuery,
  16: JobQueryReply jobQueryReply,
  17: StatusRequest statusRequest,
  18: StatusReply statusReply,
}

struct Envelope {
  1: i32 formatVersion = 1,
  2: i64 id = 0,
  3: Message message,
}
