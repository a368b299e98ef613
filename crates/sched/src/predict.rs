//! Estimates of answer lengths and pauses from what was seen.
//!
//! Values, in tokens or in milliseconds, are learned per team and kind of program, and lengths never
//! from the asked maximum. Each key keeps
//! an exponentially weighted mean and mean deviation; a prediction is the mean plus a margin of
//! deviations. Unknown keys start from the mean over all keys.

use crate::id::Tokens;
use compact_str::{CompactString, format_compact};
use indexmap::IndexMap;

/// Weight of a new sample.
const GAIN: f64 = 0.15;
/// Value assumed before anything was seen.
const FIRST_GUESS: f64 = 64.0;
/// Deviations added to the mean when memory is reserved.
const MARGIN: f64 = 1.0;
/// Most keys kept; the oldest are dropped first.
const MAX_KEYS: usize = 20_000;

#[derive(Clone, Copy, Debug)]
struct Track {
    mean: f64,
    deviation: f64,
}

impl Track {
    fn learn(&mut self, sample: f64) {
        let error = sample - self.mean;
        self.mean += GAIN * error;
        self.deviation += GAIN * (error.abs() - self.deviation);
    }
}

/// Values seen so far.
#[derive(Clone, Debug)]
pub struct Estimates {
    overall: Track,
    keys: IndexMap<CompactString, Track>,
}

impl Default for Estimates {
    fn default() -> Self {
        let overall = Track { mean: FIRST_GUESS, deviation: FIRST_GUESS / 2.0 };
        Self { overall, keys: IndexMap::new() }
    }
}

impl Estimates {
    /// Expected value.
    pub fn predict(&self, team: &str, kind: &str) -> u64 {
        self.track(team, kind).mean.ceil() as u64
    }

    /// Tokens worth reserving for an answer: the expected ones and a margin, at most `asked`.
    pub fn reservation(&self, team: &str, kind: &str, asked: Tokens) -> Tokens {
        let track = self.track(team, kind);
        let tokens = (track.mean + MARGIN * track.deviation).ceil() as Tokens;
        tokens.min(asked).max(1)
    }

    /// Learns a value.
    pub fn learn(&mut self, team: &str, kind: &str, value: u64) {
        let sample = value as f64;
        self.overall.learn(sample);
        if let Some(track) = self.keys.get_mut(&key(team, kind)) {
            track.learn(sample);
            return;
        }
        if self.keys.len() >= MAX_KEYS {
            self.keys.swap_remove_index(0);
        }
        self.keys.insert(key(team, kind), Track { mean: sample, deviation: sample / 2.0 });
    }

    fn track(&self, team: &str, kind: &str) -> Track {
        self.keys.get(&key(team, kind)).copied().unwrap_or(self.overall)
    }
}

fn key(team: &str, kind: &str) -> CompactString {
    format_compact!("{team}/{kind}")
}
