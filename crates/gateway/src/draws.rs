//! Draws from programs' durable records, many in one call.
//!
//! After the founders of many programs were lost at once, each program draws. Each call to the
//! key-value service costs the same however many records it changes, so a few daemons, the writers,
//! draw for all others: a writer waits a moment for further draws and makes them together. An owner
//! that no writer answers draws by itself.

use crate::budgets::Budgets;
use crate::records::MAX_CREATED;
use indexmap::IndexMap;
use peer::gateway::DrawOutcome;
use platform::kv::Error;
use sched::id::{ProgramId, VmId};
use sched::spend;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::sleep;

/// Time for which a writer waits for further draws.
const WINDOW: Duration = Duration::from_millis(80);

/// One draw for one owner.
#[derive(Clone, Debug)]
pub struct Draw {
    /// The turn that needs it.
    pub ask: spend::ReservationRequest,
    /// Process of the owner.
    pub owner: VmId,
    /// What is drawn.
    pub draw: spend::Draw,
}

struct Waiting {
    draw: Draw,
    answer: oneshot::Sender<DrawOutcome>,
}

/// Draws that wait to be made together, one for each program.
#[derive(Default)]
pub struct Draws {
    waiting: Mutex<IndexMap<ProgramId, Waiting>>,
}

impl Draws {
    /// Adds a draw; returns how many wait now, or the draw when its program has one waiting.
    fn add(&self, waiting: Waiting) -> Result<usize, Box<Waiting>> {
        let mut all = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        let program = waiting.draw.ask.program.clone();
        if all.contains_key(&program) {
            return Err(Box::new(waiting));
        }
        all.insert(program, waiting);
        Ok(all.len())
    }

    /// Takes all draws.
    fn take(&self) -> Vec<Waiting> {
        let mut all = self.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        all.drain(..).map(|(_, waiting)| waiting).collect()
    }
}

impl Budgets {
    /// Draws together with others.
    pub async fn draw_jointly(self: &Arc<Self>, draw: Draw) -> DrawOutcome {
        let (answer, answered) = oneshot::channel();
        match self.joint.add(Waiting { draw, answer }) {
            Ok(1) => {
                let budgets = self.clone();
                tokio::spawn(async move {
                    sleep(WINDOW).await;
                    budgets.draw_waiting().await;
                });
            }
            Ok(count) if count >= MAX_CREATED => {
                let budgets = self.clone();
                tokio::spawn(async move { budgets.draw_waiting().await });
            }
            Ok(_) => {}
            // Two owners of one program draw at the same time.
            Err(waiting) => {
                let Draw { ask, owner, draw } = &waiting.draw;
                return self.draw(ask, owner, *draw).await;
            }
        }
        answered.await.unwrap_or(DrawOutcome::Unreachable)
    }

    async fn draw_waiting(&self) {
        let mut waiting = self.joint.take();
        let mut calls = Vec::new();
        while !waiting.is_empty() {
            let later = waiting.split_off(waiting.len().min(MAX_CREATED));
            calls.push(self.draw_and_answer(std::mem::replace(&mut waiting, later)));
        }
        futures::future::join_all(calls).await;
    }

    async fn draw_and_answer(&self, waiting: Vec<Waiting>) {
        metrics::histogram!("joint_draws").record(waiting.len() as f64);
        let draws: Vec<&Draw> = waiting.iter().map(|waiting| &waiting.draw).collect();
        let drawn = self.draw_all(&draws).await;
        let results = drawn.unwrap_or_else(|error| {
            let count = draws.len();
            log::info!(target: "budget", count; "records cannot be written together: {error}");
            vec![Some(DrawOutcome::Unreachable); count]
        });
        let pending = waiting.into_iter().zip(results).map(async |(waiting, result)| {
            let Draw { ask, owner, draw } = &waiting.draw;
            let drawn = match result {
                Some(drawn) => drawn,
                None => self.draw(ask, owner, *draw).await,
            };
            // An owner that has gone leaves what was drawn unused.
            let _ = waiting.answer.send(drawn);
        });
        futures::future::join_all(pending).await;
    }

    /// Makes draws in one call; `None` for those that have to be made by themselves.
    async fn draw_all(&self, draws: &[&Draw]) -> Result<Vec<Option<DrawOutcome>>, Error> {
        let programs: Vec<ProgramId> = draws.iter().map(|draw| draw.ask.program.clone()).collect();
        let taken = Mutex::new(vec![0; draws.len()]);
        let now_ms = crate::owner::unix_ms();
        let done = self.records.update_all(&programs, |number, found, roll| {
            let Draw { ask, owner, draw } = draws[number];
            let (record, tokens) =
                spend::record_after_draw(ask, owner, found, *draw, roll, now_ms)?;
            taken.lock().unwrap_or_else(PoisonError::into_inner)[number] = tokens;
            Some(record)
        });
        let done = done.await?;
        let taken = taken.into_inner().unwrap_or_else(PoisonError::into_inner);
        let results = done.into_iter().zip(taken);
        Ok(results.map(|(done, tokens)| done.then_some(DrawOutcome::Tokens(tokens))).collect())
    }
}
