//! Client of the callers' interface.
//!
//! The client talks to any entry VM of a list. A call whose stream breaks is repeated under its id
//! at the next entry VM, which gives the same answer without a second run.

use crate::api::{Call, Create, Created, End, Event, History, Receipts};
use compact_str::CompactString;
use futures::StreamExt;
use sched::id::ProgramId;
use sched::refusal::{Code, Execution, Refusal};
use serde::de::DeserializeOwned;
use std::time::{Duration, Instant};

/// Tries of a request at one entry VM after another.
const TRIES: usize = 40;
/// Longest delay between tries.
const MAX_DELAY: Duration = Duration::from_millis(500);
const DATA: &[u8] = b"data:";

/// A failed request.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The daemon refused.
    #[error("refused: {0}")]
    Refused(Refusal),
    /// No entry VM answered in full.
    #[error("no entry VM answered: {0}")]
    Transport(String),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The text, as it was streamed.
    pub text: String,
    /// The end.
    pub end: End,
    /// Time to the first text.
    pub time_to_first_text: Duration,
    /// Time to the end.
    pub total_time: Duration,
    /// Number of failed attempts before the one that completed.
    pub retries: u32,
}

/// Connection to the entry VMs.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    addrs: Vec<CompactString>,
    token: CompactString,
    next: usize,
}

impl Client {
    /// Prepares requests to the entry VMs at `addrs`, starting with the one at index `first`.
    pub fn new(addrs: &[CompactString], token: &str, first: usize) -> Self {
        let http = reqwest::Client::new();
        Self { http, addrs: addrs.to_vec(), token: token.into(), next: first }
    }

    /// Creates a program.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that is not worth repeating.
    pub async fn create(&mut self, create: &Create) -> Result<ProgramId, Error> {
        let body = serde_json::to_value(create).unwrap_or_default();
        let repeat = create.key.is_some();
        let created: Created = self.request(Some(&body), "v1/programs", repeat).await?;
        Ok(created.program)
    }

    /// Makes a call and reads its whole answer.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that is not worth repeating.
    pub async fn call(&mut self, program: &str, call: &Call) -> Result<Answer, Error> {
        let started = Instant::now();
        let mut reading = Reading::default();
        let mut delay = Duration::from_millis(10);
        let mut last = Error::Transport("no try was made".to_owned());
        for _ in 0..TRIES {
            match self.call_once(program, call, &mut reading, started).await {
                Ok(end) => return Ok(reading.answer(end, started)),
                Err(Error::Refused(refusal)) if !worth_repeating(&refusal) => {
                    return Err(Error::Refused(refusal));
                }
                Err(error) => last = error,
            }
            reading.resumed += 1;
            self.next += 1;
            tokio::time::sleep(delay.mul_f64(0.5 + 0.5 * jitter(reading.resumed))).await;
            delay = (delay * 2).min(MAX_DELAY);
        }
        Err(last)
    }

    /// Makes a call once, without repeating it.
    ///
    /// # Errors
    ///
    /// Returns every refusal and every broken stream.
    pub async fn try_call(&mut self, program: &str, call: &Call) -> Result<Answer, Error> {
        let started = Instant::now();
        let mut reading = Reading::default();
        let end = self.call_once(program, call, &mut reading, started).await?;
        Ok(reading.answer(end, started))
    }

    /// Reads a program.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that is not worth repeating.
    pub async fn read(&mut self, program: &str) -> Result<History, Error> {
        self.request(None, &format!("v1/programs/{program}"), true).await
    }

    /// Hands receipts back, and returns once their turns are durable.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that is not worth repeating.
    pub async fn submit_receipts(
        &mut self,
        program: &str,
        receipts: Vec<String>,
    ) -> Result<(), Error> {
        let body = serde_json::to_value(Receipts { receipts }).unwrap_or_default();
        let path = format!("v1/programs/{program}/receipts");
        self.request(Some(&body), &path, true).await.map(|_: serde_json::Value| ())
    }

    /// Finishes a program.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that is not worth repeating.
    pub async fn finish(&mut self, program: &str) -> Result<(), Error> {
        self.end(program, "finish").await
    }

    /// Cancels a program.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Refused`] for a refusal that is not worth repeating.
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
        repeat: bool,
    ) -> Result<T, Error> {
        let mut delay = Duration::from_millis(10);
        let mut tries = 0;
        loop {
            tries += 1;
            let error = match self.request_once(body, path).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let safe = match &error {
                Error::Refused(refusal) => {
                    worth_repeating(refusal) && (repeat || refusal.ran == Execution::NotRun)
                }
                Error::Transport(_) => repeat,
            };
            if !safe || tries >= TRIES {
                return Err(error);
            }
            self.next += 1;
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
        let response = request.bearer_auth(&self.token).send().await.map_err(broken)?;
        let response = refused(response).await?;
        response.json().await.map_err(broken)
    }

    async fn call_once(
        &self,
        program: &str,
        call: &Call,
        reading: &mut Reading,
        started: Instant,
    ) -> Result<End, Error> {
        let url = format!(
            "http://{}/v1/programs/{program}/calls?run={}&offset={}",
            self.addr(),
            reading.run,
            reading.text.len()
        );
        let request = self.http.post(url).bearer_auth(&self.token).json(call);
        let response = refused(request.send().await.map_err(broken)?).await?;
        let mut chunks = response.bytes_stream();
        let mut buffer = Vec::new();
        while let Some(chunk) = chunks.next().await {
            buffer.extend_from_slice(&chunk.map_err(broken)?);
            while let Some(event) = take_event(&mut buffer)? {
                if let Some(end) = reading.take(event, started)? {
                    return Ok(end);
                }
            }
        }
        Err(Error::Transport("the stream ended early".to_owned()))
    }

    fn addr(&self) -> &str {
        &self.addrs[self.next % self.addrs.len()]
    }
}

#[derive(Default)]
struct Reading {
    run: u64,
    text: String,
    first: Option<Duration>,
    resumed: u32,
}

impl Reading {
    fn take(&mut self, event: Event, started: Instant) -> Result<Option<End>, Error> {
        match event {
            Event::Text { run, offset, text } => {
                if offset != self.text.len() as u64 {
                    return Err(Error::Transport("the stream has a gap".to_owned()));
                }
                self.run = run;
                self.text.push_str(&text);
                self.first.get_or_insert_with(|| started.elapsed());
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

    fn answer(self, end: End, started: Instant) -> Answer {
        let total = started.elapsed();
        let first = self.first.unwrap_or(total);
        Answer {
            text: self.text,
            end,
            time_to_first_text: first,
            total_time: total,
            retries: self.resumed,
        }
    }
}

/// Tells whether a refusal may give way to an answer soon.
fn worth_repeating(refusal: &Refusal) -> bool {
    match refusal.code {
        Code::Overloaded
        | Code::NoEndpoint
        | Code::PlatformDown
        | Code::Stopping
        | Code::OwnerChanging => refusal.retry_after_ms.is_some(),
        _ => false,
    }
}

fn jitter(seed: u32) -> f64 {
    f64::from(seed.wrapping_mul(2_654_435_761)) / f64::from(u32::MAX)
}

fn broken(error: reqwest::Error) -> Error {
    Error::Transport(error.to_string())
}

async fn refused(response: reqwest::Response) -> Result<reqwest::Response, Error> {
    if response.status().is_success() {
        return Ok(response);
    }
    let status = response.status();
    match response.json::<Refusal>().await {
        Ok(refusal) => Err(Error::Refused(refusal)),
        Err(_) => Err(Error::Transport(format!("the entry VM answered with status {status}"))),
    }
}

fn take_event(buffer: &mut Vec<u8>) -> Result<Option<Event>, Error> {
    while let Some(end) = buffer.iter().position(|&byte| byte == b'\n') {
        let line: Vec<u8> = buffer.drain(..=end).collect();
        if let Some(data) = line.strip_prefix(DATA) {
            let event = serde_json::from_slice(data);
            return event.map(Some).map_err(|error| Error::Transport(error.to_string()));
        }
    }
    Ok(None)
}
