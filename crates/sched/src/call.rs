//! Calls of a program and their outcomes.

use crate::id::{CallId, PoolId, Run, Seq, Tokens};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Bytes of text that are estimated as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// The work that a call requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A model turn: `prompt` is appended to the program's history.
    Model {
        /// Text added to the history before the model answers.
        prompt: String,
        /// Maximum number of tokens to generate, as requested by the caller.
        max_tokens: Tokens,
    },
    /// A request to a plain service or tool.
    Service {
        /// Pool that serves the request.
        service: PoolId,
        /// Operation, used as the path of the request.
        op: CompactString,
        /// Request body, passed through unchanged.
        body: String,
        /// Whether running the request again has no further effect.
        idempotent: bool,
    },
}

impl Work {
    /// Returns whether the work may run again after an unknown outcome.
    pub fn idempotent(&self) -> bool {
        match self {
            Self::Model { .. } => true,
            Self::Service { idempotent, .. } => *idempotent,
        }
    }

    /// Returns the text that this work adds to the program's history.
    pub fn text(&self) -> &str {
        match self {
            Self::Model { prompt, .. } => prompt,
            Self::Service { body, .. } => body,
        }
    }
}

/// A call of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Id chosen by the caller; a call that is sent again with the same id never runs twice.
    pub id: CallId,
    /// Position in the program, from 1.
    pub seq: Seq,
    /// The requested work.
    pub work: Work,
}

/// The reason why a model stopped generating.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The answer is complete.
    #[default]
    End,
    /// The requested maximum number of tokens is reached.
    Length,
    /// The budget of the program or of its account is exhausted.
    Budget,
}

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint sent a complete answer.
    Done {
        /// The complete answer.
        text: String,
        /// Tokens generated; 0 for a plain service.
        tokens: Tokens,
        /// Why the model stopped generating.
        stop: StopReason,
        /// Number of the run that generated the text; 0 for a plain service.
        run: Run,
    },
    /// The call ran or may have run, but without a usable answer.
    Failed {
        /// What went wrong.
        message: String,
        /// Tokens generated before the failure.
        tokens: Tokens,
    },
    /// The request may have been sent to an endpoint, and its effect is unknown.
    Unknown,
    /// The request was never sent; the position may be used again.
    NotRun,
}

impl Outcome {
    /// Returns the number of tokens charged to the program.
    pub fn tokens(&self) -> Tokens {
        match self {
            Self::Done { tokens, .. } | Self::Failed { tokens, .. } => *tokens,
            Self::Unknown | Self::NotRun => 0,
        }
    }
}

/// A call and its outcome, as stored in the program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The call.
    pub call: Call,
    /// The outcome.
    pub outcome: Outcome,
}

/// Estimates the number of prompt tokens of `text`.
pub fn prompt_tokens(text: &str) -> Tokens {
    text.len().div_ceil(BYTES_PER_TOKEN) as Tokens
}
