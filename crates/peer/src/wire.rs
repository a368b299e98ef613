//! Messages between daemons.

use crate::gateway;
use compact_str::CompactString;
use sched::call::{Call, Outcome};
use sched::id::{
    CallId, DcId, EndpointId, LogId, PoolId, ProgramId, Run, Seq, TeamId, Tokens, Version, VmId,
};
use sched::program::Program;
use sched::record::{Ending, Spec};
use sched::refusal::Refusal;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identity on whose behalf an operation is requested.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Principal {
    /// A team, which has access only to its own programs.
    Team(TeamId),
    /// An operator, by name.
    Operator(CompactString),
}

/// Position of a reader in the text of a call's result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Run that produced the text.
    pub run: Run,
    /// Bytes of the text that were read.
    pub offset: u64,
}

/// An operation on programs of one log, executed by the log's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Operation {
    /// Creates a program.
    Create {
        /// Log that records the program.
        log: LogId,
        /// Parameters of the program.
        spec: Spec,
    },
    /// Makes a call, or attaches to it if it exists already.
    Call {
        /// The program.
        program: ProgramId,
        /// The call.
        call: Call,
        /// Time until the call's deadline; `None` for the default of the program's pool.
        #[serde(rename = "within")]
        timeout: Option<Duration>,
        /// Position up to which the caller already has the text.
        position: Position,
        /// Signed receipts of turns that were answered before they were durable.
        receipts: Vec<String>,
    },
    /// Attaches to an existing call.
    Attach {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// Position up to which the caller already has the text.
        position: Position,
    },
    /// Restores turns that a previous owner answered but did not make durable.
    Restore {
        /// The program.
        program: ProgramId,
        /// Signed receipts of the turns.
        receipts: Vec<String>,
    },
    /// Reads a program.
    Read {
        /// The program.
        program: ProgramId,
    },
    /// Ends a program.
    End {
        /// The program.
        program: ProgramId,
        /// Ending to record.
        ending: Ending,
    },
    /// Changes a program's priority.
    Prioritise {
        /// The program.
        program: ProgramId,
        /// The new priority.
        priority: i8,
    },
}

impl Operation {
    /// Returns the log whose owner executes the operation, or `None` for a malformed program id.
    pub fn log(&self) -> Option<LogId> {
        match self {
            Self::Create { log, .. } => Some(*log),
            Self::Call { program, .. }
            | Self::Attach { program, .. }
            | Self::Restore { program, .. }
            | Self::Read { program }
            | Self::End { program, .. }
            | Self::Prioritise { program, .. } => sched::id::log_of(program),
        }
    }
}

/// Load that one daemon's calls put on an endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of calls in flight.
    pub calls: u32,
    /// Memory reserved for them, in tokens.
    pub memory: Tokens,
}

/// State that a daemon sends to its peers at each report interval.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// VM of the sender.
    pub vm: VmId,
    /// Load of the sender's calls by endpoint, without endpoints that have none.
    #[serde(rename = "shares")]
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that the sender found slow, with the factor by which each is slower than its pool.
    #[serde(rename = "slow")]
    pub slowdowns: Vec<(EndpointId, f64)>,
}

/// What a program is doing or waiting for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Activity {
    /// A call runs at an endpoint.
    Running {
        /// The endpoint.
        endpoint: EndpointId,
        /// Number of tokens generated so far.
        tokens: Tokens,
        /// Whether the endpoint is slower than the rest of its pool.
        slow: bool,
    },
    /// A call waits in its pool's queue.
    Queue {
        /// The pool.
        pool: PoolId,
        /// Number of calls ahead of it in this daemon's queue.
        ahead: u64,
        /// Number of endpoints in the pool that accept new calls.
        open: u64,
    },
    /// A call waits until its intent is durable.
    Durability {
        /// Whether the key-value service is reachable.
        platform_up: bool,
    },
    /// A call waits for tokens from the program's account.
    Budget {
        /// The account.
        account: CompactString,
    },
    /// No call is in progress; the caller has to make the next one.
    Caller,
    /// The program has ended.
    Ended {
        /// How it ended.
        ending: Ending,
    },
}

/// State of a program, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgramRow {
    /// Id of the program.
    pub program: ProgramId,
    /// Team that owns the program.
    pub team: TeamId,
    /// Pool that runs its calls.
    pub pool: PoolId,
    /// Account that its tokens are charged to.
    pub account: CompactString,
    /// Kind given when the program was created.
    pub kind: CompactString,
    /// Its priority.
    pub priority: i8,
    /// VM of the daemon that owns its log.
    pub vm: VmId,
    /// Sequence number of the call in progress, or of the next one.
    pub seq: Seq,
    /// Budget, in tokens.
    pub budget: Tokens,
    /// Tokens spent so far.
    pub spent: Tokens,
    /// Time spent in the current activity, in milliseconds.
    pub for_ms: u64,
    /// What the program is doing or waiting for.
    #[serde(rename = "wait")]
    pub activity: Activity,
}

/// State of an endpoint as observed by one daemon.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Pool of the endpoint.
    pub pool: PoolId,
    /// Data centre of the endpoint.
    pub dc: DcId,
    /// VM of the reporting daemon.
    pub vm: VmId,
    /// Whether the daemon sends new calls to it.
    pub open: bool,
    /// Factor by which it is slower than its pool, at least 1.
    pub slowdown: f64,
    /// Number of the daemon's own calls at the endpoint.
    pub calls: u32,
}

/// State of a daemon, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// VM of the daemon.
    pub vm: VmId,
    /// Data centre of the VM.
    pub dc: DcId,
    /// Version of the configuration in force on the daemon.
    pub version: Version,
    /// Logs that the daemon owns.
    pub logs: Vec<LogId>,
    /// Number of live programs.
    pub programs: u64,
    /// Number of waiting calls.
    pub waiting: u64,
    /// Whether the daemon is stopping.
    pub stopping: bool,
    /// Whether the daemon's last call to the key-value service was answered.
    pub platform_up: bool,
}

/// Query for operators, sent to every daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Query {
    /// Whether to return the daemon's programs.
    pub programs: bool,
    /// Whether to return the daemon's endpoints.
    pub endpoints: bool,
}

/// Status of one daemon, in reply to a [`Query`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The daemon itself.
    pub daemon: DaemonRow,
    /// Programs of the daemon; empty unless requested.
    pub programs: Vec<ProgramRow>,
    /// Endpoints that the daemon knows; empty unless requested.
    pub endpoints: Vec<EndpointRow>,
}

/// A request, sent as the only frame from the client.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// An operation on a program, for the owner of its log.
    #[serde(rename = "Ask")]
    Operation(Principal, Box<Operation>),
    /// State of the sender; gets no reply.
    Report(Report),
    /// A query for operators.
    Query(Query),
    /// A command from one gateway daemon to another.
    Gateway(Box<gateway::Command>),
}

/// A reply to a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The program was created or exists already.
    Created(ProgramId),
    /// Text that continues the text sent before.
    Text {
        /// Run that produced the text.
        run: Run,
        /// Offset of this text in the run's whole text, in bytes.
        offset: u64,
        /// The text.
        text: String,
    },
    /// The text sent before came from a run that was interrupted; the reader has to discard it.
    Restart,
    /// The call has ended; the last reply of the stream.
    Ended {
        /// Outcome of the call.
        outcome: Outcome,
        /// Signed receipt of the turn, if it is not durable yet.
        receipt: Option<String>,
        /// Time that the call waited before it was sent to an endpoint.
        queued: Duration,
    },
    /// The program, as recorded in its log.
    Program(Box<Program>),
    /// An operation without a result has succeeded and is durable.
    Done,
    /// The operation was refused; the last reply of the stream.
    Refused(Refusal),
    /// This daemon does not own the log, and nothing was done.
    NotOwner,
    /// The log is moving to another owner, which may resume the operation.
    Moved,
    /// Status of the daemon, in reply to a query.
    #[serde(rename = "Answer")]
    Status(Box<Status>),
    /// Response to a gateway command.
    Gateway(gateway::Response),
}
