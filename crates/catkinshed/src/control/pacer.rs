//! Pacing of commits: each daemon spends a share of the key-value service's writes.
//!
//! Commits earn at a fixed interval and may be saved up to a burst, so that a quiet daemon commits
//! at once and a busy one packs more entries into each commit.

use std::time::{Duration, Instant};

/// Commits that may be saved up.
const BURST: f64 = 12.0;

/// Pace of one daemon's commits.
#[derive(Clone, Debug)]
pub struct Pacer {
    interval: Duration,
    saved: f64,
    last: Instant,
}

impl Pacer {
    /// Allows one commit each `interval` in the long run.
    pub fn new(interval: Duration, now: Instant) -> Self {
        Self { interval, saved: BURST, last: now }
    }

    /// Takes one commit from what is saved up; returns whether there was one.
    pub fn take(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.last).as_secs_f64();
        let earned = passed / self.interval.as_secs_f64().max(f64::MIN_POSITIVE);
        self.saved = (self.saved + earned).min(BURST);
        self.last = now;
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}
