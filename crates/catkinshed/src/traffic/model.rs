//! Completion requests to model engines.
//!
//! One task handles one request: it appends the tokens that the engine streams to the call's
//! output, reports progress at intervals, and ends with the stream. The control thread may stop the
//! task early, for example to move the call to another endpoint or to cancel it. Unless it is told
//! to detach, the task then cancels the request and reports how many tokens the engine generated, so
//! that tokens which were generated but not received are charged too.

use crate::control::event::{AttemptKey, Event, EventSender};
use crate::output::Output;
use endpoint::engine::{self, Client, CompletionRequest};
use futures::{Stream, StreamExt};
use sched::id::Tokens;
use std::pin::pin;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Interval of progress reports; the first token and the end of the stream are reported at once.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The completion ended before the request's token limit.
    Complete,
    /// The completion reached the request's token limit.
    Length,
    /// The request failed, or the control thread stopped it.
    Aborted {
        /// Why the request was aborted.
        reason: String,
        /// Tokens that the engine may have generated but that were not received.
        lost: Tokens,
    },
}

/// Progress of a request since the last report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// Number of tokens received.
    pub tokens: Tokens,
    /// Median time between consecutive tokens, which a single stall of the stream does not affect.
    pub inter_token_latency: Duration,
    /// Whether the first token of the request is among them.
    pub has_first_token: bool,
    /// Prompt tokens that were not in the engine's cache; set together with the first token.
    pub recomputed_prompt_tokens: Tokens,
}

/// How the control thread stops a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopMode {
    /// Cancels the request at the engine and reports the result.
    Cancel,
    /// Leaves the request running at the engine for another owner of the log, and reports nothing.
    Detach,
}

/// Task that handles one completion request.
pub struct Task {
    /// Attempt at the call that the request belongs to.
    pub key: AttemptKey,
    /// Sender of events to the control thread.
    pub events: EventSender,
    /// Client of the engine.
    pub engine: Client,
    /// Request to send.
    pub request: CompletionRequest,
    /// Output of the call, to which received tokens are appended.
    pub output: Output,
    /// Receives the signal to stop; a dropped sender means [`StopMode::Cancel`].
    pub stop: oneshot::Receiver<StopMode>,
    /// Maximum time to wait for the next event of the stream.
    pub idle_timeout: Duration,
}

impl Task {
    /// Sends the request, receives its stream, and reports the result as [`Event::ModelEnded`].
    pub async fn run(mut self) {
        let result = match self.engine.complete(&self.request).await {
            Ok(stream) => self.receive(stream).await,
            Err(engine::Error::Unreachable(reason)) => Err(Abort::unsent(reason)),
            Err(error) => Err(Abort::sent(&error.to_string())),
        };
        let outcome = match result {
            Ok(outcome) => outcome,
            Err(abort) if abort.detach => return,
            Err(abort) => self.abort(abort).await,
        };
        self.events.send(Event::ModelEnded { key: self.key, result: outcome });
    }

    async fn receive(
        &mut self,
        stream: impl Stream<Item = Result<engine::Event, engine::Error>>,
    ) -> Result<Outcome, Abort> {
        let mut stream = pin!(stream);
        let mut progress = Progress::default();
        let mut intervals = Vec::new();
        let mut last = Instant::now();
        let mut last_report = last;
        loop {
            let next = tokio::time::timeout(self.idle_timeout, stream.next());
            let event = tokio::select! {
                next = next => next.map_err(|_| Abort::sent("the engine's stream timed out"))?,
                mode = &mut self.stop => {
                    return Err(Abort::stopped(mode.unwrap_or(StopMode::Cancel)));
                }
            };
            let event =
                event.ok_or_else(|| Abort::sent("the stream ended before the completion"))?;
            let event = event.map_err(|error| Abort::sent(&error.to_string()))?;
            if let Some(finish) = &event.finish {
                self.report(&mut progress, &mut intervals);
                return Ok(if finish == "length" { Outcome::Length } else { Outcome::Complete });
            }
            self.track_run(&event);
            if event.index != self.output.tokens() {
                return Err(Abort::sent("a token of the stream is missing"));
            }
            self.output.push(&event.text);
            let now = Instant::now();
            record_token(&mut progress, &event, &self.request);
            if event.cached.is_none() {
                intervals.push(now - last);
            }
            last = now;
            if progress.has_first_token || now - last_report >= PROGRESS_INTERVAL {
                self.report(&mut progress, &mut intervals);
                last_report = now;
            }
        }
    }

    /// Sets the run of the output, and clears the output when the engine starts the stream over
    /// because it no longer keeps the earlier one.
    fn track_run(&self, event: &engine::Event) {
        if event.index == 0 && self.output.tokens() > 0 {
            self.output.restart();
        }
        self.output.set_run(event.run);
    }

    fn report(&self, progress: &mut Progress, intervals: &mut Vec<Duration>) {
        let progress =
            Progress { inter_token_latency: median(intervals), ..std::mem::take(progress) };
        intervals.clear();
        if progress.tokens > 0 {
            self.events.send(Event::Progress { key: self.key.clone(), progress });
        }
    }

    /// Cancels the request at the engine if it may have been sent, and returns the outcome.
    ///
    /// If the engine does not answer, all tokens up to the request's limit count as generated.
    async fn abort(&self, abort: Abort) -> Outcome {
        if !abort.sent {
            return Outcome::Aborted { reason: abort.reason, lost: 0 };
        }
        let received = self.output.tokens();
        let generated = match self.engine.cancel(&self.request.request_id).await {
            Ok(generated) => generated,
            Err(_) => self.request.max_tokens,
        };
        Outcome::Aborted { reason: abort.reason, lost: generated.saturating_sub(received) }
    }
}

/// Why a request is aborted, and whether it may have been sent or is left running.
#[derive(Debug)]
struct Abort {
    reason: String,
    sent: bool,
    detach: bool,
}

impl Abort {
    fn sent(reason: &str) -> Self {
        Self { reason: reason.to_owned(), sent: true, detach: false }
    }

    fn unsent(reason: String) -> Self {
        Self { reason, sent: false, detach: false }
    }

    fn stopped(mode: StopMode) -> Self {
        Self { detach: mode == StopMode::Detach, ..Self::sent("stopped by the scheduler") }
    }
}

fn record_token(progress: &mut Progress, event: &engine::Event, request: &CompletionRequest) {
    progress.tokens += 1;
    if let Some(cached) = event.cached {
        progress.has_first_token = true;
        let prompt = sched::call::prompt_tokens(&request.prompt);
        progress.recomputed_prompt_tokens = prompt.saturating_sub(cached);
    }
}

fn median(intervals: &mut [Duration]) -> Duration {
    intervals.sort();
    intervals.get(intervals.len() / 2).copied().unwrap_or_default()
}
