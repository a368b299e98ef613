//! JSON bodies of the callers' interface.

use compact_str::CompactString;
use sched::call::{Outcome, Turn, Work};
use sched::id::{AccountId, CallId, PoolId, ProgramId, Run, Seq, Tokens};
use sched::program::Program;
use sched::record::Ending;
use sched::refusal::Refusal;
use serde::{Deserialize, Serialize};

/// Body of `POST /v1/programs`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Create {
    /// Pool that serves the program's model turns.
    pub pool: PoolId,
    /// Budget account that its spending is charged to.
    pub account: AccountId,
    /// Most tokens that the program may generate.
    pub budget: Tokens,
    /// What the program does, in a word; answer lengths are learned per kind.
    #[serde(default)]
    pub kind: CompactString,
    /// Higher runs sooner; 0 is usual.
    #[serde(default)]
    pub priority: i8,
    /// Program that this one is a sub-agent of.
    #[serde(default)]
    pub parent: Option<ProgramId>,
    /// The caller's name for the creation; repeating it returns the same program.
    #[serde(default)]
    pub key: Option<CompactString>,
}

/// Answer of `POST /v1/programs`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Created {
    /// The new program.
    pub program: ProgramId,
}

/// Body of `POST /v1/programs/<program>/calls`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Call {
    /// The caller's name for the call; repeating it never runs the call twice.
    pub call: CallId,
    /// Position in the program, from 1.
    pub seq: Seq,
    /// What is asked.
    pub work: Work,
    /// Time left for the call, in milliseconds.
    #[serde(default)]
    pub within_ms: Option<u64>,
    /// Receipts of earlier answers whose turns were not durable.
    #[serde(default)]
    pub receipts: Vec<String>,
}

/// Body of `POST /v1/programs/<program>/receipts`.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Receipts {
    /// Receipts of answers whose turns were not durable, in order.
    pub receipts: Vec<String>,
}

/// One event of an answer's stream; the event's name is the variant's.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// Text that follows what was sent before.
    Text {
        /// Run that the text belongs to.
        run: Run,
        /// Bytes of the answer before this text.
        offset: u64,
        /// The text.
        text: String,
    },
    /// What was sent before is to be discarded; another run starts from the beginning.
    Restart,
    /// The call ended; the last event.
    End(End),
    /// The call is refused; the last event.
    Refused(Refusal),
}

/// End of a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct End {
    /// How it ended.
    pub outcome: Outcome,
    /// To be handed back with the next call: the turn is not durable yet.
    #[serde(default)]
    pub receipt: Option<String>,
    /// Time that the call waited for an endpoint, in milliseconds.
    pub queued_ms: f64,
}

/// Answer of `GET /v1/programs/<program>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct History {
    /// The program.
    pub program: ProgramId,
    /// Its budget, in tokens.
    pub budget: Tokens,
    /// Tokens spent.
    pub spent: Tokens,
    /// Tokens that an earlier owner may have spent.
    pub unsettled: Tokens,
    /// How it ended, once it has.
    pub ending: Option<Ending>,
    /// Calls that ended, in order.
    pub turns: Vec<Turn>,
    /// Engines that hold memory for it.
    pub pins: Vec<CompactString>,
}

impl History {
    /// Shows a program as its log records it.
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
