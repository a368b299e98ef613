//! Reading of the VM list.

use crate::control::event::{Event, EventSender};
use platform::vms::Client;
use std::time::Duration;

/// Reads the list at each interval and hands it to the control thread.
///
/// While the list is out of reach, the last one stays in force.
pub async fn poll(client: Client, events: EventSender, interval: Duration) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match client.list().await {
            Ok(list) => events.send(Event::VmList(list)),
            Err(error) => {
                metrics::counter!("vm_list_failures_total").increment(1);
                log::debug!("the VM list is not read: {error}");
            }
        }
    }
}
