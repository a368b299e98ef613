//! Exponential backoff with jitter.
//!
//! Each delay is chosen at random between half of a bound and the bound, which doubles after each
//! delay.

use std::time::Duration;

/// Delays between the attempts of one call.
#[derive(Clone, Debug)]
pub struct Backoff {
    bound: Duration,
    max: Duration,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `first` and doubles up to `max`.
    pub fn new(first: Duration, max: Duration) -> Self {
        Self { bound: first, max }
    }

    /// Returns the next delay and doubles the bound.
    pub fn delay(&mut self) -> Duration {
        let bound = self.bound;
        self.bound = (self.bound * 2).min(self.max);
        bound.mul_f64(0.5 + fastrand::f64() / 2.0)
    }

    /// Sleeps for the next delay.
    pub async fn wait(&mut self) {
        tokio::time::sleep(self.delay()).await;
    }
}

/// Returns the backoff used for calls to the platform.
pub fn platform() -> Backoff {
    Backoff::new(Duration::from_millis(20), Duration::from_secs(2))
}
