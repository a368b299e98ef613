//! Clients of a soak run: sequential programs, programs that exhaust their budget, and probes for
//! the configuration version.

use super::Spec;
use super::testbed::{EVENT_TOKENS, EVENTS, Testbed};
use crate::gateway_harness::HOST;
use compact_str::{CompactString, format_compact};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Deadline that clients send with each request.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// Time past the deadline after which a client gives up waiting for the response.
const GRACE_PERIOD: Duration = Duration::from_secs(2);
/// Maximum number of tokens of one turn.
pub const MAX_TURN_TOKENS: u64 = EVENTS * EVENT_TOKENS;
/// Token budget of a program.
pub const BUDGET: u64 = 6 * MAX_TURN_TOKENS;
/// Number of rounds of a sequential program, and of one that exhausts its budget.
const ROUNDS: [u32; 2] = [4, 12];
/// Concurrent turns per round of a program that exhausts its budget.
const CONCURRENT_TURNS: u32 = 3;
/// Maximum number of attempts of a request that is refused as not run.
const MAX_ATTEMPTS: u32 = 4;
/// Pause between two programs of a client. Without it, clients would start programs in a busy loop
/// while all daemons are down, because each fails at once.
const PROGRAM_PAUSE: Duration = Duration::from_millis(50);
/// Maximum delay before a refused request is sent again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Request that may run more than once.
    Safe,
    /// Request that may run at most once.
    Unsafe,
    /// Turn whose stream may be resumed.
    ResumableTurn,
    /// Turn whose stream may not be resumed.
    NonResumableTurn,
    /// Request to the route that exists only in this configuration version and the next.
    VersionProbe(u64),
}

impl Kind {
    fn path(self) -> CompactString {
        match self {
            Self::Safe => "/safe/x".into(),
            Self::Unsafe => "/unsafe/x".into(),
            Self::ResumableTurn => "/stream/x".into(),
            Self::NonResumableTurn => "/plain/x".into(),
            Self::VersionProbe(version) => format_compact!("/v{version}/x"),
        }
    }

    /// Returns whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableTurn | Self::NonResumableTurn)
    }
}

/// Response as the client received it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// Status code; 0 if no response head was received.
    pub status: u16,
    /// Whether the whole body was received, according to its framing.
    pub complete: bool,
    /// Whether it carries an endpoint's signature.
    pub signed: bool,
    /// Part of the body that was received.
    pub body: String,
    /// Error that ended the response early.
    pub error: Option<String>,
    /// Delay that the gateway requested before the next attempt.
    pub retry_after: Option<Duration>,
}

impl Response {
    /// Returns whether the request was served.
    pub fn served(&self) -> bool {
        self.status == 200 && self.complete
    }

    /// Returns the ids of all completely received events, in order.
    pub fn events(&self) -> Vec<u64> {
        let complete = self.body.rsplit_once("\n\n").map_or("", |(complete, _)| complete);
        let ids = complete.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// Request and its response.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// Request id.
    pub id: CompactString,
    /// Kind of the request.
    pub kind: Kind,
    /// Program id; empty for version probes.
    pub program: CompactString,
    /// Number of the daemon that the request was sent to.
    pub daemon: usize,
    /// Time at which the request was sent.
    pub sent: Instant,
    /// Time at which the response ended or failed.
    pub ended: Instant,
    /// Response to the request.
    pub response: Response,
}

/// Running clients.
pub struct Clients(Vec<JoinHandle<Vec<Exchange>>>);

impl Clients {
    /// Waits until all clients have stopped and returns their requests.
    ///
    /// # Panics
    ///
    /// Panics if a client panicked.
    pub async fn join(self) -> Vec<Exchange> {
        let mut exchanges = Vec::new();
        for client in self.0 {
            exchanges.extend(client.await.expect("a client task panicked"));
        }
        exchanges
    }
}

/// Starts the clients, which stop soon after `stop` becomes true.
pub fn start(testbed: &Testbed, spec: &Spec, stop: &watch::Receiver<bool>) -> Clients {
    let addrs: Vec<SocketAddr> =
        testbed.daemons.iter().map(|proxied| proxied.client_proxy.addr).collect();
    let clients = (0..spec.clients).map(|number| {
        let rng = fastrand::Rng::with_seed(spec.seed * 1_000 + number as u64);
        let http = reqwest::Client::builder().timeout(DEADLINE + GRACE_PERIOD).build();
        let client = Client {
            name: format_compact!("{}-{number}", spec.seed),
            http: http.expect("failed to create the HTTP client"),
            addrs: addrs.clone(),
            rng,
            request_count: 0,
            exchanges: Vec::new(),
        };
        let stop = stop.clone();
        match number {
            0 => tokio::spawn(client.probe_versions(stop)),
            _ => tokio::spawn(client.run_programs(stop, number % 3 == 1)),
        }
    });
    Clients(clients.collect())
}

struct Client {
    name: CompactString,
    http: reqwest::Client,
    addrs: Vec<SocketAddr>,
    rng: fastrand::Rng,
    request_count: u32,
    exchanges: Vec<Exchange>,
}

impl Client {
    /// Probes all daemons for the latest version seen so far and the next one.
    async fn probe_versions(mut self, stop: watch::Receiver<bool>) -> Vec<Exchange> {
        let mut latest = 1;
        while !*stop.borrow() {
            for daemon in 0..self.addrs.len() {
                for version in [latest, latest + 1] {
                    let exchange =
                        self.prepare(Kind::VersionProbe(version), "", daemon).send().await;
                    if exchange.response.served() {
                        latest = latest.max(version);
                    }
                    self.exchanges.push(exchange);
                }
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        self.exchanges
    }

    async fn run_programs(
        mut self,
        stop: watch::Receiver<bool>,
        exhaust_budget: bool,
    ) -> Vec<Exchange> {
        let mut number = 0;
        while !*stop.borrow() {
            number += 1;
            let program = format_compact!("{}-{number}", self.name);
            match exhaust_budget {
                true => self.run_exhausting_program(&program, &stop).await,
                false => self.run_sequential_program(&program, &stop).await,
            }
            tokio::time::sleep(PROGRAM_PAUSE).await;
        }
        self.exchanges
    }

    /// Runs a program that sends its requests one after the other and stops at the first failure.
    async fn run_sequential_program(&mut self, program: &str, stop: &watch::Receiver<bool>) {
        for _ in 0..ROUNDS[0] {
            let kinds = [
                Kind::ResumableTurn,
                Kind::NonResumableTurn,
                Kind::Safe,
                Kind::Unsafe,
                Kind::Unsafe,
            ];
            for kind in [Kind::ResumableTurn, kinds[self.rng.usize(..kinds.len())]] {
                if *stop.borrow() || !self.send_with_retries(kind, program).await {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(self.rng.u64(..60))).await;
        }
    }

    /// Runs a program that keeps starting concurrent turns, even after refusals, to exhaust its
    /// budget.
    async fn run_exhausting_program(&mut self, program: &str, stop: &watch::Receiver<bool>) {
        for _ in 0..ROUNDS[1] {
            if *stop.borrow() {
                return;
            }
            let turns: Vec<Request> = (0..CONCURRENT_TURNS)
                .map(|_| {
                    let daemon = self.rng.usize(..self.addrs.len());
                    self.prepare(Kind::ResumableTurn, program, daemon)
                })
                .collect();
            let turns: Vec<_> = turns.into_iter().map(|turn| tokio::spawn(turn.send())).collect();
            for turn in turns {
                self.exchanges.push(turn.await.expect("a turn task panicked"));
            }
            tokio::time::sleep(Duration::from_millis(self.rng.u64(..150))).await;
        }
    }

    /// Sends a request until it is served and returns whether it was.
    ///
    /// Only a request that was refused as not run is sent again.
    async fn send_with_retries(&mut self, kind: Kind, program: &str) -> bool {
        for _ in 0..MAX_ATTEMPTS {
            let daemon = self.rng.usize(..self.addrs.len());
            let exchange = self.prepare(kind, program, daemon).send().await;
            let response = exchange.response.clone();
            self.exchanges.push(exchange);
            if response.served() {
                return true;
            }
            if !matches!(response.status, 429 | 503) {
                return false;
            }
            tokio::time::sleep(response.retry_after.unwrap_or_default().min(MAX_RETRY_DELAY)).await;
        }
        false
    }

    fn prepare(&mut self, kind: Kind, program: &str, daemon: usize) -> Request {
        self.request_count += 1;
        let id = format_compact!("{}.{}", self.name, self.request_count);
        let addr = self.addrs[daemon];
        let url = format!("http://{addr}{}", kind.path());
        let builder = match kind {
            Kind::Safe | Kind::VersionProbe(_) => self.http.get(url),
            _ => self.http.post(url).body("body"),
        };
        let builder = builder
            .header("Host", HOST)
            .header("Request-Id", id.as_str())
            .header("Deadline-Ms", DEADLINE.as_millis().to_string());
        let builder = match kind.is_stream() {
            true => builder
                .header("Program-Id", program)
                .header("Session-Id", program)
                .header("Token-Budget", BUDGET.to_string())
                .header("Token-Usage", format!("100,{MAX_TURN_TOKENS}")),
            false => builder,
        };
        Request { id, kind, program: program.into(), daemon, builder }
    }
}

/// Request that is ready to be sent.
struct Request {
    id: CompactString,
    kind: Kind,
    program: CompactString,
    daemon: usize,
    builder: reqwest::RequestBuilder,
}

impl Request {
    async fn send(self) -> Exchange {
        let Self { id, kind, program, daemon, builder } = self;
        let sent = Instant::now();
        let mut response = Response::default();
        if let Err(error) = read_response(builder, &mut response).await {
            response.error = Some(format!("{error:?}"));
        }
        let ended = Instant::now();
        Exchange { id, kind, program, daemon, sent, ended, response }
    }
}

/// Sends a request and fills in `response`, which keeps what was received before an error.
async fn read_response(
    builder: reqwest::RequestBuilder,
    response: &mut Response,
) -> reqwest::Result<()> {
    let mut received = builder.send().await?;
    let header = |name: &str| received.headers().get(name).and_then(|value| value.to_str().ok());
    response.signed = header("Response-Signature").is_some();
    let seconds = header("Retry-After").and_then(|value| value.parse().ok());
    response.retry_after = seconds.map(Duration::from_secs_f64);
    response.status = received.status().as_u16();
    while let Some(bytes) = received.chunk().await? {
        response.body += &String::from_utf8_lossy(&bytes);
    }
    response.complete = true;
    Ok(())
}
