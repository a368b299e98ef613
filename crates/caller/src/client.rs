//! Client of the callers' HTTP API.
//!
//! The client sends each request to one daemon of a list and moves on to the next daemon when a
//! request fails. A call whose stream is interrupted is sent again with the same call id, so the
//! next daemon resumes the same answer instead of running the call twice.

use crate::api::{Call, Create, Created, End, Event, History, Receipts};
use compact_str::CompactString;
use futures::StreamExt;
use sched::id::ProgramId;
use sched::refusal::{Code, Execution, Refusal};
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};

/// Maximum number of attempts per request.
const MAX_ATTEMPTS: usize = 40;
/// Upper bound of the exponential backoff between attempts.
const MAX_DELAY: Duration = Duration::from_millis(500);
/// Prefix of the data line of a server-sent event.
const DATA_PREFIX: &[u8] = b"data:";

/// A failed request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon refused the request.
    #[error("request refused: {0}")]
    Refused(Refusal),
    /// The connection failed, or the response was incomplete or could not be decoded.
    #[error("no complete response received: {0}")]
    Transport(String),
}

/// A complete answer to a call.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Streamed text.
    pub text: String,
    /// Result reported by the last event of the stream.
    pub end: End,
    /// Time from the first attempt to the first text; the total time if no text was streamed.
    pub time_to_first_text: Duration,
    /// Time from the first attempt to the end of the answer.
    pub total_time: Duration,
    /// Number of failed attempts before the one that completed.
    pub retries: u32,
}

/// Client that sends requests to one of several daemons.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    addrs: Vec<CompactString>,
    token: CompactString,
    daemon_index: usize,
}

impl Client {
    /// Creates a client of the daemons at `addrs`, each an IP address and port. The first request
    /// goes to the daemon at `start_index`, taken modulo the number of addresses.
    ///
    /// Requests panic if `addrs` is empty.
    pub fn new(addrs: &[CompactString], token: &str, start_index: usize) -> Self {
        let http = reqwest::Client::new();
        Self { http, addrs: addrs.to_vec(), token: token.into(), daemon_index: start_index }
    }

    /// Creates a program and returns its id.
    ///
    /// Without an idempotency key, an attempt is only repeated if the daemon reports that it had
    /// no effect.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is not retryable, or the last error when all attempts failed.
    pub async fn create(&mut self, create: &Create) -> Result<ProgramId, Error> {
        let body = serde_json::to_value(create).unwrap_or_default();
        let idempotent = create.key.is_some();
        let created: Created = self.request(Some(&body), "v1/programs", idempotent).await?;
        Ok(created.program)
    }

    /// Makes a call and returns the complete answer, resuming the stream after an interruption.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is not retryable, or the last error when all attempts failed.
    pub async fn call(&mut self, program: &str, call: &Call) -> Result<Answer, Error> {
        let started = Instant::now();
        let mut partial = PartialAnswer::default();
        let mut delay = Duration::from_millis(10);
        let mut last_error = Error::Transport("no attempt was made".to_owned());
        for _ in 0..MAX_ATTEMPTS {
            match self.call_once(program, call, &mut partial, started).await {
                Ok(end) => return Ok(partial.into_answer(end, started)),
                Err(Error::Refused(refusal)) if !is_retryable(&refusal) => {
                    return Err(Error::Refused(refusal));
                }
                Err(error) => last_error = error,
            }
            partial.retries += 1;
            self.daemon_index += 1;
            tokio::time::sleep(delay.mul_f64(0.5 + 0.5 * jitter(partial.retries))).await;
            delay = (delay * 2).min(MAX_DELAY);
        }
        Err(last_error)
    }

    /// Makes a call with a single attempt.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] when the daemon refuses the call or no complete answer arrives.
    pub async fn try_call(&mut self, program: &str, call: &Call) -> Result<Answer, Error> {
        let started = Instant::now();
        let mut partial = PartialAnswer::default();
        let end = self.call_once(program, call, &mut partial, started).await?;
        Ok(partial.into_answer(end, started))
    }

    /// Reads the state and the ended calls of a program.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is not retryable, or the last error when all attempts failed.
    pub async fn read(&mut self, program: &str) -> Result<History, Error> {
        self.request(None, &format!("v1/programs/{program}"), true).await
    }

    /// Sends receipts back to the daemon and waits until their turns are durable.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is not retryable, or the last error when all attempts failed.
    pub async fn submit_receipts(
        &mut self,
        program: &str,
        receipts: Vec<String>,
    ) -> Result<(), Error> {
        let body = serde_json::to_value(Receipts { receipts }).unwrap_or_default();
        let path = format!("v1/programs/{program}/receipts");
        self.request(Some(&body), &path, true).await.map(|_: serde_json::Value| ())
    }

    /// Marks a program as finished.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is not retryable, or the last error when all attempts failed.
    pub async fn finish(&mut self, program: &str) -> Result<(), Error> {
        self.end(program, "finish").await
    }

    /// Cancels a program.
    ///
    /// # Errors
    ///
    /// Returns the refusal that is not retryable, or the last error when all attempts failed.
    pub async fn cancel(&mut self, program: &str) -> Result<(), Error> {
        self.end(program, "cancel").await
    }

    async fn end(&mut self, program: &str, how: &str) -> Result<(), Error> {
        let path = format!("v1/programs/{program}/{how}");
        let _: serde_json::Value =
            self.request(Some(&serde_json::Value::Null), &path, true).await?;
        Ok(())
    }

    async fn request<T: DeserializeOwned>(
        &mut self,
        body: Option<&serde_json::Value>,
        path: &str,
        idempotent: bool,
    ) -> Result<T, Error> {
        let mut delay = Duration::from_millis(10);
        let mut attempts = 0;
        loop {
            attempts += 1;
            let error = match self.request_once(body, path).await {
                Ok(response) => return Ok(response),
                Err(error) => error,
            };
            let may_retry = match &error {
                Error::Refused(refusal) => {
                    is_retryable(refusal) && (idempotent || refusal.ran == Execution::NotRun)
                }
                Error::Transport(_) => idempotent,
            };
            if !may_retry || attempts >= MAX_ATTEMPTS {
                return Err(error);
            }
            self.daemon_index += 1;
            tokio::time::sleep(delay).await;
            delay = (delay * 2).min(MAX_DELAY);
        }
    }

    async fn request_once<T: DeserializeOwned>(
        &self,
        body: Option<&serde_json::Value>,
        path: &str,
    ) -> Result<T, Error> {
        let url = format!("http://{}/{path}", self.addr());
        let request = match body {
            Some(body) => self.http.post(url).json(body),
            None => self.http.get(url),
        };
        let response = request.bearer_auth(&self.token).send().await.map_err(transport_error)?;
        let response = check_status(response).await?;
        response.json().await.map_err(transport_error)
    }

    async fn call_once(
        &self,
        program: &str,
        call: &Call,
        partial: &mut PartialAnswer,
        started: Instant,
    ) -> Result<End, Error> {
        let url = format!(
            "http://{}/v1/programs/{program}/calls?run={}&offset={}",
            self.addr(),
            partial.run,
            partial.text.len()
        );
        let request = self.http.post(url).bearer_auth(&self.token).json(call);
        let response = check_status(request.send().await.map_err(transport_error)?).await?;
        let mut chunks = response.bytes_stream();
        let mut buffer = Vec::new();
        while let Some(chunk) = chunks.next().await {
            buffer.extend_from_slice(&chunk.map_err(transport_error)?);
            while let Some(event) = pop_event(&mut buffer)? {
                if let Some(end) = partial.apply(event, started)? {
                    return Ok(end);
                }
            }
        }
        Err(Error::Transport("the stream ended before the last event".to_owned()))
    }

    fn addr(&self) -> &str {
        &self.addrs[self.daemon_index % self.addrs.len()]
    }
}

/// The part of an answer received so far, kept across attempts.
#[derive(Default)]
struct PartialAnswer {
    run: u64,
    text: String,
    time_to_first_text: Option<Duration>,
    retries: u32,
}

impl PartialAnswer {
    /// Applies one event; returns the result of the call if it is the last event.
    fn apply(&mut self, event: Event, started: Instant) -> Result<Option<End>, Error> {
        match event {
            Event::Text { run, offset, text } => {
                if offset != self.text.len() as u64 {
                    return Err(Error::Transport("the stream skipped or repeated text".to_owned()));
                }
                self.run = run;
                self.text.push_str(&text);
                self.time_to_first_text.get_or_insert_with(|| started.elapsed());
                Ok(None)
            }
            Event::Restart => {
                self.run = 0;
                self.text.clear();
                Ok(None)
            }
            Event::End(end) => Ok(Some(end)),
            Event::Refused(refusal) => Err(Error::Refused(refusal)),
        }
    }

    fn into_answer(self, end: End, started: Instant) -> Answer {
        let total_time = started.elapsed();
        let time_to_first_text = self.time_to_first_text.unwrap_or(total_time);
        Answer { text: self.text, end, time_to_first_text, total_time, retries: self.retries }
    }
}

/// Returns whether the same request may succeed if it is sent again soon.
fn is_retryable(refusal: &Refusal) -> bool {
    match refusal.code {
        Code::Overloaded
        | Code::NoEndpoint
        | Code::PlatformDown
        | Code::Stopping
        | Code::OwnerChanging => refusal.retry_after_ms.is_some(),
        _ => false,
    }
}

/// Maps the number of retries to a pseudo-random value between 0 and 1.
fn jitter(retries: u32) -> f64 {
    f64::from(retries.wrapping_mul(2_654_435_761)) / f64::from(u32::MAX)
}

fn transport_error(error: reqwest::Error) -> Error {
    Error::Transport(error.to_string())
}

/// Turns an error status into the refusal in the response body.
async fn check_status(response: reqwest::Response) -> Result<reqwest::Response, Error> {
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status();
    match response.json::<Refusal>().await {
        Ok(refusal) => Err(Error::Refused(refusal)),
        Err(_) => Err(Error::Transport(format!(
            "the daemon responded with status {status} and no refusal"
        ))),
    }
}

/// Removes lines from the front of `buffer` up to the next complete event, and decodes the event.
fn pop_event(buffer: &mut Vec<u8>) -> Result<Option<Event>, Error> {
    while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
        let line: Vec<u8> = buffer.drain(..=end).collect();
        if let Some(data) = line.strip_prefix(DATA_PREFIX) {
            let event = serde_json::from_slice(data);
            return event.map(Some).map_err(|error| Error::Transport(error.to_string()));
        }
    }
    Ok(None)
}
