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

/// What the routes share.
pub struct App {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Router of operations.
    pub router: Router,
    /// The control thread's events.
    pub events: EventSender,
    /// Key-value service.
    pub kv: kv::Client,
    /// Whether the daemon can serve.
    pub ready: watch::Receiver<Readiness>,
    /// Requests under way.
    pub in_flight: Tracker,
    /// Metrics.
    pub metrics: Recorder,
}

/// Builds the HTTP server.
pub fn build(app: App) -> rocket::Rocket<rocket::Build> {
    let mut config = gateway::probes::server_config(app.settings.http_addr);
    // Streams to callers get a moment to end.
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
