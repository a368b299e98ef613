//! Announces and opens allocation terms.
//!
//! The rules are those of [`sched::term`]. The first delegate applies them; the next delegate takes
//! over if the first has not acted for a while. No leader election is needed, because every write
//! is a compare-and-swap and fails if another delegate wrote first.

use crate::budgets::Budgets;
use crate::members;
use crate::owner::unix_ms;
use indexmap::IndexSet;
use platform::kv::{Client, Error, WriteOutcome};
use sched::term::{Allocator, Stability, StabilityTracker, Step, Terms};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval between checks whether a term is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Additional time that each delegate waits for those ranked before it.
const RANK_DELAY: Duration = Duration::from_secs(2);

/// Announces and opens terms while this daemon is a delegate.
pub async fn run(budgets: Arc<Budgets>, kv: Client) {
    let mut tracker = StabilityTracker::new(Instant::now());
    loop {
        sleep(CHECK_INTERVAL).await;
        let Some(rank) = rank(&budgets) else {
            // While this daemon is not a delegate, another one may open the term that was due.
            tracker = StabilityTracker::new(Instant::now());
            continue;
        };
        let mut live = budgets.view.processes();
        live.sort_by(|left, right| left.vm.cmp(&right.vm));
        let due = budgets.view.with_terms(|terms| terms.is_due(&live));
        let stability = tracker.update(&live, due, Instant::now());
        if let Err(error) =
            advance(&budgets, &kv, &live, stability.delayed_by(RANK_DELAY * rank)).await
        {
            log::info!(
                target: "budget",
                "failed to open the next allocation term; retrying: {error}"
            );
        }
    }
}

/// Returns the rank of this daemon among the delegates, or `None` if it is not a delegate.
fn rank(budgets: &Budgets) -> Option<u32> {
    let delegates = budgets.view.with_members(members::delegates);
    let own = budgets.settings.public_addr();
    delegates.iter().position(|addr| *addr == own).map(|rank| rank as u32)
}

/// Takes the steps towards the next term that are due now.
async fn advance(
    budgets: &Budgets,
    kv: &Client,
    live: &[Allocator],
    stability: Stability,
) -> Result<(), Error> {
    // The second step opens a term that the first one announced.
    for _ in 0..2 {
        take_step(budgets, kv, live, stability).await?;
    }
    Ok(())
}

async fn take_step(
    budgets: &Budgets,
    kv: &Client,
    live: &[Allocator],
    stability: Stability,
) -> Result<(), Error> {
    let (step, revision) = budgets
        .view
        .with_terms(|terms| (terms.next_step(live, stability, unix_ms()), terms.revision));
    let terms = match step {
        Step::Wait => return Ok(()),
        Step::Announce(terms) => terms,
        Step::Open => {
            let records = budgets.records.list().await?;
            budgets.view.with_terms(|terms| terms.terms.opened(&records))
        }
    };
    let value = serde_json::to_vec(&terms).map_err(|error| Error::Malformed(error.to_string()))?;
    match kv.compare_and_swap(members::TERMS_KEY, &value, revision, None).await? {
        WriteOutcome::Done(revision) => {
            budgets.view.update_terms(terms, revision);
            remove_closed(budgets, kv).await
        }
        WriteOutcome::Conflict => budgets.records.fetch_terms().await,
    }
}

/// Deletes the keys of closed allocators that no term refers to any more.
async fn remove_closed(budgets: &Budgets, kv: &Client) -> Result<(), Error> {
    let (terms, closed): (Terms, IndexSet<_>) =
        budgets.view.with_terms(|terms| (terms.terms.clone(), terms.closed.clone()));
    let referenced = terms.allocators();
    let keys: Vec<_> = closed
        .iter()
        .filter(|allocator| !referenced.contains(*allocator))
        .map(|allocator| members::closed_key(*allocator))
        .collect();
    if keys.is_empty() {
        return Ok(());
    }
    kv.delete_all(&keys.iter().map(|key| key.as_str()).collect::<Vec<_>>()).await?;
    budgets.view.remove_closed(&referenced);
    Ok(())
}
