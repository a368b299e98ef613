//! Request and response bodies of the callers' HTTP API, encoded as JSON.

use compact_str::CompactString;
use sched::call::{Outcome, Turn, Work};
use sched::id::{AccountId, CallId, PoolId, ProgramId, Run, Seq, Tokens};
use sched::program::Program;
use sched::record::Ending;
use sched::refusal::Refusal;
use serde::{Deserialize, Serialize};

/// Request body of `POST /v1/programs`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Create {
    /// Pool that serves the program's model turns.
    pub pool: PoolId,
    /// Budget account that the program's tokens are charged to.
    pub account: AccountId,
    /// Maximum number of tokens that the program may generate.
    pub budget: Tokens,
    /// Type of work that the program does; answer lengths are predicted per team and kind.
    #[serde(default)]
    pub kind: CompactString,
    /// Scheduling priority; higher values run first, and 0 is the default.
    #[serde(default)]
    pub priority: i8,
    /// Parent program, if this one is a sub-agent.
    #[serde(default)]
    pub parent: Option<ProgramId>,
    /// Idempotency key; a repeated request with the same key returns the same program.
    #[serde(default)]
    pub key: Option<CompactString>,
}

/// Response body of `POST /v1/programs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Created {
    /// Id of the new program.
    pub program: ProgramId,
}

/// Request body of `POST /v1/programs/<program>/calls`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// Id chosen by the caller; a repeated request with the same id never runs the call twice.
    pub call: CallId,
    /// Position of the call in the program, starting at 1.
    pub seq: Seq,
    /// Model turn or service request to run.
    pub work: Work,
    /// Time until the call's deadline, in milliseconds; by default, the pool's limit for one call
    /// applies.
    #[serde(default)]
    pub within_ms: Option<u64>,
    /// Receipts from earlier calls whose turns were not yet durable.
    #[serde(default)]
    pub receipts: Vec<String>,
}

/// Request body of `POST /v1/programs/<program>/receipts`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Receipts {
    /// Receipts from calls whose turns were not yet durable, in the order of the calls.
    pub receipts: Vec<String>,
}

/// One event of a streamed answer, encoded as a JSON object with the variant's name as its key.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Text to append to the text sent so far.
    Text {
        /// Run that generated the text.
        run: Run,
        /// Byte offset of this text in the answer.
        offset: u64,
        /// Text to append.
        text: String,
    },
    /// A new run starts from the beginning; the reader discards the text received so far.
    Restart,
    /// The call ended; this is the last event.
    End(End),
    /// The call was refused; this is the last event.
    Refused(Refusal),
}

/// Result of a call that ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// How the call ended.
    pub outcome: Outcome,
    /// Receipt to send with the next call; present if the turn is not yet durable.
    #[serde(default)]
    pub receipt: Option<String>,
    /// Time that the call spent waiting for an endpoint, in milliseconds.
    pub queued_ms: f64,
}

/// Response body of `GET /v1/programs/<program>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// Id of the program.
    pub program: ProgramId,
    /// Budget of the program, in tokens.
    pub budget: Tokens,
    /// Tokens charged for ended calls.
    pub spent: Tokens,
    /// Tokens that a previous owner of the log may have spent; they count against the budget.
    pub unsettled: Tokens,
    /// How the program ended; `None` while it is active.
    pub ending: Option<Ending>,
    /// Ended calls, in order.
    pub turns: Vec<Turn>,
    /// Engines that hold KV cache memory for the program.
    pub pins: Vec<CompactString>,
}

impl History {
    /// Builds the response from the state that the log holds for the program `id`.
    pub fn new(id: ProgramId, program: Program) -> Self {
        Self {
            program: id,
            budget: program.spec.budget,
            spent: program.spent,
            unsettled: program.unsettled,
            ending: program.ending,
            turns: program.turns,
            pins: program.pins.into_iter().collect(),
        }
    }
}
