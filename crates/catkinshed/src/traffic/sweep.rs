//! Release and listing of the memory that engines pin for programs.

use super::backoff::Backoff;
use crate::control::event::{Event, EventSender};
use endpoint::engine::Client;
use sched::id::{EndpointId, LogId, ProgramId};
use std::time::Duration;

/// Maximum number of attempts to release the memory of one program; if all fail, the periodic sweep
/// of the engines retries the release.
const MAX_ATTEMPTS: usize = 5;

/// Releases the memory that an engine pins for a program, and reports success as
/// [`Event::PinReleased`].
pub async fn release(
    engine: Client,
    events: EventSender,
    log: LogId,
    endpoint: EndpointId,
    program: ProgramId,
) {
    let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(1));
    for _ in 0..MAX_ATTEMPTS {
        if engine.release(&program).await.is_ok() {
            metrics::counter!("pins_released_total").increment(1);
            events.send(Event::PinReleased { log, endpoint, program });
            return;
        }
        backoff.wait().await;
    }
    metrics::counter!("pin_release_failures_total").increment(1);
}

/// Lists the programs for which an engine pins memory, and reports them as [`Event::PinList`].
///
/// Reports nothing when the request to the engine fails.
pub async fn list(engine: Client, events: EventSender, endpoint: EndpointId) {
    if let Ok(programs) = engine.pins().await {
        events.send(Event::PinList { endpoint, programs });
    }
}
