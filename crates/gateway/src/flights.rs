//! Count of what is under way, for a stop to wait for.

use std::sync::Arc;
use tokio::sync::watch;

/// Count of requests or connections under way.
#[derive(Clone, Debug)]
pub struct Flights(Arc<watch::Sender<usize>>);

impl Default for Flights {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl Flights {
    /// Counts something until its guard is dropped.
    pub fn begin(&self) -> Flight {
        self.0.send_modify(|count| *count += 1);
        Flight(self.clone())
    }

    /// Waits until nothing is under way.
    pub async fn landed(&self) {
        let mut receiver = self.0.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}

/// Something under way.
#[derive(Debug)]
pub struct Flight(Flights);

impl Drop for Flight {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
