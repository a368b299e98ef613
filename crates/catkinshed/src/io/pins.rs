//! Release of engine memory.

use super::backoff::Backoff;
use crate::control::event::{Event, EventSender};
use endpoint::engine::Client;
use sched::id::{EndpointId, LogId, ProgramId};
use std::time::Duration;

/// Tries of one release before the sweep takes it up again.
const TRIES: usize = 5;

/// Releases the memory that an engine holds for a program.
pub async fn release(
    engine: Client,
    events: EventSender,
    log: LogId,
    endpoint: EndpointId,
    program: ProgramId,
) {
    let mut backoff = Backoff::new(Duration::from_millis(50), Duration::from_secs(1));
    for _ in 0..TRIES {
        if engine.release(&program).await.is_ok() {
            metrics::counter!("pins_released_total").increment(1);
            events.send(Event::PinReleased { log, endpoint, program });
            return;
        }
        backoff.wait().await;
    }
    metrics::counter!("pin_release_failures_total").increment(1);
}

/// Reads which programs an engine holds memory for.
pub async fn list(engine: Client, events: EventSender, endpoint: EndpointId) {
    if let Ok(programs) = engine.pins().await {
        events.send(Event::PinList { endpoint, programs });
    }
}
