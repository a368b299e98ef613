//! Estimates of answer lengths and pauses from observed values.
//!
//! Values, in tokens or in milliseconds, are learned per team and kind of program. Lengths are
//! learned from what was generated, never from the requested maximum. Each key has an exponentially
//! weighted mean and mean deviation. The predicted value is the mean; a reservation adds a margin
//! of deviations. Unknown keys use the estimate over all keys.

use crate::id::Tokens;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.15;
/// Mean before the first value is learned.
const INITIAL_MEAN: f64 = 64.0;
/// Number of deviations added to the mean of a reservation.
const RESERVATION_MARGIN: f64 = 1.0;
/// Maximum number of keys; beyond it, a new key evicts the one at the first position.
const MAX_KEYS: usize = 20_000;

/// Exponentially weighted mean and mean deviation.
#[derive(Clone, Copy, Debug)]
struct Average {
    mean: f64,
    deviation: f64,
}

impl Average {
    fn learn(&mut self, sample: f64) {
        let error = sample - self.mean;
        self.mean += SMOOTHING * error;
        self.deviation += SMOOTHING * (error.abs() - self.deviation);
    }
}

/// Estimates per team and kind of program.
#[derive(Clone, Debug)]
pub struct Estimates {
    overall: Average,
    keys: IndexMap<CompactString, Average>,
}

impl Default for Estimates {
    fn default() -> Self {
        let overall = Average { mean: INITIAL_MEAN, deviation: INITIAL_MEAN / 2.0 };
        Self { overall, keys: IndexMap::new() }
    }
}

impl Estimates {
    /// Returns the expected value.
    pub fn predict(&self, team: &str, kind: &str) -> u64 {
        self.average(team, kind).mean.ceil() as u64
    }

    /// Returns the number of tokens to reserve for an answer: the expected number plus a margin, at
    /// least 1 and at most `requested`.
    pub fn reservation(&self, team: &str, kind: &str, requested: Tokens) -> Tokens {
        let average = self.average(team, kind);
        let tokens = (average.mean + RESERVATION_MARGIN * average.deviation).ceil() as Tokens;
        tokens.min(requested).max(1)
    }

    /// Updates the estimates with an observed value.
    pub fn learn(&mut self, team: &str, kind: &str, value: u64) {
        let sample = value as f64;
        self.overall.learn(sample);
        if let Some(average) = self.keys.get_mut(&key(team, kind)) {
            average.learn(sample);
            return;
        }
        if self.keys.len() >= MAX_KEYS {
            self.keys.swap_remove_index(0);
        }
        self.keys.insert(key(team, kind), Average { mean: sample, deviation: sample / 2.0 });
    }

    fn average(&self, team: &str, kind: &str) -> Average {
        self.keys.get(&key(team, kind)).copied().unwrap_or(self.overall)
    }
}

fn key(team: &str, kind: &str) -> CompactString {
    format_compact!("{team}/{kind}")
}
