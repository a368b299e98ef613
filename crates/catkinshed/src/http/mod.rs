//! HTTP interface for callers, operators and probes.

pub mod admin;
pub mod answer;
pub mod auth;
pub mod caller;
pub mod probes;

use crate::control::Readiness;
use crate::control::event::EventSender;
use crate::router::Router;
use crate::settings::Settings;
use gateway::inflight::Tracker;
use gateway::recorder::Recorder;
use platform::kv;
use std::sync::Arc;
use tokio::sync::watch;

/// State shared by all routes.
pub struct App {
    /// Settings of the daemon.
    pub settings: Arc<Settings>,
    /// Router of operations to the owners of their logs.
    pub router: Router,
    /// Sender of events to the control thread.
    pub events: EventSender,
    /// Client of the key-value service.
    pub kv: kv::Client,
    /// Whether the daemon can serve requests.
    pub ready: watch::Receiver<Readiness>,
    /// Counter of requests in flight, for which a stop waits.
    pub inflight: Tracker,
    /// Recorder of the metrics.
    pub metrics: Recorder,
}

/// Builds the HTTP server with all routes.
pub fn build(app: App) -> rocket::Rocket<rocket::Build> {
    let mut config = gateway::probes::server_config(app.settings.http_addr);
    // On shutdown, streams get one second to end and one more before their connections are closed.
    config.shutdown.grace = 1;
    config.shutdown.mercy = 1;
    config.shutdown.force = true;
    rocket::custom(config)
        .manage(app)
        .mount("/", caller::routes())
        .mount("/", admin::routes())
        .mount("/", probes::routes())
        .register("/", answer::catchers())
}
