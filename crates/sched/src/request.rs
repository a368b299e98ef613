//! What a request says of itself.

use crate::id::{PartId, ProgramId, RequestId, Tokens};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Its id.
    pub id: PartId,
    /// Its length.
    pub tokens: Tokens,
}

/// What a request says of itself, whatever protocol it came by.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Its id, one for each attempt of the client.
    pub id: RequestId,
    /// Time that the client will wait.
    pub deadline: Option<Duration>,
    /// Program that it belongs to.
    pub program: Option<ProgramId>,
    /// Line of turns that it belongs to.
    pub session: Option<CompactString>,
    /// Time within which the program should end.
    pub program_deadline: Option<Duration>,
    /// Tokens that all turns of the program may generate.
    pub budget: Option<Tokens>,
    /// Prompt tokens.
    pub prompt_tokens: Tokens,
    /// Most tokens that it may generate.
    pub max_output_tokens: Tokens,
    /// Parts of its prompt, in order.
    pub prompt_parts: Vec<Part>,
    /// Last event that the client has of an earlier attempt.
    pub resume_after: Option<u64>,
}

impl Metadata {
    /// Name of what should stay with one endpoint or service: the line, else the program, else the
    /// request.
    pub fn affinity_key(&self) -> &str {
        self.session.as_ref().or(self.program.as_ref()).unwrap_or(&self.id)
    }
}
