//! Requests to empty a storage VM.
//!
//! Nothing that must last lies on storage VMs, so each is empty and only has to be reported so. The
//! daemons take turns by the hash of the VM's name: the first reports at once, the others wait for
//! their turn and find the report there.

use crate::view::View;
use platform::config;
use platform::kv::{Client, Error, WriteOutcome};
use sched::id::VmId;
use sched::members;
use std::time::Duration;
use tokio::time::sleep;

/// Time that a daemon leaves to each of those before it.
const TURN: Duration = Duration::from_millis(300);
/// Pause before a failed report is tried again.
const RETRY: Duration = Duration::from_millis(300);
/// Tries before the report is left to the next listing.
const MAX_TRIES: u32 = 20;

/// Reports that the storage VM named `vm` is empty.
pub async fn report(kv: &Client, view: &View, me: &VmId, vm: &str) {
    let before = view.with_members(|live| {
        let own = members::weight(&vm, me);
        live.keys().filter(|other| members::weight(&vm, other) > own).count()
    });
    sleep(TURN * before as u32).await;
    for _ in 0..MAX_TRIES {
        match report_once(kv, vm).await {
            Ok(()) => {
                log::info!(target: "retire", vm, before; "the VM is reported empty");
                return;
            }
            Err(error) => log::debug!(target: "retire", vm; "not reported yet: {error}"),
        }
        sleep(RETRY).await;
    }
}

async fn report_once(kv: &Client, vm: &str) -> Result<(), Error> {
    let key = config::retire_status_key(vm);
    let found = kv.get(&key).await?;
    if found.as_ref().is_some_and(|found| found.value == config::RETIRE_DONE) {
        return Ok(());
    }
    let revision = found.map_or(0, |found| found.revision);
    match kv.compare_and_swap(&key, config::RETIRE_DONE, revision, None).await? {
        WriteOutcome::Done(_) | WriteOutcome::Conflict => Ok(()),
    }
}
