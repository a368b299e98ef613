//! Batches draws from programs' durable records into a few calls.
//!
//! When the allocators of many programs fail at once, every one of those programs draws. A call to
//! the key-value service costs the same however many records it changes, so a few members, the
//! writers, draw on behalf of all owners: a writer collects draws for a short time and makes them
//! in one call. An owner that gets no answer from a writer draws directly.

use crate::budgets::Budgets;
use crate::records::MAX_BATCH;
use indexmap::IndexMap;
use peer::gateway::DrawOutcome;
use platform::kv::Error;
use sched::id::{ProgramId, VmId};
use sched::spend;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Time for which a writer collects further draws after the first one.
const BATCH_WINDOW: Duration = Duration::from_millis(80);

/// A draw on behalf of one owner.
#[derive(Clone, Debug)]
pub struct Draw {
    /// The turn that needs the draw.
    pub request: spend::ReservationRequest,
    /// Process of the owner.
    pub owner: VmId,
    /// Tokens to draw.
    pub draw: spend::Draw,
}

struct PendingDraw {
    draw: Draw,
    reply: oneshot::Sender<DrawOutcome>,
}

/// Draws that wait to be made in one call, at most one for each program.
#[derive(Default)]
pub struct Batch {
    pending: Mutex<IndexMap<ProgramId, PendingDraw>>,
}

impl Batch {
    /// Adds a draw and returns how many are pending now.
    ///
    /// Returns the draw as the error if one of its program is already pending.
    fn add(&self, pending: PendingDraw) -> Result<usize, Box<PendingDraw>> {
        let mut all = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let program = pending.draw.request.program.clone();
        if all.contains_key(&program) {
            return Err(Box::new(pending));
        }
        all.insert(program, pending);
        Ok(all.len())
    }

    /// Removes and returns all pending draws.
    fn take(&self) -> Vec<PendingDraw> {
        let mut all = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        all.drain(..).map(|(_, pending)| pending).collect()
    }
}

impl Budgets {
    /// Adds a draw to the batch and waits for its outcome.
    pub async fn draw_batched(self: &Arc<Self>, draw: Draw) -> DrawOutcome {
        let (reply, outcome) = oneshot::channel();
        match self.draw_batch.add(PendingDraw { draw, reply }) {
            Ok(1) => {
                let budgets = self.clone();
                tokio::spawn(async move {
                    sleep(BATCH_WINDOW).await;
                    budgets.flush_batch().await;
                });
            }
            Ok(count) if count >= MAX_BATCH => {
                let budgets = self.clone();
                tokio::spawn(async move { budgets.flush_batch().await });
            }
            Ok(_) => {}
            // Two owners draw for the same program at the same time.
            Err(pending) => {
                let Draw { request, owner, draw } = &pending.draw;
                return self.draw(request, owner, *draw).await;
            }
        }
        outcome.await.unwrap_or(DrawOutcome::Unreachable)
    }

    async fn flush_batch(&self) {
        let mut pending = self.draw_batch.take();
        let mut calls = Vec::new();
        while !pending.is_empty() {
            let rest = pending.split_off(pending.len().min(MAX_BATCH));
            calls.push(self.draw_chunk(std::mem::replace(&mut pending, rest)));
        }
        futures::future::join_all(calls).await;
    }

    async fn draw_chunk(&self, chunk: Vec<PendingDraw>) {
        metrics::histogram!("joint_draws").record(chunk.len() as f64);
        let draws: Vec<&Draw> = chunk.iter().map(|pending| &pending.draw).collect();
        let outcomes = self.draw_together(&draws).await;
        let outcomes = outcomes.unwrap_or_else(|error| {
            let count = draws.len();
            log::info!(
                target: "budget", count;
                "failed to write a batch of budget records: {error}"
            );
            vec![Some(DrawOutcome::Unreachable); count]
        });
        let replies = chunk.into_iter().zip(outcomes).map(async |(pending, outcome)| {
            let Draw { request, owner, draw } = &pending.draw;
            let outcome = match outcome {
                Some(outcome) => outcome,
                None => self.draw(request, owner, *draw).await,
            };
            // If the owner no longer waits, the drawn tokens stay unused.
            let _ = pending.reply.send(outcome);
        });
        futures::future::join_all(replies).await;
    }

    /// Makes draws in one call.
    ///
    /// An outcome is `None` if that draw has to be made on its own.
    async fn draw_together(&self, draws: &[&Draw]) -> Result<Vec<Option<DrawOutcome>>, Error> {
        let programs: Vec<ProgramId> =
            draws.iter().map(|draw| draw.request.program.clone()).collect();
        let drawn = Mutex::new(vec![0; draws.len()]);
        let now_ms = crate::owner::unix_ms();
        let written = self.records.update_all(&programs, |index, found, terms| {
            let Draw { request, owner, draw } = draws[index];
            let (record, tokens) =
                spend::record_after_draw(request, owner, found, *draw, terms, now_ms)?;
            drawn.lock().unwrap_or_else(PoisonError::into_inner)[index] = tokens;
            Some(record)
        });
        let written = written.await?;
        let drawn = drawn.into_inner().unwrap_or_else(PoisonError::into_inner);
        let outcomes = written.into_iter().zip(drawn);
        Ok(outcomes
            .map(|(written, tokens)| written.then_some(DrawOutcome::Tokens(tokens)))
            .collect())
    }
}
