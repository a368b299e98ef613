//! Orders to model engines.
//!
//! One task carries one order: it appends the engine's tokens to the call's tape, reports progress
//! at intervals, and ends when the stream does. The control thread may tell it to stop, to move the
//! call elsewhere or to cancel it; the task then cancels the order and reports how many tokens the
//! engine generated, so that tokens that nobody received are charged too.

use crate::control::event::{AttemptKey, Event, EventSender};
use crate::output::Output;
use endpoint::engine::{self, Client, CompletionRequest};
use futures::{Stream, StreamExt};
use sched::id::Tokens;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Interval of progress reports.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Why an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer is complete.
    Complete,
    /// The order's token limit is reached.
    Length,
    /// The engine broke off, refused, or was told to stop.
    Aborted {
        /// What happened.
        reason: String,
        /// Tokens that the engine may have generated beyond those received.
        lost: Tokens,
    },
}

/// Tokens since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Tokens received.
    pub tokens: Tokens,
    /// Median time between two of them; a stall of one stream does not show in it.
    pub inter_token_latency: Duration,
    /// Whether the first token is among them.
    pub has_first_token: bool,
    /// Prompt tokens that the engine's cache did not hold, told with the first token.
    pub recomputed_prompt_tokens: Tokens,
}

/// How a task is to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// The order is cancelled, and its end reported.
    Cancel,
    /// The order goes on at the engine for another owner, and nothing is reported.
    Detach,
}

/// One order's run.
pub struct Task {
    /// The call.
    pub key: AttemptKey,
    /// Where events go.
    pub events: EventSender,
    /// The engine.
    pub engine: Client,
    /// The order.
    pub request: CompletionRequest,
    /// Where tokens go.
    pub output: Output,
    /// Tells the task to stop.
    pub stop: oneshot::Receiver<StopMode>,
    /// Longest silence of the engine.
    pub idle_timeout: Duration,
}

impl Task {
    /// Carries the order until it ends.
    pub async fn run(mut self) {
        let end = match self.engine.complete(&self.request).await {
            Ok(stream) => self.receive(stream).await,
            Err(engine::Error::Unreachable(reason)) => Err(Fault::unsent(reason)),
            Err(error) => Err(Fault::sent(&error.to_string())),
        };
        let end = match end {
            Ok(end) => end,
            Err(fault) if fault.detach => return,
            Err(fault) => self.give_up(fault).await,
        };
        self.events.send(Event::ModelEnded { key: self.key, end });
    }

    async fn receive(
        &mut self,
        stream: impl Stream<Item = Result<engine::Event, engine::Error>>,
    ) -> Result<Outcome, Fault> {
        let mut stream = pin!(stream);
        let mut progress = Progress::default();
        let mut gaps = Vec::new();
        let mut last = Instant::now();
        let mut told = last;
        loop {
            let next = tokio::time::timeout(self.idle_timeout, stream.next());
            let event = tokio::select! {
                next = next => next.map_err(|_| Fault::sent("the engine is silent"))?,
                halt = &mut self.stop => return Err(Fault::halted(halt.unwrap_or(StopMode::Cancel))),
            };
            let event = event.ok_or_else(|| Fault::sent("the stream ended early"))?;
            let event = event.map_err(|error| Fault::sent(&error.to_string()))?;
            if let Some(finish) = &event.finish {
                self.report(&mut progress, &mut gaps);
                return Ok(if finish == "length" { Outcome::Length } else { Outcome::Complete });
            }
            self.follow_run(&event);
            if event.index != self.output.tokens() {
                return Err(Fault::sent("the stream has a gap"));
            }
            self.output.push(&event.text);
            let now = Instant::now();
            count(&mut progress, &event, &self.request);
            if event.cached.is_none() {
                gaps.push(now - last);
            }
            last = now;
            if progress.has_first_token || now - told >= PROGRESS_INTERVAL {
                self.report(&mut progress, &mut gaps);
                told = now;
            }
        }
    }

    /// Names the tape's run, and starts it again when the engine did not keep the earlier stream.
    fn follow_run(&self, event: &engine::Event) {
        if event.index == 0 && self.output.tokens() > 0 {
            self.output.restart();
        }
        self.output.set_run(event.run);
    }

    fn report(&self, progress: &mut Progress, gaps: &mut Vec<Duration>) {
        let progress = Progress { inter_token_latency: median(gaps), ..std::mem::take(progress) };
        gaps.clear();
        if progress.tokens > 0 {
            self.events.send(Event::Progress { key: self.key.clone(), progress });
        }
    }

    async fn give_up(&self, fault: Fault) -> Outcome {
        if !fault.sent {
            return Outcome::Aborted { reason: fault.reason, lost: 0 };
        }
        let received = self.output.tokens();
        let generated = match self.engine.cancel(&self.request.request_id).await {
            Ok(generated) => generated,
            Err(_) => self.request.max_tokens,
        };
        Outcome::Aborted { reason: fault.reason, lost: generated.saturating_sub(received) }
    }
}

#[derive(Debug)]
struct Fault {
    reason: String,
    sent: bool,
    detach: bool,
}

impl Fault {
    fn sent(reason: &str) -> Self {
        Self { reason: reason.to_owned(), sent: true, detach: false }
    }

    fn unsent(reason: String) -> Self {
        Self { reason, sent: false, detach: false }
    }

    fn halted(halt: StopMode) -> Self {
        Self { detach: halt == StopMode::Detach, ..Self::sent("told to stop") }
    }
}

fn count(progress: &mut Progress, event: &engine::Event, order: &CompletionRequest) {
    progress.tokens += 1;
    if let Some(cached) = event.cached {
        progress.has_first_token = true;
        let prompt = sched::call::prompt_tokens(&order.prompt);
        progress.recomputed_prompt_tokens = prompt.saturating_sub(cached);
    }
}

fn median(gaps: &mut [Duration]) -> Duration {
    gaps.sort();
    gaps.get(gaps.len() / 2).copied().unwrap_or_default()
}
