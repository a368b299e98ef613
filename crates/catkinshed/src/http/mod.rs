//! HTTP interface for callers, operators and probes.

pub mod admin;
pub mod answer;
pub mod auth;
pub mod caller;
pub mod probes;

use crate::control::Ready;
use crate::control::event::Events;
use crate::entry::Entry;
use crate::settings::Settings;
use gateway::flights::Flights;
use metrics_exporter_prometheus::PrometheusHandle;
use platform::kv;
use std::sync::Arc;
use tokio::sync::watch;

/// What the routes share.
pub struct App {
    /// Settings.
    pub settings: Arc<Settings>,
    /// Router of operations.
    pub entry: Entry,
    /// The control thread's events.
    pub events: Events,
    /// Key-value service.
    pub kv: kv::Client,
    /// Whether the daemon can serve.
    pub ready: watch::Receiver<Ready>,
    /// Requests under way.
    pub flights: Flights,
    /// Metrics.
    pub metrics: PrometheusHandle,
}

/// Builds the HTTP server.
pub fn build(app: App) -> rocket::Rocket<rocket::Build> {
    let shutdown = rocket::config::Shutdown {
        ctrlc: false,
        signals: std::collections::HashSet::new(),
        grace: 1,
        mercy: 1,
        force: true,
        ..rocket::config::Shutdown::default()
    };
    let config = rocket::Config {
        address: app.settings.http_addr.ip(),
        port: app.settings.http_addr.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        shutdown,
        ..rocket::Config::release_default()
    };
    rocket::custom(config)
        .manage(app)
        .mount("/", caller::routes())
        .mount("/", admin::routes())
        .mount("/", probes::routes())
        .register("/", answer::catchers())
}
