//! Requests to plain services and tools.

use crate::control::event::{AttemptKey, Event, EventSender};
use endpoint::service::{self, Error, Request};
use std::time::{Duration, Instant};

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The service answered.
    Done(String),
    /// The service answered with an error status.
    Status(u16, String),
    /// The request never left.
    Unsent(String),
    /// The service may have run the request.
    Unknown(String),
}

/// Sends a request and reports its end.
pub async fn run(
    http: reqwest::Client,
    events: EventSender,
    key: AttemptKey,
    addr: String,
    request: Request,
) {
    let started = Instant::now();
    let end = match service::send(&http, &addr, &request).await {
        Ok(text) => Outcome::Done(text),
        Err(Error::Status(status, text)) => Outcome::Status(status, text),
        Err(Error::Unreachable(reason)) => Outcome::Unsent(reason),
        Err(Error::OutcomeUnknown(reason)) => Outcome::Unknown(reason),
    };
    let took: Duration = started.elapsed();
    events.send(Event::ServiceEnded { key, end, elapsed: took });
}
