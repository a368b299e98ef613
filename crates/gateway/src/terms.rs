//! Opens the founders' terms.
//!
//! The rules are those of [`sched::term`]. The first delegate carries them out; another one does when
//! the first has not for a while, so nobody has to agree on who it is: a write that another one
//! overtook does not take effect.

use crate::budgets::Budgets;
use crate::members;
use crate::owner::unix_ms;
use indexmap::IndexSet;
use platform::kv::{Client, Error, WriteOutcome};
use sched::term::{Allocator, Stability, StabilityTracker, Step, Terms};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Interval of looks at the live daemons.
const CHECK: Duration = Duration::from_millis(250);
/// Time that each delegate leaves to the one before it.
const TURN: Duration = Duration::from_secs(2);

/// Opens terms while this daemon is a delegate.
pub async fn run(budgets: Arc<Budgets>, kv: Client) {
    let mut watch = StabilityTracker::new(Instant::now());
    loop {
        sleep(CHECK).await;
        let Some(rank) = rank(&budgets) else {
            // What was due before may have been done meanwhile.
            watch = StabilityTracker::new(Instant::now());
            continue;
        };
        let mut live = budgets.view.processes();
        live.sort_by(|left, right| left.vm.cmp(&right.vm));
        let due = budgets.view.with_terms(|roll| roll.is_due(&live));
        let calm = watch.update(&live, due, Instant::now());
        if let Err(error) = advance(&budgets, &kv, &live, calm.delayed_by(TURN * rank)).await {
            log::info!(target: "budget", "the founders' term is not opened yet: {error}");
        }
    }
}

/// Place of this daemon among the delegates.
fn rank(budgets: &Budgets) -> Option<u32> {
    let delegates = budgets.view.with_members(members::delegates);
    let own = budgets.settings.public_addr();
    delegates.iter().position(|addr| *addr == own).map(|rank| rank as u32)
}

/// Carries out the steps to the next term that are due.
async fn advance(
    budgets: &Budgets,
    kv: &Client,
    live: &[Allocator],
    calm: Stability,
) -> Result<(), Error> {
    // A term that this daemon announces it opens at once.
    for _ in 0..2 {
        take_step(budgets, kv, live, calm).await?;
    }
    Ok(())
}

async fn take_step(
    budgets: &Budgets,
    kv: &Client,
    live: &[Allocator],
    calm: Stability,
) -> Result<(), Error> {
    let (step, revision) =
        budgets.view.with_terms(|roll| (roll.next_step(live, calm, unix_ms()), roll.revision));
    let terms = match step {
        Step::Wait => return Ok(()),
        Step::Announce(terms) => terms,
        Step::Open => {
            let records = budgets.records.all().await?;
            budgets.view.with_terms(|roll| roll.terms.opened(&records))
        }
    };
    let value = serde_json::to_vec(&terms).map_err(|error| Error::Malformed(error.to_string()))?;
    match kv.compare_and_swap(members::TERMS_KEY, &value, revision, None).await? {
        WriteOutcome::Done(revision) => {
            budgets.view.update_terms(terms, revision);
            forget_closed(budgets, kv).await
        }
        WriteOutcome::Conflict => budgets.records.fetch_terms().await,
    }
}

/// Deletes the keys of closed founders that no term names any more.
async fn forget_closed(budgets: &Budgets, kv: &Client) -> Result<(), Error> {
    let (terms, closed): (Terms, IndexSet<_>) =
        budgets.view.with_terms(|roll| (roll.terms.clone(), roll.closed.clone()));
    let named = terms.allocators();
    let keys: Vec<_> = closed
        .iter()
        .filter(|founder| !named.contains(*founder))
        .map(|founder| members::closed_key(*founder))
        .collect();
    if keys.is_empty() {
        return Ok(());
    }
    kv.delete_all(&keys.iter().map(|key| key.as_str()).collect::<Vec<_>>()).await?;
    budgets.view.remove_closed(&named);
    Ok(())
}
