//! Rate limit on commits, so that each daemon uses only its share of the key-value service's
//! writes.
//!
//! Permits accrue at a fixed interval up to a burst limit. An idle daemon can therefore commit at
//! once, while a busy one puts more entries into each commit.

use std::time::{Duration, Instant};

/// Maximum number of accrued permits; a commit takes one.
const MAX_PERMITS: f64 = 12.0;

/// Token bucket for one daemon's commits.
#[derive(Clone, Debug)]
pub struct Pacer {
    interval: Duration,
    permits: f64,
    updated: Instant,
}

impl Pacer {
    /// Creates a pacer that starts with a full burst of permits and gains one per `interval`.
    pub fn new(interval: Duration, now: Instant) -> Self {
        Self { interval, permits: MAX_PERMITS, updated: now }
    }

    /// Takes one permit; returns whether one was available.
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        let elapsed = now.saturating_duration_since(self.updated).as_secs_f64();
        let gained = elapsed / self.interval.as_secs_f64().max(f64::MIN_POSITIVE);
        self.permits = (self.permits + gained).min(MAX_PERMITS);
        self.updated = now;
        let allowed = self.permits >= 1.0;
        if allowed {
            self.permits -= 1.0;
        }
        allowed
    }
}
