//! Detection of slow endpoints from observed progress.
//!
//! The time per generated token of each endpoint is measured on this daemon's own streams. An
//! endpoint that is much slower than the median of its pool counts as slow, and its slowdown lets
//! placement move new work to other endpoints. At most half of a pool counts as slow at once, so
//! that detection never empties a pool. A slow endpoint is probed with one call at a time until it
//! has recovered.

use crate::id::EndpointId;
use indexmap::IndexMap;
use std::time::{Duration, Instant};

/// Weight of a new sample in the moving average.
const SMOOTHING: f64 = 0.3;
/// Slowdown, relative to the median, from which an endpoint counts as slow.
const SLOW_FACTOR: f64 = 2.5;
/// Age from which the last sample of an endpoint is ignored.
const STALE_AFTER: Duration = Duration::from_secs(5);
/// Minimum number of endpoints with recent samples for a meaningful median.
const MIN_ENDPOINTS: usize = 3;

/// Moving average of an endpoint's time per token, in seconds.
#[derive(Clone, Copy, Debug)]
struct Average {
    seconds_per_token: f64,
    updated: Instant,
}

/// Detector of the slow endpoints of one pool.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    endpoints: IndexMap<EndpointId, Average>,
}

impl Detector {
    /// Records that `endpoint` generated `tokens` tokens in `time`.
    pub fn observe(&mut self, endpoint: &EndpointId, tokens: u64, time: Duration, now: Instant) {
        if tokens == 0 {
            return;
        }
        let sample = time.as_secs_f64() / tokens as f64;
        let average = self
            .endpoints
            .entry(endpoint.clone())
            .or_insert(Average { seconds_per_token: sample, updated: now });
        average.seconds_per_token += SMOOTHING * (sample - average.seconds_per_token);
        average.updated = now;
    }

    /// Returns the slow endpoints with the factors by which they are slower than the pool's median,
    /// slowest first.
    pub fn slow(&self, now: Instant) -> Vec<(EndpointId, f64)> {
        let recent: Vec<(&EndpointId, f64)> = self
            .endpoints
            .iter()
            .filter(|(_, average)| now.saturating_duration_since(average.updated) < STALE_AFTER)
            .map(|(id, average)| (id, average.seconds_per_token))
            .collect();
        if recent.len() < MIN_ENDPOINTS {
            return Vec::new();
        }
        let median = median(recent.iter().map(|(_, average)| *average).collect());
        let mut slow: Vec<(EndpointId, f64)> = recent
            .iter()
            .map(|(id, average)| ((*id).clone(), average / median))
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
