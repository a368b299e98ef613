//! Client of plain services and tools.

use crate::body;
use compact_str::CompactString;
use sched::id::{Epoch, ProgramId};
use std::time::Duration;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// A failed request to a service.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be made, so the service did not run the request.
    #[error("failed to connect to the service: {0}")]
    Unreachable(String),
    /// The service may have run the request, but its result is not known.
    #[error("the outcome of the service request is unknown: {0}")]
    OutcomeUnknown(String),
    /// The service rejected the request with this HTTP status and response body.
    #[error("the service rejected the request with status {0}: {1}")]
    Status(u16, String),
}

/// Request to a plain service or tool.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Operation, used as the URL path.
    pub op: CompactString,
    /// Request body.
    pub body: String,
    /// Program that makes the call.
    pub program: ProgramId,
    /// Idempotency key; every retry of the call uses the same key.
    pub idempotency_key: CompactString,
    /// Fencing token: the number of the sender's takeover of the program's log.
    pub epoch: Epoch,
    /// Time limit of the whole request.
    pub timeout: Duration,
}

/// Sends a request to the service at `addr`, an IP address and port, and returns the response body.
///
/// # Errors
///
/// Returns [`Error::Unreachable`] only when the connection could not be made. Returns
/// [`Error::OutcomeUnknown`] for interrupted, timed out or oversized responses and for HTTP status
/// 5xx, because the service may have run the request. Returns [`Error::Status`] for any other
/// status than 2xx.
pub async fn send(http: &reqwest::Client, addr: &str, request: &Request) -> Result<String, Error> {
    let response = http
        .post(format!("http://{addr}/{}", request.op))
        .header("Idempotency-Key", request.idempotency_key.as_str())
        .header("X-Program", request.program.as_str())
        .header("X-Fencing-Number", request.epoch)
        .timeout(request.timeout)
        .body(request.body.clone())
        .send()
        .await
        .map_err(classify_error)?;
    let status = response.status();
    let body = body::read(response, MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if status.is_server_error() {
        return Err(Error::OutcomeUnknown(format!("status {status}")));
    }
    match status.is_success() {
        true => Ok(text),
        false => Err(Error::Status(status.as_u16(), text)),
    }
}

/// Returns the error for a request that failed before its response headers arrived.
fn classify_error(error: reqwest::Error) -> Error {
    match error.is_connect() {
        true => Error::Unreachable(error.to_string()),
        false => Error::OutcomeUnknown(error.to_string()),
    }
}
