//! Delays between repeated tries: doubled each time, with full jitter.

use std::time::Duration;

/// Delays between tries of one call.
#[derive(Clone, Debug)]
pub struct Backoff {
    next: Duration,
    max: Duration,
}

impl Backoff {
    /// Starts at `first` and doubles up to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { next: first, max }
    }

    /// Returns the next delay.
    pub fn delay(&mut self) -> Duration {
        let ceiling = self.next;
        self.next = (self.next * 2).min(self.max);
        ceiling.mul_f64(0.5 + fastrand::f64() / 2.0)
    }

    /// Waits for the next delay.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.delay()).await;
    }
}

/// Delays for calls to the platform.
pub fn platform() -> Backoff {
    Backoff::new(Duration::from_millis(20), Duration::from_secs(2))
}
