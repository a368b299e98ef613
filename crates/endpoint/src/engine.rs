//! Client of model engines.
//!
//! A completion request has a request id, and its response is a stream of token events. Sending a
//! request with the same id again attaches to the existing stream, if the engine still keeps it,
//! from an offset in tokens, and may raise the stream's token limit. The index of the first event
//! shows whether the engine resumed the stream or started a new one. Each token event carries its
//! index, so the reader detects missing tokens.

use crate::body;
use bytes::Bytes;
use compact_str::CompactString;
use futures::{Stream, StreamExt};
use sched::id::{Epoch, ProgramId, Tokens};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Prefix of the data line of a server-sent event.
const DATA_PREFIX: &[u8] = b"data:";
/// Data of the last line of a complete stream.
const DONE: &[u8] = b"[DONE]";

/// A failed request to an engine.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be made, so the engine did not run the request.
    #[error("failed to connect to the engine: {0}")]
    Unreachable(String),
    /// The engine rejected the request with this HTTP status.
    #[error("the engine rejected the request with status {0}")]
    Rejected(u16),
    /// The response was interrupted, in its head or later, or could not be decoded. The engine may run
    /// the request.
    #[error("the engine's response was interrupted or invalid: {0}")]
    Interrupted(String),
}

/// Request for a streamed completion.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Request id; while the engine keeps the stream of this id, repeating the request attaches to
    /// it instead of starting a second one.
    pub request_id: CompactString,
    /// Name of the model to run.
    pub model: CompactString,
    /// Complete prompt, including the program's history.
    pub prompt: String,
    /// Maximum number of tokens in the whole answer.
    pub max_tokens: Tokens,
    /// Number of answer tokens that the reader already has.
    pub offset: Tokens,
    /// Number of answer tokens at the end of the prompt that an earlier run generated.
    pub continues: Tokens,
    /// Scheduling priority among the requests queued at the engine; lower values run first.
    pub priority: i64,
    /// Program whose prompt prefix the engine keeps in memory after the stream ends, until it is
    /// released.
    pub pin: Option<ProgramId>,
    /// Fencing token: the number of the sender's takeover of the program's log.
    pub epoch: Epoch,
}

/// One event of a completion stream. Data without an index or a text, such as an error, is no event.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Event {
    /// Index of the token in the answer, starting at 0.
    pub index: Tokens,
    /// Text of the token.
    pub text: String,
    /// Number of prompt tokens found in the prefix cache; set only in the first event.
    #[serde(default)]
    pub cached: Option<Tokens>,
    /// Why the stream ended, `stop` or `length`; set only in the last event.
    #[serde(default)]
    pub finish: Option<CompactString>,
    /// Id of the run that generated the token; it changes when the engine starts over.
    #[serde(default)]
    pub run: u64,
}

/// Client of one engine.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    base_url: CompactString,
}

impl Client {
    /// Creates a client of the engine at `addr`, an IP address and port.
    pub fn new(http: reqwest::Client, addr: &str) -> Self {
        Self { http, base_url: compact_str::format_compact!("http://{addr}") }
    }

    /// Sends a completion request and returns its event stream.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the request cannot be sent or the engine rejects it. Later errors
    /// are returned as items of the stream.
    pub async fn complete(
        &self,
        request: &CompletionRequest,
    ) -> Result<impl Stream<Item = Result<Event, Error>> + use<>, Error> {
        let url = format!("{}/v1/completions", self.base_url);
        let response = self.http.post(url).json(request).send().await.map_err(send_error)?;
        if !response.status().is_success() {
            return Err(Error::Rejected(response.status().as_u16()));
        }
        Ok(decode_events(response.bytes_stream()))
    }

    /// Cancels a completion, frees its memory and returns the number of tokens in its answer.
    ///
    /// The call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the engine cannot be reached, rejects the request or sends an
    /// invalid response.
    pub async fn cancel(&self, request_id: &str) -> Result<Tokens, Error> {
        decode(self.delete(&format!("v1/completions/{request_id}")).await?).await
    }

    /// Releases the memory pinned for a program.
    ///
    /// The call is idempotent.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the engine cannot be reached or rejects the request.
    pub async fn release(&self, program: &str) -> Result<(), Error> {
        self.delete(&format!("v1/cache/{program}")).await.map(drop)
    }

    /// Returns the programs that the engine holds pinned memory for.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the engine cannot be reached or sends an invalid response.
    pub async fn pins(&self) -> Result<Vec<ProgramId>, Error> {
        self.get("v1/cache").await
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.http.get(format!("{}/{path}", self.base_url)).timeout(CONTROL_TIMEOUT);
        let response = request.send().await.map_err(send_error)?;
        decode(response).await
    }

    async fn delete(&self, path: &str) -> Result<reqwest::Response, Error> {
        let request =
            self.http.delete(format!("{}/{path}", self.base_url)).timeout(CONTROL_TIMEOUT);
        let response = request.send().await.map_err(send_error)?;
        match response.status().is_success() {
            true => Ok(response),
            false => Err(Error::Rejected(response.status().as_u16())),
        }
    }
}

/// Maximum size of a response that is no stream, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Maximum size of the bytes up to the end of an event.
const MAX_EVENT_BYTES: usize = 1 << 20;
/// Timeout of requests that run no model.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);

/// Returns the error for a request that failed before its response headers arrived.
fn send_error(error: reqwest::Error) -> Error {
    match error.is_connect() {
        true => Error::Unreachable(error.to_string()),
        false => Error::Interrupted(error.to_string()),
    }
}

/// Decodes the body of a response that is no stream.
async fn decode<T: serde::de::DeserializeOwned>(response: reqwest::Response) -> Result<T, Error> {
    let body = body::read(response, MAX_BODY_BYTES).await;
    let body = body.map_err(|error| Error::Interrupted(error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| Error::Interrupted(error.to_string()))
}

/// Decodes a byte stream of server-sent events.
fn decode_events(
    bytes: impl Stream<Item = reqwest::Result<Bytes>> + Send + 'static,
) -> impl Stream<Item = Result<Event, Error>> {
    let state = (Box::pin(bytes), Vec::new());
    futures::stream::try_unfold(state, |(mut bytes, mut buffer)| async move {
        loop {
            if let Some(event) = pop_event(&mut buffer)? {
                return Ok(Some((event, (bytes, buffer))));
            }
            match bytes.next().await {
                Some(Ok(chunk)) if buffer.len() + chunk.len() <= MAX_EVENT_BYTES => {
                    buffer.extend_from_slice(&chunk);
                }
                Some(Ok(_)) => {
                    let reason = format!("an event exceeds {MAX_EVENT_BYTES} bytes");
                    return Err(Error::Interrupted(reason));
                }
                Some(Err(error)) => return Err(Error::Interrupted(error.to_string())),
                None => return Ok(None),
            }
        }
    })
}

/// Removes lines from the front of `buffer` up to the next complete event, and decodes the event.
fn pop_event(buffer: &mut Vec<u8>) -> Result<Option<Event>, Error> {
    while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
        let line: Vec<u8> = buffer.drain(..=end).collect();
        let data = line.strip_prefix(DATA_PREFIX).map(<[u8]>::trim_ascii);
        if let Some(data) = data.filter(|data| *data != DONE) {
            let event = serde_json::from_slice(data);
            return event.map(Some).map_err(|error| Error::Interrupted(error.to_string()));
        }
    }
    Ok(None)
}
