//! Readiness for the balancer, and metrics.

use crate::ingress::Phase;
use crate::recorder::Recorder;
use crate::view::View;
use platform::READY_PATH;
use rocket::http::{Method, Status};
use rocket::route::{Handler, Outcome, Route};
use rocket::{Data, Request, State, get, routes};
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::watch;

/// What readiness depends on.
pub struct Probe {
    /// What the daemon believes.
    pub view: Arc<View>,
    /// How far a stop has come.
    pub phase: watch::Receiver<Phase>,
}

impl Probe {
    fn ready(&self) -> bool {
        *self.phase.borrow() == Phase::Serving && self.view.is_complete()
    }
}

#[derive(Clone)]
struct Ready(Arc<Probe>);

#[rocket::async_trait]
impl Handler for Ready {
    async fn handle<'r>(&self, request: &'r Request<'_>, _data: Data<'r>) -> Outcome<'r> {
        match self.0.ready() {
            true => Outcome::from(request, "ready"),
            false => Outcome::Error(Status::ServiceUnavailable),
        }
    }
}

#[get("/metrics")]
fn render(recorder: &State<Recorder>) -> String {
    recorder.render()
}

/// Settings of a server at `addr` whose process handles signals and writes the log itself.
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

/// Serves probes at `addr` until the process ends.
///
/// # Errors
///
/// Returns an error when the server cannot start.
pub async fn serve(addr: SocketAddr, probe: Probe) -> anyhow::Result<()> {
    let config = rocket::Config { workers: 1, ..server_config(addr) };
    let ready = Route::new(Method::Get, READY_PATH, Ready(Arc::new(probe)));
    let rocket = rocket::custom(config)
        .manage(Recorder::install())
        .mount("/", [ready])
        .mount("/", routes![render]);
    let launched = rocket.launch().await;
    launched.map(drop).map_err(|error| anyhow::anyhow!("the probes' server: {}", error.kind()))
}
