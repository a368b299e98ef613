//! Entries of a program log.

use crate::call::{Call, Outcome, Turn};
use crate::id::{AccountId, CallId, EndpointId, Epoch, PoolId, ProgramId, TeamId, Tokens, VmId};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a program was created with.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// Team that owns the program.
    pub team: TeamId,
    /// Pool that serves its model turns.
    pub pool: PoolId,
    /// Account that its spending is charged to.
    pub account: AccountId,
    /// Most tokens that the program may generate.
    pub budget: Tokens,
    /// What the program does; lengths are predicted per team and kind.
    pub kind: CompactString,
    /// Higher runs sooner; 0 is usual.
    pub priority: i8,
    /// Program that this one is a sub-agent of.
    pub parent: Option<ProgramId>,
    /// The caller's name for the creation; repeating it returns the same program.
    pub key: Option<CompactString>,
}

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// The caller finished it.
    Finished,
    /// The caller or an operator cancelled it.
    Cancelled,
    /// It was silent past the idle timeout.
    Idle,
    /// It made more calls than its pool allows.
    StepLimit,
    /// It ran longer than its pool allows.
    WallLimit,
}

/// One entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A new owner fences all earlier ones.
    Takeover {
        /// Number of this takeover.
        epoch: Epoch,
        /// The new owner.
        vm: VmId,
    },
    /// The owner gives the log up with nothing unaccounted for.
    Handoff,
    /// The owner confirms, after its lease lapsed, that nobody has taken the log over.
    Confirm,
    /// A program begins.
    Create {
        /// Its id.
        program: ProgramId,
        /// What it was created with.
        spec: Spec,
    },
    /// A call may leave for an endpoint once this entry is durable.
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
        /// Where the call runs.
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
    /// Adds a turn that an earlier owner answered and sealed for the caller.
    Restore {
        /// The program.
        program: ProgramId,
        /// The turn.
        turn: Turn,
    },
    /// Sets the tokens that the program may generate ahead of further durable entries.
    Allow {
        /// The program.
        program: ProgramId,
        /// The whole allowance from here on.
        allowance: Tokens,
    },
    /// An endpoint keeps engine memory for the program.
    Pin {
        /// The program.
        program: ProgramId,
        /// Where the memory is held.
        endpoint: EndpointId,
    },
    /// The endpoint has released the program's engine memory.
    Unpin {
        /// The program.
        program: ProgramId,
        /// Where the memory was held.
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
    /// Returns the allowances that earlier owners left unaccounted for.
    Settle,
    /// Drops an ended program after its retention time.
    Forget {
        /// The program.
        program: ProgramId,
    },
}
