//! Handles requests to retire storage VMs.
//!
//! Storage VMs hold no durable data, so a retiring VM only has to be reported as empty. To avoid
//! concurrent reports, the daemons are ranked by rendezvous hashing of the VM's name: the first one
//! reports at once, and each of the others waits in proportion to its rank and then finds the
//! report already written.

use crate::view::View;
use platform::config;
use platform::kv::{Client, Error, WriteOutcome};
use sched::id::VmId;
use sched::members;
use std::time::Duration;
use tokio::time::sleep;

/// Delay per daemon that ranks before this one.
const RANK_DELAY: Duration = Duration::from_millis(300);
/// Delay before a failed report is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of attempts; after that, the report is left to the other daemons.
const MAX_ATTEMPTS: u32 = 20;

/// Reports that the storage VM named `vm` is empty. `own_vm` is the VM of this daemon.
pub async fn report(kv: &Client, view: &View, own_vm: &VmId, vm: &str) {
    let rank = view.with_members(|live| {
        let own_weight = members::weight(&vm, own_vm);
        live.keys().filter(|other| members::weight(&vm, other) > own_weight).count()
    });
    sleep(RANK_DELAY * rank as u32).await;
    for _ in 0..MAX_ATTEMPTS {
        match report_once(kv, vm).await {
            Ok(()) => {
                log::info!(target: "retire", vm, before = rank; "reported the storage VM as empty");
                return;
            }
            Err(error) => log::debug!(target: "retire", vm; "failed to report the VM: {error}"),
        }
        sleep(RETRY_DELAY).await;
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
