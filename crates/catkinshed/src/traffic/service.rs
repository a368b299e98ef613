//! Requests to services and tools, that is, to endpoints that are not model engines.

use crate::control::event::{AttemptKey, Event, EventSender};
use endpoint::service::{self, Error, Request};
use std::time::{Duration, Instant};

/// Result of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered with a success status and this body.
    Done(String),
    /// The service answered with this error status and body.
    Status(u16, String),
    /// No connection was made, so the service did not run the request.
    Unsent(String),
    /// The service may have run the request.
    Unknown(String),
}

/// Sends a request and reports its result and duration as [`Event::ServiceEnded`].
pub async fn run(
    http: reqwest::Client,
    events: EventSender,
    key: AttemptKey,
    addr: String,
    request: Request,
) {
    let started = Instant::now();
    let outcome = match service::send(&http, &addr, &request).await {
        Ok(text) => Outcome::Done(text),
        Err(Error::Status(status, text)) => Outcome::Status(status, text),
        Err(Error::Unreachable(reason)) => Outcome::Unsent(reason),
        Err(Error::OutcomeUnknown(reason)) => Outcome::Unknown(reason),
    };
    let duration: Duration = started.elapsed();
    events.send(Event::ServiceEnded { key, result: outcome, elapsed: duration });
}
