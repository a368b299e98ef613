//! Routes for health checks, readiness checks and metrics.

use super::App;
use rocket::http::Status;
use rocket::{State, get, routes};

/// Returns the routes of the probes and the metrics.
pub fn routes() -> Vec<rocket::Route> {
    routes![health, ready, metrics]
}

#[get("/healthz")]
fn health() -> &'static str {
    "ok\n"
}

#[get("/readyz")]
fn ready(app: &State<App>) -> (Status, &'static str) {
    let ready = *app.ready.borrow();
    match (ready.stopping, ready.serving) {
        (true, _) => (Status::ServiceUnavailable, "stopping\n"),
        (false, false) => (Status::ServiceUnavailable, "no lease or configuration yet\n"),
        (false, true) => (Status::Ok, "ready\n"),
    }
}

#[get("/metrics")]
fn metrics(app: &State<App>) -> String {
    app.metrics.render()
}
