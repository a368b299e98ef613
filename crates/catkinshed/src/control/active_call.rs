//! State of a call between its arrival and its end.

use crate::output::Output;
use crate::traffic::model::StopMode;
use compact_str::CompactString;
use sched::call::Call;
use sched::id::{EndpointId, LogId, PoolId, TeamId, Tokens};
use sched::queue;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Why a running attempt was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The program is ending.
    Cancel,
    /// The deadline passed.
    Deadline,
    /// The endpoint is slow, and the call continues at another one.
    Move,
}

/// An attempt to run a call at an endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of the attempt, unique within this daemon process.
    pub number: u64,
    /// Memory reserved at the endpoint, in tokens.
    pub memory: Tokens,
    /// When the request was sent.
    pub sent_at: Instant,
    /// Tells the task that reads from the engine to stop; `None` for plain services and once used.
    pub stop: Option<oneshot::Sender<StopMode>>,
    /// Why the task was told to stop, if it was.
    pub cause: Option<StopCause>,
}

/// Progress of a call towards its end.
#[derive(Debug)]
pub enum Stage {
    /// Waits for tokens of its account.
    AwaitingTokens,
    /// Waits for log entries to become durable.
    AwaitingCommit,
    /// Waits for an endpoint, under this key of its pool's queue.
    Queued(queue::Key),
    /// Runs at an endpoint.
    Running(Attempt),
}

/// A call that has arrived and has not ended yet.
#[derive(Debug)]
pub struct ActiveCall {
    /// Log that contains the program.
    pub log: LogId,
    /// The call.
    pub call: Call,
    /// Team that owns the program.
    pub team: TeamId,
    /// Pool that serves the call.
    pub pool: PoolId,
    /// Kind of the program.
    pub kind: CompactString,
    /// Answer text received so far, shared with its readers.
    pub output: Output,
    /// Current stage.
    pub stage: Stage,
    /// When the call arrived.
    pub arrived_at: Instant,
    /// When the current stage started.
    pub stage_since: Instant,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
    /// Total time spent in the queue, over all stays.
    pub queue_time: Duration,
    /// Maximum length of the answer that the caller requested, in tokens; 0 for plain services.
    pub max_tokens: Tokens,
    /// Maximum number of tokens to charge for the call, given the program's durable allowance.
    pub token_limit: Tokens,
    /// Predicted length of the answer, in tokens.
    pub expected_tokens: Tokens,
    /// Tokens to reserve for the answer, both of the engine's memory and of the allowance.
    pub answer_reservation: Tokens,
    /// Tokens that engines generated and this daemon did not receive; they are charged too.
    pub undelivered_tokens: Tokens,
    /// Rank in the queue; set when the call is first queued and kept afterwards.
    pub rank: Option<queue::Rank>,
    /// Number of failed attempts.
    pub failures: u32,
    /// Endpoint of the last failed attempt, which the next one avoids.
    pub avoid: Option<EndpointId>,
    /// Whether a request may have reached an endpoint.
    pub sent: bool,
}

impl ActiveCall {
    /// Returns the tokens that the program is charged if the call ends now.
    pub fn charged_tokens(&self) -> Tokens {
        self.output.tokens() + self.undelivered_tokens
    }

    /// Enters another stage; when the call leaves the queue, adds the time spent there.
    pub fn set_stage(&mut self, stage: Stage, now: Instant) {
        if matches!(self.stage, Stage::Queued(_)) {
            self.queue_time += now.saturating_duration_since(self.stage_since);
        }
        self.stage = stage;
        self.stage_since = now;
    }
}
