//! Polling of the platform's VM list.

use crate::control::event::{Event, EventSender};
use platform::vms::Client;
use std::time::Duration;

/// Reads the VM list once per `interval` and sends it to the control thread.
///
/// While the list cannot be read, the last one remains in effect.
pub async fn poll(client: Client, events: EventSender, interval: Duration) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match client.list().await {
            Ok(list) => events.send(Event::VmList(list)),
            Err(error) => {
                metrics::counter!("vm_list_failures_total").increment(1);
                log::debug!("failed to read the VM list, keeping the last one: {error}");
            }
        }
    }
}
