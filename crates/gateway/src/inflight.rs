//! Count of what is under way, for a stop to wait for.

use std::sync::Arc;
use tokio::sync::watch;

/// Count of requests or connections under way.
#[derive(Clone, Debug)]
pub struct Tracker(Arc<watch::Sender<usize>>);

impl Default for Tracker {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl Tracker {
    /// Counts something until its guard is dropped.
    pub fn track(&self) -> Guard {
        self.0.send_modify(|count| *count += 1);
        Guard(self.clone())
    }

    /// Waits until nothing is under way.
    pub async fn wait_idle(&self) {
        let mut receiver = self.0.subscribe();
        // The sender lives as long as `self`, so waiting cannot fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}

/// Something under way.
#[derive(Debug)]
pub struct Guard(Tracker);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
