//! Clients of a soak: programs that end, programs without end, and questions for the version.

use super::Spec;
use super::stage::{EVENT_TOKENS, EVENTS, Stage};
use crate::gateway_harness::HOST;
use compact_str::{CompactString, format_compact};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Time that a client waits for an answer.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// Time beyond the deadline after which a client gives up.
const PATIENCE: Duration = Duration::from_secs(2);
/// Most tokens of one turn.
pub const MOST: u64 = EVENTS * EVENT_TOKENS;
/// Budget of a program, which a program without end spends.
pub const BUDGET: u64 = 6 * MOST;
/// Turns of a program that ends, and of one without end.
const TURNS: [u32; 2] = [4, 12];
/// Turns that a program without end starts at once.
const FAN_OUT: u32 = 3;
/// Tries of a request that was refused as not run.
const TRIES: u32 = 4;
/// Pause between two programs of a client.
const PROGRAM_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a refusal.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It may run more than once.
    Safe,
    /// It may run at most once.
    Unsafe,
    /// A turn whose stream may be resumed.
    Turn,
    /// A turn whose stream may not be resumed.
    PlainTurn,
    /// A question for the route that only this version and the next have.
    Version(u64),
}

impl Kind {
    fn path(self) -> CompactString {
        match self {
            Self::Safe => "/safe/x".into(),
            Self::Unsafe => "/unsafe/x".into(),
            Self::Turn => "/stream/x".into(),
            Self::PlainTurn => "/plain/x".into(),
            Self::Version(version) => format_compact!("/v{version}/x"),
        }
    }

    /// Tells whether the answer is a stream.
    pub fn streams(self) -> bool {
        matches!(self, Self::Turn | Self::PlainTurn)
    }
}

/// What a client was told.
#[derive(Clone, Debug, Default)]
pub struct Told {
    /// Status, 0 when no head came.
    pub status: u16,
    /// Whether the answer ended as its framing says.
    pub complete: bool,
    /// Whether an endpoint signed it.
    pub signed: bool,
    /// The body as far as it came.
    pub body: String,
    /// Why nothing more came.
    pub fault: Option<String>,
    /// Time to wait before the next try.
    pub retry_after: Option<Duration>,
}

impl Told {
    /// Tells whether the request was served.
    pub fn served(&self) -> bool {
        self.status == 200 && self.complete
    }

    /// Ids of the events, in order.
    pub fn events(&self) -> Vec<u64> {
        let whole = self.body.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
        let ids = whole.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.filter_map(|id| id.parse().ok()).collect()
    }
}

/// One request with its answer.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id.
    pub id: CompactString,
    /// Its kind.
    pub kind: Kind,
    /// Its program.
    pub program: CompactString,
    /// Number of the daemon that it went to.
    pub daemon: usize,
    /// When it was sent.
    pub sent: Instant,
    /// When its answer had ended.
    pub ended: Instant,
    /// What was told.
    pub told: Told,
}

/// The running clients.
pub struct Callers(Vec<JoinHandle<Vec<Call>>>);

impl Callers {
    /// Waits for all clients and returns their requests.
    ///
    /// # Panics
    ///
    /// Panics when a client has panicked.
    pub async fn gather(self) -> Vec<Call> {
        let mut calls = Vec::new();
        for client in self.0 {
            calls.extend(client.await.expect("a client ends"));
        }
        calls
    }
}

/// Starts the clients; they stop soon after `stop` turns true.
pub fn start(stage: &Stage, spec: &Spec, stop: &watch::Receiver<bool>) -> Callers {
    let addrs: Vec<SocketAddr> = stage.posts.iter().map(|post| post.clients.addr).collect();
    let clients = (0..spec.clients).map(|number| {
        let rng = fastrand::Rng::with_seed(spec.seed * 1_000 + number as u64);
        let http = reqwest::Client::builder().timeout(DEADLINE + PATIENCE).build();
        let client = Client {
            name: format_compact!("{}-{number}", spec.seed),
            http: http.expect("a client"),
            addrs: addrs.clone(),
            rng,
            sent: 0,
            calls: Vec::new(),
        };
        let stop = stop.clone();
        match number {
            0 => tokio::spawn(client.ask_versions(stop)),
            _ => tokio::spawn(client.run_programs(stop, number % 3 == 1)),
        }
    });
    Callers(clients.collect())
}

struct Client {
    name: CompactString,
    http: reqwest::Client,
    addrs: Vec<SocketAddr>,
    rng: fastrand::Rng,
    sent: u32,
    calls: Vec<Call>,
}

impl Client {
    /// Asks every daemon for the routes of the coming versions.
    async fn ask_versions(mut self, stop: watch::Receiver<bool>) -> Vec<Call> {
        let mut newest = 1;
        while !*stop.borrow() {
            for daemon in 0..self.addrs.len() {
                for version in [newest, newest + 1] {
                    let call = self.prepare(Kind::Version(version), "", daemon).send().await;
                    if call.told.served() {
                        newest = newest.max(version);
                    }
                    self.calls.push(call);
                }
            }
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        self.calls
    }

    async fn run_programs(mut self, stop: watch::Receiver<bool>, endless: bool) -> Vec<Call> {
        let mut number = 0;
        while !*stop.borrow() {
            number += 1;
            let program = format_compact!("{}-{number}", self.name);
            match endless {
                true => self.run_endless(&program, &stop).await,
                false => self.run_program(&program, &stop).await,
            }
            // While all daemons are down, programs fail at once.
            tokio::time::sleep(PROGRAM_PAUSE).await;
        }
        self.calls
    }

    /// A program that stops at its first failure.
    async fn run_program(&mut self, program: &str, stop: &watch::Receiver<bool>) {
        for _ in 0..TURNS[0] {
            let kinds = [Kind::Turn, Kind::PlainTurn, Kind::Safe, Kind::Unsafe, Kind::Unsafe];
            for kind in [Kind::Turn, kinds[self.rng.usize(..kinds.len())]] {
                if *stop.borrow() || !self.ask(kind, program).await {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(self.rng.u64(..60))).await;
        }
    }

    /// A program that starts turns whatever it is told.
    async fn run_endless(&mut self, program: &str, stop: &watch::Receiver<bool>) {
        for _ in 0..TURNS[1] {
            if *stop.borrow() {
                return;
            }
            let turns: Vec<Prepared> = (0..FAN_OUT)
                .map(|_| {
                    let daemon = self.rng.usize(..self.addrs.len());
                    self.prepare(Kind::Turn, program, daemon)
                })
                .collect();
            let turns: Vec<_> = turns.into_iter().map(|turn| tokio::spawn(turn.send())).collect();
            for turn in turns {
                self.calls.push(turn.await.expect("a turn ends"));
            }
            tokio::time::sleep(Duration::from_millis(self.rng.u64(..150))).await;
        }
    }

    /// Asks until the request is served; one that may have run is not sent again.
    async fn ask(&mut self, kind: Kind, program: &str) -> bool {
        for _ in 0..TRIES {
            let daemon = self.rng.usize(..self.addrs.len());
            let call = self.prepare(kind, program, daemon).send().await;
            let told = call.told.clone();
            self.calls.push(call);
            if told.served() {
                return true;
            }
            if !matches!(told.status, 429 | 503) {
                return false;
            }
            tokio::time::sleep(told.retry_after.unwrap_or_default().min(PAUSE_MAX)).await;
        }
        false
    }

    fn prepare(&mut self, kind: Kind, program: &str, daemon: usize) -> Prepared {
        self.sent += 1;
        let id = format_compact!("{}.{}", self.name, self.sent);
        let addr = self.addrs[daemon];
        let url = format!("http://{addr}{}", kind.path());
        let request = match kind {
            Kind::Safe | Kind::Version(_) => self.http.get(url),
            _ => self.http.post(url).body("body"),
        };
        let request = request
            .header("Host", HOST)
            .header("Request-Id", id.as_str())
            .header("Deadline-Ms", DEADLINE.as_millis().to_string());
        let request = match kind.streams() {
            true => request
                .header("Program-Id", program)
                .header("Session-Id", program)
                .header("Token-Budget", BUDGET.to_string())
                .header("Token-Usage", format!("100,{MOST}")),
            false => request,
        };
        Prepared { id, kind, program: program.into(), daemon, request }
    }
}

/// A request that is ready to be sent.
struct Prepared {
    id: CompactString,
    kind: Kind,
    program: CompactString,
    daemon: usize,
    request: reqwest::RequestBuilder,
}

impl Prepared {
    async fn send(self) -> Call {
        let Self { id, kind, program, daemon, request } = self;
        let sent = Instant::now();
        let mut told = Told::default();
        if let Err(error) = read(request, &mut told).await {
            told.fault = Some(format!("{error:?}"));
        }
        let ended = Instant::now();
        Call { id, kind, program, daemon, sent, ended, told }
    }
}

async fn read(request: reqwest::RequestBuilder, told: &mut Told) -> reqwest::Result<()> {
    let mut answer = request.send().await?;
    let header = |name: &str| answer.headers().get(name).and_then(|value| value.to_str().ok());
    told.signed = header("Response-Signature").is_some();
    let seconds = header("Retry-After").and_then(|value| value.parse().ok());
    told.retry_after = seconds.map(Duration::from_secs_f64);
    told.status = answer.status().as_u16();
    while let Some(bytes) = answer.chunk().await? {
        told.body += &String::from_utf8_lossy(&bytes);
    }
    told.complete = true;
    Ok(())
}
