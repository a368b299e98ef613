//! Retry decisions for one client attempt of a request.
//!
//! [`Attempt`] alone tracks whether a request may have run. Its state changes from
//! [`Progress::NotRun`] to [`Progress::Sent`] when bytes of the request may have been sent, and
//! back when the endpoint reports that it did not run the request. Without a complete response, the
//! state becomes [`Progress::MayHaveRun`]. From then on, only an idempotent request is retried, and
//! no more endpoints may run it than its route allows; endpoints that are gone are not counted. An
//! endpoint that resets its connections immediately is down or over its connection limit: it is
//! retried a few times with an exponential backoff before it counts as gone.

use crate::id::EndpointId;
use crate::route::Kind;
use std::time::Duration;

/// Number of endpoints that refused the request or are gone after which the request fails.
const MAX_EXCLUSIONS: usize = 8;
/// Number of stale connections, which were closed before any byte was sent, beyond which an
/// endpoint counts as gone.
const MAX_STALE_CONNECTIONS: u32 = 16;
/// Number of consecutive connection resets after which an endpoint counts as gone.
const MAX_CONSECUTIVE_RESETS: u32 = 4;
/// Backoff before the first retry at the same endpoint; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(5);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Whether the request has run, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No endpoint has run the request, and none will.
    NotRun,
    /// The request was sent to an endpoint, and the response is pending.
    Sent,
    /// An endpoint may have run the request.
    MayHaveRun,
}

/// The action to take after a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Retry at any endpoint that is not excluded.
    RetryAny,
    /// Retry only at this endpoint, which may have run the request.
    RetrySame(EndpointId),
    /// Fail the request, which has not run.
    FailNotRun,
    /// Fail the request, which may have run.
    FailUnknown,
}

/// The reason why a try ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The response is missing or incomplete, and the endpoint may still accept connections.
    Incomplete,
    /// The endpoint reset the connection immediately.
    Reset,
    /// The endpoint is unreachable.
    Gone,
}

/// The retry state of one client attempt of a request.
#[derive(Clone, Debug)]
pub struct Attempt {
    kind: Kind,
    max_attempts: u32,
    progress: Progress,
    excluded: Vec<EndpointId>,
    stale_connections: u32,
    consecutive_resets: u32,
    /// Consecutive failures at the endpoint that was tried last.
    consecutive_failures: u32,
    /// Endpoints that may have run the request and are not gone; the last one was tried last.
    may_have_run: Vec<EndpointId>,
}

impl Attempt {
    /// Creates the state of a request that has not been sent and that at most `max_attempts`
    /// endpoints may run.
    pub fn new(kind: Kind, max_attempts: u32) -> Self {
        Self {
            kind,
            max_attempts,
            progress: Progress::NotRun,
            excluded: Vec::new(),
            stale_connections: 0,
            consecutive_resets: 0,
            consecutive_failures: 0,
            may_have_run: Vec::new(),
        }
    }

    /// Returns whether the request has run, as far as is known.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Returns the endpoints that refused the request or are gone, which a retry at any endpoint
    /// avoids.
    pub fn excluded(&self) -> &[EndpointId] {
        &self.excluded
    }

    /// Records that bytes of the request may have been sent to an endpoint.
    pub fn on_send(&mut self) {
        if self.progress == Progress::NotRun {
            self.progress = Progress::Sent;
        }
    }

    /// Records that `endpoint` reported that it did not run the request.
    ///
    /// The report covers only this try: the endpoint may have run the request in an earlier one.
    pub fn on_refusal(&mut self, endpoint: &EndpointId) -> Action {
        if self.may_have_run.contains(endpoint) {
            self.consecutive_failures += 1;
        }
        self.exclude(endpoint)
    }

    /// Records that `endpoint` is gone: it accepts no connections, or another endpoint responds at
    /// its address.
    pub fn on_gone(&mut self, endpoint: &EndpointId) -> Action {
        self.may_have_run.retain(|candidate| candidate != endpoint);
        self.exclude(endpoint)
    }

    /// Records that this daemon could not reach `endpoint`, which may still be running the request.
    pub fn on_unreached(&mut self, endpoint: &EndpointId) -> Action {
        self.on_refusal(endpoint)
    }

    /// Records that `endpoint` was chosen but accepts no new requests any more, so that the request
    /// was not sent to it.
    pub fn on_withdrawn(&mut self, endpoint: &EndpointId) -> Action {
        self.exclude(endpoint)
    }

    /// Excludes an endpoint that did not run the request in this try.
    fn exclude(&mut self, endpoint: &EndpointId) -> Action {
        if self.progress == Progress::Sent {
            self.progress = Progress::NotRun;
        }
        self.excluded.push(endpoint.clone());
        match (self.excluded.len() < MAX_EXCLUSIONS, self.progress) {
            (true, Progress::MayHaveRun) => self.retry_if_idempotent(),
            (true, _) => Action::RetryAny,
            (false, Progress::MayHaveRun) => Action::FailUnknown,
            (false, _) => Action::FailNotRun,
        }
    }

    /// Records that a reused connection was closed before any byte was sent, which does not show
    /// whether `endpoint` is healthy.
    pub fn on_stale_connection(&mut self, endpoint: &EndpointId) -> Action {
        self.stale_connections += 1;
        if self.stale_connections > MAX_STALE_CONNECTIONS {
            return self.on_gone(endpoint);
        }
        if self.progress == Progress::Sent {
            self.progress = Progress::NotRun;
        }
        match self.progress {
            Progress::MayHaveRun => self.retry_if_idempotent(),
            _ => Action::RetryAny,
        }
    }

    /// Records that `endpoint` sent no complete response.
    pub fn on_failure(&mut self, endpoint: &EndpointId, failure: Failure) -> Action {
        self.progress = Progress::MayHaveRun;
        let same_endpoint = self.may_have_run.last() == Some(endpoint);
        self.consecutive_failures = if same_endpoint { self.consecutive_failures + 1 } else { 0 };
        self.consecutive_resets = match failure {
            Failure::Reset if same_endpoint => self.consecutive_resets + 1,
            Failure::Reset => 1,
            Failure::Incomplete | Failure::Gone => 0,
        };
        self.may_have_run.retain(|candidate| candidate != endpoint);
        match failure == Failure::Gone || self.consecutive_resets >= MAX_CONSECUTIVE_RESETS {
            true => self.excluded.push(endpoint.clone()),
            false => self.may_have_run.push(endpoint.clone()),
        }
        if self.excluded.len() >= MAX_EXCLUSIONS {
            return Action::FailUnknown;
        }
        self.retry_if_idempotent()
    }

    /// Returns the time to wait before the next try at the same endpoint.
    pub fn backoff(&self) -> Duration {
        INITIAL_BACKOFF * 2_u32.pow(self.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS))
    }

    fn retry_if_idempotent(&self) -> Action {
        if !self.kind.idempotent() {
            return Action::FailUnknown;
        }
        match self.may_have_run.last() {
            Some(last) if self.may_have_run.len() >= self.max_attempts as usize => {
                Action::RetrySame(last.clone())
            }
            _ => Action::RetryAny,
        }
    }

    /// Returns the failure to report if the request is abandoned now.
    pub fn give_up(&self) -> Action {
        match self.progress {
            Progress::NotRun => Action::FailNotRun,
            Progress::Sent | Progress::MayHaveRun => Action::FailUnknown,
        }
    }
}

/// Returns the delay after which a client may retry a request that no endpoint could accept.
///
/// The delay is random between 75 % and 125 % of `expected`, so that clients that were refused at
/// the same time do not retry at the same time.
pub fn retry_after(expected: Duration, rng: &mut fastrand::Rng) -> Duration {
    expected.mul_f64(0.75 + rng.f64() * 0.5)
}
