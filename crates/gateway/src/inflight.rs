//! Tracks work in progress, so that a shutdown can wait until it has finished.

use std::sync::Arc;
use tokio::sync::watch;

/// Counter of requests or connections in progress; clones share one count.
#[derive(Clone, Debug)]
pub struct Tracker(Arc<watch::Sender<usize>>);

impl Default for Tracker {
    fn default() -> Self {
        Self(Arc::new(watch::Sender::new(0)))
    }
}

impl Tracker {
    /// Counts a request or connection until the returned guard is dropped.
    pub fn track(&self) -> Guard {
        self.0.send_modify(|count| *count += 1);
        Guard(self.clone())
    }

    /// Waits until the count is zero.
    pub async fn wait_idle(&self) {
        let mut receiver = self.0.subscribe();
        // `self` keeps the sender alive, so `wait_for` cannot fail.
        let _ = receiver.wait_for(|count| *count == 0).await;
    }
}

/// Guard of one request or connection in progress; decrements the count when dropped.
#[derive(Debug)]
pub struct Guard(Tracker);

impl Drop for Guard {
    fn drop(&mut self) {
        self.0.0.send_modify(|count| *count -= 1);
    }
}
