//! Fake plain service that logs every request it runs.
//!
//! The service does not deduplicate requests: each request that runs is added to the log, so a test
//! can verify that an effect happened at most once.

use crate::faults::Injector;
use crate::net::{self, Server};
use compact_str::CompactString;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::{Request, State, post, routes};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Delay of the response to a hung request.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Program that sent the request.
    pub program: CompactString,
    /// Idempotency key of the request.
    pub key: CompactString,
    /// Requested operation.
    pub op: CompactString,
    /// Request body.
    pub body: String,
}

/// Log of the requests that ran, in order.
#[derive(Clone, Debug, Default)]
pub struct Log(Arc<Mutex<Vec<Effect>>>);

impl Log {
    /// Returns a copy of the logged requests.
    pub fn effects(&self) -> Vec<Effect> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Adds a request and returns the number of logged requests.
    fn add(&self, effect: Effect) -> usize {
        let mut effects = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        effects.push(effect);
        effects.len()
    }
}

/// A running fake service.
pub struct Service {
    /// Name of the endpoint.
    pub name: CompactString,
    /// HTTP server of the fake.
    pub server: Server,
    /// Log of the requests that ran.
    pub log: Log,
    received: Arc<AtomicUsize>,
}

struct Shared {
    name: CompactString,
    log: Log,
    faults: Injector,
    service_time: Duration,
    received: Arc<AtomicUsize>,
}

impl Service {
    /// Starts the fake; a request takes `service_time` if no fault is injected.
    pub async fn start(name: &str, service_time: Duration, faults: Injector) -> Self {
        let log = Log::default();
        let received = Arc::new(AtomicUsize::new(0));
        let shared = Shared {
            name: name.into(),
            log: log.clone(),
            faults,
            service_time,
            received: received.clone(),
        };
        let server = net::launch(|rocket| rocket.manage(shared).mount("/", routes![run])).await;
        Self { name: name.into(), server, log, received }
    }

    /// Returns the number of requests that arrived, including those that have not run.
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
    tokio::time::sleep(app.service_time.mul_f64(faults.slowdown) + faults.delay).await;
    let effect =
        Effect { program: headers.program, key: headers.key, op: op.into(), body: body.clone() };
    let count = app.log.add(effect);
    if faults.hang {
        tokio::time::sleep(HANG_TIMEOUT).await;
    }
    let response_lost =
        faults.lose_response_every > 0 && count.is_multiple_of(faults.lose_response_every as usize);
    match response_lost {
        true => Err(Status::GatewayTimeout),
        false => Ok(format!("{op} done: {body}")),
    }
}
