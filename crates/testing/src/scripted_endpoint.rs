//! Stand-in for an endpoint of a gateway: answers each request as a script says.
//!
//! It speaks raw bytes, so that it can break its answers off anywhere and send what no request asked
//! for. It notes every request that it runs, and every run whose connection closed before its end.

use crate::net;
use indexmap::IndexMap;
use socket2::SockRef;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest head of a request.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How one request is answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// With a whole answer.
    Respond,
    /// With a whole answer after a while.
    RespondAfter(Duration),
    /// With a failure of the endpoint itself.
    InternalError,
    /// With a stream of `events`, one each `gap`; after `breaks_after` of them the connection closes
    /// in the middle of the next.
    Stream {
        /// Number of events in all.
        events: u64,
        /// Time between two events.
        gap: Duration,
        /// Events after which it breaks off.
        breaks_after: Option<u64>,
    },
    /// By saying that it is full and did not run the request.
    Full,
    /// By saying that it is another endpoint.
    Misdirected,
    /// By closing the connection after the request has run.
    Close,
    /// With an answer that belongs to another request.
    MismatchedResponse,
    /// With a whole answer and a second one behind it.
    RespondTwice,
    /// With an answer that ends before its length says.
    Truncated,
    /// With bytes that are no answer.
    Garbage,
    /// With a head that never ends.
    EndlessHead,
    /// With a body that never ends.
    EndlessBody,
    /// With a stream whose first event never ends.
    EndlessEvent,
    /// With one event, and then with a byte of the next one now and then.
    Trickle(Duration),
    /// Not at all.
    NoResponse,
    /// By resetting the connection without running the request, as an endpoint that is down does.
    Reset,
}

/// A request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// Id of the request.
    pub id: String,
    /// Request line.
    pub request_line: String,
    /// Headers, with their names in lower case.
    pub headers: IndexMap<String, String>,
    /// Body.
    pub body: Vec<u8>,
    /// When it began.
    pub started: Instant,
}

#[derive(Default)]
struct State {
    script: VecDeque<Behaviour>,
    otherwise: Option<Behaviour>,
    runs: Vec<Run>,
    abandoned: Vec<(String, Instant)>,
    connections: usize,
}

/// A running endpoint.
#[derive(Clone)]
pub struct Endpoint {
    /// Its id.
    pub id: String,
    /// Its address.
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Endpoint {
    /// Starts an endpoint that answers each request as `otherwise` says.
    ///
    /// # Panics
    ///
    /// Panics when no port can be bound.
    pub async fn start(id: &str, otherwise: Behaviour) -> Self {
        let addr = net::free_addr();
        let listener = TcpListener::bind(addr).await.expect("a free port");
        let state = State { otherwise: Some(otherwise), ..State::default() };
        let endpoint = Self { id: id.to_owned(), addr, state: Arc::new(Mutex::new(state)) };
        tokio::spawn(endpoint.clone().accept(listener));
        endpoint
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds to the script; what it does not cover is answered as before.
    pub fn extend_script(&self, acts: impl IntoIterator<Item = Behaviour>) {
        self.lock().script.extend(acts);
    }

    /// Requests that ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Requests whose connection closed before their answer ended.
    pub fn abandoned(&self) -> Vec<(String, Instant)> {
        self.lock().abandoned.clone()
    }

    /// Connections that were opened.
    pub fn connection_count(&self) -> usize {
        self.lock().connections
    }

    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            self.lock().connections += 1;
            let endpoint = self.clone();
            tokio::spawn(async move {
                // A connection that breaks is part of the play.
                let _ = endpoint.serve(stream).await;
            });
        }
    }

    async fn serve(self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(run) = read(&mut stream, &mut buffer).await? {
            let act = {
                let mut state = self.lock();
                let act = state.script.pop_front().or(state.otherwise.clone());
                act.unwrap_or(Behaviour::Respond)
            };
            if !matches!(act, Behaviour::Full | Behaviour::Misdirected | Behaviour::Reset) {
                self.lock().runs.push(run.clone());
            }
            let played = self.play(&mut stream, &run, act).await?;
            if !played {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Plays one act; returns whether the connection goes on.
    async fn play(
        &self,
        stream: &mut TcpStream,
        run: &Run,
        act: Behaviour,
    ) -> std::io::Result<bool> {
        match act {
            Behaviour::Respond => self.send(stream, &whole(&run.id, 200, "served")).await,
            Behaviour::RespondAfter(time) => {
                if self.pause(stream, run, time).await? {
                    return Ok(false);
                }
                self.send(stream, &whole(&run.id, 200, "served")).await
            }
            Behaviour::InternalError => self.send(stream, &whole(&run.id, 500, "failed")).await,
            Behaviour::Stream { events, gap, breaks_after } => {
                self.stream(stream, run, events, gap, breaks_after).await
            }
            Behaviour::Full => {
                self.send(stream, &refusal(&run.id, 503, "Not-Executed: 1\r\n")).await
            }
            Behaviour::Misdirected => {
                self.send(stream, &refusal(&run.id, 421, "Instance-Id: other\r\n")).await
            }
            Behaviour::Close => Ok(false),
            Behaviour::Reset => {
                // Closing without lingering sends a reset.
                SockRef::from(&*stream).set_linger(Some(Duration::ZERO))?;
                Ok(false)
            }
            Behaviour::MismatchedResponse => {
                self.send(stream, &whole("another", 200, "not yours")).await
            }
            Behaviour::RespondTwice => {
                let answer = whole(&run.id, 200, "served");
                self.send(stream, &[answer.clone(), answer].concat()).await
            }
            Behaviour::Truncated => {
                let answer = whole(&run.id, 200, "served");
                self.send(stream, &answer[..answer.len() - 3]).await?;
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
                let head = head(&run.id, "Content-Type: text/plain");
                self.flood(stream, run, &head, &chunk(&"more of it, without end ".repeat(40))).await
            }
            Behaviour::EndlessEvent => {
                let head = head(&run.id, "Content-Type: text/event-stream");
                self.flood(stream, run, &head, &chunk(&"data: more, without end\n".repeat(40)))
                    .await
            }
            Behaviour::Trickle(gap) => {
                let head = head(&run.id, "Content-Type: text/event-stream");
                let event = chunk("id: 1\ndata: part 1\n\n");
                stream.write_all(format!("{head}{event}").as_bytes()).await?;
                while !self.pause(stream, run, gap).await? {
                    stream.write_all(chunk("d").as_bytes()).await?;
                }
                Ok(false)
            }
            Behaviour::NoResponse => {
                self.pause(stream, run, Duration::from_secs(60)).await?;
                Ok(false)
            }
        }
    }

    async fn send(&self, stream: &mut TcpStream, bytes: &[u8]) -> std::io::Result<bool> {
        stream.write_all(bytes).await?;
        Ok(true)
    }

    /// Sends the same text again and again until the other side closes the connection.
    async fn flood(
        &self,
        stream: &mut TcpStream,
        run: &Run,
        head: &str,
        more: &str,
    ) -> std::io::Result<bool> {
        stream.write_all(head.as_bytes()).await?;
        while stream.write_all(more.as_bytes()).await.is_ok() {}
        self.lock().abandoned.push((run.id.clone(), Instant::now()));
        Ok(false)
    }

    /// Waits; returns whether the other side closed the connection meanwhile.
    async fn pause(
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
        stream.write_all(head.as_bytes()).await?;
        let last = run.headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        for (sent, id) in (last + 1..=events).enumerate() {
            if self.pause(stream, run, gap).await? {
                return Ok(false);
            }
            let event = format!("id: {id}\ndata: part {id}\n\n");
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

/// Head of an answer whose body comes in chunks.
fn head(id: &str, header: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\n{header}\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn whole(id: &str, status: u16, body: &str) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status} Status\r\nRequest-Id: {id}\r\nResponse-Signature: sig.{id}\r\n\
         Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n",
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

/// Reads the next request, `None` at the end of the connection.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> std::io::Result<Option<Run>> {
    let head = loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break buffer.drain(..end + 4).collect::<Vec<u8>>();
        }
        assert!(buffer.len() < MAX_HEAD_BYTES, "a head without end");
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
