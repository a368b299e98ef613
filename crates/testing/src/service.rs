//! Stand-in for a plain service with a ledger.
//!
//! The service does not recognise repeats: each request that it runs adds a line to its ledger,
//! which is the witness for effects that must happen at most once.

use crate::faults::Injector;
use crate::net::{self, Server};
use compact_str::CompactString;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::{Request, State, post, routes};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Time after which a hung request is dropped by the service.
const HANG: Duration = Duration::from_secs(60);

/// One request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Program that asked.
    pub program: CompactString,
    /// Idempotency key of the request.
    pub key: CompactString,
    /// Operation.
    pub op: CompactString,
    /// Body.
    pub body: String,
}

/// Requests that ran, in order.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Vec<Effect>>>);

impl Log {
    /// Copies the ledger.
    pub fn effects(&self) -> Vec<Effect> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn add(&self, line: Effect) -> usize {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line);
        lines.len()
    }
}

/// A running stand-in.
pub struct Service {
    /// Its name.
    pub name: CompactString,
    /// Its server.
    pub server: Server,
    /// What it ran.
    pub log: Log,
    received: Arc<AtomicUsize>,
}

struct Shared {
    name: CompactString,
    log: Log,
    faults: Injector,
    time: Duration,
    received: Arc<AtomicUsize>,
}

impl Service {
    /// Starts the stand-in; a healthy request takes `time`.
    pub async fn start(name: &str, time: Duration, faults: Injector) -> Self {
        let log = Log::default();
        let received = Arc::new(AtomicUsize::new(0));
        let shared = Shared {
            name: name.into(),
            log: log.clone(),
            faults,
            time,
            received: received.clone(),
        };
        let server = net::launch(|rocket| rocket.manage(shared).mount("/", routes![run])).await;
        Self { name: name.into(), server, log, received }
    }

    /// Requests that arrived, whether or not they have run.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}

struct Headers {
    program: CompactString,
    key: CompactString,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Headers {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let header = |name| request.headers().get_one(name).unwrap_or_default().into();
        Outcome::Success(Self { program: header("X-Program"), key: header("Idempotency-Key") })
    }
}

#[post("/<op>", data = "<body>")]
async fn run(
    app: &State<Shared>,
    op: &str,
    headers: Headers,
    body: String,
) -> Result<String, Status> {
    app.received.fetch_add(1, Ordering::Relaxed);
    let faults = app.faults.endpoint(&app.name);
    if faults.refuse {
        return Err(Status::ServiceUnavailable);
    }
    tokio::time::sleep(app.time.mul_f64(faults.slowdown) + faults.delay).await;
    let line =
        Effect { program: headers.program, key: headers.key, op: op.into(), body: body.clone() };
    let count = app.log.add(line);
    if faults.hang {
        tokio::time::sleep(HANG).await;
    }
    let lost =
        faults.lose_response_every > 0 && count.is_multiple_of(faults.lose_response_every as usize);
    match lost {
        true => Err(Status::GatewayTimeout),
        false => Ok(format!("{op} done: {body}")),
    }
}
