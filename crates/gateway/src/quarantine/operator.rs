//! The operators' access to the quarantine, on the port for probes and metrics.
//!
//! * `GET /quarantine` lists the quarantined requests as JSON;
//! * `DELETE /quarantine/FINGERPRINT` lifts the quarantine of one at all daemons. It needs
//!   `Authorization: Bearer TOKEN` with the daemon's `operator_token`, and is off without one. Status
//!   204, or 400 (not a fingerprint), 401 (another token), 404 (not quarantined).

use super::Quarantine;
use rocket::http::Status;
use rocket::request::{FromRequest, Outcome, Request};
use rocket::serde::json::Json;
use rocket::{Route, State, delete, get, routes};
use sched::quarantine::{Fingerprint, Row};
use std::sync::Arc;
use std::time::Instant;

/// Token that lifting a quarantine needs; `None` turns it off.
pub struct Token(pub Option<String>);

/// A request that carries the token.
pub struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let token = request.rocket().state::<Token>().and_then(|token| token.0.as_deref());
        let given = request.headers().get_one("Authorization");
        let given = given.and_then(|given| given.strip_prefix("Bearer "));
        match token.is_some_and(|token| given.is_some_and(|given| is_equal(given, token))) {
            true => Outcome::Success(Self),
            false => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}

/// Compares tokens in a time that depends on their lengths alone.
fn is_equal(left: &str, right: &str) -> bool {
    let pairs = left.bytes().zip(right.bytes());
    left.len() == right.len() && pairs.fold(0, |sum, (left, right)| sum | (left ^ right)) == 0
}

#[get("/quarantine")]
fn list(quarantine: &State<Arc<Quarantine>>) -> Json<Vec<Row>> {
    Json(quarantine.rows(Instant::now()))
}

#[delete("/quarantine/<fingerprint>")]
async fn lift(
    _operator: Operator,
    fingerprint: &str,
    quarantine: &State<Arc<Quarantine>>,
) -> Status {
    let Ok(fingerprint) = fingerprint.parse::<Fingerprint>() else {
        return Status::BadRequest;
    };
    match quarantine.lift(&fingerprint, false, Instant::now()) {
        true => Status::NoContent,
        false => Status::NotFound,
    }
}

/// Returns the routes.
pub fn routes() -> Vec<Route> {
    routes![list, lift]
}
