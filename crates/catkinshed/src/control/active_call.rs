//! A call between its arrival and its end.

use crate::io::completion::StopMode;
use crate::output::Output;
use compact_str::CompactString;
use sched::call::Call;
use sched::id::{EndpointId, LogId, PoolId, TeamId, Tokens};
use sched::queue;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Why a running order was told to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopCause {
    /// The program ends.
    Cancel,
    /// The deadline passed.
    Deadline,
    /// The endpoint is slow, and the call goes on elsewhere.
    Move,
}

/// An order at an endpoint.
#[derive(Debug)]
pub struct Attempt {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Number of the attempt.
    pub number: u64,
    /// Memory reserved there, in tokens.
    pub memory: Tokens,
    /// When the order left.
    pub sent_at: Instant,
    /// Tells the task of a model order to stop.
    pub stop: Option<oneshot::Sender<StopMode>>,
    /// Why it was told to.
    pub cause: Option<StopCause>,
}

/// How far a call has come.
#[derive(Debug)]
pub enum Stage {
    /// It waits for tokens of its account.
    AwaitingTokens,
    /// It waits for entries to become durable.
    AwaitingCommit,
    /// It waits for an endpoint.
    Queued(queue::Key),
    /// It runs.
    Running(Attempt),
}

/// A call between its arrival and its end.
#[derive(Debug)]
pub struct ActiveCall {
    /// Log of the program.
    pub log: LogId,
    /// The call.
    pub call: Call,
    /// Team that is served.
    pub team: TeamId,
    /// Pool that serves the call.
    pub pool: PoolId,
    /// Kind of the program.
    pub kind: CompactString,
    /// Text so far, and its readers.
    pub tape: Output,
    /// How far the call has come.
    pub stage: Stage,
    /// When it arrived.
    pub arrived_at: Instant,
    /// When the present stage began.
    pub stage_since: Instant,
    /// When it stops being worth running.
    pub deadline: Instant,
    /// Time in the queue so far.
    pub queue_time: Duration,
    /// Tokens asked for.
    pub max_tokens: Tokens,
    /// Tokens that it may generate in all.
    pub token_limit: Tokens,
    /// Tokens expected.
    pub expected_tokens: Tokens,
    /// Memory to reserve for the answer, in tokens.
    pub answer_reservation: Tokens,
    /// Tokens that an engine generated and nobody received.
    pub undelivered_tokens: Tokens,
    /// Rank, once it has been queued.
    pub rank: Option<queue::Rank>,
    /// Orders that failed.
    pub failures: u32,
    /// Endpoint that failed last.
    pub avoid: Option<EndpointId>,
    /// Whether the last order may have left.
    pub sent: bool,
}

impl ActiveCall {
    /// Tokens charged to the program if the call ended now.
    pub fn charged_tokens(&self) -> Tokens {
        self.tape.tokens() + self.undelivered_tokens
    }

    /// Moves to another stage.
    pub fn set_stage(&mut self, stage: Stage, now: Instant) {
        if matches!(self.stage, Stage::Queued(_)) {
            self.queue_time += now.saturating_duration_since(self.stage_since);
        }
        self.stage = stage;
        self.stage_since = now;
    }
}
