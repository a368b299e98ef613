//! Responses that the daemon generates itself instead of forwarding one from an endpoint.

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use platform::header;
use std::io;
use std::time::Duration;

/// Body of a response to a client.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;

/// Why the daemon generates the response itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The daemon has no configuration yet.
    NotConfigured,
    /// The daemon is shutting down and might exit before the request's deadline.
    Stopping,
    /// No route matches the request.
    NoRoute,
    /// No route matches the request, but the configuration may be out of date.
    RouteUnconfirmed,
    /// No customer holds the request's API key.
    UnknownKey,
    /// No customer holds the request's API key, but the configuration may be out of date.
    KeyUnconfirmed,
    /// The customer's quota is spent; the request has not run.
    OverQuota,
    /// It is not known whether the customer's quota leaves a request; it has not run.
    QuotaUnconfirmed,
    /// The request's framing is ambiguous, or its body could not be read.
    Malformed,
    /// The body exceeds the configured limit.
    TooLarge,
    /// Too many bodies are being held; the request has not run.
    NoRoom,
    /// The body stopped arriving; the request has not run.
    BodyStalled,
    /// The program's budget is exhausted.
    BudgetSpent,
    /// The owner of the program's budget cannot be reached.
    NoOwner,
    /// The durable record of the program's budget cannot be read or written.
    NoRecord,
    /// It is not known which software version began the stream to be resumed; it has not run.
    NoOrigin,
    /// No endpoint accepts the request; it has not run.
    NoEndpoint,
    /// The service is overloaded; the request has not run.
    Overloaded,
    /// The deadline passed before the request ran.
    DeadlineNotRun,
    /// The deadline passed while an endpoint may have been running the request.
    Deadline,
    /// The endpoint failed, and the request may have run.
    Unknown,
    /// The request has crashed several endpoints, in this attempt or earlier ones.
    Quarantined,
}

impl Reason {
    /// Returns the HTTP status; 402, 408, 429 and 503 guarantee that the request has not run.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyStalled => StatusCode::REQUEST_TIMEOUT,
            Self::BudgetSpent => StatusCode::PAYMENT_REQUIRED,
            Self::NotConfigured
            | Self::RouteUnconfirmed
            | Self::KeyUnconfirmed
            | Self::NoRoom
            | Self::QuotaUnconfirmed
            | Self::Stopping
            | Self::NoOwner
            | Self::NoRecord
            | Self::NoOrigin
            | Self::NoEndpoint
            | Self::Overloaded
            | Self::DeadlineNotRun => StatusCode::SERVICE_UNAVAILABLE,
            Self::Deadline => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown | Self::Quarantined => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the name used in response bodies, log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::RouteUnconfirmed => "route_unconfirmed",
            Self::UnknownKey => "unknown_key",
            Self::KeyUnconfirmed => "key_unconfirmed",
            Self::OverQuota => "over_quota",
            Self::QuotaUnconfirmed => "quota_unconfirmed",
            Self::Malformed => "malformed",
            Self::TooLarge => "too_large",
            Self::NoRoom => "no_room",
            Self::BodyStalled => "body_stalled",
            Self::BudgetSpent => "budget_spent",
            Self::NoOwner => "no_owner",
            Self::NoRecord => "no_record",
            Self::NoOrigin => "no_origin",
            Self::NoEndpoint => "no_endpoint",
            Self::Overloaded => "overloaded",
            Self::DeadlineNotRun => "deadline_not_run",
            Self::Deadline => "deadline",
            Self::Unknown => "unknown",
            Self::Quarantined => "quarantined",
        }
    }
}

/// Builds and logs a local reply to a request that has not been matched to a route and service.
pub fn unrouted(reason: Reason, id: &str, retry_after: Option<Duration>) -> Response<Body> {
    log::info!(target: "answer", request = id, reason = reason.name(); "rejected before routing");
    build(reason, id, retry_after)
}

/// Builds a local reply to the request with this id.
pub fn build(reason: Reason, id: &str, retry_after: Option<Duration>) -> Response<Body> {
    metrics::counter!("own_answers_total", "reason" => reason.name()).increment(1);
    let mut response = Response::new(full_body(Bytes::from_static(reason.name().as_bytes())));
    *response.status_mut() = reason.status();
    header::set_request_id(response.headers_mut(), id);
    if let Some(delay) = retry_after {
        response.headers_mut().insert(header::RETRY_AFTER, header::retry_after(delay));
    }
    response
}

/// Returns a body whose bytes are all in memory.
pub fn full_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}
