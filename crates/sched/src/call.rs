//! Calls that a program makes, and how they end.

use crate::id::{CallId, PoolId, Run, Seq, Tokens};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Bytes of text counted as one prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// What a call asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Work {
    /// A model turn: `prompt` is appended to the program's history.
    Model {
        /// Text added to the history before the model answers.
        prompt: String,
        /// Most tokens that the caller asks for.
        max_tokens: Tokens,
    },
    /// A request to a plain service or a tool.
    Service {
        /// Pool that serves the request.
        service: PoolId,
        /// Operation, used as the request's path.
        op: CompactString,
        /// Request body, passed through unchanged.
        body: String,
        /// Whether a repeated run has no further effect.
        idempotent: bool,
    },
}

impl Work {
    /// Tells whether the work may be run again after an unknown outcome.
    pub fn idempotent(&self) -> bool {
        match self {
            Self::Model { .. } => true,
            Self::Service { idempotent, .. } => *idempotent,
        }
    }

    /// Text that this work adds to the program's history.
    pub fn text(&self) -> &str {
        match self {
            Self::Model { prompt, .. } => prompt,
            Self::Service { body, .. } => body,
        }
    }
}

/// One call of a program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// The caller's name for the call; repeating it never runs the call twice.
    pub id: CallId,
    /// Position in the program, from 1.
    pub seq: Seq,
    /// What is asked.
    pub work: Work,
}

/// Why a model stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// The answer is complete.
    #[default]
    End,
    /// The asked maximum is reached.
    Length,
    /// The program's or account's budget is used up.
    Budget,
}

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The endpoint answered in full.
    Done {
        /// The whole answer.
        text: String,
        /// Tokens generated; 0 for a plain service.
        tokens: Tokens,
        /// Why the answer stops here.
        stop: StopReason,
        /// Run that the text comes from; 0 for a plain service.
        run: Run,
    },
    /// The call ran or may have run, without a usable answer.
    Failed {
        /// What went wrong.
        message: String,
        /// Tokens generated before the failure.
        tokens: Tokens,
    },
    /// The order may have left, and its effect cannot be known.
    Unknown,
    /// The order never left; the position may be used again.
    NotRun,
}

impl Outcome {
    /// Tokens charged to the program.
    pub fn tokens(&self) -> Tokens {
        match self {
            Self::Done { tokens, .. } | Self::Failed { tokens, .. } => *tokens,
            Self::Unknown | Self::NotRun => 0,
        }
    }
}

/// A call and its end, as kept in a program's history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// What was asked.
    pub call: Call,
    /// How it ended.
    pub outcome: Outcome,
}

/// Estimates the prompt tokens of `text`.
pub fn prompt_tokens(text: &str) -> Tokens {
    text.len().div_ceil(BYTES_PER_TOKEN) as Tokens
}
