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
pub enum End {
    /// The answer is complete.
    Stopped,
    /// The order's token limit is reached.
    Length,
    /// The engine broke off, refused, or was told to stop.
    Broken {
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
    pub gap: Duration,
    /// Whether the first token is among them.
    pub first: bool,
    /// Prompt tokens that the engine's cache did not hold, told with the first token.
    pub recomputed: Tokens,
}

/// How a task is to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Halt {
    /// The order is cancelled, and its end reported.
    Cancel,
    /// The order goes on at the engine for another owner, and nothing is reported.
    Detach,
}

/// One order's run.
pub struct Run {
    /// The call.
    pub key: AttemptKey,
    /// Where events go.
    pub events: EventSender,
    /// The engine.
    pub engine: Client,
    /// The order.
    pub order: CompletionRequest,
    /// Where tokens go.
    pub tape: Output,
    /// Tells the task to stop.
    pub stop: oneshot::Receiver<Halt>,
    /// Longest silence of the engine.
    pub silence: Duration,
}

impl Run {
    /// Carries the order until it ends.
    pub async fn run(mut self) {
        let end = match self.engine.complete(&self.order).await {
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
    ) -> Result<End, Fault> {
        let mut stream = pin!(stream);
        let mut progress = Progress::default();
        let mut gaps = Vec::new();
        let mut last = Instant::now();
        let mut told = last;
        loop {
            let next = tokio::time::timeout(self.silence, stream.next());
            let event = tokio::select! {
                next = next => next.map_err(|_| Fault::sent("the engine is silent"))?,
                halt = &mut self.stop => return Err(Fault::halted(halt.unwrap_or(Halt::Cancel))),
            };
            let event = event.ok_or_else(|| Fault::sent("the stream ended early"))?;
            let event = event.map_err(|error| Fault::sent(&error.to_string()))?;
            if let Some(finish) = &event.finish {
                self.report(&mut progress, &mut gaps);
                return Ok(if finish == "length" { End::Length } else { End::Stopped });
            }
            self.follow_run(&event);
            if event.index != self.tape.tokens() {
                return Err(Fault::sent("the stream has a gap"));
            }
            self.tape.push(&event.text);
            let now = Instant::now();
            count(&mut progress, &event, &self.order);
            if event.cached.is_none() {
                gaps.push(now - last);
            }
            last = now;
            if progress.first || now - told >= PROGRESS_INTERVAL {
                self.report(&mut progress, &mut gaps);
                told = now;
            }
        }
    }

    /// Names the tape's run, and starts it again when the engine did not keep the earlier stream.
    fn follow_run(&self, event: &engine::Event) {
        if event.index == 0 && self.tape.tokens() > 0 {
            self.tape.restart();
        }
        self.tape.set_run(event.run);
    }

    fn report(&self, progress: &mut Progress, gaps: &mut Vec<Duration>) {
        let progress = Progress { gap: median(gaps), ..std::mem::take(progress) };
        gaps.clear();
        if progress.tokens > 0 {
            self.events.send(Event::Progress { key: self.key.clone(), progress });
        }
    }

    async fn give_up(&self, fault: Fault) -> End {
        if !fault.sent {
            return End::Broken { reason: fault.reason, lost: 0 };
        }
        let received = self.tape.tokens();
        let generated = match self.engine.cancel(&self.order.request_id).await {
            Ok(generated) => generated,
            Err(_) => self.order.max_tokens,
        };
        End::Broken { reason: fault.reason, lost: generated.saturating_sub(received) }
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

    fn halted(halt: Halt) -> Self {
        Self { detach: halt == Halt::Detach, ..Self::sent("told to stop") }
    }
}

fn count(progress: &mut Progress, event: &engine::Event, order: &CompletionRequest) {
    progress.tokens += 1;
    if let Some(cached) = event.cached {
        progress.first = true;
        let prompt = sched::call::prompt_tokens(&order.prompt);
        progress.recomputed = prompt.saturating_sub(cached);
    }
}

fn median(gaps: &mut [Duration]) -> Duration {
    gaps.sort();
    gaps.get(gaps.len() / 2).copied().unwrap_or_default()
}
