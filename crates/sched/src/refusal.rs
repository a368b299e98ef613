//! Refusals that are returned to callers and operators.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The stable code of a refusal.
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
    /// The position of the call is not the program's next one.
    OutOfOrder,
    /// The program's previous call has not ended.
    PreviousUnfinished,
    /// The call id was already used for a call with different content.
    CallMismatch,
    /// The program was finished or cancelled.
    ProgramEnded,
    /// The budget does not cover the call.
    BudgetExhausted,
    /// The pool's queue is full, or the deadline would expire before the call runs.
    Overloaded,
    /// The pool has no endpoint that accepts calls.
    NoEndpoint,
    /// The key-value service is unavailable, and the call requires a durable record first.
    PlatformDown,
    /// This VM is shutting down and accepts no new work.
    Stopping,
    /// The ownership of the program's log is changing.
    OwnerChanging,
    /// The deadline has expired.
    DeadlinePassed,
    /// The outcome is unknown; the call will not run again.
    OutcomeUnknown,
    /// The configuration has changed since the version that the command expects.
    VersionConflict,
    /// Internal error of the daemon.
    Internal,
}

impl Code {
    /// Returns the HTTP status of responses with this code.
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
    /// No daemon has sent the call to an endpoint, and none will.
    NotRun,
    /// A daemon may have sent the call to an endpoint.
    Unknown,
    /// The call ran.
    Ran,
}

/// A refusal and its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{message}")]
pub struct Refusal {
    /// Stable code, for clients.
    pub code: Code,
    /// Whether the call ran.
    pub ran: Execution,
    /// Delay after which a retry is useful, in milliseconds; `None` if a retry is never useful.
    pub retry_after_ms: Option<u64>,
    /// Human-readable explanation.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal of a call that did not run and should not be retried unchanged.
    pub fn not_run(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Execution::NotRun, retry_after_ms: None, message: message.into() }
    }

    /// Creates a refusal of a call that may have been sent to an endpoint.
    pub fn unknown(code: Code, message: impl Into<String>) -> Self {
        Self { code, ran: Execution::Unknown, retry_after_ms: None, message: message.into() }
    }

    /// Sets the delay after which a retry is useful.
    pub fn retry_after(self, delay: Duration) -> Self {
        Self { retry_after_ms: Some(delay.as_millis() as u64), ..self }
    }
}
