//! Plain service and tool client.

use compact_str::CompactString;
use sched::id::{Epoch, ProgramId};
use std::time::Duration;

/// Longest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// A failed request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The request never reached the service.
    #[error("the service is out of reach: {0}")]
    Unreachable(String),
    /// The service may have run the request.
    #[error("the service gave no answer: {0}")]
    OutcomeUnknown(String),
    /// The service refused the request.
    #[error("the service answered with status {0}: {1}")]
    Status(u16, String),
}

/// A request to a plain service.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Operation, used as the path.
    pub op: CompactString,
    /// Body.
    pub body: String,
    /// Program that asks.
    pub program: ProgramId,
    /// Idempotency key, the same for every repeat.
    pub idempotency_key: CompactString,
    /// Fencing number of the sender.
    pub epoch: Epoch,
    /// Longest wait for the answer.
    pub timeout: Duration,
}

/// Sends a request to the service at `addr` and returns its answer.
///
/// # Errors
///
/// Returns [`Error::Unreachable`] only when the connection could not be made, and
/// [`Error::OutcomeUnknown`] for server errors, since the request may have run.
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
        .map_err(failed)?;
    let status = response.status();
    let text = response.text().await.map_err(|error| Error::OutcomeUnknown(error.to_string()))?;
    if status.is_server_error() {
        return Err(Error::OutcomeUnknown(format!("status {status}")));
    }
    match (status.is_success(), text.len() > MAX_ANSWER_BYTES) {
        (false, _) => Err(Error::Status(status.as_u16(), text)),
        (true, true) => Err(Error::OutcomeUnknown("the answer exceeds 1 MiB".to_owned())),
        (true, false) => Ok(text),
    }
}

fn failed(error: reqwest::Error) -> Error {
    match error.is_connect() {
        true => Error::Unreachable(error.to_string()),
        false => Error::OutcomeUnknown(error.to_string()),
    }
}
