//! Detection of slow endpoints from observed progress.
//!
//! Each endpoint's time per generated token is tracked from this daemon's own streams. An endpoint
//! that is much slower than its pool's median counts as slow; its slowdown lets placement move new
//! work away. At most half of a pool may be slow at once, so suspicion never empties a pool, and a
//! slow endpoint is probed by one call at a time until it keeps up again.

use crate::id::EndpointId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Weight of a new sample.
const GAIN: f64 = 0.3;
/// Slowdown from which an endpoint counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Age after which a sample no longer counts.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// Endpoints with samples that a median needs.
const MIN_PEERS: usize = 3;

#[derive(Clone, Copy, Debug)]
struct Pace {
    per_token: f64,
    seen: Instant,
}

/// Detector of one pool's endpoints.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    endpoints: IndexMap<EndpointId, Pace>,
}

impl Detector {
    /// Records that `tokens` took `time` at `endpoint`.
    pub fn observe(&mut self, endpoint: &EndpointId, tokens: u64, time: Duration, now: Instant) {
        if tokens == 0 {
            return;
        }
        let sample = time.as_secs_f64() / tokens as f64;
        let pace =
            self.endpoints.entry(endpoint.clone()).or_insert(Pace { per_token: sample, seen: now });
        pace.per_token += GAIN * (sample - pace.per_token);
        pace.seen = now;
    }

    /// Factor by which each endpoint runs slower than the pool's median; only slow ones are named.
    pub fn slow(&self, now: Instant) -> Vec<(EndpointId, f64)> {
        let fresh: Vec<(&EndpointId, f64)> = self
            .endpoints
            .iter()
            .filter(|(_, pace)| now.saturating_duration_since(pace.seen) < STALE_AFTER)
            .map(|(id, pace)| (id, pace.per_token))
            .collect();
        if fresh.len() < MIN_PEERS {
            return Vec::new();
        }
        let median = median(fresh.iter().map(|(_, pace)| *pace).collect());
        let mut slow: Vec<(EndpointId, f64)> = fresh
            .iter()
            .map(|(id, pace)| ((*id).clone(), pace / median))
            .filter(|(_, factor)| *factor >= SLOW_FACTOR)
            .collect();
        slow.sort_by(|left, right| right.1.total_cmp(&left.1));
        slow.truncate(self.endpoints.len() / 2);
        slow
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2].max(f64::MIN_POSITIVE)
}
