//! A request's life between its arrival and its answer.
//!
//! [`Attempt`] is the one place that knows whether a request may have run. It moves from
//! [`Progress::NotRun`] to [`Progress::Sent`] when its bytes may leave, back when the endpoint says
//! that it did not run it, and to [`Progress::MayHaveRun`] when no answer came. From there only an
//! idempotent request goes on, and not on more endpoints than its route allows; an endpoint that is
//! gone does not count. An endpoint that resets its connections as soon as they open is down or over
//! its cap: it gets a few chances, further and further apart, before it counts as gone.

use crate::id::EndpointId;
use crate::route::Kind;
use std::time::Duration;

/// Endpoints that are asked at most while none of them runs the request.
const MAX_REFUSALS: usize = 8;
/// Connections that may turn out to be closed before the request leaves.
const MAX_STALE: u32 = 16;
/// Resets in a row after which an endpoint counts as gone.
const MAX_RESETS: u32 = 4;
/// Pause before the same endpoint is asked again the first time; it doubles each time.
const PAUSE_FIRST: Duration = Duration::from_millis(5);
/// Times that the pause doubles.
const PAUSE_DOUBLINGS: u32 = 5;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No endpoint has run it, and none will.
    NotRun,
    /// It is at an endpoint.
    Sent,
    /// An endpoint may have run it.
    MayHaveRun,
}

/// What to do after a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Try an endpoint that has not refused it.
    RetryAny,
    /// Try the endpoint that may have run it, and no other.
    RetrySame(EndpointId),
    /// Give up: the request has not run.
    FailNotRun,
    /// Give up: the request may have run.
    FailUnknown,
}

/// Why a try ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The endpoint still takes connections.
    Incomplete,
    /// The endpoint reset the connection at once.
    Reset,
    /// The endpoint cannot be reached any more.
    Gone,
}

/// A request under way.
#[derive(Clone, Debug)]
pub struct Attempt {
    kind: Kind,
    max_attempts: u32,
    progress: Progress,
    refused: Vec<EndpointId>,
    stale: u32,
    /// Resets in a row.
    resets: u32,
    /// Tries in a row that failed at the endpoint that was asked last.
    losses: u32,
    /// Endpoints that may have run it and still live.
    ran: Vec<EndpointId>,
}

impl Attempt {
    /// Starts with a request that has arrived.
    pub fn new(kind: Kind, max_attempts: u32) -> Self {
        Self {
            kind,
            max_attempts,
            progress: Progress::NotRun,
            refused: Vec::new(),
            stale: 0,
            resets: 0,
            losses: 0,
            ran: Vec::new(),
        }
    }

    /// How far the request has come.
    pub fn progress(&self) -> Progress {
        self.progress
    }

    /// Endpoints that refused it, which are not asked again.
    pub fn excluded(&self) -> &[EndpointId] {
        &self.refused
    }

    /// Notes that bytes of the request may leave for an endpoint.
    pub fn on_send(&mut self) {
        if self.progress == Progress::NotRun {
            self.progress = Progress::Sent;
        }
    }

    /// Notes that the endpoint says that it did not run the request.
    ///
    /// What it says of this try holds for no earlier one: it may have run the request before.
    pub fn on_refusal(&mut self, endpoint: &EndpointId) -> Action {
        if self.ran.contains(endpoint) {
            self.losses += 1;
        }
        self.not_run_by(endpoint)
    }

    /// Notes that the endpoint is not there any more: it takes no connection, or another one answers
    /// at its address.
    pub fn on_gone(&mut self, endpoint: &EndpointId) -> Action {
        self.ran.retain(|ran| ran != endpoint);
        self.not_run_by(endpoint)
    }

    /// Decides after a try of which it is known that it did not run.
    fn not_run_by(&mut self, endpoint: &EndpointId) -> Action {
        if self.progress == Progress::Sent {
            self.progress = Progress::NotRun;
        }
        self.refused.push(endpoint.clone());
        match (self.refused.len() < MAX_REFUSALS, self.progress) {
            (true, Progress::MayHaveRun) => self.again(),
            (true, _) => Action::RetryAny,
            (false, Progress::MayHaveRun) => Action::FailUnknown,
            (false, _) => Action::FailNotRun,
        }
    }

    /// Notes that a kept connection was closed before a byte left, which says nothing of its endpoint.
    pub fn on_stale_connection(&mut self, endpoint: &EndpointId) -> Action {
        self.stale += 1;
        if self.stale > MAX_STALE {
            return self.on_gone(endpoint);
        }
        if self.progress == Progress::Sent {
            self.progress = Progress::NotRun;
        }
        match self.progress {
            Progress::MayHaveRun => self.again(),
            _ => Action::RetryAny,
        }
    }

    /// Notes that no whole answer came from the endpoint.
    pub fn on_failure(&mut self, endpoint: &EndpointId, failure: Failure) -> Action {
        self.progress = Progress::MayHaveRun;
        let again = self.ran.last() == Some(endpoint);
        self.losses = if again { self.losses + 1 } else { 0 };
        self.resets = match failure {
            Failure::Reset if again => self.resets + 1,
            Failure::Reset => 1,
            Failure::Incomplete | Failure::Gone => 0,
        };
        self.ran.retain(|ran| ran != endpoint);
        match failure == Failure::Gone || self.resets >= MAX_RESETS {
            true => self.refused.push(endpoint.clone()),
            false => self.ran.push(endpoint.clone()),
        }
        if self.refused.len() >= MAX_REFUSALS {
            return Action::FailUnknown;
        }
        self.again()
    }

    /// Time to wait before the same endpoint is asked again.
    pub fn backoff(&self) -> Duration {
        PAUSE_FIRST * 2_u32.pow(self.losses.min(PAUSE_DOUBLINGS))
    }

    fn again(&self) -> Action {
        if !self.kind.idempotent() {
            return Action::FailUnknown;
        }
        match self.ran.last() {
            Some(last) if self.ran.len() >= self.max_attempts as usize => {
                Action::RetrySame(last.clone())
            }
            _ => Action::RetryAny,
        }
    }

    /// Tells which final answer fits a request that is given up now.
    pub fn give_up(&self) -> Action {
        match self.progress {
            Progress::NotRun => Action::FailNotRun,
            Progress::Sent | Progress::MayHaveRun => Action::FailUnknown,
        }
    }
}

/// Time after which a request is worth sending again when no endpoint was left to take it.
///
/// The delay is spread over its second half, so that clients who were refused together do not come
/// back together.
pub fn retry_after(expected: Duration, rng: &mut fastrand::Rng) -> Duration {
    expected.mul_f64(0.75 + rng.f64() * 0.5)
}
