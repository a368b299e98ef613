//! Entries of a log.

use crate::call::{Call, Outcome, Turn};
use crate::id::{AccountId, CallId, EndpointId, Epoch, PoolId, ProgramId, TeamId, Tokens, VmId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The parameters that a program is created with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Team that owns the program.
    pub team: TeamId,
    /// Pool that serves its model turns.
    pub pool: PoolId,
    /// Account that is charged for its tokens.
    pub account: AccountId,
    /// Maximum number of tokens that the program may generate.
    pub budget: Tokens,
    /// Kind of the program, chosen by the caller; output lengths are predicted per team and kind.
    pub kind: CompactString,
    /// Priority; programs with a higher one run sooner, and 0 is the default.
    pub priority: i8,
    /// Program that started this one as a sub-agent.
    pub parent: Option<ProgramId>,
    /// Idempotency key of the creation; a repeated request with the same key returns the same
    /// program.
    pub key: Option<CompactString>,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The caller finished the program.
    Finished,
    /// The caller or an operator cancelled the program.
    Cancelled,
    /// The program made no call within the idle timeout.
    Idle,
    /// The program exceeded the maximum number of calls of its pool.
    StepLimit,
    /// The program exceeded the maximum run time of its pool.
    WallLimit,
}

/// An entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A new owner takes over the log and fences all earlier owners.
    Takeover {
        /// Number of this takeover.
        epoch: Epoch,
        /// The new owner.
        vm: VmId,
    },
    /// The owner hands the log over after recording everything that was spent.
    Handoff,
    /// The owner, whose lease had expired, confirms that no other daemon has taken over the log.
    Confirm,
    /// A program is created.
    Create {
        /// Id of the program.
        program: ProgramId,
        /// Parameters of the program.
        spec: Spec,
    },
    /// A call is accepted. A call that is not idempotent is sent to an endpoint only after this
    /// entry is durable; an idempotent one need not wait for that.
    Intent {
        /// The program.
        program: ProgramId,
        /// The call.
        call: Call,
    },
    /// The open call was sent to an endpoint.
    Placed {
        /// The program.
        program: ProgramId,
        /// Endpoint that the call was sent to.
        endpoint: EndpointId,
    },
    /// The open call ended.
    Outcome {
        /// The program.
        program: ProgramId,
        /// The call.
        call: CallId,
        /// How it ended.
        outcome: Outcome,
    },
    /// Adds a turn that an earlier owner answered and certified to the caller with a receipt.
    Restore {
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: Turn,
    },
    /// Sets the number of tokens that the program may generate before further entries are durable.
    Allow {
        /// The program.
        program: ProgramId,
        /// New allowance, which replaces the previous one.
        allowance: Tokens,
    },
    /// An endpoint keeps engine memory for the program.
    Pin {
        /// The program.
        program: ProgramId,
        /// Endpoint that keeps the memory.
        endpoint: EndpointId,
    },
    /// The endpoint has released the program's engine memory.
    Unpin {
        /// The program.
        program: ProgramId,
        /// Endpoint that kept the memory.
        endpoint: EndpointId,
    },
    /// Changes a program's priority.
    Prioritise {
        /// The program.
        program: ProgramId,
        /// The new priority.
        priority: i8,
    },
    /// A program ends.
    Finish {
        /// The program.
        program: ProgramId,
        /// How it ended.
        ending: Ending,
    },
    /// Releases the unsettled tokens that earlier owners left.
    Settle,
    /// Drops an ended program after its retention period.
    Forget {
        /// The program.
        program: ProgramId,
    },
}
