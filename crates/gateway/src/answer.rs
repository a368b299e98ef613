//! Answers that the daemon gives itself.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use platform::header;
use std::io;
use std::time::Duration;

/// Body of an answer to a client.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why the daemon answers itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    NotConfigured,
    /// The daemon stops, and the request could outlast it.
    Stopping,
    /// No route takes the request.
    NoRoute,
    /// The request is not framed as one request.
    Malformed,
    /// The body is longer than allowed.
    TooLarge,
    /// The program's budget does not hold the turn.
    BudgetSpent,
    /// The owner of the program's budget cannot be asked.
    NoOwner,
    /// The durable record of the program's budget is out of reach.
    NoRecord,
    /// No endpoint takes the request, which has not run.
    NoEndpoint,
    /// More requests come than the endpoints can serve; this one has not run.
    Overloaded,
    /// The time was up before the request ran.
    DeadlineNotRun,
    /// The time was up while the request was at an endpoint.
    Deadline,
    /// The endpoint broke off, and the request may have run.
    Unknown,
}

impl Reason {
    /// Status of the answer; 402, 429 and 503 promise that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NotConfigured
            | Self::Stopping
            | Self::NoOwner
            | Self::NoRecord
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::DeadlineNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown => StatusCode::BAD_GATEWAY,
        }
    }

    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::BudgetSpent => "budget_spent",
            Self::NoOwner => "no_owner",
            Self::NoRecord => "no_record",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::DeadlineNotRun => "deadline_not_run",
            Self::Deadline => "deadline",
            Self::Unknown => "unknown",
        }
    }
}

/// Builds an answer of the daemon itself to a request that has no route yet, with its log line.
pub fn early(reason: Reason, id: &str, retry_after: Option<Duration>) -> Response<Body> {
    log::info!(target: "answer", request = id, reason = reason.name(); "no route is known");
    own(reason, id, retry_after)
}

/// Builds an answer of the daemon itself.
pub fn own(reason: Reason, id: &str, retry_after: Option<Duration>) -> Response<Body> {
    metrics::counter!("own_answers_total", "reason" => reason.name()).increment(1);
    let mut response = Response::new(full(Bytes::from_static(reason.name().as_bytes())));
    *response.status_mut() = reason.status();
    header::set_request_id(response.headers_mut(), id);
    if let Some(delay) = retry_after {
        response.headers_mut().insert(header::RETRY_AFTER, header::retry_after(delay));
    }
    response
}

/// A body that is known in full.
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
