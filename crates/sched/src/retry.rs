//! When an idempotent request that stays unanswered is sent once more.
//!
//! An answer that is lost on its way leaves its connection silent, and the endpoint looks well. The
//! client's deadline is then the only other sign, and a program whose tool call meets it fails. So a
//! safe request that is unanswered when its full credit is gone is sent again, and a stream that may
//! be resumed when its first event is some times as late, since it may wait for a slot. A burst makes
//! all requests late at once, and repeating them would make it worse; the retry budget bounds repeats
//! to a share of the requests.

use crate::route::{Kind, Route};
use std::time::Duration;

/// Target latencies for which the first event of a stream may be late; in a burst it waits for a slot.
const STREAM_PATIENCE: u32 = 4;
/// Repeats that each request allows.
const SHARE: f64 = 0.05;
/// Most repeats that are saved up.
const MOST: f64 = 10.0;
/// Repeats that a daemon may make before its first requests.
const FIRST: f64 = 2.0;

/// Time without an answer after which a request may be sent once more.
pub fn retry_timeout(route: &Route) -> Option<Duration> {
    match route.kind {
        Kind::Safe => Some(route.target_latency),
        Kind::Stream { resumable: true } => Some(route.target_latency * STREAM_PATIENCE),
        Kind::Unsafe | Kind::Stream { resumable: false } => None,
    }
}

/// Retry budget of one daemon.
#[derive(Clone, Debug)]
pub struct Budget {
    repeats: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { repeats: FIRST }
    }
}

impl Budget {
    /// Notes a request that may be repeated.
    pub fn deposit(&mut self) {
        self.repeats = (self.repeats + SHARE).min(MOST);
    }

    /// Takes one repeat, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.repeats >= 1.0;
        if allowed {
            self.repeats -= 1.0;
        }
        allowed
    }
}
