//! Typed refusals, as callers and operators see them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Stable code of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The token is missing or unknown.
    Unauthorized,
    /// The program belongs to another team.
    WrongTeam,
    /// No such program, call, pool or account.
    NotFound,
    /// The request cannot be understood.
    Malformed,
    /// A size or count limit is exceeded.
    TooLarge,
    /// The call's position is not the program's next.
    OutOfOrder,
    /// The program's previous call has not ended.
    PreviousUnfinished,
    /// The call id was used before for other content.
    CallMismatch,
    /// The program has finished or was cancelled.
    ProgramEnded,
    /// The budget does not cover the call.
    BudgetExhausted,
    /// The pool's queue is full, or the deadline would pass before the call runs.
    Overloaded,
    /// The pool has no endpoint that takes work.
    NoEndpoint,
    /// The key-value service is out of reach, and the call needs a durable record first.
    PlatformDown,
    /// This VM is stopping and starts nothing new.
    Stopping,
    /// The program's log is changing its owner.
    OwnerChanging,
    /// The deadline passed.
    DeadlinePassed,
    /// The outcome cannot be known; the call will not be run again.
    OutcomeUnknown,
    /// The configuration changed since the command was written.
    VersionConflict,
    /// The daemon failed to do its part.
    Internal,
}

impl Code {
    /// HTTP status that carries this code.
    pub fn status(self) -> u16 {
        match self {
            Self::Unauthorized => 401,
            Self::WrongTeam => 403,
            Self::NotFound => 404,
            Self::Malformed => 400,
            Self::TooLarge => 413,
            Self::OutOfOrder
            | Self::PreviousUnfinished
            | Self::CallMismatch
            | Self::ProgramEnded
            | Self::VersionConflict => 409,
            Self::BudgetExhausted => 402,
            Self::Overloaded => 429,
            Self::NoEndpoint | Self::PlatformDown | Self::Stopping | Self::OwnerChanging => 503,
            Self::DeadlinePassed => 504,
            Self::OutcomeUnknown | Self::Internal => 502,
        }
    }
}

/// Whether the refused call ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Execution {
    /// No order left any daemon, and none will.
    NotRun,
    /// An order may have left.
    Unknown,
    /// The call ran.
    Ran,
}

/// A refusal with its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Stable code for programs.
    pub code: Code,
    /// Whether the call ran.
    pub ran: Execution,
    /// When a repeated request is worth sending, in milliseconds; `None` when it never is.
    pub retry_after_ms: Option<u64>,
    /// Explanation for people.
    pub message: String,
}

impl Refusal {
    /// Refuses a call that did not run and should not be repeated as it is.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Execution::NotRun, retry_after_ms: None, message: message.into() }
    }

    /// Refuses a call whose order may have left.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Execution::Unknown, retry_after_ms: None, message: message.into() }
    }

    /// Adds when a repeated request is worth sending.
    pub fn retry_after(self, delay: Duration) -> Self {
        Self { retry_after_ms: Some(delay.as_millis() as u64), ..self }
    }
}
