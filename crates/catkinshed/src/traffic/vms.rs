//! Polling of the platform's VM list.

use crate::control::event::{Event, EventSender};
use platform::kv::Error;
use platform::vms::Client;
use std::time::Duration;

/// Reads the VM list once per `interval` and sends it to the control thread.
///
/// While the list cannot be read, the last one remains in effect. A VM whose entry cannot be decoded
/// counts as one that is not listed.
pub async fn poll(client: Client, events: EventSender, interval: Duration) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match client.list().await {
            Ok(entries) => {
                let vms = entries.into_iter().filter_map(|entry| entry.inspect_err(log_odd).ok());
                events.send(Event::VmList(vms.collect()));
            }
            Err(error) => {
                metrics::counter!("vm_list_failures_total").increment(1);
                log::debug!("failed to read the VM list, keeping the last one: {error}");
            }
        }
    }
}

fn log_odd(error: &Error) {
    metrics::counter!("odd_entries_total").increment(1);
    log::warn!(target: "platform", "ignoring an entry of the VM list: {error}");
}
