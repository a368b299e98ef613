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

/// Who asks for an operation on a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Principal {
    /// A team, which may touch only its own programs.
    Team(TeamId),
    /// An operator.
    Operator(CompactString),
}

/// How far a reader has read an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Run that the text came from.
    pub run: Run,
    /// Bytes read.
    pub offset: u64,
}

/// An operation on the programs of one log, carried out by the log's owner.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Operation {
    /// Creates a program.
    Create {
        /// Log that the program will live in.
        log: LogId,
        /// What it is created with.
        spec: Spec,
    },
    /// Makes a call, or attaches to it where it is known already.
    Call {
        /// The program.
        program: ProgramId,
        /// The call.
        call: Call,
        /// Time left for the call.
        #[serde(rename = "within")]
        timeout: Option<Duration>,
        /// Text that the asker has already.
        position: Position,
        /// Turns that were answered before they were durable, as sealed for the caller.
        receipts: Vec<String>,
    },
    /// Attaches to a call made before.
    Attach {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// Text that the asker has already.
        position: Position,
    },
    /// Restores turns that an earlier owner answered and could not make durable.
    Restore {
        /// The program.
        program: ProgramId,
        /// The turns, sealed.
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
        /// How it ends.
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
    /// Log whose owner carries the operation out; `None` when the program id is malformed.
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

/// What a daemon tells its peers of its own calls at one endpoint.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Calls in flight.
    pub calls: u32,
    /// Memory reserved, in tokens.
    pub memory: Tokens,
}

/// What a daemon tells its peers at each report interval.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub vm: VmId,
    /// Its calls by endpoint; endpoints without calls are left out.
    #[serde(rename = "shares")]
    pub loads: Vec<EndpointLoad>,
    /// Endpoints that it found slow, with the factor.
    #[serde(rename = "slow")]
    pub slowdowns: Vec<(EndpointId, f64)>,
}

/// Why a program is not running.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Activity {
    /// A call runs at an endpoint.
    Running {
        /// Where.
        endpoint: EndpointId,
        /// Tokens generated so far.
        tokens: Tokens,
        /// Whether the endpoint is slower than its pool.
        slow: bool,
    },
    /// A call waits in its pool's queue.
    Queue {
        /// The pool.
        pool: PoolId,
        /// Calls ahead of it at this daemon.
        ahead: u64,
        /// Endpoints that take work.
        open: u64,
    },
    /// A call waits until its intent is durable.
    Durability {
        /// Whether the key-value service answers.
        platform_up: bool,
    },
    /// A call waits for tokens of its account.
    Budget {
        /// The account.
        account: CompactString,
    },
    /// The caller has made no call since the last one ended.
    Caller,
    /// The program has ended.
    Ended {
        /// How.
        ending: Ending,
    },
}

/// A program as operators see it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ProgramRow {
    /// The program.
    pub program: ProgramId,
    /// Its team.
    pub team: TeamId,
    /// Its pool.
    pub pool: PoolId,
    /// Its account.
    pub account: CompactString,
    /// Its kind.
    pub kind: CompactString,
    /// Its priority.
    pub priority: i8,
    /// The owner of its log.
    pub vm: VmId,
    /// Position of the call under way, or of the next one.
    pub seq: Seq,
    /// Its budget, in tokens.
    pub budget: Tokens,
    /// Tokens spent.
    pub spent: Tokens,
    /// Time in the present state.
    pub for_ms: u64,
    /// What it does or waits for.
    #[serde(rename = "wait")]
    pub activity: Activity,
}

/// An endpoint as one daemon sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointRow {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its pool.
    pub pool: PoolId,
    /// Its data centre.
    pub dc: DcId,
    /// The daemon that reports.
    pub vm: VmId,
    /// Whether the daemon sends it new work.
    pub open: bool,
    /// Factor by which it is slower than its pool.
    pub slowdown: f64,
    /// The daemon's own calls there.
    pub calls: u32,
}

/// A daemon as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DaemonRow {
    /// The daemon.
    pub vm: VmId,
    /// Its data centre.
    pub dc: DcId,
    /// Configuration version in force there.
    pub version: Version,
    /// Logs that it owns.
    pub logs: Vec<LogId>,
    /// Live programs.
    pub programs: u64,
    /// Calls that wait.
    pub waiting: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Whether its last key-value call was answered.
    pub platform_up: bool,
}

/// What operators ask of every daemon.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Query {
    /// Whether programs are asked for.
    pub programs: bool,
    /// Whether endpoints are asked for.
    pub endpoints: bool,
}

/// One daemon's answer to a [`Query`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Status {
    /// The daemon.
    pub daemon: DaemonRow,
    /// Its programs, where asked for.
    pub programs: Vec<ProgramRow>,
    /// Its endpoints, where asked for.
    pub endpoints: Vec<EndpointRow>,
}

/// First frame of a stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// An operation for the owner of a log.
    #[serde(rename = "Ask")]
    Operation(Principal, Box<Operation>),
    /// State of the sender; not answered.
    Report(Report),
    /// A question of the operators.
    Query(Query),
    /// A question of a gateway.
    Gateway(Box<gateway::Command>),
}

/// A frame of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Reply {
    /// The program exists.
    Created(ProgramId),
    /// Text that follows what was sent before.
    Text {
        /// Run that the text belongs to.
        run: Run,
        /// Bytes of the answer before this text.
        offset: u64,
        /// The text.
        text: String,
    },
    /// What was sent before belongs to a run that broke off, and is to be discarded.
    Restart,
    /// The call ended; the last frame of its stream.
    Ended {
        /// How it ended.
        outcome: Outcome,
        /// Sealed record of the turn, where it is not durable yet.
        receipt: Option<String>,
        /// Time that the call waited before its order left.
        queued: Duration,
    },
    /// The program as its log records it.
    Program(Box<Program>),
    /// An operation without a result is done and durable.
    Done,
    /// The operation is refused; the last frame of its stream.
    Refused(Refusal),
    /// This daemon does not own the log; nothing was done.
    NotOwner,
    /// The log goes to another owner, which may take up what was begun here.
    Moved,
    /// Answer to a query.
    #[serde(rename = "Answer")]
    Status(Box<Status>),
    /// Answer of a gateway.
    Gateway(gateway::Response),
}
