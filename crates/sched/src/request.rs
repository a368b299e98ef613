//! Metadata of client requests.

use crate::id::{PartId, ProgramId, RequestId, Tokens};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Id of the part.
    pub id: PartId,
    /// Length of the part, in tokens.
    pub tokens: Tokens,
}

/// The metadata that a client sends with a request, independent of the protocol.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metadata {
    /// Id of the request, different for each attempt of the client.
    pub id: RequestId,
    /// Time for which the client waits for the response.
    pub deadline: Option<Duration>,
    /// Program that the request belongs to.
    pub program: Option<ProgramId>,
    /// Session that the request belongs to.
    pub session: Option<CompactString>,
    /// Time within which the program should end.
    pub program_deadline: Option<Duration>,
    /// Maximum number of tokens that all turns of the program may generate.
    pub budget: Option<Tokens>,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: Tokens,
    /// Maximum number of tokens that the request may generate.
    pub max_output_tokens: Tokens,
    /// Parts of the prompt, in order.
    pub prompt_parts: Vec<Part>,
    /// Id of the last event that the client received in an earlier attempt.
    pub resume_after: Option<u64>,
    /// Id of the client's attempt that brought the first event of the stream to be resumed.
    pub resumes: Option<RequestId>,
    /// Object that the request concerns; an endpoint that handled it lately is faster.
    pub object: Option<CompactString>,
}

impl Metadata {
    /// Returns the key for session affinity: the session, else the program, else the request id.
    pub fn affinity_key(&self) -> &str {
        self.session.as_ref().or(self.program.as_ref()).unwrap_or(&self.id)
    }
}
