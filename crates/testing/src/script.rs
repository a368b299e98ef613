//! Fake endpoint that serves a gateway and handles each request according to a script.
//!
//! It writes raw bytes, so it can cut a response short anywhere or send a response that does not
//! belong to any request. It records every request that it runs, and every run whose connection was
//! closed before the response ended.

use crate::net;
use indexmap::IndexMap;
use socket2::SockRef;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Time for which a request runs that ends the process.
const TIME_TO_CRASH: Duration = Duration::from_millis(60);

/// Header of a complete response that says how long the connection stays open.
const KEEP_ALIVE: &str = "Keep-Alive: timeout=5";

/// Handling of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Sends a complete response.
    Respond,
    /// Sends a complete response after a delay.
    RespondAfter(Duration),
    /// Sends a complete response with this line in place of the usual `Keep-Alive` header.
    RespondWith(&'static str),
    /// Sends a complete response with status 500.
    InternalError,
    /// Streams events up to number `events`, one every `gap`, starting after `Last-Event-Id`. After
    /// `breaks_after` events the connection closes in the middle of the next one.
    Stream {
        /// Number of the last event.
        events: u64,
        /// Time between two events.
        gap: Duration,
        /// Number of complete events after which the stream breaks off.
        breaks_after: Option<u64>,
    },
    /// Streams `events` events, one every `gap`, then closes the connection in the middle of the next
    /// one and accepts no more connections, like a process that crashes.
    Crash {
        /// Number of complete events.
        events: u64,
        /// Time between two events.
        gap: Duration,
    },
    /// Sends a response without a length or chunks, which ends with its connection.
    Unframed(Unframed),
    /// Refuses the request with status 503 and a header saying that it was not run.
    Full,
    /// Refuses the request with status 421 and the id of another endpoint.
    Misdirected,
    /// Runs the request and closes the connection without a response.
    Close,
    /// Sends a response with the id of another request.
    MismatchedResponse,
    /// Sends two complete responses.
    RespondTwice,
    /// Sends a response that ends before its declared length.
    Truncated,
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Sends a response head that never ends.
    EndlessHead,
    /// Sends a response body that never ends.
    EndlessBody,
    /// Sends a stream whose first event never ends.
    EndlessEvent,
    /// Streams one event, and then one byte of the next event after each pause of this length.
    Trickle(Duration),
    /// Runs the request, sends these bytes, in which `{id}` stands for the request id, and closes the
    /// connection.
    Raw(String),
    /// Sends bytes, in which `{id}` stands for the request id, and then handles the request.
    Precede {
        /// Bytes to send.
        bytes: String,
        /// How the request is handled.
        then: Box<Self>,
    },
    /// Handles the request, waits, and sends bytes while the connection is idle or in use again.
    Follow {
        /// How the request is handled.
        first: Box<Self>,
        /// Time to wait.
        pause: Duration,
        /// Bytes to send.
        bytes: String,
    },
    /// Keeps the connection open for 60 s without responding, then closes it.
    NoResponse,
    /// Resets the connection without running the request, like an endpoint that is down.
    Reset,
}

/// Response without a length or chunks, which ends with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unframed {
    /// HTTP version in the status line.
    pub http: &'static str,
    /// Number of the last event of a stream; `None` sends a plain body.
    pub events: Option<u64>,
    /// Number of bytes that are left out at the end of the body.
    pub missing: usize,
    /// Whether the connection is reset instead of closed.
    pub reset: bool,
}

impl Unframed {
    /// Returns the body that follows event `after`, without the bytes that are left out.
    fn body(&self, after: u64) -> String {
        let Some(events) = self.events else {
            return "served"[..6 - self.missing].to_owned();
        };
        let body: String = (after + 1..=events).map(event).collect();
        let length = body.len().saturating_sub(self.missing);
        body.get(..length)
            .map(str::to_owned)
            .unwrap_or_else(|| String::from_utf8_lossy(&body.as_bytes()[..length]).into_owned())
    }
}

/// Returns event number `id` of a stream.
fn event(id: u64) -> String {
    format!("id: {id}\ndata: part {id}\n\n")
}

/// Request that was run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Request line.
    pub request_line: String,
    /// Headers by name in lower case.
    pub headers: IndexMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// Time at which the request was received.
    pub started: Instant,
}

#[derive(Default)]
struct State {
    script: VecDeque<Behaviour>,
    default: Option<Behaviour>,
    runs: Vec<Run>,
    abandoned: Vec<(String, Instant)>,
    connections: usize,
    /// Task that accepts connections.
    listener: Option<AbortHandle>,
    rate_limit: Option<f64>,
    leaving: bool,
    /// Start time that the endpoint names in its registration and in its report.
    start_time: Option<u64>,
    /// Tasks that serve the open connections.
    serving: Vec<AbortHandle>,
    /// Text in the path or the body of the requests that end the process.
    deadly: Option<String>,
}

/// Running scripted endpoint; clones share its state.
#[derive(Clone)]
pub struct Endpoint {
    /// Endpoint id.
    pub id: String,
    /// Address that the endpoint listens on.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    /// Starts an endpoint that handles requests according to `default` when its script is empty.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub async fn start(id: &str, default: Behaviour) -> Self {
        let addr = net::free_addr();
        let listener = TcpListener::bind(addr).await.expect("failed to bind the endpoint");
        let state = State { default: Some(default), ..State::default() };
        let endpoint = Self { id: id.to_owned(), addr, state: Arc::new(Mutex::new(state)) };
        let accept = tokio::spawn(endpoint.clone().accept(listener));
        endpoint.lock().listener = Some(accept.abort_handle());
        endpoint
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Appends the handling of the next requests to the script.
    pub fn extend_script(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.lock().script.extend(behaviours);
    }

    /// Closes the listening socket, so that the endpoint accepts no more connections.
    pub fn stop(&self) {
        if let Some(listener) = self.lock().listener.take() {
            listener.abort();
        }
    }

    /// Sets the limit on requests per second that the endpoint names in its responses; `None` names
    /// none. The endpoint doesn't enforce it.
    pub fn set_rate_limit(&self, rate_limit: Option<f64>) {
        self.lock().rate_limit = rate_limit;
    }

    /// Sets whether the endpoint says in each response that it leaves. It goes on serving.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Sets the start time that the endpoint names, in milliseconds since the Unix epoch; before, its
    /// report names none.
    pub fn set_start_time(&self, start_time: u64) {
        self.lock().start_time = Some(start_time);
    }

    /// Returns the start time that the endpoint names.
    pub fn start_time(&self) -> Option<u64> {
        self.lock().start_time
    }

    /// Closes all connections and goes on as a process that started at `start_time` under the same id
    /// and address.
    pub fn restart(&self, start_time: u64) {
        let mut state = self.lock();
        state.serving.drain(..).for_each(|connection| connection.abort());
        state.leaving = false;
        state.start_time = Some(start_time);
    }

    /// Makes the endpoint crash shortly after it has begun to run a request with `text` in its path or
    /// body, or after none.
    pub fn set_deadly(&self, text: Option<&str>) {
        self.lock().deadly = text.map(str::to_owned);
    }

    /// Closes all connections and accepts no more, like a process that ends.
    pub fn crash(&self) {
        self.stop();
        self.lock().serving.drain(..).for_each(|connection| connection.abort());
    }

    /// Returns whether the endpoint accepts no more connections.
    pub fn has_stopped(&self) -> bool {
        self.lock().listener.is_none()
    }

    /// Returns the requests that were run, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the id of each request whose connection was closed before its response ended, and
    /// the time at which the endpoint noticed.
    pub fn abandoned(&self) -> Vec<(String, Instant)> {
        self.lock().abandoned.clone()
    }

    /// Returns the number of connections opened so far.
    pub fn connection_count(&self) -> usize {
        self.lock().connections
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.lock().connections += 1;
            let endpoint = self.clone();
            let serving = tokio::spawn(async move {
                // Connection errors are an expected part of the scripts.
                let _ = endpoint.serve(stream).await;
            });
            let mut state = self.lock();
            state.serving.retain(|connection| !connection.is_finished());
            state.serving.push(serving.abort_handle());
        }
    }

    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(run) = read_request(&mut stream, &mut buffer).await? {
            if run.request_line.starts_with("GET /api/report ") {
                let report = serde_json::json!({ "queued": 0, "born": self.start_time() });
                let report = complete_response(&run.id, 200, &report.to_string());
                self.send(&mut stream, &report).await?;
                continue;
            }
            let behaviour = {
                let mut state = self.lock();
                let behaviour = state.script.pop_front().or(state.default.clone());
                behaviour.unwrap_or(Behaviour::Respond)
            };
            if !matches!(behaviour, Behaviour::Full | Behaviour::Misdirected | Behaviour::Reset) {
                self.lock().runs.push(run.clone());
            }
            let deadly = self.lock().deadly.clone();
            let body = String::from_utf8_lossy(&run.body);
            let contains = |text: &String| run.request_line.contains(text) || body.contains(text);
            if deadly.as_ref().is_some_and(contains) {
                let head = chunked_head(&run.id, "Content-Type: text/event-stream");
                stream.write_all(head.as_bytes()).await?;
                tokio::time::sleep(TIME_TO_CRASH).await;
                self.crash();
                return Ok(());
            }
            let keep_alive = self.handle(&mut stream, &run, behaviour).await?;
            if !keep_alive {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Handles one request and returns whether the connection stays open.
    async fn handle(
        &self,
        stream: &mut TcpStream,
        run: &Run,
        behaviour: Behaviour,
    ) -> std::io::Result<bool> {
        match behaviour {
            Behaviour::Respond => {
                self.send(stream, &complete_response(&run.id, 200, "served")).await
            }
            Behaviour::RespondAfter(time) => {
                if self.closed_within(stream, run, time).await? {
                    return Ok(false);
                }
                self.send(stream, &complete_response(&run.id, 200, "served")).await
            }
            Behaviour::RespondWith(header) => {
                let response = complete_response(&run.id, 200, "served");
                let response = String::from_utf8_lossy(&response);
                let response = response.replace(KEEP_ALIVE, header);
                self.send(stream, response.as_bytes()).await
            }
            Behaviour::InternalError => {
                self.send(stream, &complete_response(&run.id, 500, "failed")).await
            }
            Behaviour::Stream { events, gap, breaks_after } => {
                self.stream(stream, run, events, gap, breaks_after).await
            }
            Behaviour::Crash { events, gap } => {
                let keep_alive = self.stream(stream, run, u64::MAX, gap, Some(events)).await;
                self.stop();
                keep_alive
            }
            Behaviour::Unframed(unframed) => {
                let last = run.headers.get("last-event-id").and_then(|id| id.parse().ok());
                let kind =
                    if unframed.events.is_some() { "text/event-stream" } else { "text/plain" };
                let response = format!(
                    "{} 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: sig.{}\r\n\
                     Content-Type: {kind}\r\n\r\n{}",
                    unframed.http,
                    run.id,
                    run.id,
                    unframed.body(last.unwrap_or(0))
                );
                self.send(stream, response.as_bytes()).await?;
                if unframed.reset {
                    // The reader has what was sent before the reset.
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                }
                Ok(false)
            }
            Behaviour::Full => {
                self.send(stream, &refusal(&run.id, 503, "Not-Executed: 1\r\n")).await
            }
            Behaviour::Misdirected => {
                self.send(stream, &refusal(&run.id, 421, "Instance-Id: other\r\n")).await
            }
            Behaviour::Close => Ok(false),
            Behaviour::Reset => {
                // Closing with a zero linger time sends a reset.
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                Ok(false)
            }
            Behaviour::MismatchedResponse => {
                self.send(stream, &complete_response("another", 200, "not yours")).await
            }
            Behaviour::RespondTwice => {
                let response = complete_response(&run.id, 200, "served");
                self.send(stream, &[response.clone(), response].concat()).await
            }
            Behaviour::Truncated => {
                let response = complete_response(&run.id, 200, "served");
                self.send(stream, &response[..response.len() - 3]).await?;
                Ok(false)
            }
            Behaviour::Garbage => {
                self.send(stream, b"\x00\x01nothing that a server says\r\n\r\n").await?;
                Ok(false)
            }
            Behaviour::EndlessHead => {
                let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\n", run.id);
                self.flood(stream, run, &head, "X-More: and more of it, without end\r\n").await
            }
            Behaviour::EndlessBody => {
                let head = chunked_head(&run.id, "Content-Type: text/plain");
                self.flood(stream, run, &head, &chunk(&"more of it, without end ".repeat(40))).await
            }
            Behaviour::EndlessEvent => {
                let head = chunked_head(&run.id, "Content-Type: text/event-stream");
                self.flood(stream, run, &head, &chunk(&"data: more, without end\n".repeat(40)))
                    .await
            }
            Behaviour::Trickle(gap) => {
                let head = chunked_head(&run.id, "Content-Type: text/event-stream");
                let event = chunk("id: 1\ndata: part 1\n\n");
                stream.write_all(format!("{head}{event}").as_bytes()).await?;
                while !self.closed_within(stream, run, gap).await? {
                    stream.write_all(chunk("d").as_bytes()).await?;
                }
                Ok(false)
            }
            Behaviour::Raw(bytes) => {
                stream.write_all(bytes.replace("{id}", &run.id).as_bytes()).await?;
                Ok(false)
            }
            Behaviour::Precede { bytes, then } => {
                stream.write_all(bytes.replace("{id}", &run.id).as_bytes()).await?;
                Box::pin(self.handle(stream, run, *then)).await
            }
            Behaviour::Follow { first, pause, bytes } => {
                let keep_alive = Box::pin(self.handle(stream, run, *first)).await?;
                tokio::time::sleep(pause).await;
                stream.write_all(bytes.as_bytes()).await?;
                Ok(keep_alive)
            }
            Behaviour::NoResponse => {
                self.closed_within(stream, run, Duration::from_secs(60)).await?;
                Ok(false)
            }
        }
    }

    async fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<bool> {
        stream.write_all(&self.with_own_headers(bytes)).await?;
        Ok(true)
    }

    /// Returns `response` with the headers that the endpoint sends in each response: its rate limit,
    /// if it names one, and that it leaves, if it does.
    fn with_own_headers(&self, response: &[u8]) -> Vec<u8> {
        let mut headers = String::new();
        {
            let state = self.lock();
            if let Some(rate_limit) = state.rate_limit {
                headers += &format!("Server-Limit: {rate_limit}\r\n");
            }
            if state.leaving {
                headers += "Server-Leaving: 1\r\n";
            }
        }
        let status_line = response.iter().position(|byte| *byte == b'\n').map(|end| end + 1);
        let mut response = response.to_vec();
        if let Some(end) = status_line {
            response.splice(end..end, headers.into_bytes());
        }
        response
    }

    /// Sends `head`, then repeats `repeated` until the client closes the connection.
    async fn flood(
        &self,
        stream: &mut TcpStream,
        run: &Run,
        head: &str,
        repeated: &str,
    ) -> std::io::Result<bool> {
        stream.write_all(head.as_bytes()).await?;
        while stream.write_all(repeated.as_bytes()).await.is_ok() {}
        self.lock().abandoned.push((run.id.clone(), Instant::now()));
        Ok(false)
    }

    /// Waits for `time` and returns whether the client closed the connection meanwhile.
    async fn closed_within(
        &self,
        stream: &mut TcpStream,
        run: &Run,
        time: Duration,
    ) -> std::io::Result<bool> {
        let mut byte = [0];
        let closed = tokio::time::timeout(time, stream.peek(&mut byte)).await;
        let closed = matches!(closed, Ok(Ok(0) | Err(_)));
        if closed {
            self.lock().abandoned.push((run.id.clone(), Instant::now()));
        }
        Ok(closed)
    }

    /// Streams the remaining events of `run` and returns whether the connection stays open.
    async fn stream(
        &self,
        stream: &mut TcpStream,
        run: &Run,
        events: u64,
        gap: Duration,
        breaks_after: Option<u64>,
    ) -> std::io::Result<bool> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Signature: {}.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            run.id, self.id, run.id
        );
        self.send(stream, head.as_bytes()).await?;
        let last = run.headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for (sent, id) in (last + 1..=events).enumerate() {
            if self.closed_within(stream, run, gap).await? {
                return Ok(false);
            }
            let event = event(id);
            if breaks_after == Some(sent as u64) {
                let half = &event[..event.len() / 2];
                stream.write_all(chunk(half).as_bytes()).await?;
                return Ok(false);
            }
            stream.write_all(chunk(&event).as_bytes()).await?;
        }
        stream.write_all(b"0\r\n\r\n").await?;
        Ok(true)
    }
}

/// Returns the head of a response with a chunked body.
fn chunked_head(id: &str, header: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\n{header}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn complete_response(id: &str, status: u16, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\n\
         {KEEP_ALIVE}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body.as_bytes()].concat()
}

fn refusal(id: &str, status: u16, header: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\n{header}Content-Length: 0\r\n\r\n"
    );
    head.into_bytes()
}

/// Reads the next request; returns `None` if the connection ends before a complete request.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> std::io::Result<Option<Run>> {
    let head = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break buffer.drain(..end + 4).collect::<Vec<u8>>();
        }
        assert!(buffer.len() < MAX_HEAD_BYTES, "request head exceeds the size limit");
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&head).into_owned();
    let mut lines = head.lines();
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: IndexMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
    let body = buffer.drain(..length).collect();
    let id = headers.get("request-id").cloned().unwrap_or_default();
    Ok(Some(Run { id, request_line: line, headers, body, started: Instant::now() }))
}
