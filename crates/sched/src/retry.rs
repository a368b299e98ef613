//! Timeouts and the retry budget for retries of unanswered idempotent requests.
//!
//! If a response is lost, the connection is silent while the endpoint looks healthy. Without a
//! retry, only the client's deadline would end the wait, and a program whose tool call exceeds it
//! fails. Therefore, a safe request is retried if there is no response within the target latency of
//! its route. A resumable stream is retried if its first event takes a multiple of that, since it
//! may have to wait for a slot. A burst delays all requests at once, and retrying them all would
//! add to the overload, so the retry budget limits retries to a fraction of the requests.

use crate::route::{Kind, Route};
use std::time::Duration;

/// Retry timeout of a stream in target latencies; in a burst, its first event waits for a slot.
const STREAM_TIMEOUT_FACTOR: u32 = 4;
/// Number of retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.05;
/// Maximum balance of the budget, in retries.
const MAX_BALANCE: f64 = 10.0;
/// Balance of the budget before the first request, in retries.
const INITIAL_BALANCE: f64 = 2.0;

/// Returns the time without a response after which a request may be retried, or `None` if it must
/// not be retried.
pub fn retry_timeout(route: &Route) -> Option<Duration> {
    match route.kind {
        Kind::Safe => Some(route.target_latency),
        Kind::Stream { resumable: true } => Some(route.target_latency * STREAM_TIMEOUT_FACTOR),
        Kind::Unsafe | Kind::Stream { resumable: false } => None,
    }
}

/// The retry budget of one daemon.
#[derive(Clone, Debug)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { balance: INITIAL_BALANCE }
    }
}

impl Budget {
    /// Adds to the budget for a request that may be retried.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget; returns whether the balance allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}
