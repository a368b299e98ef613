//! The number of requests that a customer's programs make.

use super::Decayed;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Half-life of a program in the estimate of the number of its requests.
const HALF_LIFE: Duration = Duration::from_secs(10);
/// Time after its first turn from which a program counts; it makes most of its requests until then. If
/// it counted at once, programs would seem short whenever more of them begin than before.
const DELAY: Duration = Duration::from_millis(1_500);
/// Number of programs from which the estimate is used. Before, most requests belong to programs that
/// began earlier and are not counted.
const MIN_PROGRAMS: f64 = 20.0;
/// Range of the estimated number of requests of a program.
const REQUESTS: std::ops::RangeInclusive<f64> = 1.0..=64.0;

/// Estimate of the number of requests of a program.
#[derive(Clone, Debug)]
pub(super) struct Programs {
    /// When the first requests were recorded, which belong to programs that began earlier.
    since: Instant,
    /// Programs that began recently.
    begun: VecDeque<(Instant, f64)>,
    programs: Decayed,
    requests: Decayed,
}

impl Programs {
    pub(super) fn new(now: Instant) -> Self {
        let decayed = Decayed::new(HALF_LIFE, now);
        Self { since: now, begun: VecDeque::new(), programs: decayed, requests: decayed }
    }

    /// Records programs that began, and requests of these and of earlier ones.
    pub(super) fn record(&mut self, begun: f64, requests: f64, now: Instant) {
        if begun > 0.0 {
            self.begun.push_back((now, begun));
        }
        while let Some((at, count)) = self.begun.front().copied()
            && now.saturating_duration_since(at) >= DELAY
        {
            self.begun.pop_front();
            self.programs.add(count, now);
        }
        if requests > 0.0 && now.saturating_duration_since(self.since) >= DELAY {
            self.requests.add(requests, now);
        }
    }

    /// Returns the number of requests of a program; `prior` is assumed before enough
    /// programs were seen.
    pub(super) fn requests(&self, prior: f64, now: Instant) -> f64 {
        let programs = self.programs.at(now);
        if programs < MIN_PROGRAMS {
            return prior;
        }
        (self.requests.at(now) / programs).clamp(*REQUESTS.start(), *REQUESTS.end())
    }
}
