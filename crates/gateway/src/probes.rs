//! HTTP server for the load balancer's readiness probe and for metrics.

use crate::ingress::Phase;
use crate::quarantine::Quarantine;
use crate::quarantine::operator::{self, Token};
use crate::recorder::Recorder;
use crate::view::View;
use platform::READY_PATH;
use rocket::http::{Method, Status};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Data, Request, State, get, routes};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// State that decides whether this daemon is ready for new connections.
pub struct Readiness {
    /// Configuration, endpoints and peers known to this daemon.
    pub view: Arc<View>,
    /// Lifecycle phase of the daemon.
    pub phase: watch::Receiver<Phase>,
}

impl Readiness {
    fn is_ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.view.is_complete()
    }
}

#[derive(Clone)]
struct ReadyHandler(Arc<Readiness>);

#[rocket::async_trait]
impl Handler for ReadyHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        match self.0.is_ready() {
            true => Outcome::from(request, "ready"),
            false => Outcome::Error(Status::ServiceUnavailable),
        }
    }
}

#[get("/metrics")]
fn render_metrics(recorder: &State<Recorder>) -> String {
    recorder.render()
}

/// Returns the configuration of a Rocket server at `addr` that neither handles signals nor logs,
/// since the process does both itself.
pub fn server_config(addr: SocketAddr) -> rocket::Config {
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        grace: 0,
        mercy: 0,
        ..rocket::config::Shutdown::default()
    };
    rocket::Config {
        address: addr.ip(),
        port: addr.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..rocket::Config::release_default()
    }
}

/// Serves readiness, metrics and the operators' access to the quarantine, which `token` protects, at
/// `addr` until the process exits.
///
/// # Errors
///
/// Returns an error when the server cannot start.
pub async fn serve(
    addr: SocketAddr,
    readiness: Readiness,
    quarantine: Arc<Quarantine>,
    token: Option<String>,
) -> anyhow::Result<()> {
    let config = rocket::Config { workers: 1, ..server_config(addr) };
    let ready = Route::new(Method::Get, READY_PATH, ReadyHandler(Arc::new(readiness)));
    let rocket = rocket::custom(config)
        .manage(Recorder::install())
        .manage(quarantine)
        .manage(Token(token))
        .mount("/", [ready])
        .mount("/", routes![render_metrics])
        .mount("/", operator::routes());
    let launched = rocket.launch().await;
    launched
        .map(drop)
        .map_err(|error| anyhow::anyhow!("failed to start the probe server: {}", error.kind()))
}
